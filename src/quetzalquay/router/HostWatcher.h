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

// Polls the platform's list of hosts. Targets on leaving hosts get no new
// requests, and streams still open shortly before their host stops are migrated
// to other targets.
class HostWatcher
{
public:
  // All arguments must outlive this object.
  HostWatcher(HostListPort& aHostList,
              const SnapshotStore& aSnapshots,
              TargetDirectory& aTargets,
              SessionRegistry& aSessions);

  // Starts polling.
  void Start();

  // Stops polling.
  void Stop();

private:
  void PollHosts();
  void OnHostLeaving(const HostState& aHost, double aNowMs);

  HostListPort& mHostList;
  const SnapshotStore& mSnapshots;
  TargetDirectory& mTargets;
  SessionRegistry& mSessions;
  PeriodicThread mThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_HOSTWATCHER_H_INCLUDED
