#ifndef QUETZALQUAY_PEERS_PEERRPC_H_INCLUDED
#define QUETZALQUAY_PEERS_PEERRPC_H_INCLUDED

#include <functional>
#include <memory>
#include <string>

namespace quetzalquay {

// The JSON-RPC layer between routers. Messages are the JSON mapping of
// PeerNews. This header and its sources keep to C++14, since the library's
// client needs exception specifications that C++17 has dropped.

// Carries one JSON-RPC request to a peer and its answer back. Returns false
// when there was no answer.
using PeerTransport =
  std::function<bool(const std::string& aRequest, std::string& aAnswer)>;

// Calls a peer's exchange method. Returns false when the peer did not answer,
// with aReason set.
bool
CallPeerExchange(const PeerTransport& aTransport,
                 const std::string& aNews,
                 std::string& aAnswer,
                 std::string& aReason);

// Serves the exchange method for requests that arrive as text.
class PeerRpcServer
{
public:
  // Gets a peer's news and returns the own.
  using Handler = std::function<std::string(const std::string&)>;

  explicit PeerRpcServer(Handler aHandler);
  ~PeerRpcServer();

  // Answer to one JSON-RPC request.
  std::string Handle(const std::string& aRequest);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_PEERS_PEERRPC_H_INCLUDED
