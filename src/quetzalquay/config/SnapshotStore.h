#ifndef QUETZALQUAY_CONFIG_SNAPSHOTSTORE_H_INCLUDED
#define QUETZALQUAY_CONFIG_SNAPSHOTSTORE_H_INCLUDED

#include <atomic>
#include <mutex>

namespace quetzalquay {

class Snapshot;

// Current snapshot behind read-copy-update: readers never wait, and a replaced
// snapshot is freed once no reader uses it.
class SnapshotStore
{
public:
  SnapshotStore() = default;
  SnapshotStore(const SnapshotStore&) = delete;
  SnapshotStore& operator=(const SnapshotStore&) = delete;
  ~SnapshotStore();

  // Puts a snapshot in force if its revision is higher than the current one's.
  // Takes ownership either way; returns whether it is in force.
  bool Replace(Snapshot* aSnapshot);

  // Revision in force; zero before the first.
  unsigned Revision() const { return mRevision.load(); }

private:
  friend class SnapshotReader;

  std::mutex mWriters;
  Snapshot* mCurrent = nullptr;
  std::atomic<unsigned> mRevision{ 0 };
};

// Read access to the current snapshot for the lifetime of this object. Must not
// be held while waiting.
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
