#include "gateway/GatewaySettings.h"

#include <fstream>
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <sstream>

namespace quetzalquay {

namespace {

using rapidjson::Value;

// Connections that are kept free for the store, peers, checks and log.
constexpr int kReservedConnections = 40;

// Reads fields of one object and remembers the first problem.
class FieldReader
{
public:
  FieldReader(const Value& aObject, std::string& aReason)
    : mObject(aObject)
    , mReason(aReason)
  {
  }

  void Text(const char* aName, std::string& aField)
  {
    const Value* value = Require(aName);
    if (value != nullptr && !value->IsString()) {
      Problem(aName, "is not a text");
    } else if (value != nullptr && value->GetStringLength() == 0) {
      Problem(aName, "is empty");
    } else if (value != nullptr) {
      aField = value->GetString();
    }
  }

  void Address(const char* aName, Endpoint& aField)
  {
    std::string text;
    Text(aName, text);
    if (mReason.empty() && !ToEndpoint(aName, text, aField)) {
      return;
    }
  }

  void Addresses(const char* aName, std::vector<Endpoint>& aField)
  {
    const Value* value = Require(aName);
    if (value == nullptr || value->IsNull()) {
      return;
    }
    if (!value->IsArray()) {
      Problem(aName, "is not a list of addresses");
      return;
    }
    for (const Value& it : value->GetArray()) {
      Endpoint endpoint;
      if (!it.IsString() || !ToEndpoint(aName, it.GetString(), endpoint)) {
        Problem(aName, "holds something that is not an address");
        return;
      }
      aField.push_back(endpoint);
    }
  }

  void Number(const char* aName, double aMin, double aMax, double& aField)
  {
    const Value* value = Require(aName);
    if (value == nullptr) {
      return;
    }
    if (!value->IsNumber() || value->GetDouble() < aMin ||
        value->GetDouble() > aMax) {
      std::ostringstream what;
      what << "is not a number from " << aMin << " to " << aMax;
      Problem(aName, what.str());
      return;
    }
    aField = value->GetDouble();
  }

private:
  const Value* Require(const char* aName)
  {
    const auto it = mObject.FindMember(aName);
    if (it == mObject.MemberEnd()) {
      Problem(aName, "is missing");
      return nullptr;
    }
    return &it->value;
  }

  bool ToEndpoint(const char* aName, const std::string& aText, Endpoint& aField)
  {
    const auto endpoint = ParseEndpoint(aText);
    if (!endpoint) {
      Problem(aName, "\"" + aText + "\" is not an IPv4 address and port");
      return false;
    }
    aField = *endpoint;
    return true;
  }

  void Problem(const char* aName, const std::string& aWhat)
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
  json.Parse(aText.data(), aText.size());
  if (json.HasParseError()) {
    aReason = std::string("not JSON: ") +
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
  reader.Text("host", settings.mHost);
  reader.Text("place", settings.mPlace);
  reader.Text("region", settings.mRegion);
  reader.Address("callers", settings.mCallers);
  reader.Address("readiness", settings.mReadiness);
  reader.Address("peers", settings.mPeers);
  reader.Address("metrics", settings.mMetrics);
  reader.Addresses("seeds", settings.mSeeds);
  reader.Address("store", settings.mStore);
  double loadPort = 0;
  reader.Number("loadPort", 1, 65535, loadPort);
  settings.mLoadPort = static_cast<unsigned short>(loadPort);
  double connections = 0;
  reader.Number("maxConnections", 2 * kReservedConnections, 1e6, connections);
  double link = 0;
  reader.Number("linkMbps", 0, 1e7, link);
  double grace = 0;
  reader.Number("stopGraceS", 1, 3600, grace);
  double window = 0;
  reader.Number("repeatWindowS", 1, 3600, window);
  reader.Number("repeatRatio", 0, 10, settings.mRepeatRatio);
  reader.Number("repeatAllowance", 0, 1e6, settings.mRepeatAllowance);
  reader.Text("logLevel", settings.mLogLevel);
  if (!aReason.empty()) {
    return std::nullopt;
  }
  settings.mMaxConnections =
    static_cast<int>(connections) - kReservedConnections;
  settings.mLinkMbps = static_cast<int>(link);
  settings.mStopGrace = FromSeconds(grace);
  settings.mRepeatWindow = FromSeconds(window);
  return settings;
}

std::optional<GatewaySettings>
LoadGatewaySettings(const std::string& aPath, std::string& aReason)
{
  std::ifstream file(aPath);
  if (!file) {
    aReason = aPath + ": cannot be read";
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
