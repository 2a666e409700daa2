#ifndef QUETZALQUAY_GATEWAY_CALLERSERVER_H_INCLUDED
#define QUETZALQUAY_GATEWAY_CALLERSERVER_H_INCLUDED

#include "core/overload/EvictionOrder.h"
#include "gateway/CallerConnection.h"
#include "gateway/ConnectionLog.h"
#include "http/SimpleHttpServer.h"

#include <cstddef>
#include <optional>
#include <random>
#include <set>

namespace quetzalquay {

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
  std::size_t CallerLimit() const;

  // Memory that the requests in progress take besides their own bytes, and
  // whether there is enough for another one.
  std::size_t BytesOfExchanges() const;
  bool HasMemoryForExchange() const;

  bool MayAccept();

  // Closes connections until another one may be opened. Returns whether it may.
  bool MakeRoom(Time aNow);

  // Rejects the request whose unfinished body is the first to be given up for
  // the body of another connection. Returns false if there is none.
  bool GiveUpBody(ConnectionUse aUse);

  GatewayContext& mContext;
  int mMaxConnections;
  // Unfinished bodies of unknown senders.
  AnswerBuffers mUnknownBodies{ 0 };
  std::set<RefPtr<CallerConnection>> mConnections;
  // Those of mConnections that can be closed for others.
  EvictionOrder mEvictions;
  // How many of mConnections are being turned away or closed for others.
  std::size_t mRefusedCount = 0;
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

#endif // QUETZALQUAY_GATEWAY_CALLERSERVER_H_INCLUDED
