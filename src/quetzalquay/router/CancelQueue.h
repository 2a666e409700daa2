#ifndef QUETZALQUAY_ROUTER_CANCELQUEUE_H_INCLUDED
#define QUETZALQUAY_ROUTER_CANCELQUEUE_H_INCLUDED

#include "ports/EnginePort.h"
#include "router/PeriodicThread.h"

#include <deque>
#include <mutex>
#include <string>

namespace quetzalquay {

class ThreadPool;

// Tells targets to stop generations that nobody reads any more. Repeats until
// the target confirms, so that a paused engine stops soon after it wakes.
class CancelQueue
{
public:
  // Both must outlive this object.
  CancelQueue(EnginePort& aEngines, ThreadPool& aThreads);
  ~CancelQueue();

  // Starts the repeats.
  void Start();
  void Stop();

  // Cancels an attempt of a generation; returns at once.
  void Add(const TargetAddress& aTarget,
           const std::string& aGeneration,
           int aAttempt);

  // Cancels that have not been confirmed yet.
  std::size_t Size() const;

private:
  struct Entry
  {
    TargetAddress mTarget;
    std::string mGeneration;
    int mAttempt = 0;
    Time mGiveUpAt;
  };

  void Try(Entry aEntry);
  void Repeat();

  EnginePort& mEngines;
  ThreadPool& mThreads;
  mutable std::mutex mMutex;
  std::deque<Entry> mUnconfirmed;
  PeriodicThread mRepeats;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_CANCELQUEUE_H_INCLUDED
