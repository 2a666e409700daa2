#ifndef QUETZALQUAY_GATEWAY_ROWWRITER_H_INCLUDED
#define QUETZALQUAY_GATEWAY_ROWWRITER_H_INCLUDED

#include "core/CallPacer.h"
#include "http/AsyncHttpClient.h"
#include "http/EventLoop.h"
#include "platform/PlatformStore.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Writes changes of rows of one store table in batches, and repeats them until
// the store has confirmed them.
class RowWriter
{
public:
  struct Options
  {
    platform::StoreTable mTable = platform::StoreTable::Configuration;
    // Returns the changes since its last call; called before each write.
    std::function<std::vector<platform::RowChange>()> mCollect;
    // Time between two calls to the store, on average.
    std::function<Duration()> mInterval = [] { return Duration::zero(); };
    // Receives the changes of each confirmed call.
    std::function<void(const std::vector<platform::RowChange>&)> mOnWritten =
      [](const auto&) {};
    // Delay before a write, so that several changes share one transaction.
    Duration mBatchDelay = std::chrono::milliseconds(50);
    // Calls that may follow each other at once after a pause.
    int mBurst = 1;
  };

  RowWriter(EventLoop& aLoop,
            const Endpoint& aStore,
            ReplyBuffers& aReplies,
            Options aOptions);

  // Writes to another store from now on.
  void SetStore(const Endpoint& aStore) { mHttpClient.SetServer(aStore); }

  // There are changes to collect. They are written after a short delay, so that
  // several share one transaction.
  void Notify();

  // There are changes to collect that may wait until aWriteBy for a call that
  // others cause.
  void NotifyBy(Time aWriteBy);

  // Whether what is announced now can be written by then, if the store answers.
  bool CanWriteBy(Time aTime) const;

  // Adds a change, which replaces an earlier one of the same row. Dropped if
  // too many changes wait for the store.
  void Add(platform::RowChange aChange);

private:
  void Write();
  void OnReply(const std::optional<HttpReply>& aReply,
               const std::string& aReason);

  Options mOptions;
  AsyncHttpClient mHttpClient;
  Timer mTimer;
  CallPacer mPacer;
  // When a failed call may be repeated; Time() unless the last one has failed.
  Time mRetryAt;
  // When there is something to write, as far as calls may be made; Time::max()
  // if there is nothing.
  Time mWriteBy = Time::max();
  // Changes that the store has not confirmed, by key.
  std::map<std::string, platform::RowChange> mPending;
  // Changes of the call in progress.
  std::vector<platform::RowChange> mWriting;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_ROWWRITER_H_INCLUDED
