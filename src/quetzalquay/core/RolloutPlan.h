#ifndef QUETZALQUAY_CORE_ROLLOUTPLAN_H_INCLUDED
#define QUETZALQUAY_CORE_ROLLOUTPLAN_H_INCLUDED

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzalquay {

// What one target of a pool holds, as far as the controller knows.
struct TargetHolding
{
  std::string mTarget;
  // The target answers, and the versions below are what it said.
  bool mReachable = false;
  // The target is loading and cannot serve.
  bool mLoading = false;
  std::set<std::string> mVersions;
};

// Limits of a change of version.
struct RolloutLimits
{
  // Share of the targets that may be loading at the same time.
  double mMaxLoadingShare = 0.25;
  // Share of the targets that must hold a version before it is served.
  double mMinReadyShare = 0.5;
};

// Order for one target: the whole set of versions that it shall hold.
struct HoldingOrder
{
  std::string mTarget;
  std::set<std::string> mVersions;
};

// Steps that bring a pool nearer to its configuration.
struct RolloutSteps
{
  std::vector<HoldingOrder> mOrders;
  // Version to serve from now on, when it changes.
  std::optional<std::string> mServe;
};

// Decides the next steps of a pool. aDeclared are the versions that shall be
// held, aDesired is the one that shall be served, aServed is the one that is.
// Targets are never ordered to drop the served version, and no more than the
// allowed share loads at once. Pure logic.
RolloutSteps
PlanRollout(const std::vector<TargetHolding>& aTargets,
            const std::set<std::string>& aDeclared,
            const std::string& aDesired,
            const std::string& aServed,
            const RolloutLimits& aLimits);

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_ROLLOUTPLAN_H_INCLUDED
