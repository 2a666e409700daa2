#include "GatewayTestCluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <thread>
#include <vector>

using std::chrono::milliseconds;

namespace {

// Memory of the smallest hosts, in MB.
constexpr int kSmallHostMb = 88;

constexpr int kStreams = 12;
constexpr int kRunners = 4;

} // namespace

// Spoiled replies of targets to a gateway's own questions: reports, and orders
// of copies.
class TargetReplyTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetReplyTests);
  CPPUNIT_TEST(NestedReportsEndNoRequest);
  CPPUNIT_TEST(EndlessReportsEndNoRequest);
  CPPUNIT_TEST(NestedRepliesToCopyOrdersEndNoRequest);
  CPPUNIT_TEST(EndlessRepliesToCopyOrdersEndNoRequest);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a report that ends the host, with all its requests, by an
  // overflow of the stack.
  void NestedReportsEndNoRequest() { PlayReports(ReplyFault::Nested); }

  // Guards against reports that take the host's memory.
  void EndlessReportsEndNoRequest() { PlayReports(ReplyFault::Endless); }

  // The same for replies to orders of copies.
  void NestedRepliesToCopyOrdersEndNoRequest()
  {
    PlayCopyOrders(ReplyFault::Nested);
  }

  void EndlessRepliesToCopyOrdersEndNoRequest()
  {
    PlayCopyOrders(ReplyFault::Endless);
  }

private:
  using Calls = std::vector<std::unique_ptr<BackgroundCall>>;

  static GatewayTestCluster::Options SmallHost()
  {
    GatewayTestCluster::Options options;
    options.mRunners = kRunners;
    options.mFirstStartTime = true;
    options.mSettings.mMemoryMb = kSmallHostMb;
    return options;
  }

  static Calls StartStreams(const GatewayTestCluster& aCluster)
  {
    Calls calls;
    for (int n = 0; n < kStreams; ++n) {
      calls.push_back(std::make_unique<BackgroundCall>(
        aCluster.Gateway(),
        GatewayTestCluster::Request("/paced/", "s" + std::to_string(n))));
    }
    return calls;
  }

  static void ExpectAllWhole(const GatewayTestCluster& aCluster,
                             const Calls& aCalls)
  {
    for (const auto& it : aCalls) {
      const CallerAnswer& answer = it->AwaitAnswer();
      CPPUNIT_ASSERT(answer.mComplete);
      CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
      CPPUNIT_ASSERT_EQUAL(GatewayTestCluster::StreamBody(), answer.mBody);
    }
    CPPUNIT_ASSERT_EQUAL(0, aCluster.RepliesToSpoil());
    CPPUNIT_ASSERT(aCluster.Gateway().PeakMemoryMb() < kSmallHostMb);
  }

  // Streams that go on at another target ask it for its report first.
  static void PlayReports(ReplyFault aFault)
  {
    GatewayTestCluster cluster(SmallHost());
    const Calls calls = StartStreams(cluster);
    std::this_thread::sleep_for(milliseconds(300));
    cluster.SpoilReplies(aFault, 3);
    cluster.ResetRunner("i-0");
    ExpectAllWhole(cluster, calls);
  }

  static void PlayCopyOrders(ReplyFault aFault)
  {
    GatewayTestCluster cluster(SmallHost());
    TestConfiguration configuration;
    configuration.mRunsSendCopies = false;
    cluster.AwaitConfiguration(cluster.Write(configuration));
    cluster.SpoilReplies(aFault, 3);
    ExpectAllWhole(cluster, StartStreams(cluster));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetReplyTests);
