#ifndef QUETZALQUAY_ROUTER_CONFIGURATIONFOLLOWER_H_INCLUDED
#define QUETZALQUAY_ROUTER_CONFIGURATIONFOLLOWER_H_INCLUDED

#include "core/ConfigurationFreshness.h"
#include "generated/settings.pb.h"
#include "router/PeriodicThread.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

namespace quetzalquay {

class RouterMetrics;
class SnapshotStore;
class TableStorePort;
class TargetDirectory;

// Keeps a router's configuration at the newest revision known to the store or
// to any peer, and tracks how long that configuration is recent enough to serve
// requests. Thread-safe.
class ConfigurationFollower
{
public:
  // aStore is null when the configuration comes from the settings alone; it is
  // then always recent enough. aPlace is this router's place, aRouterCount the
  // number of routers in the deployment, this one included. aStore and all
  // references must outlive this object.
  ConfigurationFollower(TableStorePort* aStore,
                        SnapshotStore& aSnapshots,
                        TargetDirectory& aTargets,
                        RouterMetrics& aMetrics,
                        std::string aPlace,
                        int aRouterCount);

  // Reads the store once, then periodically on a thread.
  void Start();

  // Stops reading the store.
  void Stop();

  // Activates a configuration if it is newer than the active one. It must have
  // been validated.
  void Apply(const schema::Configuration& aConfiguration);

  // Handles a peer's report of its active revision and of whether it has read
  // the store recently.
  void OnPeerReport(const std::string& aPeer,
                    unsigned aRevision,
                    bool aStoreReached);

  // Validates a peer's configuration, given as JSON, and activates it if it is
  // newer. An invalid one is logged and ignored.
  void ApplyFromPeer(const std::string& aConfiguration);

  // Whether the configuration is recent enough to serve new requests now.
  // Lock-free.
  bool CanServe() const;

  // Whether this router has read the store recently.
  bool HasReadStoreRecently();

  // Triggers a read of the store without waiting for the next period.
  void TriggerRead() { mThread.Wake(); }

private:
  void ReadStore();
  void UpdateServeDeadline();

  TableStorePort* mStore;
  SnapshotStore& mSnapshots;
  TargetDirectory& mTargets;
  RouterMetrics& mMetrics;
  std::string mPlace;
  std::mutex mMutex;
  ConfigurationFreshness mFreshness;
  // Time until which new requests may be served, in ticks of the steady clock.
  std::atomic<Time::rep> mServeDeadline{ 0 };
  PeriodicThread mThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_CONFIGURATIONFOLLOWER_H_INCLUDED
