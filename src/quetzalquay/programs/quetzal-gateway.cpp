#include "gateway/Gateway.h"
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
                        platform::SettingsFile());
  if (!options) {
    return exitCode;
  }
  std::string reason;
  auto settings = LoadGatewaySettings(options->mSettingsFile, reason);
  if (!settings) {
    PrintProblem(kName, reason);
    return ExitBadUsage;
  }
  if (options->mCheckOnly) {
    return ExitOk;
  }
  StartQueuedLog(settings->mLogLevel);
  Gateway gateway(std::move(*settings), options->mSettingsFile);
  const auto problem = gateway.Run();
  StopQueuedLog();
  if (problem) {
    PrintProblem(kName, *problem);
    return ExitFailed;
  }
  // Static destructors would wait for the log library's idle threads, which a
  // host that is being stopped has no time for.
  std::_Exit(ExitOk);
}
