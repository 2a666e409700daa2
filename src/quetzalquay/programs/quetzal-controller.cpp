#include "control/ControllerProcess.h"
#include "generated/settings.pb.h"
#include "observe/Log.h"
#include "programs/Program.h"

#include <memory>

int
main(int aArgc, char** aArgv)
{
  using namespace quetzalquay;
  return RunProgram<schema::ControllerSettings, ControllerProcess>(
    aArgc,
    aArgv,
    "quetzal-controller",
    "rolls model pools out to their declared versions",
    [](const schema::ControllerSettings& aSettings,
       const std::string&,
       std::string&) {
      StartLog(aSettings.observe().log_file(), aSettings.observe().log_level());
      return std::make_unique<ControllerProcess>(aSettings);
    });
}
