#ifndef QUETZALQUAY_CONTROL_POOLCONTROLLER_H_INCLUDED
#define QUETZALQUAY_CONTROL_POOLCONTROLLER_H_INCLUDED

#include "control/ResourceStore.h"
#include "core/LeaseHolder.h"
#include "core/RolloutPlan.h"
#include "ports/OrderPort.h"
#include "ports/PlatformPorts.h"

#include <functional>
#include <string>
#include <vector>

namespace quetzalquay {

// What a controller is told in its settings.
struct PoolControllerOptions
{
  std::string mController;
  std::string mService;
  Duration mLeaseTime;
  Duration mOrderTime;
  RolloutLimits mLimits;
};

// Candidate for the control of one model pool. While it holds the pool's lease
// it brings the pool's targets to the declared versions. Not safe for
// concurrent use.
class PoolController
{
public:
  using Clock = std::function<Time()>;

  // The ports must outlive this object.
  // aPause waits between two tries of a write.
  PoolController(PoolControllerOptions aOptions,
                 TableStorePort& aStore,
                 OrderPort& aOrders,
                 Clock aClock,
                 ResourceStore::Pause aPause);

  // One round: renew the lease, read, plan, order.
  void Round();

  // Whether this candidate holds the lease now.
  bool Holds() const { return mLease.Holds(mClock()); }

private:
  void KeepLease();
  bool ReadPool(const schema::Configuration& aConfiguration);
  void CarryOut(const RolloutSteps& aSteps);
  void Serve(const std::string& aVersion);

  PoolControllerOptions mOptions;
  TableStorePort& mStore;
  OrderPort& mOrders;
  Clock mClock;
  ResourceStore mResources;
  LeaseHolder mLease;
  // The pool as last read.
  std::string mModel;
  std::string mDesired;
  std::string mServed;
  std::set<std::string> mDeclared;
  std::vector<TargetAddress> mTargets;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CONTROL_POOLCONTROLLER_H_INCLUDED
