#include "core/SuspectRegistry.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

// Time for which a cleared request is remembered, so that older reports of its
// losses are recognized as such.
constexpr Duration kClearedLifetime = std::chrono::seconds(10);

// Maximum number of records, and of lost runs in each.
constexpr std::size_t kMaxRecords = 10000;
constexpr std::size_t kMaxRuns = 8;

// Maximum number of records that a new host is told at once.
constexpr std::size_t kMaxReports = 64;

// Number of times that a change is told to other hosts, and the time between.
constexpr int kNewsRepeats = 4;
constexpr Duration kNewsRepeatDelay = std::chrono::milliseconds(500);

// Number of recent deaths that are remembered to recognize common failures.
constexpr std::size_t kMaxDeaths = 2000;

// Time within which deaths of several targets count as one common failure.
constexpr Duration kCommonDeathWindow = std::chrono::milliseconds(400);

// Time within which all deaths of a request count as one moment. They say
// little if other requests were lost in them as well.
constexpr Duration kMoment = std::chrono::milliseconds(1000);

// Lost runs from which on a request may itself have caused a death that it was
// lost in, so that the death does not speak against another one alone.
constexpr std::size_t kMinRivalLosses = 2;

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

SuspectRegistry::SuspectRegistry(Options aOptions)
  : mOptions(aOptions)
{
}

void
SuspectRegistry::OnTargetDeath(const TargetDeath& aDeath)
{
  const auto known = std::find_if(
    mDeaths.begin(), mDeaths.end(), [&](const TargetDeath& aKnown) {
      return aKnown.mId == aDeath.mId;
    });
  if (known != mDeaths.end()) {
    known->mAt = std::min(known->mAt, aDeath.mAt);
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
  Record* record = Obtain(aRequest, aNow);
  if (record != nullptr && AddRun(aRequest, *record, aRun, aNow)) {
    record->mExpiresAt = aNow + kRecordLifetime;
    Tell(aRequest, *record, kNewsRepeats, aNow);
    record->mOwn.insert(aRun.mDeath.mId);
    StoreRuns(aRequest, *record, false);
  }
}

void
SuspectRegistry::StoreRuns(std::uint64_t aRequest,
                           Record& aRecord,
                           bool aOwnOnly)
{
  if (aRecord.mRuns.size() < mStoreThreshold) {
    return;
  }
  for (const LostRun& it : aRecord.mRuns) {
    const std::uint64_t death = it.mDeath.mId;
    if ((!aOwnOnly || aRecord.mOwn.count(death) != 0) &&
        aRecord.mStored.insert(death).second) {
      mStoreChanges.push_back({ aRequest, it, false });
    }
  }
  if (mOnStoreChange && !mStoreChanges.empty()) {
    mOnStoreChange();
  }
}

void
SuspectRegistry::SetStoreThreshold(std::size_t aLostRuns)
{
  mStoreThreshold = aLostRuns;
}

void
SuspectRegistry::SetStoreCallback(std::function<void()> aCall)
{
  mOnStoreChange = std::move(aCall);
}

std::vector<StoredLossChange>
SuspectRegistry::TakeStoreChanges()
{
  return std::exchange(mStoreChanges, {});
}

void
SuspectRegistry::OnStoredLoss(const StoredLossChange& aChange, Time aNow)
{
  const std::uint64_t death = aChange.mRun.mDeath.mId;
  if (!aChange.mRemoved) {
    SuspectReport report;
    report.mRequest = aChange.mRequest;
    report.mRuns.push_back(aChange.mRun);
    Merge(report, false, aNow);
    const auto record = mRecords.find(aChange.mRequest);
    if (record != mRecords.end() && HasRun(record->second.mRuns, death)) {
      record->second.mStored.insert(death);
    }
    return;
  }
  const auto record = mRecords.find(aChange.mRequest);
  if (record == mRecords.end() || record->second.mStored.erase(death) == 0) {
    return;
  }
  auto& runs = record->second.mRuns;
  const std::vector<LostRun> before = runs;
  RemoveRuns(aChange.mRequest, record->second);
  for (const LostRun& it : before) {
    if (it.mDeath.mId != death) {
      AddRun(aChange.mRequest, record->second, it, aNow);
    }
  }
}

void
SuspectRegistry::ClearSuspect(std::uint64_t aRequest, Time aNow)
{
  const auto it = mRecords.find(aRequest);
  if (it == mRecords.end()) {
    return;
  }
  Record& record = it->second;
  for (const LostRun& run : record.mRuns) {
    if (record.mStored.erase(run.mDeath.mId) != 0) {
      mStoreChanges.push_back({ aRequest, run, true });
    }
  }
  if (mOnStoreChange && !mStoreChanges.empty()) {
    mOnStoreChange();
  }
  if (!record.mShared) {
    Erase(aRequest);
    return;
  }
  if (!record.mRuns.empty()) {
    RemoveRuns(aRequest, record);
    record.mConvicted = false;
    record.mClearedAt = aNow;
    record.mExpiresAt = aNow + kClearedLifetime;
    Tell(aRequest, record, kNewsRepeats, aNow);
  }
}

bool
SuspectRegistry::Merge(const SuspectReport& aReport, bool aPassOn, Time aNow)
{
  Record* record = Obtain(aReport.mRequest, aNow);
  if (record == nullptr) {
    return false;
  }
  record->mShared = true;
  bool changed = false;
  if (aReport.mClearedAt &&
      (!record->mClearedAt || *aReport.mClearedAt > *record->mClearedAt)) {
    const std::vector<LostRun> runs = record->mRuns;
    RemoveRuns(aReport.mRequest, *record);
    record->mClearedAt = aReport.mClearedAt;
    for (const LostRun& it : runs) {
      AddRun(aReport.mRequest, *record, it, aNow);
    }
    changed = record->mRuns.size() < runs.size();
  }
  for (const LostRun& it : aReport.mRuns) {
    OnTargetDeath(it.mDeath);
    changed |= AddRun(aReport.mRequest, *record, it, aNow);
  }
  if (changed || record->mRuns.empty()) {
    record->mExpiresAt =
      aNow + (record->mRuns.empty() ? kClearedLifetime : kRecordLifetime);
  }
  if (changed) {
    Tell(aReport.mRequest, *record, aPassOn ? 1 : 0, aNow);
    StoreRuns(aReport.mRequest, *record, true);
  }
  return changed;
}

std::vector<SuspectReport>
SuspectRegistry::TakeNews(Time aNow)
{
  std::vector<std::uint64_t> due;
  for (const std::uint64_t it : mNews) {
    if (mRecords.at(it).mNextNewsAt <= aNow) {
      due.push_back(it);
    }
  }
  const auto more = [this](std::uint64_t aLeft, std::uint64_t aRight) {
    return mRecords.at(aLeft).mRuns.size() > mRecords.at(aRight).mRuns.size();
  };
  std::stable_sort(due.begin(), due.end(), more);
  due.resize(std::min(due.size(), kMaxNews));
  std::vector<SuspectReport> reports;
  for (const std::uint64_t it : due) {
    Record& record = mRecords.at(it);
    record.mShared = true;
    record.mNextNewsAt = aNow + kNewsRepeatDelay;
    if (--record.mNewsLeft == 0) {
      mNews.erase(it);
    }
    reports.push_back({ it, record.mRuns, record.mClearedAt });
  }
  return reports;
}

int
SuspectRegistry::Deaths(std::uint64_t aRequest, Time aNow) const
{
  const Record* record = Find(aRequest, aNow);
  return record == nullptr ? 0 : CountDeaths(aRequest, *record, Time::max());
}

SuspectEvidence
SuspectRegistry::EvidenceOf(std::uint64_t aRequest, Time aNow) const
{
  SuspectEvidence evidence;
  const Record* record = Find(aRequest, aNow);
  if (record == nullptr) {
    return evidence;
  }
  evidence.mLostRuns = static_cast<int>(record->mRuns.size());
  evidence.mCounted = CountDeaths(aRequest, *record, Time::max());
  for (const LostRun& it : record->mRuns) {
    if (IsCommonFailure(*record, it)) {
      ++evidence.mCommonFailures;
    } else if (IsExplained(aRequest, *record, it)) {
      ++evidence.mExplained;
    }
  }
  evidence.mTied = IsTied(aRequest, *record);
  return evidence;
}

bool
SuspectRegistry::IsRefused(std::uint64_t aRequest, Time aNow) const
{
  const Record* record = Find(aRequest, aNow);
  if (record == nullptr) {
    return false;
  }
  const int deaths =
    CountDeaths(aRequest, *record, aNow - mOptions.mSettleTime);
  if (mOptions.mTrials) {
    return record->mConvicted ||
           (deaths >= kMinDeathsToRefuse && !IsUnclear(aRequest, *record));
  }
  return deaths >= kMinDeathsToRefuseTied ||
         (deaths >= kMinDeathsToRefuse && !IsTied(aRequest, *record));
}

SuspectVerdict
SuspectRegistry::Judge(std::uint64_t aRequest,
                       int aPendingLosses,
                       Time aNow) const
{
  const Record* record = Find(aRequest, aNow);
  if (IsRefused(aRequest, aNow)) {
    return SuspectVerdict::Refused;
  }
  int deaths = aPendingLosses;
  bool settled = aPendingLosses == 0;
  if (record != nullptr) {
    // Even if others explain all of its deaths, the request may crash targets,
    // too.
    deaths += mOptions.mTrials ? static_cast<int>(record->mRuns.size())
                               : CountDeaths(aRequest, *record, Time::max());
    settled &= std::all_of(
      record->mRuns.begin(), record->mRuns.end(), [&](const LostRun& aRun) {
        return aRun.mDeath.mAt <= aNow - mOptions.mSettleTime;
      });
  }
  if (deaths < kMinDeathsToRefuse) {
    return SuspectVerdict::Free;
  }
  return settled && mOptions.mTrials ? SuspectVerdict::Unclear
                                     : SuspectVerdict::Unsettled;
}

void
SuspectRegistry::Convict(std::uint64_t aRequest, Time aNow)
{
  if (Record* record = Obtain(aRequest, aNow)) {
    record->mConvicted = true;
    record->mExpiresAt = aNow + kRecordLifetime;
  }
}

std::optional<bool>
SuspectRegistry::JudgeLostTrial(std::uint64_t aRequest,
                                Time aStartedAt,
                                Time aNow) const
{
  const Record* record = Find(aRequest, aNow);
  if (record == nullptr) {
    return std::nullopt;
  }
  const auto trial = std::find_if(
    record->mRuns.begin(), record->mRuns.end(), [&](const LostRun& aRun) {
      return aRun.mStartedAt >= aStartedAt;
    });
  if (trial == record->mRuns.end()) {
    return std::nullopt;
  }
  const auto& lost = mRequests.at(trial->mDeath.mId);
  const bool rival =
    std::any_of(lost.begin(), lost.end(), [&](std::uint64_t aOther) {
      return aOther != aRequest && !IsConvicted(aOther) &&
             mRecords.at(aOther).mRuns.size() > kMinRivalLosses;
    });
  return !rival && !IsCommonFailure(*record, *trial);
}

std::vector<SuspectReport>
SuspectRegistry::Reports(Time aNow)
{
  std::vector<SuspectReport> reports;
  for (const auto& it : mRecords) {
    if (aNow < it.second.mExpiresAt) {
      reports.push_back({ it.first, it.second.mRuns, it.second.mClearedAt });
    }
  }
  const auto more = [](const SuspectReport& aLeft,
                       const SuspectReport& aRight) {
    return aLeft.mRuns.size() > aRight.mRuns.size();
  };
  std::stable_sort(reports.begin(), reports.end(), more);
  reports.resize(std::min(reports.size(), kMaxReports));
  for (const SuspectReport& it : reports) {
    mRecords.at(it.mRequest).mShared = true;
  }
  return reports;
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

std::size_t
SuspectRegistry::Size() const
{
  return static_cast<std::size_t>(
    std::count_if(mRecords.begin(), mRecords.end(), [](const auto& aEntry) {
      return !aEntry.second.mRuns.empty();
    }));
}

const SuspectRegistry::Record*
SuspectRegistry::Find(std::uint64_t aRequest, Time aNow) const
{
  const auto it = mRecords.find(aRequest);
  const bool valid = it != mRecords.end() && aNow < it->second.mExpiresAt;
  return valid ? &it->second : nullptr;
}

SuspectRegistry::Record*
SuspectRegistry::Obtain(std::uint64_t aRequest, Time aNow)
{
  const auto it = mRecords.find(aRequest);
  if (it != mRecords.end() && aNow < it->second.mExpiresAt) {
    return &it->second;
  }
  Erase(aRequest);
  if (mRecords.size() >= kMaxRecords) {
    Expire(aNow);
  }
  if (mRecords.size() >= kMaxRecords) {
    return nullptr;
  }
  Record& record = mRecords[aRequest];
  record.mExpiresAt = aNow + kRecordLifetime;
  return &record;
}

bool
SuspectRegistry::AddRun(std::uint64_t aRequest,
                        Record& aRecord,
                        const LostRun& aRun,
                        Time aNow)
{
  const bool cleared =
    aRecord.mClearedAt && aRun.mDeath.mAt <= *aRecord.mClearedAt;
  if (cleared || aNow - aRun.mDeath.mAt >= kRecordLifetime ||
      aRecord.mRuns.size() >= kMaxRuns ||
      HasRun(aRecord.mRuns, aRun.mDeath.mId)) {
    return false;
  }
  aRecord.mRuns.push_back(aRun);
  mRequests[aRun.mDeath.mId].push_back(aRequest);
  return true;
}

void
SuspectRegistry::RemoveRuns(std::uint64_t aRequest, Record& aRecord)
{
  for (const LostRun& it : aRecord.mRuns) {
    const auto entry = mRequests.find(it.mDeath.mId);
    auto& requests = entry->second;
    requests.erase(std::remove(requests.begin(), requests.end(), aRequest),
                   requests.end());
    if (requests.empty()) {
      mRequests.erase(entry);
    }
  }
  aRecord.mRuns.clear();
}

void
SuspectRegistry::Tell(std::uint64_t aRequest,
                      Record& aRecord,
                      int aRepeats,
                      Time aNow)
{
  if (aRepeats > 0) {
    aRecord.mNewsLeft = std::max(aRecord.mNewsLeft, aRepeats);
    aRecord.mNextNewsAt = aNow;
    mNews.insert(aRequest);
  }
}

void
SuspectRegistry::Erase(std::uint64_t aRequest)
{
  const auto record = mRecords.find(aRequest);
  if (record != mRecords.end()) {
    RemoveRuns(aRequest, record->second);
    mNews.erase(aRequest);
    mRecords.erase(record);
  }
}

int
SuspectRegistry::CountDeaths(std::uint64_t aRequest,
                             const Record& aRecord,
                             Time aBefore) const
{
  const auto counted = std::count_if(
    aRecord.mRuns.begin(), aRecord.mRuns.end(), [&](const LostRun& aRun) {
      return aRun.mDeath.mAt <= aBefore && !IsCommonFailure(aRecord, aRun) &&
             !IsExplained(aRequest, aRecord, aRun);
    });
  return static_cast<int>(counted);
}

std::ptrdiff_t
SuspectRegistry::CountOwnLosses(const Record& aRecord) const
{
  return std::count_if(
    aRecord.mRuns.begin(), aRecord.mRuns.end(), [&](const LostRun& aRun) {
      return !IsCommonFailure(aRecord, aRun);
    });
}

// Whether a run was lost in a failure of several targets that its request did
// not cause: the failure of a place in which all the request's runs had started
// before, or several deaths at once in only one of which it lost a run.
bool
SuspectRegistry::IsCommonFailure(const Record& aRecord,
                                 const LostRun& aRun) const
{
  if (mOptions.mCommonDeathThreshold == 0) {
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
  int own = 0;
  bool followed = false;
  for (const LostRun& it : aRecord.mRuns) {
    if (AreTogether(it.mDeath, aRun.mDeath)) {
      ++own;
      followed |=
        it.mDeath.mPlace == aRun.mDeath.mPlace && it.mStartedAt >= firstInPlace;
    }
  }
  return (inPlace >= mOptions.mCommonDeathThreshold && !followed) ||
         (together >= mOptions.mCommonDeathThreshold && own == 1);
}

// Whether another request that was lost with the same target explains its
// death: a convicted one or, without trials, one that has lost more targets.
bool
SuspectRegistry::IsExplained(std::uint64_t aRequest,
                             const Record& aRecord,
                             const LostRun& aRun) const
{
  const auto requests = mRequests.find(aRun.mDeath.mId);
  const auto own = CountOwnLosses(aRecord);
  return requests != mRequests.end() &&
         std::any_of(requests->second.begin(),
                     requests->second.end(),
                     [&](std::uint64_t aOther) {
                       return aOther != aRequest &&
                              (mOptions.mTrials
                                 ? IsConvicted(aOther)
                                 : CountOwnLosses(mRecords.at(aOther)) > own);
                     });
}

bool
SuspectRegistry::IsConvicted(std::uint64_t aRequest) const
{
  const auto it = mRecords.find(aRequest);
  return it != mRecords.end() && it->second.mConvicted;
}

// Whether another request may have caused one of the deaths that count against
// a request: one that was lost repeatedly, or any one if all deaths came at one
// moment, in which a harmless request may have been retried on one failing
// target after the other.
bool
SuspectRegistry::IsUnclear(std::uint64_t aRequest, const Record& aRecord) const
{
  std::vector<const LostRun*> counted;
  for (const LostRun& it : aRecord.mRuns) {
    if (!IsCommonFailure(aRecord, it) && !IsExplained(aRequest, aRecord, it)) {
      counted.push_back(&it);
    }
  }
  const auto earlier = [](const LostRun* aLeft, const LostRun* aRight) {
    return aLeft->mDeath.mAt < aRight->mDeath.mAt;
  };
  const auto range =
    std::minmax_element(counted.begin(), counted.end(), earlier);
  const bool oneMoment =
    !counted.empty() &&
    (*range.second)->mDeath.mAt - (*range.first)->mDeath.mAt < kMoment;
  return std::any_of(counted.begin(), counted.end(), [&](const LostRun* aRun) {
    const auto& lost = mRequests.at(aRun->mDeath.mId);
    return std::any_of(lost.begin(), lost.end(), [&](std::uint64_t aOther) {
      return aOther != aRequest && !IsConvicted(aOther) &&
             (oneMoment || mRecords.at(aOther).mRuns.size() >= kMinRivalLosses);
    });
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
