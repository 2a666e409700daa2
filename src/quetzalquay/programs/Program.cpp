#include "programs/Program.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <fcntl.h>
#include <iostream>
#include <pthread.h>
#include <unistd.h>

namespace quetzalquay {

namespace {

constexpr char kVersion[] = "0.1.0";

sigset_t
StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

// Opens what the parent has closed of standard input, output and error, so that
// no connection gets one of these numbers and the log's lines.
void
OpenStandardDescriptors()
{
  int descriptor = ::open("/dev/null", O_RDWR);
  while (descriptor >= 0 && descriptor <= STDERR_FILENO) {
    descriptor = ::open("/dev/null", O_RDWR);
  }
  ::close(descriptor);
}

} // namespace

std::optional<ProgramOptions>
ParseProgramOptions(int aArgc,
                    char** aArgv,
                    const char* aName,
                    const char* aPurpose,
                    int& aExitCode,
                    const std::string& aDefaultFile)
{
  namespace po = boost::program_options;
  OpenStandardDescriptors();
  ProgramOptions options;
  options.mSettingsFile = aDefaultFile;
  po::options_description description("Options");
  description.add_options()("help", "print this help and exit")(
    "version", "print the version and exit")(
    "settings",
    po::value(&options.mSettingsFile)->value_name("FILE"),
    "settings file in JSON (required)")(
    "check-settings", "check the settings and exit: 0 if valid, 2 if not");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aArgc, aArgv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    PrintError(aName, error.what());
    aExitCode = ExitBadUsage;
    return std::nullopt;
  }
  aExitCode = ExitOk;
  if (values.count("help") != 0) {
    std::cout << aName << ": " << aPurpose << "\n\n"
              << description
              << "\nExit codes: 0 success, 1 startup failed, 2 invalid command "
                 "line or settings.\n";
    return std::nullopt;
  }
  if (values.count("version") != 0) {
    std::cout << aName << " " << kVersion << "\n";
    return std::nullopt;
  }
  if (options.mSettingsFile.empty()) {
    PrintError(aName, "--settings FILE is required");
    aExitCode = ExitBadUsage;
    return std::nullopt;
  }
  options.mCheckOnly = values.count("check-settings") != 0;
  return options;
}

const char*
ProgramVersion()
{
  return kVersion;
}

void
BlockStopSignals()
{
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void
WaitForStopSignal()
{
  const sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
}

void
PrintError(const char* aName, const std::string& aMessage)
{
  std::cerr << aName << ": " << aMessage << "\n";
}

} // namespace quetzalquay
