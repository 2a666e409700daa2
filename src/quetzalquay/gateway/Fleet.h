#ifndef QUETZALQUAY_GATEWAY_FLEET_H_INCLUDED
#define QUETZALQUAY_GATEWAY_FLEET_H_INCLUDED

#include "core/ReaderChoice.h"
#include "core/RoutingTable.h"
#include "core/TargetEntries.h"
#include "core/TargetTable.h"
#include "gateway/GatewaySettings.h"
#include "http/EventLoop.h"
#include "platform/PlatformStore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Where a piece of knowledge came from.
enum class Source
{
  Store,
  // A host that the store answers.
  Informed,
  // A host that the store may not answer.
  Peer,
};

// Name of a source in logs.
std::string_view
NameOf(Source aSource);

// What a host writes of itself for the others.
std::string
FormatHostRow(const GatewaySettings& aSettings);

// Where a target is reached.
struct TargetLocation
{
  Endpoint mEndpoint;
  std::string mAddress;
  std::string mIncarnation;
  std::string mService;
};

// What this process believes of the configuration and the targets, in one
// place: rows come in from the store or from a peer, and only go forward.
class Fleet
{
public:
  Fleet(EventLoop& aLoop, const GatewaySettings& aSettings);

  // Takes rows of a table. aWhole tells that the rows are the whole table as of
  // aVersion.
  void Take(platform::StoreTable aTable,
            const std::vector<platform::StoreRow>& aRows,
            bool aWhole,
            std::int64_t aVersion,
            Source aSource);

  // The store does not answer, or answers again.
  void OnStoreLost();
  void OnStoreBack();

  // While the store is away, another target has been found at the address of a
  // known one. It is of the same service.
  void OnReplaced(const std::string& aOld,
                  const std::string& aNew,
                  const std::string& aIncarnation);

  // Whether a new target at the address of aTarget can only be of the same
  // service, as far as this host knows.
  bool MayReplace(const std::string& aTarget) const;

  // The version in force, or nothing before the first one.
  const RefPtr<RoutingTable>& Routing() const { return mRouting; }

  // Whether requests can be served.
  bool IsReady() const { return mRouting != nullptr && mTargetsKnown; }

  TargetTable& Targets() { return mTargets; }

  // Where a target is, or nothing when it is gone.
  const TargetLocation* Locate(const std::string& aTarget) const;

  // Rows as they came in, with their versions, for other hosts.
  const std::map<std::string, platform::StoreRow>& Rows(
    platform::StoreTable aTable) const;

  // Whether the store answers, and has for long enough to know every target.
  bool IsSettled() const { return mEntries.IsSettled(EventLoop::Now()); }

  // Newest version of the store that each table has been read at.
  std::int64_t Version(platform::StoreTable aTable) const;

  // Applies new settings.
  void Configure(const GatewaySettings& aSettings);

  // Addresses at which hosts answer each other, by host.
  const std::map<std::string, std::string>& Hosts() const { return mHosts; }

  // Who reads the store.
  ReaderChoice& Readers() { return mReaders; }

private:
  void TakeHosts(const std::vector<platform::StoreRow>& aRows,
                 bool aWhole,
                 std::int64_t aVersion);
  void TakeConfiguration(const platform::StoreRow& aRow, Source aSource);
  void TakeTarget(const platform::StoreRow& aRow, Source aSource);
  void DeclareTargets();
  void LimitRepeats();

  GatewaySettings mSettings;
  RefPtr<RoutingTable> mRouting;
  std::int64_t mRoutingRowVersion = 0;
  TargetEntries mEntries;
  TargetTable mTargets;
  std::map<std::string, TargetLocation> mLocations;
  std::map<std::string, platform::StoreRow> mConfigurationRows;
  std::map<std::string, platform::StoreRow> mTargetRows;
  std::map<std::string, platform::StoreRow> mHostRows;
  std::map<std::string, std::string> mHosts;
  std::int64_t mConfigurationVersion = 0;
  std::int64_t mHostsVersion = 0;
  bool mTargetsKnown = false;
  bool mChanged = false;
  ReaderChoice mReaders;
  Alarm mExpiry;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_FLEET_H_INCLUDED
