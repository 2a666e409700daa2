#include "core/PlainCall.h"

#include <utility>

namespace quetzalquay {

namespace {

// Targets that may turn one call away beyond those that run it.
constexpr int kMaxRefusals = 2;

constexpr Duration kRetryAfter = std::chrono::milliseconds(1000);

} // namespace

PlainCall::PlainCall(ChoiceQuery aQuery,
                     bool aIdempotent,
                     Time aDeadline,
                     TargetChooser& aChooser,
                     int aMaxRuns)
  : mQuery(std::move(aQuery))
  , mIdempotent(aIdempotent)
  , mDeadline(aDeadline)
  , mChooser(aChooser)
  , mMaxRuns(aMaxRuns)
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
    case PlainResult::Failed:
    case PlainResult::Broken:
      break;
  }
  mMayHaveStarted = true;
  ++mRuns;
  if (aResult == PlainResult::Failed) {
    // The caller gets the target's own failure when there is no other way.
    const PlainStep step = mIdempotent ? Try(aNow) : PlainStep(PassAnswer());
    return std::holds_alternative<TryTarget>(step) ? step : PassAnswer();
  }
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
  if (mRuns >= mMaxRuns || mAttempt >= mMaxRuns + kMaxRefusals) {
    return Fail(FailureCode::Overloaded, "every tried target failed the call");
  }
  mQuery.mRepeat = mAttempt > 0;
  const Choice choice = mChooser.Choose(mQuery, aNow);
  if (choice.mStatus == ChoiceStatus::Poison) {
    return Fail(FailureCode::SuspectedPoison,
                "targets crashed repeatedly while running this call");
  }
  if (choice.mStatus == ChoiceStatus::Busy) {
    return Fail(FailureCode::Overloaded, "every target of the service is full");
  }
  if (choice.mStatus == ChoiceStatus::NoBudget) {
    return Fail(FailureCode::Overloaded,
                "the service's budget for repeats is spent");
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
PlainCall::Fail(FailureCode aCode, const char* aMessage)
{
  mChooser.Forget(mQuery);
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
