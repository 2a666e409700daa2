#ifndef QUETZALQUAY_CORE_REPLACEDCONFIGURATIONS_H_INCLUDED
#define QUETZALQUAY_CORE_REPLACEDCONFIGURATIONS_H_INCLUDED

#include "core/RoutingTable.h"
#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace quetzalquay {

// The configurations that were in force last, for requests that another host
// has admitted by one of them. Performs no I/O; not thread-safe.
class ReplacedConfigurations
{
public:
  // Configurations that are kept.
  static constexpr std::size_t kMaxKept = 4;

  // A configuration has been replaced.
  void OnReplaced(RefPtr<RoutingTable> aRouting, Time aNow);

  // Finds the configuration of a version; null if it is not kept, or if it had
  // been replaced at aInForceAt.
  RefPtr<RoutingTable> Find(std::int64_t aVersion, Time aInForceAt) const;

private:
  struct Replaced
  {
    RefPtr<RoutingTable> mRouting;
    Time mReplacedAt;
  };

  // The oldest one first.
  std::deque<Replaced> mReplaced;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_REPLACEDCONFIGURATIONS_H_INCLUDED
