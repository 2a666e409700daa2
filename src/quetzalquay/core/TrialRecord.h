#ifndef QUETZALQUAY_CORE_TRIALRECORD_H_INCLUDED
#define QUETZALQUAY_CORE_TRIALRECORD_H_INCLUDED

#include "core/NameTable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// What all hosts together have on record of the trials of one set of suspects,
// or of those on one target. A host changes the record only if nobody else has
// since it was read, so the hosts never run two trials of a set at once.
struct TrialRecord
{
  // Trials that were lost with their target.
  int mLost = 0;
  // Whether the set is convicted of crashing targets.
  bool mConvicted = false;
  // Whether a trial is in progress.
  bool mHeld = false;
  // Members of the set. Empty in records of targets, and in those written by
  // earlier versions, whose sets have a single member that names the record.
  std::vector<std::uint64_t> mMembers;
};

// How a trial ended.
enum class TrialOutcome
{
  // Its request has finished, or has run long enough.
  Cleared,
  // The run ended otherwise, while its target lives.
  Inconclusive,
  // The target died, and nothing else can have caused it.
  Convicted,
  // The target died, but another suspect or a common failure may have caused
  // it.
  Lost,
};

// Name of an outcome in logs.
constexpr NameTable<TrialOutcome, 4> kTrialOutcomeNames(
  { "cleared", "inconclusive", "convicted", "lost" });

// Lost trials that convict a set, whatever else was lost with them.
constexpr int kLostTrialsToConvict = 2;

// Largest number of lost trials in a record; it has nine digits at most.
constexpr int kMaxLostTrials = 999999999;

// Returns the record of a trial that begins. aVanished says that the host of
// the trial in progress has not ended it in time, which counts as a lost one.
// The record is not held if that convicts the request.
TrialRecord
BeginTrial(TrialRecord aRecord, bool aVanished);

// Returns the record after a trial has ended.
TrialRecord
FinishTrial(TrialRecord aRecord, TrialOutcome aOutcome);

// Formats a record for the store.
std::string
FormatTrialRecord(const TrialRecord& aRecord);

// Parses a record; nothing if it is malformed.
std::optional<TrialRecord>
ParseTrialRecord(const std::string& aText);

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_TRIALRECORD_H_INCLUDED
