#include "gateway/SuspectWriter.h"

#include "gateway/SuspectRows.h"
#include "observe/Log.h"

#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Delay before a write, so that several changes share one transaction.
constexpr Duration kBatchDelay = milliseconds(50);

// Time limit for a response, and delay after a failed write.
constexpr Duration kReplyTimeout = milliseconds(900);
constexpr Duration kRetryDelay = milliseconds(500);

// Changes kept while the store cannot be written.
constexpr std::size_t kMaxPending = 1000;

// Interval between two searches for expired rows.
constexpr Duration kExpiryInterval = std::chrono::minutes(1);

} // namespace

SuspectWriter::SuspectWriter(EventLoop& aLoop,
                             const GatewaySettings& aSettings,
                             Fleet& aFleet)
  : mHostHeader(FormatEndpoint(aSettings.mStoreEndpoint))
  , mFleet(aFleet)
  , mHttpClient(aLoop, aSettings.mStoreEndpoint)
  , mWriteTimer(aLoop, [this] { Write(); })
  , mExpiryTimer(aLoop, [this] { RemoveExpired(); })
{
  mFleet.Targets().Suspects().SetStoreCallback([this] {
    if (!mWriteTimer.IsSet()) {
      mWriteTimer.ScheduleAt(EventLoop::Now() + kBatchDelay);
    }
  });
  mExpiryTimer.ScheduleAt(EventLoop::Now() + kExpiryInterval);
}

void
SuspectWriter::Write()
{
  const ClockReading clocks = ReadClocks();
  for (const auto& it : mFleet.Targets().Suspects().TakeStoreChanges()) {
    platform::RowChange row = FormatSuspectRow(it, clocks);
    if (mPending.size() < kMaxPending || mPending.count(row.mKey) != 0) {
      mPending[row.mKey] = std::move(row);
    }
  }
  if (mHttpClient.IsBusy() || mPending.empty()) {
    return;
  }
  mWriting.clear();
  for (const auto& it : mPending) {
    if (mWriting.size() < platform::kMaxRowChanges) {
      mWriting.push_back(it.second);
    }
  }
  // Safe to retry after a lost response, as each write has the same effect.
  mHttpClient.Call(platform::EncodeChanges(
                     mHostHeader, platform::StoreTable::Suspects, mWriting),
                   EventLoop::Now() + kReplyTimeout,
                   [this](const auto& aReply, const auto& aReason) {
                     OnReply(aReply, aReason);
                   });
}

void
SuspectWriter::OnReply(const std::optional<HttpReply>& aReply,
                       const std::string& aReason)
{
  const bool written = aReply && aReply->mHead.mStatus == 200;
  Log(written ? LogLevel::Info : LogLevel::Warn,
      "store",
      written ? "suspects written" : "writing suspects failed",
      { { "rows", std::to_string(mWriting.size()) },
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
  }
  if (!mPending.empty()) {
    mWriteTimer.ScheduleAt(EventLoop::Now() +
                           (written ? Duration::zero() : kRetryDelay));
  }
}

void
SuspectWriter::RemoveExpired()
{
  const Time now = EventLoop::Now();
  mExpiryTimer.ScheduleAt(now + kExpiryInterval);
  if (!mFleet.Readers().IsReader(now)) {
    return;
  }
  const ClockReading clocks = ReadClocks();
  for (const auto& it : mFleet.Rows(platform::StoreTable::Suspects)) {
    const auto change = ParseSuspectRow(it.second, clocks);
    const bool expired = !change || now - change->mRun.mDeath.mAt >=
                                      SuspectRegistry::kRecordLifetime;
    if (!it.second.mRemoved && expired && mPending.size() < kMaxPending) {
      mPending[it.first] = { it.first, std::nullopt };
    }
  }
  if (!mPending.empty() && !mWriteTimer.IsSet()) {
    mWriteTimer.ScheduleAt(now);
  }
}

} // namespace quetzalquay
