#ifndef QUETZALQUAY_CORE_ROLLOUT_ROLLOUTCHOOSER_H_INCLUDED
#define QUETZALQUAY_CORE_ROLLOUT_ROLLOUTCHOOSER_H_INCLUDED

#include "core/TargetChooser.h"
#include "core/rollout/RolloutMember.h"

namespace quetzalquay {

// Chooses targets of the version that a rollout allows for each new request,
// and otherwise as another chooser does. A request that the new version has no
// room for goes to the one before. Streams that have begun keep their version.
class RolloutChooser : public TargetChooser
{
public:
  RolloutChooser(const RolloutMember& aMember, TargetChooser& aTargets);

  Choice Choose(const ChoiceQuery& aQuery, Time aNow) override;
  void CancelWait(const ChoiceQuery& aQuery) override;

private:
  const RolloutMember& mMember;
  TargetChooser& mTargets;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_ROLLOUT_ROLLOUTCHOOSER_H_INCLUDED
