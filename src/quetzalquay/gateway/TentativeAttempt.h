#ifndef QUETZALQUAY_GATEWAY_TENTATIVEATTEMPT_H_INCLUDED
#define QUETZALQUAY_GATEWAY_TENTATIVEATTEMPT_H_INCLUDED

#include "core/GenerationActions.h"
#include "core/TargetTable.h"
#include "gateway/TargetConnection.h"

#include <functional>
#include <optional>
#include <string>

namespace quetzalquay {

struct GatewayContext;
struct RoutedCall;

// Attempt at another target while the request's own one is silent but may still
// answer. Its exchange takes the connection over once the target has accepted
// the request; until then, or if the target turns it away, the request stays
// where it is.
class TentativeAttempt
  : public RefCounted<TentativeAttempt>
  , public AttemptSink
{
public:
  // How the attempt ended without a success, and the cause for the log.
  struct Result
  {
    AttemptEnd mEnd = AttemptEnd::Broken;
    AttemptOutcome mOutcome = AttemptOutcome::Released;
    std::string mNote;
  };

  struct Callbacks
  {
    // The head of a signed success has arrived. Called once, unless the
    // connection is taken over before.
    std::function<void()> mOnAccepted;
    // Called once, unless the attempt is abandoned or taken over before.
    std::function<void(const Result&)> mOnEnded;
  };

  // aCall must outlive this object.
  TentativeAttempt(GatewayContext& aContext,
                   const RoutedCall& aCall,
                   int aNumber,
                   std::string aTarget,
                   Callbacks aCallbacks);

  // Sends the request. aChecksStart is for TargetConnection::CheckStart().
  void Send(const platform::AttemptFields& aFields,
            bool aChecksStart,
            const AttemptLoad& aLoad);

  int Number() const { return mNumber; }
  const std::string& Target() const { return mTarget; }
  Time SentAt() const { return mSentAt; }

  // Whether the target may have the request.
  bool IsSent() const
  {
    return mConnection != nullptr && mConnection->HasSent();
  }

  // Whether the target has begun a response that is not a success.
  bool IsTurnedAway() const { return mHead && !mAccepted; }

  // Closes the connection. Returns whether the request was sent.
  bool Abandon();

  // Returns the connection, whose further events go to aSink.
  RefPtr<TargetConnection> TakeOver(AttemptSink& aSink);

  // Passes on to aSink what has arrived before TakeOver().
  void Replay(AttemptSink& aSink);

private:
  void OnResponseHead(const HttpHead& aHead,
                      const platform::TargetResponse& aResponse) override;
  void OnResponseBody(std::string aBody) override;
  void OnResponseComplete() override;
  void OnAttemptFailed(AttemptFailure aFailure) override;
  void End(const Result& aResult);

  GatewayContext& mContext;
  const RoutedCall& mCall;
  int mNumber;
  std::string mTarget;
  Callbacks mCallbacks;
  RefPtr<TargetConnection> mConnection;
  Time mSentAt;
  bool mAccepted = false;
  std::optional<HttpHead> mHead;
  platform::TargetResponse mResponse;
  std::string mBody;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_TENTATIVEATTEMPT_H_INCLUDED
