#include "generated/settings.pb.h"
#include "observe/Log.h"
#include "programs/Program.h"
#include "router/Router.h"

#include <memory>

namespace quetzalquay {
namespace {

std::unique_ptr<Router>
MakeRouter(const schema::RouterSettings& aSettings,
           const std::string& aPath,
           std::string& aReason)
{
  const auto configuration = LoadSettingsFile<schema::Configuration>(
    RelativeTo(aPath, aSettings.configuration_file()), aReason);
  if (!configuration) {
    return nullptr;
  }
  for (const auto& it : configuration->places()) {
    if (it.name() == aSettings.place()) {
      StartLog(aSettings.observe().log_file(), aSettings.observe().log_level());
      return std::make_unique<Router>(aSettings, *configuration);
    }
  }
  aReason = aPath + ": place: \"" + aSettings.place() + "\" is not declared";
  return nullptr;
}

} // namespace
} // namespace quetzalquay

int
main(int aArgc, char** aArgv)
{
  using namespace quetzalquay;
  return RunProgram<schema::RouterSettings, Router>(
    aArgc,
    aArgv,
    "quetzal-router",
    "admits callers' requests and carries them out on targets",
    MakeRouter);
}
