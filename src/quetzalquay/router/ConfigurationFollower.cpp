#include "router/ConfigurationFollower.h"

#include "config/SettingsFile.h"
#include "config/Snapshot.h"
#include "config/SnapshotStore.h"
#include "control/ResourceStore.h"
#include "observe/Log.h"
#include "observe/RouterMetrics.h"
#include "router/TargetDirectory.h"
#include "wire/Json.h"

namespace quetzalquay {

namespace {

constexpr Duration kReadInterval = std::chrono::milliseconds(1000);

Time
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

ConfigurationFollower::ConfigurationFollower(TableStorePort* aStore,
                                             SnapshotStore& aSnapshots,
                                             TargetDirectory& aTargets,
                                             RouterMetrics& aMetrics,
                                             std::string aPlace,
                                             int aRouterCount)
  : mStore(aStore)
  , mSnapshots(aSnapshots)
  , mTargets(aTargets)
  , mMetrics(aMetrics)
  , mPlace(std::move(aPlace))
  , mFreshness(aRouterCount)
{
}

void
ConfigurationFollower::Start()
{
  if (mStore != nullptr) {
    ReadStore();
    mThread.Start(kReadInterval, [this] { ReadStore(); });
  }
}

void
ConfigurationFollower::Stop()
{
  mThread.Stop();
}

void
ConfigurationFollower::Apply(const schema::Configuration& aConfiguration)
{
  auto* snapshot = new Snapshot(aConfiguration);
  const auto services = snapshot->ServiceDeclarations();
  const auto targets = snapshot->TargetDeclarations();
  const std::string region = snapshot->RegionOf(mPlace);
  const unsigned revision = snapshot->Revision();
  const std::lock_guard<std::mutex> lock(mMutex);
  if (!mSnapshots.Replace(snapshot)) {
    return;
  }
  mTargets.WithLock(
    [&](TargetTable& aTable) { aTable.Declare(services, targets, region); });
  mFreshness.OnApplied(revision);
  mMetrics.Set(RouterGauge::Revision, revision);
  Log(LogLevel::Info,
      "configuration",
      "activated a newer configuration",
      { { "revision", std::to_string(revision) } });
  UpdateServeDeadline();
}

void
ConfigurationFollower::OnPeerReport(const std::string& aPeer,
                                    unsigned aRevision,
                                    bool aStoreReached)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mFreshness.OnPeerReport(aPeer, aRevision, aStoreReached, Now());
  UpdateServeDeadline();
}

void
ConfigurationFollower::ApplyFromPeer(const std::string& aConfiguration)
{
  schema::Configuration configuration;
  if (ParseJson(aConfiguration, UnknownFields::Ignore, configuration) ||
      CheckSettings(configuration)) {
    Log(LogLevel::Warn,
        "configuration",
        "ignored an invalid configuration from a peer");
    return;
  }
  Apply(configuration);
}

bool
ConfigurationFollower::CanServe() const
{
  if (mStore == nullptr) {
    return true;
  }
  return Now().time_since_epoch().count() < mServeDeadline.load();
}

bool
ConfigurationFollower::HasReadStoreRecently()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mFreshness.HasReadStoreRecently(Now());
}

void
ConfigurationFollower::ReadStore()
{
  ResourceStore store(*mStore, Now);
  // Freshness counts from before the call, as a newer revision may be accepted
  // while the call runs.
  const Time startedAt = Now();
  unsigned revision = 0;
  if (store.ReadRevision(revision) != StoreOutcome::Done) {
    return;
  }
  if (revision > mSnapshots.Revision()) {
    ResourceTable table;
    std::string reason;
    if (store.Load(table) == StoreOutcome::Done) {
      const auto configuration = table.Build(table.Revision(), reason);
      const auto problem =
        configuration ? CheckSettings(*configuration) : std::optional(reason);
      if (problem) {
        Log(LogLevel::Error, "configuration", *problem);
      } else {
        Apply(*configuration);
      }
    }
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  mFreshness.OnStoreRead(revision, startedAt);
  UpdateServeDeadline();
}

void
ConfigurationFollower::UpdateServeDeadline()
{
  const Time until = mFreshness.ServeUntil(Now());
  mServeDeadline.store(until.time_since_epoch().count());
}

} // namespace quetzalquay
