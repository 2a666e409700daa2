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

// Keeps the target table up to date: load and cache reports of the targets that
// this router uses, and whether they still live.
class TargetPoller
{
public:
  // All must outlive this object.
  TargetPoller(EnginePort& aEngines,
               TargetDirectory& aTargets,
               const SnapshotStore& aSnapshots,
               ThreadPool& aThreads,
               RouterMetrics& aMetrics);

  // Reads each target's load with aInterval in between, its cache less often.
  void Start(Duration aInterval);
  void Stop();

  // Asks a target at once, off the calling thread, for instance since a
  // connection to it broke.
  void PollSoon(const std::string& aTarget);

  // Asks a target and waits for its answer until aAnswerBy. aIncarnation is
  // the one that the stream began with, empty when unknown.
  ProbeResult Probe(const std::string& aTarget,
                    const std::string& aIncarnation,
                    Time aAnswerBy);

private:
  void PollAll();
  void PollOne(const std::string& aTarget);
  void PollCache(const std::string& aTarget);
  std::optional<TargetAddress> AddressOf(const std::string& aTarget) const;

  EnginePort& mEngines;
  TargetDirectory& mTargets;
  const SnapshotStore& mSnapshots;
  ThreadPool& mThreads;
  RouterMetrics& mMetrics;
  std::atomic<int> mRound{ 0 };
  std::mutex mMutex;
  // Targets whose poll is under way.
  std::set<std::string> mPolling;
  std::map<std::string, int> mCacheSequence;
  PeriodicThread mThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_TARGETPOLLER_H_INCLUDED
