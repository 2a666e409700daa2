#ifndef QUETZALQUAY_ROUTER_HOSTWATCHER_H_INCLUDED
#define QUETZALQUAY_ROUTER_HOSTWATCHER_H_INCLUDED

#include "ports/PlatformPorts.h"
#include "router/PeriodicThread.h"

#include <set>
#include <string>

namespace quetzalquay {

class SessionRegistry;
class SnapshotStore;
class TargetDirectory;

// Follows the platform's list of hosts: targets on leaving hosts get no new
// work, and streams that would not end before the host stops move elsewhere.
class HostWatcher
{
public:
  // All must outlive this object.
  HostWatcher(HostListPort& aHosts,
              const SnapshotStore& aSnapshots,
              TargetDirectory& aTargets,
              SessionRegistry& aSessions);

  void Start();
  void Stop();

private:
  void Look();
  void OnLeaving(const HostState& aHost, double aNowMs);

  HostListPort& mHosts;
  const SnapshotStore& mSnapshots;
  TargetDirectory& mTargets;
  SessionRegistry& mSessions;
  PeriodicThread mThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_HOSTWATCHER_H_INCLUDED
