#include "gateway/Fleet.h"

#include "core/Hash.h"
#include "core/NameTable.h"
#include "core/TrialRecord.h"
#include "gateway/HeardHosts.h"
#include "gateway/SuspectRows.h"
#include "gateway/SuspendedTime.h"
#include "observe/Log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace quetzalquay {

namespace {

using platform::StoreRow;
using platform::StoreTable;

// Targets that have to fail at about the same time for the failures not to be
// blamed on their requests.
constexpr int kCommonDeathThreshold = 3;

// Targets of one place that have to be lost at about the same time before the
// remaining ones of that place are doubtful too.
constexpr int kPlaceLossThreshold = 2;

// Time within which Prober has checked whether a lost target has died.
constexpr Duration kDeathCheckTime = std::chrono::milliseconds(100);

// Age from which a death counts for the refusal of a request. Hosts tell each
// other of it at once and again after 0.5 s.
constexpr Duration kSuspectSettleTime = std::chrono::milliseconds(600);

// Time for which a target is doubtful: three heartbeats, after which the entry
// of a dead target has expired.
constexpr Duration kDoubtDuration = std::chrono::milliseconds(3600);

// Longest life of a stream whose route has no timeout.
constexpr Duration kMinStreamLife = std::chrono::seconds(60);

constexpr NameTable<RowSource, 3> kRowSourceNames({ "store",
                                                    "informed_peer",
                                                    "peer" });

// Number of hosts up to which all streams are told to the other hosts. Their
// hosts may die in the moment in which a second software version appears.
constexpr std::size_t kMaxTellingHosts = 17;

// Known target rows above which a removed row is no longer kept for peers that
// ask for changes.
constexpr std::size_t kMaxTargetRows = 4000;

// Time after the beginning of an era in which operators write again what the
// store has lost, and that each of these writes is held back if a later one may
// follow.
constexpr Duration kRestoreTime = std::chrono::seconds(5);
constexpr Duration kHoldTime = std::chrono::milliseconds(800);

// Former configurations by which those of an older copy are recognized.
constexpr std::size_t kMaxFormerTexts = 256;

// Least time between two eras of which other hosts tell: hosts that read
// different stores for a while tell each other of theirs.
constexpr Duration kMinToldEra = std::chrono::seconds(1);

// Version of a row that was read in an earlier era of the store.
constexpr std::int64_t kEarlierEra = -1;

// Names the source of stored records, whose writers are not known.
constexpr char kStoreName[] = "store";

TargetTableOptions
TableOptions(const GatewaySettings& aSettings)
{
  TargetTableOptions options;
  options.mRouterName = aSettings.mHost;
  options.mPlace = aSettings.mPlace;
  options.mSampleSize = 0;
  options.mIsolateSuspects = false;
  options.mCommonDeathThreshold = kCommonDeathThreshold;
  options.mSuspectSettleTime = kSuspectSettleTime;
  options.mSuspectTrials = true;
  options.mDeathCheckTime = kDeathCheckTime;
  options.mDoubtDuration = kDoubtDuration;
  options.mPlaceLossThreshold = kPlaceLossThreshold;
  options.mSeed = StableHash(aSettings.mHost);
  return options;
}

// Rows of suspected requests above which removed ones are no longer kept.
constexpr std::size_t kMaxSuspectRows = 1000;

// Marks known rows as removed at aVersion if a complete read of the table does
// not have them, so that hosts that ask for changes learn of the removal.
// Returns their keys.
std::vector<std::string>
MarkMissingRemoved(std::map<std::string, StoreRow>& aKnown,
                   std::vector<std::string> aNames,
                   std::int64_t aVersion)
{
  std::vector<std::string> removed;
  std::sort(aNames.begin(), aNames.end());
  for (auto& it : aKnown) {
    StoreRow& row = it.second;
    if (!row.mRemoved && row.mVersion < aVersion &&
        !std::binary_search(aNames.begin(), aNames.end(), it.first)) {
      row.mRemoved = true;
      row.mVersion = aVersion;
      removed.push_back(it.first);
    }
  }
  return removed;
}

} // namespace

std::string_view
NameOf(RowSource aSource)
{
  return kRowSourceNames.NameOf(aSource);
}

Fleet::Fleet(EventLoop& aLoop, const GatewaySettings& aSettings)
  : mSettings(aSettings)
  , mStartId(static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count()))
  , mStartedAt(AddSuspendedTime(EventLoop::Now()))
  , mEntries(aSettings.mReregistrationTime)
  , mTargets(TableOptions(aSettings))
  , mRollouts(mStartId)
  , mChooser(mRollouts, mTargets)
  , mReach(aSettings.mPlace, StableHash(aSettings.mHost))
  , mVersions(kMinStreamLife)
  , mReaders({ aSettings.mHost, aSettings.mLinkMbps })
  , mExpiryTimer(aLoop,
                 [this] {
                   if (mEntries.Expire(EventLoop::Now())) {
                     Log(LogLevel::Info,
                         "fleet",
                         "dropping targets that did not register again after a "
                         "store outage");
                     DeclareTargets();
                   }
                   mExpiryTimer.ScheduleAt(mEntries.NextExpiry());
                 })
  , mHoldTimer(aLoop, [this] { ApplyHeldConfiguration(); })
{
  ConfigureRetryBudget();
  mTargets.SetReachCheck([this](const std::string& aService) {
    return mReach.DecidedStateOf(aService);
  });
  mReach.SetAddressCheck([this](const std::string& aHost, Time aNow) {
    return AddressOf(aHost, aNow).has_value();
  });
}

void
Fleet::ApplyRows(StoreTable aTable,
                 const std::vector<StoreRow>& aRows,
                 bool aIsSnapshot,
                 std::int64_t aVersion,
                 RowSource aSource)
{
  for (const StoreRow& it : aRows) {
    if (it.mVersion == 0) {
      ReportUnreadable(std::string(NameOf(aSource)), "row_version");
    }
  }
  if (aTable == StoreTable::Configuration) {
    if (mCopyVersion == 0 && mEraBeganAt) {
      mCopyVersion = aVersion;
    }
    for (const StoreRow& it : aRows) {
      if (it.mKey == platform::kConfigurationKey && !it.mRemoved) {
        ApplyConfigurationRow(it, aSource);
      } else if (it.mKey.rfind(platform::kRolloutKeyPrefix, 0) == 0) {
        ApplyRolloutRow(it, aSource);
      }
    }
    mConfigurationVersion = std::max(mConfigurationVersion, aVersion);
    return;
  }
  if (aTable == StoreTable::Hosts) {
    ApplyHostRows(aRows, aIsSnapshot, aVersion);
    if (mHostsCallback) {
      mHostsCallback();
    }
    return;
  }
  if (aTable == StoreTable::Suspects) {
    ApplySuspectRows(aRows, aIsSnapshot, aVersion);
    return;
  }
  const Time now = EventLoop::Now();
  mTargetsChanged = false;
  std::vector<std::string> names;
  const std::int64_t known = mEntries.Version();
  for (const StoreRow& it : aRows) {
    names.push_back(it.mKey);
    // All rows up to the known version have been read. One that is not among
    // them has been removed, of which another host tells late.
    const bool wasRemoved = aSource != RowSource::Store &&
                            it.mVersion <= known &&
                            mTargetRows.count(it.mKey) == 0;
    if (!wasRemoved) {
      ApplyTargetRow(it, aSource);
    }
  }
  // A snapshot older than the known version says nothing about newer entries.
  if (aIsSnapshot && aVersion >= mEntries.Version()) {
    mTargetsChanged |= mEntries.OnSnapshot(names, aVersion, now);
    // What was removed since the version known here, but never known, is not
    // among the rows.
    mRemovalsKnownSince = std::max(mRemovalsKnownSince, aVersion);
    MarkMissingRemoved(mTargetRows, names, aVersion);
    if (!mTargetsKnown) {
      mTargetsKnown = true;
      Log(LogLevel::Info,
          "fleet",
          "initial target list received",
          { { "targets", std::to_string(names.size()) },
            { "version", std::to_string(aVersion) },
            { "source", std::string(NameOf(aSource)) } });
    }
  }
  if (aSource == RowSource::SyncedPeer && mEntries.ConfirmRemovals(aVersion)) {
    mTargetsChanged = true;
    Log(LogLevel::Info,
        "fleet",
        "missing targets confirmed as removed",
        { { "version", std::to_string(aVersion) } });
  }
  if (mTargetsChanged) {
    DeclareTargets();
  }
  mExpiryTimer.ScheduleAt(mEntries.NextExpiry());
  if (aSource == RowSource::Store && !aRows.empty() && mEntries.HasRetained() &&
      mRetainedCallback) {
    mRetainedCallback();
  }
}

void
Fleet::OnStoreUnreachable()
{
  mUnreachableSince = EventLoop::Now();
  mEntries.OnStoreUnreachable(mUnreachableSince);
}

void
Fleet::OnStoreReachable()
{
  mEntries.OnStoreReachable(EventLoop::Now());
  mExpiryTimer.ScheduleAt(mEntries.NextExpiry());
}

bool
Fleet::OnStoreAnswer(const StoreEraTracker::Answer& aAnswer)
{
  const bool begins = mEra.OnAnswer(aAnswer);
  if (begins) {
    Log(LogLevel::Warn,
        "fleet",
        "the store has another history",
        { { "era", FormatEra(mEra.Era()) },
          { "version", std::to_string(aAnswer.mVersion) },
          { "known_version", std::to_string(aAnswer.mKnownVersion) } });
    BeginEra();
  }
  return begins;
}

bool
Fleet::OnEraTold(const std::optional<StoreEra>& aEra)
{
  if (!aEra) {
    return mEra.IsFirst();
  }
  if ((mEraBeganAt && EventLoop::Now() - *mEraBeganAt < kMinToldEra) ||
      !mEra.OnTold(*aEra, KnowsVersions())) {
    return mEra.Era() == *aEra;
  }
  Log(LogLevel::Warn,
      "fleet",
      "another host tells that the store has another history",
      { { "era", FormatEra(mEra.Era()) } });
  BeginEra();
  return false;
}

bool
Fleet::KnowsVersions() const
{
  return mConfigurationVersion != 0 || mEntries.Version() != 0 ||
         mHostsVersion != 0;
}

void
Fleet::OnStoreReplaced()
{
  // Usually the same store, so the era stays. If it is another one, its
  // versions show that.
  Log(LogLevel::Info,
      "fleet",
      "reading another store",
      { { "era", FormatEra(mEra.Era()) } });
  BeginEra();
}

// Keeps what is known and in use, but lets all that is read from now on replace
// it.
void
Fleet::BeginEra()
{
  const Time now = EventLoop::Now();
  mRoutingRowVersion = 0;
  mConfigurationVersion = 0;
  mHostsVersion = 0;
  mSuspectsVersion = 0;
  mRemovalsKnownSince = 0;
  mEntries.BeginEra(now);
  mExpiryTimer.ScheduleAt(mEntries.NextExpiry());
  for (auto* rows : { &mConfigurationRows, &mTargetRows, &mHostRows }) {
    for (auto& it : *rows) {
      it.second.mVersion = kEarlierEra;
    }
  }
  // What is known of suspects stays for its own time. A row that is missing now
  // was lost, not removed.
  mSuspectRows.clear();
  mEraBeganAt = now;
  mCopyVersion = 0;
  mHeldRow.reset();
  for (const auto& it : mEraCallbacks) {
    it();
  }
}

// Whether a row must not replace the configuration in force, at least not yet:
// its number is lower, and the store has just come back from an older copy.
// What the copy has is not applied at all, as the operators write again what
// came after it; what they write is held back while a later write may follow.
// A row of the first read that was never in force here may be either.
bool
Fleet::IsHeldBack(const StoreRow& aRow, const RoutingTable& aRouting, Time aNow)
{
  const bool isLower = mRouting != nullptr && aRouting.mVersion != 0 &&
                       aRouting.mVersion < mRouting->mVersion;
  if (!isLower || !mEraBeganAt) {
    return false;
  }
  const bool isOfFirstRead = aRow.mVersion <= mCopyVersion;
  const bool isOfCopy = isOfFirstRead && WasInForce(aRow.mValue);
  const bool wasHeld = mHeldRow && mHeldRow->mVersion == aRow.mVersion;
  if (!isOfCopy && ((wasHeld && aNow >= mHeldUntil) ||
                    aNow - *mEraBeganAt >= kRestoreTime)) {
    return false;
  }
  Log(LogLevel::Warn,
      "fleet",
      "configuration with a lower number held back",
      { { "version", std::to_string(aRouting.mVersion) },
        { "in_force", std::to_string(mRouting->mVersion) },
        { "row_version", std::to_string(aRow.mVersion) },
        { "of_copy", isOfCopy ? "true" : "false" } });
  if (!isOfCopy && (!mHeldRow || mHeldRow->mVersion < aRow.mVersion)) {
    mHeldRow = aRow;
    mHeldUntil = isOfFirstRead ? *mEraBeganAt + kRestoreTime : aNow + kHoldTime;
    mHoldTimer.ScheduleAt(mHeldUntil);
  }
  return true;
}

bool
Fleet::WasInForce(const std::string& aText) const
{
  return std::find(mFormerTexts.begin(),
                   mFormerTexts.end(),
                   StableHash(aText)) != mFormerTexts.end();
}

void
Fleet::ApplyHeldConfiguration()
{
  if (mHeldRow) {
    // Timers may fire a moment early.
    mHeldUntil = EventLoop::Now();
    const StoreRow row = *mHeldRow;
    ApplyConfigurationRow(row, RowSource::Store);
  }
}

bool
Fleet::CanAcceptReplacement(const std::string& aTarget) const
{
  const TargetLocation* location = Locate(aTarget);
  if (!mEntries.IsStoreUnreachable() || mRouting == nullptr ||
      location == nullptr) {
    return false;
  }
  const ServiceTraits* traits = mRouting->FindService(location->mService);
  const auto engines =
    std::count_if(mRouting->Services().begin(),
                  mRouting->Services().end(),
                  [](const auto& aService) { return aService.second.mEngine; });
  // With a single engine service, an engine cannot belong to another one.
  return traits != nullptr && traits->mEngine && engines == 1;
}

void
Fleet::OnTargetReplaced(const std::string& aOld,
                        const std::string& aNew,
                        const std::string& aIncarnation)
{
  const Time now = EventLoop::Now();
  mDepartures.Add(
    { aOld, mTargets.IncarnationOf(aOld), aNew, aIncarnation }, true, now);
  Replace(aOld, aNew, aIncarnation, now);
}

void
Fleet::Replace(const std::string& aOld,
               const std::string& aNew,
               const std::string& aIncarnation,
               Time aNow)
{
  if (!mEntries.OnReplaced(aOld, aNew, aIncarnation, aNow)) {
    return;
  }
  Log(LogLevel::Info,
      "fleet",
      "target replaced while the store is unreachable",
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
    case StoreTable::Suspects:
      return mSuspectRows;
    // Not followed.
    case StoreTable::StreamOrigins:
    case StoreTable::Status:
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
    case StoreTable::Suspects:
      return mSuspectsVersion;
    case StoreTable::StreamOrigins:
    case StoreTable::Status:
    case StoreTable::Targets:
      break;
  }
  return mEntries.Version();
}

void
Fleet::Configure(const GatewaySettings& aSettings)
{
  mSettings = aSettings;
  ConfigureRetryBudget();
}

void
Fleet::ApplyHostRows(const std::vector<StoreRow>& aRows,
                     bool aIsSnapshot,
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
  if (aIsSnapshot && aVersion >= mHostsVersion) {
    MarkMissingRemoved(mHostRows, names, aVersion);
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
  if (hosts == mHostAddresses) {
    return;
  }
  mHostAddresses = std::move(hosts);
  mHeardAddresses.clear();
  mReaders.SetHosts(std::move(candidates));
  mOrigins.SetTellsAll(mHostAddresses.size() <= kMaxTellingHosts);
  std::set<std::string> known;
  for (const auto& it : mHostAddresses) {
    known.insert(it.first);
  }
  for (RetryBudget* it : { mTargets.Retries(), &mTargets.Limits().Shares() }) {
    it->SetHosts(known, EventLoop::Now());
  }
  mTargets.Room().SetHosts(known);
  known.erase(mSettings.mHost);
  mReach.SetHosts(std::move(known));
}

bool
Fleet::IsHostRemovedSince(const std::string& aHost, std::int64_t aVersion) const
{
  const auto it = mHostRows.find(aHost);
  return mHostsVersion > aVersion &&
         (it == mHostRows.end() || it->second.mRemoved);
}

void
Fleet::OnHostHeard(const std::string& aHost,
                   const boost::asio::ip::address& aAddress,
                   Time aNow)
{
  if (mHostAddresses.count(aHost) == 0) {
    mHeardAddresses[aHost] = { aAddress, aNow };
  }
}

std::optional<boost::asio::ip::address>
Fleet::AddressOf(const std::string& aHost, Time aNow) const
{
  const auto known = mHostAddresses.find(aHost);
  if (known != mHostAddresses.end()) {
    const auto endpoint = ParseEndpoint(known->second);
    return endpoint ? std::make_optional(endpoint->address()) : std::nullopt;
  }
  const auto heard = mHeardAddresses.find(aHost);
  return heard != mHeardAddresses.end() &&
             aNow - heard->second.mAt < HeardHosts::kLifetime
           ? std::make_optional(heard->second.mAddress)
           : std::nullopt;
}

void
Fleet::OnTargetGone(const std::string& aTarget, Time aNow)
{
  mTargets.MarkLeaving(aTarget);
  mDepartures.Add(
    { aTarget, mTargets.IncarnationOf(aTarget), {}, {} }, true, aNow);
}

bool
Fleet::OnDepartureTold(const TargetDeparture& aDeparture,
                       bool aPassOn,
                       Time aNow)
{
  const std::string& target = aDeparture.mTarget;
  if (!mTargets.SoftwareVersionOf(target) ||
      mTargets.IncarnationOf(target) != aDeparture.mIncarnation ||
      !mDepartures.Add(aDeparture, aPassOn, aNow)) {
    return false;
  }
  mTargets.MarkLeaving(target, aDeparture.mIncarnation);
  if (!aDeparture.mSuccessor.empty() && CanAcceptReplacement(target)) {
    Replace(
      target, aDeparture.mSuccessor, aDeparture.mSuccessorIncarnation, aNow);
  }
  return true;
}

// Adopts a conviction. Other changes of trials matter only to hosts that want
// to run one.
void
Fleet::ApplyTrialRow(const StoreRow& aRow, Time aNow)
{
  const auto suspects = ParseTrialSuspects(aRow);
  const auto record = ParseTrialRecord(aRow.mValue);
  if (!aRow.mRemoved && !record) {
    ReportUnreadable(kStoreName, "trials");
  }
  if (aRow.mRemoved || !suspects || !record || !record->mConvicted) {
    return;
  }
  mTargets.Suspects().Convict(*suspects, aNow);
  Log(LogLevel::Info,
      "fleet",
      "request convicted of crashing targets",
      { { "suspects", ToHex(suspects->mId) },
        { "lost_trials", std::to_string(record->mLost) },
        { "row_version", std::to_string(aRow.mVersion) } });
}

void
Fleet::ApplySuspectRows(const std::vector<StoreRow>& aRows,
                        bool aIsSnapshot,
                        std::int64_t aVersion)
{
  const ClockReading clocks = ReadClocks();
  const auto apply = [&](const StoreRow& aRow) {
    if (ParseTrialSuspects(aRow) || IsTargetTrialKey(aRow.mKey)) {
      ApplyTrialRow(aRow, clocks.mNow);
      return;
    }
    const auto change = ParseSuspectRow(aRow, clocks);
    if (!change) {
      ReportUnreadable(kStoreName, "suspects");
      Log(LogLevel::Warn,
          "fleet",
          "invalid row of a suspected request ignored",
          { { "key", aRow.mKey },
            { "row_version", std::to_string(aRow.mVersion) } });
      return;
    }
    mTargets.Suspects().OnStoredLoss(*change, clocks.mNow);
    Log(LogLevel::Info,
        "fleet",
        "suspected request read from the store",
        { { "content", ToHex(change->mSuspect) },
          { "deaths",
            std::to_string(
              mTargets.Suspects().Deaths(change->mSuspect, clocks.mNow)) },
          { "removed", aRow.mRemoved ? "true" : "false" },
          { "row_version", std::to_string(aRow.mVersion) } });
  };
  std::vector<std::string> names;
  for (const StoreRow& it : aRows) {
    names.push_back(it.mKey);
    StoreRow& known = mSuspectRows[it.mKey];
    if (it.mVersion > known.mVersion) {
      known = it;
      apply(it);
    }
  }
  if (aIsSnapshot && aVersion >= mSuspectsVersion) {
    for (const std::string& it :
         MarkMissingRemoved(mSuspectRows, names, aVersion)) {
      apply(mSuspectRows[it]);
    }
  }
  mSuspectsVersion = std::max(mSuspectsVersion, aVersion);
  // Removed rows are kept for hosts that ask for changes, but not for long.
  for (auto it = mSuspectRows.begin();
       it != mSuspectRows.end() && mSuspectRows.size() > kMaxSuspectRows;) {
    it = it->second.mRemoved ? mSuspectRows.erase(it) : std::next(it);
  }
}

void
Fleet::ApplyConfigurationRow(const StoreRow& aRow, RowSource aSource)
{
  if (aRow.mVersion <= mRoutingRowVersion) {
    return;
  }
  const Time now = EventLoop::Now();
  std::string reason;
  auto routing = platform::DecodeConfiguration(aRow.mValue, reason);
  if (routing == nullptr) {
    Log(LogLevel::Error,
        "fleet",
        "invalid configuration ignored",
        { { "row_version", std::to_string(aRow.mVersion) },
          { "reason", reason } });
    return;
  }
  // Other hosts are told of rows that are held back here, too.
  StoreRow& told = mConfigurationRows[aRow.mKey];
  if (told.mVersion < aRow.mVersion) {
    told = aRow;
  }
  if (IsHeldBack(aRow, *routing, now)) {
    return;
  }
  mHeldRow.reset();
  mRoutingRowVersion = aRow.mVersion;
  if (mRouting != nullptr && mRoutingText == aRow.mValue) {
    return;
  }
  const std::int64_t replaced = mRouting == nullptr ? 0 : mRouting->mVersion;
  Log(routing->mVersion > replaced ? LogLevel::Info : LogLevel::Warn,
      "fleet",
      "configuration applied",
      { { "version", std::to_string(routing->mVersion) },
        { "replaced_version", std::to_string(replaced) },
        { "row_version", std::to_string(aRow.mVersion) },
        { "source", std::string(NameOf(aSource)) } });
  if (mRouting != nullptr) {
    mFormerTexts.push_back(StableHash(mRoutingText));
    if (mFormerTexts.size() > kMaxFormerTexts) {
      mFormerTexts.pop_front();
    }
    routing->Replace(*mRouting, now);
    mReplaced.OnReplaced(mRouting, now);
  }
  mRouting = std::move(routing);
  mRoutingText = aRow.mValue;
  mVersions.SetWindow(std::max(kMinStreamLife, mRouting->LongestTimeout()));
  DeclareTargets();
}

// Applies an operator's order to move a service to another version. An order
// that is missing may have been lost with the store's history, so that only the
// removal of its row ends it.
void
Fleet::ApplyRolloutRow(const StoreRow& aRow, RowSource aSource)
{
  StoreRow& known = mConfigurationRows[aRow.mKey];
  if (aRow.mVersion <= known.mVersion) {
    return;
  }
  known = aRow;
  std::string reason;
  const auto request = aRow.mRemoved
                         ? std::nullopt
                         : platform::DecodeRolloutRequest(aRow.mValue, reason);
  const std::string service =
    aRow.mKey.substr(std::string(platform::kRolloutKeyPrefix).size());
  const RolloutOrder* order = mRollouts.OrderOf(service);
  const bool isOfCopy = mEraBeganAt && aRow.mVersion <= mCopyVersion &&
                        order != nullptr &&
                        order->mId == StableHash(aRow.mValue);
  if (aRow.mRemoved) {
    mRollouts.OnOrderRemoved(service);
  } else if (isOfCopy) {
    // The store has come back with it; nobody has given it again.
    Log(LogLevel::Info,
        "rollout",
        "order of an older copy ignored",
        { { "service", service },
          { "row_version", std::to_string(aRow.mVersion) } });
  } else if (!request || request->mService != service) {
    Log(
      LogLevel::Error,
      "rollout",
      "invalid order ignored",
      { { "service", service },
        { "row_version", std::to_string(aRow.mVersion) },
        { "reason", request ? "the order is for another service" : reason } });
  } else if (mRouting != nullptr && mRouting->FindService(service) == nullptr) {
    Log(LogLevel::Error,
        "rollout",
        "order for an unknown service ignored",
        { { "service", service },
          { "row_version", std::to_string(aRow.mVersion) } });
  } else {
    const Time now = EventLoop::Now();
    const bool isNew =
      mRollouts.OnOrder({ service,
                          request->mVersion,
                          StableHash(aRow.mValue),
                          now,
                          now + request->mDuration,
                          mConfigurationVersion > 0 && mTargetsKnown });
    Log(LogLevel::Info,
        "rollout",
        isNew ? "order received" : "order read again",
        { { "service", service },
          { "version", request->mVersion },
          { "duration_ms", std::to_string(ToMilliseconds(request->mDuration)) },
          { "row_version", std::to_string(aRow.mVersion) },
          { "source", std::string(NameOf(aSource)) } });
  }
}

bool
Fleet::IsRolloutRecordCurrent(const std::string& aService,
                              std::int64_t aVersion) const
{
  const auto order = mConfigurationRows.find(platform::RolloutKeyOf(aService));
  return order == mConfigurationRows.end() || aVersion > order->second.mVersion;
}

void
Fleet::ApplyTargetRow(const StoreRow& aRow, RowSource aSource)
{
  StoreRow& known = mTargetRows[aRow.mKey];
  if (aRow.mVersion <= known.mVersion) {
    return;
  }
  known = aRow;
  const Time now = EventLoop::Now();
  if (aRow.mRemoved) {
    if (mEntries.OnRemoved(aRow.mKey, aRow.mVersion, now)) {
      mTargetsChanged = true;
      Log(LogLevel::Info,
          "fleet",
          "target removed",
          { { "target", aRow.mKey },
            { "row_version", std::to_string(aRow.mVersion) },
            { "source", std::string(NameOf(aSource)) } });
    }
    if (mTargetRows.size() > kMaxTargetRows) {
      mTargetRows.erase(aRow.mKey);
      mRemovalsKnownSince = std::max(mRemovalsKnownSince, aRow.mVersion);
    }
    return;
  }
  std::string reason;
  const auto entry = platform::DecodeTarget(aRow.mKey, aRow.mValue, reason);
  if (!entry || !ParseEndpoint(entry->mAddress)) {
    if (mEntries.OnMalformed(aRow.mKey, aRow.mVersion, now)) {
      mTargetsChanged = true;
    }
    Log(LogLevel::Warn,
        "fleet",
        "invalid target entry ignored",
        { { "target", aRow.mKey },
          { "row_version", std::to_string(aRow.mVersion) },
          { "reason", reason.empty() ? "invalid address" : reason } });
    return;
  }
  if (mEntries.OnRegistered(*entry, aRow.mVersion, now)) {
    mTargetsChanged = true;
    IdentifyVersion(*entry);
    if (!mTargetsKnown) {
      // The initial targets are logged as one line.
      return;
    }
    Log(LogLevel::Info,
        "fleet",
        "target added or changed",
        { { "target", aRow.mKey },
          { "service", entry->mService },
          { "address", entry->mAddress },
          { "incarnation", entry->mIncarnation },
          { "software", entry->mSoftwareVersion },
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
  for (const TargetEntry& it : mEntries.UsableTargets()) {
    TargetDeclaration target;
    target.mName = it.mName;
    target.mService = it.mService;
    target.mPlace = it.mPlace;
    target.mRegion = mSettings.mRegion;
    target.mLeaving = it.mLeaving;
    target.mIncarnation = it.mIncarnation;
    target.mSoftwareVersion = it.mSoftwareVersion;
    target.mNamePerStart = it.mNamePerStart;
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
  const Time now = EventLoop::Now();
  mTargets.Declare(services, targets, mSettings.mRegion, now);
  std::map<std::string, std::map<std::string, std::string>> versionsByTarget;
  for (const TargetDeclaration& it : targets) {
    if (!it.mLeaving) {
      versionsByTarget[it.mService][it.mName] = it.mSoftwareVersion;
    }
  }
  mRollouts.SetTargets(std::move(versionsByTarget));
  VersionsByService versions;
  std::map<std::string, std::vector<std::string>> staying;
  for (const TargetDeclaration& it : targets) {
    versions[it.mService].insert(it.mSoftwareVersion);
    if (!it.mLeaving) {
      staying[it.mService].push_back(it.mName);
    }
  }
  mReach.Declare(staying);
  mVersions.OnRegistered(versions, now);
  UpdateAnnouncedServices(now);
  VersionsByService registered = RegisteredVersions();
  if (registered != mRegisteredVersions) {
    mRegisteredVersions = std::move(registered);
    if (mVersionCallback) {
      mVersionCallback();
    }
  }
}

// Streams that began at a target without an entry began at the version that the
// target registers later.
void
Fleet::IdentifyVersion(const TargetEntry& aEntry)
{
  const auto known = mTargets.SoftwareVersionOf(aEntry.mName);
  if (known && !IsRegisteredVersion(*known)) {
    mVersions.Rename(aEntry.mService, *known, aEntry.mSoftwareVersion);
    mOrigins.RenameVersion(aEntry.mService, *known, aEntry.mSoftwareVersion);
  }
}

void
Fleet::OnConfigurationKnownAsOf(Time aAsOf)
{
  mConfirmedAsOf = std::max(mConfirmedAsOf, aAsOf);
}

void
Fleet::OnTargetsKnownAsOf(Time aAsOf)
{
  mVersions.OnKnownAsOf(aAsOf);
  UpdateAnnouncedServices(EventLoop::Now());
}

void
Fleet::OnVersionsRecorded(const VersionsByService& aVersions, Time aNow)
{
  mVersions.OnRecorded(aVersions, aNow);
  UpdateAnnouncedServices(aNow);
}

VersionsByService
Fleet::RegisteredVersions() const
{
  VersionsByService versions;
  for (const TargetEntry& it : mEntries.UsableTargets()) {
    if (IsRegisteredVersion(it.mSoftwareVersion)) {
      versions[it.mService].insert(it.mSoftwareVersion);
    }
  }
  return versions;
}

void
Fleet::UpdateAnnouncedServices(Time aNow)
{
  std::set<std::string> mixed = mVersions.MixedServices(aNow);
  if (mixed == mMixedServices) {
    return;
  }
  for (const std::string& it : mixed) {
    if (mMixedServices.count(it) == 0) {
      Log(LogLevel::Info,
          "fleet",
          "service has several software versions",
          { { "service", it },
            { "versions",
              std::to_string(mVersions.RecentVersions(it, aNow).size()) } });
    }
  }
  mMixedServices = mixed;
  mOrigins.SetAnnouncedServices(std::move(mixed), aNow);
}

void
Fleet::ConfigureRetryBudget()
{
  RetryBudget::Options options;
  options.mRatio = mSettings.mRetryRatio;
  options.mAllowance = mSettings.mRetryAllowance;
  options.mWindow = mSettings.mRetryWindow;
  options.mHost = mSettings.mHost;
  options.mSettledAt = RetryBudget::SettledAt(mStartedAt, options.mWindow);
  options.mFirstAsk = mStartId;
  options.mClock = &AddSuspendedTime;
  mTargets.ConfigureRetryBudget(options);
  TargetLimits::Options limits;
  limits.mHost = mSettings.mHost;
  mTargets.Room().SetHost(mSettings.mHost);
  limits.mStartedAt = mStartedAt;
  limits.mFirstAsk = mStartId;
  limits.mClock = &AddSuspendedTime;
  mTargets.Limits().Configure(limits);
}

} // namespace quetzalquay
