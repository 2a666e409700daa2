#include "gateway/FormatLog.h"

#include "observe/Log.h"

namespace quetzalquay {

namespace {

// Pairs of host and kind above which nothing more is logged. Names of hosts are
// as received.
constexpr std::size_t kMaxLogged = 2000;

// Length up to which a name is kept and logged.
constexpr std::size_t kMaxNameBytes = 256;

} // namespace

void
FormatLog::OnUnreadable(const std::string& aHost, const std::string& aKind)
{
  mMetrics.Add(GatewayCounter::UnreadableRecords);
  if (mLogged.size() >= kMaxLogged) {
    return;
  }
  const std::string host = aHost.substr(0, kMaxNameBytes);
  const std::string kind = aKind.substr(0, kMaxNameBytes);
  if (mLogged.emplace(host, kind).second) {
    Log(LogLevel::Warn,
        "peers",
        "record of another host cannot be read",
        { { "host", host }, { "kind", kind } });
  }
}

std::size_t
FormatLog::KeptBytes() const
{
  std::size_t bytes = 0;
  for (const auto& [host, kind] : mLogged) {
    bytes += host.size() + kind.size();
  }
  return bytes;
}

} // namespace quetzalquay
