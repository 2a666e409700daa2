#include "CallerChannel.h"
#include "GatewayTestCluster.h"

#include "gateway/PassedOnRequest.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kCutHost = 0;

constexpr char kCutOffMetric[] = "quetzal_services_cut_off";
constexpr char kPassedOnMetric[] = "quetzal_passed_on_total";
constexpr char kServedMetric[] = "quetzal_served_for_hosts_total";

constexpr auto kTimeout = std::chrono::seconds(10);
constexpr auto kCheckInterval = milliseconds(20);

// Time within which the work for a caller that has left ends everywhere.
constexpr auto kLeaveTime = milliseconds(500);

// Time in which a stream of two seconds ends whose serving host is cut off.
constexpr auto kInterruptedTime = milliseconds(6000);

constexpr int kDeadlineMs = 8000;

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
MakeOptions(int aGateways)
{
  GatewayTestCluster::Options options;
  options.mGateways = aGateways;
  options.mHasRunnerLinks = true;
  return options;
}

std::string
Request(const std::string& aRoute,
        const std::string& aId,
        const std::string& aFields = std::string())
{
  return GatewayTestCluster::Request(aRoute, aId, aFields, "body", kDeadlineMs);
}

// Fields of a request that a host passes on for the first time.
std::string
HostFields(const std::string& aConfiguration = "1",
           const std::string& aRuns = "0")
{
  return "X-Passed-From: other\r\nX-Passed-Configuration: " + aConfiguration +
         "\r\nX-Passed-Age-Ms: 0\r\nX-Passed-Service: " +
         TestConfiguration::kService +
         "\r\nX-Passed-Resumed: 0\r\nX-Passed-Tries: 0\r\nX-Passed-Runs: " +
         aRuns + "\r\nX-Passed-Counted: 0\r\nX-Passed-Sent: 0\r\n";
}

bool
HasHostField(const HttpHead& aHead)
{
  return std::any_of(
    aHead.mFields.begin(), aHead.mFields.end(), [](const HttpField& aField) {
      return aField.mName.rfind("X-Passed-", 0) == 0;
    });
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

// Cuts a host off from all runners and waits until it knows.
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

// Number of requests that a host has served for others.
int
ServedBy(const GatewayTestCluster& aCluster, std::size_t aHost)
{
  return std::atoi(aCluster.Gateway(aHost).Metric(kServedMetric).c_str());
}

// Sends requests to the host that is cut off, and finds the hosts that serve
// them.
class PassedOnCalls
{
public:
  explicit PassedOnCalls(GatewayTestCluster& aCluster)
    : mCluster(aCluster)
  {
    for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
      mServedBefore.push_back(ServedBy(aCluster, n));
    }
  }

  void Send(const std::string& aBytes)
  {
    mCalls.push_back(
      std::make_unique<BackgroundCall>(mCluster.Gateway(kCutHost), aBytes));
  }

  // Waits until all requests run, and returns a host that serves some of them.
  std::size_t AwaitServingHost(std::size_t aRunsBefore)
  {
    CPPUNIT_ASSERT(WaitFor(
      [&] { return mCluster.Runs().size() >= aRunsBefore + mCalls.size(); }));
    for (std::size_t n = 0; n < mServedBefore.size(); ++n) {
      if (ServedBy(mCluster, n) > mServedBefore[n]) {
        return n;
      }
    }
    CPPUNIT_FAIL("no host serves the requests");
    return 0;
  }

  const CallerAnswer& Answer(std::size_t aNumber)
  {
    return mCalls[aNumber]->AwaitAnswer();
  }

private:
  GatewayTestCluster& mCluster;
  std::vector<int> mServedBefore;
  std::vector<std::unique_ptr<BackgroundCall>> mCalls;
};

} // namespace

// Requests of a host that is cut off from the targets, which other hosts serve.
class PassedOnRequestTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PassedOnRequestTests);
  CPPUNIT_TEST(HostsKnowATargetByOneAddressAndReachItByTheirOwnLinks);
  CPPUNIT_TEST(AHostThatIsToldOfARestartKnowsThatTheFormerTargetIsGone);
  CPPUNIT_TEST(RequestsOfAHostWithoutTargetsAreServed);
  CPPUNIT_TEST(LargeAnswersAreForwardedWhole);
  CPPUNIT_TEST(RequestsSurviveTheDeathOfTheServingHost);
  CPPUNIT_TEST(RunsAtAServingHostThatDiesCount);
  CPPUNIT_TEST(RunsOfABegunStreamAtAServingHostThatDiesCount);
  CPPUNIT_TEST(CallersGetNothingButTheirStream);
  CPPUNIT_TEST(RequestsEndAtAServingHostThatStops);
  CPPUNIT_TEST(RequestsLeaveAFrozenServingHost);
  CPPUNIT_TEST(RequestsStayAtASilentServingHostWhileThereIsNoOther);
  CPPUNIT_TEST(WorkEndsWhenTheCallerLeaves);
  CPPUNIT_TEST(StreamsAreServedWhoseServingHostsAreCutOffAsWell);
  CPPUNIT_TEST(HostsDoNotServeByAnOlderConfiguration);
  CPPUNIT_TEST(RequestsAreNotPassedOnTwice);
  CPPUNIT_TEST(RunsAreCountedOverBothHosts);
  CPPUNIT_TEST(FieldsOfHostsAreIgnoredFromCallers);
  CPPUNIT_TEST(OnlyPassedOnRequestsAreServedToHosts);
  CPPUNIT_TEST(UnreadableRequestsOfHostsCanGoToAnotherHost);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against fakes that give one target several addresses in the fleet,
  // whose hosts then do not know the target of an entry that another one tells.
  void HostsKnowATargetByOneAddressAndReachItByTheirOwnLinks()
  {
    GatewayTestCluster cluster(MakeOptions(3));
    std::set<std::string> addresses;
    for (const std::string& it : cluster.RunnersOf()) {
      addresses.insert(cluster.AddressOf(it));
    }
    for (std::size_t n = 0; n < cluster.GatewayCount(); ++n) {
      const int before = cluster.CountLinkConnections(n);
      const std::string id = "a" + std::to_string(n);
      CPPUNIT_ASSERT(
        cluster.Gateway(n).Call(Request("/stream/", id)).mComplete);
      CPPUNIT_ASSERT(cluster.CountLinkConnections(n) > before);
      CPPUNIT_ASSERT_EQUAL(1, RunsOf(cluster, id));
      // The run names the address of the target that keeps a copy.
      const RunnerRequest run = cluster.Runs().back();
      const std::string* holder = run.mHead.Find("X-Kv-Backup");
      CPPUNIT_ASSERT(holder != nullptr);
      CPPUNIT_ASSERT_MESSAGE(*holder, addresses.count(*holder) == 1);
    }
  }

  // Guards against fakes whose hosts keep a former target in use because
  // another host has told them of its successor (issue 48).
  void AHostThatIsToldOfARestartKnowsThatTheFormerTargetIsGone()
  {
    GatewayTestCluster cluster(MakeOptions(3));
    cluster.SetStoreDown(true, kCutHost);
    cluster.Restart("i-0", "i-0.1");
    const auto entry = [](const std::string& aService,
                          const std::string& aAddress) {
      return R"({"Service":")" + aService + R"(","Address":")" + aAddress +
             R"(","Zone":"p0","Version":"v1","Slots":8,)" +
             R"("State":"ready","Sequence":1})";
    };
    cluster.SetEntry(
      "i-0.1", entry(TestConfiguration::kService, cluster.AddressOf("i-0")));
    // Shows by the number of targets that the entry before has been told, too.
    cluster.SetEntry("i-marker", entry("marker", "127.0.0.1:9"));
    const std::string expected = std::to_string(cluster.RunnersOf().size() + 1);
    for (std::size_t n = 0; n < cluster.GatewayCount(); ++n) {
      std::string count;
      const bool agrees = WaitFor([&] {
        count = cluster.Gateway(n).Metric("quetzal_targets");
        return count == expected;
      });
      CPPUNIT_ASSERT_MESSAGE("host " + std::to_string(n) + " knows " + count,
                             agrees);
    }
  }

  // Guards against a host that refuses its callers because it has lost its
  // targets.
  void RequestsOfAHostWithoutTargetsAreServed()
  {
    GatewayTestCluster cluster(MakeOptions(3));
    CutOff(cluster, kCutHost);
    GatewayProcess& gateway = cluster.Gateway(kCutHost);
    const int before = std::atoi(gateway.Metric(kPassedOnMetric).c_str());
    const CallerAnswer plain = gateway.Call(Request("/plain/", "p"));
    CPPUNIT_ASSERT_EQUAL(200, plain.mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("plain"), plain.mBody);
    CPPUNIT_ASSERT(plain.mHead.Find("X-Server-Seal") != nullptr);
    const CallerAnswer unsafe = gateway.Call(Request("/unsafe/", "u"));
    CPPUNIT_ASSERT_EQUAL(200, unsafe.mHead.mStatus);
    const CallerAnswer stream = gateway.Call(Request("/stream/", "s"));
    CPPUNIT_ASSERT(stream.mComplete);
    CPPUNIT_ASSERT_EQUAL(GatewayTestCluster::StreamBody(), stream.mBody);
    CPPUNIT_ASSERT_EQUAL(before + 3,
                         std::atoi(gateway.Metric(kPassedOnMetric).c_str()));
    for (const CallerAnswer& it : { plain, unsafe, stream }) {
      CPPUNIT_ASSERT(!HasHostField(it.mHead));
    }
    for (const char* it : { "p", "u", "s" }) {
      CPPUNIT_ASSERT_EQUAL(1, RunsOf(cluster, it));
    }
    for (const RunnerRequest& it : cluster.Runs()) {
      CPPUNIT_ASSERT(!HasHostField(it.mHead));
      CPPUNIT_ASSERT(std::stoi(*it.mHead.Find("X-Deadline-Ms")) <= kDeadlineMs);
    }
  }

  // Guards against answers that are cut, or that fell a host, on their way over
  // two hosts.
  void LargeAnswersAreForwardedWhole()
  {
    GatewayTestCluster cluster(MakeOptions(3));
    CutOff(cluster, kCutHost);
    const CallerAnswer answer =
      cluster.Gateway(kCutHost).Call(Request("/plain/large", "l"));
    CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
    CPPUNIT_ASSERT(answer.mComplete);
    CPPUNIT_ASSERT(answer.mBody == GatewayTestCluster::LargeBody());
  }

  // Guards against requests that are lost, or run twice though they must not,
  // when the host that serves them dies.
  void RequestsSurviveTheDeathOfTheServingHost()
  {
    GatewayTestCluster cluster(MakeOptions(3));
    cluster.SetPace(milliseconds(50), milliseconds(50), milliseconds(1500));
    CutOff(cluster, kCutHost);
    for (const char* route : { "/plain/", "/stream/", "/unsafe/" }) {
      const std::string id = std::string("r") + route[1];
      PassedOnCalls calls(cluster);
      const std::size_t before = cluster.Runs().size();
      calls.Send(Request(route, id));
      const std::size_t host = calls.AwaitServingHost(before);
      std::this_thread::sleep_for(milliseconds(400));
      cluster.Gateway(host).Restart(SIGKILL);
      const CallerAnswer& answer = calls.Answer(0);
      if (route == std::string("/unsafe/")) {
        CPPUNIT_ASSERT_EQUAL(502, answer.mHead.mStatus);
        CPPUNIT_ASSERT_EQUAL(std::string("outcome_unknown"), RunOf(answer));
        CPPUNIT_ASSERT_EQUAL(1, RunsOf(cluster, id));
      } else {
        CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
        CPPUNIT_ASSERT(answer.mComplete);
        CPPUNIT_ASSERT_EQUAL(2, RunsOf(cluster, id));
      }
      if (route == std::string("/stream/")) {
        CPPUNIT_ASSERT_EQUAL(GatewayTestCluster::StreamBody(), answer.mBody);
      }
      cluster.AwaitReady();
    }
  }

  // Guards against a request that runs more often than its route allows because
  // the host that served it dies after several runs.
  void RunsAtAServingHostThatDiesCount()
  {
    constexpr int kMaxRuns = 2;
    GatewayTestCluster cluster(MakeOptions(3));
    TestConfiguration configuration;
    configuration.RouteOf("plain").mMaxAttempts = kMaxRuns;
    configuration.RouteOf("stream").mMaxAttempts = kMaxRuns;
    cluster.AwaitConfiguration(cluster.Write(configuration));
    cluster.SetPace(milliseconds(1500), milliseconds(50), milliseconds(1500));
    CutOff(cluster, kCutHost);
    for (const char* route : { "/plain/", "/stream/" }) {
      const std::string id = std::string("r") + route[1];
      PassedOnCalls calls(cluster);
      const std::size_t before = cluster.Runs().size();
      calls.Send(Request(route, id));
      const std::size_t host = calls.AwaitServingHost(before);
      const std::string first = cluster.Runs().back().mRunner;
      cluster.SetLinks(host, { first }, LinkState::Reset);
      CPPUNIT_ASSERT(WaitFor([&] { return RunsOf(cluster, id) == kMaxRuns; }));
      std::this_thread::sleep_for(milliseconds(100));
      cluster.Gateway(host).Restart(SIGKILL);
      const CallerAnswer& answer = calls.Answer(0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(route, kMaxRuns, RunsOf(cluster, id));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(route, 502, answer.mHead.mStatus);
      CPPUNIT_ASSERT_EQUAL(std::string("outcome_unknown"), RunOf(answer));
      cluster.SetLinks(host, { first }, LinkState::Up);
      cluster.AwaitReady();
    }
  }

  // Guards against a stream that runs more often than its route allows because
  // the host that served it dies after it has resumed the stream.
  void RunsOfABegunStreamAtAServingHostThatDiesCount()
  {
    constexpr int kMaxRuns = 2;
    GatewayTestCluster cluster(MakeOptions(3));
    TestConfiguration configuration;
    configuration.RouteOf("stream").mMaxAttempts = kMaxRuns;
    cluster.AwaitConfiguration(cluster.Write(configuration));
    cluster.SetPace(milliseconds(300), milliseconds(100), milliseconds(1500));
    CutOff(cluster, kCutHost);
    PassedOnCalls calls(cluster);
    const std::size_t before = cluster.Runs().size();
    calls.Send(Request("/stream/", "s"));
    const std::size_t host = calls.AwaitServingHost(before);
    const std::string first = cluster.Runs().back().mRunner;
    // The caller has some events by then.
    std::this_thread::sleep_for(milliseconds(600));
    cluster.SetLinks(host, { first }, LinkState::Reset);
    CPPUNIT_ASSERT(WaitFor([&] { return RunsOf(cluster, "s") == kMaxRuns; }));
    std::this_thread::sleep_for(milliseconds(100));
    cluster.Gateway(host).Restart(SIGKILL);
    const CallerAnswer& answer = calls.Answer(0);
    CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
    CPPUNIT_ASSERT(!answer.mBody.empty());
    CPPUNIT_ASSERT_EQUAL(kMaxRuns, RunsOf(cluster, "s"));
    CPPUNIT_ASSERT(!answer.mComplete);
  }

  // Guards against lines of hosts that reach a caller, also by way of an older
  // host, which does not ask for them.
  void CallersGetNothingButTheirStream()
  {
    GatewayTestCluster cluster(MakeOptions(3));
    TestConfiguration configuration;
    configuration.RouteOf("stream").mMaxAttempts = 6;
    cluster.AwaitConfiguration(cluster.Write(configuration));
    CutOff(cluster, kCutHost);
    cluster.SetAllModes(RunnerMode::TruncatedStream);
    const std::string whole = GatewayTestCluster::StreamBody();
    const CallerAnswer answer =
      cluster.Gateway(kCutHost).Call(Request("/stream/", "caller"));
    CPPUNIT_ASSERT(answer.mComplete);
    CPPUNIT_ASSERT_EQUAL(whole, answer.mBody);
    const int runs = RunsOf(cluster, "caller");
    CPPUNIT_ASSERT(runs > 1);
    CallerChannel channel =
      CallerChannel::AtPort(cluster.Gateway(1), cluster.RelayPort());
    channel.Send(Request("/stream/", "old", HostFields()));
    CPPUNIT_ASSERT_EQUAL(whole, channel.Read().mBody);
    channel.Send(Request(
      "/stream/", "new", HostFields() + "X-Passed-Run-Mark: 00c0ffee\r\n"));
    std::string marked = channel.Read().mBody;
    for (int n = 2; n <= runs; ++n) {
      const std::string line = FormatRunLine("00c0ffee", n);
      const auto at = marked.find(line);
      CPPUNIT_ASSERT_MESSAGE(line, at != std::string::npos);
      marked.erase(at, line.size());
    }
    CPPUNIT_ASSERT_EQUAL(whole, marked);
  }

  // Guards against requests that break off when the host that serves them is
  // stopped.
  void RequestsEndAtAServingHostThatStops()
  {
    GatewayTestCluster cluster(MakeOptions(3));
    cluster.SetPace(milliseconds(50), milliseconds(50), milliseconds(1500));
    CutOff(cluster, kCutHost);
    PassedOnCalls calls(cluster);
    const std::size_t before = cluster.Runs().size();
    calls.Send(Request("/unsafe/", "u"));
    calls.Send(Request("/stream/", "s"));
    calls.Send(Request("/plain/", "p"));
    const std::size_t host = calls.AwaitServingHost(before);
    cluster.Gateway(host).Signal(SIGTERM);
    for (std::size_t n = 0; n < 3; ++n) {
      const CallerAnswer& answer = calls.Answer(n);
      CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
      CPPUNIT_ASSERT(answer.mComplete);
    }
    CPPUNIT_ASSERT_EQUAL(1, RunsOf(cluster, "u"));
  }

  // Guards against requests that wait for a host that has been frozen and whose
  // connections live on.
  void RequestsLeaveAFrozenServingHost()
  {
    GatewayTestCluster cluster(MakeOptions(3));
    cluster.SetPace(milliseconds(50), milliseconds(50), milliseconds(1500));
    CutOff(cluster, kCutHost);
    for (const char* route : { "/plain/", "/stream/", "/unsafe/" }) {
      const std::string id = std::string("r") + route[1];
      PassedOnCalls calls(cluster);
      const std::size_t before = cluster.Runs().size();
      calls.Send(
        GatewayTestCluster::Request(route, id, std::string(), "body", 6000));
      const std::size_t host = calls.AwaitServingHost(before);
      std::this_thread::sleep_for(milliseconds(300));
      cluster.Gateway(host).Signal(SIGSTOP);
      const CallerAnswer& answer = calls.Answer(0);
      cluster.Gateway(host).Signal(SIGCONT);
      if (route == std::string("/unsafe/")) {
        // It may still answer, so it is waited for.
        CPPUNIT_ASSERT_EQUAL(504, answer.mHead.mStatus);
        CPPUNIT_ASSERT_EQUAL(std::string("outcome_unknown"), RunOf(answer));
        CPPUNIT_ASSERT_EQUAL(1, RunsOf(cluster, id));
      } else {
        CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
        CPPUNIT_ASSERT(answer.mComplete);
      }
      if (route == std::string("/stream/")) {
        CPPUNIT_ASSERT_EQUAL(GatewayTestCluster::StreamBody(), answer.mBody);
      }
      cluster.AwaitReady();
    }
  }

  // Requests were broken off or failed because the host that served them was
  // silent for a second while no other host could serve them.
  void RequestsStayAtASilentServingHostWhileThereIsNoOther()
  {
    for (const char* route : { "/plain/", "/stream/" }) {
      GatewayTestCluster cluster(MakeOptions(3));
      CutOff(cluster, kCutHost);
      CutOff(cluster, 1);
      cluster.SetPace(milliseconds(50), milliseconds(50), milliseconds(1500));
      const std::string id = std::string("r") + route[1];
      PassedOnCalls calls(cluster);
      const std::size_t before = cluster.Runs().size();
      calls.Send(Request(route, id));
      const std::size_t host = calls.AwaitServingHost(before);
      std::this_thread::sleep_for(milliseconds(300));
      cluster.Gateway(host).Signal(SIGSTOP);
      std::this_thread::sleep_for(milliseconds(2000));
      cluster.Gateway(host).Signal(SIGCONT);
      const CallerAnswer& answer = calls.Answer(0);
      CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
      CPPUNIT_ASSERT(answer.mComplete);
      if (route == std::string("/stream/")) {
        CPPUNIT_ASSERT_EQUAL(GatewayTestCluster::StreamBody(), answer.mBody);
      }
    }
  }

  // Guards against sound streams, all with one content, that are refused as
  // crashing when two of three serving hosts are cut off while they run.
  void StreamsAreServedWhoseServingHostsAreCutOffAsWell()
  {
    constexpr int kStreams = 6;
    GatewayTestCluster cluster(MakeOptions(4));
    CutOff(cluster, kCutHost);
    cluster.SetPace(milliseconds(20), milliseconds(50), milliseconds(0));
    const std::size_t before = cluster.Runs().size();
    std::vector<std::unique_ptr<CallerChannel>> channels;
    for (int n = 0; n < kStreams; ++n) {
      channels.push_back(
        std::make_unique<CallerChannel>(cluster.Gateway(kCutHost)));
      channels.back()->Send(GatewayTestCluster::Request(
        "/stream/", "s" + std::to_string(n), "", "body", 30000));
    }
    CPPUNIT_ASSERT(
      WaitFor([&] { return cluster.Runs().size() >= before + kStreams; }));
    for (const std::size_t host : { 1, 2 }) {
      cluster.SetLinks(host, cluster.RunnersOf(), LinkState::Reset);
    }
    for (const auto& it : channels) {
      const CallerAnswer answer = it->Read(kInterruptedTime);
      CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
      CPPUNIT_ASSERT(answer.mComplete);
    }
  }

  // Guards against runners that work for a caller that has left the host which
  // passed its request on.
  void WorkEndsWhenTheCallerLeaves()
  {
    GatewayTestCluster cluster(MakeOptions(3));
    cluster.SetPace(milliseconds(20), milliseconds(100), milliseconds(0));
    CutOff(cluster, kCutHost);
    cluster.Gateway(kCutHost).CallAndDisconnect(Request("/stream/", "s"));
    const auto leftAt = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(WaitFor([&] {
      const auto abandoned = cluster.AbandonedRequests();
      return std::find(abandoned.begin(), abandoned.end(), "s") !=
             abandoned.end();
    }));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - leftAt < kLeaveTime);
  }

  // Guards against a request that is handled by an older configuration than the
  // one of the host that it came to.
  void HostsDoNotServeByAnOlderConfiguration()
  {
    GatewayTestCluster cluster(MakeOptions(3));
    CallerChannel channel =
      CallerChannel::AtPort(cluster.Gateway(1), cluster.RelayPort());
    channel.Send(Request("/plain/", "a", HostFields("1000000")));
    const CallerAnswer answer = channel.Read();
    CPPUNIT_ASSERT_EQUAL(503, answer.mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), RunOf(answer));
    CPPUNIT_ASSERT_EQUAL(std::string("host"),
                         *answer.mHead.Find("X-Passed-Refused-By"));
    channel.Send(Request("/plain/", "b", HostFields()));
    CPPUNIT_ASSERT_EQUAL(200, channel.Read().mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(0, RunsOf(cluster, "a"));
  }

  // Guards against requests that wander among hosts which are all cut off.
  void RequestsAreNotPassedOnTwice()
  {
    GatewayTestCluster cluster(MakeOptions(3));
    CutOff(cluster, 0);
    CutOff(cluster, 1);
    const int before = ServedBy(cluster, 2);
    CallerChannel channel =
      CallerChannel::AtPort(cluster.Gateway(1), cluster.RelayPort());
    channel.Send(Request("/plain/", "a", HostFields()));
    const CallerAnswer answer = channel.Read();
    CPPUNIT_ASSERT_EQUAL(503, answer.mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), RunOf(answer));
    CPPUNIT_ASSERT_EQUAL(before, ServedBy(cluster, 2));
    CPPUNIT_ASSERT_EQUAL(0, RunsOf(cluster, "a"));
  }

  // Guards against a request that runs as often at the serving host as if it
  // had not run at the passing one.
  void RunsAreCountedOverBothHosts()
  {
    GatewayTestCluster cluster(MakeOptions(1));
    CallerChannel channel =
      CallerChannel::AtPort(cluster.Gateway(), cluster.RelayPort());
    for (const std::string name : { "plain", "stream" }) {
      const int maxRuns = TestConfiguration().RouteOf(name).mMaxAttempts;
      const std::string route = "/" + name + "/";
      const std::string last = "last-" + name;
      const std::string none = "none-" + name;
      cluster.SetAllModes(RunnerMode::ResetImmediately);
      channel.Send(
        Request(route, last, HostFields("1", std::to_string(maxRuns - 1))));
      const CallerAnswer failed = channel.Read();
      CPPUNIT_ASSERT(failed.mHead.mStatus >= 500);
      CPPUNIT_ASSERT(RunOf(failed) != "not_run");
      CPPUNIT_ASSERT_EQUAL(1, RunsOf(cluster, last));
      cluster.SetAllModes(RunnerMode::Serve);
      channel.Send(
        Request(route, none, HostFields("1", std::to_string(maxRuns))));
      const CallerAnswer refused = channel.Read();
      CPPUNIT_ASSERT_EQUAL(503, refused.mHead.mStatus);
      CPPUNIT_ASSERT_EQUAL(std::string("not_run"), RunOf(refused));
      CPPUNIT_ASSERT_EQUAL(0, RunsOf(cluster, none));
    }
  }

  // Guards against callers that pose as hosts.
  void FieldsOfHostsAreIgnoredFromCallers()
  {
    GatewayTestCluster cluster(MakeOptions(1));
    const CallerAnswer answer =
      cluster.Call(Request("/plain/", "a", HostFields("1000000", "100")));
    CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(1, RunsOf(cluster, "a"));
    for (const RunnerRequest& it : cluster.Runs()) {
      CPPUNIT_ASSERT(!HasHostField(it.mHead));
    }
  }

  // Guards against callers' requests at the address for other hosts.
  void OnlyPassedOnRequestsAreServedToHosts()
  {
    GatewayTestCluster cluster(MakeOptions(1));
    CallerChannel channel =
      CallerChannel::AtPort(cluster.Gateway(), cluster.RelayPort());
    channel.Send(Request("/plain/", "a"));
    CPPUNIT_ASSERT_EQUAL(400, channel.Read().mHead.mStatus);
    channel.Send("GET /host-check HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(200, channel.Read().mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(0, RunsOf(cluster, "a"));
  }

  // Guards against callers who are told that their request is invalid because
  // two builds of hosts do not understand each other.
  void UnreadableRequestsOfHostsCanGoToAnotherHost()
  {
    GatewayTestCluster cluster(MakeOptions(1));
    CallerChannel channel =
      CallerChannel::AtPort(cluster.Gateway(), cluster.RelayPort());
    int n = 0;
    for (const std::string& it : { HostFields("later"),
                                   HostFields("1", "-1"),
                                   HostFields("1", "1000000001"),
                                   std::string("X-Passed-From: other\r\n"),
                                   std::string("x-passed-later: 1\r\n") }) {
      for (const char* route : { "/plain/", "/unsafe/", "/stream/" }) {
        const std::string id = "a" + std::to_string(++n);
        channel.Send(Request(route, id, it));
        const CallerAnswer answer = channel.Read();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it, 503, answer.mHead.mStatus);
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), RunOf(answer));
        const PassedOnAnswer read = ParsePassedOnAnswer(answer.mHead);
        CPPUNIT_ASSERT(read.mOwnFailure && read.mNotRun);
        CPPUNIT_ASSERT(read.mRefusedBy == RefusedBy::Host);
        CPPUNIT_ASSERT_EQUAL(0, RunsOf(cluster, id));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PassedOnRequestTests);
