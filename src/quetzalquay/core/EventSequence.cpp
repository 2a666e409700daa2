#include "core/EventSequence.h"

#include <charconv>
#include <utility>

namespace quetzalquay {

namespace {

std::optional<long long>
ParseNumber(const std::string& aText)
{
  long long number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end && number >= 0
           ? std::make_optional(number)
           : std::nullopt;
}

} // namespace

EventSequence::EventSequence(std::string aLastId)
  : mLastId(std::move(aLastId))
  , mLastNumber(ParseNumber(mLastId).value_or(-1))
  , mFromStart(mLastId.empty())
{
}

void
EventSequence::Expect(const EventNumbering::Start& aStart)
{
  mStep = aStart.mStep;
  mStepConfirmed = true;
  if (IsAtStart()) {
    mExpectedFirst = aStart.mFirst;
  }
}

void
EventSequence::BeginRun()
{
  mRunNumber.reset();
}

long long
EventSequence::NumberOf(const std::string& aId) const
{
  return ParseNumber(aId).value_or(mLastNumber);
}

EventOrder
EventSequence::OrderOf(const std::string& aId) const
{
  const auto number = ParseNumber(aId);
  if (!number) {
    const bool isNumbered = mLastNumber >= 0 || mExpectedFirst;
    return isNumbered ? EventOrder::AfterGap : EventOrder::Next;
  }
  if (mRunNumber && *number <= *mRunNumber) {
    return mStepConfirmed ? EventOrder::AfterGap : EventOrder::Unclear;
  }
  return *number <= mLastNumber ? EventOrder::Repeated : CheckNext(*number);
}

EventOrder
EventSequence::CheckNext(long long aNumber) const
{
  if (mLastNumber < 0) {
    return aNumber == mExpectedFirst.value_or(aNumber) ? EventOrder::Next
                                                       : EventOrder::AfterGap;
  }
  return mStep > 0 && aNumber != mLastNumber + mStep ? EventOrder::AfterGap
                                                     : EventOrder::Next;
}

void
EventSequence::Accept(const std::string& aId)
{
  const auto number = ParseNumber(aId);
  if (number && mAccepted == 0) {
    mFirstNumber = *number;
  } else if (number && mLastNumber >= 0) {
    mStepConfirmed = mStepConfirmed || mStep > 0;
    mStep = *number - mLastNumber;
  }
  ++mAccepted;
  mRunNumber = number;
  mLastNumber = number.value_or(mLastNumber);
  mLastId = aId;
}

void
EventSequence::Skip(const std::string& aId)
{
  mRunNumber = ParseNumber(aId);
}

std::optional<EventNumbering::Start>
EventSequence::ObservedStart() const
{
  return mFromStart && mFirstNumber >= 0 && mStepConfirmed
           ? std::make_optional(EventNumbering::Start{ mFirstNumber, mStep })
           : std::nullopt;
}

} // namespace quetzalquay
