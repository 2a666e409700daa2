#include "generated/settings.pb.h"
#include "observe/Log.h"
#include "programs/Program.h"
#include "standin/StandinPlatform.h"

#include <memory>

int
main(int aArgc, char** aArgv)
{
  using namespace quetzalquay;
  using Settings = schema::StandinPlatformSettings;
  return RunProgram<Settings, StandinPlatform>(
    aArgc,
    aArgv,
    "quetzal-standin-platform",
    "simulates the platform's table service, object store and lists for tests",
    [](const Settings& aSettings, const std::string&, std::string&) {
      StartLog("", "warn");
      return std::make_unique<StandinPlatform>(aSettings);
    });
}
