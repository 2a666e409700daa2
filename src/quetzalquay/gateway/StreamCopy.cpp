#include "gateway/StreamCopy.h"

#include "observe/Log.h"

#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Time between two checks whether a copy must be ordered.
constexpr Duration kCheckInterval = milliseconds(100);

// Limit for a target to make an ordered copy.
constexpr Duration kCopyOrderTimeout = milliseconds(1000);

// Limit for a target to acknowledge the release of a copy.
constexpr Duration kReleaseTimeout = milliseconds(500);

CopyKeeper::Options
MakeKeeperOptions(const RoutedCall& aCall)
{
  CopyKeeper::Options options;
  options.mService = aCall.mService;
  options.mPromptTokens = aCall.mRequest.mPromptTokens;
  options.mOutputTokens = aCall.mRequest.mOutputTokens;
  const ServiceTraits* traits = aCall.mRouting->FindService(aCall.mService);
  if (traits != nullptr && aCall.mRoute->mResumable) {
    options.mOrdersSupported = traits->mSupportsCopyOrders;
    options.mLifetime = traits->mCopyLifetime;
  }
  return options;
}

} // namespace

StreamCopy::StreamCopy(GatewayContext& aContext, const RoutedCall& aCall)
  : mContext(aContext)
  , mService(aCall.mService)
  , mRequestId(aCall.mRequest.mRequestId)
  , mCopyKeeper(MakeKeeperOptions(aCall), aContext.mFleet.Targets())
{
  const ServiceTraits* traits = aCall.mRouting->FindService(mService);
  mRunsSendCopies =
    aCall.mRoute->mResumable && traits != nullptr && traits->mCopies;
}

StreamCopy::~StreamCopy()
{
  EndRun();
}

StreamCopy::Holder
StreamCopy::ChooseHolder(const std::string& aTarget, Time aNow)
{
  if (!mRunsSendCopies) {
    return {};
  }
  mCopyKeeper.SetTargetsOutdated(mContext.mFleet.AreTargetsOutdated(aNow));
  const std::string holder = mCopyKeeper.ChooseHolder(aTarget, aNow);
  const TargetLocation* at = mContext.mFleet.Locate(holder);
  return at == nullptr ? Holder() : Holder{ holder, at->mAddress };
}

void
StreamCopy::StartRun(const std::string& aTarget, const Holder& aHolder)
{
  EndRun();
  const TargetLocation* location = mContext.mFleet.Locate(aTarget);
  mRunTarget = aTarget;
  mRunTargetAddress = location == nullptr ? std::string() : location->mAddress;
  mCopyKeeper.OnRunStarted(aTarget, aHolder.mName);
}

void
StreamCopy::OnEvent(Time aNow)
{
  mCopyKeeper.OnEventDelivered();
  if (aNow < mNextCheckAt) {
    return;
  }
  mNextCheckAt = aNow + kCheckInterval;
  mCopyKeeper.SetTargetsOutdated(mContext.mFleet.AreTargetsOutdated(aNow));
  if (const auto holder = mCopyKeeper.TakeNextOrder(aNow)) {
    OrderCopy(*holder, aNow);
  }
}

void
StreamCopy::EndRun()
{
  if (mCopyOrder != nullptr) {
    mCopyOrder->Cancel();
    mCopyOrder.reset();
    mCopyKeeper.OnOrderFailed(EventLoop::Now());
  }
  mCopyKeeper.OnRunEnded();
}

std::string
StreamCopy::FindHolder(Time aNow) const
{
  const auto copy = mCopyKeeper.FindCopy(aNow);
  return copy ? copy->mHolder : std::string();
}

std::optional<platform::KvCopyReference>
StreamCopy::FindCopyAt(const std::string& aTarget, Time aNow) const
{
  const auto copy = mCopyKeeper.FindCopy(aNow);
  const TargetLocation* location = mContext.mFleet.Locate(aTarget);
  if (!copy || copy->mHolder != aTarget || location == nullptr) {
    return std::nullopt;
  }
  if (copy->mHandle.empty()) {
    return platform::KvCopyReference{ location->mAddress, mRequestId };
  }
  return platform::KvCopyReference{ copy->mSourceAddress, copy->mHandle };
}

void
StreamCopy::ReleaseCopies()
{
  EndRun();
  const Time now = EventLoop::Now();
  for (const KvCopy& it : mCopyKeeper.Clear()) {
    // Only the last run's target gets a release request: a lost target drops
    // its copies by itself, and one that wants nothing does when they expire.
    if (it.mSourceAddress == mRunTargetAddress &&
        !mContext.mFleet.Targets().WantsNothing(mRunTarget, now)) {
      const auto call =
        MakeRef<TargetCall>(mContext.mLoop, mContext.mAnswerBuffers, nullptr);
      call->Send(mContext.mPool.Acquire(mRunTarget),
                 platform::EncodeCopyRelease(it.mSourceAddress, it.mHandle),
                 now + kReleaseTimeout);
    }
  }
}

void
StreamCopy::OrderCopy(const std::string& aHolder, Time aNow)
{
  const TargetLocation* holder = mContext.mFleet.Locate(aHolder);
  if (holder == nullptr) {
    mCopyKeeper.OnOrderFailed(aNow);
    return;
  }
  mCopyOrder =
    MakeRef<TargetCall>(mContext.mLoop,
                        mContext.mAnswerBuffers,
                        [this, aHolder](const TargetCall::Outcome& aOutcome) {
                          OnCopyOrderEnded(aHolder, aOutcome);
                        });
  mContext.mMetrics.Add(GatewayCounter::CopiesRequested);
  mCopyOrder->Send(
    mContext.mPool.Acquire(mRunTarget),
    platform::EncodeCopyOrder(mRunTargetAddress, mRequestId, holder->mAddress),
    aNow + kCopyOrderTimeout);
}

void
StreamCopy::OnCopyOrderEnded(const std::string& aHolder,
                             const TargetCall::Outcome& aOutcome)
{
  mCopyOrder.reset();
  const Time now = EventLoop::Now();
  std::string reason;
  std::optional<std::string> handle;
  if (aOutcome.mStatus == 200) {
    handle = platform::DecodeCopyHandle(aOutcome.mBody, reason);
  } else {
    reason = aOutcome.mStatus ? "status " + std::to_string(*aOutcome.mStatus)
                              : "no response";
  }
  if (handle) {
    mCopyKeeper.OnOrderCompleted(aHolder, mRunTargetAddress, *handle, now);
  } else {
    mCopyKeeper.OnOrderFailed(now);
  }
  Log(LogLevel::Info,
      "request",
      handle ? "cache copy made" : "cache copy failed",
      { { "request", mRequestId },
        { "target", mRunTarget },
        { "holder", aHolder },
        { "reason", reason } });
}

} // namespace quetzalquay
