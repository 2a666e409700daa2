#include "CallerChannel.h"
#include "GatewayTestCluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// Time in which a line is written, well above any expected time.
constexpr auto kLineTime = milliseconds(5000);

// Keeps the logs of gateways in a directory of its own.
class KeptLogs
{
public:
  KeptLogs()
  {
    char path[] = "/tmp/quetzal-logs-XXXXXX";
    if (::mkdtemp(path) == nullptr) {
      throw std::runtime_error("no directory for logs");
    }
    mDirectory = path;
    if (const char* former = std::getenv(kVariable)) {
      mFormer = former;
    }
    ::setenv(kVariable, path, 1);
  }
  ~KeptLogs()
  {
    if (mFormer.empty()) {
      ::unsetenv(kVariable);
    } else {
      ::setenv(kVariable, mFormer.c_str(), 1);
    }
    ::unlink(mFile.c_str());
    ::rmdir(mDirectory.c_str());
  }
  KeptLogs(const KeptLogs&) = delete;
  KeptLogs& operator=(const KeptLogs&) = delete;

  // Lines of a gateway that contain all of the texts, as soon as there is one.
  std::vector<std::string> Await(const GatewayProcess& aGateway,
                                 const std::vector<std::string>& aTexts)
  {
    mFile = mDirectory + "/" + aGateway.Name() + ".log";
    const auto until = std::chrono::steady_clock::now() + kLineTime;
    std::vector<std::string> lines;
    while (lines.empty() && std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(milliseconds(20));
      std::ifstream file(mFile);
      for (std::string line; std::getline(file, line);) {
        if (HasAll(line, aTexts)) {
          lines.push_back(line);
        }
      }
    }
    return lines;
  }

private:
  static bool HasAll(const std::string& aLine,
                     const std::vector<std::string>& aTexts)
  {
    for (const std::string& it : aTexts) {
      if (aLine.find(it) == std::string::npos) {
        return false;
      }
    }
    return true;
  }

  static constexpr char kVariable[] = "QUETZAL_TEST_LOGS";
  std::string mDirectory;
  std::string mFile;
  std::string mFormer;
};

// Expects that a request has one last line, with the given text.
void
ExpectLastLine(KeptLogs& aLogs,
               const GatewayProcess& aGateway,
               const std::string& aRequest,
               const std::string& aText)
{
  aLogs.Await(aGateway, { "request=" + aRequest + " ", " status=", aText });
  const auto lines =
    aLogs.Await(aGateway, { "request=" + aRequest + " ", " status=" });
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aRequest, std::size_t{ 1 }, lines.size());
  CPPUNIT_ASSERT_MESSAGE(lines.front(),
                         lines.front().find(aText) != std::string::npos);
}

} // namespace

// What the log says of requests and connections that do not end as usual.
class ConnectionEndLogTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConnectionEndLogTests);
  CPPUNIT_TEST(RejectedRequestsHaveALastLine);
  CPPUNIT_TEST(HeadsThatAreLateHaveALine);
  CPPUNIT_TEST(RequestsWhoseCallerLeavesHaveALastLine);
  CPPUNIT_TEST(BrokenOffStreamsHaveALastLine);
  CPPUNIT_TEST(RequestsThatAStopEndsHaveALastLine);
  CPPUNIT_TEST(FailedAcceptsHaveALine);
  CPPUNIT_TEST(RequestsBehindAnotherAreLoggedWhenTheirCallerLeaves);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests that are rejected without a line.
  void RejectedRequestsHaveALastLine()
  {
    KeptLogs logs;
    GatewayTestCluster cluster;
    TestLimits limits;
    limits.mBodyBytes = 2000;
    cluster.SetCallerLimits(limits);
    cluster.Configure("key");
    const std::string body(4000, 'x');
    CPPUNIT_ASSERT_EQUAL(
      413,
      cluster.Call(GatewayTestCluster::Request("/plain/", "large", "", body))
        .mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(
      404,
      cluster.Call(GatewayTestCluster::Request("/none/", "unknown"))
        .mHead.mStatus);
    ExpectLastLine(logs, cluster.Gateway(), "large", " status=413 ");
    ExpectLastLine(logs, cluster.Gateway(), "unknown", " status=404 ");
  }

  // Guards against connections with a part of a head that end without a line.
  void HeadsThatAreLateHaveALine()
  {
    KeptLogs logs;
    GatewayTestCluster cluster;
    TestLimits limits;
    limits.mHeadTimeoutMs = 1000;
    cluster.SetCallerLimits(limits);
    cluster.Configure("key");
    CallerChannel channel(cluster.Gateway());
    channel.Send("GET /plain/ HTTP/1.1\r\n");
    CPPUNIT_ASSERT_EQUAL(408, channel.Read().mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      logs.Await(cluster.Gateway(), { " status=408 " }).size());
  }

  // Guards against requests of callers that leave that have no last line.
  void RequestsWhoseCallerLeavesHaveALastLine()
  {
    KeptLogs logs;
    GatewayTestCluster cluster;
    cluster.SetAllModes(RunnerMode::NeverAnswer);
    for (const char* it : { "/plain/", "/unsafe/", "/stream/" }) {
      const std::string id = std::string("left-") + it[1];
      const std::size_t runs = cluster.Runs().size();
      {
        CallerChannel channel(cluster.Gateway());
        channel.Send(GatewayTestCluster::Request(it, id));
        while (cluster.Runs().size() == runs) {
          ::usleep(1000);
        }
      }
      ExpectLastLine(logs, cluster.Gateway(), id, "caller_gone");
    }
  }

  // Guards against streams that are broken off without a line.
  void BrokenOffStreamsHaveALastLine()
  {
    KeptLogs logs;
    GatewayTestCluster cluster(1);
    TestConfiguration configuration;
    configuration.RouteOf("stream").mMaxAttempts = 1;
    cluster.AwaitConfiguration(cluster.Write(configuration));
    cluster.SetAllModes(RunnerMode::TruncatedStream);
    const CallerAnswer answer =
      cluster.Call(GatewayTestCluster::Request("/stream/", "broken"));
    CPPUNIT_ASSERT(!answer.mComplete);
    ExpectLastLine(logs, cluster.Gateway(), "broken", "generation_lost");
  }

  // Guards against requests that the end of a stop leaves without an answer or
  // a line.
  void RequestsThatAStopEndsHaveALastLine()
  {
    KeptLogs logs;
    GatewayTestCluster::Options options;
    options.mSettings.mStopGraceS = 3;
    GatewayTestCluster cluster(options);
    cluster.SetAllModes(RunnerMode::NeverAnswer);
    CallerChannel running(cluster.Gateway());
    running.Send(GatewayTestCluster::Request("/plain/", "open"));
    CallerChannel partial(cluster.Gateway());
    partial.Send(
      "POST /plain/ HTTP/1.1\r\nHost: host\r\nContent-Length: 9\r\n\r\n");
    while (cluster.Runs().empty()) {
      ::usleep(1000);
    }
    cluster.Gateway().Signal(SIGTERM);
    CPPUNIT_ASSERT(running.Read().mComplete);
    CPPUNIT_ASSERT_EQUAL(503, partial.Read().mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(0, cluster.Gateway().AwaitExit());
    ExpectLastLine(logs, cluster.Gateway(), "open", "stopping");
    const std::string reason = "the host is shutting down";
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         logs.Await(cluster.Gateway(), { reason }).size());
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      logs.Await(cluster.Gateway(), { "component=gateway", "stopped" }).size());
  }

  // Guards against connections that wait, for want of a descriptor, without a
  // trace.
  void FailedAcceptsHaveALine()
  {
    KeptLogs logs;
    GatewayTestCluster::Options options;
    // Fewer than the settings promise.
    options.mSettings.mDescriptors = 150;
    GatewayTestCluster cluster(options);
    std::vector<std::unique_ptr<CallerChannel>> others;
    while (others.size() < 200) {
      others.push_back(std::make_unique<CallerChannel>(cluster.Gateway()));
    }
    CallerChannel last(cluster.Gateway());
    last.Send(GatewayTestCluster::Request("/plain/", "waits"));
    const auto lines =
      logs.Await(cluster.Gateway(), { "could not be accepted", "reason=" });
    CPPUNIT_ASSERT(!lines.empty());
    others.clear();
    CPPUNIT_ASSERT_EQUAL(200, last.Read().mHead.mStatus);
    ExpectLastLine(logs, cluster.Gateway(), "waits", " status=200 ");
    CPPUNIT_ASSERT(cluster.Gateway().Metric("quetzal_accepts_failed_total") !=
                   "0");
  }

  // Guards against received requests that end without a trace because their
  // caller leaves while the one before them is running.
  void RequestsBehindAnotherAreLoggedWhenTheirCallerLeaves()
  {
    KeptLogs logs;
    GatewayTestCluster cluster;
    cluster.SetAllModes(RunnerMode::NeverAnswer);
    {
      CallerChannel channel(cluster.Gateway());
      channel.Send(GatewayTestCluster::Request("/plain/", "first") +
                   GatewayTestCluster::Request("/plain/", "second"));
      while (cluster.Runs().empty()) {
        ::usleep(1000);
      }
    }
    ExpectLastLine(logs, cluster.Gateway(), "first", "caller_gone");
    const auto lines = logs.Await(
      cluster.Gateway(),
      { "component=connection", "cause=caller_gone", "request=first" });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, lines.size());
    CPPUNIT_ASSERT(lines.front().find("received=0") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(
      std::string("1"),
      cluster.Gateway().Metric("quetzal_connections_left_total"));
    CPPUNIT_ASSERT_EQUAL(
      std::string("0"),
      cluster.Gateway().Metric("quetzal_connections_cut_total"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionEndLogTests);
