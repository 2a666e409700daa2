#ifndef QUETZALQUAY_ROUTER_TARGETPOLLER_H_INCLUDED
#define QUETZALQUAY_ROUTER_TARGETPOLLER_H_INCLUDED

#include "ports/EnginePort.h"
#include "router/PeriodicThread.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace quetzalquay {

class RouterMetrics;
class SnapshotStore;
class TargetDirectory;
class ThreadPool;

// Keeps the target table up to date with the load, cache contents and liveness
// of the targets that this router uses. Thread-safe.
class TargetPoller
{
public:
  // All arguments must outlive this object.
  TargetPoller(EnginePort& aEngines,
               TargetDirectory& aTargets,
               const SnapshotStore& aSnapshots,
               ThreadPool& aThreads,
               RouterMetrics& aMetrics);

  // Starts reading each target's load every aInterval, and its cache events
  // less often.
  void Start(Duration aInterval);

  // Stops polling; polls in progress may still finish.
  void Stop();

  // Polls a target immediately on another thread, for instance because a
  // connection to it broke. Does nothing if such a poll is already in progress.
  void PollAsync(const std::string& aTarget);

  // Reads a target's load and waits for the response until aDeadline.
  // aIncarnation is the incarnation that the stream started on, empty if
  // unknown; a different one in the response means that the target has
  // restarted, and the result is Dead.
  ProbeResult Probe(const std::string& aTarget,
                    const std::string& aIncarnation,
                    Time aDeadline);

private:
  void PollAll();
  void PollLoad(const std::string& aTarget);
  void PollCache(const std::string& aTarget);
  std::optional<TargetAddress> AddressOf(const std::string& aTarget) const;

  EnginePort& mEngines;
  TargetDirectory& mTargets;
  const SnapshotStore& mSnapshots;
  ThreadPool& mThreads;
  RouterMetrics& mMetrics;
  std::atomic<int> mPollRound{ 0 };
  std::mutex mMutex;
  // Targets whose load is being polled.
  std::set<std::string> mPolling;
  // Last cache event read, by target.
  std::map<std::string, int> mCacheSequence;
  PeriodicThread mThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_TARGETPOLLER_H_INCLUDED
