#ifndef QUETZALQUAY_GATEWAY_TARGETCONNECTION_H_INCLUDED
#define QUETZALQUAY_GATEWAY_TARGETCONNECTION_H_INCLUDED

#include "gateway/GatewayMetrics.h"
#include "gateway/ReplyBody.h"
#include "gateway/ServerDirectory.h"
#include "http/HttpReader.h"
#include "http/Socket.h"
#include "platform/PlatformRequests.h"

#include <boost/intrusive/list.hpp>
#include <functional>
#include <map>
#include <string>

namespace quetzalquay {

// Why an attempt at a target did not yield a complete response.
enum class AttemptFailure
{
  // The target refused the connection.
  Refused,
  // No connection was established in time. Nothing was sent.
  Unreachable,
  // This process had no descriptor for a connection. Nothing was sent.
  NoDescriptor,
  // The target has restarted under its name since its entry was written. The
  // request was not sent.
  Restarted,
  // The connection broke or the response was malformed. The target may have run
  // the request.
  Broken,
};

// Receives the events of one attempt at a target.
class AttemptSink
{
public:
  virtual ~AttemptSink() = default;

  // The head of an informational response (1xx) has arrived.
  virtual void OnInterimResponse(const HttpHead&) {}

  // The response head has arrived.
  virtual void OnResponseHead(const HttpHead& aHead,
                              const platform::TargetResponse& aResponse) = 0;

  // Bytes of the response body have arrived.
  virtual void OnResponseBody(std::string aBody) = 0;

  // The response is complete. Last call for this attempt.
  virtual void OnResponseComplete() = 0;

  // The attempt has failed. Last call for this attempt.
  virtual void OnAttemptFailed(AttemptFailure aFailure) = 0;
};

class TargetConnectionPool;

// HTTP/1.1 connection to a target that carries one request at a time.
class TargetConnection
  : public RefCounted<TargetConnection>
  , public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
  , public SocketHandler
{
public:
  TargetConnection(TargetConnectionPool& aPool,
                   const std::string& aTarget,
                   const TargetLocation& aLocation);
  ~TargetConnection() override;

  // Sends a request, after connecting if necessary. The sink is called until
  // Abort(), the complete response or a failure. A response that names another
  // request than aRequestId is discarded.
  void Send(const std::string& aHead,
            const std::string& aBody,
            const std::string& aRequestId,
            Time aConnectDeadline,
            AttemptSink& aSink);

  // Makes Send() ask the target first whether it has restarted under its name
  // since its entry was written, as it may then have another software version.
  // Asks once for each connection, and only where the entry tells starts apart.
  void CheckStart();

  // Passes the further events of the request in progress to another sink.
  void SetSink(AttemptSink& aSink) { mSink = &aSink; }

  // Resets the connection without a further call to the sink.
  void Abort();

  // Logs and counts a reply to the gateway's own question that is given up
  // because of its size.
  void OnReplyTooLarge() const;

  // Pauses or resumes reading the response.
  void SetReading(bool aReading) { mSocket->SetReading(aReading); }

  // Whether the connection was established and the request was written to it,
  // so that the target may have run it.
  bool HasSent() const { return mRequestSent; }

  const std::string& Target() const { return mTarget; }
  // Incarnation of the target when the connection was created.
  const std::string& Incarnation() const { return mIncarnation; }

  // Time after which the idle connection must not be reused, because the target
  // may be closing it.
  Time ReusableUntil() const { return mReusableUntil; }

private:
  void OnConnected() override;
  void OnData(std::string_view aData) override;
  void OnEnd(SocketEnd aEnd) override;
  void SendRequest();
  void FinishStartCheck();
  bool ForwardHead();
  void CompleteResponse();
  bool IsCutOffSuccess() const;
  void FailAttempt(AttemptFailure aFailure);

  TargetConnectionPool& mPool;
  std::string mTarget;
  std::string mIncarnation;
  Endpoint mEndpoint;
  RefPtr<Socket> mSocket;
  HttpReader mReader;
  AttemptSink* mSink = nullptr;
  std::string mRequestBytes;
  std::string mRequestId;
  bool mConnected = false;
  // When the connection attempt began.
  Time mConnectingSince;
  bool mRequestSent = false;
  // Whether the target is to be asked for its start before the next request,
  // and whether it has been asked and has not answered yet.
  bool mChecksStart = false;
  bool mCheckingStart = false;
  bool mStartChecked = false;
  // The report that tells the target's start, while it arrives.
  ReplyBody mStartReport;
  // Whether the head of the current response has been forwarded to the sink.
  bool mHeadForwarded = false;
  // Whether the current response belongs to another request and is discarded.
  bool mDiscardingResponse = false;
  // How long the target keeps an idle connection open.
  Duration mIdleTimeout;
  Time mReusableUntil;
};

// Pool of idle connections to the servers of a directory: targets, or other
// hosts. Also records when each one was last active on any connection.
class TargetConnectionPool
{
public:
  // Replies to the gateway's own questions count as memory in aBuffers.
  TargetConnectionPool(EventLoop& aLoop,
                       ServerDirectory& aServers,
                       AnswerBuffers& aBuffers,
                       GatewayMetrics& aMetrics);
  ~TargetConnectionPool();

  // Receives the target, its incarnation when the connection was made, and what
  // the answer says.
  using AnswerCallback = std::function<void(const std::string&,
                                            const std::string&,
                                            const platform::TargetResponse&)>;

  // Sets a callback for the head of each answer, to whichever request.
  void SetAnswerCallback(AnswerCallback aCallback);

  // Returns an idle connection to a target, or else a new one; null when the
  // target is unknown.
  RefPtr<TargetConnection> Acquire(const std::string& aTarget);

  // Returns a new connection to a target, which the target cannot be closing as
  // idle; null when the target is unknown.
  RefPtr<TargetConnection> Connect(const std::string& aTarget);

  // When a connection to a target last delivered bytes or was established; the
  // epoch when there was none.
  Time LastActivity(const std::string& aTarget) const;

  AnswerBuffers& Buffers() const { return mBuffers; }

  // Connections created since the process started.
  std::uint64_t OpenedCount() const { return mOpenedCount; }

  // Connections that exist now, in use or idle.
  std::size_t OpenConnectionCount() const { return mOpenConnectionCount; }

private:
  friend class TargetConnection;
  using ConnectionList =
    boost::intrusive::list<TargetConnection,
                           boost::intrusive::constant_time_size<false>>;

  void KeepIdle(TargetConnection& aConnection);
  void CloseConnection(TargetConnection& aConnection);
  void OnActivity(const std::string& aTarget);
  void OnAnswer(const TargetConnection& aConnection,
                const platform::TargetResponse& aResponse) const;
  void CloseIdle();

  EventLoop& mLoop;
  ServerDirectory& mServers;
  AnswerBuffers& mBuffers;
  GatewayMetrics& mMetrics;
  // Idle connections by target, least recently used first. The list holds a
  // reference to each.
  std::map<std::string, ConnectionList> mIdle;
  std::map<std::string, Time> mLastActivityAt;
  std::uint64_t mOpenedCount = 0;
  std::size_t mOpenConnectionCount = 0;
  Timer mIdleSweepTimer;
  AnswerCallback mOnAnswer;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_TARGETCONNECTION_H_INCLUDED
