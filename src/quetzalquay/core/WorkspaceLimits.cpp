#include "core/WorkspaceLimits.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Seconds of the rate that may come at once after a pause.
constexpr double kBurstSeconds = 2.0;

// Shortest wait that a caller is told.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(1);

// What a caller is told to wait when too many of its requests are open.
constexpr Duration kConcurrencyRetryAfter = std::chrono::milliseconds(500);

} // namespace

Admission
WorkspaceLimits::Admit(const std::string& aWorkspace,
                       const WorkspaceLimit& aLimit,
                       Time aNow,
                       Duration& aRetryAfter)
{
  State& state = mStates[aWorkspace];
  Refill(state, aLimit, aNow);
  if (state.mOpen >= aLimit.mMaxConcurrent) {
    aRetryAfter = kConcurrencyRetryAfter;
    return Admission::ConcurrencyExceeded;
  }
  if (state.mCredit < 1.0) {
    const std::chrono::duration<double> wait((1.0 - state.mCredit) /
                                             aLimit.mRequestsPerSecond);
    aRetryAfter = std::max(kMinRetryAfter, std::chrono::ceil<Duration>(wait));
    return Admission::RateExceeded;
  }
  state.mCredit -= 1.0;
  ++state.mOpen;
  return Admission::Admitted;
}

void
WorkspaceLimits::Release(const std::string& aWorkspace)
{
  State& state = mStates[aWorkspace];
  state.mOpen = std::max(0, state.mOpen - 1);
}

int
WorkspaceLimits::Open(const std::string& aWorkspace) const
{
  const auto it = mStates.find(aWorkspace);
  return it == mStates.end() ? 0 : it->second.mOpen;
}

void
WorkspaceLimits::Refill(State& aState, const WorkspaceLimit& aLimit, Time aNow)
{
  const double full = std::max(1.0, aLimit.mRequestsPerSecond * kBurstSeconds);
  if (!aState.mKnown) {
    aState.mKnown = true;
    aState.mCredit = full;
    aState.mRefilledAt = aNow;
    return;
  }
  const std::chrono::duration<double> passed = aNow - aState.mRefilledAt;
  const double added = passed.count() * aLimit.mRequestsPerSecond;
  aState.mCredit = std::min(full, aState.mCredit + added);
  aState.mRefilledAt = aNow;
}

} // namespace quetzalquay
