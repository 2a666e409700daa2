#include "core/PlainCall.h"

#include <utility>

namespace quetzalquay {

namespace {

constexpr int kMaxAttempts = 3;
constexpr Duration kRetryAfter = std::chrono::milliseconds(1000);

} // namespace

PlainCall::PlainCall(ChoiceQuery aQuery,
                     bool aIdempotent,
                     Time aDeadline,
                     TargetChooser& aChooser)
  : mQuery(std::move(aQuery))
  , mIdempotent(aIdempotent)
  , mDeadline(aDeadline)
  , mChooser(aChooser)
{
}

PlainStep
PlainCall::Start(Time aNow)
{
  return Try(aNow);
}

PlainStep
PlainCall::OnResult(PlainResult aResult, Time aNow)
{
  switch (aResult) {
    case PlainResult::Answered:
      return PassAnswer();
    case PlainResult::NotStarted:
      return Try(aNow);
    case PlainResult::Broken:
      break;
  }
  mMayHaveStarted = true;
  if (!mIdempotent) {
    return Fail(FailureCode::OutcomeUnknown,
                "the target was lost after it may have started the call");
  }
  return Try(aNow);
}

PlainStep
PlainCall::Try(Time aNow)
{
  if (aNow >= mDeadline) {
    return Fail(FailureCode::DeadlineExceeded, "the deadline has passed");
  }
  if (mAttempt >= kMaxAttempts) {
    return Fail(FailureCode::Overloaded, "every tried target failed the call");
  }
  const Choice choice = mChooser.Choose(mQuery, aNow);
  if (choice.mStatus == ChoiceStatus::Poison) {
    return Fail(FailureCode::SuspectedPoison,
                "targets crashed repeatedly while running this call");
  }
  if (choice.mStatus == ChoiceStatus::Busy) {
    return Fail(FailureCode::Overloaded, "every target of the service is full");
  }
  if (choice.mStatus != ChoiceStatus::Chosen) {
    return Fail(FailureCode::NoTarget, "no target is ready for this call");
  }
  ++mAttempt;
  mQuery.mExcluded.push_back(choice.mTarget);
  TryTarget step;
  step.mAttempt = mAttempt;
  step.mTarget = choice.mTarget;
  return step;
}

PlainStep
PlainCall::Fail(FailureCode aCode, const char* aMessage) const
{
  FailCall step;
  step.mFailure.mCode = aCode;
  step.mFailure.mVerdict =
    mMayHaveStarted ? RunVerdict::OutcomeUnknown : RunVerdict::NotRun;
  step.mFailure.mMessage = aMessage;
  if (mIdempotent || !mMayHaveStarted) {
    step.mFailure.mRetryAfter = kRetryAfter;
  }
  return step;
}

} // namespace quetzalquay
