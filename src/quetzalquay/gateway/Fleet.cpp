#include "gateway/Fleet.h"

#include "core/Hash.h"
#include "core/NameTable.h"
#include "observe/Log.h"

#include <algorithm>
#include <charconv>

namespace quetzalquay {

namespace {

using platform::StoreRow;
using platform::StoreTable;

// Targets that die together for a cause other than a request.
constexpr int kCommonDeaths = 3;

// Targets that a place has to lose before the rest of it is doubted.
constexpr int kPlaceLosses = 2;

// Time until the entry of a dead target has lapsed: three of its heartbeats.
constexpr Duration kDoubtPause = std::chrono::milliseconds(3600);

constexpr NameTable<Source, 3> kSourceNames({ "store",
                                              "informed_peer",
                                              "peer" });

// Removed rows that are kept for peers which ask for changes.
constexpr std::size_t kMaxRemovedRows = 4000;

TargetTableOptions
TableOptions(const GatewaySettings& aSettings)
{
  TargetTableOptions options;
  options.mRouterName = aSettings.mHost;
  options.mPlace = aSettings.mPlace;
  options.mSampleSize = 0;
  options.mSeparateSuspects = false;
  options.mCommonDeaths = kCommonDeaths;
  options.mDoubtPause = kDoubtPause;
  options.mPlaceLosses = kPlaceLosses;
  options.mSeed = StableHash(aSettings.mHost);
  return options;
}

// Rows that a whole table does not have any more become removed ones, for
// hosts that ask for changes.
void
MarkMissing(std::map<std::string, StoreRow>& aKnown,
            std::vector<std::string> aNames,
            std::int64_t aVersion)
{
  std::sort(aNames.begin(), aNames.end());
  for (auto& it : aKnown) {
    StoreRow& row = it.second;
    if (!row.mRemoved && row.mVersion < aVersion &&
        !std::binary_search(aNames.begin(), aNames.end(), it.first)) {
      row.mRemoved = true;
      row.mVersion = aVersion;
    }
  }
}

// What a host's row tells: the address at which it answers other hosts, and the
// bandwidth of its link in Mbit/s, 0 when it does not say.
struct HostRow
{
  std::string mAddress;
  int mLinkMbps = 0;
};

HostRow
ParseHostRow(const std::string& aText)
{
  HostRow row;
  const auto end = aText.find(' ');
  row.mAddress = aText.substr(0, end);
  if (end != std::string::npos) {
    // An unreadable number leaves the bandwidth unknown.
    std::from_chars(
      aText.data() + end + 1, aText.data() + aText.size(), row.mLinkMbps);
  }
  return row;
}

} // namespace

std::string
FormatHostRow(const GatewaySettings& aSettings)
{
  return ToText(aSettings.mPeers) + " " + std::to_string(aSettings.mLinkMbps);
}

std::string_view
NameOf(Source aSource)
{
  return kSourceNames.NameOf(aSource);
}

Fleet::Fleet(EventLoop& aLoop, const GatewaySettings& aSettings)
  : mSettings(aSettings)
  , mEntries(aSettings.mReturnTime)
  , mTargets(TableOptions(aSettings))
  , mReaders({ aSettings.mHost, aSettings.mLinkMbps })
  , mExpiry(aLoop, [this] {
    if (mEntries.Expire(EventLoop::Now())) {
      Log(LogLevel::Info, "fleet", "targets did not come back with the store");
      DeclareTargets();
    }
    mExpiry.SetAt(mEntries.NextExpiry());
  })
{
  LimitRepeats();
}

void
Fleet::Take(StoreTable aTable,
            const std::vector<StoreRow>& aRows,
            bool aWhole,
            std::int64_t aVersion,
            Source aSource)
{
  if (aTable == StoreTable::Configuration) {
    for (const StoreRow& it : aRows) {
      if (it.mKey == platform::kConfigurationKey && !it.mRemoved) {
        TakeConfiguration(it, aSource);
      }
    }
    mConfigurationVersion = std::max(mConfigurationVersion, aVersion);
    return;
  }
  if (aTable == StoreTable::Hosts) {
    TakeHosts(aRows, aWhole, aVersion);
    return;
  }
  const Time now = EventLoop::Now();
  mChanged = false;
  std::vector<std::string> names;
  for (const StoreRow& it : aRows) {
    names.push_back(it.mKey);
    TakeTarget(it, aSource);
  }
  // A snapshot older than what is known says nothing of newer entries.
  if (aWhole && aVersion >= mEntries.Version()) {
    mChanged |= mEntries.OnSnapshot(names, aVersion, now);
    MarkMissing(mTargetRows, names, aVersion);
    if (!mTargetsKnown) {
      mTargetsKnown = true;
      Log(LogLevel::Info,
          "fleet",
          "targets known",
          { { "targets", std::to_string(names.size()) },
            { "version", std::to_string(aVersion) },
            { "source", std::string(NameOf(aSource)) } });
    }
  }
  if (aSource == Source::Informed && mEntries.OnSettledElsewhere(aVersion)) {
    mChanged = true;
    Log(LogLevel::Info,
        "fleet",
        "missing targets are gone",
        { { "version", std::to_string(aVersion) } });
  }
  if (mChanged) {
    DeclareTargets();
  }
  mExpiry.SetAt(mEntries.NextExpiry());
}

void
Fleet::OnStoreLost()
{
  mEntries.OnStoreLost(EventLoop::Now());
}

void
Fleet::OnStoreBack()
{
  mEntries.OnStoreBack(EventLoop::Now());
  mExpiry.SetAt(mEntries.NextExpiry());
}

bool
Fleet::MayReplace(const std::string& aTarget) const
{
  const TargetLocation* location = Locate(aTarget);
  if (!mEntries.IsStoreLost() || mRouting == nullptr || location == nullptr) {
    return false;
  }
  const ServiceTraits* traits = mRouting->FindService(location->mService);
  const auto engines =
    std::count_if(mRouting->Services().begin(),
                  mRouting->Services().end(),
                  [](const auto& aService) { return aService.second.mEngine; });
  // With one service of engines, an engine cannot belong to another one.
  return traits != nullptr && traits->mEngine && engines == 1;
}

void
Fleet::OnReplaced(const std::string& aOld,
                  const std::string& aNew,
                  const std::string& aIncarnation)
{
  if (!mEntries.OnReplaced(aOld, aNew, aIncarnation, EventLoop::Now())) {
    return;
  }
  Log(LogLevel::Info,
      "fleet",
      "target replaced while the store is away",
      { { "old", aOld }, { "new", aNew }, { "incarnation", aIncarnation } });
  DeclareTargets();
}

const TargetLocation*
Fleet::Locate(const std::string& aTarget) const
{
  const auto it = mLocations.find(aTarget);
  return it == mLocations.end() ? nullptr : &it->second;
}

const std::map<std::string, StoreRow>&
Fleet::Rows(StoreTable aTable) const
{
  switch (aTable) {
    case StoreTable::Configuration:
      return mConfigurationRows;
    case StoreTable::Hosts:
      return mHostRows;
    case StoreTable::Targets:
      break;
  }
  return mTargetRows;
}

std::int64_t
Fleet::Version(StoreTable aTable) const
{
  switch (aTable) {
    case StoreTable::Configuration:
      return mConfigurationVersion;
    case StoreTable::Hosts:
      return mHostsVersion;
    case StoreTable::Targets:
      break;
  }
  return mEntries.Version();
}

void
Fleet::Configure(const GatewaySettings& aSettings)
{
  mSettings = aSettings;
  LimitRepeats();
}

void
Fleet::TakeHosts(const std::vector<StoreRow>& aRows,
                 bool aWhole,
                 std::int64_t aVersion)
{
  std::vector<std::string> names;
  for (const StoreRow& it : aRows) {
    names.push_back(it.mKey);
    StoreRow& known = mHostRows[it.mKey];
    if (it.mVersion > known.mVersion) {
      known = it;
    }
  }
  if (aWhole && aVersion >= mHostsVersion) {
    MarkMissing(mHostRows, names, aVersion);
  }
  mHostsVersion = std::max(mHostsVersion, aVersion);
  std::map<std::string, std::string> hosts;
  std::vector<ReaderCandidate> candidates;
  for (const auto& it : mHostRows) {
    if (!it.second.mRemoved) {
      const HostRow row = ParseHostRow(it.second.mValue);
      hosts[it.first] = row.mAddress;
      candidates.push_back({ it.first, row.mLinkMbps });
    }
  }
  if (hosts == mHosts) {
    return;
  }
  const bool counted = hosts.size() == mHosts.size();
  mHosts = std::move(hosts);
  mReaders.SetHosts(std::move(candidates));
  if (!counted) {
    LimitRepeats();
  }
}

void
Fleet::TakeConfiguration(const StoreRow& aRow, Source aSource)
{
  if (aRow.mVersion <= mRoutingRowVersion) {
    return;
  }
  std::string reason;
  auto routing = platform::DecodeConfiguration(aRow.mValue, reason);
  if (routing == nullptr) {
    Log(LogLevel::Error,
        "fleet",
        "configuration not usable",
        { { "row_version", std::to_string(aRow.mVersion) },
          { "reason", reason } });
    return;
  }
  mRoutingRowVersion = aRow.mVersion;
  if (mRouting != nullptr && routing->mVersion <= mRouting->mVersion) {
    Log(LogLevel::Warn,
        "fleet",
        "older configuration dropped",
        { { "version", std::to_string(routing->mVersion) },
          { "in_force", std::to_string(mRouting->mVersion) } });
    return;
  }
  Log(LogLevel::Info,
      "fleet",
      "configuration in force",
      { { "version", std::to_string(routing->mVersion) },
        { "row_version", std::to_string(aRow.mVersion) },
        { "source", std::string(NameOf(aSource)) } });
  mRouting = std::move(routing);
  mConfigurationRows[aRow.mKey] = aRow;
  DeclareTargets();
}

void
Fleet::TakeTarget(const StoreRow& aRow, Source aSource)
{
  StoreRow& known = mTargetRows[aRow.mKey];
  if (aRow.mVersion <= known.mVersion) {
    return;
  }
  known = aRow;
  const Time now = EventLoop::Now();
  if (aRow.mRemoved) {
    if (mEntries.OnRemoved(aRow.mKey, aRow.mVersion, now)) {
      mChanged = true;
      Log(LogLevel::Info,
          "fleet",
          "target gone",
          { { "target", aRow.mKey },
            { "row_version", std::to_string(aRow.mVersion) },
            { "source", std::string(NameOf(aSource)) } });
    }
    if (mTargetRows.size() > kMaxRemovedRows) {
      mTargetRows.erase(aRow.mKey);
    }
    return;
  }
  std::string reason;
  const auto entry = platform::DecodeTarget(aRow.mKey, aRow.mValue, reason);
  if (!entry || !ParseEndpoint(entry->mAddress)) {
    if (mEntries.OnUnreadable(aRow.mKey, aRow.mVersion, now)) {
      mChanged = true;
    }
    Log(LogLevel::Warn,
        "fleet",
        "target entry not usable",
        { { "target", aRow.mKey },
          { "row_version", std::to_string(aRow.mVersion) },
          { "reason", reason.empty() ? "its address is not valid" : reason } });
    return;
  }
  if (mEntries.OnEntry(*entry, aRow.mVersion, now)) {
    mChanged = true;
    if (!mTargetsKnown) {
      // The first read is told in one line.
      return;
    }
    Log(LogLevel::Info,
        "fleet",
        "target entry",
        { { "target", aRow.mKey },
          { "service", entry->mService },
          { "address", entry->mAddress },
          { "incarnation", entry->mIncarnation },
          { "leaving", entry->mLeaving ? "true" : "false" },
          { "row_version", std::to_string(aRow.mVersion) },
          { "source", std::string(NameOf(aSource)) } });
  }
}

void
Fleet::DeclareTargets()
{
  std::vector<ServiceDeclaration> services;
  if (mRouting != nullptr) {
    for (const auto& it : mRouting->Services()) {
      services.push_back({ it.first, "" });
    }
  }
  std::vector<TargetDeclaration> targets;
  mLocations.clear();
  for (const TargetEntry& it : mEntries.Usable()) {
    TargetDeclaration target;
    target.mName = it.mName;
    target.mService = it.mService;
    target.mPlace = it.mPlace;
    target.mRegion = mSettings.mRegion;
    target.mLeaving = it.mLeaving;
    target.mIncarnation = it.mIncarnation;
    target.mSlots = it.mSlots;
    const ServiceTraits* traits =
      mRouting == nullptr ? nullptr : mRouting->FindService(it.mService);
    if (traits != nullptr && traits->mEngine) {
      target.mMemoryTokens = traits->mMemoryTokens;
    }
    targets.push_back(std::move(target));
    mLocations[it.mName] = {
      *ParseEndpoint(it.mAddress), it.mAddress, it.mIncarnation, it.mService
    };
  }
  mTargets.Declare(services, targets, mSettings.mRegion, EventLoop::Now());
}

void
Fleet::LimitRepeats()
{
  RetryBudget::Options options;
  options.mRatio = mSettings.mRepeatRatio;
  options.mAllowance = mSettings.mRepeatAllowance;
  options.mWindow = mSettings.mRepeatWindow;
  options.mHosts = std::max(1, static_cast<int>(mHosts.size()));
  mTargets.LimitRepeats(options);
}

} // namespace quetzalquay
