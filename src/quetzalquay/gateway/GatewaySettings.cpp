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

// Shortest grace period of a stop, and shortest window of the retry budget, in
// seconds.
constexpr double kMinPeriodS = 0.1;

// At most half of the descriptors is reserved.
int
ReservedDescriptors(int aDescriptors)
{
  return std::min(kFileDescriptors + kReservedConnections, aDescriptors / 2);
}

// Whether a field holds nothing: the platform leaves a field empty that it has
// no value for, and a bound that is not in force may be true or false.
bool
IsUnset(const Value& aValue)
{
  return aValue.IsNull() || aValue.IsBool() ||
         (aValue.IsString() && aValue.GetStringLength() == 0);
}

// Reads the fields of a JSON object. Keeps the first problem that the process
// cannot start with, and lists the fields that were replaced by a default.
class FieldReader
{
public:
  FieldReader(const Value& aObject,
              std::vector<std::string>& aReplaced,
              std::string& aReason)
    : mObject(aObject)
    , mReplaced(aReplaced)
    , mReason(aReason)
  {
  }

  void ReadString(const char* aName, std::string& aField)
  {
    const Value* value = Find(aName);
    if (value == nullptr) {
      SetProblem(aName, "is missing");
    } else if (!value->IsString()) {
      SetProblem(aName, "is not a string");
    } else if (value->GetStringLength() == 0) {
      SetProblem(aName, "is empty");
    } else {
      aField = value->GetString();
    }
  }

  // Leaves aField as it is if the file has no value for it.
  void ReadOptionalString(const char* aName, std::string& aField)
  {
    const Value* value = FindSet(aName);
    if (value == nullptr) {
      Replace(aName, "has no value", "\"" + aField + "\"");
    } else {
      ReadString(aName, aField);
    }
  }

  void ReadEndpoint(const char* aName, Endpoint& aField)
  {
    std::string text;
    ReadString(aName, text);
    if (!mReason.empty()) {
      return;
    }
    if (const auto endpoint = ParseEndpoint(text)) {
      aField = *endpoint;
    } else {
      SetProblem(aName, "\"" + text + "\" is not an IPv4 address and port");
    }
  }

  void ReadOptionalEndpoint(const char* aName, std::optional<Endpoint>& aField)
  {
    const Value* value = FindSet(aName);
    if (value != nullptr && !value->IsString()) {
      SetProblem(aName, "is not a string");
      return;
    }
    aField =
      value == nullptr ? std::nullopt : ParseEndpoint(value->GetString());
    if (!aField) {
      Replace(aName, "is not an IPv4 address and port", "none");
    }
  }

  // Leaves out elements that are no addresses.
  void ReadEndpoints(const char* aName, std::vector<Endpoint>& aField)
  {
    const Value* value = FindSet(aName);
    if (value == nullptr) {
      Replace(aName, "has no value", "none");
      return;
    }
    if (!value->IsArray()) {
      SetProblem(aName, "is not an array of addresses");
      return;
    }
    for (const Value& it : value->GetArray()) {
      const auto endpoint =
        it.IsString() ? ParseEndpoint(it.GetString()) : std::nullopt;
      if (endpoint) {
        aField.push_back(*endpoint);
      } else {
        Replace(aName,
                it.IsString()
                  ? "has \"" + std::string(it.GetString()) +
                      "\", which is not an IPv4 address and port"
                  : std::string("has an element that is not a string"),
                "the others");
      }
    }
  }

  // Leaves aField as it is if the file has no value for it.
  template<class Number>
  void ReadNumber(const char* aName, double aMin, double aMax, Number& aField)
  {
    const Value* value = FindSet(aName);
    if (value == nullptr) {
      std::ostringstream used;
      used << aField;
      Replace(aName, "has no value", used.str());
      return;
    }
    if (!value->IsNumber() || value->GetDouble() < aMin ||
        value->GetDouble() > aMax) {
      std::ostringstream what;
      what << "is not a number from " << aMin << " to " << aMax;
      SetProblem(aName, what.str());
      return;
    }
    aField = static_cast<Number>(value->GetDouble());
  }

  // A number that is only given where it is needed.
  template<typename Number>
  void ReadNumberIfGiven(const char* aName,
                         double aMin,
                         double aMax,
                         Number& aField)
  {
    if (FindSet(aName) != nullptr) {
      ReadNumber(aName, aMin, aMax, aField);
    }
  }

private:
  const Value* Find(const char* aName) const
  {
    const auto it = mObject.FindMember(aName);
    return it == mObject.MemberEnd() ? nullptr : &it->value;
  }

  const Value* FindSet(const char* aName) const
  {
    const Value* value = Find(aName);
    return value == nullptr || IsUnset(*value) ? nullptr : value;
  }

  void Replace(const char* aName,
               const std::string& aWhat,
               const std::string& aUsed)
  {
    mReplaced.push_back(std::string(aName) + " " + aWhat + ", using " + aUsed);
  }

  void SetProblem(const char* aName, const std::string& aWhat)
  {
    if (mReason.empty()) {
      mReason = std::string(aName) + " " + aWhat;
    }
  }

  const Value& mObject;
  std::vector<std::string>& mReplaced;
  std::string& mReason;
};

Duration
FromSeconds(double aSeconds)
{
  return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
}

double
ToSeconds(Duration aDuration)
{
  return ToMilliseconds(aDuration) / 1000;
}

} // namespace

int
MaxConnections(int aDescriptors)
{
  return aDescriptors - ReservedDescriptors(aDescriptors);
}

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
  FieldReader reader(json, settings.mReplacedFields, aReason);
  reader.ReadString("host", settings.mHost);
  reader.ReadOptionalString("place", settings.mPlace);
  reader.ReadOptionalString("region", settings.mRegion);
  reader.ReadEndpoint("callers", settings.mCallerEndpoint);
  reader.ReadEndpoint("readiness", settings.mReadinessEndpoint);
  reader.ReadEndpoint("peers", settings.mPeerEndpoint);
  reader.ReadOptionalEndpoint("metrics", settings.mMetricsEndpoint);
  reader.ReadEndpoints("seeds", settings.mSeeds);
  reader.ReadEndpoint("store", settings.mStoreEndpoint);
  reader.ReadNumber("loadPort", 1, 65535, settings.mLoadPort);
  reader.ReadNumber("relayPort", 1, 65535, settings.mRelayPort);
  reader.ReadNumber(
    "maxConnections", 2 * kReservedConnections, 1e6, settings.mDescriptors);
  reader.ReadNumber("memoryMb", 0, 1e9, settings.mMemoryMb);
  reader.ReadNumber("linkMbps", 0, 1e7, settings.mLinkMbps);
  double grace = ToSeconds(settings.mStopGrace);
  reader.ReadNumber("stopGraceS", kMinPeriodS, 3600, grace);
  double window = ToSeconds(settings.mRetryWindow);
  reader.ReadNumber("repeatWindowS", kMinPeriodS, 3600, window);
  reader.ReadNumber("repeatRatio", 0, 10, settings.mRetryRatio);
  reader.ReadNumber("repeatAllowance", 0, 1e6, settings.mRetryAllowance);
  reader.ReadNumberIfGiven("exposureShare", 0, 1, settings.mExposureShare);
  reader.ReadNumberIfGiven("exposureSlack", 0, 1e6, settings.mExposureSlack);
  reader.ReadOptionalString("logLevel", settings.mLogLevel);
  if (!aReason.empty()) {
    return std::nullopt;
  }
  settings.mText = aText;
  settings.mStopGrace = FromSeconds(grace);
  settings.mRetryWindow = FromSeconds(window);
  return settings;
}

std::optional<std::string>
ReadSettingsFile(const std::string& aPath, std::string& aReason)
{
  std::ifstream file(aPath);
  if (!file) {
    aReason = aPath + ": cannot open the file";
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::optional<GatewaySettings>
LoadGatewaySettings(const std::string& aPath, std::string& aReason)
{
  const auto text = ReadSettingsFile(aPath, aReason);
  if (!text) {
    return std::nullopt;
  }
  auto settings = ParseGatewaySettings(*text, aReason);
  if (!settings) {
    aReason = aPath + ": " + aReason;
  }
  return settings;
}

} // namespace quetzalquay
