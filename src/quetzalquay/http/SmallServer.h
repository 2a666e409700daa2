#ifndef QUETZALQUAY_HTTP_SMALLSERVER_H_INCLUDED
#define QUETZALQUAY_HTTP_SMALLSERVER_H_INCLUDED

#include "http/HttpHead.h"
#include "http/Socket.h"

#include <functional>
#include <memory>
#include <string>

namespace quetzalquay {

// Answer of a small server.
struct SmallReply
{
  int mStatus = 200;
  std::string mType = "text/plain";
  std::string mBody;
};

// Accepts connections on one address and hands them on.
class Listener
{
public:
  using Receiver = std::function<void(boost::asio::ip::tcp::socket)>;

  Listener(EventLoop& aLoop, Receiver aReceiver);

  // Starts to listen; returns the reason on failure.
  std::optional<std::string> Open(const Endpoint& aAt);

  // Stops to accept.
  void Close();

private:
  void Accept();

  Receiver mReceiver;
  boost::asio::ip::tcp::acceptor mAcceptor;
  Alarm mRetry;
};

// Serves small answers that are known at once: checks, metrics, peers.
class SmallServer
{
public:
  using Handler =
    std::function<SmallReply(const HttpHead&, const std::string& aBody)>;

  SmallServer(EventLoop& aLoop, Handler aHandler);
  ~SmallServer();

  // Starts to listen; returns the reason on failure.
  std::optional<std::string> Open(const Endpoint& aAt);

private:
  class Connection;
  struct Connections;

  EventLoop& mLoop;
  Handler mHandler;
  std::unique_ptr<Connections> mConnections;
  Listener mListener;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_SMALLSERVER_H_INCLUDED
