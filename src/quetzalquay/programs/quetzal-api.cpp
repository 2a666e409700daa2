#include "control/ResourceApi.h"
#include "generated/settings.pb.h"
#include "observe/Log.h"
#include "programs/Program.h"

#include <memory>

int
main(int aArgc, char** aArgv)
{
  using namespace quetzalquay;
  return RunProgram<schema::ApiSettings, ResourceApi>(
    aArgc,
    aArgv,
    "quetzal-api",
    "serves the operators' resource API",
    [](const schema::ApiSettings& aSettings, const std::string&, std::string&) {
      StartLog(aSettings.observe().log_file(), aSettings.observe().log_level());
      return std::make_unique<ResourceApi>(aSettings);
    });
}
