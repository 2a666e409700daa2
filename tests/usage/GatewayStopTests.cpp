#include "CallerChannel.h"
#include "GatewayTestCluster.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace quetzalquay;

// Callers' connections to a gateway process that is stopped: every request that
// was received gets a complete answer.
class GatewayStopTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayStopTests);
  CPPUNIT_TEST(ReceivedRequestsAreAnsweredAtAStop);
  CPPUNIT_TEST(PipelinedRequestsAreAnsweredAtAStop);
  CPPUNIT_TEST(OpenRequestsFailWithAnAnswerAtTheEndOfAStop);
  CPPUNIT_TEST(AnswersAreWrittenWholeBeforeAStopEnds);
  CPPUNIT_TEST(RequestsThatArriveSlowlyAreAnsweredAtAStop);
  CPPUNIT_TEST(ConnectionsNotYetAcceptedAreAnsweredAtAStop);
  CPPUNIT_TEST(AStopEndsThoughNobodyReadsTheLog);
  CPPUNIT_TEST(AStopIsHeardThoughSignalsWereBlocked);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a host that is killed at the end of its grace period as its
  // last log lines are not taken.
  void AStopEndsThoughNobodyReadsTheLog()
  {
    GatewayTestCluster::Options options;
    options.mSettings.mUnreadLog = true;
    GatewayTestCluster cluster(options);
    CPPUNIT_ASSERT_EQUAL(
      200,
      cluster.Call(GatewayTestCluster::Request("/plain/", "a")).mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(0, cluster.Gateway().Stop());
  }

  // Guards against a host that never hears of a stop, and is killed with its
  // requests, as whoever started it had blocked the signal.
  void AStopIsHeardThoughSignalsWereBlocked()
  {
    GatewayTestCluster::Options options;
    options.mSettings.mBlocksSignals = true;
    GatewayTestCluster cluster(options);
    CPPUNIT_ASSERT_EQUAL(0, cluster.Gateway().Stop());
  }

  // Guards against closing a connection with a request in it when a stopping
  // host accepts no more requests.
  void ReceivedRequestsAreAnsweredAtAStop()
  {
    GatewayTestCluster cluster;
    const auto statuses =
      CallDuringFreeze(cluster.Gateway(),
                       GatewayTestCluster::Request("/none/", "a"),
                       0,
                       SIGTERM);
    CPPUNIT_ASSERT_EQUAL(kFrozenCalls, statuses.size());
    for (const int it : statuses) {
      CPPUNIT_ASSERT(it == 404 || it == 503);
    }
  }

  // Guards against a request that was read and is dropped because the answer
  // before it is the first one of a stopping host.
  void PipelinedRequestsAreAnsweredAtAStop()
  {
    GatewayTestCluster cluster;
    cluster.SetAllModes(RunnerMode::SlowAnswer);
    CallerChannel channel(cluster.Gateway());
    channel.Send(GatewayTestCluster::Request("/plain/", "a") +
                 GatewayTestCluster::Request("/unsafe/", "b"));
    while (cluster.Runs().empty()) {
      ::usleep(1000);
    }
    cluster.Gateway().Signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(200, channel.Read().mHead.mStatus);
    const CallerAnswer second = channel.Read();
    CPPUNIT_ASSERT_EQUAL(200, second.mHead.mStatus);
    CPPUNIT_ASSERT(!second.mConnectionKept);
  }

  // Guards against requests that are cut without an answer, running or
  // waiting, when the grace period of a stop ends.
  void OpenRequestsFailWithAnAnswerAtTheEndOfAStop()
  {
    GatewayTestCluster::Options options;
    options.mRunners = 1;
    options.mSettings.mStopGraceS = 3;
    GatewayTestCluster cluster(options);
    cluster.SetAllModes(RunnerMode::NeverAnswer);
    std::vector<std::unique_ptr<CallerChannel>> channels;
    for (const char* route : { "/plain/", "/unsafe/", "/stream/" }) {
      // More than the runner takes at once.
      for (int n = 0; n < 30; ++n) {
        channels.push_back(std::make_unique<CallerChannel>(cluster.Gateway()));
        channels.back()->Send(
          GatewayTestCluster::Request(route, route + std::to_string(n)));
      }
    }
    while (cluster.Runs().size() < 3) {
      ::usleep(1000);
    }
    cluster.Gateway().Signal(SIGTERM);
    int runs = 0;
    for (const auto& it : channels) {
      const CallerAnswer answer = it->Read();
      CPPUNIT_ASSERT(answer.mComplete);
      const std::string* run = answer.mHead.Find("X-Request-Run");
      CPPUNIT_ASSERT(run != nullptr);
      CPPUNIT_ASSERT((answer.mHead.mStatus == 503) == (*run == "not_run"));
      runs += *run == "outcome_unknown" ? 1 : 0;
    }
    CPPUNIT_ASSERT(runs > 0);
    CPPUNIT_ASSERT_EQUAL(0, cluster.Gateway().AwaitExit());
  }

  // Guards against answers whose callers have not read them yet when a stopping
  // host has no more open requests.
  void AnswersAreWrittenWholeBeforeAStopEnds()
  {
    GatewayTestCluster cluster;
    cluster.SetAllModes(RunnerMode::LargeAnswer);
    cluster.SetLargeAnswer(kSlowAnswerBytes);
    CallerChannel kept(cluster.Gateway(), 65536);
    kept.ReadSlowly(kSlowAnswerBytes * 2 / 7);
    CallerChannel closing(cluster.Gateway(), 65536);
    closing.ReadSlowly(kSlowAnswerBytes * 2 / 7);
    kept.Send(GatewayTestCluster::Request("/plain/", "a"));
    closing.Send(
      GatewayTestCluster::Request("/plain/", "b", "Connection: close\r\n"));
    while (cluster.Gateway().Metrics().find("status=\"200\"} 2") ==
           std::string::npos) {
      ::usleep(1000);
    }
    cluster.Gateway().Signal(SIGTERM);
    CallerAnswer first;
    std::thread reader([&] { first = kept.Read(); });
    const CallerAnswer second = closing.Read();
    reader.join();
    CPPUNIT_ASSERT(first.mComplete);
    CPPUNIT_ASSERT(second.mComplete);
  }

  // Guards against a request that is cut off at a stop before it has arrived
  // whole.
  void RequestsThatArriveSlowlyAreAnsweredAtAStop()
  {
    GatewayTestCluster cluster;
    const std::string request = GatewayTestCluster::Request("/plain/", "a");
    CallerChannel channel(cluster.Gateway());
    channel.Send(request.substr(0, request.size() - 1));
    ::usleep(100000);
    cluster.Gateway().Signal(SIGTERM);
    ::usleep(3000000);
    channel.Send(request.substr(request.size() - 1));
    const CallerAnswer answer = channel.Read();
    CPPUNIT_ASSERT_EQUAL(503, answer.mHead.mStatus);
    CPPUNIT_ASSERT(answer.mComplete);
  }

  // Guards against resetting connections that the system has established, with
  // a request in them, when a stopping host exits.
  void ConnectionsNotYetAcceptedAreAnsweredAtAStop()
  {
    GatewayTestCluster cluster;
    cluster.Gateway().Signal(SIGTERM);
    ::usleep(100000);
    cluster.Gateway().Signal(SIGSTOP);
    // Accepted first; it sends nothing.
    const CallerChannel silent(cluster.Gateway());
    std::vector<std::unique_ptr<CallerChannel>> channels;
    while (channels.size() < 100) {
      channels.push_back(std::make_unique<CallerChannel>(cluster.Gateway()));
      channels.back()->Send(GatewayTestCluster::Request("/none/", "a"));
    }
    ::usleep(2700000);
    cluster.Gateway().Signal(SIGCONT);
    for (const auto& it : channels) {
      const int status = it->Read().mHead.mStatus;
      CPPUNIT_ASSERT(status == 404 || status == 503);
    }
  }

private:
  // Size of an answer that takes a slow reader 3.5 s.
  static constexpr std::size_t kSlowAnswerBytes = 24U << 20U;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStopTests);
