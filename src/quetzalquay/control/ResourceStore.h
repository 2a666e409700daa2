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
  // Version that the resource must have: zero when it must not exist; nothing
  // when any will do.
  std::optional<unsigned> mIfVersion;
};

// How a write ended.
enum class ChangeStatus
{
  Accepted,
  // The resource is not at the version that was asked for.
  Conflict,
  // The resource, or the configuration with it, is not valid.
  Invalid,
  NotFound,
  // Nothing was written.
  Unavailable,
  // The store did not tell within the time; repeating the operation id is safe.
  Unknown,
};

// Answer to a write.
struct ChangeResult
{
  ChangeStatus mStatus = ChangeStatus::Unavailable;
  // Revision and version that the write made.
  unsigned mRevision = 0;
  unsigned mVersion = 0;
  // Resource as it is, on a conflict.
  Resource mCurrent;
  std::string mReason;
};

// The declared resources on the table service. Every accepted write takes the
// next revision of one line, together with the resource and the operation's
// outcome, in one transaction.
class ResourceStore
{
public:
  // Tells the time, and waits; replaced in tests.
  using Clock = std::function<Time()>;
  using Pause = std::function<void(Duration)>;

  ResourceStore(TableStorePort& aStore, Clock aClock);
  ResourceStore(TableStorePort& aStore, Clock aClock, Pause aPause);

  // Reads all resources.
  StoreOutcome Load(ResourceTable& aTable);

  // Reads the line's revision only. Zero when nothing has been declared.
  StoreOutcome ReadRevision(unsigned& aRevision);

  // Carries out a set of writes as one, before aGiveUpAt. aOperationId names
  // the operation: repeating it returns the first outcome.
  ChangeResult Apply(const std::vector<ResourceChange>& aChanges,
                     const std::string& aOperationId,
                     Time aGiveUpAt);

private:
  enum class Step
  {
    Again,
    Decided,
  };

  Step TryApply(const std::vector<ResourceChange>& aChanges,
                const std::string& aOperationId,
                ChangeResult& aResult);
  bool FindOperation(const std::string& aOperationId, ChangeResult& aResult);
  bool Prepare(const std::vector<ResourceChange>& aChanges,
               const std::string& aOperationId,
               ResourceTable& aTable,
               StoreTransaction& aTransaction,
               ChangeResult& aResult) const;
  bool CheckChange(const ResourceChange& aChange,
                   const ResourceTable& aTable,
                   ChangeResult& aResult) const;

  TableStorePort& mStore;
  Clock mClock;
  Pause mPause;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CONTROL_RESOURCESTORE_H_INCLUDED
