#include "control/PoolController.h"

#include "config/Snapshot.h"
#include "generated/messages.pb.h"
#include "observe/Log.h"
#include "wire/Json.h"

#include <chrono>
#include <utility>

namespace quetzalquay {

namespace {

constexpr char kLeaseTable[] = "leases";
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1000);
constexpr Duration kTargetTimeout = std::chrono::milliseconds(500);
constexpr Duration kRolloutWriteTimeout = std::chrono::milliseconds(3000);

double
UnixMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

std::optional<LeaseRecord>
ParseLease(const std::string& aValue)
{
  schema::LeaseRow row;
  if (ParseJson(aValue, UnknownFields::Ignore, row)) {
    return std::nullopt;
  }
  return LeaseRecord{ row.holder(), row.epoch(), row.expires_at() };
}

std::string
SerializeLease(const LeaseRecord& aRecord)
{
  schema::LeaseRow row;
  row.set_holder(aRecord.mHolder);
  row.set_epoch(aRecord.mEpoch);
  row.set_expires_at(aRecord.mExpiresAtMs);
  return ToJson(row);
}

} // namespace

PoolController::PoolController(PoolControllerOptions aOptions,
                               TableStorePort& aStore,
                               OrderPort& aOrders,
                               Clock aClock,
                               ResourceStore::SleepFunction aSleep)
  : mOptions(std::move(aOptions))
  , mStore(aStore)
  , mOrders(aOrders)
  , mClock(std::move(aClock))
  , mResources(aStore, mClock, std::move(aSleep))
  , mLease(mOptions.mControllerName, mOptions.mLeaseTime, mOptions.mOrderTime)
{
}

void
PoolController::Reconcile()
{
  AcquireOrRenewLease();
  if (!mLease.IsSettled(mClock())) {
    return;
  }
  ResourceTable table;
  std::string reason;
  if (mResources.Load(table) != StoreOutcome::Done) {
    return;
  }
  const auto configuration = table.Build(table.Revision(), reason);
  if (!configuration || !ReadPool(*configuration)) {
    return;
  }
  std::vector<TargetVersions> holdings;
  for (const TargetAddress& it : mTargets) {
    holdings.push_back(mOrders.ReadVersions(it, mModel, kTargetTimeout));
  }
  ExecuteSteps(PlanRollout(holdings,
                           mDeclaredVersions,
                           mDesiredVersion,
                           mServedVersion,
                           mOptions.mLimits));
}

void
PoolController::AcquireOrRenewLease()
{
  StoredRow row;
  const StoreOutcome read =
    mStore.Read(kLeaseTable, mOptions.mService, kStoreTimeout, row);
  if (read != StoreOutcome::Done && read != StoreOutcome::Rejected) {
    return;
  }
  const auto record =
    read == StoreOutcome::Done ? ParseLease(row.mValue) : std::nullopt;
  // The lease runs from before the write, so that a slow response shortens it.
  const Time begun = mClock();
  const unsigned version = read == StoreOutcome::Done ? row.mVersion : 0;
  auto write = mLease.OnRead(version, record, begun);
  if (!write) {
    return;
  }
  write->mRecord.mExpiresAtMs = UnixMs() + ToMilliseconds(mOptions.mLeaseTime);
  StoreTransaction transaction;
  transaction.mConditions.push_back(
    { kLeaseTable, mOptions.mService, write->mIfVersion });
  transaction.mWrites.push_back(
    { kLeaseTable, mOptions.mService, SerializeLease(write->mRecord), false });
  const CommitResult result = mStore.Commit(transaction, kStoreTimeout);
  if (result.mOutcome != StoreOutcome::Done) {
    mLease.OnNotWritten();
    return;
  }
  const bool held = mLease.IsHeld(begun);
  mLease.OnWritten(*write, result.mRevision, begun);
  if (!held) {
    Log(LogLevel::Info,
        "controller",
        "acquired the lease",
        { { "service", mOptions.mService },
          { "epoch", std::to_string(mLease.Epoch()) } });
  }
}

bool
PoolController::ReadPool(const schema::Configuration& aConfiguration)
{
  const Snapshot snapshot(aConfiguration);
  const schema::Service* service = snapshot.FindService(mOptions.mService);
  const schema::Model* model =
    service == nullptr ? nullptr : snapshot.FindModel(service->model());
  if (model == nullptr) {
    return false;
  }
  mModel = model->name();
  mDesiredVersion = model->serving_version();
  mServedVersion = snapshot.ServingVersion(*model);
  mDeclaredVersions.clear();
  for (const auto& it : snapshot.DeclaredResources().versions()) {
    if (it.model() == mModel) {
      mDeclaredVersions.insert(it.name());
    }
  }
  mTargets.clear();
  for (const auto& it : snapshot.DeclaredResources().targets()) {
    if (it.service() == mOptions.mService && !it.leaving()) {
      mTargets.push_back({ it.name(), it.address(), it.port() });
    }
  }
  return true;
}

void
PoolController::ExecuteSteps(const RolloutSteps& aSteps)
{
  for (const VersionOrder& it : aSteps.mOrders) {
    for (const TargetAddress& target : mTargets) {
      // Reads the clock right before each send: a process that was paused must
      // not act on a lease that has expired.
      if (target.mName != it.mTarget || !mLease.IsSettled(mClock())) {
        continue;
      }
      const OrderOutcome outcome = mOrders.SendOrder(
        target, mModel, it.mVersions, mLease.Epoch(), kTargetTimeout);
      Log(outcome == OrderOutcome::Accepted ? LogLevel::Info : LogLevel::Warn,
          "controller",
          outcome == OrderOutcome::Accepted ? "order accepted"
                                            : "order not accepted",
          { { "target", it.mTarget },
            { "fence", std::to_string(mLease.Epoch()) } });
    }
  }
  if (aSteps.mServeVersion && mLease.IsSettled(mClock())) {
    WriteRollout(*aSteps.mServeVersion);
  }
}

void
PoolController::WriteRollout(const std::string& aVersion)
{
  schema::Rollout rollout;
  rollout.set_model(mModel);
  rollout.set_version(aVersion);
  ResourceChange change;
  change.mKind = "rollouts";
  change.mName = mModel;
  change.mValue = ToCompactJson(rollout);
  // The epoch makes the operation ID unique to this lease holder: a former
  // holder's write of the same step is a separate operation with the same
  // content.
  const std::string operation = "rollout-" + mModel + "-" + aVersion + "-" +
                                mServedVersion + "-" +
                                std::to_string(mLease.Epoch());
  const ChangeResult result =
    mResources.Apply({ change }, operation, mClock() + kRolloutWriteTimeout);
  Log(LogLevel::Info,
      "controller",
      result.mStatus == ChangeStatus::Accepted
        ? "switched the served version"
        : "could not switch the served version",
      { { "model", mModel }, { "version", aVersion } });
}

} // namespace quetzalquay
