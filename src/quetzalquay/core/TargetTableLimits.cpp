// The part of TargetTable that keeps the limits which targets name.

#include "core/TargetTable.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Time for which requests are held back after a more urgent one was kept from
// being sent by the limits.
constexpr Duration kHoldBackTime = std::chrono::milliseconds(1000);

// Callers that are refused until a target takes requests again come back over
// this time and this share of the time left.
constexpr Duration kMinComeBackSpread = std::chrono::milliseconds(200);
constexpr int kComeBackSpreadDivisor = 5;

} // namespace

void
TargetTable::OnAttemptNotReceived(const std::string& aTarget)
{
  mLimits.OnNotReceived(aTarget);
}

bool
TargetTable::OnAskedToWait(const std::string& aTarget,
                           const std::string& aIncarnation,
                           Duration aWait,
                           Time aNow)
{
  const std::string known = IncarnationOf(aTarget);
  // An answer of a start that another one has followed says nothing about that.
  if (!known.empty() && !aIncarnation.empty() && known != aIncarnation) {
    return false;
  }
  return mWaits.OnAsked(aTarget, aIncarnation, aWait, aNow);
}

bool
TargetTable::WantsNothing(const std::string& aTarget, Time aNow) const
{
  return aNow < mWaits.UntilOf(aTarget, IncarnationOf(aTarget));
}

Duration
TargetTable::TimeToComeBack(const ChoiceQuery& aQuery, Time aNow)
{
  ChoiceQuery query = aQuery;
  query.mExcluded.clear();
  Time soonest = Time::max();
  for (const std::string& it : mTargetsByService[aQuery.mService]) {
    if (!IsUsable(mTargets.at(it), query, aNow)) {
      continue;
    }
    if (!WantsNothing(it, aNow)) {
      return Duration::zero();
    }
    soonest = std::min(soonest, mWaits.UntilOf(it, IncarnationOf(it)));
  }
  if (soonest == Time::max()) {
    return Duration::zero();
  }
  const auto left = std::chrono::ceil<Duration>(soonest - aNow);
  const Duration spread = kMinComeBackSpread + left / kComeBackSpreadDivisor;
  return left + Duration(static_cast<Duration::rep>(
                  mRandom() % static_cast<std::uint64_t>(spread.count())));
}

// Whether what the limits of the usable targets allow is left to more urgent
// requests. A stream that has begun goes on in any case.
bool
TargetTable::IsHeldBack(const std::vector<Target*>& aUsable,
                        const ChoiceQuery& aQuery,
                        Time aNow) const
{
  const auto limited = mLimitedAt.find(aQuery.mService);
  const auto isLimited = [&](const Target* aTarget) {
    return mLimits.LimitOf(aTarget->mDeclaration.mName).has_value();
  };
  return limited != mLimitedAt.end() && !aQuery.mContinuation &&
         std::all_of(aUsable.begin(), aUsable.end(), isLimited) &&
         std::any_of(limited->second.begin(),
                     limited->second.lower_bound(aQuery.mPriority),
                     [&](const auto& aEntry) {
                       return aNow - aEntry.second < kHoldBackTime;
                     });
}

// Records that a request cannot be sent because of limits, and lets other hosts
// be asked for what they have left of one of them.
void
TargetTable::OnLimited(const std::vector<std::string>& aTargets,
                       const ChoiceQuery& aQuery,
                       Time aNow)
{
  if (aTargets.empty()) {
    return;
  }
  mLimitedAt[aQuery.mService][aQuery.mPriority] = aNow;
  mLimits.OnRefused(aTargets[mRandom() % aTargets.size()], aNow);
  NotifyLoadChanged();
}

// Time until this host's part of the limits has admitted what is queued.
Duration
TargetTable::WaitForLimits(const std::vector<std::string>& aLimited,
                           std::size_t aQueued) const
{
  double perSecond = 0;
  for (const std::string& it : aLimited) {
    perSecond += mLimits.LimitOf(it).value_or(0);
  }
  if (perSecond <= 0) {
    return Duration::zero();
  }
  const double seconds =
    static_cast<double>(aQueued) * mLimits.HostCount() / perSecond;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(seconds, 3600.0)));
}

} // namespace quetzalquay
