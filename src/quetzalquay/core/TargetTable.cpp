#include "core/TargetTable.h"

#include "core/Hash.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// How long a target that refused or did not answer is left alone, unless a
// load report comes sooner.
constexpr Duration kDownPause = milliseconds(1000);

// How long a target that turned an attempt away is left alone.
constexpr Duration kFullPause = milliseconds(200);

// Time in which a broken connection may be explained by a confirmed death.
constexpr Duration kLostWindow = milliseconds(5000);

// How long an attempt of a suspect keeps other suspects away.
constexpr Duration kSuspectWatch = milliseconds(1000);

// How long a suspect of one death waits for a target without other suspects.
constexpr Duration kSuspectPatience = milliseconds(500);

// Continuations that one target takes within the pacing window.
constexpr std::size_t kContinuationsPerWindow = 8;
constexpr Duration kContinuationWindow = milliseconds(100);

// Load that equals the cost of leaving the place, and the region.
constexpr double kOtherPlaceLoad = 2.0;
constexpr double kOtherRegionLoad = 12.0;

// Load that a cached prefix makes up for.
constexpr double kCachedPrefixLoad = 3.0;

// Length of a target's own queue from on which it gets no new work: requests
// wait in the router instead, where their order is fair.
constexpr int kMaxTargetQueue = 2;

// Time within which deaths of several targets have a common cause.
constexpr Duration kCommonDeathTime = milliseconds(400);

// How long a load report is believed.
constexpr Duration kReportLifetime = milliseconds(1000);

// Prompt tokens not read yet that weigh as much as one running request.
constexpr double kBacklogTokensPerLoad = 2000.0;

// Load that a copy at another place is worth: losses come by place.
constexpr double kSamePlaceCopyLoad = 100.0;

// Load that a doubtful target has to be better by.
constexpr double kDoubtLoad = 50.0;

// Load of one copy that a target keeps for another.
constexpr double kCopyLoad = 0.3;

// Requests in flight for each slot of a target that is not a model engine: the
// rest waits in the target's own short queue.
constexpr int kInFlightPerSlot = 2;

// Connections of one target that break within this time mean its death; after
// a single one it is left alone for a moment.
constexpr Duration kBreakWindow = milliseconds(250);
constexpr Duration kBrokenPause = milliseconds(150);

constexpr std::size_t kMaxCachedPrefixes = 4096;

// Weight of a new sample in the moving averages.
constexpr int kAverageShift = 3;

// Leaving mark of a target whose incarnation was not known yet.
constexpr char kAnyIncarnation[] = "any";

constexpr Duration kInitialGap = milliseconds(30);

void
Average(Duration& aAverage, Duration aSample)
{
  aAverage += (aSample - aAverage) / (1 << kAverageShift);
}

} // namespace

TargetTable::TargetTable(TargetTableOptions aOptions)
  : mOptions(std::move(aOptions))
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
  mByService.clear();
  for (const TargetDeclaration& it : PickSubset(aTargets)) {
    Target* known = Find(it.mName);
    Target target;
    if (known != nullptr) {
      target = std::move(*known);
    } else {
      target.mUsualGap = kInitialGap;
      target.mFirstToken = Duration::zero();
      target.mAliveAt = aNow;
    }
    if (!it.mIncarnation.empty() && it.mIncarnation != target.mIncarnation) {
      if (!target.mIncarnation.empty()) {
        OnDeath(target, aNow);
      }
      target.mIncarnation = it.mIncarnation;
      target.mDownUntil = Time();
      target.mDoubtUntil = Time();
      target.mLostAt = Time();
      target.mLostHere = false;
      target.mAliveAt = aNow;
      target.mFullUntil = Time();
    }
    target.mDeclaration = it;
    mByService[it.mService].push_back(it.mName);
    targets.emplace(it.mName, std::move(target));
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
  BlameForDeaths(aNow);
  ForgetOldLosses(aNow);
  Choice choice;
  if (mSuspects.IsRefused(aQuery.mContentHash, aNow)) {
    Forget(aQuery);
    choice.mStatus = ChoiceStatus::Poison;
    return choice;
  }
  std::vector<Target*> usable;
  bool up = false;
  for (const std::string& it : mByService[aQuery.mService]) {
    Target& target = mTargets.at(it);
    if (!IsUsable(target, aQuery, aNow)) {
      continue;
    }
    up = true;
    if (it == aQuery.mCopyHolder || !IsFull(target, aQuery, aNow)) {
      usable.push_back(&target);
    }
  }
  if (!up) {
    Forget(aQuery);
    return choice;
  }
  // A stream whose caller has read text does not wait behind new requests.
  const std::string next = mQueues[aQuery.mService].Next();
  const bool turn = next.empty() || next == aQuery.mRequestId;
  if (!aQuery.mContinuation && (usable.empty() || !turn)) {
    return Queue(aQuery, aNow);
  }
  if (mBudget && aQuery.mRepeat && !usable.empty() &&
      !mBudget->TakeRepeat(aQuery.mService,
                           aNow,
                           aNow < aQuery.mOnTimeUntil ? RepeatUse::OnTime
                                                      : RepeatUse::Late)) {
    Forget(aQuery);
    choice.mStatus = ChoiceStatus::NoBudget;
    return choice;
  }
  choice = ChooseFrom(usable, aQuery, aNow);
  if (choice.mStatus != ChoiceStatus::Chosen) {
    choice.mStatus = ChoiceStatus::Busy;
    return choice;
  }
  Forget(aQuery);
  if (mBudget && !aQuery.mRepeat) {
    mBudget->OnFirst(aQuery.mService, aNow);
  }
  mQueues[aQuery.mService].OnServed(aQuery.mWorkspace, aQuery.mWeight);
  mRates[aQuery.mService].OnServed(aNow);
  return choice;
}

void
TargetTable::Forget(const ChoiceQuery& aQuery)
{
  mQueues[aQuery.mService].Remove(aQuery.mRequestId);
}

void
TargetTable::OnAttemptStart(const std::string& aTarget,
                            std::uint64_t aContentHash,
                            Time aNow,
                            AttemptLoad aLoad)
{
  if (Target* target = Find(aTarget)) {
    target->mRunning.push_back({ aContentHash, aNow, false, aLoad, false });
    OnLoadChanged();
  }
}

void
TargetTable::OnAttemptEnd(const std::string& aTarget,
                          std::uint64_t aContentHash,
                          AttemptOutcome aOutcome,
                          Time aNow)
{
  Target* target = Find(aTarget);
  if (target == nullptr) {
    return;
  }
  auto& running = target->mRunning;
  const auto it =
    std::find_if(running.begin(), running.end(), [&](const Running& aEntry) {
      return aEntry.mContentHash == aContentHash;
    });
  bool blamed = false;
  if (it != running.end()) {
    blamed = it->mBlamed;
    running.erase(it);
    OnLoadChanged();
  }
  auto& lost = target->mLost;
  while (!lost.empty() && aNow - lost.front().mAt >= kLostWindow) {
    lost.pop_front();
  }
  if (aOutcome == AttemptOutcome::Lost && !blamed) {
    lost.push_back({ aContentHash, aNow });
  } else if (aOutcome == AttemptOutcome::Finished) {
    mSuspects.OnSurvived(aContentHash);
    // A place has become free.
    target->mFullUntil = Time();
  }
}

void
TargetTable::OnProgress(std::uint64_t aContentHash)
{
  mSuspects.OnSurvived(aContentHash);
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
  Average(target->mFirstToken, aTime);
  for (Running& it : target->mRunning) {
    if (it.mContentHash == aContentHash) {
      it.mFirstTokenSeen = true;
    }
  }
  OnLoadChanged();
}

void
TargetTable::OnAlive(const std::string& aTarget, Time aNow)
{
  if (Target* target = Find(aTarget)) {
    target->mAliveAt = aNow;
    target->mDoubtUntil = Time();
  }
}

void
TargetTable::OnBroken(const std::string& aTarget, Time aNow)
{
  Target* target = Find(aTarget);
  if (target == nullptr) {
    return;
  }
  OnLostHere(*target, aNow);
  const bool again =
    target->mBrokenAt != Time() && aNow - target->mBrokenAt < kBreakWindow;
  target->mBrokenAt = aNow;
  target->mDownUntil =
    std::max(target->mDownUntil, aNow + (again ? kDownPause : kBrokenPause));
  target->mDoubtUntil = aNow + mOptions.mDoubtPause;
}

std::string
TargetTable::ChooseCopyHolder(const ChoiceQuery& aQuery,
                              const std::string& aRunner,
                              Time aNow)
{
  const Target* runner = Find(aRunner);
  const Target* best = nullptr;
  double bestScore = 0;
  std::vector<std::string> names = mByService[aQuery.mService];
  std::shuffle(names.begin(), names.end(), mRandom);
  for (const std::string& it : names) {
    const Target& target = mTargets.at(it);
    if (it == aRunner || !IsUsable(target, aQuery, aNow) ||
        IsFull(target, aQuery, aNow)) {
      continue;
    }
    double score = Load(target, aNow) + target.mCopies;
    if (IsDoubtful(target, aNow)) {
      score += kDoubtLoad;
    }
    if (runner != nullptr &&
        runner->mDeclaration.mPlace == target.mDeclaration.mPlace) {
      score += kSamePlaceCopyLoad;
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
    OnLoadChanged();
  }
}

void
TargetTable::OnCopyEnd(const std::string& aTarget, int aTokens)
{
  if (Target* target = Find(aTarget)) {
    target->mCopies = std::max(0, target->mCopies - 1);
    target->mCopyTokens = std::max(0, target->mCopyTokens - aTokens);
    OnLoadChanged();
  }
}

void
TargetTable::ReturnRepeat(const std::string& aService)
{
  if (mBudget) {
    mBudget->ReturnRepeat(aService);
  }
}

void
TargetTable::LimitRepeats(const RetryBudget::Options& aOptions)
{
  if (!mBudget) {
    mBudget.emplace();
  }
  mBudget->Configure(aOptions);
}

void
TargetTable::OnGap(const std::string& aTarget, Duration aGap)
{
  if (Target* target = Find(aTarget)) {
    Average(target->mUsualGap, aGap);
  }
}

void
TargetTable::OnTurnedAway(const std::string& aTarget, Time aNow)
{
  if (Target* target = Find(aTarget)) {
    target->mFullUntil = aNow + kFullPause;
  }
}

void
TargetTable::OnLoad(const std::string& aTarget,
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
  const bool reborn =
    !target->mIncarnation.empty() && target->mIncarnation != aIncarnation;
  if (reborn) {
    OnDeath(*target, aNow);
  }
  target->mIncarnation = aIncarnation;
  target->mReportedLeaving = aState == "leaving";
  target->mLoading = aState == "loading";
  target->mReported = aRunning + aWaiting;
  target->mWaiting = aWaiting;
  target->mOwnAtReport =
    static_cast<int>(target->mRunning.size()) + target->mOthers.mRunning;
  target->mReportedAt = aNow;
  target->mAliveAt = aNow;
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
  OnDeath(*target, aNow);
  OnLostHere(*target, aNow);
  target->mDownUntil = aNow + kDownPause;
  target->mDoubtUntil = aNow + mOptions.mDoubtPause;
}

void
TargetTable::OnUnresponsive(const std::string& aTarget, Time aNow)
{
  if (Target* target = Find(aTarget)) {
    OnLostHere(*target, aNow);
    target->mDownUntil = aNow + kDownPause;
    target->mDoubtUntil = aNow + mOptions.mDoubtPause;
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
    incarnation.empty() ? kAnyIncarnation : std::move(incarnation);
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
    target->mCached.erase(aPrefixHash);
  } else if (target->mCached.size() < kMaxCachedPrefixes) {
    target->mCached[aPrefixHash] = true;
  }
}

void
TargetTable::OnCacheGap(const std::string& aTarget)
{
  if (Target* target = Find(aTarget)) {
    target->mCached.clear();
  }
}

std::vector<TargetTable::Leaving>
TargetTable::LeavingTargets() const
{
  std::vector<Leaving> leaving;
  for (const auto& it : mTargets) {
    const Target& target = it.second;
    if (IsLeaving(target) && !target.mDeclaration.mLeaving) {
      leaving.push_back({ it.first,
                          target.mReportedLeaving
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
    view.mReported = target.mReported;
    view.mUsualGap = target.mUsualGap;
    view.mFirstToken = target.mFirstToken;
    views.push_back(std::move(view));
  }
  return views;
}

bool
TargetTable::IsLeaving(const Target& aTarget)
{
  if (aTarget.mDeclaration.mLeaving || aTarget.mReportedLeaving) {
    return true;
  }
  // Until the target reports itself again, it may be the one that leaves.
  const std::string& leaving = aTarget.mLeavingIncarnation;
  return !leaving.empty() &&
         (aTarget.mIncarnation.empty() || leaving == kAnyIncarnation ||
          leaving == aTarget.mIncarnation);
}

bool
TargetTable::IsUsable(const Target& aTarget,
                      const ChoiceQuery& aQuery,
                      Time aNow) const
{
  if (IsLeaving(aTarget) || aTarget.mLoading || aNow < aTarget.mDownUntil) {
    return false;
  }
  const auto& excluded = aQuery.mExcluded;
  return std::find(excluded.begin(),
                   excluded.end(),
                   aTarget.mDeclaration.mName) == excluded.end();
}

bool
TargetTable::IsFull(const Target& aTarget, const ChoiceQuery& aQuery, Time aNow)
{
  const bool reported = aNow - aTarget.mReportedAt < kReportLifetime;
  if (aNow < aTarget.mFullUntil ||
      (reported && aTarget.mWaiting > kMaxTargetQueue)) {
    return true;
  }
  const TargetDeclaration& declaration = aTarget.mDeclaration;
  if (declaration.mMemoryTokens > 0) {
    return OwnLoadOf(aTarget).mHeldTokens + aTarget.mOthers.mHeldTokens +
             aQuery.mPromptTokens + aQuery.mOutputTokens >
           declaration.mMemoryTokens;
  }
  return declaration.mSlots > 0 &&
         Load(aTarget, aNow) >= kInFlightPerSlot * declaration.mSlots;
}

Choice
TargetTable::Queue(const ChoiceQuery& aQuery, Time aNow)
{
  FairQueue& queue = mQueues[aQuery.mService];
  WaitingRequest request;
  request.mRequestId = aQuery.mRequestId;
  request.mWorkspace = aQuery.mWorkspace;
  request.mWeight = aQuery.mWeight;
  request.mDeadline = aQuery.mDeadline;
  queue.Add(request);
  Choice choice;
  choice.mStatus = ChoiceStatus::Busy;
  const auto wait = mRates[aQuery.mService].TimeFor(queue.Size(), aNow);
  choice.mExpectedWait = wait.value_or(Duration::zero());
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
    if (!SuspectMayGo(*it, aQuery, aNow)) {
      continue;
    }
    const bool holdsCopy = it->mDeclaration.mName == aQuery.mCopyHolder;
    if (aQuery.mContinuation && !holdsCopy && !TakesContinuation(*it, aNow)) {
      continue;
    }
    mSuspectWaits.erase(aQuery.mContentHash);
    choice.mStatus = ChoiceStatus::Chosen;
    choice.mTarget = it->mDeclaration.mName;
    choice.mUsualGap = it->mUsualGap;
    choice.mServingVersion = mServices[aQuery.mService].mServingVersion;
    return choice;
  }
  return choice;
}

// Puts two random candidates and the least loaded holder of the prefix first,
// the best of them leading; the rest follow by score.
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
    const bool holds = (*it)->mCached.count(aQuery.mPrefixHash) != 0;
    if (holds &&
        (holder == aUsable.end() || Load(**it, aNow) < Load(**holder, aNow))) {
      holder = it;
    }
  }
  if (holder != aUsable.end() &&
      static_cast<std::size_t>(holder - aUsable.begin()) >= head) {
    std::iter_swap(holder, aUsable.begin() + static_cast<long>(head));
    ++head;
  }
  const auto less = [&](const Target* aLeft, const Target* aRight) {
    return Score(*aLeft, aQuery, aNow) < Score(*aRight, aQuery, aNow);
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

bool
TargetTable::SuspectMayGo(const Target& aTarget,
                          const ChoiceQuery& aQuery,
                          Time aNow)
{
  const int deaths = mSuspects.Deaths(aQuery.mContentHash, aNow);
  if (!mOptions.mSeparateSuspects) {
    return true;
  }
  if (deaths == 0 && !IsRecentlyLost(aQuery.mContentHash, aNow)) {
    return true;
  }
  const auto isOtherSuspect = [&](const Running& aEntry) {
    const bool watched = aNow - aEntry.mStartedAt < kSuspectWatch;
    const int others = mSuspects.Deaths(aEntry.mContentHash, aNow);
    const bool suspect =
      others > 0 || IsRecentlyLost(aEntry.mContentHash, aNow);
    return suspect && (watched || others >= 2) &&
           aEntry.mContentHash != aQuery.mContentHash;
  };
  const bool alone = std::none_of(
    aTarget.mRunning.begin(), aTarget.mRunning.end(), isOtherSuspect);
  if (alone) {
    return true;
  }
  if (deaths >= 2) {
    return false;
  }
  const auto wait = mSuspectWaits.emplace(aQuery.mContentHash, aNow).first;
  return aNow - wait->second >= kSuspectPatience;
}

bool
TargetTable::TakesContinuation(Target& aTarget, Time aNow)
{
  auto& times = aTarget.mContinuations;
  while (!times.empty() && aNow - times.front() >= kContinuationWindow) {
    times.pop_front();
  }
  if (times.size() >= kContinuationsPerWindow) {
    return false;
  }
  times.push_back(aNow);
  return true;
}

int
TargetTable::Load(const Target& aTarget, Time aNow)
{
  const int own =
    static_cast<int>(aTarget.mRunning.size()) + aTarget.mOthers.mRunning;
  if (aTarget.mReportedAt != Time() &&
      aNow - aTarget.mReportedAt >= kReportLifetime) {
    return own;
  }
  const int sinceReport = own - aTarget.mOwnAtReport;
  return std::max(own, aTarget.mReported + sinceReport);
}

double
TargetTable::Score(const Target& aTarget,
                   const ChoiceQuery& aQuery,
                   Time aNow) const
{
  double score = Load(aTarget, aNow) + kCopyLoad * aTarget.mCopies;
  const int backlog =
    OwnLoadOf(aTarget).mBacklogTokens + aTarget.mOthers.mBacklogTokens;
  score += backlog / kBacklogTokensPerLoad;
  if (aTarget.mDeclaration.mRegion != mRegion) {
    score += kOtherRegionLoad;
  } else if (aTarget.mDeclaration.mPlace != mOptions.mPlace) {
    score += kOtherPlaceLoad;
  }
  if (aTarget.mCached.count(aQuery.mPrefixHash) != 0) {
    score -= kCachedPrefixLoad;
  }
  if (IsDoubtful(aTarget, aNow)) {
    score += kDoubtLoad;
  }
  return score;
}

bool
TargetTable::IsRecentlyLost(std::uint64_t aContentHash, Time aNow) const
{
  for (const auto& it : mTargets) {
    for (const Lost& lost : it.second.mLost) {
      if (lost.mContentHash == aContentHash && aNow - lost.mAt < kLostWindow) {
        return true;
      }
    }
  }
  return false;
}

void
TargetTable::OnDeath(Target& aTarget, Time aNow)
{
  aTarget.mIncarnation.clear();
  aTarget.mReported = 0;
  aTarget.mWaiting = 0;
  aTarget.mCached.clear();
  std::vector<std::uint64_t> requests;
  for (Running& it : aTarget.mRunning) {
    if (!it.mBlamed) {
      requests.push_back(it.mContentHash);
    }
    it.mBlamed = true;
  }
  for (const Lost& it : aTarget.mLost) {
    if (aNow - it.mAt < kLostWindow) {
      requests.push_back(it.mContentHash);
    }
  }
  aTarget.mLost.clear();
  std::sort(requests.begin(), requests.end());
  requests.erase(std::unique(requests.begin(), requests.end()), requests.end());
  if (mOptions.mCommonDeaths == 0) {
    mSuspects.OnTargetDeath(requests, aNow);
    return;
  }
  mDeaths.push_back({ aNow, std::move(requests) });
}

// Blames the requests of targets that died alone, once it is known that no
// others died with them.
void
TargetTable::BlameForDeaths(Time aNow)
{
  while (!mDeaths.empty() && aNow - mDeaths.front().mAt >= kCommonDeathTime) {
    const Time at = mDeaths.front().mAt;
    const auto together =
      std::count_if(mDeaths.begin(), mDeaths.end(), [&](const Death& aDeath) {
        return aDeath.mAt - at < kCommonDeathTime;
      });
    if (together >= mOptions.mCommonDeaths) {
      mDeaths.erase(mDeaths.begin(), mDeaths.begin() + together);
      continue;
    }
    mSuspects.OnTargetDeath(mDeaths.front().mRequests, at);
    mDeaths.pop_front();
  }
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
