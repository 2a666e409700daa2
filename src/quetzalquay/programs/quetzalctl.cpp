#include "generated/messages.pb.h"
#include "generated/settings.pb.h"
#include "programs/Program.h"
#include "wire/HttpClient.h"
#include "wire/Json.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace quetzalquay {
namespace {

constexpr char kName[] = "quetzalctl";
constexpr Duration kWatchTimeout = std::chrono::hours(1);
constexpr Duration kStatusPause = std::chrono::milliseconds(200);

struct Options
{
  std::string mApi;
  std::string mKey;
  std::string mOperation;
  std::string mIfMatch;
  int mWaitMs = 0;
  std::vector<std::string> mRouters;
  std::vector<std::string> mWords;
};

// Argument of a command by its place, the command itself being 0.
std::string
Word(const Options& aOptions, std::size_t aPlace)
{
  return aPlace < aOptions.mWords.size() ? aOptions.mWords[aPlace]
                                         : std::string();
}

HttpAddress
ParseAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  HttpAddress address;
  if (colon != std::string::npos) {
    address.mHost = aText.substr(0, colon);
    address.mPort = std::atoi(aText.c_str() + colon + 1);
  }
  return address;
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

HttpCallSpec
ApiCall(const Options& aOptions,
        const std::string& aMethod,
        const std::string& aPath,
        const std::string& aBody = std::string())
{
  HttpCallSpec spec;
  spec.mMethod = aMethod;
  spec.mPath = "/api/v1/" + aPath;
  spec.mBody = aBody;
  spec.mHeaders["Authorization"] = "Bearer " + aOptions.mKey;
  if (!aOptions.mOperation.empty()) {
    spec.mHeaders["Idempotency-Key"] = aOptions.mOperation;
  }
  if (!aOptions.mIfMatch.empty()) {
    spec.mHeaders["If-Match"] = aOptions.mIfMatch;
  }
  spec.mReadTimeout = std::chrono::seconds(10);
  return spec;
}

// Prints an answer of the API; its error goes to standard error.
int
PrintAnswer(const HttpResult& aResult)
{
  if (aResult.mOutcome != HttpOutcome::Answered) {
    PrintProblem(kName, "the API does not answer");
    return ExitFailed;
  }
  (aResult.mStatus < 300 ? std::cout : std::cerr) << aResult.mBody << "\n";
  return aResult.mStatus < 300 ? ExitOk : ExitFailed;
}

int
CallApi(const Options& aOptions, const HttpCallSpec& aSpec)
{
  HttpCall call(ParseAddress(aOptions.mApi));
  return PrintAnswer(call.Run(aSpec));
}

int
Get(const Options& aOptions)
{
  const std::string name = Word(aOptions, 2);
  const std::string path = Word(aOptions, 1) + (name.empty() ? "" : "/" + name);
  return CallApi(aOptions, ApiCall(aOptions, "GET", path));
}

int
Put(const Options& aOptions)
{
  const std::string path = Word(aOptions, 1) + "/" + Word(aOptions, 2);
  const std::string body = ReadFile(Word(aOptions, 3));
  return CallApi(aOptions, ApiCall(aOptions, "PUT", path, body));
}

int
Delete(const Options& aOptions)
{
  const std::string path = Word(aOptions, 1) + "/" + Word(aOptions, 2);
  return CallApi(aOptions, ApiCall(aOptions, "DELETE", path));
}

int
Import(const Options& aOptions)
{
  const std::string body = ReadFile(Word(aOptions, 1));
  return CallApi(aOptions, ApiCall(aOptions, "POST", "import", body));
}

// Sets or clears a target's leaving mark, based on what it is now.
int
SetLeaving(const Options& aOptions, bool aLeaving)
{
  const std::string path = "targets/" + Word(aOptions, 1);
  HttpCall get(ParseAddress(aOptions.mApi));
  const HttpResult answer = get.Run(ApiCall(aOptions, "GET", path));
  schema::ResourceView view;
  schema::Target target;
  if (answer.mStatus != 200 ||
      ParseJson(answer.mBody, UnknownFields::Ignore, view) ||
      ParseJson(view.value(), UnknownFields::Refuse, target)) {
    return PrintAnswer(answer);
  }
  target.set_leaving(aLeaving);
  HttpCallSpec spec = ApiCall(aOptions, "PUT", path, ToCompactJson(target));
  spec.mHeaders["If-Match"] = std::to_string(view.version());
  return CallApi(aOptions, spec);
}

int
Drain(const Options& aOptions)
{
  return SetLeaving(aOptions, true);
}

int
Undrain(const Options& aOptions)
{
  return SetLeaving(aOptions, false);
}

int
Watch(const Options& aOptions)
{
  HttpCallSpec spec = ApiCall(aOptions, "GET", "watch");
  const std::string after = Word(aOptions, 1);
  spec.mPath += "?after=" + (after.empty() ? std::string("0") : after);
  spec.mReadTimeout = kWatchTimeout;
  HttpCall call(ParseAddress(aOptions.mApi));
  const HttpResult result =
    call.RunStreamed(spec, [](const char* aData, std::size_t aSize) {
      std::cout.write(aData, static_cast<std::streamsize>(aSize));
      std::cout.flush();
      return true;
    });
  return result.mStatus == 200 ? ExitOk : PrintAnswer(result);
}

// Prints the accepted and in-force revisions; with --wait until they agree.
int
Status(const Options& aOptions)
{
  const auto giveUpAt = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(aOptions.mWaitMs);
  for (;;) {
    HttpCall call(ParseAddress(aOptions.mApi));
    const HttpResult answer = call.Run(ApiCall(aOptions, "GET", "status"));
    schema::ConfigurationStatus status;
    ParseJson(answer.mBody, UnknownFields::Ignore, status);
    const bool over = std::chrono::steady_clock::now() >= giveUpAt;
    if (status.in_force_everywhere() || over) {
      const int code = PrintAnswer(answer);
      return aOptions.mWaitMs > 0 && !status.in_force_everywhere() ? ExitFailed
                                                                   : code;
    }
    std::this_thread::sleep_for(kStatusPause);
  }
}

void
PrintExplanation(const schema::Explanation& aExplanation)
{
  std::cout << aExplanation.request_id() << " of workspace "
            << aExplanation.workspace() << "\n";
  const double begun =
    aExplanation.steps_size() > 0 ? aExplanation.steps(0).at() : 0;
  for (const auto& it : aExplanation.steps()) {
    std::printf("  +%8.1f ms  attempt %d  %-14s %-16s index %-5d %s\n",
                it.at() - begun,
                it.attempt(),
                it.event().c_str(),
                it.target().c_str(),
                it.index(),
                it.reason().c_str());
  }
  std::fflush(stdout);
}

int
Explain(const Options& aOptions)
{
  for (const std::string& it : aOptions.mRouters) {
    HttpCallSpec spec;
    spec.mPath = "/debug/requests/" + Word(aOptions, 1);
    HttpCall call(ParseAddress(it));
    const HttpResult answer = call.Run(spec);
    schema::Explanation explanation;
    if (answer.mStatus == 200 &&
        !ParseJson(answer.mBody, UnknownFields::Ignore, explanation)) {
      PrintExplanation(explanation);
      return ExitOk;
    }
  }
  PrintProblem(kName, "no given router knows this request");
  return ExitFailed;
}

int
Routers(const Options& aOptions)
{
  int code = ExitOk;
  for (const std::string& it : aOptions.mRouters) {
    HttpCallSpec spec;
    spec.mPath = "/debug/status";
    HttpCall call(ParseAddress(it));
    const HttpResult answer = call.Run(spec);
    code = std::max(code, PrintAnswer(answer));
  }
  return code;
}

struct Command
{
  const char* mName;
  const char* mArguments;
  const char* mPurpose;
  std::size_t mWords;
  int (*mRun)(const Options&);
};

constexpr Command kCommands[] = {
  { "get", "KIND [NAME]", "print resources", 2, Get },
  { "put", "KIND NAME FILE", "write a resource", 4, Put },
  { "delete", "KIND NAME", "delete a resource", 3, Delete },
  { "import", "FILE", "write all resources of a configuration", 2, Import },
  { "drain", "TARGET", "give a target no new work", 2, Drain },
  { "undrain", "TARGET", "give a target work again", 2, Undrain },
  { "watch", "[VERSION]", "print changes as they are accepted", 1, Watch },
  { "status", "", "print accepted and in-force revisions", 1, Status },
  { "explain", "REQUEST", "print where a request went and why", 2, Explain },
  { "routers", "", "print what routers know of their targets", 1, Routers },
};

void
PrintHelp(const boost::program_options::options_description& aDescribed)
{
  std::cout << kName << " [options] COMMAND ...\n\nCommands:\n";
  for (const Command& it : kCommands) {
    std::printf("  %-8s %-16s %s\n", it.mName, it.mArguments, it.mPurpose);
  }
  std::fflush(stdout);
  std::cout << "\n"
            << aDescribed
            << "\nExit codes: 0 done, 1 refused or no answer, 2 bad command "
               "line.\n";
}

int
RunCommand(const Options& aOptions)
{
  const std::string name = Word(aOptions, 0);
  for (const Command& it : kCommands) {
    if (name != it.mName) {
      continue;
    }
    if (aOptions.mWords.size() < it.mWords) {
      PrintProblem(kName, name + " needs " + it.mArguments);
      return ExitBadUsage;
    }
    return it.mRun(aOptions);
  }
  PrintProblem(kName, "unknown command \"" + name + "\"; see --help");
  return ExitBadUsage;
}

int
Main(int aArgc, char** aArgv)
{
  namespace po = boost::program_options;
  Options options;
  po::options_description described("Options");
  described.add_options()("help", "print this help and exit")(
    "version", "print the version and exit")(
    "api", po::value(&options.mApi)->value_name("IP:PORT"), "resource API")(
    "key", po::value(&options.mKey), "operator's key")(
    "router",
    po::value(&options.mRouters)->value_name("IP:PORT"),
    "router to ask; may be repeated")(
    "if-match", po::value(&options.mIfMatch), "version to change, 0 for new")(
    "operation",
    po::value(&options.mOperation),
    "operation id that makes a repeat harmless")(
    "wait",
    po::value(&options.mWaitMs)->value_name("MS"),
    "status: wait until in force everywhere");
  po::options_description all;
  all.add(described).add_options()("words", po::value(&options.mWords));
  po::positional_options_description positions;
  positions.add("words", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(aArgc, aArgv)
                .options(all)
                .positional(positions)
                .run(),
              values);
    po::notify(values);
  } catch (const po::error& error) {
    PrintProblem(kName, error.what());
    return ExitBadUsage;
  }
  if (values.count("help") != 0 || aArgc == 1) {
    PrintHelp(described);
    return ExitOk;
  }
  if (values.count("version") != 0) {
    std::cout << kName << " " << ProgramVersion() << "\n";
    return ExitOk;
  }
  return RunCommand(options);
}

} // namespace
} // namespace quetzalquay

int
main(int aArgc, char** aArgv)
{
  return quetzalquay::Main(aArgc, aArgv);
}
