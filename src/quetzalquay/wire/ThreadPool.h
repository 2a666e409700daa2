#ifndef QUETZALQUAY_WIRE_THREADPOOL_H_INCLUDED
#define QUETZALQUAY_WIRE_THREADPOOL_H_INCLUDED

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <pthread.h>
#include <vector>

namespace quetzalquay {

// Runs tasks on POSIX threads with small stacks. Starts a thread when no idle
// one is left, up to a limit; later tasks wait for a free thread.
class ThreadPool
{
public:
  using Task = std::function<void()>;

  // aMaxThreads is the largest number of threads.
  explicit ThreadPool(std::size_t aMaxThreads);
  ThreadPool(const ThreadPool&) = delete;
  ThreadPool& operator=(const ThreadPool&) = delete;

  // Calls Stop.
  ~ThreadPool();

  // Queues a task, which runs as soon as a thread is free.
  void Submit(Task aTask);

  // Runs the queued tasks to their end and joins all threads. Idempotent.
  void Stop();

  // Number of running threads; 0 after Stop.
  std::size_t ThreadCount() const;

private:
  static void* ThreadMain(void* aPool);
  void RunTasks();
  void StartThread();

  mutable std::mutex mMutex;
  std::condition_variable mTaskAvailable;
  std::deque<Task> mTasks;
  std::vector<pthread_t> mThreads;
  std::size_t mMaxThreads;
  std::size_t mIdleThreads = 0;
  bool mStopping = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_THREADPOOL_H_INCLUDED
