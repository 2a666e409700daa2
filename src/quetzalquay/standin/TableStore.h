#ifndef QUETZALQUAY_STANDIN_TABLESTORE_H_INCLUDED
#define QUETZALQUAY_STANDIN_TABLESTORE_H_INCLUDED

#include "generated/messages.pb.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace quetzalquay {

// Tables of the stand-in platform, with atomic transactions. Thread-safe.
class TableStore
{
public:
  // Commits a transaction if all its conditions hold and returns true.
  // Otherwise adds the rows whose conditions failed to the result.
  bool Commit(const schema::Transaction& aTransaction,
              schema::TransactionResult& aResult);

  // Returns a row, or nothing if the table has no such row.
  std::optional<schema::TableRow> Read(const std::string& aTable,
                                       const std::string& aKey) const;

  // Returns the rows of a table whose version is greater than aAfter.
  schema::TableRows ReadAfter(const std::string& aTable, unsigned aAfter) const;

private:
  using Key = std::pair<std::string, std::string>;

  bool IsSatisfied(const schema::TableCondition& aCondition) const;

  mutable std::mutex mMutex;
  std::map<Key, schema::TableRow> mRows;
  unsigned mRevision = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_STANDIN_TABLESTORE_H_INCLUDED
