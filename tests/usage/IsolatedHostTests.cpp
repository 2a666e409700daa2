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

// Hosts that cannot read the store, while the configuration may change.
class IsolatedHostTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(IsolatedHostTests);
  CPPUNIT_TEST(WhatAnIsolatedHostDoesNotKnowMayExist);
  CPPUNIT_TEST(AHostThatHearsOfOthersKnowsWhatDoesNotExist);
  CPPUNIT_TEST(AFleetWithoutTheStoreDoesNotDenyWhatItMayHaveMissed);
  CPPUNIT_TEST(ASingleHostWithoutTheStoreDoesNotDenyWhatItMayHaveMissed);
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
      ExpectUnknown(cluster.Gateway(0), it);
    }
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(cluster, "/plain/", "key"));
    cluster.SetStoreDown(false);
    cluster.Configure("key");
    cluster.Await([&](const GatewayProcess&) {
      return StatusOf(cluster, "/later/", "key") == 404 &&
             StatusOf(cluster, "/plain/", "k2") == 401;
    });
  }

  // Guards against a whole fleet that turns proper requests away for good, with
  // 404 or 401, while the store serves operators and none of its hosts.
  void AFleetWithoutTheStoreDoesNotDenyWhatItMayHaveMissed()
  {
    GatewayTestCluster cluster(3, 2);
    for (std::size_t n = 0; n < cluster.GatewayCount(); ++n) {
      cluster.SetStoreDown(true, n);
    }
    std::this_thread::sleep_for(kDoubtTime);
    for (std::size_t n = 0; n < cluster.GatewayCount(); ++n) {
      ExpectUnknown(cluster.Gateway(n), RequestWithKey("/later/", "key"));
      ExpectUnknown(cluster.Gateway(n), RequestWithKey("/plain/", "k2"));
    }
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(cluster, "/plain/", "key"));
    // One host that is served again answers for all.
    cluster.SetStoreDown(false, 1);
    cluster.Await([&](const GatewayProcess& aHost) {
      return aHost.Call(RequestWithKey("/later/", "key")).mHead.mStatus ==
               404 &&
             aHost.Call(RequestWithKey("/plain/", "k2")).mHead.mStatus == 401;
    });
  }

  // Guards against the same by a host that has never had another one.
  void ASingleHostWithoutTheStoreDoesNotDenyWhatItMayHaveMissed()
  {
    GatewayTestCluster cluster(3, 1);
    cluster.SetStoreDown(true);
    std::this_thread::sleep_for(kDoubtTime);
    ExpectUnknown(cluster.Gateway(0), RequestWithKey("/later/", "key"));
    ExpectUnknown(cluster.Gateway(0), RequestWithKey("/plain/", "k2"));
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
  static void ExpectUnknown(const GatewayProcess& aHost,
                            const std::string& aRequest)
  {
    const auto answer = aHost.Call(aRequest);
    CPPUNIT_ASSERT_EQUAL(503, answer.mHead.mStatus);
    CPPUNIT_ASSERT(answer.mHead.Find("Retry-After") != nullptr);
    CPPUNIT_ASSERT(answer.mBody.find("not_run") != std::string::npos);
  }

  static int StatusOf(const GatewayTestCluster& aCluster,
                      const std::string& aRoute,
                      const std::string& aKey)
  {
    return aCluster.Call(RequestWithKey(aRoute, aKey)).mHead.mStatus;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IsolatedHostTests);
