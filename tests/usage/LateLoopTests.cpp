#include "FleetTroubles.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

using std::chrono::milliseconds;

namespace {

// Time between two pauses of a host, and number of pauses beside one silence.
constexpr auto kRunTime = milliseconds(100);
constexpr int kPauses = 4;

// Changes of the configuration, and rereads of the settings, beside one
// silence.
constexpr int kChangesPerSilence = 7;
constexpr int kReloadsPerSilence = 4;

// Connections of a target that is always full.
constexpr int kFewRunnerConnections = 5;

// Stops the hosts' processes for 0.2 to 0.6 s at a time, one after another.
void
PauseHosts(const GatewayTestCluster& aCluster, unsigned aSeed)
{
  std::mt19937 random(aSeed);
  for (int n = 0; n < kPauses; ++n) {
    const auto& host =
      aCluster.Gateway(static_cast<std::size_t>(n) % aCluster.GatewayCount());
    host.Signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(200 + random() % 401));
    host.Signal(SIGCONT);
    std::this_thread::sleep_for(kRunTime);
  }
}

// Lets targets be silent while hosts are late, beside changes.
void
SilenceOnLateHosts(FleetSituation& aSituation, SilentRunners aRunners)
{
  std::thread pauses(
    PauseHosts, std::cref(aSituation.mCluster), aSituation.mRandom());
  std::mt19937 random(aSituation.mRandom());
  FleetSituation reloading{
    aSituation.mCluster, aSituation.mCallers, random, aSituation.mConfiguration
  };
  std::thread reloads([&] { ReloadSettings(reloading, kReloadsPerSilence); });
  SilenceBesideChanges(aSituation, aRunners, kChangesPerSilence);
  reloads.join();
  pauses.join();
}

} // namespace

// Hosts whose processes do not run for a while, with targets that are silent
// for a second and go on.
class LateLoopTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LateLoopTests);
  CPPUNIT_TEST(RequestsStayAtTheOnlyTarget);
  CPPUNIT_TEST(RequestsStayAtOneOfTwoTargets);
  CPPUNIT_TEST(FleetsAnswerAllRequests);
  CPPUNIT_TEST(FleetsAnswerAllRequestsBesideFullTargets);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against giving up the only target, silent while the host is late.
  void RequestsStayAtTheOnlyTarget() { ExpectWholeAnswers(1); }

  // Guards against leaving a silent target for one that is silent, too, while
  // the host is late.
  void RequestsStayAtOneOfTwoTargets() { ExpectWholeAnswers(2); }

  // Guards against requests lost at hosts that are late while targets are
  // silent beside changes.
  void FleetsAnswerAllRequests()
  {
    const FleetCase fleet("late");
    ExpectAllAnswered(fleet, [](FleetSituation& aSituation) {
      std::this_thread::sleep_for(milliseconds(500));
      SilenceOnLateHosts(aSituation, SilentRunners::One);
      SilenceOnLateHosts(aSituation, SilentRunners::FirstPlace);
      SilenceOnLateHosts(aSituation, SilentRunners::Service);
    });
  }

  // Guards against the same where targets turn connections away.
  void FleetsAnswerAllRequestsBesideFullTargets()
  {
    const FleetCase fleet("late_full");
    ExpectAllAnswered(fleet, [](FleetSituation& aSituation) {
      aSituation.mCluster.SetRunnerMaxConnections(kFewRunnerConnections);
      std::this_thread::sleep_for(milliseconds(500));
      SilenceOnLateHosts(aSituation, SilentRunners::FirstPlace);
      SilenceOnLateHosts(aSituation, SilentRunners::Service);
    });
  }

private:
  // Requests of each kind that run at the same time.
  static constexpr int kRequests = 8;

  static void ExpectWholeAnswers(int aRunners)
  {
    GatewayTestCluster cluster(aRunners);
    cluster.SetPace(milliseconds(100), milliseconds(20), milliseconds(300));
    std::vector<std::unique_ptr<BackgroundCall>> calls;
    for (const char* route : { "/stream/", "/plain/", "/unsafe/", "/quick/" }) {
      for (int n = 0; n < kRequests; ++n) {
        calls.push_back(std::make_unique<BackgroundCall>(
          cluster.Gateway(),
          GatewayTestCluster::Request(route, route + std::to_string(n))));
      }
    }
    std::this_thread::sleep_for(milliseconds(200));
    for (const std::string& it : cluster.RunnersOf()) {
      cluster.Stall(it, milliseconds(1200));
    }
    std::thread changes([&] {
      for (int n = 0; n < kChangesPerSilence; ++n) {
        cluster.Write(TestConfiguration());
        cluster.Gateway().Signal(SIGHUP);
        std::this_thread::sleep_for(milliseconds(150));
      }
    });
    PauseHosts(cluster, 1);
    changes.join();
    for (const auto& it : calls) {
      const CallerAnswer& answer = it->AwaitAnswer();
      CPPUNIT_ASSERT(answer.mComplete);
      CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateLoopTests);
