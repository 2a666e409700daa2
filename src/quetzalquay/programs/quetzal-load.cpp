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
  po::options_description described("Options");
  described.add_options()("help", "print this help and exit")(
    "version", "print the version and exit")(
    "settings",
    po::value(&options.mSettingsFile)->value_name("FILE"),
    "experiment in JSON to run")(
    "seed", po::value(&options.mSeed), "seed to use instead of the file's")(
    "check",
    po::value(&options.mHistoryFile)->value_name("FILE"),
    "check a recorded history instead of running")(
    "check-settings", "check the experiment and exit: 0 usable, 2 not");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aArgc, aArgv, described), values);
    po::notify(values);
  } catch (const po::error& error) {
    PrintProblem(kName, error.what());
    aExitCode = ExitBadUsage;
    return std::nullopt;
  }
  aExitCode = ExitOk;
  if (values.count("help") != 0) {
    std::cout << kName << ": runs load experiments and checks histories\n\n"
              << described
              << "\nExit codes: 0 nothing found, 1 the checker found "
                 "violations, 2 bad command line or settings.\n";
    return std::nullopt;
  }
  if (values.count("version") != 0) {
    std::cout << kName << " " << ProgramVersion() << "\n";
    return std::nullopt;
  }
  if (options.mSettingsFile.empty() && options.mHistoryFile.empty()) {
    PrintProblem(kName, "--settings FILE or --check FILE is required");
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
  if (const auto problem = ReadSettingsFile(aPath, history)) {
    PrintProblem(kName, *problem);
    return ExitBadUsage;
  }
  std::cout << PrintReport(MakeReport(aPath, history, {}, 0));
  return PrintFindings(history);
}

int
RunExperiment(const Options& aOptions)
{
  std::string reason;
  auto settings =
    LoadSettingsFile<schema::LoadSettings>(aOptions.mSettingsFile, reason);
  if (!settings) {
    PrintProblem(kName, reason);
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
  const schema::LoadResult result =
    MakeReport(settings->name(), history, runner.Gaps(), runner.Seconds());
  std::cout << PrintReport(result);
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
