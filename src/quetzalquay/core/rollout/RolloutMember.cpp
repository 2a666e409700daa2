#include "core/rollout/RolloutMember.h"

#include "core/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quetzalquay {

namespace {

// Fewest targets of a new version that are used, so that a fault of one target
// is not taken for one of the version, and the share of them that the first
// requests of a trial load about as much as all requests load all targets.
constexpr std::size_t kMinUsedTargets = 3;
constexpr double kTrialTargetsShare = 0.125;

// Time after an order's deadline for which a host goes on telling of it, so
// that a keeper that takes over learns how it has ended.
constexpr Duration kReportedAfterwards = std::chrono::seconds(10);

// Hash values for one random draw from 0 to 1.
constexpr std::uint64_t kDraws = 1U << 20U;

// Targets of neither the given version nor one that was rolled back.
std::set<std::string>
SoundTargets(const std::map<std::string, std::string>& aTargets,
             const std::string& aVersion,
             const std::set<std::string>& aBadVersions)
{
  std::set<std::string> sound;
  for (const auto& it : aTargets) {
    if (it.second != aVersion && aBadVersions.count(it.second) == 0) {
      sound.insert(it.first);
    }
  }
  return sound;
}

double
DrawOf(const std::string& aRequestId, std::uint64_t aOrder)
{
  return static_cast<double>(StableHash(aRequestId, aOrder) % kDraws) /
         static_cast<double>(kDraws);
}

} // namespace

RolloutMember::RolloutMember(std::uint64_t aStart)
  : mStart(aStart)
{
}

bool
RolloutMember::OnOrder(const RolloutOrder& aOrder)
{
  const auto known = mStates.find(aOrder.mService);
  // The same order may be given again once it is over.
  if (known != mStates.end() && known->second.mOrder.mId == aOrder.mId &&
      aOrder.mStartedAt <= known->second.mOrder.mDeadline) {
    RolloutOrder& order = known->second.mOrder;
    if (aOrder.mStartedAt < order.mStartedAt) {
      order.mStartedAt = aOrder.mStartedAt;
      order.mDeadline = aOrder.mDeadline;
    }
    return false;
  }
  if (known != mStates.end()) {
    OnOrderRemoved(aOrder.mService);
  }
  mBadVersions[aOrder.mService].erase(aOrder.mVersion);
  mStates[aOrder.mService].mOrder = aOrder;
  return true;
}

void
RolloutMember::OnOrderRemoved(const std::string& aService)
{
  const auto state = mStates.find(aService);
  if (state == mStates.end()) {
    return;
  }
  const auto& directive = state->second.mDirective;
  if (directive && directive->mStage == RolloutStage::RolledBack) {
    mBadVersions[aService].insert(state->second.mOrder.mVersion);
  }
  mStates.erase(state);
}

bool
RolloutMember::OnDirective(const RolloutDirective& aDirective, Time aNow)
{
  const auto it = mStates.find(aDirective.mService);
  const Time startedAt = aNow - aDirective.mAge;
  if (it != mStates.end() && it->second.mOrder.mId != aDirective.mOrder &&
      startedAt <= it->second.mOrder.mStartedAt) {
    return false;
  }
  // The same order may have been given again since.
  if (it != mStates.end() && it->second.mOrder.mId == aDirective.mOrder &&
      aNow + aDirective.mLeft < it->second.mOrder.mStartedAt) {
    return false;
  }
  OnOrder({ aDirective.mService,
            aDirective.mVersion,
            aDirective.mOrder,
            startedAt,
            aNow + aDirective.mLeft });
  State& state = mStates.at(aDirective.mService);
  const bool first = !state.mDirective;
  const RolloutStage before =
    first ? RolloutStage::Trial : state.mDirective->mStage;
  if (!first && (IsFinal(before) || aDirective.mStage < before)) {
    return false;
  }
  state.mDirective = aDirective;
  state.mHeardAt = aNow;
  return first || aDirective.mStage != before;
}

// Share of the requests that goes to the new version.
double
RolloutMember::ShareOf(const State& aState, Time aNow) const
{
  if (!aState.mDirective) {
    return 0;
  }
  const auto silence = aNow - aState.mHeardAt;
  switch (aState.mDirective->mStage) {
    case RolloutStage::Trial:
      return silence < kTrialSilence ? aState.mDirective->mShare : 0;
    case RolloutStage::Shift:
      return silence < kShiftSilence ? aState.mDirective->mShare : 0;
    case RolloutStage::Completed:
      return 1;
    case RolloutStage::RolledBack:
      return 0;
  }
  return 0;
}

// The targets of the new version that are in use, the same ones at all hosts:
// so few that each has about as much load as it will have in service.
std::set<std::string>
RolloutMember::UsedTargets(const State& aState) const
{
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  const auto targets = mTargets.find(aState.mOrder.mService);
  if (targets != mTargets.end()) {
    for (const auto& it : targets->second) {
      if (it.second == aState.mOrder.mVersion) {
        ranked.emplace_back(StableHash(it.first, aState.mOrder.mId), it.first);
      }
    }
  }
  std::sort(ranked.begin(), ranked.end());
  const bool trial = aState.mDirective->mStage == RolloutStage::Trial;
  const double share = trial ? kTrialTargetsShare : aState.mDirective->mShare;
  const auto used = static_cast<std::size_t>(
    std::ceil(static_cast<double>(ranked.size()) * share));
  ranked.resize(std::min(ranked.size(), std::max(kMinUsedTargets, used)));
  std::set<std::string> chosen;
  for (const auto& it : ranked) {
    chosen.insert(it.second);
  }
  return chosen;
}

VersionChoice
RolloutMember::ChooseVersion(const std::string& aService,
                             const std::string& aRequestId,
                             Time aNow) const
{
  VersionChoice choice;
  const auto it = mStates.find(aService);
  const auto targets = mTargets.find(aService);
  if (targets == mTargets.end()) {
    return choice;
  }
  const auto hasOther = [&](const std::string& aVersion) {
    return std::any_of(
      targets->second.begin(), targets->second.end(), [&](const auto& aEntry) {
        return aEntry.second != aVersion;
      });
  };
  const auto bad = mBadVersions.find(aService);
  const bool hasBad = bad != mBadVersions.end() && !bad->second.empty();
  if (it == mStates.end()) {
    if (hasBad) {
      choice.mUse = VersionUse::Old;
      choice.mVersion = *bad->second.begin();
      choice.mTargets =
        SoundTargets(targets->second, choice.mVersion, bad->second);
    }
    return choice;
  }
  const State& state = it->second;
  choice.mVersion = state.mOrder.mVersion;
  // Without any other version there is none to go back to, and a host that has
  // just started knows of the end of the rollout by that.
  const bool rolledBack =
    state.mDirective && state.mDirective->mStage == RolloutStage::RolledBack;
  if (!hasOther(choice.mVersion) && !rolledBack) {
    return VersionChoice();
  }
  const double share = ShareOf(state, aNow);
  if (share <= 0 || DrawOf(aRequestId, state.mOrder.mId) >= share) {
    choice.mUse = VersionUse::Old;
    if (hasBad) {
      choice.mTargets =
        SoundTargets(targets->second, choice.mVersion, bad->second);
    }
    return choice;
  }
  choice.mUse = VersionUse::New;
  if (state.mDirective->mStage != RolloutStage::Completed) {
    choice.mTargets = UsedTargets(state);
    if (choice.mTargets.empty()) {
      choice.mUse = VersionUse::Old;
    }
  }
  return choice;
}

bool
RolloutMember::MayReplaceOld(const std::string& aService, Time aNow) const
{
  const auto it = mStates.find(aService);
  return it != mStates.end() && it->second.mDirective &&
         (it->second.mDirective->mStage == RolloutStage::Shift ||
          it->second.mDirective->mStage == RolloutStage::Completed) &&
         ShareOf(it->second, aNow) > 0;
}

std::uint64_t
RolloutMember::OnSent(const std::string& aService,
                      const std::string& aRoute,
                      const std::string& aTarget,
                      const std::string& aVersion,
                      Time aNow)
{
  const auto it = mStates.find(aService);
  if (it == mStates.end() || aNow >= it->second.mOrder.mDeadline ||
      (it->second.mDirective && IsFinal(it->second.mDirective->mStage))) {
    return 0;
  }
  State& state = it->second;
  const bool isNew = aVersion == state.mOrder.mVersion;
  Run run;
  run.mService = aService;
  run.mOrder = state.mOrder.mId;
  run.mRoute = aRoute;
  run.mTarget = isNew ? aTarget : std::string();
  run.mSentAt = aNow;
  state.mOldOpen += isNew ? 0 : 1;
  ++state.mOutcomes[{ run.mRoute, run.mTarget }].mSent;
  mRuns.emplace(++mLastRun, std::move(run));
  return mLastRun;
}

void
RolloutMember::OnFirstOutput(std::uint64_t aRun, Time aNow)
{
  const auto it = mRuns.find(aRun);
  if (it == mRuns.end() || it->second.mHasOutput) {
    return;
  }
  it->second.mHasOutput = true;
  const auto state = mStates.find(it->second.mService);
  if (state != mStates.end() && state->second.mOrder.mId == it->second.mOrder) {
    state->second.mOutcomes[{ it->second.mRoute, it->second.mTarget }]
      .mFirstOutput.Add(
        std::chrono::duration_cast<Duration>(aNow - it->second.mSentAt));
  }
}

void
RolloutMember::OnEnd(std::uint64_t aRun, RunEnd aEnd, Time aNow)
{
  if (aEnd == RunEnd::Succeeded) {
    OnFirstOutput(aRun, aNow);
  }
  const auto it = mRuns.find(aRun);
  if (it == mRuns.end()) {
    return;
  }
  const Run run = std::move(it->second);
  mRuns.erase(it);
  const auto found = mStates.find(run.mService);
  if (found == mStates.end() || found->second.mOrder.mId != run.mOrder) {
    return;
  }
  State& state = found->second;
  RunOutcomes& outcomes = state.mOutcomes[{ run.mRoute, run.mTarget }];
  if (aEnd == RunEnd::Withdrawn && !run.mHasOutput) {
    outcomes.mWaiting.Add(
      std::chrono::duration_cast<Duration>(aNow - run.mSentAt));
  }
  outcomes.mFailed += aEnd == RunEnd::Failed ? 1 : 0;
  outcomes.mLost += aEnd == RunEnd::Lost ? 1 : 0;
  if (run.mTarget.empty()) {
    --state.mOldOpen;
    state.mOldDurations.Add(
      std::chrono::duration_cast<Duration>(aNow - run.mSentAt));
  }
}

std::vector<RolloutReport>
RolloutMember::Reports(Time aNow) const
{
  std::vector<RolloutReport> reports;
  for (const auto& it : mStates) {
    const State& state = it.second;
    const RolloutOrder& order = state.mOrder;
    if (aNow >= order.mDeadline + kReportedAfterwards) {
      continue;
    }
    RolloutReport report;
    report.mService = it.first;
    report.mOrder = order.mId;
    report.mStart = mStart;
    report.mVersion = order.mVersion;
    if (state.mDirective) {
      report.mStage = state.mDirective->mStage;
      report.mShare = state.mDirective->mShare;
    }
    report.mAge = std::chrono::duration_cast<Duration>(aNow - order.mStartedAt);
    report.mLeft = std::chrono::duration_cast<Duration>(order.mDeadline - aNow);
    report.mOldOpen = state.mOldOpen;
    report.mOldDurations = state.mOldDurations;
    report.mOutcomes = state.mOutcomes;
    const auto targets = mTargets.find(it.first);
    if (targets != mTargets.end()) {
      for (const auto& target : targets->second) {
        ++(target.second == order.mVersion ? report.mNewTargets
                                           : report.mOldTargets);
      }
    }
    for (const auto& run : mRuns) {
      if (run.second.mOrder == order.mId && !run.second.mHasOutput) {
        report.mOutcomes[{ run.second.mRoute, run.second.mTarget }]
          .mWaiting.Add(
            std::chrono::duration_cast<Duration>(aNow - run.second.mSentAt));
      }
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

bool
RolloutMember::HasOpenOrder(Time aNow) const
{
  return std::any_of(mStates.begin(), mStates.end(), [&](const auto& aEntry) {
    return aNow < aEntry.second.mOrder.mDeadline + kReportedAfterwards;
  });
}

const RolloutOrder*
RolloutMember::OrderOf(const std::string& aService) const
{
  const auto it = mStates.find(aService);
  return it == mStates.end() ? nullptr : &it->second.mOrder;
}

std::optional<RolloutDirective>
RolloutMember::DirectiveOf(const std::string& aService) const
{
  const auto it = mStates.find(aService);
  return it == mStates.end() ? std::nullopt : it->second.mDirective;
}

std::vector<std::string>
RolloutMember::Services() const
{
  std::vector<std::string> names;
  for (const auto& it : mStates) {
    names.push_back(it.first);
  }
  return names;
}

} // namespace quetzalquay
