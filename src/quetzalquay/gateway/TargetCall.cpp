#include "gateway/TargetCall.h"

#include <utility>

namespace quetzalquay {

TargetCall::TargetCall(EventLoop& aLoop,
                       AnswerBuffers& aBuffers,
                       Receiver aReceiver)
  : mLoop(aLoop)
  , mReceiver(std::move(aReceiver))
  , mBody(aBuffers)
  , mTimer(aLoop, [this] { Finish(); })
{
}

void
TargetCall::Send(RefPtr<TargetConnection> aConnection,
                 const std::string& aRequest,
                 Time aDeadline)
{
  mSelf.reset(this);
  mTimer.ScheduleAt(aDeadline);
  mConnection = std::move(aConnection);
  if (mConnection == nullptr) {
    mLoop.Defer([self = RefPtr<TargetCall>(this)] { self->Finish(); });
    return;
  }
  mConnection->Send(aRequest, std::string(), std::string(), aDeadline, *this);
}

void
TargetCall::Cancel()
{
  const RefPtr<TargetCall> self = std::move(mSelf);
  mReceiver = nullptr;
  mTimer.Clear();
  if (mConnection != nullptr) {
    mConnection->Abort();
    mConnection.reset();
  }
}

void
TargetCall::OnResponseHead(const HttpHead& aHead,
                           const platform::TargetResponse&)
{
  mStatus = aHead.mStatus;
}

void
TargetCall::OnResponseBody(std::string aBody)
{
  if (mBody.Append(aBody)) {
    return;
  }
  mConnection->OnReplyTooLarge();
  mOutcome.mStatus = mStatus;
  Finish();
}

void
TargetCall::OnResponseComplete()
{
  mOutcome.mStatus = mStatus;
  mOutcome.mBody = mBody.Take();
  // The pool owns the idle connection from here on; Cancel() must not abort it.
  mConnection.reset();
  Finish();
}

void
TargetCall::OnAttemptFailed(AttemptFailure aFailure)
{
  mOutcome.mFailure = aFailure;
  mConnection.reset();
  Finish();
}

void
TargetCall::Finish()
{
  const RefPtr<TargetCall> self(this);
  const Receiver receiver = std::exchange(mReceiver, nullptr);
  Cancel();
  if (receiver != nullptr) {
    receiver(mOutcome);
  }
}

} // namespace quetzalquay
