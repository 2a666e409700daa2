#include "core/Generation.h"

#include "core/SuspectRegistry.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

// Number of rejections by targets after which a request fails, unless it is
// recovering from a loss.
constexpr int kMaxRejections = 4;

// Maximum number of times that an undelivered response is restarted from the
// beginning.
constexpr int kMaxRestarts = 2;

// Interval between probes of a target that may still be running a
// non-idempotent request.
constexpr Duration kLostTargetProbeInterval = std::chrono::milliseconds(300);

// Delay before a cancellation is retried at a target that does not respond.
constexpr Duration kCancelRetryDelay = std::chrono::milliseconds(300);

// Delay before an exhausted retry budget is checked again.
constexpr Duration kBudgetRetryDelay = std::chrono::milliseconds(50);

// Interval at which another target is sought for a stream whose target is
// silent.
constexpr Duration kSilentTargetRetryDelay = std::chrono::milliseconds(50);

// Interval at which a request that waits for room at a brittle target asks
// again.
constexpr Duration kRoomInterval = std::chrono::milliseconds(4);

// Retry-After of a request refused for lack of capacity.
constexpr Duration kOverloadRetryAfter = std::chrono::milliseconds(1000);

// Retry-After of a request for which no target is ready.
constexpr Duration kNoTargetRetryAfter = std::chrono::milliseconds(2000);

// Default Retry-After of an idempotent request that failed, and of a request
// of a process that exits.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(500);

// Retry-After of a request suspected of crashing targets.
constexpr Duration kSuspectRetryAfter = SuspectRegistry::kRecordLifetime;

} // namespace

Generation::Generation(GenerationSpec aSpec, TargetChooser& aChooser)
  : mSpec(std::move(aSpec))
  , mChooser(aChooser)
  , mTimerAt(mSpec.mDeadline)
  , mRuns(mSpec.mPrior.mRuns)
{
  mSpec.mQuery.mSoftwareVersion = mSpec.mSoftwareVersion;
}

Actions
Generation::Start(Time aNow)
{
  Actions actions;
  if (mSpec.mBegun) {
    StartRecovery(aNow);
  }
  ChooseTarget(aNow, actions);
  return actions;
}

Actions
Generation::TakeOver(const TakeoverPoint& aPoint, Time aNow)
{
  Actions actions;
  mGeneration = aPoint.mGeneration;
  mDeliverFrom = aPoint.mDelivered;
  mTarget = aPoint.mTarget;
  mAttempt = aPoint.mAttempt;
  mLastAttempt = mAttempt;
  mTokens = aPoint.mTokens;
  mMayHaveStarted = true;
  mRecoveryDeadline = aNow + mSpec.mPolicy.mRecoveryTimeout;
  Reattach(aNow, actions);
  return actions;
}

Actions
Generation::OnEvent(const StreamEvent& aEvent, Time aNow)
{
  Actions actions;
  if (mTentative && aEvent.mAttempt == mTentative->mAttempt) {
    AcceptTentative(aNow, actions);
  }
  const bool listening = mPhase == Phase::Streaming || mPhase == Phase::Probing;
  if (!listening || aEvent.mAttempt != mAttempt) {
    ++mCounters.mLateEvents;
    return actions;
  }
  StopLeavingSilentTarget(actions);
  if (!MatchesRequest(aEvent)) {
    HandleMismatchedEvent(aNow, actions);
    return actions;
  }
  const int expected = static_cast<int>(mTokens.size());
  if (aEvent.mIndex < expected) {
    ++mCounters.mLateEvents;
    ResetSilenceTimer(aNow);
    return actions;
  }
  if (aEvent.mIndex > expected) {
    Reattach(aNow, actions);
    return actions;
  }
  if (!aEvent.mFinishReason.empty()) {
    Finish(aEvent, actions);
    return actions;
  }
  AcceptToken(aEvent, aNow, actions);
  return actions;
}

Actions
Generation::OnAttemptEnded(int aAttempt, AttemptEnd aEnd, Time aNow)
{
  Actions actions;
  if (mTentative && aAttempt == mTentative->mAttempt) {
    EndTentative(aEnd, aNow);
    return actions;
  }
  const bool listening = mPhase == Phase::Streaming || mPhase == Phase::Probing;
  if (!listening || aAttempt != mAttempt) {
    return actions;
  }
  if (mTentative && aEnd != AttemptEnd::InvalidRequest) {
    if (aEnd != AttemptEnd::Broken && aEnd != AttemptEnd::UnknownStream) {
      --mRuns;
    }
    ++mCounters.mLosses;
    Exclude(mTarget);
    StartRecovery(aNow);
    AdoptTentative(aNow, actions);
    return actions;
  }
  StopLeavingSilentTarget(actions);
  switch (aEnd) {
    case AttemptEnd::Refused:
    case AttemptEnd::Unreachable:
    case AttemptEnd::NotStarted:
    case AttemptEnd::VersionNotLoaded:
      OnNotStarted(aEnd, aNow, actions);
      break;
    case AttemptEnd::InvalidRequest:
      mAttemptOpen = false;
      FailWithRetryAfter(FailureCode::InvalidRequest,
                         "the engine rejected the request as invalid",
                         Duration::zero(),
                         actions);
      break;
    case AttemptEnd::Broken:
      OnConnectionBroken(aNow, actions);
      break;
    case AttemptEnd::UnknownStream:
      OnUnknownStream(aNow, actions);
      break;
  }
  return actions;
}

Actions
Generation::OnAttemptAccepted(int aAttempt, Time aNow)
{
  Actions actions;
  if (mTentative && aAttempt == mTentative->mAttempt) {
    AcceptTentative(aNow, actions);
  }
  return actions;
}

Actions
Generation::OnProbeResult(int aAttempt, ProbeResult aResult, Time aNow)
{
  Actions actions;
  if (mTentative && aAttempt == mTentative->mAttempt) {
    if (aResult == ProbeResult::Alive) {
      // It has not turned the attempt away, so it has queued or begun it.
      AcceptTentative(aNow, actions);
    } else {
      GiveUpTentative(aNow, actions);
    }
    return actions;
  }
  if (mPhase != Phase::Probing || aAttempt != mAttempt) {
    return actions;
  }
  switch (aResult) {
    case ProbeResult::Alive:
      OnTargetAlive(aNow, actions);
      break;
    case ProbeResult::Dead:
      if (mSpec.mResumable || !mAttemptOpen) {
        HandleTargetLoss(true, aNow, actions);
      } else {
        // Such a stream cannot move, and a target that has no room for the
        // probe's connection may still be running it.
        AwaitLostTarget(aNow, actions);
      }
      break;
    case ProbeResult::NoAnswer:
      HandleSilentTarget(aNow, actions);
      break;
    case ProbeResult::RunLost:
      HandleRunLost(aNow, actions);
      break;
  }
  return actions;
}

Actions
Generation::OnCancelResult(int aAttempt, CancelResult aResult, Time aNow)
{
  Actions actions;
  if (mPhase != Phase::Cancelling || aAttempt != mAttempt) {
    return actions;
  }
  if (aResult == CancelResult::Stopped) {
    FailOver(aNow, actions);
    return actions;
  }
  mTimerAt = aNow + kCancelRetryDelay;
  return actions;
}

Actions
Generation::OnFenceResult(int aAttempt, FenceResult aResult, Time aNow)
{
  Actions actions;
  if (mPhase != Phase::Fencing || aAttempt != mAttempt + 1) {
    return actions;
  }
  switch (aResult) {
    case FenceResult::Granted:
      Dispatch(mFencedChoice, aNow, actions);
      break;
    case FenceResult::Refused:
      Fail(FailureCode::OutcomeUnknown,
           "another router has taken over this request",
           actions);
      break;
    case FenceResult::Unavailable:
      Fail(FailureCode::OutcomeUnknown,
           "the fence for continuing the request could not be acquired in time",
           actions);
      break;
  }
  return actions;
}

Actions
Generation::OnTimer(Time aNow)
{
  Actions actions;
  if (mPhase == Phase::Done) {
    return actions;
  }
  if (aNow >= mSpec.mDeadline) {
    CancelCurrentAttempt(false, actions);
    Fail(FailureCode::DeadlineExceeded, "the deadline has passed", actions);
    if (Verdict() == RunVerdict::NotRun) {
      std::get<FailResponse>(actions.back()).mFailure.mRetryAfter =
        kOverloadRetryAfter;
    }
    return actions;
  }
  if (aNow >= RecoveryDeadline()) {
    CancelCurrentAttempt(false, actions);
    Fail(mSpec.mIdempotent ? FailureCode::GenerationLost
                           : FailureCode::OutcomeUnknown,
         "the stream was not resumed on any target before the recovery timeout",
         actions);
    return actions;
  }
  if (mTentative) {
    CheckTentative(aNow, actions);
    return actions;
  }
  if (aNow < mTimerAt) {
    return actions;
  }
  switch (mPhase) {
    case Phase::Choosing:
      ChooseTarget(aNow, actions);
      break;
    case Phase::Streaming:
      CheckTarget(aNow, actions);
      break;
    case Phase::Cancelling:
      CancelCurrentAttempt(true, actions);
      mTimerAt = aNow + mSpec.mPolicy.mRecoveryTimeout;
      break;
    case Phase::Idle:
    case Phase::Fencing:
    case Phase::Probing:
    case Phase::Done:
      break;
  }
  return actions;
}

Actions
Generation::OnCallerDisconnected(Time)
{
  Actions actions;
  if (mPhase == Phase::Done) {
    return actions;
  }
  CancelTentative(actions);
  CancelCurrentAttempt(false, actions);
  mChooser.CancelWait(mSpec.mQuery);
  mPhase = Phase::Done;
  return actions;
}

Actions
Generation::OnExit()
{
  Actions actions;
  if (mPhase == Phase::Done) {
    return actions;
  }
  CancelCurrentAttempt(false, actions);
  FailWithRetryAfter(FailureCode::Stopping,
                     "the host is shutting down",
                     kDefaultRetryAfter,
                     actions);
  return actions;
}

Actions
Generation::OnTargetStopping(Time aNow)
{
  Actions actions;
  if (mPhase != Phase::Streaming || mTokens.empty()) {
    return actions;
  }
  Exclude(mTarget);
  if (mSpec.mIdempotent) {
    CancelCurrentAttempt(false, actions);
    FailOver(aNow, actions);
    return actions;
  }
  mPhase = Phase::Cancelling;
  CancelCurrentAttempt(true, actions);
  mTimerAt = aNow + mSpec.mPolicy.mRecoveryTimeout;
  mRecoveryDeadline = aNow + mSpec.mPolicy.mRecoveryTimeout;
  return actions;
}

std::optional<int>
Generation::RunsIfPassedOn(std::optional<AttemptEnd> aEnd, bool aCutOff) const
{
  const bool started = aEnd == AttemptEnd::Broken;
  const int runs =
    mRuns - (aEnd && !started ? 1 : 0) - (aCutOff ? mUnansweredRuns : 0);
  const bool restartable = mSpec.mResumable && mSpec.mIdempotent;
  const bool allowed = restartable || (!mMayHaveStarted && !started);
  const bool left = mSpec.mMaxRuns == 0 || runs < mSpec.mMaxRuns;
  return allowed && left ? std::make_optional(runs) : std::nullopt;
}

Time
Generation::NextTimer() const
{
  const Time next = mTentative
                      ? std::min(mTentative->mProbeAt, mTentative->mDeadline)
                      : mTimerAt;
  return std::min({ next, RecoveryDeadline(), mSpec.mDeadline });
}

// Until when the stream must have been resumed. There is no limit while a
// target may be running it on an open connection, as another one is sought
// anyway if the stream can move.
Time
Generation::RecoveryDeadline() const
{
  const bool listening = mPhase == Phase::Streaming || mPhase == Phase::Probing;
  const bool movesOnlyIfStopped = mSpec.mResumable && !mSpec.mIdempotent;
  const bool running = listening && mAttemptOpen && !movesOnlyIfStopped;
  return running ? Time::max() : mRecoveryDeadline;
}

// Limits the time in which the stream must be resumed, unless it is already
// limited.
void
Generation::StartRecovery(Time aNow)
{
  if (aNow >= mRecoveryDeadline) {
    mRecoveryDeadline = Time::max();
  }
  mRecoveryDeadline =
    std::min(mRecoveryDeadline, aNow + mSpec.mPolicy.mRecoveryTimeout);
}

void
Generation::ChooseTarget(Time aNow, Actions& aActions)
{
  if (!HasRunsLeft()) {
    Fail(FailureCode::GenerationLost,
         "the request has reached its maximum number of runs",
         aActions);
    return;
  }
  mSpec.mQuery.mContinuation =
    !mTokens.empty() || !mSpec.mSoftwareVersion.empty();
  mSpec.mQuery.mIsRetry = mAttempt > 0 || mSpec.mPrior.mSent;
  mSpec.mQuery.mIsCounted = mSpec.mPrior.mCounted;
  const Choice choice = mChooser.Choose(mSpec.mQuery, aNow);
  switch (choice.mStatus) {
    case ChoiceStatus::Chosen:
      if (!mSpec.mIdempotent && !mTokens.empty()) {
        RequestFence(choice, aActions);
      } else {
        Dispatch(choice, aNow, aActions);
      }
      break;
    case ChoiceStatus::Busy:
    case ChoiceStatus::Undecided:
      AwaitCapacity(choice, aNow, aActions);
      break;
    case ChoiceStatus::AwaitingRoom:
      AwaitCapacity(choice, aNow, aActions);
      mTimerAt = std::min(mTimerAt, aNow + kRoomInterval);
      break;
    case ChoiceStatus::NoneReady:
      HandleNoTargetReady(aNow, aActions);
      break;
    case ChoiceStatus::AskedToWait:
      if (mRecoveryDeadline != Time::max() &&
          aNow + choice.mExpectedWait < mRecoveryDeadline) {
        HandleNoTargetReady(aNow, aActions);
        break;
      }
      FailWithRetryAfter(FailureCode::Overloaded,
                         "every target of the service has asked for time",
                         choice.mExpectedWait,
                         aActions);
      break;
    case ChoiceStatus::VersionGone:
      FailWithRetryAfter(FailureCode::VersionGone,
                         "no target has the software version of this stream",
                         Duration::zero(),
                         aActions);
      break;
    case ChoiceStatus::Poison:
      FailWithRetryAfter(
        FailureCode::SuspectedPoison,
        "targets crashed repeatedly while running this request",
        kSuspectRetryAfter,
        aActions);
      break;
    case ChoiceStatus::NoBudget:
      if (mRecoveryDeadline != Time::max()) {
        // The budget is refilled over time; retry until the recovery deadline.
        mPhase = Phase::Choosing;
        mTimerAt = aNow + kBudgetRetryDelay;
        break;
      }
      FailWithRetryAfter(FailureCode::Overloaded,
                         "the service's retry budget is exhausted",
                         kOverloadRetryAfter,
                         aActions);
      break;
  }
}

void
Generation::RequestFence(const Choice& aChoice, Actions& aActions)
{
  mPhase = Phase::Fencing;
  mFencedChoice = aChoice;
  FenceAttempt action;
  action.mAttempt = mAttempt + 1;
  aActions.push_back(action);
  mTimerAt = mSpec.mDeadline;
}

void
Generation::Dispatch(const Choice& aChoice, Time aNow, Actions& aActions)
{
  DispatchAttempt action = MakeDispatch(aChoice);
  BeginAttempt(action.mAttempt, aChoice, aNow);
  aActions.push_back(std::move(action));
}

// Counts a further attempt and returns its dispatch.
DispatchAttempt
Generation::MakeDispatch(const Choice& aChoice)
{
  ++mRuns;
  DispatchAttempt action;
  action.mAttempt = ++mLastAttempt;
  action.mTarget = aChoice.mTarget;
  action.mSoftwareVersion = aChoice.mSoftwareVersion;
  action.mVersion = mTokens.empty() ? aChoice.mServingVersion : mSpec.mVersion;
  action.mAdapterVersion = mSpec.mAdapterVersion;
  action.mGeneration = mTokens.empty() ? std::string() : mGeneration;
  action.mTokens = mTokens;
  return action;
}

// Makes a dispatched attempt the current one.
void
Generation::BeginAttempt(int aAttempt, const Choice& aChoice, Time aNow)
{
  mAttempt = aAttempt;
  mTarget = aChoice.mTarget;
  mAttemptSoftwareVersion = aChoice.mSoftwareVersion;
  // Other processes may know the request by this version.
  mSpec.mQuery.mPreferredSoftwareVersion = aChoice.mSoftwareVersion;
  mTypicalTokenGap = aChoice.mTypicalTokenGap;
  mPhase = Phase::Streaming;
  mAttemptOpen = true;
  mAttemptHasProduced = false;
  mReattached = false;
  mTargetIsSilent = false;
  if (!mTokens.empty()) {
    ++mCounters.mContinuations;
  } else {
    mSpec.mVersion = aChoice.mServingVersion;
    mGeneration.clear();
  }
  mLastProgressAt = aNow;
  mSilenceTimeout = std::max(mSpec.mPolicy.mFirstTokenProbeAfter,
                             mSpec.mPolicy.SilenceTimeout(mTypicalTokenGap));
  mTimerAt = aNow + mSilenceTimeout;
}

void
Generation::AwaitCapacity(const Choice& aChoice, Time aNow, Actions& aActions)
{
  const bool recovering = mRecoveryDeadline != Time::max();
  const Time expected = aNow + aChoice.mExpectedWait;
  if (!recovering && expected >= std::min(mSpec.mDeadline, mSpec.mStartBy)) {
    FailWithRetryAfter(FailureCode::Overloaded,
                       "the request is not expected to start in time",
                       std::max(aChoice.mExpectedWait, kOverloadRetryAfter),
                       aActions);
    return;
  }
  mPhase = Phase::Choosing;
  mTimerAt = aNow + mSpec.mPolicy.mRetryDelay;
}

void
Generation::HandleNoTargetReady(Time aNow, Actions& aActions)
{
  const bool recovering = mRecoveryDeadline != Time::max();
  if (recovering) {
    // Targets that failed this request earlier may have recovered.
    mSpec.mQuery.mExcluded.clear();
    mPhase = Phase::Choosing;
    mTimerAt = aNow + mSpec.mPolicy.mRetryDelay;
    return;
  }
  const bool rejected = mRejections > 0;
  FailWithRetryAfter(rejected ? FailureCode::Overloaded : FailureCode::NoTarget,
                     "no target is ready for this request",
                     rejected ? kOverloadRetryAfter : kNoTargetRetryAfter,
                     aActions);
}

void
Generation::Reattach(Time aNow, Actions& aActions)
{
  ++mCounters.mReattaches;
  mAttempt = ++mLastAttempt;
  mPhase = Phase::Streaming;
  mAttemptOpen = true;
  mAttemptHasProduced = true;
  mReattached = true;
  ReattachStream action;
  action.mAttempt = mAttempt;
  action.mTarget = mTarget;
  action.mGeneration = mGeneration;
  action.mFrom = static_cast<int>(mTokens.size());
  aActions.push_back(std::move(action));
  ResetSilenceTimer(aNow);
}

// Probes a target without progress. Between two probes, looks for another
// target if this one has been found silent.
void
Generation::CheckTarget(Time aNow, Actions& aActions)
{
  if (mTargetIsSilent && (!HasRunsLeft() || aNow < mProbeAgainAt)) {
    HandleSilentTarget(aNow, aActions);
  } else {
    Probe(aNow, aActions);
  }
}

void
Generation::Probe(Time aNow, Actions& aActions)
{
  ++mCounters.mProbes;
  mProbeAgainAt = aNow + kLostTargetProbeInterval;
  mPhase = Phase::Probing;
  ProbeTarget action;
  action.mAttempt = mAttempt;
  action.mTarget = mTarget;
  action.mProbeDeadline = aNow + mSpec.mPolicy.mProbeTimeout;
  mTimerAt = mSpec.mDeadline;
  aActions.push_back(std::move(action));
}

void
Generation::HandleTargetLoss(bool aKnownStopped, Time aNow, Actions& aActions)
{
  ++mCounters.mLosses;
  mMayHaveStarted = true;
  Exclude(mTarget);
  StartRecovery(aNow);
  if (mSpec.mIdempotent || aKnownStopped) {
    if (!aKnownStopped) {
      CancelCurrentAttempt(false, aActions);
    }
    FailOver(aNow, aActions);
    return;
  }
  AwaitLostTarget(aNow, aActions);
}

// Moves the stream away from a target that is silent but may still be running
// it. Until another target has taken the stream, its connection stays open,
// because the target may go on.
void
Generation::HandleSilentTarget(Time aNow, Actions& aActions)
{
  const bool movable = mSpec.mIdempotent && mAttemptOpen;
  if (!movable || mSpec.mPolicy.mRestartInFull) {
    HandleTargetLoss(false, aNow, aActions);
    return;
  }
  mTargetIsSilent = true;
  mMayHaveStarted = true;
  if (LeaveSilentTarget(aNow, aActions) != ChoiceStatus::Chosen) {
    AwaitSilentTarget(aNow);
  }
}

// Moves the stream away from a target that responds but does not seem to run
// it. It may have been preempted there, so the connection is given up only for
// another target, or when there is no other one.
void
Generation::HandleRunLost(Time aNow, Actions& aActions)
{
  const bool movable = mSpec.mIdempotent && mAttemptOpen &&
                       !mSpec.mPolicy.mCanReattach &&
                       !mSpec.mPolicy.mRestartInFull;
  if (!movable) {
    HandleTargetLoss(false, aNow, aActions);
    return;
  }
  mTargetIsSilent = true;
  mMayHaveStarted = true;
  const ChoiceStatus status = LeaveSilentTarget(aNow, aActions);
  if (status == ChoiceStatus::NoneReady) {
    StopLeavingSilentTarget(aActions);
    HandleTargetLoss(false, aNow, aActions);
  } else if (status != ChoiceStatus::Chosen) {
    AwaitSilentTarget(aNow);
  }
}

void
Generation::AwaitSilentTarget(Time aNow)
{
  mPhase = Phase::Streaming;
  mTimerAt = aNow + kSilentTargetRetryDelay;
}

bool
Generation::HasRunsLeft() const
{
  return mSpec.mMaxRuns == 0 || mRuns < mSpec.mMaxRuns;
}

// Asks another target to take the stream. Returns why there is none.
ChoiceStatus
Generation::LeaveSilentTarget(Time aNow, Actions& aActions)
{
  if (!HasRunsLeft()) {
    return ChoiceStatus::NoBudget;
  }
  ChoiceQuery query = mSpec.mQuery;
  query.mExcluded.push_back(mTarget);
  query.mContinuation = !mTokens.empty() || !mSpec.mSoftwareVersion.empty();
  query.mIsRetry = true;
  const Choice choice = mChooser.Choose(query, aNow);
  auto& excluded = mSpec.mQuery.mExcluded;
  if (choice.mStatus == ChoiceStatus::NoneReady && !excluded.empty()) {
    // Targets that turned the stream away may have room by now.
    excluded.clear();
    return ChoiceStatus::Busy;
  }
  if (choice.mStatus != ChoiceStatus::Chosen) {
    return choice.mStatus;
  }
  if (mSpec.mPolicy.mCanReattach) {
    ++mCounters.mLosses;
    Exclude(mTarget);
    CancelCurrentAttempt(false, aActions);
    StartRecovery(aNow);
    Dispatch(choice, aNow, aActions);
    return ChoiceStatus::Chosen;
  }
  // Closing the connection ends the run, so it stays open until the other
  // target has accepted the stream.
  mPhase = Phase::Streaming;
  DispatchAttempt action = MakeDispatch(choice);
  action.mTentative = true;
  mTentative = Tentative{
    action.mAttempt, choice, aNow + kAcceptanceProbeDelay, aNow + kMaxOverlap
  };
  aActions.push_back(std::move(action));
  return ChoiceStatus::Chosen;
}

// Probes the target of the tentative attempt, or gives the attempt up.
void
Generation::CheckTentative(Time aNow, Actions& aActions)
{
  if (aNow >= mTentative->mDeadline) {
    GiveUpTentative(aNow, aActions);
  } else if (aNow >= mTentative->mProbeAt) {
    mTentative->mProbeAt = Time::max();
    ++mCounters.mProbes;
    ProbeTarget action;
    action.mAttempt = mTentative->mAttempt;
    action.mTarget = mTentative->mChoice.mTarget;
    action.mProbeDeadline = mTentative->mDeadline;
    aActions.push_back(std::move(action));
  }
}

// Leaves the silent target for the one that has accepted the stream.
void
Generation::AcceptTentative(Time aNow, Actions& aActions)
{
  ++mCounters.mLosses;
  Exclude(mTarget);
  CancelCurrentAttempt(false, aActions);
  StartRecovery(aNow);
  AdoptTentative(aNow, aActions);
}

void
Generation::AdoptTentative(Time aNow, Actions& aActions)
{
  const Tentative tentative = std::move(*mTentative);
  mTentative.reset();
  BeginAttempt(tentative.mAttempt, tentative.mChoice, aNow);
  AdoptAttempt action;
  action.mAttempt = tentative.mAttempt;
  aActions.push_back(action);
}

// The other target has turned the stream away or has been lost: the stream
// stays at the silent one, and a further target is sought.
void
Generation::EndTentative(AttemptEnd aEnd, Time aNow)
{
  const bool mayHaveRun =
    aEnd == AttemptEnd::Broken || aEnd == AttemptEnd::UnknownStream;
  if (!mayHaveRun) {
    --mRuns;
  }
  Exclude(mTentative->mChoice.mTarget);
  mTentative.reset();
  mTimerAt = aNow + kSilentTargetRetryDelay;
}

// The other target has not answered either.
void
Generation::GiveUpTentative(Time aNow, Actions& aActions)
{
  Exclude(mTentative->mChoice.mTarget);
  CancelTentative(aActions);
  mTimerAt = aNow + kSilentTargetRetryDelay;
}

void
Generation::CancelTentative(Actions& aActions)
{
  if (!mTentative) {
    return;
  }
  CancelAttempt action;
  action.mAttempt = mTentative->mAttempt;
  action.mTarget = mTentative->mChoice.mTarget;
  action.mGeneration = mGeneration;
  aActions.push_back(std::move(action));
  ++mUnansweredRuns;
  mTentative.reset();
}

// The silent target has gone on, or its attempt has ended.
void
Generation::StopLeavingSilentTarget(Actions& aActions)
{
  CancelTentative(aActions);
  if (mTargetIsSilent) {
    mTargetIsSilent = false;
    mChooser.CancelWait(mSpec.mQuery);
  }
}

void
Generation::AwaitLostTarget(Time aNow, Actions& aActions)
{
  if (mGeneration.empty() && !mAttemptOpen) {
    Fail(FailureCode::OutcomeUnknown,
         "the connection to the target broke before the first token",
         aActions);
    return;
  }
  // The request must not be started on another target while this one may still
  // be running it. Keep accepting its tokens, and probe it until it makes
  // progress or is known to be dead.
  mPhase = Phase::Streaming;
  mTimerAt = aNow + kLostTargetProbeInterval;
}

void
Generation::FailOver(Time aNow, Actions& aActions)
{
  mAttemptOpen = false;
  if (!mSpec.mIdempotent && mTokens.empty()) {
    Fail(FailureCode::OutcomeUnknown,
         "the target was lost before the first token",
         aActions);
    return;
  }
  // Text that the caller already holds can only be continued from its tokens.
  if (static_cast<int>(mTokens.size()) < mDeliverFrom) {
    Fail(FailureCode::GenerationLost,
         "the tokens before the caller's position are no longer available",
         aActions);
    return;
  }
  if (mSpec.mPolicy.mRestartInFull && mSpec.mIdempotent) {
    RestartInFull(aNow, aActions);
    return;
  }
  ChooseTarget(aNow, aActions);
}

void
Generation::RestartInFull(Time aNow, Actions& aActions)
{
  ++mRestarts;
  mTokens.clear();
  mGeneration.clear();
  mSpec.mQuery.mSoftwareVersion = mSpec.mSoftwareVersion;
  aActions.push_back(DiscardText());
  ChooseTarget(aNow, aActions);
}

void
Generation::HandleMismatchedEvent(Time aNow, Actions& aActions)
{
  ++mCounters.mMismatchedEvents;
  Exclude(mTarget);
  // The target's generation does not belong to this request, so the
  // cancellation must not carry this request's generation ID.
  const std::string generation = std::exchange(mGeneration, std::string());
  CancelCurrentAttempt(false, aActions);
  mGeneration = generation;
  mMayHaveStarted = true;
  StartRecovery(aNow);
  if (!mSpec.mIdempotent) {
    Fail(FailureCode::OutcomeUnknown,
         "a target sent the stream of another request",
         aActions);
    return;
  }
  FailOver(aNow, aActions);
}

void
Generation::AcceptToken(const StreamEvent& aEvent, Time aNow, Actions& aActions)
{
  mGeneration = aEvent.mGeneration;
  mMayHaveStarted = true;
  mAttemptHasProduced = true;
  mSpec.mQuery.mSoftwareVersion = mAttemptSoftwareVersion;
  mTokens.push_back(aEvent.mToken);
  mPhase = Phase::Streaming;
  mRecoveryDeadline = Time::max();
  if (aEvent.mIndex >= mDeliverFrom) {
    DeliverText action;
    action.mIndex = aEvent.mIndex;
    action.mText = aEvent.mText;
    aActions.push_back(std::move(action));
  }
  ResetSilenceTimer(aNow);
}

void
Generation::Finish(const StreamEvent& aEvent, Actions& aActions)
{
  if (static_cast<int>(mTokens.size()) < mDeliverFrom) {
    Fail(FailureCode::GenerationLost,
         "the stream ended before the caller's position",
         aActions);
    return;
  }
  mPhase = Phase::Done;
  CompleteResponse action;
  action.mReason = aEvent.mFinishReason;
  action.mPromptTokens = aEvent.mPromptTokens;
  action.mCachedTokens = aEvent.mCachedTokens;
  aActions.push_back(std::move(action));
}

void
Generation::OnTargetAlive(Time aNow, Actions& aActions)
{
  const bool hasStream = !mGeneration.empty();
  const bool connectionEnded = !mAttemptOpen;
  // An attempt that has to process the prompt again is silent for longer.
  const Duration reattachAfter = mAttemptHasProduced
                                   ? mSpec.mPolicy.mReattachAfter
                                   : mSpec.mPolicy.mFirstTokenTimeout;
  const bool silentTooLong = aNow - mLastProgressAt >= reattachAfter;
  if (hasStream && (connectionEnded || silentTooLong)) {
    if (mSpec.mPolicy.mCanReattach) {
      Reattach(aNow, aActions);
    } else {
      HandleSilentTarget(aNow, aActions);
    }
    return;
  }
  const bool unstarted =
    !hasStream && mSpec.mIdempotent &&
    aNow - mLastProgressAt >= mSpec.mPolicy.mFirstTokenTimeout;
  if (connectionEnded || unstarted) {
    HandleSilentTarget(aNow, aActions);
    return;
  }
  StopLeavingSilentTarget(aActions);
  mPhase = Phase::Streaming;
  mSilenceTimeout =
    std::min(mSilenceTimeout * 2, mSpec.mPolicy.mMaxProbeInterval);
  mTimerAt = aNow + mSilenceTimeout;
}

void
Generation::OnNotStarted(AttemptEnd aEnd, Time aNow, Actions& aActions)
{
  if (mReattached) {
    mAttemptOpen = false;
    HandleTargetLoss(aEnd == AttemptEnd::Refused, aNow, aActions);
    return;
  }
  mAttemptOpen = false;
  --mRuns;
  Exclude(mTarget);
  const bool rejected =
    aEnd == AttemptEnd::NotStarted || aEnd == AttemptEnd::VersionNotLoaded;
  mRejections += rejected ? 1 : 0;
  const bool recovering = mRecoveryDeadline != Time::max();
  if (recovering) {
    StartRecovery(aNow);
  }
  if (recovering && aEnd == AttemptEnd::VersionNotLoaded && CanRestart() &&
      mRejections > kMaxRejections) {
    RestartInFull(aNow, aActions);
    return;
  }
  if (!recovering && mRejections >= kMaxRejections) {
    const bool versionMissing = aEnd == AttemptEnd::VersionNotLoaded;
    FailWithRetryAfter(versionMissing ? FailureCode::VersionGone
                                      : FailureCode::Overloaded,
                       "too many targets rejected the request",
                       kOverloadRetryAfter,
                       aActions);
    return;
  }
  ChooseTarget(aNow, aActions);
}

void
Generation::OnConnectionBroken(Time aNow, Actions& aActions)
{
  mMayHaveStarted = true;
  if (!mSpec.mResumable) {
    Fail(FailureCode::OutcomeUnknown,
         "the target was lost during a stream that cannot be resumed",
         aActions);
    return;
  }
  const bool needsProbe = !mSpec.mIdempotent || mSpec.mPolicy.mProbeOnReset;
  StartRecovery(aNow);
  if (!needsProbe) {
    HandleTargetLoss(false, aNow, aActions);
    return;
  }
  mAttemptOpen = false;
  if (mPhase != Phase::Probing) {
    Probe(aNow, aActions);
  }
}

void
Generation::OnUnknownStream(Time aNow, Actions& aActions)
{
  ++mCounters.mLosses;
  Exclude(mTarget);
  StartRecovery(aNow);
  FailOver(aNow, aActions);
}

void
Generation::CancelCurrentAttempt(bool aWantsResult, Actions& aActions)
{
  if (mTarget.empty()) {
    return;
  }
  CancelAttempt action;
  action.mAttempt = mAttempt;
  action.mTarget = mTarget;
  action.mGeneration = mGeneration;
  action.mWantsResult = aWantsResult;
  aActions.push_back(std::move(action));
}

void
Generation::Fail(FailureCode aCode, std::string aMessage, Actions& aActions)
{
  CancelTentative(aActions);
  mPhase = Phase::Done;
  mChooser.CancelWait(mSpec.mQuery);
  FailResponse action;
  action.mFailure.mCode = aCode;
  action.mFailure.mVerdict = Verdict();
  action.mFailure.mMessage = std::move(aMessage);
  if (mSpec.mIdempotent) {
    action.mFailure.mRetryAfter = kDefaultRetryAfter;
  }
  aActions.push_back(std::move(action));
}

void
Generation::FailWithRetryAfter(FailureCode aCode,
                               std::string aMessage,
                               Duration aRetryAfter,
                               Actions& aActions)
{
  Fail(aCode, std::move(aMessage), aActions);
  auto& failure = std::get<FailResponse>(aActions.back()).mFailure;
  failure.mRetryAfter = aRetryAfter;
}

RunVerdict
Generation::Verdict() const
{
  const bool hasRun = !mTokens.empty() || mDeliverFrom > 0;
  if (hasRun && mSpec.mIdempotent) {
    return RunVerdict::Ran;
  }
  if (hasRun || mMayHaveStarted || mAttemptOpen) {
    return RunVerdict::OutcomeUnknown;
  }
  return RunVerdict::NotRun;
}

bool
Generation::MatchesRequest(const StreamEvent& aEvent) const
{
  const bool sameStart = aEvent.mRequestId == mSpec.mRequestId &&
                         aEvent.mModel == mSpec.mModel &&
                         aEvent.mVersion == mSpec.mVersion &&
                         aEvent.mAdapterVersion == mSpec.mAdapterVersion;
  const bool sameGeneration =
    !aEvent.mGeneration.empty() &&
    (mGeneration.empty() || aEvent.mGeneration == mGeneration);
  return sameStart && sameGeneration;
}

bool
Generation::CanRestart() const
{
  const bool undelivered = mSpec.mBuffered || mTokens.empty();
  return undelivered && mSpec.mIdempotent && mDeliverFrom == 0 &&
         mRestarts < kMaxRestarts;
}

void
Generation::ResetSilenceTimer(Time aNow)
{
  mLastProgressAt = aNow;
  mSilenceTimeout = mSpec.mPolicy.SilenceTimeout(mTypicalTokenGap);
  mTimerAt = aNow + mSilenceTimeout;
}

void
Generation::Exclude(const std::string& aTarget)
{
  auto& excluded = mSpec.mQuery.mExcluded;
  if (std::find(excluded.begin(), excluded.end(), aTarget) == excluded.end()) {
    excluded.push_back(aTarget);
  }
}

} // namespace quetzalquay
