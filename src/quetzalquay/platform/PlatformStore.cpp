#include "platform/PlatformStore.h"

#include "core/NameTable.h"
#include "core/StoreEra.h"
#include "http/HttpHead.h"
#include "http/JsonText.h"

#include <algorithm>
#include <array>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <cctype>
#include <charconv>
#include <cmath>
#include <limits>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <utility>

namespace quetzalquay::platform {

const char kConfigurationKey[] = "config";
const char kRolloutKeyPrefix[] = "rollout/";

namespace {

using rapidjson::Value;

constexpr NameTable<StoreTable, 6> kLogNames({ "configuration",
                                               "targets",
                                               "hosts",
                                               "suspects",
                                               "stream_origins",
                                               "status" });

// The first two tables and the last one belong to the platform, the others to
// the gateway.
constexpr NameTable<StoreTable, 6> kTableNames({ "op",
                                                 "servers",
                                                 "gateway-hosts",
                                                 "gateway-suspects",
                                                 "gateway-streams",
                                                 "status" });

constexpr NameTable<CallKind, 3> kKindNames({ "safe", "unsafe", "streaming" });

// Longest part of a malformed text that a log line shows.
constexpr std::size_t kMaxShownBytes = 40;

// Bounds of numbers that others write. Sums and small multiples of them, and
// times that are so far ahead, stay within their types.
constexpr int kMaxCount = 1000000;
constexpr int kMaxTokens = 1000000000;
constexpr std::size_t kMaxBytes = 1U << 30U;
constexpr Duration kMaxDuration = std::chrono::hours(24);

// Rises by one each time the store comes back from an older copy.
constexpr char kReturnCount[] = "Store-Era";

// States of a rollout that the store tells.
constexpr const char* kRolloutStates[] = { "running",
                                           "completed",
                                           "rolled_back" };

constexpr char kReady[] = "ready";
constexpr char kDraining[] = "draining";

std::string
ToBase64(const std::string& aText)
{
  using namespace boost::archive::iterators;
  using Encoder =
    base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
  std::string text(Encoder(aText.begin()), Encoder(aText.end()));
  return text.append((3 - aText.size() % 3) % 3, '=');
}

// Encoders may break the text into lines.
bool
FromBase64(std::string aText, std::string& aValue)
{
  using namespace boost::archive::iterators;
  using Decoder = transform_width<binary_from_base64<const char*>, 8, 6>;
  aText.erase(std::remove_if(aText.begin(),
                             aText.end(),
                             [](unsigned char aCharacter) {
                               return std::isspace(aCharacter) != 0;
                             }),
              aText.end());
  // The alphabet for URLs.
  std::replace(aText.begin(), aText.end(), '-', '+');
  std::replace(aText.begin(), aText.end(), '_', '/');
  while (!aText.empty() && aText.back() == '=') {
    aText.pop_back();
  }
  const std::size_t size = aText.size() * 3 / 4;
  try {
    aValue.assign(size, '\0');
    Decoder at(aText.data());
    for (char& it : aValue) {
      it = *at;
      ++at;
    }
  } catch (const std::exception&) {
    // The caller reports the malformed row with its key.
    return false;
  }
  return true;
}

const Value*
GetMember(const Value& aObject, const char* aName)
{
  if (!aObject.IsObject()) {
    return nullptr;
  }
  const auto it = aObject.FindMember(aName);
  return it == aObject.MemberEnd() ? nullptr : &it->value;
}

std::string
GetText(const Value& aObject, const char* aName)
{
  const Value* value = GetMember(aObject, aName);
  return value != nullptr && value->IsString()
           ? std::string(value->GetString(), value->GetStringLength())
           : std::string();
}

bool
HasControlCharacter(const std::string& aText)
{
  return std::any_of(aText.begin(), aText.end(), [](char aCharacter) {
    return std::iscntrl(static_cast<unsigned char>(aCharacter)) != 0;
  });
}

// The nearest number from aMin to aMax.
template<typename Number>
Number
Clamp(double aNumber, Number aMin, Number aMax)
{
  // Written so that aMin stands for what is not a number.
  if (!(aNumber > static_cast<double>(aMin))) {
    return aMin;
  }
  return aNumber < static_cast<double>(aMax) ? static_cast<Number>(aNumber)
                                             : aMax;
}

template<typename Number>
Number
GetNumber(const Value& aObject,
          const char* aName,
          Number aMin,
          Number aMax,
          Number aDefault)
{
  const Value* value = GetMember(aObject, aName);
  return value != nullptr && value->IsNumber()
           ? Clamp(value->GetDouble(), aMin, aMax)
           : aDefault;
}

int
GetCount(const Value& aObject, const char* aName)
{
  return GetNumber(aObject, aName, 0, kMaxCount, 0);
}

int
GetPriority(const Value& aObject)
{
  return GetNumber(aObject, "Priority", -kMaxCount, kMaxCount, 0);
}

// Version written as digits, as a text or a number; 0 if it is not one.
std::int64_t
ParseVersion(std::string_view aText)
{
  std::int64_t version = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, version);
  if (result.ptr != end) {
    return 0;
  }
  return result.ec == std::errc::result_out_of_range
           ? std::numeric_limits<std::int64_t>::max()
           : version;
}

// A version, or time, that is a whole number, whichever way the writer's
// encoder writes it; the largest version for one beyond that, 0 for anything
// else.
std::int64_t
GetVersion(const Value& aObject, const char* aName)
{
  const Value* value = GetMember(aObject, aName);
  if (value == nullptr) {
    return 0;
  }
  if (value->IsInt64()) {
    return std::max<std::int64_t>(0, value->GetInt64());
  }
  if (value->IsString()) {
    return ParseVersion({ value->GetString(), value->GetStringLength() });
  }
  constexpr auto kLargest = std::numeric_limits<std::int64_t>::max();
  const bool isWhole =
    value->IsNumber() && std::trunc(value->GetDouble()) == value->GetDouble();
  return isWhole ? Clamp(value->GetDouble(), std::int64_t(0), kLargest) : 0;
}

bool
GetFlag(const Value& aObject, const char* aName)
{
  const Value* value = GetMember(aObject, aName);
  return value != nullptr && value->IsBool() && value->GetBool();
}

// A duration that is stored as a number of aUnit.
Duration
GetDuration(const Value& aObject,
            const char* aName,
            Duration aUnit = std::chrono::milliseconds(1))
{
  const Value* value = GetMember(aObject, aName);
  return value != nullptr && value->IsNumber()
           ? Duration(
               Clamp(value->GetDouble() * static_cast<double>(aUnit.count()),
                     Duration::rep(0),
                     kMaxDuration.count()))
           : Duration::zero();
}

template<typename Function>
void
ForEachElement(const Value& aObject, const char* aName, Function aFunction)
{
  const Value* list = GetMember(aObject, aName);
  if (list == nullptr || !list->IsArray()) {
    return;
  }
  for (const Value& it : list->GetArray()) {
    aFunction(it);
  }
}

std::string
EncodeGet(const std::string& aHost, const std::string& aPath)
{
  return "GET " + aPath + " HTTP/1.1\r\nHost: " + aHost + "\r\n\r\n";
}

std::string
PercentEncode(const std::string& aText)
{
  constexpr char kHexDigits[] = "0123456789ABCDEF";
  std::string text;
  for (const char it : aText) {
    const auto c = static_cast<unsigned char>(it);
    if (std::isalnum(c) != 0 || it == '-' || it == '.' || it == '_') {
      text.push_back(it);
    } else {
      text.push_back('%');
      text.push_back(kHexDigits[c >> 4U]);
      text.push_back(kHexDigits[c & 15U]);
    }
  }
  return text;
}

void
WriteString(rapidjson::Writer<rapidjson::StringBuffer>& aWriter,
            const char* aName,
            std::string_view aValue)
{
  aWriter.Key(aName);
  aWriter.String(aValue.data(),
                 static_cast<rapidjson::SizeType>(aValue.size()));
}

Route
DecodeRoute(const Value& aRoute)
{
  Route route;
  route.mName = GetText(aRoute, "Name");
  route.mHost = GetText(aRoute, "Host");
  route.mPathPrefix = GetText(aRoute, "PathPrefix");
  // Requests of an unknown kind are treated as not idempotent.
  route.mKind = kKindNames.ValueOf(GetText(aRoute, "Kind"))
                  .value_or(CallKind::NonIdempotent);
  route.mResumable = GetFlag(aRoute, "StreamResumption");
  route.mPublic = GetFlag(aRoute, "Public");
  route.mTimeout = GetDuration(aRoute, "TimeoutMs");
  // Despite the member's name, the latency of the whole response, not that of
  // one attempt.
  route.mLatencyObjective = GetDuration(aRoute, "TargetLatencyMs");
  route.mEventGapObjective = GetDuration(aRoute, "GapTargetMs");
  route.mPriority = GetPriority(aRoute);
  route.mMaxAttempts = GetNumber(aRoute, "MaxAttempts", 1, kMaxCount, 1);
  ForEachElement(aRoute, "TrafficSplit", [&route](const Value& aShare) {
    route.mServices.push_back(
      { GetText(aShare, "Service"),
        GetNumber(
          aShare, "Weight", 0.0, static_cast<double>(kMaxCount), 1.0) });
  });
  const std::string service = GetText(aRoute, "Service");
  if (!service.empty() && route.mServices.empty()) {
    route.mServices.push_back({ service, 1 });
  }
  return route;
}

ServiceTraits
DecodeService(const Value& aService)
{
  ServiceTraits service;
  service.mName = GetText(aService, "Name");
  service.mHealthPath = GetText(aService, "HealthPath");
  service.mMaxConnections = GetCount(aService, "MaxConnections");
  const Value* engine = GetMember(aService, "InferenceEngine");
  if (engine != nullptr && engine->IsObject()) {
    service.mEngine = true;
    service.mMemoryTokens =
      GetNumber(*engine, "KvCapacityTokens", 0, kMaxTokens, 0);
    service.mCopies = GetFlag(*engine, "Backups");
    service.mCopyLifetime =
      GetDuration(*engine, "HandleS", std::chrono::seconds(1));
    service.mSupportsCopyOrders =
      GetFlag(*engine, "Moves") && service.mCopyLifetime > Duration::zero();
  }
  return service;
}

// Limits of zero or less stand for the usual ones, like those that are missing:
// no request could keep to them, and some encoders write zero for what is not
// set.
CallerLimits
DecodeLimits(const Value& aLimits)
{
  CallerLimits limits;
  const auto readBytes = [&](const char* aName, std::size_t& aField) {
    const auto bytes = GetNumber<std::size_t>(aLimits, aName, 0, kMaxBytes, 0);
    aField = bytes > 0 ? bytes : aField;
  };
  const auto readTime = [&](const char* aName, Duration& aField) {
    const Duration time = GetDuration(aLimits, aName);
    aField = time > Duration::zero() ? time : aField;
  };
  readBytes("MaxHeaderBytes", limits.mHeadBytes);
  readBytes("MaxBodyBytes", limits.mBodyBytes);
  readTime("HeaderTimeoutMs", limits.mHeadTimeout);
  readTime("IdleTimeoutMs", limits.mIdleTimeout);
  return limits;
}

} // namespace

std::string_view
NameOf(StoreTable aTable)
{
  return kLogNames.NameOf(aTable);
}

std::string
EncodeRead(const std::string& aHost,
           StoreTable aTable,
           const std::string& aFromKey)
{
  std::string path =
    "/rows-get?Table=" + std::string(kTableNames.NameOf(aTable)) + "&part=";
  if (!aFromKey.empty()) {
    path += "&From=" + PercentEncode(aFromKey);
  }
  return EncodeGet(aHost, path);
}

std::string
EncodeReadRow(const std::string& aHost,
              StoreTable aTable,
              const std::string& aKey)
{
  return EncodeGet(
    aHost,
    "/rows-get?Table=" + std::string(kTableNames.NameOf(aTable)) +
      "&part=&From=" + PercentEncode(aKey) + "&Limit=1");
}

std::string
EncodeWatch(const std::string& aHost,
            StoreTable aTable,
            std::int64_t aAfter,
            Duration aWait)
{
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(aWait);
  // Despite its name, AfterRevision is a version, not a number of changes.
  return EncodeGet(
    aHost,
    "/rows-feed?Table=" + std::string(kTableNames.NameOf(aTable)) +
      "&AfterRevision=" + std::to_string(aAfter) +
      "&WaitMs=" + std::to_string(wait.count()));
}

std::string
EncodeChanges(const std::string& aHost,
              StoreTable aTable,
              const std::vector<RowChange>& aChanges,
              const std::vector<RowCondition>& aConditions)
{
  rapidjson::StringBuffer buf;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buf);
  const auto writeList = [&](const char* aName, bool aWritten) {
    writer.Key(aName);
    writer.StartArray();
    for (const RowChange& it : aChanges) {
      if (it.mValue.has_value() != aWritten) {
        continue;
      }
      writer.StartObject();
      WriteString(writer, "Table", kTableNames.NameOf(aTable));
      WriteString(writer, "part", "");
      WriteString(writer, "Key", it.mKey);
      if (it.mValue) {
        WriteString(writer, "Value", ToBase64(*it.mValue));
      }
      writer.EndObject();
    }
    writer.EndArray();
  };
  writer.StartObject();
  writer.Key("Precondition");
  writer.StartArray();
  for (const RowCondition& it : aConditions) {
    writer.StartObject();
    WriteString(writer, "Table", kTableNames.NameOf(aTable));
    WriteString(writer, "part", "");
    WriteString(writer, "Key", it.mKey);
    writer.Key("Ver");
    writer.Int64(it.mVersion);
    writer.EndObject();
  }
  writer.EndArray();
  writeList("Put", true);
  writeList("Remove", false);
  writer.EndObject();
  std::string text = "POST /rows-tx HTTP/1.1\r\n";
  AppendField(text, "Host", aHost);
  AppendField(text, "Content-Type", "application/json");
  AppendField(text, "Content-Length", std::to_string(buf.GetSize()));
  return text.append("\r\n").append(buf.GetString(), buf.GetSize());
}

std::string
EncodePut(const std::string& aHost,
          StoreTable aTable,
          const std::string& aKey,
          const std::string& aValue)
{
  return EncodeChanges(aHost, aTable, { { aKey, aValue } });
}

std::optional<StoreRows>
DecodeRows(const std::string& aBody, std::string& aReason)
{
  rapidjson::Document json;
  ParseJson(json, aBody);
  if (json.HasParseError() || !json.IsObject()) {
    aReason = "the store's response is not a JSON object, or too large";
    return std::nullopt;
  }
  StoreRows rows;
  rows.mVersion = GetVersion(json, "Ver");
  rows.mHasMore = GetFlag(json, "HasMore");
  ForEachElement(json, "Rows", [&rows](const Value& aRow) {
    StoreRow row;
    row.mKey = GetText(aRow, "Key");
    row.mVersion = GetVersion(aRow, "Ver");
    rows.mRowsUpTo = std::max(rows.mRowsUpTo, row.mVersion);
    if (!GetText(aRow, "part").empty()) {
      return;
    }
    row.mRemoved = GetFlag(aRow, "Removed");
    // A value that cannot be decoded is left empty, which every reader rejects.
    if (!FromBase64(GetText(aRow, "Value"), row.mValue)) {
      row.mValue.clear();
    }
    rows.mRows.push_back(std::move(row));
  });
  return rows;
}

std::optional<std::int64_t>
DecodeReturnCount(const HttpHead& aHead, std::string& aReason)
{
  const std::string* text = aHead.Find(kReturnCount);
  if (text == nullptr) {
    return std::nullopt;
  }
  const auto era = ParseEra("0." + *text);
  if (!era) {
    aReason = "\"" + text->substr(0, kMaxShownBytes) + "\" is not a count";
    return std::nullopt;
  }
  return era->mNumber;
}

RefPtr<RoutingTable>
DecodeConfiguration(const std::string& aValue, std::string& aReason)
{
  rapidjson::Document json;
  ParseJson(json, aValue);
  if (json.HasParseError() || !json.IsObject()) {
    aReason = "the configuration is not a JSON object, or too large";
    return nullptr;
  }
  for (const char* it : { "Routes", "Services", "Tenants" }) {
    const Value* list = GetMember(json, it);
    if (list != nullptr && !list->IsNull() && !list->IsArray()) {
      aReason = std::string("the configuration's ") + it + " are not a list";
      return nullptr;
    }
  }
  auto table = MakeRef<RoutingTable>();
  table->mVersion = GetVersion(json, "Version");
  ForEachElement(json, "Routes", [&table](const Value& aRoute) {
    table->AddRoute(DecodeRoute(aRoute));
  });
  ForEachElement(json, "Services", [&table](const Value& aService) {
    table->AddService(DecodeService(aService));
  });
  if (const Value* limits = GetMember(json, "Limits")) {
    table->mLimits = DecodeLimits(*limits);
  }
  const Value* workspaces = GetMember(json, "Tenants");
  table->mKeysRequired = workspaces != nullptr && !workspaces->IsNull();
  ForEachElement(json, "Tenants", [&table](const Value& aWorkspace) {
    const KeyOwner owner{ GetText(aWorkspace, "Name"),
                          GetPriority(aWorkspace) };
    ForEachElement(aWorkspace, "ApiKeys", [&](const Value& aKey) {
      if (aKey.IsString()) {
        table->AddKey(std::string(aKey.GetString(), aKey.GetStringLength()),
                      owner);
      }
    });
  });
  return table;
}

std::string
RolloutKeyOf(const std::string& aService)
{
  return kRolloutKeyPrefix + aService;
}

std::optional<RolloutRequest>
DecodeRolloutRequest(const std::string& aValue, std::string& aReason)
{
  rapidjson::Document json;
  ParseJson(json, aValue);
  if (json.HasParseError() || !json.IsObject()) {
    aReason = "the order is not a JSON object";
    return std::nullopt;
  }
  RolloutRequest request;
  request.mService = GetText(json, "Service");
  request.mVersion = GetText(json, "To");
  if (request.mService.empty() || request.mVersion.empty() ||
      HasControlCharacter(request.mVersion)) {
    aReason = "the order has no service or no version";
    return std::nullopt;
  }
  const Value* duration = GetMember(json, "DurationS");
  const double seconds =
    duration != nullptr && duration->IsNumber() ? duration->GetDouble() : 0;
  if (!(seconds > 0)) {
    aReason = "the order's DurationS is not a positive number";
    return std::nullopt;
  }
  request.mDuration = std::chrono::duration_cast<Duration>(
    std::min(std::chrono::duration<double>(seconds),
             std::chrono::duration<double>(kMaxDuration)));
  return request;
}

std::string
FormatRolloutStatus(const RolloutStatus& aStatus)
{
  rapidjson::StringBuffer buf;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buf);
  writer.StartObject();
  WriteString(writer, "State", aStatus.mState);
  WriteString(writer, "To", aStatus.mVersion);
  writer.EndObject();
  return { buf.GetString(), buf.GetSize() };
}

std::optional<RolloutStatus>
DecodeRolloutStatus(const std::string& aValue, std::string& aReason)
{
  rapidjson::Document json;
  ParseJson(json, aValue);
  if (json.HasParseError() || !json.IsObject()) {
    aReason = "the state is not a JSON object";
    return std::nullopt;
  }
  RolloutStatus status{ GetText(json, "State"), GetText(json, "To") };
  const bool known = std::find(std::begin(kRolloutStates),
                               std::end(kRolloutStates),
                               status.mState) != std::end(kRolloutStates);
  if (!known || status.mVersion.empty()) {
    aReason = "the state is unknown or has no version";
    return std::nullopt;
  }
  return status;
}

std::optional<TargetEntry>
DecodeTarget(const std::string& aName,
             const std::string& aValue,
             std::string& aReason)
{
  rapidjson::Document json;
  ParseJson(json, aValue);
  if (json.HasParseError() || !json.IsObject()) {
    aReason = "the entry is not a JSON object";
    return std::nullopt;
  }
  TargetEntry entry;
  entry.mName = aName;
  entry.mService = GetText(json, "Service");
  entry.mAddress = GetText(json, "Address");
  entry.mPlace = GetText(json, "Zone");
  entry.mSlots = GetCount(json, "Slots");
  const std::string state = GetText(json, "State");
  if (entry.mService.empty() || entry.mAddress.empty() ||
      (state != kReady && state != kDraining)) {
    aReason = "the entry has no service, no address or no known state";
    return std::nullopt;
  }
  for (const char* it : { "Slots", "Sequence" }) {
    const Value* number = GetMember(json, it);
    if (number == nullptr || !number->IsNumber()) {
      aReason = std::string("the entry's ") + it + " is not a number";
      return std::nullopt;
    }
  }
  if (entry.mPlace.empty()) {
    aReason = "the entry has no place";
    return std::nullopt;
  }
  entry.mSoftwareVersion = GetText(json, "Version");
  if (entry.mSoftwareVersion.empty() ||
      HasControlCharacter(entry.mSoftwareVersion)) {
    aReason = "the entry's software version is missing or not a plain text";
    return std::nullopt;
  }
  entry.mLeaving = state == kDraining;
  const Value* born = GetMember(json, "born");
  const bool hasStartTime = born != nullptr && !born->IsNull();
  const std::int64_t startTime = GetVersion(json, "born");
  if (hasStartTime && (!born->IsNumber() || startTime == 0)) {
    aReason = "the entry's start time is not a whole number";
    return std::nullopt;
  }
  // Targets without a start time never restart under their name.
  entry.mNamePerStart = !hasStartTime;
  entry.mIncarnation = hasStartTime ? std::to_string(startTime) : kNoStartTime;
  return entry;
}

} // namespace quetzalquay::platform
