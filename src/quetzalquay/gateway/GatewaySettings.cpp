#include "gateway/GatewaySettings.h"

#include "http/JsonText.h"

#include <algorithm>
#include <fstream>
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <sstream>

namespace quetzalquay {

namespace {

using rapidjson::Value;

// Descriptors of the process that sockets cannot use: the system keeps them for
// files.
constexpr int kFileDescriptors = 200;

// Connections reserved for the store, peers, readiness checks and the log.
constexpr int kReservedConnections = 40;

// At most half of the descriptors is reserved.
int
ReservedDescriptors(int aDescriptors)
{
  return std::min(kFileDescriptors + kReservedConnections, aDescriptors / 2);
}

// Reads the fields of a JSON object and keeps the first problem.
class FieldReader
{
public:
  FieldReader(const Value& aObject, std::string& aReason)
    : mObject(aObject)
    , mReason(aReason)
  {
  }

  void ReadString(const char* aName, std::string& aField)
  {
    const Value* value = FindRequired(aName);
    if (value != nullptr && !value->IsString()) {
      SetProblem(aName, "is not a string");
    } else if (value != nullptr && value->GetStringLength() == 0) {
      SetProblem(aName, "is empty");
    } else if (value != nullptr) {
      aField = value->GetString();
    }
  }

  void ReadEndpoint(const char* aName, Endpoint& aField)
  {
    std::string text;
    ReadString(aName, text);
    if (mReason.empty() && !ConvertEndpoint(aName, text, aField)) {
      return;
    }
  }

  void ReadEndpoints(const char* aName, std::vector<Endpoint>& aField)
  {
    const Value* value = FindRequired(aName);
    if (value == nullptr || value->IsNull()) {
      return;
    }
    if (!value->IsArray()) {
      SetProblem(aName, "is not an array of addresses");
      return;
    }
    for (const Value& it : value->GetArray()) {
      Endpoint endpoint;
      if (!it.IsString() || !ConvertEndpoint(aName, it.GetString(), endpoint)) {
        SetProblem(aName, "contains an element that is not an address");
        return;
      }
      aField.push_back(endpoint);
    }
  }

  void ReadNumber(const char* aName, double aMin, double aMax, double& aField)
  {
    if (FindRequired(aName) != nullptr) {
      ReadOptionalNumber(aName, aMin, aMax, aField);
    }
  }

  // Leaves aField as it is if the field is missing. For fields that older
  // settings files don't have.
  void ReadOptionalNumber(const char* aName,
                          double aMin,
                          double aMax,
                          double& aField)
  {
    const auto it = mObject.FindMember(aName);
    if (it == mObject.MemberEnd()) {
      return;
    }
    const Value* value = &it->value;
    if (!value->IsNumber() || value->GetDouble() < aMin ||
        value->GetDouble() > aMax) {
      std::ostringstream what;
      what << "is not a number from " << aMin << " to " << aMax;
      SetProblem(aName, what.str());
      return;
    }
    aField = value->GetDouble();
  }

private:
  const Value* FindRequired(const char* aName)
  {
    const auto it = mObject.FindMember(aName);
    if (it == mObject.MemberEnd()) {
      SetProblem(aName, "is missing");
      return nullptr;
    }
    return &it->value;
  }

  bool ConvertEndpoint(const char* aName,
                       const std::string& aText,
                       Endpoint& aField)
  {
    const auto endpoint = ParseEndpoint(aText);
    if (!endpoint) {
      SetProblem(aName, "\"" + aText + "\" is not an IPv4 address and port");
      return false;
    }
    aField = *endpoint;
    return true;
  }

  void SetProblem(const char* aName, const std::string& aWhat)
  {
    if (mReason.empty()) {
      mReason = std::string(aName) + " " + aWhat;
    }
  }

  const Value& mObject;
  std::string& mReason;
};

Duration
FromSeconds(double aSeconds)
{
  return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
}

} // namespace

std::optional<GatewaySettings>
ParseGatewaySettings(const std::string& aText, std::string& aReason)
{
  rapidjson::Document json;
  ParseJson(json, aText);
  if (json.HasParseError()) {
    aReason = std::string("invalid JSON: ") +
              rapidjson::GetParseError_En(json.GetParseError()) + " at byte " +
              std::to_string(json.GetErrorOffset());
    return std::nullopt;
  }
  if (!json.IsObject()) {
    aReason = "not a JSON object";
    return std::nullopt;
  }
  GatewaySettings settings;
  aReason.clear();
  FieldReader reader(json, aReason);
  reader.ReadString("host", settings.mHost);
  reader.ReadString("place", settings.mPlace);
  reader.ReadString("region", settings.mRegion);
  reader.ReadEndpoint("callers", settings.mCallerEndpoint);
  reader.ReadEndpoint("readiness", settings.mReadinessEndpoint);
  reader.ReadEndpoint("peers", settings.mPeerEndpoint);
  reader.ReadEndpoint("metrics", settings.mMetricsEndpoint);
  reader.ReadEndpoints("seeds", settings.mSeeds);
  reader.ReadEndpoint("store", settings.mStoreEndpoint);
  double loadPort = 0;
  reader.ReadNumber("loadPort", 1, 65535, loadPort);
  settings.mLoadPort = static_cast<unsigned short>(loadPort);
  double relayPort = 0;
  reader.ReadOptionalNumber("relayPort", 1, 65535, relayPort);
  settings.mRelayPort = static_cast<unsigned short>(relayPort);
  double connections = 0;
  reader.ReadNumber(
    "maxConnections", 2 * kReservedConnections, 1e6, connections);
  double memory = 0;
  reader.ReadOptionalNumber("memoryMb", 0, 1e9, memory);
  double link = 0;
  reader.ReadNumber("linkMbps", 0, 1e7, link);
  double grace = 0;
  reader.ReadNumber("stopGraceS", 1, 3600, grace);
  double window = 0;
  reader.ReadNumber("repeatWindowS", 1, 3600, window);
  reader.ReadNumber("repeatRatio", 0, 10, settings.mRetryRatio);
  reader.ReadNumber("repeatAllowance", 0, 1e6, settings.mRetryAllowance);
  reader.ReadString("logLevel", settings.mLogLevel);
  if (!aReason.empty()) {
    return std::nullopt;
  }
  const auto descriptors = static_cast<int>(connections);
  settings.mMaxConnections = descriptors - ReservedDescriptors(descriptors);
  settings.mMemoryMb = static_cast<int>(memory);
  settings.mLinkMbps = static_cast<int>(link);
  settings.mStopGrace = FromSeconds(grace);
  settings.mRetryWindow = FromSeconds(window);
  return settings;
}

std::optional<GatewaySettings>
LoadGatewaySettings(const std::string& aPath, std::string& aReason)
{
  std::ifstream file(aPath);
  if (!file) {
    aReason = aPath + ": cannot open the file";
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  auto settings = ParseGatewaySettings(text.str(), aReason);
  if (!settings) {
    aReason = aPath + ": " + aReason;
  }
  return settings;
}

} // namespace quetzalquay
