#include "core/RetryBudget.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Part of the shared budget that the hosts use, as their windows differ.
constexpr double kUsedPart = 0.9;

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
RetryBudget::TakeRepeat(const std::string& aService, Time aNow)
{
  Sends& sends = mServices[aService];
  Forget(sends.mFirst, aNow);
  Forget(sends.mRepeats, aNow);
  const double allowed =
    kUsedPart * (mOptions.mRatio * static_cast<double>(sends.mFirst.size()) +
                 mOptions.mAllowance / std::max(1, mOptions.mHosts));
  if (static_cast<double>(sends.mRepeats.size()) + 1 > allowed) {
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

void
RetryBudget::Forget(std::deque<Time>& aTimes, Time aNow) const
{
  while (!aTimes.empty() && aNow - aTimes.front() >= mOptions.mWindow) {
    aTimes.pop_front();
  }
}

} // namespace quetzalquay
