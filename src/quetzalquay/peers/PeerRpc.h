#ifndef QUETZALQUAY_PEERS_PEERRPC_H_INCLUDED
#define QUETZALQUAY_PEERS_PEERRPC_H_INCLUDED

#include <functional>
#include <memory>
#include <string>

namespace quetzalquay {

// JSON-RPC between routers. Messages are PeerNews in its JSON mapping. This
// header and its source file are limited to C++14, because the client of the
// JSON-RPC library needs dynamic exception specifications, which C++17 removed.

// Sends one JSON-RPC request to a peer and receives the response. Returns
// false if there was none.
using PeerTransport =
  std::function<bool(const std::string& aRequest, std::string& aResponse)>;

// Calls a peer's exchange method. Returns false and sets aReason if the call
// failed.
bool
CallPeerExchange(const PeerTransport& aTransport,
                 const std::string& aNews,
                 std::string& aResponse,
                 std::string& aReason);

// Serves the exchange method. Requests and responses are passed as text.
class PeerRpcServer
{
public:
  // Receives a peer's news and returns this router's.
  using Handler = std::function<std::string(const std::string&)>;

  explicit PeerRpcServer(Handler aHandler);
  ~PeerRpcServer();

  // Returns the response to one JSON-RPC request.
  std::string HandleRequest(const std::string& aRequest);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_PEERS_PEERRPC_H_INCLUDED
