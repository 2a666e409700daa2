#include "gateway/TargetCall.h"

#include <utility>

namespace quetzalquay {

TargetCall::TargetCall(EventLoop& aLoop, Receiver aReceiver)
  : mLoop(aLoop)
  , mReceiver(std::move(aReceiver))
  , mDeadline(aLoop, [this] { Finish(); })
{
}

void
TargetCall::Send(RefPtr<TargetConnection> aConnection,
                 const std::string& aRequest,
                 Time aBy)
{
  mSelf.reset(this);
  mDeadline.SetAt(aBy);
  mConnection = std::move(aConnection);
  if (mConnection == nullptr) {
    mLoop.Defer([self = RefPtr<TargetCall>(this)] { self->Finish(); });
    return;
  }
  mConnection->Send(aRequest, std::string(), std::string(), aBy, *this);
}

void
TargetCall::Cancel()
{
  const RefPtr<TargetCall> self = std::move(mSelf);
  mReceiver = nullptr;
  mDeadline.Clear();
  if (mConnection != nullptr) {
    mConnection->Abandon();
    mConnection.reset();
  }
}

void
TargetCall::OnAnswerHead(const HttpHead& aHead, const platform::TargetAnswer&)
{
  mStatus = aHead.mStatus;
}

void
TargetCall::OnAnswerBody(std::string aBody)
{
  mOutcome.mBody += aBody;
}

void
TargetCall::OnAnswerComplete()
{
  mOutcome.mStatus = mStatus;
  // The pool keeps the connection.
  mConnection.reset();
  Finish();
}

void
TargetCall::OnTryEnded(TryEnd aEnd)
{
  mOutcome.mEnd = aEnd;
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
