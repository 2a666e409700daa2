// The part of TargetTable that recognizes deaths of targets and what was lost
// in them.

#include "core/TargetTable.h"

#include "core/Hash.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

// Records the death of the target's current incarnation. Repeated signs of the
// same death have no further effect.
void
TargetTable::OnDeath(Target& aTarget, DeathEvidence aEvidence, Time aNow)
{
  aTarget.mReport.Clear();
  aTarget.mCachedPrefixes.clear();
  const bool isNew =
    !aTarget.mDeath || aTarget.mDeadIncarnation != aTarget.mIncarnation;
  if (isNew) {
    const TargetDeclaration& declaration = aTarget.mDeclaration;
    aTarget.mDeath = { StableHash(aTarget.mIncarnation,
                                  StableHash(declaration.mName)),
                       StableHash(declaration.mPlace),
                       aNow };
    aTarget.mDeadIncarnation = aTarget.mIncarnation;
  }
  // The target died when its first request was lost, not when that was
  // confirmed.
  for (const LostAttempt& it : aTarget.mLostAttempts) {
    if (IsLostWith(it, aTarget, aNow)) {
      aTarget.mDeath->mAt = std::min(aTarget.mDeath->mAt, it.mDiedAt);
    }
  }
  DeathReport report;
  report.mTarget = aTarget.mDeclaration.mName;
  report.mIncarnation = aTarget.mIncarnation;
  report.mEvidence = aEvidence;
  for (const LostAttempt& it : aTarget.mLostAttempts) {
    if (IsLostWith(it, aTarget, aNow)) {
      report.mRequests.push_back(it.mContent);
      OnRunLost(it, *aTarget.mDeath, aNow);
    }
  }
  mSuspects.OnTargetDeath(*aTarget.mDeath);
  aTarget.mLostAttempts.clear();
  NotifyLoadChanged();
  if (mOnDeath && (isNew || !report.mRequests.empty())) {
    mOnDeath(report);
  }
}

// Whether a lost attempt ended because of the target's last death.
bool
TargetTable::IsLostWith(const LostAttempt& aAttempt,
                        const Target& aTarget,
                        Time aNow) const
{
  const std::string& incarnation = aAttempt.mIncarnation;
  return aTarget.mDeath &&
         (incarnation.empty() || incarnation == aTarget.mDeadIncarnation) &&
         aNow - aAttempt.mAt < kDeathConfirmationWindow &&
         aAttempt.mDiedAt - aTarget.mDeath->mAt < kDeathConfirmationWindow;
}

void
TargetTable::SetDeathCallback(std::function<void(const DeathReport&)> aCall)
{
  mOnDeath = std::move(aCall);
}

// Whether an attempt that ended so shows together with the end of its target's
// entry that the target has died.
bool
TargetTable::MayShowDeath(AttemptOutcome aOutcome)
{
  return aOutcome == AttemptOutcome::Lost ||
         aOutcome == AttemptOutcome::GivenUp;
}

// The entry of a target has ended. What it still runs is lost with it unless
// the target is heard from again.
void
TargetTable::OnEntryEnded(const std::string& aName, Target& aTarget, Time aNow)
{
  mLimits.Forget(aName);
  mRoom.Forget(aName);
  mSpeeds.Forget(aName);
  const bool reached =
    ReachOf(aTarget.mDeclaration.mService) == ReachState::Reached;
  if (!reached || IsLeaving(aTarget)) {
    return;
  }
  const auto& ended = aTarget.mLostAttempts;
  if (std::any_of(ended.begin(), ended.end(), [](const LostAttempt& aAttempt) {
        return MayShowDeath(aAttempt.mOutcome) && !aAttempt.mLate;
      })) {
    OnDeath(aTarget, DeathEvidence::Unregistered, aNow);
  }
  if (!aTarget.mRunning.empty()) {
    mGoneTargets.insert_or_assign(aName, std::move(aTarget));
  }
}

// Removes an attempt from those that a target runs.
std::optional<TargetTable::RunningAttempt>
TargetTable::TakeRunning(Target& aTarget, const RequestContent& aContent)
{
  auto& running = aTarget.mRunning;
  const auto it = std::find_if(
    running.begin(), running.end(), [&](const RunningAttempt& aEntry) {
      return aEntry.mContent.mHash == aContent.mHash;
    });
  if (it == running.end()) {
    return std::nullopt;
  }
  RunningAttempt attempt = std::move(*it);
  running.erase(it);
  return attempt;
}

// Holds an attempt against its request if its target is known to have died, or
// keeps it in case that becomes known.
void
TargetTable::OnAttemptMayBeLost(Target& aTarget,
                                LostAttempt aAttempt,
                                Time aNow)
{
  auto& lost = aTarget.mLostAttempts;
  while (!lost.empty() && aNow - lost.front().mAt >= kDeathConfirmationWindow) {
    lost.pop_front();
  }
  if (IsLostWith(aAttempt, aTarget, aNow)) {
    OnRunLost(aAttempt, *aTarget.mDeath, aNow);
    NotifyLoadChanged();
  } else {
    lost.push_back(std::move(aAttempt));
  }
}

// Records the end of an attempt at a target whose entry has ended before.
void
TargetTable::OnGoneAttemptEnd(const std::string& aTarget,
                              const RequestContent& aContent,
                              AttemptOutcome aOutcome,
                              Time aNow)
{
  const auto gone = mGoneTargets.find(aTarget);
  if (gone == mGoneTargets.end()) {
    return;
  }
  Target& target = gone->second;
  const auto run = TakeRunning(target, aContent);
  const bool reached =
    ReachOf(target.mDeclaration.mService) == ReachState::Reached;
  const Time diedAt = run ? std::max(run->mStartedAt, target.mAliveAt) : Time();
  const bool sound = !run || run->mProgressed || diedAt <= run->mServedAt;
  if (!sound && MayShowDeath(aOutcome) && reached) {
    target.mLostAttempts.push_back(
      { aContent, run->mStartedAt, aNow, diedAt, run->mIncarnation, aOutcome });
    OnDeath(target, DeathEvidence::Unregistered, aNow);
  } else if (aOutcome == AttemptOutcome::Finished) {
    ClearSuspect(aContent, aNow);
    NotifyLoadChanged();
  }
  if (target.mRunning.empty()) {
    mGoneTargets.erase(gone);
  }
}

// Clears a request that was served until aAt of all deaths before, those not
// yet recognized included.
void
TargetTable::ClearSuspect(const RequestContent& aContent, Time aAt)
{
  mSuspects.ClearSuspect(aContent, aAt);
  ClearAttempts(aContent, true, aAt);
}

// Holds an attempt that was lost with its target against its request.
void
TargetTable::OnRunLost(const LostAttempt& aAttempt,
                       const TargetDeath& aDeath,
                       Time aNow)
{
  const LostRun run{ aDeath, aAttempt.mStartedAt };
  if (aAttempt.mLate) {
    mSuspects.OnLateRunLost(aAttempt.mContent, run, aNow);
  } else {
    mSuspects.OnRunLost(aAttempt.mContent, run, aNow);
  }
}

// Forgets the attempts of a request that ended until aAt, of those after
// progress only if aLateToo is set.
void
TargetTable::ClearAttempts(const RequestContent& aContent,
                           bool aLateToo,
                           Time aAt)
{
  const auto clear = [&](Target& aTarget) {
    for (RunningAttempt& it : aTarget.mRunning) {
      if (it.mContent.mHash == aContent.mHash) {
        it.mServedAt = std::max(it.mServedAt, aAt);
      }
    }
    auto& lost = aTarget.mLostAttempts;
    lost.erase(std::remove_if(lost.begin(),
                              lost.end(),
                              [&](const LostAttempt& aAttempt) {
                                return aAttempt.mContent.mHash ==
                                         aContent.mHash &&
                                       (aLateToo || !aAttempt.mLate) &&
                                       aAttempt.mDiedAt <= aAt;
                              }),
               lost.end());
  };
  for (auto& it : mTargets) {
    clear(it.second);
  }
  for (auto& it : mGoneTargets) {
    clear(it.second);
  }
}

// A target whose entry had ended is registered again, so that it lives.
std::optional<TargetTable::Target>
TargetTable::TakeReturned(const std::string& aName, Time aNow)
{
  auto entry = mGoneTargets.extract(aName);
  if (entry.empty()) {
    return std::nullopt;
  }
  Target target = std::move(entry.mapped());
  target.mDeath.reset();
  target.mAliveAt = aNow;
  target.mDownUntil = Time();
  target.mDoubtUntil = Time();
  target.mLostAt = Time();
  target.mLostLocally = false;
  return target;
}

// Forgets the targets of a service whose entries ended while they ran attempts.
void
TargetTable::ForgetGone(const std::string& aService)
{
  for (auto it = mGoneTargets.begin(); it != mGoneTargets.end();) {
    const bool member = it->second.mDeclaration.mService == aService;
    it = member ? mGoneTargets.erase(it) : std::next(it);
  }
}

// Forgets the attempts that were given up at a target that lives.
void
TargetTable::DropGivenUp(Target& aTarget, Time aAliveAt)
{
  auto& lost = aTarget.mLostAttempts;
  const auto isGivenUp = [&](const LostAttempt& aAttempt) {
    return aAttempt.mOutcome == AttemptOutcome::GivenUp &&
           aAttempt.mAt <= aAliveAt &&
           aAttempt.mIncarnation == aTarget.mIncarnation;
  };
  for (const LostAttempt& it : lost) {
    if (isGivenUp(it)) {
      OnTrialEnd(aTarget.mDeclaration.mName,
                 it.mContent.mHash,
                 AttemptOutcome::Released,
                 aAliveAt);
    }
  }
  lost.erase(std::remove_if(lost.begin(), lost.end(), isGivenUp), lost.end());
}

} // namespace quetzalquay
