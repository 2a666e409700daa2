#ifndef QUETZALQUAY_CORE_TARGETTABLE_H_INCLUDED
#define QUETZALQUAY_CORE_TARGETTABLE_H_INCLUDED

#include "core/FairQueue.h"
#include "core/LeavingNotices.h"
#include "core/RetryBudget.h"
#include "core/ServiceRate.h"
#include "core/SuspectRegistry.h"
#include "core/TargetChooser.h"
#include "core/TargetDeath.h"
#include "core/TargetLimits.h"
#include "core/TargetReach.h"
#include "core/TargetRoom.h"
#include "core/TargetWaits.h"
#include "core/Time.h"
#include "core/overload/ReportedLoad.h"
#include "core/speed/TargetSpeeds.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace quetzalquay {

// Declared properties of one target.
struct TargetDeclaration
{
  std::string mName;
  std::string mService;
  std::string mPlace;
  std::string mRegion;
  bool mLeaving = false;
  // Identifies the target's current start if the target registers it; empty if
  // it only comes with load reports.
  std::string mIncarnation;
  // Version of the target's software; empty if the service has no versions.
  std::string mSoftwareVersion;
  // Whether each start of the target has a name of its own.
  bool mNamePerStart = false;
  // Requests and tokens that the target can hold at once; zero if unknown.
  int mSlots = 0;
  int mMemoryTokens = 0;
};

// Declared properties of one service.
struct ServiceDeclaration
{
  std::string mName;
  std::string mServingVersion;
};

// Where this process runs and how it balances load.
struct TargetTableOptions
{
  std::string mRouterName;
  std::string mPlace;
  // Number of targets of one service that this process uses; 0 means all.
  int mSubsetSize = 0;
  // Random candidates compared by score for one choice; 0 means all.
  int mSampleSize = 2;
  // Whether to run requests that were lost with a target on different targets,
  // so that a request which crashes targets is identified sooner. Isolation
  // delays the retries and continuations of these requests.
  bool mIsolateSuspects = true;
  // Number of targets that have to die at about the same time for the deaths to
  // count as a common failure, such as that of a place, which no request is
  // blamed for; 0 always blames the requests.
  int mCommonDeathThreshold = 0;
  // Time within which a lost attempt is checked for the death of its target;
  // zero if that is not checked, so that no retry waits for it.
  Duration mDeathCheckTime = Duration::zero();
  // Age from which a death counts for the refusal of a request.
  Duration mSuspectSettleTime = Duration::zero();
  // Whether trials decide on requests with unclear evidence; see
  // SuspectRegistry.
  bool mSuspectTrials = false;
  // Time for which a target that refused, did not answer or broke a connection
  // is doubtful, which all but excludes it. It should last until the target's
  // registry entry has expired or changed.
  Duration mDoubtDuration = Duration::zero();
  // Number of targets of one place that have to be lost at about the same time
  // to make the rest of that place doubtful; 0 disables the rule.
  int mPlaceLossThreshold = 0;
  std::uint64_t mSeed = 0;
};

// Tokens that one attempt occupies on its target.
struct AttemptLoad
{
  int mPromptTokens = 0;
  int mOutputTokens = 0;
};

// How an attempt at a target ended.
enum class AttemptOutcome
{
  Finished,
  // The response ended with its connection, which a target that dies ends, too.
  FinishedByClose,
  // The target answered with a failure; it may not have run the request.
  Failed,
  // Not sent, cancelled, moved to another target or rejected.
  Released,
  // Given up by this host or its caller before its end, so that it is lost if
  // its target turns out to have died since the last that was heard of it.
  GivenUp,
  // The connection broke or the target stopped responding.
  Lost,
};

// A run that shows whether its request crashes targets. No other trial shares
// the target.
struct SuspectTrial
{
  RequestContent mContent;
  std::string mRequestId;
  std::string mTarget;
  Time mAllowedAt;
  // When the run started and how it ended, once it has.
  std::optional<Time> mStartedAt;
  std::optional<AttemptOutcome> mOutcome;
  Time mEndedAt;
};

// Load that one router currently puts on one target.
struct TargetLoad
{
  std::string mTarget;
  int mRunning = 0;
  // Prompt tokens of requests that have not returned their first token.
  int mBacklogTokens = 0;
  // Tokens of target memory that requests and copies occupy.
  int mHeldTokens = 0;
  // How much longer streams take at the target than usual, in hundredths; 0 if
  // the router has not measured it.
  int mPace = 0;
};

// Inputs to the choice of a target, for logs.
struct ChoiceInputs
{
  // Requests on the target: this router's, the other routers' as they reported
  // them, and those of the target's last load report.
  int mOwnRunning = 0;
  int mPeerRunning = 0;
  int mReported = 0;
  // Age of the last load report; Duration::max() if there is none.
  Duration mReportAge = Duration::max();
  // Prompt tokens that the target has yet to process.
  int mBacklogTokens = 0;
  // Copies that the target keeps for this router's streams.
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
  Duration mTypicalTokenGap = Duration::zero();
  Duration mFirstToken = Duration::zero();
};

// Tracks the state of the targets as seen by one router and chooses among them.
// Takes the time as an argument and ignores calls about unknown targets.
// Performs no I/O; not thread-safe.
class TargetTable : public TargetChooser
{
public:
  explicit TargetTable(TargetTableOptions aOptions);

  // Replaces the declared services and targets, keeping the state of targets
  // that remain. aRegion is the region of this process's place.
  void Declare(const std::vector<ServiceDeclaration>& aServices,
               const std::vector<TargetDeclaration>& aTargets,
               const std::string& aRegion,
               Time aNow = Time());

  Choice Choose(const ChoiceQuery& aQuery, Time aNow) override;

  // Records that an attempt has been sent to a target.
  void OnAttemptStart(const std::string& aTarget,
                      const RequestContent& aContent,
                      Time aNow,
                      AttemptLoad aLoad = {});

  // Records the end of an attempt.
  void OnAttemptEnd(const std::string& aTarget,
                    const RequestContent& aContent,
                    AttemptOutcome aOutcome,
                    Time aNow);

  // Records that a target was alive at aAliveAt, so that attempts which
  // finished before by the end of their connections are complete.
  void OnSurvived(const std::string& aTarget, Time aAliveAt);

  // Records that an attempt has produced enough output to show that its request
  // does not crash targets when it begins to run. Clears the request, and the
  // loss of this attempt will only count as a late one.
  void OnProgress(const std::string& aTarget,
                  const RequestContent& aContent,
                  Time aNow);

  // Records the time from an attempt's start to its first token, which ends the
  // attempt's share of the prompt backlog.
  void OnFirstToken(const std::string& aTarget,
                    Duration aTime,
                    std::uint64_t aContentHash = 0);

  // Records that a connection to a target has been established, which clears
  // its doubtful state. The attempts that were given up there may still be lost
  // with it.
  void OnConnected(const std::string& aTarget, Time aNow);

  // Records that a target has sent data, so that it has not died of the
  // attempts that were given up there.
  void OnAlive(const std::string& aTarget, Time aNow);

  // Records that a connection broke while it carried a request.
  void OnConnectionBroken(const std::string& aTarget, Time aNow);

  // Chooses a target to keep a copy of a stream that runs on aServingTarget,
  // preferably in another place; empty if no target has room. The query's
  // software version is that of the stream.
  std::string ChooseCopyHolder(const ChoiceQuery& aQuery,
                               const std::string& aServingTarget,
                               Time aNow);

  // Whether a target is known and neither leaving, loading, down nor doubtful.
  bool IsHealthy(const std::string& aTarget, Time aNow) const;

  // Records that a target started or stopped keeping a copy of aTokens tokens.
  void OnCopyStart(const std::string& aTarget, int aTokens);
  void OnCopyEnd(const std::string& aTarget, int aTokens);

  // A target that was lost recently.
  struct LostTarget
  {
    std::string mTarget;
    Time mAt;
  };

  // Targets that this router recently found to be lost and has not heard from
  // since, without those of services from which it may be cut off.
  std::vector<LostTarget> LostTargets(Time aNow) const;

  // Records that another router found a target to be lost at aAt. Ignored if
  // the target has been heard from since.
  void OnLostByPeer(const std::string& aTarget, Time aAt, Time aNow);

  // Inputs that a choice of the target would use now.
  ChoiceInputs InputsOf(const std::string& aTarget, Time aNow) const;

  // Smallest prompt backlog among the usable targets of the query's service, in
  // tokens; zero if there is none.
  int MinBacklogTokens(const ChoiceQuery& aQuery, Time aNow) const;

  // This router's load by target, without idle targets.
  std::vector<TargetLoad> OwnLoad() const;

  // Replaces the load that another router has on targets. It expires unless
  // renewed.
  void SetPeerLoad(const std::string& aRouter,
                   const std::vector<TargetLoad>& aLoad,
                   Time aNow);

  // Sets a callback that runs whenever OwnLoad(), LostTargets() or the suspects
  // may have changed.
  void SetLoadCallback(std::function<void()> aCall);

  // Configures the retry budget. Retries are unlimited before the first call.
  void ConfigureRetryBudget(const RetryBudget::Options& aOptions);

  // Sets a callback that runs on each decision of the retry budget.
  void SetRetryCallback(std::function<void(const RetryDecision&)> aCallback);

  // The retry budget, or nullptr before it is configured.
  RetryBudget* Retries() { return mBudget ? &*mBudget : nullptr; }

  // Records the time between two tokens of a stream on a target.
  void OnTokenGap(const std::string& aTarget, Duration aGap);

  // Records that a target has said how much longer work takes there now.
  void OnSpeedFigure(const std::string& aTarget, double aFactor, Time aNow);

  void CancelWait(const ChoiceQuery& aQuery) override;

  // Records that a target rejected an attempt for lack of capacity.
  void OnAttemptRejected(const std::string& aTarget, Time aNow);

  // Records a load report. aState is "ready", "loading" or "leaving"; a changed
  // incarnation means that the previous one has died.
  void OnLoadReport(const std::string& aTarget,
                    const std::string& aIncarnation,
                    const std::string& aState,
                    int aRunning,
                    int aWaiting,
                    Time aNow);

  // Records how long a call has taken that a target has answered, and how many
  // requests waited there then.
  void OnServed(const std::string& aTarget, Duration aTime, int aWaiting);

  // Records that a target refuses connections, so its incarnation has died.
  void OnRefused(const std::string& aTarget, Time aNow);

  // Records that a target did not respond, to a probe for example.
  void OnUnresponsive(const std::string& aTarget, Time aNow);

  // Stops sending new requests to one incarnation of a target, as announced by
  // the host list or a peer. Empty means the current incarnation.
  void MarkLeaving(const std::string& aTarget,
                   const std::string& aIncarnation = std::string());

  // Records that a start of a target has said in an answer that it leaves; an
  // empty incarnation stands for an unknown one. It gets no new requests until
  // it starts again, even if it is declared as ready, or anew. Returns whether
  // this was not known. Unlike other calls, this one takes unknown targets.
  bool OnLeavingNotice(const std::string& aTarget,
                       const std::string& aIncarnation);

  // Records that a start of a target wants nothing from this host for so long;
  // see TargetWaits::OnAsked().
  bool OnAskedToWait(const std::string& aTarget,
                     const std::string& aIncarnation,
                     Duration aWait,
                     Time aNow);

  // Whether a target wants nothing from this host now.
  bool WantsNothing(const std::string& aTarget, Time aNow) const;

  // Targets that have asked this host to send them nothing for a while.
  const TargetWaits& Waits() const { return mWaits; }

  // Time after which a caller should come back that was refused because all
  // targets of a service want nothing; zero if one takes requests. Varies, so
  // that callers don't come back together.
  Duration TimeToComeBack(const ChoiceQuery& aQuery, Time aNow);

  // Whether the current start of a target has said in an answer that it leaves.
  bool HasLeavingNotice(const std::string& aTarget) const;

  // Records that a target stored or evicted a cached prefix.
  void OnCacheEvent(const std::string& aTarget,
                    std::uint64_t aPrefixHash,
                    bool aStored);

  // Records that cache events of a target were lost. Discards the known state
  // of its cache.
  void OnCacheEventsLost(const std::string& aTarget);

  // An incarnation of a target that is leaving.
  struct Leaving
  {
    std::string mTarget;
    std::string mIncarnation;
  };

  // Targets that are leaving according to their own report, the host list or a
  // peer, without those declared as leaving.
  std::vector<Leaving> LeavingTargets() const;

  // Whether a target is leaving, so that it gets no new requests; true for
  // unknown targets.
  bool IsLeaving(const std::string& aTarget) const;

  // Current incarnation of a target; empty if unknown.
  std::string IncarnationOf(const std::string& aTarget) const;

  // Declared software version of a target; nothing for unknown targets.
  std::optional<std::string> SoftwareVersionOf(
    const std::string& aTarget) const;

  // Names of the targets that this process uses.
  std::vector<std::string> Subset() const;

  // State of all targets that this process uses.
  std::vector<TargetView> View(Time aNow) const;

  // Returns to the budget a retry that Choose() took from it but that has not
  // been sent.
  void ReturnRetry(const std::string& aService);

  // Sets a callback for each recognized death of a target.
  void SetDeathCallback(std::function<void(const DeathReport&)> aCall);

  // Receives a service and returns whether this host reaches its targets.
  using ReachCheck = std::function<ReachState(const std::string&)>;

  // Sets a function that is asked before a target is held for dead because of a
  // failed connection. While a cut is suspected, the deaths are held back until
  // OnCutBelieved() or OnCutDenied(); while this host is cut off, there are
  // none and lost attempts do not count against their requests.
  void SetReachCheck(ReachCheck aCheck);

  // This host is cut off from a service's targets: what was lost with them says
  // nothing about them.
  void OnCutBelieved(const std::string& aService);

  // This host is not cut off from a service's targets: those whose deaths were
  // held back and that have not been heard since have died.
  void OnCutDenied(const std::string& aService, Time aNow);

  // This host reaches a service's targets again, which are usable at once.
  void OnCutEnded(const std::string& aService);

  // Records that an attempt did not reach its target.
  void OnAttemptNotReceived(const std::string& aTarget);

  // Limits on the requests that targets take.
  TargetLimits& Limits() { return mLimits; }

  // Room at brittle targets.
  TargetRoom& Room() { return mRoom; }

  // What this host has to tell the keepers of brittle targets, by host.
  std::vector<std::pair<std::string, RoomMessage>> TakeRoomMessages(Time aNow);

  // Handles the message of another host about the room of a target that this
  // host keeps; see TargetRoom::OnMessage().
  std::optional<RoomAnswer> OnRoomMessage(const std::string& aHost,
                                          const RoomMessage& aMessage,
                                          Time aNow);

  // Requests suspected of crashing targets.
  SuspectRegistry& Suspects() { return mSuspects; }

  // Receives a request that may run only as a trial, and the target that would
  // take it.
  using TrialCallback =
    std::function<void(const ChoiceQuery&, const std::string&)>;

  // Sets a callback for each choice that needs a trial. It is called again
  // whenever the request tries again.
  void SetTrialCallback(TrialCallback aCallback);

  // Lets a request run as a trial on a target.
  void AllowTrial(const ChoiceQuery& aQuery,
                  const std::string& aTarget,
                  Time aNow);

  // The trial of a request that is allowed, running or has ended; nullptr if
  // there is none.
  const SuspectTrial* FindTrial(std::uint64_t aContentHash) const;

  // Removes a trial.
  void EndTrial(std::uint64_t aContentHash);

  // Does not offer a target for trials until a time.
  void AvoidForTrials(const std::string& aTarget, Time aUntil);

private:
  // Time within which a confirmed death of the target explains a lost attempt.
  static constexpr Duration kDeathConfirmationWindow =
    std::chrono::milliseconds(8000);

  struct RunningAttempt
  {
    RequestContent mContent;
    Time mStartedAt;
    AttemptLoad mLoad;
    bool mFirstTokenSeen;
    // Incarnation of the target when the attempt started.
    std::string mIncarnation;
    bool mProgressed = false;
    // When the same request was last served elsewhere.
    Time mServedAt{};
  };

  // An attempt that was lost or given up, or that finished by the end of its
  // connection.
  struct LostAttempt
  {
    RequestContent mContent;
    Time mStartedAt;
    Time mAt;
    // When its target died at the earliest, if it did.
    Time mDiedAt;
    std::string mIncarnation;
    AttemptOutcome mOutcome;
    // Whether it had shown progress.
    bool mLate = false;
  };

  struct Target
  {
    TargetDeclaration mDeclaration;
    std::string mIncarnation;
    // Incarnation that died last, and when; attempts of it that end later were
    // lost with it.
    std::optional<TargetDeath> mDeath;
    std::string mDeadIncarnation;
    bool mReportedLeaving = false;
    // Incarnation announced as leaving; empty if none.
    std::string mLeavingIncarnation;
    bool mLoading = false;
    Time mDownUntil;
    Time mDoubtUntil;
    Time mLostAt;
    // Whether this router found the loss itself.
    bool mLostLocally = false;
    Time mAliveAt;
    Time mFullUntil;
    ReportedLoad mReport;
    Time mBrokenAt;
    // When the target refused a connection while a cut was suspected.
    std::optional<Time> mHeldDeathAt;
    int mCopies = 0;
    int mCopyTokens = 0;
    // Sum of what other routers have said of their load on the target, and when
    // the newest part of it expires.
    TargetLoad mPeerLoad;
    Time mPeerLoadExpiresAt;
    std::vector<RunningAttempt> mRunning;
    // Attempts lost recently, kept in case the death of the target is
    // confirmed.
    std::deque<LostAttempt> mLostAttempts;
    std::deque<Time> mContinuationTimes;
    Duration mTypicalTokenGap;
    Duration mFirstToken;
    std::map<std::uint64_t, bool> mCachedPrefixes;
  };

  bool IsLeaving(const Target& aTarget) const;
  static bool IsOfVersion(const Target& aTarget, const ChoiceQuery& aQuery);
  bool IsVersionGone(const ChoiceQuery& aQuery) const;
  bool IsUsable(const Target& aTarget,
                const ChoiceQuery& aQuery,
                Time aNow) const;
  bool IsAllowedByIsolation(const Target& aTarget,
                            const ChoiceQuery& aQuery,
                            Time aNow);
  static bool IsFull(const Target& aTarget,
                     const ChoiceQuery& aQuery,
                     Time aNow);
  bool IsHeldBack(const std::vector<Target*>& aUsable,
                  const ChoiceQuery& aQuery,
                  Time aNow) const;
  void OnLimited(const std::vector<std::string>& aTargets,
                 const ChoiceQuery& aQuery,
                 Time aNow);
  int CountPendingLosses(const ChoiceQuery& aQuery, Time aNow) const;
  SuspectVerdict JudgeSuspect(const ChoiceQuery& aQuery, Time aNow) const;
  std::optional<ChoiceStatus> WhyNotSend(const ChoiceQuery& aQuery,
                                         SuspectVerdict aVerdict,
                                         Time aNow) const;
  Choice ChooseForTrial(std::vector<Target*>& aUsable,
                        const ChoiceQuery& aQuery,
                        Time aNow);
  void OnTrialStart(const std::string& aTarget,
                    std::uint64_t aContentHash,
                    Time aNow);
  void OnTrialEnd(const std::string& aTarget,
                  std::uint64_t aContentHash,
                  AttemptOutcome aOutcome,
                  Time aNow);
  // Targets of a request's service.
  struct Candidates
  {
    // Those that have room.
    std::vector<Target*> mUsable;
    // Those whose limits allow no more requests.
    std::vector<std::string> mLimited;
    // When the first of them is likely to take another request; zero if that
    // cannot be told.
    Duration mRoomIn = Duration::zero();
    // Whether any is up, and whether one of those is brittle.
    bool mAnyUp = false;
    bool mBrittle = false;
  };
  Candidates FindCandidates(const ChoiceQuery& aQuery,
                            const std::string& aOnly,
                            Time aNow);
  RoomUse RoomUseOf(const std::string& aTarget) const;
  bool IsBrittle(const std::string& aTarget) const;
  Choice ChooseWithRoom(std::vector<Target*>& aUsable,
                        const ChoiceQuery& aQuery,
                        Time aNow);
  Choice AwaitRoom(const ChoiceQuery& aQuery, bool aAsked, Time aNow);
  Choice Enqueue(const ChoiceQuery& aQuery,
                 const std::vector<std::string>& aLimited,
                 Duration aRoomIn,
                 Time aNow);
  Duration WaitForLimits(const std::vector<std::string>& aLimited,
                         std::size_t aQueued) const;
  bool TakeRetry(const ChoiceQuery& aQuery, Time aNow);
  Choice ChooseFrom(std::vector<Target*>& aUsable,
                    const ChoiceQuery& aQuery,
                    Time aNow);
  void Rank(std::vector<Target*>& aUsable,
            const ChoiceQuery& aQuery,
            Time aNow);
  std::set<std::string> LoneVersions(const std::vector<Target*>& aUsable,
                                     const ChoiceQuery& aQuery,
                                     Time aNow) const;
  bool TryAdmitContinuation(Target& aTarget, Time aNow);
  static void WithdrawContinuation(Target& aTarget, const ChoiceQuery& aQuery);
  static int EstimateLoad(const Target& aTarget, Time aNow);
  static int KnownLoad(const Target& aTarget, Time aNow);
  static Duration TimeToRoom(const Target& aTarget, Time aNow);
  double Score(const Target& aTarget,
               const ChoiceQuery& aQuery,
               Time aNow) const;
  bool IsRecentlyLost(std::uint64_t aContentHash, Time aNow) const;
  static TargetLoad PeerLoadOf(const Target& aTarget, Time aNow);
  void AddPeerLoad(const std::vector<TargetLoad>& aLoad, int aSign);
  void NotifyLoadChanged() const;
  static TargetLoad OwnLoadOf(const Target& aTarget);
  void OnDeath(Target& aTarget, DeathEvidence aEvidence, Time aNow);
  ReachState ReachOf(const std::string& aService) const;
  static void ForgetLosses(Target& aTarget);
  static bool MayShowDeath(AttemptOutcome aOutcome);
  void OnEntryEnded(const std::string& aName, Target& aTarget, Time aNow);
  static std::optional<RunningAttempt> TakeRunning(
    Target& aTarget,
    const RequestContent& aContent);
  void OnAttemptMayBeLost(Target& aTarget, LostAttempt aAttempt, Time aNow);
  void OnGoneAttemptEnd(const std::string& aTarget,
                        const RequestContent& aContent,
                        AttemptOutcome aOutcome,
                        Time aNow);
  void ClearSuspect(const RequestContent& aContent, Time aAt);
  void OnRunLost(const LostAttempt& aAttempt,
                 const TargetDeath& aDeath,
                 Time aNow);
  void ClearAttempts(const RequestContent& aContent, bool aLateToo, Time aAt);
  void DropGivenUp(Target& aTarget, Time aAliveAt);
  std::optional<Target> TakeReturned(const std::string& aName, Time aNow);
  void ForgetGone(const std::string& aService);
  bool IsLostWith(const LostAttempt& aAttempt,
                  const Target& aTarget,
                  Time aNow) const;
  void RecordLoss(Target& aTarget, Time aNow);
  void DropExpiredLosses(Time aNow);
  void RecordLocalLoss(Target& aTarget, Time aNow);
  bool IsDoubtful(const Target& aTarget, Time aNow) const;
  Target* Find(const std::string& aName);
  const Target* Find(const std::string& aName) const;
  std::vector<TargetDeclaration> PickSubset(
    const std::vector<TargetDeclaration>& aTargets) const;

  TargetTableOptions mOptions;
  std::string mRegion;
  std::map<std::string, Target> mTargets;
  // Targets whose entries ended while they ran attempts of this host, until
  // these have ended or the target is heard from.
  std::map<std::string, Target> mGoneTargets;
  std::map<std::string, ServiceDeclaration> mServices;
  std::map<std::string, FairQueue> mQueues;
  std::map<std::string, ServiceRate> mServiceRates;
  std::map<std::string, std::vector<std::string>> mTargetsByService;
  TargetLimits mLimits;
  TargetSpeeds mSpeeds;
  TargetRoom mRoom;
  LeavingNotices mLeavingNotices;
  TargetWaits mWaits;
  // When the limits of its targets last kept a service's requests of a priority
  // from being sent, by service and priority.
  std::map<std::string, std::map<std::pair<int, int>, Time>> mLimitedAt;
  SuspectRegistry mSuspects;
  std::function<void(const DeathReport&)> mOnDeath;
  // Last load reported by another router.
  struct RouterLoad
  {
    std::vector<TargetLoad> mLoad;
    Time mExpiresAt;
  };
  std::map<std::string, RouterLoad> mRouterLoads;
  std::function<void()> mOnLoadChanged;
  std::function<void(const RetryDecision&)> mOnRetryDecision;
  // Times of recent losses of targets, by place.
  std::map<std::string, std::deque<Time>> mLossTimesByPlace;
  std::optional<RetryBudget> mBudget;
  std::mt19937_64 mRandom;
  // Start of each suspect's wait for a target without other suspects.
  std::map<std::uint64_t, Time> mSuspectWaitStarts;
  // Trials of this host, by content hash, and targets that have those of other
  // hosts, with the time until which they are avoided.
  std::map<std::uint64_t, SuspectTrial> mTrials;
  std::map<std::string, Time> mTrialsElsewhere;
  TrialCallback mOnTrialNeeded;
  ReachCheck mReachCheck;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_TARGETTABLE_H_INCLUDED
