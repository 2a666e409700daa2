#include "FakeStore.h"

using namespace quetzalquay;

CommitResult
FakeStore::Commit(const StoreTransaction& aTransaction, Duration)
{
  const FailureMode mode = NextFailureMode();
  CommitResult result;
  if (mode == Down) {
    return result;
  }
  result.mOutcome = StoreOutcome::Unknown;
  if (mode == RequestLost) {
    return result;
  }
  const CommitResult actual = Apply(aTransaction);
  return mode == ResponseLost ? result : actual;
}

StoreOutcome
FakeStore::Read(const std::string& aTable,
                const std::string& aKey,
                Duration,
                StoredRow& aRow)
{
  if (NextFailureMode() != Healthy) {
    return StoreOutcome::NotDone;
  }
  const auto it = mRows.find({ aTable, aKey });
  if (it == mRows.end()) {
    return StoreOutcome::Rejected;
  }
  aRow = it->second;
  return StoreOutcome::Done;
}

StoreOutcome
FakeStore::ReadAll(const std::string& aTable,
                   Duration,
                   std::vector<StoredRow>& aRows,
                   unsigned& aRevision)
{
  if (NextFailureMode() != Healthy) {
    return StoreOutcome::NotDone;
  }
  aRows.clear();
  for (const auto& it : mRows) {
    if (it.first.first == aTable) {
      aRows.push_back(it.second);
    }
  }
  aRevision = mRevision;
  return StoreOutcome::Done;
}

CommitResult
FakeStore::Apply(const StoreTransaction& aTransaction)
{
  CommitResult result;
  for (const RowCondition& it : aTransaction.mConditions) {
    const auto row = mRows.find({ it.mTable, it.mKey });
    const unsigned version = row == mRows.end() ? 0 : row->second.mVersion;
    if (version != it.mVersion) {
      result.mFailedRows.push_back(
        row == mRows.end() ? StoredRow{ it.mKey, "", 0 } : row->second);
    }
  }
  if (!result.mFailedRows.empty()) {
    result.mOutcome = StoreOutcome::Rejected;
    return result;
  }
  result.mOutcome = StoreOutcome::Done;
  result.mRevision = ++mRevision;
  for (const RowWrite& it : aTransaction.mWrites) {
    const std::pair<std::string, std::string> key{ it.mTable, it.mKey };
    if (it.mDelete) {
      mRows.erase(key);
    } else {
      mRows[key] = { it.mKey, it.mValue, mRevision };
    }
  }
  return result;
}
