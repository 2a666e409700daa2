#include "RetryLedger.h"

#include "core/RetryBudget.h"

#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <numeric>
#include <random>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr char kService[] = "s";

Time
At(int aMilliseconds)
{
  return Time(milliseconds(aMilliseconds));
}

// What happens to the hosts of a simulated fleet.
enum class HostTrouble
{
  None,
  // Hosts are killed one after the other and start again at once.
  Kills,
  // All hosts are killed together, several times.
  KillsOfAll,
  // Hosts leave the table of hosts, go on for some seconds and start again.
  Stops,
  // Hosts are frozen, and their messages wait.
  Freezes,
  // Machines are suspended, which the monotonic clock does not count.
  Suspensions,
  // Most messages are lost, or all.
  LostMessages,
  // Hosts join.
  Joins,
  // The table of hosts cannot be read, and hosts are killed.
  StoreAway,
  // Callers move from one host to another.
  MovingCallers,
  // Callers come in bursts.
  Bursts,
  Last,
};

constexpr NameTable<HostTrouble, 11> kTroubleNames({ "none",
                                                     "kills",
                                                     "kills_of_all",
                                                     "stops",
                                                     "freezes",
                                                     "suspensions",
                                                     "lost_messages",
                                                     "joins",
                                                     "store_away",
                                                     "moving_callers",
                                                     "bursts" });

// Hosts with a retry budget each, in virtual time, that exchange messages and
// want more retries than the budget allows. The retries are counted over all of
// them.
class FleetSimulation
{
public:
  FleetSimulation(int aHosts, HostTrouble aTrouble, unsigned aSeed)
    : mTrouble(aTrouble)
    , mRandom(aSeed)
    , mRequestsPerSecond(static_cast<int>(Pick(5, 80)))
    , mRetriesPerRequest(static_cast<int>(Pick(1, 4)))
    , mLossesAreLate(aSeed % 3 == 0)
  {
    for (int n = 0; n < aHosts; ++n) {
      Add(n >= aHosts - kLateHosts && aTrouble == HostTrouble::Joins);
    }
  }

  void SetLoad(int aRequestsPerSecond, int aRetriesPerRequest)
  {
    mRequestsPerSecond = aRequestsPerSecond;
    mRetriesPerRequest = aRetriesPerRequest;
  }

  // Plays a day; the first seconds without trouble.
  void Play()
  {
    for (mNow = 0; mNow < kDay; mNow += kStep) {
      Deliver();
      if (mNow >= kTroubleFrom && mNow < kTroubleUntil) {
        PlayTrouble();
      }
      for (auto& it : mHosts) {
        RunHost(*it);
      }
      if (mNow >= kCallersFrom) {
        SendRequests();
      }
    }
  }

  double MaxExcess() { return mLedger.MaxExcess(RetryRule()); }
  std::size_t RetryCount() const { return mLedger.RetryCount(); }
  int SentCount() const { return mSent; }

private:
  static constexpr int kStep = 10;
  static constexpr int kCallersFrom = 10000;
  static constexpr int kTroubleFrom = 25000;
  static constexpr int kTroubleUntil = 60000;
  static constexpr int kDay = 75000;
  static constexpr int kLateHosts = 3;
  static constexpr int kTableInterval = 5000;
  static constexpr int kMessageInterval = 50;
  static constexpr int kAnnounceInterval = 1000;
  static constexpr int kTotalsInterval = 250;
  static constexpr int kStopGrace = 8000;
  static constexpr unsigned kStreamTime = 6000;

  struct Host
  {
    std::string mName;
    int mPhase = 0;
    RetryBudget mBudget;
    std::uint64_t mStart = 0;
    bool mRunning = true;
    bool mListed = true;
    int mFrozenUntil = 0;
    // Time that its monotonic clock lacks.
    int mSuspended = 0;
    int mStopsAt = 0;
  };

  struct Event
  {
    int mAt;
    std::size_t mHost;
    std::function<void(Host&)> mAction;
  };

  unsigned Pick(unsigned aFrom, unsigned aTo)
  {
    return aFrom + static_cast<unsigned>(mRandom() % (aTo - aFrom + 1));
  }

  void Add(bool aLate)
  {
    auto host = std::make_unique<Host>();
    host->mName = "h" + std::to_string(mHosts.size());
    host->mPhase = static_cast<int>(Pick(0, kTableInterval / kStep)) * kStep;
    host->mRunning = !aLate;
    host->mListed = !aLate;
    mHosts.push_back(std::move(host));
    if (!aLate) {
      Start(*mHosts.back());
    }
  }

  void Start(Host& aHost)
  {
    RetryBudget::Options options;
    options.mHost = aHost.mName;
    options.mAllowance = RetryRule().mAllowance;
    aHost.mStart = static_cast<std::uint64_t>(mNow + 1);
    options.mFirstAsk = aHost.mStart << 32U;
    options.mSettledAt = RetryBudget::SettledAt(At(mNow), options.mWindow);
    Host* host = &aHost;
    options.mClock = [host](Time aTime) {
      return aTime + milliseconds(host->mSuspended);
    };
    aHost.mBudget = RetryBudget();
    aHost.mBudget.Configure(options);
    aHost.mRunning = true;
    aHost.mListed = true;
    aHost.mStopsAt = 0;
    ReadTable(aHost);
  }

  // The monotonic clock of a host.
  Time ClockOf(const Host& aHost) const { return At(mNow - aHost.mSuspended); }

  bool IsActive(const Host& aHost) const
  {
    return aHost.mRunning && mNow >= aHost.mFrozenUntil;
  }

  void ReadTable(Host& aHost)
  {
    if (mStoreAway) {
      return;
    }
    std::set<std::string> names;
    for (const auto& it : mHosts) {
      if (it->mListed) {
        names.insert(it->mName);
      }
    }
    aHost.mBudget.SetHosts(names, ClockOf(aHost));
  }

  void RunHost(Host& aHost)
  {
    if (aHost.mStopsAt > 0 && mNow >= aHost.mStopsAt) {
      Start(aHost);
    }
    if (!IsActive(aHost)) {
      return;
    }
    if ((mNow + aHost.mPhase) % kTableInterval == 0) {
      ReadTable(aHost);
    }
    if (mNow % kAnnounceInterval == 0) {
      Broadcast(aHost, [name = aHost.mName, this](Host& aReceiver) {
        aReceiver.mBudget.OnHostHeard(name, ClockOf(aReceiver));
      });
    }
    if (mNow % kTotalsInterval == 0) {
      for (const SendTotals& total : aHost.mBudget.Totals()) {
        Broadcast(aHost,
                  [this, total, name = aHost.mName, start = aHost.mStart](
                    Host& aReceiver) {
                    aReceiver.mBudget.OnPeerTotals(
                      name, start, total, ClockOf(aReceiver));
                  });
      }
    }
    if (mNow % kMessageInterval == 0) {
      SendAsks(aHost);
    }
  }

  void SendAsks(Host& aHost)
  {
    const auto sender = IndexOf(aHost);
    for (const RetryAsk& ask : aHost.mBudget.TakeAsks(ClockOf(aHost))) {
      std::vector<std::size_t> receivers(mHosts.size());
      std::iota(receivers.begin(), receivers.end(), 0);
      std::shuffle(receivers.begin(), receivers.end(), mRandom);
      receivers.resize(static_cast<std::size_t>(ask.mHosts));
      const auto answer = [this, sender, ask](Host& aReceiver) {
        const auto grant = aReceiver.mBudget.Grant(
          mHosts[sender]->mName, ask, ClockOf(aReceiver));
        if (grant) {
          Send(sender, [this, grant, name = aReceiver.mName](Host& aAsker) {
            aAsker.mBudget.OnGrant(name, *grant, ClockOf(aAsker));
          });
        }
      };
      for (const std::size_t it : receivers) {
        if (it != sender) {
          Send(it, answer);
        }
      }
    }
  }

  std::size_t IndexOf(const Host& aHost) const
  {
    std::size_t index = 0;
    while (mHosts[index].get() != &aHost) {
      ++index;
    }
    return index;
  }

  void Broadcast(const Host& aFrom, const std::function<void(Host&)>& aAction)
  {
    for (std::size_t n = 0; n < mHosts.size(); ++n) {
      if (mHosts[n].get() != &aFrom) {
        Send(n, aAction);
      }
    }
  }

  void Send(std::size_t aTo, std::function<void(Host&)> aAction)
  {
    if (Pick(1, 100) > mLostPercent) {
      mEvents.push_back(
        { mNow + static_cast<int>(Pick(1, 40)), aTo, std::move(aAction) });
    }
  }

  // Delivers what is due; messages to a frozen host wait.
  void Deliver()
  {
    std::vector<Event> due;
    std::vector<Event> later;
    for (Event& it : mEvents) {
      const Host& host = *mHosts[it.mHost];
      const bool waits = it.mAt > mNow || mNow < host.mFrozenUntil;
      (waits ? later : due).push_back(std::move(it));
    }
    mEvents = std::move(later);
    for (const Event& it : due) {
      if (IsActive(*mHosts[it.mHost])) {
        it.mAction(*mHosts[it.mHost]);
      }
    }
  }

  void SendRequests()
  {
    const bool burst = mTrouble != HostTrouble::Bursts || mNow / 700 % 9 == 0;
    const int rate = mTrouble == HostTrouble::Bursts
                       ? (burst ? 5 * mRequestsPerSecond : 0)
                       : mRequestsPerSecond;
    mDue += rate * kStep;
    for (; mDue >= 1000; mDue -= 1000) {
      std::size_t host = Pick(0, static_cast<unsigned>(mHosts.size()) - 1);
      if (mTrouble == HostTrouble::MovingCallers && mNow >= kTroubleFrom) {
        host = static_cast<std::size_t>(mNow / 3000) % mHosts.size();
      }
      SendRequest(host);
    }
  }

  void SendRequest(std::size_t aHost)
  {
    const std::string id = std::to_string(++mSent);
    mLedger.OnSent(id, At(mNow), At(mNow + 9000));
    Host& host = *mHosts[aHost];
    if (!IsActive(host)) {
      return;
    }
    host.mBudget.OnFirstAttempt(kService, ClockOf(host));
    mLedger.OnArrival(id, At(mNow), At(mNow));
    const int lostAt =
      mNow + static_cast<int>(Pick(0, mLossesAreLate ? kStreamTime : 0));
    for (int n = 1; n <= mRetriesPerRequest; ++n) {
      mEvents.push_back({ lostAt + 30 * n, aHost, [this, id](Host& aAt) {
                           if (aAt.mBudget.TakeRetry(kService, ClockOf(aAt))) {
                             mLedger.OnArrival(id, At(mNow), At(mNow));
                           }
                         } });
    }
  }

  void PlayTrouble()
  {
    Host& host = *mHosts[Pick(0, static_cast<unsigned>(mHosts.size()) - 1)];
    const bool now = mNow % 900 == 0;
    switch (mTrouble) {
      case HostTrouble::Kills:
        if (now) {
          Start(host);
        }
        break;
      case HostTrouble::KillsOfAll:
        if (mNow % 4000 == 0) {
          for (auto& it : mHosts) {
            Start(*it);
          }
        }
        break;
      case HostTrouble::Stops:
        if (now && host.mRunning && host.mStopsAt == 0) {
          host.mListed = false;
          host.mStopsAt = mNow + kStopGrace;
        }
        break;
      case HostTrouble::Freezes:
        if (now && IsActive(host)) {
          host.mFrozenUntil = mNow + static_cast<int>(Pick(500, 8000));
        }
        break;
      case HostTrouble::Suspensions:
        if (now && IsActive(host)) {
          const int span = static_cast<int>(Pick(500, 15000));
          host.mFrozenUntil = mNow + span;
          host.mSuspended += span;
        }
        break;
      case HostTrouble::LostMessages:
        if (now) {
          mLostPercent = Pick(0, 2) * 50;
        }
        break;
      case HostTrouble::Joins:
        if (now && !host.mRunning) {
          Start(host);
        }
        break;
      case HostTrouble::StoreAway:
        mStoreAway = true;
        if (now) {
          Start(host);
        }
        break;
      default:
        break;
    }
  }

  HostTrouble mTrouble;
  std::mt19937 mRandom;
  int mRequestsPerSecond;
  int mRetriesPerRequest;
  // Whether requests are lost in the middle of a stream, or at once.
  bool mLossesAreLate;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::vector<Event> mEvents;
  RetryLedger mLedger;
  int mNow = 0;
  int mDue = 0;
  int mSent = 0;
  unsigned mLostPercent = 0;
  bool mStoreAway = false;
};

RetryBudget::Options
MakeOptions(const std::string& aHost)
{
  RetryBudget::Options options;
  options.mHost = aHost;
  options.mAllowance = 150;
  return options;
}

// A host that knows aHosts hosts, itself included, and has its share.
RetryBudget
MakeSettled(int aHosts)
{
  RetryBudget budget;
  budget.Configure(MakeOptions("h0"));
  std::set<std::string> names;
  for (int n = 0; n < aHosts; ++n) {
    names.insert("h" + std::to_string(n));
  }
  budget.SetHosts(names, At(0));
  return budget;
}

int
TakeAll(RetryBudget& aBudget, int aAt)
{
  int taken = 0;
  while (aBudget.TakeRetry(kService, At(aAt))) {
    ++taken;
  }
  return taken;
}

// A budget need not be a whole number; the hosts round it differently.
void
ExpectAbout(double aExpected, int aTaken)
{
  CPPUNIT_ASSERT_MESSAGE(std::to_string(aTaken) + " instead of " +
                           std::to_string(aExpected),
                         std::abs(aTaken - aExpected) < 1);
}

} // namespace

class RetryBudgetTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RetryBudgetTests);
  CPPUNIT_TEST(RetriesOfAllHostsStayWithinTheBudget);
  CPPUNIT_TEST(ACalmFleetUsesMostOfTheBudget);
  CPPUNIT_TEST(AHostThatHasStartedHasASmallShareAtFirst);
  CPPUNIT_TEST(AHostThatKnowsNoHostsHasNoShare);
  CPPUNIT_TEST(AHostThatLeavesCountsUntilItsRetriesHaveExpired);
  CPPUNIT_TEST(AHostThatIsHeardCountsBeforeItIsListed);
  CPPUNIT_TEST(GrantedRetriesCountAtTheHostThatGrantsThem);
  CPPUNIT_TEST(LateAndRepeatedGrantsAreNotUsed);
  CPPUNIT_TEST(AHostKeepsPartOfItsRetries);
  CPPUNIT_TEST(ABusyHostGetsUnusedRetries);
  CPPUNIT_TEST(RetriesThatAreNotSentDoNotCount);
  CPPUNIT_TEST(SuspendedTimeCounts);
  CPPUNIT_TEST(ABurstBeforeAPauseIsNotCountedTwice);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against hosts that together send more retries than the budget
  // allows, whatever happens to them and their messages.
  // QUETZAL_TEST_FLEET_SEEDS sets how many days are played for each trouble.
  void RetriesOfAllHostsStayWithinTheBudget()
  {
    const char* text = std::getenv("QUETZAL_TEST_FLEET_SEEDS");
    const unsigned seeds =
      text == nullptr ? 24U : static_cast<unsigned>(std::atoi(text));
    for (int n = 0; n < static_cast<int>(HostTrouble::Last); ++n) {
      const auto trouble = static_cast<HostTrouble>(n);
      const std::string name(kTroubleNames.NameOf(trouble));
      double worst = -1000;
      std::size_t retries = 0;
      for (unsigned seed = 1; seed <= seeds; ++seed) {
        const int hosts = seed % 2 == 0 ? 6 : 9;
        FleetSimulation fleet(hosts, trouble, seed);
        fleet.Play();
        worst = std::max(worst, fleet.MaxExcess());
        retries += fleet.RetryCount();
        CPPUNIT_ASSERT_MESSAGE(name + ", seed " + std::to_string(seed) + ": " +
                                 std::to_string(fleet.MaxExcess()),
                               fleet.MaxExcess() <= 0);
      }
      if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
        std::cout << "trouble " << name << ": retries " << retries
                  << ", most beyond the budget " << worst << '\n';
      }
    }
  }

  // Guards against a budget that is kept by refusing more than it has to.
  void ACalmFleetUsesMostOfTheBudget()
  {
    for (const int hosts : { 6, 9, 60 }) {
      FleetSimulation fleet(hosts, HostTrouble::None, 1);
      fleet.SetLoad(40, 3);
      fleet.Play();
      CPPUNIT_ASSERT(fleet.MaxExcess() <= 0);
      // A tenth is a margin, and each host has a fraction that it cannot use.
      const double limit = 0.8 * 400 + 150;
      CPPUNIT_ASSERT_MESSAGE(std::to_string(hosts) +
                               " hosts: " + std::to_string(fleet.MaxExcess()),
                             fleet.MaxExcess() >= -0.1 * limit - hosts);
    }
  }

  // Guards against each start of a host bringing a new share: what it sent
  // before still counts.
  void AHostThatHasStartedHasASmallShareAtFirst()
  {
    RetryBudget::Options options = MakeOptions("h0");
    options.mSettledAt = RetryBudget::SettledAt(At(1000), options.mWindow);
    RetryBudget budget;
    budget.Configure(options);
    budget.SetHosts({ "h0", "h1" }, At(1000));
    // A small part of its share.
    const int atStart = TakeAll(budget, 2000);
    ExpectAbout(4.05, atStart);
    // Most of the ratio of its own first attempts.
    for (int n = 0; n < 10; ++n) {
      budget.OnFirstAttempt(kService, At(3000));
    }
    ExpectAbout(4.05 + 6.1 - atStart, TakeAll(budget, 3100));
    ExpectAbout(67.5, TakeAll(budget, 30000));
  }

  // Guards against a host taking itself for the only one.
  void AHostThatKnowsNoHostsHasNoShare()
  {
    RetryBudget budget;
    budget.Configure(MakeOptions("h0"));
    CPPUNIT_ASSERT_EQUAL(0, TakeAll(budget, 60000));
    budget.SetHosts({ "h0" }, At(60000));
    ExpectAbout(135, TakeAll(budget, 60000));
  }

  // Guards against the shares of the others growing while a host that has left
  // the table still serves.
  void AHostThatLeavesCountsUntilItsRetriesHaveExpired()
  {
    RetryBudget budget = MakeSettled(3);
    budget.SetHosts({ "h0", "h1" }, At(101000));
    ExpectAbout(45, TakeAll(budget, 115000));
    ExpectAbout(67.5, TakeAll(budget, 140000));
  }

  void AHostThatIsHeardCountsBeforeItIsListed()
  {
    RetryBudget budget = MakeSettled(2);
    budget.OnHostHeard("h7", At(1000));
    ExpectAbout(45, TakeAll(budget, 1000));
  }

  // Guards against two hosts using the same unused retries.
  void GrantedRetriesCountAtTheHostThatGrantsThem()
  {
    RetryBudget granting = MakeSettled(3);
    const auto first = granting.Grant("h1", { kService, 1, 20, 1 }, At(1000));
    CPPUNIT_ASSERT(first && first->mCount == 20);
    // The same ask again.
    CPPUNIT_ASSERT(!granting.Grant("h1", { kService, 1, 20, 1 }, At(1010)));
    const auto second = granting.Grant("h2", { kService, 7, 20, 1 }, At(1020));
    CPPUNIT_ASSERT(second && second->mCount < 20);
    const int granted = first->mCount + second->mCount;
    ExpectAbout(45 - granted, TakeAll(granting, 1030));
    // They can be used for a while after they were granted.
    ExpectAbout(45 - granted, TakeAll(granting, 11100));
    ExpectAbout(45, TakeAll(granting, 25000));
  }

  // Guards against a host that was frozen using grants that no longer count
  // elsewhere.
  void LateAndRepeatedGrantsAreNotUsed()
  {
    const auto takeWith = [](int aGrantAt, int aUseAt) {
      RetryBudget budget = MakeSettled(150);
      budget.OnHostHeard("h1", At(900));
      TakeAll(budget, 1000);
      const auto asks = budget.TakeAsks(At(1000));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, asks.size());
      const RetryGrant grant{ kService, asks[0].mId, 2 };
      budget.OnGrant("h1", grant, At(aGrantAt));
      budget.OnGrant("h1", grant, At(aGrantAt));
      return TakeAll(budget, aUseAt);
    };
    CPPUNIT_ASSERT_EQUAL(2, takeWith(1100, 1200));
    CPPUNIT_ASSERT_EQUAL(0, takeWith(1100, 3200));
    CPPUNIT_ASSERT_EQUAL(0, takeWith(2100, 2200));
    RetryBudget other = MakeSettled(2);
    other.OnGrant("h1", { kService, 99, 100 }, At(1000));
    ExpectAbout(67.5, TakeAll(other, 1000));
  }

  // Guards against a host giving away all retries that it may need itself.
  void AHostKeepsPartOfItsRetries()
  {
    RetryBudget budget = MakeSettled(3);
    for (int n = 0; n < 20; ++n) {
      CPPUNIT_ASSERT(budget.TakeRetry(kService, At(900 + n)));
    }
    const auto grant = budget.Grant("h1", { kService, 1, 100, 1 }, At(1000));
    CPPUNIT_ASSERT(grant && grant->mCount >= 17 && grant->mCount <= 19);
    CPPUNIT_ASSERT(TakeAll(budget, 1000) >= 6);
  }

  // Guards against a host running out of retries while others have unused ones:
  // when a place fails, some hosts lose more streams than their own share of
  // the budget covers.
  void ABusyHostGetsUnusedRetries()
  {
    std::vector<RetryBudget> budgets;
    std::set<std::string> names;
    for (int n = 0; n < 10; ++n) {
      names.insert("h" + std::to_string(n));
    }
    for (const std::string& it : names) {
      RetryBudget::Options options = MakeOptions(it);
      options.mAllowance = 30;
      budgets.emplace_back();
      budgets.back().Configure(options);
      budgets.back().SetHosts(names, At(0));
      for (const std::string& other : names) {
        if (other != it) {
          budgets.back().OnHostHeard(other, At(50));
        }
      }
    }
    int taken = 0;
    for (int now = 100; now < 2000; now += 50) {
      taken += budgets[0].TakeRetry(kService, At(now)) ? 1 : 0;
      for (const RetryAsk& ask : budgets[0].TakeAsks(At(now))) {
        for (std::size_t n = 1; n < budgets.size(); ++n) {
          if (const auto grant = budgets[n].Grant("h0", ask, At(now))) {
            budgets[0].OnGrant("h" + std::to_string(n), *grant, At(now));
          }
        }
      }
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(taken), taken >= 15);
    CPPUNIT_ASSERT(taken <= 30);
  }

  // Guards against unreachable targets using up the budget, here or at the
  // hosts that hear of what this one has sent.
  void RetriesThatAreNotSentDoNotCount()
  {
    RetryBudget budget = MakeSettled(1);
    RetryBudget other = MakeSettled(1);
    for (int n = 0; n < 1000; ++n) {
      CPPUNIT_ASSERT(budget.TakeRetry(kService, At(1000 + n)));
      other.OnPeerTotals("h1", 1, budget.Totals()[0], At(1000 + n));
      budget.ReturnRetry(kService);
      other.OnPeerTotals("h1", 1, budget.Totals()[0], At(1000 + n));
    }
    ExpectAbout(135, TakeAll(budget, 2000));
    ExpectAbout(135, TakeAll(other, 2000));
  }

  // Guards against a host that was suspended taking old first attempts for
  // recent ones.
  void SuspendedTimeCounts()
  {
    RetryBudget budget;
    RetryBudget::Options options = MakeOptions("h0");
    Duration suspended = Duration::zero();
    options.mClock = [&](Time aNow) { return aNow + suspended; };
    budget.Configure(options);
    for (int n = 0; n < 100; ++n) {
      budget.OnFirstAttempt(kService, At(1000));
    }
    suspended = std::chrono::seconds(60);
    CPPUNIT_ASSERT_EQUAL(0, TakeAll(budget, 1100));
  }

  // Guards against retries being compared with requests of two windows.
  void ABurstBeforeAPauseIsNotCountedTwice()
  {
    RetryBudget budget = MakeSettled(1);
    for (int n = 0; n < 100; ++n) {
      budget.OnFirstAttempt(kService, At(1000));
    }
    for (int n = 0; n < 100; ++n) {
      budget.OnFirstAttempt(kService, At(9000));
    }
    // The allowance, and the ratio of one of the bursts.
    const int taken = TakeAll(budget, 9100);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(taken), taken <= 80 + 150);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTests);
