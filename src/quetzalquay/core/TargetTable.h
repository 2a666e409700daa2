#ifndef QUETZALQUAY_CORE_TARGETTABLE_H_INCLUDED
#define QUETZALQUAY_CORE_TARGETTABLE_H_INCLUDED

#include "core/FairQueue.h"
#include "core/RetryBudget.h"
#include "core/ServiceRate.h"
#include "core/SuspectRegistry.h"
#include "core/TargetChooser.h"
#include "core/Time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace quetzalquay {

// One target as the operators declared it.
struct TargetDeclaration
{
  std::string mName;
  std::string mService;
  std::string mPlace;
  std::string mRegion;
  bool mLeaving = false;
  // Start of the target as it registers it, empty when it only reports it.
  std::string mIncarnation;
  // Requests and tokens that the target holds at once; zero when not known.
  int mSlots = 0;
  int mMemoryTokens = 0;
};

// One service as the operators declared it.
struct ServiceDeclaration
{
  std::string mName;
  std::string mServingVersion;
};

// Where this process runs and how it spreads its work.
struct TargetTableOptions
{
  std::string mRouterName;
  std::string mPlace;
  // Targets of one service that this process uses; 0 means all of them.
  int mSubsetSize = 0;
  // Random candidates that are compared for one choice; 0 means all.
  int mSampleSize = 2;
  // Whether requests that were lost with a target are kept apart, so that one
  // which crashes targets is found sooner. It delays what goes on elsewhere.
  bool mSeparateSuspects = true;
  // Targets that must die at about the same time for their requests to be held
  // innocent, as when a place fails; 0 blames requests always.
  int mCommonDeaths = 0;
  // Time for which a target that refused or did not answer is used only when
  // most others are in the same state: until its entry has lapsed or changed.
  Duration mDoubtPause = Duration::zero();
  // Targets of one place that are lost at about the same time make the rest of
  // that place doubtful; 0 means none do.
  int mPlaceLosses = 0;
  std::uint64_t mSeed = 0;
};

// What one attempt takes of a target.
struct AttemptLoad
{
  int mPromptTokens = 0;
  int mOutputTokens = 0;
};

// How one attempt's hold on its target ended.
enum class AttemptOutcome
{
  Finished,
  // Cancelled, moved elsewhere or turned away.
  Released,
  // The connection broke or the target fell silent.
  Lost,
};

// What one router has given to one target and not got back.
struct TargetLoad
{
  std::string mTarget;
  int mRunning = 0;
  // Prompt tokens of requests that have not delivered a token yet.
  int mBacklogTokens = 0;
  // Tokens that requests and copies take of the target's memory.
  int mHeldTokens = 0;
};

// What a choice of a target went by.
struct ChoiceInputs
{
  // Requests that run there: this router's, those that others told of, and
  // those of the target's last report with its age, the longest time when there
  // is none.
  int mOwn = 0;
  int mOthers = 0;
  int mReported = 0;
  Duration mReportAge = Duration::max();
  // Prompt tokens that are to be read there.
  int mBacklogTokens = 0;
  // Copies that it keeps for this router's streams.
  int mCopies = 0;
  bool mDoubtful = false;
};

// State of one target, for status pages and metrics.
struct TargetView
{
  std::string mName;
  std::string mService;
  std::string mPlace;
  std::string mState;
  std::string mIncarnation;
  int mInFlight = 0;
  int mReported = 0;
  Duration mUsualGap = Duration::zero();
  Duration mFirstToken = Duration::zero();
};

// What one router knows of the targets, and its choice among them. Pure logic;
// not safe for concurrent use.
class TargetTable : public TargetChooser
{
public:
  explicit TargetTable(TargetTableOptions aOptions);

  // Replaces the declared targets; state of those that stay is kept. aRegion is
  // the region of this process's place.
  void Declare(const std::vector<ServiceDeclaration>& aServices,
               const std::vector<TargetDeclaration>& aTargets,
               const std::string& aRegion,
               Time aNow = Time());

  Choice Choose(const ChoiceQuery& aQuery, Time aNow) override;

  // An attempt has been given to a target.
  void OnAttemptStart(const std::string& aTarget,
                      std::uint64_t aContentHash,
                      Time aNow,
                      AttemptLoad aLoad = {});

  // An attempt has ended.
  void OnAttemptEnd(const std::string& aTarget,
                    std::uint64_t aContentHash,
                    AttemptOutcome aOutcome,
                    Time aNow);

  // A request has gone well past where its target had died, or has finished.
  void OnProgress(std::uint64_t aContentHash);

  // Time from an attempt's start to its first token.
  void OnFirstToken(const std::string& aTarget,
                    Duration aTime,
                    std::uint64_t aContentHash = 0);

  // Bytes have come from a target.
  void OnAlive(const std::string& aTarget, Time aNow);

  // A connection that carried a request broke.
  void OnBroken(const std::string& aTarget, Time aNow);

  // Target that should keep a copy of a stream which runs on aRunner: at
  // another place where there is one, empty when none has room.
  std::string ChooseCopyHolder(const ChoiceQuery& aQuery,
                               const std::string& aRunner,
                               Time aNow);

  // Whether a target is known, stays, and nothing speaks against its health.
  bool IsSound(const std::string& aTarget, Time aNow) const;

  // A target keeps a copy of that many tokens, or no longer does.
  void OnCopyStart(const std::string& aTarget, int aTokens);
  void OnCopyEnd(const std::string& aTarget, int aTokens);

  // A target that was lost lately, and when.
  struct LostTarget
  {
    std::string mTarget;
    Time mAt;
  };

  // Targets that this router has found lost and not heard from since.
  std::vector<LostTarget> LostTargets(Time aNow) const;

  // Another router has found a target lost.
  void OnLostElsewhere(const std::string& aTarget, Time aAt, Time aNow);

  // What the choice of a target goes by now.
  ChoiceInputs InputsOf(const std::string& aTarget, Time aNow) const;

  // Prompt tokens that are still to be read at the target of a service where
  // they are fewest.
  int LeastBacklog(const ChoiceQuery& aQuery, Time aNow) const;

  // What this router has given to targets, without those that have nothing.
  std::vector<TargetLoad> OwnLoad() const;

  // What another router has given to targets, in place of what it said before.
  void TakeLoad(const std::string& aRouter,
                const std::vector<TargetLoad>& aLoad,
                Time aNow);

  // Calls a function whenever OwnLoad() or LostTargets() change.
  void NotifyLoad(std::function<void()> aCall);

  // Budget that repeats are taken from; unlimited until it is configured.
  void LimitRepeats(const RetryBudget::Options& aOptions);

  // What this router has sent to services lately, and what another one says of
  // itself; for the budget of repeats.
  std::vector<RepeatCount> OwnRepeats(Time aNow);
  void TakeRepeats(const std::string& aRouter,
                   const std::vector<RepeatCount>& aCounts,
                   Time aNow);

  // Time between two tokens of one stream.
  void OnGap(const std::string& aTarget, Duration aGap);

  void Forget(const ChoiceQuery& aQuery) override;

  // The target has turned an attempt away for lack of capacity.
  void OnTurnedAway(const std::string& aTarget, Time aNow);

  // A load report has arrived. A new incarnation means that the former has
  // died.
  void OnLoad(const std::string& aTarget,
              const std::string& aIncarnation,
              const std::string& aState,
              int aRunning,
              int aWaiting,
              Time aNow);

  // The target refuses connections: its incarnation has died.
  void OnRefused(const std::string& aTarget, Time aNow);

  // The target does not answer a probe.
  void OnUnresponsive(const std::string& aTarget, Time aNow);

  // An incarnation of a target gets no new work, as the host list or a peer
  // tells. Empty means the present one.
  void MarkLeaving(const std::string& aTarget,
                   const std::string& aIncarnation = std::string());

  // The target holds, or no longer holds, a cached prefix.
  void OnCacheEvent(const std::string& aTarget,
                    std::uint64_t aPrefixHash,
                    bool aStored);

  // The engine has dropped events: what is known of its cache is void.
  void OnCacheGap(const std::string& aTarget);

  // A target's incarnation that leaves.
  struct Leaving
  {
    std::string mTarget;
    std::string mIncarnation;
  };

  // Targets that leave by their own report, the host list's or a peer's.
  std::vector<Leaving> LeavingTargets() const;

  // Whether a target gets no new work.
  bool IsLeaving(const std::string& aTarget) const;

  // Incarnation last reported by a target, empty when unknown.
  std::string IncarnationOf(const std::string& aTarget) const;

  // Targets that this process uses.
  std::vector<std::string> Subset() const;

  // State of all targets that this process uses.
  std::vector<TargetView> View(Time aNow) const;

  // A repeat that Choose took from the budget has not been sent.
  void ReturnRepeat(const std::string& aService);

  // Suspected requests.
  SuspectRegistry& Suspects() { return mSuspects; }

private:
  struct Running
  {
    std::uint64_t mContentHash;
    Time mStartedAt;
    // The target's death has been counted for this attempt.
    bool mBlamed;
    AttemptLoad mLoad;
    bool mFirstTokenSeen;
  };

  struct Lost
  {
    std::uint64_t mContentHash;
    Time mAt;
  };

  struct Target
  {
    TargetDeclaration mDeclaration;
    std::string mIncarnation;
    bool mReportedLeaving = false;
    // Incarnation that was told to leave, empty when none was.
    std::string mLeavingIncarnation;
    bool mLoading = false;
    Time mDownUntil;
    Time mDoubtUntil;
    Time mLostAt;
    // The loss was found by this router itself.
    bool mLostHere = false;
    Time mAliveAt;
    Time mFullUntil;
    int mReported = 0;
    // Requests in the target's own queue, as reported.
    int mWaiting = 0;
    // Own attempts at the time of the last report.
    int mOwnAtReport = 0;
    Time mReportedAt;
    Time mBrokenAt;
    int mCopies = 0;
    int mCopyTokens = 0;
    // Sum of what other routers have given to it.
    TargetLoad mOthers;
    std::vector<Running> mRunning;
    // Attempts whose connection broke lately, until a death is confirmed.
    std::deque<Lost> mLost;
    std::deque<Time> mContinuations;
    Duration mUsualGap;
    Duration mFirstToken;
    std::map<std::uint64_t, bool> mCached;
  };

  static bool IsLeaving(const Target& aTarget);
  bool IsUsable(const Target& aTarget,
                const ChoiceQuery& aQuery,
                Time aNow) const;
  bool SuspectMayGo(const Target& aTarget,
                    const ChoiceQuery& aQuery,
                    Time aNow);
  static bool IsFull(const Target& aTarget,
                     const ChoiceQuery& aQuery,
                     Time aNow);
  Choice Queue(const ChoiceQuery& aQuery, Time aNow);
  Choice ChooseFrom(std::vector<Target*>& aUsable,
                    const ChoiceQuery& aQuery,
                    Time aNow);
  void Rank(std::vector<Target*>& aUsable,
            const ChoiceQuery& aQuery,
            Time aNow);
  bool TakesContinuation(Target& aTarget, Time aNow);
  static int Load(const Target& aTarget, Time aNow);
  double Score(const Target& aTarget,
               const ChoiceQuery& aQuery,
               Time aNow) const;
  bool IsRecentlyLost(std::uint64_t aContentHash, Time aNow) const;
  void AddOthers(const std::vector<TargetLoad>& aLoad, int aSign);
  void OnLoadChanged() const;
  static TargetLoad OwnLoadOf(const Target& aTarget);
  void OnDeath(Target& aTarget, Time aNow);
  void OnLost(Target& aTarget, Time aNow);
  void ForgetOldLosses(Time aNow);
  void OnLostHere(Target& aTarget, Time aNow);
  bool IsDoubtful(const Target& aTarget, Time aNow) const;
  void BlameForDeaths(Time aNow);
  Target* Find(const std::string& aName);
  const Target* Find(const std::string& aName) const;
  std::vector<TargetDeclaration> PickSubset(
    const std::vector<TargetDeclaration>& aTargets) const;

  TargetTableOptions mOptions;
  std::string mRegion;
  std::map<std::string, Target> mTargets;
  std::map<std::string, ServiceDeclaration> mServices;
  std::map<std::string, FairQueue> mQueues;
  std::map<std::string, ServiceRate> mRates;
  std::map<std::string, std::vector<std::string>> mByService;
  SuspectRegistry mSuspects;
  // Deaths of targets that no request has been blamed for yet.
  struct Death
  {
    Time mAt;
    std::vector<std::uint64_t> mRequests;
  };
  std::deque<Death> mDeaths;
  // What other routers told last.
  struct RouterLoad
  {
    std::vector<TargetLoad> mLoad;
    Time mUntil;
  };
  std::map<std::string, RouterLoad> mRouterLoads;
  std::function<void()> mOnLoadChanged;
  // When targets were lost lately, by place.
  std::map<std::string, std::deque<Time>> mPlaceLosses;
  std::optional<RetryBudget> mBudget;
  std::mt19937_64 mRandom;
  // When a suspect first waited for a target without another suspect.
  std::map<std::uint64_t, Time> mSuspectWaits;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_TARGETTABLE_H_INCLUDED
