#include "core/Generation.h"
#include "core/PlainCall.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <utility>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

const Time kStart = Time() + std::chrono::hours(1);
const Time kDeadline = kStart + std::chrono::seconds(25);

// Longer than any interval at which a silent target is checked.
constexpr Duration kSilence = milliseconds(2000);

constexpr ChoiceStatus kUnavailable[] = {
  ChoiceStatus::NoneReady,  ChoiceStatus::Busy,      ChoiceStatus::Poison,
  ChoiceStatus::NoBudget,   ChoiceStatus::Undecided, ChoiceStatus::AskedToWait,
  ChoiceStatus::VersionGone
};

// Offers one target, or none with a given status.
class SingleOffer : public TargetChooser
{
public:
  Choice Choose(const ChoiceQuery& aQuery, Time) override
  {
    mLastQuery = aQuery;
    Choice choice;
    choice.mStatus = mStatus;
    const auto& excluded = aQuery.mExcluded;
    if (std::count(excluded.begin(), excluded.end(), mTarget) > 0) {
      choice.mStatus = ChoiceStatus::NoneReady;
    }
    if (choice.mStatus == ChoiceStatus::Chosen) {
      choice.mTarget = mTarget;
    }
    return choice;
  }
  void CancelWait(const ChoiceQuery&) override { ++mCancelledWaits; }

  ChoiceStatus mStatus = ChoiceStatus::Chosen;
  std::string mTarget = "first";
  ChoiceQuery mLastQuery;
  int mCancelledWaits = 0;
};

// A stream on target "first" that has delivered one event.
class StartedStream
{
public:
  explicit StartedStream(int aMaxRuns = 0, bool aResumable = true)
    : mGeneration(MakeSpec(aMaxRuns, aResumable), mChooser)
  {
    Perform(mGeneration.Start(mNow));
    Deliver(0);
  }

  // Passes time, with each probe answered by aResult, or by aOther if it is not
  // that of the current attempt.
  void Wait(Duration aTime,
            ProbeResult aResult,
            ProbeResult aOther = ProbeResult::Alive)
  {
    const Time end = mNow + aTime;
    while (!mGeneration.IsDone() && mGeneration.NextTimer() <= end) {
      mNow = mGeneration.NextTimer();
      Perform(mGeneration.OnTimer(mNow));
      if (const int probed = std::exchange(mProbed, 0)) {
        const bool current = probed == mGeneration.CurrentAttempt();
        Perform(
          mGeneration.OnProbeResult(probed, current ? aResult : aOther, mNow));
      }
    }
    mNow = end;
  }

  // Delivers an event of the current attempt, or of any one.
  void Deliver(int aIndex) { Deliver(mGeneration.CurrentAttempt(), aIndex); }
  void Deliver(int aAttempt, int aIndex)
  {
    StreamEvent event;
    event.mRequestId = "r";
    event.mAttempt = aAttempt;
    event.mGeneration = "g";
    event.mIndex = aIndex;
    event.mText = "text";
    Perform(mGeneration.OnEvent(event, mNow));
  }

  // Breaks the connection of the current attempt.
  void Break() { End(mGeneration.CurrentAttempt(), AttemptEnd::Broken); }

  // Starts the response of an attempt.
  void Accept(int aAttempt)
  {
    Perform(mGeneration.OnAttemptAccepted(aAttempt, mNow));
  }

  // Ends an attempt.
  void End(int aAttempt, AttemptEnd aEnd)
  {
    Perform(mGeneration.OnAttemptEnded(aAttempt, aEnd, mNow));
  }

  // Passes time until the stream has been sent to as many targets; its own one
  // is silent.
  void AwaitDispatches(std::size_t aCount)
  {
    const Time end = mNow + 2 * kSilence;
    while (mDispatches.size() < aCount && mNow < end) {
      Wait(milliseconds(1), ProbeResult::NoAnswer);
    }
    CPPUNIT_ASSERT_EQUAL(aCount, mDispatches.size());
  }

  SingleOffer mChooser;
  Generation mGeneration;
  std::vector<std::string> mDispatches;
  int mCancelled = 0;
  int mAdopted = 0;
  int mDelivered = 0;
  int mReattached = 0;
  int mFailures = 0;

private:
  static GenerationSpec MakeSpec(int aMaxRuns, bool aResumable)
  {
    GenerationSpec spec;
    spec.mRequestId = "r";
    spec.mIdempotent = aResumable;
    spec.mResumable = aResumable;
    spec.mMaxRuns = aMaxRuns;
    spec.mDeadline = kDeadline;
    spec.mPolicy = RecoveryPolicy::Of(RecoveryPreset::LowLatency);
    spec.mPolicy.mCanReattach = false;
    return spec;
  }

  void Perform(const Actions& aActions)
  {
    for (const Action& it : aActions) {
      if (const auto* sent = std::get_if<DispatchAttempt>(&it)) {
        mDispatches.push_back(sent->mTarget);
      }
      if (const auto* probe = std::get_if<ProbeTarget>(&it)) {
        mProbed = probe->mAttempt;
      }
      mAdopted += std::holds_alternative<AdoptAttempt>(it) ? 1 : 0;
      mCancelled += std::holds_alternative<CancelAttempt>(it) ? 1 : 0;
      mDelivered += std::holds_alternative<DeliverText>(it) ? 1 : 0;
      mReattached += std::holds_alternative<ReattachStream>(it) ? 1 : 0;
      mFailures += std::holds_alternative<FailResponse>(it) ? 1 : 0;
    }
  }

  Time mNow = kStart;
  // Attempt whose target has been probed; 0 if none has.
  int mProbed = 0;
};

} // namespace

class SilentTargetTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SilentTargetTests);
  CPPUNIT_TEST(StreamStaysAtItsSilentTargetWhileNoOtherCanTakeIt);
  CPPUNIT_TEST(StreamWithoutRunsLeftStaysAtItsSilentTarget);
  CPPUNIT_TEST(StreamThatNoTargetHasAnsweredCanLeaveACutOffHost);
  CPPUNIT_TEST(StreamOnASilentConnectionStaysWhileNoOtherCanTakeIt);
  CPPUNIT_TEST(StreamLeavesItsSilentTargetOnceAnotherCanTakeIt);
  CPPUNIT_TEST(StreamThatWentOnDoesNotLeaveItsTarget);
  CPPUNIT_TEST(StreamResumesWhenItsSilentTargetHasLostItsRun);
  CPPUNIT_TEST(StreamStaysWhereItsRunIsNotReportedWhileOthersAreFull);
  CPPUNIT_TEST(StreamWithoutRunsLeftStaysWhereItsRunIsNotReported);
  CPPUNIT_TEST(StreamStaysAtASlowTargetAfterTheRecoveryTimeout);
  CPPUNIT_TEST(StreamThatCannotMoveStaysAfterTheRecoveryTimeout);
  CPPUNIT_TEST(StreamThatCannotMoveStaysWhenAProbeIsRefused);
  CPPUNIT_TEST(StreamGoesOnAtItsSilentTargetWhenOthersTurnItAway);
  CPPUNIT_TEST(StreamGoesOnAtItsSilentTargetWhenNothingElseAnswers);
  CPPUNIT_TEST(StreamGoesOnAtItsSilentTargetAfterTheRecoveryTimeout);
  CPPUNIT_TEST(StreamThatIsTakenBackWaitsForATarget);
  CPPUNIT_TEST(PlainCallStaysAtItsSilentTargetWhileNoOtherCanTakeIt);
  CPPUNIT_TEST(PlainCallLeavesItsSilentTargetForAnother);
  CPPUNIT_TEST(NonIdempotentCallNeverLeavesItsSilentTarget);
  CPPUNIT_TEST_SUITE_END();

public:
  // Streams were broken off although their targets were only silent for a
  // second, because no other target was available meanwhile.
  void StreamStaysAtItsSilentTargetWhileNoOtherCanTakeIt()
  {
    for (const ChoiceStatus status : kUnavailable) {
      StartedStream stream;
      stream.mChooser.mStatus = status;
      stream.Wait(kSilence, ProbeResult::NoAnswer);
      stream.Deliver(1);
      CPPUNIT_ASSERT_EQUAL(2, stream.mDelivered);
      CPPUNIT_ASSERT_EQUAL(0, stream.mCancelled);
      CPPUNIT_ASSERT_EQUAL(0, stream.mFailures);
    }
  }

  // Streams were broken off when a silence used up their last run.
  void StreamWithoutRunsLeftStaysAtItsSilentTarget()
  {
    StartedStream stream(1);
    stream.mChooser.mTarget = "second";
    stream.Wait(kSilence, ProbeResult::NoAnswer);
    stream.Deliver(1);
    CPPUNIT_ASSERT_EQUAL(2, stream.mDelivered);
    CPPUNIT_ASSERT_EQUAL(0, stream.mFailures);
  }

  // Streams stayed at a host that was cut off from all targets once it had
  // asked as many of them in vain as the request may run on.
  void StreamThatNoTargetHasAnsweredCanLeaveACutOffHost()
  {
    StartedStream stream(3);
    for (const char* it : { "second", "third" }) {
      stream.mChooser.mTarget = it;
      stream.Wait(kSilence, ProbeResult::NoAnswer, ProbeResult::NoAnswer);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), stream.mDispatches.size());
    const auto runs = [&](bool aCutOff) {
      return stream.mGeneration.RunsIfPassedOn(AttemptEnd::Broken, aCutOff);
    };
    CPPUNIT_ASSERT(!runs(false));
    CPPUNIT_ASSERT(runs(true) == 1);
  }

  // Streams were broken off when their target answered probes but sent no
  // event for a while.
  void StreamOnASilentConnectionStaysWhileNoOtherCanTakeIt()
  {
    StartedStream stream;
    stream.mChooser.mStatus = ChoiceStatus::NoBudget;
    stream.Wait(kSilence, ProbeResult::Alive);
    CPPUNIT_ASSERT_EQUAL(0, stream.mReattached);
    stream.Deliver(1);
    CPPUNIT_ASSERT_EQUAL(2, stream.mDelivered);
    CPPUNIT_ASSERT_EQUAL(0, stream.mFailures);
  }

  // Guards against a stream that waits for a dead target although another one
  // has become available.
  void StreamLeavesItsSilentTargetOnceAnotherCanTakeIt()
  {
    StartedStream stream;
    stream.mChooser.mStatus = ChoiceStatus::NoBudget;
    stream.Wait(kSilence, ProbeResult::NoAnswer);
    stream.mChooser.mStatus = ChoiceStatus::Chosen;
    stream.mChooser.mTarget = "second";
    stream.Wait(milliseconds(100), ProbeResult::NoAnswer);
    const std::vector<std::string> expected = { "first", "second" };
    CPPUNIT_ASSERT(stream.mDispatches == expected);
    CPPUNIT_ASSERT_EQUAL(0, stream.mCancelled);
    stream.Accept(2);
    CPPUNIT_ASSERT_EQUAL(1, stream.mCancelled);
    CPPUNIT_ASSERT_EQUAL(1, stream.mAdopted);
    stream.Deliver(1, 1);
    CPPUNIT_ASSERT_EQUAL(1, stream.mDelivered);
    stream.Deliver(2, 1);
    CPPUNIT_ASSERT_EQUAL(2, stream.mDelivered);
    CPPUNIT_ASSERT(stream.mChooser.mLastQuery.mIsRetry);
    CPPUNIT_ASSERT(stream.mChooser.mLastQuery.mContinuation);
    CPPUNIT_ASSERT(stream.mChooser.mLastQuery.mExcluded ==
                   std::vector<std::string>{ "first" });
  }

  // Guards against a needless second run of a stream that has gone on.
  void StreamThatWentOnDoesNotLeaveItsTarget()
  {
    StartedStream stream;
    stream.mChooser.mStatus = ChoiceStatus::Busy;
    stream.Wait(kSilence, ProbeResult::NoAnswer);
    stream.Deliver(1);
    CPPUNIT_ASSERT(stream.mChooser.mCancelledWaits > 0);
    stream.mChooser.mStatus = ChoiceStatus::Chosen;
    stream.mChooser.mTarget = "second";
    stream.Wait(milliseconds(100), ProbeResult::NoAnswer);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), stream.mDispatches.size());
  }

  // Streams waited until their deadline for a run that their only target had
  // lost while it was silent.
  void StreamResumesWhenItsSilentTargetHasLostItsRun()
  {
    for (const ProbeResult result :
         { ProbeResult::RunLost, ProbeResult::Dead }) {
      StartedStream stream;
      stream.Wait(kSilence, ProbeResult::NoAnswer);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), stream.mDispatches.size());
      stream.Wait(milliseconds(500), result);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), stream.mDispatches.size());
      stream.Deliver(1);
      CPPUNIT_ASSERT_EQUAL(2, stream.mDelivered);
    }
  }

  // Streams were broken off because a report lacked their run, which had been
  // preempted, and no other target had room.
  void StreamStaysWhereItsRunIsNotReportedWhileOthersAreFull()
  {
    for (const ChoiceStatus status :
         { ChoiceStatus::Busy, ChoiceStatus::NoBudget }) {
      StartedStream stream;
      stream.mChooser.mTarget = "second";
      stream.mChooser.mStatus = status;
      stream.Wait(std::chrono::seconds(12), ProbeResult::RunLost);
      stream.Deliver(1, 1);
      CPPUNIT_ASSERT_EQUAL(2, stream.mDelivered);
      CPPUNIT_ASSERT_EQUAL(0, stream.mCancelled);
      CPPUNIT_ASSERT_EQUAL(0, stream.mFailures);
    }
  }

  // Streams were broken off because a report lacked their last run.
  void StreamWithoutRunsLeftStaysWhereItsRunIsNotReported()
  {
    StartedStream stream(1);
    stream.mChooser.mTarget = "second";
    stream.Wait(kSilence, ProbeResult::RunLost);
    stream.Deliver(1, 1);
    CPPUNIT_ASSERT_EQUAL(2, stream.mDelivered);
    CPPUNIT_ASSERT_EQUAL(0, stream.mFailures);
  }

  // Streams that had moved were broken off when their new target took longer
  // than the recovery timeout for its first event.
  void StreamStaysAtASlowTargetAfterTheRecoveryTimeout()
  {
    StartedStream stream;
    stream.mChooser.mTarget = "second";
    stream.Wait(kSilence, ProbeResult::NoAnswer);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), stream.mDispatches.size());
    stream.mChooser.mStatus = ChoiceStatus::NoBudget;
    stream.Wait(std::chrono::seconds(12), ProbeResult::Alive);
    CPPUNIT_ASSERT_EQUAL(0, stream.mFailures);
    stream.Break();
    stream.mChooser.mStatus = ChoiceStatus::Chosen;
    stream.mChooser.mTarget = "third";
    stream.Wait(milliseconds(100), ProbeResult::NoAnswer);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), stream.mDispatches.size());
    stream.Deliver(1);
    CPPUNIT_ASSERT_EQUAL(2, stream.mDelivered);
  }

  // Streams that cannot be resumed were broken off when their target was silent
  // for longer than the recovery timeout.
  void StreamThatCannotMoveStaysAfterTheRecoveryTimeout()
  {
    StartedStream stream(0, false);
    stream.Wait(std::chrono::seconds(12), ProbeResult::NoAnswer);
    stream.Deliver(1);
    CPPUNIT_ASSERT_EQUAL(2, stream.mDelivered);
    CPPUNIT_ASSERT_EQUAL(0, stream.mFailures);
  }

  // Streams that cannot be resumed were broken off when a target without room
  // for another connection reset that of a probe.
  void StreamThatCannotMoveStaysWhenAProbeIsRefused()
  {
    StartedStream stream(0, false);
    stream.Wait(kSilence, ProbeResult::Dead);
    stream.Deliver(1);
    CPPUNIT_ASSERT_EQUAL(2, stream.mDelivered);
    CPPUNIT_ASSERT_EQUAL(0, stream.mFailures);
  }

  // Streams were broken off because they left a silent, sound target for others
  // that reset, refused or rejected them.
  void StreamGoesOnAtItsSilentTargetWhenOthersTurnItAway()
  {
    for (const AttemptEnd end : { AttemptEnd::Broken,
                                  AttemptEnd::Refused,
                                  AttemptEnd::Unreachable,
                                  AttemptEnd::NotStarted,
                                  AttemptEnd::VersionNotLoaded }) {
      StartedStream stream(3);
      for (const char* it : { "second", "third" }) {
        stream.mChooser.mTarget = it;
        stream.AwaitDispatches(stream.mDispatches.size() + 1);
        stream.End(static_cast<int>(stream.mDispatches.size()), end);
      }
      stream.Deliver(1, 1);
      stream.Deliver(1, 2);
      CPPUNIT_ASSERT_EQUAL(3, stream.mDelivered);
      CPPUNIT_ASSERT_EQUAL(0, stream.mCancelled);
      CPPUNIT_ASSERT_EQUAL(0, stream.mAdopted);
      CPPUNIT_ASSERT_EQUAL(0, stream.mFailures);
    }
  }

  // Streams were broken off because the target they left a silent, sound one
  // for was silent, too.
  void StreamGoesOnAtItsSilentTargetWhenNothingElseAnswers()
  {
    StartedStream stream;
    stream.mChooser.mTarget = "second";
    stream.AwaitDispatches(2);
    stream.mChooser.mStatus = ChoiceStatus::NoBudget;
    stream.Wait(
      milliseconds(700), ProbeResult::NoAnswer, ProbeResult::NoAnswer);
    stream.Deliver(1, 1);
    CPPUNIT_ASSERT_EQUAL(2, stream.mDelivered);
    CPPUNIT_ASSERT_EQUAL(0, stream.mFailures);
  }

  // Streams were broken off at the recovery timeout although their first target
  // was only silent.
  void StreamGoesOnAtItsSilentTargetAfterTheRecoveryTimeout()
  {
    StartedStream stream;
    stream.mChooser.mTarget = "second";
    stream.AwaitDispatches(2);
    stream.mChooser.mStatus = ChoiceStatus::NoBudget;
    stream.End(2, AttemptEnd::NotStarted);
    stream.Wait(std::chrono::seconds(12), ProbeResult::NoAnswer);
    stream.Deliver(1, 1);
    CPPUNIT_ASSERT_EQUAL(2, stream.mDelivered);
    CPPUNIT_ASSERT_EQUAL(0, stream.mFailures);
  }

  // A begun stream that its host takes back from other hosts was broken off
  // when no target was free at that moment.
  void StreamThatIsTakenBackWaitsForATarget()
  {
    for (const ChoiceStatus status :
         { ChoiceStatus::Busy, ChoiceStatus::NoneReady }) {
      GenerationSpec spec;
      spec.mRequestId = "r";
      spec.mBegun = true;
      spec.mDeadline = kDeadline;
      spec.mStartBy = Time();
      SingleOffer chooser;
      chooser.mStatus = status;
      Generation stream(spec, chooser);
      Time now = Time(milliseconds(5000));
      CPPUNIT_ASSERT(stream.Start(now).empty());
      CPPUNIT_ASSERT(!stream.IsDone());
      chooser.mStatus = ChoiceStatus::Chosen;
      now = stream.NextTimer();
      const Actions actions = stream.OnTimer(now);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, actions.size());
      CPPUNIT_ASSERT(std::holds_alternative<DispatchAttempt>(actions.front()));
    }
  }

  // Plain calls failed after their objective although their target would have
  // responded, because no other target was available.
  void PlainCallStaysAtItsSilentTargetWhileNoOtherCanTakeIt()
  {
    for (const ChoiceStatus status : kUnavailable) {
      SingleOffer chooser;
      PlainCall call({}, true, kDeadline, chooser);
      call.Start(kStart);
      chooser.mStatus = status;
      CPPUNIT_ASSERT(!call.OnSilence(kStart + kSilence));
    }
    SingleOffer chooser;
    PlainCall call({}, true, kDeadline, chooser, 1);
    call.Start(kStart);
    CPPUNIT_ASSERT(!call.OnSilence(kStart + kSilence));
  }

  // Guards against a call that waits for a dead target although another one is
  // available, and against more runs than the route allows.
  void PlainCallLeavesItsSilentTargetForAnother()
  {
    SingleOffer chooser;
    PlainCall call({}, true, kDeadline, chooser, 2);
    call.Start(kStart);
    chooser.mTarget = "second";
    const auto next = call.OnSilence(kStart + kSilence);
    CPPUNIT_ASSERT(next.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("second"), next->mTarget);
    // The second target has accepted the call, and the first one is left.
    call.OnOtherAttemptEnded(PlainResult::Broken);
    CPPUNIT_ASSERT(chooser.mLastQuery.mExcluded ==
                   std::vector<std::string>{ "first" });
    CPPUNIT_ASSERT(!call.OnSilence(kStart + kSilence));
    const PlainStep step = call.OnResult(PlainResult::Broken, kStart);
    CPPUNIT_ASSERT(std::holds_alternative<FailCall>(step));
    CPPUNIT_ASSERT(std::get<FailCall>(step).mFailure.mVerdict ==
                   RunVerdict::OutcomeUnknown);
  }

  // Guards against a second run of a call that may run at most once.
  void NonIdempotentCallNeverLeavesItsSilentTarget()
  {
    SingleOffer chooser;
    PlainCall call({}, false, kDeadline, chooser);
    call.Start(kStart);
    chooser.mTarget = "second";
    CPPUNIT_ASSERT(!call.OnSilence(kStart + kSilence));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentTargetTests);
