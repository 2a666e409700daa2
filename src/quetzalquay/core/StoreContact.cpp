#include "core/StoreContact.h"

namespace quetzalquay {

bool
StoreContact::OnCallEnded(StoreCallEnd aEnd, Time aSentAt, Time aNow)
{
  const bool wasReachable = IsReachable();
  if (aEnd == StoreCallEnd::Answered) {
    mLastAnswerAt = aNow;
    mUnreachableSince = Time::max();
    return !wasReachable;
  }
  const bool isOutdated =
    aEnd == StoreCallEnd::TimedOut && aSentAt <= mLastAnswerAt;
  if (!wasReachable || isOutdated) {
    return false;
  }
  mUnreachableSince = aNow;
  return true;
}

} // namespace quetzalquay
