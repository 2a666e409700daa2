#ifndef QUETZALQUAY_STANDIN_STANDINSERVICE_H_INCLUDED
#define QUETZALQUAY_STANDIN_STANDINSERVICE_H_INCLUDED

#include "generated/settings.pb.h"

#include <memory>
#include <optional>
#include <string>

namespace quetzalquay {

// A plain service for tests and demonstrations: answers lookups and records
// dispatches, which may not be repeated.
class StandinService
{
public:
  explicit StandinService(schema::StandinServiceSettings aSettings);
  ~StandinService();

  // Serves. Returns nothing on success, else the reason.
  std::optional<std::string> Start();
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_STANDIN_STANDINSERVICE_H_INCLUDED
