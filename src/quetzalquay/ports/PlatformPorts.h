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
  // The service has certainly not carried out the call.
  NotDone,
  // No answer: the call may have taken effect.
  Unknown,
  // A transaction's conditions did not hold, or an object does not exist.
  Rejected,
};

// One row of the table service.
struct StoredRow
{
  std::string mKey;
  std::string mValue;
  // Grows with each write of the row.
  unsigned mVersion = 0;
};

// Condition on one row for a transaction to commit.
struct RowCondition
{
  std::string mTable;
  std::string mKey;
  // Version that the row must have; zero when the row must not exist.
  unsigned mVersion = 0;
};

// Write of one row.
struct RowWrite
{
  std::string mTable;
  std::string mKey;
  std::string mValue;
  bool mDelete = false;
};

// All writes take effect together, if all conditions hold.
struct StoreTransaction
{
  std::vector<RowCondition> mConditions;
  std::vector<RowWrite> mWrites;
};

// Answer to a transaction.
struct CommitResult
{
  StoreOutcome mOutcome = StoreOutcome::NotDone;
  // Store-wide revision of the commit.
  unsigned mRevision = 0;
  // Rows whose condition did not hold, as they are; without a value and with
  // version zero when they do not exist.
  std::vector<StoredRow> mFailed;
};

// Transactional table service.
class TableStorePort
{
public:
  virtual ~TableStorePort() = default;

  // Commits a transaction, blocking for aTimeout at most.
  virtual CommitResult Commit(const StoreTransaction& aTransaction,
                              Duration aTimeout) = 0;

  // Reads a row. Done with a row, Rejected when it does not exist, else
  // NotDone.
  virtual StoreOutcome Read(const std::string& aTable,
                            const std::string& aKey,
                            Duration aTimeout,
                            StoredRow& aRow) = 0;

  // Reads all rows of a table with the table's revision.
  virtual StoreOutcome ReadAll(const std::string& aTable,
                               Duration aTimeout,
                               std::vector<StoredRow>& aRows,
                               unsigned& aRevision) = 0;
};

// Object store.
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

  // Deletes an object.
  virtual StoreOutcome Delete(const std::string& aName, Duration aTimeout) = 0;
};

// One host of the platform's list.
struct HostState
{
  std::string mName;
  std::string mAddress;
  bool mLeaving = false;
  // When a leaving host stops, in milliseconds since the Unix epoch; zero when
  // it does not say.
  double mStopAtMs = 0;
};

// Lagging list of live and leaving hosts.
class HostListPort
{
public:
  virtual ~HostListPort() = default;

  // Reads the list, or nothing.
  virtual std::optional<std::vector<HostState>> ReadHosts(
    Duration aTimeout) = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_PORTS_PLATFORMPORTS_H_INCLUDED
