#ifndef QUETZALQUAY_GATEWAY_STREAMORIGINSTORE_H_INCLUDED
#define QUETZALQUAY_GATEWAY_STREAMORIGINSTORE_H_INCLUDED

#include "gateway/Fleet.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/RowWriter.h"
#include "gateway/TableReader.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace quetzalquay {

// Keeps the origins of streams and the software versions of services in the
// store, so that they outlast the hosts and reach those that no announcement
// reached. Origins are stored only for services with several versions.
class StreamOriginStore
{
public:
  StreamOriginStore(EventLoop& aLoop,
                    const GatewaySettings& aSettings,
                    Fleet& aFleet,
                    GatewayMetrics& aMetrics,
                    ReplyBuffers& aReplies);

  // Reads and writes another store from now on.
  void SetStore(const Endpoint& aStore);

  // Reads what the store has, for a stream whose origin is not known. aDone is
  // called once, at aDeadline at the latest, and never before LookUp() returns.
  // Returns the number of the lookup.
  std::uint64_t LookUp(std::uint64_t aKey,
                       Time aDeadline,
                       std::function<void()> aDone);

  // Abandons a lookup without calling its callback.
  void CancelLookUp(std::uint64_t aNumber);

  // Calls aDone once the store has the origin of a stream that has begun here,
  // at aDeadline at the latest. Returns false, and does not call it, if the
  // origin is not to be stored, can't be in time or is awaited already.
  bool AwaitStored(std::uint64_t aKey,
                   Time aDeadline,
                   std::function<void()> aDone);

private:
  // A wait for a row to be written.
  struct StoredWait
  {
    std::uint64_t mKey = 0;
    Time mDeadline;
    std::function<void()> mDone;
  };

  struct LookupState
  {
    std::uint64_t mKey = 0;
    Time mDeadline;
    std::function<void()> mDone;
    // Whether the read in progress began after the lookup.
    bool mInRead = false;
  };

  std::vector<platform::RowChange> TakeChanges();
  Duration WriteInterval() const;
  void OnWritten(const std::vector<platform::RowChange>& aRows);
  void FinishStoredWaits(Time aNow);
  void WriteVersions();
  void WriteVersionsAgain(Time aNow);
  void OnEraBegan();
  void StartRead();
  void OnRead(const std::optional<std::vector<platform::StoreRow>>& aRows,
              const std::string& aReason);
  void ApplyRows(const std::vector<platform::StoreRow>& aRows, Time aNow);
  void SweepRows(const std::vector<platform::StoreRow>& aRows, Time aNow);
  void FinishLookups(Time aNow, bool aWasRead);
  void Tick();

  Fleet& mFleet;
  GatewayMetrics& mMetrics;
  RowWriter mWriter;
  // Writes the rows of versions.
  RowWriter mVersionWriter;
  TableReader mReader;
  // By key of the row.
  std::map<std::string, StoredWait> mStoredWaits;
  Timer mStoredTimer;
  std::map<std::uint64_t, LookupState> mLookups;
  std::uint64_t mNextLookup = 0;
  Timer mLookupTimer;
  Timer mRetryTimer;
  Timer mTickTimer;
  // Services and versions whose rows this host has written.
  std::set<std::pair<std::string, std::string>> mWrittenVersions;
  // When the rows of versions have to be written again.
  Time mVersionsAgainAt = Time::max();
  // When the next read for the history of versions may start.
  Time mNextHistoryReadAt;
  Time mNextSweepAt;
  bool mSweepDue = false;
  // Whether the store had rows that have to be removed some time.
  bool mHasTransientRows = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_STREAMORIGINSTORE_H_INCLUDED
