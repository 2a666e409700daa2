#include "core/overload/EvictionOrder.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Time for the peer to close after its last response, and for a new caller to
// send a head. Usual ones take a few round trips.
constexpr Duration kGraceTime = std::chrono::milliseconds(250);

// Time that a body may take, and may pause, before others go first. Usual
// bodies arrive within some round trips; a lost packet is sent again sooner.
constexpr Duration kBodyTime = std::chrono::seconds(2);
constexpr Duration kBodyPause = std::chrono::milliseconds(500);

// Part of the idle timeout for which callers count on a connection.
constexpr int kIdleParts = 4;
constexpr int kIdleDivisor = 5;

// Part of all connections up to which unknown senders push out known ones.
constexpr std::size_t kUnknownDivisor = 4;

// Part of all connections beyond which a group's idle ones give way sooner.
constexpr std::size_t kCrowdDivisor = 2;

// Groups that are searched for a connection before it is taken from any.
constexpr int kMaxGroupsSearched = 8;

constexpr std::array<ConnectionUse, 3> kUnknownUses = {
  ConnectionUse::Ending,
  ConnectionUse::RejectedBody,
  ConnectionUse::Unidentified,
};

constexpr std::array<ConnectionUse, 4> kKnownUses = {
  ConnectionUse::IdlePublic,
  ConnectionUse::IdleKeyed,
  ConnectionUse::PublicBody,
  ConnectionUse::KeyedBody,
};

constexpr std::array<ConnectionUse, 2> kIdleUses = {
  ConnectionUse::IdlePublic,
  ConnectionUse::IdleKeyed,
};

constexpr std::array<ConnectionUse, 3> kBodyUses = {
  ConnectionUse::RejectedBody,
  ConnectionUse::PublicBody,
  ConnectionUse::KeyedBody,
};

} // namespace

Time
EvictableFrom(ConnectionUse aUse, const ConnectionTimes& aTimes)
{
  switch (aUse) {
    case ConnectionUse::Ending:
      return aTimes.mSince + kGraceTime;
    case ConnectionUse::Unidentified:
      // Its requests do not renew the time, however often they come.
      return aTimes.mOpened + kGraceTime;
    case ConnectionUse::IdlePublic:
    case ConnectionUse::IdleKeyed:
      return aTimes.mSince + aTimes.mIdleTimeout * kIdleParts / kIdleDivisor;
    case ConnectionUse::PublicBody:
    case ConnectionUse::KeyedBody:
      return std::min(aTimes.mSince + kBodyTime,
                      aTimes.mLastInput + kBodyPause);
    case ConnectionUse::RejectedBody:
    case ConnectionUse::UnreadResponse:
    case ConnectionUse::WaitingRequest:
    case ConnectionUse::Last:
      break;
  }
  return aTimes.mSince;
}

void
EvictionOrder::Place(Evictable& aConnection,
                     ConnectionUse aUse,
                     std::uint64_t aGroup,
                     Time aFrom)
{
  Remove(aConnection);
  aConnection.mUse = aUse;
  aConnection.mGroup = aGroup;
  aConnection.mKey = { aFrom, ++mPlaced };
  UseQueues& queues = QueuesOf(aUse);
  Group& group = queues.mGroups[aGroup];
  const std::size_t before = group.Size();
  group.mQueue.emplace(aConnection.mKey, &aConnection);
  queues.mAll.emplace(aConnection.mKey, &aConnection);
  Resize(queues, aGroup, before);
}

void
EvictionOrder::Suspend(Evictable& aConnection)
{
  if (aConnection.mUse == ConnectionUse::Last || aConnection.mIsBusy) {
    return;
  }
  UseQueues& queues = QueuesOf(aConnection.mUse);
  Group& group = queues.mGroups[aConnection.mGroup];
  group.mQueue.erase(aConnection.mKey);
  queues.mAll.erase(aConnection.mKey);
  ++group.mBusy;
  aConnection.mIsBusy = true;
}

void
EvictionOrder::Remove(Evictable& aConnection)
{
  if (aConnection.mUse == ConnectionUse::Last) {
    return;
  }
  UseQueues& queues = QueuesOf(aConnection.mUse);
  Group& group = queues.mGroups[aConnection.mGroup];
  const std::size_t before = group.Size();
  if (aConnection.mIsBusy) {
    --group.mBusy;
    aConnection.mIsBusy = false;
  } else {
    group.mQueue.erase(aConnection.mKey);
    queues.mAll.erase(aConnection.mKey);
  }
  Resize(queues, aConnection.mGroup, before);
  aConnection.mUse = ConnectionUse::Last;
}

// Keeps the sizes in step with a group that had aBefore connections.
void
EvictionOrder::Resize(UseQueues& aQueues,
                      std::uint64_t aGroup,
                      std::size_t aBefore)
{
  const auto group = aQueues.mGroups.find(aGroup);
  aQueues.mSizes.erase({ aBefore, aGroup });
  if (group->second.Size() == 0) {
    aQueues.mGroups.erase(group);
  } else {
    aQueues.mSizes.emplace(group->second.Size(), aGroup);
  }
}

EvictionOrder::UseQueues&
EvictionOrder::QueuesOf(ConnectionUse aUse)
{
  return mUses[static_cast<std::size_t>(aUse)];
}

const EvictionOrder::UseQueues&
EvictionOrder::QueuesOf(ConnectionUse aUse) const
{
  return mUses[static_cast<std::size_t>(aUse)];
}

Evictable*
EvictionOrder::FirstOf(const UseQueues& aQueues, Time aNow)
{
  if (aQueues.mAll.empty() || aQueues.mAll.begin()->first.first > aNow) {
    return nullptr;
  }
  int left = kMaxGroupsSearched;
  for (auto it = aQueues.mSizes.rbegin();
       it != aQueues.mSizes.rend() && left > 0;
       ++it, --left) {
    const Queue& queue = aQueues.mGroups.at(it->second).mQueue;
    if (!queue.empty() && queue.begin()->first.first <= aNow) {
      return queue.begin()->second;
    }
  }
  return aQueues.mAll.begin()->second;
}

// The connection to close of the group that has more than half of all
// connections, if there is one.
Evictable*
EvictionOrder::FirstOfCrowd(const UseQueues& aQueues, std::size_t aLimit)
{
  if (aQueues.mSizes.empty() ||
      aQueues.mSizes.rbegin()->first <= aLimit / kCrowdDivisor) {
    return nullptr;
  }
  const auto group = aQueues.mGroups.find(aQueues.mSizes.rbegin()->second);
  const Queue& queue = group->second.mQueue;
  return queue.empty() ? nullptr : queue.begin()->second;
}

Evictable*
EvictionOrder::ForConnection(std::size_t aLimit, Time aNow) const
{
  std::size_t unknown = 0;
  for (const ConnectionUse it : kUnknownUses) {
    if (Evictable* found = FirstOf(QueuesOf(it), aNow)) {
      return found;
    }
    unknown += Count(it);
  }
  if (unknown >= aLimit / kUnknownDivisor) {
    return nullptr;
  }
  for (const ConnectionUse it : kKnownUses) {
    if (Evictable* found = FirstOf(QueuesOf(it), aNow)) {
      return found;
    }
  }
  for (const ConnectionUse it : kIdleUses) {
    if (Evictable* found = FirstOfCrowd(QueuesOf(it), aLimit)) {
      return found;
    }
  }
  return nullptr;
}

Evictable*
EvictionOrder::ForBody(ConnectionUse aUse, Time aNow) const
{
  for (const ConnectionUse it : kBodyUses) {
    if (it > aUse) {
      break;
    }
    const Time at = it < aUse ? Time::max() : aNow;
    if (Evictable* found = FirstOf(QueuesOf(it), at)) {
      return found;
    }
  }
  return nullptr;
}

std::size_t
EvictionOrder::Count(ConnectionUse aUse) const
{
  return QueuesOf(aUse).mAll.size();
}

Time
EvictionOrder::NextUnknown() const
{
  Time next = Time::max();
  for (const ConnectionUse it : kUnknownUses) {
    const Queue& all = QueuesOf(it).mAll;
    next = all.empty() ? next : std::min(next, all.begin()->first.first);
  }
  return next;
}

} // namespace quetzalquay
