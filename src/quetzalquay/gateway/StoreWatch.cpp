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

// Time that the store has for an answer beyond the wait it was asked for.
constexpr Duration kAnswerTime = milliseconds(900);

// Pauses after failed calls: doubled up to the longest.
constexpr Duration kFirstPause = milliseconds(100);
constexpr Duration kLongestPause = milliseconds(800);

// How long the store may hold back an answer about the configuration.
constexpr Duration kConfigurationWait = milliseconds(2000);

// Time between two reads of the targets' table. Together with the answer's time
// it stays well below the time in which a leaving target must be left alone.
constexpr Duration kTargetsPause = milliseconds(600);

// Time between two reads of the hosts' table, which changes rarely.
constexpr Duration kHostsPause = milliseconds(5000);

} // namespace

TableWatch::TableWatch(EventLoop& aLoop,
                       const Endpoint& aStore,
                       Options aOptions,
                       OnRows aOnRows,
                       OnOutcome aOnOutcome)
  : mHost(ToText(aStore))
  , mOptions(std::move(aOptions))
  , mOnRows(std::move(aOnRows))
  , mOnOutcome(std::move(aOnOutcome))
  , mCaller(aLoop, aStore)
  , mNext(aLoop, [this] { Next(); })
{
}

void
TableWatch::Start()
{
  Next();
}

void
TableWatch::Hurry()
{
  if (!mCaller.IsBusy()) {
    mNext.SetAt(EventLoop::Now());
  }
}

void
TableWatch::Look()
{
  if (!mNext.IsSet()) {
    Next();
  }
}

void
TableWatch::Next()
{
  if (mCaller.IsBusy() || !mOptions.mIsWanted()) {
    return;
  }
  mAskedAt = EventLoop::Now();
  if (mVersion == 0) {
    mPages.clear();
    Read(std::string());
  } else {
    mVersion = std::max(mVersion, mOptions.mKnownVersion());
    Follow();
  }
}

void
TableWatch::Read(const std::string& aFrom)
{
  mCaller.Call(platform::EncodeRead(mHost, mOptions.mTable, aFrom),
               EventLoop::Now() + kAnswerTime,
               [this](const auto& aReply, const auto& aReason) {
                 OnRead(aReply, aReason);
               });
}

void
TableWatch::OnRead(const std::optional<HttpReply>& aReply,
                   const std::string& aReason)
{
  const auto rows = Decode(aReply, aReason);
  if (!rows) {
    return;
  }
  if (mPages.empty()) {
    mPagesVersion = rows->mVersion;
  }
  mPages.insert(mPages.end(), rows->mRows.begin(), rows->mRows.end());
  if (rows->mMore && !mPages.empty()) {
    // The smallest key after the last one.
    Read(mPages.back().mKey + '\x01');
    return;
  }
  // Changes between two pages are seen again by following from the first one.
  mVersion = mPagesVersion;
  const auto pages = std::exchange(mPages, {});
  mOnRows(pages, true, mPagesVersion);
  Settle();
}

void
TableWatch::Follow()
{
  mCaller.Call(
    platform::EncodeWatch(mHost, mOptions.mTable, mVersion, mOptions.mWait),
    EventLoop::Now() + mOptions.mWait + kAnswerTime,
    [this](const auto& aReply, const auto& aReason) {
      OnFollowed(aReply, aReason);
    });
}

void
TableWatch::OnFollowed(const std::optional<HttpReply>& aReply,
                       const std::string& aReason)
{
  if (aReply && aReply->mHead.mStatus == platform::kHistoryGone) {
    Log(LogLevel::Warn,
        "store",
        "history gone, reading the table whole",
        { { "table", std::string(NameOf(mOptions.mTable)) },
          { "known_version", std::to_string(mVersion) } });
    mVersion = 0;
    Next();
    return;
  }
  const auto rows = Decode(aReply, aReason);
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
  Settle();
}

std::optional<StoreRows>
TableWatch::Decode(const std::optional<HttpReply>& aReply,
                   const std::string& aReason)
{
  if (!aReply) {
    Fail(aReason);
    return std::nullopt;
  }
  if (aReply->mHead.mStatus != 200) {
    Fail("status " + std::to_string(aReply->mHead.mStatus));
    return std::nullopt;
  }
  std::string reason;
  auto rows = platform::DecodeRows(aReply->mBody, reason);
  if (!rows) {
    Fail(reason);
  }
  return rows;
}

void
TableWatch::Fail(const std::string& aReason)
{
  if (mFailures == 0) {
    Log(LogLevel::Warn,
        "store",
        "read failed",
        { { "table", std::string(NameOf(mOptions.mTable)) },
          { "known_version", std::to_string(mVersion) },
          { "reason", aReason } });
  }
  const Duration pause =
    std::min(kLongestPause, kFirstPause * (1 << std::min(mFailures, 4)));
  ++mFailures;
  mNext.SetAt(EventLoop::Now() + pause);
  mOnOutcome(false);
}

void
TableWatch::Settle()
{
  mFailures = 0;
  const Duration pause =
    mVersion == 0 ? std::max(mOptions.mPause, kFirstPause) : mOptions.mPause;
  mNext.SetAt(EventLoop::Now() + pause);
  mOnOutcome(true);
}

StoreWatch::StoreWatch(EventLoop& aLoop,
                       const GatewaySettings& aSettings,
                       Fleet& aFleet)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mFleet(aFleet)
  , mWriter(aLoop, aSettings.mStore)
  , mWriteAgain(aLoop, [this] { WriteOwnRow(); })
  , mLostSince(EventLoop::Now())
{
  const auto make = [&](StoreTable aTable, Duration aWait, Duration aPause) {
    return std::make_unique<TableWatch>(
      mLoop,
      mSettings.mStore,
      TableWatch::Options{ aTable,
                           aWait,
                           aPause,
                           [this] { return IsReading(); },
                           [this, aTable] { return mFleet.Version(aTable); } },
      [this, aTable](const std::vector<StoreRow>& aRows,
                     bool aWhole,
                     std::int64_t aVersion) {
        mFleet.Take(aTable, aRows, aWhole, aVersion, Source::Store);
      },
      [this, aTable](bool aAnswered) { OnOutcome(aTable, aAnswered); });
  };
  mConfiguration =
    make(StoreTable::Configuration, kConfigurationWait, Duration::zero());
  mTargets = make(StoreTable::Targets, Duration::zero(), kTargetsPause);
  mHostRows = make(StoreTable::Hosts, Duration::zero(), kHostsPause);
}

void
StoreWatch::Start()
{
  mConfiguration->Start();
  mTargets->Start();
  mHostRows->Start();
}

void
StoreWatch::Look()
{
  for (TableWatch* it :
       { mConfiguration.get(), mTargets.get(), mHostRows.get() }) {
    it->Look();
  }
}

bool
StoreWatch::IsReading() const
{
  return mLostSince != Time::max() ||
         mFleet.Readers().MustRead(EventLoop::Now());
}

void
StoreWatch::Announce(const std::string& aValue)
{
  mOwnRow = aValue;
  mWritten = false;
  WriteOwnRow();
}

void
StoreWatch::Withdraw()
{
  mWithdrawn = true;
  mWritten = false;
  WriteOwnRow();
}

void
StoreWatch::WriteOwnRow()
{
  if (mWritten || mWriter.IsBusy()) {
    return;
  }
  const std::string host = ToText(mSettings.mStore);
  // Written again after a lost answer; the row is the same each time.
  const std::string request =
    mWithdrawn
      ? platform::EncodeRemove(host, StoreTable::Hosts, mSettings.mHost)
      : platform::EncodePut(host, StoreTable::Hosts, mSettings.mHost, mOwnRow);
  const bool withdrawal = mWithdrawn;
  mWriter.Call(
    request,
    EventLoop::Now() + kAnswerTime,
    [this, withdrawal](const auto& aReply, const auto& aReason) {
      mWritten =
        aReply && aReply->mHead.mStatus == 200 && withdrawal == mWithdrawn;
      if (mWritten) {
        mWriter.Cancel();
        mHostRows->Hurry();
        return;
      }
      Log(LogLevel::Warn,
          "store",
          "own row not written",
          { { "reason",
              aReply ? "status " + std::to_string(aReply->mHead.mStatus)
                     : aReason } });
      mWriteAgain.SetAt(EventLoop::Now() + kLongestPause);
    });
}

void
StoreWatch::OnOutcome(StoreTable aTable, bool aAnswered)
{
  const bool wasLost = mLostSince != Time::max();
  if (aAnswered && aTable == StoreTable::Targets) {
    mFleet.Readers().OnRead(mTargets->AskedAt());
  }
  if (aAnswered && wasLost) {
    mLostSince = Time::max();
    mFleet.OnStoreBack();
    mConfiguration->Hurry();
    mTargets->Hurry();
    Log(LogLevel::Info,
        "store",
        "store answers",
        { { "table", std::string(NameOf(aTable)) } });
  } else if (!aAnswered && !wasLost) {
    mLostSince = EventLoop::Now();
    mFleet.OnStoreLost();
    Log(LogLevel::Warn,
        "store",
        "store does not answer",
        { { "table", std::string(NameOf(aTable)) } });
  }
}

} // namespace quetzalquay
