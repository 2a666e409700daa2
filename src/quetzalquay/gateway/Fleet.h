#ifndef QUETZALQUAY_GATEWAY_FLEET_H_INCLUDED
#define QUETZALQUAY_GATEWAY_FLEET_H_INCLUDED

#include "core/DepartureNews.h"
#include "core/ReaderChoice.h"
#include "core/ReplacedConfigurations.h"
#include "core/RoutingTable.h"
#include "core/StoreEra.h"
#include "core/StreamOrigins.h"
#include "core/TargetEntries.h"
#include "core/TargetReach.h"
#include "core/TargetTable.h"
#include "core/VersionHistory.h"
#include "core/rollout/RolloutChooser.h"
#include "core/rollout/RolloutMember.h"
#include "gateway/GatewaySettings.h"
#include "gateway/HostRows.h"
#include "http/EventLoop.h"
#include "platform/PlatformStore.h"

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace quetzalquay {

// Where a row was read.
enum class RowSource
{
  Store,
  // Another host, which is in sync with the store and has read it recently.
  SyncedPeer,
  // Another host, which may be cut off from the store.
  Peer,
};

// Name of a row source in logs.
std::string_view
NameOf(RowSource aSource);

// Network location of a target.
struct TargetLocation
{
  Endpoint mEndpoint;
  std::string mAddress;
  std::string mIncarnation;
  std::string mService;
};

// This process's view of the configuration, the targets and the hosts. Rows
// come from the store or from peers; a row that is older than the known one is
// ignored.
class Fleet
{
public:
  // Age of the known targets from which on another target may have served at
  // the address of a known one for a while.
  static constexpr Duration kMaxAddressAge = std::chrono::milliseconds(1500);

  // Time within which a host that runs notices an outage of the store, counted
  // from when its targets were known: a host that is no reader waits until they
  // are stale (1.2 s) and for its next read (0.6 s), which may last to its
  // limit (0.9 s); the rest is for a busy machine.
  static constexpr Duration kMaxNoticeTime = std::chrono::milliseconds(3500);

  // How long one confirmation of the configuration lasts: longer than a host
  // takes to go over to other readers of the store.
  static constexpr Duration kMaxConfirmationAge =
    std::chrono::milliseconds(3000);

  Fleet(EventLoop& aLoop, const GatewaySettings& aSettings);

  // Applies rows of a table. With aIsSnapshot the rows are the complete table
  // as of store version aVersion, so known targets and hosts that are not among
  // them are removed.
  void ApplyRows(platform::StoreTable aTable,
                 const std::vector<platform::StoreRow>& aRows,
                 bool aIsSnapshot,
                 std::int64_t aVersion,
                 RowSource aSource);

  // The store has become unreachable, or reachable again.
  void OnStoreUnreachable();
  void OnStoreReachable();

  // While the store is unreachable, the target aNew was found at the address of
  // the known target aOld. It belongs to the same service and replaces aOld.
  void OnTargetReplaced(const std::string& aOld,
                        const std::string& aNew,
                        const std::string& aIncarnation);

  // Whether a new target at the address of aTarget can replace it: the store is
  // unreachable and the new target cannot belong to another service.
  bool CanAcceptReplacement(const std::string& aTarget) const;

  // The configuration in force, or nullptr before the first one.
  const RefPtr<RoutingTable>& Routing() const { return mRouting; }

  // Configurations that were in force before.
  const ReplacedConfigurations& Replaced() const { return mReplaced; }

  // Whether requests can be served: a configuration is in force and the targets
  // are known.
  bool IsReady() const { return mRouting != nullptr && mTargetsKnown; }

  TargetTable& Targets() { return mTargets; }

  // The part of this host in rollouts, and the choice of targets by it.
  RolloutMember& Rollouts() { return mRollouts; }
  TargetChooser& Chooser() { return mChooser; }

  // Whether a record of a rollout's state was written after its order, as far
  // as the versions of the store's rows tell.
  bool IsRolloutRecordCurrent(const std::string& aService,
                              std::int64_t aVersion) const;

  // From which services' targets this host is cut off.
  TargetReach& Reach() { return mReach; }

  // Location of a target, or nullptr if it is not registered.
  const TargetLocation* Locate(const std::string& aTarget) const;

  // Rows of a table as received, with their versions, to be sent to other
  // hosts.
  const std::map<std::string, platform::StoreRow>& Rows(
    platform::StoreTable aTable) const;

  // Whether the store is reachable, and has been for long enough that every
  // target has registered again.
  bool IsStoreSynced() const { return mEntries.IsSettled(EventLoop::Now()); }

  // Whether the known targets are old for another reason than an outage of the
  // store: the store can be reached, or they were too old already when calls to
  // it began to fail. This process may have stood still, and other targets may
  // have come to known addresses.
  bool AreTargetsOutdated(Time aNow) const
  {
    const Time asOf = mReaders.KnownAsOf();
    return mEntries.IsStoreUnreachable()
             ? asOf != Time() && mUnreachableSince - asOf >= kMaxNoticeTime
             : aNow - asOf >= kMaxAddressAge;
  }

  // Whether removed targets are in use because they may register again after a
  // store outage.
  bool HasRetainedTargets() const { return mEntries.HasRetained(); }

  // Sets a function that is called when the store has reported changes of
  // targets and removed targets are retained.
  void SetRetainedCallback(std::function<void()> aCallback)
  {
    mRetainedCallback = std::move(aCallback);
  }

  // Sets a function that receives the writer and the kind of each record that
  // cannot be read.
  void SetUnreadableCallback(
    std::function<void(const std::string&, const std::string&)> aCallback)
  {
    mUnreadableCallback = std::move(aCallback);
  }

  // A record of a kind from aWriter cannot be read.
  void ReportUnreadable(const std::string& aWriter,
                        const std::string& aKind) const
  {
    if (mUnreadableCallback) {
      mUnreadableCallback(aWriter, aKind);
    }
  }

  // Newest store version at which a table has been read, in the present era; 0
  // before it has been read in it.
  std::int64_t Version(platform::StoreTable aTable) const;

  // Version from which on all removals of targets are known here, so that the
  // rows since tell them.
  std::int64_t TargetRemovalsKnownSince() const { return mRemovalsKnownSince; }

  // Era of the store in which the versions are.
  const StoreEra& Era() const { return mEra.Era(); }

  // Number of eras that have begun while this process runs.
  int ErasBegun() const { return mEra.Begun(); }

  // Applies what an answer of the store says of its era. Returns whether a new
  // era has begun, so that the answer is not to be used.
  bool OnStoreAnswer(const StoreEraTracker::Answer& aAnswer);

  // Applies the era that another host tells, nothing if it tells none. Returns
  // whether the versions that it tells are of the present era.
  bool OnEraTold(const std::optional<StoreEra>& aEra);

  // The settings name another store, or another address of it. Everything is
  // read anew.
  void OnStoreReplaced();

  // Adds a function that is called whenever a new era of the store has begun,
  // so that all tables have to be read anew, and what the store may have lost
  // has to be written again.
  void AddEraCallback(std::function<void()> aCallback)
  {
    mEraCallbacks.push_back(std::move(aCallback));
  }

  // Applies new settings, including the retry budget.
  void Configure(const GatewaySettings& aSettings);

  // Peer addresses of all hosts, by host name.
  const std::map<std::string, std::string>& HostAddresses() const
  {
    return mHostAddresses;
  }

  // Whether the hosts table, as known here, has lost the row of a host that it
  // had at store version aVersion.
  bool IsHostRemovedSince(const std::string& aHost,
                          std::int64_t aVersion) const;

  // Sets a function that is called when rows of the hosts table were applied.
  void SetHostsCallback(std::function<void()> aCallback)
  {
    mHostsCallback = std::move(aCallback);
  }

  // Decides which hosts read the store.
  ReaderChoice& Readers() { return mReaders; }

  // A host has sent a message from an address. The hosts table, which is read
  // rarely, may not have it yet.
  void OnHostHeard(const std::string& aHost,
                   const boost::asio::ip::address& aAddress,
                   Time aNow);

  // Network address of a host; nothing if it is not known. That of a host which
  // is not in the hosts table counts for HeardHosts::kLifetime.
  std::optional<boost::asio::ip::address> AddressOf(const std::string& aHost,
                                                    Time aNow) const;

  // This host's configuration is that of the store as of aAsOf, by its own
  // reading or that of a host that reaches the store.
  void OnConfigurationKnownAsOf(Time aAsOf);

  // The targets known here are those of the store as of aAsOf, or those of a
  // host that was asked then while the store is unreachable.
  void OnTargetsKnownAsOf(Time aAsOf);

  // Whether the store has lately shown, to this host or another one, that this
  // host's configuration is the newest one. Otherwise operators may have added
  // a route or key that is not known here: the store may turn all hosts away
  // and serve operators.
  bool IsConfigurationConfirmed(Time aNow) const
  {
    return !mHeldRow && aNow - mConfirmedAsOf < kMaxConfirmationAge;
  }

  // As of when the configuration was last known to be the newest one.
  Time ConfigurationConfirmedAt() const { return mConfirmedAsOf; }

  // Software versions that the store has on record.
  void OnVersionsRecorded(const VersionsByService& aVersions, Time aNow);

  // Software versions of the registered targets.
  VersionsByService RegisteredVersions() const;

  // Sets a callback that runs when the software versions of the registered
  // targets have changed, before a stream can begin at a new one.
  void SetVersionCallback(std::function<void()> aCallback)
  {
    mVersionCallback = std::move(aCallback);
  }

  // Software versions of the targets over time.
  const VersionHistory& Versions() const { return mVersions; }

  // Origins of streams, announced while their service has several versions.
  StreamOrigins& Origins() { return mOrigins; }

  // Departures of targets that the other hosts have to be told.
  DepartureNews& Departures() { return mDepartures; }

  // Records that another target has answered at a target's address. It gets no
  // new requests, and the other hosts are told.
  void OnTargetGone(const std::string& aTarget, Time aNow);

  // Records a departure of which another host tells, and passes it on if
  // aPassOn is set. Returns whether it is new here; one of an unknown start of
  // a target never is.
  bool OnDepartureTold(const TargetDeparture& aDeparture,
                       bool aPassOn,
                       Time aNow);

  // Identifies this start of the process.
  std::uint64_t StartId() const { return mStartId; }

private:
  void Replace(const std::string& aOld,
               const std::string& aNew,
               const std::string& aIncarnation,
               Time aNow);
  void ApplyHostRows(const std::vector<platform::StoreRow>& aRows,
                     bool aIsSnapshot,
                     std::int64_t aVersion);
  void ApplySuspectRows(const std::vector<platform::StoreRow>& aRows,
                        bool aIsSnapshot,
                        std::int64_t aVersion);
  void ApplyTrialRow(const platform::StoreRow& aRow, Time aNow);
  void BeginEra();
  bool KnowsVersions() const;
  bool IsHeldBack(const platform::StoreRow& aRow,
                  const RoutingTable& aRouting,
                  Time aNow);
  bool WasInForce(const std::string& aText) const;
  void ApplyHeldConfiguration();
  void ApplyConfigurationRow(const platform::StoreRow& aRow, RowSource aSource);
  void ApplyTargetRow(const platform::StoreRow& aRow, RowSource aSource);
  void ApplyRolloutRow(const platform::StoreRow& aRow, RowSource aSource);
  void DeclareTargets();
  void IdentifyVersion(const TargetEntry& aEntry);
  void UpdateAnnouncedServices(Time aNow);
  void ConfigureRetryBudget();

  GatewaySettings mSettings;
  std::uint64_t mStartId;
  Time mStartedAt;
  // As of when the configuration was the newest one.
  Time mConfirmedAsOf;
  RefPtr<RoutingTable> mRouting;
  ReplacedConfigurations mReplaced;
  std::int64_t mRoutingRowVersion = 0;
  // Value of the row of the configuration in force.
  std::string mRoutingText;
  // Hashes of the values that were in force before it, the oldest one first.
  std::deque<std::uint64_t> mFormerTexts;
  StoreEraTracker mEra;
  // When the present era began; nothing in a process that has seen one only.
  std::optional<Time> mEraBeganAt;
  // Version of the first complete read of the configuration in the present era;
  // 0 before it, and in a process that has seen one era only.
  std::int64_t mCopyVersion = 0;
  // Row with a lower number than the configuration in force that counts if no
  // other one is written soon.
  std::optional<platform::StoreRow> mHeldRow;
  Time mHeldUntil;
  TargetEntries mEntries;
  TargetTable mTargets;
  RolloutMember mRollouts;
  RolloutChooser mChooser;
  TargetReach mReach;
  std::map<std::string, TargetLocation> mLocations;
  VersionHistory mVersions;
  StreamOrigins mOrigins;
  DepartureNews mDepartures;
  std::set<std::string> mMixedServices;
  std::map<std::string, platform::StoreRow> mConfigurationRows;
  std::map<std::string, platform::StoreRow> mTargetRows;
  std::map<std::string, platform::StoreRow> mHostRows;
  std::map<std::string, platform::StoreRow> mSuspectRows;
  std::map<std::string, std::string> mHostAddresses;
  // Addresses of hosts that are not in the hosts table.
  struct HeardAddress
  {
    boost::asio::ip::address mAddress;
    Time mAt;
  };
  std::map<std::string, HeardAddress> mHeardAddresses;
  std::int64_t mConfigurationVersion = 0;
  std::int64_t mRemovalsKnownSince = 0;
  std::int64_t mHostsVersion = 0;
  std::int64_t mSuspectsVersion = 0;
  bool mTargetsKnown = false;
  bool mTargetsChanged = false;
  std::function<void()> mRetainedCallback;
  std::function<void()> mHostsCallback;
  std::vector<std::function<void()>> mEraCallbacks;
  std::function<void()> mVersionCallback;
  // Registered versions at the last declaration of the targets.
  VersionsByService mRegisteredVersions;
  std::function<void(const std::string&, const std::string&)>
    mUnreadableCallback;
  ReaderChoice mReaders;
  // Start of the latest outage of the store.
  Time mUnreachableSince;
  Timer mExpiryTimer;
  Timer mHoldTimer;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_FLEET_H_INCLUDED
