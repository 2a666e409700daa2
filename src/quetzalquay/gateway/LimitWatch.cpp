#include "gateway/LimitWatch.h"

#include "observe/Log.h"

namespace quetzalquay {

namespace {

// Interval at which malformed limits of one target are logged.
constexpr Duration kLogInterval = std::chrono::seconds(10);

// Characters of a malformed limit that are logged.
constexpr std::size_t kMaxLoggedText = 40;

} // namespace

LimitWatch::LimitWatch(Fleet& aFleet, GatewayMetrics& aMetrics)
  : mFleet(aFleet)
  , mMetrics(aMetrics)
{
}

void
LimitWatch::OnAnswer(const std::string& aTarget,
                     const platform::TargetResponse& aResponse)
{
  const Time now = EventLoop::Now();
  if (aResponse.mMisdirected) {
    return;
  }
  if (aResponse.mSlowness) {
    mFleet.Targets().OnSpeedFigure(aTarget, *aResponse.mSlowness, now);
  } else if (!aResponse.mMalformedSlowness.empty()) {
    LogMalformed("malformed speed of a target ignored",
                 aTarget,
                 aResponse.mMalformedSlowness);
  }
  if (aResponse.mMalformedLimit.empty()) {
    Apply({ aTarget, aResponse.mRequestLimit, now }, "answer");
  } else {
    mMetrics.Add(GatewayCounter::LimitsMalformed);
    LogMalformed("malformed limit of a target ignored",
                 aTarget,
                 aResponse.mMalformedLimit);
  }
  if (!aResponse.mMalformedBrittle.empty()) {
    mMetrics.Add(GatewayCounter::BrittleMalformed);
    LogMalformed("malformed number of rejections of a target ignored",
                 aTarget,
                 aResponse.mMalformedBrittle);
  } else if (const TargetLocation* location = mFleet.Locate(aTarget)) {
    Apply({ aTarget, location->mService, aResponse.mBrittle, now }, "answer");
  }
}

void
LimitWatch::LogMalformed(const char* aMessage,
                         const std::string& aTarget,
                         const std::string& aText)
{
  const Time now = EventLoop::Now();
  Time& next = mNextLogAt[aTarget];
  if (now >= next) {
    next = now + kLogInterval;
    Log(LogLevel::Warn,
        "fleet",
        aMessage,
        { { "target", aTarget }, { "text", aText.substr(0, kMaxLoggedText) } });
  }
}

void
LimitWatch::OnPeerReport(const std::string& aHost, BrittleReport aReport)
{
  if (const TargetLocation* location = mFleet.Locate(aReport.mTarget)) {
    aReport.mService = location->mService;
    Apply(aReport, aHost);
  }
}

void
LimitWatch::Apply(const BrittleReport& aReport, const std::string& aSource)
{
  TargetRoom& room = mFleet.Targets().Room();
  if (!room.OnReport(aReport)) {
    return;
  }
  const Time now = EventLoop::Now();
  Log(LogLevel::Info,
      "fleet",
      aReport.mRejections ? "target is brittle" : "target is no longer brittle",
      { { "target", aReport.mTarget },
        { "service", aReport.mService },
        { "rejections_per_second",
          aReport.mRejections ? std::to_string(*aReport.mRejections)
                              : std::string() },
        { "keeper", room.KeeperOf(aReport.mTarget, now).value_or("none") },
        { "source", aSource },
        { "age_ms",
          std::to_string(
            static_cast<int>(ToMilliseconds(now - aReport.mSaidAt))) } });
}

void
LimitWatch::OnPeerReport(const std::string& aHost, const LimitReport& aReport)
{
  if (mFleet.Locate(aReport.mTarget) != nullptr) {
    Apply(aReport, aHost);
  }
}

void
LimitWatch::Apply(const LimitReport& aReport, const std::string& aSource)
{
  if (!mFleet.Targets().Limits().OnReport(aReport)) {
    return;
  }
  const auto age = EventLoop::Now() - aReport.mSaidAt;
  Log(
    LogLevel::Info,
    "fleet",
    aReport.mRequestsPerSecond ? "target names a limit"
                               : "target names no limit any more",
    { { "target", aReport.mTarget },
      { "per_second",
        aReport.mRequestsPerSecond ? std::to_string(*aReport.mRequestsPerSecond)
                                   : std::string() },
      { "source", aSource },
      { "age_ms", std::to_string(static_cast<int>(ToMilliseconds(age))) },
      { "hosts", std::to_string(mFleet.HostAddresses().size()) } });
}

} // namespace quetzalquay
