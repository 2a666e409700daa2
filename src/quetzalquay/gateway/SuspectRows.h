#ifndef QUETZALQUAY_GATEWAY_SUSPECTROWS_H_INCLUDED
#define QUETZALQUAY_GATEWAY_SUSPECTROWS_H_INCLUDED

#include "core/SuspectRegistry.h"
#include "platform/PlatformStore.h"

#include <cstdint>
#include <optional>
#include <string>

namespace quetzalquay {

// The moment of a conversion on the steady clock, and its Unix time in
// milliseconds. Rows have Unix times, since they outlast the hosts.
struct ClockReading
{
  Time mNow;
  std::int64_t mUnixMs = 0;
};

ClockReading
ReadClocks();

// The row change that stores or removes a lost run. The key names the suspect
// and the death, so hosts that store the same loss write the same row.
platform::RowChange
FormatSuspectRow(const StoredLossChange& aChange, const ClockReading& aClocks);

// Parses a row; nothing if it is malformed. A removed row has no times.
std::optional<StoredLossChange>
ParseSuspectRow(const platform::StoreRow& aRow, const ClockReading& aClocks);

// Keys of the rows, in the same table, that record the trials of a set of
// suspects and those on a target.
std::string
TrialKeyOf(std::uint64_t aSet);
std::string
TrialKeyOf(const std::string& aTarget);

// The suspects of a row of trials; nothing for other rows.
std::optional<SuspectSet>
ParseTrialSuspects(const platform::StoreRow& aRow);

// Whether a row records the trials on a target.
bool
IsTargetTrialKey(const std::string& aKey);

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_SUSPECTROWS_H_INCLUDED
