#ifndef QUETZALQUAY_GATEWAY_CALLERCONNECTION_H_INCLUDED
#define QUETZALQUAY_GATEWAY_CALLERCONNECTION_H_INCLUDED

#include "gateway/ConnectionLog.h"
#include "gateway/Exchange.h"
#include "http/HttpReader.h"
#include "http/SimpleHttpServer.h"

#include <functional>
#include <optional>
#include <random>
#include <set>
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

// What the head of a request tells of its sender, in the order in which
// unfinished bodies are given up when the memory for requests is used up.
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

  // Whether the unfinished body on this connection may be given up for one of
  // aSender.
  bool CanBeGivenUpFor(BodySender aSender, Time aNow) const;

  // Whether the unfinished body on this connection is to be given up before
  // that on another one. Both can be given up.
  bool IsGivenUpBefore(const CallerConnection& aOther) const;

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
  BodySender SenderOfBody() const;
  void HoldInput();
  std::size_t UnusedForInput() const;
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
  // Received bytes of the request.
  std::size_t mRequestBytes = 0;
  HttpReader mReader;
  HttpReader::Limits mReaderLimits;
  // Received bytes that the HTTP reader has not consumed yet.
  std::string mUnparsedInput;
  RefPtr<Exchange> mExchange;
  platform::CallerRequest mRequest;
  // What the other host says that has passed the request on.
  PassedOnRequest mPassedOn;
  Time mArrivedAt;
  // Since when no request has been received or handled.
  Time mIdleSince;
  bool mKeepAlive = true;
  bool mContinueSent = false;
  bool mHandlingRequest = false;
  bool mParsing = false;
  // Until when a connection that is turned away waits for its request;
  // Time::max() for others.
  Time mTurnAwayUntil = Time::max();
  // Whether no more requests are read; the output is still being sent.
  bool mEnding = false;
  bool mClosed = false;
  // Expires when a request head is not received in time, or when the connection
  // has been idle for too long, by the configuration in force when it is set.
  Timer mTimer;
  // When mTimer was last set to expire.
  Time mTimerExpiry;
};

// Accepts connections from callers and from other hosts, and owns them.
class CallerServer
{
public:
  CallerServer(GatewayContext& aContext, int aMaxConnections);

  void SetMaxConnections(int aMaxConnections)
  {
    mMaxConnections = aMaxConnections;
  }

  // Starts to listen at an address for callers, and at one for other hosts
  // unless its port is 0, in place of other ones if there are any. Returns the
  // reason on failure, and may be called again.
  std::optional<ListenFailure> Open(const Endpoint& aCallers,
                                    const Endpoint& aHosts);

  // From now on the connection is closed after each response. New requests are
  // still accepted.
  void Drain() { mDraining = true; }
  bool IsDraining() const { return mDraining; }

  // Rejects new requests and closes idle connections.
  void StopAcceptingRequests();
  bool IsAcceptingRequests() const { return mAcceptsRequests; }

  // Whether a request is being received or handled, or an answer sent, on any
  // connection.
  bool IsBusy() const;

  // Ends all requests that are being received or handled with a failure.
  void FailRequests();

  // Stops listening and closes idle connections. Requests that have been
  // received by then are still answered.
  void StopListening();

  // Stops listening and closes all connections.
  void Close();

  // Open caller connections.
  std::size_t ConnectionCount() const { return mConnections.size(); }
  // Requests in progress.
  int ExchangeCount() const { return mExchangeCount; }

private:
  friend class CallerConnection;

  void CloseIdle(ConnectionEnd aEnd);
  void AcceptPending();
  void CloseListeners();
  void Accept(boost::asio::ip::tcp::socket aSocket, CallerKind aKind);
  bool IsFull() const;

  // Memory that the requests in progress take besides their own bytes, and
  // whether there is enough for another one.
  std::size_t BytesOfExchanges() const;
  bool HasMemoryForExchange() const;

  // Rejects the request whose unfinished body is the first to be given up for
  // one of aSender on another connection. Returns false if there is none.
  bool GiveUpBody(BodySender aSender, const CallerConnection& aFor);

  GatewayContext& mContext;
  int mMaxConnections;
  // Unfinished bodies of unknown senders.
  AnswerBuffers mUnknownBodies{ 0 };
  std::set<RefPtr<CallerConnection>> mConnections;
  // How many of mConnections are being turned away.
  std::size_t mTurnedAwayCount = 0;
  std::mt19937_64 mRandom;
  bool mDraining = false;
  bool mAcceptsRequests = true;
  int mExchangeCount = 0;
  // How many of these are served for other hosts.
  int mHostExchangeCount = 0;
  ConnectionLog mLog;
  Listener mListener;
  Listener mHostListener;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_CALLERCONNECTION_H_INCLUDED
