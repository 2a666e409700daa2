#include "Property.h"
#include "core/EventSequence.h"
#include "core/PassedOnCall.h"
#include "gateway/PassedOnRequest.h"
#include "http/EventCutter.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

const Time kStart{};
const Time kDeadline = kStart + std::chrono::seconds(10);

PassedOnCall::Options
MakeOptions(bool aRepeatable, int aMaxRuns = 3)
{
  PassedOnCall::Options options;
  options.mRepeatable = aRepeatable;
  options.mMaxRuns = aMaxRuns;
  options.mDeadline = kDeadline;
  return options;
}

// Hosts without progress end a request, but a stream may go on for ever.
constexpr int kMaxSteps = 30;

bool
MayHaveStarted(PassedOnEnd aEnd)
{
  return aEnd == PassedOnEnd::Failed || aEnd == PassedOnEnd::Lost;
}

HttpHead
HeadWith(const std::string& aFields)
{
  HttpHead head;
  for (std::size_t at = 0; at < aFields.size();) {
    const auto end = aFields.find("\r\n", at);
    const auto colon = aFields.find(": ", at);
    head.mFields.push_back({ aFields.substr(at, colon - at),
                             aFields.substr(colon + 2, end - colon - 2) });
    at = end + 2;
  }
  return head;
}

PassedOnRequest
MakeRequest()
{
  PassedOnRequest request;
  request.mFrom = "h1";
  request.mConfiguration = 17;
  request.mAge = milliseconds(250);
  request.mService = "engines";
  request.mSoftwareVersion = "v2";
  request.mResumed = true;
  request.mTries = 4;
  request.mPrior = { 2, true, true };
  return request;
}

} // namespace

class PassedOnCallTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PassedOnCallTests);
  CPPUNIT_TEST(RequestsRunNoMoreOftenThanAllowed);
  CPPUNIT_TEST(OnlyRequestsThatNobodyHasRunAreSaidNotToHaveRun);
  CPPUNIT_TEST(ProgressAllowsHostsThatFailedBefore);
  CPPUNIT_TEST(NothingIsSentAfterTheDeadline);
  CPPUNIT_TEST(RunsThatAHostStatesCount);
  CPPUNIT_TEST(RunsThatALostHostHasStatedCount);
  CPPUNIT_TEST(RunLinesAreReadByTheirMarkOnly);
  CPPUNIT_TEST(EventsKeepTheirOrderOverSeveralSources);
  CPPUNIT_TEST(FieldsOfHostsAreReadAsTheyWereWritten);
  CPPUNIT_TEST(IncompleteFieldsOfHostsAreRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void RequestsRunNoMoreOftenThanAllowed()
  {
    CheckProperty(
      "a request may have run as often as its route allows, and one that may "
      "run once at most is sent nowhere after it may have run",
      [](bool aRepeatable) {
        auto options = MakeOptions(aRepeatable, *rc::gen::inRange(1, 6));
        options.mRuns =
          aRepeatable ? *rc::gen::inRange(0, options.mMaxRuns) : 0;
        PassedOnCall call(options);
        int runs = options.mRuns;
        bool goesOn = true;
        for (int n = 0; goesOn && n < kMaxSteps; ++n) {
          const std::string host = std::to_string(call.Hosts());
          call.OnTry(host);
          if (aRepeatable && *rc::gen::inRange(0, 4) == 0) {
            call.OnProgress();
          }
          const auto end = static_cast<PassedOnEnd>(*rc::gen::inRange(0, 4));
          runs += MayHaveStarted(end) ? 1 : 0;
          const bool movable = call.CanTryAnother(kStart);
          goesOn = call.OnEnd(end, kStart);
          RC_ASSERT(goesOn == movable || !MayHaveStarted(end));
          RC_ASSERT(call.Runs() == runs);
          RC_ASSERT(runs <= options.mMaxRuns);
          RC_ASSERT(static_cast<int>(call.Tried().size()) <=
                    PassedOnCall::kMaxHosts);
          if (goesOn) {
            RC_ASSERT(runs < options.mMaxRuns);
            RC_ASSERT(aRepeatable || runs == 0);
          }
        }
      });
  }

  void OnlyRequestsThatNobodyHasRunAreSaidNotToHaveRun()
  {
    CheckProperty("a request is said not to have run if nobody can have run it",
                  [](bool aMayHaveRun, bool aIsSent) {
                    auto options = MakeOptions(true);
                    options.mMayHaveRun = aMayHaveRun;
                    PassedOnCall call(options);
                    bool mayHaveRun = aMayHaveRun;
                    const int count = *rc::gen::inRange(0, 4);
                    for (int n = 0; n < count; ++n) {
                      const auto end =
                        static_cast<PassedOnEnd>(*rc::gen::inRange(0, 4));
                      call.OnTry(std::to_string(n));
                      call.OnEnd(end, kStart);
                      mayHaveRun |= MayHaveStarted(end);
                    }
                    const Failure failure =
                      call.MakeFailure(FailureCode::NoTarget, aIsSent);
                    RC_ASSERT((failure.mVerdict == RunVerdict::NotRun) ==
                              (!mayHaveRun && !aIsSent));
                    RC_ASSERT((failure.mRetryAfter > Duration::zero()) ==
                              (failure.mVerdict == RunVerdict::NotRun));
                  });
  }

  void ProgressAllowsHostsThatFailedBefore()
  {
    PassedOnCall call(MakeOptions(true, 0));
    call.OnTry("a");
    CPPUNIT_ASSERT(call.OnEnd(PassedOnEnd::Refused, kStart));
    call.OnTry("b");
    call.OnProgress();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, call.Tried().size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), call.Tried().front());
    CPPUNIT_ASSERT(call.OnEnd(PassedOnEnd::Lost, kStart));
    call.OnTry("a");
    CPPUNIT_ASSERT(call.OnEnd(PassedOnEnd::Unreachable, kStart));
    call.OnTry("c");
    CPPUNIT_ASSERT(!call.OnEnd(PassedOnEnd::Unreachable, kStart));
  }

  void NothingIsSentAfterTheDeadline()
  {
    PassedOnCall call(MakeOptions(true));
    call.OnTry("a");
    CPPUNIT_ASSERT(!call.OnEnd(PassedOnEnd::Unreachable, kDeadline));
  }

  // Guards against a request that runs again although the host before has used
  // up its runs.
  void RunsThatAHostStatesCount()
  {
    constexpr int kMaxRuns = 3;
    for (int stated = 0; stated <= kMaxRuns; ++stated) {
      PassedOnCall call(MakeOptions(true, kMaxRuns));
      call.OnTry("h1");
      CPPUNIT_ASSERT_EQUAL(stated < kMaxRuns,
                           call.OnEnd(PassedOnEnd::Failed, kStart, stated));
      CPPUNIT_ASSERT_EQUAL(std::max(1, stated), call.Runs());
    }
  }

  // Guards against a request that runs again although the host that was lost
  // has used up its runs.
  void RunsThatALostHostHasStatedCount()
  {
    constexpr int kMaxRuns = 4;
    for (int stated = 0; stated <= kMaxRuns; ++stated) {
      PassedOnCall call(MakeOptions(true, kMaxRuns));
      call.OnTry("h1");
      call.OnRunsStated(stated);
      CPPUNIT_ASSERT_EQUAL(stated < kMaxRuns, call.CanTryAnother(kStart));
      CPPUNIT_ASSERT_EQUAL(stated < kMaxRuns,
                           call.OnEnd(PassedOnEnd::Lost, kStart));
      CPPUNIT_ASSERT_EQUAL(std::max(1, stated), call.Runs());
      // What one host has stated says nothing of the next.
      call.OnTry("h2");
      call.OnEnd(PassedOnEnd::Refused, kStart);
      CPPUNIT_ASSERT_EQUAL(std::max(1, stated), call.Runs());
      call.OnTry("h3");
      call.OnEnd(PassedOnEnd::Lost, kStart);
      CPPUNIT_ASSERT_EQUAL(std::max(1, stated) + 1, call.Runs());
    }
  }

  // Guards against a comment of a target that passes for what a host states,
  // and against lines that an older host would forward to its caller.
  void RunLinesAreReadByTheirMarkOnly()
  {
    CPPUNIT_ASSERT_EQUAL(std::string(), FormatRunLine("", 3));
    const std::string line = FormatRunLine("00c0ffee", 3);
    EventCutter events;
    events.Feed(line);
    const auto event = events.Next();
    CPPUNIT_ASSERT(event && event->mId.empty() && event->mBytes == line);
    CPPUNIT_ASSERT(ParseRunLine("00c0ffee", line) == 3);
    for (const char* it : { "", "00c0ffe", "other" }) {
      CPPUNIT_ASSERT_MESSAGE(it, !ParseRunLine(it, line));
    }
    for (const char* it : { ": 3\n\n",
                            ":00c0ffee\n\n",
                            ":00c0ffee x\n\n",
                            ":00c0ffee -1\n\n",
                            ":00c0ffee 2147483647\n\n",
                            ":00c0ffee 3 \n\n",
                            "data: 3\n\n" }) {
      CPPUNIT_ASSERT_MESSAGE(it, !ParseRunLine("00c0ffee", it));
    }
  }

  void EventsKeepTheirOrderOverSeveralSources()
  {
    EventSequence events;
    events.Accept("2");
    events.Accept("4");
    events.BeginRun();
    CPPUNIT_ASSERT(events.OrderOf("2") == EventOrder::Repeated);
    CPPUNIT_ASSERT(events.OrderOf("1") == EventOrder::Repeated);
    CPPUNIT_ASSERT(events.OrderOf("6") == EventOrder::Next);
    CPPUNIT_ASSERT(events.OrderOf("8") == EventOrder::AfterGap);
    const EventSequence resumed("4");
    CPPUNIT_ASSERT_EQUAL(4LL, resumed.LastNumber());
    CPPUNIT_ASSERT(resumed.OrderOf("4") == EventOrder::Repeated);
    CPPUNIT_ASSERT(resumed.OrderOf("5") == EventOrder::Next);
    EventSequence unnumbered;
    unnumbered.Accept("");
    CPPUNIT_ASSERT(unnumbered.OrderOf("") == EventOrder::Next);
  }

  void FieldsOfHostsAreReadAsTheyWereWritten()
  {
    const PassedOnRequest request = MakeRequest();
    HttpHead head = HeadWith(FormatPassedOnRequest(request));
    const auto read = ParsePassedOnRequest(head);
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT_EQUAL(request.mFrom, read->mFrom);
    CPPUNIT_ASSERT_EQUAL(request.mConfiguration, read->mConfiguration);
    CPPUNIT_ASSERT(request.mAge == read->mAge);
    CPPUNIT_ASSERT_EQUAL(request.mService, read->mService);
    CPPUNIT_ASSERT_EQUAL(request.mSoftwareVersion, read->mSoftwareVersion);
    CPPUNIT_ASSERT(read->mResumed);
    CPPUNIT_ASSERT_EQUAL(request.mTries, read->mTries);
    CPPUNIT_ASSERT_EQUAL(request.mPrior.mRuns, read->mPrior.mRuns);
    CPPUNIT_ASSERT(read->mPrior.mCounted && read->mPrior.mSent);
    // Older builds neither send nor read it.
    CPPUNIT_ASSERT(read->mRunMark.empty());
    PassedOnRequest marked = request;
    marked.mRunMark = "00c0ffee";
    const auto readMarked =
      ParsePassedOnRequest(HeadWith(FormatPassedOnRequest(marked)));
    CPPUNIT_ASSERT(readMarked && readMarked->mRunMark == marked.mRunMark);
    head.mFields.push_back({ "x-passed-other", "1" });
    head.mFields.push_back({ "X-Model", "m" });
    RemoveHostFields(head);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, head.mFields.size());
    const PassedOnAnswer answer = ParsePassedOnAnswer(
      HeadWith(FormatHostFailure(RunVerdict::NotRun, RefusedBy::Host, 2)));
    CPPUNIT_ASSERT(answer.mOwnFailure && answer.mNotRun);
    CPPUNIT_ASSERT(answer.mRefusedBy == RefusedBy::Host);
    CPPUNIT_ASSERT(!ParsePassedOnAnswer(HttpHead()).mOwnFailure);
  }

  void IncompleteFieldsOfHostsAreRefused()
  {
    PassedOnRequest request = MakeRequest();
    request.mSoftwareVersion.clear();
    const HttpHead head = HeadWith(FormatPassedOnRequest(request));
    for (std::size_t n = 0; n < head.mFields.size(); ++n) {
      HttpHead without = head;
      without.mFields.erase(without.mFields.begin() +
                            static_cast<std::ptrdiff_t>(n));
      CPPUNIT_ASSERT_MESSAGE(head.mFields[n].mName,
                             !ParsePassedOnRequest(without));
    }
    for (const char* it : { "-1", "1x", "99999999999999999999" }) {
      HttpHead malformed = head;
      malformed.mFields[1].mValue = it;
      CPPUNIT_ASSERT_MESSAGE(it, !ParsePassedOnRequest(malformed));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PassedOnCallTests);
