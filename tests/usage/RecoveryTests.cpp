#include "LocalDeployment.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <thread>

using namespace quetzalquay;

namespace {

// Calls aAction when the caller has received aToken tokens.
TestCaller::OnToken
AtToken(int aToken, const std::function<void()>& aAction)
{
  return [aToken, aAction](int aCount) {
    if (aCount == aToken) {
      aAction();
    }
    return true;
  };
}

} // namespace

class RecoveryTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RecoveryTests);
  CPPUNIT_TEST(AStreamIsServedCompletely);
  CPPUNIT_TEST(AStreamContinuesAfterAnEngineDeath);
  CPPUNIT_TEST(AStreamContinuesAtLowCostAfterAnEngineDeath);
  CPPUNIT_TEST(APausedEngineIsReplacedAndLaterCancelled);
  CPPUNIT_TEST(AStreamContinuesAfterACutConnection);
  CPPUNIT_TEST(AStreamContinuesAfterTwoEngineDeaths);
  CPPUNIT_TEST(ASlowEngineIsNotReplaced);
  CPPUNIT_TEST(AnotherRouterContinuesAStream);
  CPPUNIT_TEST(AStreamContinuesAfterLosingRouterAndEngine);
  CPPUNIT_TEST(ALongStreamIsRestoredFromTheJournal);
  CPPUNIT_TEST(AStoreOutageDoesNotStopStreams);
  CPPUNIT_TEST(AnUnstreamedResponseSurvivesAnEngineDeath);
  CPPUNIT_TEST(ADisconnectedCallerStopsItsEngine);
  CPPUNIT_TEST(AStoppingRouterHandsOverLongStreams);
  CPPUNIT_TEST(AStoppingRouterFinishesShortStreams);
  CPPUNIT_TEST(ALeavingEngineGetsNoNewRequests);
  CPPUNIT_TEST(DeathsSeenByDifferentRoutersAddUp);
  CPPUNIT_TEST(DeathsCountAlthoughTheCallerHasLeft);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against routers that keep single deaths to themselves or take the
  // highest count, so that a request crashes two engines for every router.
  void DeathsSeenByDifferentRoutersAddUp()
  {
    DeploymentOptions options;
    options.mEngines = 5;
    options.mRouters = 3;
    LocalDeployment deployment(options);
    for (int router = 0; router < 3; ++router) {
      TestCaller caller(deployment);
      caller.Stream(router, [&](int aCount) {
        if (aCount == 3) {
          deployment.InjectEngineFault(
            deployment.EngineOf(caller.Generation()), "die", 1000);
        }
        // The stream goes on at another engine; the caller leaves soon.
        return aCount < 6;
      });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "router " + std::to_string(router) + ", status " +
          std::to_string(caller.mStatus) + ", " + caller.mError.code() + ": " +
          caller.mError.message(),
        std::size_t(6),
        caller.mTokens.size());
      // The engine is back, and the routers have told each other.
      std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    }
    TestCaller again(deployment);
    again.Stream(0);
    CPPUNIT_ASSERT_EQUAL(422, again.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("suspected_poison"), again.mError.code());
    TestCaller other(deployment);
    other.mPrompt = "tell another story";
    other.Stream(0);
    CPPUNIT_ASSERT_EQUAL(std::string(), other.mError.message());
    other.RequireComplete();
  }

  // Guards against forgetting the run of a caller that leaves before the router
  // knows of the engine's death, so that its request goes on crashing engines.
  void DeathsCountAlthoughTheCallerHasLeft()
  {
    DeploymentOptions options;
    options.mEngines = 5;
    LocalDeployment deployment(options);
    for (int death = 0; death < 3; ++death) {
      TestCaller caller(deployment);
      int engine = -1;
      caller.Stream(0, [&](int aCount) {
        if (aCount < 3) {
          return true;
        }
        engine = deployment.EngineOf(caller.Generation());
        deployment.InjectEngineFault(engine, "pause", 1000);
        return false;
      });
      CPPUNIT_ASSERT(engine >= 0);
      // The router has noticed that the caller is gone.
      std::this_thread::sleep_for(std::chrono::milliseconds(400));
      deployment.InjectEngineFault(engine, "die", 1000);
      std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    }
    TestCaller again(deployment);
    again.Stream(0);
    CPPUNIT_ASSERT_EQUAL(422, again.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("suspected_poison"), again.mError.code());
    TestCaller other(deployment);
    other.mPrompt = "tell another story";
    other.Stream(0);
    CPPUNIT_ASSERT_EQUAL(std::string(), other.mError.message());
    other.RequireComplete();
  }

  void AStreamIsServedCompletely()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller caller(deployment);
    caller.Stream(0);
    caller.RequireComplete();
  }

  void AStreamContinuesAfterAnEngineDeath()
  {
    RequireContinuationAfterDeath(schema::LOW_LATENCY);
  }
  void AStreamContinuesAtLowCostAfterAnEngineDeath()
  {
    RequireContinuationAfterDeath(schema::LOW_COST);
  }

  void APausedEngineIsReplacedAndLaterCancelled()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller caller(deployment);
    caller.Stream(0, AtToken(20, [&] {
                    const int engine = deployment.EngineOf(caller.Generation());
                    deployment.InjectEngineFault(engine, "pause", 1500);
                  }));
    caller.RequireComplete();
    RequireOneContinuation(deployment);
    // After the pause, the engine learns that its stream has no reader.
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    int decoded = 0;
    for (const auto& it : deployment.AllStarts()) {
      decoded += it.computed_decode();
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(decoded),
                           decoded < caller.mMaxTokens + 80);
  }

  void AStreamContinuesAfterACutConnection()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller caller(deployment);
    caller.Stream(0, AtToken(20, [&] {
                    const int engine = deployment.EngineOf(caller.Generation());
                    deployment.PartitionEngine(engine, 0, 4000);
                  }));
    caller.RequireComplete();
  }

  void AStreamContinuesAfterTwoEngineDeaths()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller caller(deployment);
    caller.Stream(0, [&](int aCount) {
      if (aCount == 20 || aCount == 50) {
        const int engine = deployment.EngineOf(caller.Generation());
        deployment.InjectEngineFault(engine, "die", 500);
      }
      return true;
    });
    caller.RequireComplete();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), deployment.AllStarts().size());
  }

  void ASlowEngineIsNotReplaced()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller caller(deployment);
    caller.mMaxTokens = 40;
    // Slows all engines from 10 to 80 ms per token.
    caller.Stream(0, AtToken(10, [&] {
                    for (int n = 0; n < deployment.Engines(); ++n) {
                      deployment.InjectEngineFault(n, "slow", 5000);
                    }
                  }));
    caller.RequireComplete();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), deployment.AllStarts().size());
  }

  void AnotherRouterContinuesAStream()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller caller(deployment);
    // Closing the connection stands for a router that was killed.
    caller.Stream(0, [](int aCount) { return aCount < 30; });
    CPPUNIT_ASSERT(!caller.mDone);
    caller.Stream(1);
    caller.RequireComplete();
  }

  void AStreamContinuesAfterLosingRouterAndEngine()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller caller(deployment);
    caller.Stream(0, [&](int aCount) {
      if (aCount < 30) {
        return true;
      }
      deployment.InjectEngineFault(
        deployment.EngineOf(caller.Generation()), "die", 1000);
      return false;
    });
    caller.Stream(1);
    caller.RequireComplete();
  }

  void ALongStreamIsRestoredFromTheJournal()
  {
    DeploymentOptions plan;
    plan.mStepUs = 2000;
    plan.mJournalMs = 100;
    LocalDeployment deployment(plan);
    TestCaller caller(deployment);
    caller.mMaxTokens = 900;
    caller.Stream(0, [&](int aCount) {
      if (aCount < 600) {
        return true;
      }
      deployment.InjectEngineFault(
        deployment.EngineOf(caller.Generation()), "die", 1000);
      return false;
    });
    // The event ID refers to journal objects instead of listing most tokens.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(caller.mLastEventId.size()),
                           caller.mLastEventId.size() < 1500);
    caller.Stream(1);
    caller.RequireComplete();
  }

  void AStoreOutageDoesNotStopStreams()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    deployment.InjectPlatformFault("store_down", 10000);
    TestCaller caller(deployment);
    caller.Stream(0, [&](int aCount) {
      if (aCount < 80) {
        return true;
      }
      deployment.InjectEngineFault(
        deployment.EngineOf(caller.Generation()), "die", 1000);
      return false;
    });
    caller.Stream(1);
    caller.RequireComplete();
  }

  void AnUnstreamedResponseSurvivesAnEngineDeath()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller caller(deployment);
    std::thread killer([&] {
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
      const auto starts = deployment.AllStarts();
      deployment.InjectEngineFault(
        deployment.EngineOf(starts.at(0).generation()), "die", 1000);
    });
    const auto answer = caller.Send(0,
                                    "POST",
                                    "/v1/chat/completions",
                                    R"({"model":"story","max_tokens":80,
          "messages":[{"role":"user","content":"tell"}]})");
    killer.join();
    CPPUNIT_ASSERT_EQUAL(200, answer.mStatus);
    CPPUNIT_ASSERT(answer.mBody.find(":79 ") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), deployment.AllStarts().size());
  }

  void ADisconnectedCallerStopsItsEngine()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller caller(deployment);
    caller.mMaxTokens = 2000;
    caller.Stream(0, [](int aCount) { return aCount < 10; });
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    const int decoded = deployment.AllStarts().at(0).computed_decode();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(decoded), decoded < 100);
  }

  void AStoppingRouterHandsOverLongStreams()
  {
    DeploymentOptions plan;
    plan.mStopGraceMs = 200;
    LocalDeployment deployment(plan);
    TestCaller caller(deployment);
    caller.mMaxTokens = 150;
    std::thread stopper;
    caller.Stream(0, AtToken(20, [&] {
                    stopper = std::thread([&] { deployment.StopRouter(0); });
                  }));
    stopper.join();
    CPPUNIT_ASSERT(!caller.mDone);
    caller.Stream(1);
    caller.RequireComplete();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), deployment.AllStarts().size());
  }

  void AStoppingRouterFinishesShortStreams()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller caller(deployment);
    std::thread stopper;
    caller.Stream(0, AtToken(20, [&] {
                    stopper = std::thread([&] { deployment.StopRouter(0); });
                  }));
    stopper.join();
    caller.RequireComplete();
  }

  void ALeavingEngineGetsNoNewRequests()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    deployment.InjectEngineFault(0, "leave", 1000);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    for (int n = 0; n < 12; ++n) {
      TestCaller caller(deployment);
      caller.mMaxTokens = 2;
      caller.Stream(n % 2);
      caller.RequireComplete();
    }
    CPPUNIT_ASSERT_EQUAL(0, deployment.EngineRecords(0).records_size());
  }

private:
  static void RequireContinuationAfterDeath(schema::RecoveryPreset aPreset)
  {
    DeploymentOptions plan;
    plan.mPreset = aPreset;
    LocalDeployment deployment(plan);
    TestCaller caller(deployment);
    caller.Stream(0, AtToken(20, [&] {
                    const int engine = deployment.EngineOf(caller.Generation());
                    deployment.InjectEngineFault(engine, "die", 2000);
                  }));
    caller.RequireComplete();
    RequireOneContinuation(deployment);
  }

  static void RequireOneContinuation(const LocalDeployment& aDeployment)
  {
    const auto starts = aDeployment.AllStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), starts.size());
    std::set<std::string> generations;
    int continued = 0;
    for (const auto& it : starts) {
      generations.insert(it.generation());
      continued += it.resumed_at() > 0 ? 1 : 0;
      CPPUNIT_ASSERT(!it.wrong_tokens());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), generations.size());
    CPPUNIT_ASSERT_EQUAL(1, continued);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecoveryTests);
