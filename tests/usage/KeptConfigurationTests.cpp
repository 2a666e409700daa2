#include "CallerChannel.h"
#include "GatewayTestCluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

using std::chrono::milliseconds;

namespace {

// Memory of the smallest hosts, in MB.
constexpr int kSmallHostMb = 88;

} // namespace

// Requests that go by the configuration in force when they began, after it was
// replaced.
class KeptConfigurationTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KeptConfigurationTests);
  CPPUNIT_TEST(ConfigurationsInQuickSuccessionLeaveTheHostItsMemory);
  CPPUNIT_TEST(StreamsMoveWithinAServiceThatAChangeRemoved);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a host that ends because running streams keep all large
  // configurations that were in force since they began.
  void ConfigurationsInQuickSuccessionLeaveTheHostItsMemory()
  {
    constexpr int kChanges = 60;
    GatewayTestCluster::Options options;
    options.mSettings.mMemoryMb = kSmallHostMb;
    GatewayTestCluster cluster(options);
    // Streams that last as long as all changes.
    cluster.SetPace(milliseconds(100), milliseconds(400), milliseconds(10));
    TestConfiguration configuration;
    TestRoute& route = configuration.RouteOf("stream");
    route.mTimeoutMs = 60000;
    route.mEventGapMs = 5000;
    FillUp(configuration);
    cluster.AwaitConfiguration(cluster.Write(configuration));
    const int before = cluster.Gateway().PeakMemoryMb();
    std::vector<std::unique_ptr<CallerChannel>> channels;
    for (int n = 0; n < kChanges; ++n) {
      channels.push_back(std::make_unique<CallerChannel>(cluster.Gateway()));
      channels.back()->Send(GatewayTestCluster::Request(
        "/stream/", std::to_string(n), "", "body", 60000));
      std::this_thread::sleep_for(milliseconds(50));
      configuration.mWorkspaces.front().mPriority = n % 4;
      cluster.AwaitConfiguration(cluster.Write(configuration));
    }
    const int after = cluster.Gateway().PeakMemoryMb();
    if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::cout << "\nmemory in MB before and after " << kChanges
                << " configurations of " << configuration.ToJson(1).size()
                << " bytes: " << before << ' ' << after << std::endl;
    }
    for (const auto& it : channels) {
      const CallerAnswer answer = it->Read(milliseconds(40000));
      CPPUNIT_ASSERT(answer.mComplete);
      CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
    }
    // The rest is for requests and answers.
    CPPUNIT_ASSERT(after - before <= kSmallHostMb / 4);
  }

  // Guards against a stream that has to move being broken off because its
  // service is no longer in the configuration.
  void StreamsMoveWithinAServiceThatAChangeRemoved()
  {
    GatewayTestCluster::Options options;
    options.mRunners = 6;
    options.mSecondServiceRunners = 2;
    GatewayTestCluster cluster(options);
    cluster.SetPace(milliseconds(100), milliseconds(50), milliseconds(10));
    TestConfiguration configuration;
    configuration.mServices = { TestConfiguration::kService,
                                TestConfiguration::kSecondService };
    cluster.AwaitConfiguration(cluster.Write(configuration));
    std::vector<std::unique_ptr<CallerChannel>> channels;
    for (int n = 0; n < 6; ++n) {
      channels.push_back(std::make_unique<CallerChannel>(cluster.Gateway()));
      channels.back()->Send(
        GatewayTestCluster::Request("/stream/", "s" + std::to_string(n)));
    }
    std::this_thread::sleep_for(milliseconds(400));
    configuration.mServices = { TestConfiguration::kSecondService };
    for (TestRoute& it : configuration.mRoutes) {
      it.mServices = { { TestConfiguration::kSecondService, 1 } };
    }
    cluster.AwaitConfiguration(cluster.Write(configuration));
    cluster.ResetRunner(cluster.Runs().front().mRunner);
    for (const auto& it : channels) {
      const CallerAnswer answer = it->Read();
      CPPUNIT_ASSERT(answer.mComplete);
      CPPUNIT_ASSERT_EQUAL(GatewayTestCluster::StreamBody(), answer.mBody);
    }
    bool moved = false;
    for (const RunnerRequest& it : cluster.Runs()) {
      const std::string* after = it.mHead.Find("Last-Event-Id");
      moved |= after != nullptr;
      CPPUNIT_ASSERT(it.mRunner < "i-4");
    }
    CPPUNIT_ASSERT(moved);
  }

private:
  // Adds workspaces and routes until the configuration has nearly 64 KB.
  static void FillUp(TestConfiguration& aConfiguration)
  {
    for (int n = 0; aConfiguration.ToJson(1).size() < 63000; ++n) {
      const std::string number = std::to_string(n);
      if (n % 2 == 0) {
        TestRoute route = aConfiguration.RouteOf("plain");
        route.mName = "route-" + number;
        aConfiguration.mRoutes.push_back(route);
      } else {
        aConfiguration.mWorkspaces.push_back(
          { "w" + number, { "key-" + number, "other-key-" + number }, 1 });
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeptConfigurationTests);
