#include "core/TargetEntries.h"

#include <algorithm>
#include <limits>
#include <set>

namespace quetzalquay {

namespace {

// Removed entries whose versions are remembered, so that late news of them is
// told from a new registration.
constexpr std::size_t kMaxRecords = 20000;

bool
Same(const TargetEntry& aLeft, const TargetEntry& aRight)
{
  return aLeft.mService == aRight.mService &&
         aLeft.mAddress == aRight.mAddress && aLeft.mPlace == aRight.mPlace &&
         aLeft.mIncarnation == aRight.mIncarnation &&
         aLeft.mSlots == aRight.mSlots && aLeft.mLeaving == aRight.mLeaving;
}

} // namespace

TargetEntries::TargetEntries(Duration aReturnTime)
  : mReturnTime(aReturnTime)
{
}

bool
TargetEntries::OnEntry(const TargetEntry& aEntry,
                       std::int64_t aVersion,
                       Time aNow)
{
  mVersion = std::max(mVersion, aVersion);
  Record& record = mRecords[aEntry.mName];
  if (aVersion <= record.mVersion) {
    return false;
  }
  const bool changed = record.mVersion == 0 || record.mRemoved ||
                       !record.mReadable || !Same(record.mEntry, aEntry);
  record.mEntry = aEntry;
  record.mVersion = aVersion;
  record.mHeardAt = aNow;
  record.mReadable = true;
  record.mRemoved = false;
  record.mGoneAt = Time::max();
  return changed;
}

bool
TargetEntries::OnUnreadable(const std::string& aName,
                            std::int64_t aVersion,
                            Time aNow)
{
  mVersion = std::max(mVersion, aVersion);
  Record& record = mRecords[aName];
  if (aVersion <= record.mVersion) {
    return false;
  }
  const bool changed = record.mReadable && !record.mRemoved;
  record.mEntry.mName = aName;
  record.mVersion = aVersion;
  record.mHeardAt = aNow;
  record.mReadable = false;
  record.mRemoved = false;
  return changed;
}

bool
TargetEntries::OnRemoved(const std::string& aName,
                         std::int64_t aVersion,
                         Time aNow)
{
  mVersion = std::max(mVersion, aVersion);
  // Also noted of an entry not heard of, whose older writes may still come.
  const auto it = mRecords.try_emplace(aName);
  Record& record = it.first->second;
  if (it.second) {
    record.mEntry.mName = aName;
    record.mVersion = aVersion;
    record.mRemoved = true;
    record.mGoneAt = Time::min();
    return false;
  }
  return Remove(record, aVersion, aNow);
}

bool
TargetEntries::OnSettledElsewhere(std::int64_t aVersion)
{
  bool changed = false;
  for (auto& it : mRecords) {
    Record& record = it.second;
    if (record.mRemoved && record.mGoneAt != Time::min() &&
        record.mVersion <= aVersion) {
      record.mGoneAt = Time::min();
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
  const std::set<std::string> listed(aNames.begin(), aNames.end());
  bool changed = false;
  for (auto& it : mRecords) {
    if (listed.count(it.first) == 0) {
      changed |= Remove(it.second, aVersion, aNow);
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
  const auto old = mRecords.find(aOld);
  if (!mStoreLost || old == mRecords.end() || !old->second.mReadable ||
      mRecords.count(aNew) != 0) {
    return false;
  }
  Record record;
  record.mEntry = old->second.mEntry;
  record.mEntry.mName = aNew;
  record.mEntry.mIncarnation = aIncarnation;
  record.mEntry.mLeaving = false;
  record.mHeardAt = aNow;
  mRecords.emplace(aNew, record);
  old->second.mRemoved = true;
  old->second.mGoneAt = Time::min();
  return true;
}

void
TargetEntries::OnStoreLost(Time aNow)
{
  mStoreLost = true;
  mGraceUntil = std::max(mGraceUntil, aNow + mReturnTime);
}

void
TargetEntries::OnStoreBack(Time aNow)
{
  if (!mStoreLost) {
    return;
  }
  mStoreLost = false;
  mGraceUntil = aNow + mReturnTime;
  for (auto& it : mRecords) {
    Record& record = it.second;
    // Entries that the store has not told must be in it by then.
    record.mRemoved = record.mRemoved || record.mVersion == 0;
    if (record.mRemoved && record.mGoneAt > aNow) {
      record.mGoneAt = mGraceUntil;
    }
  }
}

bool
TargetEntries::Expire(Time aNow)
{
  bool changed = false;
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    Record& record = it->second;
    if (record.mRemoved && record.mGoneAt <= aNow &&
        record.mGoneAt != Time::min()) {
      record.mGoneAt = Time::min();
      changed = true;
    }
    const bool surplus = mRecords.size() > kMaxRecords && record.mRemoved;
    it = surplus ? mRecords.erase(it) : std::next(it);
  }
  return changed;
}

Time
TargetEntries::NextExpiry() const
{
  Time next = Time::max();
  for (const auto& it : mRecords) {
    if (it.second.mRemoved && it.second.mGoneAt != Time::min()) {
      next = std::min(next, it.second.mGoneAt);
    }
  }
  return next;
}

std::vector<TargetEntry>
TargetEntries::Usable() const
{
  // An address has one target: the one that registered there last. Targets
  // found while the store was away are newer than what it told.
  std::map<std::string, const Record*> byAddress;
  const auto age = [](const Record& aRecord) {
    return aRecord.mVersion == 0 ? std::numeric_limits<std::int64_t>::max()
                                 : aRecord.mVersion;
  };
  for (const auto& it : mRecords) {
    const Record& record = it.second;
    const bool gone = record.mRemoved && record.mGoneAt == Time::min();
    if (!record.mReadable || gone) {
      continue;
    }
    const Record*& newest = byAddress[record.mEntry.mAddress];
    if (newest == nullptr || age(*newest) < age(record)) {
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
TargetEntries::LastHeard(const std::string& aName) const
{
  const auto it = mRecords.find(aName);
  return it == mRecords.end() ? Time() : it->second.mHeardAt;
}

bool
TargetEntries::Remove(Record& aRecord, std::int64_t aVersion, Time aNow)
{
  if (aVersion <= aRecord.mVersion) {
    return false;
  }
  if (aRecord.mRemoved) {
    aRecord.mVersion = aVersion;
    return false;
  }
  aRecord.mVersion = aVersion;
  aRecord.mRemoved = true;
  const bool mayReturn = mStoreLost || aNow < mGraceUntil;
  // A target that said it leaves does not come back.
  if (!mayReturn || aRecord.mEntry.mLeaving || !aRecord.mReadable) {
    aRecord.mGoneAt = Time::min();
    return true;
  }
  aRecord.mGoneAt = mStoreLost ? Time::max() : mGraceUntil;
  return false;
}

} // namespace quetzalquay
