#include "platform/PlatformRequests.h"

#include "core/Hash.h"
#include "http/JsonText.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <string_view>

namespace quetzalquay::platform {

const char kReadinessPath[] = "/readiness";

namespace {

constexpr char kRequestId[] = "X-Request-Id";
constexpr char kDeadline[] = "X-Deadline-Ms";
// Number of prompt tokens and maximum number of output tokens.
constexpr char kTokenCounts[] = "X-Token-Counts";

// Largest token count of a request, so that the sums of many cannot overflow.
constexpr int kMaxTokens = 500000;

// Most requests that a target is taken to have, so that the sums of many counts
// cannot overflow.
constexpr int kMaxRequests = 1000000;

// Range of a target's slowness, in hundredths of the usual time.
constexpr int kMinSlowness = 1;
constexpr int kMaxSlowness = 100000;

// Parts of the prompt as ID:TOKENS, separated by commas.
constexpr char kPromptParts[] = "X-Prompt-Prefix";
constexpr char kLastEventId[] = "Last-Event-Id";
// ID of the caller's attempt that brought the first event of a stream.
constexpr char kOriginRequestId[] = "Resumes";
constexpr char kAuthorization[] = "Authorization";
constexpr char kBearer[] = "Bearer ";
constexpr char kWorkspace[] = "X-Tenant";
constexpr char kExpectedTarget[] = "X-Expected-Instance";
constexpr char kUrgency[] = "X-Request-Urgency";
// Address of the target that holds the copy. Despite the field's name it is not
// a fallback target for the request.
constexpr char kCopyHolder[] = "X-Kv-Backup";
// Address of the copy, a slash and its ID.
constexpr char kCopySource[] = "Kv-From";
constexpr char kSignature[] = "X-Server-Seal";
constexpr char kTargetName[] = "X-Instance-Id";
constexpr char kNotExecuted[] = "X-Not-Executed";
// Requests running, requests waiting and slots.
constexpr char kServerLoad[] = "X-Server-Load";

// Requests a second that the target takes from all hosts together. Despite its
// name, it does not limit a server but what is sent to it.
constexpr char kRequestLimit[] = "Server-Limit";

// Requests that a target can turn away in one second for want of room; one more
// and it falls over.
constexpr char kBrittle[] = "Server-Brittle";

// "1" in all answers of a target that leaves.
constexpr char kLeaving[] = "Server-Leaving";

// In a target's 503: seconds for which it wants nothing from this host.
constexpr char kRetryAfter[] = "Retry-After";

constexpr int kStatusMisdirected = 421;
constexpr int kStatusUnavailable = 503;

// Longest time that is decoded; more is that long.
constexpr double kMaxWaitSeconds = 86400;

// Most rejections a second that are decoded; more are that many.
constexpr int kMaxRejections = 1000;

// Fields that only the gateway may set.
constexpr std::array<std::string_view, 12> kGatewayOnlyRequestFields = {
  kDeadline,       kLastEventId,         kAuthorization, kWorkspace,
  kExpectedTarget, "X-Expected-Version", kUrgency,       kCopyHolder,
  kCopySource,     "Kv-Fetch",           "X-Cache-Hold", "X-Pin-Ms",
};

// Fields that are forwarded even when the caller lists them in Connection.
constexpr std::array<std::string_view, 6> kEndToEndFields = {
  kRequestId,   "X-Model",       kTokenCounts,
  kPromptParts, "X-Length-Hint", kOriginRequestId,
};

bool
ContainsFieldName(std::string_view aName,
                  const std::string_view* aList,
                  std::size_t aSize)
{
  return std::any_of(aList, aList + aSize, [&](std::string_view aEntry) {
    return EqualsIgnoreCase(aEntry, aName);
  });
}

std::string
FieldValue(const HttpHead& aHead, std::string_view aName)
{
  const std::string* value = aHead.Find(aName);
  return value == nullptr ? std::string() : *value;
}

// Parses integers separated by commas and returns their number. Stops at the
// first that is malformed.
template<std::size_t N>
std::size_t
ParseIntegers(std::string_view aText, std::array<int, N>& aNumbers)
{
  std::size_t n = 0;
  const char* at = aText.data();
  const char* end = at + aText.size();
  while (n < N && at < end) {
    const auto parsed = std::from_chars(at, end, aNumbers[n]);
    if (parsed.ec != std::errc()) {
      break;
    }
    ++n;
    at = parsed.ptr < end && *parsed.ptr == ',' ? parsed.ptr + 1 : end;
  }
  return n;
}

// Returns the hashes of the IDs in a list of parts, without the last part.
// IDs are compared as text, so that a malformed one is a part like any other.
std::vector<std::uint64_t>
HashParts(std::string_view aList)
{
  std::vector<std::uint64_t> hashes;
  for (std::size_t end = aList.find(','); end != std::string_view::npos;
       end = aList.find(',')) {
    std::string_view id = aList.substr(0, end);
    id = id.substr(0, id.find(':'));
    id.remove_prefix(std::min(id.find_first_not_of(" \t"), id.size()));
    id = id.substr(0, id.find_last_not_of(" \t") + 1);
    if (!id.empty()) {
      hashes.push_back(StableHash(id));
    }
    aList.remove_prefix(end + 1);
  }
  return hashes;
}

// Parses a decimal number that is not negative.
std::optional<double>
ParseRate(const std::string& aText)
{
  double rate = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed =
    std::from_chars(aText.data(), end, rate, std::chars_format::fixed);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == end &&
                     std::isfinite(rate) && rate >= 0;
  return valid ? std::make_optional(rate) : std::nullopt;
}

// Begins the head of a request that is forwarded: the start line, and the
// caller's fields without hop-by-hop fields and fields that only the gateway
// may set.
std::string
BeginForwardedHead(const HttpHead& aCaller)
{
  std::string head = aCaller.mMethod + " " + aCaller.mTarget + " HTTP/1.1\r\n";
  for (const HttpField& it : aCaller.mFields) {
    const bool endToEnd = ContainsFieldName(
      it.mName, kEndToEndFields.data(), kEndToEndFields.size());
    const bool dropped = ContainsFieldName(it.mName,
                                           kGatewayOnlyRequestFields.data(),
                                           kGatewayOnlyRequestFields.size()) ||
                         EqualsIgnoreCase(it.mName, "Content-Length") ||
                         EqualsIgnoreCase(it.mName, "Expect") ||
                         (!endToEnd && !EqualsIgnoreCase(it.mName, "Host") &&
                          IsHopByHop(aCaller, it.mName));
    if (!dropped) {
      AppendField(head, it.mName, it.mValue);
    }
  }
  return head;
}

void
AppendTimeLeft(std::string& aHead, Duration aTimeLeft)
{
  const auto left =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTimeLeft);
  AppendField(aHead, kDeadline, std::to_string(left.count()));
}

void
EndForwardedHead(std::string& aHead,
                 const HttpHead& aCaller,
                 std::size_t aBodyBytes)
{
  if (aBodyBytes > 0 || aCaller.mLength || aCaller.mChunked) {
    AppendField(aHead, "Content-Length", std::to_string(aBodyBytes));
  }
  aHead += "\r\n";
}

// Parses a positive whole number of any length.
std::optional<int>
ParseRejections(const std::string& aText)
{
  const bool digits =
    !aText.empty() && std::all_of(aText.begin(), aText.end(), [](char aChar) {
      return aChar >= '0' && aChar <= '9';
    });
  if (!digits || aText.find_first_not_of('0') == std::string::npos) {
    return std::nullopt;
  }
  int number = kMaxRejections;
  const char* end = aText.data() + aText.size();
  if (std::from_chars(aText.data(), end, number).ec != std::errc()) {
    // More than an int holds.
    number = kMaxRejections;
  }
  return std::min(number, kMaxRejections);
}

std::optional<Duration>
ParseKeepAliveTimeout(const HttpHead& aHead)
{
  const std::string* value = aHead.Find("Keep-Alive");
  const auto at =
    value == nullptr ? std::string::npos : value->find("timeout=");
  if (at == std::string::npos) {
    return std::nullopt;
  }
  std::array<int, 1> seconds{};
  if (ParseIntegers(std::string_view(*value).substr(at + 8), seconds) == 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds[0]);
}

} // namespace

CallerRequest
DecodeCallerRequest(const HttpHead& aHead)
{
  CallerRequest request;
  request.mRequestId = FieldValue(aHead, kRequestId);
  request.mHost = FieldValue(aHead, "Host");
  request.mLastEventId = FieldValue(aHead, kLastEventId);
  request.mOriginRequestId = FieldValue(aHead, kOriginRequestId);
  std::array<int, 1> timeoutMs{};
  if (ParseIntegers(FieldValue(aHead, kDeadline), timeoutMs) == 1) {
    request.mCallerTimeout = std::chrono::milliseconds(timeoutMs[0]);
  }
  const std::string key = FieldValue(aHead, kAuthorization);
  const std::string_view bearer(kBearer);
  if (key.size() > bearer.size() &&
      EqualsIgnoreCase(std::string_view(key).substr(0, bearer.size()),
                       bearer)) {
    request.mApiKey = key.substr(
      std::min(key.find_first_not_of(' ', bearer.size()), key.size()));
  }
  std::array<int, 2> tokens{};
  if (ParseIntegers(FieldValue(aHead, kTokenCounts), tokens) == 2) {
    request.mPromptTokens = std::clamp(tokens[0], 0, kMaxTokens);
    request.mOutputTokens = std::clamp(tokens[1], 0, kMaxTokens);
  }
  // A list may be spread over several fields of its name.
  std::string parts;
  for (const HttpField& it : aHead.mFields) {
    if (EqualsIgnoreCase(it.mName, kPromptParts)) {
      parts += (parts.empty() ? "" : ",") + it.mValue;
    }
  }
  request.mPromptParts = HashParts(parts);
  return request;
}

std::string
EncodeAttempt(const HttpHead& aCaller,
              const AttemptFields& aFields,
              std::size_t aBodyBytes)
{
  std::string head = BeginForwardedHead(aCaller);
  AppendTimeLeft(head, aFields.mTimeLeft);
  AppendField(head, kExpectedTarget, aFields.mTarget);
  if (!aFields.mWorkspace.empty()) {
    AppendField(head, kWorkspace, aFields.mWorkspace);
  }
  if (!aFields.mLastEventId.empty()) {
    AppendField(head, kLastEventId, aFields.mLastEventId);
  }
  if (!aFields.mCopyHolderAddress.empty()) {
    AppendField(head, kCopyHolder, aFields.mCopyHolderAddress);
  }
  if (aFields.mCopy) {
    AppendField(
      head, kCopySource, aFields.mCopy->mAddress + "/" + aFields.mCopy->mId);
  }
  if (aFields.mUrgency) {
    AppendField(head, kUrgency, std::to_string(*aFields.mUrgency));
  }
  EndForwardedHead(head, aCaller, aBodyBytes);
  return head;
}

std::string
EncodePassedOn(const HttpHead& aCaller,
               const PassedOnHead& aFields,
               std::size_t aBodyBytes)
{
  std::string head = BeginForwardedHead(aCaller);
  AppendTimeLeft(head, aFields.mTimeLeft);
  if (const std::string* key = aCaller.Find(kAuthorization)) {
    AppendField(head, kAuthorization, *key);
  }
  if (!aFields.mLastEventId.empty()) {
    AppendField(head, kLastEventId, aFields.mLastEventId);
  }
  head += aFields.mOwnFields;
  EndForwardedHead(head, aCaller, aBodyBytes);
  return head;
}

TargetResponse
DecodeTargetResponse(const HttpHead& aHead)
{
  TargetResponse response;
  response.mRequestId = FieldValue(aHead, kRequestId);
  response.mSigned = !FieldValue(aHead, kSignature).empty();
  response.mMisdirected = aHead.mStatus == kStatusMisdirected;
  response.mTarget = FieldValue(aHead, kTargetName);
  response.mNotRun =
    response.mMisdirected || aHead.Find(kNotExecuted) != nullptr;
  std::array<int, 4> load{};
  const std::string serverLoad = FieldValue(aHead, kServerLoad);
  const std::size_t figures = ParseIntegers(serverLoad, load);
  if (figures >= 2) {
    response.mRunning = std::clamp(load[0], 0, kMaxRequests);
    response.mWaiting = std::clamp(load[1], 0, kMaxRequests);
  }
  if (figures == 4 && load[3] >= kMinSlowness && load[3] <= kMaxSlowness) {
    response.mSlowness = load[3] / 100.0;
  } else if (std::count(serverLoad.begin(), serverLoad.end(), ',') > 2) {
    response.mMalformedSlowness = serverLoad;
  }
  if (const std::string* limit = aHead.Find(kRequestLimit)) {
    response.mRequestLimit = ParseRate(*limit);
    if (!response.mRequestLimit) {
      response.mMalformedLimit = limit->empty() ? "empty" : *limit;
    }
  }
  if (const std::string* brittle = aHead.Find(kBrittle)) {
    response.mBrittle = ParseRejections(*brittle);
    if (!response.mBrittle) {
      response.mMalformedBrittle = brittle->empty() ? "empty" : *brittle;
    }
  }
  const std::string* wait = aHead.Find(kRetryAfter);
  if (aHead.mStatus == kStatusUnavailable && wait != nullptr) {
    if (const auto seconds = ParseRate(*wait)) {
      response.mWait = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(*seconds, kMaxWaitSeconds)));
    } else {
      response.mMalformedWait = wait->empty() ? "empty" : *wait;
    }
  }
  response.mLeaving = FieldValue(aHead, kLeaving) == "1";
  response.mKeepAliveTimeout = ParseKeepAliveTimeout(aHead);
  return response;
}

bool
IsGatewayOnlyField(std::string_view aName)
{
  return EqualsIgnoreCase(aName, kServerLoad) ||
         EqualsIgnoreCase(aName, kRequestLimit) ||
         EqualsIgnoreCase(aName, kBrittle);
}

bool
IsAskOfTarget(const HttpHead& aHead, std::string_view aName)
{
  return aHead.mStatus == kStatusUnavailable &&
         EqualsIgnoreCase(aName, kRetryAfter);
}

void
AppendRetryAfter(std::string& aFields, Duration aAfter)
{
  if (aAfter > Duration::zero()) {
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.2f", ToMilliseconds(aAfter) / 1000);
    AppendField(aFields, kRetryAfter, buf);
  }
}

void
AppendRequestId(std::string& aFields, const std::string& aRequestId)
{
  if (!aRequestId.empty()) {
    AppendField(aFields, kRequestId, aRequestId);
  }
}

std::string
EncodeReportRequest(const std::string& aAddress)
{
  return "GET /report HTTP/1.1\r\nHost: " + aAddress + "\r\n\r\n";
}

std::optional<TargetReport>
DecodeReport(const std::string& aBody, std::string& aReason)
{
  rapidjson::Document json;
  ParseJson(json, aBody);
  if (json.HasParseError() || !json.IsObject()) {
    aReason = "the status report is not a JSON object";
    return std::nullopt;
  }
  const auto readCount = [&json](const char* aName) {
    const auto it = json.FindMember(aName);
    return it != json.MemberEnd() && it->value.IsNumber()
             ? static_cast<int>(
                 std::clamp<double>(it->value.GetDouble(), 0, kMaxRequests))
             : 0;
  };
  TargetReport report;
  report.mRunning = readCount("ActiveRequests");
  report.mWaiting = readCount("QueuedRequests");
  // Each run is an array: request ID, tokens in the KV cache, events produced,
  // priority.
  constexpr rapidjson::SizeType kEventsIndex = 2;
  const auto runs = json.FindMember("Runs");
  if (runs != json.MemberEnd() && runs->value.IsArray()) {
    for (const auto& it : runs->value.GetArray()) {
      if (it.IsArray() && it.Size() > kEventsIndex && it[0].IsString() &&
          it[kEventsIndex].IsInt()) {
        report.mRuns.push_back(
          { it[0].GetString(), it[kEventsIndex].GetInt() });
      }
    }
  }
  const auto models = json.FindMember("Models");
  report.mEngine = models != json.MemberEnd() && models->value.IsArray() &&
                   !models->value.Empty();
  const auto born = json.FindMember("born");
  if (born != json.MemberEnd() && born->value.IsInt64()) {
    report.mIncarnation = std::to_string(born->value.GetInt64());
  }
  return report;
}

std::string
EncodeCopyOrder(const std::string& aAddress,
                const std::string& aRequestId,
                const std::string& aToAddress)
{
  rapidjson::StringBuffer buf;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buf);
  writer.StartObject();
  writer.Key("Id");
  writer.String(aRequestId.c_str());
  writer.Key("To");
  writer.String(aToAddress.c_str());
  writer.EndObject();
  return "POST /kv-move HTTP/1.1\r\nHost: " + aAddress +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(buf.GetSize()) + "\r\n\r\n" + buf.GetString();
}

std::optional<std::string>
DecodeCopyHandle(const std::string& aBody, std::string& aReason)
{
  rapidjson::Document json;
  ParseJson(json, aBody);
  if (json.HasParseError() || !json.IsObject()) {
    aReason = "the response to the copy request is not a JSON object";
    return std::nullopt;
  }
  const auto handle = json.FindMember("Handle");
  if (handle != json.MemberEnd() && handle->value.IsString()) {
    std::string text(handle->value.GetString(),
                     handle->value.GetStringLength());
    // It becomes a part of request lines and fields.
    if (text.empty() ||
        !std::all_of(text.begin(), text.end(), [](unsigned char aChar) {
          return std::isgraph(aChar) != 0;
        })) {
      aReason = "the handle of the copy is not a plain word";
      return std::nullopt;
    }
    return text;
  }
  if (handle != json.MemberEnd() && handle->value.IsInt64()) {
    return std::to_string(handle->value.GetInt64());
  }
  aReason = "the response to the copy request has no handle";
  return std::nullopt;
}

std::string
EncodeCopyRelease(const std::string& aAddress, const std::string& aHandle)
{
  return "DELETE /kv-handle/" + aHandle + " HTTP/1.1\r\nHost: " + aAddress +
         "\r\n\r\n";
}

} // namespace quetzalquay::platform
