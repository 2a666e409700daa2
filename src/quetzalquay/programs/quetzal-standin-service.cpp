#include "generated/settings.pb.h"
#include "observe/Log.h"
#include "programs/Program.h"
#include "standin/StandinService.h"

#include <memory>

int
main(int aArgc, char** aArgv)
{
  using namespace quetzalquay;
  using Settings = schema::StandinServiceSettings;
  return RunProgram<Settings, StandinService>(
    aArgc,
    aArgv,
    "quetzal-standin-service",
    "simulates a plain service for tests",
    [](const Settings& aSettings, const std::string&, std::string&) {
      StartLog("", "warn");
      return std::make_unique<StandinService>(aSettings);
    });
}
