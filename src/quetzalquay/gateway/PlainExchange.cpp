#include "gateway/PlainExchange.h"

#include "core/RecoveryPolicy.h"
#include "gateway/LimitWatch.h"
#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

// Interval at which another target is sought for a call whose target is silent.
constexpr Duration kSilenceRetryDelay = std::chrono::milliseconds(50);

// Retry-After of a target's 503 that is passed on.
constexpr Duration kFailedRetryAfter = std::chrono::milliseconds(1000);

ChoiceQuery
MakeChoiceQuery(const RoutedCall& aCall)
{
  ChoiceQuery query;
  query.mService = aCall.mService;
  query.mRequestId = aCall.mRequest.mRequestId;
  query.mWorkspace = aCall.mWorkspace;
  query.mContent = aCall.mContent;
  query.mDeadline = aCall.mDeadline;
  query.mPriority = aCall.mPriority;
  query.mDueAt = aCall.mArrivedAt + aCall.mRoute->mLatencyObjective;
  return query;
}

} // namespace

PlainExchange::PlainExchange(GatewayContext& aContext,
                             RoutedCall aCall,
                             ResponseSink& aSink)
  : Exchange(aContext, std::move(aCall), aSink)
  , mStateMachine(MakeChoiceQuery(mCall),
                  IsIdempotent(),
                  mCall.mDeadline,
                  aContext.mFleet.Chooser(),
                  mCall.mRoute->mMaxAttempts,
                  mCall.mPassedOn.mPrior)
  , mBuffer(aContext.mAnswerBuffers)
  , mTimer(aContext.mLoop, [this] { OnTimer(); })
{
}

bool
PlainExchange::IsIdempotent() const
{
  return mCall.mRoute->mKind == CallKind::Idempotent;
}

void
PlainExchange::Start()
{
  PerformStep(mStateMachine.Start(EventLoop::Now()));
}

void
PlainExchange::OnCallerDisconnected()
{
  if (mDone) {
    return;
  }
  Finish();
  AbandonAttempt();
  mStateMachine.CancelWait();
  mContext.mMetrics.Add(GatewayCounter::CallerDisconnects);
  LogCompletion("caller_gone", 0);
}

void
PlainExchange::PerformStep(const PlainStep& aStep)
{
  if (const auto* step = std::get_if<TryTarget>(&aStep)) {
    SendAttempt(step->mTarget);
  } else if (const auto* wait = std::get_if<AwaitVerdict>(&aStep)) {
    mAwaitsVerdict = true;
    mTimer.ScheduleAt(wait->mCheckAt);
  } else if (const auto* failed = std::get_if<FailCall>(&aStep)) {
    const auto choice =
      ChoiceIfUnplaced(failed->mFailure.mCode, EventLoop::Now());
    if (!choice || !PassOn(PlainResult::NotStarted, *choice)) {
      Fail(failed->mFailure);
    }
  } else {
    ForwardResponse();
  }
}

// Has another host serve the call if it may be sent again after the current
// attempt has ended with the given result. Returns whether there is a host.
bool
PlainExchange::PassOn(PlainResult aResult, HostChoice aChoice)
{
  // Another target that has been asked decides first.
  if (mTentative != nullptr) {
    return false;
  }
  const auto runs = mStateMachine.RunsIfPassedOn(aResult);
  auto host = runs ? FindServingHost(mContext, mCall, EventLoop::Now(), aChoice)
                   : std::nullopt;
  if (!host) {
    return false;
  }
  const RefPtr<Exchange> self(this);
  AbandonAttempt();
  mStateMachine.CancelWait();
  DiscardResponse();
  Finish();
  HandOver handOver = MakeHandOver(std::move(*host), *runs);
  handOver.mMayHaveRun =
    mStateMachine.MayHaveStarted() || aResult != PlainResult::NotStarted;
  mSink->PassOn(std::move(mCall), std::move(handOver));
  return true;
}

void
PlainExchange::SendAttempt(const std::string& aTarget)
{
  const Time now = EventLoop::Now();
  mTarget = aTarget;
  mLastTarget = aTarget;
  mAttemptSentAt = now;
  if (++mAttempts > 1) {
    LogRetry(now);
  }
  mHasResponse = false;
  mWaitsForSilentTarget = false;
  DiscardResponse();
  RecordAttemptStart(aTarget);
  mConnection = mContext.mPool.Acquire(aTarget);
  if (mConnection == nullptr) {
    ++mUnsentAttempts;
    mContext.mFleet.Targets().OnAttemptNotReceived(aTarget);
    EndAttempt(AttemptOutcome::Released);
    PerformStep(mStateMachine.OnResult(PlainResult::NotStarted, now));
    return;
  }
  mAttemptDeadline = mCall.mDeadline;
  if (IsIdempotent()) {
    mAttemptDeadline =
      std::min(mAttemptDeadline, now + mCall.mRoute->mLatencyObjective);
  }
  mTimer.ScheduleAt(mAttemptDeadline);
  StateRuns(CountRuns() + 1);
  mConnection->Send(platform::EncodeAttempt(mCall.mHead,
                                            MakeAttemptFields(aTarget, now),
                                            mCall.mBody.size()),
                    mCall.mBody,
                    mCall.mRequest.mRequestId,
                    std::min(now + kTargetConnectTimeout, mCall.mDeadline),
                    *this);
}

// Logs which target the request is retried at, and why.
void
PlainExchange::LogRetry(Time aNow) const
{
  const auto left = std::max(mCall.mDeadline - aNow, Time::duration::zero());
  Log(
    LogLevel::Info,
    "request",
    "request retried",
    { { "request", mCall.mRequest.mRequestId },
      { "target", mTarget },
      { "try", std::to_string(mAttempts) },
      { "cause", mLogNote },
      { "left_ms", std::to_string(static_cast<int>(ToMilliseconds(left))) } });
}

void
PlainExchange::OnResponseHead(const HttpHead& aHead,
                              const platform::TargetResponse& aResponse)
{
  mContext.mLimits.OnAnswer(mTarget, aResponse);
  mResponseHead = aHead;
  mResponseInfo = aResponse;
  mHasResponse = true;
}

void
PlainExchange::OnResponseBody(std::string aBody)
{
  const std::size_t size = mResponseBody.size() + aBody.size();
  if (!mBuffer.Resize(size)) {
    const RefPtr<Exchange> self(this);
    LogOversizedAnswer(size);
    DiscardResponse();
    mConnection->Abort();
    OnAttemptFailed(AttemptFailure::Broken);
    return;
  }
  mResponseBody += aBody;
}

// Frees the memory of the response received so far.
void
PlainExchange::DiscardResponse()
{
  std::string().swap(mResponseBody);
  mBuffer.Resize(0);
}

void
PlainExchange::OnResponseComplete()
{
  const RefPtr<Exchange> self(this);
  const Time now = EventLoop::Now();
  TargetTable& targets = mContext.mFleet.Targets();
  if (mResponseInfo.mRunning && mResponseInfo.mWaiting) {
    targets.OnLoadReport(mTarget,
                         targets.IncarnationOf(mTarget),
                         "ready",
                         *mResponseInfo.mRunning,
                         *mResponseInfo.mWaiting,
                         now);
    if (!mResponseInfo.mNotRun) {
      targets.OnServed(
        mTarget,
        std::chrono::duration_cast<Duration>(now - mAttemptSentAt),
        *mResponseInfo.mWaiting);
    }
  }
  if (mResponseInfo.mNotRun) {
    ReportRejection(mContext, mTarget, mResponseInfo, now);
    mLogNote = mResponseInfo.mLeaving ? "target_leaving" : "turned_away";
    EndAttempt(AttemptOutcome::Released);
    ProcessResult(PlainResult::NotStarted, now);
    return;
  }
  const bool success = mResponseHead.mStatus / 100 == 2;
  if (success && !mResponseInfo.mSigned) {
    mLogNote = "unsigned_answer";
    EndAttempt(AttemptOutcome::Released);
    ProcessResult(PlainResult::Broken, now);
    return;
  }
  EndAttempt(success ? OutcomeOf(mResponseHead) : AttemptOutcome::Failed);
  const bool failed = mResponseHead.mStatus >= kFirstServerErrorStatus;
  if (failed) {
    mLogNote = "status_" + std::to_string(mResponseHead.mStatus);
  }
  ProcessResult(failed ? PlainResult::Failed : PlainResult::Answered, now);
}

void
PlainExchange::OnAttemptFailed(AttemptFailure aFailure)
{
  const RefPtr<Exchange> self(this);
  const Time now = EventLoop::Now();
  ReportAttemptFailure(mContext.mFleet.Targets(), mTarget, aFailure, now);
  const bool sent = aFailure == AttemptFailure::Broken;
  mUnsentAttempts += sent ? 0 : 1;
  if (!sent && IsRetry()) {
    mContext.mFleet.Targets().ReturnRetry(mCall.mService);
  }
  mLogNote = sent                                       ? "target_lost"
             : aFailure == AttemptFailure::NoDescriptor ? "no_descriptor"
                                                        : "target_unreachable";
  LogAttemptFailure("");
  EndAttempt(sent ? AttemptOutcome::Lost : AttemptOutcome::Released);
  const PlainResult result =
    sent ? PlainResult::Broken : PlainResult::NotStarted;
  const bool leaves = sent ? IsCutOff(now) : MayBeCutOff(now);
  if (!leaves || !PassOn(result)) {
    ProcessResult(result, now);
  }
}

void
PlainExchange::EndAttempt(AttemptOutcome aOutcome)
{
  mConnection.reset();
  RecordAttemptEnd(mTarget, aOutcome);
}

void
PlainExchange::ForwardResponse()
{
  Finish();
  const int status = mResponseHead.mStatus;
  if (ImpliesNotRun(status) && !IsIdempotent()) {
    SendFailure(MayHaveRunFailure());
    return;
  }
  LogCompletion("answered", status);
  std::string fields = FormatForwardedFields(mResponseHead);
  if (mResponseInfo.mWait) {
    const Time now = EventLoop::Now();
    const Duration after = std::max(
      kFailedRetryAfter,
      mContext.mFleet.Targets().TimeToComeBack(MakeChoiceQuery(mCall), now));
    platform::AppendRetryAfter(fields,
                               LimitRetryAfter(after, mCall.mDeadline, now));
  }
  mSink->SendResponse(status, mResponseHead.mReason, fields, mResponseBody);
}

void
PlainExchange::Fail(const Failure& aFailure)
{
  Finish();
  SendFailure(aFailure);
}

// Ends the attempt in progress, if any. Returns whether the request was sent in
// it.
bool
PlainExchange::AbandonAttempt()
{
  if (mConnection == nullptr) {
    return false;
  }
  const bool sent = mConnection->HasSent();
  mConnection->Abort();
  EndAttempt(sent ? AttemptOutcome::GivenUp : AttemptOutcome::Released);
  return sent;
}

void
PlainExchange::FailAbandoned(bool aSent,
                             FailureCode aCode,
                             const char* aMessage)
{
  mStateMachine.CancelWait();
  Failure failure;
  failure.mCode = aCode;
  failure.mVerdict =
    aSent || mAttempts > 1 ? RunVerdict::OutcomeUnknown : RunVerdict::NotRun;
  failure.mMessage = aMessage;
  Fail(failure);
}

void
PlainExchange::OnExit()
{
  if (mDone) {
    return;
  }
  const RefPtr<Exchange> self(this);
  FailAbandoned(
    AbandonAttempt(), FailureCode::Stopping, "the host is shutting down");
}

void
PlainExchange::OnTimer()
{
  const RefPtr<Exchange> self(this);
  if (mDone) {
    return;
  }
  if (std::exchange(mAwaitsVerdict, false)) {
    PerformStep(mStateMachine.OnVerdictDue(EventLoop::Now()));
    return;
  }
  if (mAttemptDeadline >= mCall.mDeadline) {
    FailAbandoned(AbandonAttempt(),
                  FailureCode::DeadlineExceeded,
                  "the target did not respond before the deadline");
  } else {
    HandleSilence(EventLoop::Now());
  }
}

// Asks another target if one can take the call; else waits for the silent one.
void
PlainExchange::HandleSilence(Time aNow)
{
  if (IsCutOff(aNow) && PassOn(PlainResult::Broken)) {
    return;
  }
  if (mTentative != nullptr) {
    CheckTentative(aNow);
    return;
  }
  if (!mWaitsForSilentTarget) {
    mWaitsForSilentTarget = true;
    LogSilentTargetKept();
  }
  if (const auto next = mStateMachine.OnSilence(aNow)) {
    AskBesideSilentTarget(*next, aNow);
  } else {
    AwaitSilentTarget(aNow);
  }
}

void
PlainExchange::AwaitSilentTarget(Time aNow)
{
  mAttemptDeadline = std::min(mCall.mDeadline, aNow + kSilenceRetryDelay);
  mTimer.ScheduleAt(mAttemptDeadline);
}

// Sends the call to another target. The silent one may still answer until the
// other has accepted the call.
void
PlainExchange::AskBesideSilentTarget(const TryTarget& aStep, Time aNow)
{
  ++mAttempts;
  LogTentativeAttempt(aStep.mTarget);
  StateRuns(CountRuns() + 2);
  mAttemptDeadline = std::min(mCall.mDeadline, aNow + kAcceptanceProbeDelay);
  mTimer.ScheduleAt(mAttemptDeadline);
  TentativeAttempt::Callbacks callbacks;
  callbacks.mOnAccepted = [this] {
    const RefPtr<Exchange> self(this);
    AdoptTentative(PlainResult::Broken);
  };
  callbacks.mOnEnded = [this](const TentativeAttempt::Result& aResult) {
    EndTentative(aResult);
  };
  mTentative = MakeRef<TentativeAttempt>(
    mContext, mCall, aStep.mAttempt, aStep.mTarget, std::move(callbacks));
  RecordRunStart(aStep.mTarget);
  mTentative->Send(MakeAttemptFields(aStep.mTarget, aNow), false, {});
}

// Probes the target of the tentative attempt, or gives the attempt up.
void
PlainExchange::CheckTentative(Time aNow)
{
  const Time deadline = mTentative->SentAt() + kMaxOverlap;
  if (aNow >= deadline) {
    GiveUpTentative(aNow);
    return;
  }
  mAttemptDeadline = std::min(mCall.mDeadline, deadline);
  mTimer.ScheduleAt(mAttemptDeadline);
  // Only an answer to this probe shows that the target is not silent, too.
  mContext.mProber.Probe(
    mTentative->Target(),
    true,
    deadline,
    [self = RefPtr<PlainExchange>(this), number = mTentative->Number()](
      ProbeResult aResult, const platform::TargetReport* aReport) {
      // A live target that is full refuses the probe's connection.
      const bool refused = aResult == ProbeResult::Dead && aReport == nullptr;
      self->OnTentativeProbed(number, refused || aResult == ProbeResult::Alive);
    });
}

void
PlainExchange::OnTentativeProbed(int aNumber, bool aAlive)
{
  if (mTentative == nullptr || mTentative->Number() != aNumber ||
      mTentative->IsTurnedAway()) {
    return;
  }
  if (aAlive && mTentative->IsSent()) {
    // It has not turned the call away, so it has queued or begun it.
    AdoptTentative(PlainResult::Broken);
  } else {
    GiveUpTentative(EventLoop::Now());
  }
}

void
PlainExchange::EndTentative(const TentativeAttempt::Result& aResult)
{
  const RefPtr<Exchange> self(this);
  LogTentativeEnd(aResult.mNote);
  const RefPtr<TentativeAttempt> tentative = std::exchange(mTentative, {});
  RecordAttemptEnd(tentative->Target(), aResult.mOutcome);
  mStateMachine.OnOtherAttemptEnded(aResult.mEnd == AttemptEnd::Broken
                                      ? PlainResult::Broken
                                      : PlainResult::NotStarted);
  AwaitSilentTarget(EventLoop::Now());
}

void
PlainExchange::GiveUpTentative(Time aNow)
{
  LogTentativeEnd("no_answer");
  mStateMachine.OnOtherAttemptEnded(
    AbandonTentative() ? PlainResult::Broken : PlainResult::NotStarted);
  AwaitSilentTarget(aNow);
}

// Goes on with the tentative attempt only. aFormer tells how the one before has
// ended; one that is still in progress is abandoned.
void
PlainExchange::AdoptTentative(PlainResult aFormer)
{
  mStateMachine.OnOtherAttemptEnded(aFormer);
  if (mConnection != nullptr) {
    mLogNote = "target_silent";
    AbandonAttempt();
  }
  const RefPtr<TentativeAttempt> tentative = std::exchange(mTentative, {});
  mTarget = tentative->Target();
  mLastTarget = mTarget;
  mContext.mMetrics.Add(GatewayCounter::TentativeAttemptsAdopted);
  LogRetry(EventLoop::Now());
  mHasResponse = false;
  mWaitsForSilentTarget = false;
  DiscardResponse();
  mConnection = tentative->TakeOver(*this);
  mAttemptSentAt = tentative->SentAt();
  mAttemptDeadline = std::min(
    mCall.mDeadline, tentative->SentAt() + mCall.mRoute->mLatencyObjective);
  mTimer.ScheduleAt(mAttemptDeadline);
  tentative->Replay(*this);
}

// Handles the end of the current attempt.
void
PlainExchange::ProcessResult(PlainResult aResult, Time aNow)
{
  if (mTentative != nullptr && aResult != PlainResult::Answered) {
    AdoptTentative(aResult);
    return;
  }
  PerformStep(mStateMachine.OnResult(aResult, aNow));
}

void
PlainExchange::Finish()
{
  mDone = true;
  mTimer.Clear();
  AbandonTentative();
}

} // namespace quetzalquay
