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
  , mPacer(mOptions.mBurst)
{
}

void
RowWriter::Notify()
{
  NotifyBy(EventLoop::Now() + mOptions.mBatchDelay);
}

// Schedules a write at aWriteBy, unless one is due before, or as soon as a call
// may be made after that. OnReply() schedules what is wanted during a call.
void
RowWriter::NotifyBy(Time aWriteBy)
{
  mWriteBy = std::min(mWriteBy, aWriteBy);
  if (mWriteBy != Time::max() && !mHttpClient.IsBusy()) {
    mTimer.ScheduleAt(std::max(
      { mWriteBy, mRetryAt, mPacer.EarliestCall(mOptions.mInterval()) }));
  }
}

bool
RowWriter::CanWriteBy(Time aTime) const
{
  return mRetryAt == Time() &&
         mPacer.EarliestCall(mOptions.mInterval()) < aTime;
}

void
RowWriter::Add(platform::RowChange aChange)
{
  if (mPending.size() < kMaxPending || mPending.count(aChange.mKey) != 0) {
    mPending[aChange.mKey] = std::move(aChange);
    Notify();
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
  mWriteBy = Time::max();
  if (mPending.empty()) {
    return;
  }
  const Time now = EventLoop::Now();
  mPacer.OnCall(mOptions.mInterval(), now);
  mWriting.clear();
  for (const auto& it : mPending) {
    if (mWriting.size() < platform::kMaxRowChanges) {
      mWriting.push_back(it.second);
    }
  }
  // Safe to repeat after a lost response, as each write has the same effect.
  mHttpClient.Call(platform::EncodeChanges(
                     mHttpClient.ServerName(), mOptions.mTable, mWriting),
                   now + kReplyTimeout,
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
  const Time now = EventLoop::Now();
  mRetryAt = written ? Time() : now + kRetryDelay;
  if (written) {
    for (const platform::RowChange& it : mWriting) {
      const auto pending = mPending.find(it.mKey);
      if (pending != mPending.end() && pending->second.mValue == it.mValue) {
        mPending.erase(pending);
      }
    }
    mOptions.mOnWritten(mWriting);
  }
  NotifyBy(mPending.empty() ? Time::max() : now);
}

} // namespace quetzalquay
