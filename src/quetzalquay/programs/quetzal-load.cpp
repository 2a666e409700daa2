#include "config/SettingsFile.h"
#include "generated/messages.pb.h"
#include "generated/settings.pb.h"
#include "history/HistoryChecker.h"
#include "load/LoadReport.h"
#include "load/LoadRunner.h"
#include "programs/Program.h"
#include "wire/Json.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace quetzalquay {
namespace {

constexpr char kName[] = "quetzal-load";

struct Options
{
  std::string mSettingsFile;
  std::string mHistoryFile;
  unsigned mSeed = 0;
  bool mHasSeed = false;
  bool mCheckOnly = false;
};

std::optional<Options>
ParseOptions(int aArgc, char** aArgv, int& aExitCode)
{
  namespace po = boost::program_options;
  Options options;
  po::options_description description("Options");
  description.add_options()("help", "print this help and exit")(
    "version", "print the version and exit")(
    "settings",
    po::value(&options.mSettingsFile)->value_name("FILE"),
    "load experiment to run, in JSON")(
    "seed",
    po::value(&options.mSeed),
    "random seed; overrides the settings file")(
    "check",
    po::value(&options.mHistoryFile)->value_name("FILE"),
    "check a recorded history instead of running an experiment")(
    "check-settings", "check the experiment and exit: 0 if valid, 2 if not");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aArgc, aArgv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    PrintError(kName, error.what());
    aExitCode = ExitBadUsage;
    return std::nullopt;
  }
  aExitCode = ExitOk;
  if (values.count("help") != 0) {
    std::cout << kName << ": runs load experiments and checks histories\n\n"
              << description
              << "\nExit codes: 0 no violations, 1 violations found, 2 invalid "
                 "command line or settings.\n";
    return std::nullopt;
  }
  if (values.count("version") != 0) {
    std::cout << kName << " " << ProgramVersion() << "\n";
    return std::nullopt;
  }
  if (options.mSettingsFile.empty() && options.mHistoryFile.empty()) {
    PrintError(kName, "--settings FILE or --check FILE is required");
    aExitCode = ExitBadUsage;
    return std::nullopt;
  }
  options.mHasSeed = values.count("seed") != 0;
  options.mCheckOnly = values.count("check-settings") != 0;
  return options;
}

void
WriteFile(const std::string& aPath, const std::string& aText)
{
  if (!aPath.empty()) {
    std::ofstream(aPath) << aText << "\n";
  }
}

int
PrintFindings(const schema::History& aHistory)
{
  const auto findings = CheckHistory(aHistory);
  for (const Finding& it : findings) {
    std::cout << NameOf(it.mKind) << " " << it.mRequestId << " " << it.mDetail
              << "\n";
  }
  return findings.empty() ? ExitOk : ExitFailed;
}

int
CheckFile(const std::string& aPath)
{
  schema::History history;
  if (const auto error = ReadSettingsFile(aPath, history)) {
    PrintError(kName, *error);
    return ExitBadUsage;
  }
  std::cout << FormatLoadResult(MakeLoadResult(aPath, history, {}, 0));
  return PrintFindings(history);
}

int
RunExperiment(const Options& aOptions)
{
  std::string reason;
  auto settings =
    LoadSettingsFile<schema::LoadSettings>(aOptions.mSettingsFile, reason);
  if (!settings) {
    PrintError(kName, reason);
    return ExitBadUsage;
  }
  if (aOptions.mCheckOnly) {
    return ExitOk;
  }
  if (aOptions.mHasSeed) {
    settings->set_seed(aOptions.mSeed);
  }
  LoadRunner runner(*settings);
  const schema::History history = runner.Run();
  const schema::LoadResult result = MakeLoadResult(
    settings->name(), history, runner.TokenGapsMs(), runner.DurationSeconds());
  std::cout << FormatLoadResult(result);
  WriteFile(settings->history_file(), ToCompactJson(history));
  WriteFile(settings->result_file(), ToJson(result));
  return PrintFindings(history);
}

} // namespace
} // namespace quetzalquay

int
main(int aArgc, char** aArgv)
{
  using namespace quetzalquay;
  std::signal(SIGPIPE, SIG_IGN);
  int exitCode = ExitOk;
  const auto options = ParseOptions(aArgc, aArgv, exitCode);
  if (!options) {
    return exitCode;
  }
  return options->mHistoryFile.empty() ? RunExperiment(*options)
                                       : CheckFile(options->mHistoryFile);
}
