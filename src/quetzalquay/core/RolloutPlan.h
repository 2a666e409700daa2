#ifndef QUETZALQUAY_CORE_ROLLOUTPLAN_H_INCLUDED
#define QUETZALQUAY_CORE_ROLLOUTPLAN_H_INCLUDED

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzalquay {

// Model versions loaded at one target of a pool, as last reported to the
// controller.
struct TargetVersions
{
  std::string mTarget;
  // Whether the target answered; the members below are valid only then.
  bool mReachable = false;
  // Whether the target is loading a version and cannot serve meanwhile.
  bool mLoading = false;
  std::set<std::string> mVersions;
};

// Limits that a rollout observes.
struct RolloutLimits
{
  // Share of the targets, from 0 to 1, that may be loading at the same time. At
  // least one target always may.
  double mMaxLoadingShare = 0.25;
  // Share of the targets, from 0 to 1, that must have loaded a version before
  // it is served.
  double mMinReadyShare = 0.5;
};

// Order for one target: the complete set of versions that it has to keep
// loaded.
struct VersionOrder
{
  std::string mTarget;
  std::set<std::string> mVersions;
};

// Next steps of a rollout.
struct RolloutSteps
{
  std::vector<VersionOrder> mOrders;
  // Version to switch to; empty when the served version does not change.
  std::optional<std::string> mServeVersion;
};

// Computes the next steps that bring a pool closer to its configuration.
// aDeclared are the versions to keep loaded, aDesired is the version to serve
// and aServed the one served now. Targets are never ordered to unload the
// served version, and at most the allowed share of targets loads at a time.
// Unreachable targets count as loading. Performs no I/O.
RolloutSteps
PlanRollout(const std::vector<TargetVersions>& aTargets,
            const std::set<std::string>& aDeclared,
            const std::string& aDesired,
            const std::string& aServed,
            const RolloutLimits& aLimits);

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_ROLLOUTPLAN_H_INCLUDED
