#ifndef QUETZALQUAY_CONTROL_CONTROLLERHOST_H_INCLUDED
#define QUETZALQUAY_CONTROL_CONTROLLERHOST_H_INCLUDED

#include "generated/settings.pb.h"

#include <memory>
#include <optional>
#include <string>

namespace quetzalquay {

// Candidate for the control of every declared model pool, as one process.
class ControllerHost
{
public:
  explicit ControllerHost(schema::ControllerSettings aSettings);
  ~ControllerHost();

  // Starts the rounds. Returns nothing on success, else the reason.
  std::optional<std::string> Start();
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CONTROL_CONTROLLERHOST_H_INCLUDED
