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

// Carries out one model request on its caller's thread: feeds the decision
// logic with what happens, does what it decides, and writes the answer.
class StreamSession : public RefCounted<StreamSession>
{
public:
  // aParts must outlive this object.
  StreamSession(const RouterParts& aParts, RequestContext aContext);
  ~StreamSession();

  // Carries out the request and fills the response; the response's stream
  // function keeps this object alive. aTakeover is set when the request goes on
  // with another router's stream. Blocks until the first output, or for
  // answers that are not streamed until the end.
  void Serve(const std::optional<TakeoverPoint>& aTakeover,
             HttpResponse& aResponse);

  // Verdict on the request once it has ended.
  RunVerdict FinalVerdict() const;

private:
  struct Output
  {
    std::string mEventId;
    std::string mText;
  };

  // The session's use of one target.
  struct Hold
  {
    std::string mTarget;
    std::string mIncarnation;
    int mAttempt = 0;
    Time mStartedAt;
    int mTokensBefore = 0;
    bool mSawToken = false;
    bool mLost = false;
    bool mProgressTold = false;
    OpenSpan mSpan;
    std::unique_ptr<SessionEntry> mEntry;
  };

  GenerationSpec MakeSpec() const;
  bool IsOver() const { return mFinish || mFailure; }
  // Waits for one event or timer and handles it. Returns false when the caller
  // has gone; aWriter is null before the answer has begun.
  bool Advance(BodyWriter* aWriter);
  void Take(SessionEvent aEvent);
  Actions Feed(const StreamEvent& aEvent);
  Actions Feed(const AttemptEnded& aEvent);
  Actions Feed(const ProbeAnswered& aEvent);
  Actions Feed(const CancelAnswered& aEvent);
  Actions Feed(const FenceAnswered& aEvent);
  Actions Feed(const TargetStopping& aEvent);

  void Execute(const Actions& aActions);
  void Do(const DispatchAttempt& aAction);
  void Do(const FenceAttempt& aAction);
  void Do(const ReattachStream& aAction);
  void Do(const ProbeTarget& aAction);
  void Do(const CancelAttempt& aAction);
  void Do(const DeliverText& aAction);
  void Do(const DiscardText& aAction);
  void Do(const FinishAnswer& aAction);
  void Do(const FailAnswer& aAction);

  void BeginHold(const std::string& aTarget, int aAttempt, const char* aName);
  void EndHold(AttemptOutcome aOutcome);
  void NoteToken(Time aNow);
  void NoteProgress();
  void SyncCounters();
  void Explain(const char* aEvent, const std::string& aReason);
  std::string EventIdAt(int aDelivered);
  std::optional<TargetAddress> AddressOf(const std::string& aTarget) const;
  EngineStart MakeStart(const DispatchAttempt& aAction) const;
  bool Stream(BodyWriter& aWriter);
  bool Flush(BodyWriter& aWriter);
  void CallerGone();
  void WriteWhole(HttpResponse& aResponse);
  void CloseStreams();
  void End();

  const RouterParts& mParts;
  RequestContext mContext;
  Generation mGeneration;
  // Shared with the thread that asks the store.
  std::shared_ptr<ContinuationFence> mFence;
  RefPtr<Mailbox> mMailbox;
  RefPtr<EngineStream> mStream;
  std::optional<Hold> mHold;
  std::deque<Output> mOutputs;
  std::string mWholeText;
  std::optional<FinishAnswer> mFinish;
  std::optional<Failure> mFailure;
  OpenSpan mSpan;
  Time mReceivedAt;
  Time mLastTokenAt;
  bool mSawToken = false;
  bool mResuming = false;
  bool mEnded = false;
  GenerationCounters mCounted;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_STREAMSESSION_H_INCLUDED
