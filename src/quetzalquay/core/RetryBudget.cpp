#include "core/RetryBudget.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Share of the budget that is used. The rest is a margin, as the windows of the
// hosts are not aligned.
constexpr double kUsableBudgetShare = 0.9;

// Share of this usable part that is available to late retries.
constexpr double kLateRetryShare = 0.75;

// Time in which all hosts hear of a new one, which announces itself every
// second.
constexpr Duration kMembershipDelay = std::chrono::milliseconds(2000);

// Time for which a host that is no longer listed may go on to serve: the grace
// period of a stop.
constexpr Duration kLeavingTime = std::chrono::milliseconds(10000);

// Time for which the counts of another host are used.
constexpr Duration kCountLifetime = std::chrono::milliseconds(1500);

// Time in which a host may borrow its even share of the unused budget. It is
// long enough for the hosts to learn of each other's retries.
constexpr Duration kBorrowInterval = std::chrono::milliseconds(400);

} // namespace

Time
RetryBudget::SettledAt(Time aStart, Duration aWindow)
{
  return aStart + aWindow + kMembershipDelay;
}

void
RetryBudget::Configure(const Options& aOptions)
{
  mOptions = aOptions;
}

void
RetryBudget::SetHosts(const std::set<std::string>& aHosts, Time aNow)
{
  mHostsKnown = true;
  for (auto& it : mMembers) {
    if (it.second.mListed && aHosts.count(it.first) == 0) {
      it.second.mListed = false;
      it.second.mSeenAt = aNow;
    }
  }
  for (const std::string& it : aHosts) {
    mMembers[it].mListed = true;
  }
}

void
RetryBudget::OnHostHeard(const std::string& aHost, Time aNow)
{
  mMembers[aHost].mSeenAt = aNow;
}

void
RetryBudget::OnFirstAttempt(const std::string& aService, Time aNow)
{
  Sends& sends = mServices[aService];
  DropExpired(sends.mFirstAttempts, aNow);
  sends.mFirstAttempts.push_back(aNow);
}

bool
RetryBudget::TakeRetry(const std::string& aService,
                       Time aNow,
                       RetryTiming aTiming)
{
  Sends& sends = mServices[aService];
  DropExpired(sends.mFirstAttempts, aNow);
  DropExpired(sends.mRetries, aNow);
  const bool late = aTiming == RetryTiming::Late;
  const double allowed =
    AllowedRetries(static_cast<double>(sends.mFirstAttempts.size()), aNow) *
    (late ? kLateRetryShare : 1.0);
  mLastDecision = { aService,
                    RetrySource::Own,
                    aTiming,
                    CountHosts(aNow),
                    HostsHeard(aNow),
                    static_cast<int>(sends.mFirstAttempts.size()),
                    static_cast<int>(sends.mRetries.size()),
                    allowed };
  if (static_cast<double>(sends.mRetries.size()) + 1 > allowed) {
    mLastDecision.mSource = !late && Borrow(aService, sends, aNow)
                              ? RetrySource::Borrowed
                              : RetrySource::None;
  }
  if (mLastDecision.mSource == RetrySource::None) {
    return false;
  }
  sends.mRetries.push_back(aNow);
  return true;
}

void
RetryBudget::ReturnRetry(const std::string& aService)
{
  auto& retries = mServices[aService].mRetries;
  if (!retries.empty()) {
    retries.pop_back();
  }
}

std::vector<RetryCount>
RetryBudget::OwnCounts(Time aNow)
{
  std::vector<RetryCount> counts;
  for (auto& it : mServices) {
    DropExpired(it.second.mFirstAttempts, aNow);
    DropExpired(it.second.mRetries, aNow);
    counts.push_back({ it.first,
                       static_cast<int>(it.second.mFirstAttempts.size()),
                       static_cast<int>(it.second.mRetries.size()) });
  }
  return counts;
}

void
RetryBudget::SetPeerCounts(const std::string& aHost,
                           const std::vector<RetryCount>& aCounts,
                           Time aNow)
{
  mPeerCounts[aHost] = { aCounts, aNow };
}

// Hosts that use shares of the allowance, this one included.
int
RetryBudget::CountHosts(Time aNow)
{
  int count = mMembers.count(mOptions.mHost) == 0 ? 1 : 0;
  for (auto it = mMembers.begin(); it != mMembers.end();) {
    const Member& member = it->second;
    if (!member.mListed &&
        aNow - member.mSeenAt >= mOptions.mWindow + kLeavingTime) {
      it = mMembers.erase(it);
      continue;
    }
    ++count;
    ++it;
  }
  return std::max(1, count);
}

// Retries that one host may send after aFirstAttempts first attempts.
double
RetryBudget::AllowedRetries(double aFirstAttempts, Time aNow)
{
  const double share = mHostsKnown && aNow >= mOptions.mSettledAt
                         ? mOptions.mAllowance / CountHosts(aNow)
                         : 0;
  return kUsableBudgetShare * (mOptions.mRatio * aFirstAttempts + share);
}

int
RetryBudget::HostsHeard(Time aNow) const
{
  return static_cast<int>(std::count_if(
    mPeerCounts.begin(), mPeerCounts.end(), [&](const auto& aPeer) {
      return aNow - aPeer.second.mAt < kCountLifetime;
    }));
}

// Retries that the hosts with current counts leave unused in total.
double
RetryBudget::UnusedByPeers(const std::string& aService, Time aNow)
{
  double unused = 0;
  for (const auto& host : mPeerCounts) {
    if (aNow - host.second.mAt >= kCountLifetime) {
      continue;
    }
    double first = 0;
    double retries = 0;
    for (const RetryCount& it : host.second.mCounts) {
      if (it.mService == aService) {
        first = it.mFirstAttempts;
        retries = it.mRetries;
      }
    }
    unused += AllowedRetries(first, aNow) - retries;
  }
  return unused;
}

bool
RetryBudget::Borrow(const std::string& aService, Sends& aSends, Time aNow)
{
  // What this host has borrowed before reduces the unused amount.
  const double unused =
    UnusedByPeers(aService, aNow) +
    AllowedRetries(static_cast<double>(aSends.mFirstAttempts.size()), aNow) -
    static_cast<double>(aSends.mRetries.size());
  const double share = unused / CountHosts(aNow);
  const double intervals =
    std::chrono::duration<double>(aNow - aSends.mCreditUpdatedAt) /
    kBorrowInterval;
  aSends.mCreditUpdatedAt = aNow;
  aSends.mCredit = std::min(aSends.mCredit + std::max(0.0, share) * intervals,
                            std::max(1.0, share));
  if (unused < 1 || aSends.mCredit < 1) {
    return false;
  }
  aSends.mCredit -= 1;
  return true;
}

void
RetryBudget::DropExpired(std::deque<Time>& aTimes, Time aNow) const
{
  while (!aTimes.empty() && aNow - aTimes.front() >= mOptions.mWindow) {
    aTimes.pop_front();
  }
}

} // namespace quetzalquay
