#include "FleetTroubles.h"
#include "StreamCallers.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <thread>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr int kHosts = 6;

// Commit whose gateway is the old build. QUETZAL_TEST_LANDING names another.
constexpr char kOldCommit[] = "024c004";
constexpr char kLandingVariable[] = "QUETZAL_TEST_LANDING";

// Selects the fleet by the name of FleetBuilds.
constexpr char kBuildsVariable[] = "QUETZAL_TEST_BUILDS";

// Time in which a host is ready after its start; the store may be silent.
constexpr auto kReadyTime = milliseconds(15000);

// Time between the replacements of two hosts.
constexpr auto kPause = milliseconds(300);

// Time for which the store is silent.
constexpr auto kSilentStore = milliseconds(2500);

// Time for which a host is cut off from all targets.
constexpr auto kCutTime = milliseconds(2000);

// Interval between two changes of the configuration, of a sort that keeps the
// callers' routes and keys valid.
constexpr auto kChangeInterval = milliseconds(700);

// Interval between two looks at the configuration that a host has in force.
constexpr auto kLookInterval = milliseconds(100);

// Streams that begin during a play, and the time over which they do.
constexpr int kStreams = 144;
constexpr auto kStreamSpread = milliseconds(24000);

// Which builds the hosts run.
enum class FleetBuilds
{
  // Old, replaced one by one by the new one, and back.
  Mixed,
  // The same replacements with one build.
  Old,
  New,
};

constexpr const char* kBuildNames[] = { "mixed", "old", "new" };

FleetBuilds
SelectedBuilds()
{
  const char* name = std::getenv(kBuildsVariable);
  const auto* at = std::find(std::begin(kBuildNames),
                             std::end(kBuildNames),
                             std::string(name == nullptr ? "mixed" : name));
  CPPUNIT_ASSERT_MESSAGE(kBuildsVariable, at != std::end(kBuildNames));
  return static_cast<FleetBuilds>(at - std::begin(kBuildNames));
}

std::string
OldCommit()
{
  const char* commit = std::getenv(kLandingVariable);
  return commit == nullptr ? kOldCommit : commit;
}

// Builds the gateway of a commit and returns its path, empty if that is not
// possible. The reason is on the standard error.
std::string
BuildLanding(const std::string& aCommit)
{
  const std::string command = "tools/scripts/build_landing.sh " + aCommit;
  std::string path;
  FILE* output = ::popen(command.c_str(), "r");
  if (output == nullptr) {
    return path;
  }
  for (std::array<char, 512> buf{};
       std::fgets(buf.data(), buf.size(), output) != nullptr;) {
    path += buf.data();
  }
  const int status = ::pclose(output);
  while (!path.empty() && path.back() == '\n') {
    path.pop_back();
  }
  return status == 0 ? path : std::string();
}

// Looks at the configuration that each host has in force, and counts each time
// that a process has an older one than before.
class ConfigurationWatch
{
public:
  explicit ConfigurationWatch(const GatewayTestCluster& aCluster)
    : mCluster(aCluster)
    , mStarts(aCluster.GatewayCount())
    , mThread([this] { Run(); })
  {
  }
  ~ConfigurationWatch() { Stop(); }
  ConfigurationWatch(const ConfigurationWatch&) = delete;
  ConfigurationWatch& operator=(const ConfigurationWatch&) = delete;

  // To be called between the end of a host and its next start.
  void NoteStart(std::size_t aHost) { ++mStarts[aHost]; }

  // Ends the watch and returns the count.
  int Stop()
  {
    mStopped = true;
    if (mThread.joinable()) {
      mThread.join();
    }
    return mWentBack;
  }

private:
  void Run()
  {
    while (!mStopped) {
      for (std::size_t n = 0; n < mStarts.size(); ++n) {
        Look(n);
      }
      std::this_thread::sleep_for(kLookInterval);
    }
  }

  void Look(std::size_t aHost)
  {
    const int start = mStarts[aHost];
    const std::string text =
      mCluster.Gateway(aHost).Metric("quetzal_configuration_version");
    if (text.empty() || start != mStarts[aHost]) {
      return;
    }
    Seen& seen = mSeen[aHost];
    const long long version = std::atoll(text.c_str());
    if (seen.mStart == start && version < seen.mVersion) {
      ++mWentBack;
      std::cout << "\nhost " << aHost << " went back from configuration "
                << seen.mVersion << " to " << version << std::endl;
    }
    seen = { start, version };
  }

  struct Seen
  {
    int mStart = -1;
    long long mVersion = 0;
  };

  const GatewayTestCluster& mCluster;
  std::vector<std::atomic<int>> mStarts;
  std::map<std::size_t, Seen> mSeen;
  std::atomic<bool> mStopped{ false };
  int mWentBack = 0;
  std::thread mThread;
};

// What happens beside the replacement of a host.
enum class Beside
{
  Nothing,
  TargetCrash,
  SilentTargets,
  SilentStore,
  HostKill,
  // A host loses its links to all targets.
  HostCut,
};

constexpr Beside kBeside[] = { Beside::TargetCrash, Beside::SilentTargets,
                               Beside::SilentStore, Beside::HostKill,
                               Beside::HostCut,     Beside::Nothing };

// Callers and hosts of one play.
class UpgradeScene
{
public:
  UpgradeScene(FleetSituation& aSituation, unsigned aSeed)
    : mSituation(aSituation)
    , mWatch(aSituation.mCluster)
    , mStreams(aSituation.mCluster, StreamOptions(aSeed))
  {
  }

  // Replaces all hosts, each time beside another trouble, while the
  // configuration changes.
  void ReplaceAll(const std::string& aBinary);

  // Waits for the streams. Returns what they show.
  StreamReport Finish();

  int CountTakeUps() const;

  int Stop() { return mWatch.Stop(); }

private:
  static StreamCallers::Options StreamOptions(unsigned aSeed)
  {
    StreamCallers::Options options;
    options.mStreams = kStreams;
    options.mSpread = kStreamSpread;
    options.mSeed = aSeed;
    return options;
  }

  void ReplaceHosts(const std::vector<std::size_t>& aOrder,
                    const std::string& aBinary);
  void Start(std::size_t aHost);
  void End(std::size_t aHost, int aSignal);
  void Replace(std::size_t aHost,
               const std::string& aBinary,
               std::optional<std::size_t> aKilled);
  void AwaitReady(std::size_t aHost);
  void Trouble(Beside aTrouble, std::size_t aOther);
  void Cut(std::size_t aHost);
  void SetStores(StoreAccess aAccess);

  FleetSituation& mSituation;
  ConfigurationWatch mWatch;
  StreamCallers mStreams;
};

void
UpgradeScene::AwaitReady(std::size_t aHost)
{
  const GatewayProcess& host = mSituation.mCluster.Gateway(aHost);
  const Time until = EventLoop::Now() + kReadyTime;
  while (host.Readiness() != 200) {
    CPPUNIT_ASSERT_MESSAGE(host.Name() + " is not ready after its start",
                           EventLoop::Now() < until);
    std::this_thread::sleep_for(milliseconds(20));
  }
}

void
UpgradeScene::Start(std::size_t aHost)
{
  mWatch.NoteStart(aHost);
  mSituation.mCluster.Gateway(aHost).Start();
}

void
UpgradeScene::End(std::size_t aHost, int aSignal)
{
  GatewayProcess& host = mSituation.mCluster.Gateway(aHost);
  if (aSignal == SIGKILL) {
    mSituation.mKills.push_back({ aHost, EventLoop::Now() });
  }
  host.Signal(aSignal);
  const int code = host.AwaitExit();
  CPPUNIT_ASSERT_EQUAL_MESSAGE(
    host.Name() + " ended with", aSignal == SIGKILL ? -1 : 0, code);
}

// Replaces a host. The killed one, if any, ends meanwhile.
void
UpgradeScene::Replace(std::size_t aHost,
                      const std::string& aBinary,
                      std::optional<std::size_t> aKilled)
{
  std::vector<std::size_t> hosts = { aHost };
  if (aKilled) {
    hosts.push_back(*aKilled);
  }
  for (const std::size_t it : hosts) {
    mStreams.SetHostSound(it, false);
  }
  if (aKilled) {
    End(*aKilled, SIGKILL);
  }
  End(aHost, SIGTERM);
  mSituation.mCluster.Gateway(aHost).SetBinary(aBinary);
  // A process ends with the thread that has started it, so this one does.
  for (const std::size_t it : hosts) {
    Start(it);
  }
  for (const std::size_t it : hosts) {
    AwaitReady(it);
    mStreams.SetHostSound(it, true);
  }
}

void
UpgradeScene::Cut(std::size_t aHost)
{
  GatewayTestCluster& cluster = mSituation.mCluster;
  constexpr LinkState kCuts[] = { LinkState::Silent,
                                  LinkState::Reset,
                                  LinkState::OldOnly };
  const auto cut = static_cast<std::size_t>(
    mSituation.Random(static_cast<int>(std::size(kCuts))));
  mStreams.SetHostSound(aHost, false);
  cluster.SetLinks(aHost, cluster.RunnersOf(), kCuts[cut]);
  std::this_thread::sleep_for(kCutTime);
  cluster.SetLinks(aHost, cluster.RunnersOf(), LinkState::Up);
  mStreams.SetHostSound(aHost, true);
}

void
UpgradeScene::SetStores(StoreAccess aAccess)
{
  for (std::size_t n = 0; n < kHosts; ++n) {
    mSituation.mCluster.SetStoreAccess(aAccess, n);
  }
}

void
UpgradeScene::Trouble(Beside aTrouble, std::size_t aOther)
{
  switch (aTrouble) {
    case Beside::Nothing:
    case Beside::HostKill:
      break;
    case Beside::TargetCrash:
      mSituation.mCluster.CrashRunner(
        "i-" +
          std::to_string(mSituation.Random(FleetCase::kFirstServiceRunners)),
        mSituation.Random(2) == 0 ? "v1" : "v2");
      break;
    case Beside::SilentTargets:
      Silence(mSituation, SilentRunners::FirstPlace);
      break;
    case Beside::SilentStore:
      SetStores(StoreAccess::Silent);
      std::this_thread::sleep_for(kSilentStore);
      SetStores(StoreAccess::Serve);
      break;
    case Beside::HostCut:
      Cut(aOther);
      break;
  }
}

void
UpgradeScene::ReplaceHosts(const std::vector<std::size_t>& aOrder,
                           const std::string& aBinary)
{
  const auto first = static_cast<std::size_t>(mSituation.Random(kHosts));
  for (std::size_t n = 0; n < aOrder.size(); ++n) {
    const Beside beside = kBeside[(first + n) % std::size(kBeside)];
    const std::size_t other = aOrder[(n + 1) % aOrder.size()];
    std::thread trouble([&] { Trouble(beside, other); });
    try {
      Replace(aOrder[n],
              aBinary,
              beside == Beside::HostKill ? std::make_optional(other)
                                         : std::nullopt);
    } catch (...) {
      trouble.join();
      throw;
    }
    trouble.join();
    std::this_thread::sleep_for(kPause);
  }
}

void
UpgradeScene::ReplaceAll(const std::string& aBinary)
{
  std::vector<std::size_t> order;
  for (std::size_t n = 0; n < kHosts; ++n) {
    order.push_back(n);
  }
  std::shuffle(order.begin(), order.end(), mSituation.mRandom);
  std::mt19937 random(mSituation.mRandom());
  FleetSituation changing{
    mSituation.mCluster, mSituation.mCallers, random, mSituation.mConfiguration
  };
  std::atomic<bool> stopped{ false };
  std::thread changes([&] {
    while (!stopped) {
      ChangeConfiguration(changing,
                          static_cast<ConfigurationChange>(changing.Random(
                            static_cast<int>(ConfigurationChange::All))),
                          2);
      std::this_thread::sleep_for(kChangeInterval);
    }
  });
  const auto stop = [&] {
    stopped = true;
    changes.join();
    mSituation.mConfiguration = changing.mConfiguration;
  };
  try {
    ReplaceHosts(order, aBinary);
  } catch (...) {
    stop();
    throw;
  }
  stop();
}

// Requests of the streams only, without those of the other callers.
std::vector<RunnerRequest>
PacedOnly(std::vector<RunnerRequest> aRequests)
{
  aRequests.erase(std::remove_if(aRequests.begin(),
                                 aRequests.end(),
                                 [](const RunnerRequest& aRequest) {
                                   return aRequest.mHead.mTarget.rfind(
                                            "/paced/", 0) != 0;
                                 }),
                  aRequests.end());
  return aRequests;
}

StreamReport
UpgradeScene::Finish()
{
  mStreams.Await();
  return MakeReport(mStreams.Streams(),
                    PacedOnly(mSituation.mCluster.Requests()),
                    PacedOnly(mSituation.mCluster.Runs()));
}

int
UpgradeScene::CountTakeUps() const
{
  int count = 0;
  for (const CallerStream& stream : mStreams.Streams()) {
    for (const StreamAttempt& it : stream.mAttempts) {
      count += it.mAfterEvent > 0 ? 1 : 0;
    }
  }
  return count;
}

// What one play showed beside the counts of its callers.
struct UpgradeReport
{
  StreamReport mStreams;
  // Attempts to go on with a stream, also at hosts in trouble.
  int mTakeUps = 0;
  int mWentBack = 0;
};

FleetCase
MakeCase(const std::string& aName, const std::string& aBinary)
{
  FleetCase fleet(aName);
  fleet.mOwnBodies = true;
  fleet.mFleet.mGateways = kHosts;
  fleet.mFleet.mVersions = { "v1", "v1", "v2", "v2" };
  fleet.mFleet.mSettings.mBinary = aBinary;
  fleet.mFleet.mHasRunnerLinks = true;
  // The crash of a target ends streams that may not go on at another one.
  fleet.mCallers.erase(std::remove_if(fleet.mCallers.begin(),
                                      fleet.mCallers.end(),
                                      [](const KeptCallers::Kind& aKind) {
                                        return aKind.mPath == "/stream-once/";
                                      }),
                       fleet.mCallers.end());
  return fleet;
}

void
Print(const std::string& aName, const UpgradeReport& aReport)
{
  if (std::getenv("QUETZAL_TEST_FIGURES") == nullptr) {
    return;
  }
  const StreamReport& streams = aReport.mStreams;
  std::cout << "\nstreams " << aName << ": " << streams.mStreams
            << ", complete " << streams.mComplete << ", mixed "
            << streams.mMixed << ", mixed runs " << streams.mMixedRuns
            << ", mixed copies " << streams.mMixedCopies << ", disordered "
            << streams.mDisordered << ", unsigned " << streams.mUnsigned
            << ", misattributed " << streams.mMisattributed << ", overlong "
            << streams.mOverlong << ", begun " << streams.mBegun.mServed << "/"
            << streams.mBegun.mAsked << ", taken up "
            << streams.mTakenUp.mServed << "/" << streams.mTakenUp.mAsked
            << " at sound hosts, attempts " << aReport.mTakeUps
            << "; configuration went back " << aReport.mWentBack << '\n'
            << streams.mFaults << std::flush;
}

// Overlong runs are not checked, as a target that stands still reads its
// requests late.
void
Check(const UpgradeReport& aReport)
{
  const StreamReport& streams = aReport.mStreams;
  const std::string& faults = streams.mFaults;
  CPPUNIT_ASSERT_EQUAL_MESSAGE(faults, 0, streams.mMixed);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(faults, 0, streams.mMixedRuns);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(faults, 0, streams.mMixedCopies);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(faults, 0, streams.mDisordered);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(faults, 0, streams.mUnsigned);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(faults, 0, streams.mMisattributed);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(
    "configurations that went back", 0, aReport.mWentBack);
}

} // namespace

// Hosts of two builds side by side: six gateway processes of an old commit are
// replaced one by one by the build of this one, and back, beside crashing and
// silent targets, a silent store, killed and cut-off hosts and changes of
// the configuration. QUETZAL_TEST_LANDING names the old commit,
// QUETZAL_TEST_BUILDS is "mixed", "old" or "new" (one build, for comparison).
// See ForEachPlay() for the others. Without the old commit the test is not run.
class FleetUpgradeTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetUpgradeTests);
  CPPUNIT_TEST(RulesHoldWhileHostsOfTwoBuildsServe);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests that are lost or run twice, streams that mix
  // versions and configurations that go back because hosts of two builds
  // misunderstand each other.
  void RulesHoldWhileHostsOfTwoBuildsServe()
  {
    const FleetBuilds builds = SelectedBuilds();
    std::string old;
    if (builds != FleetBuilds::New) {
      old = BuildLanding(OldCommit());
      if (old.empty()) {
        std::cout << "\nnot run: no gateway of " << OldCommit() << std::endl;
        return;
      }
    }
    const std::string upgraded = builds == FleetBuilds::Old ? old : "";
    const std::string name =
      std::string("upgrade-") + kBuildNames[static_cast<std::size_t>(builds)];
    auto seed = static_cast<unsigned>(FromEnvironment("QUETZAL_TEST_SEED", 1));
    std::vector<UpgradeReport> reports;
    ForEachPlay(
      MakeCase(name, old),
      [&](FleetSituation& aSituation) {
        reports.push_back(Play(aSituation, seed, old, upgraded));
        Print(name + "-" + std::to_string(seed++), reports.back());
      },
      [](const AnswerCounts& aCounts) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("requests that ended without an answer",
                                     std::size_t{ 0 },
                                     aCounts.mLost.size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          "requests broken off at their deadline", 0, aCounts.mOverdue);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          "unsafe requests that ran twice or after a refusal",
          std::size_t{ 0 },
          aCounts.mWrongRuns.size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          "requests rejected", 0, aCounts.RejectedCount());
      });
    std::for_each(reports.begin(), reports.end(), Check);
  }

private:
  static UpgradeReport Play(FleetSituation& aSituation,
                            unsigned aSeed,
                            const std::string& aOld,
                            const std::string& aNew)
  {
    UpgradeScene scene(aSituation, aSeed);
    scene.ReplaceAll(aNew);
    scene.ReplaceAll(aOld);
    UpgradeReport report;
    report.mStreams = scene.Finish();
    report.mTakeUps = scene.CountTakeUps();
    report.mWentBack = scene.Stop();
    return report;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetUpgradeTests);
