#include "GatewayTestCluster.h"

#include "core/Hash.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kHosts = 3;
constexpr int kRunnersPerVersion = 4;
constexpr char kKey[] = "rollout/engines";

// Bounds of the rule: share of the requests that a bad version gets, and the
// requests that it gets besides.
constexpr double kExposureShare = 0.1;
constexpr double kExposureSlack = 50;

// Length of the orders; a good version is completed before.
constexpr int kOrderS = 8;

// Time for which hosts go on telling of an order after its deadline.
constexpr auto kReportedAfterwards = seconds(10);

// Pause of each of the callers between two requests.
constexpr auto kPause = milliseconds(40);

// Environment variable that names the directory of the gateways' logs.
constexpr char kLogVariable[] = "QUETZAL_TEST_LOGS";

void
Sleep(Duration aTime)
{
  std::this_thread::sleep_for(aTime);
}

std::string
OrderOf(int aDurationS)
{
  return R"({"Service":"engines","To":"v2","DurationS":)" +
         std::to_string(aDurationS) + "}";
}

std::string
StatusOf(const std::string& aState)
{
  return R"({"State":")" + aState + R"(","To":"v2"})";
}

GatewayTestCluster::Options
TwoVersions()
{
  GatewayTestCluster::Options options;
  options.mGateways = kHosts;
  options.mRunners = 2 * kRunnersPerVersion;
  options.mLateRunners = kRunnersPerVersion;
  options.mVersions = { "v1", "v1", "v1", "v1", "v2", "v2", "v2", "v2" };
  return options;
}

std::string
NewRunner(int aNumber)
{
  return "i-" + std::to_string(kRunnersPerVersion + aNumber);
}

void
SetNewVersion(GatewayTestCluster& aCluster, RunnerMode aMode)
{
  for (int n = 0; n < kRunnersPerVersion; ++n) {
    aCluster.SetMode(NewRunner(n), aMode);
  }
}

// Starts the runners of the new version.
void
StartNewVersion(GatewayTestCluster& aCluster, RunnerMode aMode)
{
  SetNewVersion(aCluster, aMode);
  for (int n = 0; n < kRunnersPerVersion; ++n) {
    aCluster.StartRunner(NewRunner(n));
  }
}

// Host that keeps the rollouts of the service.
std::size_t
KeeperOf(const GatewayTestCluster& aCluster)
{
  const std::uint64_t service = StableHash("engines");
  std::size_t keeper = 0;
  for (std::size_t n = 1; n < aCluster.GatewayCount(); ++n) {
    keeper = StableHash(aCluster.Gateway(n).Name(), service) <
                 StableHash(aCluster.Gateway(keeper).Name(), service)
               ? n
               : keeper;
  }
  return keeper;
}

// Callers of all hosts, two at each, until the object is destroyed.
class Callers
{
public:
  explicit Callers(GatewayTestCluster& aCluster)
  {
    for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
      for (const char* route : { "/plain/", "/stream/" }) {
        mThreads.emplace_back([this, n, route, &aCluster] {
          for (int count = 0; !mStops; ++count) {
            aCluster.Gateway(n).Call(GatewayTestCluster::Request(
              route,
              std::to_string(n) + route + std::to_string(mStart + count)));
            Sleep(kPause);
          }
        });
      }
    }
  }
  ~Callers()
  {
    mStops = true;
    for (auto& it : mThreads) {
      it.join();
    }
  }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

private:
  static std::atomic<int> sStart;
  const int mStart = sStart += 100000;
  std::atomic<bool> mStops{ false };
  std::vector<std::thread> mThreads;
};

std::atomic<int> Callers::sStart{ 0 };

// Number of runs at a version, at any if it is empty, since a time.
int
CountRuns(GatewayTestCluster& aCluster,
          const std::string& aVersion,
          Time aFrom = Time::min())
{
  const auto runs = aCluster.Runs();
  return static_cast<int>(
    std::count_if(runs.begin(), runs.end(), [&](const RunnerRequest& aRun) {
      return aRun.mAt >= aFrom &&
             (aVersion.empty() || aRun.mVersion == aVersion);
    }));
}

// Waits until the status row has a state; returns whether that was in time.
bool
AwaitState(GatewayTestCluster& aCluster,
           const std::string& aState,
           Time aDeadline)
{
  while (aCluster.RowOf("status", kKey) != StatusOf(aState)) {
    if (EventLoop::Now() >= aDeadline) {
      return false;
    }
    Sleep(milliseconds(20));
  }
  return true;
}

// Waits until a gateway knows that the rollout has reached a stage.
bool
AwaitStage(GatewayTestCluster& aCluster, const char* aStage, Time aDeadline)
{
  while (EventLoop::Now() < aDeadline) {
    bool reached = true;
    for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
      reached &= !aCluster.Gateway(n).IsRunning() ||
                 aCluster.Gateway(n).Metric("quetzal_rollout_stage") == aStage;
    }
    if (reached) {
      return true;
    }
    Sleep(milliseconds(50));
  }
  return false;
}

constexpr char kRolledBackStage[] = "3";

void
CheckExposure(GatewayTestCluster& aCluster, Time aOrderedAt)
{
  CPPUNIT_ASSERT(CountRuns(aCluster, "v2") <=
                 kExposureShare * CountRuns(aCluster, "", aOrderedAt) +
                   kExposureSlack);
}

} // namespace

// Rollouts of a service with several gateway processes in front of targets of
// two versions.
class RolloutProcessTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RolloutProcessTests);
  CPPUNIT_TEST(ABadVersionIsRolledBackAndNotUsedByALaterHost);
  CPPUNIT_TEST(AGoodVersionIsCompletedInTimeThoughItsKeeperDies);
  CPPUNIT_TEST(ABadVersionIsRolledBackWithoutTheStore);
  CPPUNIT_TEST(ARolledBackVersionStaysSoWhenTheStoreReturnsFromACopy);
  CPPUNIT_TEST(TheSameOrderCanBeGivenAgainAfterItsEnd);
  CPPUNIT_TEST(MalformedOrdersChangeNothingAndAreLogged);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a bad version that gets its full part of the requests, and
  // against hosts that start after the rollback and do not know of it.
  void ABadVersionIsRolledBackAndNotUsedByALaterHost()
  {
    auto options = TwoVersions();
    options.mLateGateways = 1;
    GatewayTestCluster cluster(options);
    const Time orderedAt = Order(cluster, RunnerMode::FailHalf, kOrderS);
    {
      const Callers callers(cluster);
      CPPUNIT_ASSERT(
        AwaitState(cluster, "rolled_back", orderedAt + seconds(kOrderS)));
      CheckExposure(cluster, orderedAt);
    }
    CPPUNIT_ASSERT(CountRuns(cluster, "v2") > 0);
    cluster.Join();
    const Time joinedAt = EventLoop::Now();
    const Callers callers(cluster);
    Sleep(seconds(2));
    CPPUNIT_ASSERT_EQUAL(0, CountRuns(cluster, "v2", joinedAt));
    CPPUNIT_ASSERT(CountRuns(cluster, "v1", joinedAt) > 0);
  }

  // Guards against a rollout that ends with its keeper, and against a good
  // version that is still on trial when the order's time is over.
  void AGoodVersionIsCompletedInTimeThoughItsKeeperDies()
  {
    GatewayTestCluster cluster(TwoVersions());
    const Time orderedAt = Order(cluster, RunnerMode::Serve, kOrderS);
    const Callers callers(cluster);
    Sleep(seconds(kOrderS) / 2);
    GatewayProcess& keeper = cluster.Gateway(KeeperOf(cluster));
    keeper.Signal(SIGKILL);
    keeper.AwaitExit();
    CPPUNIT_ASSERT(
      AwaitState(cluster, "completed", orderedAt + seconds(kOrderS)));
  }

  // Guards against a rollback that waits for the store, and against one that is
  // never recorded if the store comes back long after the order's time.
  void ABadVersionIsRolledBackWithoutTheStore()
  {
    constexpr int kShortOrderS = 4;
    GatewayTestCluster cluster(TwoVersions());
    const Time orderedAt = Order(cluster, RunnerMode::Serve, kShortOrderS);
    const Time deadline = orderedAt + seconds(kShortOrderS);
    {
      const Callers callers(cluster);
      CPPUNIT_ASSERT(AwaitState(cluster, "running", deadline));
      SetStoreDown(cluster, true);
      SetNewVersion(cluster, RunnerMode::FailHalf);
      CPPUNIT_ASSERT(AwaitStage(cluster, kRolledBackStage, deadline));
      CheckExposure(cluster, orderedAt);
      const Time rolledBackAt = EventLoop::Now();
      Sleep(seconds(1));
      CPPUNIT_ASSERT_EQUAL(0, CountRuns(cluster, "v2", rolledBackAt));
    }
    CPPUNIT_ASSERT_EQUAL(StatusOf("running"), cluster.RowOf("status", kKey));
    std::this_thread::sleep_until(deadline + kReportedAfterwards + seconds(1));
    SetStoreDown(cluster, false);
    CPPUNIT_ASSERT(
      AwaitState(cluster, "rolled_back", EventLoop::Now() + seconds(8)));
  }

  // Guards against an order of the copy that is taken for one given again, by
  // which a version that was rolled back gets requests once more.
  void ARolledBackVersionStaysSoWhenTheStoreReturnsFromACopy()
  {
    constexpr int kShortOrderS = 4;
    GatewayTestCluster cluster(TwoVersions());
    const Time orderedAt = Order(cluster, RunnerMode::FailHalf, kShortOrderS);
    const Time deadline = orderedAt + seconds(kShortOrderS);
    const Callers callers(cluster);
    CPPUNIT_ASSERT(AwaitState(cluster, "running", deadline));
    cluster.KeepCopyOfStore();
    CPPUNIT_ASSERT(AwaitState(cluster, "rolled_back", deadline));
    std::this_thread::sleep_until(deadline + milliseconds(200));
    const Time returnedAt = EventLoop::Now();
    cluster.ReturnFromCopy();
    Sleep(seconds(3));
    CPPUNIT_ASSERT_EQUAL(0, CountRuns(cluster, "v2", returnedAt));
    CPPUNIT_ASSERT(CountRuns(cluster, "v1", returnedAt) > 0);
    CPPUNIT_ASSERT(
      AwaitState(cluster, "rolled_back", EventLoop::Now() + seconds(4)));
  }

  // Guards against a second order with the text of the first one, once its
  // version is mended, whose state is never recorded, and against a good
  // version that is not completed in time while all hosts live.
  void TheSameOrderCanBeGivenAgainAfterItsEnd()
  {
    constexpr int kShortOrderS = 5;
    GatewayTestCluster cluster(TwoVersions());
    Time orderedAt = Order(cluster, RunnerMode::FailHalf, kShortOrderS);
    const Callers callers(cluster);
    CPPUNIT_ASSERT(
      AwaitState(cluster, "rolled_back", orderedAt + seconds(kShortOrderS)));
    std::this_thread::sleep_until(orderedAt + seconds(kShortOrderS) +
                                  milliseconds(500));
    SetNewVersion(cluster, RunnerMode::Serve);
    orderedAt = EventLoop::Now();
    cluster.SetRow("op", kKey, OrderOf(kShortOrderS));
    CPPUNIT_ASSERT(
      AwaitState(cluster, "completed", orderedAt + seconds(kShortOrderS)));
  }

  // Guards against orders that cannot be carried out and take the service, or
  // their reason, away from the operator.
  void MalformedOrdersChangeNothingAndAreLogged()
  {
    const auto logs = std::filesystem::temp_directory_path() /
                      ("quetzal-rollout-" + std::to_string(::getpid()));
    std::filesystem::create_directories(logs);
    const char* former = std::getenv(kLogVariable);
    const std::string formerLogs = former == nullptr ? "" : former;
    ::setenv(kLogVariable, logs.c_str(), 1);
    GatewayTestCluster cluster(TwoVersions());
    former == nullptr ? ::unsetenv(kLogVariable)
                      : ::setenv(kLogVariable, formerLogs.c_str(), 1);
    StartNewVersion(cluster, RunnerMode::Serve);
    const std::vector<std::string> orders = {
      "[]",
      "nonsense",
      R"({"Service":"engines","To":"v2"})",
      R"({"Service":"engines","To":"v2","DurationS":-3})",
      R"({"Service":"engines","To":"v2","DurationS":"8"})",
      R"({"Service":"engines","DurationS":8})",
      R"({"Service":"others","To":"v2","DurationS":8})",
    };
    for (const std::string& it : orders) {
      cluster.SetRow("op", kKey, it);
      AwaitLines(logs, "invalid order ignored", ++mExpectedLines);
    }
    cluster.SetRow("op",
                   "rollout/nobody",
                   R"({"Service":"nobody","To":"v2","DurationS":8})");
    AwaitLines(logs, "order for an unknown service ignored", 1);
    const CallerAnswer answer =
      cluster.Call(GatewayTestCluster::Request("/plain/", "after"));
    CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
    Sleep(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(0, cluster.CountRows("status"));
    std::filesystem::remove_all(logs);
  }

private:
  // Starts the runners of the new version and orders its rollout.
  static Time Order(GatewayTestCluster& aCluster,
                    RunnerMode aMode,
                    int aDurationS)
  {
    const Time now = EventLoop::Now();
    aCluster.SetRow("op", kKey, OrderOf(aDurationS));
    Sleep(milliseconds(200));
    StartNewVersion(aCluster, aMode);
    return now;
  }

  static void SetStoreDown(GatewayTestCluster& aCluster, bool aDown)
  {
    for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
      aCluster.SetStoreDown(aDown, n);
    }
  }

  // Waits until the first gateway's log has a number of lines with a text.
  static void AwaitLines(const std::filesystem::path& aLogs,
                         const std::string& aText,
                         int aCount)
  {
    const Time limit = EventLoop::Now() + seconds(5);
    for (;;) {
      std::ifstream file(aLogs / "h.log");
      std::string line;
      int count = 0;
      while (std::getline(file, line)) {
        count += line.find(aText) != std::string::npos ? 1 : 0;
      }
      if (count >= aCount) {
        return;
      }
      CPPUNIT_ASSERT_MESSAGE(aText, EventLoop::Now() < limit);
      Sleep(milliseconds(20));
    }
  }

  int mExpectedLines = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutProcessTests);
