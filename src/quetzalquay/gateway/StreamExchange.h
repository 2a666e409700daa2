#ifndef QUETZALQUAY_GATEWAY_STREAMEXCHANGE_H_INCLUDED
#define QUETZALQUAY_GATEWAY_STREAMEXCHANGE_H_INCLUDED

#include "core/Generation.h"
#include "gateway/Exchange.h"
#include "gateway/StreamCopy.h"
#include "http/EventCutter.h"

#include <deque>
#include <string>

namespace quetzalquay {

// Carries a stream of events to its caller over however many targets it takes.
// Generation decides; this class does what it says.
class StreamExchange
  : public Exchange
  , public TrySink
{
public:
  StreamExchange(GatewayParts& aParts, CallerCall aCall, AnswerSink& aSink);

  void Start() override;
  void OnCallerGone() override;

private:
  void OnAnswerHead(const HttpHead& aHead,
                    const platform::TargetAnswer& aAnswer) override;
  void OnAnswerBody(std::string aBody) override;
  void OnAnswerComplete() override;
  void OnTryEnded(TryEnd aEnd) override;

  void Perform(Actions aActions);
  void Do(const DispatchAttempt& aAction);
  void Do(const FenceAttempt& aAction);
  void Do(const ReattachStream& aAction);
  void Do(const ProbeTarget& aAction);
  void Do(const CancelAttempt& aAction);
  void Do(const DeliverText& aAction);
  void Do(const DiscardText& aAction);
  void Do(const FinishAnswer& aAction);
  void Do(const FailAnswer& aAction);

  void TakeEvents();
  void TakeEvent(const EventCutter::Event& aEvent);
  void OnEventTaken(Time aNow);
  void EndTry(AttemptEnd aEnd);
  void Release(AttemptOutcome aOutcome);
  void PrepareChoice(Time aNow);
  void LogDispatch(const std::string& aCopyHolder, bool aFromCopy, Time aNow);
  void Flush();
  void SendHead();
  void PassFailureOn();
  void LearnPace(Time aNow);
  bool IsRunLost(const platform::TargetReport& aReport, Time aNow) const;
  void Settle();
  void SetAlarm();

  Generation mDecision;
  Alarm mAlarm;
  RefPtr<TargetConnection> mConnection;
  std::deque<Action> mActions;
  bool mPerforming = false;
  bool mDone = false;

  // The present try.
  int mAttempt = 0;
  std::string mTarget;
  HttpHead mTryHead;
  platform::TargetAnswer mTryAnswer;
  std::string mTryBody;
  bool mTryStreams = false;
  bool mTryOpen = false;
  EventCutter mCutter;
  // Index that the next event of the present try has.
  int mNextIndex = 0;

  StreamCopy mCopy;

  // Head of the first run, which the caller gets.
  HttpHead mHead;
  bool mHeadSent = false;
  // Id of the last event that was taken.
  std::string mLastId;
  long long mLastNumber = -1;
  // Difference between the ids of two events, 0 until two have been seen.
  long long mIdStep = 0;
  std::string mOutput;
  Time mLastEventAt;
  // When the present try was sent, and its first event came.
  Time mSentAt;
  Time mTryFirstAt;
  int mTryEvents = 0;
  bool mReadsPrompt = true;
  bool mAwaitsResume = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_STREAMEXCHANGE_H_INCLUDED
