#ifndef QUETZALQUAY_GATEWAY_DEATHCHECK_H_INCLUDED
#define QUETZALQUAY_GATEWAY_DEATHCHECK_H_INCLUDED

#include "core/RefCounted.h"
#include "http/Socket.h"

#include <functional>

namespace quetzalquay {

// Finds out by one connection attempt whether anything still listens at the
// address of a target. Keeps itself alive while in progress.
class DeathCheck
  : public RefCounted<DeathCheck>
  , public SocketHandler
{
public:
  enum class Result
  {
    Listening,
    Refused,
    NoAnswer,
  };

  // Called once with the result.
  using Receiver = std::function<void(Result)>;

  DeathCheck(EventLoop& aLoop, Receiver aReceiver);

  // Connects to aTarget and reports the result by aDeadline.
  void Start(const Endpoint& aTarget, Time aDeadline);

private:
  void OnConnected() override;
  void OnData(std::string_view) override {}
  void OnEnd(SocketEnd aEnd) override;
  void Finish(Result aResult);

  RefPtr<Socket> mSocket;
  Receiver mReceiver;
  RefPtr<DeathCheck> mSelf;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_DEATHCHECK_H_INCLUDED
