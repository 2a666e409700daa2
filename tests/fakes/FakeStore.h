#ifndef QUETZALQUAY_TESTS_FAKES_FAKESTORE_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_FAKESTORE_H_INCLUDED

#include "ports/PlatformPorts.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

// In-memory table service that can fail on any call.
class FakeStore : public quetzalquay::TableStorePort
{
public:
  enum FailureMode
  {
    Healthy,
    Down,
    // The write takes effect, but its response is lost.
    ResponseLost,
    // The request is lost; the write takes no effect.
    RequestLost,
    Last,
  };

  // Called before each call to choose how it fails; may have side effects.
  // Healthy if not set.
  std::function<FailureMode()> mFailureMode;

  quetzalquay::CommitResult Commit(
    const quetzalquay::StoreTransaction& aTransaction,
    quetzalquay::Duration aTimeout) override;
  quetzalquay::StoreOutcome Read(const std::string& aTable,
                                 const std::string& aKey,
                                 quetzalquay::Duration aTimeout,
                                 quetzalquay::StoredRow& aRow) override;
  quetzalquay::StoreOutcome ReadAll(const std::string& aTable,
                                    quetzalquay::Duration aTimeout,
                                    std::vector<quetzalquay::StoredRow>& aRows,
                                    unsigned& aRevision) override;

private:
  FailureMode NextFailureMode()
  {
    return mFailureMode ? mFailureMode() : Healthy;
  }
  quetzalquay::CommitResult Apply(
    const quetzalquay::StoreTransaction& aTransaction);

  std::map<std::pair<std::string, std::string>, quetzalquay::StoredRow> mRows;
  unsigned mRevision = 0;
};

#endif // QUETZALQUAY_TESTS_FAKES_FAKESTORE_H_INCLUDED
