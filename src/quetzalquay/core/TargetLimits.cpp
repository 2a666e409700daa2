#include "core/TargetLimits.h"

#include "core/Hash.h"

#include <algorithm>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Time for which a lifted limit is told to other hosts.
constexpr Duration kLiftedLifetime = milliseconds(3000);

// Least requests of all hosts in a window, so that a limit close to zero does
// not keep its target from ever being asked again.
constexpr double kMinAllowance = 1;

// Part of its share that a host uses before it is settled. What the process
// before it has sent may still be in the window.
constexpr double kStartingShare = 0.5;

// Time for which granted requests can be used. Short, as they are asked for
// only when requests are being refused.
constexpr Duration kCreditLifetime = milliseconds(500);

// Time between two requests beyond the share, for each host that shares the
// limit.
constexpr Duration kProbeIntervalPerHost = milliseconds(2000);
constexpr Duration kMinProbeInterval = milliseconds(4000);

} // namespace

void
TargetLimits::Configure(const Options& aOptions)
{
  mOptions = aOptions;
  RetryBudget::Options options;
  options.mHost = aOptions.mHost;
  options.mRatio = 0;
  options.mWindow = kWindow;
  options.mUsableShare = 1;
  options.mFleetShare = 1;
  options.mStartingShare = kStartingShare;
  options.mKeptShare = 0;
  options.mCreditLifetime = kCreditLifetime;
  options.mSettledAt = RetryBudget::SettledAt(aOptions.mStartedAt, kWindow);
  options.mFirstAsk = aOptions.mFirstAsk;
  options.mClock = aOptions.mClock;
  mShares.Configure(options);
}

bool
TargetLimits::OnReport(const LimitReport& aReport)
{
  const auto known = mLimits.find(aReport.mTarget);
  if (known == mLimits.end() && !aReport.mRequestsPerSecond) {
    return false;
  }
  Limit& limit = mLimits[aReport.mTarget];
  if (known != mLimits.end() && aReport.mSaidAt <= limit.mSaidAt) {
    return false;
  }
  const bool changed = limit.mRequestsPerSecond != aReport.mRequestsPerSecond;
  const bool isNew = !limit.mRequestsPerSecond;
  limit.mRequestsPerSecond = aReport.mRequestsPerSecond;
  limit.mSaidAt = aReport.mSaidAt;
  if (!aReport.mRequestsPerSecond) {
    mShares.Forget(aReport.mTarget);
    return changed;
  }
  mShares.SetAllowance(
    aReport.mTarget,
    std::max(kMinAllowance,
             *aReport.mRequestsPerSecond *
               std::chrono::duration<double>(kWindow).count()));
  mHosts = mShares.HostCount(aReport.mSaidAt);
  if (isNew) {
    limit.mNextProbeAt = aReport.mSaidAt + ProbeInterval(aReport.mTarget);
  }
  return changed;
}

std::size_t
TargetLimits::Count() const
{
  return static_cast<std::size_t>(
    std::count_if(mLimits.begin(), mLimits.end(), [](const auto& aEntry) {
      return aEntry.second.mRequestsPerSecond.has_value();
    }));
}

std::optional<double>
TargetLimits::LimitOf(const std::string& aTarget) const
{
  const auto it = mLimits.find(aTarget);
  return it == mLimits.end() ? std::nullopt : it->second.mRequestsPerSecond;
}

bool
TargetLimits::CanSend(const std::string& aTarget, Time aNow)
{
  const auto it = mLimits.find(aTarget);
  if (it == mLimits.end() || !it->second.mRequestsPerSecond) {
    return true;
  }
  mHosts = mShares.HostCount(aNow);
  return mShares.CanTakeRetry(aTarget, aNow) || aNow >= it->second.mNextProbeAt;
}

void
TargetLimits::OnSent(const std::string& aTarget, Time aNow)
{
  const auto it = mLimits.find(aTarget);
  if (it == mLimits.end() || !it->second.mRequestsPerSecond) {
    return;
  }
  mShares.TakeRetry(aTarget, aNow);
  it->second.mNextProbeAt = aNow + ProbeInterval(aTarget);
}

void
TargetLimits::OnNotReceived(const std::string& aTarget)
{
  if (LimitOf(aTarget)) {
    mShares.ReturnRetry(aTarget);
  }
}

void
TargetLimits::OnRefused(const std::string& aTarget, Time aNow)
{
  if (LimitOf(aTarget)) {
    mShares.TakeRetry(aTarget, aNow);
  }
}

void
TargetLimits::Forget(const std::string& aTarget)
{
  mLimits.erase(aTarget);
  mShares.Forget(aTarget);
}

std::vector<LimitReport>
TargetLimits::Reports(Time aNow) const
{
  std::vector<LimitReport> reports;
  for (const auto& it : mLimits) {
    if (it.second.mRequestsPerSecond ||
        aNow - it.second.mSaidAt < kLiftedLifetime) {
      reports.push_back(
        { it.first, it.second.mRequestsPerSecond, it.second.mSaidAt });
    }
  }
  return reports;
}

// Differs between hosts, so that they do not send at the same time.
Duration
TargetLimits::ProbeInterval(const std::string& aTarget) const
{
  const double spread =
    1 + static_cast<double>(StableHash(aTarget, StableHash(mOptions.mHost)) %
                            1000) /
          1000;
  const double interval =
    std::max(ToMilliseconds(kMinProbeInterval),
             ToMilliseconds(kProbeIntervalPerHost) * mHosts);
  return milliseconds(static_cast<int>(interval * spread));
}

} // namespace quetzalquay
