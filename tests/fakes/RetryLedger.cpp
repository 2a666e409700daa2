#include "RetryLedger.h"

#include <algorithm>
#include <limits>

using quetzalquay::Duration;
using quetzalquay::Time;

namespace {

// Time by which a deadline may be longer or later, and after which a second
// arrival is compared with the first one.
constexpr Duration kDeadlineTolerance = std::chrono::milliseconds(500);

// Number of sorted times in (aEnd - aWindow, aEnd].
double
CountUntil(const std::vector<Time>& aTimes, Time aEnd, Duration aWindow)
{
  const auto first =
    std::upper_bound(aTimes.begin(), aTimes.end(), aEnd - aWindow);
  const auto last = std::upper_bound(aTimes.begin(), aTimes.end(), aEnd);
  return static_cast<double>(last - first);
}

} // namespace

void
RetryLedger::OnSent(const std::string& aRequest, Time aAt, Time aDeadline)
{
  mSends.push_back(aAt);
  mSendsById[aRequest] = { aAt, aDeadline };
}

void
RetryLedger::OnArrival(const std::string& aRequest, Time aAt, Time aDeadline)
{
  auto& arrivals = mArrivals[aRequest];
  if (!arrivals.empty()) {
    mRetries.push_back(aAt);
  }
  arrivals.push_back({ aAt, aDeadline });
}

void
RetryLedger::OnRun(const std::string& aRequest, const std::string& aTarget)
{
  mTargets[aRequest].insert(aTarget);
}

double
RetryLedger::MaxExcess(const RetryRule& aRule)
{
  std::sort(mSends.begin(), mSends.end());
  std::sort(mRetries.begin(), mRetries.end());
  double worst = -std::numeric_limits<double>::infinity();
  const auto check = [&](Time aEnd) {
    const double requests =
      std::max({ CountUntil(mSends, aEnd, aRule.mWindow),
                 CountUntil(mSends, aEnd - aRule.mWindow, aRule.mWindow),
                 CountUntil(mSends, aEnd - aRule.mWindow / 2, aRule.mWindow) });
    worst = std::max(worst,
                     CountUntil(mRetries, aEnd, aRule.mWindow) -
                       aRule.mRatio * requests - aRule.mAllowance);
  };
  for (const Time it : mRetries) {
    // The windows that end with this retry, and that begin with it.
    check(it);
    check(it + aRule.mWindow - Duration(1));
  }
  return worst;
}

std::size_t
RetryLedger::OverlongCount() const
{
  std::size_t count = 0;
  for (const auto& it : mArrivals) {
    const auto caller = mSendsById.find(it.first);
    if (caller == mSendsById.end()) {
      continue;
    }
    const Send& sent = caller->second;
    const Send& first = it.second.front();
    for (const Send& arrival : it.second) {
      const bool tooLong = arrival.mDeadline - arrival.mAt >
                           sent.mDeadline - sent.mAt + kDeadlineTolerance;
      const bool endsLate =
        arrival.mAt - first.mAt > kDeadlineTolerance &&
        arrival.mDeadline >
          std::max(first.mDeadline, sent.mDeadline) + kDeadlineTolerance;
      count += tooLong || endsLate ? 1 : 0;
    }
  }
  return count;
}

std::size_t
RetryLedger::OverrunCount(
  const std::function<std::size_t(const std::string&)>& aLimit) const
{
  return static_cast<std::size_t>(
    std::count_if(mTargets.begin(), mTargets.end(), [&](const auto& aRequest) {
      return aRequest.second.size() > aLimit(aRequest.first);
    }));
}
