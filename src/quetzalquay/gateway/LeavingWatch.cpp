#include "gateway/LeavingWatch.h"

#include "observe/Log.h"

namespace quetzalquay {

LeavingWatch::LeavingWatch(Fleet& aFleet, GatewayMetrics& aMetrics)
  : mFleet(aFleet)
  , mMetrics(aMetrics)
{
}

void
LeavingWatch::OnAnswer(const std::string& aTarget,
                       const std::string& aIncarnation,
                       const platform::TargetResponse& aResponse)
{
  if (!aResponse.mLeaving) {
    return;
  }
  // Another target may have replaced the expected one at its address.
  const bool replaced =
    !aResponse.mTarget.empty() && aResponse.mTarget != aTarget;
  const std::string& target = replaced ? aResponse.mTarget : aTarget;
  TargetTable& targets = mFleet.Targets();
  const std::string incarnation =
    replaced ? targets.IncarnationOf(target) : aIncarnation;
  if (!targets.OnLeavingNotice(target, incarnation)) {
    return;
  }
  mMetrics.Add(GatewayCounter::TargetsLeaving);
  Log(LogLevel::Info,
      "fleet",
      "target says that it leaves",
      { { "target", target },
        { "incarnation", incarnation },
        { "answered_for", aTarget } });
}

} // namespace quetzalquay
