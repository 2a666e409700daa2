#ifndef QUETZALQUAY_ROUTER_CANCELQUEUE_H_INCLUDED
#define QUETZALQUAY_ROUTER_CANCELQUEUE_H_INCLUDED

#include "ports/EnginePort.h"
#include "router/PeriodicThread.h"

#include <deque>
#include <mutex>
#include <string>

namespace quetzalquay {

class ThreadPool;

// Cancels abandoned generations on their targets. Each cancel is retried until
// the target confirms it or a time limit passes, so that a paused engine stops
// the generation soon after it resumes. The number of cancels that wait for a
// retry is bounded; further ones are dropped. Thread-safe.
class CancelQueue
{
public:
  // Both must outlive this object.
  CancelQueue(EnginePort& aEngines, ThreadPool& aThreads);
  ~CancelQueue();

  // Starts retrying unconfirmed cancels.
  void Start();

  // Stops retrying. Idempotent.
  void Stop();

  // Cancels one attempt of a generation without blocking.
  void Add(const TargetAddress& aTarget,
           const std::string& aGeneration,
           int aAttempt);

  // Number of unconfirmed cancels that wait for a retry, without those being
  // sent.
  std::size_t Size() const;

private:
  struct Entry
  {
    TargetAddress mTarget;
    std::string mGeneration;
    int mAttempt = 0;
    Time mDeadline;
  };

  void TryCancel(Entry aEntry);
  void RetryUnconfirmed();

  EnginePort& mEngines;
  ThreadPool& mThreads;
  mutable std::mutex mMutex;
  std::deque<Entry> mUnconfirmed;
  PeriodicThread mRetryThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_CANCELQUEUE_H_INCLUDED
