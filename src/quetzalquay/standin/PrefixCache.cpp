#include "standin/PrefixCache.h"

#include "core/Hash.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Tokens in a cached block.
constexpr int kBlockTokens = 64;

// Number of events kept; slow readers miss older ones.
constexpr std::size_t kMaxEvents = 256;

} // namespace

PrefixCache::PrefixCache(std::size_t aCapacityBlocks, Duration aEventLag)
  : mCapacityBlocks(aCapacityBlocks)
  , mEventLag(aEventLag)
{
}

int
PrefixCache::LookUpOrInsert(const std::string& aPrompt,
                            int aPromptTokens,
                            Time aNow)
{
  const std::uint64_t hash = PrefixHash(aPrompt);
  const auto it = mByHash.find(hash);
  if (it != mByHash.end()) {
    mRecentlyUsed.splice(mRecentlyUsed.begin(), mRecentlyUsed, it->second);
    return std::min(kBlockTokens, aPromptTokens);
  }
  if (mCapacityBlocks == 0) {
    return 0;
  }
  if (mRecentlyUsed.size() >= mCapacityBlocks) {
    Publish("removed", mRecentlyUsed.back(), aNow);
    mByHash.erase(mRecentlyUsed.back());
    mRecentlyUsed.pop_back();
  }
  mRecentlyUsed.push_front(hash);
  mByHash[hash] = mRecentlyUsed.begin();
  Publish("stored", hash, aNow);
  return 0;
}

schema::CacheEvents
PrefixCache::EventsAfter(int aSequence, Time aNow) const
{
  schema::CacheEvents events;
  events.set_oldest(mEvents.empty() ? mSequence + 1
                                    : mEvents.front().mEvent.seq());
  events.set_newest(events.oldest() - 1);
  for (const Event& it : mEvents) {
    if (aNow - it.mAt < mEventLag) {
      break;
    }
    events.set_newest(it.mEvent.seq());
    if (it.mEvent.seq() > aSequence) {
      *events.add_events() = it.mEvent;
    }
  }
  return events;
}

void
PrefixCache::Clear()
{
  mRecentlyUsed.clear();
  mByHash.clear();
  mEvents.clear();
  mSequence = 0;
}

void
PrefixCache::Publish(const char* aKind, std::uint64_t aHash, Time aNow)
{
  Event event;
  event.mAt = aNow;
  event.mEvent.set_seq(++mSequence);
  event.mEvent.set_kind(aKind);
  event.mEvent.set_prefix_hash(ToHex(aHash));
  event.mEvent.set_tokens(kBlockTokens);
  mEvents.push_back(event);
  if (mEvents.size() > kMaxEvents) {
    mEvents.pop_front();
  }
}

} // namespace quetzalquay
