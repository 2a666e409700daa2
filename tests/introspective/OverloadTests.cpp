#include "core/FairQueue.h"
#include "core/PlainCall.h"
#include "core/RoutingTable.h"
#include "core/TargetTable.h"
#include "core/overload/ReportedLoad.h"
#include "core/overload/Urgency.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr char kService[] = "desk";
constexpr int kSlots = 6;

const Time kStart = Time() + std::chrono::hours(1);

// Many hosts before one plain target with a few slots and a short queue, as
// while most targets of a service are away. Each answer tells how many requests
// run and wait there.
class ManyHosts
{
public:
  struct Options
  {
    int mHosts = 62;
    double mCallsPerSecond = 290;
    Duration mWork = milliseconds(15);
    Duration mObjective = milliseconds(120);
    int mQueue = 4;
    // Whether the hosts learn how long calls take, without which a report
    // counts for a second.
    bool mLearns = true;
    unsigned mSeed = 1;
  };

  struct Result
  {
    int mCalls = 0;
    int mOnTime = 0;
    int mRefused = 0;
    int mTurnedAway = 0;
  };

  explicit ManyHosts(const Options& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
    for (int n = 0; n < mOptions.mHosts; ++n) {
      TargetTableOptions options;
      options.mRouterName = "h" + std::to_string(n);
      options.mSeed = static_cast<std::uint64_t>(n + 1);
      mTables.push_back(std::make_unique<TargetTable>(options));
      TargetDeclaration target;
      target.mName = "t";
      target.mService = kService;
      target.mSlots = kSlots;
      mTables.back()->Declare({ { kService, "" } }, { target }, "", kStart);
    }
  }

  Result Play()
  {
    const Time end = kStart + std::chrono::seconds(14);
    for (mNow = kStart; mNow < end; mNow += milliseconds(1)) {
      while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
        auto call = std::move(mEvents.begin()->second);
        mEvents.erase(mEvents.begin());
        call();
      }
      std::poisson_distribution<int> arrivals(mOptions.mCallsPerSecond / 1000);
      for (int n = arrivals(mRandom); n > 0; --n) {
        Begin();
      }
    }
    if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::cout << "calls " << mResult.mCalls << " on time " << mResult.mOnTime
                << " refused " << mResult.mRefused << " turned away "
                << mResult.mTurnedAway << "\n";
    }
    return mResult;
  }

private:
  struct Call
  {
    std::size_t mHost = 0;
    RequestContent mContent;
    Time mArrivedAt;
    Time mSentAt;
    std::unique_ptr<PlainCall> mCall;
  };

  void Begin()
  {
    auto call = std::make_shared<Call>();
    call->mHost = mRandom() % mTables.size();
    call->mArrivedAt = mNow;
    call->mContent.mHash = static_cast<std::uint64_t>(++mResult.mCalls);
    ChoiceQuery query;
    query.mService = kService;
    query.mRequestId = std::to_string(mResult.mCalls);
    query.mWorkspace = "w" + std::to_string(mRandom() % 24);
    query.mContent = call->mContent;
    query.mDeadline = mNow + milliseconds(1500);
    query.mDueAt = mNow + mOptions.mObjective;
    call->mCall = std::make_unique<PlainCall>(
      query, false, query.mDeadline, *mTables[call->mHost], 2, PriorAttempts());
    Perform(call, call->mCall->Start(mNow));
  }

  void Perform(const std::shared_ptr<Call>& aCall, const PlainStep& aStep)
  {
    if (std::holds_alternative<TryTarget>(aStep)) {
      aCall->mSentAt = mNow;
      mTables[aCall->mHost]->OnAttemptStart("t", aCall->mContent, mNow);
      if (mRunning < kSlots) {
        Run(aCall);
      } else if (static_cast<int>(mWaiting.size()) < mOptions.mQueue) {
        mWaiting.push_back(aCall);
      } else {
        ++mResult.mTurnedAway;
        mTables[aCall->mHost]->OnAttemptRejected("t", mNow);
        Answer(aCall, AttemptOutcome::Released, PlainResult::NotStarted);
      }
    } else if (const auto* wait = std::get_if<AwaitVerdict>(&aStep)) {
      mEvents.emplace(wait->mCheckAt, [this, aCall] {
        Perform(aCall, aCall->mCall->OnVerdictDue(mNow));
      });
    } else if (std::holds_alternative<FailCall>(aStep)) {
      ++mResult.mRefused;
    }
  }

  void Run(const std::shared_ptr<Call>& aCall)
  {
    ++mRunning;
    std::exponential_distribution<double> vary(1);
    const auto work = std::chrono::duration_cast<Duration>(
      mOptions.mWork * (0.5 + 0.5 * vary(mRandom)));
    mEvents.emplace(mNow + work, [this, aCall] {
      --mRunning;
      if (!mWaiting.empty()) {
        const auto next = mWaiting.front();
        mWaiting.erase(mWaiting.begin());
        Run(next);
      }
      mResult.mOnTime += mNow - aCall->mArrivedAt <= mOptions.mObjective;
      if (mOptions.mLearns) {
        mTables[aCall->mHost]->OnServed(
          "t",
          std::chrono::duration_cast<Duration>(mNow - aCall->mSentAt),
          static_cast<int>(mWaiting.size()));
      }
      Answer(aCall, AttemptOutcome::Finished, PlainResult::Answered);
    });
  }

  void Answer(const std::shared_ptr<Call>& aCall,
              AttemptOutcome aOutcome,
              PlainResult aResult)
  {
    TargetTable& table = *mTables[aCall->mHost];
    table.OnLoadReport(
      "t", "", "ready", mRunning, static_cast<int>(mWaiting.size()), mNow);
    table.OnAttemptEnd("t", aCall->mContent, aOutcome, mNow);
    Perform(aCall, aCall->mCall->OnResult(aResult, mNow));
  }

  Options mOptions;
  std::mt19937 mRandom;
  Time mNow;
  int mRunning = 0;
  std::vector<std::shared_ptr<Call>> mWaiting;
  std::multimap<Time, std::function<void()>> mEvents;
  std::vector<std::unique_ptr<TargetTable>> mTables;
  Result mResult;
};

WaitingRequest
Waiting(const std::string& aId,
        const std::string& aWorkspace,
        int aRank,
        int aDeadlineMs)
{
  WaitingRequest request;
  request.mRequestId = aId;
  request.mWorkspace = aWorkspace;
  request.mDeadline = kStart + milliseconds(aDeadlineMs);
  request.mRank = aRank;
  return request;
}

Route
StreamRoute(const std::string& aPath, int aPriority)
{
  Route route;
  route.mHost = "h";
  route.mPathPrefix = aPath;
  route.mKind = CallKind::Stream;
  route.mPriority = aPriority;
  route.mServices.push_back({ kService, 1 });
  return route;
}

} // namespace

class OverloadTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OverloadTests);
  CPPUNIT_TEST(ShortCallsOfManyHostsUseTheLastTarget);
  CPPUNIT_TEST(AReportCountsForAsLongAsItsRequestsTake);
  CPPUNIT_TEST(AReportWithoutATimeCountsForASecond);
  CPPUNIT_TEST(UrgentRequestsAreServedFirst);
  CPPUNIT_TEST(LessUrgentRequestsAreNotStarved);
  CPPUNIT_TEST(UrgencyIsOnlyToldWherePrioritiesDiffer);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against refusing calls on arrival while the target is idle: one of
  // three targets is left, 62 hosts send it 290 short calls a second, and it
  // can serve 400. Nine in ten of them have to be on time.
  void ShortCallsOfManyHostsUseTheLastTarget()
  {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      ManyHosts::Options options;
      options.mSeed = seed;
      const auto result = ManyHosts(options).Play();
      CPPUNIT_ASSERT(result.mOnTime >= 0.9 * result.mCalls);
      options.mLearns = false;
      const auto former = ManyHosts(options).Play();
      CPPUNIT_ASSERT(former.mOnTime < result.mOnTime);
    }
  }

  void AReportCountsForAsLongAsItsRequestsTake()
  {
    ReportedLoad load;
    load.OnServed(milliseconds(20), 4, 4);
    CPPUNIT_ASSERT(load.ServiceTime() == milliseconds(10));
    load.OnReport(4, 4, 0, kStart);
    CPPUNIT_ASSERT_EQUAL(4, load.WaitingAt(4, kStart));
    CPPUNIT_ASSERT_EQUAL(2, load.WaitingAt(4, kStart + milliseconds(5)));
    CPPUNIT_ASSERT_EQUAL(0, load.WaitingAt(4, kStart + milliseconds(10)));
    CPPUNIT_ASSERT(load.TimeUntilWaiting(2, 4, kStart) == milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(0, load.LoadAt(0, 4, kStart + milliseconds(20)));
    // What this host has sent since counts on top.
    CPPUNIT_ASSERT_EQUAL(3, load.LoadAt(3, 4, kStart + milliseconds(20)));
  }

  void AReportWithoutATimeCountsForASecond()
  {
    ReportedLoad load;
    load.OnReport(4, 4, 0, kStart);
    CPPUNIT_ASSERT_EQUAL(4, load.WaitingAt(4, kStart + milliseconds(999)));
    CPPUNIT_ASSERT_EQUAL(0, load.WaitingAt(4, kStart + milliseconds(1000)));
  }

  void UrgentRequestsAreServedFirst()
  {
    FairQueue queue;
    queue.Add(Waiting("digest", "a", 2, 25000));
    queue.Add(Waiting("brief", "b", 0, 25500));
    queue.Add(Waiting("note", "a", 1, 25100));
    // Workspaces with less service go first only among equally urgent requests.
    queue.OnServed("b", 1);
    for (const char* it : { "brief", "note", "digest" }) {
      CPPUNIT_ASSERT_EQUAL(std::string(it), queue.Next());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.PlaceOf(it));
      queue.Remove(it);
    }
  }

  // Guards against strict priorities: a stream of urgent requests would keep
  // others waiting for ever.
  void LessUrgentRequestsAreNotStarved()
  {
    FairQueue queue;
    queue.Add(Waiting("digest", "a", 2, 25000));
    int urgent = 0;
    for (int n = 0; n < 100; ++n) {
      const std::string id = "brief-" + std::to_string(n);
      queue.Add(Waiting(id, "b", 0, 25000 + 100 * n));
      if (queue.Next() == "digest") {
        break;
      }
      ++urgent;
      queue.Remove(queue.Next());
    }
    // Two ranks of 2 s each.
    CPPUNIT_ASSERT_EQUAL(41, urgent);
  }

  void UrgencyIsOnlyToldWherePrioritiesDiffer()
  {
    RoutingTable same;
    same.AddRoute(StreamRoute("/a/", 1));
    same.AddRoute(StreamRoute("/b/", 1));
    CPPUNIT_ASSERT(!UrgencyAtTarget(same, kService, { 0, 1 }));
    RoutingTable routing;
    routing.AddRoute(StreamRoute("/a/", 0));
    routing.AddRoute(StreamRoute("/b/", 2));
    CPPUNIT_ASSERT_EQUAL(3, *UrgencyAtTarget(routing, kService, { 0, 0 }));
    CPPUNIT_ASSERT_EQUAL(5, *UrgencyAtTarget(routing, kService, { 0, 2 }));
    CPPUNIT_ASSERT(!UrgencyAtTarget(routing, "other", { 0, 0 }));
    CPPUNIT_ASSERT(RankOf({ 1, 0 }) > RankOf({ 0, 2 }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTests);
