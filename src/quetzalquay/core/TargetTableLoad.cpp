// The part of TargetTable that tracks the load and the losses of targets, both
// this router's own and those reported by other routers.

#include "core/TargetTable.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Time for which the load reported by another router is used.
constexpr Duration kPeerLoadLifetime = milliseconds(2500);

// Time for which losses in a place make its other targets doubtful, unless they
// are heard from. By then the registry entries of dead targets have expired.
constexpr Duration kPlaceLossWindow = milliseconds(4500);

// Largest load of other routers, so that it can be added to this router's own.
constexpr int kMaxPeerLoad = 1000000000;

void
AddBounded(int& aSum, int aSign, int aValue)
{
  const std::int64_t sum = std::int64_t(aSum) + std::int64_t(aSign) * aValue;
  aSum = static_cast<int>(std::clamp<std::int64_t>(sum, 0, kMaxPeerLoad));
}

} // namespace

std::vector<TargetTable::LostTarget>
TargetTable::LostTargets(Time aNow) const
{
  std::vector<LostTarget> lost;
  for (const auto& it : mTargets) {
    const Target& target = it.second;
    if (target.mLostLocally && aNow - target.mLostAt < kPlaceLossWindow &&
        target.mAliveAt < target.mLostAt &&
        ReachOf(target.mDeclaration.mService) == ReachState::Reached) {
      lost.push_back({ it.first, target.mLostAt });
    }
  }
  return lost;
}

void
TargetTable::OnLostByPeer(const std::string& aTarget, Time aAt, Time aNow)
{
  Target* target = Find(aTarget);
  if (target == nullptr || target->mAliveAt >= aAt ||
      aNow - aAt >= kPlaceLossWindow) {
    return;
  }
  RecordLoss(*target, aAt);
  target->mDoubtUntil =
    std::max(target->mDoubtUntil, aAt + mOptions.mDoubtDuration);
}

void
TargetTable::RecordLocalLoss(Target& aTarget, Time aNow)
{
  RecordLoss(aTarget, aNow);
  aTarget.mLostLocally = true;
  NotifyLoadChanged();
}

void
TargetTable::RecordLoss(Target& aTarget, Time aNow)
{
  // Counts repeated losses of one target once.
  if (aNow - aTarget.mLostAt >= kPlaceLossWindow || aTarget.mLostAt == Time()) {
    mLossTimesByPlace[aTarget.mDeclaration.mPlace].push_back(aNow);
  }
  aTarget.mLostAt = std::max(aTarget.mLostAt, aNow);
}

bool
TargetTable::IsDoubtful(const Target& aTarget, Time aNow) const
{
  if (aNow < aTarget.mDoubtUntil) {
    return true;
  }
  const auto losses = mLossTimesByPlace.find(aTarget.mDeclaration.mPlace);
  if (mOptions.mPlaceLossThreshold == 0 || losses == mLossTimesByPlace.end()) {
    return false;
  }
  const auto recent = std::count_if(
    losses->second.begin(), losses->second.end(), [&](Time aLoss) {
      return aNow - aLoss < kPlaceLossWindow && aTarget.mAliveAt < aLoss;
    });
  return recent >= mOptions.mPlaceLossThreshold;
}

bool
TargetTable::IsHealthy(const std::string& aTarget, Time aNow) const
{
  const Target* target = Find(aTarget);
  return target != nullptr && !IsLeaving(*target) && !target->mLoading &&
         aNow >= target->mDownUntil && !IsDoubtful(*target, aNow);
}

ChoiceInputs
TargetTable::InputsOf(const std::string& aTarget, Time aNow) const
{
  ChoiceInputs inputs;
  if (const Target* target = Find(aTarget)) {
    inputs.mOwnRunning = static_cast<int>(target->mRunning.size());
    inputs.mPeerRunning = PeerLoadOf(*target, aNow).mRunning;
    inputs.mReported = target->mReport.Reported();
    if (target->mReport.At() != Time()) {
      inputs.mReportAge =
        std::chrono::duration_cast<Duration>(aNow - target->mReport.At());
    }
    inputs.mBacklogTokens = OwnLoadOf(*target).mBacklogTokens +
                            PeerLoadOf(*target, aNow).mBacklogTokens;
    inputs.mCopies = target->mCopies;
    inputs.mDoubtful = IsDoubtful(*target, aNow);
  }
  return inputs;
}

int
TargetTable::MinBacklogTokens(const ChoiceQuery& aQuery, Time aNow) const
{
  const auto members = mTargetsByService.find(aQuery.mService);
  std::optional<int> least;
  if (members != mTargetsByService.end()) {
    for (const std::string& it : members->second) {
      const Target& target = mTargets.at(it);
      if (IsUsable(target, aQuery, aNow)) {
        const int backlog = OwnLoadOf(target).mBacklogTokens +
                            PeerLoadOf(target, aNow).mBacklogTokens;
        least = std::min(least.value_or(backlog), backlog);
      }
    }
  }
  return least.value_or(0);
}

void
TargetTable::OnServed(const std::string& aTarget, Duration aTime, int aWaiting)
{
  if (Target* target = Find(aTarget)) {
    target->mReport.OnServed(aTime, aWaiting, target->mDeclaration.mSlots);
  }
}

void
TargetTable::OnSpeedFigure(const std::string& aTarget,
                           double aFactor,
                           Time aNow)
{
  if (const Target* target = Find(aTarget)) {
    mSpeeds.OnFigure(target->mDeclaration.mService, aTarget, aFactor, aNow);
  }
}

// Time until a target is likely to take another call; zero if it is not known
// how long calls take there.
Duration
TargetTable::TimeToRoom(const Target& aTarget, Time aNow)
{
  const ReportedLoad& report = aTarget.mReport;
  if (report.ServiceTime() == Duration::zero()) {
    return Duration::zero();
  }
  const auto full =
    std::chrono::duration_cast<Duration>(aTarget.mFullUntil - aNow);
  return std::max(
    { report.TimeUntilWaiting(
        kMaxTargetQueue, aTarget.mDeclaration.mSlots, aNow),
      full,
      report.ServiceTime() / std::max(1, aTarget.mDeclaration.mSlots) });
}

std::vector<TargetLoad>
TargetTable::OwnLoad() const
{
  std::vector<TargetLoad> loads;
  for (const auto& it : mTargets) {
    TargetLoad load = OwnLoadOf(it.second);
    if (load.mRunning > 0 || load.mHeldTokens > 0) {
      load.mTarget = it.first;
      load.mPace =
        static_cast<int>(std::lround(100 * mSpeeds.MeasuredPace(it.first)));
      loads.push_back(std::move(load));
    }
  }
  return loads;
}

TargetLoad
TargetTable::OwnLoadOf(const Target& aTarget)
{
  TargetLoad load;
  load.mRunning = static_cast<int>(aTarget.mRunning.size());
  load.mHeldTokens = aTarget.mCopyTokens;
  for (const RunningAttempt& it : aTarget.mRunning) {
    load.mHeldTokens += it.mLoad.mPromptTokens + it.mLoad.mOutputTokens;
    load.mBacklogTokens += it.mFirstTokenSeen ? 0 : it.mLoad.mPromptTokens;
  }
  return load;
}

// Load of other routers at a target. It expires by itself, as none of them may
// be left to send another message.
TargetLoad
TargetTable::PeerLoadOf(const Target& aTarget, Time aNow)
{
  return aNow < aTarget.mPeerLoadExpiresAt ? aTarget.mPeerLoad : TargetLoad();
}

void
TargetTable::SetPeerLoad(const std::string& aRouter,
                         const std::vector<TargetLoad>& aLoad,
                         Time aNow)
{
  for (auto it = mRouterLoads.begin(); it != mRouterLoads.end();) {
    if (it->first == aRouter || aNow >= it->second.mExpiresAt) {
      AddPeerLoad(it->second.mLoad, -1);
      it = mRouterLoads.erase(it);
    } else {
      ++it;
    }
  }
  AddPeerLoad(aLoad, 1);
  const Time expiresAt = aNow + kPeerLoadLifetime;
  for (const TargetLoad& it : aLoad) {
    if (Target* target = Find(it.mTarget)) {
      target->mPeerLoadExpiresAt = expiresAt;
    }
    if (it.mPace > 0) {
      mSpeeds.OnTold(it.mTarget, it.mPace / 100.0);
    }
  }
  mRouterLoads[aRouter] = { aLoad, expiresAt };
}

void
TargetTable::AddPeerLoad(const std::vector<TargetLoad>& aLoad, int aSign)
{
  for (const TargetLoad& it : aLoad) {
    if (Target* target = Find(it.mTarget)) {
      TargetLoad& others = target->mPeerLoad;
      AddBounded(others.mRunning, aSign, it.mRunning);
      AddBounded(others.mBacklogTokens, aSign, it.mBacklogTokens);
      AddBounded(others.mHeldTokens, aSign, it.mHeldTokens);
    }
  }
}

void
TargetTable::SetLoadCallback(std::function<void()> aCall)
{
  mOnLoadChanged = std::move(aCall);
}

void
TargetTable::NotifyLoadChanged() const
{
  if (mOnLoadChanged) {
    mOnLoadChanged();
  }
}

void
TargetTable::DropExpiredLosses(Time aNow)
{
  for (auto& it : mLossTimesByPlace) {
    while (!it.second.empty() && aNow - it.second.front() >= kPlaceLossWindow) {
      it.second.pop_front();
    }
  }
}

} // namespace quetzalquay
