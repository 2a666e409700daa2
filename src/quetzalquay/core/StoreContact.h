#ifndef QUETZALQUAY_CORE_STORECONTACT_H_INCLUDED
#define QUETZALQUAY_CORE_STORECONTACT_H_INCLUDED

#include "core/Time.h"

namespace quetzalquay {

// How a call to the store ended.
enum class StoreCallEnd
{
  Answered,
  // An error status, an invalid response or a closed connection.
  Rejected,
  // No response before the deadline.
  TimedOut,
};

// Decides from the ends of a host's calls whether the host can reach the store.
//
// Several calls are open at a time, some for seconds. A call that was lost may
// be given up long after the store has answered later calls, so a missing
// response says nothing unless the call was sent after the last answer.
// Performs no I/O; not thread-safe.
class StoreContact
{
public:
  // The store counts as unreachable until it has answered a call.
  explicit StoreContact(Time aNow)
    : mUnreachableSince(aNow)
  {
  }

  // A call that was sent at aSentAt has ended. Returns whether the store has
  // become reachable or unreachable by that.
  bool OnCallEnded(StoreCallEnd aEnd, Time aSentAt, Time aNow);

  bool IsReachable() const { return mUnreachableSince == Time::max(); }

  // When the store became unreachable, Time::max() while it is reachable.
  Time UnreachableSince() const { return mUnreachableSince; }

private:
  Time mUnreachableSince;
  Time mLastAnswerAt;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_STORECONTACT_H_INCLUDED
