#include "GatewayTestCluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <string>
#include <vector>

using std::chrono::milliseconds;

namespace {

// Plain requests that one silent runner holds at the same time.
constexpr int kSimultaneousRequests = 24;

// Requests that have connections made while a runner is silent.
constexpr int kOtherRequests = 60;
constexpr auto kOtherInterval = milliseconds(40);

} // namespace

class SilentRunnerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SilentRunnerTests);
  CPPUNIT_TEST(RequestsThatWaitTogetherAreAllRetried);
  CPPUNIT_TEST(StreamsStayAtAFullTargetThatPauses);
  CPPUNIT_TEST(StreamsGoOnAtASilentTargetWhenTheOtherTurnsThemAway);
  CPPUNIT_TEST(PlainCallsGetALateAnswerWhenTheOtherTargetFails);
  CPPUNIT_TEST(StreamsDoNotMoveToATargetThatOnlyAcceptsConnections);
  CPPUNIT_TEST_SUITE_END();

public:
  // Requests whose target was silent failed at their latency objective instead
  // of being retried, if others were due a few milliseconds earlier.
  void RequestsThatWaitTogetherAreAllRetried()
  {
    GatewayTestCluster cluster(2);
    cluster.SetMode("i-0", RunnerMode::NeverAnswer);
    std::vector<std::unique_ptr<BackgroundCall>> calls;
    for (int n = 0; n < kSimultaneousRequests; ++n) {
      calls.push_back(std::make_unique<BackgroundCall>(
        cluster.Gateway(),
        GatewayTestCluster::Request("/quick/", "r" + std::to_string(n))));
    }
    for (const auto& it : calls) {
      const CallerAnswer& answer = it->AwaitAnswer();
      CPPUNIT_ASSERT(answer.mComplete);
      CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
    }
  }

  // Streams without attempts left were broken off when their target, which had
  // no room for the connection of a probe, paused.
  void StreamsStayAtAFullTargetThatPauses()
  {
    GatewayTestCluster cluster(2);
    TestConfiguration configuration;
    configuration.RouteOf("stream").mMaxAttempts = 1;
    cluster.AwaitConfiguration(cluster.Write(configuration));
    cluster.SetAllModes(RunnerMode::PausedStream);
    const CallerAnswer answer =
      cluster.Call(GatewayTestCluster::Request("/stream/", "s"));
    CPPUNIT_ASSERT(answer.mComplete);
    CPPUNIT_ASSERT_EQUAL(GatewayTestCluster::StreamBody(), answer.mBody);
  }

  // Streams were broken off because they left a silent, sound target for one
  // that turned them away.
  void StreamsGoOnAtASilentTargetWhenTheOtherTurnsThemAway()
  {
    for (const RunnerMode mode : kTurnsAway) {
      GatewayTestCluster cluster(2);
      cluster.SetPace(milliseconds(50), milliseconds(20), milliseconds(10));
      BackgroundCall call(cluster.Gateway(),
                          GatewayTestCluster::Request("/stream/", "s"));
      SilenceFirst(cluster, mode, milliseconds(200));
      const CallerAnswer& answer = call.AwaitAnswer();
      CPPUNIT_ASSERT(answer.mComplete);
      CPPUNIT_ASSERT_EQUAL(GatewayTestCluster::StreamBody(), answer.mBody);
    }
  }

  // Calls failed because they left a silent, sound target for one that failed
  // them.
  void PlainCallsGetALateAnswerWhenTheOtherTargetFails()
  {
    for (const RunnerMode mode : kTurnsAway) {
      GatewayTestCluster cluster(2);
      cluster.SetPace(milliseconds(50), milliseconds(20), milliseconds(200));
      BackgroundCall call(cluster.Gateway(),
                          GatewayTestCluster::Request("/quick/", "q"));
      SilenceFirst(cluster, mode, milliseconds(0));
      const CallerAnswer& answer = call.AwaitAnswer();
      CPPUNIT_ASSERT(answer.mComplete);
      CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
    }
  }

  // Streams were broken off because they left a silent, sound target for a
  // hanging one whose new connections were taken for an answer.
  void StreamsDoNotMoveToATargetThatOnlyAcceptsConnections()
  {
    GatewayTestCluster cluster(2);
    TestConfiguration configuration;
    configuration.RouteOf("stream").mMaxAttempts = 2;
    cluster.AwaitConfiguration(cluster.Write(configuration));
    cluster.SetPace(milliseconds(50), milliseconds(20), milliseconds(10));
    BackgroundCall call(cluster.Gateway(),
                        GatewayTestCluster::Request(
                          "/stream/", "s", std::string(), "body", 8000));
    SilenceFirst(
      cluster, RunnerMode::Frozen, milliseconds(200), milliseconds(2500));
    std::vector<std::unique_ptr<BackgroundCall>> others;
    for (int n = 0; n < kOtherRequests; ++n) {
      others.push_back(std::make_unique<BackgroundCall>(
        cluster.Gateway(),
        GatewayTestCluster::Request("/unsafe/", "u" + std::to_string(n))));
      std::this_thread::sleep_for(kOtherInterval);
    }
    const CallerAnswer& answer = call.AwaitAnswer();
    CPPUNIT_ASSERT(answer.mComplete);
    CPPUNIT_ASSERT_EQUAL(GatewayTestCluster::StreamBody(), answer.mBody);
  }

private:
  // Ways in which a target turns a request away, or does not answer it.
  static constexpr RunnerMode kTurnsAway[] = { RunnerMode::Reject,
                                               RunnerMode::ResetImmediately,
                                               RunnerMode::Frozen,
                                               RunnerMode::Fail };

  // Waits for the first run, and lets its runner be silent for a second after a
  // while; the other runner gets a mode.
  static void SilenceFirst(GatewayTestCluster& aCluster,
                           RunnerMode aOther,
                           milliseconds aAfter,
                           milliseconds aSilence = milliseconds(1000))
  {
    std::vector<RunnerRequest> runs;
    while ((runs = aCluster.Runs()).empty()) {
      std::this_thread::sleep_for(milliseconds(2));
    }
    const std::string& first = runs.front().mRunner;
    aCluster.SetMode(first == "i-0" ? "i-1" : "i-0", aOther);
    std::this_thread::sleep_for(aAfter);
    aCluster.Stall(first, aSilence);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentRunnerTests);
