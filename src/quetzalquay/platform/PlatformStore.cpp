#include "platform/PlatformStore.h"

#include "core/NameTable.h"
#include "http/HttpHead.h"

#include <algorithm>
#include <array>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <utility>

namespace quetzalquay::platform {

const char kConfigurationKey[] = "config";

namespace {

using rapidjson::Value;

constexpr NameTable<StoreTable, 3> kLogNames({ "configuration",
                                               "targets",
                                               "hosts" });

// The first two are the platform's, the last one is the gateway's own.
constexpr NameTable<StoreTable, 3> kWireNames({ "op",
                                                "servers",
                                                "gateway-hosts" });

constexpr NameTable<CallKind, 3> kKindNames({ "safe", "unsafe", "streaming" });

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

bool
FromBase64(std::string_view aText, std::string& aValue)
{
  using namespace boost::archive::iterators;
  using Decoder = transform_width<binary_from_base64<const char*>, 8, 6>;
  while (!aText.empty() && aText.back() == '=') {
    aText.remove_suffix(1);
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
    // The caller reports the row with its key.
    return false;
  }
  return true;
}

const Value*
Member(const Value& aObject, const char* aName)
{
  if (!aObject.IsObject()) {
    return nullptr;
  }
  const auto it = aObject.FindMember(aName);
  return it == aObject.MemberEnd() ? nullptr : &it->value;
}

std::string
Text(const Value& aObject, const char* aName)
{
  const Value* value = Member(aObject, aName);
  return value != nullptr && value->IsString()
           ? std::string(value->GetString(), value->GetStringLength())
           : std::string();
}

double
Number(const Value& aObject, const char* aName, double aDefault = 0)
{
  const Value* value = Member(aObject, aName);
  return value != nullptr && value->IsNumber() ? value->GetDouble() : aDefault;
}

std::int64_t
Version(const Value& aObject, const char* aName)
{
  const Value* value = Member(aObject, aName);
  return value != nullptr && value->IsInt64() ? value->GetInt64() : 0;
}

bool
Flag(const Value& aObject, const char* aName)
{
  const Value* value = Member(aObject, aName);
  return value != nullptr && value->IsBool() && value->GetBool();
}

Duration
Millis(const Value& aObject, const char* aName)
{
  return Duration(static_cast<std::int64_t>(Number(aObject, aName) * 1000));
}

template<typename Function>
void
ForEach(const Value& aObject, const char* aName, Function aFunction)
{
  const Value* list = Member(aObject, aName);
  if (list == nullptr || !list->IsArray()) {
    return;
  }
  for (const Value& it : list->GetArray()) {
    aFunction(it);
  }
}

std::string
Get(const std::string& aHost, const std::string& aPath)
{
  return "GET " + aPath + " HTTP/1.1\r\nHost: " + aHost + "\r\n\r\n";
}

std::string
PercentEncode(const std::string& aText)
{
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string text;
  for (const char it : aText) {
    const auto c = static_cast<unsigned char>(it);
    if (std::isalnum(c) != 0 || it == '-' || it == '.' || it == '_') {
      text.push_back(it);
    } else {
      text.push_back('%');
      text.push_back(kDigits[c >> 4U]);
      text.push_back(kDigits[c & 15U]);
    }
  }
  return text;
}

void
WriteText(rapidjson::Writer<rapidjson::StringBuffer>& aWriter,
          const char* aName,
          std::string_view aValue)
{
  aWriter.Key(aName);
  aWriter.String(aValue.data(),
                 static_cast<rapidjson::SizeType>(aValue.size()));
}

// A transaction with one entry in one list.
std::string
Transaction(const std::string& aHost,
            const char* aList,
            StoreTable aTable,
            const std::string& aKey,
            const std::string* aValue)
{
  rapidjson::StringBuffer buf;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buf);
  writer.StartObject();
  for (const char* it : { "Precondition", "Put", "Remove" }) {
    writer.Key(it);
    writer.StartArray();
    if (std::string_view(it) == aList) {
      writer.StartObject();
      WriteText(writer, "Table", kWireNames.NameOf(aTable));
      WriteText(writer, "part", "");
      WriteText(writer, "Key", aKey);
      if (aValue != nullptr) {
        WriteText(writer, "Value", ToBase64(*aValue));
      }
      writer.EndObject();
    }
    writer.EndArray();
  }
  writer.EndObject();
  std::string text = "POST /rows-tx HTTP/1.1\r\n";
  AppendField(text, "Host", aHost);
  AppendField(text, "Content-Type", "application/json");
  AppendField(text, "Content-Length", std::to_string(buf.GetSize()));
  return text.append("\r\n").append(buf.GetString(), buf.GetSize());
}

Route
DecodeRoute(const Value& aRoute)
{
  Route route;
  route.mName = Text(aRoute, "Name");
  route.mHost = Text(aRoute, "Host");
  route.mPathPrefix = Text(aRoute, "PathPrefix");
  // An unknown kind is treated as one that may not be repeated.
  route.mKind =
    kKindNames.ValueOf(Text(aRoute, "Kind")).value_or(CallKind::NonIdempotent);
  route.mResumable = Flag(aRoute, "StreamResumption");
  route.mPublic = Flag(aRoute, "Public");
  route.mTimeout = Millis(aRoute, "TimeoutMs");
  // Despite its name a time to the whole answer, not of one call.
  route.mObjective = Millis(aRoute, "TargetLatencyMs");
  route.mGapObjective = Millis(aRoute, "GapTargetMs");
  route.mPriority = static_cast<int>(Number(aRoute, "Priority"));
  route.mMaxAttempts =
    std::max(1, static_cast<int>(Number(aRoute, "MaxAttempts", 1)));
  const std::string service = Text(aRoute, "Service");
  if (!service.empty()) {
    route.mServices.push_back({ service, 1 });
  }
  ForEach(aRoute, "TrafficSplit", [&route](const Value& aPart) {
    route.mServices.push_back(
      { Text(aPart, "Service"), Number(aPart, "Weight", 1) });
  });
  return route;
}

ServiceTraits
DecodeService(const Value& aService)
{
  ServiceTraits service;
  service.mName = Text(aService, "Name");
  service.mHealthPath = Text(aService, "HealthPath");
  service.mMaxConnections =
    static_cast<int>(Number(aService, "MaxConnections"));
  const Value* engine = Member(aService, "InferenceEngine");
  if (engine != nullptr && engine->IsObject()) {
    service.mEngine = true;
    service.mMemoryTokens =
      static_cast<int>(Number(*engine, "KvCapacityTokens"));
    service.mCopies = Flag(*engine, "Backups");
    service.mCopyLifetime = std::chrono::milliseconds(
      static_cast<std::int64_t>(Number(*engine, "HandleS") * 1000));
    service.mCopyOrders =
      Flag(*engine, "Moves") && service.mCopyLifetime > Duration::zero();
  }
  return service;
}

CallerLimits
DecodeLimits(const Value& aLimits)
{
  CallerLimits limits;
  const CallerLimits usual;
  limits.mHeadBytes = static_cast<std::size_t>(
    Number(aLimits, "MaxHeaderBytes", static_cast<double>(usual.mHeadBytes)));
  limits.mBodyBytes = static_cast<std::size_t>(
    Number(aLimits, "MaxBodyBytes", static_cast<double>(usual.mBodyBytes)));
  if (Member(aLimits, "HeaderTimeoutMs") != nullptr) {
    limits.mHeadTimeout = Millis(aLimits, "HeaderTimeoutMs");
  }
  if (Member(aLimits, "IdleTimeoutMs") != nullptr) {
    limits.mIdleTimeout = Millis(aLimits, "IdleTimeoutMs");
  }
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
    "/rows-get?Table=" + std::string(kWireNames.NameOf(aTable)) + "&part=";
  if (!aFromKey.empty()) {
    path += "&From=" + PercentEncode(aFromKey);
  }
  return Get(aHost, path);
}

std::string
EncodeWatch(const std::string& aHost,
            StoreTable aTable,
            std::int64_t aAfter,
            Duration aWait)
{
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(aWait);
  // Despite its name a version, not a number of changes.
  return Get(aHost,
             "/rows-feed?Table=" + std::string(kWireNames.NameOf(aTable)) +
               "&AfterRevision=" + std::to_string(aAfter) +
               "&WaitMs=" + std::to_string(wait.count()));
}

std::string
EncodePut(const std::string& aHost,
          StoreTable aTable,
          const std::string& aKey,
          const std::string& aValue)
{
  return Transaction(aHost, "Put", aTable, aKey, &aValue);
}

std::string
EncodeRemove(const std::string& aHost,
             StoreTable aTable,
             const std::string& aKey)
{
  return Transaction(aHost, "Remove", aTable, aKey, nullptr);
}

std::optional<StoreRows>
DecodeRows(const std::string& aBody, std::string& aReason)
{
  rapidjson::Document json;
  json.Parse(aBody.data(), aBody.size());
  if (json.HasParseError() || !json.IsObject()) {
    aReason = "the store's answer is not a JSON object";
    return std::nullopt;
  }
  StoreRows rows;
  rows.mVersion = Version(json, "Ver");
  rows.mMore = Flag(json, "HasMore");
  ForEach(json, "Rows", [&rows](const Value& aRow) {
    StoreRow row;
    row.mKey = Text(aRow, "Key");
    row.mVersion = Version(aRow, "Ver");
    row.mRemoved = Flag(aRow, "Removed");
    // A value that cannot be decoded stays empty, which no reader accepts.
    if (!FromBase64(Text(aRow, "Value"), row.mValue)) {
      row.mValue.clear();
    }
    rows.mRows.push_back(std::move(row));
  });
  return rows;
}

RefPtr<RoutingTable>
DecodeConfiguration(const std::string& aValue, std::string& aReason)
{
  rapidjson::Document json;
  json.Parse(aValue.data(), aValue.size());
  if (json.HasParseError() || !json.IsObject()) {
    aReason = "the configuration is not a JSON object";
    return nullptr;
  }
  auto table = MakeRef<RoutingTable>();
  table->mVersion = Version(json, "Version");
  ForEach(json, "Routes", [&table](const Value& aRoute) {
    table->AddRoute(DecodeRoute(aRoute));
  });
  ForEach(json, "Services", [&table](const Value& aService) {
    table->AddService(DecodeService(aService));
  });
  if (const Value* limits = Member(json, "Limits")) {
    table->mLimits = DecodeLimits(*limits);
  }
  table->mKeysRequired = Member(json, "Tenants") != nullptr;
  ForEach(json, "Tenants", [&table](const Value& aWorkspace) {
    const KeyOwner owner{ Text(aWorkspace, "Name"),
                          static_cast<int>(Number(aWorkspace, "Priority")) };
    ForEach(aWorkspace, "ApiKeys", [&](const Value& aKey) {
      if (aKey.IsString()) {
        table->AddKey(std::string(aKey.GetString(), aKey.GetStringLength()),
                      owner);
      }
    });
  });
  return table;
}

std::optional<TargetEntry>
DecodeTarget(const std::string& aName,
             const std::string& aValue,
             std::string& aReason)
{
  rapidjson::Document json;
  json.Parse(aValue.data(), aValue.size());
  if (json.HasParseError() || !json.IsObject()) {
    aReason = "the entry is not a JSON object";
    return std::nullopt;
  }
  TargetEntry entry;
  entry.mName = aName;
  entry.mService = Text(json, "Service");
  entry.mAddress = Text(json, "Address");
  entry.mPlace = Text(json, "Zone");
  entry.mSlots = static_cast<int>(Number(json, "Slots"));
  const std::string state = Text(json, "State");
  if (entry.mService.empty() || entry.mAddress.empty() ||
      (state != kReady && state != kDraining)) {
    aReason = "the entry lacks a service, an address or a known state";
    return std::nullopt;
  }
  for (const char* it : { "Slots", "Sequence" }) {
    const Value* number = Member(json, it);
    if (number == nullptr || !number->IsNumber()) {
      aReason = std::string("the entry's ") + it + " is not a number";
      return std::nullopt;
    }
  }
  if (entry.mPlace.empty()) {
    aReason = "the entry lacks a place";
    return std::nullopt;
  }
  entry.mLeaving = state == kDraining;
  const Value* born = Member(json, "born");
  if (born != nullptr && !born->IsInt64()) {
    aReason = "the entry's start time is not a whole number";
    return std::nullopt;
  }
  // Entries without a start time belong to targets that never restart.
  entry.mIncarnation = born == nullptr ? "0" : std::to_string(born->GetInt64());
  return entry;
}

} // namespace quetzalquay::platform
