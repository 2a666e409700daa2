#ifndef QUETZALQUAY_ROUTER_PEERLINK_H_INCLUDED
#define QUETZALQUAY_ROUTER_PEERLINK_H_INCLUDED

#include "generated/settings.pb.h"
#include "observe/EvictionLog.h"
#include "peers/PeerRpc.h"
#include "router/PeriodicThread.h"
#include "wire/HttpClient.h"
#include "wire/HttpServer.h"

#include <cstddef>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzalquay {

class CallerApi;
class ConfigurationFollower;
class RouterMetrics;
class SnapshotStore;
class TargetDirectory;

namespace schema {
class PeerNews;
}

// Gossips with other routers about the configuration revision, leaving targets,
// requests suspected of crashing engines, and the demand per workspace. Each
// round contacts a fixed number of peers, so the cost of a round does not grow
// with the deployment.
class PeerLink
{
public:
  // All arguments must outlive this object.
  PeerLink(const schema::RouterSettings& aSettings,
           const std::string& aIncarnation,
           ConfigurationFollower& aFollower,
           const SnapshotStore& aSnapshots,
           TargetDirectory& aTargets,
           RouterMetrics& aMetrics);

  // Sets the source of this router's demand, which also receives that of the
  // peers. Call before Start.
  void SetCallerApi(CallerApi& aApi) { mApi = &aApi; }

  // Starts serving peers and gossiping. Returns nothing on success, otherwise
  // an error message.
  std::optional<std::string> Start();

  // Stops both.
  void Stop();

private:
  void RunRound();
  void ExchangeWith(const schema::Peer& aPeer);
  std::string OnExchange(const std::string& aNews);
  schema::PeerNews CollectNews();
  void ApplyNews(const schema::PeerNews& aNews);

  const schema::RouterSettings& mSettings;
  std::string mIncarnation;
  ConfigurationFollower& mFollower;
  const SnapshotStore& mSnapshots;
  TargetDirectory& mTargets;
  RouterMetrics& mMetrics;
  CallerApi* mApi = nullptr;
  PeerRpcServer mRpc;
  EvictionLog mEvictionLog{ "peers" };
  HttpServer mServer;
  std::size_t mNextPeer = 0;
  PeriodicThread mThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_PEERLINK_H_INCLUDED
