#include "GatewayTestCluster.h"

#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>

using std::chrono::milliseconds;

namespace {

// Time that a process has to begin to wait for its address, or to end.
constexpr auto kWaitTime = milliseconds(700);

// Takes a port of an address, as another process does.
class TakenPort
{
public:
  TakenPort(const std::string& aIp, int aPort)
    : mAcceptor(mContext,
                { boost::asio::ip::make_address(aIp),
                  static_cast<unsigned short>(aPort) })
  {
  }

private:
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
};

} // namespace

// Hosts that start while one of their addresses is not free.
class GatewayStartTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayStartTests);
  CPPUNIT_TEST(AHostWaitsForTheAddressOfItsPredecessor);
  CPPUNIT_TEST(AHostServesWhileItsMetricsPortIsTaken);
  CPPUNIT_TEST(AHostThatWaitsForItsAddressCanBeStopped);
  CPPUNIT_TEST(AHostServesOnWhenTheFileOfItsLogIsFull);
  CPPUNIT_TEST(AHostStartsWhileItsSettingsAreWritten);
  CPPUNIT_TEST(AReloadSignalledAtTheStartDoesNotEndTheHost);
  CPPUNIT_TEST(AStopSignalledAtTheStartEndsTheHostInOrder);
  CPPUNIT_TEST(NoConnectionTakesTheNumberOfAClosedStandardOutput);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a process that is ended by the signal for a file that has
  // reached its limit.
  void AHostServesOnWhenTheFileOfItsLogIsFull()
  {
    GatewayTestCluster::Options options;
    options.mSettings.mLogFileBytes = 2048;
    GatewayTestCluster cluster(options);
    for (int n = 0; n < 30; ++n) {
      CPPUNIT_ASSERT_EQUAL(
        200,
        cluster
          .Call(GatewayTestCluster::Request("/plain/", "a" + std::to_string(n)))
          .mHead.mStatus);
    }
    // Lines are written late.
    std::this_thread::sleep_for(kWaitTime);
    CPPUNIT_ASSERT_EQUAL(200, cluster.Gateway().Readiness());
    CPPUNIT_ASSERT_EQUAL(0, cluster.Gateway().Stop());
  }

  // Guards against a process that is ended by the signal for changed settings,
  // which comes while it waits for them.
  void AReloadSignalledAtTheStartDoesNotEndTheHost()
  {
    GatewayTestCluster cluster;
    GatewayProcess& gateway = cluster.Gateway();
    StartWithoutSettings(gateway);
    gateway.Signal(SIGHUP);
    std::this_thread::sleep_for(kWaitTime);
    gateway.WriteSettings();
    cluster.AwaitReady();
    CPPUNIT_ASSERT_EQUAL(
      200,
      cluster.Call(GatewayTestCluster::Request("/plain/", "a")).mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(0, gateway.Stop());
  }

  // Guards against a stop at that moment that is taken for a crash.
  void AStopSignalledAtTheStartEndsTheHostInOrder()
  {
    GatewayTestCluster cluster;
    GatewayProcess& gateway = cluster.Gateway();
    StartWithoutSettings(gateway);
    gateway.Signal(SIGTERM);
    std::this_thread::sleep_for(kWaitTime);
    gateway.WriteSettings();
    CPPUNIT_ASSERT_EQUAL(0, gateway.AwaitExit());
  }

  // Guards against lines of the log that are written to whatever has the number
  // of a standard output that the parent process has closed.
  void NoConnectionTakesTheNumberOfAClosedStandardOutput()
  {
    GatewayTestCluster::Options options;
    options.mSettings.mClosesStandardDescriptors = true;
    GatewayTestCluster cluster(options);
    for (const char* it : { "0", "1", "2" }) {
      CPPUNIT_ASSERT_EQUAL(
        std::string("/dev/null"),
        std::filesystem::read_symlink(
          "/proc/" + std::to_string(cluster.Gateway().Pid()) + "/fd/" + it)
          .string());
    }
    CPPUNIT_ASSERT_EQUAL(
      200,
      cluster.Call(GatewayTestCluster::Request("/plain/", "a")).mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(0, cluster.Gateway().Stop());
  }

  // Guards against a process that ends at its start because its settings file
  // is written in that moment.
  void AHostStartsWhileItsSettingsAreWritten()
  {
    GatewayTestCluster cluster;
    GatewayProcess& gateway = cluster.Gateway();
    StartWithoutSettings(gateway);
    gateway.WriteSettings();
    cluster.AwaitReady();
    CPPUNIT_ASSERT_EQUAL(
      200,
      cluster.Call(GatewayTestCluster::Request("/plain/", "a")).mHead.mStatus);
  }

  // Guards against a process that ends because the one that it replaces is slow
  // to die.
  void AHostWaitsForTheAddressOfItsPredecessor()
  {
    GatewayTestCluster cluster;
    GatewayProcess& gateway = cluster.Gateway();
    auto port = StartBesideTaken(gateway, gateway.CallerPort());
    std::this_thread::sleep_for(kWaitTime);
    port.reset();
    cluster.AwaitReady();
    CPPUNIT_ASSERT_EQUAL(
      200,
      cluster.Call(GatewayTestCluster::Request("/unsafe/", "a")).mHead.mStatus);
  }

  // Guards against a process that ends for want of something that its callers
  // don't need.
  void AHostServesWhileItsMetricsPortIsTaken()
  {
    GatewayTestCluster cluster;
    GatewayProcess& gateway = cluster.Gateway();
    auto port = StartBesideTaken(gateway, gateway.MetricsPort());
    cluster.AwaitReady();
    CPPUNIT_ASSERT_EQUAL(
      200,
      cluster.Call(GatewayTestCluster::Request("/unsafe/", "a")).mHead.mStatus);
    port.reset();
    cluster.Await([](const GatewayProcess& aGateway) {
      return aGateway.Metric("quetzal_ready") == "1";
    });
  }

  void AHostThatWaitsForItsAddressCanBeStopped()
  {
    GatewayTestCluster cluster;
    GatewayProcess& gateway = cluster.Gateway();
    const auto port = StartBesideTaken(gateway, gateway.CallerPort());
    std::this_thread::sleep_for(kWaitTime);
    gateway.Signal(SIGHUP);
    gateway.Signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, gateway.AwaitExit());
  }

private:
  // Starts a gateway again while its settings file is empty.
  static void StartWithoutSettings(GatewayProcess& aGateway)
  {
    aGateway.Signal(SIGKILL);
    aGateway.AwaitExit();
    aGateway.TruncateSettings();
    aGateway.Start();
    std::this_thread::sleep_for(kWaitTime);
  }

  // Starts a gateway again while another process has a port of it.
  static std::unique_ptr<TakenPort> StartBesideTaken(GatewayProcess& aGateway,
                                                     int aPort)
  {
    aGateway.Signal(SIGKILL);
    aGateway.AwaitExit();
    auto port = std::make_unique<TakenPort>(aGateway.Ip(), aPort);
    aGateway.Start();
    return port;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStartTests);
