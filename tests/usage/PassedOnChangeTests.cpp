#include "CallerChannel.h"
#include "GatewayTestCluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kCutHost = 0;
constexpr std::size_t kHosts = 3;

constexpr char kCutOffMetric[] = "quetzal_services_cut_off";
constexpr char kServedMetric[] = "quetzal_served_for_hosts_total";

constexpr auto kTimeout = std::chrono::seconds(10);
constexpr auto kCheckInterval = milliseconds(20);

constexpr int kDeadlineMs = 8000;

// Age of a request that arrived before a change, and of one that did after it.
constexpr int kBeforeChangeMs = 6000;
constexpr int kAfterChangeMs = 0;

bool
WaitFor(const std::function<bool()>& aCondition)
{
  const auto until = std::chrono::steady_clock::now() + kTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kCheckInterval);
  }
  return true;
}

GatewayTestCluster::Options
MakeOptions()
{
  GatewayTestCluster::Options options;
  options.mGateways = kHosts;
  options.mRunners = 8;
  options.mSecondServiceRunners = 2;
  options.mHasRunnerLinks = true;
  return options;
}

// Both services, with all routes to the first one.
TestConfiguration
FirstConfiguration()
{
  TestConfiguration configuration;
  configuration.mServices = { TestConfiguration::kService,
                              TestConfiguration::kSecondService };
  return configuration;
}

// The same, with all routes to the second service.
TestConfiguration
MovedConfiguration()
{
  TestConfiguration configuration = FirstConfiguration();
  for (TestRoute& it : configuration.mRoutes) {
    it.mServices = { { TestConfiguration::kSecondService, 1 } };
  }
  return configuration;
}

std::string
Request(const std::string& aRoute,
        const std::string& aId,
        const std::string& aFields = std::string())
{
  return GatewayTestCluster::Request(aRoute, aId, aFields, "body", kDeadlineMs);
}

// Fields of a request that another host has admitted by a configuration.
std::string
HostFields(long long aConfiguration, int aAgeMs)
{
  return "X-Passed-From: other\r\nX-Passed-Configuration: " +
         std::to_string(aConfiguration) +
         "\r\nX-Passed-Age-Ms: " + std::to_string(aAgeMs) +
         "\r\nX-Passed-Service: " + TestConfiguration::kService +
         "\r\nX-Passed-Resumed: 0\r\nX-Passed-Tries: 0\r\nX-Passed-Runs: 0"
         "\r\nX-Passed-Counted: 0\r\nX-Passed-Sent: 0\r\n";
}

std::string
RunOf(const CallerAnswer& aAnswer)
{
  const std::string* run = aAnswer.mHead.Find("X-Request-Run");
  return run == nullptr ? std::string() : *run;
}

int
RunsOf(GatewayTestCluster& aCluster, const std::string& aId)
{
  int runs = 0;
  for (const RunnerRequest& it : aCluster.Runs()) {
    const std::string* id = it.mHead.Find("X-Request-Id");
    runs += id != nullptr && *id == aId ? 1 : 0;
  }
  return runs;
}

int
ServedBy(const GatewayTestCluster& aCluster, std::size_t aHost)
{
  return std::atoi(aCluster.Gateway(aHost).Metric(kServedMetric).c_str());
}

// Cuts a host off from the first service's runners and waits until it knows.
void
CutOff(GatewayTestCluster& aCluster, std::size_t aHost)
{
  aCluster.SetLinks(aHost, aCluster.RunnersOf(), LinkState::Reset);
  int n = 0;
  CPPUNIT_ASSERT_MESSAGE(
    "the host did not find out", WaitFor([&] {
      const std::string id =
        "c" + std::to_string(aHost) + "-" + std::to_string(++n);
      aCluster.Gateway(aHost).Call(Request("/plain/", id));
      return aCluster.Gateway(aHost).Metric(kCutOffMetric) != "0";
    }));
}

// A request that the host which is cut off passes on.
class PassedOnCallerCall
{
public:
  PassedOnCallerCall(GatewayTestCluster& aCluster, const std::string& aBytes)
    : mCluster(aCluster)
  {
    for (std::size_t n = 0; n < kHosts; ++n) {
      mServedBefore.push_back(ServedBy(aCluster, n));
    }
    mRunsBefore = aCluster.Runs().size();
    mCall =
      std::make_unique<BackgroundCall>(aCluster.Gateway(kCutHost), aBytes);
  }

  // Waits until the request runs, and returns the host that serves it.
  std::size_t AwaitServingHost()
  {
    CPPUNIT_ASSERT(
      WaitFor([&] { return mCluster.Runs().size() > mRunsBefore; }));
    for (std::size_t n = 0; n < kHosts; ++n) {
      if (ServedBy(mCluster, n) > mServedBefore[n]) {
        return n;
      }
    }
    CPPUNIT_FAIL("no host serves the request");
    return 0;
  }

  const CallerAnswer& Answer() { return mCall->AwaitAnswer(); }

private:
  GatewayTestCluster& mCluster;
  std::vector<int> mServedBefore;
  std::size_t mRunsBefore = 0;
  std::unique_ptr<BackgroundCall> mCall;
};

} // namespace

// Requests that one host passes on to another one, beside changes and stops of
// either.
class PassedOnChangeTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PassedOnChangeTests);
  CPPUNIT_TEST(RequestsFromBeforeAChangeAreServedByTheConfigurationBeforeIt);
  CPPUNIT_TEST(RequestsFromAfterAChangeAreNotServedByTheConfigurationBeforeIt);
  CPPUNIT_TEST(StreamsMoveToAHostWithANewerConfiguration);
  CPPUNIT_TEST(StreamsOutliveATimeInWhichNoHostReachesTheTargets);
  CPPUNIT_TEST(RunsAtSeveralHostsStayWithinTheLimit);
  CPPUNIT_TEST(LimitsOfAnOlderConfigurationAreNoFaultOfTheRequest);
  CPPUNIT_TEST(RequestsAreServedAsSoonAsFullHostsHaveRoom);
  CPPUNIT_TEST_SUITE_END();

public:
  // Requests were refused, or cut at a shorter time limit, when the serving
  // host had got a newer configuration than the one that admitted them.
  void RequestsFromBeforeAChangeAreServedByTheConfigurationBeforeIt()
  {
    TestConfiguration removed = FirstConfiguration();
    removed.mRoutes.resize(1);
    removed.mRoutes.front().mName = "other";
    TestConfiguration retimed = FirstConfiguration();
    for (TestRoute& it : retimed.mRoutes) {
      it.mTimeoutMs = 300;
    }
    for (const TestConfiguration& changed :
         { MovedConfiguration(), removed, retimed }) {
      GatewayTestCluster cluster(MakeOptions());
      const long long first = cluster.Write(FirstConfiguration());
      cluster.AwaitConfiguration(first);
      CallerChannel channel =
        CallerChannel::AtPort(cluster.Gateway(1), cluster.RelayPort());
      for (const char* route : { "/plain/", "/unsafe/", "/stream/" }) {
        const std::string bytes = Request(route,
                                          std::string("r") + route[1],
                                          HostFields(first, kBeforeChangeMs));
        channel.Send(bytes.substr(0, bytes.size() - 1));
        if (route == std::string("/plain/")) {
          cluster.AwaitConfiguration(cluster.Write(changed));
        }
        channel.Send(bytes.substr(bytes.size() - 1));
        const CallerAnswer answer = channel.Read();
        CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
        CPPUNIT_ASSERT(answer.mComplete);
      }
    }
  }

  // Guards against requests that are handled by a configuration that had been
  // replaced when they arrived.
  void RequestsFromAfterAChangeAreNotServedByTheConfigurationBeforeIt()
  {
    GatewayTestCluster cluster(MakeOptions());
    const long long first = cluster.Write(FirstConfiguration());
    cluster.AwaitConfiguration(first);
    cluster.AwaitConfiguration(cluster.Write(MovedConfiguration()));
    CallerChannel channel =
      CallerChannel::AtPort(cluster.Gateway(1), cluster.RelayPort());
    channel.Send(Request("/plain/", "a", HostFields(first, kAfterChangeMs)));
    const CallerAnswer answer = channel.Read();
    CPPUNIT_ASSERT_EQUAL(503, answer.mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), RunOf(answer));
    CPPUNIT_ASSERT_EQUAL(0, RunsOf(cluster, "a"));
  }

  // Streams were broken off when they had to leave their serving host and the
  // others had a configuration in which the route uses another service.
  void StreamsMoveToAHostWithANewerConfiguration()
  {
    GatewayTestCluster cluster(MakeOptions());
    cluster.AwaitConfiguration(cluster.Write(FirstConfiguration()));
    cluster.SetPace(milliseconds(50), milliseconds(50), milliseconds(1500));
    CutOff(cluster, kCutHost);
    PassedOnCallerCall call(cluster, Request("/stream/", "s"));
    const std::size_t host = call.AwaitServingHost();
    std::this_thread::sleep_for(milliseconds(300));
    cluster.AwaitConfiguration(cluster.Write(MovedConfiguration()));
    cluster.Gateway(host).Restart(SIGKILL);
    const CallerAnswer& answer = call.Answer();
    CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
    CPPUNIT_ASSERT(answer.mComplete);
    CPPUNIT_ASSERT_EQUAL(GatewayTestCluster::StreamBody(), answer.mBody);
  }

  // Streams were broken off as soon as no host could serve them, though their
  // targets were back within a second.
  void StreamsOutliveATimeInWhichNoHostReachesTheTargets()
  {
    GatewayTestCluster cluster(MakeOptions());
    cluster.AwaitConfiguration(cluster.Write(FirstConfiguration()));
    cluster.SetPace(milliseconds(50), milliseconds(50), milliseconds(1500));
    CutOff(cluster, kCutHost);
    PassedOnCallerCall call(cluster, Request("/stream/", "s"));
    const std::size_t host = call.AwaitServingHost();
    std::this_thread::sleep_for(milliseconds(300));
    const std::size_t other = kHosts - host;
    cluster.SetLinks(other, cluster.RunnersOf(), LinkState::Reset);
    cluster.Gateway(host).Signal(SIGKILL);
    std::this_thread::sleep_for(milliseconds(700));
    cluster.SetLinks(kCutHost, cluster.RunnersOf(), LinkState::Up);
    const CallerAnswer& answer = call.Answer();
    CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
    CPPUNIT_ASSERT(answer.mComplete);
    CPPUNIT_ASSERT_EQUAL(GatewayTestCluster::StreamBody(), answer.mBody);
  }

  // A safe request ran at each of three hosts as often as if it had not run at
  // the hosts before.
  void RunsAtSeveralHostsStayWithinTheLimit()
  {
    GatewayTestCluster cluster(MakeOptions());
    cluster.AwaitConfiguration(cluster.Write(FirstConfiguration()));
    CutOff(cluster, kCutHost);
    cluster.SetAllModes(RunnerMode::ResetImmediately);
    const int maxRuns = TestConfiguration().RouteOf("plain").mMaxAttempts;
    const CallerAnswer answer =
      cluster.Gateway(kCutHost).Call(Request("/plain/", "p"));
    CPPUNIT_ASSERT(answer.mHead.mStatus >= 500);
    CPPUNIT_ASSERT(RunOf(answer) != "not_run");
    CPPUNIT_ASSERT(RunsOf(cluster, "p") > 0);
    CPPUNIT_ASSERT(RunsOf(cluster, "p") <= maxRuns);
  }

  // Callers got 413 for a body that the configuration of the host they had
  // asked allows, but not yet that of the host which should serve it.
  void LimitsOfAnOlderConfigurationAreNoFaultOfTheRequest()
  {
    GatewayTestCluster cluster(MakeOptions());
    CallerChannel channel =
      CallerChannel::AtPort(cluster.Gateway(1), cluster.RelayPort());
    const std::string body(
      static_cast<std::size_t>(TestLimits().mBodyBytes) + 1, 'b');
    channel.Send(GatewayTestCluster::Request(
      "/plain/", "a", HostFields(1000000, 0), body, kDeadlineMs));
    const CallerAnswer answer = channel.Read();
    CPPUNIT_ASSERT_EQUAL(503, answer.mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), RunOf(answer));
    CPPUNIT_ASSERT_EQUAL(std::string("host"),
                         *answer.mHead.Find("X-Passed-Refused-By"));
  }

  // For a second after each other host had refused one request, all requests
  // were refused.
  void RequestsAreServedAsSoonAsFullHostsHaveRoom()
  {
    // More than the other hosts serve at a time.
    constexpr int kCount = 300;
    GatewayTestCluster cluster(MakeOptions());
    cluster.AwaitConfiguration(cluster.Write(FirstConfiguration()));
    CutOff(cluster, kCutHost);
    cluster.SetPace(milliseconds(50), milliseconds(50), milliseconds(400));
    std::vector<std::unique_ptr<CallerChannel>> channels;
    for (int n = 0; n < kCount; ++n) {
      channels.push_back(
        std::make_unique<CallerChannel>(cluster.Gateway(kCutHost)));
    }
    for (int n = 0; n < kCount; ++n) {
      channels[n]->Send(Request("/plain/", "f" + std::to_string(n)));
    }
    int refused = 0;
    for (const auto& it : channels) {
      refused += it->Read().mHead.mStatus == 503 ? 1 : 0;
    }
    CPPUNIT_ASSERT(refused > 0);
    const CallerAnswer answer =
      cluster.Gateway(kCutHost).Call(Request("/plain/", "a"));
    CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PassedOnChangeTests);
