#include "config/SnapshotStore.h"

#include "config/Snapshot.h"

#include <memory>
#include <urcu-bp.h>

namespace quetzalquay {

SnapshotStore::~SnapshotStore()
{
  delete mCurrent;
}

bool
SnapshotStore::Replace(Snapshot* aSnapshot)
{
  std::unique_ptr<Snapshot> owned(aSnapshot);
  const std::lock_guard<std::mutex> lock(mWriteMutex);
  if (mCurrent != nullptr && owned->Revision() <= mCurrent->Revision()) {
    return false;
  }
  mRevision.store(owned->Revision());
  owned.reset(rcu_xchg_pointer(&mCurrent, owned.release()));
  synchronize_rcu();
  return true;
}

SnapshotReader::SnapshotReader(const SnapshotStore& aStore)
{
  rcu_read_lock();
  mSnapshot = rcu_dereference(aStore.mCurrent);
}

SnapshotReader::~SnapshotReader()
{
  rcu_read_unlock();
}

} // namespace quetzalquay
