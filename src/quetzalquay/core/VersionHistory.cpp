#include "core/VersionHistory.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

void
VersionHistory::OnRegistered(const VersionsByService& aVersions, Time aNow)
{
  for (auto& service : mSightings) {
    for (auto it = service.second.begin(); it != service.second.end();) {
      if (it->second.mRegistered) {
        it->second.mRegistered = false;
        it->second.mObservedAt = aNow;
      }
      it =
        IsRecent(it->second, aNow) ? std::next(it) : service.second.erase(it);
    }
  }
  for (const auto& service : aVersions) {
    for (const std::string& it : service.second) {
      mSightings[service.first][it].mRegistered = true;
    }
  }
}

void
VersionHistory::OnKnownAsOf(Time aAsOf)
{
  if (mKnownAsOf == Time() || aAsOf - mKnownAsOf > kMaxLag) {
    mObservedSince = aAsOf;
  }
  mKnownAsOf = std::max(mKnownAsOf, aAsOf);
}

void
VersionHistory::OnRecorded(const VersionsByService& aVersions, Time aNow)
{
  mRecordReadAt = aNow;
  if (IsObserved(aNow)) {
    return;
  }
  for (const auto& service : aVersions) {
    for (const std::string& it : service.second) {
      mSightings[service.first][it].mRecordedAt = aNow;
    }
  }
}

void
VersionHistory::Rename(const std::string& aService,
                       const std::string& aFrom,
                       const std::string& aTo)
{
  auto& versions = mSightings[aService];
  const auto from = versions.find(aFrom);
  if (from == versions.end()) {
    return;
  }
  const Sighting sighting = from->second;
  versions.erase(from);
  Sighting& known = versions[aTo];
  known.mRegistered |= sighting.mRegistered;
  known.mObservedAt = std::max(known.mObservedAt, sighting.mObservedAt);
}

bool
VersionHistory::IsObserved(Time aNow) const
{
  return mKnownAsOf != Time() && aNow - mKnownAsOf <= kMaxLag &&
         aNow - mObservedSince >= mWindow;
}

bool
VersionHistory::IsComplete(Time aNow) const
{
  const bool current = mKnownAsOf != Time() && aNow - mKnownAsOf <= kMaxLag;
  return current && (mRecordReadAt >= mObservedSince || IsObserved(aNow));
}

std::set<std::string>
VersionHistory::RecentVersions(const std::string& aService, Time aNow) const
{
  std::set<std::string> versions;
  const auto service = mSightings.find(aService);
  if (service != mSightings.end()) {
    for (const auto& it : service->second) {
      if (IsRecent(it.second, aNow)) {
        versions.insert(it.first);
      }
    }
  }
  return versions;
}

VersionsByService
VersionHistory::AllRecentVersions(Time aNow) const
{
  VersionsByService versions;
  for (const auto& it : mSightings) {
    auto recent = RecentVersions(it.first, aNow);
    if (!recent.empty()) {
      versions.emplace(it.first, std::move(recent));
    }
  }
  return versions;
}

bool
VersionHistory::WasObserved(const std::string& aService,
                            const std::string& aVersion,
                            Time aNow) const
{
  const auto service = mSightings.find(aService);
  if (service == mSightings.end()) {
    return false;
  }
  const auto it = service->second.find(aVersion);
  return it != service->second.end() &&
         (it->second.mRegistered || (it->second.mObservedAt != Time() &&
                                     aNow - it->second.mObservedAt < mWindow));
}

std::set<std::string>
VersionHistory::MixedServices(Time aNow) const
{
  std::set<std::string> mixed;
  for (const auto& it : AllRecentVersions(aNow)) {
    if (it.second.size() > 1) {
      mixed.insert(it.first);
    }
  }
  return mixed;
}

} // namespace quetzalquay
