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
constexpr Duration kStatusPollInterval = std::chrono::milliseconds(200);

struct Options
{
  std::string mApi;
  std::string mKey;
  std::string mOperation;
  std::string mIfMatch;
  int mWaitMs = 0;
  std::vector<std::string> mRouters;
  std::vector<std::string> mArguments;
};

// Positional argument by its index, 0 being the command. Empty when absent.
std::string
GetArgument(const Options& aOptions, std::size_t aIndex)
{
  return aIndex < aOptions.mArguments.size() ? aOptions.mArguments[aIndex]
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

// Prints a response of the API, error responses to standard error.
int
PrintResponse(const HttpResult& aResult)
{
  if (aResult.mOutcome != HttpOutcome::Answered) {
    PrintError(kName, "no response from the API");
    return ExitFailed;
  }
  (aResult.mStatus < 300 ? std::cout : std::cerr) << aResult.mBody << "\n";
  return aResult.mStatus < 300 ? ExitOk : ExitFailed;
}

int
CallApi(const Options& aOptions, const HttpCallSpec& aSpec)
{
  HttpCall call(ParseAddress(aOptions.mApi));
  return PrintResponse(call.Run(aSpec));
}

int
Get(const Options& aOptions)
{
  const std::string name = GetArgument(aOptions, 2);
  const std::string path =
    GetArgument(aOptions, 1) + (name.empty() ? "" : "/" + name);
  return CallApi(aOptions, ApiCall(aOptions, "GET", path));
}

int
Put(const Options& aOptions)
{
  const std::string path =
    GetArgument(aOptions, 1) + "/" + GetArgument(aOptions, 2);
  const std::string body = ReadFile(GetArgument(aOptions, 3));
  return CallApi(aOptions, ApiCall(aOptions, "PUT", path, body));
}

int
Delete(const Options& aOptions)
{
  const std::string path =
    GetArgument(aOptions, 1) + "/" + GetArgument(aOptions, 2);
  return CallApi(aOptions, ApiCall(aOptions, "DELETE", path));
}

int
Import(const Options& aOptions)
{
  const std::string body = ReadFile(GetArgument(aOptions, 1));
  return CallApi(aOptions, ApiCall(aOptions, "POST", "import", body));
}

// Sets or clears a target's leaving flag. If-Match makes the write fail when
// the target has changed since it was read.
int
SetLeaving(const Options& aOptions, bool aLeaving)
{
  const std::string path = "targets/" + GetArgument(aOptions, 1);
  HttpCall get(ParseAddress(aOptions.mApi));
  const HttpResult response = get.Run(ApiCall(aOptions, "GET", path));
  schema::ResourceView view;
  schema::Target target;
  if (response.mStatus != 200 ||
      ParseJson(response.mBody, UnknownFields::Ignore, view) ||
      ParseJson(view.value(), UnknownFields::Refuse, target)) {
    return PrintResponse(response);
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
  const std::string after = GetArgument(aOptions, 1);
  spec.mPath += "?after=" + (after.empty() ? std::string("0") : after);
  spec.mReadTimeout = kWatchTimeout;
  HttpCall call(ParseAddress(aOptions.mApi));
  const HttpResult result =
    call.RunStreamed(spec, [](const char* aData, std::size_t aSize) {
      std::cout.write(aData, static_cast<std::streamsize>(aSize));
      std::cout.flush();
      return true;
    });
  return result.mStatus == 200 ? ExitOk : PrintResponse(result);
}

// Prints the accepted and in-force revisions. With --wait, first polls until
// they agree or the time is up.
int
Status(const Options& aOptions)
{
  const auto deadline = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(aOptions.mWaitMs);
  for (;;) {
    HttpCall call(ParseAddress(aOptions.mApi));
    const HttpResult response = call.Run(ApiCall(aOptions, "GET", "status"));
    schema::ConfigurationStatus status;
    ParseJson(response.mBody, UnknownFields::Ignore, status);
    const bool timedOut = std::chrono::steady_clock::now() >= deadline;
    if (status.in_force_everywhere() || timedOut) {
      const int code = PrintResponse(response);
      return aOptions.mWaitMs > 0 && !status.in_force_everywhere() ? ExitFailed
                                                                   : code;
    }
    std::this_thread::sleep_for(kStatusPollInterval);
  }
}

void
PrintExplanation(const schema::Explanation& aExplanation)
{
  std::cout << aExplanation.request_id() << " of workspace "
            << aExplanation.workspace() << "\n";
  const double startedAt =
    aExplanation.steps_size() > 0 ? aExplanation.steps(0).at() : 0;
  for (const auto& it : aExplanation.steps()) {
    std::printf("  +%8.1f ms  attempt %d  %-14s %-16s index %-5d %s\n",
                it.at() - startedAt,
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
    spec.mPath = "/debug/requests/" + GetArgument(aOptions, 1);
    HttpCall call(ParseAddress(it));
    const HttpResult response = call.Run(spec);
    schema::Explanation explanation;
    if (response.mStatus == 200 &&
        !ParseJson(response.mBody, UnknownFields::Ignore, explanation)) {
      PrintExplanation(explanation);
      return ExitOk;
    }
  }
  PrintError(kName, "none of the given routers knows this request");
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
    const HttpResult response = call.Run(spec);
    code = std::max(code, PrintResponse(response));
  }
  return code;
}

struct Command
{
  const char* mName;
  const char* mUsage;
  const char* mPurpose;
  std::size_t mMinArguments;
  int (*mRun)(const Options&);
};

constexpr Command kCommands[] = {
  { "get", "KIND [NAME]", "print resources", 2, Get },
  { "put", "KIND NAME FILE", "write a resource", 4, Put },
  { "delete", "KIND NAME", "delete a resource", 3, Delete },
  { "import", "FILE", "write all resources of a configuration", 2, Import },
  { "drain", "TARGET", "stop sending new requests to a target", 2, Drain },
  { "undrain", "TARGET", "resume sending requests to a target", 2, Undrain },
  { "watch", "[VERSION]", "print changes as they are accepted", 1, Watch },
  { "status", "", "print accepted and in-force revisions", 1, Status },
  { "explain",
    "REQUEST",
    "print a request's steps and their reasons",
    2,
    Explain },
  { "routers", "", "print the routers' view of their targets", 1, Routers },
};

void
PrintHelp(const boost::program_options::options_description& aDescription)
{
  std::cout << kName << " [options] COMMAND ...\n\nCommands:\n";
  for (const Command& it : kCommands) {
    std::printf("  %-8s %-16s %s\n", it.mName, it.mUsage, it.mPurpose);
  }
  std::fflush(stdout);
  std::cout << "\n"
            << aDescription
            << "\nExit codes: 0 success, 1 rejected or no response, 2 invalid "
               "command line.\n";
}

int
RunCommand(const Options& aOptions)
{
  const std::string name = GetArgument(aOptions, 0);
  for (const Command& it : kCommands) {
    if (name != it.mName) {
      continue;
    }
    if (aOptions.mArguments.size() < it.mMinArguments) {
      PrintError(kName, name + " requires " + it.mUsage);
      return ExitBadUsage;
    }
    return it.mRun(aOptions);
  }
  PrintError(kName, "unknown command \"" + name + "\"; see --help");
  return ExitBadUsage;
}

int
Main(int aArgc, char** aArgv)
{
  namespace po = boost::program_options;
  Options options;
  po::options_description description("Options");
  description.add_options()("help", "print this help and exit")(
    "version", "print the version and exit")(
    "api",
    po::value(&options.mApi)->value_name("IP:PORT"),
    "address of the resource API")(
    "key", po::value(&options.mKey), "operator's API key")(
    "router",
    po::value(&options.mRouters)->value_name("IP:PORT"),
    "router to query; may be repeated")(
    "if-match",
    po::value(&options.mIfMatch),
    "expected version of the resource, 0 for a new one")(
    "operation",
    po::value(&options.mOperation),
    "idempotency key that makes retries safe")(
    "wait",
    po::value(&options.mWaitMs)->value_name("MS"),
    "status: longest wait for the revision to be in force everywhere");
  po::options_description all;
  all.add(description).add_options()("words", po::value(&options.mArguments));
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
    PrintError(kName, error.what());
    return ExitBadUsage;
  }
  if (values.count("help") != 0 || aArgc == 1) {
    PrintHelp(description);
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
