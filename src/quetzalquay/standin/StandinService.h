#ifndef QUETZALQUAY_STANDIN_STANDINSERVICE_H_INCLUDED
#define QUETZALQUAY_STANDIN_STANDINSERVICE_H_INCLUDED

#include "generated/settings.pb.h"

#include <memory>
#include <optional>
#include <string>

namespace quetzalquay {

// Plain HTTP service for tests and demonstrations. It answers lookups and
// dispatches, and records each call; dispatches are not idempotent.
class StandinService
{
public:
  explicit StandinService(schema::StandinServiceSettings aSettings);
  ~StandinService();

  // Starts serving. Returns nothing on success, else the error.
  std::optional<std::string> Start();
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_STANDIN_STANDINSERVICE_H_INCLUDED
