#ifndef QUETZALQUAY_GATEWAY_TARGETCALL_H_INCLUDED
#define QUETZALQUAY_GATEWAY_TARGETCALL_H_INCLUDED

#include "gateway/TargetConnection.h"

#include <functional>
#include <optional>
#include <string>

namespace quetzalquay {

// A small question or order of the gateway's own to one target.
class TargetCall
  : public RefCounted<TargetCall>
  , public TrySink
{
public:
  // What came of a call.
  struct Outcome
  {
    // Status of the whole answer; nothing without one.
    std::optional<int> mStatus;
    std::string mBody;
    // How the call ended without an answer; nothing when time ran out.
    std::optional<TryEnd> mEnd;
  };

  // Called once, unless the call is cancelled first.
  using Receiver = std::function<void(const Outcome&)>;

  TargetCall(EventLoop& aLoop, Receiver aReceiver);
  // Sends a whole request, and stays alive until aBy or the answer. Without a
  // connection the receiver is called from the loop.
  void Send(RefPtr<TargetConnection> aConnection,
            const std::string& aRequest,
            Time aBy);

  // Gives the call up; its receiver is not called.
  void Cancel();

private:
  void OnAnswerHead(const HttpHead& aHead,
                    const platform::TargetAnswer&) override;
  void OnAnswerBody(std::string aBody) override;
  void OnAnswerComplete() override;
  void OnTryEnded(TryEnd aEnd) override;
  void Finish();

  EventLoop& mLoop;
  Receiver mReceiver;
  RefPtr<TargetConnection> mConnection;
  Outcome mOutcome;
  int mStatus = 0;
  Alarm mDeadline;
  // Holds the call while it is under way.
  RefPtr<TargetCall> mSelf;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_TARGETCALL_H_INCLUDED
