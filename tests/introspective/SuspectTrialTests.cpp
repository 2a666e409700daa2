#include "core/SuspectRegistry.h"
#include "core/TargetTable.h"
#include "core/TrialRecord.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <string>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kFirst = 1;
constexpr std::uint64_t kSecond = 2;
constexpr std::uint64_t kHarmless = 3;

constexpr Duration kSettleTime = milliseconds(600);

Time
At(int aMs)
{
  return Time(std::chrono::hours(1) + milliseconds(aMs));
}

SuspectRegistry
MakeRegistry()
{
  return SuspectRegistry({ 3, kSettleTime, true });
}

// A request loses a run that started 80 ms before its target died.
void
Lose(SuspectRegistry& aRegistry,
     std::uint64_t aRequest,
     std::uint64_t aDeath,
     int aMs)
{
  aRegistry.OnRunLost(
    aRequest, { { aDeath, aDeath, At(aMs) }, At(aMs - 80) }, At(aMs + 30));
}

std::string
Judge(const SuspectRegistry& aRegistry, std::uint64_t aRequest, int aMs)
{
  return std::string(
    kSuspectVerdictNames.NameOf(aRegistry.Judge(aRequest, 0, At(aMs))));
}

TargetTable
MakeTable(int aTargets, int aCommonDeathThreshold = 0)
{
  TargetTableOptions options;
  options.mCommonDeathThreshold = aCommonDeathThreshold;
  options.mSampleSize = 0;
  options.mIsolateSuspects = false;
  options.mSuspectTrials = true;
  TargetTable table(options);
  std::vector<TargetDeclaration> targets;
  for (int n = 0; n < aTargets; ++n) {
    TargetDeclaration target;
    target.mName = "t" + std::to_string(n);
    target.mService = "s";
    target.mIncarnation = "0";
    targets.push_back(target);
  }
  table.Declare({ { "s", "" } }, targets, "", At(0));
  return table;
}

ChoiceQuery
QueryOf(const std::string& aRequestId, std::uint64_t aContent)
{
  ChoiceQuery query;
  query.mService = "s";
  query.mRequestId = aRequestId;
  query.mContent = aContent;
  query.mDeadline = At(60000);
  return query;
}

// Runs a request on a target that dies 0.5 s after the request has shown
// progress, aRunMs after it was sent.
void
LoseAfterProgress(TargetTable& aTable,
                  const std::string& aTarget,
                  const RequestContent& aRequest,
                  int aMs,
                  int aRunMs = 2800)
{
  aTable.OnAttemptStart(aTarget, aRequest, At(aMs));
  aTable.OnProgress(aTarget, aRequest, At(aMs + aRunMs - 500));
  aTable.OnAttemptEnd(
    aTarget, aRequest, AttemptOutcome::Lost, At(aMs + aRunMs));
  aTable.OnRefused(aTarget, At(aMs + aRunMs + 30));
}

// Ends three other targets under a request, some time apart, together with
// another request.
void
EndThreeTargets(TargetTable& aTable,
                std::uint64_t aRequest,
                std::uint64_t aOther)
{
  for (std::uint64_t n = 100; n < 103; ++n) {
    Lose(aTable.Suspects(), aRequest, n, 100);
    Lose(aTable.Suspects(), aOther, n, 100);
  }
}

} // namespace

// Trials of requests of which the evidence does not show whether they crash
// targets, without a network.
class SuspectTrialTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SuspectTrialTests);
  CPPUNIT_TEST(RequestsLostInTheSameDeathsNeedTrials);
  CPPUNIT_TEST(DeathsAtOneMomentDoNotExcuseTheRequests);
  CPPUNIT_TEST(ALoneRequestIsRefusedWithoutATrial);
  CPPUNIT_TEST(AHarmlessCallRetriedOnFailingTargetsIsNotRefused);
  CPPUNIT_TEST(AConvictedRequestExplainsTheDeathsOfOthers);
  CPPUNIT_TEST(AnExplainedRequestStillNeedsATrial);
  CPPUNIT_TEST(ALostTrialDoesNotConvictBesideAnotherSuspect);
  CPPUNIT_TEST(ALostTrialDoesNotConvictWhenAPlaceFails);
  CPPUNIT_TEST(ALostTrialConvictsAfterManyLosses);
  CPPUNIT_TEST(TheNewestLossesAreKeptInAnyOrder);
  CPPUNIT_TEST(AFinishedTrialClearsTheRequest);
  CPPUNIT_TEST(TwoLostTrialsConvict);
  CPPUNIT_TEST(AVanishedHostCountsAsALostTrial);
  CPPUNIT_TEST(RecordsAreReadAsWritten);
  CPPUNIT_TEST(FullRecordsAreReadAsWritten);
  CPPUNIT_TEST(NumbersOutOfRangeAreNotRead);
  CPPUNIT_TEST(ATrialRunsOnItsTargetOnly);
  CPPUNIT_TEST(TrialsDoNotShareATarget);
  CPPUNIT_TEST(AnAnswerThatEndsWithItsTargetIsALoss);
  CPPUNIT_TEST(AnAnswerThatEndsBeforeItsTargetIsRemovedIsNoLoss);
  CPPUNIT_TEST(AnAnswerThatEndsWithItsConnectionClearsOnceItsTargetHasSurvived);
  CPPUNIT_TEST(HostsWithoutTheStoreTakeTurnsAtTrials);
  CPPUNIT_TEST(AConvictionReachesHostsWithoutTheStore);
  CPPUNIT_TEST(AnOldReportOfAConvictionHasNoEffect);
  CPPUNIT_TEST(ARequestThatEndsItsTargetsAfterProgressIsSuspected);
  CPPUNIT_TEST(AStreamLostWithPlacesAfterProgressIsNotSuspected);
  CPPUNIT_TEST(AStreamThatFinishesIsClearedOfLossesAfterProgress);
  CPPUNIT_TEST(ALongerRunIsNotHeldAgainstAStream);
  CPPUNIT_TEST(ALateLossDoesNotConvictAPart);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against two requests that are lost in the same deaths being refused
  // only after five of them.
  void RequestsLostInTheSameDeathsNeedTrials()
  {
    SuspectRegistry registry = MakeRegistry();
    for (std::uint64_t death = 1; death <= 3; ++death) {
      Lose(registry, kFirst, death, static_cast<int>(2000 * death));
      Lose(registry, kSecond, death, static_cast<int>(2000 * death));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("unsettled"),
                         Judge(registry, kFirst, 6100));
    CPPUNIT_ASSERT_EQUAL(std::string("unclear"), Judge(registry, kFirst, 6700));
    CPPUNIT_ASSERT_EQUAL(std::string("unclear"),
                         Judge(registry, kSecond, 6700));
  }

  // Guards against the rule of common failures, which never counted a request
  // that ended one target at each of several moments while another request
  // ended the other targets.
  void DeathsAtOneMomentDoNotExcuseTheRequests()
  {
    SuspectRegistry registry = MakeRegistry();
    for (std::uint64_t moment = 0; moment < 3; ++moment) {
      const int ms = static_cast<int>(4000 * moment) + 1000;
      Lose(registry, kFirst, 10 * moment, ms);
      Lose(registry, kSecond, 10 * moment + 1, ms);
      Lose(registry, kSecond, 10 * moment + 2, ms + 50);
    }
    CPPUNIT_ASSERT_EQUAL(0, registry.Deaths(kFirst, At(12000)));
    CPPUNIT_ASSERT_EQUAL(std::string("unclear"),
                         Judge(registry, kFirst, 12000));
    CPPUNIT_ASSERT_EQUAL(std::string("refused"),
                         Judge(registry, kSecond, 12000));
  }

  void ALoneRequestIsRefusedWithoutATrial()
  {
    SuspectRegistry registry = MakeRegistry();
    for (std::uint64_t death = 1; death <= 3; ++death) {
      Lose(registry, kFirst, death, static_cast<int>(2000 * death));
      // Others that run on the same targets are lost once each.
      Lose(registry, 100 + death, death, static_cast<int>(2000 * death));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("refused"), Judge(registry, kFirst, 6700));
  }

  // Guards against refusing a harmless call that has lost more runs than the
  // requests that ended its targets.
  void AHarmlessCallRetriedOnFailingTargetsIsNotRefused()
  {
    SuspectRegistry registry = MakeRegistry();
    const std::uint64_t crashing[] = { kFirst, kSecond, 4 };
    for (std::uint64_t n = 0; n < 3; ++n) {
      const int ms = 1000 + static_cast<int>(110 * n);
      Lose(registry, crashing[n], n, ms);
      Lose(registry, kHarmless, n, ms);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("unclear"),
                         Judge(registry, kHarmless, 2000));
  }

  void AConvictedRequestExplainsTheDeathsOfOthers()
  {
    SuspectRegistry registry = MakeRegistry();
    for (std::uint64_t death = 1; death <= 3; ++death) {
      Lose(registry, kFirst, death, 1000);
      Lose(registry, kHarmless, death, 1000);
    }
    CPPUNIT_ASSERT(
      !registry.JudgeLostTrial(kFirst, At(2000), At(2100)).has_value());
    Lose(registry, kFirst, 4, 2090);
    CPPUNIT_ASSERT(registry.JudgeLostTrial(kFirst, At(2000), At(2200)) == true);
    registry.Convict(kFirst, At(2200));
    CPPUNIT_ASSERT_EQUAL(std::string("refused"), Judge(registry, kFirst, 2200));
    CPPUNIT_ASSERT_EQUAL(0, registry.Deaths(kHarmless, At(2200)));
    CPPUNIT_ASSERT_EQUAL(std::string("unclear"),
                         Judge(registry, kHarmless, 2200));
  }

  // Guards against a second crashing request going free because a convicted one
  // explains the deaths that both were lost in.
  void AnExplainedRequestStillNeedsATrial()
  {
    SuspectRegistry registry = MakeRegistry();
    for (std::uint64_t death = 1; death <= 3; ++death) {
      Lose(registry, kFirst, death, static_cast<int>(4000 * death));
      Lose(registry, kSecond, death, static_cast<int>(4000 * death));
    }
    registry.Convict(kFirst, At(13000));
    CPPUNIT_ASSERT_EQUAL(std::string("unclear"),
                         Judge(registry, kSecond, 13000));
  }

  void ALostTrialDoesNotConvictBesideAnotherSuspect()
  {
    SuspectRegistry registry = MakeRegistry();
    for (std::uint64_t death = 1; death <= 3; ++death) {
      Lose(registry, kFirst, death, 1000);
      Lose(registry, kHarmless, death, 1000);
    }
    for (std::uint64_t death = 4; death <= 5; ++death) {
      Lose(registry, kSecond, death, 1000);
    }
    Lose(registry, kHarmless, 6, 2090);
    Lose(registry, kSecond, 6, 2090);
    CPPUNIT_ASSERT(registry.JudgeLostTrial(kHarmless, At(2000), At(2200)) ==
                   false);
  }

  void ALostTrialDoesNotConvictWhenAPlaceFails()
  {
    SuspectRegistry registry = MakeRegistry();
    for (std::uint64_t death = 1; death <= 3; ++death) {
      Lose(registry, kHarmless, death, 1000);
    }
    for (std::uint64_t death = 7; death <= 8; ++death) {
      registry.OnTargetDeath({ death, 4, At(2080) });
    }
    Lose(registry, kHarmless, 4, 2090);
    CPPUNIT_ASSERT(registry.JudgeLostTrial(kHarmless, At(2000), At(2200)) ==
                   false);
  }

  // Guards against a request that was lost so often, in bursts at several
  // hosts, that the loss of its trial is not recorded: one trial followed the
  // other.
  void ALostTrialConvictsAfterManyLosses()
  {
    SuspectRegistry registry = MakeRegistry();
    for (std::uint64_t death = 1; death <= 20; ++death) {
      Lose(registry, kFirst, death, 1000);
      Lose(registry, kSecond, death, 1000);
    }
    Lose(registry, kFirst, 21, 2090);
    CPPUNIT_ASSERT(registry.JudgeLostTrial(kFirst, At(2000), At(2200)) == true);
  }

  // Guards against hosts that keep different losses of the same request.
  void TheNewestLossesAreKeptInAnyOrder()
  {
    SuspectRegistry registries[] = { MakeRegistry(), MakeRegistry() };
    for (std::uint64_t n = 0; n < 20; ++n) {
      for (const std::uint64_t it : { n, 19 - n }) {
        Lose(
          registries[it == n ? 0 : 1], kFirst, it, static_cast<int>(100 * it));
      }
    }
    std::vector<std::set<std::uint64_t>> deaths;
    for (SuspectRegistry& it : registries) {
      deaths.emplace_back();
      const auto reports = it.Reports(At(3000));
      for (const LostRun& run : reports.front().mRuns) {
        deaths.back().insert(run.mDeath.mId);
      }
    }
    CPPUNIT_ASSERT(deaths[0] == deaths[1]);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), deaths[0].count(19));
  }

  void AFinishedTrialClearsTheRequest()
  {
    SuspectRegistry registry = MakeRegistry();
    for (std::uint64_t death = 1; death <= 3; ++death) {
      Lose(registry, kFirst, death, 1000);
      Lose(registry, kHarmless, death, 1000);
    }
    registry.ClearSuspect(kHarmless, At(2000));
    CPPUNIT_ASSERT_EQUAL(std::string("free"), Judge(registry, kHarmless, 2000));
    const TrialRecord record = FinishTrial(
      BeginTrial({ 1, false, false, {} }, false), TrialOutcome::Cleared);
    CPPUNIT_ASSERT_EQUAL(0, record.mLost);
    CPPUNIT_ASSERT(!record.mHeld);
  }

  void TwoLostTrialsConvict()
  {
    TrialRecord record =
      FinishTrial(BeginTrial(TrialRecord(), false), TrialOutcome::Lost);
    CPPUNIT_ASSERT(!record.mConvicted);
    record = FinishTrial(BeginTrial(record, false), TrialOutcome::Inconclusive);
    CPPUNIT_ASSERT_EQUAL(1, record.mLost);
    record = FinishTrial(BeginTrial(record, false), TrialOutcome::Lost);
    CPPUNIT_ASSERT(record.mConvicted);
    CPPUNIT_ASSERT(!record.mHeld);
    CPPUNIT_ASSERT(
      FinishTrial(TrialRecord(), TrialOutcome::Convicted).mConvicted);
  }

  // Guards against hosts that are killed during their trials, each of which
  // would allow another one.
  void AVanishedHostCountsAsALostTrial()
  {
    TrialRecord record = BeginTrial(TrialRecord(), false);
    CPPUNIT_ASSERT(record.mHeld);
    record = BeginTrial(record, true);
    CPPUNIT_ASSERT(record.mHeld);
    CPPUNIT_ASSERT_EQUAL(1, record.mLost);
    record = BeginTrial(record, true);
    CPPUNIT_ASSERT(record.mConvicted);
    CPPUNIT_ASSERT(!record.mHeld);
  }

  void RecordsAreReadAsWritten()
  {
    const auto record =
      ParseTrialRecord(FormatTrialRecord({ 1, false, true, {} }));
    CPPUNIT_ASSERT(record.has_value());
    CPPUNIT_ASSERT_EQUAL(1, record->mLost);
    CPPUNIT_ASSERT(!record->mConvicted);
    CPPUNIT_ASSERT(record->mHeld);
    for (const char* it : { "", "1 0", "x 0 0", "-1 0 0" }) {
      CPPUNIT_ASSERT(!ParseTrialRecord(it).has_value());
    }
  }

  // Guards against a record with more lost trials than its readers take, which
  // acquits a convicted request.
  void FullRecordsAreReadAsWritten()
  {
    TrialRecord full;
    full.mLost = kMaxLostTrials;
    for (const TrialRecord& it :
         { BeginTrial(full, true),
           FinishTrial(full, TrialOutcome::Lost),
           FinishTrial(full, TrialOutcome::Convicted) }) {
      const auto record = ParseTrialRecord(FormatTrialRecord(it));
      CPPUNIT_ASSERT(record.has_value());
      CPPUNIT_ASSERT_EQUAL(kMaxLostTrials, record->mLost);
      CPPUNIT_ASSERT(record->mConvicted);
      CPPUNIT_ASSERT(!record->mHeld);
    }
  }

  // Guards against a number with too many digits, whose last ones were read as
  // the next number, so that a conviction was read as a trial in progress.
  void NumbersOutOfRangeAreNotRead()
  {
    for (const char* it : { "1000000000 1 0",
                            "2147483648 1 0",
                            "1 10 0",
                            "1 1 00000000000000a1",
                            "2 -1 0" }) {
      CPPUNIT_ASSERT_MESSAGE(it, !ParseTrialRecord(it).has_value());
    }
    CPPUNIT_ASSERT(ParseTrialRecord("999999999 1 0")->mConvicted);
  }

  void ATrialRunsOnItsTargetOnly()
  {
    TargetTable table = MakeTable(4);
    EndThreeTargets(table, kFirst, kSecond);
    std::vector<std::string> offered;
    table.SetTrialCallback([&](const ChoiceQuery&, const std::string& aTarget) {
      offered.push_back(aTarget);
    });
    const ChoiceQuery query = QueryOf("a", kFirst);
    CPPUNIT_ASSERT(table.Choose(query, At(1000)).mStatus ==
                   ChoiceStatus::Undecided);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), offered.size());
    table.AllowTrial(query, "t2", At(1010));
    // A copy of the request at the same host waits for the trial.
    CPPUNIT_ASSERT(table.Choose(QueryOf("b", kFirst), At(1020)).mStatus ==
                   ChoiceStatus::Undecided);
    const Choice choice = table.Choose(query, At(1020));
    CPPUNIT_ASSERT(choice.mStatus == ChoiceStatus::Chosen);
    CPPUNIT_ASSERT_EQUAL(std::string("t2"), choice.mTarget);
    table.OnAttemptStart("t2", kFirst, At(1020));
    CPPUNIT_ASSERT(table.Choose(query, At(1030)).mStatus ==
                   ChoiceStatus::Undecided);
    table.OnAttemptEnd("t2", kFirst, AttemptOutcome::Lost, At(1100));
    const SuspectTrial* trial = table.FindTrial(kFirst);
    CPPUNIT_ASSERT(trial != nullptr);
    CPPUNIT_ASSERT(trial->mStartedAt == At(1020));
    CPPUNIT_ASSERT(trial->mOutcome == AttemptOutcome::Lost);
  }

  // Guards against a trial that is lost because of the one beside it.
  void TrialsDoNotShareATarget()
  {
    TargetTable table = MakeTable(2);
    EndThreeTargets(table, kFirst, kSecond);
    std::vector<std::string> offered;
    table.SetTrialCallback([&](const ChoiceQuery&, const std::string& aTarget) {
      offered.push_back(aTarget);
    });
    table.AllowTrial(QueryOf("a", kFirst), "t0", At(1000));
    table.Choose(QueryOf("b", kSecond), At(1010));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), offered.size());
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), offered.back());
    // Another host's trial is on the second target.
    table.AvoidForTrials("t1", At(1200));
    table.Choose(QueryOf("b", kSecond), At(1100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), offered.size());
    table.Choose(QueryOf("b", kSecond), At(1300));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), offered.size());
  }

  // Guards against a crashing request counting as served because its target's
  // answer had neither a length nor chunks, so that the crash looks like its
  // end.
  void AnAnswerThatEndsWithItsTargetIsALoss()
  {
    TargetTable table = MakeTable(4);
    table.OnAttemptStart("t0", kFirst, At(1000));
    table.OnAttemptEnd("t0", kFirst, AttemptOutcome::FinishedByClose, At(1080));
    table.OnSurvived("t0", At(1070));
    table.OnRefused("t0", At(1110));
    table.OnSurvived("t0", At(2000));
    CPPUNIT_ASSERT_EQUAL(1, table.Suspects().Deaths(kFirst, At(2000)));
  }

  // Guards against blaming requests whose answers ended with their connections
  // when their target's entry is removed without the target's leaving first.
  void AnAnswerThatEndsBeforeItsTargetIsRemovedIsNoLoss()
  {
    TargetTable table = MakeTable(1);
    table.OnAttemptStart("t0", kFirst, At(1000));
    table.OnAttemptEnd("t0", kFirst, AttemptOutcome::FinishedByClose, At(1080));
    table.Declare({ { "s", "" } }, {}, "", At(2000));
    CPPUNIT_ASSERT_EQUAL(0, table.Suspects().Deaths(kFirst, At(2000)));
  }

  // Guards against targets that never frame their answers, whose requests would
  // stay suspected.
  void AnAnswerThatEndsWithItsConnectionClearsOnceItsTargetHasSurvived()
  {
    TargetTable table = MakeTable(4);
    EndThreeTargets(table, kFirst, kSecond);
    table.OnAttemptStart("t0", kFirst, At(1000));
    table.OnAttemptEnd("t0", kFirst, AttemptOutcome::FinishedByClose, At(1080));
    CPPUNIT_ASSERT(table.Suspects().IsSuspected(kFirst, At(1090)));
    table.OnSurvived("t0", At(1110));
    CPPUNIT_ASSERT(!table.Suspects().IsSuspected(kFirst, At(1110)));
    CPPUNIT_ASSERT(table.Suspects().IsSuspected(kSecond, At(1110)));
  }
  // Guards against a trial on each host of a fleet while the store is down: a
  // host hears of a loss within 400 ms, as the turns assume.
  void HostsWithoutTheStoreTakeTurnsAtTrials()
  {
    SuspectRegistry registry = MakeRegistry();
    for (std::uint64_t death = 1; death <= 3; ++death) {
      Lose(registry, kFirst, death, static_cast<int>(1000 * death));
    }
    const auto turnAt = [&](std::size_t aTurn) {
      return registry.NextUnrecordedTrial(kFirst, aTurn, At(10000));
    };
    CPPUNIT_ASSERT(turnAt(0) >= At(3000) + kSettleTime);
    for (std::size_t turn = 0; turn < 450; ++turn) {
      CPPUNIT_ASSERT(turnAt(turn + 1) - turnAt(turn) >= milliseconds(400));
    }
    // The first host loses its trial: nobody else's turn has come, and each
    // further loss doubles the pause.
    const Time second = turnAt(1);
    Lose(registry, kFirst, 4, 4100);
    CPPUNIT_ASSERT(turnAt(0) > second);
    Lose(registry, kFirst, 5, 7000);
    CPPUNIT_ASSERT(turnAt(0) >= At(11000));
  }

  // Guards against a trial on one host after the other while the store is down:
  // a conviction stayed with the host whose trial had brought it.
  void AConvictionReachesHostsWithoutTheStore()
  {
    SuspectRegistry first = MakeRegistry();
    SuspectRegistry second = MakeRegistry();
    for (std::uint64_t death = 1; death <= 4; ++death) {
      Lose(first, kFirst, death, static_cast<int>(1000 * death));
      Lose(first, kSecond, death, static_cast<int>(1000 * death));
    }
    for (const SuspectReport& it : first.TakeNews(At(4100))) {
      second.Merge(it, false, At(4100));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("unclear"), Judge(second, kFirst, 9000));
    first.Convict(kFirst, At(4200));
    first.TellConviction(kFirst, At(4200));
    const auto news = first.TakeConvictionNews(At(4200));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), news.size());
    CPPUNIT_ASSERT(second.MergeConviction(news[0], true, At(4300)));
    CPPUNIT_ASSERT_EQUAL(std::string("refused"), Judge(second, kFirst, 4300));
    CPPUNIT_ASSERT_EQUAL(std::string("free"), Judge(second, kHarmless, 4300));
    // It is told several times, and passed on once.
    CPPUNIT_ASSERT(first.HasConvictionNews());
    CPPUNIT_ASSERT(first.TakeConvictionNews(At(4300)).empty());
    CPPUNIT_ASSERT(!first.TakeConvictionNews(At(4500)).empty());
    CPPUNIT_ASSERT(!second.MergeConviction(news[0], true, At(4500)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         second.TakeConvictionNews(At(4500)).size());
    CPPUNIT_ASSERT(!second.HasConvictionNews());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         first.ConvictionReports(At(9000)).size());
  }

  // Guards against refusing what was served after the conviction, once an old
  // message about it arrives.
  void AnOldReportOfAConvictionHasNoEffect()
  {
    const ConvictionReport report{ { kFirst, kSecond }, At(4000) };
    SuspectRegistry served = MakeRegistry();
    served.OnProgress({ kHarmless, { kFirst, kSecond } }, At(5000));
    CPPUNIT_ASSERT(!served.MergeConviction(report, true, At(20000)));
    // Another host has served the first, which leaves the set.
    SuspectRegistry told = MakeRegistry();
    told.Merge({ kFirst, {}, At(5000) }, false, At(5000));
    CPPUNIT_ASSERT(told.MergeConviction(report, true, At(5100)));
    CPPUNIT_ASSERT_EQUAL(std::string("free"), Judge(told, kFirst, 5100));
    CPPUNIT_ASSERT_EQUAL(std::string("refused"), Judge(told, kSecond, 5100));
    // It ends ten minutes after it was made.
    SuspectRegistry late = MakeRegistry();
    CPPUNIT_ASSERT(!late.MergeConviction(report, true, At(700000)));
    CPPUNIT_ASSERT(!late.HasConvictionNews());
  }

  // Guards against a request that ends each target 2.5 s after its first event
  // never being stopped, as two seconds of output cleared it.
  void ARequestThatEndsItsTargetsAfterProgressIsSuspected()
  {
    TargetTable table = MakeTable(6);
    for (int n = 0; n < 3; ++n) {
      CPPUNIT_ASSERT_EQUAL(std::string("free"),
                           Judge(table.Suspects(), kFirst, 4000 * n));
      LoseAfterProgress(
        table, "t" + std::to_string(n), kFirst, 4000 * n + 1000);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("unclear"),
                         Judge(table.Suspects(), kFirst, 13000));
    // The trial is lost in the same way.
    const SuspectSet suspects = table.Suspects().SuspectsOf(kFirst, At(13000));
    LoseAfterProgress(table, "t3", kFirst, 13000);
    CPPUNIT_ASSERT(table.Suspects().JudgeLostTrial(
                     kFirst, suspects, At(13000), At(16000)) == true);
    table.Suspects().Convict(suspects, At(16000));
    CPPUNIT_ASSERT_EQUAL(std::string("refused"),
                         Judge(table.Suspects(), kFirst, 16000));
    CPPUNIT_ASSERT_EQUAL(std::string("free"),
                         Judge(table.Suspects(), kSecond, 16000));
  }

  // Guards against long streams being suspected because places fail every few
  // seconds.
  void AStreamLostWithPlacesAfterProgressIsNotSuspected()
  {
    TargetTable table = MakeTable(12, 3);
    for (int n = 0; n < 4; ++n) {
      const int ms = 7000 * n + 1000;
      for (int target = 3 * n; target < 3 * n + 3; ++target) {
        LoseAfterProgress(table,
                          "t" + std::to_string(target),
                          target == 3 * n ? kHarmless : 100 + target,
                          ms + 10 * target,
                          6000);
      }
      CPPUNIT_ASSERT_EQUAL(std::string("free"),
                           Judge(table.Suspects(), kHarmless, ms + 6900));
    }
  }

  void AStreamThatFinishesIsClearedOfLossesAfterProgress()
  {
    TargetTable table = MakeTable(6);
    for (int n = 0; n < 4; ++n) {
      LoseAfterProgress(
        table, "t" + std::to_string(n), kHarmless, 4000 * n + 1000);
      if (n == 1) {
        table.OnAttemptStart("t5", kHarmless, At(8000));
        table.OnAttemptEnd("t5", kHarmless, AttemptOutcome::Finished, At(8100));
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string("free"),
                         Judge(table.Suspects(), kHarmless, 18000));
  }

  // Guards against streams being suspected because targets die at any time:
  // what crashes them does so at about the same point.
  void ALongerRunIsNotHeldAgainstAStream()
  {
    TargetTable table = MakeTable(6);
    const int runMs[] = { 2800, 9000, 2800, 3000 };
    for (int n = 0; n < 4; ++n) {
      LoseAfterProgress(
        table, "t" + std::to_string(n), kHarmless, 10000 * n + 1000, runMs[n]);
      CPPUNIT_ASSERT_EQUAL(
        std::string(n == 3 ? "unclear" : "free"),
        Judge(table.Suspects(), kHarmless, 10000 * n + 10900));
    }
  }

  // Guards against a sound part being held to account for a request that ends
  // its targets after the part was served.
  void ALateLossDoesNotConvictAPart()
  {
    TargetTable table = MakeTable(6);
    const RequestContent request(kFirst, { kHarmless });
    for (int n = 0; n < 4; ++n) {
      LoseAfterProgress(
        table, "t" + std::to_string(n), request, 4000 * n + 1000);
    }
    CPPUNIT_ASSERT_EQUAL(
      0, table.Suspects().EvidenceOf(kHarmless, At(18000)).mLostRuns);
    CPPUNIT_ASSERT_EQUAL(
      0, table.Suspects().EvidenceOf(kFirst, At(18000)).mLostRuns);
    const RequestContent other(kSecond, { kHarmless });
    const SuspectSet suspects = table.Suspects().SuspectsOf(request, At(18000));
    table.Suspects().Convict(suspects, At(18000));
    CPPUNIT_ASSERT(table.Suspects().IsRefused(request, At(18000)));
    CPPUNIT_ASSERT(!table.Suspects().IsRefused(other, At(18000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectTrialTests);
