#include "core/TrialRecord.h"

#include "core/Hash.h"

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace quetzalquay {

namespace {

// Hexadecimal digits of a member.
constexpr std::ptrdiff_t kMemberSize = 16;

// Largest number that stands for a truth value; all but 0 stand for true.
constexpr int kMaxFlag = 9;

// Counts a further lost trial, as far as records can tell of it.
void
AddLostTrial(TrialRecord& aRecord)
{
  aRecord.mLost = std::min(aRecord.mLost + 1, kMaxLostTrials);
}

// Reads a number from 0 to aMax, after which a space follows or the text ends.
bool
ReadNumber(const char*& aAt, const char* aEnd, int aMax, int& aNumber)
{
  unsigned int number = 0;
  const auto parsed = std::from_chars(aAt, aEnd, number);
  aAt = parsed.ptr;
  aNumber = static_cast<int>(number);
  return parsed.ec == std::errc() && number <= static_cast<unsigned>(aMax) &&
         (aAt == aEnd || *aAt == ' ');
}

bool
SkipSpace(const char*& aAt, const char* aEnd)
{
  return aAt != aEnd && *aAt++ == ' ';
}

} // namespace

TrialRecord
BeginTrial(TrialRecord aRecord, bool aVanished)
{
  if (aVanished) {
    AddLostTrial(aRecord);
    aRecord.mConvicted |= aRecord.mLost >= kLostTrialsToConvict;
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
  if (convicted || aOutcome == TrialOutcome::Lost) {
    AddLostTrial(aRecord);
  }
  aRecord.mConvicted |= convicted || aRecord.mLost >= kLostTrialsToConvict;
  return aRecord;
}

std::string
FormatTrialRecord(const TrialRecord& aRecord)
{
  std::string text = std::to_string(aRecord.mLost) + " " +
                     (aRecord.mConvicted ? "1 " : "0 ") +
                     (aRecord.mHeld ? "1" : "0");
  for (const std::uint64_t it : aRecord.mMembers) {
    text += " " + ToHex(it);
  }
  return text;
}

std::optional<TrialRecord>
ParseTrialRecord(const std::string& aText)
{
  TrialRecord record;
  int convicted = 0;
  int held = 0;
  const char* at = aText.data();
  const char* end = at + aText.size();
  if (!ReadNumber(at, end, kMaxLostTrials, record.mLost) ||
      !SkipSpace(at, end) || !ReadNumber(at, end, kMaxFlag, convicted) ||
      !SkipSpace(at, end) || !ReadNumber(at, end, kMaxFlag, held)) {
    return std::nullopt;
  }
  // What follows the members was added by a later build.
  while (end - at > kMemberSize && *at == ' ') {
    std::uint64_t member = 0;
    const auto parsed = std::from_chars(at + 1, end, member, 16);
    if (parsed.ptr != at + 1 + kMemberSize ||
        (parsed.ptr < end && *parsed.ptr != ' ')) {
      break;
    }
    record.mMembers.push_back(member);
    at = parsed.ptr;
  }
  record.mConvicted = convicted != 0;
  record.mHeld = held != 0;
  return record;
}

} // namespace quetzalquay
