#include "gateway/StreamOriginStore.h"

#include "core/Hash.h"
#include "gateway/StreamOriginRows.h"
#include "gateway/SuspectRows.h"
#include "observe/Log.h"

#include <algorithm>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Time between two writes of one host on average, and the writes per second of
// all hosts together, which lengthen it.
constexpr Duration kWriteInterval = milliseconds(300);
constexpr int kFleetWritesPerSecond = 100;

// Delay before a write, so that streams that begin together share one. Their
// callers wait for it.
constexpr Duration kBatchDelay = milliseconds(10);

// Writes of one host that may follow each other at once. Streams don't begin
// evenly, and a stream whose origin waits is lost if all hosts end meanwhile.
constexpr int kWriteBurst = 3;

// Time for which the removal of an origin waits for a write of other origins.
constexpr Duration kRemovalDelay = std::chrono::seconds(5);

// Time limit for a read.
constexpr Duration kReadTimeout = milliseconds(600);

// Delay before a failed read is repeated.
constexpr Duration kReadRetryDelay = milliseconds(100);

// Interval at which the history of versions and the rows are checked.
constexpr Duration kTickInterval = milliseconds(500);

// Time in which another host usually provides the history of versions, after
// which it is read from the store.
constexpr Duration kHistoryReadDelay = milliseconds(1200);

// Least time between two reads for the history of versions.
constexpr Duration kHistoryReadInterval = std::chrono::seconds(5);

// Time from the beginning of an era of the store until the rows of versions are
// written again. The hosts' own rows are back by then, so that only readers
// write.
constexpr Duration kVersionsAgainDelay = std::chrono::seconds(1);

// Interval between two searches for expired rows.
constexpr Duration kSweepInterval = std::chrono::minutes(1);

bool
Contains(const VersionsByService& aVersions,
         const std::string& aService,
         const std::string& aVersion)
{
  const auto service = aVersions.find(aService);
  return service != aVersions.end() && service->second.count(aVersion) != 0;
}

} // namespace

StreamOriginStore::StreamOriginStore(EventLoop& aLoop,
                                     const GatewaySettings& aSettings,
                                     Fleet& aFleet,
                                     GatewayMetrics& aMetrics,
                                     ReplyBuffers& aReplies)
  : mFleet(aFleet)
  , mMetrics(aMetrics)
  , mWriter(aLoop,
            aSettings.mStoreEndpoint,
            aReplies,
            { platform::StoreTable::StreamOrigins,
              [this] { return TakeChanges(); },
              [this] { return WriteInterval(); },
              [this](const auto& aRows) { OnWritten(aRows); },
              kBatchDelay,
              kWriteBurst })
  , mVersionWriter(aLoop,
                   aSettings.mStoreEndpoint,
                   aReplies,
                   { platform::StoreTable::StreamOrigins,
                     [] { return std::vector<platform::RowChange>(); },
                     [] { return Duration::zero(); },
                     [this](const auto& aRows) { OnWritten(aRows); },
                     Duration::zero() })
  , mReader(aLoop,
            aSettings.mStoreEndpoint,
            aReplies,
            platform::StoreTable::StreamOrigins)
  , mStoredTimer(aLoop, [this] { FinishStoredWaits(EventLoop::Now()); })
  , mLookupTimer(aLoop, [this] { FinishLookups(EventLoop::Now(), false); })
  , mRetryTimer(aLoop, [this] { StartRead(); })
  , mTickTimer(aLoop, [this] { Tick(); })
  , mNextHistoryReadAt(EventLoop::Now() + kHistoryReadDelay)
  , mNextSweepAt(EventLoop::Now() + kSweepInterval)
{
  mFleet.Origins().SetStoreCallback([this](bool aRemoves) {
    if (aRemoves) {
      mWriter.NotifyBy(EventLoop::Now() + kRemovalDelay);
    } else {
      mWriter.Notify();
    }
  });
  mFleet.SetVersionCallback([this] {
    // A host that does not know the others yet takes itself for a reader.
    if (mFleet.Version(platform::StoreTable::Hosts) != 0) {
      WriteVersions();
    }
  });
  mFleet.AddEraCallback([this] { OnEraBegan(); });
  mTickTimer.ScheduleAt(EventLoop::Now() + kTickInterval);
}

void
StreamOriginStore::SetStore(const Endpoint& aStore)
{
  mWriter.SetStore(aStore);
  mVersionWriter.SetStore(aStore);
  mReader.SetStore(aStore);
}

std::uint64_t
StreamOriginStore::LookUp(std::uint64_t aKey,
                          Time aDeadline,
                          std::function<void()> aDone)
{
  const std::uint64_t number = ++mNextLookup;
  mLookups[number] = { aKey, aDeadline, std::move(aDone), false };
  mLookupTimer.ScheduleAt(std::min(aDeadline, mLookupTimer.Expiry()));
  StartRead();
  return number;
}

void
StreamOriginStore::CancelLookUp(std::uint64_t aNumber)
{
  mLookups.erase(aNumber);
}

std::vector<platform::RowChange>
StreamOriginStore::TakeChanges()
{
  const std::int64_t unixMs = ReadClocks().mUnixMs;
  std::vector<platform::RowChange> rows;
  for (const auto& it : mFleet.Origins().TakeStoreChanges()) {
    rows.push_back(FormatOriginRow(it, unixMs));
  }
  return rows;
}

Duration
StreamOriginStore::WriteInterval() const
{
  const auto hosts = static_cast<int>(mFleet.HostAddresses().size());
  return std::max(kWriteInterval,
                  Duration(std::chrono::seconds(hosts)) /
                    kFleetWritesPerSecond);
}

void
StreamOriginStore::OnWritten(const std::vector<platform::RowChange>& aRows)
{
  mMetrics.Add(GatewayCounter::OriginsStored,
               static_cast<double>(aRows.size()));
  for (const platform::RowChange& it : aRows) {
    const auto wait = mStoredWaits.find(it.mKey);
    if (wait != mStoredWaits.end() && it.mValue) {
      mFleet.Origins().OnStored(wait->second.mKey);
    }
  }
  FinishStoredWaits(EventLoop::Now());
}

bool
StreamOriginStore::AwaitStored(std::uint64_t aKey,
                               Time aDeadline,
                               std::function<void()> aDone)
{
  const std::string row = ToHex(aKey);
  // Of two requests with one ID only the first one waits.
  if (!mFleet.Origins().IsBeingStored(aKey) || !mWriter.CanWriteBy(aDeadline) ||
      mStoredWaits.count(row) != 0) {
    return false;
  }
  mStoredWaits[row] = { aKey, aDeadline, std::move(aDone) };
  mStoredTimer.ScheduleAt(std::min(aDeadline, mStoredTimer.Expiry()));
  return true;
}

// Ends the waits for rows that the store has, and those that are late.
void
StreamOriginStore::FinishStoredWaits(Time aNow)
{
  std::vector<std::function<void()>> done;
  Time next = Time::max();
  for (auto it = mStoredWaits.begin(); it != mStoredWaits.end();) {
    StoredWait& wait = it->second;
    if (aNow >= wait.mDeadline || !mFleet.Origins().IsBeingStored(wait.mKey)) {
      done.push_back(std::move(wait.mDone));
      it = mStoredWaits.erase(it);
    } else {
      next = std::min(next, wait.mDeadline);
      ++it;
    }
  }
  mStoredTimer.ScheduleAt(next);
  for (const auto& it : done) {
    it();
  }
}

// Stores the registered versions if this host is a reader of the store. A new
// one waits neither for the tick nor for the streams' next batch: if all hosts
// end before its row is stored, nothing tells that streams began there.
void
StreamOriginStore::WriteVersions()
{
  if (!mFleet.IsReady() || !mFleet.Readers().IsReader(EventLoop::Now())) {
    return;
  }
  const std::int64_t unixMs = ReadClocks().mUnixMs;
  const VersionsByService registered = mFleet.RegisteredVersions();
  for (auto it = mWrittenVersions.begin(); it != mWrittenVersions.end();) {
    // The row may be removed from now on.
    it = Contains(registered, it->first, it->second)
           ? std::next(it)
           : mWrittenVersions.erase(it);
  }
  for (const auto& service : registered) {
    for (const std::string& it : service.second) {
      if (mWrittenVersions.emplace(service.first, it).second) {
        Log(LogLevel::Info,
            "store",
            "storing a software version",
            { { "service", service.first }, { "software", it } });
        mVersionWriter.Add(FormatVersionRow(service.first, it, unixMs));
      }
    }
  }
}

// Stores the versions again at which streams may have begun that are not over.
// Those that this host has not seen itself may have been removed on purpose.
void
StreamOriginStore::WriteVersionsAgain(Time aNow)
{
  mWrittenVersions.clear();
  if (!mFleet.Readers().IsReader(aNow)) {
    return;
  }
  const std::int64_t unixMs = ReadClocks().mUnixMs;
  for (const auto& service : mFleet.Versions().AllRecentVersions(aNow)) {
    for (const std::string& it : service.second) {
      if (IsRegisteredVersion(it) &&
          mFleet.Versions().WasObserved(service.first, it, aNow)) {
        mVersionWriter.Add(FormatVersionRow(service.first, it, unixMs));
      }
    }
  }
}

void
StreamOriginStore::OnEraBegan()
{
  const Time now = EventLoop::Now();
  mFleet.Origins().StoreAgain(now);
  mVersionsAgainAt = now + kVersionsAgainDelay;
}

void
StreamOriginStore::StartRead()
{
  if (mReader.IsBusy()) {
    return;
  }
  for (auto& it : mLookups) {
    it.second.mInRead = true;
  }
  mMetrics.Add(GatewayCounter::OriginLookups);
  mReader.Read(
    EventLoop::Now() + kReadTimeout,
    [this](const auto& aRows, const auto& aReason) { OnRead(aRows, aReason); });
}

void
StreamOriginStore::OnRead(
  const std::optional<std::vector<platform::StoreRow>>& aRows,
  const std::string& aReason)
{
  const Time now = EventLoop::Now();
  Log(aRows ? LogLevel::Info : LogLevel::Warn,
      "store",
      aRows ? "stream origins read" : "reading stream origins failed",
      { { "rows", std::to_string(aRows ? aRows->size() : 0) },
        { "lookups", std::to_string(mLookups.size()) },
        { "reason", aReason } });
  if (aRows) {
    ApplyRows(*aRows, now);
    if (std::exchange(mSweepDue, false)) {
      SweepRows(*aRows, now);
    }
  }
  FinishLookups(now, aRows.has_value());
  if (!mLookups.empty()) {
    mRetryTimer.ScheduleAt(aRows ? now : now + kReadRetryDelay);
  }
}

void
StreamOriginStore::ApplyRows(const std::vector<platform::StoreRow>& aRows,
                             Time aNow)
{
  const VersionsByService registered = mFleet.RegisteredVersions();
  VersionsByService versions;
  mHasTransientRows = false;
  for (const platform::StoreRow& it : aRows) {
    const auto row = ParseOriginRow(it);
    if (!row) {
      mFleet.ReportUnreadable("store", "stream_origins");
      Log(LogLevel::Warn,
          "store",
          "invalid row of a stream origin ignored",
          { { "key", it.mKey } });
    } else if (row->mOrigin) {
      mFleet.Origins().OnReported(*row->mOrigin, OriginSource::Store, aNow);
    }
    if (row) {
      versions[row->mService].insert(row->mSoftwareVersion);
    }
    mHasTransientRows |=
      row && (row->mOrigin ||
              !Contains(registered, row->mService, row->mSoftwareVersion));
  }
  mFleet.OnVersionsRecorded(versions, aNow);
}

// Removes rows of streams that are over by now, and of versions that were not
// registered for as long as a stream lasts.
void
StreamOriginStore::SweepRows(const std::vector<platform::StoreRow>& aRows,
                             Time aNow)
{
  const std::int64_t unixMs = ReadClocks().mUnixMs;
  const bool observed = mFleet.Versions().IsObserved(aNow);
  for (const platform::StoreRow& it : aRows) {
    const auto row = ParseOriginRow(it);
    bool expired = IsOriginRowOutdated(row, unixMs);
    if (row && !row->mOrigin) {
      expired = observed && !mFleet.Versions().WasObserved(
                              row->mService, row->mSoftwareVersion, aNow);
    }
    if (expired) {
      // A removal of a version that is back is replaced while it waits.
      RowWriter& writer = row && !row->mOrigin ? mVersionWriter : mWriter;
      writer.Add({ it.mKey, std::nullopt });
    }
  }
}

// Ends the lookups that need no further read: those whose origin is known by
// now, those that a complete read has answered, and those that are late.
void
StreamOriginStore::FinishLookups(Time aNow, bool aWasRead)
{
  std::vector<std::function<void()>> done;
  Time next = Time::max();
  for (auto it = mLookups.begin(); it != mLookups.end();) {
    LookupState& lookup = it->second;
    const bool answered = aWasRead && lookup.mInRead;
    if (answered || aNow >= lookup.mDeadline ||
        mFleet.Origins().Find(lookup.mKey, aNow)) {
      done.push_back(std::move(lookup.mDone));
      it = mLookups.erase(it);
    } else {
      next = std::min(next, lookup.mDeadline);
      ++it;
    }
  }
  mLookupTimer.ScheduleAt(next);
  for (const auto& it : done) {
    it();
  }
}

void
StreamOriginStore::Tick()
{
  const Time now = EventLoop::Now();
  mTickTimer.ScheduleAt(now + kTickInterval);
  if (!mFleet.IsReady()) {
    return;
  }
  if (now >= mVersionsAgainAt) {
    mVersionsAgainAt = Time::max();
    WriteVersionsAgain(now);
  }
  WriteVersions();
  if (mFleet.Readers().IsReader(now) && now >= mNextSweepAt) {
    mNextSweepAt = now + kSweepInterval;
    mSweepDue =
      mHasTransientRows || !mFleet.Versions().MixedServices(now).empty();
  }
  if (mFleet.Versions().IsComplete(now)) {
    mNextHistoryReadAt = now + kHistoryReadDelay;
  }
  if (mSweepDue || now >= mNextHistoryReadAt) {
    mNextHistoryReadAt = now + kHistoryReadInterval;
    StartRead();
  }
}

} // namespace quetzalquay
