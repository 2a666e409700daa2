#include "core/LossLedger.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace quetzalquay {

namespace {

// Time for which a cleared suspect is remembered, so that older reports of its
// losses are recognized as such.
constexpr Duration kClearedLifetime = std::chrono::seconds(10);

// Records that are removed at once to make room for new ones.
constexpr std::size_t kRoomMade = 500;

// Lost runs from which on a request is stored while other hosts are heard.
constexpr std::size_t kStoreThreshold = 2;

// Maximum number of records that a new host is told at once.
constexpr std::size_t kMaxReports = 64;

// Number of times that a change is told to other hosts, and the time between.
constexpr int kNewsRepeats = 4;
constexpr Duration kNewsRepeatDelay = std::chrono::milliseconds(500);

const std::vector<LostRun> kNoRuns;
const std::vector<std::uint64_t> kNoSuspects;

bool
HasRun(const std::vector<LostRun>& aRuns, std::uint64_t aDeath)
{
  return std::any_of(aRuns.begin(), aRuns.end(), [&](const LostRun& aRun) {
    return aRun.mDeath.mId == aDeath;
  });
}

bool
IsEarlier(const LostRun& aLeft, const LostRun& aRight)
{
  return std::make_pair(aLeft.mDeath.mAt, aLeft.mDeath.mId) <
         std::make_pair(aRight.mDeath.mAt, aRight.mDeath.mId);
}

} // namespace

void
LossLedger::OnTargetDeath(const TargetDeath& aDeath)
{
  mDeaths.Add(aDeath);
}

void
LossLedger::AddOwnRun(std::uint64_t aSuspect,
                      const LostRun& aRun,
                      Time aTellAt,
                      Time aNow)
{
  Record& record = Obtain(aSuspect, aNow);
  if (!AddRun(aSuspect, record, aRun, aNow)) {
    return;
  }
  record.mExpiresAt = aNow + kRecordLifetime;
  record.mOwn.insert(aRun.mDeath.mId);
  Tell(aSuspect, record, kNewsRepeats, aTellAt);
  if (aTellAt <= aNow) {
    StoreRuns(aSuspect, record, false, aNow);
  }
}

void
LossLedger::StoreRuns(std::uint64_t aSuspect,
                      Record& aRecord,
                      bool aOwnOnly,
                      Time aNow)
{
  const bool alone = mHostHeardAt && aNow - *mHostHeardAt >= kAloneAfter;
  if (aRecord.mRuns.size() < (alone ? 1 : kStoreThreshold)) {
    return;
  }
  for (const LostRun& it : aRecord.mRuns) {
    const std::uint64_t death = it.mDeath.mId;
    if ((!aOwnOnly || aRecord.mOwn.count(death) != 0) &&
        aRecord.mStored.insert(death).second) {
      mStoreChanges.push_back({ aSuspect, it, false });
    }
  }
  NotifyStore();
}

void
LossLedger::NotifyStore() const
{
  if (mOnStoreChange && !mStoreChanges.empty()) {
    mOnStoreChange();
  }
}

void
LossLedger::SetStoreCallback(std::function<void()> aCall)
{
  mOnStoreChange = std::move(aCall);
}

std::vector<StoredLossChange>
LossLedger::TakeStoreChanges()
{
  return std::exchange(mStoreChanges, {});
}

void
LossLedger::StoreAgain(Time aNow)
{
  std::vector<StoredLossChange> changes;
  for (const auto& it : mRecords) {
    const Record& record = it.second;
    if (aNow >= record.mExpiresAt) {
      continue;
    }
    for (const LostRun& run : record.mRuns) {
      const std::uint64_t death = run.mDeath.mId;
      if (record.mOwn.count(death) != 0 && record.mStored.count(death) != 0) {
        changes.push_back({ it.first, run, false });
      }
    }
    if (record.mClearedAt && aNow - *record.mClearedAt < kClearedLifetime) {
      for (const LostRun& run : record.mUnstored) {
        changes.push_back({ it.first, run, true });
      }
    }
  }
  const auto newer = [](const StoredLossChange& aLeft,
                        const StoredLossChange& aRight) {
    return IsEarlier(aRight.mRun, aLeft.mRun);
  };
  std::sort(changes.begin(), changes.end(), newer);
  changes.resize(std::min(changes.size(), kMaxStoredAgain));
  mStoreChanges.insert(mStoreChanges.end(), changes.begin(), changes.end());
  NotifyStore();
}

void
LossLedger::OnStoredLoss(const StoredLossChange& aChange, Time aNow)
{
  const std::uint64_t death = aChange.mRun.mDeath.mId;
  if (!aChange.mRemoved) {
    SuspectReport report;
    report.mSuspect = aChange.mSuspect;
    report.mRuns.push_back(aChange.mRun);
    Merge(report, false, aNow);
    const auto record = mRecords.find(aChange.mSuspect);
    if (record != mRecords.end() && HasRun(record->second.mRuns, death)) {
      record->second.mStored.insert(death);
    }
    return;
  }
  const auto record = mRecords.find(aChange.mSuspect);
  if (record == mRecords.end() || record->second.mStored.erase(death) == 0) {
    return;
  }
  auto& runs = record->second.mRuns;
  const std::vector<LostRun> before = runs;
  RemoveRuns(aChange.mSuspect, record->second);
  for (const LostRun& it : before) {
    if (it.mDeath.mId != death) {
      AddRun(aChange.mSuspect, record->second, it, aNow);
    }
  }
}

void
LossLedger::Clear(std::uint64_t aSuspect, Time aNow)
{
  OnCleared(aSuspect, aNow);
  const auto it = mRecords.find(aSuspect);
  if (it == mRecords.end()) {
    return;
  }
  Record& record = it->second;
  if (!record.mRuns.empty()) {
    record.mUnstored.clear();
  }
  for (const LostRun& run : record.mRuns) {
    if (record.mStored.erase(run.mDeath.mId) != 0) {
      mStoreChanges.push_back({ aSuspect, run, true });
      record.mUnstored.push_back(run);
    }
  }
  NotifyStore();
  if (!record.mShared) {
    Erase(aSuspect);
    return;
  }
  if (!record.mRuns.empty()) {
    RemoveRuns(aSuspect, record);
    record.mClearedAt = aNow;
    record.mExpiresAt = aNow + kClearedLifetime;
    Tell(aSuspect, record, kNewsRepeats, aNow);
  }
}

bool
LossLedger::Merge(const SuspectReport& aReport, bool aPassOn, Time aNow)
{
  Record& record = Obtain(aReport.mSuspect, aNow);
  record.mShared = true;
  bool changed = false;
  if (aReport.mClearedAt &&
      (!record.mClearedAt || *aReport.mClearedAt > *record.mClearedAt)) {
    const std::vector<LostRun> runs = record.mRuns;
    RemoveRuns(aReport.mSuspect, record);
    record.mClearedAt = aReport.mClearedAt;
    OnCleared(aReport.mSuspect, *aReport.mClearedAt);
    for (const LostRun& it : runs) {
      AddRun(aReport.mSuspect, record, it, aNow);
    }
    changed = record.mRuns.size() < runs.size();
  }
  for (const LostRun& it : aReport.mRuns) {
    OnTargetDeath(it.mDeath);
    changed |= AddRun(aReport.mSuspect, record, it, aNow);
  }
  if (changed || record.mRuns.empty()) {
    record.mExpiresAt =
      aNow + (record.mRuns.empty() ? kClearedLifetime : kRecordLifetime);
  }
  if (changed) {
    Tell(aReport.mSuspect, record, aPassOn ? 1 : 0, aNow);
    StoreRuns(aReport.mSuspect, record, true, aNow);
  }
  return changed;
}

std::vector<SuspectReport>
LossLedger::TakeNews(Time aNow)
{
  std::vector<std::pair<std::size_t, std::uint64_t>> due;
  std::vector<std::uint64_t> unimportant;
  Failures failures;
  for (const std::uint64_t it : mNews) {
    const Record& record = mRecords.at(it);
    if (record.mNextNewsAt > aNow) {
      continue;
    }
    if (IsLostWithPlaceOnly(record.mRuns, failures)) {
      unimportant.push_back(it);
    } else {
      due.emplace_back(kMaxRuns - record.mRuns.size(), it);
    }
  }
  for (const std::uint64_t it : unimportant) {
    mRecords.at(it).mNewsLeft = 0;
    mNews.erase(it);
  }
  const auto end =
    due.begin() + static_cast<long>(std::min(due.size(), kMaxNews));
  std::partial_sort(due.begin(), end, due.end());
  std::vector<SuspectReport> reports;
  for (auto it = due.begin(); it != end; ++it) {
    Record& record = mRecords.at(it->second);
    record.mShared = true;
    record.mNextNewsAt = aNow + kNewsRepeatDelay;
    if (--record.mNewsLeft == 0) {
      mNews.erase(it->second);
    }
    reports.push_back({ it->second, record.mRuns, record.mClearedAt });
  }
  return reports;
}

// Whether all runs were lost in one failure of a place that none of them
// followed from target to target. aFailures remembers what was looked up.
bool
LossLedger::IsLostWithPlaceOnly(const std::vector<LostRun>& aRuns,
                                Failures& aFailures) const
{
  if (mPlaceFailureThreshold == 0 || aRuns.empty()) {
    return false;
  }
  const TargetDeath& first = aRuns.front().mDeath;
  return std::all_of(aRuns.begin(), aRuns.end(), [&](const LostRun& aRun) {
    const TargetDeath& death = aRun.mDeath;
    if (death.mPlace != first.mPlace || !AreTogether(death, first)) {
      return false;
    }
    const auto known = aFailures.try_emplace(death.mId);
    DeathLog::Failure& failure = known.first->second;
    if (known.second) {
      failure = FailureOf(death);
    }
    return failure.mInPlace >= mPlaceFailureThreshold &&
           aRun.mStartedAt < failure.mFirstInPlace;
  });
}

std::vector<SuspectReport>
LossLedger::Reports(Time aNow)
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
    mRecords.at(it.mSuspect).mShared = true;
  }
  return reports;
}

void
LossLedger::Expire(Time aNow)
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

void
LossLedger::MakeRoom()
{
  using Entry = std::tuple<std::size_t, Time, std::uint64_t>;
  std::vector<Entry> entries;
  entries.reserve(mRecords.size());
  for (const auto& it : mRecords) {
    entries.emplace_back(
      it.second.mRuns.size(), it.second.mExpiresAt, it.first);
  }
  const auto end = entries.begin() + static_cast<long>(kRoomMade);
  std::nth_element(entries.begin(), end, entries.end());
  for (auto it = entries.begin(); it != end; ++it) {
    Erase(std::get<2>(*it));
  }
}

std::size_t
LossLedger::Size() const
{
  return static_cast<std::size_t>(
    std::count_if(mRecords.begin(), mRecords.end(), [](const auto& aEntry) {
      return !aEntry.second.mRuns.empty();
    }));
}

const std::vector<LostRun>&
LossLedger::RunsOf(std::uint64_t aSuspect, Time aNow) const
{
  const auto it = mRecords.find(aSuspect);
  const bool valid = it != mRecords.end() && aNow < it->second.mExpiresAt;
  return valid ? it->second.mRuns : kNoRuns;
}

std::optional<Time>
LossLedger::LosingSince(std::uint64_t aSuspect, Time aNow) const
{
  return RunsOf(aSuspect, aNow).empty()
           ? std::nullopt
           : std::make_optional(mRecords.at(aSuspect).mLosingSince);
}

std::optional<Time>
LossLedger::LastClearedAt(std::uint64_t aSuspect, Time aNow) const
{
  const auto it = mRecords.find(aSuspect);
  const bool valid = it != mRecords.end() && aNow < it->second.mExpiresAt;
  return valid ? it->second.mClearedAt : std::nullopt;
}

const std::vector<std::uint64_t>&
LossLedger::LostIn(const TargetDeath& aDeath) const
{
  const auto it = mLostIn.find(aDeath.mId);
  return it == mLostIn.end() ? kNoSuspects : it->second;
}

LossLedger::Record&
LossLedger::Obtain(std::uint64_t aSuspect, Time aNow)
{
  const auto it = mRecords.find(aSuspect);
  if (it != mRecords.end() && aNow < it->second.mExpiresAt) {
    return it->second;
  }
  Erase(aSuspect);
  if (mRecords.size() >= kMaxRecords) {
    MakeRoom();
  }
  Record& record = mRecords[aSuspect];
  record.mExpiresAt = aNow + kRecordLifetime;
  return record;
}

bool
LossLedger::AddRun(std::uint64_t aSuspect,
                   Record& aRecord,
                   const LostRun& aRun,
                   Time aNow)
{
  const bool cleared =
    aRecord.mClearedAt && aRun.mDeath.mAt <= *aRecord.mClearedAt;
  if (cleared || aNow - aRun.mDeath.mAt >= kRecordLifetime ||
      HasRun(aRecord.mRuns, aRun.mDeath.mId)) {
    return false;
  }
  aRecord.mLosingSince = aRecord.mRuns.empty()
                           ? aRun.mDeath.mAt
                           : std::min(aRecord.mLosingSince, aRun.mDeath.mAt);
  if (aRecord.mRuns.size() >= kMaxRuns) {
    // Every host keeps the newest ones, so that they agree in the end.
    const auto oldest =
      std::min_element(aRecord.mRuns.begin(), aRecord.mRuns.end(), IsEarlier);
    if (!IsEarlier(*oldest, aRun)) {
      return false;
    }
    ForgetLoss(aSuspect, oldest->mDeath.mId);
    aRecord.mRuns.erase(oldest);
  }
  aRecord.mRuns.push_back(aRun);
  mLostIn[aRun.mDeath.mId].push_back(aSuspect);
  return true;
}

void
LossLedger::RemoveRuns(std::uint64_t aSuspect, Record& aRecord)
{
  for (const LostRun& it : aRecord.mRuns) {
    ForgetLoss(aSuspect, it.mDeath.mId);
  }
  aRecord.mRuns.clear();
}

void
LossLedger::ForgetLoss(std::uint64_t aSuspect, std::uint64_t aDeath)
{
  const auto entry = mLostIn.find(aDeath);
  auto& suspects = entry->second;
  suspects.erase(std::remove(suspects.begin(), suspects.end(), aSuspect),
                 suspects.end());
  if (suspects.empty()) {
    mLostIn.erase(entry);
  }
}

void
LossLedger::Tell(std::uint64_t aSuspect,
                 Record& aRecord,
                 int aRepeats,
                 Time aAt)
{
  if (aRepeats > 0) {
    const bool isNew = mNews.insert(aSuspect).second;
    aRecord.mNextNewsAt = isNew ? aAt : std::min(aRecord.mNextNewsAt, aAt);
    aRecord.mNewsLeft = std::max(aRecord.mNewsLeft, aRepeats);
  }
}

void
LossLedger::Erase(std::uint64_t aSuspect)
{
  const auto record = mRecords.find(aSuspect);
  if (record != mRecords.end()) {
    RemoveRuns(aSuspect, record->second);
    mNews.erase(aSuspect);
    mRecords.erase(record);
  }
}

} // namespace quetzalquay
