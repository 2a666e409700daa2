#include "core/DeathLog.h"

#include <algorithm>
#include <cstddef>
#include <limits>

namespace quetzalquay {

namespace {

// Number of deaths that are remembered.
constexpr std::size_t kMaxDeaths = 2000;

} // namespace

void
DeathLog::Add(const TargetDeath& aDeath)
{
  const auto known = mDeaths.find(aDeath.mId);
  if (known != mDeaths.end()) {
    if (known->second.mAt <= aDeath.mAt) {
      return;
    }
    mPlaces.erase({ known->second.mAt, aDeath.mId });
  }
  mDeaths[aDeath.mId] = aDeath;
  mPlaces[{ aDeath.mAt, aDeath.mId }] = aDeath.mPlace;
  if (mPlaces.size() > kMaxDeaths) {
    mDeaths.erase(mPlaces.begin()->first.second);
    mPlaces.erase(mPlaces.begin());
  }
}

DeathLog::Failure
DeathLog::FailureOf(const TargetDeath& aDeath) const
{
  Failure failure;
  failure.mFirstInPlace = aDeath.mAt;
  const auto begin = mPlaces.upper_bound(
    { aDeath.mAt - kFailureTime, std::numeric_limits<std::uint64_t>::max() });
  const auto end = mPlaces.lower_bound({ aDeath.mAt + kFailureTime, 0 });
  for (auto it = begin; it != end; ++it) {
    ++failure.mDeaths;
    if (it->second == aDeath.mPlace) {
      ++failure.mInPlace;
      failure.mFirstInPlace = std::min(failure.mFirstInPlace, it->first.first);
    }
  }
  return failure;
}

bool
AreTogether(const TargetDeath& aLeft, const TargetDeath& aRight)
{
  const auto gap =
    aLeft.mAt < aRight.mAt ? aRight.mAt - aLeft.mAt : aLeft.mAt - aRight.mAt;
  return gap < DeathLog::kFailureTime;
}

} // namespace quetzalquay
