#include "FakeStore.h"
#include "Property.h"

#include "control/PoolController.h"
#include "core/LeaseHolder.h"
#include "core/RolloutPlan.h"
#include "wire/Json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace quetzalquay;

namespace {

Time
At(int aMs)
{
  return Time(std::chrono::milliseconds(aMs));
}

void
NoSleep(Duration)
{
}

constexpr int kLeaseMs = 4000;
constexpr int kOrderMs = 1000;

// Engines in memory that accept orders; some of them check fencing tokens.
class FakeEngines : public OrderPort
{
public:
  struct Engine
  {
    std::set<std::string> mVersions{ "1" };
    unsigned mFence = 0;
    bool mChecksFence = false;
    int mReadyAtMs = 0;
    bool mDead = false;
  };

  TargetVersions ReadVersions(const TargetAddress& aTarget,
                              const std::string&,
                              Duration) override
  {
    const Engine& engine = mEngines[aTarget.mName];
    TargetVersions holding;
    holding.mTarget = aTarget.mName;
    holding.mReachable = !engine.mDead;
    holding.mLoading = mNowMs < engine.mReadyAtMs;
    holding.mVersions = engine.mVersions;
    return holding;
  }

  OrderOutcome SendOrder(const TargetAddress& aTarget,
                         const std::string&,
                         const std::set<std::string>& aVersions,
                         unsigned aFence,
                         Duration) override
  {
    Engine& engine = mEngines[aTarget.mName];
    mStaleOrders += aFence < mHighestFence ? 1 : 0;
    mHighestFence = std::max(mHighestFence, aFence);
    if (engine.mChecksFence && aFence < engine.mFence) {
      return OrderOutcome::Fenced;
    }
    engine.mFence = std::max(engine.mFence, aFence);
    engine.mVersions = aVersions;
    engine.mReadyAtMs = mNowMs + 700;
    return OrderOutcome::Accepted;
  }

  int CountServing(const std::string& aVersion) const
  {
    int n = 0;
    for (const auto& it : mEngines) {
      const bool ready = !it.second.mDead && mNowMs >= it.second.mReadyAtMs;
      n += ready && it.second.mVersions.count(aVersion) != 0 ? 1 : 0;
    }
    return n;
  }

  std::map<std::string, Engine> mEngines;
  int mNowMs = 0;
  unsigned mHighestFence = 0;
  // Orders that arrived after one with a higher fencing token.
  int mStaleOrders = 0;
};

std::string
DeclarePool(FakeStore& aStore, const std::string& aServing)
{
  ResourceStore resources(aStore, [] { return At(0); });
  schema::Configuration all;
  std::vector<ResourceChange> changes = {
    { "places", "hall", R"({"name":"hall","region":"r"})", std::nullopt },
    { "versions", "m@1", R"({"model":"m","name":"1"})", std::nullopt },
    { "versions", "m@2", R"({"model":"m","name":"2"})", std::nullopt },
    { "models",
      "m",
      R"({"name":"m","serving_version":")" + aServing + "\"}",
      std::nullopt },
    { "rollouts", "m", R"({"model":"m","version":"1"})", std::nullopt },
    { "services", "pool", R"({"name":"pool","model":"m"})", std::nullopt },
  };
  for (int n = 0; n < 8; ++n) {
    const std::string name = "t" + std::to_string(n);
    changes.push_back(
      { "targets",
        name,
        R"({"name":")" + name + R"(","service":"pool","place":"hall",)" +
          R"("address":"127.0.0.1","port":)" + std::to_string(9000 + n) + "}",
        std::nullopt });
  }
  const auto result = resources.Apply(changes, "declare", At(1000));
  CPPUNIT_ASSERT_MESSAGE(result.mReason,
                         result.mStatus == ChangeStatus::Accepted);
  return aServing;
}

std::string
ServedVersion(FakeStore& aStore)
{
  ResourceStore resources(aStore, [] { return At(0); });
  ResourceTable table;
  resources.Load(table);
  schema::Rollout rollout;
  ParseJson(
    table.Find("rollouts", "m")->mValue, UnknownFields::Ignore, rollout);
  return rollout.version();
}

PoolControllerOptions
Options(const std::string& aName)
{
  PoolControllerOptions options;
  options.mControllerName = aName;
  options.mService = "pool";
  options.mLeaseTime = std::chrono::milliseconds(kLeaseMs);
  options.mOrderTime = std::chrono::milliseconds(kOrderMs);
  return options;
}

} // namespace

class ControllerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ControllerTests);
  CPPUNIT_TEST(AtMostOneCandidateHoldsTheLease);
  CPPUNIT_TEST(ExpiredLeaseIsTakenOver);
  CPPUNIT_TEST(RolloutRespectsLoadingAndReadyShares);
  CPPUNIT_TEST(RolloutCompletesAndKeepsHalfTheTargetsReady);
  CPPUNIT_TEST(FormerLeaseHolderSendsNoOrders);
  CPPUNIT_TEST_SUITE_END();

public:
  void AtMostOneCandidateHoldsTheLease()
  {
    CheckProperty("lease epochs never decrease; at most one holder", [] {
      unsigned version = 0;
      std::optional<LeaseRecord> row;
      std::vector<LeaseHolder> candidates;
      for (int n = 0; n < 3; ++n) {
        candidates.emplace_back("c" + std::to_string(n),
                                std::chrono::milliseconds(kLeaseMs),
                                std::chrono::milliseconds(kOrderMs));
      }
      int now = 0;
      unsigned epoch = 0;
      for (int n = 0; n < 60; ++n) {
        // A candidate that is not picked for a while acts as a paused
        // process.
        auto& candidate =
          candidates[static_cast<std::size_t>(*rc::gen::inRange(0, 3))];
        now += *rc::gen::inRange(0, 2500);
        const auto write = candidate.OnRead(version, row, At(now));
        if (write) {
          const int begun = now;
          now += *rc::gen::inRange(0, 1500);
          const int fault = *rc::gen::inRange(0, 4);
          const bool applied = fault != 0 && write->mIfVersion == version;
          if (applied) {
            ++version;
            row = write->mRecord;
            RC_ASSERT(write->mRecord.mEpoch >= epoch);
            epoch = write->mRecord.mEpoch;
          }
          // 0: the write is lost; 1: its response is lost.
          if (applied && fault != 1) {
            candidate.OnWritten(*write, version, At(begun));
          } else {
            candidate.OnNotWritten();
          }
        }
        int holders = 0;
        for (const LeaseHolder& it : candidates) {
          holders += it.IsHeld(At(now)) ? 1 : 0;
          RC_ASSERT(!it.IsHeld(At(now)) || it.Epoch() == epoch);
        }
        RC_ASSERT(holders <= 1);
      }
    });
  }

  void ExpiredLeaseIsTakenOver()
  {
    LeaseHolder holder("c", std::chrono::milliseconds(kLeaseMs), Duration());
    const LeaseRecord other{ "other", 7, 0 };
    CPPUNIT_ASSERT(!holder.OnRead(3, other, At(0)));
    CPPUNIT_ASSERT(!holder.OnRead(4, other, At(3900)));
    CPPUNIT_ASSERT(!holder.OnRead(4, other, At(7800)));
    const auto write = holder.OnRead(4, other, At(8000));
    CPPUNIT_ASSERT(write.has_value());
    CPPUNIT_ASSERT_EQUAL(8u, write->mRecord.mEpoch);
  }

  void RolloutRespectsLoadingAndReadyShares()
  {
    CheckProperty("a rollout keeps to its loading and ready shares", [] {
      const int size = *rc::gen::inRange(1, 30);
      RolloutLimits limits;
      std::vector<TargetVersions> targets;
      int busy = 0;
      int served = 0;
      for (int n = 0; n < size; ++n) {
        TargetVersions target;
        target.mTarget = "t" + std::to_string(n);
        target.mReachable = *rc::gen::inRange(0, 5) != 0;
        target.mLoading = *rc::gen::inRange(0, 5) == 0;
        target.mVersions = { "1" };
        if (*rc::gen::arbitrary<bool>()) {
          target.mVersions.insert("2");
        }
        busy += target.mLoading || !target.mReachable ? 1 : 0;
        served += !target.mLoading && target.mReachable &&
                      target.mVersions.count("2") != 0
                    ? 1
                    : 0;
        targets.push_back(target);
      }
      const auto steps = PlanRollout(targets, { "1", "2" }, "2", "1", limits);
      const int most = std::max(1, size / 4);
      const auto orders = static_cast<int>(steps.mOrders.size());
      RC_ASSERT(orders == 0 || busy + orders <= most);
      RC_ASSERT(!steps.mServeVersion || served * 2 >= size);
      for (const VersionOrder& it : steps.mOrders) {
        RC_ASSERT(it.mVersions.count("1") == 1u);
      }
    });
  }

  void RolloutCompletesAndKeepsHalfTheTargetsReady()
  {
    FakeStore store;
    FakeEngines engines;
    DeclarePool(store, "2");
    for (int n = 0; n < 8; ++n) {
      engines.mEngines["t" + std::to_string(n)].mChecksFence = true;
    }
    PoolController controller(
      Options("c1"),
      store,
      engines,
      [&engines] { return At(engines.mNowMs); },
      NoSleep);
    int lowest = 8;
    for (; engines.mNowMs < 30000; engines.mNowMs += 250) {
      controller.Reconcile();
      lowest = std::min(lowest, engines.CountServing(ServedVersion(store)));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("2"), ServedVersion(store));
    CPPUNIT_ASSERT_EQUAL(8, engines.CountServing("2"));
    // The new version is served only once half of the targets hold it, so at
    // least that many are ready with the served version at any time.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(lowest), lowest >= 4);
  }

  void FormerLeaseHolderSendsNoOrders()
  {
    CheckProperty("no order is sent with a stale fencing token", [] {
      FakeStore store;
      FakeEngines engines;
      for (int n = 0; n < 8; ++n) {
        engines.mEngines["t" + std::to_string(n)].mChecksFence = n % 2 == 0;
      }
      DeclarePool(store, "2");
      const auto clock = [&engines] { return At(engines.mNowMs); };
      std::vector<PoolController> controllers;
      for (const char* name : { "c1", "c2" }) {
        controllers.emplace_back(Options(name), store, engines, clock, NoSleep);
      }
      store.mFailureMode = [&engines] {
        engines.mNowMs += *rc::gen::inRange(0, 300);
        return static_cast<FakeStore::FailureMode>(
          *rc::gen::weightedElement<int>({ { 12, FakeStore::Healthy },
                                           { 1, FakeStore::Down },
                                           { 1, FakeStore::ResponseLost } }));
      };
      for (int n = 0; n < 12; ++n) {
        engines.mNowMs += *rc::gen::inRange(0, 3000);
        controllers[static_cast<std::size_t>(*rc::gen::inRange(0, 2))]
          .Reconcile();
      }
      RC_ASSERT(engines.mStaleOrders == 0);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControllerTests);
