#include "core/CopyKeeper.h"
#include "core/PlainCall.h"
#include "core/TargetTable.h"
#include "core/TargetWaits.h"
#include "platform/PlatformRequests.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

Time
At(int aMs)
{
  return Time(std::chrono::hours(1) + milliseconds(aMs));
}

TargetDeclaration
Declaration(const std::string& aName, const std::string& aIncarnation)
{
  TargetDeclaration target;
  target.mName = aName;
  target.mService = "pool";
  target.mPlace = "here";
  target.mRegion = "region";
  target.mIncarnation = aIncarnation;
  return target;
}

void
Declare(TargetTable& aTable, const std::vector<TargetDeclaration>& aTargets)
{
  ServiceDeclaration service;
  service.mName = "pool";
  aTable.Declare({ service }, aTargets, "region", At(0));
}

TargetTable
MakeTable(const std::vector<TargetDeclaration>& aTargets)
{
  TargetTableOptions options;
  options.mPlace = "here";
  options.mSeed = 3;
  TargetTable table(options);
  Declare(table, aTargets);
  return table;
}

ChoiceQuery
Query(std::uint64_t aContent = 1)
{
  ChoiceQuery query;
  query.mService = "pool";
  query.mContent = aContent;
  query.mRequestId = "r" + std::to_string(aContent);
  query.mDeadline = At(60000);
  return query;
}

// Whether any of many choices at a time falls on the target.
bool
IsUsed(TargetTable& aTable, const std::string& aTarget, int aMs)
{
  for (std::uint64_t n = 1; n <= 50; ++n) {
    if (aTable.Choose(Query(n), At(aMs)).mTarget == aTarget) {
      return true;
    }
  }
  return false;
}

platform::TargetResponse
AnswerWith(const std::string& aValue, int aStatus = 503)
{
  HttpHead head;
  head.mStatus = aStatus;
  head.mFields.push_back({ "Retry-After", aValue });
  return platform::DecodeTargetResponse(head);
}

} // namespace

// Targets that want nothing from a host for a while, without network.
class TargetWaitTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetWaitTests);
  CPPUNIT_TEST(TimesAreParsed);
  CPPUNIT_TEST(TargetIsLeftAloneUntilTheTimeHasPassed);
  CPPUNIT_TEST(ShorterTimesDoNotEndLongerOnes);
  CPPUNIT_TEST(LongTimesAreBounded);
  CPPUNIT_TEST(AnotherStartEndsTheWait);
  CPPUNIT_TEST(MissingEntriesDoNotEndTheWait);
  CPPUNIT_TEST(CallsAreRefusedAtOnceWhenAllTargetsWait);
  CPPUNIT_TEST(CallsTryTargetsThatDoNotWait);
  CPPUNIT_TEST(CopiesAreNeitherSentNorOrderedThere);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against values that stop the decoder, or keep a target out of use.
  void TimesAreParsed()
  {
    CPPUNIT_ASSERT(AnswerWith("3").mWait == Duration(milliseconds(3000)));
    CPPUNIT_ASSERT(AnswerWith("0.25").mWait == Duration(milliseconds(250)));
    CPPUNIT_ASSERT(AnswerWith("0").mWait == Duration::zero());
    CPPUNIT_ASSERT(AnswerWith("99999999999999999999").mWait ==
                   Duration(std::chrono::hours(24)));
    for (const char* it : { "",
                            "-1",
                            "-0.5",
                            "soon",
                            "nan",
                            "inf",
                            "1e9",
                            "3s",
                            "Wed, 21 Oct 2055 07:28:00 GMT" }) {
      const auto answer = AnswerWith(it);
      CPPUNIT_ASSERT_MESSAGE(it, !answer.mWait.has_value());
      CPPUNIT_ASSERT_MESSAGE(it, !answer.mMalformedWait.empty());
    }
    for (const int it : { 200, 429, 500 }) {
      CPPUNIT_ASSERT(!AnswerWith("3", it).mWait.has_value());
      CPPUNIT_ASSERT(AnswerWith("x", it).mMalformedWait.empty());
    }
    HttpHead head;
    head.mStatus = 503;
    const auto answer = platform::DecodeTargetResponse(head);
    CPPUNIT_ASSERT(!answer.mWait && answer.mMalformedWait.empty());
    // Callers are not told of it; they are of that of other statuses.
    CPPUNIT_ASSERT(platform::IsAskOfTarget(head, "retry-after"));
    head.mStatus = 429;
    CPPUNIT_ASSERT(!platform::IsAskOfTarget(head, "Retry-After"));
  }

  // Guards against requests within the time, and against leaving the target
  // alone for longer.
  void TargetIsLeftAloneUntilTheTimeHasPassed()
  {
    TargetTable table =
      MakeTable({ Declaration("t0", "1"), Declaration("t1", "1") });
    CPPUNIT_ASSERT(table.OnAskedToWait("t0", "1", milliseconds(3000), At(0)));
    CPPUNIT_ASSERT(!table.OnAskedToWait("t0", "1", milliseconds(3000), At(9)));
    CPPUNIT_ASSERT(!IsUsed(table, "t0", 10));
    table.OnLoadReport("t0", "1", "ready", 0, 0, At(500));
    table.OnAlive("t0", At(500));
    CPPUNIT_ASSERT(!IsUsed(table, "t0", 3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.Waits().Count(At(3000)));
    CPPUNIT_ASSERT(IsUsed(table, "t0", 3009));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.Waits().Count(At(3009)));
  }

  // Guards against answers to requests sent earlier that shorten the wait.
  void ShorterTimesDoNotEndLongerOnes()
  {
    TargetTable table = MakeTable({ Declaration("t0", "1") });
    table.OnAskedToWait("t0", "1", milliseconds(3000), At(0));
    table.OnAskedToWait("t0", "1", milliseconds(500), At(100));
    table.OnAskedToWait("t0", "1", Duration::zero(), At(200));
    CPPUNIT_ASSERT(!IsUsed(table, "t0", 2999));
    CPPUNIT_ASSERT(IsUsed(table, "t0", 3000));
  }

  // Guards against a target that is out of use for good.
  void LongTimesAreBounded()
  {
    TargetTable table = MakeTable({ Declaration("t0", "1") });
    table.OnAskedToWait("t0", "1", std::chrono::hours(24), At(0));
    const auto bound = static_cast<int>(ToMilliseconds(TargetWaits::kMaxWait));
    CPPUNIT_ASSERT(!IsUsed(table, "t0", bound - 1));
    CPPUNIT_ASSERT(IsUsed(table, "t0", bound));
  }

  // Guards against a wait that outlives the start of the target, and against
  // answers that were on their way when it started again.
  void AnotherStartEndsTheWait()
  {
    TargetTable table = MakeTable({ Declaration("t0", "1") });
    table.OnAskedToWait("t0", "1", milliseconds(9000), At(0));
    Declare(table, { Declaration("t0", "2") });
    CPPUNIT_ASSERT(IsUsed(table, "t0", 10));
    CPPUNIT_ASSERT(!table.OnAskedToWait("t0", "1", milliseconds(9000), At(20)));
    CPPUNIT_ASSERT(IsUsed(table, "t0", 30));
  }

  // Guards against an entry that is missing for a while and ends the wait.
  void MissingEntriesDoNotEndTheWait()
  {
    TargetTable table =
      MakeTable({ Declaration("t0", "1"), Declaration("t1", "1") });
    table.OnAskedToWait("t0", "1", milliseconds(3000), At(0));
    Declare(table, { Declaration("t1", "1") });
    Declare(table, { Declaration("t0", "1"), Declaration("t1", "1") });
    CPPUNIT_ASSERT(!IsUsed(table, "t0", 100));
  }

  // Guards against callers that wait in vain, are told nothing, or come back
  // together.
  void CallsAreRefusedAtOnceWhenAllTargetsWait()
  {
    TargetTable table =
      MakeTable({ Declaration("t0", "1"), Declaration("t1", "1") });
    table.OnAskedToWait("t0", "1", milliseconds(9000), At(0));
    table.OnAskedToWait("t1", "1", milliseconds(4000), At(0));
    std::set<Duration> told;
    for (std::uint64_t n = 1; n <= 20; ++n) {
      PlainCall call(Query(n), true, At(60000), table);
      const PlainStep step = call.Start(At(1000));
      CPPUNIT_ASSERT(std::holds_alternative<FailCall>(step));
      const Failure& failure = std::get<FailCall>(step).mFailure;
      CPPUNIT_ASSERT(failure.mCode == FailureCode::Overloaded);
      CPPUNIT_ASSERT(failure.mVerdict == RunVerdict::NotRun);
      CPPUNIT_ASSERT(failure.mRetryAfter >= milliseconds(3000));
      CPPUNIT_ASSERT(failure.mRetryAfter <= milliseconds(3800));
      told.insert(failure.mRetryAfter);
    }
    CPPUNIT_ASSERT(told.size() > 10);
    // A call whose last target is the one that has asked for time.
    ChoiceQuery retry = Query(77);
    retry.mExcluded = { "t0", "t1" };
    const Choice choice = table.Choose(retry, At(1000));
    CPPUNIT_ASSERT(choice.mStatus == ChoiceStatus::AskedToWait);
    CPPUNIT_ASSERT(choice.mExpectedWait >= milliseconds(3000));
  }

  // Guards against refusing what another target can take.
  void CallsTryTargetsThatDoNotWait()
  {
    TargetTable table =
      MakeTable({ Declaration("t0", "1"), Declaration("t1", "1") });
    table.OnAskedToWait("t0", "1", milliseconds(9000), At(0));
    CPPUNIT_ASSERT(table.TimeToComeBack(Query(), At(1)) == Duration::zero());
    for (std::uint64_t n = 1; n <= 50; ++n) {
      CPPUNIT_ASSERT_EQUAL(std::string("t1"),
                           table.Choose(Query(n), At(10)).mTarget);
    }
  }

  // Guards against copies that are sent to the target or that it has to make.
  void CopiesAreNeitherSentNorOrderedThere()
  {
    TargetTable table = MakeTable({ Declaration("t0", "1"),
                                    Declaration("t1", "1"),
                                    Declaration("t2", "1") });
    CopyKeeper::Options options;
    options.mService = "pool";
    options.mLifetime = std::chrono::seconds(4);
    options.mOrdersSupported = true;
    table.OnAskedToWait("t0", "1", milliseconds(5000), At(0));
    for (int n = 0; n < 50; ++n) {
      CPPUNIT_ASSERT_EQUAL(std::string("t2"),
                           table.ChooseCopyHolder(Query(), "t1", At(n)));
    }
    CopyKeeper keeper(options, table);
    keeper.OnRunStarted("t0", "");
    keeper.OnEventDelivered();
    CPPUNIT_ASSERT(!keeper.TakeNextOrder(At(4999)));
    CPPUNIT_ASSERT(keeper.TakeNextOrder(At(5000)).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetWaitTests);
