#include "core/ConfigurationFreshness.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace quetzalquay {

ConfigurationFreshness::ConfigurationFreshness(int aRouters)
  : mRouters(aRouters)
{
}

void
ConfigurationFreshness::OnApplied(unsigned aRevision)
{
  mApplied = std::max(mApplied, aRevision);
  mHeard = std::max(mHeard, aRevision);
}

void
ConfigurationFreshness::OnStoreRead(unsigned aRevision, Time aNow)
{
  RecordRevision(aRevision, aNow);
  mStoreRead = true;
  mStoreReadAt = aNow;
  mConfirmedUntil = std::max(mConfirmedUntil, aNow + kConfirmedFor);
}

void
ConfigurationFreshness::OnPeer(const std::string& aPeer,
                               unsigned aRevision,
                               bool aStoreReached,
                               Time aNow)
{
  RecordRevision(aRevision, aNow);
  mPeersHeardAt[aPeer] = aNow;
  if (aStoreReached) {
    mConfirmedUntil = std::max(mConfirmedUntil, aNow + kConfirmedFor);
  }
}

Time
ConfigurationFreshness::ServeUntil(Time aNow) const
{
  if (mApplied == 0) {
    return aNow;
  }
  const Time until = std::max(mConfirmedUntil, MajorityConfirmedUntil());
  if (mHeard > mApplied) {
    return std::min(until, mHeardAt + kCatchUpTime);
  }
  return until;
}

bool
ConfigurationFreshness::StoreReached(Time aNow) const
{
  return mStoreRead && aNow - mStoreReadAt < kMaxStoreReadAge;
}

void
ConfigurationFreshness::RecordRevision(unsigned aRevision, Time aNow)
{
  if (aRevision > mHeard) {
    mHeard = aRevision;
    mHeardAt = aNow;
  }
}

Time
ConfigurationFreshness::MajorityConfirmedUntil() const
{
  // With this many peers, this router is part of a majority.
  const auto needed = static_cast<std::size_t>(mRouters / 2);
  if (needed == 0) {
    return Time::max();
  }
  std::vector<Time> heard;
  for (const auto& it : mPeersHeardAt) {
    heard.push_back(it.second);
  }
  if (heard.size() < needed) {
    return Time();
  }
  std::sort(heard.begin(), heard.end(), std::greater<>());
  return heard[needed - 1] + kConfirmedFor;
}

} // namespace quetzalquay
