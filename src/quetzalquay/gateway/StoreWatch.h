#ifndef QUETZALQUAY_GATEWAY_STOREWATCH_H_INCLUDED
#define QUETZALQUAY_GATEWAY_STOREWATCH_H_INCLUDED

#include "gateway/Fleet.h"
#include "http/HttpCaller.h"
#include "platform/PlatformStore.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quetzalquay {

// Keeps one table of the store known: reads it whole, then follows its changes.
class TableWatch
{
public:
  struct Options
  {
    platform::StoreTable mTable = platform::StoreTable::Configuration;
    // Time for which the store may hold an answer back until there is a change.
    Duration mWait = Duration::zero();
    // Pause between two calls, so that changes are read together.
    Duration mPause = Duration::zero();
    // Whether the table is to be read; asked before each call.
    std::function<bool()> mIsWanted;
    // Version up to which the table is known from elsewhere.
    std::function<std::int64_t()> mKnownVersion;
  };

  // aOnRows gets rows, whether they are the whole table, and the version.
  using OnRows = std::function<
    void(const std::vector<platform::StoreRow>&, bool, std::int64_t)>;
  // Called after each answer and each failed call.
  using OnOutcome = std::function<void(bool aAnswered)>;

  TableWatch(EventLoop& aLoop,
             const Endpoint& aStore,
             Options aOptions,
             OnRows aOnRows,
             OnOutcome aOnOutcome);

  void Start();

  // Reads again at once.
  void Hurry();

  // Reads again if that is wanted and not due anyway.
  void Look();

  // When the last call was made.
  Time AskedAt() const { return mAskedAt; }

private:
  void Next();
  void Read(const std::string& aFrom);
  void OnRead(const std::optional<HttpReply>& aReply,
              const std::string& aReason);
  void Follow();
  void OnFollowed(const std::optional<HttpReply>& aReply,
                  const std::string& aReason);
  std::optional<platform::StoreRows> Decode(
    const std::optional<HttpReply>& aReply,
    const std::string& aReason);
  void Fail(const std::string& aReason);
  void Settle();

  std::string mHost;
  Options mOptions;
  OnRows mOnRows;
  OnOutcome mOnOutcome;
  HttpCaller mCaller;
  Alarm mNext;
  // Version up to which the table is known; 0 before it has been read whole.
  std::int64_t mVersion = 0;
  // Pages of a table that is being read whole.
  std::vector<platform::StoreRow> mPages;
  std::int64_t mPagesVersion = 0;
  int mFailures = 0;
  Time mAskedAt;
};

// The tables that a gateway needs, and whether the store answers this host.
class StoreWatch
{
public:
  StoreWatch(EventLoop& aLoop, const GatewaySettings& aSettings, Fleet& aFleet);

  void Start();

  // Reads the store if this host has to now.
  void Look();

  // Since when no call has been answered; the latest time while the store
  // answers.
  Time LostSince() const { return mLostSince; }

  // Writes this host's row, or removes it.
  void Announce(const std::string& aValue);
  void Withdraw();

private:
  bool IsReading() const;
  void OnOutcome(platform::StoreTable aTable, bool aAnswered);
  void WriteOwnRow();

  EventLoop& mLoop;
  GatewaySettings mSettings;
  Fleet& mFleet;
  std::unique_ptr<TableWatch> mConfiguration;
  std::unique_ptr<TableWatch> mTargets;
  std::unique_ptr<TableWatch> mHostRows;
  HttpCaller mWriter;
  Alarm mWriteAgain;
  std::string mOwnRow;
  bool mWritten = false;
  bool mWithdrawn = false;
  Time mLostSince;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_STOREWATCH_H_INCLUDED
