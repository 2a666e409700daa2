#ifndef QUETZALQUAY_ROUTER_PEERLINK_H_INCLUDED
#define QUETZALQUAY_ROUTER_PEERLINK_H_INCLUDED

#include "generated/settings.pb.h"
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

// Exchanges news with other routers: the configuration's revision, leaving
// targets and suspected requests. Each round goes to a fixed number of peers,
// so that the cost does not grow with the deployment.
class PeerLink
{
public:
  // All must outlive this object.
  PeerLink(const schema::RouterSettings& aSettings,
           const std::string& aIncarnation,
           ConfigurationFollower& aFollower,
           const SnapshotStore& aSnapshots,
           TargetDirectory& aTargets,
           RouterMetrics& aMetrics);

  // Where demand is read and told to; set before Start.
  void UseDemand(CallerApi& aApi) { mApi = &aApi; }

  // Serves peers and starts the rounds. Returns nothing on success, else the
  // reason.
  std::optional<std::string> Start();
  void Stop();

private:
  void Round();
  void ExchangeWith(const schema::Peer& aPeer);
  std::string OnExchange(const std::string& aNews);
  schema::PeerNews OwnNews();
  void Take(const schema::PeerNews& aNews);

  const schema::RouterSettings& mSettings;
  std::string mIncarnation;
  ConfigurationFollower& mFollower;
  const SnapshotStore& mSnapshots;
  TargetDirectory& mTargets;
  RouterMetrics& mMetrics;
  CallerApi* mApi = nullptr;
  PeerRpcServer mRpc;
  HttpServer mServer;
  std::size_t mNextPeer = 0;
  PeriodicThread mThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_PEERLINK_H_INCLUDED
