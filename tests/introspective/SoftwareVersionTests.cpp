#include "EngineSimulation.h"
#include "EngineTable.h"
#include "Property.h"

#include "core/CopyKeeper.h"
#include "core/TargetEntries.h"
#include "core/TargetTable.h"
#include "gateway/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

TargetDeclaration
Declaration(const std::string& aName, const std::string& aVersion)
{
  TargetDeclaration target;
  target.mName = aName;
  target.mService = "pool";
  target.mPlace = "p0";
  target.mRegion = "region";
  target.mIncarnation = "1";
  target.mSoftwareVersion = aVersion;
  target.mMemoryTokens = 88000;
  return target;
}

void
Declare(TargetTable& aTable,
        const std::vector<TargetDeclaration>& aTargets,
        Time aNow = At(0))
{
  ServiceDeclaration service;
  service.mName = "pool";
  aTable.Declare({ service }, aTargets, "region", aNow);
}

TargetTable
MakeTable(const std::vector<TargetDeclaration>& aTargets)
{
  TargetTable table = MakeEngineTable();
  Declare(table, aTargets);
  return table;
}

ChoiceQuery
QueryOf(const std::string& aVersion)
{
  ChoiceQuery query = MakeQuery();
  query.mSoftwareVersion = aVersion;
  return query;
}

CopyKeeper::Options
KeeperOptions()
{
  CopyKeeper::Options options;
  options.mService = "pool";
  options.mPromptTokens = 8000;
  options.mOutputTokens = 1000;
  options.mLifetime = milliseconds(4000);
  options.mOrdersSupported = true;
  return options;
}

TargetEntry
Entry(const std::string& aName, const std::string& aVersion)
{
  TargetEntry entry;
  entry.mName = aName;
  entry.mService = "pool";
  entry.mAddress = "10.0.0.1:80";
  entry.mPlace = "p0";
  entry.mIncarnation = "1";
  entry.mSoftwareVersion = aVersion;
  return entry;
}

std::vector<SimulatedFault>
RandomFaults()
{
  std::vector<SimulatedFault> faults;
  const int count = *rc::gen::inRange(1, 8);
  for (int n = 0; n < count; ++n) {
    SimulatedFault fault;
    fault.mKind = *rc::gen::element(
      SimulatedFault::Die, SimulatedFault::Pause, SimulatedFault::Reset);
    fault.mEngine = *rc::gen::inRange(0, EngineSimulation::kEngines);
    fault.mAtMs = *rc::gen::inRange(0, 2000);
    fault.mForMs = *rc::gen::inRange(1, 6000);
    faults.push_back(fault);
  }
  return faults;
}

} // namespace

// Streams that go on only at targets of the software version that began them.
class SoftwareVersionTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SoftwareVersionTests);
  CPPUNIT_TEST(StreamsAreNotPutTogetherFromTwoVersions);
  CPPUNIT_TEST(StreamEndsAtOnceWhenItsVersionIsGone);
  CPPUNIT_TEST(StreamWaitsForTargetsOfItsVersionThatAreDown);
  CPPUNIT_TEST(RequestWithoutEventsMayChangeTheVersion);
  CPPUNIT_TEST(OnlyTargetsOfTheRequiredVersionAreChosen);
  CPPUNIT_TEST(VersionIsGoneWhileLossesAreBeingChecked);
  CPPUNIT_TEST(VersionIsGoneWhenOnlyLeavingTargetsHaveIt);
  CPPUNIT_TEST(StreamsThatWaitForTheirVersionDoNotDelayOthers);
  CPPUNIT_TEST(RestartedTargetIsOfItsNewVersion);
  CPPUNIT_TEST(DeadTargetIsNotTrustedToKeepItsVersion);
  CPPUNIT_TEST(RestartIsNotForgottenWhenOtherEntriesChange);
  CPPUNIT_TEST(NewStreamsAvoidVersionsWithASingleTarget);
  CPPUNIT_TEST(RetriesPreferTheVersionThatWasTried);
  CPPUNIT_TEST(CopiesStayWithinTheVersion);
  CPPUNIT_TEST(CopiesWaitUntilTheTargetsAreKnownAgain);
  CPPUNIT_TEST(TargetsThatWereOutdatedBeforeAnOutageStaySo);
  CPPUNIT_TEST(CopyAtATargetWithAnotherVersionIsNotUsed);
  CPPUNIT_TEST(ReplacementFoundDuringAnOutageHasAVersionOfItsOwn);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against streams that hold events from two software versions after
  // their target was lost.
  void StreamsAreNotPutTogetherFromTwoVersions()
  {
    CheckProperty("a stream has events of a single software version", [] {
      const auto seed = *rc::gen::arbitrary<unsigned>();
      const auto preset = *rc::gen::element(RecoveryPreset::LowLatency,
                                            RecoveryPreset::LowCost,
                                            RecoveryPreset::RestartInFull);
      EngineSimulation simulation(true, preset, 150, seed, RandomFaults());
      simulation.SetSoftwareVersions(*rc::gen::inRange(1, 4),
                                     *rc::gen::arbitrary<bool>());
      simulation.Run();
      RC_ASSERT(simulation.mTextVersions.size() <= 1);
      RC_ASSERT(simulation.mFinished != simulation.mFailure.has_value());
    });
  }

  // Guards against streams that hold their caller until the recovery timeout
  // although no target of their version is left.
  void StreamEndsAtOnceWhenItsVersionIsGone()
  {
    EngineSimulation simulation(true,
                                RecoveryPreset::LowLatency,
                                150,
                                1,
                                { { SimulatedFault::Die, 0, 500, 15000 },
                                  { SimulatedFault::Die, 1, 500, 15000 },
                                  { SimulatedFault::Die, 2, 500, 15000 },
                                  { SimulatedFault::Die, 3, 500, 15000 } });
    simulation.SetSoftwareVersions(2, true);
    simulation.Run();
    CPPUNIT_ASSERT(!simulation.mText.empty());
    CPPUNIT_ASSERT(simulation.mFailure.has_value());
    CPPUNIT_ASSERT(simulation.mFailure->mCode == FailureCode::VersionGone);
    CPPUNIT_ASSERT(simulation.mFailure->mVerdict == RunVerdict::Ran);
    CPPUNIT_ASSERT(simulation.mEndedAtMs < 600);
  }

  void StreamWaitsForTargetsOfItsVersionThatAreDown()
  {
    EngineSimulation simulation(true,
                                RecoveryPreset::LowLatency,
                                150,
                                1,
                                { { SimulatedFault::Die, 0, 500, 2000 },
                                  { SimulatedFault::Die, 1, 500, 2000 },
                                  { SimulatedFault::Die, 2, 500, 2000 },
                                  { SimulatedFault::Die, 3, 500, 2000 } });
    simulation.SetSoftwareVersions(EngineSimulation::kEngines, false);
    simulation.Run();
    CPPUNIT_ASSERT(simulation.mFinished);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation.mTextVersions.size());
  }

  void RequestWithoutEventsMayChangeTheVersion()
  {
    for (unsigned seed = 0; seed < 20; ++seed) {
      EngineSimulation simulation(
        true,
        RecoveryPreset::LowLatency,
        50,
        seed,
        { { SimulatedFault::Die, static_cast<int>(seed % 4), 0, 15000 } });
      simulation.SetSoftwareVersions(EngineSimulation::kEngines, false);
      simulation.Run();
      CPPUNIT_ASSERT(simulation.mFinished);
    }
  }

  void OnlyTargetsOfTheRequiredVersionAreChosen()
  {
    CheckProperty("a target of another version is never chosen", [] {
      std::vector<TargetDeclaration> targets;
      for (int n = 0; n < 6; ++n) {
        targets.push_back(
          Declaration("t" + std::to_string(n),
                      "v" + std::to_string(*rc::gen::inRange(0, 3))));
        targets.back().mLeaving = *rc::gen::inRange(0, 4) == 0;
      }
      TargetTable table = MakeTable(targets);
      std::set<std::string> present;
      for (const TargetDeclaration& it : targets) {
        if (!it.mLeaving) {
          present.insert(it.mSoftwareVersion);
        }
        if (*rc::gen::inRange(0, 3) == 0) {
          table.OnUnresponsive(it.mName, At(5));
        }
      }
      ChoiceQuery query = QueryOf("v0");
      query.mIsRetry = *rc::gen::arbitrary<bool>();
      query.mContinuation = *rc::gen::arbitrary<bool>();
      const Choice choice = table.Choose(query, At(10));
      RC_ASSERT((choice.mStatus == ChoiceStatus::VersionGone) ==
                (present.count("v0") == 0u));
      if (choice.mStatus == ChoiceStatus::Chosen) {
        RC_ASSERT(choice.mSoftwareVersion == "v0");
        RC_ASSERT(table.SoftwareVersionOf(choice.mTarget) == "v0");
      }
    });
  }

  // Streams whose version was gone sent nothing until the recovery timeout if
  // they had lost several targets just before.
  void VersionIsGoneWhileLossesAreBeingChecked()
  {
    TargetTableOptions options;
    options.mDeathCheckTime = milliseconds(100);
    TargetTable table(options);
    std::vector<TargetDeclaration> targets = { Declaration("t0", "v1"),
                                               Declaration("t1", "v1"),
                                               Declaration("t2", "v1") };
    Declare(table, targets);
    ChoiceQuery query = QueryOf("v1");
    query.mIsRetry = true;
    for (const TargetDeclaration& it : targets) {
      table.OnAttemptStart(it.mName, query.mContent, At(1));
      table.OnAttemptEnd(it.mName, query.mContent, AttemptOutcome::Lost, At(2));
      query.mExcluded.push_back(it.mName);
    }
    CPPUNIT_ASSERT(table.Choose(query, At(3)).mStatus ==
                   ChoiceStatus::Undecided);
    for (TargetDeclaration& it : targets) {
      it.mLeaving = true;
    }
    Declare(table, targets, At(4));
    CPPUNIT_ASSERT(table.Choose(query, At(5)).mStatus ==
                   ChoiceStatus::VersionGone);
  }

  void VersionIsGoneWhenOnlyLeavingTargetsHaveIt()
  {
    TargetTable table =
      MakeTable({ Declaration("t0", "v1"), Declaration("t1", "v2") });
    CPPUNIT_ASSERT(table.Choose(QueryOf("v1"), At(1)).mStatus ==
                   ChoiceStatus::Chosen);
    table.OnUnresponsive("t0", At(2));
    CPPUNIT_ASSERT(table.Choose(QueryOf("v1"), At(3)).mStatus ==
                   ChoiceStatus::NoneReady);
    table.MarkLeaving("t0");
    CPPUNIT_ASSERT(table.Choose(QueryOf("v1"), At(4)).mStatus ==
                   ChoiceStatus::VersionGone);
    CPPUNIT_ASSERT(table.Choose(QueryOf("v3"), At(4)).mStatus ==
                   ChoiceStatus::VersionGone);
  }

  // Guards against a stream that waits for its full version at the head of the
  // queue while the targets of another version are free.
  void StreamsThatWaitForTheirVersionDoNotDelayOthers()
  {
    TargetTable table =
      MakeTable({ Declaration("t0", "v1"), Declaration("t1", "v2") });
    for (std::uint64_t n = 0; n < 12; ++n) {
      table.OnAttemptStart("t0", 100 + n, At(0), { 8000, 1000 });
    }
    ChoiceQuery bound = QueryOf("v1");
    bound.mContinuation = true;
    CPPUNIT_ASSERT(table.Choose(bound, At(1)).mStatus == ChoiceStatus::Busy);
    CPPUNIT_ASSERT(table.Choose(MakeQuery("r2", 2), At(2)).mStatus ==
                   ChoiceStatus::Chosen);
  }

  void RestartedTargetIsOfItsNewVersion()
  {
    TargetTable table =
      MakeTable({ Declaration("t0", "v1"), Declaration("t1", "v1") });
    TargetDeclaration restarted = Declaration("t0", "v2");
    restarted.mIncarnation = "2";
    Declare(table, { restarted, Declaration("t1", "v1") }, At(10));
    for (int n = 0; n < 20; ++n) {
      CPPUNIT_ASSERT_EQUAL(std::string("t1"),
                           table.Choose(QueryOf("v1"), At(20)).mTarget);
      CPPUNIT_ASSERT_EQUAL(std::string("t0"),
                           table.Choose(QueryOf("v2"), At(20)).mTarget);
    }
  }

  // Guards against a stream that goes on at a target which has restarted with
  // another version while its entry still names the old one.
  void DeadTargetIsNotTrustedToKeepItsVersion()
  {
    TargetDeclaration fixed = Declaration("t1", "v1");
    fixed.mNamePerStart = true;
    TargetTable table = MakeTable({ Declaration("t0", "v1"), fixed });
    table.OnRefused("t0", At(10));
    table.OnRefused("t1", At(10));
    ChoiceQuery query = QueryOf("v1");
    CPPUNIT_ASSERT_EQUAL(std::string("t1"),
                         table.Choose(query, At(5000)).mTarget);
    query.mExcluded = { "t1" };
    CPPUNIT_ASSERT(table.Choose(query, At(5000)).mStatus ==
                   ChoiceStatus::NoneReady);
    table.OnAlive("t0", At(5010));
    CPPUNIT_ASSERT_EQUAL(std::string("t0"),
                         table.Choose(query, At(5020)).mTarget);
    table.OnLoadReport("t0", "2", "ready", 0, 0, At(5030));
    CPPUNIT_ASSERT(table.Choose(query, At(5040)).mStatus ==
                   ChoiceStatus::NoneReady);
  }

  // Guards against taking the entry of an earlier start for news when the entry
  // of another target changes.
  void RestartIsNotForgottenWhenOtherEntriesChange()
  {
    TargetTable table = MakeTable({ Declaration("t0", "v1") });
    table.OnLoadReport("t0", "2", "ready", 0, 0, At(10));
    int deaths = 0;
    table.SetDeathCallback([&](const DeathReport&) { ++deaths; });
    Declare(
      table, { Declaration("t0", "v1"), Declaration("t1", "v2") }, At(20));
    CPPUNIT_ASSERT_EQUAL(0, deaths);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), table.IncarnationOf("t0"));
    CPPUNIT_ASSERT(table.Choose(QueryOf("v1"), At(30)).mStatus ==
                   ChoiceStatus::NoneReady);
    TargetDeclaration restarted = Declaration("t0", "v1");
    restarted.mIncarnation = "2";
    Declare(table, { restarted, Declaration("t1", "v2") }, At(40));
    CPPUNIT_ASSERT_EQUAL(0, deaths);
    CPPUNIT_ASSERT_EQUAL(std::string("t0"),
                         table.Choose(QueryOf("v1"), At(50)).mTarget);
  }

  void NewStreamsAvoidVersionsWithASingleTarget()
  {
    TargetTable table = MakeTable({ Declaration("t0", "v1"),
                                    Declaration("t1", "v2"),
                                    Declaration("t2", "v2") });
    ChoiceQuery query = MakeQuery();
    query.mResumable = true;
    for (int n = 0; n < 20; ++n) {
      CPPUNIT_ASSERT(table.Choose(query, At(n)).mTarget != "t0");
    }
    for (std::uint64_t n = 0; n < 4; ++n) {
      table.OnAttemptStart("t1", 100 + n, At(20), { 100, 100 });
      table.OnAttemptStart("t2", 200 + n, At(20), { 100, 100 });
    }
    CPPUNIT_ASSERT_EQUAL(std::string("t0"),
                         table.Choose(query, At(21)).mTarget);
  }

  // Guards against other hosts that know a stream by an earlier attempt, which
  // brought no event.
  void RetriesPreferTheVersionThatWasTried()
  {
    TargetTable table = MakeTable({ Declaration("t0", "v1"),
                                    Declaration("t1", "v1"),
                                    Declaration("t2", "v2") });
    ChoiceQuery query = MakeQuery();
    query.mExcluded = { "t0" };
    query.mPreferredSoftwareVersion = "v1";
    for (std::uint64_t n = 0; n < 5; ++n) {
      table.OnAttemptStart("t1", 100 + n, At(0), { 100, 100 });
    }
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), table.Choose(query, At(1)).mTarget);
    table.OnConnectionBroken("t1", At(2));
    CPPUNIT_ASSERT_EQUAL(std::string("t2"), table.Choose(query, At(3)).mTarget);
    // Doubtful is worse than another version.
    CPPUNIT_ASSERT_EQUAL(std::string("t2"),
                         table.Choose(query, At(2000)).mTarget);
  }

  // Guards against the memory of a run that is sent to a target of another
  // software version.
  void CopiesStayWithinTheVersion()
  {
    TargetTable table = MakeTable({ Declaration("t0", "v1"),
                                    Declaration("t1", "v2"),
                                    Declaration("t2", "v2"),
                                    Declaration("t3", "v1") });
    CopyKeeper keeper(KeeperOptions(), table);
    CPPUNIT_ASSERT_EQUAL(std::string("t3"), keeper.ChooseHolder("t0", At(0)));
    CPPUNIT_ASSERT_EQUAL(std::string("t2"), keeper.ChooseHolder("t1", At(0)));
    keeper.OnRunStarted("t0", "");
    keeper.OnEventDelivered();
    // The run goes on after its target's entry was removed.
    Declare(table,
            { Declaration("t1", "v2"),
              Declaration("t2", "v2"),
              Declaration("t3", "v1") },
            At(10));
    CPPUNIT_ASSERT_EQUAL(std::string("t3"), *keeper.TakeNextOrder(At(20)));
  }

  // Guards against copies that are sent to the address of a former target,
  // which one of another version has taken over unseen.
  void CopiesWaitUntilTheTargetsAreKnownAgain()
  {
    TargetTable table = MakeTable({ Declaration("t0", "v1"),
                                    Declaration("t1", "v1"),
                                    Declaration("t2", "v1") });
    CopyKeeper keeper(KeeperOptions(), table);
    keeper.SetTargetsOutdated(true);
    CPPUNIT_ASSERT_EQUAL(std::string(), keeper.ChooseHolder("t0", At(0)));
    keeper.OnRunStarted("t0", "");
    keeper.OnEventDelivered();
    CPPUNIT_ASSERT(!keeper.TakeNextOrder(At(10)));
    keeper.SetTargetsOutdated(false);
    const auto holder = keeper.TakeNextOrder(At(20));
    CPPUNIT_ASSERT(holder.has_value());
    keeper.OnOrderCompleted(*holder, "a0", "h", At(30));
    // A copy that exists is kept, but not renewed meanwhile.
    keeper.SetTargetsOutdated(true);
    CPPUNIT_ASSERT_EQUAL(*holder, keeper.FindCopy(At(3500))->mHolder);
    CPPUNIT_ASSERT(!keeper.TakeNextOrder(At(3500)));
    keeper.SetTargetsOutdated(false);
    CPPUNIT_ASSERT_EQUAL(*holder, *keeper.TakeNextOrder(At(3510)));
  }

  // Guards against taking targets that a host knew from long ago for those that
  // an outage of the store has left.
  void TargetsThatWereOutdatedBeforeAnOutageStaySo()
  {
    EventLoop loop;
    Fleet fleet(loop, GatewaySettings());
    const Time now = EventLoop::Now();
    fleet.Readers().OnStoreRead(now - milliseconds(4000));
    fleet.OnStoreUnreachable();
    CPPUNIT_ASSERT(fleet.AreTargetsOutdated(now));
    // Another host tells what it has read later.
    fleet.Readers().OnStoreRead(now - milliseconds(1000));
    CPPUNIT_ASSERT(!fleet.AreTargetsOutdated(now));
    // No target can register while the outage goes on.
    CPPUNIT_ASSERT(!fleet.AreTargetsOutdated(now + milliseconds(9000)));
    fleet.OnStoreReachable();
    CPPUNIT_ASSERT(fleet.AreTargetsOutdated(now + milliseconds(9000)));
    // A host that has started in the outage has what other hosts told it.
    Fleet started(loop, GatewaySettings());
    started.OnStoreUnreachable();
    CPPUNIT_ASSERT(!started.AreTargetsOutdated(now));
  }

  void CopyAtATargetWithAnotherVersionIsNotUsed()
  {
    TargetTable table =
      MakeTable({ Declaration("t0", "v1"), Declaration("t1", "v1") });
    CopyKeeper keeper(KeeperOptions(), table);
    keeper.OnRunStarted("t0", "t1");
    keeper.OnEventDelivered();
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), keeper.FindCopy(At(1))->mHolder);
    Declare(
      table, { Declaration("t0", "v1"), Declaration("t1", "v2") }, At(10));
    CPPUNIT_ASSERT(!keeper.FindCopy(At(11)));
  }

  void ReplacementFoundDuringAnOutageHasAVersionOfItsOwn()
  {
    TargetEntries entries(milliseconds(2000));
    entries.OnRegistered(Entry("a", "v1"), 1, At(0));
    entries.OnStoreUnreachable(At(100));
    CPPUNIT_ASSERT(entries.OnReplaced("a", "b", "7", At(200)));
    const std::string found = entries.UsableTargets().at(0).mSoftwareVersion;
    CPPUNIT_ASSERT(!found.empty());
    CPPUNIT_ASSERT(found != "v1");
    CPPUNIT_ASSERT(entries.OnReplaced("b", "c", "7", At(300)));
    CPPUNIT_ASSERT(entries.UsableTargets().at(0).mSoftwareVersion != found);
    entries.OnStoreReachable(At(400));
    CPPUNIT_ASSERT(entries.OnRegistered(Entry("c", "v2"), 2, At(500)));
    CPPUNIT_ASSERT_EQUAL(std::string("v2"),
                         entries.UsableTargets().at(0).mSoftwareVersion);
    CPPUNIT_ASSERT(entries.OnRegistered(Entry("c", "v3"), 3, At(600)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoftwareVersionTests);
