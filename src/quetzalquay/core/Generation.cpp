#include "core/Generation.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

// Targets that may turn one request away before it is refused.
constexpr int kMaxRefusals = 4;

// Times that an unread answer is run again from its beginning.
constexpr int kMaxRestarts = 2;

// Pause between two probes of a target that may still run a non-idempotent
// request.
constexpr Duration kAwaitPause = std::chrono::milliseconds(300);

// Pause between two cancels of a target that does not answer.
constexpr Duration kCancelRetryPause = std::chrono::milliseconds(300);

// Pause before another look at a spent budget for repeats.
constexpr Duration kBudgetPause = std::chrono::milliseconds(50);

// What a caller is told to wait after a refusal for lack of capacity.
constexpr Duration kOverloadRetryAfter = std::chrono::milliseconds(1000);

// What a caller is told to wait when no target is usable.
constexpr Duration kNoTargetRetryAfter = std::chrono::milliseconds(2000);

// What a caller is told to wait after a loss that a repeat may mend.
constexpr Duration kLossRetryAfter = std::chrono::milliseconds(500);

// How long a request suspected of crashing targets is refused.
constexpr Duration kPoisonRetryAfter = std::chrono::minutes(10);

} // namespace

Generation::Generation(GenerationSpec aSpec, TargetChooser& aChooser)
  : mSpec(std::move(aSpec))
  , mChooser(aChooser)
  , mWakeAt(mSpec.mDeadline)
{
}

Actions
Generation::Start(Time aNow)
{
  Actions actions;
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
  mTokens = aPoint.mTokens;
  mMayHaveStarted = true;
  mRecoverBy = aNow + mSpec.mPolicy.mRecoveryLimit;
  Reattach(aNow, actions);
  return actions;
}

Actions
Generation::OnEvent(const StreamEvent& aEvent, Time aNow)
{
  Actions actions;
  const bool listening = mPhase == Phase::Streaming || mPhase == Phase::Probing;
  if (!listening || aEvent.mAttempt != mAttempt) {
    ++mCounters.mLateEvents;
    return actions;
  }
  if (!EchoMatches(aEvent)) {
    RejectEcho(aNow, actions);
    return actions;
  }
  const int expected = static_cast<int>(mTokens.size());
  if (aEvent.mIndex < expected) {
    ++mCounters.mLateEvents;
    ExpectToken(aNow);
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
  const bool listening = mPhase == Phase::Streaming || mPhase == Phase::Probing;
  if (!listening || aAttempt != mAttempt) {
    return actions;
  }
  switch (aEnd) {
    case AttemptEnd::Refused:
    case AttemptEnd::Unreachable:
    case AttemptEnd::NotStarted:
    case AttemptEnd::VersionNotLoaded:
      OnNotStarted(aEnd, aNow, actions);
      break;
    case AttemptEnd::InvalidRequest:
      mAttemptMayRun = false;
      FailUnstarted(FailureCode::InvalidRequest,
                    "the engine refused the request",
                    Duration::zero(),
                    actions);
      break;
    case AttemptEnd::Broken:
      OnBroken(aNow, actions);
      break;
    case AttemptEnd::UnknownStream:
      OnUnknownStream(aNow, actions);
      break;
  }
  return actions;
}

Actions
Generation::OnProbeResult(int aAttempt, ProbeResult aResult, Time aNow)
{
  Actions actions;
  if (mPhase != Phase::Probing || aAttempt != mAttempt) {
    return actions;
  }
  switch (aResult) {
    case ProbeResult::Alive:
      OnSilentButAlive(aNow, actions);
      break;
    case ProbeResult::Dead:
      Lose(true, aNow, actions);
      break;
    case ProbeResult::NoAnswer:
    case ProbeResult::RunLost:
      Lose(false, aNow, actions);
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
    MoveOn(aNow, actions);
    return actions;
  }
  mWakeAt = aNow + kCancelRetryPause;
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
           "another router goes on with this request",
           actions);
      break;
    case FenceResult::Unavailable:
      Fail(FailureCode::OutcomeUnknown,
           "the store did not allow to go on in time",
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
    CancelCurrent(false, actions);
    Fail(FailureCode::DeadlineExceeded, "the deadline has passed", actions);
    if (Verdict() == RunVerdict::NotRun) {
      std::get<FailAnswer>(actions.back()).mFailure.mRetryAfter =
        kOverloadRetryAfter;
    }
    return actions;
  }
  if (aNow >= mRecoverBy) {
    CancelCurrent(false, actions);
    Fail(mSpec.mIdempotent ? FailureCode::GenerationLost
                           : FailureCode::OutcomeUnknown,
         "no target could go on in time after a loss",
         actions);
    return actions;
  }
  if (aNow < mWakeAt) {
    return actions;
  }
  switch (mPhase) {
    case Phase::Choosing:
      ChooseTarget(aNow, actions);
      break;
    case Phase::Streaming:
      Probe(aNow, actions);
      break;
    case Phase::Cancelling:
      CancelCurrent(true, actions);
      mWakeAt = aNow + mSpec.mPolicy.mRecoveryLimit;
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
Generation::OnCallerGone(Time)
{
  Actions actions;
  if (mPhase == Phase::Done) {
    return actions;
  }
  CancelCurrent(false, actions);
  mChooser.Forget(mSpec.mQuery);
  mPhase = Phase::Done;
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
    CancelCurrent(false, actions);
    MoveOn(aNow, actions);
    return actions;
  }
  mPhase = Phase::Cancelling;
  CancelCurrent(true, actions);
  mWakeAt = aNow + mSpec.mPolicy.mRecoveryLimit;
  mRecoverBy = aNow + mSpec.mPolicy.mRecoveryLimit;
  return actions;
}

Time
Generation::NextTimer() const
{
  return std::min({ mWakeAt, mRecoverBy, mSpec.mDeadline });
}

void
Generation::ChooseTarget(Time aNow, Actions& aActions)
{
  if (mSpec.mMaxRuns > 0 && mRuns >= mSpec.mMaxRuns) {
    Fail(FailureCode::GenerationLost,
         "the request was lost at as many targets as it may run on",
         aActions);
    return;
  }
  mSpec.mQuery.mContinuation = !mTokens.empty();
  mSpec.mQuery.mRepeat = mAttempt > 0;
  const Choice choice = mChooser.Choose(mSpec.mQuery, aNow);
  switch (choice.mStatus) {
    case ChoiceStatus::Chosen:
      if (!mSpec.mIdempotent && !mTokens.empty()) {
        Fence(choice, aActions);
      } else {
        Dispatch(choice, aNow, aActions);
      }
      break;
    case ChoiceStatus::Busy:
      AwaitTurn(choice, aNow, aActions);
      break;
    case ChoiceStatus::NoneReady:
      NoTargetReady(aNow, aActions);
      break;
    case ChoiceStatus::Poison:
      FailUnstarted(FailureCode::SuspectedPoison,
                    "targets crashed repeatedly while running this request",
                    kPoisonRetryAfter,
                    aActions);
      break;
    case ChoiceStatus::NoBudget:
      if (mRecoverBy != Time::max()) {
        // The budget fills up again; the stream has until then.
        mPhase = Phase::Choosing;
        mWakeAt = aNow + kBudgetPause;
        break;
      }
      FailUnstarted(FailureCode::Overloaded,
                    "the service's budget for repeats is spent",
                    kOverloadRetryAfter,
                    aActions);
      break;
  }
}

void
Generation::Fence(const Choice& aChoice, Actions& aActions)
{
  mPhase = Phase::Fencing;
  mFencedChoice = aChoice;
  FenceAttempt action;
  action.mAttempt = mAttempt + 1;
  aActions.push_back(action);
  mWakeAt = mSpec.mDeadline;
}

void
Generation::Dispatch(const Choice& aChoice, Time aNow, Actions& aActions)
{
  ++mAttempt;
  ++mRuns;
  mTarget = aChoice.mTarget;
  mUsualGap = aChoice.mUsualGap;
  mPhase = Phase::Streaming;
  mAttemptMayRun = true;
  mAttemptProduced = false;
  mReattached = false;
  if (!mTokens.empty()) {
    ++mCounters.mContinuations;
  } else {
    mSpec.mVersion = aChoice.mServingVersion;
  }
  DispatchAttempt action;
  action.mAttempt = mAttempt;
  action.mTarget = mTarget;
  action.mVersion = mSpec.mVersion;
  action.mAdapterVersion = mSpec.mAdapterVersion;
  action.mGeneration = mTokens.empty() ? std::string() : mGeneration;
  action.mTokens = mTokens;
  if (mTokens.empty()) {
    mGeneration.clear();
  }
  aActions.push_back(std::move(action));
  mLastToken = aNow;
  mSilenceLimit = std::max(mSpec.mPolicy.mFirstTokenSilence,
                           mSpec.mPolicy.SilenceLimit(mUsualGap));
  mWakeAt = aNow + mSilenceLimit;
}

void
Generation::AwaitTurn(const Choice& aChoice, Time aNow, Actions& aActions)
{
  const bool lostSomething = mRecoverBy != Time::max();
  const Time expected = aNow + aChoice.mExpectedWait;
  if (!lostSomething && expected >= std::min(mSpec.mDeadline, mSpec.mStartBy)) {
    FailUnstarted(FailureCode::Overloaded,
                  "the queue is too long for this deadline",
                  std::max(aChoice.mExpectedWait, kOverloadRetryAfter),
                  aActions);
    return;
  }
  mPhase = Phase::Choosing;
  mWakeAt = aNow + mSpec.mPolicy.mRetryPause;
}

void
Generation::NoTargetReady(Time aNow, Actions& aActions)
{
  const bool lostSomething = mRecoverBy != Time::max();
  if (lostSomething) {
    // Targets that failed this request earlier may have come back.
    mSpec.mQuery.mExcluded.clear();
    mPhase = Phase::Choosing;
    mWakeAt = aNow + mSpec.mPolicy.mRetryPause;
    return;
  }
  const bool turnedAway = mRefusals > 0;
  FailUnstarted(turnedAway ? FailureCode::Overloaded : FailureCode::NoTarget,
                "no target is ready for this request",
                turnedAway ? kOverloadRetryAfter : kNoTargetRetryAfter,
                aActions);
}

void
Generation::Reattach(Time aNow, Actions& aActions)
{
  ++mCounters.mReattaches;
  ++mAttempt;
  mPhase = Phase::Streaming;
  mAttemptMayRun = true;
  mAttemptProduced = true;
  mReattached = true;
  ReattachStream action;
  action.mAttempt = mAttempt;
  action.mTarget = mTarget;
  action.mGeneration = mGeneration;
  action.mFrom = static_cast<int>(mTokens.size());
  aActions.push_back(std::move(action));
  ExpectToken(aNow);
}

void
Generation::Probe(Time aNow, Actions& aActions)
{
  ++mCounters.mProbes;
  mPhase = Phase::Probing;
  ProbeTarget action;
  action.mAttempt = mAttempt;
  action.mTarget = mTarget;
  action.mAnswerBy = aNow + mSpec.mPolicy.mProbeTimeout;
  mWakeAt = mSpec.mDeadline;
  aActions.push_back(std::move(action));
}

void
Generation::Lose(bool aKnownStopped, Time aNow, Actions& aActions)
{
  ++mCounters.mLosses;
  mMayHaveStarted = true;
  Exclude(mTarget);
  mRecoverBy = std::min(mRecoverBy, aNow + mSpec.mPolicy.mRecoveryLimit);
  if (mSpec.mIdempotent || aKnownStopped) {
    if (!aKnownStopped) {
      CancelCurrent(false, aActions);
    }
    MoveOn(aNow, aActions);
    return;
  }
  AwaitTarget(aNow, aActions);
}

void
Generation::AwaitTarget(Time aNow, Actions& aActions)
{
  if (mGeneration.empty() && !mAttemptMayRun) {
    Fail(FailureCode::OutcomeUnknown,
         "the connection broke before the first token",
         aActions);
    return;
  }
  // The work may not be started again elsewhere while the target may still be
  // running it. Its tokens are taken if it goes on; it is probed until it does,
  // or is known to be dead.
  mPhase = Phase::Streaming;
  mWakeAt = aNow + kAwaitPause;
}

void
Generation::MoveOn(Time aNow, Actions& aActions)
{
  mAttemptMayRun = false;
  if (!mSpec.mIdempotent && mTokens.empty()) {
    Fail(FailureCode::OutcomeUnknown,
         "the target was lost before its first token",
         aActions);
    return;
  }
  // Text that the caller holds can only be followed by the same tokens.
  if (static_cast<int>(mTokens.size()) < mDeliverFrom) {
    Fail(FailureCode::GenerationLost,
         "the tokens before the caller's position are not known any more",
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
  aActions.push_back(DiscardText());
  ChooseTarget(aNow, aActions);
}

void
Generation::RejectEcho(Time aNow, Actions& aActions)
{
  ++mCounters.mEchoMismatches;
  Exclude(mTarget);
  // The target's generation is not this request's own: it must not be
  // cancelled under this request's generation id.
  const std::string generation = std::exchange(mGeneration, std::string());
  CancelCurrent(false, aActions);
  mGeneration = generation;
  mMayHaveStarted = true;
  mRecoverBy = std::min(mRecoverBy, aNow + mSpec.mPolicy.mRecoveryLimit);
  if (!mSpec.mIdempotent) {
    Fail(FailureCode::OutcomeUnknown,
         "a target answered with another request's stream",
         aActions);
    return;
  }
  MoveOn(aNow, aActions);
}

void
Generation::AcceptToken(const StreamEvent& aEvent, Time aNow, Actions& aActions)
{
  mGeneration = aEvent.mGeneration;
  mMayHaveStarted = true;
  mAttemptProduced = true;
  mTokens.push_back(aEvent.mToken);
  mPhase = Phase::Streaming;
  mRecoverBy = Time::max();
  if (aEvent.mIndex >= mDeliverFrom) {
    DeliverText action;
    action.mIndex = aEvent.mIndex;
    action.mText = aEvent.mText;
    aActions.push_back(std::move(action));
  }
  ExpectToken(aNow);
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
  FinishAnswer action;
  action.mReason = aEvent.mFinishReason;
  action.mPromptTokens = aEvent.mPromptTokens;
  action.mCachedTokens = aEvent.mCachedTokens;
  aActions.push_back(std::move(action));
}

void
Generation::OnSilentButAlive(Time aNow, Actions& aActions)
{
  const bool knownStream = !mGeneration.empty();
  const bool connectionEnded = !mAttemptMayRun;
  // An attempt that has to read the prompt again is silent for longer.
  const Duration patience = mAttemptProduced ? mSpec.mPolicy.mReattachAfter
                                             : mSpec.mPolicy.mFirstTokenLimit;
  const bool longSilence = aNow - mLastToken >= patience;
  if (knownStream && (connectionEnded || longSilence)) {
    Reattach(aNow, aActions);
    return;
  }
  const bool unstarted = !knownStream && mSpec.mIdempotent &&
                         aNow - mLastToken >= mSpec.mPolicy.mFirstTokenLimit;
  if (connectionEnded || unstarted) {
    Lose(false, aNow, aActions);
    return;
  }
  mPhase = Phase::Streaming;
  mSilenceLimit = std::min(mSilenceLimit * 2, mSpec.mPolicy.mProbePause);
  mWakeAt = aNow + mSilenceLimit;
}

void
Generation::OnNotStarted(AttemptEnd aEnd, Time aNow, Actions& aActions)
{
  if (mReattached) {
    mAttemptMayRun = false;
    Lose(aEnd == AttemptEnd::Refused, aNow, aActions);
    return;
  }
  mAttemptMayRun = false;
  --mRuns;
  Exclude(mTarget);
  const bool turnedAway =
    aEnd == AttemptEnd::NotStarted || aEnd == AttemptEnd::VersionNotLoaded;
  mRefusals += turnedAway ? 1 : 0;
  const bool lostSomething = mRecoverBy != Time::max();
  if (lostSomething && aEnd == AttemptEnd::VersionNotLoaded && CanRestart() &&
      mRefusals > kMaxRefusals) {
    RestartInFull(aNow, aActions);
    return;
  }
  if (!lostSomething && mRefusals >= kMaxRefusals) {
    const bool gone = aEnd == AttemptEnd::VersionNotLoaded;
    FailUnstarted(gone ? FailureCode::VersionGone : FailureCode::Overloaded,
                  "every tried target turned the request away",
                  kOverloadRetryAfter,
                  aActions);
    return;
  }
  ChooseTarget(aNow, aActions);
}

void
Generation::OnBroken(Time aNow, Actions& aActions)
{
  mMayHaveStarted = true;
  if (!mSpec.mResumable) {
    Fail(FailureCode::OutcomeUnknown,
         "the target was lost during a stream that cannot be resumed",
         aActions);
    return;
  }
  const bool mustKnow = !mSpec.mIdempotent || mSpec.mPolicy.mProbeOnReset;
  mRecoverBy = std::min(mRecoverBy, aNow + mSpec.mPolicy.mRecoveryLimit);
  if (!mustKnow) {
    Lose(false, aNow, aActions);
    return;
  }
  mAttemptMayRun = false;
  if (mPhase != Phase::Probing) {
    Probe(aNow, aActions);
  }
}

void
Generation::OnUnknownStream(Time aNow, Actions& aActions)
{
  ++mCounters.mLosses;
  Exclude(mTarget);
  mRecoverBy = std::min(mRecoverBy, aNow + mSpec.mPolicy.mRecoveryLimit);
  MoveOn(aNow, aActions);
}

void
Generation::CancelCurrent(bool aWantsResult, Actions& aActions)
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
  mPhase = Phase::Done;
  mChooser.Forget(mSpec.mQuery);
  FailAnswer action;
  action.mFailure.mCode = aCode;
  action.mFailure.mVerdict = Verdict();
  action.mFailure.mMessage = std::move(aMessage);
  if (mSpec.mIdempotent) {
    action.mFailure.mRetryAfter = kLossRetryAfter;
  }
  aActions.push_back(std::move(action));
}

void
Generation::FailUnstarted(FailureCode aCode,
                          std::string aMessage,
                          Duration aRetryAfter,
                          Actions& aActions)
{
  Fail(aCode, std::move(aMessage), aActions);
  auto& failure = std::get<FailAnswer>(aActions.back()).mFailure;
  failure.mRetryAfter = aRetryAfter;
}

RunVerdict
Generation::Verdict() const
{
  const bool hasRun = !mTokens.empty() || mDeliverFrom > 0;
  if (hasRun && mSpec.mIdempotent) {
    return RunVerdict::Ran;
  }
  if (hasRun || mMayHaveStarted || mAttemptMayRun) {
    return RunVerdict::OutcomeUnknown;
  }
  return RunVerdict::NotRun;
}

bool
Generation::EchoMatches(const StreamEvent& aEvent) const
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
  const bool unread = mSpec.mBuffered || mTokens.empty();
  return unread && mSpec.mIdempotent && mDeliverFrom == 0 &&
         mRestarts < kMaxRestarts;
}

void
Generation::ExpectToken(Time aNow)
{
  mLastToken = aNow;
  mSilenceLimit = mSpec.mPolicy.SilenceLimit(mUsualGap);
  mWakeAt = aNow + mSilenceLimit;
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
