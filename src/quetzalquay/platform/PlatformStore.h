#ifndef QUETZALQUAY_PLATFORM_PLATFORMSTORE_H_INCLUDED
#define QUETZALQUAY_PLATFORM_PLATFORMSTORE_H_INCLUDED

#include "core/RoutingTable.h"
#include "core/TargetEntries.h"
#include "http/HttpHead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay::platform {

// Tables of the platform's store that the gateway uses.
enum class StoreTable
{
  // The operators' configuration, in a single row.
  Configuration,
  // Registrations of the targets, one row each.
  Targets,
  // Addresses at which the hosts accept peer requests, one row each.
  Hosts,
  // Requests suspected of crashing targets, one row for each lost run.
  Suspects,
  // Origins of streams and software versions of services, one row each.
  StreamOrigins,
  // State of rollouts for the operators, one row each.
  Status,
};

// Name of a table in log lines.
std::string_view
NameOf(StoreTable aTable);

// A row read from the store.
struct StoreRow
{
  std::string mKey;
  std::string mValue;
  // From the store's counter; 0 if it cannot be read.
  std::int64_t mVersion = 0;
  bool mRemoved = false;
};

// Rows of one response of the store. Those of parts other than the empty one,
// which changes of a table include, are left out.
struct StoreRows
{
  std::vector<StoreRow> mRows;
  // Newest version of a row in the response, left out or not; 0 if it has none.
  std::int64_t mRowsUpTo = 0;
  // Newest version of the whole store; 0 if it cannot be read.
  std::int64_t mVersion = 0;
  // Whether more rows follow the last one.
  bool mHasMore = false;
};

// The functions below build complete HTTP requests to the store. aHost is the
// value of the Host field, the store's address.

// Reads the rows of a table from key aFromKey on, or all when it is empty.
std::string
EncodeRead(const std::string& aHost,
           StoreTable aTable,
           const std::string& aFromKey);
// Waits up to aWait for rows of a table newer than version aAfter.
std::string
EncodeWatch(const std::string& aHost,
            StoreTable aTable,
            std::int64_t aAfter,
            Duration aWait);
// A row to write, or to remove if it has no value.
struct RowChange
{
  std::string mKey;
  std::optional<std::string> mValue;
};

// A row and the version that it must have for a transaction to be performed; 0
// if there must be no such row.
struct RowCondition
{
  std::string mKey;
  std::int64_t mVersion = 0;
};

// Maximum number of rows in one transaction.
constexpr std::size_t kMaxRowChanges = 100;

// Writes and removes rows of a table in one transaction, at most
// kMaxRowChanges, if all conditions hold.
std::string
EncodeChanges(const std::string& aHost,
              StoreTable aTable,
              const std::vector<RowChange>& aChanges,
              const std::vector<RowCondition>& aConditions = {});

// Reads at most one row: the first one of a table from a key on.
std::string
EncodeReadRow(const std::string& aHost,
              StoreTable aTable,
              const std::string& aKey);

// Writes a row.
std::string
EncodePut(const std::string& aHost,
          StoreTable aTable,
          const std::string& aKey,
          const std::string& aValue);

// HTTP status of a transaction whose conditions do not hold. Its response has
// the rows that they name.
constexpr int kConditionFailedStatus = 412;

// HTTP status of a watch whose starting version the store no longer keeps.
constexpr int kWatchExpiredStatus = 410;

// Parses the response to a read or a watch. Returns nothing and sets aReason
// when it is not a JSON object.
std::optional<StoreRows>
DecodeRows(const std::string& aBody, std::string& aReason);

// How often the store has come back from an older copy, as its answers say.
// Nothing if aHead does not tell; sets aReason if it tells something else than
// a count.
std::optional<std::int64_t>
DecodeReturnCount(const HttpHead& aHead, std::string& aReason);

// Key of the row that holds the configuration.
extern const char kConfigurationKey[];

// Parses one version of the configuration. Returns null and sets aReason when
// it is not a JSON object.
RefPtr<RoutingTable>
DecodeConfiguration(const std::string& aValue, std::string& aReason);

// Prefix of the keys of orders to move a service to another version, in the
// table of the configuration.
extern const char kRolloutKeyPrefix[];

// Key of a service's order, and of the row that tells its state.
std::string
RolloutKeyOf(const std::string& aService);

// An operator's order to move a service to another version.
struct RolloutRequest
{
  std::string mService;
  std::string mVersion;
  // Time from the order to its deadline.
  Duration mDuration = Duration::zero();
};

// Parses an order. Returns nothing and sets aReason if it is none.
std::optional<RolloutRequest>
DecodeRolloutRequest(const std::string& aValue, std::string& aReason);

// What operators are told of a rollout.
struct RolloutStatus
{
  // "running", "completed" or "rolled_back".
  std::string mState;
  std::string mVersion;
};

std::string
FormatRolloutStatus(const RolloutStatus& aStatus);

// Parses a row that tells the state of a rollout. Returns nothing and sets
// aReason if it does not.
std::optional<RolloutStatus>
DecodeRolloutStatus(const std::string& aValue, std::string& aReason);

// Parses a target's row. Returns nothing and sets aReason when the row does not
// describe a usable target.
std::optional<TargetEntry>
DecodeTarget(const std::string& aName,
             const std::string& aValue,
             std::string& aReason);

} // namespace quetzalquay::platform

#endif // QUETZALQUAY_PLATFORM_PLATFORMSTORE_H_INCLUDED
