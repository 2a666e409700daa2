#include "gateway/Gateway.h"
#include "observe/CrashLog.h"
#include "observe/Log.h"
#include "platform/PlatformSettings.h"
#include "programs/Program.h"

#include <cstdlib>

int
main(int aArgc, char** aArgv)
{
  using namespace quetzalquay;
  constexpr char kName[] = "quetzal-gateway";
  int exitCode = ExitOk;
  const auto options =
    ParseProgramOptions(aArgc,
                        aArgv,
                        kName,
                        "serves callers on the platform's hosts",
                        exitCode,
                        platform::SettingsFilePath());
  if (!options) {
    return exitCode;
  }
  std::string reason;
  auto settings = LoadGatewaySettings(options->mSettingsFile, reason);
  if (!settings) {
    PrintError(kName, reason);
    return ExitBadUsage;
  }
  if (options->mCheckOnly) {
    for (const std::string& it : settings->mReplacedFields) {
      PrintError(kName, it);
    }
    return ExitOk;
  }
  StartQueuedLog(settings->mLogLevel);
  LogCrashes();
  Gateway gateway(std::move(*settings), options->mSettingsFile);
  const auto error = gateway.Run();
  StopQueuedLog();
  if (error) {
    PrintError(kName, *error);
    return ExitFailed;
  }
  // Skips the static destructors: they would wait for the log library's idle
  // threads, and a host that is being stopped has no time for that.
  std::_Exit(ExitOk);
}
