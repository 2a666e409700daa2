#include "GatewayTestCluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <thread>

using std::chrono::milliseconds;

namespace {

// Time after which a host that hears of no configuration doubts its own.
constexpr auto kDoubtTime = milliseconds(3500);

std::string
RequestWithKey(const std::string& aRoute, const std::string& aKey)
{
  std::string request = GatewayTestCluster::Request(aRoute, "a");
  const std::string usual = "Bearer key";
  return request.replace(request.find(usual), usual.size(), "Bearer " + aKey);
}

} // namespace

// A host that reaches neither the store nor other hosts, while the
// configuration changes.
class IsolatedHostTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(IsolatedHostTests);
  CPPUNIT_TEST(WhatAnIsolatedHostDoesNotKnowMayExist);
  CPPUNIT_TEST(AHostThatHearsOfOthersKnowsWhatDoesNotExist);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against proper requests being turned away for good, with 404 or 401,
  // by a host that has not heard of the change that allows them.
  void WhatAnIsolatedHostDoesNotKnowMayExist()
  {
    GatewayTestCluster cluster(3, 2);
    cluster.Gateway(1).Signal(SIGKILL);
    cluster.Gateway(1).AwaitExit();
    cluster.SetStoreDown(true);
    std::this_thread::sleep_for(kDoubtTime);
    for (const std::string& it : { RequestWithKey("/later/", "key"),
                                   RequestWithKey("/plain/", "k2") }) {
      const auto answer = cluster.Call(it);
      CPPUNIT_ASSERT_EQUAL(503, answer.mHead.mStatus);
      CPPUNIT_ASSERT(answer.mHead.Find("Retry-After") != nullptr);
      CPPUNIT_ASSERT(answer.mBody.find("not_run") != std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(cluster, "/plain/", "key"));
    cluster.SetStoreDown(false);
    cluster.Configure("key");
    cluster.Await([&](const GatewayProcess&) {
      return StatusOf(cluster, "/later/", "key") == 404 &&
             StatusOf(cluster, "/plain/", "k2") == 401;
    });
  }

  // Guards against asking callers to come back for what does not exist.
  void AHostThatHearsOfOthersKnowsWhatDoesNotExist()
  {
    GatewayTestCluster cluster(3, 2);
    cluster.SetStoreDown(true);
    std::this_thread::sleep_for(kDoubtTime);
    CPPUNIT_ASSERT_EQUAL(404, StatusOf(cluster, "/later/", "key"));
    CPPUNIT_ASSERT_EQUAL(401, StatusOf(cluster, "/plain/", "k2"));
  }

private:
  static int StatusOf(const GatewayTestCluster& aCluster,
                      const std::string& aRoute,
                      const std::string& aKey)
  {
    return aCluster.Call(RequestWithKey(aRoute, aKey)).mHead.mStatus;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IsolatedHostTests);
