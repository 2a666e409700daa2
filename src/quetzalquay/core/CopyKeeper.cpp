#include "core/CopyKeeper.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

// Delay before the next order after one that failed.
constexpr Duration kOrderRetryDelay = std::chrono::milliseconds(300);

// An ordered copy is renewed once at most 1/kRenewalDivisor of its lifetime is
// left.
constexpr int kRenewalDivisor = 2;

} // namespace

CopyKeeper::CopyKeeper(Options aOptions, TargetTable& aTargets)
  : mOptions(std::move(aOptions))
  , mTargets(aTargets)
{
}

CopyKeeper::~CopyKeeper()
{
  Clear();
}

std::string
CopyKeeper::ChooseHolder(const std::string& aServingTarget, Time aNow) const
{
  const auto version = aServingTarget == mServingTarget
                         ? std::make_optional(mSoftwareVersion)
                         : mTargets.SoftwareVersionOf(aServingTarget);
  if (!version || mTargetsOutdated) {
    return std::string();
  }
  ChoiceQuery query;
  query.mService = mOptions.mService;
  query.mSoftwareVersion = *version;
  query.mPromptTokens = mOptions.mPromptTokens;
  query.mOutputTokens = mOptions.mOutputTokens;
  return mTargets.ChooseCopyHolder(query, aServingTarget, aNow);
}

void
CopyKeeper::OnRunStarted(const std::string& aServingTarget,
                         const std::string& aHolder)
{
  // A run that never delivered an event has not made its own copy.
  for (std::size_t n = mCopies.size(); n-- > 0;) {
    mCopies[n].mOfCurrentRun = false;
    if (!mCopies[n].mReady) {
      DropCopy(n);
    }
  }
  mServingTarget = aServingTarget;
  mSoftwareVersion =
    mTargets.SoftwareVersionOf(aServingTarget).value_or(std::string());
  mDelivered = false;
  if (!aHolder.empty()) {
    TrackedCopy tracked;
    tracked.mCopy.mHolder = aHolder;
    tracked.mCopy.mIncarnation = mTargets.IncarnationOf(aHolder);
    tracked.mOfCurrentRun = true;
    AddCopy(std::move(tracked));
  }
}

void
CopyKeeper::OnEventDelivered()
{
  if (mDelivered) {
    return;
  }
  mDelivered = true;
  for (std::size_t n = mCopies.size(); n-- > 0;) {
    mCopies[n].mReady = true;
    if (!mCopies[n].mOfCurrentRun) {
      DropCopy(n);
    }
  }
}

void
CopyKeeper::OnRunEnded()
{
  mServingTarget.clear();
}

std::optional<std::string>
CopyKeeper::TakeNextOrder(Time aNow)
{
  if (!mOptions.mOrdersSupported || mServingTarget.empty() || !mDelivered ||
      mTargetsOutdated || mOrderPending || aNow < mNextOrderAt ||
      mTargets.HasLeavingNotice(mServingTarget) ||
      mTargets.WantsNothing(mServingTarget, aNow)) {
    return std::nullopt;
  }
  std::string holder;
  for (std::size_t n = mCopies.size(); n-- > 0;) {
    const TrackedCopy& tracked = mCopies[n];
    if (aNow >= tracked.mCopy.mExpiresAt) {
      DropCopy(n);
    } else if (IsHealthy(tracked, aNow)) {
      const bool expiring =
        tracked.mCopy.mExpiresAt != Time::max() &&
        aNow >= tracked.mCopy.mExpiresAt - mOptions.mLifetime / kRenewalDivisor;
      if (!expiring) {
        return std::nullopt;
      }
      holder = tracked.mCopy.mHolder;
    }
  }
  if (holder.empty()) {
    holder = ChooseHolder(mServingTarget, aNow);
  }
  if (holder.empty() || !mTargets.IsHealthy(holder, aNow)) {
    return std::nullopt;
  }
  mOrderPending = true;
  return holder;
}

void
CopyKeeper::OnOrderCompleted(const std::string& aHolder,
                             const std::string& aSource,
                             const std::string& aHandle,
                             Time aNow)
{
  mOrderPending = false;
  const auto renewed = std::find_if(
    mCopies.begin(), mCopies.end(), [&](const TrackedCopy& aTracked) {
      return aTracked.mCopy.mHolder == aHolder &&
             !aTracked.mCopy.mHandle.empty();
    });
  if (renewed != mCopies.end()) {
    renewed->mCopy.mHandle = aHandle;
    renewed->mCopy.mExpiresAt = aNow + mOptions.mLifetime;
    return;
  }
  TrackedCopy tracked;
  tracked.mCopy.mHolder = aHolder;
  tracked.mCopy.mIncarnation = mTargets.IncarnationOf(aHolder);
  tracked.mCopy.mSourceAddress = aSource;
  tracked.mCopy.mHandle = aHandle;
  tracked.mCopy.mExpiresAt = aNow + mOptions.mLifetime;
  tracked.mOfCurrentRun = true;
  tracked.mReady = true;
  AddCopy(std::move(tracked));
}

void
CopyKeeper::OnOrderFailed(Time aNow)
{
  mOrderPending = false;
  mNextOrderAt = aNow + kOrderRetryDelay;
}

std::optional<KvCopy>
CopyKeeper::FindCopy(Time aNow) const
{
  std::optional<KvCopy> found;
  for (const TrackedCopy& it : mCopies) {
    if (!it.mReady || !IsUnchanged(it) || aNow >= it.mCopy.mExpiresAt) {
      continue;
    }
    if (!found || IsHealthy(it, aNow)) {
      found = it.mCopy;
    }
  }
  return found;
}

void
CopyKeeper::OnCopyUsed(const std::string& aHolder)
{
  for (std::size_t n = mCopies.size(); n-- > 0;) {
    if (mCopies[n].mReady && mCopies[n].mCopy.mHolder == aHolder) {
      DropCopy(n);
    }
  }
}

std::vector<KvCopy>
CopyKeeper::Clear()
{
  std::vector<KvCopy> ordered;
  while (!mCopies.empty()) {
    if (!mCopies.back().mCopy.mHandle.empty()) {
      ordered.push_back(mCopies.back().mCopy);
    }
    DropCopy(mCopies.size() - 1);
  }
  mServingTarget.clear();
  return ordered;
}

// Whether the holder has not restarted and has the stream's software version.
bool
CopyKeeper::IsUnchanged(const TrackedCopy& aTracked) const
{
  const std::string& holder = aTracked.mCopy.mHolder;
  return mTargets.IncarnationOf(holder) == aTracked.mCopy.mIncarnation &&
         mTargets.SoftwareVersionOf(holder) == mSoftwareVersion;
}

bool
CopyKeeper::IsHealthy(const TrackedCopy& aTracked, Time aNow) const
{
  return mTargets.IsHealthy(aTracked.mCopy.mHolder, aNow) &&
         IsUnchanged(aTracked);
}

void
CopyKeeper::AddCopy(TrackedCopy aTracked)
{
  mTargets.OnCopyStart(aTracked.mCopy.mHolder,
                       mOptions.mPromptTokens + mOptions.mOutputTokens);
  mCopies.push_back(std::move(aTracked));
}

void
CopyKeeper::DropCopy(std::size_t aIndex)
{
  mTargets.OnCopyEnd(mCopies[aIndex].mCopy.mHolder,
                     mOptions.mPromptTokens + mOptions.mOutputTokens);
  mCopies.erase(mCopies.begin() + static_cast<long>(aIndex));
}

} // namespace quetzalquay
