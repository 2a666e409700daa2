#include "GatewayTestCluster.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace {

constexpr int kRunners = 4;

// Whole streams of a service after which a host knows how its targets number
// events.
constexpr int kWholeStreams = 4;

} // namespace

// Streams in which a target has spoiled the ID of an event: the events that
// follow look like events that the caller has.
class SpoiledEventIdTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SpoiledEventIdTests);
  CPPUNIT_TEST(AStreamIsWholeAfterASpoiledFirstId);
  CPPUNIT_TEST(AStreamIsWholeAfterASpoiledSecondId);
  CPPUNIT_TEST(AHostThatHasJustStartedBreaksTheStreamOff);
  CPPUNIT_TEST(AStreamThatACallerResumesIsWhole);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against dropping the events between the spoiled ID and the true one,
  // in a stream that ends as complete.
  void AStreamIsWholeAfterASpoiledFirstId()
  {
    ExpectWhole(RunnerMode::SpoiledFirstId);
  }

  // The same where the first ID was sound.
  void AStreamIsWholeAfterASpoiledSecondId()
  {
    ExpectWhole(RunnerMode::SpoiledSecondId);
  }

  // The same at a host that doesn't know how the service's targets number their
  // events: it cannot tell where the stream has to go on.
  void AHostThatHasJustStartedBreaksTheStreamOff()
  {
    for (const RunnerMode mode :
         { RunnerMode::SpoiledFirstId, RunnerMode::SpoiledSecondId }) {
      GatewayTestCluster cluster(kRunners);
      cluster.SetAllModes(mode);
      const auto answer =
        cluster.Call(GatewayTestCluster::Request("/stream/", "s"));
      CPPUNIT_ASSERT(!answer.mComplete);
    }
  }

  // The same for a stream whose caller has its first events from another
  // answer.
  void AStreamThatACallerResumesIsWhole()
  {
    GatewayTestCluster cluster(kRunners);
    ServeWholeStreams(cluster);
    SpoilHalf(cluster, RunnerMode::SpoiledFirstId);
    for (int n = 0; n < kRunners; ++n) {
      const auto answer = cluster.Call(GatewayTestCluster::Request(
        "/stream/", "r" + std::to_string(n), "Last-Event-Id: 5\r\n"));
      CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
      CPPUNIT_ASSERT(answer.mComplete);
      const std::string whole = GatewayTestCluster::StreamBody();
      CPPUNIT_ASSERT_EQUAL(whole.substr(whole.find("id: 6\n")), answer.mBody);
    }
  }

private:
  static void ServeWholeStreams(const GatewayTestCluster& aCluster)
  {
    for (int n = 0; n < kWholeStreams; ++n) {
      const auto answer = aCluster.Call(
        GatewayTestCluster::Request("/stream/", "w" + std::to_string(n)));
      CPPUNIT_ASSERT_EQUAL(GatewayTestCluster::StreamBody(), answer.mBody);
    }
  }

  // Leaves half of the targets sound.
  static void SpoilHalf(GatewayTestCluster& aCluster, RunnerMode aMode)
  {
    aCluster.SetMode("i-0", aMode);
    aCluster.SetMode("i-1", aMode);
  }

  // Whether a target with spoiled IDs has run a request.
  static bool HasRunSpoiled(GatewayTestCluster& aCluster,
                            const std::string& aId)
  {
    const auto runs = aCluster.Runs();
    return std::any_of(
      runs.begin(), runs.end(), [&aId](const RunnerRequest& aRun) {
        const std::string* id = aRun.mHead.Find("X-Request-Id");
        return (aRun.mRunner == "i-0" || aRun.mRunner == "i-1") &&
               id != nullptr && *id == aId;
      });
  }

  static void ExpectWhole(RunnerMode aMode)
  {
    GatewayTestCluster cluster(kRunners);
    ServeWholeStreams(cluster);
    SpoilHalf(cluster, aMode);
    bool spoiled = false;
    for (int n = 0; n < kRunners; ++n) {
      const std::string id = "s" + std::to_string(n);
      const auto answer =
        cluster.Call(GatewayTestCluster::Request("/stream/", id));
      CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
      CPPUNIT_ASSERT(answer.mComplete);
      CPPUNIT_ASSERT_EQUAL(GatewayTestCluster::StreamBody(), answer.mBody);
      spoiled = spoiled || HasRunSpoiled(cluster, id);
    }
    CPPUNIT_ASSERT(spoiled);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpoiledEventIdTests);
