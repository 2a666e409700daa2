#ifndef QUETZALQUAY_CONTROL_RESOURCESTORE_H_INCLUDED
#define QUETZALQUAY_CONTROL_RESOURCESTORE_H_INCLUDED

#include "control/ResourceTable.h"
#include "core/Time.h"
#include "ports/PlatformPorts.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// One write of a resource.
struct ResourceChange
{
  std::string mKind;
  std::string mName;
  // The resource as JSON; empty deletes it.
  std::string mValue;
  // Version that the resource must have, zero when it must not exist. Without
  // a value the write is unconditional.
  std::optional<unsigned> mIfVersion;
};

// Outcome of a write.
enum class ChangeStatus
{
  Accepted,
  // The resource is not at the required version.
  Conflict,
  // The resource, or the configuration that would result, is not valid.
  Invalid,
  NotFound,
  // Nothing was written.
  Unavailable,
  // The store did not confirm the write before the deadline. A retry with the
  // same operation ID is safe.
  Unknown,
};

// Result of a write.
struct ChangeResult
{
  ChangeStatus mStatus = ChangeStatus::Unavailable;
  // Configuration revision and row version that the write created.
  unsigned mRevision = 0;
  unsigned mVersion = 0;
  // On a conflict, the current resource.
  Resource mCurrent;
  // When the write is invalid, what is wrong with it.
  std::string mReason;
};

// The declared resources in the table service. Every accepted write commits
// the next configuration revision, the resources and the outcome of the
// operation in one transaction, so that revisions form a single sequence.
class ResourceStore
{
public:
  // Time source and sleep function; replaced in tests.
  using Clock = std::function<Time()>;
  using SleepFunction = std::function<void(Duration)>;

  ResourceStore(TableStorePort& aStore, Clock aClock);
  ResourceStore(TableStorePort& aStore, Clock aClock, SleepFunction aSleep);

  // Reads all resources.
  StoreOutcome Load(ResourceTable& aTable);

  // Reads the configuration's revision only. Zero when nothing has been
  // declared.
  StoreOutcome ReadRevision(unsigned& aRevision);

  // Applies a set of writes atomically and retries until aDeadline. Idempotent
  // by aOperationId: a retry with the same ID returns the first accepted
  // outcome.
  ChangeResult Apply(const std::vector<ResourceChange>& aChanges,
                     const std::string& aOperationId,
                     Time aDeadline);

private:
  enum class TryResult
  {
    Retry,
    Final,
  };

  TryResult TryApply(const std::vector<ResourceChange>& aChanges,
                     const std::string& aOperationId,
                     ChangeResult& aResult);
  bool FindOperation(const std::string& aOperationId, ChangeResult& aResult);
  bool PrepareTransaction(const std::vector<ResourceChange>& aChanges,
                          const std::string& aOperationId,
                          ResourceTable& aTable,
                          StoreTransaction& aTransaction,
                          ChangeResult& aResult) const;
  bool CheckChange(const ResourceChange& aChange,
                   const ResourceTable& aTable,
                   ChangeResult& aResult) const;

  TableStorePort& mStore;
  Clock mClock;
  SleepFunction mSleep;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CONTROL_RESOURCESTORE_H_INCLUDED
