#ifndef QUETZALQUAY_CORE_GENERATION_H_INCLUDED
#define QUETZALQUAY_CORE_GENERATION_H_INCLUDED

#include "core/Failure.h"
#include "core/GenerationActions.h"
#include "core/RecoveryPolicy.h"
#include "core/TargetChooser.h"
#include "core/Time.h"

#include <string>
#include <vector>

namespace quetzalquay {

// What stays fixed over all attempts of one request.
struct GenerationSpec
{
  std::string mRequestId;
  ChoiceQuery mQuery;
  bool mIdempotent = true;
  // Whether the caller gets the answer only as a whole, at its end.
  bool mBuffered = false;
  // Whether the answer may go on at another target at all.
  bool mResumable = true;
  // Targets that the request may run on; 0 means any number.
  int mMaxRuns = 0;
  // A request that has no target by then is refused.
  Time mStartBy = Time::max();
  Time mDeadline;
  std::string mModel;
  std::string mVersion;
  std::string mAdapterVersion;
  RecoveryPolicy mPolicy = RecoveryPolicy::Of(RecoveryPreset::LowLatency);
};

// Stream of another router that this one takes over.
struct TakeoverPoint
{
  std::string mGeneration;
  // Tokens that the caller already holds.
  int mDelivered = 0;
  // Target and attempt that last carried the stream.
  std::string mTarget;
  int mAttempt = 0;
  // Tokens known from the event id and the journal, from index 0; shorter
  // than mDelivered when the journal has not kept them all.
  std::vector<int> mTokens;
};

// Counters of one request, for metrics and measurements.
struct GenerationCounters
{
  int mLosses = 0;
  int mLateEvents = 0;
  int mEchoMismatches = 0;
  int mProbes = 0;
  int mReattaches = 0;
  int mContinuations = 0;
};

// Decides how one request reaches its caller whole, over however many targets
// it takes. Inputs are events with their time; each returns the actions that
// the caller of this class has to carry out, in order. Pure logic: no sockets,
// threads or clocks, and not safe for concurrent use.
class Generation
{
public:
  // aChooser must outlive this object.
  Generation(GenerationSpec aSpec, TargetChooser& aChooser);

  // Starts the request on a target. Called once, first.
  Actions Start(Time aNow);

  // Takes over a stream whose router is gone. Called once, instead of Start.
  Actions TakeOver(const TakeoverPoint& aPoint, Time aNow);

  // An event of some attempt's stream; late and foreign ones are dropped.
  Actions OnEvent(const StreamEvent& aEvent, Time aNow);

  // The stream of an attempt is over without a finish event.
  Actions OnAttemptEnded(int aAttempt, AttemptEnd aEnd, Time aNow);

  // Answer to a ProbeTarget action.
  Actions OnProbeResult(int aAttempt, ProbeResult aResult, Time aNow);

  // Answer to a CancelAttempt action that asked for one.
  Actions OnCancelResult(int aAttempt, CancelResult aResult, Time aNow);

  // Answer to a FenceAttempt action.
  Actions OnFenceResult(int aAttempt, FenceResult aResult, Time aNow);

  // Time has reached NextTimer().
  Actions OnTimer(Time aNow);

  // The caller has closed its connection.
  Actions OnCallerGone(Time aNow);

  // The target that carries the stream will stop before the stream ends; the
  // stream moves elsewhere at this token boundary.
  Actions OnTargetStopping(Time aNow);

  // Target that holds a copy of the present run, empty when none does.
  void SetCopyHolder(const std::string& aTarget)
  {
    mSpec.mQuery.mCopyHolder = aTarget;
  }

  // Until when the next event is on time.
  void SetOnTimeUntil(Time aTime) { mSpec.mQuery.mOnTimeUntil = aTime; }

  // When OnTimer has to be called at the latest.
  Time NextTimer() const;

  // Whether the final answer has been decided.
  bool IsDone() const { return mPhase == Phase::Done; }

  // Number of the current attempt, counted from 1.
  int CurrentAttempt() const { return mAttempt; }

  // Target of the current attempt, empty when there is none.
  const std::string& CurrentTarget() const { return mTarget; }

  // Engine's id of the generation, empty before its first token.
  const std::string& GenerationId() const { return mGeneration; }

  // Accepted tokens from index 0.
  const std::vector<int>& Tokens() const { return mTokens; }

  // Whether a target may have started this request.
  bool MayHaveStarted() const { return mMayHaveStarted; }

  // Counters since the start.
  const GenerationCounters& Counters() const { return mCounters; }

private:
  enum class Phase
  {
    Idle,
    // Waits for a target to become ready.
    Choosing,
    // Waits for the right to continue a non-idempotent request.
    Fencing,
    Streaming,
    // A reset or silent target is being probed.
    Probing,
    // Waits until the lost target has confirmed that it no longer runs this.
    Cancelling,
    Done,
  };

  void ChooseTarget(Time aNow, Actions& aActions);
  void Fence(const Choice& aChoice, Actions& aActions);
  void Dispatch(const Choice& aChoice, Time aNow, Actions& aActions);
  void AwaitTurn(const Choice& aChoice, Time aNow, Actions& aActions);
  void NoTargetReady(Time aNow, Actions& aActions);
  void Reattach(Time aNow, Actions& aActions);
  void Probe(Time aNow, Actions& aActions);
  void Lose(bool aKnownStopped, Time aNow, Actions& aActions);
  void AwaitTarget(Time aNow, Actions& aActions);
  void MoveOn(Time aNow, Actions& aActions);
  void RestartInFull(Time aNow, Actions& aActions);
  void RejectEcho(Time aNow, Actions& aActions);
  void AcceptToken(const StreamEvent& aEvent, Time aNow, Actions& aActions);
  void Finish(const StreamEvent& aEvent, Actions& aActions);
  void OnSilentButAlive(Time aNow, Actions& aActions);
  void OnNotStarted(AttemptEnd aEnd, Time aNow, Actions& aActions);
  void OnBroken(Time aNow, Actions& aActions);
  void OnUnknownStream(Time aNow, Actions& aActions);
  void CancelCurrent(bool aWantsResult, Actions& aActions);
  void Fail(FailureCode aCode, std::string aMessage, Actions& aActions);
  void FailUnstarted(FailureCode aCode,
                     std::string aMessage,
                     Duration aRetryAfter,
                     Actions& aActions);
  RunVerdict Verdict() const;
  bool EchoMatches(const StreamEvent& aEvent) const;
  bool CanRestart() const;
  void ExpectToken(Time aNow);
  void Exclude(const std::string& aTarget);

  GenerationSpec mSpec;
  TargetChooser& mChooser;
  Phase mPhase = Phase::Idle;
  // Target that is dispatched to once the fence is granted.
  Choice mFencedChoice;
  int mAttempt = 0;
  std::string mTarget;
  std::string mGeneration;
  std::vector<int> mTokens;
  int mDeliverFrom = 0;
  Duration mUsualGap = Duration::zero();
  Duration mSilenceLimit = Duration::zero();
  Time mLastToken;
  Time mWakeAt;
  Time mRecoverBy = Time::max();
  int mRefusals = 0;
  int mRestarts = 0;
  // Dispatches that a target has not turned away.
  int mRuns = 0;
  // The current attempt reads a stream that an earlier one started.
  bool mReattached = false;
  // The current attempt has delivered a token.
  bool mAttemptProduced = false;
  // The current attempt has reached its target's connection.
  bool mAttemptMayRun = false;
  bool mMayHaveStarted = false;
  GenerationCounters mCounters;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_GENERATION_H_INCLUDED
