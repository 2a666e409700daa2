#include "gateway/DeathCheck.h"

#include <utility>

namespace quetzalquay {

DeathCheck::DeathCheck(EventLoop& aLoop, Receiver aReceiver)
  : mSocket(MakeRef<Socket>(aLoop))
  , mReceiver(std::move(aReceiver))
{
}

void
DeathCheck::Start(const Endpoint& aTarget, Time aDeadline)
{
  mSelf.reset(this);
  mSocket->Connect(aTarget, aDeadline, *this);
}

void
DeathCheck::OnConnected()
{
  mSocket->Close();
  Finish(Result::Listening);
}

void
DeathCheck::OnEnd(SocketEnd)
{
  Finish(mSocket->Refused() ? Result::Refused : Result::NoAnswer);
}

void
DeathCheck::Finish(Result aResult)
{
  const RefPtr<DeathCheck> self = std::move(mSelf);
  mReceiver(aResult);
}

} // namespace quetzalquay
