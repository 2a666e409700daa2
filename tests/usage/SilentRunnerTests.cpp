#include "GatewayTestCluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <string>
#include <vector>

namespace {

// Plain requests that one silent runner holds at the same time.
constexpr int kSimultaneousRequests = 24;

} // namespace

class SilentRunnerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SilentRunnerTests);
  CPPUNIT_TEST(RequestsThatWaitTogetherAreAllRetried);
  CPPUNIT_TEST(StreamsStayAtAFullTargetThatPauses);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentRunnerTests);
