#include "wire/ThreadPool.h"

#include <utility>

namespace quetzalquay {

namespace {

constexpr std::size_t kStackBytes = 512U << 10;

} // namespace

ThreadPool::ThreadPool(std::size_t aMaxThreads)
  : mMaxThreads(aMaxThreads)
{
}

ThreadPool::~ThreadPool()
{
  Stop();
}

void
ThreadPool::Submit(Task aTask)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mTasks.push_back(std::move(aTask));
    if (mTasks.size() > mIdleThreads && mThreads.size() < mMaxThreads) {
      StartThread();
    }
  }
  mTaskAvailable.notify_one();
}

void
ThreadPool::Stop()
{
  std::vector<pthread_t> threads;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
    threads.swap(mThreads);
  }
  mTaskAvailable.notify_all();
  for (const pthread_t it : threads) {
    pthread_join(it, nullptr);
  }
}

std::size_t
ThreadPool::ThreadCount() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mThreads.size();
}

void*
ThreadPool::ThreadMain(void* aPool)
{
  static_cast<ThreadPool*>(aPool)->RunTasks();
  return nullptr;
}

void
ThreadPool::RunTasks()
{
  std::unique_lock<std::mutex> lock(mMutex);
  for (;;) {
    ++mIdleThreads;
    mTaskAvailable.wait(lock, [this] { return mStopping || !mTasks.empty(); });
    --mIdleThreads;
    if (mTasks.empty()) {
      return;
    }
    const Task task = std::move(mTasks.front());
    mTasks.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

void
ThreadPool::StartThread()
{
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kStackBytes);
  pthread_t thread = 0;
  if (pthread_create(&thread, &attributes, &ThreadMain, this) == 0) {
    mThreads.push_back(thread);
  }
  pthread_attr_destroy(&attributes);
}

} // namespace quetzalquay
