// The part of TargetTable that tells targets which have died from those that
// this host does not reach.

#include "core/TargetTable.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

void
TargetTable::SetReachCheck(ReachCheck aCheck)
{
  mReachCheck = std::move(aCheck);
}

ReachState
TargetTable::ReachOf(const std::string& aService) const
{
  return mReachCheck ? mReachCheck(aService) : ReachState::Reached;
}

void
TargetTable::OnCutBelieved(const std::string& aService)
{
  ForgetGone(aService);
  for (const std::string& it : mTargetsByService[aService]) {
    ForgetLosses(mTargets.at(it));
  }
}

void
TargetTable::OnCutDenied(const std::string& aService, Time aNow)
{
  for (const std::string& it : mTargetsByService[aService]) {
    Target& target = mTargets.at(it);
    const auto refusedAt = std::exchange(target.mHeldDeathAt, std::nullopt);
    if (refusedAt && target.mAliveAt <= *refusedAt) {
      OnDeath(target, DeathEvidence::Refused, aNow);
    }
  }
}

void
TargetTable::OnCutEnded(const std::string& aService)
{
  ForgetGone(aService);
  for (const std::string& it : mTargetsByService[aService]) {
    Target& target = mTargets.at(it);
    ForgetLosses(target);
    if (!target.mLostLocally) {
      continue;
    }
    mLossTimesByPlace.erase(target.mDeclaration.mPlace);
    target.mLostAt = Time();
    target.mLostLocally = false;
    target.mBrokenAt = Time();
    target.mDownUntil = Time();
    target.mDoubtUntil = Time();
  }
}

// Forgets what a cut has done to a target's attempts.
void
TargetTable::ForgetLosses(Target& aTarget)
{
  aTarget.mHeldDeathAt.reset();
  auto& lost = aTarget.mLostAttempts;
  lost.erase(std::remove_if(lost.begin(),
                            lost.end(),
                            [](const LostAttempt& aAttempt) {
                              return MayShowDeath(aAttempt.mOutcome);
                            }),
             lost.end());
}

} // namespace quetzalquay
