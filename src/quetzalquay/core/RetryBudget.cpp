#include "core/RetryBudget.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Part of the shared budget that the hosts use, as their windows differ.
constexpr double kUsedPart = 0.9;

// Part of that which repeats take that are late anyway.
constexpr double kLatePart = 0.75;

// Age up to which another host's counts are believed.
constexpr Duration kCountLifetime = std::chrono::milliseconds(1500);

// Time in which an even share of what others leave unused may be borrowed: all
// have heard of it by then.
constexpr Duration kBorrowTime = std::chrono::milliseconds(400);

} // namespace

void
RetryBudget::Configure(const Options& aOptions)
{
  mOptions = aOptions;
}

void
RetryBudget::OnFirst(const std::string& aService, Time aNow)
{
  Sends& sends = mServices[aService];
  Forget(sends.mFirst, aNow);
  sends.mFirst.push_back(aNow);
}

bool
RetryBudget::TakeRepeat(const std::string& aService, Time aNow, RepeatUse aUse)
{
  Sends& sends = mServices[aService];
  Forget(sends.mFirst, aNow);
  Forget(sends.mRepeats, aNow);
  const bool late = aUse == RepeatUse::Late;
  const double allowed = Allowed(static_cast<double>(sends.mFirst.size())) *
                         (late ? kLatePart : 1.0);
  if (static_cast<double>(sends.mRepeats.size()) + 1 > allowed &&
      (late || !Borrow(aService, sends, aNow))) {
    return false;
  }
  sends.mRepeats.push_back(aNow);
  return true;
}

void
RetryBudget::ReturnRepeat(const std::string& aService)
{
  auto& repeats = mServices[aService].mRepeats;
  if (!repeats.empty()) {
    repeats.pop_back();
  }
}

std::vector<RepeatCount>
RetryBudget::OwnCounts(Time aNow)
{
  std::vector<RepeatCount> counts;
  for (auto& it : mServices) {
    Forget(it.second.mFirst, aNow);
    Forget(it.second.mRepeats, aNow);
    counts.push_back({ it.first,
                       static_cast<int>(it.second.mFirst.size()),
                       static_cast<int>(it.second.mRepeats.size()) });
  }
  return counts;
}

void
RetryBudget::TakeCounts(const std::string& aHost,
                        const std::vector<RepeatCount>& aCounts,
                        Time aNow)
{
  mOthers[aHost] = { aCounts, aNow };
}

// Repeats that one host may send for its first sends.
double
RetryBudget::Allowed(double aFirst) const
{
  return kUsedPart * (mOptions.mRatio * aFirst +
                      mOptions.mAllowance / std::max(1, mOptions.mHosts));
}

// Repeats that the hosts heard of lately leave to others.
double
RetryBudget::Unused(const std::string& aService, Time aNow) const
{
  double unused = 0;
  for (const auto& host : mOthers) {
    if (aNow - host.second.mAt >= kCountLifetime) {
      continue;
    }
    double first = 0;
    double repeats = 0;
    for (const RepeatCount& it : host.second.mCounts) {
      if (it.mService == aService) {
        first = it.mFirst;
        repeats = it.mRepeats;
      }
    }
    unused += Allowed(first) - repeats;
  }
  return unused;
}

bool
RetryBudget::Borrow(const std::string& aService, Sends& aSends, Time aNow) const
{
  // What has been borrowed so far counts against what others leave.
  const double unused = Unused(aService, aNow) +
                        Allowed(static_cast<double>(aSends.mFirst.size())) -
                        static_cast<double>(aSends.mRepeats.size());
  const double share = unused / std::max(1, mOptions.mHosts);
  const double periods =
    std::chrono::duration<double>(aNow - aSends.mCreditAt) / kBorrowTime;
  aSends.mCreditAt = aNow;
  aSends.mCredit = std::min(aSends.mCredit + std::max(0.0, share) * periods,
                            std::max(1.0, share));
  if (unused < 1 || aSends.mCredit < 1) {
    return false;
  }
  aSends.mCredit -= 1;
  return true;
}

void
RetryBudget::Forget(std::deque<Time>& aTimes, Time aNow) const
{
  while (!aTimes.empty() && aNow - aTimes.front() >= mOptions.mWindow) {
    aTimes.pop_front();
  }
}

} // namespace quetzalquay
