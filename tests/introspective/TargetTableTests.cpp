#include "Property.h"

#include "core/TargetTable.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace quetzalquay;

namespace {

Time
At(int aMs)
{
  return Time(std::chrono::milliseconds(aMs));
}

TargetDeclaration
Declare(const std::string& aName, const std::string& aPlace = "here")
{
  TargetDeclaration target;
  target.mName = aName;
  target.mService = "pool";
  target.mPlace = aPlace;
  target.mRegion = "region";
  return target;
}

std::vector<TargetDeclaration>
DeclareMany(int aCount)
{
  std::vector<TargetDeclaration> targets;
  for (int n = 0; n < aCount; ++n) {
    targets.push_back(Declare("t" + std::to_string(n)));
  }
  return targets;
}

TargetTable
MakeTable(const std::vector<TargetDeclaration>& aTargets,
          int aSubset = 0,
          const std::string& aRouter = "router")
{
  TargetTableOptions options;
  options.mRouterName = aRouter;
  options.mPlace = "here";

  options.mSubsetSize = aSubset;
  options.mSeed = 3;
  TargetTable table(options);
  ServiceDeclaration service;
  service.mName = "pool";
  service.mServingVersion = "1";
  table.Declare({ service }, aTargets, "region");
  return table;
}

ChoiceQuery
Query(std::uint64_t aContent = 1)
{
  ChoiceQuery query;
  query.mService = "pool";
  query.mContent = aContent;
  query.mRequestId = "r" + std::to_string(aContent);
  return query;
}

} // namespace

class TargetTableTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetTableTests);
  CPPUNIT_TEST(UnusableTargetsAreNeverChosen);
  CPPUNIT_TEST(LeavingStateSurvivesRedeclaration);
  CPPUNIT_TEST(TargetsInTheOwnPlaceArePreferred);
  CPPUNIT_TEST(TargetWithCachedPrefixIsPreferred);
  CPPUNIT_TEST(LoadIsSpreadEvenly);
  CPPUNIT_TEST(LoadOfTheLastOtherRouterExpires);
  CPPUNIT_TEST(ContinuationsAreRateLimitedPerTarget);
  CPPUNIT_TEST(WaitingContinuationsTakeNoRetries);
  CPPUNIT_TEST(PoisonRequestIsRefusedAfterThreeDeaths);
  CPPUNIT_TEST(RequestsNextToPoisonAreNotRefused);
  CPPUNIT_TEST(DeathIsCountedOnceWhenReportedRepeatedly);
  CPPUNIT_TEST(SubsetsOfManyRoutersCoverTheTargets);
  CPPUNIT_TEST_SUITE_END();

public:
  void UnusableTargetsAreNeverChosen()
  {
    CheckProperty(
      "leaving, down, loading and excluded targets are not chosen", [] {
        TargetTable table = MakeTable(DeclareMany(6));
        std::set<std::string> unusable;
        ChoiceQuery query = Query();
        for (int n = 0; n < 6; ++n) {
          const std::string name = "t" + std::to_string(n);
          const int state = *rc::gen::inRange(0, 7);
          table.OnLoadReport(
            name, "i1", state == 1 ? "loading" : "ready", 0, 0, At(0));
          if (state == 2) {
            table.OnLoadReport(name, "i1", "leaving", 0, 0, At(0));
          } else if (state == 3) {
            table.MarkLeaving(name);
          } else if (state == 4) {
            table.OnRefused(name, At(0));
          } else if (state == 5) {
            query.mExcluded.push_back(name);
          }
          if (state >= 1 && state <= 5) {
            unusable.insert(name);
          }
        }
        const Choice choice = table.Choose(query, At(10));
        RC_ASSERT((choice.mStatus == ChoiceStatus::NoneReady) ==
                  (unusable.size() == 6u));
        RC_ASSERT(unusable.count(choice.mTarget) == 0u);
      });
  }

  void LeavingStateSurvivesRedeclaration()
  {
    TargetTable table = MakeTable(DeclareMany(2));
    table.MarkLeaving("t0");
    table.Declare({}, DeclareMany(3), "region");
    CPPUNIT_ASSERT(table.IsLeaving("t0"));
    table.OnLoadReport("t0", "i1", "ready", 0, 0, At(0));
    CPPUNIT_ASSERT(table.IsLeaving("t0"));
    CPPUNIT_ASSERT(!table.IsLeaving("t1"));
    CPPUNIT_ASSERT(table.IsLeaving("unknown"));
  }

  void TargetsInTheOwnPlaceArePreferred()
  {
    TargetTable table =
      MakeTable({ Declare("near"), Declare("far", "elsewhere") });
    CPPUNIT_ASSERT_EQUAL(std::string("near"),
                         table.Choose(Query(), At(0)).mTarget);
    for (int n = 0; n < 5; ++n) {
      table.OnAttemptStart("near", 1, At(0));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("far"),
                         table.Choose(Query(), At(0)).mTarget);
  }

  void TargetWithCachedPrefixIsPreferred()
  {
    TargetTable table = MakeTable(DeclareMany(20));
    ChoiceQuery query = Query();
    query.mPrefixHash = 77;
    table.OnCacheEvent("t13", 77, true);
    CPPUNIT_ASSERT_EQUAL(std::string("t13"),
                         table.Choose(query, At(0)).mTarget);
    table.OnCacheEvent("t13", 77, false);
    std::set<std::string> picked;
    for (int n = 0; n < 50; ++n) {
      picked.insert(table.Choose(query, At(0)).mTarget);
    }
    CPPUNIT_ASSERT(picked.size() > 1);
  }

  void LoadIsSpreadEvenly()
  {
    TargetTable table = MakeTable(DeclareMany(10));
    for (int n = 0; n < 200; ++n) {
      const Choice choice = table.Choose(Query(), At(0));
      table.OnAttemptStart(choice.mTarget, 1, At(0));
    }
    for (const TargetView& it : table.View(At(0))) {
      CPPUNIT_ASSERT(it.mInFlight >= 16 && it.mInFlight <= 24);
    }
  }

  // The load of another router counted for ever when that router, the only
  // other one, was lost: idle targets were taken for full.
  void LoadOfTheLastOtherRouterExpires()
  {
    TargetDeclaration memory = Declare("memory");
    memory.mMemoryTokens = 1000;
    TargetDeclaration slots = Declare("slots");
    slots.mSlots = 2;
    for (const TargetDeclaration& it : { memory, slots }) {
      TargetTable table = MakeTable({ it });
      table.SetPeerLoad("lost", { { it.mName, 9, 900, 900 } }, At(0));
      ChoiceQuery query = Query();
      query.mPromptTokens = 200;
      CPPUNIT_ASSERT(table.Choose(query, At(2400)).mStatus !=
                     ChoiceStatus::Chosen);
      CPPUNIT_ASSERT_EQUAL(900, table.MinBacklogTokens(query, At(2400)));
      table.CancelWait(query);
      CPPUNIT_ASSERT(table.Choose(query, At(2600)).mStatus ==
                     ChoiceStatus::Chosen);
      CPPUNIT_ASSERT_EQUAL(0, table.MinBacklogTokens(query, At(2600)));
      CPPUNIT_ASSERT_EQUAL(0, table.InputsOf(it.mName, At(2600)).mPeerRunning);
    }
  }

  void ContinuationsAreRateLimitedPerTarget()
  {
    TargetTable table = MakeTable(DeclareMany(2));
    ChoiceQuery query = Query();
    query.mContinuation = true;
    int taken = 0;
    for (int n = 0; n < 100; ++n) {
      const Choice choice = table.Choose(query, At(0));
      taken += choice.mStatus == ChoiceStatus::Chosen ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(16, taken);
    const Choice later = table.Choose(query, At(150));
    CPPUNIT_ASSERT(later.mStatus == ChoiceStatus::Chosen);
  }

  // Streams that waited for a target to admit another continuation used up the
  // retry budget, so that lost streams were broken off.
  void WaitingContinuationsTakeNoRetries()
  {
    TargetTable table = MakeTable(DeclareMany(2));
    RetryBudget::Options options;
    options.mHost = "h";
    options.mAllowance = 100;
    table.ConfigureRetryBudget(options);
    table.Retries()->SetHosts({ "h" }, At(0));
    ChoiceQuery query = Query();
    query.mContinuation = true;
    query.mIsRetry = true;
    for (int n = 0; n < 1000; ++n) {
      table.Choose(query, At(0));
    }
    const Choice later = table.Choose(query, At(150));
    CPPUNIT_ASSERT(later.mStatus == ChoiceStatus::Chosen);
  }

  void PoisonRequestIsRefusedAfterThreeDeaths()
  {
    CheckProperty("a request that crashes targets crashes exactly three", [] {
      TargetTable table = MakeTable(DeclareMany(12));
      const int others = *rc::gen::inRange(0, 30);
      const int crashed = RunWithPoisonRequest(table, others);
      RC_ASSERT(crashed == SuspectRegistry::kMinDeathsToRefuse);
    });
  }

  void RequestsNextToPoisonAreNotRefused()
  {
    CheckProperty("requests running next to a poison one are not refused", [] {
      TargetTable table = MakeTable(DeclareMany(12));
      const int others = *rc::gen::inRange(1, 30);
      RunWithPoisonRequest(table, others);
      for (int n = 0; n < others; ++n) {
        const auto content = static_cast<std::uint64_t>(100 + n);
        RC_ASSERT(!table.Suspects().IsRefused(content, At(0)));
      }
    });
  }

  void DeathIsCountedOnceWhenReportedRepeatedly()
  {
    TargetTable table = MakeTable(DeclareMany(3));
    table.OnLoadReport("t0", "i1", "ready", 0, 0, At(0));
    table.OnAttemptStart("t0", 5, At(0));
    // Probes, the poll and the end of the attempt all report the same death.
    table.OnRefused("t0", At(1));
    table.OnRefused("t0", At(2));
    table.OnAttemptEnd("t0", 5, AttemptOutcome::Lost, At(3));
    table.OnLoadReport("t0", "i2", "ready", 0, 0, At(4));
    table.OnRefused("t0", At(5));
    CPPUNIT_ASSERT_EQUAL(1, table.Suspects().Deaths(5, At(6)));
  }

  void SubsetsOfManyRoutersCoverTheTargets()
  {
    std::set<std::string> covered;
    for (int n = 0; n < 60; ++n) {
      TargetTable table =
        MakeTable(DeclareMany(100), 16, "router-" + std::to_string(n));
      const auto subset = table.Subset();
      CPPUNIT_ASSERT_EQUAL(std::size_t(16), subset.size());
      covered.insert(subset.begin(), subset.end());
    }
    CPPUNIT_ASSERT(covered.size() >= 99);
  }

private:
  static constexpr std::uint64_t kPoison = 7;

  // Runs aOthers normal requests and one that crashes each target it runs on;
  // lost requests are retried on other targets. Returns the number of targets
  // that crashed.
  static int RunWithPoisonRequest(TargetTable& aTable, int aOthers)
  {
    std::map<std::string, std::vector<std::uint64_t>> running;
    std::vector<std::uint64_t> waiting;
    for (int n = 0; n < aOthers; ++n) {
      waiting.push_back(static_cast<std::uint64_t>(100 + n));
    }
    waiting.push_back(kPoison);
    int crashed = 0;
    for (int ms = 0; ms < 60000; ms += 20) {
      waiting = StartWaiting(aTable, waiting, ms, running);
      for (auto& it : running) {
        const auto poison =
          std::find(it.second.begin(), it.second.end(), kPoison);
        if (poison == it.second.end()) {
          continue;
        }
        ++crashed;
        for (const std::uint64_t content : it.second) {
          aTable.OnAttemptEnd(it.first, content, AttemptOutcome::Lost, At(ms));
          waiting.push_back(content);
        }
        it.second.clear();
        aTable.OnRefused(it.first, At(ms + 1));
        const std::string incarnation = std::to_string(crashed);
        aTable.OnLoadReport(it.first, incarnation, "ready", 0, 0, At(ms + 2));
      }
    }
    return crashed;
  }

  // Starts the waiting requests on the targets chosen for them and returns
  // those that still wait. Requests refused for crashing targets are dropped.
  static std::vector<std::uint64_t> StartWaiting(
    TargetTable& aTable,
    const std::vector<std::uint64_t>& aWaiting,
    int aMs,
    std::map<std::string, std::vector<std::uint64_t>>& aRunning)
  {
    std::vector<std::uint64_t> later;
    for (const std::uint64_t content : aWaiting) {
      const Choice choice = aTable.Choose(Query(content), At(aMs));
      if (choice.mStatus == ChoiceStatus::Chosen) {
        aTable.OnAttemptStart(choice.mTarget, content, At(aMs));
        aRunning[choice.mTarget].push_back(content);
      } else if (choice.mStatus != ChoiceStatus::Poison) {
        later.push_back(content);
      }
    }
    return later;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetTableTests);
