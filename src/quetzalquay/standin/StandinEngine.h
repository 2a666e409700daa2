#ifndef QUETZALQUAY_STANDIN_STANDINENGINE_H_INCLUDED
#define QUETZALQUAY_STANDIN_STANDINENGINE_H_INCLUDED

#include "generated/settings.pb.h"

#include <memory>
#include <optional>
#include <string>

namespace quetzalquay {

// HTTP model engine for tests and demonstrations.
class StandinEngine
{
public:
  explicit StandinEngine(schema::StandinEngineSettings aSettings);
  ~StandinEngine();

  // Starts serving. Returns nothing on success, else the error.
  std::optional<std::string> Start();
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_STANDIN_STANDINENGINE_H_INCLUDED
