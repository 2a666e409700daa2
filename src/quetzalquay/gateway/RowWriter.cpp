#include "gateway/RowWriter.h"

#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Time limit for a response, and delay after a failed write.
constexpr Duration kReplyTimeout = milliseconds(900);
constexpr Duration kRetryDelay = milliseconds(500);

// Changes kept while the store cannot be written.
constexpr std::size_t kMaxPending = 1000;

} // namespace

RowWriter::RowWriter(EventLoop& aLoop,
                     const Endpoint& aStore,
                     ReplyBuffers& aReplies,
                     Options aOptions)
  : mOptions(std::move(aOptions))
  , mHttpClient(aLoop, aStore, aReplies, ReplyKind::Written)
  , mTimer(aLoop, [this] { Write(); })
{
}

void
RowWriter::Notify()
{
  ScheduleWrite(mOptions.mBatchDelay);
}

void
RowWriter::Add(platform::RowChange aChange)
{
  if (mPending.size() < kMaxPending || mPending.count(aChange.mKey) != 0) {
    mPending[aChange.mKey] = std::move(aChange);
    ScheduleWrite(mOptions.mBatchDelay);
  }
}

void
RowWriter::ScheduleWrite(Duration aDelay)
{
  if (!mTimer.IsSet() && !mHttpClient.IsBusy()) {
    mTimer.ScheduleAt(
      std::max(EventLoop::Now() + aDelay, mLastCallAt + mOptions.mInterval()));
  }
}

void
RowWriter::Write()
{
  if (mHttpClient.IsBusy()) {
    return;
  }
  for (platform::RowChange& it : mOptions.mCollect()) {
    Add(std::move(it));
  }
  mTimer.Clear();
  if (mPending.empty()) {
    return;
  }
  mLastCallAt = EventLoop::Now();
  mWriting.clear();
  for (const auto& it : mPending) {
    if (mWriting.size() < platform::kMaxRowChanges) {
      mWriting.push_back(it.second);
    }
  }
  // Safe to repeat after a lost response, as each write has the same effect.
  mHttpClient.Call(platform::EncodeChanges(
                     mHttpClient.ServerName(), mOptions.mTable, mWriting),
                   mLastCallAt + kReplyTimeout,
                   [this](const auto& aReply, const auto& aReason) {
                     OnReply(aReply, aReason);
                   });
}

void
RowWriter::OnReply(const std::optional<HttpReply>& aReply,
                   const std::string& aReason)
{
  const bool written = aReply && aReply->mHead.mStatus == 200;
  Log(written ? LogLevel::Info : LogLevel::Warn,
      "store",
      written ? "rows written" : "writing rows failed",
      { { "table", std::string(NameOf(mOptions.mTable)) },
        { "rows", std::to_string(mWriting.size()) },
        { "reason",
          written  ? ""
          : aReply ? "status " + std::to_string(aReply->mHead.mStatus)
                   : aReason } });
  if (written) {
    for (const platform::RowChange& it : mWriting) {
      const auto pending = mPending.find(it.mKey);
      if (pending != mPending.end() && pending->second.mValue == it.mValue) {
        mPending.erase(pending);
      }
    }
    mOptions.mOnWritten(mWriting.size());
  }
  // Changes that were announced during the call have not been collected yet.
  ScheduleWrite(written ? Duration::zero() : kRetryDelay);
}

} // namespace quetzalquay
