#ifndef QUETZALQUAY_TESTS_FAKES_STORESERVER_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_STORESERVER_H_INCLUDED

#include "http/SimpleHttpServer.h"

#include <atomic>
#include <functional>
#include <optional>
#include <set>

// How a fake store handles the calls of one gateway.
enum class StoreAccess
{
  Serve,
  // Answers 503.
  Unavailable,
  // Answers 429.
  Overloaded,
  // Resets the connection.
  Reset,
  // Never answers; connections on which a call was lost stay silent.
  Silent,
  // Performs and answers each call late.
  Slow,
};

// HTTP server of a fake store for one gateway, which it may turn away.
class StoreServer
{
public:
  // Answers a call that was received aAge ago, or returns nothing to be asked
  // again.
  using Handler = std::function<std::optional<quetzalquay::SimpleHttpReply>(
    const quetzalquay::HttpHead& aHead,
    const std::string& aBody,
    quetzalquay::Duration aAge)>;

  StoreServer(quetzalquay::EventLoop& aLoop, Handler aHandler);
  ~StoreServer();

  // Starts listening. Returns an error message on failure.
  std::optional<quetzalquay::ListenFailure> Open(
    const quetzalquay::Endpoint& aAddress);

  // Sets how calls are handled that have no answer yet.
  void SetAccess(StoreAccess aAccess) { mAccess = aAccess; }

private:
  class Connection;

  quetzalquay::EventLoop& mLoop;
  Handler mHandler;
  std::atomic<StoreAccess> mAccess{ StoreAccess::Serve };
  std::set<quetzalquay::RefPtr<Connection>> mConnections;
  quetzalquay::Listener mListener;
};

#endif // QUETZALQUAY_TESTS_FAKES_STORESERVER_H_INCLUDED
