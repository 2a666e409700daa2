#include "core/overload/Urgency.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// One rank of a workspace outweighs all ranks of routes that operators use.
constexpr int kRoutesPerWorkspaceRank = 4;
constexpr int kMaxRank = 12;

constexpr int kUsualUrgency = 5;

} // namespace

int
RankOf(std::pair<int, int> aPriority)
{
  const int workspace = std::clamp(aPriority.first, 0, kMaxRank);
  const int route = std::clamp(aPriority.second, 0, kRoutesPerWorkspaceRank);
  return std::min(workspace * kRoutesPerWorkspaceRank + route, kMaxRank);
}

std::optional<int>
UrgencyAtTarget(const RoutingTable& aRouting,
                const std::string& aService,
                std::pair<int, int> aPriority)
{
  const auto range = aRouting.StreamPriorities(aService);
  if (!range || range->first == range->second) {
    return std::nullopt;
  }
  // The least urgent streams keep the usual rank.
  return std::clamp(
    kUsualUrgency + aPriority.second - range->second, 0, kUsualUrgency);
}

} // namespace quetzalquay
