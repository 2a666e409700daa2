#include "core/TargetTable.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

void
TargetTable::SetTrialCallback(TrialCallback aCallback)
{
  mOnTrialNeeded = std::move(aCallback);
}

void
TargetTable::AllowTrial(const ChoiceQuery& aQuery,
                        const std::string& aTarget,
                        Time aNow)
{
  SuspectTrial& trial = mTrials[aQuery.mContent.mHash];
  trial = SuspectTrial();
  trial.mContent = aQuery.mContent;
  trial.mRequestId = aQuery.mRequestId;
  trial.mTarget = aTarget;
  trial.mAllowedAt = aNow;
}

const SuspectTrial*
TargetTable::FindTrial(std::uint64_t aContentHash) const
{
  const auto it = mTrials.find(aContentHash);
  return it == mTrials.end() ? nullptr : &it->second;
}

void
TargetTable::EndTrial(std::uint64_t aContentHash)
{
  mTrials.erase(aContentHash);
}

void
TargetTable::AvoidForTrials(const std::string& aTarget, Time aUntil)
{
  mTrialsElsewhere[aTarget] = aUntil;
}

// Losses of the request whose targets are still being checked.
int
TargetTable::CountPendingLosses(const ChoiceQuery& aQuery, Time aNow) const
{
  return static_cast<int>(std::count_if(
    aQuery.mExcluded.begin(),
    aQuery.mExcluded.end(),
    [&](const std::string& aName) {
      const Target* target = Find(aName);
      return target != nullptr &&
             std::any_of(
               target->mLostAttempts.begin(),
               target->mLostAttempts.end(),
               [&](const LostAttempt& aAttempt) {
                 return aAttempt.mOutcome == AttemptOutcome::Lost &&
                        aAttempt.mContent.mHash == aQuery.mContent.mHash &&
                        aNow - aAttempt.mAt < mOptions.mDeathCheckTime;
               });
    }));
}

SuspectVerdict
TargetTable::JudgeSuspect(const ChoiceQuery& aQuery, Time aNow) const
{
  const SuspectVerdict verdict =
    mSuspects.Judge(aQuery.mContent, CountPendingLosses(aQuery, aNow), aNow);
  // Without trials, only retries wait for evidence, and only if lost targets
  // are checked at all.
  const bool waits =
    mOptions.mSuspectTrials ||
    (aQuery.mIsRetry && mOptions.mDeathCheckTime > Duration::zero());
  return verdict == SuspectVerdict::Unsettled && !waits ? SuspectVerdict::Free
                                                        : verdict;
}

// Asks for a trial on the best target that has none.
Choice
TargetTable::ChooseForTrial(std::vector<Target*>& aUsable,
                            const ChoiceQuery& aQuery,
                            Time aNow)
{
  for (auto it = mTrialsElsewhere.begin(); it != mTrialsElsewhere.end();) {
    it = it->second <= aNow ? mTrialsElsewhere.erase(it) : std::next(it);
  }
  const auto hasTrial = [&](const Target* aTarget) {
    const std::string& name = aTarget->mDeclaration.mName;
    return mTrialsElsewhere.count(name) != 0 ||
           std::any_of(mTrials.begin(), mTrials.end(), [&](const auto& aEntry) {
             return aEntry.second.mTarget == name;
           });
  };
  Rank(aUsable, aQuery, aNow);
  const auto target =
    std::find_if_not(aUsable.begin(), aUsable.end(), hasTrial);
  if (target != aUsable.end() && mOnTrialNeeded) {
    mOnTrialNeeded(aQuery, (*target)->mDeclaration.mName);
  }
  CancelWait(aQuery);
  Choice choice;
  choice.mStatus = ChoiceStatus::Undecided;
  return choice;
}

void
TargetTable::OnTrialStart(const std::string& aTarget,
                          std::uint64_t aContentHash,
                          Time aNow)
{
  const auto it = mTrials.find(aContentHash);
  if (it != mTrials.end() && it->second.mTarget == aTarget &&
      !it->second.mStartedAt) {
    it->second.mStartedAt = aNow;
  }
}

void
TargetTable::OnTrialEnd(const std::string& aTarget,
                        std::uint64_t aContentHash,
                        AttemptOutcome aOutcome,
                        Time aNow)
{
  const auto it = mTrials.find(aContentHash);
  if (it != mTrials.end() && it->second.mTarget == aTarget &&
      it->second.mStartedAt &&
      it->second.mOutcome.value_or(AttemptOutcome::GivenUp) ==
        AttemptOutcome::GivenUp) {
    it->second.mOutcome = aOutcome;
    it->second.mEndedAt = aNow;
  }
}

} // namespace quetzalquay
