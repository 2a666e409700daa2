#include "core/SuspectRegistry.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Time from the last change of a record until it expires.
constexpr Duration kRecordLifetime = std::chrono::minutes(10);

// Number of records from which on expired ones are removed.
constexpr std::size_t kCleanupRecords = 10000;

// Number of recent deaths that are remembered to recognize common failures.
constexpr std::size_t kMaxDeaths = 2000;

// Time within which deaths of several targets count as one common failure.
constexpr Duration kCommonDeathWindow = std::chrono::milliseconds(400);

// Minimum deaths of a suspect that is shared with peers. A single death makes
// suspects of all requests on the target, most of which did not cause it.
constexpr int kMinListedDeaths = 2;

// Maximum number of suspects shared with peers at once.
constexpr std::size_t kMaxListedSuspects = 64;

bool
AreTogether(const TargetDeath& aLeft, const TargetDeath& aRight)
{
  const auto gap =
    aLeft.mAt < aRight.mAt ? aRight.mAt - aLeft.mAt : aLeft.mAt - aRight.mAt;
  return gap < kCommonDeathWindow;
}

bool
HasRun(const std::vector<LostRun>& aRuns, std::uint64_t aDeath)
{
  return std::any_of(aRuns.begin(), aRuns.end(), [&](const LostRun& aRun) {
    return aRun.mDeath.mId == aDeath;
  });
}

} // namespace

SuspectRegistry::SuspectRegistry(int aCommonDeathThreshold)
  : mCommonDeathThreshold(aCommonDeathThreshold)
{
}

void
SuspectRegistry::OnTargetDeath(const TargetDeath& aDeath)
{
  const auto known =
    std::any_of(mDeaths.begin(), mDeaths.end(), [&](const TargetDeath& aKnown) {
      return aKnown.mId == aDeath.mId;
    });
  if (known) {
    return;
  }
  mDeaths.push_back(aDeath);
  if (mDeaths.size() > kMaxDeaths) {
    mDeaths.pop_front();
  }
}

void
SuspectRegistry::OnRunLost(std::uint64_t aRequest,
                           const LostRun& aRun,
                           Time aNow)
{
  OnTargetDeath(aRun.mDeath);
  if (mRecords.size() >= kCleanupRecords) {
    Expire(aNow);
  }
  if (Find(aRequest, aNow) == nullptr) {
    Erase(aRequest);
  }
  Record& record = mRecords[aRequest];
  record.mExpiresAt = aNow + kRecordLifetime;
  if (!HasRun(record.mRuns, aRun.mDeath.mId)) {
    record.mRuns.push_back(aRun);
    mRequests[aRun.mDeath.mId].push_back(aRequest);
  }
}

void
SuspectRegistry::ClearSuspect(std::uint64_t aRequest)
{
  Erase(aRequest);
}

int
SuspectRegistry::Deaths(std::uint64_t aRequest, Time aNow) const
{
  const Record* record = Find(aRequest, aNow);
  return record == nullptr ? 0 : CountDeaths(aRequest, *record);
}

bool
SuspectRegistry::IsRefused(std::uint64_t aRequest, Time aNow) const
{
  const Record* record = Find(aRequest, aNow);
  if (record == nullptr) {
    return false;
  }
  const int deaths = CountDeaths(aRequest, *record);
  return deaths >= kMinDeathsToRefuseTied ||
         (deaths >= kMinDeathsToRefuse && !IsTied(aRequest, *record));
}

void
SuspectRegistry::Merge(std::uint64_t aRequest, int aDeaths, Time aNow)
{
  if (aDeaths <= Deaths(aRequest, aNow)) {
    return;
  }
  Record& record = mRecords[aRequest];
  record.mPeerDeaths = aDeaths;
  record.mExpiresAt = aNow + kRecordLifetime;
}

std::vector<SuspectRegistry::Suspect>
SuspectRegistry::List(Time aNow) const
{
  std::vector<Suspect> suspects;
  for (const auto& it : mRecords) {
    const int deaths = Deaths(it.first, aNow);
    if (deaths >= kMinListedDeaths) {
      suspects.push_back({ it.first, deaths });
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
  std::vector<std::uint64_t> expired;
  for (const auto& it : mRecords) {
    if (aNow >= it.second.mExpiresAt) {
      expired.push_back(it.first);
    }
  }
  for (const std::uint64_t it : expired) {
    Erase(it);
  }
}

const SuspectRegistry::Record*
SuspectRegistry::Find(std::uint64_t aRequest, Time aNow) const
{
  const auto it = mRecords.find(aRequest);
  const bool valid = it != mRecords.end() && aNow < it->second.mExpiresAt;
  return valid ? &it->second : nullptr;
}

void
SuspectRegistry::Erase(std::uint64_t aRequest)
{
  const auto record = mRecords.find(aRequest);
  if (record == mRecords.end()) {
    return;
  }
  for (const LostRun& it : record->second.mRuns) {
    const auto entry = mRequests.find(it.mDeath.mId);
    auto& requests = entry->second;
    requests.erase(std::remove(requests.begin(), requests.end(), aRequest),
                   requests.end());
    if (requests.empty()) {
      mRequests.erase(entry);
    }
  }
  mRecords.erase(record);
}

int
SuspectRegistry::CountDeaths(std::uint64_t aRequest,
                             const Record& aRecord) const
{
  const auto counted = std::count_if(
    aRecord.mRuns.begin(), aRecord.mRuns.end(), [&](const LostRun& aRun) {
      return !IsCommonFailure(aRecord, aRun) &&
             !IsExplained(aRequest, aRecord, aRun);
    });
  return std::max(static_cast<int>(counted), aRecord.mPeerDeaths);
}

// Whether a run was lost in a failure of several targets that its request did
// not cause. The request did not cause the failure of a place that began before
// the run did not exist yet, nor one in which it lost a single run.
bool
SuspectRegistry::IsCommonFailure(const Record& aRecord,
                                 const LostRun& aRun) const
{
  if (mCommonDeathThreshold == 0) {
    return false;
  }
  int together = 0;
  int inPlace = 0;
  Time firstInPlace = aRun.mDeath.mAt;
  for (const TargetDeath& it : mDeaths) {
    if (!AreTogether(it, aRun.mDeath)) {
      continue;
    }
    ++together;
    if (it.mPlace == aRun.mDeath.mPlace) {
      ++inPlace;
      firstInPlace = std::min(firstInPlace, it.mAt);
    }
  }
  if (inPlace >= mCommonDeathThreshold && aRun.mStartedAt < firstInPlace) {
    return true;
  }
  const auto own = std::count_if(
    aRecord.mRuns.begin(), aRecord.mRuns.end(), [&](const LostRun& aOther) {
      return AreTogether(aOther.mDeath, aRun.mDeath);
    });
  return together >= mCommonDeathThreshold && own == 1;
}

// Whether another request that was lost with the same target has lost more
// targets.
bool
SuspectRegistry::IsExplained(std::uint64_t aRequest,
                             const Record& aRecord,
                             const LostRun& aRun) const
{
  const auto requests = mRequests.find(aRun.mDeath.mId);
  return requests != mRequests.end() &&
         std::any_of(requests->second.begin(),
                     requests->second.end(),
                     [&](std::uint64_t aOther) {
                       return aOther != aRequest &&
                              mRecords.at(aOther).mRuns.size() >
                                aRecord.mRuns.size();
                     });
}

// Whether another request was lost in the same deaths.
bool
SuspectRegistry::IsTied(std::uint64_t aRequest, const Record& aRecord) const
{
  if (aRecord.mRuns.empty()) {
    return false;
  }
  const auto candidates = mRequests.find(aRecord.mRuns.front().mDeath.mId);
  return std::any_of(candidates->second.begin(),
                     candidates->second.end(),
                     [&](std::uint64_t aOther) {
                       const auto& runs = mRecords.at(aOther).mRuns;
                       return aOther != aRequest &&
                              std::all_of(aRecord.mRuns.begin(),
                                          aRecord.mRuns.end(),
                                          [&](const LostRun& aRun) {
                                            return HasRun(runs,
                                                          aRun.mDeath.mId);
                                          });
                     });
}

} // namespace quetzalquay
