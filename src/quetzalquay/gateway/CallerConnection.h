#ifndef QUETZALQUAY_GATEWAY_CALLERCONNECTION_H_INCLUDED
#define QUETZALQUAY_GATEWAY_CALLERCONNECTION_H_INCLUDED

#include "core/overload/EvictionOrder.h"
#include "gateway/ConnectionLog.h"
#include "gateway/Exchange.h"
#include "http/AnswerBuffers.h"
#include "http/HttpReader.h"

#include <cstdint>
#include <optional>
#include <string>

namespace quetzalquay {

class CallerServer;

// Who sends requests on a connection.
enum class CallerKind
{
  Caller,
  // Another host, which passes on requests of its callers.
  Host,
};

// What is known of the sender of a request, from its head.
enum class BodySender
{
  // The request will be rejected: its key or its path is unknown, or it is at
  // the address for other hosts and none has passed it on.
  Unknown,
  // Its route needs no key.
  Public,
  // It has a valid key.
  Keyed,
};

// HTTP/1.1 connection of one caller, or of another host. Parses requests one at
// a time, starts an exchange for each and writes its response. The server's
// connection set owns it until it closes.
class CallerConnection
  : public RefCounted<CallerConnection>
  , public Evictable
  , public SocketHandler
  , public ResponseSink
{
public:
  CallerConnection(CallerServer& aServer, CallerKind aKind);

  // Takes over an accepted socket and starts to read requests from it.
  void Start(boost::asio::ip::tcp::socket aSocket);

  // Takes over an accepted socket that there is no room for: its first request
  // is rejected, by aUntil at the latest.
  void TurnAway(boost::asio::ip::tcp::socket aSocket, Time aUntil);

  // Ends the request that is being received or handled with a failure, as the
  // process is about to exit.
  void FailRequest();

  // Whether a request is being received or handled, or an answer sent.
  bool IsBusy() const;

  // Ends the connection for another one unless a request has arrived meanwhile;
  // with an answer if one is due and aAnswers. Returns whether it has ended, or
  // ends once the answer is sent.
  bool GiveUp(bool aAnswers);

  // Rejects a request without waiting for its body, which would take memory.
  void RejectUnread(const char* aMessage);

  // Closes the connection if no request is being received or handled.
  void CloseIfIdle(ConnectionEnd aEnd);

  // Closes the connection and cancels the exchange in progress. aEnd is the
  // reason of the gateway, nothing when the caller has ended the connection.
  void Close(std::optional<ConnectionEnd> aEnd);

private:
  void OnData(std::string_view aData) override;
  std::size_t ReadLimit() const override;
  void OnWritten() override { mUnsent.Resize(0); }
  void OnEnd(SocketEnd aEnd) override;

  void SendResponse(int aStatus,
                    const std::string& aReason,
                    const std::string& aFields,
                    std::string_view aBody) override;
  void SendInterimResponse(const std::string& aFields) override;
  void StartChunkedResponse(int aStatus,
                            const std::string& aReason,
                            const std::string& aFields) override;
  void SendChunk(std::string_view aBytes) override;
  void EndChunkedResponse() override;
  void AbortResponse() override;
  void PassOn(RoutedCall aCall, HandOver aHandOver) override;
  void TakeBack(RoutedCall aCall, const HandOver& aHandOver) override;

  bool IsIdle() const;
  void CloseIdle(ConnectionEnd aEnd);
  void ParseRequests();
  void ApplyLimits();
  void BeginRequest();
  std::optional<RoutedCall> AdmitRequest(HttpHead aHead, std::string aBody);
  RefPtr<RoutingTable> ChooseRouting() const;
  bool AdmitPassedOn(const HttpHead& aHead);
  bool CanServe(const RoutedCall& aCall);
  RefPtr<Exchange> MakeExchange(RoutedCall aCall);
  void StartExchange(const RefPtr<Exchange>& aExchange);
  void ReleaseExchange();
  void Reject(int aStatus, FailureCode aCode, const char* aMessage);
  bool HoldRequest();
  bool HoldUnknownBody();
  BodySender IdentifySender();
  std::optional<ConnectionUse> CurrentUse() const;
  void UpdateEviction(Time aNotBefore = Time::min());
  void HoldInput();
  std::size_t UnusedForInput() const;
  std::size_t PipelineLimit() const;
  std::size_t UnparsedBytes() const
  {
    return mUnparsedInput.size() - mParsedBytes;
  }
  void RejectUnknown(int aStatus, FailureCode aCode, const char* aMessage);
  void RejectUnconfigured();
  void RejectMalformed();
  void EndRequest();
  void EndConnection(ConnectionEnd aEnd);
  void OnTimer();
  CallerLimits CurrentLimits() const;
  Time InputDeadline() const;
  void SetInputTimer();
  void ReportUnfinishedBytes(ConnectionEnd aEnd, bool aSendsOutput);
  std::string BeginResponse(int aStatus, const std::string& aReason);

  CallerServer& mServer;
  CallerKind mKind;
  RefPtr<Socket> mSocket;
  // What the caller has not read yet of its answer.
  AnswerBuffer mUnsent;
  // The request that is being received or handled.
  AnswerBuffer mHeldRequest;
  AnswerBuffer mHeldInput;
  // The part of mHeldRequest that is an unfinished body of an unknown sender.
  AnswerBuffer mHeldUnknown;
  // Sender of the body that is being received, once the head is complete.
  std::optional<BodySender> mSender;
  // Sender of the last request that was not rejected for its key or path.
  BodySender mLastSender = BodySender::Unknown;
  // Hash of the workspace of the last valid key, 0 if there has been none.
  std::uint64_t mWorkspace = 0;
  // Received bytes of the request.
  std::size_t mRequestBytes = 0;
  HttpReader mReader;
  HttpReader::Limits mReaderLimits;
  // Received bytes; the HTTP reader has consumed the first mParsedBytes.
  std::string mUnparsedInput;
  std::size_t mParsedBytes = 0;
  RefPtr<Exchange> mExchange;
  platform::CallerRequest mRequest;
  // What the other host says that has passed the request on.
  PassedOnRequest mPassedOn;
  Time mOpenedAt;
  Time mArrivedAt;
  // Since when no request has been received or handled.
  Time mIdleSince;
  Time mLastInputAt;
  bool mKeepAlive = true;
  bool mContinueSent = false;
  bool mHandlingRequest = false;
  bool mParsing = false;
  // Until when a connection that is turned away waits for its request;
  // Time::max() for others.
  Time mTurnAwayUntil = Time::max();
  // Whether the server counts this connection as refused.
  bool mRefused = false;
  // Whether no more requests are read; the output is still being sent.
  bool mEnding = false;
  Time mEndingSince;
  bool mClosed = false;
  // Expires when a request head is not received in time, or when the connection
  // has been idle for too long, by the configuration in force when it is set.
  Timer mTimer;
  // When mTimer was last set to expire.
  Time mTimerExpiry;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_CALLERCONNECTION_H_INCLUDED
