#include "core/StreamOrigins.h"

#include "core/NameTable.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace quetzalquay {

namespace {

constexpr NameTable<OriginSource, 4> kSourceNames(
  { "own", "peer", "store", "only_version" });

constexpr int kAnnouncements = 2;

} // namespace

std::string_view
NameOf(OriginSource aSource)
{
  return kSourceNames.NameOf(aSource);
}

StreamOrigins::StreamOrigins(std::size_t aMaxEntries)
  : mMaxEntries(aMaxEntries)
{
}

void
StreamOrigins::OnBegun(const StreamOrigin& aOrigin, Time aNow)
{
  DropExpired(aNow);
  const auto known = mEntries.find(aOrigin.mKey);
  const bool changed = known == mEntries.end() || !known->second.mOwn;
  Entry& entry = Touch(aOrigin, aNow);
  if (changed) {
    entry.mSource = OriginSource::Own;
    entry.mLearnedAt = aNow;
  }
  entry.mOrigin = aOrigin;
  entry.mOwn = true;
  entry.mComplete = false;
  entry.mRunning = true;
  entry.mElsewhere = false;
  if (changed && mAnnouncedServices.count(aOrigin.mService) != 0) {
    Announce(entry, aNow);
  } else if (changed && mTellsAll) {
    Tell(entry, aNow);
  }
}

void
StreamOrigins::OnEnded(std::uint64_t aKey, bool aComplete, Time aNow)
{
  const auto it = mEntries.find(aKey);
  if (it == mEntries.end() || !it->second.mRunning) {
    return;
  }
  Entry& entry = it->second;
  entry.mRunning = false;
  entry.mExpiresAt = aNow + kLifetime;
  if (!aComplete) {
    return;
  }
  entry.mComplete = true;
  entry.mAnnouncementsLeft = 0;
  // A change that has not been taken yet is not needed any more.
  if (std::exchange(entry.mStored, false) && mStoreChanges.erase(aKey) == 0) {
    mStoreChanges[aKey] = { entry.mOrigin, true };
    mOnStoreChange(true);
  }
}

void
StreamOrigins::OnReported(const StreamOrigin& aOrigin,
                          OriginSource aSource,
                          Time aNow)
{
  DropExpired(aNow);
  const auto known = mEntries.find(aOrigin.mKey);
  const bool replaces =
    known == mEntries.end() ||
    (!known->second.mOwn && known->second.mOrigin.mAttempt < aOrigin.mAttempt);
  Entry& entry = Touch(aOrigin, aNow);
  // An announcement that crosses this host's own one may be the earlier one.
  entry.mElsewhere |= aSource == OriginSource::Peer && entry.mOwn &&
                      !entry.mRunning && entry.mAnnouncementsLeft == 0;
  if (!replaces) {
    return;
  }
  entry.mOrigin = aOrigin;
  entry.mSource = aSource;
  entry.mLearnedAt = aNow;
}

std::optional<StreamOrigins::Known>
StreamOrigins::Find(std::uint64_t aKey, Time aNow)
{
  DropExpired(aNow);
  const auto it = mEntries.find(aKey);
  // Entries whose lifetime was extended may be behind younger ones.
  if (it == mEntries.end() ||
      (!it->second.mRunning && it->second.mExpiresAt <= aNow)) {
    return std::nullopt;
  }
  return Known{ it->second.mOrigin, it->second.mSource, it->second.mLearnedAt };
}

void
StreamOrigins::SetAnnouncedServices(std::set<std::string> aServices, Time aNow)
{
  const auto before = std::exchange(mAnnouncedServices, std::move(aServices));
  for (auto& it : mEntries) {
    Entry& entry = it.second;
    const std::string& service = entry.mOrigin.mService;
    if (entry.mOwn && !entry.mComplete && before.count(service) == 0 &&
        mAnnouncedServices.count(service) != 0) {
      Announce(entry, aNow);
    }
  }
}

void
StreamOrigins::RenameVersion(const std::string& aService,
                             const std::string& aFrom,
                             const std::string& aTo)
{
  for (auto& it : mEntries) {
    StreamOrigin& origin = it.second.mOrigin;
    if (origin.mService == aService && origin.mSoftwareVersion == aFrom) {
      origin.mSoftwareVersion = aTo;
    }
  }
}

std::vector<StreamOrigin>
StreamOrigins::TakeNews(Time aNow, std::size_t aMax)
{
  std::vector<StreamOrigin> news;
  while (!mNews.empty() && mNews.begin()->first <= aNow && news.size() < aMax) {
    const std::uint64_t key = mNews.begin()->second;
    mNews.erase(mNews.begin());
    const auto it = mEntries.find(key);
    if (it == mEntries.end() || it->second.mAnnouncementsLeft == 0) {
      continue;
    }
    news.push_back(it->second.mOrigin);
    if (--it->second.mAnnouncementsLeft > 0) {
      mNews.emplace(aNow + kRepeatDelay, key);
    }
  }
  return news;
}

Time
StreamOrigins::NextNewsAt() const
{
  return mNews.empty() ? Time::max() : mNews.begin()->first;
}

bool
StreamOrigins::IsBeingStored(std::uint64_t aKey) const
{
  const auto it = mEntries.find(aKey);
  return it != mEntries.end() && it->second.mStored && !it->second.mConfirmed;
}

void
StreamOrigins::OnStored(std::uint64_t aKey)
{
  const auto it = mEntries.find(aKey);
  if (it != mEntries.end()) {
    it->second.mConfirmed = true;
  }
}

std::vector<StreamOrigins::StoreChange>
StreamOrigins::TakeStoreChanges()
{
  std::vector<StoreChange> changes;
  changes.reserve(mStoreChanges.size());
  for (auto& it : std::exchange(mStoreChanges, {})) {
    changes.push_back(std::move(it.second));
  }
  return changes;
}

void
StreamOrigins::StoreAgain(Time aNow)
{
  std::vector<std::pair<Time, std::uint64_t>> stored;
  for (const auto& it : mEntries) {
    const Entry& entry = it.second;
    const bool lasts = entry.mRunning || entry.mExpiresAt > aNow;
    if (entry.mStored && lasts && !entry.mElsewhere) {
      stored.emplace_back(entry.mStoredAt, it.first);
    }
  }
  const auto end = stored.begin() + static_cast<std::ptrdiff_t>(
                                      std::min(stored.size(), kMaxStoredAgain));
  std::partial_sort(stored.begin(), end, stored.end(), std::greater<>());
  for (auto it = stored.begin(); it != end; ++it) {
    mStoreChanges[it->second] = { mEntries.at(it->second).mOrigin, false };
  }
  if (!mStoreChanges.empty()) {
    mOnStoreChange(false);
  }
}

void
StreamOrigins::SetNewsCallback(std::function<void()> aCallback)
{
  mOnNews = std::move(aCallback);
}

void
StreamOrigins::SetStoreCallback(std::function<void(bool)> aCallback)
{
  mOnStoreChange = std::move(aCallback);
}

// Creates the entry of an origin if there is none, and extends its lifetime.
StreamOrigins::Entry&
StreamOrigins::Touch(const StreamOrigin& aOrigin, Time aNow)
{
  const auto it = mEntries.try_emplace(aOrigin.mKey);
  Entry& entry = it.first->second;
  entry.mExpiresAt = aNow + kLifetime;
  if (it.second) {
    mExpiries.emplace_back(entry.mExpiresAt, aOrigin.mKey);
  }
  if (mEntries.size() > mMaxEntries) {
    Drop(mExpiries.front().second);
    mExpiries.pop_front();
  }
  return entry;
}

// Makes an origin known to the other hosts.
void
StreamOrigins::Tell(Entry& aEntry, Time aNow)
{
  aEntry.mAnnouncementsLeft = kAnnouncements;
  mNews.emplace(aNow, aEntry.mOrigin.mKey);
  mOnNews();
}

// Makes an origin known to the other hosts and to the store.
void
StreamOrigins::Announce(Entry& aEntry, Time aNow)
{
  aEntry.mStored = true;
  aEntry.mStoredAt = aNow;
  aEntry.mConfirmed = false;
  mStoreChanges[aEntry.mOrigin.mKey] = { aEntry.mOrigin, false };
  Tell(aEntry, aNow);
  mOnStoreChange(false);
}

void
StreamOrigins::DropExpired(Time aNow)
{
  while (!mExpiries.empty() && mExpiries.front().first <= aNow) {
    const std::uint64_t key = mExpiries.front().second;
    mExpiries.pop_front();
    Entry& entry = mEntries.at(key);
    if (entry.mRunning) {
      entry.mExpiresAt = aNow + kLifetime;
    }
    if (entry.mExpiresAt <= aNow) {
      Drop(key);
    } else {
      mExpiries.emplace_back(entry.mExpiresAt, key);
    }
  }
}

void
StreamOrigins::Drop(std::uint64_t aKey)
{
  mEntries.erase(aKey);
}

} // namespace quetzalquay
