#include "GatewayTestCluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <thread>

using std::chrono::milliseconds;

namespace {

// Memory of the smallest hosts, in MB.
constexpr int kSmallHostMb = 88;

// Workspaces of the largest configuration, and bytes of it for each.
constexpr int kWorkspaces = 1700;
constexpr std::size_t kWorkspaceBytes = 600;

// Time in which a host reads each of its tables from the store.
constexpr auto kReadTime = milliseconds(6000);

constexpr char kGivenUp[] = "quetzal_platform_replies_too_large_total";

} // namespace

// Replies of the store that need much memory, to hosts with little.
class StoreReplyTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreReplyTests);
  CPPUNIT_TEST(ListsOfTheStoreLeaveTheHostItsMemory);
  CPPUNIT_TEST(RowsOfTheStoreLeaveTheHostItsMemory);
  CPPUNIT_TEST(ALargeConfigurationLeavesTheHostItsMemory);
  CPPUNIT_TEST(AConfigurationOfFullSizeIsReadFromTheStoreAndAnotherHost);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a host that ends, with all its requests, as it parses a
  // reply that needs several times its size.
  void ListsOfTheStoreLeaveTheHostItsMemory()
  {
    ExpectServiceBeside(StoreFault::EmptyLists);
  }

  // The same for the rows that are made of a reply.
  void RowsOfTheStoreLeaveTheHostItsMemory()
  {
    ExpectServiceBeside(StoreFault::EmptyRows);
  }

  // The same for a row's value, which is parsed after its reply.
  void ALargeConfigurationLeavesTheHostItsMemory()
  {
    ExpectServiceBeside(StoreFault::LargeConfiguration);
  }

  // Guards against limits below what the largest fleets need.
  void AConfigurationOfFullSizeIsReadFromTheStoreAndAnotherHost()
  {
    GatewayTestCluster::Options options = SmallHost();
    options.mGateways = 2;
    GatewayTestCluster cluster(options);
    cluster.SetStoreDown(true, 1);
    TestConfiguration configuration;
    configuration.mWorkspaces = { { "w", { "key" }, 1 } };
    for (int n = 0; n < kWorkspaces; ++n) {
      const std::string name = "w" + std::to_string(n);
      configuration.mWorkspaces.push_back(
        { name, { name + std::string(kWorkspaceBytes, 'k') }, 1 });
    }
    cluster.AwaitConfiguration(cluster.Write(configuration));
    for (std::size_t n = 0; n < 2; ++n) {
      CPPUNIT_ASSERT_EQUAL(std::string("0"),
                           cluster.Gateway(n).Metric(kGivenUp));
    }
  }

private:
  static GatewayTestCluster::Options SmallHost()
  {
    GatewayTestCluster::Options options;
    options.mSettings.mMemoryMb = kSmallHostMb;
    return options;
  }

  // Expects that a host serves with the state that it has, gives up such
  // replies, and reads on when they are sound again.
  static void ExpectServiceBeside(StoreFault aFault)
  {
    GatewayTestCluster cluster(SmallHost());
    cluster.SpoilStoreReplies(aFault);
    std::this_thread::sleep_for(kReadTime);
    const CallerAnswer answer =
      cluster.Call(GatewayTestCluster::Request("/unsafe/", "beside"));
    CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
    CPPUNIT_ASSERT(cluster.Gateway().Metric(kGivenUp) != "0");
    cluster.SpoilStoreReplies(StoreFault::None);
    cluster.Configure("key");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReplyTests);
