#ifndef QUETZALQUAY_GATEWAY_EXCHANGE_H_INCLUDED
#define QUETZALQUAY_GATEWAY_EXCHANGE_H_INCLUDED

#include "core/EventSequence.h"
#include "core/Failure.h"
#include "core/RefCounted.h"
#include "core/RoutingTable.h"
#include "core/StreamPace.h"
#include "gateway/Fleet.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/PassedOnRequest.h"
#include "gateway/Prober.h"
#include "gateway/TargetConnection.h"
#include "gateway/TentativeAttempt.h"
#include "http/AnswerBuffers.h"
#include "http/HttpHead.h"
#include "platform/PlatformRequests.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace quetzalquay {

class HostChecks;
class LimitWatch;
class StreamOriginStore;

// State and services shared by all exchanges of a gateway.
struct GatewayContext
{
  EventLoop& mLoop;
  Fleet& mFleet;
  StreamOriginStore& mOriginStore;
  TargetConnectionPool& mPool;
  Prober& mProber;
  GatewayMetrics& mMetrics;
  LimitWatch& mLimits;
  AnswerBuffers& mAnswerBuffers;
  // Observed pace of streams, by service.
  std::map<std::string, StreamPace>& mPaces;
  // How targets number the events of streams, by service.
  std::map<std::string, EventNumbering>& mNumberings;
  // Name of this host.
  const std::string& mHost;
  // Connections to other hosts, for requests that are passed on to them.
  TargetConnectionPool& mHostPool;
  HostChecks& mHostChecks;
};

struct RoutedCall;
struct HandOver;

// Receives the response of an exchange; implemented by the caller's connection.
class ResponseSink
{
public:
  virtual ~ResponseSink() = default;

  // Sends a complete response and ends the exchange. aFields holds header lines
  // without framing fields. The standard reason phrase stands in for an empty
  // aReason.
  virtual void SendResponse(int aStatus,
                            const std::string& aReason,
                            const std::string& aFields,
                            std::string_view aBody) = 0;

  // Sends an informational response; the response follows. aFields holds header
  // lines.
  virtual void SendInterimResponse(const std::string& aFields) = 0;

  // Sends the head of a response with a chunked body.
  virtual void StartChunkedResponse(int aStatus,
                                    const std::string& aReason,
                                    const std::string& aFields) = 0;
  // Sends one chunk of the body. A caller that reads too slowly is
  // disconnected.
  virtual void SendChunk(std::string_view aBytes) = 0;

  // Sends the last chunk and ends the exchange.
  virtual void EndChunkedResponse() = 0;

  // Closes the connection without the last chunk, so that the caller sees that
  // the response is incomplete.
  virtual void AbortResponse() = 0;

  // Ends the exchange; another host serves the rest of the request.
  virtual void PassOn(RoutedCall aCall, HandOver aHandOver) = 0;

  // Ends the exchange; this host serves the rest of a stream that it has passed
  // on, at its own targets again.
  virtual void TakeBack(RoutedCall aCall, const HandOver& aHandOver) = 0;
};

// A caller's request with its route, service, workspace and deadline, which are
// resolved on arrival.
struct RoutedCall
{
  HttpHead mHead;
  std::string mBody;
  platform::CallerRequest mRequest;
  // Configuration in force when the request arrived; owns mRoute.
  RefPtr<RoutingTable> mRouting;
  const Route* mRoute = nullptr;
  std::string mService;
  // Software version that began the stream which the caller takes up; empty for
  // other requests.
  std::string mSoftwareVersion;
  // Key of the stream's origin, under which the caller can take it up; nothing
  // if it cannot.
  std::optional<std::uint64_t> mOriginKey;
  std::string mWorkspace;
  // See ChoiceQuery::mPriority.
  std::pair<int, int> mPriority;
  Time mArrivedAt;
  // When the caller stops waiting for the response.
  Time mDeadline;
  // What the request may have in common with others that crashed targets.
  RequestContent mContent;
  // What the host says that has passed the request on to this one.
  PassedOnRequest mPassedOn;
};

// How far a request is that this host passes on.
struct HandOver
{
  // The host that it is passed on to, and why, for the log.
  std::string mHost;
  std::string mCause;
  // Attempts at targets so far, and what has become of them.
  int mTries = 0;
  PriorAttempts mPrior;
  bool mMayHaveRun = false;
  // Events of a stream that its caller has, and whether the head of the answer
  // has been sent.
  EventSequence mEvents;
  bool mHeadSent = false;
  // Status in that head.
  int mStatus = 0;
  // Software version that the rest of the stream must have; empty if it has not
  // begun or the version is not known.
  std::string mSoftwareVersion;
  std::optional<Time::duration> mTimeToFirstEvent;
  Time::duration mLongestEventGap = Time::duration::zero();
  Time mLastEventAt;
};

// Chooses a host that serves a request in place of this one. Returns nothing if
// there is none, or if the request came from another host.
std::optional<std::string>
FindServingHost(GatewayContext& aContext,
                const RoutedCall& aCall,
                Time aNow,
                HostChoice aChoice);

// Handles one request until its response is complete.
class Exchange : public RefCounted<Exchange>
{
public:
  Exchange(GatewayContext& aContext, RoutedCall aCall, ResponseSink& aSink);
  virtual ~Exchange() = default;

  // Starts to handle the request; may send the response before it returns.
  virtual void Start() = 0;

  // The caller has disconnected. Nothing more is sent to the sink.
  virtual void OnCallerDisconnected() = 0;

  // The process is about to exit. Ends the request with an error response, or
  // breaks off the response if it has begun.
  virtual void OnExit() = 0;

protected:
  // Outcome of an attempt with a complete success response.
  static AttemptOutcome OutcomeOf(const HttpHead& aResponse)
  {
    return aResponse.mUntilClose ? AttemptOutcome::FinishedByClose
                                 : AttemptOutcome::Finished;
  }

  // Begins an attempt in the target table and for the rollout of its service.
  void RecordAttemptStart(const std::string& aTarget,
                          const AttemptLoad& aLoad = {});

  // Begins a run for the rollout of the service, if it has one.
  void RecordRunStart(const std::string& aTarget);

  // Tells the rollout of the service that a run has produced its first output,
  // or how it has ended. RecordAttemptEnd() does the latter for runs whose end
  // the outcome of the attempt tells.
  void RecordFirstOutput(const std::string& aTarget);
  void RecordRunEnd(const std::string& aTarget, RunEnd aEnd);

  // Ends the current attempt in the target table, and has its target checked if
  // it may have died.
  void RecordAttemptEnd(const std::string& aTarget, AttemptOutcome aOutcome);

  // Sends an error response generated by the gateway.
  void SendFailure(const Failure& aFailure);

  // Formats the header lines of a target's response that are forwarded to the
  // caller: all but hop-by-hop fields, Content-Length and fields meant for the
  // gateway.
  static std::string FormatForwardedFields(const HttpHead& aHead);

  // Logs that the current attempt failed after the event aAfterEvent, which is
  // empty for a request without events.
  void LogAttemptFailure(const std::string& aAfterEvent) const;

  // Logs and counts that the request waits for its silent target.
  void LogSilentTargetKept() const;
  // Logs that an attempt is given up because of the bytes that its answer
  // holds.
  void LogOversizedAnswer(std::size_t aBytes) const;

  // Logs and counts that another target is asked beside the silent one.
  void LogTentativeAttempt(const std::string& aTarget) const;
  // Logs that the request stays at its silent target because the tentative
  // attempt has ended.
  void LogTentativeEnd(const std::string& aNote) const;

  // Ends the tentative attempt, if there is one. Returns whether its target may
  // have run the request.
  bool AbandonTentative();

  // Logs the end of the request in one line and counts it in the metrics.
  // aReason is the message of a failure.
  void LogCompletion(const char* aOutcome,
                     int aStatus,
                     const std::string& aReason = std::string());

  // Whether this host is cut off from the service's targets, and whether it may
  // be, as an attempt has just failed to reach one.
  bool IsCutOff(Time aNow) const;
  bool MayBeCutOff(Time aNow) const;

  // Which other hosts may serve a request for which no target is found here;
  // nothing if it fails with the given code.
  std::optional<HostChoice> ChoiceIfUnplaced(FailureCode aCode,
                                             Time aNow) const;

  // Attempts that may have run, with those of hosts that passed the request on.
  virtual int CountRuns() const { return mCall.mPassedOn.mPrior.mRuns; }

  // Whether the current attempt counts as a retry for the retry budget.
  bool IsRetry() const { return mAttempts > 1 || mCall.mPassedOn.mPrior.mSent; }

  // Tells the host that has passed the request on, if one has, that a run
  // beyond the first begins: should this host be lost, all of them count. aRuns
  // is the number of attempts that may have run, with that one. Must not be
  // called once the response has begun.
  void StateRuns(int aRuns);

  // The same for a stream that has begun: the line to send before the run
  // begins; empty if there is nothing to tell.
  std::string MakeRunLine(int aRuns) const;

  // Begins the description of a request that is passed on. aRuns is the number
  // of attempts that may have run.
  HandOver MakeHandOver(std::string aHost, int aRuns) const;

  // Returns the attempt fields that do not depend on the kind of exchange.
  platform::AttemptFields MakeAttemptFields(const std::string& aTarget,
                                            Time aNow) const;

  GatewayContext& mContext;
  RoutedCall mCall;
  ResponseSink* mSink;
  // Attempts so far, and those that were not sent.
  int mAttempts = 0;
  int mUnsentAttempts = 0;
  // Attempt at another target while the current one is silent; null if there is
  // none.
  RefPtr<TentativeAttempt> mTentative;
  // Time from arrival to a stream's first event; nothing before it.
  std::optional<Time::duration> mTimeToFirstEvent;
  // Longest time between two events of a stream.
  Time::duration mLongestEventGap = Time::duration::zero();
  // Target of the last attempt, and the host that serves a request that was
  // passed on, for the log.
  std::string mLastTarget;
  std::string mServingHost;
  // Cause of the last failure, for the log.
  std::string mLogNote;

private:
  // Runs that count for a rollout, by target.
  std::map<std::string, std::uint64_t> mRolloutRuns;
};

// Whether a status tells the caller that its request has not run. A target that
// sends one without saying so explicitly may have run it: a caller that trusts
// the status could then run it twice, unless it may run more than once.
bool
ImpliesNotRun(int aStatus);

// The failure of a request that its target answered so.
Failure
MayHaveRunFailure();

// HTTP status of a failure: 503 if and only if the request has not run.
int
ToHttpStatus(const Failure& aFailure);

// Formats the header lines of an error response generated by the gateway. They
// include Retry-After, limited to a share of the time left until aDeadline,
// when the request has not run and the failure suggests a delay.
std::string
FormatFailureFields(const Failure& aFailure,
                    const std::string& aRequestId,
                    Time aDeadline,
                    Time aNow);

// Limits the time after which a caller is told to come back to a share of what
// is left until aDeadline.
Duration
LimitRetryAfter(Duration aAfter, Time aDeadline, Time aNow);

// Formats the JSON body of an error response generated by the gateway.
std::string
FormatFailureBody(const Failure& aFailure);

// Records in the target table how an attempt at a target failed.
void
ReportAttemptFailure(TargetTable& aTable,
                     const std::string& aTarget,
                     AttemptFailure aFailure,
                     Time aNow);

// Handles a response that says that the target has not run the request. Records
// an overload in the target table; when another target has replaced the
// expected one, marks the expected one as leaving and identifies the new one.
void
ReportRejection(GatewayContext& aContext,
                const std::string& aTarget,
                const platform::TargetResponse& aResponse,
                Time aNow);

// Lowest HTTP status that tells of a failure of the target.
constexpr int kFirstServerErrorStatus = 500;

// Limit for establishing a connection to a target.
constexpr Duration kTargetConnectTimeout = std::chrono::milliseconds(150);

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_EXCHANGE_H_INCLUDED
