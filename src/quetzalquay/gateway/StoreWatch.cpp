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

// Time after the end of a long poll from which on its response is overdue.
constexpr Duration kOverdueAfter = milliseconds(300);

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

// Least time between two writes of this host's row because it was removed.
constexpr Duration kRewriteInterval = milliseconds(3000);

// The version as of which changes are complete. The reply has the newest
// version of the store, also if more changes follow.
std::int64_t
CompleteUpTo(const StoreRows& aChanges)
{
  const bool endsAtRows = aChanges.mHasMore && aChanges.mRowsUpTo != 0;
  return endsAtRows ? aChanges.mRowsUpTo
                    : std::max(aChanges.mVersion, aChanges.mRowsUpTo);
}

// Whether the store refuses a call for what it asks, not for the time being.
bool
IsCallRefused(int aStatus)
{
  return aStatus == 400 || aStatus == 404 || aStatus == 416;
}

} // namespace

TableWatcher::TableWatcher(EventLoop& aLoop,
                           const Endpoint& aStore,
                           ReplyBuffers& aReplies,
                           Options aOptions,
                           OnRows aOnRows,
                           OnCallEnded aOnCallEnded)
  : mOptions(std::move(aOptions))
  , mOnRows(std::move(aOnRows))
  , mOnCallEnded(std::move(aOnCallEnded))
  , mReplies(aReplies)
  , mHttpClient(aLoop, aStore, aReplies, ReplyKind::Rows)
  , mCallTimer(aLoop, [this] { StartCall(); })
  , mHeldRows(aReplies)
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

bool
TableWatcher::IsCurrent(Time aNow) const
{
  const Time askedAt = mUnansweredSince.value_or(mSentAt);
  const bool overdue = mHttpClient.IsBusy() &&
                       aNow - askedAt >= mOptions.mLongPoll + kOverdueAfter;
  return mFailures == 0 && mVersion != 0 && !overdue;
}

void
TableWatcher::Restart()
{
  if (mHttpClient.IsBusy()) {
    mHttpClient.Cancel();
    // The former call has told nothing, so the next one has to show soon
    // whether the store answers.
    mAsksAtOnce = true;
  }
  PollNow();
}

void
TableWatcher::Reset()
{
  mUnansweredSince.reset();
  mAsksAtOnce = false;
  mVersion = 0;
  mFormerVersion = 0;
  mFailures = 0;
  mSnapshotRows.clear();
  mHeldRows.Resize(0);
  // Also while no call is in progress: the answer that began the era may have
  // been this watcher's.
  mHttpClient.Cancel();
  PollNow();
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
  const bool known = mVersion != 0 || mOptions.mKnownVersion() != 0;
  if (mHttpClient.IsBusy()) {
    return;
  }
  if (known && !mOptions.mShouldRead()) {
    mUnansweredSince.reset();
    return;
  }
  mLastCallAt = EventLoop::Now();
  if (mVersion == 0) {
    ReadAll();
  } else {
    mVersion = std::max(mVersion, mOptions.mKnownVersion());
    RequestChanges();
  }
}

void
TableWatcher::ReadAll()
{
  mFormerVersion = std::max(mFormerVersion, mVersion);
  mVersion = 0;
  mSnapshotRows.clear();
  mSnapshotBytes = 0;
  mMissedChangesRead = false;
  ReadPage(std::string());
}

void
TableWatcher::Send(
  const std::string& aRequest,
  Duration aLongPoll,
  void (TableWatcher::*aOnReply)(const std::optional<HttpReply>& aReply,
                                 const std::string& aReason))
{
  mSentAt = EventLoop::Now();
  mUnansweredSince = mUnansweredSince.value_or(mSentAt);
  mReadsPage = aOnReply == &TableWatcher::OnPage;
  mKnownAtSend =
    std::max({ mVersion, mFormerVersion, mOptions.mKnownVersion() });
  mHttpClient.Call(aRequest,
                   mSentAt + aLongPoll + kReplyTimeout,
                   [this, aOnReply](const auto& aReply, const auto& aReason) {
                     (this->*aOnReply)(aReply, aReason);
                   });
}

void
TableWatcher::ReadPage(const std::string& aFrom)
{
  Send(platform::EncodeRead(mHttpClient.ServerName(), mOptions.mTable, aFrom),
       Duration::zero(),
       &TableWatcher::OnPage);
}

void
TableWatcher::OnPage(const std::optional<HttpReply>& aReply,
                     const std::string& aReason)
{
  const auto rows = DecodeReply(aReply, aReason);
  if (!rows) {
    return;
  }
  if (rows->mHasMore && rows->mRows.empty()) {
    OnCallFailed(StoreCallEnd::Rejected,
                 "a page without rows says that more follow");
    return;
  }
  if (mSnapshotRows.empty()) {
    mSnapshotVersion = rows->mVersion;
  }
  for (const StoreRow& it : rows->mRows) {
    mSnapshotRows[it.mKey] = it;
  }
  mSnapshotBytes += aReply->mBody.size();
  if (!mHeldRows.Resize(mSnapshotBytes)) {
    mSnapshotRows.clear();
    mHeldRows.Resize(0);
    mReplies.OnGivenUp(
      ReplyKind::Rows, mHttpClient.ServerName(), mSnapshotBytes);
    OnCallFailed(StoreCallEnd::Rejected, "the table needs too much memory");
    return;
  }
  if (rows->mHasMore) {
    // Continue at the smallest key that follows the last one.
    ReadPage(mSnapshotRows.rbegin()->first + '\x01');
    return;
  }
  FinishSnapshot();
}

// Whether a row of the complete table is newer than the table's version, as its
// pages are of different moments.
bool
TableWatcher::HasNewerRows() const
{
  return std::any_of(
    mSnapshotRows.begin(), mSnapshotRows.end(), [this](const auto& aItem) {
      return aItem.second.mVersion > mSnapshotVersion;
    });
}

// Passes the complete table on. Before that, reads the changes since its first
// page if a later page or another host has newer rows.
void
TableWatcher::FinishSnapshot()
{
  if (HasNewerRows() ||
      (mSnapshotVersion < mOptions.mKnownVersion() && !mMissedChangesRead)) {
    Send(platform::EncodeWatch(mHttpClient.ServerName(),
                               mOptions.mTable,
                               mSnapshotVersion,
                               Duration::zero()),
         Duration::zero(),
         &TableWatcher::OnMissedChanges);
    return;
  }
  mVersion = mSnapshotVersion;
  mFormerVersion = 0;
  mHeldRows.Resize(0);
  std::vector<StoreRow> rows;
  for (auto& it : std::exchange(mSnapshotRows, {})) {
    rows.push_back(std::move(it.second));
  }
  mOnRows(rows, true, mSnapshotVersion);
  OnCallSucceeded();
}

void
TableWatcher::OnMissedChanges(const std::optional<HttpReply>& aReply,
                              const std::string& aReason)
{
  const auto rows = DecodeReply(aReply, aReason);
  if (!rows) {
    return;
  }
  mMissedChangesRead = !rows->mHasMore;
  const std::int64_t version = CompleteUpTo(*rows);
  if (version <= mSnapshotVersion && (rows->mHasMore || HasNewerRows())) {
    OnCallFailed(StoreCallEnd::Rejected,
                 "the changes end before rows that were read");
    return;
  }
  for (const StoreRow& it : rows->mRows) {
    if (it.mRemoved) {
      mSnapshotRows.erase(it.mKey);
    } else {
      mSnapshotRows[it.mKey] = it;
    }
  }
  mSnapshotVersion = std::max(mSnapshotVersion, version);
  FinishSnapshot();
}

void
TableWatcher::RequestChanges()
{
  const Duration wait =
    std::exchange(mAsksAtOnce, false) ? Duration::zero() : mOptions.mLongPoll;
  Send(platform::EncodeWatch(
         mHttpClient.ServerName(), mOptions.mTable, mVersion, wait),
       wait,
       &TableWatcher::OnChanges);
}

void
TableWatcher::OnChanges(const std::optional<HttpReply>& aReply,
                        const std::string& aReason)
{
  if (aReply && aReply->mHead.mStatus == platform::kWatchExpiredStatus) {
    if (mOptions.mBeginsEra(aReply->mHead, 0, mKnownAtSend)) {
      return;
    }
    Log(LogLevel::Warn,
        "store",
        "change history no longer available; reading the complete table",
        { { "table", std::string(NameOf(mOptions.mTable)) },
          { "known_version", std::to_string(mVersion) } });
    ReadAll();
    return;
  }
  const auto rows = DecodeReply(aReply, aReason);
  if (!rows) {
    return;
  }
  if (rows->mVersion != 0 && rows->mVersion < mKnownAtSend) {
    Log(LogLevel::Warn,
        "store",
        "the store's version went back; reading the complete table",
        { { "table", std::string(NameOf(mOptions.mTable)) },
          { "version", std::to_string(rows->mVersion) },
          { "known_version", std::to_string(mKnownAtSend) } });
    ReadAll();
    return;
  }
  const std::int64_t before = mVersion;
  mVersion = std::max(mVersion, CompleteUpTo(*rows));
  if (!rows->mRows.empty()) {
    mOnRows(rows->mRows, false, mVersion);
  }
  OnCallSucceeded();
  if (rows->mHasMore && mVersion > before) {
    mCallTimer.ScheduleAt(EventLoop::Now());
  }
}

std::optional<StoreRows>
TableWatcher::DecodeReply(const std::optional<HttpReply>& aReply,
                          const std::string& aReason)
{
  if (!aReply) {
    OnCallFailed(mHttpClient.HasTimedOut() ? StoreCallEnd::TimedOut
                                           : StoreCallEnd::Rejected,
                 aReason);
    return std::nullopt;
  }
  if (aReply->mHead.mStatus != 200) {
    if (mOptions.mBeginsEra(aReply->mHead, 0, mKnownAtSend)) {
      return std::nullopt;
    }
    if (IsCallRefused(aReply->mHead.mStatus)) {
      // A store may refuse a version that it doesn't have.
      mFormerVersion = std::max(mFormerVersion, mVersion);
      mVersion = 0;
    }
    OnCallFailed(StoreCallEnd::Rejected,
                 "status " + std::to_string(aReply->mHead.mStatus));
    return std::nullopt;
  }
  std::string reason;
  auto rows = platform::DecodeRows(aReply->mBody, reason);
  // Of changes a store may tell the version of the table only.
  const bool tellsVersion = rows && mReadsPage;
  if (mOptions.mBeginsEra(
        aReply->mHead, tellsVersion ? rows->mVersion : 0, mKnownAtSend)) {
    return std::nullopt;
  }
  if (!rows) {
    OnCallFailed(StoreCallEnd::Rejected, reason);
  }
  return rows;
}

void
TableWatcher::OnCallFailed(StoreCallEnd aEnd, const std::string& aReason)
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
  mUnansweredSince.reset();
  mCallTimer.ScheduleAt(EventLoop::Now() + pause);
  mOnCallEnded(aEnd, mSentAt);
}

void
TableWatcher::OnCallSucceeded()
{
  mFailures = 0;
  mUnansweredSince.reset();
  const Duration pause = mVersion == 0
                           ? std::max(mOptions.mInterval, kInitialBackoff)
                           : mOptions.mInterval;
  mCallTimer.ScheduleAt(EventLoop::Now() + pause);
  mOnCallEnded(StoreCallEnd::Answered, mSentAt);
}

StoreWatch::StoreWatch(EventLoop& aLoop,
                       const GatewaySettings& aSettings,
                       Fleet& aFleet,
                       ReplyBuffers& aReplies)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mFleet(aFleet)
  , mWriter(aLoop, aSettings.mStoreEndpoint, aReplies, ReplyKind::Written)
  , mWriteTimer(aLoop, [this] { WriteOwnRow(); })
  , mReturnTimer(aLoop, [this] { OnReturn(); })
  , mContact(EventLoop::Now())
{
  const auto make = [&](StoreTable aTable,
                        RowUrgency aUrgency,
                        Duration aLongPoll,
                        Duration aInterval) {
    return std::make_unique<TableWatcher>(
      mLoop,
      mSettings.mStoreEndpoint,
      aReplies,
      TableWatcher::Options{ aTable,
                             aLongPoll,
                             aInterval,
                             [this, aUrgency] { return ShouldRead(aUrgency); },
                             [this, aTable] { return mFleet.Version(aTable); },
                             [this](const HttpHead& aHead,
                                    std::int64_t aReplyVersion,
                                    std::int64_t aKnownVersion) {
                               return BeginsEra(
                                 aHead, aReplyVersion, aKnownVersion);
                             } },
      [this, aTable](const std::vector<StoreRow>& aRows,
                     bool aIsSnapshot,
                     std::int64_t aVersion) {
        mFleet.ApplyRows(
          aTable, aRows, aIsSnapshot, aVersion, RowSource::Store);
      },
      [this, aTable](StoreCallEnd aEnd, Time aSentAt) {
        OnCallEnded(aTable, aEnd, aSentAt);
      });
  };
  mConfiguration = make(StoreTable::Configuration,
                        RowUrgency::Vital,
                        kConfigurationLongPoll,
                        Duration::zero());
  mTargets = make(StoreTable::Targets,
                  RowUrgency::Vital,
                  Duration::zero(),
                  kTargetsPollInterval);
  // Other hosts tell of hosts and suspects as well.
  mHostRows = make(StoreTable::Hosts,
                   RowUrgency::Background,
                   Duration::zero(),
                   kHostsPollInterval);
  mSuspects = make(StoreTable::Suspects,
                   RowUrgency::Background,
                   kSuspectsLongPoll,
                   Duration::zero());
  mFleet.SetHostsCallback([this] { CheckOwnRow(); });
  mFleet.AddEraCallback([this] { OnEraBegan(); });
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
StoreWatch::BeginsEra(const HttpHead& aHead,
                      std::int64_t aVersion,
                      std::int64_t aKnownVersion)
{
  std::string reason;
  const auto count = platform::DecodeReturnCount(aHead, reason);
  if (!reason.empty()) {
    mFleet.ReportUnreadable("store", "era");
  }
  return mFleet.OnStoreAnswer({ count, aVersion, aKnownVersion });
}

void
StoreWatch::OnEraBegan()
{
  for (TableWatcher* it : { mConfiguration.get(),
                            mTargets.get(),
                            mHostRows.get(),
                            mSuspects.get() }) {
    it->Reset();
  }
  // The row of this host may be among what the store has lost.
  if (!mOwnRow.empty()) {
    mWriter.Cancel();
    mOwnRowWritten = false;
    mOwnRowVersion = 0;
    mWriteTimer.ScheduleAt(EventLoop::Now());
  }
}

bool
StoreWatch::ShouldRead(RowUrgency aUrgency) const
{
  const bool seeksContact =
    aUrgency == RowUrgency::Vital && !mContact.IsReachable();
  return seeksContact ||
         mFleet.Readers().MustReadStore(aUrgency, EventLoop::Now());
}

void
StoreWatch::SetStore(const Endpoint& aStore)
{
  mFleet.OnStoreReplaced();
  for (TableWatcher* it : { mConfiguration.get(),
                            mTargets.get(),
                            mHostRows.get(),
                            mSuspects.get() }) {
    it->SetStore(aStore);
  }
  mWriter.SetServer(aStore);
}

void
StoreWatch::RegisterHost(const std::string& aValue)
{
  if (mOwnRow == aValue || mDeregistering) {
    return;
  }
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

// Writes this host's row again if it was removed while the process runs: the
// store may perform a removal that an earlier process has given up on.
void
StoreWatch::CheckOwnRow()
{
  if (mDeregistering || !mOwnRowWritten || mOwnRowVersion == 0 ||
      !mFleet.IsHostRemovedSince(mSettings.mHost, mOwnRowVersion)) {
    return;
  }
  Log(LogLevel::Warn,
      "store",
      "this host's row was removed; writing it again",
      { { "own_version", std::to_string(mOwnRowVersion) } });
  const Time now = EventLoop::Now();
  mOwnRowWritten = false;
  mRewriteAt = std::max(now, mRewriteAt);
  mWriteTimer.ScheduleAt(mRewriteAt);
  mRewriteAt += kRewriteInterval;
}

void
StoreWatch::WriteOwnRow()
{
  if (mOwnRowWritten || mWriter.IsBusy()) {
    return;
  }
  const std::string host = mWriter.ServerName();
  std::string request;
  if (mDeregistering) {
    // The store may perform this when the next process has registered.
    request = platform::EncodeChanges(host,
                                      StoreTable::Hosts,
                                      { { mSettings.mHost, std::nullopt } },
                                      { { mSettings.mHost, mOwnRowVersion } });
  } else {
    // Safe to retry after a lost response, as each write has the same effect.
    mOwnRowVersion = 0;
    request =
      platform::EncodePut(host, StoreTable::Hosts, mSettings.mHost, mOwnRow);
  }
  mWriter.Call(request,
               EventLoop::Now() + kReplyTimeout,
               [this, removal = mDeregistering, value = mOwnRow](
                 const auto& aReply, const auto& aReason) {
                 OnOwnRowReply(removal, value, aReply, aReason);
               });
}

void
StoreWatch::OnOwnRowReply(bool aRemoval,
                          const std::string& aValue,
                          const std::optional<HttpReply>& aReply,
                          const std::string& aReason)
{
  const int status = aReply ? aReply->mHead.mStatus : 0;
  bool isDone = status == 200;
  if (isDone && !aRemoval) {
    std::string reason;
    const auto rows = platform::DecodeRows(aReply->mBody, reason);
    mOwnRowVersion = rows ? rows->mVersion : 0;
  } else if (aRemoval && status == platform::kConditionFailedStatus) {
    const std::int64_t known = mOwnRowVersion;
    isDone = IsRemovalObsolete(aReply->mBody);
    if (mOwnRowVersion != known) {
      mWriteTimer.ScheduleAt(EventLoop::Now());
      return;
    }
  }
  if (isDone && (aRemoval != mDeregistering || aValue != mOwnRow)) {
    // The stop has begun, or the settings have changed, meanwhile.
    mWriteTimer.ScheduleAt(EventLoop::Now());
    return;
  }
  if (isDone) {
    mOwnRowWritten = true;
    mWriter.Cancel();
    mHostRows->PollNow();
    return;
  }
  Log(LogLevel::Warn,
      "store",
      "writing this host's row failed",
      { { "reason", aReply ? "status " + std::to_string(status) : aReason } });
  mWriteTimer.ScheduleAt(EventLoop::Now() + kMaxBackoff);
}

// Whether the row to remove is gone or another process's, by the reply to a
// removal whose condition did not hold. Otherwise adopts the row's version.
bool
StoreWatch::IsRemovalObsolete(const std::string& aBody)
{
  std::string reason;
  const auto rows = platform::DecodeRows(aBody, reason);
  if (!rows) {
    return mOwnRowVersion != 0;
  }
  const auto row = std::find_if(
    rows->mRows.begin(), rows->mRows.end(), [this](const StoreRow& aRow) {
      return aRow.mKey == mSettings.mHost && !aRow.mRemoved;
    });
  if (row == rows->mRows.end()) {
    return true;
  }
  // The version in the reply to a write may be that of the whole store.
  const bool mayBeOwn = mOwnRowVersion == 0 || row->mVersion < mOwnRowVersion;
  if (mayBeOwn && row->mValue == mOwnRow) {
    mOwnRowVersion = row->mVersion;
    return false;
  }
  Log(LogLevel::Info,
      "store",
      "leaving this host's row, which another process has written",
      { { "row_version", std::to_string(row->mVersion) },
        { "own_version", std::to_string(mOwnRowVersion) } });
  return true;
}

void
StoreWatch::OnReturn()
{
  mReturnAt = EventLoop::Now() + kMaxBackoff;
  if (mHasReachedStore) {
    // The store may have lost calls for changes that were sent before.
    mConfiguration->Restart();
    mSuspects->Restart();
  }
  mHasReachedStore = true;
  mConfiguration->PollNow();
  mTargets->PollNow();
}

void
StoreWatch::OnCallEnded(StoreTable aTable, StoreCallEnd aEnd, Time aSentAt)
{
  if (aEnd == StoreCallEnd::Answered && aTable == StoreTable::Targets) {
    mFleet.OnTargetsKnownAsOf(mTargets->LastCallAt());
    // A host that can read the targets but not the configuration must not take
    // itself, or be taken by others, for one that knows the newest of both.
    if (mConfiguration->IsCurrent(EventLoop::Now())) {
      mFleet.Readers().OnStoreRead(mTargets->LastCallAt());
      mFleet.OnConfigurationKnownAsOf(mTargets->LastCallAt());
    }
  }
  // A store may refuse a table that nobody has written yet. That says nothing
  // about the platform's own tables, by which the contact is judged.
  const bool isPlatforms =
    aTable == StoreTable::Configuration || aTable == StoreTable::Targets;
  if (aEnd != StoreCallEnd::Answered && !isPlatforms) {
    return;
  }
  if (!mContact.OnCallEnded(aEnd, aSentAt, EventLoop::Now())) {
    return;
  }
  if (mContact.IsReachable()) {
    mFleet.OnStoreReachable();
    // A store that answers for some tables only seems to return with each
    // answer.
    mReturnTimer.ScheduleAt(std::max(EventLoop::Now(), mReturnAt));
    Log(LogLevel::Info,
        "store",
        "store reachable",
        { { "table", std::string(NameOf(aTable)) } });
  } else {
    mFleet.OnStoreUnreachable();
    Log(LogLevel::Warn,
        "store",
        "store unreachable",
        { { "table", std::string(NameOf(aTable)) } });
  }
}

} // namespace quetzalquay
