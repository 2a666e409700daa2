#include "platform/PlatformRequests.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <string_view>

namespace quetzalquay::platform {

const char kReadinessPath[] = "/readiness";

namespace {

constexpr char kRequestId[] = "X-Request-Id";
constexpr char kTimeLeft[] = "X-Deadline-Ms";
// Prompt tokens, then the most output tokens.
constexpr char kTokenCounts[] = "X-Token-Counts";
constexpr char kLastEventId[] = "Last-Event-Id";
constexpr char kAuthorization[] = "Authorization";
constexpr char kBearer[] = "Bearer ";
constexpr char kWorkspace[] = "X-Tenant";
constexpr char kExpectedTarget[] = "X-Expected-Instance";
constexpr char kUrgency[] = "X-Request-Urgency";
// Where the copy goes, despite its name not a fallback for the request.
constexpr char kCopyTo[] = "X-Kv-Backup";
// An address, a slash, and the copy's id.
constexpr char kCopyAt[] = "Kv-From";
constexpr char kSignature[] = "X-Server-Seal";
constexpr char kTargetName[] = "X-Instance-Id";
constexpr char kNotRun[] = "X-Not-Executed";
// Running, waiting and slots.
constexpr char kLoad[] = "X-Server-Load";

constexpr int kMisdirected = 421;

// Fields that only the gateway may set.
constexpr std::array<std::string_view, 12> kSystemFields = {
  kTimeLeft,       kLastEventId,         kAuthorization, kWorkspace,
  kExpectedTarget, "X-Expected-Version", kUrgency,       kCopyTo,
  kCopyAt,         "Kv-Fetch",           "X-Cache-Hold", "X-Pin-Ms",
};

// Fields that a request keeps even when its sender names them in Connection.
constexpr std::array<std::string_view, 5> kEndToEnd = {
  kRequestId, "X-Model", kTokenCounts, "X-Prompt-Prefix", "X-Length-Hint",
};

bool
IsOneOf(std::string_view aName,
        const std::string_view* aList,
        std::size_t aSize)
{
  return std::any_of(aList, aList + aSize, [&](std::string_view aEntry) {
    return SameFieldName(aEntry, aName);
  });
}

std::string
ValueOf(const HttpHead& aHead, std::string_view aName)
{
  const std::string* value = aHead.Find(aName);
  return value == nullptr ? std::string() : *value;
}

// Whole numbers separated by commas; stops at the first that is not one.
template<std::size_t N>
std::size_t
ParseNumbers(std::string_view aText, std::array<int, N>& aNumbers)
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

std::optional<Duration>
KeptFor(const HttpHead& aHead)
{
  const std::string* value = aHead.Find("Keep-Alive");
  const auto at =
    value == nullptr ? std::string::npos : value->find("timeout=");
  if (at == std::string::npos) {
    return std::nullopt;
  }
  std::array<int, 1> seconds{};
  if (ParseNumbers(std::string_view(*value).substr(at + 8), seconds) == 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds[0]);
}

} // namespace

CallerRequest
DecodeCaller(const HttpHead& aHead)
{
  CallerRequest request;
  request.mRequestId = ValueOf(aHead, kRequestId);
  request.mHost = ValueOf(aHead, "Host");
  request.mLastEventId = ValueOf(aHead, kLastEventId);
  std::array<int, 1> patience{};
  if (ParseNumbers(ValueOf(aHead, kTimeLeft), patience) == 1) {
    request.mPatience = std::chrono::milliseconds(patience[0]);
  }
  const std::string key = ValueOf(aHead, kAuthorization);
  const std::string_view bearer(kBearer);
  if (key.size() > bearer.size() &&
      SameFieldName(std::string_view(key).substr(0, bearer.size()), bearer)) {
    request.mKey = key.substr(bearer.size());
  }
  std::array<int, 2> tokens{};
  if (ParseNumbers(ValueOf(aHead, kTokenCounts), tokens) == 2) {
    request.mPromptTokens = std::max(0, tokens[0]);
    request.mOutputTokens = std::max(0, tokens[1]);
  }
  return request;
}

std::string
EncodeAttempt(const HttpHead& aCaller,
              const AttemptFields& aFields,
              std::size_t aBodyBytes)
{
  std::string head = aCaller.mMethod + " " + aCaller.mTarget + " HTTP/1.1\r\n";
  for (const HttpField& it : aCaller.mFields) {
    const bool endToEnd = IsOneOf(it.mName, kEndToEnd.data(), kEndToEnd.size());
    const bool dropped =
      IsOneOf(it.mName, kSystemFields.data(), kSystemFields.size()) ||
      SameFieldName(it.mName, "Content-Length") ||
      SameFieldName(it.mName, "Expect") ||
      (!endToEnd && !SameFieldName(it.mName, "Host") &&
       IsHopByHop(aCaller, it.mName));
    if (!dropped) {
      AppendField(head, it.mName, it.mValue);
    }
  }
  const auto left =
    std::chrono::duration_cast<std::chrono::milliseconds>(aFields.mTimeLeft);
  AppendField(head, kTimeLeft, std::to_string(left.count()));
  AppendField(head, kExpectedTarget, aFields.mTarget);
  if (!aFields.mWorkspace.empty()) {
    AppendField(head, kWorkspace, aFields.mWorkspace);
  }
  if (!aFields.mLastEventId.empty()) {
    AppendField(head, kLastEventId, aFields.mLastEventId);
  }
  if (!aFields.mCopyTo.empty()) {
    AppendField(head, kCopyTo, aFields.mCopyTo);
  }
  if (aFields.mCopy) {
    AppendField(
      head, kCopyAt, aFields.mCopy->mAddress + "/" + aFields.mCopy->mId);
  }
  if (aFields.mUrgency) {
    AppendField(head, kUrgency, std::to_string(*aFields.mUrgency));
  }
  if (aBodyBytes > 0 || aCaller.mLength || aCaller.mChunked) {
    AppendField(head, "Content-Length", std::to_string(aBodyBytes));
  }
  return head += "\r\n";
}

TargetAnswer
DecodeAnswer(const HttpHead& aHead)
{
  TargetAnswer answer;
  answer.mRequestId = ValueOf(aHead, kRequestId);
  answer.mSigned = !ValueOf(aHead, kSignature).empty();
  answer.mWrongTarget = aHead.mStatus == kMisdirected;
  answer.mTarget = ValueOf(aHead, kTargetName);
  answer.mNotRun = answer.mWrongTarget || aHead.Find(kNotRun) != nullptr;
  std::array<int, 3> load{};
  if (ParseNumbers(ValueOf(aHead, kLoad), load) >= 2) {
    answer.mRunning = load[0];
    answer.mWaiting = load[1];
  }
  answer.mKeptFor = KeptFor(aHead);
  return answer;
}

bool
IsGatewayField(std::string_view aName)
{
  return SameFieldName(aName, kLoad);
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
  json.Parse(aBody.data(), aBody.size());
  if (json.HasParseError() || !json.IsObject()) {
    aReason = "the target's report is not a JSON object";
    return std::nullopt;
  }
  const auto number = [&json](const char* aName) {
    const auto it = json.FindMember(aName);
    return it != json.MemberEnd() && it->value.IsInt() ? it->value.GetInt() : 0;
  };
  TargetReport report;
  report.mRunning = number("ActiveRequests");
  report.mWaiting = number("QueuedRequests");
  // Each run is a list of its id, tokens in memory, events made and priority.
  constexpr rapidjson::SizeType kEventsAt = 2;
  const auto runs = json.FindMember("Runs");
  if (runs != json.MemberEnd() && runs->value.IsArray()) {
    for (const auto& it : runs->value.GetArray()) {
      if (it.IsArray() && it.Size() > kEventsAt && it[0].IsString() &&
          it[kEventsAt].IsInt()) {
        report.mRuns.push_back({ it[0].GetString(), it[kEventsAt].GetInt() });
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
DecodeCopyMade(const std::string& aBody, std::string& aReason)
{
  rapidjson::Document json;
  json.Parse(aBody.data(), aBody.size());
  if (json.HasParseError() || !json.IsObject()) {
    aReason = "the answer to a copy's order is not a JSON object";
    return std::nullopt;
  }
  const auto handle = json.FindMember("Handle");
  if (handle != json.MemberEnd() && handle->value.IsString()) {
    return std::string(handle->value.GetString());
  }
  if (handle != json.MemberEnd() && handle->value.IsInt64()) {
    return std::to_string(handle->value.GetInt64());
  }
  aReason = "the answer to a copy's order names no handle";
  return std::nullopt;
}

std::string
EncodeCopyRelease(const std::string& aAddress, const std::string& aHandle)
{
  return "DELETE /kv-handle/" + aHandle + " HTTP/1.1\r\nHost: " + aAddress +
         "\r\n\r\n";
}

} // namespace quetzalquay::platform
