#include "gateway/FormatLog.h"

#include "observe/Log.h"

namespace quetzalquay {

namespace {

// Pairs of host and kind above which nothing more is logged. Names of hosts are
// as received.
constexpr std::size_t kMaxLogged = 2000;

} // namespace

void
FormatLog::OnUnreadable(const std::string& aHost, const std::string& aKind)
{
  mMetrics.Add(GatewayCounter::UnreadableRecords);
  if (mLogged.size() < kMaxLogged && mLogged.emplace(aHost, aKind).second) {
    Log(LogLevel::Warn,
        "peers",
        "record of another host cannot be read",
        { { "host", aHost }, { "kind", aKind } });
  }
}

} // namespace quetzalquay
