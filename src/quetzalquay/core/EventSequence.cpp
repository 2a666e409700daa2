#include "core/EventSequence.h"

#include <charconv>
#include <optional>
#include <utility>

namespace quetzalquay {

namespace {

std::optional<long long>
ParseNumber(const std::string& aText)
{
  long long number = 0;
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return parsed.ec == std::errc() ? std::make_optional(number) : std::nullopt;
}

} // namespace

EventSequence::EventSequence(std::string aLastId)
  : mLastId(std::move(aLastId))
  , mLastNumber(ParseNumber(mLastId).value_or(-1))
{
}

long long
EventSequence::NumberOf(const std::string& aId) const
{
  return ParseNumber(aId).value_or(mLastNumber);
}

EventOrder
EventSequence::OrderOf(const std::string& aId) const
{
  const long long number = NumberOf(aId);
  if (!aId.empty() && number <= mLastNumber) {
    return EventOrder::Repeated;
  }
  const bool gap =
    mLastNumber >= 0 && mStep > 0 && number != mLastNumber + mStep;
  return gap ? EventOrder::AfterGap : EventOrder::Next;
}

void
EventSequence::Accept(const std::string& aId)
{
  const long long number = NumberOf(aId);
  if (std::exchange(mHasAccepted, true) && mStep == 0) {
    mStep = number - mLastNumber;
  }
  mLastNumber = number;
  mLastId = aId;
}

} // namespace quetzalquay
