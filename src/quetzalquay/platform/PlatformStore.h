#ifndef QUETZALQUAY_PLATFORM_PLATFORMSTORE_H_INCLUDED
#define QUETZALQUAY_PLATFORM_PLATFORMSTORE_H_INCLUDED

#include "core/RoutingTable.h"
#include "core/TargetEntries.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay::platform {

// Tables of the platform's store that the gateway uses.
enum class StoreTable
{
  // The operators' configuration, one row.
  Configuration,
  // What the targets say of themselves, a row each.
  Targets,
  // Addresses at which hosts answer each other, a row each.
  Hosts,
};

// Name of a table in logs.
std::string_view
NameOf(StoreTable aTable);

// One row as read.
struct StoreRow
{
  std::string mKey;
  std::string mValue;
  std::int64_t mVersion = 0;
  bool mRemoved = false;
};

// Rows of one answer.
struct StoreRows
{
  std::vector<StoreRow> mRows;
  // Newest version of the whole store.
  std::int64_t mVersion = 0;
  // Whether more rows follow the last one.
  bool mMore = false;
};

// Requests to the store, with their heads. aHost is the store's address.
std::string
EncodeRead(const std::string& aHost,
           StoreTable aTable,
           const std::string& aFromKey);
std::string
EncodeWatch(const std::string& aHost,
            StoreTable aTable,
            std::int64_t aAfter,
            Duration aWait);
std::string
EncodePut(const std::string& aHost,
          StoreTable aTable,
          const std::string& aKey,
          const std::string& aValue);
std::string
EncodeRemove(const std::string& aHost,
             StoreTable aTable,
             const std::string& aKey);

// Status of a watch whose history is no longer kept.
constexpr int kHistoryGone = 410;

// Rows of an answer to a read or a watch.
std::optional<StoreRows>
DecodeRows(const std::string& aBody, std::string& aReason);

// Key of the row that holds the configuration.
extern const char kConfigurationKey[];

// One version of the configuration.
RefPtr<RoutingTable>
DecodeConfiguration(const std::string& aValue, std::string& aReason);

// A target's entry. Nothing when it names no target that can be used.
std::optional<TargetEntry>
DecodeTarget(const std::string& aName,
             const std::string& aValue,
             std::string& aReason);

} // namespace quetzalquay::platform

#endif // QUETZALQUAY_PLATFORM_PLATFORMSTORE_H_INCLUDED
