#ifndef QUETZALQUAY_ROUTER_PERIODICTHREAD_H_INCLUDED
#define QUETZALQUAY_ROUTER_PERIODICTHREAD_H_INCLUDED

#include "core/Time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace quetzalquay {

// Calls a function periodically on a dedicated thread.
class PeriodicThread
{
public:
  PeriodicThread() = default;
  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;
  ~PeriodicThread() { Stop(); }

  // Starts calling aFunction, at first immediately, then with aInterval between
  // the end of one call and the start of the next.
  void Start(Duration aInterval, std::function<void()> aFunction);

  // Ends the current wait so that the next call starts immediately.
  void Wake();

  // Waits for a call in progress and ends the thread. Idempotent.
  void Stop();

private:
  void RunLoop(Duration aInterval, const std::function<void()>& aFunction);

  std::mutex mMutex;
  std::condition_variable mWakeUp;
  bool mStopping = false;
  bool mWakeRequested = false;
  std::thread mThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_PERIODICTHREAD_H_INCLUDED
