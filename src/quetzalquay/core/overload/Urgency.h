#ifndef QUETZALQUAY_CORE_OVERLOAD_URGENCY_H_INCLUDED
#define QUETZALQUAY_CORE_OVERLOAD_URGENCY_H_INCLUDED

#include "core/RoutingTable.h"
#include "core/Time.h"

#include <optional>
#include <string>
#include <utility>

namespace quetzalquay {

// How much sooner a request has to have come to be served before one that is
// more urgent by one rank. Less urgent requests are served later by that time,
// but not starved.
constexpr Duration kRankDelay = std::chrono::milliseconds(2000);

// Rank of a request by the priorities of its workspace and its route; 0 is the
// most urgent. The workspace's priority goes before the route's.
int
RankOf(std::pair<int, int> aPriority);

// Scheduling rank of a stream at its target, from 0 to 9, where 5 is usual.
// Nothing if all routes of the service have the same priority, so that none is
// to be preferred.
std::optional<int>
UrgencyAtTarget(const RoutingTable& aRouting,
                const std::string& aService,
                std::pair<int, int> aPriority);

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_OVERLOAD_URGENCY_H_INCLUDED
