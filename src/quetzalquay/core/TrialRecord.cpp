#include "core/TrialRecord.h"

#include <cstdio>

namespace quetzalquay {

TrialRecord
BeginTrial(TrialRecord aRecord, bool aVanished)
{
  if (aVanished && ++aRecord.mLost >= kLostTrialsToConvict) {
    aRecord.mConvicted = true;
  }
  aRecord.mHeld = !aRecord.mConvicted;
  return aRecord;
}

TrialRecord
FinishTrial(TrialRecord aRecord, TrialOutcome aOutcome)
{
  aRecord.mHeld = false;
  if (aOutcome == TrialOutcome::Cleared) {
    return TrialRecord();
  }
  const bool convicted = aOutcome == TrialOutcome::Convicted;
  aRecord.mLost += convicted || aOutcome == TrialOutcome::Lost ? 1 : 0;
  aRecord.mConvicted |= convicted || aRecord.mLost >= kLostTrialsToConvict;
  return aRecord;
}

std::string
FormatTrialRecord(const TrialRecord& aRecord)
{
  return std::to_string(aRecord.mLost) + " " +
         (aRecord.mConvicted ? "1 " : "0 ") + (aRecord.mHeld ? "1" : "0");
}

std::optional<TrialRecord>
ParseTrialRecord(const std::string& aText)
{
  TrialRecord record;
  int convicted = 0;
  int held = 0;
  if (std::sscanf(
        aText.c_str(), "%9d %1d %1d", &record.mLost, &convicted, &held) != 3 ||
      record.mLost < 0) {
    return std::nullopt;
  }
  record.mConvicted = convicted != 0;
  record.mHeld = held != 0;
  return record;
}

} // namespace quetzalquay
