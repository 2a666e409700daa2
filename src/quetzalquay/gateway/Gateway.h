#ifndef QUETZALQUAY_GATEWAY_GATEWAY_H_INCLUDED
#define QUETZALQUAY_GATEWAY_GATEWAY_H_INCLUDED

#include "gateway/GatewaySettings.h"

#include <memory>
#include <optional>
#include <string>

namespace quetzalquay {

// One gateway process: callers' path, store, peers, checks and metrics on one
// event loop.
class Gateway
{
public:
  // aSettingsFile is read again on SIGHUP.
  Gateway(GatewaySettings aSettings, std::string aSettingsFile);
  ~Gateway();

  // Serves until a stop signal has been carried out. Returns the reason when
  // an address cannot be listened on.
  std::optional<std::string> Run();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_GATEWAY_H_INCLUDED
