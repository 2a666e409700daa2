#ifndef QUETZALQUAY_ROUTER_PERIODICTHREAD_H_INCLUDED
#define QUETZALQUAY_ROUTER_PERIODICTHREAD_H_INCLUDED

#include "core/Time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace quetzalquay {

// Calls a function again and again on a thread of its own.
class PeriodicThread
{
public:
  PeriodicThread() = default;
  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;
  ~PeriodicThread() { Stop(); }

  // Starts calling aFunction, with aPause between two calls.
  void Start(Duration aPause, std::function<void()> aFunction);

  // Calls the function without waiting for the pause to end.
  void Wake();

  // Waits for a running call and ends the thread. Idempotent.
  void Stop();

private:
  void Work(Duration aPause, const std::function<void()>& aFunction);

  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mStopping = false;
  bool mWoken = false;
  std::thread mThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_PERIODICTHREAD_H_INCLUDED
