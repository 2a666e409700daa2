#ifndef QUETZALQUAY_GATEWAY_STOREWATCH_H_INCLUDED
#define QUETZALQUAY_GATEWAY_STOREWATCH_H_INCLUDED

#include "core/StoreContact.h"
#include "gateway/Fleet.h"
#include "http/AsyncHttpClient.h"
#include "platform/PlatformStore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Keeps a copy of one store table up to date: reads the complete table once,
// then requests its changes.
class TableWatcher
{
public:
  struct Options
  {
    platform::StoreTable mTable = platform::StoreTable::Configuration;
    // Time for which the store may delay a response until there is a change.
    Duration mLongPoll = Duration::zero();
    // Delay between two calls, so that several changes share one call.
    Duration mInterval = Duration::zero();
    // Whether to read the table; evaluated before each call.
    std::function<bool()> mShouldRead;
    // Version up to which the table is known from any source.
    std::function<std::int64_t()> mKnownVersion;
    // Whether a new era of the store has begun, by the head of an answer, its
    // version, 0 if not known, and the version that was known when its call
    // was sent. If so, the watcher has been reset.
    std::function<bool(const HttpHead&, std::int64_t, std::int64_t)>
      mBeginsEra = [](const auto&, auto, auto) { return false; };
  };

  // Receives rows, whether they are the complete table, and the version.
  using OnRows = std::function<
    void(const std::vector<platform::StoreRow>&, bool, std::int64_t)>;
  // Called after each call, with the time at which it was sent.
  using OnCallEnded = std::function<void(StoreCallEnd aEnd, Time aSentAt)>;

  TableWatcher(EventLoop& aLoop,
               const Endpoint& aStore,
               ReplyBuffers& aReplies,
               Options aOptions,
               OnRows aOnRows,
               OnCallEnded aOnCallEnded);

  void Start();

  // Starts a call at once, unless one is in progress.
  void PollNow();

  // Abandons the call in progress, whose response may have been lost, and
  // starts one at once.
  void Restart();

  // Abandons the call in progress and reads the complete table at once.
  void Reset();

  // Starts a call if the table should be read and no call is scheduled.
  void PollIfNeeded();

  // Reads another store from now on.
  void SetStore(const Endpoint& aStore) { mHttpClient.SetServer(aStore); }

  // When the last call was started.
  Time LastCallAt() const { return mLastCallAt; }

  // Whether changes of the table would be known by now: its last call has
  // succeeded, and the one in progress is not overdue.
  bool IsCurrent(Time aNow) const;

private:
  void StartCall();
  void ReadAll();
  void Send(
    const std::string& aRequest,
    Duration aLongPoll,
    void (TableWatcher::*aOnReply)(const std::optional<HttpReply>& aReply,
                                   const std::string& aReason));
  void ReadPage(const std::string& aFrom);
  void OnPage(const std::optional<HttpReply>& aReply,
              const std::string& aReason);
  bool HasNewerRows() const;
  void FinishSnapshot();
  void OnMissedChanges(const std::optional<HttpReply>& aReply,
                       const std::string& aReason);
  void RequestChanges();
  void OnChanges(const std::optional<HttpReply>& aReply,
                 const std::string& aReason);
  std::optional<platform::StoreRows> DecodeReply(
    const std::optional<HttpReply>& aReply,
    const std::string& aReason);
  void OnCallFailed(StoreCallEnd aEnd, const std::string& aReason);
  void OnCallSucceeded();

  Options mOptions;
  OnRows mOnRows;
  OnCallEnded mOnCallEnded;
  ReplyBuffers& mReplies;
  AsyncHttpClient mHttpClient;
  Timer mCallTimer;
  // Version up to which the table is known; 0 before the first complete read.
  std::int64_t mVersion = 0;
  // Rows received so far during a complete read, by key, and the version as of
  // which they are complete up to the last key.
  std::map<std::string, platform::StoreRow> mSnapshotRows;
  std::int64_t mSnapshotVersion = 0;
  // Bytes of the rows of earlier pages.
  AnswerBuffer mHeldRows;
  std::size_t mSnapshotBytes = 0;
  // Whether changes since the first page have been read.
  bool mMissedChangesRead = false;
  int mFailures = 0;
  Time mLastCallAt;
  // When the last request of the call was sent, and the version of the store
  // that was known then.
  Time mSentAt;
  std::int64_t mKnownAtSend = 0;
  // When the first call was sent of those that have not ended since, as calls
  // that are abandoned do not end.
  std::optional<Time> mUnansweredSince;
  // Whether the store should answer the next request for changes at once.
  bool mAsksAtOnce = false;
  // Whether the last request was for a page of the complete table.
  bool mReadsPage = false;
  // Version up to which changes were known when the complete table had to be
  // read again; 0 unless that is in progress.
  std::int64_t mFormerVersion = 0;
};

// Keeps the tables that a gateway needs up to date, registers this host in the
// store and tracks whether the store is reachable.
class StoreWatch
{
public:
  StoreWatch(EventLoop& aLoop,
             const GatewaySettings& aSettings,
             Fleet& aFleet,
             ReplyBuffers& aReplies);

  void Start();

  // Reads the tables if this host currently has to read the store itself.
  void PollIfNeeded();

  // Reads another store from now on. What is known stays in use until it has
  // been read.
  void SetStore(const Endpoint& aStore);

  // When the store became unreachable, Time::max() while it is reachable. The
  // store counts as unreachable until the first call succeeds.
  Time UnreachableSince() const { return mContact.UnreachableSince(); }

  // Writes this host's row with the given value, unless it has been written
  // with it, or removes it unless another process has written it since. Retried
  // until it succeeds.
  void RegisterHost(const std::string& aValue);
  void DeregisterHost();

private:
  bool ShouldRead(RowUrgency aUrgency) const;
  bool BeginsEra(const HttpHead& aHead,
                 std::int64_t aVersion,
                 std::int64_t aKnownVersion);
  void OnEraBegan();
  void OnCallEnded(platform::StoreTable aTable,
                   StoreCallEnd aEnd,
                   Time aSentAt);
  void OnReturn();
  void CheckOwnRow();
  void WriteOwnRow();
  void OnOwnRowReply(bool aRemoval,
                     const std::string& aValue,
                     const std::optional<HttpReply>& aReply,
                     const std::string& aReason);
  bool IsRemovalObsolete(const std::string& aBody);

  EventLoop& mLoop;
  GatewaySettings mSettings;
  Fleet& mFleet;
  std::unique_ptr<TableWatcher> mConfiguration;
  std::unique_ptr<TableWatcher> mTargets;
  std::unique_ptr<TableWatcher> mHostRows;
  std::unique_ptr<TableWatcher> mSuspects;
  AsyncHttpClient mWriter;
  Timer mWriteTimer;
  Timer mReturnTimer;
  // When the tables may next be read because the store is reachable again.
  Time mReturnAt;
  std::string mOwnRow;
  bool mOwnRowWritten = false;
  // Version of the row that this process has written; 0 if not known.
  std::int64_t mOwnRowVersion = 0;
  // When this host's row may next be written because it was removed.
  Time mRewriteAt;
  bool mDeregistering = false;
  StoreContact mContact;
  bool mHasReachedStore = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_STOREWATCH_H_INCLUDED
