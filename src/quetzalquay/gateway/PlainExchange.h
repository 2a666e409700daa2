#ifndef QUETZALQUAY_GATEWAY_PLAINEXCHANGE_H_INCLUDED
#define QUETZALQUAY_GATEWAY_PLAINEXCHANGE_H_INCLUDED

#include "core/PlainCall.h"
#include "gateway/Exchange.h"

#include <string>

namespace quetzalquay {

// Handles a request without streaming. The target's response is buffered and
// forwarded once it is complete, so that a broken attempt can be retried when
// the route is idempotent. PlainCall decides on attempts and retries.
class PlainExchange
  : public Exchange
  , public AttemptSink
{
public:
  PlainExchange(GatewayContext& aContext,
                RoutedCall aCall,
                ResponseSink& aSink);

  void Start() override;
  void OnCallerDisconnected() override;
  void OnExit() override;

private:
  void OnResponseHead(const HttpHead& aHead,
                      const platform::TargetResponse& aResponse) override;
  void OnResponseBody(std::string aBody) override;
  void OnResponseComplete() override;
  void OnAttemptFailed(AttemptFailure aFailure) override;
  int CountRuns() const override { return mStateMachine.Runs(); }

  void PerformStep(const PlainStep& aStep);
  bool PassOn(PlainResult aResult, HostChoice aChoice = HostChoice::Willing);
  void SendAttempt(const std::string& aTarget);
  void ForwardResponse();
  void Fail(const Failure& aFailure);
  bool AbandonAttempt();
  void FailAbandoned(bool aSent, FailureCode aCode, const char* aMessage);
  void EndAttempt(AttemptOutcome aOutcome);
  void OnTimer();
  void HandleSilence(Time aNow);
  void AwaitSilentTarget(Time aNow);
  void AskBesideSilentTarget(const TryTarget& aStep, Time aNow);
  void CheckTentative(Time aNow);
  void OnTentativeProbed(int aNumber, bool aAlive);
  void EndTentative(const TentativeAttempt::Result& aResult);
  void GiveUpTentative(Time aNow);
  void AdoptTentative(PlainResult aFormer);
  void ProcessResult(PlainResult aResult, Time aNow);
  void LogRetry(Time aNow) const;
  void Finish();
  void DiscardResponse();
  bool IsIdempotent() const;

  PlainCall mStateMachine;
  RefPtr<TargetConnection> mConnection;
  std::string mTarget;
  // Response of the last attempt, kept until it is forwarded or discarded.
  HttpHead mResponseHead;
  platform::TargetResponse mResponseInfo;
  std::string mResponseBody;
  AnswerBuffer mBuffer;
  bool mHasResponse = false;
  bool mDone = false;
  bool mWaitsForSilentTarget = false;
  bool mAwaitsVerdict = false;
  // When another target is sought for an attempt without a response.
  Time mAttemptDeadline;
  Time mAttemptSentAt;
  Timer mTimer;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_PLAINEXCHANGE_H_INCLUDED
