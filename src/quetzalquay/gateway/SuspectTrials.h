#ifndef QUETZALQUAY_GATEWAY_SUSPECTTRIALS_H_INCLUDED
#define QUETZALQUAY_GATEWAY_SUSPECTTRIALS_H_INCLUDED

#include "core/TrialRecord.h"
#include "gateway/Fleet.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/TrialRows.h"
#include "http/AsyncHttpClient.h"
#include "platform/PlatformStore.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Runs requests of which it is unclear whether they crash targets as trials,
// one at a time in the whole fleet for each set of suspects and for each
// target. The store's conditional writes decide which host runs the next one,
// so that the number of targets that a set can still crash is bounded however
// many hosts its requests reach at once. Hosts that do not reach the store take
// turns.
class SuspectTrials
{
public:
  SuspectTrials(EventLoop& aLoop,
                const GatewaySettings& aSettings,
                Fleet& aFleet,
                GatewayMetrics& aMetrics,
                ReplyBuffers& aReplies);

  // Runs trials by another store from now on.
  void SetStore(const Endpoint& aStore) { mHttpClient.SetServer(aStore); }

private:
  enum class Phase
  {
    // Waits until the next request for a trial.
    Idle,
    // The store is asked to record the trial.
    Claiming,
    Running,
    // The outcome is being stored.
    Finishing,
  };

  struct Trial
  {
    Phase mPhase = Phase::Idle;
    SuspectSet mSuspects;
    ChoiceQuery mQuery;
    std::string mTarget;
    // Whether the store has recorded the trial.
    bool mRecorded = false;
    int mSends = 0;
    // Key of the row that is being read instead of claimed; empty if none is.
    std::string mReadKey;
    TrialOutcome mOutcome = TrialOutcome::Inconclusive;
    Time mNextClaimAt;
    Time mExpiresAt;
  };

  void OnNeeded(const ChoiceQuery& aQuery, const std::string& aTarget);
  void Tick();
  void CheckRunning(std::uint64_t aSet, Trial& aTrial, Time aNow);
  std::optional<TrialOutcome> OutcomeOf(const SuspectTrial& aRun,
                                        const SuspectSet& aSuspects,
                                        Time aNow);
  void Queue(std::uint64_t aSet);
  void SendNext();
  void SendClaim(std::uint64_t aSet, Trial& aTrial);
  void SendOutcome(std::uint64_t aSet, Trial& aTrial);
  void OnClaimReply(std::uint64_t aSet,
                    const std::optional<HttpReply>& aReply,
                    const std::string& aReason);
  void OnOutcomeReply(std::uint64_t aSet,
                      const std::optional<HttpReply>& aReply,
                      const std::string& aReason);
  void Call(const std::string& aRequest,
            AsyncHttpClient::ResponseCallback aDone);
  void Allow(Trial& aTrial, bool aRecorded);
  void Convict(Trial& aTrial, const TrialRecord& aRecord);
  TrialRecord RecordOfNext(const Trial& aTrial);
  // When this host may run a trial that the store does not record.
  Time NextUnrecorded(const Trial& aTrial, Time aNow) const;

  std::string mHost;
  Fleet& mFleet;
  GatewayMetrics& mMetrics;
  AsyncHttpClient mHttpClient;
  Timer mTimer;
  // By the ID of the set.
  std::map<std::uint64_t, Trial> mTrials;
  TrialRows mRows;
  // Sets whose claim or outcome waits to be sent.
  std::deque<std::uint64_t> mQueue;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_SUSPECTTRIALS_H_INCLUDED
