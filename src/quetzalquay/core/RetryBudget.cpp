#include "core/RetryBudget.h"

#include "core/Hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Share of this usable part that is available to late retries.
constexpr double kLateRetryShare = 0.75;

// Part of the ratio that a host may use before it is settled. The process
// before it may have sent more within the window than its requests in that
// window allow, so this and the starting share have to fit into the margin.
constexpr double kStartingRatio = 0.85;

// Time in which all hosts hear of a new one, which announces itself every
// second.
constexpr Duration kMembershipDelay = milliseconds(2000);

// Time for which a host that is no longer listed may go on to serve: the grace
// period of a stop.
constexpr Duration kLeavingTime = milliseconds(10000);

// Time for which an ask can be answered, from when it was sent.
constexpr Duration kAskLifetime = milliseconds(1000);

// Longest time between two asks for a service. The time doubles up to this one
// while no host grants anything.
constexpr Duration kMaxAskInterval = milliseconds(400);

// Hosts that one ask goes to at most.
constexpr int kMaxAskedHosts = 8;

// Age up to which other hosts are asked for a refused retry. A waiting stream
// tries again every 50 ms.
constexpr Duration kRefusalSpan = milliseconds(75);

// Time within which a host must have been heard to be asked.
constexpr Duration kHeardLifetime = milliseconds(3000);

// Steps in which the windows that a retry will be part of are examined.
constexpr int kWindowSteps = 40;

// Time for which the number of hosts is not counted again unless a host
// appears or expires.
constexpr Duration kHostCountInterval = milliseconds(200);

// What is sent within this time is counted together.
constexpr Duration kCountInterval = milliseconds(200);

void
DropBefore(std::deque<Time>& aTimes, Time aFrom)
{
  while (!aTimes.empty() && aTimes.front() <= aFrom) {
    aTimes.pop_front();
  }
}

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
  mRounding = static_cast<double>(StableHash(mOptions.mHost)) /
              static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

void
RetryBudget::SetAllowance(const std::string& aService, double aAllowance)
{
  Service& service = mServices[aService];
  service.mAllowance = aAllowance;
  // Differs between services, so that not always the same hosts get what cannot
  // be divided.
  service.mRounding =
    static_cast<double>(StableHash(aService, StableHash(mOptions.mHost))) /
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

void
RetryBudget::Forget(const std::string& aService)
{
  mServices.erase(aService);
}

void
RetryBudget::SetHosts(const std::set<std::string>& aHosts, Time aNow)
{
  const Time now = ToBudgetClock(aNow);
  mHostsKnown = true;
  mHostCountUntil = Time();
  for (auto& it : mMembers) {
    if (it.second.mListed && aHosts.count(it.first) == 0) {
      it.second.mListed = false;
      it.second.mSeenAt = now;
    }
  }
  for (const std::string& it : aHosts) {
    mMembers[it].mListed = true;
  }
}

void
RetryBudget::OnHostHeard(const std::string& aHost, Time aNow)
{
  if (mMembers.count(aHost) == 0) {
    mHostCountUntil = Time();
  }
  Member& member = mMembers[aHost];
  member.mHeardAt = ToBudgetClock(aNow);
  member.mSeenAt = member.mHeardAt;
}

void
RetryBudget::OnFirstAttempt(const std::string& aService, Time aNow)
{
  const Time now = ToBudgetClock(aNow);
  Service& service = Refresh(aService, now);
  service.mFirstAttempts.push_back(now);
  ++service.mTotals.mFirstAttempts;
  AddFleetSends(service, 1, 0, now);
}

std::vector<SendTotals>
RetryBudget::Totals() const
{
  std::vector<SendTotals> totals;
  for (const auto& it : mServices) {
    totals.push_back(it.second.mTotals);
    totals.back().mService = it.first;
  }
  return totals;
}

void
RetryBudget::OnPeerTotals(const std::string& aHost,
                          std::uint64_t aStart,
                          const SendTotals& aTotals,
                          Time aNow)
{
  const Time now = ToBudgetClock(aNow);
  Service& service = Refresh(aTotals.mService, now);
  PeerTotals& known = service.mPeerTotals[aHost];
  if (known.mStart != aStart) {
    // When a host that was not known has sent them is unknown.
    known = { aStart, aTotals };
    return;
  }
  // Datagrams may arrive in another order.
  SendTotals& totals = known.mTotals;
  if (aTotals.mFirstAttempts < totals.mFirstAttempts) {
    return;
  }
  AddFleetSends(service,
                aTotals.mFirstAttempts - totals.mFirstAttempts,
                aTotals.mRetries - totals.mRetries,
                now);
  totals = aTotals;
}

RetryDecision
RetryBudget::Decide(const std::string& aService,
                    Service& aState,
                    Time aNow,
                    RetryTiming aTiming)
{
  const bool late = aTiming == RetryTiming::Late;
  RetryDecision decision;
  decision.mService = aService;
  decision.mTiming = aTiming;
  decision.mHosts = CountHosts(aNow);
  decision.mShare = Share(aState, aNow);
  decision.mFirstAttempts = static_cast<int>(aState.mFirstAttempts.size());
  decision.mAllowed = Allowed(aState, aNow) * (late ? kLateRetryShare : 1.0);
  decision.mUsed = Used(aState);
  for (const Credit& it : aState.mCredits) {
    decision.mCredit += it.mCount;
  }
  decision.mFleetUsed = FleetUsed(aState, aNow);
  decision.mFleetAllowed = FleetAllowed(aState, aNow);
  if (decision.mFleetUsed + 1 > decision.mFleetAllowed) {
    decision.mSource = RetrySource::None;
  } else if (decision.mUsed + 1 <= decision.mAllowed) {
    decision.mSource = RetrySource::Own;
  } else if (!late && decision.mCredit > 0) {
    decision.mSource = RetrySource::Granted;
  }
  return decision;
}

bool
RetryBudget::CanTakeRetry(const std::string& aService,
                          Time aNow,
                          RetryTiming aTiming)
{
  const Time now = ToBudgetClock(aNow);
  Service& service = Refresh(aService, now);
  return Decide(aService, service, now, aTiming).mSource != RetrySource::None;
}

bool
RetryBudget::TakeRetry(const std::string& aService,
                       Time aNow,
                       RetryTiming aTiming)
{
  const Time now = ToBudgetClock(aNow);
  Service& service = Refresh(aService, now);
  RetryDecision decision = Decide(aService, service, now, aTiming);
  const bool taken = decision.mSource != RetrySource::None;
  if (decision.mSource == RetrySource::Own) {
    service.mRetries.push_back(now);
  } else if (taken) {
    UseCredit(service);
  }
  if (taken) {
    ++service.mTotals.mRetries;
    AddFleetSends(service, 0, 1, now);
  } else if (aTiming == RetryTiming::OnTime &&
             decision.mFleetUsed + 1 <= decision.mFleetAllowed) {
    service.mRefused.push_back(now);
  }
  mLastDecision = std::move(decision);
  return taken;
}

void
RetryBudget::ReturnRetry(const std::string& aService)
{
  Service& service = mServices[aService];
  --service.mTotals.mRetries;
  AddFleetSends(service, 0, -1, mLatestNow);
  if (!service.mRetries.empty()) {
    service.mRetries.pop_back();
  }
}

std::vector<RetryAsk>
RetryBudget::TakeAsks(Time aNow)
{
  const Time now = ToBudgetClock(aNow);
  const int heard = CountHeard(now);
  std::vector<RetryAsk> asks;
  for (auto& it : mServices) {
    Service& service = Refresh(it.first, now);
    if (heard == 0 || now < service.mNextAskAt) {
      continue;
    }
    int missing = static_cast<int>(service.mRefused.size());
    for (const Credit& credit : service.mCredits) {
      missing -= credit.mCount;
    }
    if (missing <= 0) {
      continue;
    }
    const std::uint64_t id = mOptions.mFirstAsk + ++mAskCount;
    const int hosts = std::min({ missing, heard, kMaxAskedHosts });
    service.mAsks.push_back({ id, now, {} });
    service.mNextAskAt = now + service.mAskInterval;
    service.mAskInterval = std::min(2 * service.mAskInterval, kMaxAskInterval);
    asks.push_back({ it.first, id, (missing + hosts - 1) / hosts, hosts });
  }
  return asks;
}

std::optional<RetryGrant>
RetryBudget::Grant(const std::string& aHost, const RetryAsk& aAsk, Time aNow)
{
  const Time now = ToBudgetClock(aNow);
  Service& service = Refresh(aAsk.mService, now);
  std::uint64_t& answered = service.mAnswered[aHost];
  if (answered == aAsk.mId) {
    return std::nullopt;
  }
  answered = aAsk.mId;
  const double spare = Allowed(service, now) - Used(service);
  const int count =
    std::min(aAsk.mCount,
             static_cast<int>(std::floor(spare * (1 - mOptions.mKeptShare))));
  if (count <= 0) {
    return std::nullopt;
  }
  service.mGranted.insert(
    service.mGranted.end(), static_cast<std::size_t>(count), now);
  return RetryGrant{ aAsk.mService, aAsk.mId, count };
}

void
RetryBudget::OnGrant(const std::string& aHost,
                     const RetryGrant& aGrant,
                     Time aNow)
{
  const Time now = ToBudgetClock(aNow);
  Service& service = Refresh(aGrant.mService, now);
  const auto ask =
    std::find_if(service.mAsks.begin(),
                 service.mAsks.end(),
                 [&](const OpenAsk& aAsk) { return aAsk.mId == aGrant.mAsk; });
  if (ask == service.mAsks.end() || aGrant.mCount <= 0 ||
      !ask->mHosts.insert(aHost).second) {
    return;
  }
  service.mAskInterval = kMinAskInterval;
  service.mCredits.push_back(
    { ask->mAt + mOptions.mCreditLifetime, aGrant.mCount });
}

// Applies the clock of the options. Keeps the times in order even if that clock
// is read less precisely.
Time
RetryBudget::ToBudgetClock(Time aNow)
{
  mLatestNow =
    std::max(mLatestNow, mOptions.mClock ? mOptions.mClock(aNow) : aNow);
  return mLatestNow;
}

// Returns the state of a service without what has expired.
RetryBudget::Service&
RetryBudget::Refresh(const std::string& aService, Time aNow)
{
  Service& service = mServices[aService];
  DropBefore(service.mFirstAttempts, aNow - mOptions.mWindow);
  auto& sends = service.mFleetSends;
  while (!sends.empty() && sends.front().mAt <= aNow - 2 * mOptions.mWindow) {
    sends.pop_front();
  }
  DropBefore(service.mRetries, aNow - mOptions.mWindow);
  // The other host may use them until its credit expires.
  DropBefore(service.mGranted,
             aNow - mOptions.mWindow - mOptions.mCreditLifetime);
  DropBefore(service.mRefused, aNow - kRefusalSpan);
  while (!service.mAsks.empty() &&
         aNow - service.mAsks.front().mAt >= kAskLifetime) {
    service.mAsks.pop_front();
  }
  auto& credits = service.mCredits;
  credits.erase(std::remove_if(credits.begin(),
                               credits.end(),
                               [&](const Credit& aCredit) {
                                 return aCredit.mExpiresAt <= aNow;
                               }),
                credits.end());
  return service;
}

// Hosts that use shares of the allowance, this one included.
int
RetryBudget::CountHosts(Time aNow)
{
  if (aNow < mHostCountUntil) {
    return mHostCount;
  }
  mHostCountUntil = aNow + kHostCountInterval;
  int count = mMembers.count(mOptions.mHost) == 0 ? 1 : 0;
  for (auto it = mMembers.begin(); it != mMembers.end();) {
    const Member& member = it->second;
    const Time end = member.mSeenAt + mOptions.mWindow + kLeavingTime;
    if (!member.mListed && aNow >= end) {
      for (auto& service : mServices) {
        service.second.mPeerTotals.erase(it->first);
        service.second.mAnswered.erase(it->first);
      }
      it = mMembers.erase(it);
      continue;
    }
    if (!member.mListed) {
      mHostCountUntil = std::min(mHostCountUntil, end);
    }
    ++count;
    ++it;
  }
  mHostCount = std::max(1, count);
  return mHostCount;
}

int
RetryBudget::CountHeard(Time aNow) const
{
  return static_cast<int>(
    std::count_if(mMembers.begin(), mMembers.end(), [&](const auto& aMember) {
      return aMember.second.mHeardAt != Time() &&
             aNow - aMember.second.mHeardAt < kHeardLifetime;
    }));
}

double
RetryBudget::AllowanceOf(const Service& aService) const
{
  return aService.mAllowance.value_or(mOptions.mAllowance);
}

double
RetryBudget::Share(const Service& aService, Time aNow)
{
  if (!mHostsKnown) {
    return 0;
  }
  const double share = AllowanceOf(aService) / CountHosts(aNow);
  return aNow >= mOptions.mSettledAt ? share : mOptions.mStartingShare * share;
}

void
RetryBudget::AddFleetSends(Service& aService,
                           std::int64_t aFirstAttempts,
                           std::int64_t aRetries,
                           Time aNow)
{
  auto& sends = aService.mFleetSends;
  if (sends.empty() || aNow - sends.back().mAt >= kCountInterval) {
    sends.push_back({ aNow, 0, 0 });
  }
  sends.back().mFirstAttempts += aFirstAttempts;
  sends.back().mRetries += aRetries;
}

int
RetryBudget::FleetUsed(const Service& aService, Time aNow) const
{
  std::int64_t sum = 0;
  for (const FleetSends& it : aService.mFleetSends) {
    sum += it.mAt > aNow - mOptions.mWindow ? it.mRetries : 0;
  }
  return static_cast<int>(sum);
}

// Retries that all hosts may send in the windows that contain one sent now. The
// retries of a window may be compared with its own first attempts, those of the
// window before it or of the one half a window before it; after a burst, all of
// these may have fewer than the window that ends now.
double
RetryBudget::FleetAllowed(const Service& aService, Time aNow) const
{
  const Duration window = mOptions.mWindow;
  const auto count = [&](Time aEnd) {
    std::int64_t sum = 0;
    for (const FleetSends& it : aService.mFleetSends) {
      sum += it.mAt > aEnd - window && it.mAt <= aEnd ? it.mFirstAttempts : 0;
    }
    return static_cast<double>(sum);
  };
  double least = count(aNow);
  for (int n = 1; n <= kWindowSteps && least > 0; ++n) {
    const Time end = aNow + window * n / kWindowSteps;
    least = std::min(
      least,
      std::max({ count(end), count(end - window / 2), count(end - window) }));
  }
  return mOptions.mFleetShare *
         (mOptions.mRatio * least + AllowanceOf(aService));
}

// Retries that this host may send or grant within a window.
double
RetryBudget::Allowed(const Service& aService, Time aNow)
{
  const auto first = static_cast<double>(aService.mFirstAttempts.size());
  const bool settled = aNow >= mOptions.mSettledAt;
  const double part = settled ? 1 : kStartingRatio;
  const double rounding = !aService.mAllowance ? mRounding
                          : settled            ? aService.mRounding
                                               : 0;
  return mOptions.mUsableShare *
           (mOptions.mRatio * part * first + Share(aService, aNow)) +
         rounding;
}

int
RetryBudget::Used(const Service& aService) const
{
  return static_cast<int>(aService.mRetries.size() + aService.mGranted.size());
}

void
RetryBudget::UseCredit(Service& aService)
{
  if (--aService.mCredits.front().mCount == 0) {
    aService.mCredits.pop_front();
  }
}

} // namespace quetzalquay
