#include "core/PlainCall.h"

#include "core/SuspectRegistry.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

// Attempts beyond the maximum number of runs, for targets that reject the call.
constexpr int kMaxRejections = 2;

// Interval at which a call that waits for a verdict checks it, and the longest
// wait.
constexpr Duration kVerdictInterval = std::chrono::milliseconds(25);
constexpr Duration kMaxVerdictWait = std::chrono::milliseconds(2000);

// Interval at which a call that waits for room at a brittle target asks again,
// and the longest wait of a call without an objective.
constexpr Duration kRoomInterval = std::chrono::milliseconds(2);
constexpr Duration kMaxRoomWait = std::chrono::milliseconds(300);

// Interval at which a call that waits for room at other targets asks again,
// about as long as the shortest calls take.
constexpr Duration kBusyInterval = std::chrono::milliseconds(8);

// Time for which a call that has ended targets stays with a silent one alone.
// Sound targets pause for shorter.
constexpr Duration kSuspectHoldTime = std::chrono::milliseconds(1500);

constexpr Duration kRetryAfter = std::chrono::milliseconds(1000);

// Retry-After of a call suspected of crashing targets.
constexpr Duration kSuspectRetryAfter = SuspectRegistry::kRecordLifetime;

} // namespace

PlainCall::PlainCall(ChoiceQuery aQuery,
                     bool aIdempotent,
                     Time aDeadline,
                     TargetChooser& aChooser,
                     int aMaxRuns,
                     const PriorAttempts& aPrior)
  : mQuery(std::move(aQuery))
  , mIdempotent(aIdempotent)
  , mDeadline(aDeadline)
  , mChooser(aChooser)
  , mMaxRuns(aMaxRuns)
  , mPrior(aPrior)
  , mRuns(aPrior.mRuns)
{
}

PlainStep
PlainCall::Start(Time aNow)
{
  return TryNextTarget(aNow);
}

PlainStep
PlainCall::OnResult(PlainResult aResult, Time aNow)
{
  switch (aResult) {
    case PlainResult::Answered:
      return ForwardResponse();
    case PlainResult::NotStarted:
      return TryNextTarget(aNow);
    case PlainResult::Failed:
    case PlainResult::Broken:
      break;
  }
  mMayHaveStarted = true;
  ++mRuns;
  if (aResult == PlainResult::Failed) {
    // If the call cannot be retried, the caller gets the target's own error.
    const PlainStep step =
      mIdempotent ? TryNextTarget(aNow) : PlainStep(ForwardResponse());
    return std::holds_alternative<TryTarget>(step) ? step : ForwardResponse();
  }
  if (!mIdempotent) {
    return Fail(FailureCode::OutcomeUnknown,
                "the target was lost after it may have started the call");
  }
  return TryNextTarget(aNow);
}

PlainStep
PlainCall::OnVerdictDue(Time aNow)
{
  return TryNextTarget(aNow);
}

std::optional<TryTarget>
PlainCall::OnSilence(Time aNow)
{
  // The silent target may run the call, too.
  if (!mIdempotent || aNow >= mDeadline || !HasAttemptsLeft(mRuns + 1)) {
    return std::nullopt;
  }
  if (!mHoldUntil) {
    mHoldUntil = aNow + kSuspectHoldTime;
  }
  mQuery.mIsRetry = true;
  mQuery.mIsBeside = aNow < *mHoldUntil;
  const Choice choice = mChooser.Choose(mQuery, aNow);
  mQuery.mIsBeside = false;
  if (choice.mStatus != ChoiceStatus::Chosen) {
    mChooser.CancelWait(mQuery);
    return std::nullopt;
  }
  mMayHaveStarted = true;
  return StartAttempt(choice);
}

void
PlainCall::OnOtherAttemptEnded(PlainResult aResult)
{
  if (aResult != PlainResult::NotStarted) {
    ++mRuns;
  }
}

std::optional<int>
PlainCall::RunsIfPassedOn(PlainResult aResult) const
{
  const bool started = aResult != PlainResult::NotStarted;
  const int runs = mRuns + (started ? 1 : 0);
  const bool allowed = mIdempotent || (!mMayHaveStarted && !started);
  return allowed && runs < mMaxRuns ? std::make_optional(runs) : std::nullopt;
}

bool
PlainCall::HasAttemptsLeft(int aRuns) const
{
  return aRuns < mMaxRuns && mAttempt < mMaxRuns + kMaxRejections;
}

PlainStep
PlainCall::TryNextTarget(Time aNow)
{
  if (aNow >= mDeadline) {
    return Fail(FailureCode::DeadlineExceeded, "the deadline has passed");
  }
  if (!HasAttemptsLeft(mRuns)) {
    return Fail(FailureCode::Overloaded,
                "every attempted target failed the call");
  }
  mQuery.mIsRetry = mAttempt > 0 || mPrior.mSent;
  mQuery.mIsCounted = mPrior.mCounted;
  const Choice choice = mChooser.Choose(mQuery, aNow);
  if (choice.mStatus == ChoiceStatus::Poison) {
    PlainStep step = Fail(FailureCode::SuspectedPoison,
                          "targets crashed repeatedly while running this call");
    std::get<FailCall>(step).mFailure.mRetryAfter = kSuspectRetryAfter;
    return step;
  }
  if (choice.mStatus == ChoiceStatus::Busy && choice.mRoomExpected &&
      !choice.mLimited) {
    return AwaitRoom(choice, kBusyInterval, aNow);
  }
  if (choice.mStatus == ChoiceStatus::Busy) {
    return Fail(FailureCode::Overloaded,
                choice.mLimited
                  ? "the limits of the service's targets allow no more requests"
                  : "every target of the service is at capacity");
  }
  if (choice.mStatus == ChoiceStatus::AwaitingRoom) {
    return AwaitRoom(choice, kRoomInterval, aNow);
  }
  if (choice.mStatus == ChoiceStatus::AskedToWait) {
    PlainStep step = Fail(FailureCode::Overloaded,
                          "every target of the service has asked for time");
    Failure& failure = std::get<FailCall>(step).mFailure;
    if (failure.mRetryAfter > Duration::zero()) {
      failure.mRetryAfter = choice.mExpectedWait;
    }
    return step;
  }
  if (choice.mStatus == ChoiceStatus::Undecided) {
    if (!mVerdictDeadline) {
      mVerdictDeadline = std::min(mDeadline, aNow + kMaxVerdictWait);
    }
    if (aNow + kVerdictInterval < *mVerdictDeadline) {
      return AwaitVerdict{ aNow + kVerdictInterval };
    }
    return Fail(FailureCode::Overloaded,
                "several targets were lost while running this call");
  }
  if (choice.mStatus == ChoiceStatus::NoBudget) {
    return Fail(FailureCode::Overloaded,
                "the service's retry budget is exhausted");
  }
  if (choice.mStatus != ChoiceStatus::Chosen) {
    return Fail(FailureCode::NoTarget, "no target is ready for this call");
  }
  return StartAttempt(choice);
}

// Waits for room only while the answer can still be on time.
PlainStep
PlainCall::AwaitRoom(const Choice& aChoice, Duration aInterval, Time aNow)
{
  if (!mRoomDeadline) {
    const Time due =
      mQuery.mDueAt == Time::max() ? aNow + kMaxRoomWait : mQuery.mDueAt;
    mRoomDeadline = std::min(mDeadline, due);
  }
  if (aNow + std::max(aInterval, aChoice.mExpectedWait) < *mRoomDeadline) {
    return AwaitVerdict{ aNow + aInterval };
  }
  return Fail(FailureCode::Overloaded,
              "every target of the service is at capacity");
}

TryTarget
PlainCall::StartAttempt(const Choice& aChoice)
{
  ++mAttempt;
  mHoldUntil.reset();
  mQuery.mExcluded.push_back(aChoice.mTarget);
  TryTarget step;
  step.mAttempt = mAttempt;
  step.mTarget = aChoice.mTarget;
  return step;
}

PlainStep
PlainCall::Fail(FailureCode aCode, const char* aMessage)
{
  mChooser.CancelWait(mQuery);
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
