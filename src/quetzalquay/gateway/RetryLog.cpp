#include "gateway/RetryLog.h"

#include "observe/Log.h"

#include <array>

namespace quetzalquay {

namespace {

// Longest time without a line while the decisions for a service are the same.
constexpr Duration kLineInterval = std::chrono::seconds(1);

// Counters by retry source.
constexpr std::array<GatewayCounter, 3> kCounters = {
  GatewayCounter::OwnRetries,
  GatewayCounter::GrantedRetries,
  GatewayCounter::RetriesRefused,
};

} // namespace

RetryLog::RetryLog(GatewayMetrics& aMetrics)
  : mMetrics(aMetrics)
{
}

void
RetryLog::OnDecision(const RetryDecision& aDecision, Time aNow)
{
  mMetrics.Add(kCounters[static_cast<std::size_t>(aDecision.mSource)]);
  mMetrics.Set(GatewayGauge::RetryHosts, aDecision.mHosts);
  LastLine& last = mLastLines[aDecision.mService];
  if (aDecision.mSource == last.mSource && aNow - last.mAt < kLineInterval) {
    ++last.mSkipped;
    return;
  }
  Log(LogLevel::Info,
      "fleet",
      aDecision.mSource == RetrySource::None ? "retry refused"
                                             : "retry allowed",
      { { "service", aDecision.mService },
        { "source", std::string(kRetrySourceNames.NameOf(aDecision.mSource)) },
        { "late", aDecision.mTiming == RetryTiming::Late ? "true" : "false" },
        { "hosts", std::to_string(aDecision.mHosts) },
        { "share", std::to_string(static_cast<int>(aDecision.mShare)) },
        { "first_attempts", std::to_string(aDecision.mFirstAttempts) },
        { "allowed", std::to_string(static_cast<int>(aDecision.mAllowed)) },
        { "used", std::to_string(aDecision.mUsed) },
        { "fleet_allowed",
          std::to_string(static_cast<int>(aDecision.mFleetAllowed)) },
        { "fleet_used", std::to_string(aDecision.mFleetUsed) },
        { "credit", std::to_string(aDecision.mCredit) },
        { "skipped", std::to_string(last.mSkipped) } });
  last = { aDecision.mSource, aNow, 0 };
}

} // namespace quetzalquay
