#include "core/SuspectRegistry.h"
#include "gateway/LoadBroadcaster.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kCrashing = 1;

// What the platform grants: the time until a third crash must be known, and the
// runs that may start after that.
constexpr int kKnownWithinMs = 3000;
constexpr int kMaxLateRuns = 3;

// Time from a crash until the host knows it for certain, and until the target
// is back.
constexpr int kConfirmationMs = 40;
constexpr int kDowntimeMs = 1200;

// Age from which the loss of a run does not count.
constexpr int kProgressMs = static_cast<int>(
  std::chrono::duration_cast<milliseconds>(SuspectRegistry::kProgressTime)
    .count());

constexpr int kStepMs = 10;
constexpr int kEndMs = 16000;

// Bytes a second that control may cost a host, on average.
constexpr int kMaxControlBytesPerSecond = 19000;

// Share of lost datagrams.
constexpr double kLossRate = 0.1;

// Bytes of one record and one lost run in a datagram, rounded up.
constexpr int kRecordBytes = 30;
constexpr int kRunBytes = 60;

Time
At(int aMs)
{
  return Time(std::chrono::hours(1) + milliseconds(aMs));
}

constexpr SuspectRegistry::Options kOptions = { 3, milliseconds(600) };

struct FleetSize
{
  int mHosts;
  int mTargets;
  int mPlaces;
};

// How the crashing request behaves.
struct CrashingKind
{
  // Runs of one client attempt, one after the other.
  int mAttempts;
  // Time between two client attempts, at random hosts.
  int mReturnMs;
};

// Hosts that exchange their suspects, targets with other requests on them, one
// request that crashes each target, targets that crash by themselves, and the
// failure of a place. Performs no I/O.
class SharingSimulation
{
public:
  SharingSimulation(FleetSize aSize, CrashingKind aKind, std::uint64_t aSeed)
    : mSize(aSize)
    , mKind(aKind)
    , mRandom(aSeed)
    , mHosts(static_cast<std::size_t>(aSize.mHosts), SuspectRegistry(kOptions))
    , mTargets(static_cast<std::size_t>(aSize.mTargets))
  {
    for (int n = 0; n < 4 * aSize.mTargets; ++n) {
      StartOther(Pick(aSize.mHosts), 0);
    }
  }

  void Run()
  {
    for (int ms = 0; ms < kEndMs; ms += kStepMs) {
      Deliver(ms);
      FinishRequests(ms);
      // Targets that crash by themselves.
      if (ms % 3000 == 1500) {
        Crash(PickTarget(), ms, false);
      }
      if (ms == 1000) {
        FailPlace(ms);
      }
      if (ms >= 2000 && ms % mKind.mReturnMs == 0) {
        mAttempts.push_back({ Pick(mSize.mHosts), mKind.mAttempts, ms });
      }
      RunAttempts(ms);
      SendNews(ms);
    }
  }

  int LateRuns() const { return mLateRuns; }
  int OthersRefused() const { return mOthersRefused; }
  int Crashes() const { return static_cast<int>(mCrashTimes.size()); }
  int KnownEverywhereMs() const { return mKnownMs; }
  int Datagrams() const { return mDatagrams; }
  int Bytes() const { return mBytes; }

private:
  struct Running
  {
    int mHost;
    std::uint64_t mContent;
    int mStartedMs;
    int mEndsMs;
  };

  struct Target
  {
    int mStart = 0;
    int mUpMs = 0;
    std::vector<Running> mRunning;
  };

  // A run that a host will know to be lost.
  struct Loss
  {
    int mHost;
    std::uint64_t mContent;
    LostRun mRun;
  };

  struct Attempt
  {
    int mHost;
    int mRunsLeft;
    int mDueMs;
  };

  int Pick(int aCount)
  {
    return std::uniform_int_distribution<int>(0, aCount - 1)(mRandom);
  }

  int PickTarget() { return Pick(mSize.mTargets); }

  // A running target; -1 if none was found.
  int PickRunning(int aMs)
  {
    for (int n = 0; n < 20; ++n) {
      const int target = PickTarget();
      if (mTargets[static_cast<std::size_t>(target)].mUpMs <= aMs) {
        return target;
      }
    }
    return -1;
  }

  void StartOther(int aHost, int aMs, std::uint64_t aContent = 0)
  {
    const int target = PickRunning(aMs);
    if (target >= 0) {
      const std::uint64_t content = aContent != 0 ? aContent : ++mLastContent;
      mTargets[static_cast<std::size_t>(target)].mRunning.push_back(
        { aHost, content, aMs, aMs + 1000 + Pick(8000) });
    }
  }

  void Crash(int aTarget, int aMs, bool aByRequest)
  {
    Target& target = mTargets[static_cast<std::size_t>(aTarget)];
    if (target.mUpMs > aMs) {
      return;
    }
    TargetDeath death;
    death.mId = static_cast<std::uint64_t>(aTarget) * 1000 +
                static_cast<std::uint64_t>(target.mStart);
    death.mPlace = static_cast<std::uint64_t>(aTarget % mSize.mPlaces);
    death.mAt = At(aMs);
    for (const Running& it : target.mRunning) {
      if (aMs - it.mStartedMs >= kProgressMs) {
        StartOther(it.mHost, aMs, it.mContent);
        continue;
      }
      mLosses[aMs + kConfirmationMs].push_back(
        { it.mHost, it.mContent, { death, At(it.mStartedMs) } });
    }
    target.mRunning.clear();
    ++target.mStart;
    target.mUpMs = aMs + kDowntimeMs;
    if (aByRequest) {
      mCrashTimes.push_back(aMs);
    }
  }

  void FailPlace(int aMs)
  {
    for (int n = 0; n < mSize.mTargets; n += mSize.mPlaces) {
      Crash(n, aMs, false);
    }
  }

  // Tells the hosts the losses and messages that are due.
  void Deliver(int aMs)
  {
    while (!mLosses.empty() && mLosses.begin()->first <= aMs) {
      for (const Loss& it : mLosses.begin()->second) {
        SuspectRegistry& host = HostAt(it.mHost);
        host.OnRunLost(it.mContent, it.mRun, At(aMs));
        if (it.mContent == kCrashing) {
          continue;
        }
        if (host.IsRefused(it.mContent, At(aMs))) {
          ++mOthersRefused;
        } else {
          StartOther(it.mHost, aMs, it.mContent);
        }
      }
      mLosses.erase(mLosses.begin());
    }
    while (!mMessages.empty() && mMessages.begin()->first <= aMs) {
      for (const auto& it : mMessages.begin()->second) {
        for (const SuspectReport& report : it.second) {
          HostAt(it.first).Merge(report,
                                 mHosts.size() >
                                   LoadBroadcaster::kMaxReceivers + 1,
                                 At(aMs));
        }
      }
      mMessages.erase(mMessages.begin());
    }
    if (mKnownMs < 0 && mCrashTimes.size() >= 3 &&
        std::all_of(mHosts.begin(), mHosts.end(), [&](const auto& aHost) {
          return aHost.IsRefused(kCrashing, At(aMs));
        })) {
      mKnownMs = aMs - mCrashTimes[2];
    }
  }

  void FinishRequests(int aMs)
  {
    for (Target& it : mTargets) {
      auto& running = it.mRunning;
      for (std::size_t n = 0; n < running.size();) {
        if (running[n].mContent != kCrashing &&
            aMs - running[n].mStartedMs == kProgressMs) {
          HostAt(running[n].mHost).ClearSuspect(running[n].mContent, At(aMs));
        }
        if (running[n].mEndsMs > aMs) {
          ++n;
          continue;
        }
        const Running done = running[n];
        running.erase(running.begin() + static_cast<long>(n));
        HostAt(done.mHost).ClearSuspect(done.mContent, At(aMs));
        StartOther(Pick(mSize.mHosts), aMs);
      }
    }
  }

  void RunAttempts(int aMs)
  {
    std::vector<Attempt> due;
    std::vector<Attempt> later;
    for (const Attempt& it : mAttempts) {
      (it.mDueMs <= aMs ? due : later).push_back(it);
    }
    mAttempts = std::move(later);
    for (const Attempt& it : due) {
      const int target = PickRunning(aMs);
      if (target < 0 || HostAt(it.mHost).IsRefused(kCrashing, At(aMs))) {
        continue;
      }
      if (mCrashTimes.size() >= 3 && aMs > mCrashTimes[2] + kKnownWithinMs) {
        ++mLateRuns;
      }
      mTargets[static_cast<std::size_t>(target)].mRunning.push_back(
        { it.mHost, kCrashing, aMs, kEndMs });
      Crash(target, aMs, true);
      if (it.mRunsLeft > 1) {
        mAttempts.push_back({ it.mHost, it.mRunsLeft - 1, aMs + kStepMs });
      }
    }
  }

  void SendNews(int aMs)
  {
    if (aMs %
          static_cast<int>(ToMilliseconds(SuspectRegistry::kNewsInterval)) !=
        0) {
      return;
    }
    std::vector<int> others;
    for (int n = 0; n < mSize.mHosts; ++n) {
      others.push_back(n);
    }
    for (int n = 0; n < mSize.mHosts; ++n) {
      const auto news = HostAt(n).TakeNews(At(aMs));
      if (news.empty()) {
        continue;
      }
      std::vector<int> receivers;
      std::sample(others.begin(),
                  others.end(),
                  std::back_inserter(receivers),
                  LoadBroadcaster::kMaxReceivers,
                  mRandom);
      for (const int it : receivers) {
        if (it == n) {
          continue;
        }
        ++mDatagrams;
        for (const SuspectReport& report : news) {
          mBytes +=
            kRecordBytes + kRunBytes * static_cast<int>(report.mRuns.size());
        }
        if (std::uniform_real_distribution<double>()(mRandom) >= kLossRate) {
          mMessages[aMs + 20 + Pick(80)].emplace_back(it, news);
        }
      }
    }
  }

  SuspectRegistry& HostAt(int aHost)
  {
    return mHosts[static_cast<std::size_t>(aHost)];
  }

  FleetSize mSize;
  CrashingKind mKind;
  std::mt19937_64 mRandom;
  std::vector<SuspectRegistry> mHosts;
  std::vector<Target> mTargets;
  std::map<int, std::vector<Loss>> mLosses;
  std::map<int, std::vector<std::pair<int, std::vector<SuspectReport>>>>
    mMessages;
  std::vector<Attempt> mAttempts;
  std::vector<int> mCrashTimes;
  std::uint64_t mLastContent = 1000;
  int mKnownMs = -1;
  int mLateRuns = 0;
  int mOthersRefused = 0;
  int mDatagrams = 0;
  int mBytes = 0;
};

} // namespace

// What hosts have to know of each other's suspects, without a network. With
// QUETZAL_TEST_FIGURES set, each simulation prints its figures.
class SuspectSharingTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SuspectSharingTests);
  CPPUNIT_TEST(NineHostsStopACrashingRequest);
  CPPUNIT_TEST(SixtyHostsStopACrashingRequest);
  CPPUNIT_TEST(FourHundredFiftyHostsStopACrashingRequest);
  CPPUNIT_TEST(MergingIsIndependentOfOrderAndRepetition);
  CPPUNIT_TEST(AClearedRequestStaysClearedWhenOldReportsArrive);
  CPPUNIT_TEST(AnOwnLossIsStoredOnceAnotherHostReportsASecondOne);
  CPPUNIT_TEST(EachHostStoresItsOwnLossesAgain);
  CPPUNIT_TEST(LossesThatWereRemovedAreNotStoredAgain);
  CPPUNIT_TEST(ClearancesOfUnknownRequestsAreForgottenSoon);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against hosts that each count the deaths a request causes for
  // themselves, so that it crashes three targets for every host, and against
  // a flood of news when a place fails and takes its requests along.
  void NineHostsStopACrashingRequest() { ExpectStopped({ 9, 36, 3 }, 20); }

  void SixtyHostsStopACrashingRequest() { ExpectStopped({ 60, 150, 3 }, 8); }

  void FourHundredFiftyHostsStopACrashingRequest()
  {
    ExpectStopped({ 450, 1100, 15 }, 1);
  }

  void MergingIsIndependentOfOrderAndRepetition()
  {
    std::vector<SuspectReport> reports;
    for (std::uint64_t n = 0; n < 3; ++n) {
      SuspectReport report;
      report.mSuspect = kCrashing;
      report.mRuns = { { { n, n, At(static_cast<int>(1000 * n)) },
                         At(static_cast<int>(1000 * n) - 5) } };
      reports.push_back(report);
    }
    std::vector<std::size_t> order = { 0, 1, 2 };
    do {
      SuspectRegistry registry({ 3, Duration::zero() });
      for (int repeat = 0; repeat < 3; ++repeat) {
        for (const std::size_t it : order) {
          CPPUNIT_ASSERT_EQUAL(repeat == 0,
                               registry.Merge(reports[it], true, At(4000)));
        }
      }
      CPPUNIT_ASSERT_EQUAL(3, registry.Deaths(kCrashing, At(4000)));
      CPPUNIT_ASSERT(registry.IsRefused(kCrashing, At(4000)));
    } while (std::next_permutation(order.begin(), order.end()));
  }

  void AClearedRequestStaysClearedWhenOldReportsArrive()
  {
    SuspectReport old;
    old.mSuspect = 5;
    old.mRuns = { { { 1, 1, At(100) }, At(50) } };
    SuspectRegistry finished({ 3, Duration::zero() });
    finished.Merge(old, true, At(150));
    finished.ClearSuspect(5, At(200));
    const auto news = finished.TakeNews(At(250));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), news.size());
    SuspectRegistry other({ 3, Duration::zero() });
    other.Merge(old, true, At(160));
    CPPUNIT_ASSERT_EQUAL(1, other.Deaths(5, At(160)));
    CPPUNIT_ASSERT(other.Merge(news.front(), true, At(300)));
    CPPUNIT_ASSERT(!other.Merge(old, true, At(400)));
    CPPUNIT_ASSERT_EQUAL(0, other.Deaths(5, At(400)));
  }

  // Guards against losses that are not stored because each host lost a single
  // run before it had heard of the others'.
  void AnOwnLossIsStoredOnceAnotherHostReportsASecondOne()
  {
    SuspectRegistry registry(kOptions);
    registry.OnRunLost(5, { { 1, 1, At(100) }, At(50) }, At(130));
    CPPUNIT_ASSERT(registry.TakeStoreChanges().empty());
    SuspectReport report;
    report.mSuspect = 5;
    report.mRuns = { { { 2, 1, At(400) }, At(350) } };
    registry.Merge(report, false, At(500));
    const auto changes = registry.TakeStoreChanges();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), changes[0].mRun.mDeath.mId);
    // The loss that it only heard of is stored by the host that saw it.
    registry.Merge(report, false, At(600));
    CPPUNIT_ASSERT(registry.TakeStoreChanges().empty());
  }

  // Guards against all hosts writing the same rows when the store has lost
  // some.
  void EachHostStoresItsOwnLossesAgain()
  {
    SuspectRegistry registry(kOptions);
    registry.OnStoredLoss({ 5, { { 2, 1, At(50) }, At(20) }, false }, At(60));
    registry.OnRunLost(5, { { 1, 1, At(100) }, At(50) }, At(130));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), registry.TakeStoreChanges().size());
    // A single loss is not stored.
    registry.OnRunLost(6, { { 3, 1, At(100) }, At(50) }, At(130));
    registry.StoreAgain(At(1000));
    const auto changes = registry.TakeStoreChanges();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), changes[0].mSuspect);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), changes[0].mRun.mDeath.mId);
    CPPUNIT_ASSERT(!changes[0].mRemoved);
    registry.StoreAgain(At(130) + SuspectRegistry::kRecordLifetime);
    CPPUNIT_ASSERT(registry.TakeStoreChanges().empty());
    for (std::uint64_t n = 10; n < 10 + SuspectRegistry::kMaxStoredAgain; ++n) {
      registry.OnRunLost(n, { { n, 1, At(2000) }, At(1900) }, At(2000));
      registry.OnRunLost(n, { { n + 5000, 1, At(2100) }, At(2050) }, At(2100));
    }
    registry.TakeStoreChanges();
    registry.StoreAgain(At(3000));
    const auto newest = registry.TakeStoreChanges();
    CPPUNIT_ASSERT_EQUAL(SuspectRegistry::kMaxStoredAgain, newest.size());
    for (const auto& it : newest) {
      CPPUNIT_ASSERT(it.mRun.mDeath.mAt == At(2100));
    }
  }

  // Guards against a served request that counts as a suspect again, as the
  // store has come back from a copy that has its losses.
  void LossesThatWereRemovedAreNotStoredAgain()
  {
    SuspectRegistry registry(kOptions);
    registry.OnRunLost(5, { { 1, 1, At(100) }, At(50) }, At(130));
    registry.OnRunLost(5, { { 2, 1, At(400) }, At(350) }, At(430));
    registry.TakeNews(At(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), registry.TakeStoreChanges().size());
    registry.ClearSuspect(5, At(700));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), registry.TakeStoreChanges().size());
    registry.StoreAgain(At(900));
    const auto changes = registry.TakeStoreChanges();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), changes.size());
    CPPUNIT_ASSERT(changes[0].mRemoved && changes[1].mRemoved);
    registry.StoreAgain(At(20000));
    CPPUNIT_ASSERT(registry.TakeStoreChanges().empty());
  }

  // Guards against the records of cleared requests taking the room of suspects.
  void ClearancesOfUnknownRequestsAreForgottenSoon()
  {
    SuspectRegistry registry(kOptions);
    SuspectReport report;
    report.mSuspect = 5;
    report.mClearedAt = At(100);
    registry.Merge(report, false, At(150));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), registry.Reports(At(200)).size());
    CPPUNIT_ASSERT(registry.Reports(At(15000)).empty());
  }

private:
  static void ExpectStopped(FleetSize aSize, std::uint64_t aSeeds)
  {
    for (const CrashingKind kind : { CrashingKind{ 1, 250 },
                                     CrashingKind{ 3, 700 },
                                     CrashingKind{ 1, 1500 } }) {
      for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
        SharingSimulation simulation(aSize, kind, seed);
        simulation.Run();
        const std::string figures =
          "hosts " + std::to_string(aSize.mHosts) + ", seed " +
          std::to_string(seed) + ", runs per attempt " +
          std::to_string(kind.mAttempts) + ", every " +
          std::to_string(kind.mReturnMs) + " ms: crashes " +
          std::to_string(simulation.Crashes()) + ", late runs " +
          std::to_string(simulation.LateRuns()) + ", others refused " +
          std::to_string(simulation.OthersRefused()) +
          ", known everywhere after ms " +
          std::to_string(simulation.KnownEverywhereMs()) +
          ", datagrams per host " +
          std::to_string(simulation.Datagrams() / aSize.mHosts) +
          ", bytes per host " +
          std::to_string(simulation.Bytes() / aSize.mHosts);
        if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
          std::cout << figures << '\n';
        }
        CPPUNIT_ASSERT_MESSAGE(figures, simulation.LateRuns() <= kMaxLateRuns);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, 0, simulation.OthersRefused());
        CPPUNIT_ASSERT_MESSAGE(figures, simulation.KnownEverywhereMs() >= 0);
        CPPUNIT_ASSERT_MESSAGE(figures,
                               simulation.Bytes() / aSize.mHosts <=
                                 kMaxControlBytesPerSecond * kEndMs / 1000);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectSharingTests);
