#include "CallerChannel.h"
#include "GatewayTestCluster.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using std::chrono::milliseconds;

namespace {

// Time within which a confirmed change has to be in force.
constexpr milliseconds kApplyTime(2000);

constexpr std::size_t kGateways = 3;

} // namespace

// Settings files that change while their processes run.
class ChangedSettingsTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ChangedSettingsTests);
  CPPUNIT_TEST(AnotherStoreIsReadAfterASignal);
  CPPUNIT_TEST(AnotherStoreIsReadWithoutASignal);
  CPPUNIT_TEST(CallersAreServedAtAnotherAddress);
  CPPUNIT_TEST(FewerConnectionsAreAccepted);
  CPPUNIT_TEST(AnUnfinishedFileChangesNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a whole fleet that keeps its configuration for good, as each
  // host goes on asking the store's former address.
  void AnotherStoreIsReadAfterASignal() { CheckAnotherStore(true); }

  void AnotherStoreIsReadWithoutASignal() { CheckAnotherStore(false); }

  // Guards against hosts that can't be reached where their settings say.
  void CallersAreServedAtAnotherAddress()
  {
    GatewayTestCluster cluster;
    GatewayProcess& gateway = cluster.Gateway();
    const int former = gateway.CallerPort();
    CallerChannel kept(gateway);
    gateway.MovePorts();
    std::this_thread::sleep_for(milliseconds(1500));
    CPPUNIT_ASSERT(former != gateway.CallerPort());
    CPPUNIT_ASSERT_EQUAL(200, gateway.Readiness());
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(cluster, 0, "plain"));
    CPPUNIT_ASSERT(!gateway.Metrics().empty());
    // A connection that is open goes on.
    kept.Send(GatewayTestCluster::Request("/plain/", "kept"));
    CPPUNIT_ASSERT_EQUAL(200, kept.Read().mHead.mStatus);
  }

  // Guards against hosts that go by the limits of their start.
  void FewerConnectionsAreAccepted()
  {
    constexpr int kConnections = 120;
    GatewayTestCluster cluster;
    CPPUNIT_ASSERT_EQUAL(kConnections, KeptOf(cluster, kConnections));
    GatewayTestSettings settings;
    settings.mMaxConnections = 200;
    cluster.Gateway().ChangeSettings(settings);
    std::this_thread::sleep_for(milliseconds(1500));
    CPPUNIT_ASSERT(KeptOf(cluster, kConnections) < kConnections);
  }

  // Guards against a file that is read while it is written.
  void AnUnfinishedFileChangesNothing()
  {
    GatewayTestCluster cluster;
    cluster.Gateway().TruncateSettings();
    std::this_thread::sleep_for(milliseconds(1200));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(cluster, 0, "plain"));
    cluster.Gateway().WriteSettings();
    cluster.MoveStore(0);
    AddRoute(cluster, "new");
    std::this_thread::sleep_for(kApplyTime);
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(cluster, 0, "new"));
  }

private:
  static void CheckAnotherStore(bool aSignals)
  {
    GatewayTestCluster::Options options;
    options.mGateways = kGateways;
    GatewayTestCluster cluster(options);
    for (std::size_t n = 0; n < kGateways; ++n) {
      cluster.MoveStore(n);
      if (aSignals) {
        cluster.Gateway(n).Signal(SIGHUP);
      }
    }
    for (int change = 0; change < 2; ++change) {
      const std::string name = "new-" + std::to_string(change);
      AddRoute(cluster, name);
      std::this_thread::sleep_for(kApplyTime);
      for (std::size_t n = 0; n < kGateways; ++n) {
        CPPUNIT_ASSERT_EQUAL(200, StatusOf(cluster, n, name));
      }
    }
  }

  static void AddRoute(GatewayTestCluster& aCluster, const std::string& aName)
  {
    TestConfiguration configuration;
    TestRoute route = configuration.RouteOf("plain");
    route.mName = aName;
    configuration.mRoutes.push_back(route);
    aCluster.Write(configuration);
  }

  // How many of so many connections, opened for a request each, are open at
  // once: the others are refused, or closed for newer ones.
  static int KeptOf(const GatewayTestCluster& aCluster, int aConnections)
  {
    std::vector<std::unique_ptr<CallerChannel>> channels;
    for (int n = 0; n < aConnections; ++n) {
      channels.push_back(std::make_unique<CallerChannel>(aCluster.Gateway()));
      channels.back()->Send(
        GatewayTestCluster::Request("/plain/", "c" + std::to_string(n)));
      channels.back()->Read();
    }
    return static_cast<int>(
      std::count_if(channels.begin(), channels.end(), [](const auto& aChannel) {
        return aChannel->AwaitEnd(milliseconds(1)) == ChannelEnd::None;
      }));
  }

  static int StatusOf(const GatewayTestCluster& aCluster,
                      std::size_t aHost,
                      const std::string& aRoute)
  {
    static int sRequests = 0;
    return aCluster.Gateway(aHost)
      .Call(GatewayTestCluster::Request("/" + aRoute + "/",
                                        "r" + std::to_string(++sRequests)))
      .mHead.mStatus;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangedSettingsTests);
