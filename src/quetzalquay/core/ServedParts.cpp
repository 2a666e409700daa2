#include "core/ServedParts.h"

#include <utility>

namespace quetzalquay {

void
ServedParts::OnServed(std::uint64_t aPart, Time aNow)
{
  if (mRecent.size() >= kMaxParts || aNow - mRecentSince >= kMemory) {
    mOlder = std::exchange(mRecent, {});
    mRecentSince = aNow;
  }
  mRecent[aPart] = aNow;
}

std::optional<Time>
ServedParts::LastServedAt(std::uint64_t aPart) const
{
  for (const Times* it : { &mRecent, &mOlder }) {
    const auto known = it->find(aPart);
    if (known != it->end()) {
      return known->second;
    }
  }
  return std::nullopt;
}

} // namespace quetzalquay
