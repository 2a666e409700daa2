#include "GatewayTestCluster.h"

#include "config/SettingsFile.h"
#include "generated/settings.pb.h"
#include "http/HttpReader.h"
#include "standin/StandinPlatform.h"
#include "standin/StandinService.h"
#include "wire/Crypto.h"
#include "wire/Json.h"

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <netinet/in.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

// Memory of the gateway's host, in MB; a gateway above it is killed.
constexpr int kGatewayMb = 88;

// Bounds for the programs that use the server with threads: peak memory, in MB,
// and descriptors.
constexpr int kServerMb = 100;
constexpr std::size_t kRouterDescriptors = 100;
constexpr std::size_t kApiDescriptors = 800;

// Time that a connection of a crowd waits for room to send.
constexpr milliseconds kSendPatience{ 200 };

// Attempts of an ordinary caller, the time that each waits for its response,
// and the pause after one that was rejected.
constexpr int kAttempts = 12;
constexpr milliseconds kAnswerTime{ 8000 };
constexpr milliseconds kRetryPause{ 500 };

constexpr milliseconds kDripInterval{ 100 };

// Time after a crowd is sent until it has been read.
constexpr milliseconds kReadTime{ 1000 };

// Time within which a process has to exit after SIGTERM.
constexpr milliseconds kExitTime{ 20000 };

const std::string kKeyField = "Authorization: Bearer key\r\n";

int
Connect(const std::string& aIp, int aPort)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(aPort));
  ::inet_pton(AF_INET, aIp.c_str(), &to.sin_addr);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

// Sends bytes for as long as the peer takes some within aPatience.
bool
SendSome(int aSocket, const std::string& aBytes, milliseconds aPatience)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    pollfd writable{ aSocket, POLLOUT, 0 };
    if (::poll(&writable, 1, static_cast<int>(aPatience.count())) != 1) {
      return false;
    }
    const auto n = ::send(aSocket,
                          aBytes.data() + sent,
                          aBytes.size() - sent,
                          MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

std::string
Chunk(std::size_t aBytes)
{
  std::ostringstream size;
  size << std::hex << aBytes;
  return size.str() + "\r\n" + std::string(aBytes, 'x') + "\r\n";
}

// What the connections of a crowd send.
struct CrowdPlan
{
  int mCount = 0;
  std::size_t mBodyBytes = 0;
  std::size_t mChunkBytes = 1;
  // Whether each connection goes on with a chunk of one byte now and then;
  // otherwise it sends nothing more.
  bool mDrips = false;
};

// Connections that send chunked bodies without their last chunk and stay open.
class Crowd
{
public:
  Crowd(const std::string& aIp,
        int aPort,
        const std::string& aTarget,
        const std::string& aFields,
        const CrowdPlan& aPlan)
  {
    const std::string head = "POST " + aTarget + " HTTP/1.1\r\nHost: host\r\n" +
                             aFields + "Transfer-Encoding: chunked\r\n\r\n";
    std::string body;
    for (std::size_t n = 0; n < aPlan.mBodyBytes; n += aPlan.mChunkBytes) {
      body += Chunk(aPlan.mChunkBytes);
    }
    for (int n = 0; n < aPlan.mCount; ++n) {
      const int fd = Connect(aIp, aPort);
      CPPUNIT_ASSERT_MESSAGE("a connection was refused", fd >= 0);
      mSockets.push_back(fd);
      mTaken += SendSome(fd, head + body, kSendPatience) ? 1 : 0;
    }
    if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::fprintf(stderr, "%d of %d bodies sent\n", mTaken, aPlan.mCount);
    }
    std::this_thread::sleep_for(kReadTime);
    if (aPlan.mDrips) {
      mThread = std::thread([this] { Drip(); });
    }
  }

  ~Crowd()
  {
    mEnding = true;
    if (mThread.joinable()) {
      mThread.join();
    }
    for (const int it : mSockets) {
      ::close(it);
    }
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

private:
  void Drip()
  {
    const std::string chunk = Chunk(1);
    while (!mEnding) {
      for (const int it : mSockets) {
        SendSome(it, chunk, milliseconds(0));
      }
      std::this_thread::sleep_for(kDripInterval);
    }
  }

  std::vector<int> mSockets;
  // Connections that took all of their body.
  int mTaken = 0;
  std::atomic<bool> mEnding{ false };
  std::thread mThread;
};

// Reads one response and returns its status; 0 without one.
int
ReadStatus(int aSocket)
{
  HttpReader reader(HttpMessageType::Responses, { 65536, 1U << 20U });
  const auto until = steady_clock::now() + kAnswerTime;
  char buf[4096];
  while (reader.Progress() != HttpProgress::Complete &&
         reader.Progress() != HttpProgress::Broken) {
    const auto left =
      std::chrono::duration_cast<milliseconds>(until - steady_clock::now());
    pollfd readable{ aSocket, POLLIN, 0 };
    if (left.count() <= 0 ||
        ::poll(&readable, 1, static_cast<int>(left.count())) != 1) {
      break;
    }
    const auto n = ::recv(aSocket, buf, sizeof buf, 0);
    if (n <= 0) {
      break;
    }
    reader.Feed(std::string_view(buf, static_cast<std::size_t>(n)));
  }
  return reader.Progress() == HttpProgress::Complete ? reader.Head().mStatus
                                                     : 0;
}

// Sends a request and returns the status of the response; 0 without one.
int
StatusOf(const std::string& aIp, int aPort, const std::string& aRequest)
{
  const int fd = Connect(aIp, aPort);
  if (fd < 0) {
    return 0;
  }
  SendSome(fd, aRequest, kAnswerTime);
  const int status = ReadStatus(fd);
  ::close(fd);
  return status;
}

// Sends an ordinary request as a caller that tries again when it is rejected or
// gets no response. Returns the statuses, up to the first 200.
std::string
Statuses(const std::string& aIp, int aPort, const std::string& aRequest)
{
  std::string statuses;
  for (int n = 0; n < kAttempts; ++n) {
    const int status = StatusOf(aIp, aPort, aRequest);
    statuses += (n == 0 ? "" : " ") + std::to_string(status);
    if (status == 200) {
      break;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  return statuses;
}

void
RequireServed(const std::string& aStatuses)
{
  CPPUNIT_ASSERT_MESSAGE("statuses: " + aStatuses,
                         aStatuses.size() >= 3 &&
                           aStatuses.substr(aStatuses.size() - 3) == "200");
}

std::size_t
DescriptorsOf(pid_t aProcess)
{
  std::size_t count = 0;
  std::error_code ec;
  for (const auto& it : std::filesystem::directory_iterator(
         "/proc/" + std::to_string(aProcess) + "/fd", ec)) {
    count += it.path().empty() ? 0 : 1;
  }
  return count;
}

// One of the project's server programs; the destructor kills it.
class ServerProcess
{
public:
  template<typename Settings>
  ServerProcess(const std::string& aBinary, const Settings& aSettings)
  {
    char path[] = "/tmp/quetzal-server-XXXXXX";
    ::close(::mkstemp(path));
    mSettingsFile = path;
    std::ofstream(mSettingsFile) << ToJson(aSettings);
    mProcess = ForkProcess();
    if (mProcess == 0) {
      for (int other = STDERR_FILENO + 1; other < 1024; ++other) {
        ::close(other);
      }
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::execl(aBinary.c_str(),
              aBinary.c_str(),
              "--settings",
              mSettingsFile.c_str(),
              static_cast<char*>(nullptr));
      std::_Exit(127);
    }
  }

  ~ServerProcess()
  {
    if (mProcess > 0) {
      ::kill(mProcess, SIGKILL);
      ::waitpid(mProcess, nullptr, 0);
    }
    std::error_code ec;
    std::filesystem::remove(mSettingsFile, ec);
  }
  ServerProcess(const ServerProcess&) = delete;
  ServerProcess& operator=(const ServerProcess&) = delete;

  pid_t Pid() const { return mProcess; }

  bool IsRunning()
  {
    if (mProcess > 0 && ::waitpid(mProcess, nullptr, WNOHANG) == mProcess) {
      mProcess = -1;
    }
    return mProcess > 0;
  }

  int PeakMemoryMb() const
  {
    std::ifstream in("/proc/" + std::to_string(mProcess) + "/status");
    std::string line;
    while (std::getline(in, line)) {
      if (line.rfind("VmHWM:", 0) == 0) {
        return std::atoi(line.c_str() + 6) / 1024;
      }
    }
    return 0;
  }

  // Whether the process exits after SIGTERM.
  bool Stop()
  {
    ::kill(mProcess, SIGTERM);
    const auto until = steady_clock::now() + kExitTime;
    while (IsRunning() && steady_clock::now() < until) {
      std::this_thread::sleep_for(milliseconds(50));
    }
    return mProcess < 0;
  }

private:
  std::string mSettingsFile;
  pid_t mProcess = -1;
};

schema::Endpoint
MakeEndpoint(const std::string& aIp, int aPort)
{
  schema::Endpoint endpoint;
  endpoint.set_address(aIp);
  endpoint.set_port(aPort);
  return endpoint;
}

schema::Configuration
MakeConfiguration(int aServicePort)
{
  schema::Configuration configuration;
  configuration.set_revision(1);
  auto* place = configuration.add_places();
  place->set_name("hall");
  place->set_region("region");
  auto* workspace = configuration.add_workspaces();
  workspace->set_name("test");
  workspace->add_key_sha256(Sha256Hex("key"));
  workspace->set_weight(1);
  workspace->set_max_concurrent(200);
  workspace->set_requests_per_second(1000);
  workspace->add_services("desk");
  auto* desk = configuration.add_services();
  desk->set_name("desk");
  desk->set_kind(schema::PLAIN);
  auto* target = configuration.add_targets();
  target->set_name("desk-1");
  target->set_service("desk");
  target->set_place("hall");
  target->set_address("127.0.0.1");
  target->set_port(aServicePort);
  return configuration;
}

// A router process in front of a stand-in service.
class RouterUnderTest
{
public:
  static constexpr char kTarget[] = "/services/desk/lookup";

  RouterUnderTest()
    : mServicePort(FindFreePort())
    , mPort(FindFreePort())
  {
    schema::StandinServiceSettings service;
    service.set_name("desk-1");
    service.set_delay_ms(5);
    *service.mutable_listen() = MakeEndpoint("127.0.0.1", mServicePort);
    *service.mutable_control() = MakeEndpoint("127.0.0.1", FindFreePort());
    mService = std::make_unique<StandinService>(service);
    CPPUNIT_ASSERT(!mService->Start());
    char path[] = "/tmp/quetzal-configuration-XXXXXX";
    ::close(::mkstemp(path));
    mConfigurationFile = path;
    std::ofstream(mConfigurationFile)
      << ToJson(MakeConfiguration(mServicePort));
    schema::RouterSettings settings;
    settings.set_name("router-1");
    settings.set_place("hall");
    *settings.mutable_listen() = MakeEndpoint("127.0.0.1", mPort);
    settings.set_max_connections(16);
    settings.set_configuration_file(mConfigurationFile);
    auto* key = settings.add_event_id_keys();
    key->set_id("k1");
    key->set_secret("a-secret-of-the-tests-with-32-characters");
    settings.set_default_deadline_ms(5000);
    settings.set_max_deadline_ms(60000);
    settings.set_stop_grace_ms(500);
    settings.set_max_body_bytes(65536);
    settings.set_poll_interval_ms(200);
    settings.set_peer_interval_ms(500);
    settings.set_peer_fanout(1);
    mProcess =
      std::make_unique<ServerProcess>("build/quetzal-router", settings);
    RequireServed(Call());
  }

  ~RouterUnderTest()
  {
    mProcess.reset();
    mService->Stop();
    std::error_code ec;
    std::filesystem::remove(mConfigurationFile, ec);
  }
  RouterUnderTest(const RouterUnderTest&) = delete;
  RouterUnderTest& operator=(const RouterUnderTest&) = delete;

  std::string Call() const
  {
    const std::string body(2000, 'b');
    return Statuses("127.0.0.1",
                    mPort,
                    std::string("POST ") + kTarget +
                      " HTTP/1.1\r\nHost: host\r\n" + kKeyField +
                      "Content-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body);
  }

  int Port() const { return mPort; }
  ServerProcess& Process() { return *mProcess; }

private:
  int mServicePort;
  int mPort;
  std::string mConfigurationFile;
  std::unique_ptr<StandinService> mService;
  std::unique_ptr<ServerProcess> mProcess;
};

// A resource API process in front of a stand-in platform.
class ApiUnderTest
{
public:
  static constexpr char kTarget[] = "/api/v1/import";

  ApiUnderTest()
    : mPort(FindFreePort())
  {
    const int platformPort = FindFreePort();
    schema::StandinPlatformSettings platform;
    platform.set_name("platform");
    *platform.mutable_listen() = MakeEndpoint("127.0.0.1", platformPort);
    *platform.mutable_control() = MakeEndpoint("127.0.0.1", FindFreePort());
    platform.set_weights_per_second(100);
    mPlatform = std::make_unique<StandinPlatform>(platform);
    CPPUNIT_ASSERT(!mPlatform->Start());
    schema::ApiSettings settings;
    settings.set_name("api");
    *settings.mutable_listen() = MakeEndpoint("127.0.0.1", mPort);
    *settings.mutable_platform() = MakeEndpoint("127.0.0.1", platformPort);
    settings.add_operator_key_sha256(Sha256Hex("key"));
    mProcess = std::make_unique<ServerProcess>("build/quetzal-api", settings);
    RequireServed(Call());
  }

  ~ApiUnderTest()
  {
    mProcess.reset();
    mPlatform->Stop();
  }
  ApiUnderTest(const ApiUnderTest&) = delete;
  ApiUnderTest& operator=(const ApiUnderTest&) = delete;

  std::string Call() const
  {
    const std::string body = ToJson(MakeConfiguration(1));
    return Statuses("127.0.0.1",
                    mPort,
                    std::string("POST ") + kTarget +
                      " HTTP/1.1\r\nHost: host\r\n" + kKeyField +
                      "Content-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body);
  }

  int Port() const { return mPort; }
  ServerProcess& Process() { return *mProcess; }

private:
  int mPort;
  std::unique_ptr<StandinPlatform> mPlatform;
  std::unique_ptr<ServerProcess> mProcess;
};

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
                      "/plain/",
                      "",
                      { 400, 60000, 30000, false });
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
    const int fd = Connect(gateway.Ip(), gateway.CallerPort());
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
        sockets.push_back(Connect("127.0.0.1", router.Port()));
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
    const Crowd crowd("127.0.0.1",
                      router.Port(),
                      RouterUnderTest::kTarget,
                      kKeyField,
                      { 8, 100, 1, true });
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
      const int fd = Connect("127.0.0.1", router.Port());
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
    *settings.mutable_platform() = MakeEndpoint("127.0.0.1", FindFreePort());
    settings.set_lease_ms(3000);
    settings.set_order_ms(3000);
    settings.set_max_loading_share(0.5);
    settings.set_min_ready_share(0.5);
    ServerProcess controller("build/quetzal-controller", settings);
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

  static void CheckGateway(const std::string& aFields, const CrowdPlan& aPlan)
  {
    GatewayTestCluster cluster(GatewayOptions());
    TestLimits limits;
    limits.mBodyBytes = 1000000;
    limits.mIdleTimeoutMs = 2000;
    cluster.SetCallerLimits(limits);
    cluster.Configure("key");
    const GatewayProcess& gateway = cluster.Gateway();
    const Crowd crowd(
      gateway.Ip(), gateway.CallerPort(), "/plain/", aFields, aPlan);
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

  static void CheckRouter(const std::string& aFields, const CrowdPlan& aPlan)
  {
    RouterUnderTest router;
    const Crowd crowd(
      "127.0.0.1", router.Port(), RouterUnderTest::kTarget, aFields, aPlan);
    RequireServes(router, kRouterDescriptors);
  }

  static void CheckApi(const std::string& aFields, const CrowdPlan& aPlan)
  {
    ApiUnderTest api;
    const Crowd crowd(
      "127.0.0.1", api.Port(), ApiUnderTest::kTarget, aFields, aPlan);
    RequireServes(api, kApiDescriptors);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnfinishedBodyTests);
