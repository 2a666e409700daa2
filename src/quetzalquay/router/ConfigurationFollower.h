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

// Keeps a router's configuration at the newest revision that the store or any
// peer has, and tells until when it is recent enough to serve with. Safe for
// concurrent use.
class ConfigurationFollower
{
public:
  // aStore is null when the configuration is only what the settings give; then
  // it is always recent enough. The others must outlive this object.
  ConfigurationFollower(TableStorePort* aStore,
                        SnapshotStore& aSnapshots,
                        TargetDirectory& aTargets,
                        RouterMetrics& aMetrics,
                        std::string aPlace,
                        int aRouters);

  // Starts following the store.
  void Start();
  void Stop();

  // Puts a configuration in force if it is newer; it has passed its checks.
  void Apply(const schema::Configuration& aConfiguration);

  // A peer has told its revision, and whether it has lately read the store.
  void OnPeer(const std::string& aPeer, unsigned aRevision, bool aStoreReached);

  // Puts a peer's configuration, as JSON, in force if it is newer.
  void TakeFromPeer(const std::string& aConfiguration);

  // Whether new requests may be served now. Lock-free.
  bool MayServe() const;

  // Whether the store has lately been read here.
  bool StoreReached();

  // Reads the store at once.
  void ReadSoon() { mThread.Wake(); }

private:
  void ReadStore();
  void Publish();

  TableStorePort* mStore;
  SnapshotStore& mSnapshots;
  TargetDirectory& mTargets;
  RouterMetrics& mMetrics;
  std::string mPlace;
  std::mutex mMutex;
  ConfigurationFreshness mFreshness;
  // Until when requests may be served, in ticks of the steady clock.
  std::atomic<Time::rep> mServeUntil{ 0 };
  PeriodicThread mThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_CONFIGURATIONFOLLOWER_H_INCLUDED
