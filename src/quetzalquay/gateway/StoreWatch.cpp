#include "gateway/StoreWatch.h"

#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

using platform::StoreRow;
using platform::StoreRows;
using platform::StoreTable;
using std::chrono::milliseconds;

// Time limit for a response of the store, in addition to the long-poll time.
constexpr Duration kReplyTimeout = milliseconds(900);

// Exponential backoff after failed calls: first and longest delay.
constexpr Duration kInitialBackoff = milliseconds(100);
constexpr Duration kMaxBackoff = milliseconds(800);

// Long-poll time for the configuration table.
constexpr Duration kConfigurationLongPoll = milliseconds(2000);

// Interval between two reads of the targets table. Together with the time for
// a response it has to stay well below the time within which requests to a
// leaving target must cease.
constexpr Duration kTargetsPollInterval = milliseconds(600);

// Long-poll time for the table of suspected requests, which rarely changes.
constexpr Duration kSuspectsLongPoll = milliseconds(5000);

// Interval between two reads of the hosts table, which rarely changes.
constexpr Duration kHostsPollInterval = milliseconds(5000);

} // namespace

TableWatcher::TableWatcher(EventLoop& aLoop,
                           const Endpoint& aStore,
                           Options aOptions,
                           OnRows aOnRows,
                           OnOutcome aOnOutcome)
  : mHostHeader(FormatEndpoint(aStore))
  , mOptions(std::move(aOptions))
  , mOnRows(std::move(aOnRows))
  , mOnOutcome(std::move(aOnOutcome))
  , mHttpClient(aLoop, aStore)
  , mCallTimer(aLoop, [this] { StartCall(); })
{
}

void
TableWatcher::Start()
{
  StartCall();
}

void
TableWatcher::PollNow()
{
  if (!mHttpClient.IsBusy()) {
    mCallTimer.ScheduleAt(EventLoop::Now());
  }
}

void
TableWatcher::PollIfNeeded()
{
  if (!mCallTimer.IsSet()) {
    StartCall();
  }
}

void
TableWatcher::StartCall()
{
  if (mHttpClient.IsBusy() || !mOptions.mShouldRead()) {
    return;
  }
  mLastCallAt = EventLoop::Now();
  if (mVersion == 0) {
    mSnapshotRows.clear();
    ReadPage(std::string());
  } else {
    mVersion = std::max(mVersion, mOptions.mKnownVersion());
    RequestChanges();
  }
}

void
TableWatcher::ReadPage(const std::string& aFrom)
{
  mHttpClient.Call(platform::EncodeRead(mHostHeader, mOptions.mTable, aFrom),
                   EventLoop::Now() + kReplyTimeout,
                   [this](const auto& aReply, const auto& aReason) {
                     OnPage(aReply, aReason);
                   });
}

void
TableWatcher::OnPage(const std::optional<HttpReply>& aReply,
                     const std::string& aReason)
{
  const auto rows = DecodeReply(aReply, aReason);
  if (!rows) {
    return;
  }
  if (mSnapshotRows.empty()) {
    mSnapshotVersion = rows->mVersion;
  }
  mSnapshotRows.insert(
    mSnapshotRows.end(), rows->mRows.begin(), rows->mRows.end());
  if (rows->mHasMore && !mSnapshotRows.empty()) {
    // Continue at the smallest key that follows the last one.
    ReadPage(mSnapshotRows.back().mKey + '\x01');
    return;
  }
  // Changes made between two pages are received again, as changes are requested
  // from the version of the first page.
  mVersion = mSnapshotVersion;
  const auto pages = std::exchange(mSnapshotRows, {});
  mOnRows(pages, true, mSnapshotVersion);
  OnCallSucceeded();
}

void
TableWatcher::RequestChanges()
{
  mHttpClient.Call(
    platform::EncodeWatch(
      mHostHeader, mOptions.mTable, mVersion, mOptions.mLongPoll),
    EventLoop::Now() + mOptions.mLongPoll + kReplyTimeout,
    [this](const auto& aReply, const auto& aReason) {
      OnChanges(aReply, aReason);
    });
}

void
TableWatcher::OnChanges(const std::optional<HttpReply>& aReply,
                        const std::string& aReason)
{
  if (aReply && aReply->mHead.mStatus == platform::kWatchExpiredStatus) {
    Log(LogLevel::Warn,
        "store",
        "change history no longer available; reading the complete table",
        { { "table", std::string(NameOf(mOptions.mTable)) },
          { "known_version", std::to_string(mVersion) } });
    mVersion = 0;
    StartCall();
    return;
  }
  const auto rows = DecodeReply(aReply, aReason);
  if (!rows) {
    return;
  }
  mVersion = std::max(mVersion, rows->mVersion);
  for (const StoreRow& it : rows->mRows) {
    mVersion = std::max(mVersion, it.mVersion);
  }
  if (!rows->mRows.empty()) {
    mOnRows(rows->mRows, false, mVersion);
  }
  OnCallSucceeded();
}

std::optional<StoreRows>
TableWatcher::DecodeReply(const std::optional<HttpReply>& aReply,
                          const std::string& aReason)
{
  if (!aReply) {
    OnCallFailed(aReason);
    return std::nullopt;
  }
  if (aReply->mHead.mStatus != 200) {
    OnCallFailed("status " + std::to_string(aReply->mHead.mStatus));
    return std::nullopt;
  }
  std::string reason;
  auto rows = platform::DecodeRows(aReply->mBody, reason);
  if (!rows) {
    OnCallFailed(reason);
  }
  return rows;
}

void
TableWatcher::OnCallFailed(const std::string& aReason)
{
  if (mFailures == 0) {
    Log(LogLevel::Warn,
        "store",
        "reading a table failed",
        { { "table", std::string(NameOf(mOptions.mTable)) },
          { "known_version", std::to_string(mVersion) },
          { "reason", aReason } });
  }
  const Duration pause =
    std::min(kMaxBackoff, kInitialBackoff * (1 << std::min(mFailures, 4)));
  ++mFailures;
  mCallTimer.ScheduleAt(EventLoop::Now() + pause);
  mOnOutcome(false);
}

void
TableWatcher::OnCallSucceeded()
{
  mFailures = 0;
  const Duration pause = mVersion == 0
                           ? std::max(mOptions.mInterval, kInitialBackoff)
                           : mOptions.mInterval;
  mCallTimer.ScheduleAt(EventLoop::Now() + pause);
  mOnOutcome(true);
}

StoreWatch::StoreWatch(EventLoop& aLoop,
                       const GatewaySettings& aSettings,
                       Fleet& aFleet)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mFleet(aFleet)
  , mWriter(aLoop, aSettings.mStoreEndpoint)
  , mWriteTimer(aLoop, [this] { WriteOwnRow(); })
  , mUnreachableSince(EventLoop::Now())
{
  const auto make =
    [&](StoreTable aTable, Duration aLongPoll, Duration aInterval) {
      return std::make_unique<TableWatcher>(
        mLoop,
        mSettings.mStoreEndpoint,
        TableWatcher::Options{
          aTable,
          aLongPoll,
          aInterval,
          [this] { return ShouldRead(); },
          [this, aTable] { return mFleet.Version(aTable); } },
        [this, aTable](const std::vector<StoreRow>& aRows,
                       bool aIsSnapshot,
                       std::int64_t aVersion) {
          mFleet.ApplyRows(
            aTable, aRows, aIsSnapshot, aVersion, RowSource::Store);
        },
        [this, aTable](bool aAnswered) { OnOutcome(aTable, aAnswered); });
    };
  mConfiguration =
    make(StoreTable::Configuration, kConfigurationLongPoll, Duration::zero());
  mTargets = make(StoreTable::Targets, Duration::zero(), kTargetsPollInterval);
  mHostRows = make(StoreTable::Hosts, Duration::zero(), kHostsPollInterval);
  mSuspects = make(StoreTable::Suspects, kSuspectsLongPoll, Duration::zero());
}

void
StoreWatch::Start()
{
  mConfiguration->Start();
  mTargets->Start();
  mHostRows->Start();
  mSuspects->Start();
}

void
StoreWatch::PollIfNeeded()
{
  for (TableWatcher* it : { mConfiguration.get(),
                            mTargets.get(),
                            mHostRows.get(),
                            mSuspects.get() }) {
    it->PollIfNeeded();
  }
}

bool
StoreWatch::ShouldRead() const
{
  return mUnreachableSince != Time::max() ||
         mFleet.Readers().MustReadStore(EventLoop::Now());
}

void
StoreWatch::RegisterHost(const std::string& aValue)
{
  mOwnRow = aValue;
  mOwnRowWritten = false;
  WriteOwnRow();
}

void
StoreWatch::DeregisterHost()
{
  mDeregistering = true;
  mOwnRowWritten = false;
  WriteOwnRow();
}

void
StoreWatch::WriteOwnRow()
{
  if (mOwnRowWritten || mWriter.IsBusy()) {
    return;
  }
  const std::string host = FormatEndpoint(mSettings.mStoreEndpoint);
  // Safe to retry after a lost response, as each write has the same effect.
  const std::string request =
    mDeregistering
      ? platform::EncodeRemove(host, StoreTable::Hosts, mSettings.mHost)
      : platform::EncodePut(host, StoreTable::Hosts, mSettings.mHost, mOwnRow);
  const bool deregistering = mDeregistering;
  mWriter.Call(
    request,
    EventLoop::Now() + kReplyTimeout,
    [this, deregistering](const auto& aReply, const auto& aReason) {
      mOwnRowWritten = aReply && aReply->mHead.mStatus == 200 &&
                       deregistering == mDeregistering;
      if (mOwnRowWritten) {
        mWriter.Cancel();
        mHostRows->PollNow();
        return;
      }
      Log(LogLevel::Warn,
          "store",
          "writing this host's row failed",
          { { "reason",
              aReply ? "status " + std::to_string(aReply->mHead.mStatus)
                     : aReason } });
      mWriteTimer.ScheduleAt(EventLoop::Now() + kMaxBackoff);
    });
}

void
StoreWatch::OnOutcome(StoreTable aTable, bool aAnswered)
{
  const bool wasUnreachable = mUnreachableSince != Time::max();
  if (aAnswered && aTable == StoreTable::Targets) {
    mFleet.Readers().OnStoreRead(mTargets->LastCallAt());
  }
  if (aAnswered && wasUnreachable) {
    mUnreachableSince = Time::max();
    mFleet.OnStoreReachable();
    mConfiguration->PollNow();
    mTargets->PollNow();
    Log(LogLevel::Info,
        "store",
        "store reachable",
        { { "table", std::string(NameOf(aTable)) } });
  } else if (!aAnswered && !wasUnreachable) {
    mUnreachableSince = EventLoop::Now();
    mFleet.OnStoreUnreachable();
    Log(LogLevel::Warn,
        "store",
        "store unreachable",
        { { "table", std::string(NameOf(aTable)) } });
  }
}

} // namespace quetzalquay
