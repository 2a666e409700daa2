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

// Prefix cache of a stand-in engine: keeps a bounded number of leading prompt
// blocks, least recently used out first, and publishes what it stores and
// drops late and for a limited time.
class PrefixCache
{
public:
  PrefixCache(std::size_t aBlocks, Duration aEventLag);

  // Tokens of a prompt that need not be read again; stores its first block.
  int Use(const std::string& aPrompt, int aPromptTokens, Time aNow);

  // Published events after a sequence number.
  schema::CacheEvents EventsAfter(int aSequence, Time aNow) const;

  void Clear();

private:
  struct Event
  {
    Time mAt;
    schema::CacheEvent mEvent;
  };

  void Publish(const char* aKind, std::uint64_t aHash, Time aNow);

  std::size_t mBlocks;
  Duration mEventLag;
  // Most recently used first.
  std::list<std::uint64_t> mOrder;
  std::map<std::uint64_t, std::list<std::uint64_t>::iterator> mByHash;
  std::deque<Event> mEvents;
  int mSequence = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_STANDIN_PREFIXCACHE_H_INCLUDED
