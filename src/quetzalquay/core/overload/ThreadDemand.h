#ifndef QUETZALQUAY_CORE_OVERLOAD_THREADDEMAND_H_INCLUDED
#define QUETZALQUAY_CORE_OVERLOAD_THREADDEMAND_H_INCLUDED

#include "core/Time.h"

#include <atomic>

namespace quetzalquay {

// Whether requests wait for a thread, so that what takes one without progress
// gives way. A request that an idle thread is about to take does not count.
// Thread-safe.
class ThreadDemand
{
public:
  // Time that an idle thread takes at most to start on a request.
  static constexpr Duration kDispatchTime = std::chrono::milliseconds(50);

  // The request that has waited for longest waits since aSince; Time::max() if
  // none waits.
  void SetWaitingSince(Time aSince) { mWaitingSince = aSince; }

  // Whether a request waits for a thread that none has taken up in time.
  bool IsShort(Time aNow) const
  {
    const Time since = mWaitingSince;
    return since != Time::max() && aNow - since > kDispatchTime;
  }

  // The server is stopping: nothing may take a thread for long.
  void Stop() { mStopping = true; }
  bool IsStopping() const { return mStopping; }

private:
  std::atomic<Time> mWaitingSince{ Time::max() };
  std::atomic<bool> mStopping{ false };
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_OVERLOAD_THREADDEMAND_H_INCLUDED
