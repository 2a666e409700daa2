#include "StreamTrials.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <future>
#include <random>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr int kRunners = 8;
constexpr int kFormer = kRunners / 2;

// Time over which the callers begin their streams.
constexpr auto kSpread = milliseconds(1600);

// Time from the start of a runner of the new version to the end of a former
// one, and time for which a runner serves after it has reported that it drains.
constexpr auto kReplaceTime = milliseconds(300);
constexpr auto kDrainTime = milliseconds(500);

// Time after the start of a host from which on the platform expects it to take
// up streams.
constexpr auto kStabilityWindow = milliseconds(3000);

// Which software versions serve around the end of all hosts. The first version
// is always "v1".
enum class Versions
{
  // One all the time.
  One,
  // The second one comes while no host runs.
  NewWhileHostsAreDown,
  // Two all the time.
  Two,
  // The second one replaces the first one, whose runners drain.
  Replaced,
  // The same, but the former runners leave without notice.
  ReplacedWithoutNotice,
  // The first version is back after it has been replaced.
  Back,
  // Runners restart under their names with the second version.
  RestartedUnderTheirNames,
  // The second version comes, and leaves while no host runs.
  WithdrawnWhileHostsAreDown,
};

// What happens to a fleet whose hosts are killed at once and come back.
struct Return
{
  Versions mVersions = Versions::One;
  int mHosts = 3;
  // From the begin of the release to the end of all hosts, and from there to
  // their start.
  milliseconds mKillAfter{ 0 };
  milliseconds mDownTime{ 0 };
  // The store's trouble begins before the end of the hosts, and ends after
  // their start. It concerns the hosts from this number on.
  StoreAccess mStore = StoreAccess::Serve;
  milliseconds mStoreBefore{ 0 };
  milliseconds mStoreAfter{ 0 };
  std::size_t mStoreFrom = 0;
  // By how much later than the others the last host starts.
  milliseconds mLastHostDelay{ 0 };
  // Runner whose connections are reset shortly before the end of the hosts.
  int mReset = 0;
};

class Draw
{
public:
  explicit Draw(unsigned aSeed)
    : mRandom(aSeed)
  {
  }

  int Below(int aCount) { return static_cast<int>(mRandom() % aCount); }

  milliseconds Between(int aFrom, int aTo)
  {
    return milliseconds(aFrom + Below(aTo - aFrom));
  }

private:
  std::mt19937 mRandom;
};

Return
DrawReturn(Versions aVersions, unsigned aSeed)
{
  constexpr StoreAccess kAccesses[] = {
    StoreAccess::Serve,       StoreAccess::Slow,  StoreAccess::Silent,
    StoreAccess::Unavailable, StoreAccess::Reset, StoreAccess::Overloaded,
  };
  Draw draw(aSeed * 31 + static_cast<unsigned>(aVersions));
  Return drawn;
  drawn.mVersions = aVersions;
  drawn.mHosts = 3 + draw.Below(4);
  drawn.mKillAfter = draw.Between(0, 1500);
  drawn.mDownTime = draw.Between(50, 900);
  // The store is in no trouble in half of the trials.
  drawn.mStore =
    draw.Below(2) == 0 ? StoreAccess::Serve : kAccesses[1 + draw.Below(5)];
  drawn.mStoreBefore = draw.Between(0, 800);
  drawn.mStoreAfter = draw.Between(0, 1500);
  drawn.mStoreFrom = static_cast<std::size_t>(draw.Below(2));
  drawn.mLastHostDelay =
    draw.Below(2) == 0 ? draw.Between(500, 2500) : milliseconds(0);
  drawn.mReset = draw.Below(kRunners);
  return drawn;
}

void
StartVersion(GatewayTestCluster& aCluster, int aFirstRunner)
{
  for (int n = 0; n < kFormer; ++n) {
    aCluster.StartRunner(RunnerName(aFirstRunner + n));
  }
}

void
StopVersion(GatewayTestCluster& aCluster, int aFirstRunner)
{
  for (int n = 0; n < kFormer; ++n) {
    aCluster.StopRunner(RunnerName(aFirstRunner + n));
  }
}

// Lets the runners of the second version replace those of the first one.
void
Replace(GatewayTestCluster& aCluster, bool aDrains)
{
  StartVersion(aCluster, kFormer);
  Sleep(kReplaceTime);
  if (aDrains) {
    for (int n = 0; n < kFormer; ++n) {
      aCluster.DrainRunner(RunnerName(n));
    }
    Sleep(kDrainTime);
  }
  StopVersion(aCluster, 0);
}

// What happens to the runners while the hosts run.
void
ChangeRunners(GatewayTestCluster& aCluster, Versions aVersions)
{
  switch (aVersions) {
    case Versions::One:
    case Versions::Two:
    case Versions::NewWhileHostsAreDown:
      break;
    case Versions::Replaced:
      Replace(aCluster, true);
      break;
    case Versions::ReplacedWithoutNotice:
      Replace(aCluster, false);
      break;
    case Versions::Back:
      Replace(aCluster, false);
      Sleep(kReplaceTime);
      StartVersion(aCluster, 0);
      Sleep(kReplaceTime);
      StopVersion(aCluster, kFormer);
      break;
    case Versions::RestartedUnderTheirNames:
      aCluster.SetRunnerReturn(RunnerReturn::SameName);
      for (int n = 0; n < kRunners; ++n) {
        aCluster.CrashRunner(RunnerName(n), "v2");
        Sleep(milliseconds(100));
      }
      break;
    case Versions::WithdrawnWhileHostsAreDown:
      StartVersion(aCluster, kFormer);
      break;
  }
}

GatewayTestCluster::Options
OptionsOf(const Return& aReturn)
{
  GatewayTestCluster::Options options;
  options.mRunners = kRunners;
  options.mGateways = aReturn.mHosts;
  switch (aReturn.mVersions) {
    case Versions::One:
      break;
    case Versions::RestartedUnderTheirNames:
      options.mFirstStartTime = true;
      break;
    case Versions::Two:
      options.mVersions = { "v1", "v1", "v2", "v2" };
      break;
    default:
      options.mVersions = { "v1", "v1", "v1", "v1", "v2", "v2", "v2", "v2" };
      options.mLateRunners = kRunners - kFormer;
      break;
  }
  return options;
}

void
SetStore(GatewayTestCluster& aCluster,
         const Return& aReturn,
         StoreAccess aAccess)
{
  for (std::size_t n = aReturn.mStoreFrom; n < aCluster.GatewayCount(); ++n) {
    aCluster.SetStoreAccess(aAccess, n);
  }
}

// Kills all hosts at once and starts them again.
void
ReturnHosts(GatewayTestCluster& aCluster,
            StreamCallers& aCallers,
            const Return& aReturn)
{
  const auto before = std::min(aReturn.mStoreBefore, aReturn.mKillAfter);
  Sleep(aReturn.mKillAfter - before);
  SetStore(aCluster, aReturn, aReturn.mStore);
  Sleep(before / 2);
  if (aCluster.ServingCount(std::string()) > 0) {
    aCluster.ResetRunner(RunnerName(aReturn.mReset));
  }
  Sleep(before / 2);
  const std::size_t hosts = aCluster.GatewayCount();
  for (std::size_t n = 0; n < hosts; ++n) {
    aCallers.SetHostSound(n, false);
    aCluster.Gateway(n).Signal(SIGKILL);
  }
  for (std::size_t n = 0; n < hosts; ++n) {
    aCluster.Gateway(n).AwaitExit();
  }
  if (aReturn.mVersions == Versions::NewWhileHostsAreDown) {
    Replace(aCluster, false);
  } else if (aReturn.mVersions == Versions::WithdrawnWhileHostsAreDown) {
    StopVersion(aCluster, kFormer);
  }
  Sleep(aReturn.mDownTime);
  for (std::size_t n = 0; n + 1 < hosts; ++n) {
    aCluster.Gateway(n).Start();
  }
  Sleep(aReturn.mLastHostDelay);
  aCluster.Gateway(hosts - 1).Start();
  Sleep(aReturn.mStoreAfter);
  SetStore(aCluster, aReturn, StoreAccess::Serve);
  aCluster.AwaitReady();
  Sleep(kStabilityWindow);
  for (std::size_t n = 0; n < hosts; ++n) {
    aCallers.SetHostSound(n, true);
  }
}

StreamTrial
MakeTrial(const std::string& aName, const Return& aReturn)
{
  StreamTrial trial;
  trial.mName = aName;
  trial.mOptions = OptionsOf(aReturn);
  trial.mSpread = kSpread;
  trial.mTrouble = [aReturn](auto& aCluster, auto& aCallers) {
    const auto change = std::async(
      std::launch::async, [&] { ChangeRunners(aCluster, aReturn.mVersions); });
    ReturnHosts(aCluster, aCallers, aReturn);
  };
  trial.mPreparation = [aReturn](auto& aCluster) {
    // Some streams are retried, or lose their host, before their first event.
    aCluster.SetPace(aReturn.mDownTime / 2, milliseconds(5), milliseconds(0));
    Sleep(kReplaceTime);
  };
  return trial;
}

} // namespace

// All hosts of a fleet are killed at once around a release and come back, each
// time at another moment and with another state of the store, as the seed
// draws. Callers take up their streams at hosts that know nothing of them. See
// StreamTrials for the checks and the environment variables.
class FleetReturnTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetReturnTests);
  CPPUNIT_TEST(StreamsKeepTheirVersionWhileTwoServe);
  CPPUNIT_TEST(StreamsKeepTheirVersionWhenItHasLeft);
  CPPUNIT_TEST(StreamsKeepTheirVersionWhenItIsBack);
  CPPUNIT_TEST(StreamsKeepTheirVersionWhenItChangesMeanwhile);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against take-ups that join text of two versions after all hosts were
  // killed at once.
  void StreamsKeepTheirVersionWhileTwoServe()
  {
    Play({ { "one", Versions::One }, { "two", Versions::Two } });
  }

  // Guards against hosts that start after a release and take the version that
  // is left for the one of every stream.
  void StreamsKeepTheirVersionWhenItHasLeft()
  {
    Play({ { "replaced", Versions::Replaced },
           { "no_notice", Versions::ReplacedWithoutNotice } });
  }

  // Guards against a record of versions that a host trusts although a version
  // has left and returned, or has changed under the names of its targets.
  void StreamsKeepTheirVersionWhenItIsBack()
  {
    Play({ { "back", Versions::Back },
           { "same_names", Versions::RestartedUnderTheirNames } });
  }

  // Guards against a record of versions that is older than the release.
  void StreamsKeepTheirVersionWhenItChangesMeanwhile()
  {
    Play({ { "meanwhile", Versions::NewWhileHostsAreDown },
           { "withdrawn", Versions::WithdrawnWhileHostsAreDown } });
  }

private:
  struct Case
  {
    const char* mName;
    Versions mVersions;
  };

  static void Play(const std::vector<Case>& aCases)
  {
    std::vector<StreamTrial> trials;
    for (const Case& it : aCases) {
      trials.push_back(
        MakeTrial(it.mName, DrawReturn(it.mVersions, TrialSeed())));
    }
    PlayTrials(trials);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetReturnTests);
