#include "core/TargetTable.h"

#include "core/Hash.h"
#include "core/overload/Urgency.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Time for which a target that is considered down gets no requests. A load
// report ends it early.
constexpr Duration kDownDuration = milliseconds(1000);

// Time for which a target that rejected an attempt counts as full.
constexpr Duration kFullDuration = milliseconds(200);
constexpr Duration kMinFullDuration = milliseconds(10);

// Age up to which an attempt of a suspect of a single death excludes other
// suspects from its target. Those of more deaths exclude them until they end.
constexpr Duration kSuspectExclusionTime = milliseconds(1000);

// Maximum time that a suspect of a single death waits for a target without
// other suspects.
constexpr Duration kMaxSuspectWait = milliseconds(500);

// Maximum number of continuations sent to one target within the window.
constexpr std::size_t kContinuationsPerWindow = 8;
constexpr Duration kContinuationWindow = milliseconds(100);

// The penalties and the bonus below are in units of the load, which is the
// number of requests on the target.
//
// Penalties for a target in another place and in another region.
constexpr double kOtherPlacePenalty = 2.0;
constexpr double kOtherRegionPenalty = 12.0;

// Reduction of the score of a target that has the prefix cached.
constexpr double kCachedPrefixBonus = 3.0;

// Unprocessed prompt tokens that weigh as much as one running request.
constexpr double kBacklogTokensPerRequest = 2000.0;

// Penalty for keeping a copy in the place of the stream itself: the targets of
// a place often fail together.
constexpr double kSamePlaceCopyPenalty = 100.0;

// Penalty for a doubtful target.
constexpr double kDoubtfulPenalty = 50.0;

// Penalty for a target whose software version no other usable target has, for a
// stream that could not go on elsewhere.
constexpr double kLoneVersionPenalty = 2.0;

// Penalty for another software version than the preferred one.
constexpr double kOtherVersionPenalty = 20.0;

// Penalty for each copy that a target keeps for streams of other targets.
constexpr double kCopyPenalty = 0.3;

// Maximum requests in flight for each slot of a target without a token limit,
// that is, one that is not a model engine. Those beyond the slots wait in the
// target's own short queue.
constexpr int kInFlightPerSlot = 2;

// Two connections of one target that break within this window mean that the
// target is probably down. A single one only causes
// kBrokenConnectionDownDuration.
constexpr Duration kRepeatedBreakWindow = milliseconds(250);
constexpr Duration kBrokenConnectionDownDuration = milliseconds(150);

// Cached prefixes that are tracked for each target.
constexpr std::size_t kMaxCachedPrefixes = 4096;

// A new sample has a weight of 1 / 2^kAverageShift in the moving averages.
constexpr int kAverageShift = 3;

// Stands for the leaving incarnation of a target that was marked before its
// incarnation was known.
constexpr char kUnknownIncarnation[] = "any";

constexpr Duration kInitialTokenGap = milliseconds(30);

// Requests of this host that ask for room at brittle targets at the same time.
constexpr std::size_t kMaxRoomAsks = 8;

const std::vector<std::string> kNoTargets;

// A target that has turned a request away has room again once it has served
// some, which takes short calls less than kFullDuration.
Duration
FullDuration(Duration aServiceTime)
{
  return aServiceTime == Duration::zero()
           ? kFullDuration
           : std::clamp(aServiceTime, kMinFullDuration, kFullDuration);
}

void
UpdateAverage(Duration& aAverage, Duration aSample)
{
  aAverage += (aSample - aAverage) / (1 << kAverageShift);
}

} // namespace

TargetTable::TargetTable(TargetTableOptions aOptions)
  : mOptions(std::move(aOptions))
  , mSuspects({ mOptions.mCommonDeathThreshold,
                mOptions.mSuspectSettleTime,
                mOptions.mSuspectTrials })
  , mRandom(mOptions.mSeed)
{
}

void
TargetTable::Declare(const std::vector<ServiceDeclaration>& aServices,
                     const std::vector<TargetDeclaration>& aTargets,
                     const std::string& aRegion,
                     Time aNow)
{
  mRegion = aRegion;
  std::map<std::string, Target> targets;
  mTargetsByService.clear();
  for (const TargetDeclaration& it : PickSubset(aTargets)) {
    Target* known = Find(it.mName);
    Target target;
    if (known != nullptr) {
      target = std::move(*known);
    } else if (auto returned = TakeReturned(it.mName, aNow)) {
      target = std::move(*returned);
    } else {
      target.mTypicalTokenGap = kInitialTokenGap;
      target.mFirstToken = Duration::zero();
      target.mAliveAt = aNow;
    }
    // An entry that has not changed may be of an earlier start than a report.
    if (!it.mIncarnation.empty() && it.mIncarnation != target.mIncarnation &&
        it.mIncarnation != target.mDeclaration.mIncarnation) {
      mLimits.Forget(it.mName);
      mRoom.Forget(it.mName);
      if (!target.mIncarnation.empty()) {
        OnDeath(target, DeathEvidence::NewIncarnation, aNow);
      }
      target.mIncarnation = it.mIncarnation;
      target.mDownUntil = Time();
      target.mDoubtUntil = Time();
      target.mLostAt = Time();
      target.mLostLocally = false;
      target.mAliveAt = aNow;
      target.mFullUntil = Time();
      target.mHeldDeathAt.reset();
    }
    target.mDeclaration = it;
    mLeavingNotices.OnDeclared(it.mName, target.mIncarnation);
    mWaits.OnDeclared(it.mName, target.mIncarnation);
    mTargetsByService[it.mService].push_back(it.mName);
    targets.emplace(it.mName, std::move(target));
  }
  for (auto& it : mTargets) {
    if (targets.count(it.first) == 0) {
      OnEntryEnded(it.first, it.second, aNow);
    }
  }
  mTargets.swap(targets);
  mServices.clear();
  for (const ServiceDeclaration& it : aServices) {
    mServices.emplace(it.mName, it);
  }
}

Choice
TargetTable::Choose(const ChoiceQuery& aQuery, Time aNow)
{
  DropExpiredLosses(aNow);
  Choice choice;
  const SuspectVerdict verdict = JudgeSuspect(aQuery, aNow);
  if (const auto status = WhyNotSend(aQuery, verdict, aNow)) {
    CancelWait(aQuery);
    choice.mStatus = *status;
    return choice;
  }
  const SuspectTrial* trial = verdict == SuspectVerdict::Unclear
                                ? FindTrial(aQuery.mContent.mHash)
                                : nullptr;
  const bool onTrial = trial != nullptr && !trial->mStartedAt &&
                       trial->mRequestId == aQuery.mRequestId;
  Candidates candidates =
    FindCandidates(aQuery, onTrial ? trial->mTarget : std::string(), aNow);
  std::vector<Target*>& usable = candidates.mUsable;
  std::vector<std::string>& limited = candidates.mLimited;
  if (IsHeldBack(usable, aQuery, aNow)) {
    for (const Target* it : usable) {
      limited.push_back(it->mDeclaration.mName);
    }
    usable.clear();
  } else if (usable.empty()) {
    OnLimited(limited, aQuery, aNow);
  }
  if (!candidates.mAnyUp) {
    CancelWait(aQuery);
    choice.mExpectedWait = TimeToComeBack(aQuery, aNow);
    if (choice.mExpectedWait > Duration::zero()) {
      choice.mStatus = ChoiceStatus::AskedToWait;
    }
    return choice;
  }
  // A continuation does not queue behind new requests, as its caller has
  // already received part of the stream.
  const std::string next = mQueues[aQuery.mService].Next();
  const bool isNext = next.empty() || next == aQuery.mRequestId;
  if (candidates.mBrittle && limited.empty()) {
    const bool asks = isNext || aQuery.mContinuation ||
                      mRoom.AskCount() < kMaxRoomAsks ||
                      !mRoom.TargetOf(aQuery.mRequestId).empty();
    if (usable.empty() || !asks) {
      return AwaitRoom(aQuery, false, aNow);
    }
  } else if (!aQuery.mContinuation && (usable.empty() || !isNext)) {
    return Enqueue(
      aQuery, usable.empty() ? limited : kNoTargets, candidates.mRoomIn, aNow);
  }
  if (verdict == SuspectVerdict::Unclear && !onTrial) {
    return ChooseForTrial(usable, aQuery, aNow);
  }
  choice = candidates.mBrittle ? ChooseWithRoom(usable, aQuery, aNow)
                               : ChooseFrom(usable, aQuery, aNow);
  if (choice.mStatus == ChoiceStatus::AwaitingRoom) {
    return choice;
  }
  if (choice.mStatus != ChoiceStatus::Chosen) {
    choice.mStatus = ChoiceStatus::Busy;
    return choice;
  }
  CancelWait(aQuery);
  if (mBudget && aQuery.mIsRetry && !TakeRetry(aQuery, aNow)) {
    WithdrawContinuation(mTargets.at(choice.mTarget), aQuery);
    mRoom.OnEnded(choice.mTarget);
    choice = Choice();
    choice.mStatus = ChoiceStatus::NoBudget;
    return choice;
  }
  if (mBudget && !aQuery.mIsRetry && !aQuery.mIsCounted) {
    mBudget->OnFirstAttempt(aQuery.mService, aNow);
  }
  mLimits.OnSent(choice.mTarget, aNow);
  mQueues[aQuery.mService].OnServed(aQuery.mWorkspace, aQuery.mWeight);
  mServiceRates[aQuery.mService].OnServed(aNow);
  return choice;
}

// Targets that a request may be sent to, only the given one if it is not empty.
TargetTable::Candidates
TargetTable::FindCandidates(const ChoiceQuery& aQuery,
                            const std::string& aOnly,
                            Time aNow)
{
  Candidates candidates;
  // Targets that were full within the last second and should have room by now.
  // They get requests only if no other one does, as others go there as well.
  std::vector<Target*> relieved;
  for (const std::string& it : mTargetsByService[aQuery.mService]) {
    Target& target = mTargets.at(it);
    if (!IsUsable(target, aQuery, aNow) || WantsNothing(it, aNow) ||
        (!aOnly.empty() && it != aOnly)) {
      continue;
    }
    candidates.mAnyUp = true;
    const bool brittle = IsBrittle(it);
    candidates.mBrittle = candidates.mBrittle || brittle;
    if (!mLimits.CanSend(it, aNow)) {
      candidates.mLimited.push_back(it);
    } else if (brittle && mRoom.IsDenied(it, aNow)) {
      continue;
    } else if (it == aQuery.mCopyHolder || !IsFull(target, aQuery, aNow)) {
      const ReportedLoad& report = target.mReport;
      const bool wasFull = aNow - report.At() < ReportedLoad::kLifetime &&
                           report.Waiting() > kMaxTargetQueue;
      (wasFull ? relieved : candidates.mUsable).push_back(&target);
    }
    const Duration roomIn = TimeToRoom(target, aNow);
    if (roomIn > Duration::zero()) {
      candidates.mRoomIn = candidates.mRoomIn == Duration::zero()
                             ? roomIn
                             : std::min(candidates.mRoomIn, roomIn);
    }
  }
  if (candidates.mUsable.empty()) {
    candidates.mUsable = std::move(relieved);
  }
  return candidates;
}

// Why a request must not be sent to any target now; nothing if it may be.
std::optional<ChoiceStatus>
TargetTable::WhyNotSend(const ChoiceQuery& aQuery,
                        SuspectVerdict aVerdict,
                        Time aNow) const
{
  if (aVerdict == SuspectVerdict::Refused) {
    return ChoiceStatus::Poison;
  }
  if (IsVersionGone(aQuery)) {
    return ChoiceStatus::VersionGone;
  }
  // A request that has ended a target may be why the next one is silent.
  const bool awaitsSilentTarget =
    aQuery.mIsBeside && mSuspects.HasDeaths(aQuery.mContent, aNow);
  return aVerdict == SuspectVerdict::Unsettled || awaitsSilentTarget
           ? std::make_optional(ChoiceStatus::Undecided)
           : std::nullopt;
}

void
TargetTable::CancelWait(const ChoiceQuery& aQuery)
{
  mRoom.Cancel(aQuery.mRequestId);
  mQueues[aQuery.mService].Remove(aQuery.mRequestId);
}

void
TargetTable::OnAttemptStart(const std::string& aTarget,
                            const RequestContent& aContent,
                            Time aNow,
                            AttemptLoad aLoad)
{
  if (Target* target = Find(aTarget)) {
    target->mRunning.push_back(
      { aContent, aNow, aLoad, false, target->mIncarnation, false });
    OnTrialStart(aTarget, aContent.mHash, aNow);
    NotifyLoadChanged();
  }
}

void
TargetTable::OnAttemptEnd(const std::string& aTarget,
                          const RequestContent& aContent,
                          AttemptOutcome aOutcome,
                          Time aNow)
{
  OnTrialEnd(aTarget, aContent.mHash, aOutcome, aNow);
  Target* target = Find(aTarget);
  if (target == nullptr) {
    OnGoneAttemptEnd(aTarget, aContent, aOutcome, aNow);
    return;
  }
  LostAttempt attempt{ aContent, aNow, aNow, aNow, target->mIncarnation,
                       aOutcome };
  bool progressed = false;
  Time servedAt;
  if (auto run = TakeRunning(*target, aContent)) {
    progressed = run->mProgressed;
    servedAt = run->mServedAt;
    attempt.mStartedAt = run->mStartedAt;
    attempt.mIncarnation = std::move(run->mIncarnation);
    mRoom.OnEnded(aTarget);
    NotifyLoadChanged();
  }
  if (aOutcome == AttemptOutcome::GivenUp) {
    attempt.mDiedAt = std::max(attempt.mStartedAt, target->mAliveAt);
    progressed = progressed || attempt.mDiedAt <= servedAt;
  }
  const bool mayBeLost =
    MayShowDeath(aOutcome) || aOutcome == AttemptOutcome::FinishedByClose;
  const bool cutOff =
    MayShowDeath(aOutcome) &&
    ReachOf(target->mDeclaration.mService) == ReachState::CutOff;
  // A sound stream is often given up after progress.
  attempt.mLate = progressed;
  const bool counts = !progressed || (mOptions.mSuspectTrials &&
                                      aOutcome == AttemptOutcome::Lost);
  if (mayBeLost && counts && !cutOff) {
    OnAttemptMayBeLost(*target, std::move(attempt), aNow);
  } else if (aOutcome == AttemptOutcome::Finished) {
    ClearSuspect(aContent, aNow);
    NotifyLoadChanged();
  }
  if (aOutcome != AttemptOutcome::Released && !MayShowDeath(aOutcome)) {
    // Capacity has become available.
    target->mFullUntil = Time();
  }
}

void
TargetTable::OnSurvived(const std::string& aTarget, Time aAliveAt)
{
  Target* target = Find(aTarget);
  if (target == nullptr) {
    return;
  }
  auto& lost = target->mLostAttempts;
  for (auto it = lost.begin(); it != lost.end();) {
    if (it->mOutcome == AttemptOutcome::FinishedByClose &&
        it->mAt <= aAliveAt) {
      const LostAttempt finished = std::move(*it);
      lost.erase(it);
      ClearSuspect(finished.mContent, finished.mAt);
      it = lost.begin();
    } else {
      ++it;
    }
  }
  NotifyLoadChanged();
}

void
TargetTable::OnProgress(const std::string& aTarget,
                        const RequestContent& aContent,
                        Time aNow)
{
  mSuspects.OnProgress(aContent, aNow);
  ClearAttempts(aContent, false, aNow);
  NotifyLoadChanged();
  if (Target* target = Find(aTarget)) {
    for (RunningAttempt& it : target->mRunning) {
      it.mProgressed |= it.mContent.mHash == aContent.mHash;
    }
  }
}

void
TargetTable::OnFirstToken(const std::string& aTarget,
                          Duration aTime,
                          std::uint64_t aContentHash)
{
  Target* target = Find(aTarget);
  if (target == nullptr) {
    return;
  }
  UpdateAverage(target->mFirstToken, aTime);
  for (RunningAttempt& it : target->mRunning) {
    if (it.mContent.mHash == aContentHash) {
      it.mFirstTokenSeen = true;
    }
  }
  NotifyLoadChanged();
}

void
TargetTable::OnConnected(const std::string& aTarget, Time aNow)
{
  if (Target* target = Find(aTarget)) {
    target->mAliveAt = aNow;
    target->mDoubtUntil = Time();
    // The death of an earlier start is none of this one's.
    if (target->mDeadIncarnation == target->mIncarnation) {
      target->mDeath.reset();
    }
  }
}

void
TargetTable::OnAlive(const std::string& aTarget, Time aNow)
{
  OnConnected(aTarget, aNow);
  if (Target* target = Find(aTarget)) {
    DropGivenUp(*target, aNow);
  }
  mGoneTargets.erase(aTarget);
}

void
TargetTable::OnConnectionBroken(const std::string& aTarget, Time aNow)
{
  Target* target = Find(aTarget);
  if (target == nullptr) {
    return;
  }
  RecordLocalLoss(*target, aNow);
  const bool again = target->mBrokenAt != Time() &&
                     aNow - target->mBrokenAt < kRepeatedBreakWindow;
  target->mBrokenAt = aNow;
  target->mDownUntil =
    std::max(target->mDownUntil,
             aNow + (again ? kDownDuration : kBrokenConnectionDownDuration));
  target->mDoubtUntil = aNow + mOptions.mDoubtDuration;
}

std::string
TargetTable::ChooseCopyHolder(const ChoiceQuery& aQuery,
                              const std::string& aServingTarget,
                              Time aNow)
{
  const Target* servingTarget = Find(aServingTarget);
  const Target* best = nullptr;
  double bestScore = 0;
  std::vector<std::string> names = mTargetsByService[aQuery.mService];
  std::shuffle(names.begin(), names.end(), mRandom);
  for (const std::string& it : names) {
    const Target& target = mTargets.at(it);
    if (it == aServingTarget || !IsUsable(target, aQuery, aNow) ||
        WantsNothing(it, aNow) || IsFull(target, aQuery, aNow)) {
      continue;
    }
    double score = EstimateLoad(target, aNow) + target.mCopies;
    if (IsDoubtful(target, aNow)) {
      score += kDoubtfulPenalty;
    }
    if (servingTarget != nullptr &&
        servingTarget->mDeclaration.mPlace == target.mDeclaration.mPlace) {
      score += kSamePlaceCopyPenalty;
    }
    if (best == nullptr || score < bestScore) {
      best = &target;
      bestScore = score;
    }
  }
  return best == nullptr ? std::string() : best->mDeclaration.mName;
}

void
TargetTable::OnCopyStart(const std::string& aTarget, int aTokens)
{
  if (Target* target = Find(aTarget)) {
    ++target->mCopies;
    target->mCopyTokens += aTokens;
    NotifyLoadChanged();
  }
}

void
TargetTable::OnCopyEnd(const std::string& aTarget, int aTokens)
{
  if (Target* target = Find(aTarget)) {
    target->mCopies = std::max(0, target->mCopies - 1);
    target->mCopyTokens = std::max(0, target->mCopyTokens - aTokens);
    NotifyLoadChanged();
  }
}

bool
TargetTable::TakeRetry(const ChoiceQuery& aQuery, Time aNow)
{
  const bool taken = mBudget->TakeRetry(
    aQuery.mService,
    aNow,
    aNow < aQuery.mDueAt ? RetryTiming::OnTime : RetryTiming::Late);
  if (mOnRetryDecision) {
    mOnRetryDecision(mBudget->LastDecision());
  }
  // Other hosts may have to be asked for retries.
  NotifyLoadChanged();
  return taken;
}

void
TargetTable::SetRetryCallback(
  std::function<void(const RetryDecision&)> aCallback)
{
  mOnRetryDecision = std::move(aCallback);
}

void
TargetTable::ReturnRetry(const std::string& aService)
{
  if (mBudget) {
    mBudget->ReturnRetry(aService);
  }
}

void
TargetTable::ConfigureRetryBudget(const RetryBudget::Options& aOptions)
{
  if (!mBudget) {
    mBudget.emplace();
  }
  mBudget->Configure(aOptions);
}

void
TargetTable::OnTokenGap(const std::string& aTarget, Duration aGap)
{
  if (Target* target = Find(aTarget)) {
    UpdateAverage(target->mTypicalTokenGap, aGap);
    mSpeeds.OnGap(target->mDeclaration.mService, aTarget, aGap);
  }
}

void
TargetTable::OnAttemptRejected(const std::string& aTarget, Time aNow)
{
  if (Target* target = Find(aTarget)) {
    target->mFullUntil = aNow + FullDuration(target->mReport.ServiceTime());
    mRoom.OnRejected(aTarget, aNow);
  }
}

void
TargetTable::OnLoadReport(const std::string& aTarget,
                          const std::string& aIncarnation,
                          const std::string& aState,
                          int aRunning,
                          int aWaiting,
                          Time aNow)
{
  Target* target = Find(aTarget);
  if (target == nullptr) {
    return;
  }
  const bool restarted =
    !target->mIncarnation.empty() && target->mIncarnation != aIncarnation;
  if (restarted) {
    OnDeath(*target, DeathEvidence::NewIncarnation, aNow);
    mRoom.Forget(aTarget);
  }
  target->mIncarnation = aIncarnation;
  mLeavingNotices.OnDeclared(aTarget, aIncarnation);
  mWaits.OnDeclared(aTarget, aIncarnation);
  target->mReportedLeaving = aState == "leaving";
  target->mLoading = aState == "loading";
  target->mReport.OnReport(aRunning, aWaiting, KnownLoad(*target, aNow), aNow);
  target->mAliveAt = aNow;
  if (!restarted) {
    DropGivenUp(*target, aNow);
  }
  target->mDownUntil = Time();
  target->mDoubtUntil = Time();
}

void
TargetTable::OnRefused(const std::string& aTarget, Time aNow)
{
  Target* target = Find(aTarget);
  if (target == nullptr) {
    return;
  }
  const ReachState reach = ReachOf(target->mDeclaration.mService);
  if (reach == ReachState::Reached) {
    OnDeath(*target, DeathEvidence::Refused, aNow);
  } else if (reach == ReachState::Suspected && !target->mHeldDeathAt) {
    target->mHeldDeathAt = aNow;
  }
  RecordLocalLoss(*target, aNow);
  target->mDownUntil = aNow + kDownDuration;
  target->mDoubtUntil = aNow + mOptions.mDoubtDuration;
}

void
TargetTable::OnUnresponsive(const std::string& aTarget, Time aNow)
{
  if (Target* target = Find(aTarget)) {
    RecordLocalLoss(*target, aNow);
    target->mDownUntil = aNow + kDownDuration;
    target->mDoubtUntil = aNow + mOptions.mDoubtDuration;
  }
}

void
TargetTable::MarkLeaving(const std::string& aTarget,
                         const std::string& aIncarnation)
{
  Target* target = Find(aTarget);
  if (target == nullptr) {
    return;
  }
  std::string incarnation =
    aIncarnation.empty() ? target->mIncarnation : aIncarnation;
  target->mLeavingIncarnation =
    incarnation.empty() ? kUnknownIncarnation : std::move(incarnation);
}

bool
TargetTable::OnLeavingNotice(const std::string& aTarget,
                             const std::string& aIncarnation)
{
  const std::string known = IncarnationOf(aTarget);
  // An answer of a start that another one has followed says nothing about that.
  if (!known.empty() && !aIncarnation.empty() && known != aIncarnation) {
    return false;
  }
  return mLeavingNotices.Add(aTarget, aIncarnation);
}

bool
TargetTable::HasLeavingNotice(const std::string& aTarget) const
{
  return mLeavingNotices.Has(aTarget, IncarnationOf(aTarget));
}

void
TargetTable::OnCacheEvent(const std::string& aTarget,
                          std::uint64_t aPrefixHash,
                          bool aStored)
{
  Target* target = Find(aTarget);
  if (target == nullptr) {
    return;
  }
  if (!aStored) {
    target->mCachedPrefixes.erase(aPrefixHash);
  } else if (target->mCachedPrefixes.size() < kMaxCachedPrefixes) {
    target->mCachedPrefixes[aPrefixHash] = true;
  }
}

void
TargetTable::OnCacheEventsLost(const std::string& aTarget)
{
  if (Target* target = Find(aTarget)) {
    target->mCachedPrefixes.clear();
  }
}

std::vector<TargetTable::Leaving>
TargetTable::LeavingTargets() const
{
  std::vector<Leaving> leaving;
  for (const auto& it : mTargets) {
    const Target& target = it.second;
    if (IsLeaving(target) && !target.mDeclaration.mLeaving) {
      leaving.push_back(
        { it.first,
          target.mReportedLeaving || target.mLeavingIncarnation.empty()
            ? target.mIncarnation
            : target.mLeavingIncarnation });
    }
  }
  return leaving;
}

bool
TargetTable::IsLeaving(const std::string& aTarget) const
{
  const Target* target = Find(aTarget);
  return target == nullptr || IsLeaving(*target);
}

std::string
TargetTable::IncarnationOf(const std::string& aTarget) const
{
  const Target* target = Find(aTarget);
  return target == nullptr ? std::string() : target->mIncarnation;
}

std::optional<std::string>
TargetTable::SoftwareVersionOf(const std::string& aTarget) const
{
  const Target* target = Find(aTarget);
  return target == nullptr
           ? std::nullopt
           : std::make_optional(target->mDeclaration.mSoftwareVersion);
}

std::vector<std::string>
TargetTable::Subset() const
{
  std::vector<std::string> names;
  names.reserve(mTargets.size());
  for (const auto& it : mTargets) {
    names.push_back(it.first);
  }
  return names;
}

std::vector<TargetView>
TargetTable::View(Time aNow) const
{
  std::vector<TargetView> views;
  for (const auto& it : mTargets) {
    const Target& target = it.second;
    TargetView view;
    view.mName = it.first;
    view.mService = target.mDeclaration.mService;
    view.mPlace = target.mDeclaration.mPlace;
    view.mState = "ready";
    if (IsLeaving(it.first)) {
      view.mState = "leaving";
    } else if (aNow < target.mDownUntil) {
      view.mState = "down";
    } else if (target.mLoading) {
      view.mState = "loading";
    }
    view.mIncarnation = target.mIncarnation;
    view.mInFlight = static_cast<int>(target.mRunning.size());
    view.mReported = target.mReport.Reported();
    view.mTypicalTokenGap = target.mTypicalTokenGap;
    view.mFirstToken = target.mFirstToken;
    views.push_back(std::move(view));
  }
  return views;
}

bool
TargetTable::IsLeaving(const Target& aTarget) const
{
  if (aTarget.mDeclaration.mLeaving || aTarget.mReportedLeaving ||
      mLeavingNotices.Has(aTarget.mDeclaration.mName, aTarget.mIncarnation)) {
    return true;
  }
  // While its incarnation is unknown, the target may still be the leaving one.
  const std::string& leaving = aTarget.mLeavingIncarnation;
  return !leaving.empty() &&
         (aTarget.mIncarnation.empty() || leaving == kUnknownIncarnation ||
          leaving == aTarget.mIncarnation);
}

// Whether a target is known to have the software version that a query requires.
bool
TargetTable::IsOfVersion(const Target& aTarget, const ChoiceQuery& aQuery)
{
  if (aQuery.mSoftwareVersion.empty()) {
    return true;
  }
  const TargetDeclaration& declaration = aTarget.mDeclaration;
  if (declaration.mSoftwareVersion != aQuery.mSoftwareVersion) {
    return false;
  }
  // The registry may still describe an earlier start.
  const bool restarted = !declaration.mIncarnation.empty() &&
                         declaration.mIncarnation != aTarget.mIncarnation;
  const bool dead = aTarget.mDeath && !declaration.mNamePerStart &&
                    aTarget.mDeadIncarnation == aTarget.mIncarnation;
  return !restarted && !dead;
}

// Whether a query requires a software version that no target has.
bool
TargetTable::IsVersionGone(const ChoiceQuery& aQuery) const
{
  const auto members = mTargetsByService.find(aQuery.mService);
  if (aQuery.mSoftwareVersion.empty() || members == mTargetsByService.end()) {
    return !aQuery.mSoftwareVersion.empty();
  }
  return std::none_of(members->second.begin(),
                      members->second.end(),
                      [&](const std::string& aName) {
                        const Target& target = mTargets.at(aName);
                        return target.mDeclaration.mSoftwareVersion ==
                                 aQuery.mSoftwareVersion &&
                               !IsLeaving(target);
                      });
}

bool
TargetTable::IsUsable(const Target& aTarget,
                      const ChoiceQuery& aQuery,
                      Time aNow) const
{
  // Until a dead target's entry has expired or changed, it may describe the
  // former start of a target that is back with another version.
  const bool staleEntry = aTarget.mDeath &&
                          aTarget.mDeadIncarnation == aTarget.mIncarnation &&
                          aNow - aTarget.mDeath->mAt < mOptions.mDoubtDuration;
  if (staleEntry && !aQuery.mSoftwareVersion.empty()) {
    return false;
  }
  const TargetDeclaration& declaration = aTarget.mDeclaration;
  if (!IsOfVersion(aTarget, aQuery) || IsLeaving(aTarget) || aTarget.mLoading ||
      aNow < aTarget.mDownUntil ||
      !aQuery.mVersionChoice.Allows(declaration.mName,
                                    declaration.mSoftwareVersion)) {
    return false;
  }
  const auto& excluded = aQuery.mExcluded;
  return std::find(excluded.begin(), excluded.end(), declaration.mName) ==
         excluded.end();
}

bool
TargetTable::IsFull(const Target& aTarget, const ChoiceQuery& aQuery, Time aNow)
{
  const TargetDeclaration& declaration = aTarget.mDeclaration;
  if (aNow < aTarget.mFullUntil ||
      aTarget.mReport.WaitingAt(declaration.mSlots, aNow) > kMaxTargetQueue) {
    return true;
  }
  if (declaration.mMemoryTokens > 0) {
    return OwnLoadOf(aTarget).mHeldTokens +
             PeerLoadOf(aTarget, aNow).mHeldTokens + aQuery.mPromptTokens +
             aQuery.mOutputTokens >
           declaration.mMemoryTokens;
  }
  return declaration.mSlots > 0 &&
         EstimateLoad(aTarget, aNow) >= kInFlightPerSlot * declaration.mSlots;
}

// Lets a request wait for capacity, or for its turn. aLimited are the targets
// whose limits are the reason.
bool
TargetTable::IsBrittle(const std::string& aTarget) const
{
  const Target* target = Find(aTarget);
  return target != nullptr &&
         mRoom.IsBrittle(aTarget, target->mDeclaration.mService);
}

RoomUse
TargetTable::RoomUseOf(const std::string& aTarget) const
{
  RoomUse use;
  if (const Target* target = Find(aTarget)) {
    const TargetDeclaration& declaration = target->mDeclaration;
    use.mUnderWay = static_cast<int>(target->mRunning.size());
    use.mLimits.mSlots = declaration.mSlots;
    use.mLimits.mRejections =
      mRoom.RejectionsOf(aTarget, declaration.mService).value_or(1);
  }
  return use;
}

std::vector<std::pair<std::string, RoomMessage>>
TargetTable::TakeRoomMessages(Time aNow)
{
  return mRoom.TakeMessages(
    [this](const std::string& aTarget) { return RoomUseOf(aTarget); }, aNow);
}

std::optional<RoomAnswer>
TargetTable::OnRoomMessage(const std::string& aHost,
                           const RoomMessage& aMessage,
                           Time aNow)
{
  return mRoom.OnMessage(
    aHost, aMessage, RoomUseOf(aMessage.mTarget).mLimits, aNow);
}

// Chooses among targets of which some are brittle. A target whose keeper has
// been asked for the request is not left for another one.
Choice
TargetTable::ChooseWithRoom(std::vector<Target*>& aUsable,
                            const ChoiceQuery& aQuery,
                            Time aNow)
{
  const std::string asked = mRoom.TargetOf(aQuery.mRequestId);
  const auto known =
    std::find_if(aUsable.begin(), aUsable.end(), [&](const Target* aTarget) {
      return aTarget->mDeclaration.mName == asked;
    });
  std::vector<Target*> first;
  if (known != aUsable.end()) {
    first.push_back(*known);
    aUsable.erase(known);
  } else {
    mRoom.Cancel(aQuery.mRequestId);
  }
  while (!first.empty() || !aUsable.empty()) {
    std::vector<Target*>& usable = first.empty() ? aUsable : first;
    Choice choice = ChooseFrom(usable, aQuery, aNow);
    if (choice.mStatus != ChoiceStatus::Chosen) {
      return choice;
    }
    Target& target = mTargets.at(choice.mTarget);
    const auto status =
      IsBrittle(choice.mTarget)
        ? mRoom.Take(
            aQuery.mRequestId, choice.mTarget, RoomUseOf(choice.mTarget), aNow)
        : RoomStatus::Granted;
    if (status == RoomStatus::Granted) {
      return choice;
    }
    WithdrawContinuation(target, aQuery);
    if (status == RoomStatus::Pending) {
      return AwaitRoom(aQuery, true, aNow);
    }
    usable.erase(std::find(usable.begin(), usable.end(), &target));
  }
  return AwaitRoom(aQuery, false, aNow);
}

// Keeps a request in the queue that waits for room at a brittle target. aAsked
// tells that the target's keeper is about to answer.
Choice
TargetTable::AwaitRoom(const ChoiceQuery& aQuery, bool aAsked, Time aNow)
{
  Choice choice = Enqueue(aQuery, kNoTargets, Duration::zero(), aNow);
  choice.mStatus = ChoiceStatus::AwaitingRoom;
  choice.mExpectedWait =
    aAsked ? Duration::zero()
           : mServiceRates[aQuery.mService]
               .EstimateRecentWait(mQueues[aQuery.mService].Size(), aNow)
               .value_or(Duration::zero());
  return choice;
}

Choice
TargetTable::Enqueue(const ChoiceQuery& aQuery,
                     const std::vector<std::string>& aLimited,
                     Duration aRoomIn,
                     Time aNow)
{
  FairQueue& queue = mQueues[aQuery.mService];
  WaitingRequest request;
  request.mRequestId = aQuery.mRequestId;
  request.mWorkspace = aQuery.mWorkspace;
  request.mWeight = aQuery.mWeight;
  request.mDeadline = aQuery.mDeadline;
  request.mRank = RankOf(aQuery.mPriority);
  queue.Add(request);
  Choice choice;
  choice.mStatus = ChoiceStatus::Busy;
  const std::size_t place = queue.PlaceOf(aQuery.mRequestId);
  if (aRoomIn > Duration::zero()) {
    // All hosts serve the target, so that this one's rate says little.
    choice.mExpectedWait = aRoomIn;
    choice.mRoomExpected = true;
  } else {
    choice.mExpectedWait = mServiceRates[aQuery.mService]
                             .EstimateWait(place, aNow)
                             .value_or(Duration::zero());
  }
  choice.mExpectedWait =
    std::max(choice.mExpectedWait, WaitForLimits(aLimited, queue.Size()));
  choice.mLimited = !aLimited.empty();
  return choice;
}

Choice
TargetTable::ChooseFrom(std::vector<Target*>& aUsable,
                        const ChoiceQuery& aQuery,
                        Time aNow)
{
  Choice choice;
  Rank(aUsable, aQuery, aNow);
  for (Target* it : aUsable) {
    if (!IsAllowedByIsolation(*it, aQuery, aNow)) {
      continue;
    }
    const bool holdsCopy = it->mDeclaration.mName == aQuery.mCopyHolder;
    if (aQuery.mContinuation && !holdsCopy &&
        !TryAdmitContinuation(*it, aNow)) {
      continue;
    }
    mSuspectWaitStarts.erase(aQuery.mContent.mHash);
    choice.mStatus = ChoiceStatus::Chosen;
    choice.mTarget = it->mDeclaration.mName;
    choice.mTypicalTokenGap = it->mTypicalTokenGap;
    choice.mSoftwareVersion = it->mDeclaration.mSoftwareVersion;
    choice.mServingVersion = mServices[aQuery.mService].mServingVersion;
    return choice;
  }
  return choice;
}

// Orders the targets by preference. First comes a random sample of mSampleSize
// targets together with the least loaded target that has the prefix cached,
// then the rest, both sorted by score. A target with a copy of the stream
// leads.
void
TargetTable::Rank(std::vector<Target*>& aUsable,
                  const ChoiceQuery& aQuery,
                  Time aNow)
{
  std::shuffle(aUsable.begin(), aUsable.end(), mRandom);
  if (aQuery.mRandomTarget) {
    return;
  }
  const auto sample = static_cast<std::size_t>(mOptions.mSampleSize);
  std::size_t head =
    sample == 0 ? aUsable.size() : std::min(aUsable.size(), sample);
  auto holder = aUsable.end();
  for (auto it = aUsable.begin(); it != aUsable.end(); ++it) {
    const bool holds = (*it)->mCachedPrefixes.count(aQuery.mPrefixHash) != 0;
    if (holds && (holder == aUsable.end() ||
                  EstimateLoad(**it, aNow) < EstimateLoad(**holder, aNow))) {
      holder = it;
    }
  }
  if (holder != aUsable.end() &&
      static_cast<std::size_t>(holder - aUsable.begin()) >= head) {
    std::iter_swap(holder, aUsable.begin() + static_cast<long>(head));
    ++head;
  }
  const std::set<std::string> lone = LoneVersions(aUsable, aQuery, aNow);
  const auto score = [&](const Target& aTarget) {
    const bool isLone = lone.count(aTarget.mDeclaration.mSoftwareVersion) != 0;
    return Score(aTarget, aQuery, aNow) + (isLone ? kLoneVersionPenalty : 0);
  };
  const auto less = [&](const Target* aLeft, const Target* aRight) {
    return score(*aLeft) < score(*aRight);
  };
  const auto middle = aUsable.begin() + static_cast<long>(head);
  std::stable_sort(aUsable.begin(), middle, less);
  std::stable_sort(middle, aUsable.end(), less);
  const auto copy =
    std::find_if(aUsable.begin(), aUsable.end(), [&](const Target* aTarget) {
      return aTarget->mDeclaration.mName == aQuery.mCopyHolder;
    });
  if (copy != aUsable.end()) {
    std::rotate(aUsable.begin(), copy, copy + 1);
  }
}

// Software versions that only one target has, for a stream that begins.
// Doubtful targets don't count.
std::set<std::string>
TargetTable::LoneVersions(const std::vector<Target*>& aUsable,
                          const ChoiceQuery& aQuery,
                          Time aNow) const
{
  std::set<std::string> lone;
  if (!aQuery.mResumable || !aQuery.mSoftwareVersion.empty()) {
    return lone;
  }
  std::map<std::string, int> counts;
  for (const Target* it : aUsable) {
    counts[it->mDeclaration.mSoftwareVersion] += IsDoubtful(*it, aNow) ? 0 : 1;
  }
  for (const auto& it : counts) {
    if (it.second < 2) {
      lone.insert(it.first);
    }
  }
  return lone;
}

bool
TargetTable::IsAllowedByIsolation(const Target& aTarget,
                                  const ChoiceQuery& aQuery,
                                  Time aNow)
{
  const int deaths = mSuspects.Deaths(aQuery.mContent.mHash, aNow);
  if (!mOptions.mIsolateSuspects) {
    return true;
  }
  if (deaths == 0 && !IsRecentlyLost(aQuery.mContent.mHash, aNow)) {
    return true;
  }
  const auto isOtherSuspect = [&](const RunningAttempt& aEntry) {
    const bool watched = aNow - aEntry.mStartedAt < kSuspectExclusionTime;
    const int others = mSuspects.Deaths(aEntry.mContent.mHash, aNow);
    const bool suspect =
      others > 0 || IsRecentlyLost(aEntry.mContent.mHash, aNow);
    return suspect && (watched || others >= 2) &&
           aEntry.mContent.mHash != aQuery.mContent.mHash;
  };
  const bool alone = std::none_of(
    aTarget.mRunning.begin(), aTarget.mRunning.end(), isOtherSuspect);
  if (alone) {
    return true;
  }
  if (deaths >= 2) {
    return false;
  }
  const auto wait =
    mSuspectWaitStarts.emplace(aQuery.mContent.mHash, aNow).first;
  return aNow - wait->second >= kMaxSuspectWait;
}

bool
TargetTable::TryAdmitContinuation(Target& aTarget, Time aNow)
{
  auto& times = aTarget.mContinuationTimes;
  while (!times.empty() && aNow - times.front() >= kContinuationWindow) {
    times.pop_front();
  }
  if (times.size() >= kContinuationsPerWindow) {
    return false;
  }
  times.push_back(aNow);
  return true;
}

// Undoes TryAdmitContinuation() for an attempt that is not sent.
void
TargetTable::WithdrawContinuation(Target& aTarget, const ChoiceQuery& aQuery)
{
  if (aQuery.mContinuation &&
      aTarget.mDeclaration.mName != aQuery.mCopyHolder) {
    aTarget.mContinuationTimes.pop_back();
  }
}

int
TargetTable::EstimateLoad(const Target& aTarget, Time aNow)
{
  return aTarget.mReport.LoadAt(
    KnownLoad(aTarget, aNow), aTarget.mDeclaration.mSlots, aNow);
}

int
TargetTable::KnownLoad(const Target& aTarget, Time aNow)
{
  return static_cast<int>(aTarget.mRunning.size()) +
         PeerLoadOf(aTarget, aNow).mRunning;
}

double
TargetTable::Score(const Target& aTarget,
                   const ChoiceQuery& aQuery,
                   Time aNow) const
{
  double score = EstimateLoad(aTarget, aNow) + kCopyPenalty * aTarget.mCopies;
  const int backlog = OwnLoadOf(aTarget).mBacklogTokens +
                      PeerLoadOf(aTarget, aNow).mBacklogTokens;
  score += backlog / kBacklogTokensPerRequest;
  // The request itself takes as much longer there as those before it.
  const double factor = mSpeeds.FactorAt(
    aTarget.mDeclaration.mService, aTarget.mDeclaration.mName, aNow);
  score = (score + 1) * factor - 1;
  if (aTarget.mDeclaration.mRegion != mRegion) {
    score += kOtherRegionPenalty;
  } else if (aTarget.mDeclaration.mPlace != mOptions.mPlace) {
    score += kOtherPlacePenalty;
  }
  if (aTarget.mCachedPrefixes.count(aQuery.mPrefixHash) != 0) {
    score -= kCachedPrefixBonus;
  }
  if (IsDoubtful(aTarget, aNow)) {
    score += kDoubtfulPenalty;
  }
  if (!aQuery.mPreferredSoftwareVersion.empty() &&
      aQuery.mPreferredSoftwareVersion !=
        aTarget.mDeclaration.mSoftwareVersion) {
    score += kOtherVersionPenalty;
  }
  return score;
}

bool
TargetTable::IsRecentlyLost(std::uint64_t aContentHash, Time aNow) const
{
  for (const auto& it : mTargets) {
    for (const LostAttempt& lost : it.second.mLostAttempts) {
      if (lost.mContent.mHash == aContentHash &&
          aNow - lost.mAt < kDeathConfirmationWindow) {
        return true;
      }
    }
  }
  return false;
}

TargetTable::Target*
TargetTable::Find(const std::string& aName)
{
  const auto it = mTargets.find(aName);
  return it == mTargets.end() ? nullptr : &it->second;
}

const TargetTable::Target*
TargetTable::Find(const std::string& aName) const
{
  const auto it = mTargets.find(aName);
  return it == mTargets.end() ? nullptr : &it->second;
}

std::vector<TargetDeclaration>
TargetTable::PickSubset(const std::vector<TargetDeclaration>& aTargets) const
{
  std::map<std::string, std::vector<TargetDeclaration>> byService;
  for (const TargetDeclaration& it : aTargets) {
    byService[it.mService].push_back(it);
  }
  std::vector<TargetDeclaration> subset;
  for (auto& it : byService) {
    auto& targets = it.second;
    const auto rank = [this](const TargetDeclaration& aTarget) {
      return StableHash(aTarget.mName, StableHash(mOptions.mRouterName));
    };
    const auto far = [this](const TargetDeclaration& aTarget) {
      return aTarget.mRegion != mRegion;
    };
    std::sort(
      targets.begin(),
      targets.end(),
      [&](const TargetDeclaration& aLeft, const TargetDeclaration& aRight) {
        return std::make_pair(far(aLeft), rank(aLeft)) <
               std::make_pair(far(aRight), rank(aRight));
      });
    const auto limit = static_cast<std::size_t>(mOptions.mSubsetSize);
    if (limit != 0 && targets.size() > limit) {
      targets.resize(limit);
    }
    subset.insert(subset.end(), targets.begin(), targets.end());
  }
  return subset;
}

} // namespace quetzalquay
