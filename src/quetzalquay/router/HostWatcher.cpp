#include "router/HostWatcher.h"

#include "config/Snapshot.h"
#include "config/SnapshotStore.h"
#include "observe/Log.h"
#include "router/SessionRegistry.h"
#include "router/TargetDirectory.h"

#include <chrono>
#include <vector>

namespace quetzalquay {

namespace {

constexpr Duration kLookPause = std::chrono::milliseconds(1000);
constexpr Duration kReadTimeout = std::chrono::milliseconds(1000);

// Time before a host's stop at which its last streams move elsewhere.
constexpr double kMoveBeforeStopMs = 3000;

double
UnixMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

} // namespace

HostWatcher::HostWatcher(HostListPort& aHosts,
                         const SnapshotStore& aSnapshots,
                         TargetDirectory& aTargets,
                         SessionRegistry& aSessions)
  : mHosts(aHosts)
  , mSnapshots(aSnapshots)
  , mTargets(aTargets)
  , mSessions(aSessions)
{
}

void
HostWatcher::Start()
{
  mThread.Start(kLookPause, [this] { Look(); });
}

void
HostWatcher::Stop()
{
  mThread.Stop();
}

void
HostWatcher::Look()
{
  const auto hosts = mHosts.ReadHosts(kReadTimeout);
  if (!hosts) {
    return;
  }
  const double now = UnixMs();
  for (const HostState& it : *hosts) {
    if (it.mLeaving) {
      OnLeaving(it, now);
    }
  }
}

void
HostWatcher::OnLeaving(const HostState& aHost, double aNowMs)
{
  std::vector<std::string> targets;
  {
    const SnapshotReader snapshot(mSnapshots);
    if (snapshot.Get() == nullptr) {
      return;
    }
    for (const auto& it : snapshot->Declared().targets()) {
      if (it.address() == aHost.mAddress || it.name() == aHost.mName) {
        targets.push_back(it.name());
      }
    }
  }
  const bool stopsSoon =
    aHost.mStopAtMs > 0 && aHost.mStopAtMs - aNowMs < kMoveBeforeStopMs;
  for (const std::string& it : targets) {
    mTargets.With([&it](TargetTable& aTable) { aTable.MarkLeaving(it); });
    if (stopsSoon && mSessions.MoveAway(it) > 0) {
      Log(LogLevel::Info, "hosts", "moving streams away", { { "target", it } });
    }
  }
}

} // namespace quetzalquay
