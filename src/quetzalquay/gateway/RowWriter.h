#ifndef QUETZALQUAY_GATEWAY_ROWWRITER_H_INCLUDED
#define QUETZALQUAY_GATEWAY_ROWWRITER_H_INCLUDED

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
    // Least time between two calls to the store.
    std::function<Duration()> mInterval = [] { return Duration::zero(); };
    // Receives the number of rows of each confirmed call.
    std::function<void(std::size_t)> mOnWritten = [](std::size_t) {};
    // Delay before a write, so that several changes share one transaction.
    Duration mBatchDelay = std::chrono::milliseconds(50);
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

  // Adds a change, which replaces an earlier one of the same row. Dropped if
  // too many changes wait for the store.
  void Add(platform::RowChange aChange);

private:
  void ScheduleWrite(Duration aDelay);
  void Write();
  void OnReply(const std::optional<HttpReply>& aReply,
               const std::string& aReason);

  Options mOptions;
  AsyncHttpClient mHttpClient;
  Timer mTimer;
  Time mLastCallAt;
  // Changes that the store has not confirmed, by key.
  std::map<std::string, platform::RowChange> mPending;
  // Changes of the call in progress.
  std::vector<platform::RowChange> mWriting;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_ROWWRITER_H_INCLUDED
