#include "core/PlainCall.h"
#include "core/SuspectRegistry.h"
#include "core/TargetTable.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <variant>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kCrashing = 1;
constexpr std::uint64_t kOther = 2;
constexpr std::uint64_t kPart = 3;

Time
At(int aMs)
{
  return Time(std::chrono::hours(1) + milliseconds(aMs));
}

// Declares targets of one service and place, each as "name" or
// "name/incarnation".
void
Declare(TargetTable& aTable, const std::vector<std::string>& aTargets, int aMs)
{
  std::vector<TargetDeclaration> targets;
  for (const std::string& it : aTargets) {
    const std::size_t slash = it.find('/');
    TargetDeclaration target;
    target.mName = it.substr(0, slash);
    target.mService = "s";
    target.mPlace = "p";
    target.mIncarnation =
      slash == std::string::npos ? "0" : it.substr(slash + 1);
    targets.push_back(target);
  }
  aTable.Declare({ { "s", "" } }, targets, "", At(aMs));
}

TargetTable
MakeTable(const std::vector<std::string>& aTargets)
{
  TargetTableOptions options;
  options.mSampleSize = 0;
  options.mIsolateSuspects = false;
  options.mSuspectTrials = true;
  options.mCommonDeathThreshold = 3;
  TargetTable table(options);
  Declare(table, aTargets, 0);
  return table;
}

// A run begins, its target falls silent, and the run is given up.
void
GiveUp(TargetTable& aTable,
       const std::string& aTarget,
       const RequestContent& aContent = kCrashing,
       int aStartMs = 1000,
       int aEndMs = 1500)
{
  aTable.OnAttemptStart(aTarget, aContent, At(aStartMs));
  aTable.OnAttemptEnd(aTarget, aContent, AttemptOutcome::GivenUp, At(aEndMs));
}

int
LostRuns(TargetTable& aTable, std::uint64_t aSuspect, int aMs)
{
  return aTable.Suspects().EvidenceOf(aSuspect, At(aMs)).mLostRuns;
}

} // namespace

// What ran at a target that fell silent and whose death becomes known later.
class SilentCrashTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SilentCrashTests);
  CPPUNIT_TEST(AGivenUpRunIsLostIfItsTargetRefuses);
  CPPUNIT_TEST(AGivenUpRunIsLostIfItsTargetHasRestarted);
  CPPUNIT_TEST(AGivenUpRunIsLostIfTheReportIsOfAnotherStart);
  CPPUNIT_TEST(AGivenUpRunIsLostIfTheEntryEnds);
  CPPUNIT_TEST(AGivenUpRunIsLostIfAnotherStartIsAtTheAddress);
  CPPUNIT_TEST(ARunThatEndsAfterTheEntryIsLost);
  CPPUNIT_TEST(ARunThatEndsAfterTheRestartIsLost);
  CPPUNIT_TEST(ARunThatFinishesAfterTheEntryClears);
  CPPUNIT_TEST(ATargetThatIsRegisteredAgainHasNotDied);
  CPPUNIT_TEST(ARunGivenUpAtATargetThatLivesIsNotLost);
  CPPUNIT_TEST(ARunGivenUpAtALeavingTargetIsNotLost);
  CPPUNIT_TEST(ARunGivenUpBehindACutIsNotLost);
  CPPUNIT_TEST(ARequestServedSinceIsNotBlamedLater);
  CPPUNIT_TEST(ARequestServedDuringASilentRunIsNotBlamed);
  CPPUNIT_TEST(APartServedSinceIsNotSuspectedLater);
  CPPUNIT_TEST(ASilentPlaceIsOneFailure);
  CPPUNIT_TEST(ATrialAtASilentTargetWaitsForItsEntry);
  CPPUNIT_TEST(ACallThatHasEndedATargetIsNotSentBesideASilentOne);
  CPPUNIT_TEST(ACallLostInACommonFailureIsSentBesideASilentTarget);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a request that silences its targets never being suspected,
  // as its runs are given up before their deaths are known.
  void AGivenUpRunIsLostIfItsTargetRefuses()
  {
    TargetTable table = MakeTable({ "t0" });
    GiveUp(table, "t0");
    CPPUNIT_ASSERT_EQUAL(0, LostRuns(table, kCrashing, 1500));
    table.OnRefused("t0", At(3000));
    CPPUNIT_ASSERT_EQUAL(1, LostRuns(table, kCrashing, 3000));
  }

  void AGivenUpRunIsLostIfItsTargetHasRestarted()
  {
    TargetTable table = MakeTable({ "t0" });
    GiveUp(table, "t0");
    Declare(table, { "t0/1" }, 5000);
    CPPUNIT_ASSERT_EQUAL(1, LostRuns(table, kCrashing, 5000));
  }

  void AGivenUpRunIsLostIfTheReportIsOfAnotherStart()
  {
    TargetTable table = MakeTable({ "t0" });
    GiveUp(table, "t0");
    table.OnLoadReport("t0", "1", "ready", 0, 0, At(5000));
    CPPUNIT_ASSERT_EQUAL(1, LostRuns(table, kCrashing, 5000));
  }

  void AGivenUpRunIsLostIfTheEntryEnds()
  {
    TargetTable table = MakeTable({ "t0", "t1" });
    GiveUp(table, "t0");
    Declare(table, { "t1" }, 4600);
    CPPUNIT_ASSERT_EQUAL(1, LostRuns(table, kCrashing, 4600));
  }

  void AGivenUpRunIsLostIfAnotherStartIsAtTheAddress()
  {
    TargetTable table = MakeTable({ "t0" });
    GiveUp(table, "t0");
    Declare(table, { "t0.1" }, 5000);
    CPPUNIT_ASSERT_EQUAL(1, LostRuns(table, kCrashing, 5000));
  }

  // Guards against forgetting what still ran when the entry ended.
  void ARunThatEndsAfterTheEntryIsLost()
  {
    for (const AttemptOutcome it :
         { AttemptOutcome::Lost, AttemptOutcome::GivenUp }) {
      TargetTable table = MakeTable({ "t0", "t1" });
      table.OnAttemptStart("t0", kCrashing, At(1000));
      Declare(table, { "t1" }, 4600);
      CPPUNIT_ASSERT_EQUAL(0, LostRuns(table, kCrashing, 4600));
      table.OnAttemptEnd("t0", kCrashing, it, At(16000));
      CPPUNIT_ASSERT_EQUAL(1, LostRuns(table, kCrashing, 16000));
    }
  }

  // Guards against forgetting the death of a start once the next one is heard.
  void ARunThatEndsAfterTheRestartIsLost()
  {
    TargetTable table = MakeTable({ "t0" });
    table.OnAttemptStart("t0", kCrashing, At(1000));
    Declare(table, { "t0/1" }, 5000);
    table.OnAlive("t0", At(5100));
    table.OnAttemptEnd("t0", kCrashing, AttemptOutcome::Lost, At(5200));
    CPPUNIT_ASSERT_EQUAL(1, LostRuns(table, kCrashing, 5200));
  }

  // Guards against an answer that comes after the entry's end not clearing.
  void ARunThatFinishesAfterTheEntryClears()
  {
    TargetTable table = MakeTable({ "t0", "t1" });
    GiveUp(table, "t1");
    table.OnRefused("t1", At(1600));
    table.OnAttemptStart("t0", kCrashing, At(2000));
    Declare(table, { "t1" }, 4600);
    table.OnAttemptEnd("t0", kCrashing, AttemptOutcome::Finished, At(5000));
    CPPUNIT_ASSERT_EQUAL(0, LostRuns(table, kCrashing, 5000));
  }

  // Guards against blaming runs for a gap in their target's registration.
  void ATargetThatIsRegisteredAgainHasNotDied()
  {
    TargetTable table = MakeTable({ "t0", "t1" });
    table.OnAttemptStart("t0", kCrashing, At(1000));
    Declare(table, { "t1" }, 4600);
    Declare(table, { "t0", "t1" }, 5000);
    table.OnAttemptEnd("t0", kCrashing, AttemptOutcome::GivenUp, At(6000));
    CPPUNIT_ASSERT_EQUAL(0, LostRuns(table, kCrashing, 6000));
    CPPUNIT_ASSERT(table.OwnLoad().empty());
    table.OnAlive("t0", At(6100));
    Declare(table, { "t1" }, 7000);
    CPPUNIT_ASSERT_EQUAL(0, LostRuns(table, kCrashing, 7000));
  }

  // Guards against blaming each caller that has left for what its target does
  // later.
  void ARunGivenUpAtATargetThatLivesIsNotLost()
  {
    TargetTable table = MakeTable({ "t0" });
    GiveUp(table, "t0");
    table.OnAlive("t0", At(1600));
    table.OnRefused("t0", At(3000));
    CPPUNIT_ASSERT_EQUAL(0, LostRuns(table, kCrashing, 3000));
  }

  void ARunGivenUpAtALeavingTargetIsNotLost()
  {
    TargetTable table = MakeTable({ "t0", "t1" });
    GiveUp(table, "t0");
    table.MarkLeaving("t0");
    Declare(table, { "t1" }, 4600);
    CPPUNIT_ASSERT_EQUAL(0, LostRuns(table, kCrashing, 4600));
  }

  // Guards against blaming runs that a cut of this host has silenced.
  void ARunGivenUpBehindACutIsNotLost()
  {
    TargetTable table = MakeTable({ "t0", "t1", "t2" });
    ReachState reach = ReachState::Suspected;
    table.SetReachCheck([&](const std::string&) { return reach; });
    GiveUp(table, "t0");
    table.OnCutBelieved("s");
    reach = ReachState::CutOff;
    GiveUp(table, "t1");
    table.OnAttemptStart("t2", kCrashing, At(1000));
    table.OnCutEnded("s");
    reach = ReachState::Reached;
    Declare(table, { "t2" }, 4600);
    table.OnRefused("t2", At(4700));
    CPPUNIT_ASSERT_EQUAL(0, LostRuns(table, kCrashing, 4700));
  }

  // Guards against refusing a request that others send all the time, as it is
  // served between the silence and the evidence of the deaths.
  void ARequestServedSinceIsNotBlamedLater()
  {
    TargetTable table = MakeTable({ "t0", "t1" });
    GiveUp(table, "t0", kOther);
    table.OnAttemptStart("t1", kOther, At(2000));
    table.OnAttemptEnd("t1", kOther, AttemptOutcome::Finished, At(2100));
    Declare(table, { "t1" }, 4600);
    CPPUNIT_ASSERT_EQUAL(0, LostRuns(table, kOther, 4600));
  }

  void ARequestServedDuringASilentRunIsNotBlamed()
  {
    for (const bool gone : { false, true }) {
      TargetTable table = MakeTable({ "t0", "t1" });
      table.OnAttemptStart("t0", kOther, At(1000));
      table.OnAttemptStart("t1", kOther, At(2000));
      table.OnAttemptEnd("t1", kOther, AttemptOutcome::Finished, At(2100));
      if (gone) {
        Declare(table, { "t1" }, 2500);
      }
      table.OnAttemptEnd("t0", kOther, AttemptOutcome::GivenUp, At(3000));
      Declare(table, { "t1" }, 4600);
      CPPUNIT_ASSERT_EQUAL(0, LostRuns(table, kOther, 4600));
    }
  }

  // Guards against suspecting the parts that sound requests share for deaths
  // that become known after the parts were served again.
  void APartServedSinceIsNotSuspectedLater()
  {
    TargetTable table = MakeTable({ "t0", "t1" });
    RequestContent crashing(kCrashing);
    crashing.mParts = { kPart };
    RequestContent sound(kOther);
    sound.mParts = { kPart };
    GiveUp(table, "t0", crashing);
    table.OnAttemptStart("t1", sound, At(2000));
    table.OnAttemptEnd("t1", sound, AttemptOutcome::Finished, At(2100));
    Declare(table, { "t1" }, 4600);
    CPPUNIT_ASSERT_EQUAL(1, LostRuns(table, kCrashing, 4600));
    CPPUNIT_ASSERT_EQUAL(0, LostRuns(table, kPart, 4600));
  }

  // Guards against counting targets that fell silent together as deaths of
  // different moments, as their runs are given up one after the other.
  void ASilentPlaceIsOneFailure()
  {
    TargetTable table = MakeTable({ "t0", "t1", "t2", "t3" });
    for (int n = 0; n < 3; ++n) {
      const std::string name = "t" + std::to_string(n);
      table.OnAttemptStart(name, kOther, At(900));
      table.OnAlive(name, At(1000 + 10 * n));
    }
    for (int n = 0; n < 3; ++n) {
      table.OnAttemptEnd("t" + std::to_string(n),
                         kOther,
                         AttemptOutcome::GivenUp,
                         At(1500 + 600 * n));
    }
    Declare(table, { "t3" }, 4600);
    const auto evidence = table.Suspects().EvidenceOf(kOther, At(6000));
    CPPUNIT_ASSERT_EQUAL(3, evidence.mLostRuns);
    CPPUNIT_ASSERT_EQUAL(0, evidence.mCounted);
  }

  // Guards against taking a trial for undecided before the death of its silent
  // target can be known, or for running once the target is heard from.
  void ATrialAtASilentTargetWaitsForItsEntry()
  {
    TargetTable table = MakeTable({ "t0", "t1" });
    ChoiceQuery query;
    query.mService = "s";
    query.mRequestId = "a";
    query.mContent = kCrashing;
    table.AllowTrial(query, "t0", At(900));
    GiveUp(table, "t0");
    CPPUNIT_ASSERT(table.FindTrial(kCrashing)->mOutcome ==
                   AttemptOutcome::GivenUp);
    table.OnAlive("t0", At(2000));
    CPPUNIT_ASSERT(table.FindTrial(kCrashing)->mOutcome ==
                   AttemptOutcome::Released);
  }

  // Guards against a crashing call taking as many targets into the dark as its
  // attempts allow, one beside the other, after its first death is known.
  void ACallThatHasEndedATargetIsNotSentBesideASilentOne()
  {
    TargetTable table = MakeTable({ "t0", "t1", "t2", "t3", "t4" });
    GiveUp(table, "t0");
    PlainCall call = MakeCall(table);
    CPPUNIT_ASSERT(std::holds_alternative<TryTarget>(call.Start(At(4000))));
    const auto beside = call.OnSilence(At(4300));
    CPPUNIT_ASSERT(beside);
    call.OnOtherAttemptEnded(PlainResult::Broken);
    table.OnRefused("t0", At(4400));
    CPPUNIT_ASSERT_EQUAL(1, LostRuns(table, kCrashing, 4400));
    CPPUNIT_ASSERT(!call.OnSilence(At(4600)));
    CPPUNIT_ASSERT(!call.OnSilence(At(6000)));
    // It may be a sound call that was lost with a target by chance.
    CPPUNIT_ASSERT(call.OnSilence(At(6100)));
    call.OnOtherAttemptEnded(PlainResult::Broken);
    // Its own target was lost meanwhile, so that it does not wait for it.
    CPPUNIT_ASSERT(std::holds_alternative<TryTarget>(
      call.OnResult(PlainResult::Broken, At(6200))));
  }

  // Guards against letting a sound call wait for a silent target because its
  // first one failed together with others.
  void ACallLostInACommonFailureIsSentBesideASilentTarget()
  {
    TargetTable table = MakeTable({ "t0", "t1", "t2", "t3", "t4" });
    for (int n = 0; n < 3; ++n) {
      GiveUp(table,
             "t" + std::to_string(n),
             n == 0 ? kCrashing : kOther + static_cast<std::uint64_t>(n));
    }
    Declare(table, { "t3", "t4" }, 4600);
    CPPUNIT_ASSERT_EQUAL(1, LostRuns(table, kCrashing, 4600));
    PlainCall call = MakeCall(table);
    CPPUNIT_ASSERT(std::holds_alternative<TryTarget>(call.Start(At(6000))));
    CPPUNIT_ASSERT(call.OnSilence(At(6300)));
  }

private:
  static PlainCall MakeCall(TargetTable& aTable)
  {
    ChoiceQuery query;
    query.mService = "s";
    query.mRequestId = "a";
    query.mContent = kCrashing;
    return PlainCall(query, true, At(20000), aTable, 5);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentCrashTests);
