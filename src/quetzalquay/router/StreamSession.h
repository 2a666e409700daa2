#ifndef QUETZALQUAY_ROUTER_STREAMSESSION_H_INCLUDED
#define QUETZALQUAY_ROUTER_STREAMSESSION_H_INCLUDED

#include "core/ContinuationFence.h"
#include "core/Generation.h"
#include "core/RefCounted.h"
#include "core/TargetTable.h"
#include "observe/Tracer.h"
#include "router/Mailbox.h"
#include "router/RequestContext.h"
#include "router/RouterParts.h"
#include "router/SessionRegistry.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace quetzalquay {

class BodyWriter;
struct HttpResponse;

// Executes one model request on the calling thread: passes events to the state
// machine (Generation), executes the actions that it returns, and writes the
// response.
class StreamSession : public RefCounted<StreamSession>
{
public:
  // aParts must outlive this object.
  StreamSession(const RouterParts& aParts, RequestContext aContext);
  ~StreamSession();

  // Executes the request and fills the response, whose stream function keeps
  // this object alive. aTakeover is set when the request resumes a stream that
  // another router served. Blocks until the first output is available, or until
  // the end for a response that is buffered or not streamed.
  void Serve(const std::optional<TakeoverPoint>& aTakeover,
             HttpResponse& aResponse);

  // Whether the request has run; valid once it has ended.
  RunVerdict FinalVerdict() const;

private:
  // Text of one token that has not been written to the caller yet.
  struct Output
  {
    std::string mEventId;
    std::string mText;
  };

  // The current attempt at one target.
  struct ActiveAttempt
  {
    std::string mTarget;
    std::string mIncarnation;
    int mAttempt = 0;
    Time mStartedAt;
    // Tokens of the response when the attempt started.
    int mTokensAtStart = 0;
    bool mFirstTokenSeen = false;
    // Whether the connection broke or a probe did not find the target alive.
    bool mLost = false;
    bool mProgressReported = false;
    OpenSpan mSpan;
    std::unique_ptr<SessionEntry> mRegistryEntry;
  };

  GenerationSpec MakeSpec() const;
  bool IsOver() const { return mFinish || mFailure; }
  // Waits for one event or timer and handles it. Returns false when the caller
  // has disconnected. aWriter is null before the response has begun.
  bool Advance(BodyWriter* aWriter);
  void ProcessEvent(SessionEvent aEvent);
  Actions HandleEvent(const StreamEvent& aEvent);
  Actions HandleEvent(const AttemptEnded& aEvent);
  Actions HandleEvent(const ProbeEnded& aEvent);
  Actions HandleEvent(const CancelEnded& aEvent);
  Actions HandleEvent(const FenceEnded& aEvent);
  Actions HandleEvent(const TargetStopping& aEvent);

  void ExecuteActions(const Actions& aActions);
  void ExecuteAction(const DispatchAttempt& aAction);
  // Its policies can reattach, so no attempt is tentative.
  void ExecuteAction(const AdoptAttempt&) {}
  void ExecuteAction(const FenceAttempt& aAction);
  void ExecuteAction(const ReattachStream& aAction);
  void ExecuteAction(const ProbeTarget& aAction);
  void ExecuteAction(const CancelAttempt& aAction);
  void ExecuteAction(const DeliverText& aAction);
  void ExecuteAction(const DiscardText& aAction);
  void ExecuteAction(const CompleteResponse& aAction);
  void ExecuteAction(const FailResponse& aAction);

  void BeginAttempt(const std::string& aTarget,
                    int aAttempt,
                    const char* aName);
  void EndAttempt(AttemptOutcome aOutcome);
  // Updates metrics and target statistics for a token delivered at aNow.
  void RecordToken(Time aNow);
  // Tells the target table once per attempt that the request made progress.
  void ReportProgress();
  // Adds the changes of the generation's counters to the metrics.
  void UpdateMetrics();
  void AddExplainStep(const char* aEvent, const std::string& aReason);
  // Event ID of the position after aDelivered tokens.
  std::string MakeEventId(int aDelivered);
  std::optional<TargetAddress> AddressOf(const std::string& aTarget) const;
  EngineStartRequest MakeStart(const DispatchAttempt& aAction) const;
  // Writes the response until its end. Returns false when it was cut short.
  bool StreamResponse(BodyWriter& aWriter);
  // Writes pending outputs. Returns false when the caller has disconnected.
  bool Flush(BodyWriter& aWriter);
  void HandleCallerDisconnect();
  void WriteCompleteResponse(HttpResponse& aResponse);
  void CloseStream();
  // Releases all resources of the request; has no effect after the first call.
  void EndSession();

  const RouterParts& mParts;
  RequestContext mContext;
  Generation mGeneration;
  // Shared with the thread that accesses the store.
  std::shared_ptr<ContinuationFence> mFence;
  RefPtr<Mailbox> mMailbox;
  RefPtr<EngineStream> mStream;
  std::optional<ActiveAttempt> mActiveAttempt;
  std::deque<Output> mPendingOutputs;
  // Text of a response that is not streamed.
  std::string mResponseText;
  std::optional<CompleteResponse> mFinish;
  std::optional<Failure> mFailure;
  OpenSpan mSpan;
  Time mReceivedAt;
  Time mLastTokenAt;
  bool mFirstTokenSeen = false;
  // Whether an attempt was lost and no token has followed since.
  bool mResuming = false;
  bool mEnded = false;
  // Counters that the metrics contain already.
  GenerationCounters mReportedCounters;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_STREAMSESSION_H_INCLUDED
