#ifndef QUETZALQUAY_STANDIN_PREFIXCACHE_H_INCLUDED
#define QUETZALQUAY_STANDIN_PREFIXCACHE_H_INCLUDED

#include "core/Time.h"
#include "generated/messages.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>

namespace quetzalquay {

// Prefix cache of a stand-in engine: an LRU cache of the first blocks of
// prompts. Its insertions and evictions are published as events, after a lag;
// only the latest events are kept.
class PrefixCache
{
public:
  PrefixCache(std::size_t aCapacityBlocks, Duration aEventLag);

  // Returns the number of the prompt's tokens that are cached. Inserts the
  // prompt's first block if it is missing.
  int LookUpOrInsert(const std::string& aPrompt, int aPromptTokens, Time aNow);

  // Events after a sequence number that are at least as old as the lag.
  schema::CacheEvents EventsAfter(int aSequence, Time aNow) const;

  void Clear();

private:
  struct Event
  {
    Time mAt;
    schema::CacheEvent mEvent;
  };

  void Publish(const char* aKind, std::uint64_t aHash, Time aNow);

  std::size_t mCapacityBlocks;
  Duration mEventLag;
  // Most recently used first.
  std::list<std::uint64_t> mRecentlyUsed;
  std::map<std::uint64_t, std::list<std::uint64_t>::iterator> mByHash;
  std::deque<Event> mEvents;
  int mSequence = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_STANDIN_PREFIXCACHE_H_INCLUDED
