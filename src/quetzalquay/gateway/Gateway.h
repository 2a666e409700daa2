#ifndef QUETZALQUAY_GATEWAY_GATEWAY_H_INCLUDED
#define QUETZALQUAY_GATEWAY_GATEWAY_H_INCLUDED

#include "gateway/GatewaySettings.h"

#include <memory>
#include <optional>
#include <string>

namespace quetzalquay {

// One gateway process: serves callers, follows the store, exchanges state with
// peers and answers readiness checks and metrics requests, all on one event
// loop.
class Gateway
{
public:
  // aSettingsFile is reloaded on SIGHUP.
  Gateway(GatewaySettings aSettings, std::string aSettingsFile);
  ~Gateway();

  // Serves until a graceful shutdown on SIGTERM or SIGINT has completed.
  // Returns the reason if an address cannot be listened on.
  std::optional<std::string> Run();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_GATEWAY_H_INCLUDED
