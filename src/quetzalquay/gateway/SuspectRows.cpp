#include "gateway/SuspectRows.h"

#include "core/Hash.h"
#include "core/TrialRecord.h"

#include <chrono>
#include <cinttypes>
#include <cstdio>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

constexpr char kSetTrialPrefix[] = "trial-";
constexpr char kTargetTrialPrefix[] = "trial-at-";

// Size of a key: two numbers of 16 hexadecimal digits with a dash between.
constexpr std::size_t kKeySize = 33;

// Largest distance of a stored time from now; more than that is malformed.
constexpr std::int64_t kMaxDistanceMs = 100000000000;

// Whether a time can be converted without an overflow.
bool
IsNear(std::int64_t aUnixMs, const ClockReading& aClocks)
{
  return aUnixMs >= aClocks.mUnixMs - kMaxDistanceMs &&
         aUnixMs <= aClocks.mUnixMs + kMaxDistanceMs;
}

std::int64_t
ToUnixMs(Time aAt, const ClockReading& aClocks)
{
  return aClocks.mUnixMs -
         static_cast<std::int64_t>(ToMilliseconds(aClocks.mNow - aAt));
}

Time
FromUnixMs(std::int64_t aUnixMs, const ClockReading& aClocks)
{
  return aClocks.mNow - milliseconds(aClocks.mUnixMs - aUnixMs);
}

} // namespace

ClockReading
ReadClocks()
{
  const auto unix = std::chrono::system_clock::now().time_since_epoch();
  return { std::chrono::steady_clock::now(),
           std::chrono::duration_cast<milliseconds>(unix).count() };
}

platform::RowChange
FormatSuspectRow(const StoredLossChange& aChange, const ClockReading& aClocks)
{
  const LostRun& run = aChange.mRun;
  platform::RowChange row;
  row.mKey = ToHex(aChange.mSuspect) + "-" + ToHex(run.mDeath.mId);
  if (!aChange.mRemoved) {
    row.mValue = ToHex(run.mDeath.mPlace) + " " +
                 std::to_string(ToUnixMs(run.mStartedAt, aClocks)) + " " +
                 std::to_string(ToUnixMs(run.mDeath.mAt, aClocks));
  }
  return row;
}

std::optional<StoredLossChange>
ParseSuspectRow(const platform::StoreRow& aRow, const ClockReading& aClocks)
{
  StoredLossChange change;
  change.mRemoved = aRow.mRemoved;
  if (aRow.mKey.size() != kKeySize ||
      std::sscanf(aRow.mKey.c_str(),
                  "%16" SCNx64 "-%16" SCNx64,
                  &change.mSuspect,
                  &change.mRun.mDeath.mId) != 2) {
    return std::nullopt;
  }
  if (aRow.mRemoved) {
    return change;
  }
  std::int64_t startedMs = 0;
  std::int64_t diedMs = 0;
  if (std::sscanf(aRow.mValue.c_str(),
                  "%16" SCNx64 " %" SCNd64 " %" SCNd64,
                  &change.mRun.mDeath.mPlace,
                  &startedMs,
                  &diedMs) != 3 ||
      !IsNear(startedMs, aClocks) || !IsNear(diedMs, aClocks)) {
    return std::nullopt;
  }
  change.mRun.mStartedAt = FromUnixMs(startedMs, aClocks);
  change.mRun.mDeath.mAt = FromUnixMs(diedMs, aClocks);
  return change;
}

std::string
TrialKeyOf(std::uint64_t aSet)
{
  return kSetTrialPrefix + ToHex(aSet);
}

std::string
TrialKeyOf(const std::string& aTarget)
{
  return kTargetTrialPrefix + ToHex(StableHash(aTarget));
}

std::optional<SuspectSet>
ParseTrialSuspects(const platform::StoreRow& aRow)
{
  std::uint64_t id = 0;
  if (IsTargetTrialKey(aRow.mKey) ||
      std::sscanf(aRow.mKey.c_str(), "trial-%16" SCNx64, &id) != 1) {
    return std::nullopt;
  }
  const auto record = ParseTrialRecord(aRow.mValue);
  return record && !record->mMembers.empty() ? SuspectSet(record->mMembers)
                                             : SuspectSet(id);
}

bool
IsTargetTrialKey(const std::string& aKey)
{
  return aKey.rfind(kTargetTrialPrefix, 0) == 0;
}

} // namespace quetzalquay
