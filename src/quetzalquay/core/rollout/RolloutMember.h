#ifndef QUETZALQUAY_CORE_ROLLOUT_ROLLOUTMEMBER_H_INCLUDED
#define QUETZALQUAY_CORE_ROLLOUT_ROLLOUTMEMBER_H_INCLUDED

#include "core/rollout/RolloutOrder.h"
#include "core/rollout/RunOutcomes.h"
#include "core/rollout/VersionChoice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzalquay {

// How a run ended.
enum class RunEnd
{
  Succeeded,
  // The target answered with a failure.
  Failed,
  // The connection was lost.
  Lost,
  // Not run, given up by its caller, or moved.
  Withdrawn,
};

// The part that one host has in rollouts: chooses the version of each new
// request as the keeper directs, and counts what becomes of the requests at
// both versions. Without directives, the host uses no version that is still on
// trial. Performs no I/O; not thread-safe.
class RolloutMember
{
public:
  // Time without a directive after which nothing is sent to a version in trial,
  // and after which the share of a version in shift is given up, too.
  static constexpr Duration kTrialSilence = std::chrono::milliseconds(2000);
  static constexpr Duration kShiftSilence = std::chrono::milliseconds(4000);

  // aStart identifies this start of the host.
  explicit RolloutMember(std::uint64_t aStart);

  // An order has been read, or heard of. Returns whether it was not known. A
  // known order keeps its stage; its start only moves back.
  bool OnOrder(const RolloutOrder& aOrder);

  // The service's order has been removed by its operator.
  void OnOrderRemoved(const std::string& aService);

  // A keeper's directive, or one that another host passes on. Returns whether
  // the stage has changed. Stages never go back.
  bool OnDirective(const RolloutDirective& aDirective, Time aNow);

  // Targets that are registered and do not leave, with their versions, by name
  // and service.
  void SetTargets(
    std::map<std::string, std::map<std::string, std::string>> aVersions)
  {
    mTargets = std::move(aVersions);
  }

  // Version that a request may use which begins now. The same request gets the
  // same answer while the share does not change.
  VersionChoice ChooseVersion(const std::string& aService,
                              const std::string& aRequestId,
                              Time aNow) const;

  // Whether a request that finds no target of the version before may use the
  // new one in its place.
  bool MayReplaceOld(const std::string& aService, Time aNow) const;

  // A request has been sent to a target. Returns what identifies the run, 0 if
  // its service has no order that counts it.
  std::uint64_t OnSent(const std::string& aService,
                       const std::string& aRoute,
                       const std::string& aTarget,
                       const std::string& aVersion,
                       Time aNow);

  // The run has produced its first output, or has ended. Unknown runs are
  // ignored.
  void OnFirstOutput(std::uint64_t aRun, Time aNow);
  void OnEnd(std::uint64_t aRun, RunEnd aEnd, Time aNow);

  // What this host has to tell the keeper of each order, until some time after
  // its deadline.
  std::vector<RolloutReport> Reports(Time aNow) const;

  // Whether there is anything to tell a keeper.
  bool HasOpenOrder(Time aNow) const;

  // The order of a service; nullptr if it has none.
  const RolloutOrder* OrderOf(const std::string& aService) const;

  // Last directive, for messages and metrics; nothing before the first one.
  std::optional<RolloutDirective> DirectiveOf(
    const std::string& aService) const;

  // Services that have orders.
  std::vector<std::string> Services() const;

private:
  struct Run
  {
    std::string mService;
    std::uint64_t mOrder = 0;
    std::string mRoute;
    // Empty at a target of another version than the order's.
    std::string mTarget;
    Time mSentAt;
    bool mHasOutput = false;
  };

  struct State
  {
    RolloutOrder mOrder;
    std::optional<RolloutDirective> mDirective;
    Time mHeardAt;
    std::map<std::pair<std::string, std::string>, RunOutcomes> mOutcomes;
    DurationBuckets mOldDurations;
    std::int64_t mOldOpen = 0;
  };

  double ShareOf(const State& aState, Time aNow) const;
  std::set<std::string> UsedTargets(const State& aState) const;

  std::uint64_t mStart;
  std::map<std::string, State> mStates;
  // Versions that were rolled back before, by service.
  std::map<std::string, std::set<std::string>> mBadVersions;
  std::map<std::string, std::map<std::string, std::string>> mTargets;
  std::map<std::uint64_t, Run> mRuns;
  std::uint64_t mLastRun = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_ROLLOUT_ROLLOUTMEMBER_H_INCLUDED
