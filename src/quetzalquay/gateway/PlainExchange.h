#ifndef QUETZALQUAY_GATEWAY_PLAINEXCHANGE_H_INCLUDED
#define QUETZALQUAY_GATEWAY_PLAINEXCHANGE_H_INCLUDED

#include "core/PlainCall.h"
#include "gateway/Exchange.h"

#include <string>

namespace quetzalquay {

// Carries a call of a plain service. The target's answer is passed on only when
// it is whole, so that a broken one can be tried again where that is allowed.
class PlainExchange
  : public Exchange
  , public TrySink
{
public:
  PlainExchange(GatewayParts& aParts, CallerCall aCall, AnswerSink& aSink);

  void Start() override;
  void OnCallerGone() override;

private:
  void OnAnswerHead(const HttpHead& aHead,
                    const platform::TargetAnswer& aAnswer) override;
  void OnAnswerBody(std::string aBody) override;
  void OnAnswerComplete() override;
  void OnTryEnded(TryEnd aEnd) override;

  void Perform(const PlainStep& aStep);
  void Send(const std::string& aTarget);
  void PassAnswerOn();
  void Fail(const Failure& aFailure);
  void EndTry(AttemptOutcome aOutcome);
  void OnTimer();
  void Settle();
  bool IsIdempotent() const;

  PlainCall mDecision;
  RefPtr<TargetConnection> mConnection;
  std::string mTarget;
  // Answer of the last try, kept until it is known what becomes of it.
  HttpHead mAnswerHead;
  platform::TargetAnswer mAnswer;
  std::string mAnswerBody;
  bool mHasAnswer = false;
  bool mDone = false;
  // When a silent try is given up for another one.
  Time mTryUntil;
  Alarm mAlarm;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_PLAINEXCHANGE_H_INCLUDED
