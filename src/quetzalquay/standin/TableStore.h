#ifndef QUETZALQUAY_STANDIN_TABLESTORE_H_INCLUDED
#define QUETZALQUAY_STANDIN_TABLESTORE_H_INCLUDED

#include "generated/messages.pb.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace quetzalquay {

// Tables of the stand-in platform, with real transactions. Safe for concurrent
// use.
class TableStore
{
public:
  // Commits when all conditions hold; else the result names the rows that
  // failed. Returns whether it committed.
  bool Commit(const schema::Transaction& aTransaction,
              schema::TransactionResult& aResult);

  // Row of a table, or nothing.
  std::optional<schema::TableRow> Read(const std::string& aTable,
                                       const std::string& aKey) const;

  // Rows of a table whose version is above aAfter.
  schema::TableRows ReadAfter(const std::string& aTable, unsigned aAfter) const;

private:
  using Key = std::pair<std::string, std::string>;

  bool Holds(const schema::TableCondition& aCondition) const;

  mutable std::mutex mMutex;
  std::map<Key, schema::TableRow> mRows;
  unsigned mRevision = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_STANDIN_TABLESTORE_H_INCLUDED
