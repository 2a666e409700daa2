#include "core/TargetEntries.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace quetzalquay {

namespace {

// Number of records above which removed entries are evicted. Their versions are
// kept until then to tell late updates from a new registration.
constexpr std::size_t kMaxRecords = 20000;

// Precedes the software version of a target that is not registered. Registered
// versions have no control characters.
constexpr char kUnregisteredPrefix = '\x01';

bool
IsSameRegistration(const TargetEntry& aLeft, const TargetEntry& aRight)
{
  return aLeft.mService == aRight.mService &&
         aLeft.mAddress == aRight.mAddress && aLeft.mPlace == aRight.mPlace &&
         aLeft.mIncarnation == aRight.mIncarnation &&
         aLeft.mSoftwareVersion == aRight.mSoftwareVersion &&
         aLeft.mSlots == aRight.mSlots && aLeft.mLeaving == aRight.mLeaving;
}

} // namespace

bool
IsRegisteredVersion(const std::string& aVersion)
{
  return !aVersion.empty() && aVersion[0] != kUnregisteredPrefix;
}

TargetEntries::TargetEntries(Duration aReregistrationTime)
  : mReregistrationTime(aReregistrationTime)
{
}

bool
TargetEntries::OnRegistered(const TargetEntry& aEntry,
                            std::int64_t aVersion,
                            Time aNow)
{
  mVersion = std::max(mVersion, aVersion);
  Record& record = mRecordsByName[aEntry.mName];
  if (!IsOlder(record, aVersion)) {
    return false;
  }
  const bool isFirstOfEra = record.mEra != mEra;
  const bool wasLeft =
    record.mLeftBefore && record.mEntry.mIncarnation == aEntry.mIncarnation;
  record.mEra = mEra;
  if (wasLeft && isFirstOfEra && record.mRemoved) {
    // Only a later write shows that the target lives.
    record.mVersion = aVersion;
    return false;
  }
  TargetEntry entry = aEntry;
  entry.mLeaving |= wasLeft && record.mEntry.mLeaving;
  record.mLeftBefore = wasLeft && entry.mLeaving;
  const bool changed = record.mVersion == 0 || record.mRemoved ||
                       !record.mValid ||
                       !IsSameRegistration(record.mEntry, entry);
  record.mEntry = entry;
  record.mVersion = aVersion;
  record.mUpdatedAt = aNow;
  record.mValid = true;
  record.mRemoved = false;
  record.mRetainedUntil = Time::max();
  return changed;
}

bool
TargetEntries::OnMalformed(const std::string& aName,
                           std::int64_t aVersion,
                           Time aNow)
{
  mVersion = std::max(mVersion, aVersion);
  Record& record = mRecordsByName[aName];
  if (!IsOlder(record, aVersion)) {
    return false;
  }
  const bool changed = record.mValid && !record.mRemoved;
  record.mEntry.mName = aName;
  record.mEra = mEra;
  record.mVersion = aVersion;
  record.mUpdatedAt = aNow;
  record.mValid = false;
  record.mRemoved = false;
  return changed;
}

bool
TargetEntries::OnRemoved(const std::string& aName,
                         std::int64_t aVersion,
                         Time aNow)
{
  mVersion = std::max(mVersion, aVersion);
  // Recorded for unknown entries too, as older writes of them may still arrive.
  const auto it = mRecordsByName.try_emplace(aName);
  Record& record = it.first->second;
  if (it.second) {
    record.mEntry.mName = aName;
    record.mEra = mEra;
    record.mVersion = aVersion;
    record.mRemoved = true;
    record.mRetainedUntil = Time::min();
    return false;
  }
  return MarkRemoved(record, aVersion, aNow);
}

bool
TargetEntries::ConfirmRemovals(std::int64_t aVersion)
{
  bool changed = false;
  for (auto& it : mRecordsByName) {
    Record& record = it.second;
    if (record.mRemoved && record.mRetainedUntil != Time::min() &&
        record.mEra == mEra && record.mVersion <= aVersion) {
      record.mRetainedUntil = Time::min();
      changed = true;
    }
  }
  return changed;
}

bool
TargetEntries::OnSnapshot(const std::vector<std::string>& aNames,
                          std::int64_t aVersion,
                          Time aNow)
{
  mVersion = std::max(mVersion, aVersion);
  const std::set<std::string> present(aNames.begin(), aNames.end());
  bool changed = false;
  for (auto& it : mRecordsByName) {
    if (present.count(it.first) == 0) {
      changed |= MarkRemoved(it.second, aVersion, aNow);
    }
  }
  return changed;
}

bool
TargetEntries::OnReplaced(const std::string& aOld,
                          const std::string& aNew,
                          const std::string& aIncarnation,
                          Time aNow)
{
  const auto old = mRecordsByName.find(aOld);
  if (!mStoreUnreachable || old == mRecordsByName.end() ||
      !old->second.mValid || mRecordsByName.count(aNew) != 0) {
    return false;
  }
  Record record;
  record.mEntry = old->second.mEntry;
  record.mEntry.mName = aNew;
  record.mEntry.mIncarnation = aIncarnation;
  record.mEntry.mSoftwareVersion =
    kUnregisteredPrefix + aNew + "/" + aIncarnation;
  record.mEntry.mLeaving = false;
  record.mUpdatedAt = aNow;
  mRecordsByName.emplace(aNew, record);
  old->second.mRemoved = true;
  old->second.mRetainedUntil = Time::min();
  return true;
}

void
TargetEntries::BeginEra(Time aNow)
{
  ++mEra;
  mVersion = 0;
  mGraceUntil = std::max(mGraceUntil, aNow + mReregistrationTime);
  for (auto& it : mRecordsByName) {
    Record& record = it.second;
    const bool isGone = record.mRemoved && record.mRetainedUntil == Time::min();
    record.mLeftBefore =
      record.mValid && (isGone || record.mEntry.mLeaving || record.mLeftBefore);
  }
}

void
TargetEntries::OnStoreUnreachable(Time aNow)
{
  mStoreUnreachable = true;
  mGraceUntil = std::max(mGraceUntil, aNow + mReregistrationTime);
}

void
TargetEntries::OnStoreReachable(Time aNow)
{
  if (!mStoreUnreachable) {
    return;
  }
  mStoreUnreachable = false;
  mGraceUntil = aNow + mReregistrationTime;
  for (auto& it : mRecordsByName) {
    Record& record = it.second;
    // Targets found during the outage have no entry in the store yet; they must
    // register within the grace period.
    record.mRemoved = record.mRemoved || record.mVersion == 0;
    if (record.mRemoved && record.mRetainedUntil > aNow) {
      record.mRetainedUntil = mGraceUntil;
    }
  }
}

bool
TargetEntries::HasRetained() const
{
  return std::any_of(
    mRecordsByName.begin(), mRecordsByName.end(), [](const auto& aItem) {
      const Record& record = aItem.second;
      return record.mRemoved && record.mRetainedUntil != Time::min();
    });
}

bool
TargetEntries::Expire(Time aNow)
{
  bool changed = false;
  for (auto it = mRecordsByName.begin(); it != mRecordsByName.end();) {
    Record& record = it->second;
    if (record.mRemoved && record.mRetainedUntil <= aNow &&
        record.mRetainedUntil != Time::min()) {
      record.mRetainedUntil = Time::min();
      changed = true;
    }
    const bool evict = mRecordsByName.size() > kMaxRecords && record.mRemoved;
    it = evict ? mRecordsByName.erase(it) : std::next(it);
  }
  return changed;
}

Time
TargetEntries::NextExpiry() const
{
  Time next = Time::max();
  for (const auto& it : mRecordsByName) {
    if (it.second.mRemoved && it.second.mRetainedUntil != Time::min()) {
      next = std::min(next, it.second.mRetainedUntil);
    }
  }
  return next;
}

std::vector<TargetEntry>
TargetEntries::UsableTargets() const
{
  // Only the target that registered last at an address is running there.
  // Targets found during an outage have version 0 and count as newer than any
  // entry.
  std::map<std::string, const Record*> byAddress;
  const auto recency = [](const Record& aRecord) {
    const bool isFound = aRecord.mVersion == 0;
    return std::make_tuple(
      isFound, !aRecord.mRemoved, aRecord.mEra, aRecord.mVersion);
  };
  for (const auto& it : mRecordsByName) {
    const Record& record = it.second;
    const bool expired =
      record.mRemoved && record.mRetainedUntil == Time::min();
    if (!record.mValid || expired) {
      continue;
    }
    const Record*& newest = byAddress[record.mEntry.mAddress];
    if (newest == nullptr || recency(*newest) < recency(record)) {
      newest = &record;
    }
  }
  std::vector<TargetEntry> entries;
  entries.reserve(byAddress.size());
  for (const auto& it : byAddress) {
    entries.push_back(it.second->mEntry);
  }
  return entries;
}

Time
TargetEntries::LastUpdateTime(const std::string& aName) const
{
  const auto it = mRecordsByName.find(aName);
  return it == mRecordsByName.end() ? Time() : it->second.mUpdatedAt;
}

bool
TargetEntries::MarkRemoved(Record& aRecord, std::int64_t aVersion, Time aNow)
{
  if (!IsOlder(aRecord, aVersion)) {
    return false;
  }
  aRecord.mEra = mEra;
  aRecord.mVersion = aVersion;
  if (aRecord.mRemoved) {
    return false;
  }
  aRecord.mRemoved = true;
  const bool mayReregister = mStoreUnreachable || aNow < mGraceUntil;
  // A target that announced that it leaves does not register again.
  if (!mayReregister || aRecord.mEntry.mLeaving || !aRecord.mValid) {
    aRecord.mRetainedUntil = Time::min();
    return true;
  }
  aRecord.mRetainedUntil = mStoreUnreachable ? Time::max() : mGraceUntil;
  return false;
}

} // namespace quetzalquay
