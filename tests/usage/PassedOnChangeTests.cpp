#include "CallerChannel.h"
#include "FleetPlay.h"
#include "GatewayTestCluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
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

// A request among others, and its answer.
struct SentCall
{
  std::string mRoute;
  std::string mId;
  std::unique_ptr<BackgroundCall> mCall;
};

// Sends aCount requests of all kinds to the host that is cut off, aInterval
// apart.
std::vector<SentCall>
SendAll(GatewayTestCluster& aCluster, int aCount, milliseconds aInterval)
{
  const char* const routes[] = { "/plain/", "/unsafe/", "/stream/" };
  std::vector<SentCall> calls;
  for (int n = 0; n < aCount; ++n) {
    SentCall call;
    call.mRoute = routes[n % 3];
    call.mId = "r" + std::to_string(n);
    call.mCall = std::make_unique<BackgroundCall>(
      aCluster.Gateway(kCutHost), Request(call.mRoute, call.mId));
    calls.push_back(std::move(call));
    std::this_thread::sleep_for(aInterval);
  }
  return calls;
}

// Expects whole answers to all requests, and that none ran that was refused or
// ran twice that must not. Returns how many were answered with success.
int
ExpectAnswers(GatewayTestCluster& aCluster, std::vector<SentCall>& aCalls)
{
  int served = 0;
  std::string problems;
  for (SentCall& it : aCalls) {
    const CallerAnswer& answer = it.mCall->AwaitAnswer();
    const int status = answer.mHead.mStatus;
    const int runs = RunsOf(aCluster, it.mId);
    const bool unsafe = it.mRoute == "/unsafe/";
    const bool stream = it.mRoute == "/stream/";
    served += status == 200 ? 1 : 0;
    if (status != 200 && std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::cout << "\n" << it.mId << ": " << answer.mBody;
    }
    const bool sound =
      answer.mComplete && (status == 200 || RunOf(answer) == "not_run") &&
      (status == 200 || !unsafe || runs == 0) && (!unsafe || runs <= 1) &&
      (status != 200 || !stream ||
       answer.mBody == GatewayTestCluster::StreamBody());
    if (!sound) {
      problems += it.mRoute + it.mId + " status " + std::to_string(status) +
                  (answer.mComplete ? " whole" : " torn") + " runs " +
                  std::to_string(runs) + "; ";
    }
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), problems);
  return served;
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
  CPPUNIT_TEST(RequestsThatANewerConfigurationDeniesAreRefusedAsNotRun);
  CPPUNIT_TEST(StreamsMoveToAHostWithANewerConfiguration);
  CPPUNIT_TEST(StreamsOutliveATimeInWhichNoHostReachesTheTargets);
  CPPUNIT_TEST(RunsAtSeveralHostsStayWithinTheLimit);
  CPPUNIT_TEST(LimitsOfAnOlderConfigurationAreNoFaultOfTheRequest);
  CPPUNIT_TEST(RequestsAreServedAsSoonAsFullHostsHaveRoom);
  CPPUNIT_TEST(RequestsArePassedOnWhileASecondCutIsSuspected);
  CPPUNIT_TEST(RequestsAreAnsweredBesideChangesAndStopsOfBothHosts);
  CPPUNIT_TEST(RequestsLeaveAServingHostWithoutDescriptors);
  CPPUNIT_TEST(LargeRequestsLeaveAServingHostItsMemory);
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

  // Guards against a host that denies by a newer configuration what another has
  // admitted, which then goes on serving and denying by its older one.
  void RequestsThatANewerConfigurationDeniesAreRefusedAsNotRun()
  {
    TestConfiguration removed = FirstConfiguration();
    removed.mRoutes.resize(1);
    removed.mRoutes.front().mName = "other";
    GatewayTestCluster cluster(MakeOptions());
    const long long first = cluster.Write(FirstConfiguration());
    cluster.AwaitConfiguration(first);
    const long long second = cluster.Write(removed);
    cluster.AwaitConfiguration(second);
    CallerChannel channel =
      CallerChannel::AtPort(cluster.Gateway(1), cluster.RelayPort());
    channel.Send(Request("/plain/", "a", HostFields(first, kAfterChangeMs)));
    const CallerAnswer answer = channel.Read();
    CPPUNIT_ASSERT_EQUAL(503, answer.mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), RunOf(answer));
    channel.Send(Request("/plain/", "b", HostFields(second, kAfterChangeMs)));
    CPPUNIT_ASSERT_EQUAL(404, channel.Read().mHead.mStatus);
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
    channels.reserve(kCount);
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

  // Requests for a second service were refused until the host had found out
  // that it is cut off from that one, too.
  void RequestsArePassedOnWhileASecondCutIsSuspected()
  {
    GatewayTestCluster cluster(MakeOptions());
    cluster.AwaitConfiguration(cluster.Write(FirstConfiguration()));
    cluster.SetPace(milliseconds(50), milliseconds(20), milliseconds(50));
    CutOff(cluster, kCutHost);
    cluster.SetLinks(kCutHost,
                     cluster.RunnersOf(TestConfiguration::kSecondService),
                     LinkState::Reset);
    cluster.AwaitConfiguration(cluster.Write(MovedConfiguration()));
    std::vector<SentCall> calls = SendAll(cluster, 30, milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(30, ExpectAnswers(cluster, calls));
  }

  // Guards against requests that end without an answer when the hosts that pass
  // on or serve them get changes, read their settings again or stop.
  void RequestsAreAnsweredBesideChangesAndStopsOfBothHosts()
  {
    const int seed = FromEnvironment("QUETZAL_TEST_SEED", 1);
    std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
    GatewayTestCluster cluster(MakeOptions());
    cluster.AwaitConfiguration(cluster.Write(FirstConfiguration()));
    cluster.SetPace(milliseconds(50), milliseconds(40), milliseconds(700));
    CutOff(cluster, kCutHost);
    std::vector<SentCall> calls;
    std::thread sender(
      [&] { calls = SendAll(cluster, kCalls, milliseconds(50)); });
    std::thread changes(
      [&, changeSeed = random()] { WriteChanges(cluster, changeSeed); });
    for (int n = 0; n < kStops; ++n) {
      std::this_thread::sleep_for(milliseconds(random() % 400));
      GatewayTestSettings settings;
      settings.mRetryAllowance = 150 + n;
      cluster.Gateway(random() % kHosts).ChangeSettings(settings);
      cluster.Gateway(random() % kHosts).Signal(SIGHUP);
      cluster.Gateway(1 + random() % (kHosts - 1)).Restart(SIGTERM);
    }
    sender.join();
    changes.join();
    cluster.Gateway(kCutHost).Signal(SIGTERM);
    const int served = ExpectAnswers(cluster, calls);
    if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::cout << "\nseed " << seed << ": served " << served << " of "
                << calls.size() << std::endl;
    }
    CPPUNIT_ASSERT(served * 10 >= kCalls * 9);
  }

  // Guards against requests that wait for a serving host which has no
  // descriptors left to accept them.
  void RequestsLeaveAServingHostWithoutDescriptors()
  {
    GatewayTestCluster::Options options = MakeOptions();
    // Fewer than the settings promise.
    options.mSettings.mDescriptors = 150;
    GatewayTestCluster cluster(options);
    cluster.AwaitConfiguration(cluster.Write(FirstConfiguration()));
    cluster.SetPace(milliseconds(50), milliseconds(20), milliseconds(50));
    CutOff(cluster, kCutHost);
    std::vector<std::unique_ptr<CallerChannel>> others;
    while (others.size() < 200) {
      others.push_back(std::make_unique<CallerChannel>(cluster.Gateway(1)));
    }
    std::this_thread::sleep_for(milliseconds(300));
    std::vector<SentCall> calls = SendAll(cluster, 12, milliseconds(100));
    std::this_thread::sleep_for(milliseconds(1500));
    others.clear();
    ExpectAnswers(cluster, calls);
  }

  // Guards against a host that ends because it holds the bodies of too many
  // requests that others pass on to it.
  void LargeRequestsLeaveAServingHostItsMemory()
  {
    constexpr int kSmallHostMb = 88;
    GatewayTestCluster::Options options;
    options.mSettings.mMemoryMb = kSmallHostMb;
    GatewayTestCluster cluster(options);
    const std::string fields = HostFields(1, 0);
    const std::string body(16U << 20U, 'b');
    const std::string bytes =
      GatewayTestCluster::Request("/plain/", "a", fields, body, kDeadlineMs);
    std::vector<std::unique_ptr<CallerChannel>> channels;
    for (int n = 0; n < 8; ++n) {
      channels.emplace_back(new CallerChannel(
        CallerChannel::AtPort(cluster.Gateway(), cluster.RelayPort())));
      // All but the end; a request without room is refused at its head.
      channels.back()->Send(bytes.substr(0, 12U << 20U));
    }
    CPPUNIT_ASSERT(cluster.Gateway().IsRunning());
    CPPUNIT_ASSERT_EQUAL(200,
                         cluster.Call(Request("/plain/", "b")).mHead.mStatus);
  }

private:
  static constexpr int kCalls = 60;
  static constexpr int kStops = 2;
  static constexpr int kChanges = 12;

  // Moves all routes from one service to the other and back, and changes their
  // time limits, at random times.
  static void WriteChanges(GatewayTestCluster& aCluster, unsigned aSeed)
  {
    std::mt19937 random(aSeed);
    for (int n = 0; n < kChanges; ++n) {
      std::this_thread::sleep_for(milliseconds(random() % 400));
      TestConfiguration changed =
        random() % 2 == 0 ? FirstConfiguration() : MovedConfiguration();
      for (TestRoute& it : changed.mRoutes) {
        it.mTimeoutMs = 7000 + static_cast<int>(random() % 3) * 1000;
      }
      aCluster.Write(changed);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PassedOnChangeTests);
