#include "observe/EvictionLog.h"

#include "observe/Log.h"

#include <utility>

namespace quetzalquay {

namespace {

constexpr Duration kLineInterval = std::chrono::seconds(1);

} // namespace

EvictionLog::EvictionLog(std::string aAddress)
  : mAddress(std::move(aAddress))
{
}

void
EvictionLog::OnEviction(ConnectionUse aUse, std::size_t aOpen, Time aNow)
{
  ++mCount;
  if (aNow - mLastLine < kLineInterval) {
    return;
  }
  Log(LogLevel::Warn,
      "connection",
      "given up for others",
      { { "address", mAddress },
        { "use", std::string(kConnectionUseNames.NameOf(aUse)) },
        { "open", std::to_string(aOpen) },
        { "connections", std::to_string(mCount) } });
  mLastLine = aNow;
  mCount = 0;
}

} // namespace quetzalquay
