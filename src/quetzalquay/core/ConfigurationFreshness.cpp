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
  mAppliedRevision = std::max(mAppliedRevision, aRevision);
  mLatestKnownRevision = std::max(mLatestKnownRevision, aRevision);
}

void
ConfigurationFreshness::OnStoreRead(unsigned aRevision, Time aNow)
{
  RecordRevision(aRevision, aNow);
  mStoreRead = true;
  mStoreReadAt = aNow;
  mConfirmedUntil = std::max(mConfirmedUntil, aNow + kConfirmationLifetime);
}

void
ConfigurationFreshness::OnPeerReport(const std::string& aPeer,
                                     unsigned aRevision,
                                     bool aStoreReached,
                                     Time aNow)
{
  RecordRevision(aRevision, aNow);
  mPeerReportedAt[aPeer] = aNow;
  if (aStoreReached) {
    mConfirmedUntil = std::max(mConfirmedUntil, aNow + kConfirmationLifetime);
  }
}

Time
ConfigurationFreshness::ServeUntil(Time aNow) const
{
  if (mAppliedRevision == 0) {
    return aNow;
  }
  const Time until = std::max(mConfirmedUntil, MajorityConfirmedUntil());
  if (mLatestKnownRevision > mAppliedRevision) {
    return std::min(until, mLatestKnownAt + kMaxApplyDelay);
  }
  return until;
}

bool
ConfigurationFreshness::HasReadStoreRecently(Time aNow) const
{
  return mStoreRead && aNow - mStoreReadAt < kMaxStoreReadAge;
}

void
ConfigurationFreshness::RecordRevision(unsigned aRevision, Time aNow)
{
  if (aRevision > mLatestKnownRevision) {
    mLatestKnownRevision = aRevision;
    mLatestKnownAt = aNow;
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
  std::vector<Time> reportedAt;
  for (const auto& it : mPeerReportedAt) {
    reportedAt.push_back(it.second);
  }
  if (reportedAt.size() < needed) {
    return Time();
  }
  std::sort(reportedAt.begin(), reportedAt.end(), std::greater<>());
  return reportedAt[needed - 1] + kConfirmationLifetime;
}

} // namespace quetzalquay
