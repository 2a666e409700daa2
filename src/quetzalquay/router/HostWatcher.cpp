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

constexpr Duration kPollInterval = std::chrono::milliseconds(1000);
constexpr Duration kReadTimeout = std::chrono::milliseconds(1000);

// Time before a host's stop at which its remaining streams are migrated.
constexpr double kMigrateBeforeStopMs = 3000;

double
UnixTimeMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

} // namespace

HostWatcher::HostWatcher(HostListPort& aHostList,
                         const SnapshotStore& aSnapshots,
                         TargetDirectory& aTargets,
                         SessionRegistry& aSessions)
  : mHostList(aHostList)
  , mSnapshots(aSnapshots)
  , mTargets(aTargets)
  , mSessions(aSessions)
{
}

void
HostWatcher::Start()
{
  mThread.Start(kPollInterval, [this] { PollHosts(); });
}

void
HostWatcher::Stop()
{
  mThread.Stop();
}

void
HostWatcher::PollHosts()
{
  const auto hosts = mHostList.ReadHosts(kReadTimeout);
  if (!hosts) {
    return;
  }
  const double now = UnixTimeMs();
  for (const HostState& it : *hosts) {
    if (it.mLeaving) {
      OnHostLeaving(it, now);
    }
  }
}

void
HostWatcher::OnHostLeaving(const HostState& aHost, double aNowMs)
{
  std::vector<std::string> targets;
  {
    const SnapshotReader snapshot(mSnapshots);
    if (snapshot.Get() == nullptr) {
      return;
    }
    for (const auto& it : snapshot->DeclaredResources().targets()) {
      if (it.address() == aHost.mAddress || it.name() == aHost.mName) {
        targets.push_back(it.name());
      }
    }
  }
  const bool stopsSoon =
    aHost.mStopAtMs > 0 && aHost.mStopAtMs - aNowMs < kMigrateBeforeStopMs;
  for (const std::string& it : targets) {
    mTargets.WithLock([&it](TargetTable& aTable) { aTable.MarkLeaving(it); });
    if (stopsSoon && mSessions.NotifyTargetStopping(it) > 0) {
      Log(LogLevel::Info,
          "hosts",
          "migrating streams off a leaving host",
          { { "target", it } });
    }
  }
}

} // namespace quetzalquay
