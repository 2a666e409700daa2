#include "standin/PrefixCache.h"

#include "core/Hash.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Tokens in the block that is cached.
constexpr int kBlockTokens = 64;

// Events that are kept; older ones are lost to slow readers.
constexpr std::size_t kKeptEvents = 256;

} // namespace

PrefixCache::PrefixCache(std::size_t aBlocks, Duration aEventLag)
  : mBlocks(aBlocks)
  , mEventLag(aEventLag)
{
}

int
PrefixCache::Use(const std::string& aPrompt, int aPromptTokens, Time aNow)
{
  const std::uint64_t hash = PrefixHash(aPrompt);
  const auto it = mByHash.find(hash);
  if (it != mByHash.end()) {
    mOrder.splice(mOrder.begin(), mOrder, it->second);
    return std::min(kBlockTokens, aPromptTokens);
  }
  if (mBlocks == 0) {
    return 0;
  }
  if (mOrder.size() >= mBlocks) {
    Publish("removed", mOrder.back(), aNow);
    mByHash.erase(mOrder.back());
    mOrder.pop_back();
  }
  mOrder.push_front(hash);
  mByHash[hash] = mOrder.begin();
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
  mOrder.clear();
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
  if (mEvents.size() > kKeptEvents) {
    mEvents.pop_front();
  }
}

} // namespace quetzalquay
