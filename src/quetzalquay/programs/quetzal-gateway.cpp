#include "gateway/Gateway.h"
#include "observe/CrashLog.h"
#include "observe/Log.h"
#include "platform/PlatformSettings.h"
#include "programs/Program.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <pthread.h>
#include <thread>

namespace quetzalquay {

namespace {

// Time for which a process that starts waits for a settings file that it can
// use, and the interval at which it tries.
constexpr auto kSettingsWait = std::chrono::seconds(2);
constexpr auto kSettingsRetryInterval = std::chrono::milliseconds(50);

// Holds back the signals that end a process by default until the gateway
// handles them: the platform may send one as soon as the process exists.
void
HoldSignals()
{
  sigset_t signals;
  ::sigemptyset(&signals);
  for (const int it : { SIGHUP, SIGTERM, SIGINT }) {
    ::sigaddset(&signals, it);
  }
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// Loads the settings; a file that cannot be used may be just being written.
// Returns nothing and sets aReason if it stays so.
std::optional<GatewaySettings>
AwaitGatewaySettings(const std::string& aPath, std::string& aReason)
{
  const auto end = std::chrono::steady_clock::now() + kSettingsWait;
  auto settings = LoadGatewaySettings(aPath, aReason);
  while (!settings && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kSettingsRetryInterval);
    settings = LoadGatewaySettings(aPath, aReason);
  }
  return settings;
}

} // namespace

} // namespace quetzalquay

int
main(int aArgc, char** aArgv)
{
  using namespace quetzalquay;
  constexpr char kName[] = "quetzal-gateway";
  HoldSignals();
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
  auto settings = options->mCheckOnly
                    ? LoadGatewaySettings(options->mSettingsFile, reason)
                    : AwaitGatewaySettings(options->mSettingsFile, reason);
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
