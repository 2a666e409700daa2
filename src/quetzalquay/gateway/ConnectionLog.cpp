#include "gateway/ConnectionLog.h"

#include "observe/Log.h"

namespace quetzalquay {

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

// Lines per second about connections that were cut.
constexpr int kMaxCutLines = 20;

} // namespace

ConnectionLog::ConnectionLog(GatewayMetrics& aMetrics)
  : mMetrics(aMetrics)
{
}

void
ConnectionLog::OnCut(ConnectionEnd aEnd,
                     const UnfinishedBytes& aBytes,
                     const std::string& aRequestId,
                     Time aNow)
{
  mMetrics.Add(aEnd == ConnectionEnd::CallerGone
                 ? GatewayCounter::ConnectionsLeft
                 : GatewayCounter::ConnectionsCut);
  if (aNow - mSecondStart >= kSecond) {
    mSecondStart = aNow;
    mCutLines = 0;
  }
  if (++mCutLines > kMaxCutLines) {
    return;
  }
  Log(LogLevel::Warn,
      "connection",
      "ended with unfinished bytes",
      { { "cause", std::string(kConnectionEndNames.NameOf(aEnd)) },
        { "received", std::to_string(aBytes.mReceived) },
        { "unsent", std::to_string(aBytes.mUnsent) },
        { "request", aRequestId } });
}

void
ConnectionLog::OnTurnedAway(std::size_t aOpen, Time aNow)
{
  mMetrics.Add(GatewayCounter::ConnectionsTurnedAway);
  ++mTurnedAway;
  if (aNow - mLastTurnedAwayLine < kSecond) {
    return;
  }
  Log(LogLevel::Warn,
      "connection",
      "turned away, too many are open",
      { { "open", std::to_string(aOpen) },
        { "connections", std::to_string(mTurnedAway) } });
  mLastTurnedAwayLine = aNow;
  mTurnedAway = 0;
}

void
ConnectionLog::OnGivenUp(ConnectionUse aUse, std::size_t aOpen, Time aNow)
{
  mMetrics.Add(GatewayCounter::ConnectionsGivenUp);
  mEvictionLog.OnEviction(aUse, aOpen, aNow);
}

void
ConnectionLog::OnNotAccepted(const std::string& aReason, Time aNow)
{
  mMetrics.Add(GatewayCounter::AcceptsFailed);
  ++mNotAccepted;
  if (aNow - mLastNotAcceptedLine < kSecond) {
    return;
  }
  Log(LogLevel::Warn,
      "connection",
      "could not be accepted",
      { { "reason", aReason }, { "tries", std::to_string(mNotAccepted) } });
  mLastNotAcceptedLine = aNow;
  mNotAccepted = 0;
}

} // namespace quetzalquay
