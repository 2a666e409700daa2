#ifndef QUETZALQUAY_CORE_TARGETENTRIES_H_INCLUDED
#define QUETZALQUAY_CORE_TARGETENTRIES_H_INCLUDED

#include "core/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzalquay {

// What a target says of itself in the platform's store.
struct TargetEntry
{
  // Name under which the target registers; kept over restarts.
  std::string mName;
  std::string mService;
  // IPv4 address and port.
  std::string mAddress;
  std::string mPlace;
  // Changes with each start of the target.
  std::string mIncarnation;
  // Requests that the target runs at once.
  int mSlots = 0;
  // Whether the target takes no new work.
  bool mLeaving = false;
};

// The registered targets as last heard, and how long what was heard holds.
//
// While the store is away its entries may lapse although their targets live.
// So an entry that is found missing after an outage is kept until the targets
// have had time to register again. Pure logic; not safe for concurrent use.
class TargetEntries
{
public:
  // aReturnTime is how long after the store's return targets are back in it.
  explicit TargetEntries(Duration aReturnTime);

  // A target has written its entry, at a version of the store. Older versions
  // than the known one are dropped. Returns whether anything changed.
  bool OnEntry(const TargetEntry& aEntry, std::int64_t aVersion, Time aNow);

  // An entry that cannot be understood has been written under a name. It names
  // no target to use.
  bool OnUnreadable(const std::string& aName, std::int64_t aVersion, Time aNow);

  // An entry has been removed at a version.
  bool OnRemoved(const std::string& aName, std::int64_t aVersion, Time aNow);

  // A host that the store answers knows all changes up to a version, and all of
  // them have been told here: entries that are missing do not come back.
  // Returns whether anything changed.
  bool OnSettledElsewhere(std::int64_t aVersion);

  // All entries as of a version: those that are not listed are gone.
  bool OnSnapshot(const std::vector<std::string>& aNames,
                  std::int64_t aVersion,
                  Time aNow);

  // While the store is away, another target has been found at the address of a
  // known one, of the same service. It is used in its place until the store
  // tells, or is back for long enough. Returns whether it is taken.
  bool OnReplaced(const std::string& aOld,
                  const std::string& aNew,
                  const std::string& aIncarnation,
                  Time aNow);

  // Whether the store is away.
  bool IsStoreLost() const { return mStoreLost; }

  // Whether the store answers, and has for long enough to know every target.
  bool IsSettled(Time aNow) const { return !mStoreLost && aNow >= mGraceUntil; }

  // The store does not answer, or answers again.
  void OnStoreLost(Time aNow);
  void OnStoreBack(Time aNow);

  // Drops entries whose time has run out. Returns whether any was.
  bool Expire(Time aNow);

  // When Expire has to be called; the latest time when nothing waits.
  Time NextExpiry() const;

  // Entries that name a target to use, leaving ones included.
  std::vector<TargetEntry> Usable() const;

  // Newest version that has been heard of.
  std::int64_t Version() const { return mVersion; }

  // When a target's entry was last written, or the earliest time.
  Time LastHeard(const std::string& aName) const;

private:
  struct Record
  {
    TargetEntry mEntry;
    std::int64_t mVersion = 0;
    Time mHeardAt;
    bool mReadable = true;
    bool mRemoved = false;
    // When a removed entry stops to be used.
    Time mGoneAt = Time::max();
  };

  bool Remove(Record& aRecord, std::int64_t aVersion, Time aNow);

  Duration mReturnTime;
  std::map<std::string, Record> mRecords;
  std::int64_t mVersion = 0;
  bool mStoreLost = false;
  // Until then a missing entry may still come back.
  Time mGraceUntil;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_TARGETENTRIES_H_INCLUDED
