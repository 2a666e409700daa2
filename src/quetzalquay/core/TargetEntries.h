#ifndef QUETZALQUAY_CORE_TARGETENTRIES_H_INCLUDED
#define QUETZALQUAY_CORE_TARGETENTRIES_H_INCLUDED

#include "core/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzalquay {

// Incarnation of a target whose entry has no start time.
constexpr char kNoStartTime[] = "0";

// A target's registration in the platform's store, written by the target
// itself.
struct TargetEntry
{
  // Name under which the target registers; stable across restarts.
  std::string mName;
  std::string mService;
  // IPv4 address and port.
  std::string mAddress;
  std::string mPlace;
  // Unique for each start of the target.
  std::string mIncarnation;
  // Version of the target's software; versions have no order.
  std::string mSoftwareVersion;
  // Whether each start of the target registers under a name of its own, so that
  // an entry never describes an earlier start.
  bool mNamePerStart = false;
  // Number of requests that the target runs concurrently.
  int mSlots = 0;
  // Whether the target is draining and accepts no new requests.
  bool mLeaving = false;
};

// Whether a software version was registered by a target. A target that is found
// without an entry has a version that stands for an unknown one.
bool
IsRegisteredVersion(const std::string& aVersion);

// Local view of the registered targets, with a grace period after store
// outages.
//
// Targets cannot renew their entries while the store is unreachable, so entries
// of running targets may expire. An entry that is missing after an outage is
// therefore retained until the targets have had time to register again.
// Performs no I/O; not thread-safe.
class TargetEntries
{
public:
  // aReregistrationTime is the grace period after an outage of the store in
  // which running targets register again.
  explicit TargetEntries(Duration aReregistrationTime);

  // Applies an entry that was written at aVersion of the store. Ignored unless
  // newer than the known version of that entry. Returns whether anything
  // changed.
  bool OnRegistered(const TargetEntry& aEntry,
                    std::int64_t aVersion,
                    Time aNow);

  // Applies a write of an entry that could not be parsed. The entry is unusable
  // until a valid one is written. Returns whether anything changed.
  bool OnMalformed(const std::string& aName, std::int64_t aVersion, Time aNow);

  // Applies the removal of an entry at aVersion. Returns whether the entry
  // became unusable at once, that is, without a grace period.
  bool OnRemoved(const std::string& aName, std::int64_t aVersion, Time aNow);

  // Ends the grace period of all entries removed at or before aVersion. Called
  // when a host with a working connection to the store has passed on all
  // changes up to aVersion, so that these removals are known to be final.
  // Returns whether anything changed.
  bool ConfirmRemovals(std::int64_t aVersion);

  // Treats every entry that is missing from aNames, a complete listing of the
  // store as of aVersion, as removed at that version. Returns whether an entry
  // became unusable at once, that is, without a grace period.
  bool OnSnapshot(const std::vector<std::string>& aNames,
                  std::int64_t aVersion,
                  Time aNow);

  // Replaces a known target by another one of the same service that was found
  // at its address while the store is unreachable. The new one is used until
  // the store has an entry for it or the grace period after the outage ends.
  // Its software version is unknown and counts as one of its own.
  // Returns false, without effect, when the store is reachable, aOld has no
  // valid entry or aNew is known already.
  bool OnReplaced(const std::string& aOld,
                  const std::string& aNew,
                  const std::string& aIncarnation,
                  Time aNow);

  bool IsStoreUnreachable() const { return mStoreUnreachable; }

  // Whether the store is reachable and the grace period after its last outage
  // is over, so that it lists every running target.
  bool IsSettled(Time aNow) const
  {
    return !mStoreUnreachable && aNow >= mGraceUntil;
  }

  // A new era of the store begins: any version in it is newer than the known
  // ones, and targets have a grace period in which they register again.
  void BeginEra(Time aNow);

  // The store has become unreachable, or reachable again.
  void OnStoreUnreachable(Time aNow);
  void OnStoreReachable(Time aNow);

  // Whether removed entries are in use because their targets may register
  // again.
  bool HasRetained() const;

  // Makes removed entries unusable whose grace period is over. Returns whether
  // there were any.
  bool Expire(Time aNow);

  // When Expire has to be called next; Time::max() when no entry is pending.
  Time NextExpiry() const;

  // Entries of the targets that may be in use, including leaving ones; at most
  // one for each address.
  std::vector<TargetEntry> UsableTargets() const;

  // Newest version of the store that has been seen.
  std::int64_t Version() const { return mVersion; }

  // When a write of a target's entry was last received; a default Time for an
  // unknown target.
  Time LastUpdateTime(const std::string& aName) const;

private:
  struct Record
  {
    TargetEntry mEntry;
    // Era of the store, counted by this object, in which the record was
    // written, and its version in it.
    int mEra = 0;
    std::int64_t mVersion = 0;
    Time mUpdatedAt;
    bool mValid = true;
    bool mRemoved = false;
    // Whether the target was known to leave, or to be gone, before the present
    // era of the store. An older copy of its entry says nothing against that.
    bool mLeftBefore = false;
    // When a removed entry becomes unusable. Time::max() while no time is set,
    // Time::min() once it is unusable.
    Time mRetainedUntil = Time::max();
  };

  // Whether a record was written before aVersion of the present era.
  bool IsOlder(const Record& aRecord, std::int64_t aVersion) const
  {
    return aRecord.mEra != mEra || aRecord.mVersion < aVersion;
  }

  bool MarkRemoved(Record& aRecord, std::int64_t aVersion, Time aNow);

  Duration mReregistrationTime;
  std::map<std::string, Record> mRecordsByName;
  int mEra = 0;
  std::int64_t mVersion = 0;
  bool mStoreUnreachable = false;
  // End of the grace period in which running targets register again.
  Time mGraceUntil;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_TARGETENTRIES_H_INCLUDED
