#include "core/CopyKeeper.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

// Pause after an order that failed.
constexpr Duration kOrderPause = std::chrono::milliseconds(300);

// An ordered copy is renewed when this part of its lifetime has passed.
constexpr int kRenewPart = 2;

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
CopyKeeper::ChooseHolder(const std::string& aRunner, Time aNow) const
{
  ChoiceQuery query;
  query.mService = mOptions.mService;
  query.mPromptTokens = mOptions.mPromptTokens;
  query.mOutputTokens = mOptions.mOutputTokens;
  return mTargets.ChooseCopyHolder(query, aRunner, aNow);
}

void
CopyKeeper::OnRunStarted(const std::string& aRunner, const std::string& aHolder)
{
  // What an earlier run asked for and never got does not exist.
  for (std::size_t n = mKept.size(); n-- > 0;) {
    mKept[n].mPresent = false;
    if (!mKept[n].mReady) {
      Drop(n);
    }
  }
  mRunner = aRunner;
  mDelivered = false;
  if (!aHolder.empty()) {
    Kept kept;
    kept.mCopy.mHolder = aHolder;
    kept.mCopy.mIncarnation = mTargets.IncarnationOf(aHolder);
    kept.mPresent = true;
    Add(std::move(kept));
  }
}

void
CopyKeeper::OnDelivered()
{
  if (mDelivered) {
    return;
  }
  mDelivered = true;
  for (std::size_t n = mKept.size(); n-- > 0;) {
    mKept[n].mReady = true;
    if (!mKept[n].mPresent) {
      Drop(n);
    }
  }
}

void
CopyKeeper::OnRunEnded()
{
  mRunner.clear();
}

std::optional<std::string>
CopyKeeper::NextOrder(Time aNow)
{
  if (!mOptions.mOrders || mRunner.empty() || !mDelivered || mOrdering ||
      aNow < mOrderAfter) {
    return std::nullopt;
  }
  std::string holder;
  for (std::size_t n = mKept.size(); n-- > 0;) {
    const Kept& kept = mKept[n];
    if (aNow >= kept.mCopy.mUntil) {
      Drop(n);
    } else if (IsSound(kept, aNow)) {
      const bool old =
        kept.mCopy.mUntil != Time::max() &&
        aNow >= kept.mCopy.mUntil - mOptions.mLifetime / kRenewPart;
      if (!old) {
        return std::nullopt;
      }
      holder = kept.mCopy.mHolder;
    }
  }
  if (holder.empty()) {
    holder = ChooseHolder(mRunner, aNow);
  }
  if (holder.empty() || !mTargets.IsSound(holder, aNow)) {
    return std::nullopt;
  }
  mOrdering = true;
  return holder;
}

void
CopyKeeper::OnOrdered(const std::string& aHolder,
                      const std::string& aSource,
                      const std::string& aHandle,
                      Time aNow)
{
  mOrdering = false;
  const auto old =
    std::find_if(mKept.begin(), mKept.end(), [&](const Kept& aKept) {
      return aKept.mCopy.mHolder == aHolder && !aKept.mCopy.mHandle.empty();
    });
  if (old != mKept.end()) {
    old->mCopy.mHandle = aHandle;
    old->mCopy.mUntil = aNow + mOptions.mLifetime;
    return;
  }
  Kept kept;
  kept.mCopy.mHolder = aHolder;
  kept.mCopy.mIncarnation = mTargets.IncarnationOf(aHolder);
  kept.mCopy.mSource = aSource;
  kept.mCopy.mHandle = aHandle;
  kept.mCopy.mUntil = aNow + mOptions.mLifetime;
  kept.mPresent = true;
  kept.mReady = true;
  Add(std::move(kept));
}

void
CopyKeeper::OnOrderFailed(Time aNow)
{
  mOrdering = false;
  mOrderAfter = aNow + kOrderPause;
}

std::optional<RunCopy>
CopyKeeper::Find(Time aNow) const
{
  std::optional<RunCopy> found;
  for (const Kept& it : mKept) {
    const bool same =
      mTargets.IncarnationOf(it.mCopy.mHolder) == it.mCopy.mIncarnation;
    if (!it.mReady || !same || aNow >= it.mCopy.mUntil) {
      continue;
    }
    if (!found || IsSound(it, aNow)) {
      found = it.mCopy;
    }
  }
  return found;
}

void
CopyKeeper::OnUsed(const std::string& aHolder)
{
  for (std::size_t n = mKept.size(); n-- > 0;) {
    if (mKept[n].mReady && mKept[n].mCopy.mHolder == aHolder) {
      Drop(n);
    }
  }
}

std::vector<RunCopy>
CopyKeeper::Clear()
{
  std::vector<RunCopy> ordered;
  while (!mKept.empty()) {
    if (!mKept.back().mCopy.mHandle.empty()) {
      ordered.push_back(mKept.back().mCopy);
    }
    Drop(mKept.size() - 1);
  }
  mRunner.clear();
  return ordered;
}

bool
CopyKeeper::IsSound(const Kept& aKept, Time aNow) const
{
  return mTargets.IsSound(aKept.mCopy.mHolder, aNow) &&
         mTargets.IncarnationOf(aKept.mCopy.mHolder) ==
           aKept.mCopy.mIncarnation;
}

void
CopyKeeper::Add(Kept aKept)
{
  mTargets.OnCopyStart(aKept.mCopy.mHolder,
                       mOptions.mPromptTokens + mOptions.mOutputTokens);
  mKept.push_back(std::move(aKept));
}

void
CopyKeeper::Drop(std::size_t aAt)
{
  mTargets.OnCopyEnd(mKept[aAt].mCopy.mHolder,
                     mOptions.mPromptTokens + mOptions.mOutputTokens);
  mKept.erase(mKept.begin() + static_cast<long>(aAt));
}

} // namespace quetzalquay
