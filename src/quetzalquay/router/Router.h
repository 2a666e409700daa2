#ifndef QUETZALQUAY_ROUTER_ROUTER_H_INCLUDED
#define QUETZALQUAY_ROUTER_ROUTER_H_INCLUDED

#include "core/Failure.h"
#include "generated/settings.pb.h"

#include <memory>
#include <optional>
#include <string>

namespace quetzalquay {

// The callers' path as one process: admits requests, carries them out on the
// targets, and stops without cutting any.
class Router
{
public:
  // Both have passed their checks. A configuration at revision 0 is empty: the
  // router then waits for the store's or a peer's.
  Router(schema::RouterSettings aSettings,
         const schema::Configuration& aConfiguration);
  ~Router();

  // Binds and serves. Returns nothing on success, else the reason.
  std::optional<std::string> Start();

  // Takes no new requests, waits for the open ones, hands over to other routers
  // those that are still open after the grace time, and ends all threads.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_ROUTER_H_INCLUDED
