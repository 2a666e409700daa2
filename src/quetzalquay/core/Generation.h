#ifndef QUETZALQUAY_CORE_GENERATION_H_INCLUDED
#define QUETZALQUAY_CORE_GENERATION_H_INCLUDED

#include "core/Failure.h"
#include "core/GenerationActions.h"
#include "core/RecoveryPolicy.h"
#include "core/TargetChooser.h"
#include "core/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Parameters of a request that are shared by all of its attempts.
struct GenerationSpec
{
  std::string mRequestId;
  ChoiceQuery mQuery;
  bool mIdempotent = true;
  // Whether the response is sent to the caller only once it is complete.
  bool mBuffered = false;
  // Whether the stream may be resumed on another target.
  bool mResumable = true;
  // Software version of the targets that produced what the caller already
  // holds; empty if it holds nothing.
  std::string mSoftwareVersion;
  // Whether the caller already has a part of this response. A stream that has
  // begun waits for a target as one that has lost its target does.
  bool mBegun = false;
  // Maximum number of targets that the request may run on; 0 means unlimited.
  int mMaxRuns = 0;
  // What another host has done with the request.
  PriorAttempts mPrior;
  // A request that is not expected to get a target before this time is refused.
  Time mStartBy = Time::max();
  Time mDeadline;
  std::string mModel;
  std::string mVersion;
  std::string mAdapterVersion;
  RecoveryPolicy mPolicy = RecoveryPolicy::Of(RecoveryPreset::LowLatency);
};

// State of another router's stream from which this router takes over.
struct TakeoverPoint
{
  std::string mGeneration;
  // Tokens that the caller already holds.
  int mDelivered = 0;
  // Target and attempt that last produced the stream.
  std::string mTarget;
  int mAttempt = 0;
  // Tokens recovered from the event ID and the journal, from index 0; fewer
  // than mDelivered if the journal does not hold them all.
  std::vector<int> mTokens;
};

// Counters of one request, for metrics and benchmarks.
struct GenerationCounters
{
  int mLosses = 0;
  int mLateEvents = 0;
  int mMismatchedEvents = 0;
  int mProbes = 0;
  int mReattaches = 0;
  int mContinuations = 0;
};

// State machine that delivers the complete response to one request, failing
// over between targets as needed. A response is never put together from targets
// of different software versions: the attempt that brings the first token
// decides. Each input is an event with its time and returns the actions that
// the user of this class must carry out, in order.
// Uses no threads or clocks. Performs no I/O; not thread-safe.
class Generation
{
public:
  // aChooser must outlive this object.
  Generation(GenerationSpec aSpec, TargetChooser& aChooser);

  // Starts the request on a target. Called once, before anything else.
  Actions Start(Time aNow);

  // Takes over a stream of a router that is gone. Called once, instead of
  // Start.
  Actions TakeOver(const TakeoverPoint& aPoint, Time aNow);

  // Handles an event of an attempt's stream. Events of earlier attempts are
  // dropped; an event of another request ends the attempt.
  Actions OnEvent(const StreamEvent& aEvent, Time aNow);

  // Handles the end of an attempt's stream without a finish event.
  Actions OnAttemptEnded(int aAttempt, AttemptEnd aEnd, Time aNow);

  // Handles the start of a tentative attempt's response: the target runs it.
  Actions OnAttemptAccepted(int aAttempt, Time aNow);

  // Handles that a tentative attempt which has been cancelled was not sent.
  void OnAttemptNotSent()
  {
    --mRuns;
    --mUnansweredRuns;
  }

  // Handles the result of a ProbeTarget action.
  Actions OnProbeResult(int aAttempt, ProbeResult aResult, Time aNow);

  // Handles the result of a CancelAttempt action that requested one.
  Actions OnCancelResult(int aAttempt, CancelResult aResult, Time aNow);

  // Handles the result of a FenceAttempt action.
  Actions OnFenceResult(int aAttempt, FenceResult aResult, Time aNow);

  // Handles the expiry of the timer; to be called at NextTimer().
  Actions OnTimer(Time aNow);

  // Handles the caller closing its connection.
  Actions OnCallerDisconnected(Time aNow);

  // Handles the imminent exit of this process: the request fails with a verdict
  // on its run.
  Actions OnExit();

  // Handles a notice that the current target will stop before the stream ends:
  // the stream moves to another target at this token boundary.
  Actions OnTargetStopping(Time aNow);

  // Returns the attempts that may have run, if another host may start the
  // request or resume the stream although the current attempt ends in the given
  // way; nothing if it must not. aEnd is empty if there is no current attempt.
  // aCutOff tells whether this host is cut off from the targets: then tentative
  // attempts that were given up without a response do not count.
  std::optional<int> RunsIfPassedOn(std::optional<AttemptEnd> aEnd,
                                    bool aCutOff) const;

  // Attempts that may have run.
  int Runs() const { return mRuns; }

  // Software version that the rest of the stream must have; empty before the
  // first token.
  const std::string& SoftwareVersion() const
  {
    return mSpec.mQuery.mSoftwareVersion;
  }

  // Sets the target that holds a copy of the current run; empty if none does.
  void SetCopyHolder(const std::string& aTarget)
  {
    mSpec.mQuery.mCopyHolder = aTarget;
  }

  // Sets the time until which the next event is on time.
  void SetDueAt(Time aTime) { mSpec.mQuery.mDueAt = aTime; }

  // Returns the time at which OnTimer must be called at the latest.
  Time NextTimer() const;

  // Returns whether the response has been completed or has failed.
  bool IsDone() const { return mPhase == Phase::Done; }

  // Returns the number of the current attempt, counted from 1.
  int CurrentAttempt() const { return mAttempt; }

  // Returns the target of the current attempt; empty if there is none.
  const std::string& CurrentTarget() const { return mTarget; }

  // Returns the engine's ID of the generation; empty before the first token.
  const std::string& GenerationId() const { return mGeneration; }

  // Returns the accepted tokens from index 0.
  const std::vector<int>& Tokens() const { return mTokens; }

  // Returns whether a target may have started this request.
  bool MayHaveStarted() const { return mMayHaveStarted; }

  // Returns whether the current target is silent and the stream waits for
  // another one or for its next event, whichever comes first.
  bool IsTargetSilent() const { return mTargetIsSilent; }

  // Returns the counters since the start.
  const GenerationCounters& Counters() const { return mCounters; }

private:
  enum class Phase
  {
    Idle,
    // Waiting for a target to become ready.
    Choosing,
    // Waiting for the fence to continue a non-idempotent request.
    Fencing,
    Streaming,
    // Probing a target that reset the connection or is silent.
    Probing,
    // Waiting for the stopping target to confirm that it no longer runs the
    // request.
    Cancelling,
    Done,
  };

  // Attempt at another target while the current one is silent. It becomes the
  // current attempt once its target has accepted it.
  struct Tentative
  {
    int mAttempt = 0;
    Choice mChoice;
    // When the target is probed; Time::max() once it has been.
    Time mProbeAt;
    Time mDeadline;
  };

  void ChooseTarget(Time aNow, Actions& aActions);
  void RequestFence(const Choice& aChoice, Actions& aActions);
  void Dispatch(const Choice& aChoice, Time aNow, Actions& aActions);
  DispatchAttempt MakeDispatch(const Choice& aChoice);
  void BeginAttempt(int aAttempt, const Choice& aChoice, Time aNow);
  void CheckTentative(Time aNow, Actions& aActions);
  void AcceptTentative(Time aNow, Actions& aActions);
  void AdoptTentative(Time aNow, Actions& aActions);
  void EndTentative(AttemptEnd aEnd, Time aNow);
  void GiveUpTentative(Time aNow, Actions& aActions);
  void CancelTentative(Actions& aActions);
  void AwaitCapacity(const Choice& aChoice, Time aNow, Actions& aActions);
  void HandleNoTargetReady(Time aNow, Actions& aActions);
  void Reattach(Time aNow, Actions& aActions);
  Time RecoveryDeadline() const;
  void StartRecovery(Time aNow);
  void CheckTarget(Time aNow, Actions& aActions);
  void Probe(Time aNow, Actions& aActions);
  void HandleTargetLoss(bool aKnownStopped, Time aNow, Actions& aActions);
  void HandleSilentTarget(Time aNow, Actions& aActions);
  bool HasRunsLeft() const;
  void HandleRunLost(Time aNow, Actions& aActions);
  void AwaitSilentTarget(Time aNow);
  ChoiceStatus LeaveSilentTarget(Time aNow, Actions& aActions);
  void StopLeavingSilentTarget(Actions& aActions);
  void AwaitLostTarget(Time aNow, Actions& aActions);
  void FailOver(Time aNow, Actions& aActions);
  void RestartInFull(Time aNow, Actions& aActions);
  void HandleMismatchedEvent(Time aNow, Actions& aActions);
  void AcceptToken(const StreamEvent& aEvent, Time aNow, Actions& aActions);
  void Finish(const StreamEvent& aEvent, Actions& aActions);
  void OnTargetAlive(Time aNow, Actions& aActions);
  void OnNotStarted(AttemptEnd aEnd, Time aNow, Actions& aActions);
  void OnConnectionBroken(Time aNow, Actions& aActions);
  void OnUnknownStream(Time aNow, Actions& aActions);
  void CancelCurrentAttempt(bool aWantsResult, Actions& aActions);
  void Fail(FailureCode aCode, std::string aMessage, Actions& aActions);
  void FailWithRetryAfter(FailureCode aCode,
                          std::string aMessage,
                          Duration aRetryAfter,
                          Actions& aActions);
  RunVerdict Verdict() const;
  bool MatchesRequest(const StreamEvent& aEvent) const;
  bool CanRestart() const;
  void ResetSilenceTimer(Time aNow);
  void Exclude(const std::string& aTarget);

  GenerationSpec mSpec;
  TargetChooser& mChooser;
  Phase mPhase = Phase::Idle;
  // Target to dispatch to once the fence is granted.
  Choice mFencedChoice;
  int mAttempt = 0;
  // Number of the last attempt, which is the current one or a tentative one.
  int mLastAttempt = 0;
  std::string mTarget;
  // Software version of the current attempt's target.
  std::string mAttemptSoftwareVersion;
  std::string mGeneration;
  std::vector<int> mTokens;
  int mDeliverFrom = 0;
  Duration mTypicalTokenGap = Duration::zero();
  Duration mSilenceTimeout = Duration::zero();
  Time mLastProgressAt;
  Time mTimerAt;
  Time mRecoveryDeadline = Time::max();
  int mRejections = 0;
  int mRestarts = 0;
  // Dispatches that were not rejected by their target, those of other hosts
  // included.
  int mRuns;
  // Those of them that were tentative and given up without a response.
  int mUnansweredRuns = 0;
  // Whether the current attempt reads a stream that an earlier one started.
  bool mReattached = false;
  // Whether the current attempt's stream has produced a token.
  bool mAttemptHasProduced = false;
  // Whether the current attempt's connection has been requested and is not
  // known to have ended.
  bool mAttemptOpen = false;
  bool mMayHaveStarted = false;
  // Whether the stream moves as soon as another target can take it.
  bool mTargetIsSilent = false;
  // When a silent target is probed again.
  Time mProbeAgainAt;
  std::optional<Tentative> mTentative;
  GenerationCounters mCounters;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_GENERATION_H_INCLUDED
