#include "core/TargetWaits.h"

#include <algorithm>
#include <iterator>

namespace quetzalquay {

bool
TargetWaits::OnAsked(const std::string& aTarget,
                     const std::string& aIncarnation,
                     Duration aWait,
                     Time aNow)
{
  for (auto it = mWaits.begin(); it != mWaits.end();) {
    it = it->second.mUntil <= aNow ? mWaits.erase(it) : std::next(it);
  }
  const Time until = aNow + std::min(aWait, kMaxWait);
  const Time known = UntilOf(aTarget, aIncarnation);
  if (until > aNow) {
    mWaits[aTarget] = { aIncarnation, std::max(until, known) };
  }
  return until > aNow && known <= aNow;
}

void
TargetWaits::OnDeclared(const std::string& aTarget,
                        const std::string& aIncarnation)
{
  const auto it = mWaits.find(aTarget);
  if (it != mWaits.end() && !aIncarnation.empty() &&
      !it->second.mIncarnation.empty() &&
      it->second.mIncarnation != aIncarnation) {
    mWaits.erase(it);
  }
}

Time
TargetWaits::UntilOf(const std::string& aTarget,
                     const std::string& aIncarnation) const
{
  const auto it = mWaits.find(aTarget);
  const bool applies =
    it != mWaits.end() &&
    (aIncarnation.empty() || it->second.mIncarnation.empty() ||
     it->second.mIncarnation == aIncarnation);
  return applies ? it->second.mUntil : Time();
}

std::size_t
TargetWaits::Count(Time aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mWaits.begin(), mWaits.end(), [&](const auto& aEntry) {
      return aEntry.second.mUntil > aNow;
    }));
}

} // namespace quetzalquay
