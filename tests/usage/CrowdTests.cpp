#include "Crowd.h"
#include "GatewayTestCluster.h"
#include "ServerProcess.h"

#include "http/HttpReader.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

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
GetRequest(const std::string& aTarget, const std::string& aFields = "")
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: host\r\n" + aFields + "\r\n";
}

// An ordinary request to a router.
std::string
PostRequest()
{
  return std::string("POST ") + RouterUnderTest::kTarget +
         " HTTP/1.1\r\nHost: host\r\n" + kKeyField +
         "Content-Length: 2000\r\n\r\n" + std::string(2000, 'b');
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

// Connections that stay open and ask again, once a second or more often.
CrowdPlan
Kept(int aCount,
     const std::string& aTarget,
     const std::string& aFields = "",
     milliseconds aInterval = milliseconds(1000))
{
  CrowdPlan plan;
  plan.mCount = aCount;
  plan.mFirst = GetRequest(aTarget, aFields);
  plan.mDrip = plan.mFirst;
  plan.mInterval = aInterval;
  return plan;
}

// Connections that are never idle for long, and come back.
CrowdPlan
Busy(int aCount, const std::string& aTarget, const std::string& aFields = "")
{
  CrowdPlan plan = Kept(aCount, aTarget, aFields, milliseconds(100));
  plan.mReopens = true;
  plan.mLeadTime = milliseconds(2000);
  return plan;
}

// Connections that send many requests and read no response.
CrowdPlan
Unread(int aCount, const std::string& aTarget, int aRequests)
{
  CrowdPlan plan;
  plan.mCount = aCount;
  for (int n = 0; n < aRequests; ++n) {
    plan.mFirst += GetRequest(aTarget);
  }
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
  CPPUNIT_TEST(GatewayAnswersCallersBehindABurstOfConnections);
  CPPUNIT_TEST(GatewayServesCallersBesideSlowHeads);
  CPPUNIT_TEST(GatewayServesCallersBesideReopenedConnections);
  CPPUNIT_TEST(GatewayServesCallersBesideIdleConnectionsWithoutKey);
  CPPUNIT_TEST(GatewayServesCallersBesideIdleConnectionsWithKey);
  CPPUNIT_TEST(GatewayServesCallersBesideBusyConnectionsWithoutKey);
  CPPUNIT_TEST(GatewayServesCallersBesideBusyConnectionsWithKey);
  CPPUNIT_TEST(GatewayServesCallersBesideConnectionsAtThePeersAddress);
  CPPUNIT_TEST(GatewayServesCallersBesideRenewedBodiesWithKey);
  CPPUNIT_TEST(GatewayServesCallersBesideUnreadAnswers);
  CPPUNIT_TEST(GatewayAnswersChecksBesideSilentConnections);
  CPPUNIT_TEST(GatewayAnswersChecksBesideBusyConnections);
  CPPUNIT_TEST(GatewayAnswersHostsBesideBusyConnections);
  CPPUNIT_TEST(GatewayBoundsUnreadMetrics);
  CPPUNIT_TEST(GatewayServesCallersBesidePipelinedRequests);
  CPPUNIT_TEST(GatewayDropsWorkOfCallersThatReadNothingAndLeave);
  CPPUNIT_TEST(GatewayKeepsKnownCallersBesideSilentConnections);
  CPPUNIT_TEST(GatewaysServeCallersBesideCrowdsAndChanges);
  CPPUNIT_TEST(GatewayStopsBesideACrowd);
  CPPUNIT_TEST(RouterServesCallersBesideSlowHeads);
  CPPUNIT_TEST(RouterServesCallersBesideKeptConnections);
  CPPUNIT_TEST(RouterServesCallersBesideBusyConnections);
  CPPUNIT_TEST(RouterServesCallersBesideSilentConnections);
  CPPUNIT_TEST(RouterServesRoutersBesideSlowHeads);
  CPPUNIT_TEST(RouterServesMetricsBesideSlowHeads);
  CPPUNIT_TEST(RouterServesMetricsBesideSilentConnections);
  CPPUNIT_TEST(RouterServesCallersBesideUnreadResponses);
  CPPUNIT_TEST(RouterServesMetricsBesideUnreadResponses);
  CPPUNIT_TEST(RouterAnswersWhileAllThreadsAreTaken);
  CPPUNIT_TEST(RouterStopsBesideSlowHeads);
  CPPUNIT_TEST(RouterAnswersRequestsSentTogether);
  CPPUNIT_TEST(RouterServesASlowHeadWithoutACrowd);
  CPPUNIT_TEST(ApiServesOperatorsBesideSlowHeads);
  CPPUNIT_TEST(ApiServesOperatorsBesideKeptConnections);
  CPPUNIT_TEST(ApiServesOperatorsBesideBusyConnections);
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

  // Guards against callers whose connections are closed without an answer
  // because many others were opened in the same moment.
  void GatewayAnswersCallersBehindABurstOfConnections()
  {
    GatewayTestCluster cluster(GatewayOptions());
    cluster.Configure("key");
    const GatewayProcess& gateway = cluster.Gateway();
    std::vector<int> sockets;
    for (int n = 0; n < kGatewayCrowd; ++n) {
      sockets.push_back(ConnectTo(gateway.Ip(), gateway.CallerPort()));
    }
    const int status =
      StatusOf(gateway.Ip(),
               gateway.CallerPort(),
               GatewayTestCluster::Request("/plain/", "ordinary"));
    for (const int it : sockets) {
      ::close(it);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(status),
                           status == 200 || status == 503);
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

  // Guards against one workspace that keeps all connections, used now and then.
  void GatewayServesCallersBesideIdleConnectionsWithKey()
  {
    CheckGateway(Kept(kGatewayCrowd, "/plain/", kKeyField));
  }

  // Guards against connections that are kept for good by asking too often to be
  // idle.
  void GatewayServesCallersBesideBusyConnectionsWithoutKey()
  {
    CheckGateway(Busy(kGatewayCrowd, "/plain/"));
  }

  // The same of one workspace.
  void GatewayServesCallersBesideBusyConnectionsWithKey()
  {
    CheckGateway(Busy(kGatewayCrowd, "/plain/", kKeyField));
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

  // Guards against answers that are read byte by byte taking the memory for
  // those of others.
  void GatewayServesCallersBesideUnreadAnswers()
  {
    GatewayTestCluster::Options options = GatewayOptions();
    options.mSettings.mMaxConnections = 4100;
    GatewayTestCluster cluster(options);
    cluster.Configure("key");
    cluster.SetAllModes(RunnerMode::LargeAnswer);
    cluster.SetLargeAnswer(900000);
    const GatewayProcess& gateway = cluster.Gateway();
    CrowdPlan plan;
    plan.mCount = 60;
    plan.mFirst = ChunkedRequest("/plain/", kKeyField, 100);
    plan.mReceiveBytes = 4096;
    plan.mReads = true;
    Crowd crowd(gateway.Ip(), gateway.CallerPort(), plan);
    const std::string statuses = Ordinary(gateway, kOrdinaryBodyBytes);
    PrintFigures(statuses + ", peak " + std::to_string(gateway.PeakMemoryMb()) +
                 " MB");
    CPPUNIT_ASSERT(!gateway.HasExceededMemory());
    RequireServed(statuses);
  }

  // Guards against the addresses for readiness checks and metrics taking the
  // descriptors that callers and targets need.
  void GatewayAnswersChecksBesideSilentConnections()
  {
    GatewayTestCluster cluster(GatewayOptions());
    cluster.Configure("key");
    const GatewayProcess& gateway = cluster.Gateway();
    Crowd atReadiness(
      gateway.Ip(), gateway.ReadinessPort(), Silent(kGatewayCrowd));
    Crowd atMetrics(gateway.Ip(), gateway.MetricsPort(), Silent(kGatewayCrowd));
    CPPUNIT_ASSERT_EQUAL(200, gateway.Readiness());
    CPPUNIT_ASSERT(!gateway.Metrics().empty());
    RequireServes(gateway, atReadiness);
  }

  void GatewayAnswersChecksBesideBusyConnections()
  {
    GatewayTestCluster cluster(GatewayOptions());
    cluster.Configure("key");
    const GatewayProcess& gateway = cluster.Gateway();
    Crowd crowd(gateway.Ip(),
                gateway.ReadinessPort(),
                Busy(kGatewayCrowd, "/health/ready"));
    CPPUNIT_ASSERT_EQUAL(200, gateway.Readiness());
    RequireServes(gateway, crowd);
  }

  // The same at the address where other hosts ask for rows.
  void GatewayAnswersHostsBesideBusyConnections()
  {
    GatewayTestCluster cluster(GatewayOptions());
    cluster.Configure("key");
    const GatewayProcess& gateway = cluster.Gateway();
    Crowd crowd(
      gateway.Ip(), cluster.PeerPort(), Busy(kGatewayCrowd, "/knowledge"));
    RequireServed(
      Statuses(gateway.Ip(), cluster.PeerPort(), GetRequest("/knowledge")));
    RequireServes(gateway, crowd);
  }

  // Guards against metrics that are held without a limit for connections that
  // do not read them.
  void GatewayBoundsUnreadMetrics()
  {
    GatewayTestCluster cluster(GatewayOptions());
    cluster.Configure("key");
    const GatewayProcess& gateway = cluster.Gateway();
    Crowd crowd(
      gateway.Ip(), gateway.MetricsPort(), Unread(8, "/metrics", 4000));
    CPPUNIT_ASSERT(!gateway.HasExceededMemory());
    CPPUNIT_ASSERT(!gateway.Metrics().empty());
    RequireServes(gateway, crowd);
  }

  // Guards against callers that send many requests without reading a response
  // taking all of a target's room for as long as these last.
  void GatewayServesCallersBesidePipelinedRequests()
  {
    GatewayTestCluster::Options options = GatewayOptions();
    options.mRunners = 1;
    GatewayTestCluster cluster(options);
    cluster.Configure("key");
    cluster.SetAllModes(RunnerMode::SlowAnswer);
    const GatewayProcess& gateway = cluster.Gateway();
    Crowd crowd(gateway.Ip(), gateway.CallerPort(), Pipelined());
    RequireServes(gateway, crowd);
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
    Crowd crowd(gateway.Ip(), gateway.CallerPort(), Pipelined());
    crowd.Reset();
    const std::string statuses = Ordinary(gateway, kOrdinaryBodyBytes);
    const std::size_t descriptors = DescriptorsOf(gateway.Pid());
    const std::string figures =
      statuses + ", descriptors " + std::to_string(descriptors);
    PrintFigures(figures);
    RequireServed(statuses);
    CPPUNIT_ASSERT_MESSAGE(figures, descriptors <= kIdleDescriptors);
  }

  // Guards against a crowd that ends a stream, or the connection of a caller
  // that uses it again.
  void GatewayKeepsKnownCallersBesideSilentConnections()
  {
    GatewayTestCluster cluster(GatewayOptions());
    cluster.Configure("key");
    const GatewayProcess& gateway = cluster.Gateway();
    const std::string request =
      GatewayTestCluster::Request("/plain/", "kept", "");
    const int kept = ConnectTo(gateway.Ip(), gateway.CallerPort());
    SendSome(kept, request, kAnswerTime);
    CPPUNIT_ASSERT_EQUAL(200, ReadStatus(kept));
    BackgroundCall stream(gateway,
                          GatewayTestCluster::Request("/paced/", "stream"));
    const auto until = std::chrono::steady_clock::now() + kAnswerTime;
    while (cluster.Runs().size() < 2 &&
           std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    {
      const Crowd crowd(
        gateway.Ip(), gateway.CallerPort(), Silent(kGatewayCrowd));
      SendSome(kept, request, kAnswerTime);
      CPPUNIT_ASSERT_EQUAL(200, ReadStatus(kept));
      CPPUNIT_ASSERT_EQUAL(GatewayTestCluster::StreamBody(),
                           stream.AwaitAnswer().mBody);
    }
    ::close(kept);
  }

  // Guards against hosts that do not serve, or miss a change, beside crowds at
  // all of them, while the configuration changes and one of them restarts.
  void GatewaysServeCallersBesideCrowdsAndChanges()
  {
    constexpr int kGateways = 3;
    GatewayTestCluster::Options options = GatewayOptions();
    options.mGateways = kGateways;
    GatewayTestCluster cluster(options);
    cluster.Configure("key");
    CrowdPlan plan = Bodies("");
    plan.mReopens = true;
    std::vector<std::unique_ptr<Crowd>> crowds;
    for (int n = 0; n < kGateways; ++n) {
      const GatewayProcess& gateway = cluster.Gateway(n);
      for (const int port : { gateway.CallerPort(), cluster.RelayPort() }) {
        crowds.push_back(std::make_unique<Crowd>(gateway.Ip(), port, plan));
      }
    }
    cluster.Configure("other");
    cluster.Gateway(1).Restart(SIGTERM);
    cluster.Configure("key");
    for (int n = 0; n < kGateways; ++n) {
      const GatewayProcess& gateway = cluster.Gateway(n);
      const std::string statuses = Ordinary(gateway, kOrdinaryBodyBytes);
      PrintFigures(statuses);
      RequireServed(statuses);
      CPPUNIT_ASSERT(!gateway.HasExceededMemory());
      CPPUNIT_ASSERT(DescriptorsOf(gateway.Pid()) <= kGatewayDescriptors);
    }
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

  // Guards against heads that hold a thread for as long as a byte comes now and
  // then.
  void RouterServesCallersBesideSlowHeads()
  {
    RouterUnderTest router;
    CheckServer(router, SlowHeads(kRouterCrowd), kRouterDescriptors);
  }

  // Guards against connections that hold a thread between their requests.
  void RouterServesCallersBesideKeptConnections()
  {
    RouterUnderTest router;
    CheckServer(
      router, Kept(kRouterCrowd, "/health/ready"), kRouterDescriptors);
  }

  // Guards against connections that are kept for good by asking too often to be
  // idle.
  void RouterServesCallersBesideBusyConnections()
  {
    RouterUnderTest router;
    CheckServer(
      router, Busy(kRouterCrowd, "/health/ready"), kRouterDescriptors);
  }

  void RouterServesCallersBesideSilentConnections()
  {
    RouterUnderTest router;
    CheckServer(router, Silent(kRouterCrowd), kRouterDescriptors);
  }

  // The same at the address for other routers.
  void RouterServesRoutersBesideSlowHeads()
  {
    RouterUnderTest router;
    const Crowd crowd("127.0.0.1", router.PeerPort(), SlowHeads(kRouterCrowd));
    RequireServed(Statuses("127.0.0.1",
                           router.PeerPort(),
                           "POST /rpc HTTP/1.1\r\nHost: host\r\n"
                           "Content-Length: 2\r\n\r\n{}"));
    RequireServed(router.Call());
    RequireBounds(router, kRouterDescriptors);
  }

  // The same at the address for metrics.
  void RouterServesMetricsBesideSlowHeads()
  {
    CheckRouterMetrics(SlowHeads(kRouterCrowd));
  }

  void RouterServesMetricsBesideSilentConnections()
  {
    CheckRouterMetrics(Silent(kRouterCrowd));
  }

  // Guards against responses that hold a thread for as long as nobody reads
  // them.
  void RouterServesCallersBesideUnreadResponses()
  {
    RouterUnderTest router;
    CheckServer(
      router, Unread(kRouterCrowd, "/debug/status", 4000), kRouterDescriptors);
  }

  void RouterServesMetricsBesideUnreadResponses()
  {
    CheckRouterMetrics(Unread(kRouterCrowd, "/metrics", 4000));
  }

  // Guards against requests that wait for a thread until their caller gives up,
  // while others take all of them for long.
  void RouterAnswersWhileAllThreadsAreTaken()
  {
    RouterUnderTest router(2000);
    CrowdPlan plan;
    plan.mCount = 100;
    for (int n = 0; n < 20; ++n) {
      plan.mFirst += PostRequest();
    }
    const Crowd crowd("127.0.0.1", router.Port(), plan);
    const int status =
      StatusOf("127.0.0.1", router.Port(), GetRequest("/health/ready"));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(status),
                           status == 200 || status == 503);
    RequireBounds(router, kRouterDescriptors);
  }

  void RouterStopsBesideSlowHeads()
  {
    RouterUnderTest router;
    const Crowd crowd("127.0.0.1", router.Port(), SlowHeads(kRouterCrowd));
    CPPUNIT_ASSERT(router.Process().Stop());
  }

  // Guards against requests that are lost with what was received behind another
  // one.
  void RouterAnswersRequestsSentTogether()
  {
    RouterUnderTest router;
    const std::string together =
      PostRequest() + GetRequest("/health/ready") + PostRequest();
    const int fd = ConnectTo("127.0.0.1", router.Port());
    SendSome(fd, together, kAnswerTime);
    HttpReader reader(HttpMessageType::Responses, { 65536, 1U << 20U });
    int answered = 0;
    char buf[4096];
    for (ssize_t n = 0;
         answered < 3 && (n = ::recv(fd, buf, sizeof buf, 0)) > 0;) {
      std::string_view data(buf, static_cast<std::size_t>(n));
      while (!data.empty()) {
        data.remove_prefix(reader.Feed(data));
        if (reader.Progress() == HttpProgress::Complete) {
          CPPUNIT_ASSERT_EQUAL(200, reader.Head().mStatus);
          ++answered;
          reader.Next();
        }
      }
    }
    ::close(fd);
    CPPUNIT_ASSERT_EQUAL(3, answered);
  }

  // Guards against a limit on crowds that ends a single request.
  void RouterServesASlowHeadWithoutACrowd()
  {
    RouterUnderTest router;
    const int fd = ConnectTo("127.0.0.1", router.Port());
    for (const char it : GetRequest("/health/ready")) {
      SendSome(fd, std::string(1, it), kAnswerTime);
      std::this_thread::sleep_for(milliseconds(60));
    }
    const int status = ReadStatus(fd);
    ::close(fd);
    CPPUNIT_ASSERT_EQUAL(200, status);
  }

  void ApiServesOperatorsBesideSlowHeads()
  {
    ApiUnderTest api;
    CheckServer(api, SlowHeads(kApiCrowd), kApiDescriptors);
  }

  void ApiServesOperatorsBesideKeptConnections()
  {
    ApiUnderTest api;
    CheckServer(api, Kept(kApiCrowd, "/api/v1/status"), kApiDescriptors);
  }

  void ApiServesOperatorsBesideBusyConnections()
  {
    ApiUnderTest api;
    CheckServer(api, Busy(kApiCrowd, "/api/v1/status"), kApiDescriptors);
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

  // Many requests one behind the other, of which no response is read.
  static CrowdPlan Pipelined()
  {
    CrowdPlan plan;
    plan.mCount = 40;
    for (int n = 0; n < 1000; ++n) {
      plan.mFirst += ChunkedRequest("/plain/", kKeyField, 100);
    }
    plan.mFirst += UnfinishedRequest("/plain/", kKeyField, 500, 100);
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
