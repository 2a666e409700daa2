#include "router/TargetPoller.h"

#include "config/Snapshot.h"
#include "config/SnapshotStore.h"
#include "observe/RouterMetrics.h"
#include "router/TargetDirectory.h"
#include "wire/ThreadPool.h"

#include <algorithm>
#include <cstdlib>

namespace quetzalquay {

namespace {

// Load polls per poll of cache events.
constexpr int kRoundsPerCachePoll = 4;
constexpr Duration kPollTimeout = std::chrono::milliseconds(800);

Time
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

TargetPoller::TargetPoller(EnginePort& aEngines,
                           TargetDirectory& aTargets,
                           const SnapshotStore& aSnapshots,
                           ThreadPool& aThreads,
                           RouterMetrics& aMetrics)
  : mEngines(aEngines)
  , mTargets(aTargets)
  , mSnapshots(aSnapshots)
  , mThreads(aThreads)
  , mMetrics(aMetrics)
{
}

void
TargetPoller::Start(Duration aInterval)
{
  mThread.Start(aInterval, [this] { PollAll(); });
}

void
TargetPoller::Stop()
{
  mThread.Stop();
}

void
TargetPoller::PollAsync(const std::string& aTarget)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!mPolling.insert(aTarget).second) {
      return;
    }
  }
  mThreads.Submit([this, aTarget] {
    PollLoad(aTarget);
    const std::lock_guard<std::mutex> lock(mMutex);
    mPolling.erase(aTarget);
  });
}

ProbeResult
TargetPoller::Probe(const std::string& aTarget,
                    const std::string& aIncarnation,
                    Time aDeadline)
{
  const auto address = AddressOf(aTarget);
  if (!address) {
    return ProbeResult::NoAnswer;
  }
  const auto remaining =
    std::chrono::duration_cast<Duration>(aDeadline - Now());
  const Duration timeout =
    std::max<Duration>(remaining, std::chrono::milliseconds(1));
  bool refused = false;
  const auto report = mEngines.ReadLoad(*address, timeout, refused);
  if (!report) {
    mTargets.WithLock([&](TargetTable& aTable) {
      refused ? aTable.OnRefused(aTarget, Now())
              : aTable.OnUnresponsive(aTarget, Now());
    });
    return refused ? ProbeResult::Dead : ProbeResult::NoAnswer;
  }
  mTargets.WithLock([&](TargetTable& aTable) {
    aTable.OnLoadReport(aTarget,
                        report->mIncarnation,
                        report->mState,
                        report->mRunning,
                        report->mWaiting,
                        Now());
  });
  const bool restarted =
    !aIncarnation.empty() && report->mIncarnation != aIncarnation;
  return restarted ? ProbeResult::Dead : ProbeResult::Alive;
}

void
TargetPoller::PollAll()
{
  const auto names =
    mTargets.WithLock([](TargetTable& aTable) { return aTable.Subset(); });
  const int round = mPollRound.fetch_add(1);
  for (const std::string& it : names) {
    PollAsync(it);
    if (round % kRoundsPerCachePoll == 0) {
      mThreads.Submit([this, it] { PollCache(it); });
    }
  }
}

void
TargetPoller::PollLoad(const std::string& aTarget)
{
  mMetrics.Add(RouterCounter::PollCalls);
  Probe(aTarget, std::string(), Now() + kPollTimeout);
}

void
TargetPoller::PollCache(const std::string& aTarget)
{
  const auto address = AddressOf(aTarget);
  if (!address) {
    return;
  }
  int after = 0;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    after = mCacheSequence[aTarget];
  }
  const auto report = mEngines.ReadCache(*address, after, kPollTimeout);
  if (!report) {
    return;
  }
  mMetrics.Add(RouterCounter::PollCalls);
  const bool restarted = report->mNewestSequence < after;
  const bool gap = restarted || report->mOldestSequence > after + 1;
  mTargets.WithLock([&](TargetTable& aTable) {
    if (gap) {
      aTable.OnCacheEventsLost(aTarget);
    }
    for (const auto& it : report->mEntries) {
      const auto hash = std::strtoull(it.mPrefixHash.c_str(), nullptr, 16);
      aTable.OnCacheEvent(aTarget, hash, it.mStored);
    }
  });
  const std::lock_guard<std::mutex> lock(mMutex);
  mCacheSequence[aTarget] = restarted ? 0 : report->mNewestSequence;
}

std::optional<TargetAddress>
TargetPoller::AddressOf(const std::string& aTarget) const
{
  const SnapshotReader snapshot(mSnapshots);
  if (snapshot.Get() == nullptr) {
    return std::nullopt;
  }
  return snapshot->AddressOf(aTarget);
}

} // namespace quetzalquay
