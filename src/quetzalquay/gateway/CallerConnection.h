#ifndef QUETZALQUAY_GATEWAY_CALLERCONNECTION_H_INCLUDED
#define QUETZALQUAY_GATEWAY_CALLERCONNECTION_H_INCLUDED

#include "gateway/Exchange.h"
#include "http/HttpReader.h"
#include "http/SmallServer.h"

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace quetzalquay {

class CallerServer;

// One caller's connection: reads requests one after another, starts an exchange
// for each and writes its answer.
class CallerConnection
  : public RefCounted<CallerConnection>
  , public SocketSink
  , public AnswerSink
{
public:
  explicit CallerConnection(CallerServer& aServer);

  void Start(boost::asio::ip::tcp::socket aSocket);

  // Whether no request is being read or answered.
  bool IsIdle() const;

  // Closes the connection and ends what is under way.
  void Drop();

private:
  void OnData(std::string_view aData) override;
  void OnEnd(SocketEnd aEnd) override;

  void SendWhole(int aStatus,
                 const std::string& aReason,
                 const std::string& aFields,
                 std::string_view aBody) override;
  void StartPieces(int aStatus,
                   const std::string& aReason,
                   const std::string& aFields) override;
  void SendPiece(std::string_view aBytes) override;
  void EndPieces() override;
  void BreakOff() override;

  void Read();
  void BeginRequest();
  std::optional<CallerCall> Admit(HttpHead aHead, std::string aBody);
  void Reject(int aStatus, FailureCode aCode, const char* aMessage);
  void RejectBroken();
  void EndRequest();
  void OnTimer();
  std::string StatusLine(int aStatus, const std::string& aReason) const;

  CallerServer& mServer;
  RefPtr<Socket> mSocket;
  HttpReader mReader;
  // Bytes behind the request that is being answered.
  std::string mPending;
  RefPtr<Exchange> mExchange;
  platform::CallerRequest mRequest;
  Time mArrived;
  bool mKeepAlive = true;
  bool mContinueSent = false;
  bool mBusy = false;
  bool mReading = false;
  bool mDropped = false;
  // Time for a request's head, or for an idle connection.
  Alarm mAlarm;
};

// Accepts callers and holds their connections.
class CallerServer
{
public:
  CallerServer(GatewayParts& aParts, int aMaxConnections);

  // Starts to listen; returns the reason on failure.
  std::optional<std::string> Open(const Endpoint& aAt);

  // From now on each answer closes its connection.
  void Drain() { mDraining = true; }
  bool IsDraining() const { return mDraining; }

  // Refuses new requests and closes connections that carry none.
  void StopTaking();
  bool IsTaking() const { return mTaking; }

  // Closes all connections.
  void Close();

  std::size_t Connections() const { return mConnections.size(); }
  int Exchanges() const { return mExchanges; }

private:
  friend class CallerConnection;

  GatewayParts& mParts;
  int mMaxConnections;
  std::set<RefPtr<CallerConnection>> mConnections;
  std::mt19937_64 mRandom;
  bool mDraining = false;
  bool mTaking = true;
  int mExchanges = 0;
  Listener mListener;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_CALLERCONNECTION_H_INCLUDED
