#ifndef QUETZALQUAY_PORTS_PLATFORMPORTS_H_INCLUDED
#define QUETZALQUAY_PORTS_PLATFORMPORTS_H_INCLUDED

#include "core/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Outcome of a call to the platform.
enum class StoreOutcome
{
  Done,
  // The call has certainly had no effect.
  NotDone,
  // No response; the call may have taken effect.
  Unknown,
  // A condition of the transaction did not hold, or the row or object does not
  // exist.
  Rejected,
};

// One row of the table service.
struct StoredRow
{
  std::string mKey;
  std::string mValue;
  // Increases with each write of the row.
  unsigned mVersion = 0;
};

// Condition on one row's version; a transaction commits only if it holds.
struct RowCondition
{
  std::string mTable;
  std::string mKey;
  // Version that the row must have; zero when the row must not exist.
  unsigned mVersion = 0;
};

// Write or deletion of one row.
struct RowWrite
{
  std::string mTable;
  std::string mKey;
  std::string mValue;
  bool mDelete = false;
};

// Transaction: all writes take effect atomically if all conditions hold.
struct StoreTransaction
{
  std::vector<RowCondition> mConditions;
  std::vector<RowWrite> mWrites;
};

// Result of a transaction.
struct CommitResult
{
  StoreOutcome mOutcome = StoreOutcome::NotDone;
  // Store-wide revision of the commit.
  unsigned mRevision = 0;
  // Current state of the rows whose condition did not hold. A row that does not
  // exist has no value and version zero.
  std::vector<StoredRow> mFailedRows;
};

// Transactional table service.
class TableStorePort
{
public:
  virtual ~TableStorePort() = default;

  // Commits a transaction, blocking for aTimeout at most.
  virtual CommitResult Commit(const StoreTransaction& aTransaction,
                              Duration aTimeout) = 0;

  // Reads a row. Returns Done with aRow filled, Rejected when the row does not
  // exist, else NotDone.
  virtual StoreOutcome Read(const std::string& aTable,
                            const std::string& aKey,
                            Duration aTimeout,
                            StoredRow& aRow) = 0;

  // Reads all rows of a table and the store-wide revision that they belong to.
  virtual StoreOutcome ReadAll(const std::string& aTable,
                               Duration aTimeout,
                               std::vector<StoredRow>& aRows,
                               unsigned& aRevision) = 0;
};

class ObjectStorePort
{
public:
  virtual ~ObjectStorePort() = default;

  // Writes an object, blocking for aTimeout at most.
  virtual StoreOutcome Put(const std::string& aName,
                           const std::string& aBytes,
                           Duration aTimeout) = 0;

  // Reads an object. Rejected when it does not exist.
  virtual StoreOutcome Get(const std::string& aName,
                           Duration aTimeout,
                           std::string& aBytes) = 0;

  // Deletes an object, blocking for aTimeout at most.
  virtual StoreOutcome Delete(const std::string& aName, Duration aTimeout) = 0;
};

// One entry of the platform's host list.
struct HostState
{
  std::string mName;
  std::string mAddress;
  bool mLeaving = false;
  // When a leaving host will stop, in milliseconds since the Unix epoch; zero
  // when that is not known.
  double mStopAtMs = 0;
};

// The platform's list of live and leaving hosts, which may lag behind.
class HostListPort
{
public:
  virtual ~HostListPort() = default;

  // Reads the list. Returns nothing when the platform does not answer within
  // aTimeout.
  virtual std::optional<std::vector<HostState>> ReadHosts(
    Duration aTimeout) = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_PORTS_PLATFORMPORTS_H_INCLUDED
