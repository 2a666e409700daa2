#ifndef QUETZALQUAY_CONTROL_RESOURCEAPI_H_INCLUDED
#define QUETZALQUAY_CONTROL_RESOURCEAPI_H_INCLUDED

#include "generated/settings.pb.h"

#include <memory>
#include <optional>
#include <string>

namespace quetzalquay {

// Process that serves the operators' resource API over HTTP: get, list, write
// and delete resources, watch changes, and compare the accepted revision with
// those in force on the routers. Stateless, so that any number may run.
class ResourceApi
{
public:
  explicit ResourceApi(schema::ApiSettings aSettings);
  ~ResourceApi();

  // Starts the HTTP server. Returns nothing on success, else the reason.
  std::optional<std::string> Start();

  // Ends the watch streams and stops the server.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CONTROL_RESOURCEAPI_H_INCLUDED
