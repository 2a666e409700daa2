#include "GatewayTestCluster.h"

#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kHosts = 6;

// Duration of a play after the targets have become brittle, and when a burst
// begins and ends in it.
constexpr auto kPlayTime = milliseconds(12000);
constexpr auto kBurstFrom = milliseconds(5000);
constexpr auto kBurstUntil = milliseconds(9000);

// Requests that each target lets wait before it is brittle.
constexpr int kWaitingRoom = 4;

// A service of targets that run kSlots requests each at a time.
struct Service
{
  int mTargets;
  int mSlots;
  milliseconds mAnswer;

  double Capacity() const
  {
    return 1000.0 * mTargets * mSlots / static_cast<double>(mAnswer.count());
  }
  // The platform's bound on the falls of a service's targets in one time in
  // which they are brittle.
  int AllowedFalls() const { return 2 + mTargets / 10; }
};

constexpr Service kFewTargets{ 3, 4, milliseconds(100) };
constexpr Service kManyTargets{ 36, 2, milliseconds(400) };

// Callers of all hosts that send requests at a rate, whatever becomes of them.
class Callers
{
public:
  Callers(GatewayTestCluster& aCluster,
          double aPerSecond,
          bool aRepeat,
          unsigned aSeed)
    : mCluster(aCluster)
    , mPerSecond(aPerSecond)
    , mRepeat(aRepeat)
  {
    constexpr std::size_t kThreads = 8;
    for (std::size_t n = 0; n < kHosts * kThreads; ++n) {
      mThreads.emplace_back([this, n, aSeed] {
        Run(n % kHosts, kHosts * kThreads, aSeed * 1000 + n);
      });
    }
  }
  ~Callers() { Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void SetFactor(double aFactor) { mFactor = aFactor; }
  void Stop()
  {
    mStopped = true;
    for (std::thread& it : mThreads) {
      if (it.joinable()) {
        it.join();
      }
    }
  }
  int Sent() const { return mSent; }
  int Served() const { return mServed; }

private:
  void Run(std::size_t aHost, std::size_t aThreads, std::size_t aSeed)
  {
    std::mt19937_64 random(aSeed);
    std::exponential_distribution<double> pause(1);
    const double mean = static_cast<double>(aThreads) / mPerSecond;
    auto next = std::chrono::steady_clock::now();
    for (int n = 0; !mStopped; ++n) {
      next += std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(mean / mFactor * pause(random)));
      std::this_thread::sleep_until(next);
      const std::string id = std::to_string(aSeed) + "-" + std::to_string(n);
      Call(aHost, id);
    }
  }

  // A caller that repeats at once does so as often as others in all.
  void Call(std::size_t aHost, const std::string& aId)
  {
    ++mSent;
    for (int n = 0; n < (mRepeat ? 3 : 1) && !mStopped; ++n) {
      const std::string id = aId + "-" + std::to_string(n);
      const auto answer =
        mCluster.Gateway((aHost + static_cast<std::size_t>(n)) % kHosts)
          .Call(GatewayTestCluster::Request("/quick/", id, "", id, 1500));
      if (answer.mComplete && answer.mHead.mStatus == 200) {
        ++mServed;
        break;
      }
    }
  }

  GatewayTestCluster& mCluster;
  double mPerSecond;
  bool mRepeat;
  std::atomic<double> mFactor{ 1 };
  std::atomic<bool> mStopped{ false };
  std::atomic<int> mSent{ 0 };
  std::atomic<int> mServed{ 0 };
  std::vector<std::thread> mThreads;
};

// What happens beside the load.
enum class Trouble
{
  None,
  Burst,
  HostKilled,
  HostCutOff,
  StoreSilent,
};

struct Scene
{
  std::string mName;
  Service mService = kFewTargets;
  // What the targets say, and how many requests they let wait then.
  std::string mSays = "3";
  int mWaiting = 0;
  // Slots that the entries name for each one that a target has.
  int mDeclaredFactor = 1;
  // Load as a part of what the targets can do.
  double mLoad = 0.7;
  Trouble mTrouble = Trouble::Burst;
  bool mRepeat = false;
};

struct Outcome
{
  int mFalls = 0;
  int mTurnedAway = 0;
  int mSent = 0;
  int mServed = 0;
  double mPerSecond = 0;
};

std::string
Describe(const Scene& aScene, const Outcome& aOutcome)
{
  char buf[200];
  std::snprintf(buf,
                sizeof buf,
                "%s: %d falls of %d allowed, %d turned away, %d of %d served, "
                "%.0f a second of %.0f",
                aScene.mName.c_str(),
                aOutcome.mFalls,
                aScene.mService.AllowedFalls(),
                aOutcome.mTurnedAway,
                aOutcome.mServed,
                aOutcome.mSent,
                aOutcome.mPerSecond,
                aScene.mService.Capacity());
  return buf;
}

void
MakeTrouble(GatewayTestCluster& aCluster, Callers& aCallers, Trouble aTrouble)
{
  std::this_thread::sleep_for(kBurstFrom);
  switch (aTrouble) {
    case Trouble::None:
      break;
    case Trouble::Burst:
    case Trouble::HostCutOff:
      aCallers.SetFactor(3);
      break;
    case Trouble::HostKilled:
      aCallers.SetFactor(3);
      aCluster.Gateway(2).Signal(SIGKILL);
      aCluster.Gateway(2).AwaitExit();
      break;
    case Trouble::StoreSilent:
      aCallers.SetFactor(3);
      for (std::size_t n = 0; n < kHosts; ++n) {
        aCluster.SetStoreDown(true, n);
      }
      break;
  }
  std::this_thread::sleep_for(kBurstUntil - kBurstFrom);
  aCallers.SetFactor(1);
  std::this_thread::sleep_for(kPlayTime - kBurstUntil);
}

unsigned
Seed()
{
  const char* text = std::getenv("QUETZAL_TEST_SEED");
  return text == nullptr ? 1U : static_cast<unsigned>(std::atoi(text));
}

Outcome
Play(const Scene& aScene)
{
  GatewayTestCluster::Options options;
  options.mRunners = aScene.mService.mTargets;
  options.mGateways = static_cast<int>(kHosts);
  options.mCutOff = aScene.mTrouble == Trouble::HostCutOff ? 3 : -1;
  GatewayTestCluster cluster(options);
  cluster.SetRunnerReturn(RunnerReturn::SameName);
  cluster.SetPace(milliseconds(20), milliseconds(5), aScene.mService.mAnswer);
  for (int n = 0; n < options.mRunners; ++n) {
    const std::string target = "i-" + std::to_string(n);
    cluster.SetRoom(target,
                    aScene.mService.mSlots,
                    kWaitingRoom,
                    aScene.mService.mSlots * aScene.mDeclaredFactor);
    cluster.SetBrittle(target, aScene.mSays, aScene.mWaiting);
  }
  Callers callers(
    cluster, aScene.mLoad * aScene.mService.Capacity(), aScene.mRepeat, Seed());
  std::this_thread::sleep_for(GatewayTestCluster::kBrittleAfter);
  const int sent = callers.Sent();
  const int served = callers.Served();
  const int turnedAway = cluster.TurnedAwayCount();
  const auto from = std::chrono::steady_clock::now();
  MakeTrouble(cluster, callers, aScene.mTrouble);
  const std::chrono::duration<double> seconds =
    std::chrono::steady_clock::now() - from;
  Outcome outcome;
  outcome.mSent = callers.Sent() - sent;
  outcome.mServed = callers.Served() - served;
  outcome.mPerSecond = outcome.mServed / seconds.count();
  callers.Stop();
  outcome.mFalls = static_cast<int>(cluster.Falls().size());
  outcome.mTurnedAway = cluster.TurnedAwayCount() - turnedAway;
  if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
    std::cout << Describe(aScene, outcome) << std::endl;
  }
  return outcome;
}

void
ExpectFewFalls(const Scene& aScene)
{
  const Outcome outcome = Play(aScene);
  CPPUNIT_ASSERT_MESSAGE(Describe(aScene, outcome),
                         outcome.mFalls <= aScene.mService.AllowedFalls());
}

Scene
SceneOf(const std::string& aName, const std::string& aSays)
{
  Scene scene;
  scene.mName = aName + ", " + aSays + " rejections a second";
  scene.mSays = aSays;
  return scene;
}

} // namespace

// Gateway processes and targets that fall over when they turn too many requests
// away. Falls are counted by the targets.
class FleetBrittleTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetBrittleTests);
  CPPUNIT_TEST(ABurstDoesNotFellTargetsThatTurnOneAway);
  CPPUNIT_TEST(ABurstDoesNotFellTargetsThatTurnThreeAway);
  CPPUNIT_TEST(ABurstDoesNotFellTargetsThatTurnTenAway);
  CPPUNIT_TEST(CallersThatRepeatAtOnceDoNotFellTargets);
  CPPUNIT_TEST(ABurstDoesNotFellManyTargets);
  CPPUNIT_TEST(TargetsWithLessRoomThanDeclaredAreNotFelled);
  CPPUNIT_TEST(AKilledHostDoesNotFellTargets);
  CPPUNIT_TEST(AHostCutOffFromOthersDoesNotFellTargets);
  CPPUNIT_TEST(ASilentStoreDoesNotFellTargets);
  CPPUNIT_TEST(TheRoomOfBrittleTargetsIsUsed);
  CPPUNIT_TEST(MalformedNumbersOfRejectionsAreIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  // These guard against hosts that fill brittle targets without each other's
  // knowledge.
  void ABurstDoesNotFellTargetsThatTurnOneAway()
  {
    ExpectFewFalls(SceneOf("burst", "1"));
  }
  void ABurstDoesNotFellTargetsThatTurnThreeAway()
  {
    ExpectFewFalls(SceneOf("burst", "3"));
  }
  void ABurstDoesNotFellTargetsThatTurnTenAway()
  {
    ExpectFewFalls(SceneOf("burst", "10"));
  }
  void CallersThatRepeatAtOnceDoNotFellTargets()
  {
    Scene scene = SceneOf("burst, callers repeat at once", "3");
    scene.mRepeat = true;
    ExpectFewFalls(scene);
  }
  void ABurstDoesNotFellManyTargets()
  {
    Scene scene = SceneOf("burst, 36 targets", "1");
    scene.mService = kManyTargets;
    ExpectFewFalls(scene);
  }

  // Guards against trusting the slots of an entry over what a target turns
  // away.
  void TargetsWithLessRoomThanDeclaredAreNotFelled()
  {
    Scene scene = SceneOf("burst, half of the declared slots", "3");
    scene.mDeclaredFactor = 2;
    ExpectFewFalls(scene);
  }

  // Guards against a fleet that relies on a host that is gone.
  void AKilledHostDoesNotFellTargets()
  {
    Scene scene = SceneOf("burst, a host killed", "3");
    scene.mTrouble = Trouble::HostKilled;
    ExpectFewFalls(scene);
  }

  // Guards against a host that fills targets since it does not hear the others.
  void AHostCutOffFromOthersDoesNotFellTargets()
  {
    Scene scene = SceneOf("burst, a host cut off from the others", "3");
    scene.mTrouble = Trouble::HostCutOff;
    ExpectFewFalls(scene);
  }

  void ASilentStoreDoesNotFellTargets()
  {
    Scene scene = SceneOf("burst, the store silent", "3");
    scene.mTrouble = Trouble::StoreSilent;
    ExpectFewFalls(scene);
  }

  // Guards against brittle targets that are left idle: at 0.7 of what they can
  // do they serve at least 0.97 of what sound ones do, at twice that 0.9.
  void TheRoomOfBrittleTargetsIsUsed()
  {
    Scene scene = SceneOf("0.7 of the capacity", "");
    scene.mTrouble = Trouble::None;
    scene.mWaiting = kWaitingRoom;
    const Outcome sound = Play(scene);
    scene = SceneOf("0.7 of the capacity", "3");
    scene.mTrouble = Trouble::None;
    const Outcome brittle = Play(scene);
    CPPUNIT_ASSERT_MESSAGE(Describe(scene, brittle) +
                             " (sound: " + std::to_string(sound.mServed) +
                             " of " + std::to_string(sound.mSent) + ")",
                           1.0 * brittle.mServed / brittle.mSent >=
                             0.97 * sound.mServed / sound.mSent);
    scene = SceneOf("twice the capacity", "3");
    scene.mTrouble = Trouble::None;
    scene.mLoad = 2;
    const Outcome overloaded = Play(scene);
    CPPUNIT_ASSERT_MESSAGE(Describe(scene, overloaded),
                           overloaded.mPerSecond >=
                             0.9 * scene.mService.Capacity());
  }

  // Guards against values that are taken for a number, or end the process.
  void MalformedNumbersOfRejectionsAreIgnored()
  {
    GatewayTestCluster cluster(3, 1);
    for (const char* it : { "0", "-1", "2.5", "abc", "1x", "0x10", " " }) {
      for (const char* target : { "i-0", "i-1", "i-2" }) {
        cluster.SetBrittle(target, it, 0);
      }
      for (int n = 0; n < 6; ++n) {
        const auto answer = cluster.Call(GatewayTestCluster::Request(
          "/plain/", std::string("bad") + it + std::to_string(n)));
        CPPUNIT_ASSERT_MESSAGE(it, answer.mComplete);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it, 200, answer.mHead.mStatus);
        CPPUNIT_ASSERT(answer.mHead.Find("Server-Brittle") == nullptr);
      }
    }
    const std::string malformed =
      cluster.Gateway().Metric("quetzal_brittle_malformed_total");
    CPPUNIT_ASSERT_MESSAGE(malformed, std::atoi(malformed.c_str()) > 0);
    CPPUNIT_ASSERT_EQUAL(std::string("0"),
                         cluster.Gateway().Metric("quetzal_brittle_targets"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetBrittleTests);
