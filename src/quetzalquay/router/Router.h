#ifndef QUETZALQUAY_ROUTER_ROUTER_H_INCLUDED
#define QUETZALQUAY_ROUTER_ROUTER_H_INCLUDED

#include "core/Failure.h"
#include "generated/settings.pb.h"

#include <memory>
#include <optional>
#include <string>

namespace quetzalquay {

// A complete router: admits callers' requests, runs them on targets, and shuts
// down gracefully.
class Router
{
public:
  // Both arguments must have been validated. A configuration with revision 0 is
  // empty; the router then waits for one from the store or from a peer.
  Router(schema::RouterSettings aSettings,
         const schema::Configuration& aConfiguration);
  ~Router();

  // Binds the ports and starts serving. Returns nothing on success, otherwise
  // an error message.
  std::optional<std::string> Start();

  // Rejects new requests, waits for open ones until the grace period ends,
  // hands the remaining ones over to other routers, and ends all threads.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_ROUTER_H_INCLUDED
