#ifndef QUETZALQUAY_CONTROL_CONTROLLERPROCESS_H_INCLUDED
#define QUETZALQUAY_CONTROL_CONTROLLERPROCESS_H_INCLUDED

#include "generated/settings.pb.h"

#include <memory>
#include <optional>
#include <string>

namespace quetzalquay {

// Controller process. Runs one PoolController for every declared model pool.
class ControllerProcess
{
public:
  explicit ControllerProcess(schema::ControllerSettings aSettings);
  ~ControllerProcess();

  // Starts the reconcile loop on a thread of its own. Returns nothing on
  // success, else the reason.
  std::optional<std::string> Start();

  // Ends the loop after the current iteration and joins its thread.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CONTROL_CONTROLLERPROCESS_H_INCLUDED
