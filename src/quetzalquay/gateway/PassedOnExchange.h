#ifndef QUETZALQUAY_GATEWAY_PASSEDONEXCHANGE_H_INCLUDED
#define QUETZALQUAY_GATEWAY_PASSEDONEXCHANGE_H_INCLUDED

#include "core/PassedOnCall.h"
#include "gateway/Exchange.h"
#include "http/EventCutter.h"

#include <string>

namespace quetzalquay {

// Has a request served by another host, as this one is cut off from the
// service's targets, and forwards the answer: a plain one once it is complete,
// a stream event by event. If that host is lost, the request goes to a further
// one as far as PassedOnCall allows; a stream is resumed there after the last
// event that its caller has.
class PassedOnExchange
  : public Exchange
  , public AttemptSink
{
public:
  PassedOnExchange(GatewayContext& aContext,
                   RoutedCall aCall,
                   HandOver aHandOver,
                   ResponseSink& aSink);
  ~PassedOnExchange() override;

  void Start() override;
  void OnCallerDisconnected() override;
  void OnExit() override;

private:
  void OnInterimResponse(const HttpHead& aHead) override;
  void OnResponseHead(const HttpHead& aHead,
                      const platform::TargetResponse& aResponse) override;
  void OnResponseBody(std::string aBody) override;
  void OnResponseComplete() override;
  void OnAttemptFailed(AttemptFailure aFailure) override;

  void Send(const std::string& aHost);
  void LogPassedOn(Time aNow) const;
  void ProcessEvents();
  // Returns false if the event does not follow the ones before.
  bool AddEvent(const EventCutter::Event& aEvent, Time aNow);
  static std::string FormatAnswerFields(const HttpHead& aHead);
  void Flush();
  void SendHead();
  void CompleteStream();
  void CompletePlain();
  void HandleOwnFailure();
  void ForwardResponse();
  void EndAttempt(PassedOnEnd aEnd, const char* aNote);
  bool SendToNextHost(Time aNow);
  bool CanWait(Time aNow) const;
  void Wait(Time aNow);
  void EndWait(Time aNow);
  bool TakeBack(Time aNow);
  bool AbandonAttempt();
  void Fail(FailureCode aCode, bool aIsSent);
  void OnTimer();
  void CheckHost();
  void OnHostChecked(int aAttempt, bool aAnswers);
  void ScheduleTimer();
  void ReleaseHost();
  void Finish();
  bool IsRepeatable() const;
  bool IsStreamBegun() const;

  HandOver mHandOver;
  PassedOnCall mStateMachine;
  RefPtr<TargetConnection> mConnection;
  // Host that has the request; empty if none does.
  std::string mHost;
  // Number of the current attempt, counted over all hosts.
  int mAttempt = 0;
  // Whether an event has arrived in the current attempt.
  bool mHasProgress = false;
  HttpHead mResponseHead;
  platform::TargetResponse mResponseInfo;
  PassedOnAnswer mAnswer;
  bool mResponseIsStream = false;
  // Head of the stream's first response, which is forwarded.
  HttpHead mForwardedHead;
  std::string mResponseBody;
  AnswerBuffer mBuffer;
  EventCutter mEventParser;
  // Begins the lines in which hosts state their runs of the stream.
  std::string mRunMark;
  // Event bytes that have not been sent to the caller yet.
  std::string mOutput;
  // Whether an event of the stream has reached this host, here or before.
  bool mBegun;
  // When the caller should come back, as the last host that refused has said.
  std::optional<Duration> mRetryAfter;
  // When bytes have arrived last, or the request was sent.
  Time mActiveAt;
  Time mCheckAt = Time::max();
  // When a host is sought again while none has the request.
  Time mSeekAt = Time::max();
  bool mChecking = false;
  bool mDone = false;
  Timer mTimer;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_PASSEDONEXCHANGE_H_INCLUDED
