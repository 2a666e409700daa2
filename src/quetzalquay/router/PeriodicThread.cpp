#include "router/PeriodicThread.h"

#include <utility>

namespace quetzalquay {

void
PeriodicThread::Start(Duration aInterval, std::function<void()> aFunction)
{
  mThread = std::thread([this, aInterval, function = std::move(aFunction)] {
    RunLoop(aInterval, function);
  });
}

void
PeriodicThread::Wake()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mWakeRequested = true;
  mWakeUp.notify_all();
}

void
PeriodicThread::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
    mWakeUp.notify_all();
  }
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
PeriodicThread::RunLoop(Duration aInterval,
                        const std::function<void()>& aFunction)
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopping) {
    mWakeRequested = false;
    lock.unlock();
    aFunction();
    lock.lock();
    mWakeUp.wait_for(
      lock, aInterval, [this] { return mStopping || mWakeRequested; });
  }
}

} // namespace quetzalquay
