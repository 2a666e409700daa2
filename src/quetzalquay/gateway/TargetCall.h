#ifndef QUETZALQUAY_GATEWAY_TARGETCALL_H_INCLUDED
#define QUETZALQUAY_GATEWAY_TARGETCALL_H_INCLUDED

#include "gateway/ReplyBody.h"
#include "gateway/TargetConnection.h"

#include <functional>
#include <optional>
#include <string>

namespace quetzalquay {

// A small request that the gateway itself sends to one target, such as a report
// request or a copy order. The call keeps itself alive while in progress.
class TargetCall
  : public RefCounted<TargetCall>
  , public AttemptSink
{
public:
  // Result of a call.
  struct Outcome
  {
    // Status of the response; nothing unless it was complete or too large.
    std::optional<int> mStatus;
    // Empty if the response was too large.
    std::string mBody;
    // How the call failed; nothing when it was answered or timed out.
    std::optional<AttemptFailure> mFailure;
  };

  // Called once with the result, unless the call is cancelled first.
  using Receiver = std::function<void(const Outcome&)>;

  // The response counts as memory in aBuffers.
  TargetCall(EventLoop& aLoop, AnswerBuffers& aBuffers, Receiver aReceiver);
  // Sends a complete request and waits for the response until aDeadline. If
  // aConnection is null, the receiver is called from the event loop with an
  // empty outcome.
  void Send(RefPtr<TargetConnection> aConnection,
            const std::string& aRequest,
            Time aDeadline);

  // Cancels the call; its receiver is not called.
  void Cancel();

private:
  void OnResponseHead(const HttpHead& aHead,
                      const platform::TargetResponse&) override;
  void OnResponseBody(std::string aBody) override;
  void OnResponseComplete() override;
  void OnAttemptFailed(AttemptFailure aFailure) override;
  void Finish();

  EventLoop& mLoop;
  Receiver mReceiver;
  RefPtr<TargetConnection> mConnection;
  Outcome mOutcome;
  ReplyBody mBody;
  int mStatus = 0;
  Timer mTimer;
  // Keeps the call alive while it is in progress.
  RefPtr<TargetCall> mSelf;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_TARGETCALL_H_INCLUDED
