#include "CallerChannel.h"
#include "GatewayTestCluster.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// A connection that has been used for a request, and that its caller may use
// again.
std::unique_ptr<CallerChannel>
OpenServed(const GatewayProcess& aGateway)
{
  auto channel = std::make_unique<CallerChannel>(aGateway);
  channel->Send(GatewayTestCluster::Request("/plain/", "served"));
  CPPUNIT_ASSERT(channel->Read().mComplete);
  return channel;
}

// A connection on which a request is handled for longer than a test takes. The
// paces of the runners must allow it.
std::unique_ptr<CallerChannel>
OpenBusy(const GatewayProcess& aGateway)
{
  auto channel = std::make_unique<CallerChannel>(aGateway);
  channel->Send(
    GatewayTestCluster::Request("/stream/", "busy", "", "body", 60000));
  return channel;
}

constexpr milliseconds kBusyTime(30000);

// Idle connections that a workspace keeps while others need room, with the
// limits of the tests: up to half of all.
constexpr std::size_t kKeptIdle = 110;

// Opens the next one of many connections, none of which gives way to others.
std::unique_ptr<CallerChannel>
OpenKept(const GatewayProcess& aGateway, std::size_t aNumber)
{
  return aNumber < kKeptIdle ? OpenServed(aGateway) : OpenBusy(aGateway);
}

} // namespace

// Callers' connections to one gateway process: what becomes of a request or an
// answer when its connection ends.
class CallerConnectionTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerConnectionTests);
  CPPUNIT_TEST(RequestBytesLostWithTheirConnectionAreCounted);
  CPPUNIT_TEST(ConnectionsTurnedAwayAreCounted);
  CPPUNIT_TEST(OpenConnectionsTakeLargerRequestsAfterAChange);
  CPPUNIT_TEST(OpenConnectionsStayIdleForLongerAfterAChange);
  CPPUNIT_TEST(RequestsAreServedWhileTheIdleTimeIsShortened);
  CPPUNIT_TEST(ConnectionsCloseAfterAShorterIdleTime);
  CPPUNIT_TEST(LimitsAreUnknownBeforeTheFirstConfiguration);
  CPPUNIT_TEST(ReceivedRequestsAreServedAfterTheIdleTime);
  CPPUNIT_TEST(ReceivedHeadsAreServedAfterTheHeadTimeout);
  CPPUNIT_TEST(LastAnswersAreCompleteWhenMoreBytesFollowTheirRequest);
  CPPUNIT_TEST(TargetsAreReachedWhileManyCallersAreConnected);
  CPPUNIT_TEST(ConnectionsTurnedAwayGetAnAnswer);
  CPPUNIT_TEST(TargetsAreNotBlamedForMissingDescriptors);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a connection that loses bytes of a request without a trace.
  void RequestBytesLostWithTheirConnectionAreCounted()
  {
    GatewayTestCluster cluster;
    CallerChannel channel(cluster.Gateway());
    channel.Send(
      GatewayTestCluster::Request("/plain/", "a", "Connection: close\r\n") +
      GatewayTestCluster::Request("/plain/", "b"));
    CPPUNIT_ASSERT(channel.Read().mComplete);
    CPPUNIT_ASSERT_EQUAL(
      std::string("1"),
      cluster.Gateway().Metric("quetzal_connections_cut_total"));
  }

  // Guards against connections that are turned away without a trace.
  void ConnectionsTurnedAwayAreCounted()
  {
    GatewayTestCluster::Options options;
    options.mSettings.mMaxConnections = 600;
    GatewayTestCluster cluster(options);
    cluster.SetPace(kBusyTime, milliseconds(5), milliseconds(0));
    std::vector<std::unique_ptr<CallerChannel>> channels;
    while (cluster.Gateway().Metric("quetzal_connections_turned_away_total") ==
             "0" &&
           channels.size() < 600) {
      channels.push_back(OpenKept(cluster.Gateway(), channels.size()));
    }
    CPPUNIT_ASSERT(channels.size() > 200);
    CPPUNIT_ASSERT(channels.size() < 600);
  }

  // Guards against 413 and 431 by limits that no configuration in force has.
  void OpenConnectionsTakeLargerRequestsAfterAChange()
  {
    GatewayTestCluster cluster;
    CallerChannel used(cluster.Gateway());
    CallerChannel unused(cluster.Gateway());
    used.Send(GatewayTestCluster::Request("/plain/", "a"));
    CPPUNIT_ASSERT_EQUAL(200, used.Read().mHead.mStatus);
    TestLimits limits;
    limits.mBodyBytes = 300000;
    limits.mHeadBytes = 40000;
    cluster.SetCallerLimits(limits);
    cluster.Configure("key");
    for (CallerChannel* it : { &used, &unused }) {
      it->Send(GatewayTestCluster::Request(
        "/plain/", "b", "", std::string(200000, 'x')));
      CPPUNIT_ASSERT_EQUAL(200, it->Read().mHead.mStatus);
    }
    CallerChannel other(cluster.Gateway());
    other.Send(GatewayTestCluster::Request("/plain/", "a"));
    CPPUNIT_ASSERT_EQUAL(200, other.Read().mHead.mStatus);
    limits.mHeadBytes = 60000;
    cluster.SetCallerLimits(limits);
    cluster.Configure("key");
    other.Send(GatewayTestCluster::Request(
      "/plain/", "c", "X-Long: " + std::string(50000, 'x') + "\r\n"));
    CPPUNIT_ASSERT_EQUAL(200, other.Read().mHead.mStatus);
  }

  // Guards against idle connections that are closed by the idle time of an
  // older configuration.
  void OpenConnectionsStayIdleForLongerAfterAChange()
  {
    GatewayTestCluster cluster;
    TestLimits limits;
    limits.mIdleTimeoutMs = 1500;
    cluster.SetCallerLimits(limits);
    cluster.Configure("key");
    CallerChannel channel(cluster.Gateway());
    channel.Send(GatewayTestCluster::Request("/plain/", "a"));
    CPPUNIT_ASSERT_EQUAL(200, channel.Read().mHead.mStatus);
    limits.mIdleTimeoutMs = 15000;
    cluster.SetCallerLimits(limits);
    cluster.Configure("key");
    CPPUNIT_ASSERT(channel.AwaitEnd(milliseconds(2500)) == ChannelEnd::None);
    channel.Send(GatewayTestCluster::Request("/plain/", "b"));
    CPPUNIT_ASSERT_EQUAL(200, channel.Read().mHead.mStatus);
  }

  // Guards against a connection that closes under the request of a caller that
  // cannot know yet of a shorter idle time: the request gets neither an answer
  // nor a refusal.
  void RequestsAreServedWhileTheIdleTimeIsShortened()
  {
    GatewayTestCluster cluster;
    TestLimits limits;
    limits.mIdleTimeoutMs = 1000;
    cluster.SetCallerLimits(limits);
    cluster.Configure("key");
    CallerChannel channel(cluster.Gateway());
    channel.Send(GatewayTestCluster::Request("/plain/", "a"));
    CPPUNIT_ASSERT_EQUAL(200, channel.Read().mHead.mStatus);
    std::this_thread::sleep_for(milliseconds(1200));
    channel.Send(GatewayTestCluster::Request("/plain/", "b"));
    CPPUNIT_ASSERT_EQUAL(200, channel.Read().mHead.mStatus);
  }

  // Guards against a shorter idle time that never comes into force, also when
  // further changes follow at once.
  void ConnectionsCloseAfterAShorterIdleTime()
  {
    GatewayTestCluster cluster;
    TestLimits limits;
    limits.mIdleTimeoutMs = 1000;
    cluster.SetCallerLimits(limits);
    for (int n = 0; n < 10; ++n) {
      cluster.Configure("key");
      std::this_thread::sleep_for(milliseconds(250));
    }
    CallerChannel channel(cluster.Gateway());
    channel.Send(GatewayTestCluster::Request("/plain/", "a"));
    CPPUNIT_ASSERT_EQUAL(200, channel.Read().mHead.mStatus);
    CPPUNIT_ASSERT(channel.AwaitEnd(milliseconds(1500)) == ChannelEnd::Closed);
  }

  // Guards against 413 and 431 by a host that knows no limits yet.
  void LimitsAreUnknownBeforeTheFirstConfiguration()
  {
    GatewayTestCluster cluster;
    cluster.SetStoreDown(true);
    cluster.Gateway().Restart();
    while (cluster.Gateway().Readiness() != 503) {
      ::usleep(10000);
    }
    const std::string large = "POST /plain/ HTTP/1.1\r\nHost: host\r\n"
                              "Content-Length: 9000000\r\n\r\n";
    const std::string longHead = "X-Long: " + std::string(20000, 'x') + "\r\n";
    for (const std::string& it :
         { large, GatewayTestCluster::Request("/plain/", "a", longHead) }) {
      CallerChannel channel(cluster.Gateway());
      channel.Send(it);
      const CallerAnswer answer = channel.Read();
      CPPUNIT_ASSERT_EQUAL(503, answer.mHead.mStatus);
      CPPUNIT_ASSERT(answer.mHead.Find("Retry-After") != nullptr);
    }
  }

  // Guards against closing an idle connection with a request in it that the
  // process, which did not run meanwhile, has not read.
  void ReceivedRequestsAreServedAfterTheIdleTime()
  {
    CPPUNIT_ASSERT_EQUAL(kFrozenCalls, CountServedAfterFreeze(0));
  }

  // Guards against 408 for a head that was received whole before its timeout.
  void ReceivedHeadsAreServedAfterTheHeadTimeout()
  {
    CPPUNIT_ASSERT_EQUAL(kFrozenCalls, CountServedAfterFreeze(20));
  }

  // Guards against a last answer that is cut off because the caller has sent
  // bytes that the gateway does not read.
  void LastAnswersAreCompleteWhenMoreBytesFollowTheirRequest()
  {
    GatewayTestCluster cluster;
    cluster.SetAllModes(RunnerMode::LargeAnswer);
    CallerChannel channel(cluster.Gateway(), 8192);
    channel.Send(
      GatewayTestCluster::Request("/plain/", "a", "Connection: close\r\n") +
      std::string(250000, 'x'));
    // The answer fills what the gateway's system sends ahead.
    ::usleep(300000);
    const CallerAnswer answer = channel.Read();
    CPPUNIT_ASSERT(answer.mComplete);
    CPPUNIT_ASSERT_EQUAL(GatewayTestCluster::kLargeAnswerBytes,
                         answer.mBody.size());
    CPPUNIT_ASSERT(channel.AwaitEnd() == ChannelEnd::Closed);
  }

  // Guards against callers that take all descriptors, so that no target can be
  // reached.
  void TargetsAreReachedWhileManyCallersAreConnected()
  {
    GatewayTestCluster::Options options;
    options.mSettings.mMaxConnections = 600;
    // As on the platform, 200 are kept for files.
    options.mSettings.mDescriptors = 400;
    GatewayTestCluster cluster(options);
    std::vector<std::unique_ptr<CallerChannel>> channels;
    while (channels.size() < kBusyChannels) {
      channels.push_back(OpenServed(cluster.Gateway()));
    }
    while (channels.size() < 450) {
      channels.push_back(std::make_unique<CallerChannel>(cluster.Gateway()));
    }
    cluster.SetAllModes(RunnerMode::SlowAnswer);
    // Until the gateway has accepted all that it does accept.
    ::usleep(300000);
    for (std::size_t n = 0; n < kBusyChannels; ++n) {
      channels[n]->Send(
        GatewayTestCluster::Request("/plain/", std::to_string(n)));
    }
    for (std::size_t n = 0; n < kBusyChannels; ++n) {
      CPPUNIT_ASSERT_EQUAL(200, channels[n]->Read().mHead.mStatus);
    }
  }

  // Guards against connections over the limit that end without an answer.
  void ConnectionsTurnedAwayGetAnAnswer()
  {
    GatewayTestCluster::Options options;
    options.mSettings.mMaxConnections = 600;
    GatewayTestCluster cluster(options);
    cluster.SetPace(kBusyTime, milliseconds(5), milliseconds(0));
    std::vector<std::unique_ptr<CallerChannel>> channels;
    while (channels.size() < 230) {
      channels.push_back(OpenKept(cluster.Gateway(), channels.size()));
    }
    const std::vector<std::string> requests = {
      GatewayTestCluster::Request("/unsafe/", "whole"),
      // Its body is not read before the answer.
      GatewayTestCluster::Request(
        "/unsafe/", "large", "", std::string(90000, 'x'))
    };
    for (const std::string& it : requests) {
      CallerChannel channel(cluster.Gateway());
      channel.Send(it);
      const CallerAnswer answer = channel.Read();
      CPPUNIT_ASSERT(answer.mComplete);
      CPPUNIT_ASSERT_EQUAL(503, answer.mHead.mStatus);
      CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                           *answer.mHead.Find("X-Request-Run"));
      CPPUNIT_ASSERT(answer.mHead.Find("Retry-After") != nullptr);
      CPPUNIT_ASSERT(!answer.mConnectionKept);
      CPPUNIT_ASSERT(channel.AwaitEnd() == ChannelEnd::Closed);
    }
    for (const RunnerRequest& it : cluster.Runs()) {
      const std::string& id = *it.mHead.Find("X-Request-Id");
      CPPUNIT_ASSERT(id != "whole" && id != "large");
    }
    // A connection that is turned away does not wait for its caller.
    CallerChannel silent(cluster.Gateway());
    CPPUNIT_ASSERT(silent.AwaitEnd() == ChannelEnd::Closed);
  }

  // Guards against targets that are marked as unresponsive because the gateway
  // has no descriptor for a connection to them.
  void TargetsAreNotBlamedForMissingDescriptors()
  {
    GatewayTestCluster::Options options;
    // Fewer than the settings promise.
    options.mSettings.mDescriptors = 150;
    GatewayTestCluster cluster(options);
    CallerChannel first(cluster.Gateway());
    std::vector<std::unique_ptr<CallerChannel>> others;
    while (others.size() < 200) {
      others.push_back(std::make_unique<CallerChannel>(cluster.Gateway()));
    }
    // Until the gateway has accepted all that it can.
    ::usleep(300000);
    first.Send(GatewayTestCluster::Request("/unsafe/", "a"));
    CPPUNIT_ASSERT_EQUAL(503, first.Read().mHead.mStatus);
    others.clear();
    ::usleep(300000);
    first.Send(GatewayTestCluster::Request("/unsafe/", "b"));
    CPPUNIT_ASSERT_EQUAL(200, first.Read().mHead.mStatus);
  }

private:
  // Requests that run at the same time while many callers are connected.
  static constexpr std::size_t kBusyChannels = 20;

  // Sends many requests, which the gateway answers by itself, while it is
  // frozen for longer than its idle and head timeouts. Returns how many were
  // served.
  static std::size_t CountServedAfterFreeze(std::size_t aBytesBefore)
  {
    GatewayTestCluster cluster;
    TestLimits limits;
    limits.mHeadTimeoutMs = 2000;
    limits.mIdleTimeoutMs = 2000;
    cluster.SetCallerLimits(limits);
    cluster.Configure("key");
    // Until then, connections keep the longer idle time of the configuration
    // before.
    std::this_thread::sleep_for(milliseconds(2100));
    const auto statuses =
      CallDuringFreeze(cluster.Gateway(),
                       GatewayTestCluster::Request("/none/", "a"),
                       aBytesBefore);
    // A host that has stood still may have missed the change that adds a route.
    return static_cast<std::size_t>(
      std::count(statuses.begin(), statuses.end(), 404) +
      std::count(statuses.begin(), statuses.end(), 503));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerConnectionTests);
