#include "generated/settings.pb.h"
#include "observe/Log.h"
#include "programs/Program.h"
#include "standin/StandinEngine.h"

#include <memory>

int
main(int aArgc, char** aArgv)
{
  using namespace quetzalquay;
  using Settings = schema::StandinEngineSettings;
  return RunProgram<Settings, StandinEngine>(
    aArgc,
    aArgv,
    "quetzal-standin-engine",
    "simulates a model engine for tests",
    [](const Settings& aSettings, const std::string&, std::string&) {
      StartLog("", "warn");
      return std::make_unique<StandinEngine>(aSettings);
    });
}
