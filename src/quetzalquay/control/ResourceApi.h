#ifndef QUETZALQUAY_CONTROL_RESOURCEAPI_H_INCLUDED
#define QUETZALQUAY_CONTROL_RESOURCEAPI_H_INCLUDED

#include "generated/settings.pb.h"

#include <memory>
#include <optional>
#include <string>

namespace quetzalquay {

// The operators' resource API as one process: get, list, write and delete
// resources, watch changes, and tell accepted from in-force revisions. Keeps
// nothing; any number may run.
class ResourceApi
{
public:
  explicit ResourceApi(schema::ApiSettings aSettings);
  ~ResourceApi();

  // Serves. Returns nothing on success, else the reason.
  std::optional<std::string> Start();
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CONTROL_RESOURCEAPI_H_INCLUDED
