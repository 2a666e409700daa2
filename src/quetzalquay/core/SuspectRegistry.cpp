#include "core/SuspectRegistry.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Time from the last change of a record until it expires.
constexpr Duration kRecordLifetime = std::chrono::minutes(10);

// Number of records from which on expired ones are removed.
constexpr std::size_t kCleanupRecords = 10000;

// Minimum deaths of a suspect that is shared with peers. A single death makes
// suspects of all requests on the target, most of which did not cause it.
constexpr int kMinListedDeaths = 2;

// Maximum number of suspects shared with peers at once.
constexpr std::size_t kMaxListedSuspects = 64;

} // namespace

void
SuspectRegistry::OnTargetDeath(const std::vector<std::uint64_t>& aRequests,
                               Time aNow)
{
  int most = 0;
  for (const std::uint64_t it : aRequests) {
    most = std::max(most, Deaths(it, aNow));
  }
  for (const std::uint64_t it : aRequests) {
    if (Deaths(it, aNow) == most) {
      AddDeath(it, aNow);
    }
  }
}

void
SuspectRegistry::ClearSuspect(std::uint64_t aRequest)
{
  mRecords.erase(aRequest);
}

int
SuspectRegistry::Deaths(std::uint64_t aRequest, Time aNow) const
{
  const auto it = mRecords.find(aRequest);
  if (it == mRecords.end() || aNow >= it->second.mExpiresAt) {
    return 0;
  }
  return it->second.mDeaths;
}

bool
SuspectRegistry::IsRefused(std::uint64_t aRequest, Time aNow) const
{
  return Deaths(aRequest, aNow) >= kMinDeathsToRefuse;
}

void
SuspectRegistry::Merge(std::uint64_t aRequest, int aDeaths, Time aNow)
{
  if (aDeaths <= Deaths(aRequest, aNow)) {
    return;
  }
  mRecords[aRequest] = { aDeaths, aNow + kRecordLifetime };
}

std::vector<SuspectRegistry::Suspect>
SuspectRegistry::List(Time aNow) const
{
  std::vector<Suspect> suspects;
  for (const auto& it : mRecords) {
    if (aNow < it.second.mExpiresAt && it.second.mDeaths >= kMinListedDeaths) {
      suspects.push_back({ it.first, it.second.mDeaths });
    }
  }
  const auto more = [](const Suspect& aLeft, const Suspect& aRight) {
    return aLeft.mDeaths > aRight.mDeaths;
  };
  std::sort(suspects.begin(), suspects.end(), more);
  if (suspects.size() > kMaxListedSuspects) {
    suspects.resize(kMaxListedSuspects);
  }
  return suspects;
}

void
SuspectRegistry::Expire(Time aNow)
{
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    it = aNow >= it->second.mExpiresAt ? mRecords.erase(it) : std::next(it);
  }
}

void
SuspectRegistry::AddDeath(std::uint64_t aRequest, Time aNow)
{
  const int deaths = Deaths(aRequest, aNow) + 1;
  if (mRecords.size() >= kCleanupRecords) {
    Expire(aNow);
  }
  mRecords[aRequest] = { deaths, aNow + kRecordLifetime };
}

} // namespace quetzalquay
