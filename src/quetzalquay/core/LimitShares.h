#ifndef QUETZALQUAY_CORE_LIMITSHARES_H_INCLUDED
#define QUETZALQUAY_CORE_LIMITSHARES_H_INCLUDED

#include "core/Time.h"

#include <map>
#include <string>
#include <vector>

namespace quetzalquay {

// Divides each workspace's limits over the routers by what each of them is
// asked for, without a write to the store. Every router tells its demand to
// some peers; the demand of those not heard is taken as the mean of the heard.
// Pure logic; not safe for concurrent use.
class LimitShares
{
public:
  // aRouters counts the deployment's routers, this one included.
  explicit LimitShares(int aRouters);

  // A request of a workspace has arrived here.
  void OnArrival(const std::string& aWorkspace, Time aNow);

  // A peer has told its demand, in requests a second.
  void OnPeer(const std::string& aPeer,
              const std::map<std::string, double>& aDemand,
              Time aNow);

  // Share of a workspace's limits that this router may give, from 0 to 1.
  double ShareOf(const std::string& aWorkspace, Time aNow);

  // Workspace and its demand here, in requests a second.
  struct Demand
  {
    std::string mWorkspace;
    double mRate = 0;
  };

  // The largest demands, a bounded number of them.
  std::vector<Demand> OwnDemand(Time aNow);

private:
  struct Own
  {
    double mRate = 0;
    Time mAt;
  };

  struct Peer
  {
    std::map<std::string, double> mDemand;
    Time mAt;
  };

  static double RateAt(const Own& aOwn, Time aNow);

  int mRouters;
  std::map<std::string, Own> mOwn;
  std::map<std::string, Peer> mPeers;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_LIMITSHARES_H_INCLUDED
