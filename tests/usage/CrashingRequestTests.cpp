#include "GatewayTestCluster.h"
#include "OtherTraffic.h"

#include <algorithm>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// Time that the platform grants until a third crash must be known on all hosts,
// and the number of runs that may start after that.
constexpr auto kKnownWithin = milliseconds(3000);
constexpr std::size_t kMaxLateRuns = 3;

// Time within which a host writes what has to last.
constexpr auto kWritten = milliseconds(1000);

// Routes whose requests may not be repeated, may be repeated, and stream.
constexpr const char* kRoutes[] = { "/unsafe/", "/plain/", "/stream/" };

// Time between two sends of the crashing request.
constexpr auto kReturnInterval = milliseconds(250);

// Sends after kKnownWithin; more if there are more hosts.
constexpr int kLateSends = 12;

std::string
CrashingRequest(const std::string& aRoute, int aNumber)
{
  return GatewayTestCluster::Request(aRoute,
                                     "crash-" + std::to_string(aNumber),
                                     "",
                                     GatewayTestCluster::kCrashingBody);
}

std::size_t
CountCrashingRuns(GatewayTestCluster& aCluster)
{
  std::size_t count = 0;
  for (const RunnerRequest& it : aCluster.Runs()) {
    count += it.mBody == GatewayTestCluster::kCrashingBody ? 1 : 0;
  }
  return count;
}

} // namespace

// Gateway processes and a request that crashes each target that runs it and
// comes again at changing hosts.
class CrashingRequestTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashingRequestTests);
  CPPUNIT_TEST(CrashingUnsafeRequestIsStoppedOnAllHosts);
  CPPUNIT_TEST(CrashingSafeRequestIsStoppedOnAllHosts);
  CPPUNIT_TEST(CrashingStreamIsStoppedOnAllHosts);
  CPPUNIT_TEST(CrashingRequestIsStoppedIfTargetsKeepTheirNames);
  CPPUNIT_TEST(CrashingUnsafeRequestIsStoppedByASingleHost);
  CPPUNIT_TEST(CrashingSafeRequestIsStoppedByASingleHost);
  CPPUNIT_TEST(CrashingRequestIsStoppedWithoutOtherTraffic);
  CPPUNIT_TEST(CrashingRequestIsStoppedAfterAHostRestarts);
  CPPUNIT_TEST(CrashingRequestIsStoppedAfterAllHostsRestart);
  CPPUNIT_TEST(CrashingRequestIsStoppedOnAHostThatIsCutOff);
  CPPUNIT_TEST(CrashingRequestIsStoppedOnAHostThatJoins);
  CPPUNIT_TEST(CrashingRequestIsStoppedOnManyHosts);
  CPPUNIT_TEST(CrashingRequestIsStoppedWhilePlacesFail);
  CPPUNIT_TEST(RetriesOfACrashingRequestEndThreeTargetsAtMost);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against hosts that each count the deaths a request causes for
  // themselves, so that it crashes three targets for every host.
  void CrashingUnsafeRequestIsStoppedOnAllHosts()
  {
    ExpectStopped("/unsafe/", 4, RunnerReturn::NewName);
  }

  void CrashingSafeRequestIsStoppedOnAllHosts()
  {
    ExpectStopped("/plain/", 4, RunnerReturn::NewName);
  }

  void CrashingStreamIsStoppedOnAllHosts()
  {
    ExpectStopped("/stream/", 4, RunnerReturn::NewName);
  }

  void CrashingRequestIsStoppedIfTargetsKeepTheirNames()
  {
    ExpectStopped("/unsafe/", 4, RunnerReturn::SameName);
  }

  // Guards against several refused connections of one dead target being taken
  // for the failure of a place.
  void CrashingUnsafeRequestIsStoppedByASingleHost()
  {
    ExpectStopped("/unsafe/", 1, RunnerReturn::NewName);
  }

  // Guards against a safe request whose own retries crash several targets at
  // once being taken for the failure of a place.
  void CrashingSafeRequestIsStoppedByASingleHost()
  {
    ExpectStopped("/plain/", 1, RunnerReturn::NewName);
  }

  // Guards against the death of a target that nothing else is sent to meanwhile
  // never being recognized.
  void CrashingRequestIsStoppedWithoutOtherTraffic()
  {
    GatewayTestCluster cluster(8, 1);
    ExpectStoppedBy(cluster, "/unsafe/");
  }

  // Guards against a host that has just started sending what all others refuse.
  void CrashingRequestIsStoppedAfterAHostRestarts()
  {
    for (const char* it : kRoutes) {
      GatewayTestCluster cluster(8, 4);
      ExpectStoppedBesideOthers(cluster, it, [&] {
        cluster.Gateway(1).Restart();
        cluster.AwaitReady();
      });
    }
  }

  // Guards against all hosts forgetting at once what each of them kept only in
  // memory.
  void CrashingRequestIsStoppedAfterAllHostsRestart()
  {
    for (const char* it : kRoutes) {
      GatewayTestCluster cluster(8, 4);
      ExpectStoppedBesideOthers(cluster, it, [&] {
        std::this_thread::sleep_for(kWritten);
        for (std::size_t n = 0; n < cluster.GatewayCount(); ++n) {
          cluster.Gateway(n).Restart();
        }
        cluster.AwaitReady();
      });
    }
  }

  // Guards against a host that reaches the store but no other host never
  // learning of the request.
  void CrashingRequestIsStoppedOnAHostThatIsCutOff()
  {
    for (const char* it : kRoutes) {
      GatewayTestCluster cluster({ 8, 4, 2, 0, false });
      ExpectStoppedBesideOthers(cluster, it, [] {});
    }
  }

  // Guards against a host that nobody knew before not being told.
  void CrashingRequestIsStoppedOnAHostThatJoins()
  {
    for (const char* it : kRoutes) {
      GatewayTestCluster cluster({ 8, 4, -1, 1, false });
      ExpectStoppedBesideOthers(cluster, it, [&] { cluster.Join(); });
    }
  }

  // Nine hosts, or as many as QUETZAL_TEST_HOSTS says.
  void CrashingRequestIsStoppedOnManyHosts()
  {
    const char* hosts = std::getenv("QUETZAL_TEST_HOSTS");
    ExpectStopped("/unsafe/",
                  hosts == nullptr ? 9 : std::atoi(hosts),
                  RunnerReturn::NewName);
  }

  // Guards against other requests being blamed for the failure of a place, and
  // against the crashing one being excused by it.
  void CrashingRequestIsStoppedWhilePlacesFail()
  {
    GatewayTestCluster cluster(12, 4);
    cluster.FailPlace("p0");
    ExpectStoppedBesideOthers(
      cluster, "/plain/", [&] { cluster.FailPlace("p1"); });
  }

  // Guards against the retries of one client attempt being sent faster than the
  // crashes they cause are recognized. The routes allow five and three runs.
  void RetriesOfACrashingRequestEndThreeTargetsAtMost()
  {
    for (const char* it : { "/stream/", "/plain/" }) {
      GatewayTestCluster cluster(8, 1);
      const auto answer = cluster.Call(CrashingRequest(it, 0));
      CPPUNIT_ASSERT(answer.mComplete);
      CPPUNIT_ASSERT(answer.mHead.mStatus >= 500);
      CPPUNIT_ASSERT_EQUAL(3, cluster.CrashCount());
    }
  }

private:
  static void ExpectStopped(const std::string& aRoute,
                            int aGateways,
                            RunnerReturn aReturn)
  {
    GatewayTestCluster cluster(8, aGateways);
    cluster.SetRunnerReturn(aReturn);
    ExpectStoppedBesideOthers(cluster, aRoute, [] {});
  }

  // The same as ExpectStoppedBy, while other requests are served of which none
  // may be refused as crashing targets.
  static void ExpectStoppedBesideOthers(
    GatewayTestCluster& aCluster,
    const std::string& aRoute,
    const std::function<void()>& aAfterThirdCrash)
  {
    OtherTraffic others(aCluster);
    ExpectStoppedBy(aCluster, aRoute, aAfterThirdCrash);
    others.Stop();
    CPPUNIT_ASSERT_EQUAL(0, others.BlamedCount());
    CPPUNIT_ASSERT(others.ServedCount() > 0);
  }

  // Sends the crashing request to one host after the other until three targets
  // have crashed, calls aAfterThirdCrash, waits, and expects few further runs.
  static void ExpectStoppedBy(
    GatewayTestCluster& aCluster,
    const std::string& aRoute,
    const std::function<void()>& aAfterThirdCrash = [] {})
  {
    int sent = 0;
    const auto send = [&] {
      const std::size_t host =
        static_cast<std::size_t>(sent) % aCluster.GatewayCount();
      aCluster.Gateway(host).Call(CrashingRequest(aRoute, sent));
      ++sent;
      std::this_thread::sleep_for(kReturnInterval);
    };
    while (aCluster.CrashCount() < 3 && sent < 100) {
      send();
    }
    CPPUNIT_ASSERT(aCluster.CrashCount() >= 3);
    aAfterThirdCrash();
    std::this_thread::sleep_for(kKnownWithin);
    const std::size_t before = CountCrashingRuns(aCluster);
    const int lateSends =
      std::max(kLateSends, static_cast<int>(aCluster.GatewayCount()));
    for (int n = 0; n < lateSends; ++n) {
      send();
    }
    const std::size_t late = CountCrashingRuns(aCluster) - before;
    if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::cout << "route " << aRoute << ", hosts " << aCluster.GatewayCount()
                << ": crashes " << aCluster.CrashCount() << ", late runs "
                << late << '\n';
    }
    CPPUNIT_ASSERT_MESSAGE(
      "late runs: " + std::to_string(late) +
        ", crashes: " + std::to_string(aCluster.CrashCount()),
      late <= kMaxLateRuns);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestTests);
