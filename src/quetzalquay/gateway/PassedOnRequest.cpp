#include "gateway/PassedOnRequest.h"

#include "core/NameTable.h"

#include <algorithm>
#include <charconv>

namespace quetzalquay {

const char kHostCheckPath[] = "/host-check";

namespace {

// Begins the names of all fields that hosts use among themselves.
constexpr std::string_view kPrefix = "X-Passed-";

constexpr char kFrom[] = "X-Passed-From";
constexpr char kConfiguration[] = "X-Passed-Configuration";
constexpr char kAge[] = "X-Passed-Age-Ms";
constexpr char kService[] = "X-Passed-Service";
constexpr char kSoftware[] = "X-Passed-Software";
constexpr char kResumed[] = "X-Passed-Resumed";
constexpr char kTries[] = "X-Passed-Tries";
constexpr char kRuns[] = "X-Passed-Runs";
constexpr char kCounted[] = "X-Passed-Counted";
constexpr char kSent[] = "X-Passed-Sent";
constexpr char kRunMark[] = "X-Passed-Run-Mark";
constexpr char kRefusedBy[] = "X-Passed-Refused-By";
constexpr char kVerdict[] = "X-Passed-Verdict";

constexpr NameTable<RefusedBy, 2> kRefusedByNames({ "request", "host" });

// Largest number of a field, so that sums of a few cannot overflow.
constexpr std::int64_t kMaxNumber = 1000000000;

// Longest mark of lines that state runs. Longer ones are taken for none.
constexpr std::size_t kMaxMarkBytes = 64;

std::string
TextOf(const HttpHead& aHead, const char* aName)
{
  const std::string* value = aHead.Find(aName);
  return value == nullptr ? std::string() : *value;
}

bool
ParseNumber(const HttpHead& aHead,
            const char* aName,
            std::int64_t aMax,
            std::int64_t& aNumber)
{
  const std::string text = TextOf(aHead, aName);
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, aNumber);
  return parsed.ec == std::errc() && parsed.ptr == end && aNumber >= 0 &&
         aNumber <= aMax;
}

bool
ParseFlag(const HttpHead& aHead, const char* aName, bool& aFlag)
{
  std::int64_t number = 0;
  const bool valid = ParseNumber(aHead, aName, 1, number);
  aFlag = number == 1;
  return valid;
}

bool
ParseCount(const HttpHead& aHead, const char* aName, int& aCount)
{
  std::int64_t number = 0;
  const bool valid = ParseNumber(aHead, aName, kMaxNumber, number);
  aCount = static_cast<int>(number);
  return valid;
}

} // namespace

std::string
FormatPassedOnRequest(const PassedOnRequest& aRequest)
{
  std::string fields;
  const auto age =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRequest.mAge);
  AppendField(fields, kFrom, aRequest.mFrom);
  AppendField(fields, kConfiguration, std::to_string(aRequest.mConfiguration));
  AppendField(fields, kAge, std::to_string(age.count()));
  AppendField(fields, kService, aRequest.mService);
  if (!aRequest.mSoftwareVersion.empty()) {
    AppendField(fields, kSoftware, aRequest.mSoftwareVersion);
  }
  AppendField(fields, kResumed, aRequest.mResumed ? "1" : "0");
  AppendField(fields, kTries, std::to_string(aRequest.mTries));
  AppendField(fields, kRuns, std::to_string(aRequest.mPrior.mRuns));
  AppendField(fields, kCounted, aRequest.mPrior.mCounted ? "1" : "0");
  AppendField(fields, kSent, aRequest.mPrior.mSent ? "1" : "0");
  if (!aRequest.mRunMark.empty()) {
    AppendField(fields, kRunMark, aRequest.mRunMark);
  }
  return fields;
}

std::optional<PassedOnRequest>
ParsePassedOnRequest(const HttpHead& aHead)
{
  PassedOnRequest request;
  std::int64_t age = 0;
  request.mFrom = TextOf(aHead, kFrom);
  request.mService = TextOf(aHead, kService);
  request.mSoftwareVersion = TextOf(aHead, kSoftware);
  const bool valid =
    request.IsPassedOn() && !request.mService.empty() &&
    ParseNumber(aHead, kConfiguration, INT64_MAX, request.mConfiguration) &&
    ParseNumber(aHead, kAge, kMaxNumber, age) &&
    ParseFlag(aHead, kResumed, request.mResumed) &&
    ParseCount(aHead, kTries, request.mTries) &&
    ParseCount(aHead, kRuns, request.mPrior.mRuns) &&
    ParseFlag(aHead, kCounted, request.mPrior.mCounted) &&
    ParseFlag(aHead, kSent, request.mPrior.mSent);
  if (!valid) {
    return std::nullopt;
  }
  request.mAge = std::chrono::milliseconds(age);
  request.mRunMark = TextOf(aHead, kRunMark);
  if (request.mRunMark.size() > kMaxMarkBytes) {
    request.mRunMark.clear();
  }
  return request;
}

bool
IsHostField(std::string_view aName)
{
  return EqualsIgnoreCase(aName.substr(0, kPrefix.size()), kPrefix);
}

void
RemoveHostFields(HttpHead& aHead)
{
  auto& fields = aHead.mFields;
  fields.erase(std::remove_if(fields.begin(),
                              fields.end(),
                              [](const HttpField& aField) {
                                return IsHostField(aField.mName);
                              }),
               fields.end());
}

std::string
FormatHostFailure(RunVerdict aVerdict, RefusedBy aReason, int aRuns)
{
  std::string fields;
  AppendField(fields, kVerdict, NameOf(aVerdict));
  AppendField(fields, kRefusedBy, kRefusedByNames.NameOf(aReason));
  AppendField(fields, kRuns, std::to_string(aRuns));
  return fields;
}

std::string
FormatRunCount(int aRuns)
{
  std::string fields;
  AppendField(fields, kRuns, std::to_string(aRuns));
  return fields;
}

// A comment of the event stream.
std::string
FormatRunLine(const std::string& aMark, int aRuns)
{
  return aMark.empty() ? std::string()
                       : ":" + aMark + " " + std::to_string(aRuns) + "\n\n";
}

std::optional<int>
ParseRunLine(const std::string& aMark, std::string_view aBytes)
{
  const std::string begin = ":" + aMark + " ";
  if (aMark.empty() || aBytes.substr(0, begin.size()) != begin) {
    return std::nullopt;
  }
  int runs = 0;
  std::from_chars(
    aBytes.data() + begin.size(), aBytes.data() + aBytes.size(), runs);
  // What is not written exactly so is an event of the stream.
  return runs > 0 && runs <= kMaxNumber && FormatRunLine(aMark, runs) == aBytes
           ? std::make_optional(runs)
           : std::nullopt;
}

std::string
FormatStreamStart(const std::string& aService,
                  const std::string& aSoftwareVersion)
{
  std::string fields;
  AppendField(fields, kService, aService);
  AppendField(fields, kSoftware, aSoftwareVersion);
  return fields;
}

PassedOnAnswer
ParsePassedOnAnswer(const HttpHead& aHead)
{
  PassedOnAnswer answer;
  const auto verdict = ParseRunVerdict(TextOf(aHead, kVerdict));
  // A verdict that a later build has added may mean that the request has run.
  answer.mOwnFailure = aHead.Find(kVerdict) != nullptr;
  answer.mNotRun = verdict == RunVerdict::NotRun;
  answer.mRefusedBy = kRefusedByNames.ValueOf(TextOf(aHead, kRefusedBy))
                        .value_or(RefusedBy::Request);
  if (!ParseCount(aHead, kRuns, answer.mRuns)) {
    answer.mRuns = 0;
  }
  answer.mService = TextOf(aHead, kService);
  answer.mSoftwareVersion = TextOf(aHead, kSoftware);
  return answer;
}

} // namespace quetzalquay
