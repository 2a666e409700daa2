#include "core/RolloutPlan.h"

#include <algorithm>
#include <cmath>

namespace quetzalquay {

namespace {

bool
HoldsAll(const TargetVersions& aTarget, const std::set<std::string>& aVersions)
{
  return std::includes(aTarget.mVersions.begin(),
                       aTarget.mVersions.end(),
                       aVersions.begin(),
                       aVersions.end());
}

} // namespace

RolloutSteps
PlanRollout(const std::vector<TargetVersions>& aTargets,
            const std::set<std::string>& aDeclared,
            const std::string& aDesired,
            const std::string& aServed,
            const RolloutLimits& aLimits)
{
  std::set<std::string> required = aDeclared;
  required.insert(aServed);
  const auto size = static_cast<double>(aTargets.size());
  const auto mostLoading =
    std::max(1.0, std::floor(size * aLimits.mMaxLoadingShare));
  double loading = 0;
  double ready = 0;
  for (const TargetVersions& it : aTargets) {
    loading += it.mLoading || !it.mReachable ? 1 : 0;
    const bool holds = it.mVersions.count(aDesired) != 0;
    ready += it.mReachable && !it.mLoading && holds ? 1 : 0;
  }
  RolloutSteps steps;
  const bool canSwitch = ready > 0 && ready >= size * aLimits.mMinReadyShare;
  if (aDesired != aServed && canSwitch) {
    steps.mServeVersion = aDesired;
  }
  for (const TargetVersions& it : aTargets) {
    if (!it.mReachable || it.mLoading || it.mVersions == required) {
      continue;
    }
    const bool loads = !HoldsAll(it, required);
    if (loads && loading >= mostLoading) {
      continue;
    }
    loading += loads ? 1 : 0;
    steps.mOrders.push_back({ it.mTarget, required });
  }
  return steps;
}

} // namespace quetzalquay
