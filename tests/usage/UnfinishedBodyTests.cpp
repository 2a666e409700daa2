#include "Crowd.h"
#include "GatewayTestCluster.h"
#include "ServerProcess.h"

#include "generated/settings.pb.h"
#include "wire/Json.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// Memory of the gateway's host, in MB; a gateway above it is killed.
constexpr int kGatewayMb = 88;

// Bounds for the programs that use the server with threads: peak memory, in MB,
// and descriptors.
constexpr int kServerMb = 100;
constexpr std::size_t kRouterDescriptors = 100;
constexpr std::size_t kApiDescriptors = 800;

// Time that a caller tries to send what the server may not read.
constexpr milliseconds kSendPatience{ 200 };

// Chunked bodies without their last chunk.
struct BodyPlan
{
  int mCount = 0;
  std::size_t mBodyBytes = 0;
  std::size_t mChunkBytes = 1;
  // Whether each connection goes on with a chunk of one byte now and then;
  // otherwise it sends nothing more.
  bool mDrips = false;
};

CrowdPlan
MakePlan(const std::string& aTarget,
         const std::string& aFields,
         const BodyPlan& aPlan)
{
  CrowdPlan plan;
  plan.mCount = aPlan.mCount;
  plan.mFirst =
    UnfinishedRequest(aTarget, aFields, aPlan.mBodyBytes, aPlan.mChunkBytes);
  plan.mDrip = aPlan.mDrips ? Chunk(1) : std::string();
  return plan;
}

} // namespace

// Crowds of connections that send chunked bodies and stop short of their end,
// beside an ordinary request with a body. Each test checks that the process
// lives within its bounds and that the ordinary request is served while the
// crowd stays open.
class UnfinishedBodyTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UnfinishedBodyTests);
  CPPUNIT_TEST(GatewayServesCallersBesideLargeBodiesWithoutKey);
  CPPUNIT_TEST(GatewayServesCallersBesideLargeBodiesWithKey);
  CPPUNIT_TEST(GatewayServesCallersBesideOneByteChunksWithoutKey);
  CPPUNIT_TEST(GatewayServesCallersBesideOneByteChunksWithKey);
  CPPUNIT_TEST(GatewayServesCallersBesideBodiesAtThePeersAddress);
  CPPUNIT_TEST(GatewayServesASlowBodyWithoutACrowd);
  CPPUNIT_TEST(RouterServesCallersBesideSlowBodiesWithoutKey);
  CPPUNIT_TEST(RouterServesCallersBesideSlowBodiesWithKey);
  CPPUNIT_TEST(RouterServesCallersBesideSilentBodiesWithoutKey);
  CPPUNIT_TEST(RouterBoundsLargeChunkedBodies);
  CPPUNIT_TEST(RouterBoundsLinesWithoutEnd);
  CPPUNIT_TEST(RouterStopsBesideSlowBodies);
  CPPUNIT_TEST(RouterTakesChunkedBodiesUpToItsLimit);
  CPPUNIT_TEST(RouterTakesNoRequestFromAnUnreadBody);
  CPPUNIT_TEST(ApiServesOperatorsBesideSlowBodiesWithoutKey);
  CPPUNIT_TEST(ApiServesOperatorsBesideSlowBodiesWithKey);
  CPPUNIT_TEST(ApiBoundsLargeChunkedBodies);
  CPPUNIT_TEST(ControllerListensOnNoAddress);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against bodies without a key taking the memory for requests, so that
  // requests with a key are rejected for as long as they stay open.
  void GatewayServesCallersBesideLargeBodiesWithoutKey()
  {
    CheckGateway("", { 400, 60000, 30000, false });
  }

  // The same with a valid key: nothing ended a body that stopped short.
  void GatewayServesCallersBesideLargeBodiesWithKey()
  {
    CheckGateway(kKeyField, { 400, 60000, 30000, false });
  }

  // The same with one-byte chunks, which cost the most memory and time for each
  // byte of a body, and go on.
  void GatewayServesCallersBesideOneByteChunksWithoutKey()
  {
    CheckGateway("", { 600, 8000, 1, true });
  }

  void GatewayServesCallersBesideOneByteChunksWithKey()
  {
    CheckGateway(kKeyField, { 600, 8000, 1, true });
  }

  // Guards against bodies at the address for other hosts, which may be larger
  // than those of callers, taking the memory of callers.
  void GatewayServesCallersBesideBodiesAtThePeersAddress()
  {
    GatewayTestCluster cluster(GatewayOptions());
    const GatewayProcess& gateway = cluster.Gateway();
    const Crowd crowd(gateway.Ip(),
                      cluster.RelayPort(),
                      MakePlan("/plain/", "", { 400, 60000, 30000, false }));
    RequireGatewayServes(gateway);
  }

  // Guards against a limit on crowds that ends a single request, which pauses
  // for longer than the idle timeout.
  void GatewayServesASlowBodyWithoutACrowd()
  {
    GatewayTestCluster cluster(GatewayOptions());
    TestLimits limits;
    limits.mIdleTimeoutMs = 1000;
    cluster.SetCallerLimits(limits);
    cluster.Configure("key");
    const GatewayProcess& gateway = cluster.Gateway();
    const std::string request = GatewayTestCluster::Request(
      "/plain/", "slow", "", std::string(90000, 'b'), 8000);
    const int fd = ConnectTo(gateway.Ip(), gateway.CallerPort());
    SendSome(fd, request.substr(0, 50000), kAnswerTime);
    std::this_thread::sleep_for(milliseconds(3000));
    SendSome(fd, request.substr(50000), kAnswerTime);
    const int status = ReadStatus(fd);
    ::close(fd);
    CPPUNIT_ASSERT_EQUAL(200, status);
  }

  // Guards against unfinished bodies holding all threads, and against more
  // connections being accepted than are handled.
  void RouterServesCallersBesideSlowBodiesWithoutKey()
  {
    CheckRouter("", { 200, 100, 1, true });
  }

  void RouterServesCallersBesideSlowBodiesWithKey()
  {
    CheckRouter(kKeyField, { 200, 100, 1, true });
  }

  // The same with bodies that fall silent, which hold a thread until the read
  // timeout of the server.
  void RouterServesCallersBesideSilentBodiesWithoutKey()
  {
    CheckRouter("", { 200, 100, 1, false });
  }

  // Guards against chunked bodies being received beyond max_body_bytes, without
  // end.
  void RouterBoundsLargeChunkedBodies()
  {
    CheckRouter(kKeyField, { 12, 24U << 20U, 1U << 16U, false });
  }

  // Guards against a chunk size, a field or a request line without an end being
  // received without a limit, whoever sends it.
  void RouterBoundsLinesWithoutEnd()
  {
    RouterUnderTest router;
    const std::string start =
      std::string("POST ") + RouterUnderTest::kTarget + " HTTP/1.1\r\n";
    std::vector<int> sockets;
    for (const std::string& it : { start + "Transfer-Encoding: chunked\r\n\r\n",
                                   start + "X-Field: ",
                                   std::string("POST /") }) {
      for (int n = 0; n < 4; ++n) {
        sockets.push_back(ConnectTo("127.0.0.1", router.Port()));
        SendSome(
          sockets.back(), it + std::string(24U << 20U, '0'), kSendPatience);
      }
    }
    RequireServes(router, kRouterDescriptors);
    for (const int it : sockets) {
      ::close(it);
    }
  }

  // Guards against a process that does not exit while a body goes on.
  void RouterStopsBesideSlowBodies()
  {
    RouterUnderTest router;
    const Crowd crowd(
      "127.0.0.1",
      router.Port(),
      MakePlan(RouterUnderTest::kTarget, kKeyField, { 8, 100, 1, true }));
    CPPUNIT_ASSERT(router.Process().Stop());
  }

  // Guards against chunked bodies within max_body_bytes being rejected, and
  // larger ones being taken.
  void RouterTakesChunkedBodiesUpToItsLimit()
  {
    RouterUnderTest router;
    const std::string head = std::string("POST ") + RouterUnderTest::kTarget +
                             " HTTP/1.1\r\nHost: host\r\n" + kKeyField +
                             "Transfer-Encoding: chunked\r\n\r\n";
    std::string small;
    for (int n = 0; n < 60000; ++n) {
      small += Chunk(1);
    }
    CPPUNIT_ASSERT_EQUAL(
      200, StatusOf("127.0.0.1", router.Port(), head + small + "0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(
      413, StatusOf("127.0.0.1", router.Port(), head + Chunk(65537)));
  }

  // Guards against the rest of a body that the router has not read being taken
  // for the next request on the connection.
  void RouterTakesNoRequestFromAnUnreadBody()
  {
    RouterUnderTest router;
    std::string body(1200000, 'x');
    for (int n = 0; n < 20000; ++n) {
      body += "\r\n\r\nGET /health/ready HTTP/1.1\r\nHost: host\r\n\r\n";
    }
    for (const std::string& key : { std::string(), kKeyField }) {
      const int fd = ConnectTo("127.0.0.1", router.Port());
      SendSome(fd,
               std::string("POST ") + RouterUnderTest::kTarget +
                 " HTTP/1.1\r\nHost: host\r\n" + key + "Content-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body,
               milliseconds(1000));
      // The response may be lost with the connection.
      const int status = ReadStatus(fd);
      CPPUNIT_ASSERT(status == 0 || status == (key.empty() ? 401 : 413));
      CPPUNIT_ASSERT_EQUAL(0, ReadStatus(fd));
      ::close(fd);
    }
    RequireServed(router.Call());
  }

  // The same for the resource API, whose number of threads is fixed.
  void ApiServesOperatorsBesideSlowBodiesWithoutKey()
  {
    CheckApi("", { 300, 100, 1, true });
  }

  void ApiServesOperatorsBesideSlowBodiesWithKey()
  {
    CheckApi(kKeyField, { 300, 100, 1, true });
  }

  void ApiBoundsLargeChunkedBodies()
  {
    CheckApi("", { 12, 24U << 20U, 1U << 16U, false });
  }

  // The controller only makes calls, so that no crowd reaches it. Guards
  // against an address being added without the limits of the others.
  void ControllerListensOnNoAddress()
  {
    schema::ControllerSettings settings;
    settings.set_name("controller");
    settings.mutable_platform()->set_address("127.0.0.1");
    settings.mutable_platform()->set_port(FindFreePort());
    settings.set_lease_ms(3000);
    settings.set_order_ms(3000);
    settings.set_max_loading_share(0.5);
    settings.set_min_ready_share(0.5);
    ServerProcess controller("build/quetzal-controller", ToJson(settings));
    std::this_thread::sleep_for(milliseconds(1500));
    CPPUNIT_ASSERT(controller.IsRunning());
    std::set<std::string> own;
    for (const auto& it : std::filesystem::directory_iterator(
           "/proc/" + std::to_string(controller.Pid()) + "/fd")) {
      std::error_code ec;
      own.insert(std::filesystem::read_symlink(it.path(), ec).string());
    }
    for (const char* table : { "/proc/net/tcp", "/proc/net/tcp6" }) {
      std::ifstream in(table);
      std::string line;
      std::getline(in, line);
      while (std::getline(in, line)) {
        std::istringstream fields(line);
        std::vector<std::string> values;
        for (std::string it; fields >> it;) {
          values.push_back(it);
        }
        CPPUNIT_ASSERT_MESSAGE(line,
                               values.size() < 10 || values[3] != "0A" ||
                                 own.count("socket:[" + values[9] + "]") == 0);
      }
    }
  }

private:
  static GatewayTestCluster::Options GatewayOptions()
  {
    GatewayTestCluster::Options options;
    options.mSettings.mMemoryMb = kGatewayMb;
    return options;
  }

  static void RequireGatewayServes(const GatewayProcess& aGateway)
  {
    RequireServed(
      Statuses(aGateway.Ip(),
               aGateway.CallerPort(),
               GatewayTestCluster::Request(
                 "/plain/", "ordinary", "", std::string(90000, 'b'), 5000)));
    CPPUNIT_ASSERT(!aGateway.HasExceededMemory());
  }

  static void CheckGateway(const std::string& aFields, const BodyPlan& aPlan)
  {
    GatewayTestCluster cluster(GatewayOptions());
    TestLimits limits;
    limits.mBodyBytes = 1000000;
    limits.mIdleTimeoutMs = 2000;
    cluster.SetCallerLimits(limits);
    cluster.Configure("key");
    const GatewayProcess& gateway = cluster.Gateway();
    const Crowd crowd(
      gateway.Ip(), gateway.CallerPort(), MakePlan("/plain/", aFields, aPlan));
    RequireGatewayServes(gateway);
  }

  template<typename Server>
  static void RequireServes(Server& aServer, std::size_t aMaxDescriptors)
  {
    const std::size_t descriptors = DescriptorsOf(aServer.Process().Pid());
    const std::string statuses = aServer.Call();
    CPPUNIT_ASSERT(aServer.Process().IsRunning());
    const int peak = aServer.Process().PeakMemoryMb();
    const std::string figures = "statuses " + statuses + ", peak " +
                                std::to_string(peak) + " MB, descriptors " +
                                std::to_string(descriptors);
    if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::fprintf(stderr, "%s\n", figures.c_str());
    }
    CPPUNIT_ASSERT_MESSAGE(figures, peak <= kServerMb);
    CPPUNIT_ASSERT_MESSAGE(figures, descriptors <= aMaxDescriptors);
    RequireServed(statuses);
  }

  static void CheckRouter(const std::string& aFields, const BodyPlan& aPlan)
  {
    RouterUnderTest router;
    const Crowd crowd("127.0.0.1",
                      router.Port(),
                      MakePlan(RouterUnderTest::kTarget, aFields, aPlan));
    RequireServes(router, kRouterDescriptors);
  }

  static void CheckApi(const std::string& aFields, const BodyPlan& aPlan)
  {
    ApiUnderTest api;
    const Crowd crowd(
      "127.0.0.1", api.Port(), MakePlan(ApiUnderTest::kTarget, aFields, aPlan));
    RequireServes(api, kApiDescriptors);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnfinishedBodyTests);
