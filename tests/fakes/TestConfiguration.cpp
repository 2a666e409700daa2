#include "TestConfiguration.h"

#include <algorithm>

namespace {

template<typename Items, typename Function>
std::string
Join(const Items& aItems, const Function& aFormat)
{
  std::string text;
  for (const auto& it : aItems) {
    text += (text.empty() ? "" : ",") + aFormat(it);
  }
  return text;
}

std::string
Field(const char* aName, long long aValue)
{
  return std::string("\"") + aName + "\":" + std::to_string(aValue);
}

std::string
FormatServices(const TestRoute& aRoute)
{
  if (aRoute.mServices.size() == 1) {
    return R"("Service":")" + aRoute.mServices.front().first + "\"";
  }
  return R"("TrafficSplit":[)" +
         Join(aRoute.mServices,
              [](const auto& aShare) {
                return R"({"Service":")" + aShare.first + R"(","Weight":)" +
                       std::to_string(aShare.second) + "}";
              }) +
         "]";
}

std::string
FormatRoute(const TestRoute& aRoute)
{
  return R"({"Name":")" + aRoute.mName + R"(","Host":"host","PathPrefix":"/)" +
         aRoute.mName + R"(/","Kind":")" + aRoute.mKind + "\"," +
         Field("TimeoutMs", aRoute.mTimeoutMs) + "," +
         Field("TargetLatencyMs", aRoute.mLatencyMs) + R"(,"Priority":1,)" +
         FormatServices(aRoute) + "," +
         Field("MaxAttempts", aRoute.mMaxAttempts) +
         R"(,"Public":false,"StreamResumption":)" +
         (aRoute.mResumable ? "true" : "false") + "," +
         Field("GapTargetMs", aRoute.mEventGapMs) + "}";
}

std::string
FormatService(const std::string& aName, bool aRunsSendCopies)
{
  return R"({"Name":")" + aName + R"(","HealthPath":"/health",)" +
         R"("MaxConnections":100,"InferenceEngine":{"KvCapacityTokens":88000,)"
         R"("Backups":)" +
         (aRunsSendCopies ? "true" : "false") +
         R"(,"Moves":true,"HandleS":4.0}})";
}

std::string
FormatWorkspace(const TestWorkspace& aWorkspace)
{
  return R"({"Name":")" + aWorkspace.mName + R"(","ApiKeys":[)" +
         Join(aWorkspace.mKeys,
              [](const std::string& aKey) { return "\"" + aKey + "\""; }) +
         "]," + Field("Priority", aWorkspace.mPriority) + "}";
}

} // namespace

std::string
TestConfiguration::ToJson(long long aVersion) const
{
  return "{" + Field("Version", aVersion) + R"(,"Routes":[)" +
         Join(mRoutes, FormatRoute) + R"(],"Services":[)" +
         Join(mServices,
              [this](const std::string& aName) {
                return FormatService(aName, mRunsSendCopies);
              }) +
         R"(],"Limits":{)" + Field("MaxHeaderBytes", mLimits.mHeadBytes) + "," +
         Field("MaxBodyBytes", mLimits.mBodyBytes) + "," +
         Field("HeaderTimeoutMs", mLimits.mHeadTimeoutMs) + "," +
         Field("IdleTimeoutMs", mLimits.mIdleTimeoutMs) + R"(},"Tenants":[)" +
         Join(mWorkspaces, FormatWorkspace) + "]}";
}

TestRoute&
TestConfiguration::RouteOf(const std::string& aName)
{
  return *std::find_if(
    mRoutes.begin(), mRoutes.end(), [&](const TestRoute& aRoute) {
      return aRoute.mName == aName;
    });
}
