#ifndef QUETZALQUAY_STANDIN_STANDINPLATFORM_H_INCLUDED
#define QUETZALQUAY_STANDIN_STANDINPLATFORM_H_INCLUDED

#include "generated/settings.pb.h"

#include <memory>
#include <optional>
#include <string>

namespace quetzalquay {

// Stand-in for the platform's table service, object store, host list and weight
// store, for tests and demonstrations.
class StandinPlatform
{
public:
  explicit StandinPlatform(schema::StandinPlatformSettings aSettings);
  ~StandinPlatform();

  // Starts serving. Returns nothing on success, else the error.
  std::optional<std::string> Start();
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_STANDIN_STANDINPLATFORM_H_INCLUDED
