#ifndef QUETZALQUAY_CORE_SERVEDPARTS_H_INCLUDED
#define QUETZALQUAY_CORE_SERVEDPARTS_H_INCLUDED

#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace quetzalquay {

// Remembers when parts of prompts were last served, for kMemory at least unless
// there are more than kMaxParts of them. Takes bounded memory.
class ServedParts
{
public:
  static constexpr Duration kMemory = std::chrono::seconds(30);
  static constexpr std::size_t kMaxParts = 32768;

  // Records that a request with the part was served.
  void OnServed(std::uint64_t aPart, Time aNow);

  // When the part was last served; nothing if that is not remembered.
  std::optional<Time> LastServedAt(std::uint64_t aPart) const;

  // Number of remembered parts.
  std::size_t Size() const { return mRecent.size() + mOlder.size(); }

private:
  using Times = std::unordered_map<std::uint64_t, Time>;

  // The times are kept in two maps, the older of which is dropped as a whole.
  Times mRecent;
  Times mOlder;
  Time mRecentSince;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_SERVEDPARTS_H_INCLUDED
