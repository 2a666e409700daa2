#include "core/ReplacedConfigurations.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

void
ReplacedConfigurations::OnReplaced(RefPtr<RoutingTable> aRouting, Time aNow)
{
  mReplaced.push_back({ std::move(aRouting), aNow });
  if (mReplaced.size() > kMaxKept) {
    mReplaced.pop_front();
  }
}

RefPtr<RoutingTable>
ReplacedConfigurations::Find(std::int64_t aVersion, Time aInForceAt) const
{
  // The newest one first: numbers may be used again.
  const auto found = std::find_if(
    mReplaced.rbegin(), mReplaced.rend(), [&](const Replaced& aReplaced) {
      return aReplaced.mRouting->mVersion == aVersion &&
             aInForceAt <= aReplaced.mReplacedAt;
    });
  return found == mReplaced.rend() ? RefPtr<RoutingTable>() : found->mRouting;
}

} // namespace quetzalquay
