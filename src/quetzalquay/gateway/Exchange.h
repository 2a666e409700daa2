#ifndef QUETZALQUAY_GATEWAY_EXCHANGE_H_INCLUDED
#define QUETZALQUAY_GATEWAY_EXCHANGE_H_INCLUDED

#include "core/Failure.h"
#include "core/RefCounted.h"
#include "core/RoutingTable.h"
#include "core/StreamPace.h"
#include "gateway/Fleet.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/Prober.h"
#include "gateway/TargetConnection.h"
#include "http/HttpHead.h"
#include "platform/PlatformRequests.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalquay {

// What all exchanges share.
struct GatewayParts
{
  EventLoop& mLoop;
  Fleet& mFleet;
  TargetPool& mPool;
  Prober& mProber;
  GatewayMetrics& mMetrics;
  // Pace of streams, by service.
  std::map<std::string, StreamPace>& mPaces;
};

// Where an exchange's answer goes: the caller's connection.
class AnswerSink
{
public:
  virtual ~AnswerSink() = default;

  // A whole answer. aFields holds header lines without framing fields.
  virtual void SendWhole(int aStatus,
                         const std::string& aReason,
                         const std::string& aFields,
                         std::string_view aBody) = 0;

  // Head of an answer whose body follows in pieces.
  virtual void StartPieces(int aStatus,
                           const std::string& aReason,
                           const std::string& aFields) = 0;
  virtual void SendPiece(std::string_view aBytes) = 0;

  // The pieces are complete.
  virtual void EndPieces() = 0;

  // The answer cannot be completed: the connection ends so that it shows.
  virtual void BreakOff() = 0;
};

// One request with all that was decided when it came in.
struct CallerCall
{
  HttpHead mHead;
  std::string mBody;
  platform::CallerRequest mRequest;
  // Holds the configuration that the request came in under.
  RefPtr<RoutingTable> mRouting;
  const Route* mRoute = nullptr;
  std::string mService;
  std::string mWorkspace;
  int mPriority = 0;
  Time mArrived;
  // When nobody waits for the answer any more.
  Time mDeadline;
  // Identifies workspace, path and body across the caller's repeats.
  std::uint64_t mContentHash = 0;
};

// Carries one request to its answer.
class Exchange : public RefCounted<Exchange>
{
public:
  Exchange(GatewayParts& aParts, CallerCall aCall, AnswerSink& aSink);
  virtual ~Exchange() = default;

  // Starts; may answer at once.
  virtual void Start() = 0;

  // The caller has left. Nothing more goes to the sink.
  virtual void OnCallerGone() = 0;

protected:
  // Answers with a failure of the gateway's own.
  void SendFailure(const Failure& aFailure);

  // Header lines of a target's answer that the caller gets.
  static std::string ForwardedFields(const HttpHead& aHead);

  // Writes the one line that ends a request in the log, and counts it.
  void LogEnd(const char* aOutcome, int aStatus);

  // Fields that every try has in common.
  platform::AttemptFields CommonFields(const std::string& aTarget,
                                       Time aNow) const;

  GatewayParts& mParts;
  CallerCall mCall;
  AnswerSink* mSink;
  // For the log: tries so far, and the last target.
  int mTries = 0;
  // Time to a stream's first event, nothing before it, and its longest pause
  // between two events.
  std::optional<Time::duration> mFirstEvent;
  Time::duration mLongestPause = Time::duration::zero();
  std::string mLastTarget;
  std::string mNote;
};

// HTTP status of a failure. "Not run" is told by 503 only.
int
StatusOf(const Failure& aFailure);

// Header lines and body of an answer of the gateway's own. A caller that waits
// until aDeadline is told when to come back, if a repeat can help.
std::string
FailureFields(const Failure& aFailure,
              const std::string& aRequestId,
              Time aDeadline,
              Time aNow);
std::string
FailureBody(const Failure& aFailure);

// Tells the table how a try at a target failed.
void
ReportTryEnd(TargetTable& aTable,
             const std::string& aTarget,
             TryEnd aEnd,
             Time aNow);

// Tells the table that a target has not run a request: it is full, or it is not
// the expected one any more.
void
ReportTurnedAway(GatewayParts& aParts,
                 const std::string& aTarget,
                 const platform::TargetAnswer& aAnswer,
                 Time aNow);

// Time in which a connection to a target must come about.
constexpr Duration kConnectTime = std::chrono::milliseconds(150);

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_EXCHANGE_H_INCLUDED
