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

struct PoolControllerOptions
{
  // Name of this controller in the lease; differs between runs of the process.
  std::string mControllerName;
  // Service that the pool serves; also the key of the pool's lease.
  std::string mService;
  Duration mLeaseTime;
  // Longest time that an order may be in progress at a target.
  Duration mOrderTime;
  RolloutLimits mLimits;
};

// Controller of one model pool. Controllers of the same pool compete for the
// pool's lease; the holder brings the pool's targets to the declared versions.
// Not thread-safe.
class PoolController
{
public:
  using Clock = std::function<Time()>;

  // The ports must outlive this object. aSleep waits between two attempts at a
  // write.
  PoolController(PoolControllerOptions aOptions,
                 TableStorePort& aStore,
                 OrderPort& aOrders,
                 Clock aClock,
                 ResourceStore::SleepFunction aSleep);

  // Runs one iteration: acquires or renews the lease, then reads the declared
  // and the loaded versions and sends the orders that the rollout plan
  // requires. A new holder sends none until orders of the previous holder can
  // no longer be in progress.
  void Reconcile();

  // Whether this controller holds the lease now.
  bool HoldsLease() const { return mLease.IsHeld(mClock()); }

private:
  void AcquireOrRenewLease();
  bool ReadPool(const schema::Configuration& aConfiguration);
  void ExecuteSteps(const RolloutSteps& aSteps);
  void WriteRollout(const std::string& aVersion);

  PoolControllerOptions mOptions;
  TableStorePort& mStore;
  OrderPort& mOrders;
  Clock mClock;
  ResourceStore mResources;
  LeaseHolder mLease;
  // The pool's part of the configuration, as last read.
  std::string mModel;
  std::string mDesiredVersion;
  std::string mServedVersion;
  std::set<std::string> mDeclaredVersions;
  std::vector<TargetAddress> mTargets;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CONTROL_POOLCONTROLLER_H_INCLUDED
