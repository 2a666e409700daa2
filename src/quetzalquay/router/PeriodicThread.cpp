#include "router/PeriodicThread.h"

#include <utility>

namespace quetzalquay {

void
PeriodicThread::Start(Duration aPause, std::function<void()> aFunction)
{
  mThread = std::thread([this, aPause, function = std::move(aFunction)] {
    Work(aPause, function);
  });
}

void
PeriodicThread::Wake()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mWoken = true;
  mChanged.notify_all();
}

void
PeriodicThread::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
    mChanged.notify_all();
  }
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
PeriodicThread::Work(Duration aPause, const std::function<void()>& aFunction)
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopping) {
    mWoken = false;
    lock.unlock();
    aFunction();
    lock.lock();
    mChanged.wait_for(lock, aPause, [this] { return mStopping || mWoken; });
  }
}

} // namespace quetzalquay
