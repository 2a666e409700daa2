#include "LocalDeployment.h"

#include "wire/Json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace quetzalquay;

namespace {

DeploymentOptions
StoreFollowingOptions()
{
  DeploymentOptions plan;
  plan.mFollowStore = true;
  plan.mRouters = 3;
  return plan;
}

schema::ResourceView
Read(LocalDeployment& aDeployment, const std::string& aPath)
{
  const auto answer = aDeployment.CallApi("GET", aPath, "");
  CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.mBody, 200, answer.mStatus);
  schema::ResourceView view;
  ParseJson(answer.mBody, UnknownFields::Ignore, view);
  return view;
}

// Marks a target as leaving and returns the accepted revision.
unsigned
Drain(LocalDeployment& aDeployment, const std::string& aTarget)
{
  schema::Target target;
  ParseJson(Read(aDeployment, "targets/" + aTarget).value(),
            UnknownFields::Refuse,
            target);
  target.set_leaving(true);
  const auto answer =
    aDeployment.CallApi("PUT", "targets/" + aTarget, ToCompactJson(target));
  schema::ResourceView view;
  ParseJson(answer.mBody, UnknownFields::Ignore, view);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.mBody, 200, answer.mStatus);
  return view.revision();
}

bool
IsInForceEverywhere(LocalDeployment& aDeployment)
{
  schema::ConfigurationStatus status;
  ParseJson(aDeployment.CallApi("GET", "status", "").mBody,
            UnknownFields::Ignore,
            status);
  return status.in_force_everywhere();
}

} // namespace

class ControlTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ControlTests);
  CPPUNIT_TEST(ChangeComesIntoForceOnEveryRouter);
  CPPUNIT_TEST(WritesAdvanceVersionsAndInvalidDeletesAreRejected);
  CPPUNIT_TEST(InvalidOperatorInputIsRejected);
  CPPUNIT_TEST(RestartedRouterLearnsConfigurationFromPeers);
  CPPUNIT_TEST(IsolatedRouterRejectsRequests);
  CPPUNIT_TEST(DrainedTargetGetsNoNewRequests);
  CPPUNIT_TEST(StreamMovesOffAStoppingHost);
  CPPUNIT_TEST(LeavingTargetIsLearnedFromAPeer);
  CPPUNIT_TEST_SUITE_END();

public:
  void ChangeComesIntoForceOnEveryRouter()
  {
    LocalDeployment deployment(StoreFollowingOptions());
    const unsigned revision = Drain(deployment, "engine-0");
    CPPUNIT_ASSERT(LocalDeployment::WaitFor(
      [&] { return IsInForceEverywhere(deployment); }));
    for (int n = 0; n < 3; ++n) {
      CPPUNIT_ASSERT_EQUAL(revision, deployment.Status(n).revision());
    }
  }

  void WritesAdvanceVersionsAndInvalidDeletesAreRejected()
  {
    LocalDeployment deployment(StoreFollowingOptions());
    const auto before = Read(deployment, "targets/engine-0");
    Drain(deployment, "engine-0");
    const auto after = Read(deployment, "targets/engine-0");
    CPPUNIT_ASSERT(after.version() > before.version());
    CPPUNIT_ASSERT(after.revision() > before.revision());
    CPPUNIT_ASSERT_EQUAL(
      404, deployment.CallApi("DELETE", "targets/none", "").mStatus);
    const auto used = deployment.CallApi("DELETE", "services/pool", "");
    CPPUNIT_ASSERT_EQUAL(400, used.mStatus);
    CPPUNIT_ASSERT(used.mBody.find("is not declared") != std::string::npos);
  }

  void InvalidOperatorInputIsRejected()
  {
    LocalDeployment deployment(StoreFollowingOptions());
    const char* bodies[] = { "", "{", "{\"nane\":\"x\"}", "{\"name\":\"y\"}" };
    for (const char* it : bodies) {
      const auto answer = deployment.CallApi("PUT", "places/x", it);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, 400, answer.mStatus);
    }
    CPPUNIT_ASSERT_EQUAL(404,
                         deployment.CallApi("PUT", "castles/x", "{}").mStatus);
    CPPUNIT_ASSERT_EQUAL(
      404,
      deployment.CallApi("PUT", "rollouts/story", R"({"model":"story"})")
        .mStatus);
    CPPUNIT_ASSERT(IsInForceEverywhere(deployment));
  }

  void RestartedRouterLearnsConfigurationFromPeers()
  {
    LocalDeployment deployment(StoreFollowingOptions());
    const unsigned revision = Drain(deployment, "engine-0");
    CPPUNIT_ASSERT(LocalDeployment::WaitFor(
      [&] { return IsInForceEverywhere(deployment); }));
    deployment.StopRouter(2);
    deployment.InjectPlatformFault("store_down", 60000);
    deployment.StartRouter(2);
    CPPUNIT_ASSERT(LocalDeployment::WaitFor(
      [&] { return deployment.Status(2).state() == "ready"; }));
    CPPUNIT_ASSERT_EQUAL(revision, deployment.Status(2).revision());
    TestCaller caller(deployment);
    caller.mMaxTokens = 5;
    caller.Stream(2);
    caller.RequireComplete();
  }

  void IsolatedRouterRejectsRequests()
  {
    LocalDeployment deployment(StoreFollowingOptions());
    deployment.StopRouter(0);
    deployment.StopRouter(1);
    deployment.InjectPlatformFault("store_down", 60000);
    CPPUNIT_ASSERT(LocalDeployment::WaitFor(
      [&] { return deployment.Status(2).state() == "not ready"; }));
    TestCaller caller(deployment);
    caller.Stream(2);
    CPPUNIT_ASSERT_EQUAL(std::string("configuration_unknown"),
                         caller.mError.code());
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), caller.mError.run());
  }

  void DrainedTargetGetsNoNewRequests()
  {
    LocalDeployment deployment(StoreFollowingOptions());
    TestCaller running(deployment);
    running.mMaxTokens = 300;
    int before = 0;
    running.Stream(0, [&](int aCount) {
      if (aCount == 10) {
        const int engine = deployment.EngineOf(running.Generation());
        Drain(deployment, "engine-" + std::to_string(engine));
        CPPUNIT_ASSERT(LocalDeployment::WaitFor(
          [&] { return IsInForceEverywhere(deployment); }));
        before = deployment.EngineRecords(engine).records_size();
        for (int n = 0; n < 9; ++n) {
          TestCaller caller(deployment);
          caller.mMaxTokens = 2;
          caller.Stream(n % 3);
          caller.RequireComplete();
        }
        CPPUNIT_ASSERT_EQUAL(before,
                             deployment.EngineRecords(engine).records_size());
      }
      return true;
    });
    // The stream that was running on the drained target is not interrupted.
    running.RequireComplete();
    CPPUNIT_ASSERT_EQUAL(1, before);
  }

  void StreamMovesOffAStoppingHost()
  {
    LocalDeployment deployment(StoreFollowingOptions());
    TestCaller caller(deployment);
    caller.mMaxTokens = 400;
    int first = -1;
    caller.Stream(0, [&](int aCount) {
      if (aCount == 10) {
        first = deployment.EngineOf(caller.Generation());
        deployment.ListAsLeaving(first, 2000);
      }
      return true;
    });
    caller.RequireComplete();
    CPPUNIT_ASSERT(first != deployment.EngineOf(caller.Generation()));
  }

  void LeavingTargetIsLearnedFromAPeer()
  {
    LocalDeployment deployment(StoreFollowingOptions());
    // The third router is cut off from engine-0, which reports that it is
    // leaving.
    deployment.PartitionEngine(0, 2, 60000);
    deployment.InjectEngineFault(0, "leave", 1000);
    CPPUNIT_ASSERT(LocalDeployment::WaitFor([&] {
      const schema::RouterStatus status = deployment.Status(2);
      for (const auto& it : status.targets()) {
        if (it.name() == "engine-0") {
          return it.state() == "leaving";
        }
      }
      return false;
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlTests);
