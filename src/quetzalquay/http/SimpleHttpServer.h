#ifndef QUETZALQUAY_HTTP_SIMPLEHTTPSERVER_H_INCLUDED
#define QUETZALQUAY_HTTP_SIMPLEHTTPSERVER_H_INCLUDED

#include "core/overload/EvictionOrder.h"
#include "http/HttpHead.h"
#include "http/Socket.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace quetzalquay {

// Response of a SimpleHttpServer.
struct SimpleHttpReply
{
  int mStatus = 200;
  // Value of Content-Type.
  std::string mContentType = "text/plain";
  std::string mBody;
};

// Why an address cannot be listened on.
struct ListenFailure
{
  std::string mMessage;
  // Whether another socket has the address, so that a later try may succeed.
  bool mAddressInUse = false;
};

// The failure of binding a socket to an address.
ListenFailure
MakeListenFailure(const std::string& aAddress,
                  const boost::system::error_code& aError);

// Accepts TCP connections on one address and passes them to a callback.
class Listener
{
public:
  using AcceptCallback = std::function<void(boost::asio::ip::tcp::socket)>;

  // Receives the reason why a connection could not be accepted.
  using ErrorCallback = std::function<void(const std::string&)>;

  // Tells whether another connection may be accepted now. Connections wait in
  // the system's backlog otherwise, and the question is asked again after 50
  // ms.
  using AdmitCallback = std::function<bool()>;

  Listener(EventLoop& aLoop,
           AcceptCallback aCallback,
           ErrorCallback aOnError = nullptr,
           AdmitCallback aAdmits = nullptr);

  // Starts listening at an address, in place of another one if there is one.
  // Returns the reason on failure, and goes on listening where it did.
  std::optional<ListenFailure> Open(const Endpoint& aAddress);

  // Accepts the connections that are already established.
  void AcceptPending();

  // Stops accepting connections.
  void Close();

private:
  void Accept();
  void ReportError(const boost::system::error_code& aError) const;

  AcceptCallback mCallback;
  ErrorCallback mOnError;
  AdmitCallback mAdmits;
  boost::asio::ip::tcp::acceptor mAcceptor;
  Endpoint mAddress;
  // Number of addresses so far, by which accepts of an earlier one are told.
  int mAddressCount = 0;
  Timer mRetryTimer;
};

// HTTP server for small responses that the handler returns synchronously:
// readiness checks, metrics and peer requests. When there are too many
// connections, one is closed for each new one, in the order of EvictionOrder;
// new ones wait in the system's backlog while none may be closed. A connection
// that asks again before it has read its response is closed.
class SimpleHttpServer
{
public:
  using Handler =
    std::function<SimpleHttpReply(const HttpHead&, const std::string& aBody)>;

  // Told of each connection that is closed for another one, and of how many
  // were open.
  using EvictionCallback = std::function<void(ConnectionUse, std::size_t)>;

  SimpleHttpServer(EventLoop& aLoop,
                   Handler aHandler,
                   std::size_t aMaxConnections = 200);
  ~SimpleHttpServer();

  void SetEvictionCallback(EvictionCallback aCallback)
  {
    mOnEviction = std::move(aCallback);
  }

  // Open connections beyond the limit stay until others need room.
  void SetMaxConnections(std::size_t aMaxConnections)
  {
    mMaxConnections = aMaxConnections;
  }

  // See Listener::Open().
  std::optional<ListenFailure> Open(const Endpoint& aAddress);

private:
  class Connection;
  struct Connections;

  void Accept(boost::asio::ip::tcp::socket aSocket);
  bool MayAccept() const;
  bool MakeRoom();

  EventLoop& mLoop;
  Handler mHandler;
  std::size_t mMaxConnections;
  EvictionCallback mOnEviction;
  std::unique_ptr<Connections> mConnections;
  Listener mListener;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_SIMPLEHTTPSERVER_H_INCLUDED
