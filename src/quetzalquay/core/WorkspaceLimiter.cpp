#include "core/WorkspaceLimiter.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Capacity of the token bucket, in seconds of the request rate.
constexpr double kBurstSeconds = 2.0;

// Minimum retry delay returned to a caller.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(1);

// Retry delay returned when a workspace has too many open requests.
constexpr Duration kConcurrencyRetryAfter = std::chrono::milliseconds(500);

} // namespace

Admission
WorkspaceLimiter::Admit(const std::string& aWorkspace,
                        const WorkspaceLimit& aLimit,
                        Time aNow,
                        Duration& aRetryAfter)
{
  State& state = mStatesByWorkspace[aWorkspace];
  Refill(state, aLimit, aNow);
  if (state.mOpenRequests >= aLimit.mMaxConcurrent) {
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
  ++state.mOpenRequests;
  return Admission::Admitted;
}

void
WorkspaceLimiter::Release(const std::string& aWorkspace)
{
  State& state = mStatesByWorkspace[aWorkspace];
  state.mOpenRequests = std::max(0, state.mOpenRequests - 1);
}

int
WorkspaceLimiter::OpenRequests(const std::string& aWorkspace) const
{
  const auto it = mStatesByWorkspace.find(aWorkspace);
  return it == mStatesByWorkspace.end() ? 0 : it->second.mOpenRequests;
}

void
WorkspaceLimiter::Refill(State& aState, const WorkspaceLimit& aLimit, Time aNow)
{
  const double capacity =
    std::max(1.0, aLimit.mRequestsPerSecond * kBurstSeconds);
  if (!aState.mInitialized) {
    aState.mInitialized = true;
    aState.mCredit = capacity;
    aState.mRefilledAt = aNow;
    return;
  }
  const std::chrono::duration<double> elapsed = aNow - aState.mRefilledAt;
  const double added = elapsed.count() * aLimit.mRequestsPerSecond;
  aState.mCredit = std::min(capacity, aState.mCredit + added);
  aState.mRefilledAt = aNow;
}

} // namespace quetzalquay
