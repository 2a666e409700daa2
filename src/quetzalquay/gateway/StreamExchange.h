#ifndef QUETZALQUAY_GATEWAY_STREAMEXCHANGE_H_INCLUDED
#define QUETZALQUAY_GATEWAY_STREAMEXCHANGE_H_INCLUDED

#include "core/Generation.h"
#include "gateway/Exchange.h"
#include "gateway/StreamCopy.h"
#include "http/EventCutter.h"

#include <deque>
#include <string>

namespace quetzalquay {

// Forwards a stream of server-sent events to its caller and resumes it at other
// targets when one fails. Generation decides on the actions; this class
// executes them.
class StreamExchange
  : public Exchange
  , public AttemptSink
{
public:
  // aTakenBack, if not null, is a stream that has begun and whose rest another
  // host was to serve; aCall names its last event and software version.
  StreamExchange(GatewayContext& aContext,
                 RoutedCall aCall,
                 ResponseSink& aSink,
                 const HandOver* aTakenBack = nullptr);

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

  void PerformActions(Actions aActions);
  void Execute(const DispatchAttempt& aAction);
  void Execute(const AdoptAttempt& aAction);
  void Execute(const FenceAttempt& aAction);
  void Execute(const ReattachStream& aAction);
  void Execute(const ProbeTarget& aAction);
  void Execute(const CancelAttempt& aAction);
  void Execute(const DeliverText& aAction);
  void Execute(const DiscardText& aAction);
  void Execute(const CompleteResponse& aAction);
  void Execute(const FailResponse& aAction);

  // Inputs of an attempt's run that are chosen when it is sent.
  struct RunStart
  {
    std::string mSoftwareVersion;
    // Target that held a copy, for the log.
    std::string mCopyAt;
    // Copy from which the run starts.
    std::optional<platform::KvCopyReference> mCopy;
    StreamCopy::Holder mHolder;
  };

  RunStart ChooseRunStart(const DispatchAttempt& aAction, Time aNow);
  AttemptLoad LoadOf(const RunStart& aRun) const;
  platform::AttemptFields FieldsOf(const RunStart& aRun,
                                   const std::string& aTarget,
                                   Time aNow) const;
  // Whether an attempt continues a stream, whose software version is fixed.
  bool ChecksStart() const;
  void BeginRun(int aAttempt,
                const std::string& aTarget,
                const RunStart& aRun,
                Time aSentAt);
  void AskBesideSilentTarget(const DispatchAttempt& aAction, Time aNow);
  void EndTentative(const TentativeAttempt::Result& aResult);
  void CancelTentative();
  void OnProbed(const ProbeTarget& aAction,
                ProbeResult aResult,
                const platform::TargetReport* aReport);
  void ProcessEvents();
  void ProcessEvent(const EventCutter::Event& aEvent);
  void OnUnusualEvent(const EventCutter::Event& aEvent, EventOrder aOrder);
  void BreakOff(const Failure& aFailure);
  void RecordEvent(Time aNow);
  void EndAttempt(AttemptEnd aEnd);
  bool PassOn(std::optional<AttemptEnd> aEnd,
              HostChoice aChoice = HostChoice::Willing);
  bool PassOnIfStuck(Time aNow);
  void GiveUpAttempt();
  void ReleaseAttempt(AttemptOutcome aOutcome);
  void UpdateChoiceInputs(Time aNow);
  void LogDispatch(const std::string& aCopyHolder, bool aFromCopy, Time aNow);
  void Flush();
  bool CanBuffer();
  void SendHead();
  std::string FormatStart() const;
  void ForwardErrorResponse();
  void RecordPace(Time aNow);
  bool IsSilentForLong(Time aNow) const;
  bool IsRunLost(const platform::TargetReport& aReport, Time aNow) const;
  // aComplete tells whether the caller has got the whole stream.
  void Finish(bool aComplete = false);
  void RecordOrigin(Time aNow);
  void OnOriginStored();
  void EndHere(bool aComplete);
  void ScheduleTimer();

  Generation mStateMachine;
  Timer mTimer;
  RefPtr<TargetConnection> mConnection;
  std::deque<Action> mActions;
  bool mPerforming = false;
  bool mDone = false;

  // Number of the current attempt.
  int mAttempt = 0;
  std::string mTarget;
  // Response of the current attempt. The body is kept only when the response is
  // not a stream.
  HttpHead mResponseHead;
  platform::TargetResponse mResponseInfo;
  std::string mResponseBody;
  // Whether the response is a signed success, so that its body is the stream.
  bool mResponseIsStream = false;
  // Whether the target table still counts the attempt as running.
  bool mAttemptOpen = false;
  EventCutter mEventParser;
  AnswerBuffer mBuffer;
  // Index of the next event, counted from the start of the generation.
  int mNextEventIndex = 0;

  StreamCopy mCopy;
  RunStart mRun;
  RunStart mTentativeRun;

  // Response head of the first run, which is forwarded to the caller.
  HttpHead mForwardedHead;
  bool mHeadSent = false;
  // Accepted events.
  EventSequence mEvents;
  // Event bytes that have not been sent to the caller yet.
  std::string mOutput;
  Time mLastEventAt;
  // When the current attempt was sent, and when its first event arrived.
  Time mAttemptSentAt;
  Time mAttemptFirstEventAt;
  // Events accepted from the current attempt.
  int mAttemptEvents = 0;
  // Whether the current attempt has shown that its request does not crash
  // targets.
  bool mProgressReported = false;
  // Whether events wait until the store knows where the stream began.
  bool mAwaitingOrigin = false;
  // Whether the current attempt has to compute its prompt; false when it starts
  // from a copy of the KV cache.
  bool mComputesPrompt = true;
  // Whether a started stream was lost and no event has arrived since.
  bool mAwaitingResume = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_STREAMEXCHANGE_H_INCLUDED
