#include "core/TargetLimits.h"
#include "core/TargetTable.h"
#include "platform/PlatformRequests.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr char kTarget[] = "t0";

// The platform's bound: from kSettledMs after a limit was named, a target may
// get at most one and a half times what the limit allows in any kWindowMs, and
// kMargin requests more.
constexpr int kSettledMs = 3000;
constexpr int kWindowMs = 4000;
constexpr double kFactor = 1.5;
constexpr double kMargin = 5;

// Requests count from this time on after their host has got an answer that
// names the limit.
constexpr int kToldMs = 500;

constexpr int kStepMs = 20;
constexpr int kEndMs = 40000;

// The hosts have been up for a while when the limit is named.
constexpr int kNamedMs = 20000;

Time
At(int aMs)
{
  return Time(std::chrono::hours(1) + milliseconds(aMs));
}

TargetLimits::Options
OptionsOf(const std::string& aHost, int aStartedMs, int aStart = 0)
{
  TargetLimits::Options options;
  options.mHost = aHost;
  options.mStartedAt = At(aStartedMs);
  options.mFirstAsk = static_cast<std::uint64_t>(aStart) << 32U;
  return options;
}

// What happens to the hosts of a simulated fleet.
enum class HostTrouble
{
  None,
  // Single hosts are killed and start again.
  Kills,
  // All hosts are killed at once.
  KillsOfAll,
  // A third of the hosts joins.
  Joins,
  Last,
};

constexpr NameTable<HostTrouble, 4> kTroubleNames(
  { "none", "kills", "kills of all", "joins" });

// Hosts that send to one limited target as much as they may, in virtual time.
class LimitSimulation
{
public:
  // With aMessages, hosts hear each other; a tenth of the messages is lost.
  LimitSimulation(int aHosts,
                  double aLimit,
                  HostTrouble aTrouble,
                  bool aMessages,
                  unsigned aSeed)
    : mLimit(aLimit)
    , mTrouble(aTrouble)
    , mMessages(aMessages)
    , mRandom(aSeed)
  {
    for (int n = 0; n < aHosts; ++n) {
      mNames.push_back("h" + std::to_string(n));
    }
    mUp = aTrouble == HostTrouble::Joins ? std::max(1, aHosts * 2 / 3) : aHosts;
    mHosts.resize(static_cast<std::size_t>(aHosts));
    mToldMs.resize(mHosts.size());
    for (int n = 0; n < aHosts; ++n) {
      Start(static_cast<std::size_t>(n), 0);
    }
    ListHosts(0);
  }

  void Run()
  {
    for (int ms = 0; ms < kEndMs; ms += kStepMs) {
      ApplyTrouble(ms);
      for (std::size_t n = 0; n < static_cast<std::size_t>(mUp); ++n) {
        if (ms >= kNamedMs) {
          SendFrom(n, ms);
        }
      }
      if (mMessages && ms % 100 == 0) {
        Exchange(ms);
      }
    }
  }

  // Most requests in a window after the limit counts, and the part of the limit
  // that was used.
  int Most() const
  {
    int most = 0;
    std::deque<int> window;
    for (const int it : mSentMs) {
      window.push_back(it);
      while (it - window.front() >= kWindowMs) {
        window.pop_front();
      }
      most = std::max(most, static_cast<int>(window.size()));
    }
    return most;
  }
  double Used() const
  {
    return static_cast<double>(mSentMs.size()) * 1000 /
           (mLimit * (kEndMs - kNamedMs - kSettledMs));
  }

private:
  void Start(std::size_t aHost, int aMs)
  {
    mHosts[aHost] = TargetLimits();
    mToldMs[aHost] = kEndMs;
    mHosts[aHost].Configure(OptionsOf(mNames[aHost], aMs, aMs + 1));
  }

  void ListHosts(int aMs)
  {
    const std::set<std::string> names(mNames.begin(), mNames.begin() + mUp);
    for (TargetLimits& it : mHosts) {
      it.Shares().SetHosts(names, At(aMs));
    }
  }

  void ApplyTrouble(int aMs)
  {
    if (mTrouble == HostTrouble::Kills && aMs > kNamedMs && aMs % 3000 == 0) {
      const std::size_t host = mRandom() % mHosts.size();
      Start(host, aMs);
      ListHosts(aMs);
    }
    if (mTrouble == HostTrouble::KillsOfAll && aMs == kNamedMs + 8000) {
      for (std::size_t n = 0; n < mHosts.size(); ++n) {
        Start(n, aMs);
      }
      ListHosts(aMs);
    }
    if (mTrouble == HostTrouble::Joins && aMs == kNamedMs + 8000) {
      for (std::size_t n = static_cast<std::size_t>(mUp); n < mHosts.size();
           ++n) {
        Start(n, aMs);
      }
      mUp = static_cast<int>(mHosts.size());
      ListHosts(aMs);
    }
  }

  // Each answer names the limit.
  void SendFrom(std::size_t aHost, int aMs)
  {
    TargetLimits& limits = mHosts[aHost];
    if (limits.LimitOf(kTarget) && !limits.CanSend(kTarget, At(aMs))) {
      limits.OnRefused(kTarget, At(aMs));
      return;
    }
    limits.OnSent(kTarget, At(aMs));
    limits.OnReport({ kTarget, mLimit, At(aMs) });
    mToldMs[aHost] = std::min(mToldMs[aHost], aMs);
    if (aMs >= std::max(kNamedMs + kSettledMs, mToldMs[aHost] + kToldMs)) {
      mSentMs.push_back(aMs);
    }
  }

  void Exchange(int aMs)
  {
    for (std::size_t from = 0; from < static_cast<std::size_t>(mUp); ++from) {
      const auto totals = mHosts[from].Shares().Totals();
      const auto asks = mHosts[from].Shares().TakeAsks(At(aMs));
      for (std::size_t to = 0; to < static_cast<std::size_t>(mUp); ++to) {
        if (to == from || mRandom() % 10 == 0) {
          continue;
        }
        RetryBudget& peer = mHosts[to].Shares();
        peer.OnHostHeard(mNames[from], At(aMs));
        for (const SendTotals& it : totals) {
          peer.OnPeerTotals(mNames[from], 1, it, At(aMs));
        }
        for (const RetryAsk& it : asks) {
          if (const auto grant = peer.Grant(mNames[from], it, At(aMs))) {
            mHosts[from].Shares().OnGrant(mNames[to], *grant, At(aMs));
          }
        }
      }
    }
  }

  double mLimit;
  HostTrouble mTrouble;
  bool mMessages;
  std::mt19937 mRandom;
  std::vector<std::string> mNames;
  std::vector<TargetLimits> mHosts;
  // When each host's process first got an answer that names the limit.
  std::vector<int> mToldMs;
  int mUp = 0;
  std::vector<int> mSentMs;
};

TargetTable
MakeTable(int aTargets)
{
  TargetTableOptions options;
  options.mSampleSize = 0;
  options.mIsolateSuspects = false;
  TargetTable table(options);
  std::vector<TargetDeclaration> targets;
  for (int n = 0; n < aTargets; ++n) {
    TargetDeclaration target;
    target.mName = "t" + std::to_string(n);
    target.mService = "s";
    target.mIncarnation = "0";
    targets.push_back(target);
  }
  table.Declare({ { "s", "" } }, targets, "", At(0));
  table.Limits().Configure(OptionsOf("h", 0));
  table.Limits().Shares().SetHosts({ "h" }, At(0));
  return table;
}

ChoiceQuery
QueryOf(const std::string& aRequestId, int aPriority = 1)
{
  ChoiceQuery query;
  query.mService = "s";
  query.mRequestId = aRequestId;
  query.mDeadline = At(60000);
  query.mPriority = { aPriority, 0 };
  return query;
}

// Number of requests that a table sends at once.
int
CountChosen(TargetTable& aTable, int aMs, int aMost, int aPriority = 1)
{
  int count = 0;
  for (int n = 0; n < aMost; ++n) {
    ChoiceQuery query = QueryOf(std::to_string(n), aPriority);
    count +=
      aTable.Choose(query, At(aMs)).mStatus == ChoiceStatus::Chosen ? 1 : 0;
    aTable.CancelWait(query);
  }
  return count;
}

platform::TargetResponse
AnswerWith(const std::string& aLimit)
{
  HttpHead head;
  head.mStatus = 200;
  head.mFields.push_back({ "Server-Limit", aLimit });
  return platform::DecodeTargetResponse(head);
}

} // namespace

// Limits that targets name, without a network.
class TargetLimitTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetLimitTests);
  CPPUNIT_TEST(HostsShareALimit);
  CPPUNIT_TEST(HostsThatHearNobodyShareALimit);
  CPPUNIT_TEST(ManyHostsShareALimit);
  CPPUNIT_TEST(TheRestGoesToOtherTargets);
  CPPUNIT_TEST(RepeatsAndContinuationsCount);
  CPPUNIT_TEST(WhatDidNotArriveDoesNotCount);
  CPPUNIT_TEST(LessUrgentRequestsAreHeldBack);
  CPPUNIT_TEST(ALimitIsLiftedByTheLatestAnswer);
  CPPUNIT_TEST(ALimitEndsWithItsTarget);
  CPPUNIT_TEST(ALimitOfZeroIsProbed);
  CPPUNIT_TEST(LimitsAreParsed);
  CPPUNIT_TEST_SUITE_END();

public:
  // These guard against limits that each host applies for itself.
  void HostsShareALimit()
  {
    for (const int hosts : { 1, 2, 4, 6, 9 }) {
      ExpectKept(hosts, true, 0.6);
    }
  }

  void HostsThatHearNobodyShareALimit()
  {
    for (const int hosts : { 1, 2, 4, 6, 9 }) {
      ExpectKept(hosts, false, 0);
    }
  }

  void ManyHostsShareALimit()
  {
    for (const int hosts : { 60, 450 }) {
      ExpectKept(hosts, false, 0);
    }
  }

  void TheRestGoesToOtherTargets()
  {
    TargetTable table = MakeTable(2);
    table.Limits().OnReport({ "t0", 1.0, At(1000) });
    std::map<std::string, int> sent;
    for (int n = 0; n < 40; ++n) {
      const Choice choice = table.Choose(QueryOf(std::to_string(n)), At(10000));
      CPPUNIT_ASSERT(choice.mStatus == ChoiceStatus::Chosen);
      ++sent[choice.mTarget];
    }
    CPPUNIT_ASSERT(sent["t0"] <= 5);
    CPPUNIT_ASSERT(sent["t0"] >= 4);
  }

  // Guards against a limit that only first attempts count against.
  void RepeatsAndContinuationsCount()
  {
    TargetTable table = MakeTable(1);
    table.Limits().OnReport({ "t0", 1.0, At(1000) });
    int sent = 0;
    for (int n = 0; n < 20; ++n) {
      ChoiceQuery query = QueryOf(std::to_string(n));
      query.mIsRetry = n % 2 == 0;
      query.mContinuation = n % 4 < 2;
      query.mCopyHolder = "t0";
      sent += table.Choose(query, At(10000)).mStatus == ChoiceStatus::Chosen;
      table.CancelWait(query);
    }
    CPPUNIT_ASSERT(sent >= 4);
    CPPUNIT_ASSERT(sent <= 5);
  }

  void WhatDidNotArriveDoesNotCount()
  {
    TargetTable table = MakeTable(1);
    table.Limits().OnReport({ "t0", 1.0, At(1000) });
    const int sent = CountChosen(table, 10000, 20);
    CPPUNIT_ASSERT_EQUAL(0, CountChosen(table, 10010, 5));
    table.OnAttemptNotReceived("t0");
    CPPUNIT_ASSERT_EQUAL(1, CountChosen(table, 10020, 5));
    CPPUNIT_ASSERT(sent >= 4);
  }

  // Guards against less urgent requests using up what the limits allow.
  void LessUrgentRequestsAreHeldBack()
  {
    TargetTable table = MakeTable(1);
    table.Limits().OnReport({ "t0", 1.0, At(1000) });
    CPPUNIT_ASSERT(CountChosen(table, 10000, 20, 0) >= 4);
    // A window later, an urgent request was refused less than a second ago.
    CPPUNIT_ASSERT_EQUAL(0, CountChosen(table, 13500, 3, 0));
    CPPUNIT_ASSERT_EQUAL(0, CountChosen(table, 14100, 3, 1));
    const Choice choice = table.Choose(QueryOf("late", 1), At(14110));
    CPPUNIT_ASSERT(choice.mStatus == ChoiceStatus::Busy);
    CPPUNIT_ASSERT(choice.mLimited);
    table.CancelWait(QueryOf("late", 1));
    CPPUNIT_ASSERT_EQUAL(1, CountChosen(table, 14200, 1, 0));
    CPPUNIT_ASSERT_EQUAL(1, CountChosen(table, 16000, 1, 1));
  }

  void ALimitIsLiftedByTheLatestAnswer()
  {
    TargetLimits limits;
    limits.Configure(OptionsOf("h", 0));
    CPPUNIT_ASSERT(!limits.OnReport({ kTarget, std::nullopt, At(1000) }));
    CPPUNIT_ASSERT(limits.OnReport({ kTarget, 2.0, At(2000) }));
    CPPUNIT_ASSERT(!limits.OnReport({ kTarget, 2.0, At(2100) }));
    CPPUNIT_ASSERT(limits.OnReport({ kTarget, 3.0, At(2200) }));
    CPPUNIT_ASSERT(limits.OnReport({ kTarget, std::nullopt, At(3000) }));
    // Another host's report of before arrives late.
    CPPUNIT_ASSERT(!limits.OnReport({ kTarget, 3.0, At(2500) }));
    CPPUNIT_ASSERT(limits.CanSend(kTarget, At(3100)));
    CPPUNIT_ASSERT(!limits.LimitOf(kTarget).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), limits.Reports(At(3500)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), limits.Reports(At(9000)).size());
  }

  void ALimitEndsWithItsTarget()
  {
    TargetTable table = MakeTable(2);
    table.Limits().OnReport({ "t0", 1.0, At(1000) });
    table.Limits().OnReport({ "t1", 1.0, At(1000) });
    TargetDeclaration restarted;
    restarted.mName = "t0";
    restarted.mService = "s";
    restarted.mIncarnation = "1";
    table.Declare({ { "s", "" } }, { restarted }, "", At(2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.Limits().Count());
  }

  // Guards against a target that names zero never being asked again.
  void ALimitOfZeroIsProbed()
  {
    TargetLimits limits;
    limits.Configure(OptionsOf("h", 0));
    limits.Shares().SetHosts({ "h", "i", "k" }, At(0));
    limits.OnReport({ kTarget, 0.0, At(10000) });
    int sent = 0;
    for (int ms = 10000; ms < 50000; ms += 10) {
      if (limits.CanSend(kTarget, At(ms))) {
        limits.OnSent(kTarget, At(ms));
        ++sent;
      }
    }
    CPPUNIT_ASSERT(sent >= 3);
    CPPUNIT_ASSERT(sent <= 13);
  }

  void LimitsAreParsed()
  {
    CPPUNIT_ASSERT_EQUAL(2.4, AnswerWith("2.4").mRequestLimit.value());
    CPPUNIT_ASSERT_EQUAL(12.0, AnswerWith("12").mRequestLimit.value());
    CPPUNIT_ASSERT_EQUAL(0.0, AnswerWith("0").mRequestLimit.value());
    for (const char* it :
         { "", "abc", "-1", "nan", "inf", "1e3", "1e999", "2.4x", "2,4" }) {
      const auto answer = AnswerWith(it);
      CPPUNIT_ASSERT_MESSAGE(it, !answer.mRequestLimit.has_value());
      CPPUNIT_ASSERT_MESSAGE(it, !answer.mMalformedLimit.empty());
    }
    HttpHead head;
    CPPUNIT_ASSERT(
      platform::DecodeTargetResponse(head).mMalformedLimit.empty());
    CPPUNIT_ASSERT(platform::IsGatewayOnlyField("server-limit"));
  }

private:
  static void ExpectKept(int aHosts, bool aMessages, double aMinUsed)
  {
    for (const double limit : { 0.2, 0.5, 1.0, 2.4, 6.0, 20.0 }) {
      for (int n = 0; n < static_cast<int>(HostTrouble::Last); ++n) {
        const auto trouble = static_cast<HostTrouble>(n);
        LimitSimulation simulation(aHosts, limit, trouble, aMessages, 1);
        simulation.Run();
        const double allowed = kFactor * limit * kWindowMs / 1000 + kMargin;
        char buf[160];
        std::snprintf(buf,
                      sizeof buf,
                      "hosts %d, %s, limit %.1f/s, messages %d: most %d of "
                      "%d, used %.2f",
                      aHosts,
                      std::string(kTroubleNames.NameOf(trouble)).c_str(),
                      limit,
                      aMessages ? 1 : 0,
                      simulation.Most(),
                      static_cast<int>(allowed),
                      simulation.Used());
        if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
          std::cout << buf << '\n';
        }
        CPPUNIT_ASSERT_MESSAGE(buf, simulation.Most() <= allowed);
        if (trouble == HostTrouble::None && limit >= 1) {
          CPPUNIT_ASSERT_MESSAGE(buf, simulation.Used() >= aMinUsed);
        }
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLimitTests);
