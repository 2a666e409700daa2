#include "gateway/WaitWatch.h"

#include "observe/Log.h"

namespace quetzalquay {

namespace {

// Interval at which malformed times of one target are logged.
constexpr Duration kLogInterval = std::chrono::seconds(10);

// Characters of a malformed time that are logged.
constexpr std::size_t kMaxLoggedText = 40;

} // namespace

WaitWatch::WaitWatch(Fleet& aFleet, GatewayMetrics& aMetrics)
  : mFleet(aFleet)
  , mMetrics(aMetrics)
{
}

void
WaitWatch::OnAnswer(const std::string& aTarget,
                    const std::string& aIncarnation,
                    const platform::TargetResponse& aResponse)
{
  if (!aResponse.mMalformedWait.empty()) {
    LogMalformed(aTarget, aResponse.mMalformedWait);
  }
  if (!aResponse.mWait ||
      !mFleet.Targets().OnAskedToWait(
        aTarget, aIncarnation, *aResponse.mWait, EventLoop::Now())) {
    return;
  }
  mMetrics.Add(GatewayCounter::TargetWaits);
  Log(LogLevel::Info,
      "fleet",
      "target wants nothing for a while",
      { { "target", aTarget },
        { "incarnation", aIncarnation },
        { "asked_ms",
          std::to_string(
            static_cast<long long>(ToMilliseconds(*aResponse.mWait))) } });
}

void
WaitWatch::LogMalformed(const std::string& aTarget, const std::string& aText)
{
  mMetrics.Add(GatewayCounter::WaitsMalformed);
  const Time now = EventLoop::Now();
  Time& next = mNextLogAt[aTarget];
  if (now >= next) {
    next = now + kLogInterval;
    Log(LogLevel::Warn,
        "fleet",
        "malformed Retry-After of a target ignored",
        { { "target", aTarget },
          { "retry_after", aText.substr(0, kMaxLoggedText) } });
  }
}

} // namespace quetzalquay
