#ifndef QUETZALQUAY_CORE_ROLLOUT_ROLLOUTKEEPER_H_INCLUDED
#define QUETZALQUAY_CORE_ROLLOUT_ROLLOUTKEEPER_H_INCLUDED

#include "core/rollout/RolloutOrder.h"
#include "core/rollout/RunOutcomes.h"
#include "core/rollout/VersionJudge.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// A rollout's stage or share has changed, and why.
struct RolloutDecision
{
  RolloutDirective mDirective;
  std::string mReason;
  std::optional<VersionFault> mFault;
  // Whether the stage has changed, and not only the share.
  bool mNewStage = false;
};

// Decides on the rollouts of services, for all hosts. Adds up what the hosts
// report, keeps what a new version gets within the bounds until as late as the
// order allows, and rolls back a version that is found to be bad. Reports are
// cumulative, so that a host which takes over knows after one round of them
// what the one before knew of the hosts that live. Performs no I/O; not
// thread-safe.
class RolloutKeeper
{
public:
  // Reason of a decision that only changes the share of a trial.
  static constexpr char kExposureReason[] = "exposure";

  explicit RolloutKeeper(const RolloutBounds& aBounds);

  void SetBounds(const RolloutBounds& aBounds) { mBounds = aBounds; }

  // A host's report. aIsOwn is set for that of this host.
  void OnReport(const std::string& aHost,
                const RolloutReport& aReport,
                bool aIsOwn,
                Time aNow);

  // A directive of another keeper, so that this one goes on from there.
  void OnDirective(const RolloutDirective& aDirective, Time aNow);

  // What the store has on record of an order: "running" and the like.
  // aIsRecorded is false if the store has no record of it.
  void OnRecord(const std::string& aService,
                std::uint64_t aOrder,
                std::optional<RolloutStage> aFinal,
                Time aNow);

  // The store has confirmed that a rollout is recorded as completed, which
  // makes it so. A rollback needs no record.
  void OnCompletionRecorded(const std::string& aService,
                            std::uint64_t aOrder,
                            Time aNow);

  // Decides anew on a service's order, and returns what has changed since the
  // last call; nothing if nothing has, or if this host knows too little.
  std::optional<RolloutDecision> Decide(const std::string& aService, Time aNow);

  // What the hosts are to be told now of an order; nothing if this host knows
  // too little to direct it.
  std::optional<RolloutDirective> DirectiveOf(const std::string& aService,
                                              Time aNow) const;

  // Whether a rollout is to be recorded as completed now.
  bool IsToBeCompleted(const std::string& aService, Time aNow) const;

  // Hosts that have reported on a service's order.
  std::vector<std::string> HostsOf(const std::string& aService) const;

  // Whether hosts report on an order of the service whose record in the store
  // this host does not know.
  bool NeedsRecord(const std::string& aService) const;

private:
  struct HostReport
  {
    RolloutReport mReport;
    Time mAt;
  };

  struct State
  {
    std::uint64_t mOrder = 0;
    std::string mVersion;
    Time mStartedAt;
    Time mDeadline;
    // When this host had the first report, and whether it knows what the store
    // has on record.
    Time mSince;
    bool mRecordKnown = false;
    RolloutStage mStage = RolloutStage::Trial;
    double mShare = 0;
    // When the share last rose in a shift.
    Time mShareSince;
    // Totals that a keeper before has told.
    std::int64_t mToldRequests = 0;
    std::int64_t mToldExposed = 0;
    std::map<std::string, HostReport> mHosts;
  };

  struct Totals
  {
    OutcomesByTarget mOutcomes;
    DurationBuckets mOldDurations;
    std::int64_t mRequests = 0;
    std::int64_t mExposed = 0;
    std::int64_t mOldOpen = 0;
    int mNewTargets = 0;
    int mOldTargets = 0;
  };

  static Totals Sum(const State& aState);
  double TrialShare(const State& aState,
                    const Totals& aTotals,
                    Time aNow) const;
  static Time ShiftStart(const State& aState, const Totals& aTotals);
  RolloutDirective MakeDirective(const std::string& aService,
                                 const State& aState,
                                 Time aNow) const;
  // Sets the stage and the share for now. Returns why, empty if nothing has
  // changed.
  std::string Advance(State& aState,
                      const Totals& aTotals,
                      std::optional<VersionFault>& aFault,
                      Time aNow) const;

  RolloutBounds mBounds;
  std::map<std::string, State> mStates;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_ROLLOUT_ROLLOUTKEEPER_H_INCLUDED
