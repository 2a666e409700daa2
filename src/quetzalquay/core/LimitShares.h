#ifndef QUETZALQUAY_CORE_LIMITSHARES_H_INCLUDED
#define QUETZALQUAY_CORE_LIMITSHARES_H_INCLUDED

#include "core/Time.h"

#include <map>
#include <string>
#include <vector>

namespace quetzalquay {

// Divides each workspace's limits between the routers in proportion to their
// demand, without writing to the store. Every router reports its demand to some
// peers; the demand of a router that has not reported is estimated as the mean
// of the known ones. Performs no I/O; not thread-safe.
class LimitShares
{
public:
  // aRouters is the number of routers in the deployment, including this one.
  explicit LimitShares(int aRouters);

  // Records that a request of a workspace has arrived at this router.
  void OnArrival(const std::string& aWorkspace, Time aNow);

  // Records the demand of a peer by workspace, in requests per second.
  void OnPeerDemand(const std::string& aPeer,
                    const std::map<std::string, double>& aDemand,
                    Time aNow);

  // Returns the share of a workspace's limits that this router may use, from 0
  // to 1.
  double ShareOf(const std::string& aWorkspace, Time aNow);

  // Demand of a workspace at this router, in requests per second.
  struct Demand
  {
    std::string mWorkspace;
    double mRate = 0;
  };

  // Returns the largest demands at this router, in descending order; their
  // number is bounded.
  std::vector<Demand> OwnDemand(Time aNow);

private:
  struct LocalRate
  {
    double mRate = 0;
    Time mAt;
  };

  struct Peer
  {
    std::map<std::string, double> mDemand;
    Time mAt;
  };

  static double RateAt(const LocalRate& aLocal, Time aNow);

  int mRouters;
  std::map<std::string, LocalRate> mLocalRates;
  std::map<std::string, Peer> mPeers;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_LIMITSHARES_H_INCLUDED
