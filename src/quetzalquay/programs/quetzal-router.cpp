#include "generated/settings.pb.h"
#include "observe/Log.h"
#include "programs/Program.h"
#include "router/Router.h"

#include <algorithm>
#include <memory>

namespace quetzalquay {
namespace {

// Loads the configuration file named in the settings. Returns an empty
// configuration at revision 0 when they name none.
std::optional<schema::Configuration>
LoadConfiguration(const schema::RouterSettings& aSettings,
                  const std::string& aPath,
                  std::string& aReason)
{
  if (aSettings.configuration_file().empty()) {
    return schema::Configuration();
  }
  auto configuration = LoadSettingsFile<schema::Configuration>(
    ResolveRelativePath(aPath, aSettings.configuration_file()), aReason);
  if (!configuration) {
    return std::nullopt;
  }
  const auto& places = configuration->places();
  const bool declared =
    std::any_of(places.begin(), places.end(), [&](const auto& aPlace) {
      return aPlace.name() == aSettings.place();
    });
  if (!declared) {
    aReason = aPath + ": place: \"" + aSettings.place() + "\" is not declared";
    return std::nullopt;
  }
  return configuration;
}

std::unique_ptr<Router>
MakeRouter(const schema::RouterSettings& aSettings,
           const std::string& aPath,
           std::string& aReason)
{
  const auto configuration = LoadConfiguration(aSettings, aPath, aReason);
  if (!configuration) {
    return nullptr;
  }
  StartLog(aSettings.observe().log_file(), aSettings.observe().log_level());
  return std::make_unique<Router>(aSettings, *configuration);
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
    "admits callers' requests and runs them on targets",
    MakeRouter);
}
