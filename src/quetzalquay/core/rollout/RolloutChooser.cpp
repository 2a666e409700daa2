#include "core/rollout/RolloutChooser.h"

namespace quetzalquay {

RolloutChooser::RolloutChooser(const RolloutMember& aMember,
                               TargetChooser& aTargets)
  : mMember(aMember)
  , mTargets(aTargets)
{
}

Choice
RolloutChooser::Choose(const ChoiceQuery& aQuery, Time aNow)
{
  // A stream that has begun, or that its caller takes up, has its version.
  if (!aQuery.mSoftwareVersion.empty()) {
    return mTargets.Choose(aQuery, aNow);
  }
  ChoiceQuery query = aQuery;
  query.mVersionChoice =
    mMember.ChooseVersion(aQuery.mService, aQuery.mRequestId, aNow);
  Choice choice = mTargets.Choose(query, aNow);
  if (query.mVersionChoice.mUse == VersionUse::New &&
      (choice.mStatus == ChoiceStatus::NoneReady ||
       choice.mStatus == ChoiceStatus::Busy ||
       choice.mStatus == ChoiceStatus::AskedToWait)) {
    query.mVersionChoice.mUse = VersionUse::Old;
    query.mVersionChoice.mTargets.clear();
    choice = mTargets.Choose(query, aNow);
  } else if (query.mVersionChoice.mUse == VersionUse::Old &&
             choice.mStatus == ChoiceStatus::NoneReady &&
             mMember.MayReplaceOld(aQuery.mService, aNow)) {
    query.mVersionChoice.mUse = VersionUse::New;
    choice = mTargets.Choose(query, aNow);
  }
  return choice;
}

void
RolloutChooser::CancelWait(const ChoiceQuery& aQuery)
{
  mTargets.CancelWait(aQuery);
}

} // namespace quetzalquay
