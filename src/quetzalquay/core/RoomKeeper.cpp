#include "core/RoomKeeper.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

// Time in which rejections are counted together.
constexpr Duration kRejectionWindow = std::chrono::seconds(1);

// Time for which an ask stays queued; hosts repeat it meanwhile.
constexpr Duration kAskLifetime = std::chrono::milliseconds(500);

// Requests that a target of unknown slots can hold until it has turned one
// away.
constexpr int kUnknownCapacity = 16;

int
DeclaredCapacity(const RoomLimits& aLimits)
{
  return aLimits.mSlots > 0 ? aLimits.mSlots : kUnknownCapacity;
}

} // namespace

RoomAnswer
RoomKeeper::OnMessage(const std::string& aHost,
                      const RoomMessage& aMessage,
                      const RoomLimits& aLimits,
                      Time aGrantsFrom,
                      Time aNow)
{
  Target& target = mTargets[aMessage.mTarget];
  auto& queue = target.mQueue;
  const bool isLatest = Update(target, aHost, aMessage, aLimits, aNow);
  queue.erase(
    std::remove_if(queue.begin(),
                   queue.end(),
                   [&](const QueuedAsk& aAsk) {
                     const bool resolved = isLatest && aAsk.mHost == aHost &&
                                           aAsk.mAsk <= aMessage.mResolved;
                     return resolved || aNow - aAsk.mHeardAt >= kAskLifetime;
                   }),
    queue.end());
  auto answer = RoomAnswer::Queued;
  if (aMessage.mAsk > aMessage.mResolved) {
    const auto& grants = target.mHosts[aHost].mGrants;
    const auto queued =
      std::find_if(queue.begin(), queue.end(), [&](const QueuedAsk& aAsk) {
        return aAsk.mHost == aHost && aAsk.mAsk == aMessage.mAsk;
      });
    if (std::find(grants.begin(), grants.end(), aMessage.mAsk) !=
        grants.end()) {
      // The answer was lost.
      answer = RoomAnswer::Granted;
    } else if (queued == queue.end()) {
      queue.push_back({ aHost, aMessage.mAsk, aNow });
    } else {
      queued->mHeardAt = aNow;
    }
  }
  while (!queue.empty() && aNow >= aGrantsFrom &&
         HasRoom(target, aLimits, aNow)) {
    const QueuedAsk next = std::move(queue.front());
    queue.pop_front();
    target.mHosts[next.mHost].mGrants.push_back(next.mAsk);
    if (next.mHost == aHost && next.mAsk == aMessage.mAsk) {
      answer = RoomAnswer::Granted;
    } else {
      mGrants.push_back({ next.mHost, aMessage.mTarget, next.mAsk });
    }
  }
  return answer;
}

// Takes over what a host says. Returns false for a message that was overtaken
// by a later one.
bool
RoomKeeper::Update(Target& aTarget,
                   const std::string& aHost,
                   const RoomMessage& aMessage,
                   const RoomLimits& aLimits,
                   Time aNow)
{
  const bool isNew = aTarget.mHosts.count(aHost) == 0;
  Host& host = aTarget.mHosts[aHost];
  if (!isNew && aMessage.mNumber <= host.mNumber) {
    return false;
  }
  host.mNumber = aMessage.mNumber;
  host.mUnderWay = std::max(0, aMessage.mUnderWay);
  host.mHeardAt = aNow;
  auto& grants = host.mGrants;
  grants.erase(std::remove_if(grants.begin(),
                              grants.end(),
                              [&](std::uint64_t aGrant) {
                                return aGrant <= aMessage.mResolved;
                              }),
               grants.end());
  const std::int64_t rejected = isNew ? 0 : aMessage.mRejected - host.mRejected;
  host.mRejected = aMessage.mRejected;
  if (rejected > 0) {
    OnRejections(aTarget, rejected, aLimits, aNow);
  }
  return true;
}

std::vector<RoomGrant>
RoomKeeper::TakeGrants()
{
  return std::exchange(mGrants, {});
}

int
RoomKeeper::UnderWay(const std::string& aTarget, Time aNow) const
{
  const auto target = mTargets.find(aTarget);
  return target == mTargets.end() ? 0 : UnderWay(target->second, aNow);
}

int
RoomKeeper::UnderWay(const Target& aTarget, Time aNow)
{
  int count = 0;
  for (const auto& it : aTarget.mHosts) {
    if (aNow - it.second.mHeardAt < kHostLifetime) {
      count += it.second.mUnderWay + static_cast<int>(it.second.mGrants.size());
    }
  }
  return count;
}

int
RoomKeeper::CapacityOf(const std::string& aTarget,
                       const RoomLimits& aLimits) const
{
  const auto target = mTargets.find(aTarget);
  const int learned = target == mTargets.end() ? 0 : target->second.mCapacity;
  return learned > 0 ? learned : DeclaredCapacity(aLimits);
}

// What a target could not hold together with the rest is more than it holds.
void
RoomKeeper::OnRejections(Target& aTarget,
                         std::int64_t aCount,
                         const RoomLimits& aLimits,
                         Time aNow)
{
  const int known =
    aTarget.mCapacity > 0 ? aTarget.mCapacity : DeclaredCapacity(aLimits);
  aTarget.mCapacity = std::max(1, std::min(known - 1, UnderWay(aTarget, aNow)));
  aTarget.mChangedAt = aNow;
  const auto kept = static_cast<std::int64_t>(aLimits.mRejections) + 1;
  for (std::int64_t n = 0; n < std::min(aCount, kept); ++n) {
    aTarget.mRejections.push_back(aNow);
  }
}

bool
RoomKeeper::HasRoom(Target& aTarget, const RoomLimits& aLimits, Time aNow)
{
  auto& rejections = aTarget.mRejections;
  while (!rejections.empty() && aNow - rejections.front() >= kRejectionWindow) {
    rejections.pop_front();
  }
  if (static_cast<int>(rejections.size()) >= std::max(1, aLimits.mRejections)) {
    return false;
  }
  if (aTarget.mCapacity > 0 && aNow - aTarget.mChangedAt >= kRaiseInterval) {
    ++aTarget.mCapacity;
    aTarget.mChangedAt = aNow;
    if (aTarget.mCapacity >= DeclaredCapacity(aLimits)) {
      aTarget.mCapacity = 0;
    }
  }
  const int capacity =
    aTarget.mCapacity > 0 ? aTarget.mCapacity : DeclaredCapacity(aLimits);
  return UnderWay(aTarget, aNow) < capacity;
}

} // namespace quetzalquay
