#ifndef QUETZALQUAY_CORE_CALLPACER_H_INCLUDED
#define QUETZALQUAY_CORE_CALLPACER_H_INCLUDED

#include "core/Time.h"

#include <algorithm>

namespace quetzalquay {

// Decides when calls may be made that keep to an average rate, a few of which
// may follow each other at once. Performs no I/O; not thread-safe.
class CallPacer
{
public:
  // aBurst is the number of calls that may be made at once after a pause.
  explicit CallPacer(int aBurst)
    : mBurst(aBurst)
  {
  }

  // When the next call may be made at the earliest, with one call each
  // aInterval on average.
  Time EarliestCall(Duration aInterval) const
  {
    return mNextTurn - aInterval * (mBurst - 1);
  }

  // A call is made.
  void OnCall(Duration aInterval, Time aNow)
  {
    mNextTurn = std::max(mNextTurn, aNow) + aInterval;
  }

private:
  int mBurst;
  // When the next call would be due if calls kept exactly to the interval.
  Time mNextTurn;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_CALLPACER_H_INCLUDED
