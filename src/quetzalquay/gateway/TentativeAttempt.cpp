#include "gateway/TentativeAttempt.h"

#include "gateway/Exchange.h"
#include "gateway/LimitWatch.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

// Longest response other than a success.
constexpr std::size_t kMaxErrorBytes = 65536;

} // namespace

TentativeAttempt::TentativeAttempt(GatewayContext& aContext,
                                   const RoutedCall& aCall,
                                   int aNumber,
                                   std::string aTarget,
                                   Callbacks aCallbacks)
  : mContext(aContext)
  , mCall(aCall)
  , mNumber(aNumber)
  , mTarget(std::move(aTarget))
  , mCallbacks(std::move(aCallbacks))
{
}

void
TentativeAttempt::Send(const platform::AttemptFields& aFields,
                       bool aChecksStart,
                       const AttemptLoad& aLoad)
{
  const RefPtr<TentativeAttempt> self(this);
  mSentAt = EventLoop::Now();
  TargetTable& targets = mContext.mFleet.Targets();
  targets.OnAttemptStart(mTarget, mCall.mContent, mSentAt, aLoad);
  mConnection = mContext.mPool.Acquire(mTarget);
  if (mConnection == nullptr) {
    targets.OnAttemptNotReceived(mTarget);
    End(
      { AttemptEnd::Unreachable, AttemptOutcome::Released, "target_unknown" });
    return;
  }
  if (aChecksStart) {
    mConnection->CheckStart();
  }
  mConnection->Send(
    platform::EncodeAttempt(mCall.mHead, aFields, mCall.mBody.size()),
    mCall.mBody,
    mCall.mRequest.mRequestId,
    std::min(mSentAt + kTargetConnectTimeout, mCall.mDeadline),
    *this);
}

bool
TentativeAttempt::Abandon()
{
  mCallbacks = Callbacks();
  const RefPtr<TargetConnection> connection = std::exchange(mConnection, {});
  if (connection == nullptr) {
    return false;
  }
  const bool sent = connection->HasSent();
  connection->Abort();
  if (!sent) {
    mContext.mFleet.Targets().OnAttemptNotReceived(mTarget);
    mContext.mFleet.Targets().ReturnRetry(mCall.mService);
  }
  return sent;
}

RefPtr<TargetConnection>
TentativeAttempt::TakeOver(AttemptSink& aSink)
{
  mCallbacks = Callbacks();
  mConnection->SetSink(aSink);
  return std::exchange(mConnection, {});
}

void
TentativeAttempt::Replay(AttemptSink& aSink)
{
  if (mHead) {
    aSink.OnResponseHead(*mHead, mResponse);
  }
  if (!mBody.empty()) {
    aSink.OnResponseBody(std::move(mBody));
  }
}

void
TentativeAttempt::OnResponseHead(const HttpHead& aHead,
                                 const platform::TargetResponse& aResponse)
{
  const RefPtr<TentativeAttempt> self(this);
  mHead = aHead;
  mResponse = aResponse;
  mAccepted = aHead.mStatus / 100 == 2 && aResponse.mSigned;
  if (mAccepted) {
    const auto accepted = mCallbacks.mOnAccepted;
    accepted();
  } else {
    mContext.mLimits.OnAnswer(mTarget, aResponse);
  }
}

void
TentativeAttempt::OnResponseBody(std::string aBody)
{
  mBody += aBody;
  if (mBody.size() > kMaxErrorBytes) {
    const RefPtr<TentativeAttempt> self(this);
    mConnection->Abort();
    OnAttemptFailed(AttemptFailure::Broken);
  }
}

void
TentativeAttempt::OnResponseComplete()
{
  const RefPtr<TentativeAttempt> self(this);
  if (mResponse.mNotRun) {
    ReportRejection(mContext, mTarget, mResponse, EventLoop::Now());
    End({ mResponse.mMisdirected ? AttemptEnd::Refused : AttemptEnd::NotStarted,
          AttemptOutcome::Released,
          mResponse.mLeaving ? "target_leaving" : "turned_away" });
    return;
  }
  End({ AttemptEnd::Broken,
        mHead->mStatus / 100 == 2 ? AttemptOutcome::Released
                                  : AttemptOutcome::Failed,
        "status_" + std::to_string(mHead->mStatus) });
}

void
TentativeAttempt::OnAttemptFailed(AttemptFailure aFailure)
{
  const RefPtr<TentativeAttempt> self(this);
  TargetTable& targets = mContext.mFleet.Targets();
  ReportAttemptFailure(targets, mTarget, aFailure, EventLoop::Now());
  if (aFailure == AttemptFailure::Broken) {
    End({ AttemptEnd::Broken, AttemptOutcome::Lost, "target_lost" });
    return;
  }
  targets.ReturnRetry(mCall.mService);
  const bool refused = aFailure == AttemptFailure::Refused;
  End({ refused ? AttemptEnd::Refused : AttemptEnd::Unreachable,
        AttemptOutcome::Released,
        refused ? "target_refused" : "target_unreachable" });
}

void
TentativeAttempt::End(const Result& aResult)
{
  mConnection.reset();
  const Callbacks callbacks = std::exchange(mCallbacks, Callbacks());
  callbacks.mOnEnded(aResult);
}

} // namespace quetzalquay
