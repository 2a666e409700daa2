#include "core/StoreEra.h"

#include <charconv>
#include <tuple>

namespace quetzalquay {

namespace {

// Largest count that is believed; more than that could overflow.
constexpr std::int64_t kMaxCount = 1000000000000000;

bool
IsCount(std::int64_t aNumber)
{
  return aNumber >= 0 && aNumber <= kMaxCount;
}

} // namespace

bool
operator==(const StoreEra& aLeft, const StoreEra& aRight)
{
  return aLeft.mGeneration == aRight.mGeneration &&
         aLeft.mNumber == aRight.mNumber;
}

bool
operator!=(const StoreEra& aLeft, const StoreEra& aRight)
{
  return !(aLeft == aRight);
}

bool
operator<(const StoreEra& aLeft, const StoreEra& aRight)
{
  return std::tie(aLeft.mGeneration, aLeft.mNumber) <
         std::tie(aRight.mGeneration, aRight.mNumber);
}

std::string
FormatEra(const StoreEra& aEra)
{
  return std::to_string(aEra.mGeneration) + "." + std::to_string(aEra.mNumber);
}

std::optional<StoreEra>
ParseEra(const std::string& aText)
{
  StoreEra era;
  const char* end = aText.data() + aText.size();
  const auto generation = std::from_chars(aText.data(), end, era.mGeneration);
  if (generation.ec != std::errc() || generation.ptr == end ||
      *generation.ptr != '.') {
    return std::nullopt;
  }
  const auto number = std::from_chars(generation.ptr + 1, end, era.mNumber);
  if (number.ec != std::errc() || number.ptr != end ||
      !IsCount(era.mGeneration) || !IsCount(era.mNumber)) {
    return std::nullopt;
  }
  return era;
}

bool
StoreEraTracker::OnAnswer(const Answer& aAnswer)
{
  const std::int64_t number =
    aAnswer.mNumber ? *aAnswer.mNumber + 1 : mEra.mNumber;
  if (mEra == StoreEra() && aAnswer.mKnownVersion == 0) {
    // The first count that the store tells.
    mEra.mNumber = number;
  }
  if (number > mEra.mNumber) {
    Begin({ mEra.mGeneration, number });
    return true;
  }
  // An answer is never older than its call, so a lower count is no late one.
  if (number < mEra.mNumber ||
      (aAnswer.mVersion != 0 && aAnswer.mVersion < aAnswer.mKnownVersion)) {
    Begin({ mEra.mGeneration + 1, number });
    return true;
  }
  return false;
}

bool
StoreEraTracker::OnTold(const StoreEra& aEra, bool aKnowsVersions)
{
  if (!(mEra < aEra)) {
    return false;
  }
  if (!aKnowsVersions) {
    mEra = aEra;
    return false;
  }
  Begin(aEra);
  return true;
}

void
StoreEraTracker::Begin(const StoreEra& aEra)
{
  ++mBegun;
  mEra = aEra;
}

} // namespace quetzalquay
