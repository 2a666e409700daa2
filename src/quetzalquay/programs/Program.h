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
  // The program failed to start, or its work failed.
  ExitFailed = 1,
  // The command line or the settings are invalid; nothing was started.
  ExitBadUsage = 2,
};

// Command line options of a server program.
struct ProgramOptions
{
  std::string mSettingsFile;
  bool mCheckOnly = false;
};

// Parses the command line options that all server programs share: --help,
// --version, --settings FILE and --check-settings. Returns nothing when the
// program has to exit at once, with aExitCode set. aDefaultFile is the settings
// file used without --settings.
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

// Blocks SIGTERM and SIGINT in this thread and those it starts, and ignores
// SIGPIPE. Must be called before any thread is started.
void
BlockStopSignals();

// Waits for SIGTERM or SIGINT.
void
WaitForStopSignal();

// Prints an error message to standard error, after the program's name.
void
PrintError(const char* aName, const std::string& aMessage);

// Runs a server program: parses the command line, loads the settings, creates
// the server with aCreate and serves until a stop signal. Returns the exit
// code. Server needs Start() and Stop().
template<typename Settings, typename Server>
int
RunProgram(int aArgc,
           char** aArgv,
           const char* aName,
           const char* aPurpose,
           const std::function<std::unique_ptr<Server>(const Settings&,
                                                       const std::string&,
                                                       std::string&)>& aCreate)
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
    server = aCreate(*settings, options->mSettingsFile, reason);
  }
  if (server == nullptr) {
    PrintError(aName, reason);
    return ExitBadUsage;
  }
  if (options->mCheckOnly) {
    return ExitOk;
  }
  if (const auto error = server->Start()) {
    PrintError(aName, *error);
    return ExitFailed;
  }
  WaitForStopSignal();
  server->Stop();
  return ExitOk;
}

} // namespace quetzalquay

#endif // QUETZALQUAY_PROGRAMS_PROGRAM_H_INCLUDED
