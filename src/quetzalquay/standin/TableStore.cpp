#include "standin/TableStore.h"

namespace quetzalquay {

bool
TableStore::Commit(const schema::Transaction& aTransaction,
                   schema::TransactionResult& aResult)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& it : aTransaction.conditions()) {
    if (IsSatisfied(it)) {
      continue;
    }
    auto* failed = aResult.add_failed();
    const auto row = mRows.find({ it.table(), it.key() });
    if (row != mRows.end()) {
      *failed = row->second;
    }
    failed->set_table(it.table());
    failed->set_key(it.key());
  }
  aResult.set_revision(mRevision);
  if (aResult.failed_size() > 0) {
    return false;
  }
  ++mRevision;
  for (const auto& it : aTransaction.writes()) {
    const Key key{ it.table(), it.key() };
    if (it.delete_()) {
      mRows.erase(key);
      continue;
    }
    auto& row = mRows[key];
    row.set_table(it.table());
    row.set_key(it.key());
    row.set_value(it.value());
    row.set_version(mRevision);
  }
  aResult.set_revision(mRevision);
  return true;
}

std::optional<schema::TableRow>
TableStore::Read(const std::string& aTable, const std::string& aKey) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto it = mRows.find({ aTable, aKey });
  if (it == mRows.end()) {
    return std::nullopt;
  }
  return it->second;
}

schema::TableRows
TableStore::ReadAfter(const std::string& aTable, unsigned aAfter) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  schema::TableRows rows;
  rows.set_revision(mRevision);
  for (const auto& it : mRows) {
    if (it.first.first == aTable && it.second.version() > aAfter) {
      *rows.add_rows() = it.second;
    }
  }
  return rows;
}

bool
TableStore::IsSatisfied(const schema::TableCondition& aCondition) const
{
  const auto it = mRows.find({ aCondition.table(), aCondition.key() });
  if (aCondition.absent()) {
    return it == mRows.end();
  }
  return it != mRows.end() && it->second.version() == aCondition.version();
}

} // namespace quetzalquay
