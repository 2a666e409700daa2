#include "gateway/PlainExchange.h"

#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

constexpr int kFirstFailureStatus = 500;

ChoiceQuery
QueryOf(const CallerCall& aCall)
{
  ChoiceQuery query;
  query.mService = aCall.mService;
  query.mRequestId = aCall.mRequest.mRequestId;
  query.mWorkspace = aCall.mWorkspace;
  query.mContentHash = aCall.mContentHash;
  query.mDeadline = aCall.mDeadline;
  query.mOnTimeUntil = aCall.mArrived + aCall.mRoute->mObjective;
  return query;
}

} // namespace

PlainExchange::PlainExchange(GatewayParts& aParts,
                             CallerCall aCall,
                             AnswerSink& aSink)
  : Exchange(aParts, std::move(aCall), aSink)
  , mDecision(QueryOf(mCall),
              IsIdempotent(),
              mCall.mDeadline,
              aParts.mFleet.Targets(),
              mCall.mRoute->mMaxAttempts)
  , mAlarm(aParts.mLoop, [this] { OnTimer(); })
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
  Perform(mDecision.Start(EventLoop::Now()));
}

void
PlainExchange::OnCallerGone()
{
  if (mDone) {
    return;
  }
  Settle();
  if (mConnection != nullptr) {
    mConnection->Abandon();
    EndTry(AttemptOutcome::Released);
  }
  mParts.mMetrics.Add(GatewayCount::CallersGone);
  LogEnd("caller_gone", 0);
}

void
PlainExchange::Perform(const PlainStep& aStep)
{
  if (const auto* step = std::get_if<TryTarget>(&aStep)) {
    Send(step->mTarget);
  } else if (const auto* failed = std::get_if<FailCall>(&aStep)) {
    Fail(failed->mFailure);
  } else {
    PassAnswerOn();
  }
}

void
PlainExchange::Send(const std::string& aTarget)
{
  const Time now = EventLoop::Now();
  mTarget = aTarget;
  mLastTarget = aTarget;
  ++mTries;
  mHasAnswer = false;
  mAnswerBody.clear();
  mParts.mFleet.Targets().OnAttemptStart(aTarget, mCall.mContentHash, now);
  mConnection = mParts.mPool.Take(aTarget);
  if (mConnection == nullptr) {
    EndTry(AttemptOutcome::Released);
    Perform(mDecision.OnResult(PlainResult::NotStarted, now));
    return;
  }
  mTryUntil = mCall.mDeadline;
  if (IsIdempotent()) {
    mTryUntil = std::min(mTryUntil, now + mCall.mRoute->mObjective);
  }
  mAlarm.SetAt(mTryUntil);
  mConnection->Send(platform::EncodeAttempt(mCall.mHead,
                                            CommonFields(aTarget, now),
                                            mCall.mBody.size()),
                    mCall.mBody,
                    mCall.mRequest.mRequestId,
                    std::min(now + kConnectTime, mCall.mDeadline),
                    *this);
}

void
PlainExchange::OnAnswerHead(const HttpHead& aHead,
                            const platform::TargetAnswer& aAnswer)
{
  mAnswerHead = aHead;
  mAnswer = aAnswer;
  mHasAnswer = true;
}

void
PlainExchange::OnAnswerBody(std::string aBody)
{
  mAnswerBody += aBody;
}

void
PlainExchange::OnAnswerComplete()
{
  const RefPtr<Exchange> self(this);
  const Time now = EventLoop::Now();
  TargetTable& targets = mParts.mFleet.Targets();
  if (mAnswer.mRunning && mAnswer.mWaiting) {
    targets.OnLoad(mTarget,
                   targets.IncarnationOf(mTarget),
                   "ready",
                   *mAnswer.mRunning,
                   *mAnswer.mWaiting,
                   now);
  }
  if (mAnswer.mNotRun) {
    ReportTurnedAway(mParts, mTarget, mAnswer, now);
    mNote = "turned_away";
    EndTry(AttemptOutcome::Released);
    Perform(mDecision.OnResult(PlainResult::NotStarted, now));
    return;
  }
  const bool success = mAnswerHead.mStatus / 100 == 2;
  if (success && !mAnswer.mSigned) {
    mNote = "unsigned_answer";
    EndTry(AttemptOutcome::Released);
    Perform(mDecision.OnResult(PlainResult::Broken, now));
    return;
  }
  EndTry(AttemptOutcome::Finished);
  const bool failed = mAnswerHead.mStatus >= kFirstFailureStatus;
  Perform(mDecision.OnResult(
    failed ? PlainResult::Failed : PlainResult::Answered, now));
}

void
PlainExchange::OnTryEnded(TryEnd aEnd)
{
  const RefPtr<Exchange> self(this);
  const Time now = EventLoop::Now();
  ReportTryEnd(mParts.mFleet.Targets(), mTarget, aEnd, now);
  const bool sent = aEnd == TryEnd::Broken;
  if (!sent && mTries > 1) {
    mParts.mFleet.Targets().ReturnRepeat(mCall.mService);
  }
  mNote = sent ? "target_lost" : "target_unreachable";
  EndTry(sent ? AttemptOutcome::Lost : AttemptOutcome::Released);
  Perform(mDecision.OnResult(
    sent ? PlainResult::Broken : PlainResult::NotStarted, now));
}

void
PlainExchange::EndTry(AttemptOutcome aOutcome)
{
  mConnection.reset();
  mParts.mFleet.Targets().OnAttemptEnd(
    mTarget, mCall.mContentHash, aOutcome, EventLoop::Now());
}

void
PlainExchange::PassAnswerOn()
{
  Settle();
  // A status that promises "not run" is passed on only when the target said so
  // itself, which it did not: the request has run.
  const int status = mAnswerHead.mStatus;
  const bool promises =
    status == 429 || status == 503 || status == 408 || status == 421;
  if (promises && !IsIdempotent()) {
    Failure failure;
    failure.mCode = FailureCode::OutcomeUnknown;
    failure.mVerdict = RunVerdict::OutcomeUnknown;
    failure.mMessage = "the target failed the call";
    SendFailure(failure);
    return;
  }
  LogEnd("answered", status);
  mSink->SendWhole(
    status, mAnswerHead.mReason, ForwardedFields(mAnswerHead), mAnswerBody);
}

void
PlainExchange::Fail(const Failure& aFailure)
{
  Settle();
  SendFailure(aFailure);
}

void
PlainExchange::OnTimer()
{
  const RefPtr<Exchange> self(this);
  const Time now = EventLoop::Now();
  if (mDone) {
    return;
  }
  const bool sent = mConnection != nullptr && mConnection->HasSent();
  if (mConnection != nullptr) {
    mConnection->Abandon();
    EndTry(AttemptOutcome::Released);
  }
  if (now >= mCall.mDeadline || now < mTryUntil) {
    Failure failure;
    failure.mCode = FailureCode::DeadlineExceeded;
    failure.mVerdict =
      sent || mTries > 1 ? RunVerdict::OutcomeUnknown : RunVerdict::NotRun;
    failure.mMessage = "the target did not answer in time";
    Fail(failure);
    return;
  }
  mNote = "target_silent";
  Perform(mDecision.OnResult(
    sent ? PlainResult::Broken : PlainResult::NotStarted, now));
}

void
PlainExchange::Settle()
{
  mDone = true;
  mAlarm.Clear();
}

} // namespace quetzalquay
