#ifndef QUETZALQUAY_CONFIG_SNAPSHOTSTORE_H_INCLUDED
#define QUETZALQUAY_CONFIG_SNAPSHOTSTORE_H_INCLUDED

#include <atomic>
#include <mutex>

namespace quetzalquay {

class Snapshot;

// Holds the current snapshot under read-copy-update (RCU): readers never block,
// and a replaced snapshot is freed once no reader uses it.
class SnapshotStore
{
public:
  SnapshotStore() = default;
  SnapshotStore(const SnapshotStore&) = delete;
  SnapshotStore& operator=(const SnapshotStore&) = delete;
  ~SnapshotStore();

  // Makes a snapshot current if its revision is higher than the current one's.
  // Takes ownership in either case. Returns whether the snapshot was installed.
  bool Replace(Snapshot* aSnapshot);

  // Current revision; zero before the first snapshot.
  unsigned Revision() const { return mRevision.load(); }

private:
  friend class SnapshotReader;

  std::mutex mWriteMutex;
  Snapshot* mCurrent = nullptr;
  std::atomic<unsigned> mRevision{ 0 };
};

// Read access to the current snapshot for the lifetime of this object. Must not
// be held across blocking calls, as Replace() waits for its end.
class SnapshotReader
{
public:
  explicit SnapshotReader(const SnapshotStore& aStore);
  SnapshotReader(const SnapshotReader&) = delete;
  SnapshotReader& operator=(const SnapshotReader&) = delete;
  ~SnapshotReader();

  // Null before the first snapshot.
  const Snapshot* Get() const { return mSnapshot; }
  const Snapshot* operator->() const { return mSnapshot; }

private:
  const Snapshot* mSnapshot;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CONFIG_SNAPSHOTSTORE_H_INCLUDED
