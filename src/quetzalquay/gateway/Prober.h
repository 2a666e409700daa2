#ifndef QUETZALQUAY_GATEWAY_PROBER_H_INCLUDED
#define QUETZALQUAY_GATEWAY_PROBER_H_INCLUDED

#include "core/GenerationActions.h"
#include "gateway/DeathCheck.h"
#include "gateway/TargetCall.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzalquay {

// Checks whether a target is alive. Bytes received from it recently on any
// connection count as proof; otherwise it is sent a request for its report.
// Concurrent probes of a target share one request and its time limit.
class Prober
{
public:
  // Receives the result, and the target's report or nullptr if there is none.
  using Callback =
    std::function<void(ProbeResult, const platform::TargetReport*)>;

  Prober(EventLoop& aLoop, Fleet& aFleet, TargetConnectionPool& aPool);
  ~Prober();

  // Probes a target. The callback is called exactly once, by aDeadline at the
  // latest and never before this function returns. If a probe of the target is
  // already in progress, its time limit applies instead of aDeadline. With
  // aReport a request is sent even if bytes were received recently.
  void Probe(const std::string& aTarget,
             bool aReport,
             Time aDeadline,
             Callback aCallback);

  // Handles a target aNew that answers at the address of the known target aOld:
  // requests its report and, if it can replace aOld, notifies the fleet.
  void IdentifyReplacement(const std::string& aOld, const std::string& aNew);

  // Finds out whether a target that has just lost a request has died, unless it
  // sends bytes meanwhile, and tells the target table. Concurrent checks of one
  // target are done once.
  void CheckDeath(const std::string& aTarget);

  // Tries a connection to a target, and tells its reach the result.
  void TryConnection(const std::string& aTarget);

  // Requests sent to targets since the start.
  std::uint64_t ProbeCount() const { return mProbeCount; }

private:
  // A probe in progress and the callbacks that wait for its result.
  struct PendingProbe
  {
    std::string mIncarnation;
    std::vector<Callback> mCallbacks;
  };

  void OnReportReply(const std::string& aTarget,
                     const TargetCall::Outcome& aOutcome);
  void OnIdentifyReply(const std::string& aOld,
                       const std::string& aNew,
                       const TargetCall::Outcome& aOutcome);
  void StartDeathChecks();
  void RecordReach(const std::string& aTarget, DeathCheck::Result aResult);
  void FinishProbe(const std::string& aTarget,
                   ProbeResult aResult,
                   const platform::TargetReport* aReport);

  // A check of a target that has lost a request.
  struct PendingCheck
  {
    std::string mTarget;
    Time mLostAt;
    Time mDueAt;
  };

  EventLoop& mLoop;
  Fleet& mFleet;
  TargetConnectionPool& mPool;
  // Checks that are not due yet, in order.
  std::deque<PendingCheck> mChecks;
  Timer mCheckTimer;
  std::map<std::string, PendingProbe> mPending;
  // Newly found targets whose report has been requested.
  std::set<std::string> mIdentifications;
  std::uint64_t mProbeCount = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_PROBER_H_INCLUDED
