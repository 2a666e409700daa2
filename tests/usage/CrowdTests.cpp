#include "Crowd.h"
#include "GatewayTestCluster.h"
#include "ServerProcess.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <string>
#include <thread>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// Memory of the gateway's host, in MB; a gateway above it is killed.
constexpr int kGatewayMb = 88;

// Descriptors that the gateway may use, and connections of a crowd there.
constexpr int kGatewayDescriptors = 300;
constexpr int kGatewayCrowd = 200;

// Descriptors of a gateway that serves nobody.
constexpr std::size_t kIdleDescriptors = 80;

// Bounds for the programs that use the server with threads: peak memory, in MB,
// and descriptors.
constexpr int kServerMb = 100;
constexpr std::size_t kRouterDescriptors = 200;
constexpr std::size_t kApiDescriptors = 800;

constexpr int kRouterCrowd = 200;
constexpr int kApiCrowd = 600;

constexpr std::size_t kOrdinaryBodyBytes = 20000;

std::string
GetRequest(const std::string& aTarget)
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: host\r\n\r\n";
}

// Connections that send nothing.
CrowdPlan
Silent(int aCount)
{
  CrowdPlan plan;
  plan.mCount = aCount;
  return plan;
}

// A head that goes on byte by byte.
CrowdPlan
SlowHeads(int aCount)
{
  CrowdPlan plan;
  plan.mCount = aCount;
  plan.mFirst = "POST / HTTP/1.1\r\nHost: host\r\nX-Field: ";
  plan.mDrip = "x";
  return plan;
}

// Connections that stay open and ask again once a second.
CrowdPlan
Kept(int aCount, const std::string& aTarget)
{
  CrowdPlan plan;
  plan.mCount = aCount;
  plan.mFirst = GetRequest(aTarget);
  plan.mDrip = plan.mFirst;
  plan.mInterval = milliseconds(1000);
  return plan;
}

void
PrintFigures(const std::string& aFigures)
{
  if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
    std::fprintf(stderr, "%s\n", aFigures.c_str());
  }
}

} // namespace

// Crowds that take all connections or threads of an address, beside an ordinary
// request there. Each test checks that the process lives within its bounds and
// that the ordinary request is served.
class CrowdTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrowdTests);
  CPPUNIT_TEST(GatewayServesCallersBesideUnfinishedBodiesWithoutKey);
  CPPUNIT_TEST(GatewayServesCallersBesideUnfinishedBodiesWithKey);
  CPPUNIT_TEST(GatewayServesCallersBesideSilentConnections);
  CPPUNIT_TEST(GatewayServesCallersBesideSlowHeads);
  CPPUNIT_TEST(GatewayServesCallersBesideReopenedConnections);
  CPPUNIT_TEST(GatewayServesCallersBesideIdleConnectionsWithoutKey);
  CPPUNIT_TEST(GatewayServesCallersBesideConnectionsAtThePeersAddress);
  CPPUNIT_TEST(GatewayServesCallersBesideRenewedBodiesWithKey);
  CPPUNIT_TEST(GatewayDropsWorkOfCallersThatReadNothingAndLeave);
  CPPUNIT_TEST(GatewayStopsBesideACrowd);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against connections that are kept by senders without a key while new
  // ones are turned away.
  void GatewayServesCallersBesideUnfinishedBodiesWithoutKey()
  {
    CheckGateway(Bodies(""));
  }

  // The same with a valid key: a body that has stopped gives way to others.
  void GatewayServesCallersBesideUnfinishedBodiesWithKey()
  {
    CheckGateway(Bodies(kKeyField));
  }

  // Guards against connections without a request keeping all others out.
  void GatewayServesCallersBesideSilentConnections()
  {
    CheckGateway(Silent(kGatewayCrowd));
  }

  void GatewayServesCallersBesideSlowHeads()
  {
    CheckGateway(SlowHeads(kGatewayCrowd));
  }

  // The same crowd, which comes back after its connections are closed.
  void GatewayServesCallersBesideReopenedConnections()
  {
    CrowdPlan plan = Bodies("");
    plan.mReopens = true;
    plan.mInterval = milliseconds(500);
    CheckGateway(plan);
  }

  // Guards against rejected requests letting connections stay for longer than
  // those of callers with a key.
  void GatewayServesCallersBesideIdleConnectionsWithoutKey()
  {
    CheckGateway(Kept(kGatewayCrowd, "/plain/"));
  }

  // Guards against the address for other hosts, which shares the connections
  // with that for callers.
  void GatewayServesCallersBesideConnectionsAtThePeersAddress()
  {
    GatewayTestCluster cluster(GatewayOptions());
    cluster.Configure("key");
    const GatewayProcess& gateway = cluster.Gateway();
    Crowd crowd(gateway.Ip(), cluster.RelayPort(), Bodies(""));
    RequireServes(gateway, crowd);
  }

  // Guards against callers with a key taking the memory for requests with
  // bodies that are renewed too fast to be given up for their age.
  void GatewayServesCallersBesideRenewedBodiesWithKey()
  {
    GatewayTestCluster::Options options = GatewayOptions();
    options.mSettings.mMaxConnections = 4100;
    GatewayTestCluster cluster(options);
    cluster.Configure("key");
    const GatewayProcess& gateway = cluster.Gateway();
    CrowdPlan plan;
    plan.mCount = 400;
    plan.mFirst = UnfinishedRequest("/plain/", kKeyField, 60000, 30000);
    plan.mRenews = true;
    plan.mInterval = milliseconds(1000);
    Crowd crowd(gateway.Ip(), gateway.CallerPort(), plan);
    const std::string statuses = Ordinary(gateway, 90000);
    PrintFigures(statuses);
    RequireServed(statuses);
    CPPUNIT_ASSERT(!gateway.HasExceededMemory());
  }

  // Guards against requests that run for callers that have left, unseen behind
  // what they had sent.
  void GatewayDropsWorkOfCallersThatReadNothingAndLeave()
  {
    GatewayTestCluster::Options options = GatewayOptions();
    options.mRunners = 1;
    GatewayTestCluster cluster(options);
    cluster.Configure("key");
    cluster.SetAllModes(RunnerMode::SlowAnswer);
    const GatewayProcess& gateway = cluster.Gateway();
    CrowdPlan plan;
    plan.mCount = 40;
    for (int n = 0; n < 1000; ++n) {
      plan.mFirst += ChunkedRequest("/plain/", kKeyField, 100);
    }
    plan.mFirst += UnfinishedRequest("/plain/", kKeyField, 500, 100);
    Crowd crowd(gateway.Ip(), gateway.CallerPort(), plan);
    crowd.Reset();
    const std::string statuses = Ordinary(gateway, kOrdinaryBodyBytes);
    const std::size_t descriptors = DescriptorsOf(gateway.Pid());
    const std::string figures =
      statuses + ", descriptors " + std::to_string(descriptors);
    PrintFigures(figures);
    RequireServed(statuses);
    CPPUNIT_ASSERT_MESSAGE(figures, descriptors <= kIdleDescriptors);
  }

  // Guards against a stop that waits for callers that send nothing.
  void GatewayStopsBesideACrowd()
  {
    GatewayTestCluster cluster(GatewayOptions());
    cluster.Configure("key");
    GatewayProcess& gateway = cluster.Gateway();
    CrowdPlan plan = Bodies(kKeyField);
    plan.mReopens = true;
    const Crowd crowd(gateway.Ip(), gateway.CallerPort(), plan);
    CPPUNIT_ASSERT_EQUAL(0, gateway.Stop());
  }

private:
  static GatewayTestCluster::Options GatewayOptions()
  {
    GatewayTestCluster::Options options;
    options.mSettings.mMemoryMb = kGatewayMb;
    options.mSettings.mMaxConnections = kGatewayDescriptors;
    return options;
  }

  static CrowdPlan Bodies(const std::string& aFields)
  {
    CrowdPlan plan;
    plan.mCount = kGatewayCrowd;
    plan.mFirst = UnfinishedRequest("/plain/", aFields, 500, 100);
    return plan;
  }

  static std::string Ordinary(const GatewayProcess& aGateway,
                              std::size_t aBodyBytes)
  {
    return Statuses(
      aGateway.Ip(),
      aGateway.CallerPort(),
      GatewayTestCluster::Request(
        "/plain/", "ordinary", "", std::string(aBodyBytes, 'b'), 5000));
  }

  // Requires that an ordinary request is served beside a crowd, and afterwards.
  static void RequireServes(const GatewayProcess& aGateway, Crowd& aCrowd)
  {
    const std::size_t descriptors = DescriptorsOf(aGateway.Pid());
    const std::string statuses = Ordinary(aGateway, kOrdinaryBodyBytes);
    const std::string figures = statuses + ", descriptors " +
                                std::to_string(descriptors) + ", peak " +
                                std::to_string(aGateway.PeakMemoryMb()) + " MB";
    PrintFigures(figures);
    CPPUNIT_ASSERT(!aGateway.HasExceededMemory());
    CPPUNIT_ASSERT_MESSAGE(figures, descriptors <= kGatewayDescriptors);
    RequireServed(statuses);
    aCrowd.Reset();
    RequireServed(Ordinary(aGateway, kOrdinaryBodyBytes));
  }

  static void CheckGateway(const CrowdPlan& aPlan)
  {
    GatewayTestCluster cluster(GatewayOptions());
    cluster.Configure("key");
    const GatewayProcess& gateway = cluster.Gateway();
    Crowd crowd(gateway.Ip(), gateway.CallerPort(), aPlan);
    RequireServes(gateway, crowd);
  }

  template<typename Server>
  static void RequireBounds(Server& aServer, std::size_t aMaxDescriptors)
  {
    const std::size_t descriptors = DescriptorsOf(aServer.Process().Pid());
    const int peak = aServer.Process().PeakMemoryMb();
    const std::string figures = "descriptors " + std::to_string(descriptors) +
                                ", peak " + std::to_string(peak) + " MB";
    PrintFigures(figures);
    CPPUNIT_ASSERT(aServer.Process().IsRunning());
    CPPUNIT_ASSERT_MESSAGE(figures, peak <= kServerMb);
    CPPUNIT_ASSERT_MESSAGE(figures, descriptors <= aMaxDescriptors);
  }

  template<typename Server>
  static void CheckServer(Server& aServer,
                          const CrowdPlan& aPlan,
                          std::size_t aMaxDescriptors)
  {
    Crowd crowd("127.0.0.1", aServer.Port(), aPlan);
    RequireBounds(aServer, aMaxDescriptors);
    const std::string statuses = aServer.Call();
    PrintFigures(statuses);
    RequireServed(statuses);
    crowd.Reset();
    RequireServed(aServer.Call());
  }

  static void CheckRouterMetrics(const CrowdPlan& aPlan)
  {
    RouterUnderTest router;
    const Crowd crowd("127.0.0.1", router.MetricsPort(), aPlan);
    RequireServed(
      Statuses("127.0.0.1", router.MetricsPort(), GetRequest("/metrics")));
    RequireServed(router.Call());
    RequireBounds(router, kRouterDescriptors);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrowdTests);
