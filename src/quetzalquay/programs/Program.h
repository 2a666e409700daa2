#ifndef QUETZALQUAY_PROGRAMS_PROGRAM_H_INCLUDED
#define QUETZALQUAY_PROGRAMS_PROGRAM_H_INCLUDED

#include "config/SettingsFile.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace quetzalquay {

// Exit codes of all programs.
enum ExitCode : int
{
  ExitOk = 0,
  // The program could not do its work.
  ExitFailed = 1,
  // The command line or the settings cannot be used; nothing was started.
  ExitBadUsage = 2,
};

// What the command line of a serving program asked for.
struct ProgramOptions
{
  std::string mSettingsFile;
  bool mCheckOnly = false;
};

// Reads the command line that all serving programs share: --help, --version,
// --settings FILE and --check-settings. Returns nothing when the program has to
// end at once, with aExitCode set. aDefaultFile is used without --settings.
std::optional<ProgramOptions>
ParseProgramOptions(int aArgc,
                    char** aArgv,
                    const char* aName,
                    const char* aPurpose,
                    int& aExitCode,
                    const std::string& aDefaultFile = std::string());

// Version of all programs.
const char*
ProgramVersion();

// Blocks the stop signals in this thread and those it starts. Called first.
void
BlockStopSignals();

// Waits for SIGTERM or SIGINT.
void
WaitForStopSignal();

// Prints a problem of the settings.
void
PrintProblem(const char* aName, const std::string& aProblem);

// Life of a serving program: command line, settings, serving until a stop
// signal. Server needs Start() and Stop().
template<typename Settings, typename Server>
int
RunProgram(int aArgc,
           char** aArgv,
           const char* aName,
           const char* aPurpose,
           const std::function<std::unique_ptr<Server>(const Settings&,
                                                       const std::string&,
                                                       std::string&)>& aMake)
{
  BlockStopSignals();
  int exitCode = ExitOk;
  const auto options =
    ParseProgramOptions(aArgc, aArgv, aName, aPurpose, exitCode);
  if (!options) {
    return exitCode;
  }
  std::string reason;
  const auto settings =
    LoadSettingsFile<Settings>(options->mSettingsFile, reason);
  std::unique_ptr<Server> server;
  if (settings) {
    server = aMake(*settings, options->mSettingsFile, reason);
  }
  if (server == nullptr) {
    PrintProblem(aName, reason);
    return ExitBadUsage;
  }
  if (options->mCheckOnly) {
    return ExitOk;
  }
  if (const auto problem = server->Start()) {
    PrintProblem(aName, *problem);
    return ExitFailed;
  }
  WaitForStopSignal();
  server->Stop();
  return ExitOk;
}

} // namespace quetzalquay

#endif // QUETZALQUAY_PROGRAMS_PROGRAM_H_INCLUDED
