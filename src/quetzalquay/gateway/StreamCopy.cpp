#include "gateway/StreamCopy.h"

#include "observe/Log.h"

#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Time between two looks at the state of a copy.
constexpr Duration kLookPause = milliseconds(100);

// Time in which an ordered copy has to be made.
constexpr Duration kOrderTime = milliseconds(1000);

// Time in which a target takes note that a copy is not needed any more.
constexpr Duration kReleaseTime = milliseconds(500);

CopyKeeper::Options
OptionsOf(const CallerCall& aCall)
{
  CopyKeeper::Options options;
  options.mService = aCall.mService;
  options.mPromptTokens = aCall.mRequest.mPromptTokens;
  options.mOutputTokens = aCall.mRequest.mOutputTokens;
  const ServiceTraits* traits = aCall.mRouting->FindService(aCall.mService);
  if (traits != nullptr && aCall.mRoute->mResumable) {
    options.mOrders = traits->mCopyOrders;
    options.mLifetime = traits->mCopyLifetime;
  }
  return options;
}

} // namespace

StreamCopy::StreamCopy(GatewayParts& aParts, const CallerCall& aCall)
  : mParts(aParts)
  , mService(aCall.mService)
  , mRequestId(aCall.mRequest.mRequestId)
  , mKeeper(OptionsOf(aCall), aParts.mFleet.Targets())
{
  const ServiceTraits* traits = aCall.mRouting->FindService(mService);
  mRunsCopy = aCall.mRoute->mResumable && traits != nullptr && traits->mCopies;
}

StreamCopy::~StreamCopy()
{
  EndRun();
}

std::string
StreamCopy::StartRun(const std::string& aTarget, Time aNow)
{
  EndRun();
  const TargetLocation* location = mParts.mFleet.Locate(aTarget);
  mRunner = aTarget;
  mRunnerAddress = location == nullptr ? std::string() : location->mAddress;
  const std::string holder =
    mRunsCopy ? mKeeper.ChooseHolder(aTarget, aNow) : std::string();
  const TargetLocation* at = mParts.mFleet.Locate(holder);
  mKeeper.OnRunStarted(aTarget, at == nullptr ? std::string() : holder);
  return at == nullptr ? std::string() : at->mAddress;
}

void
StreamCopy::OnEvent(Time aNow)
{
  mKeeper.OnDelivered();
  if (aNow < mLookAt) {
    return;
  }
  mLookAt = aNow + kLookPause;
  if (const auto holder = mKeeper.NextOrder(aNow)) {
    Order(*holder, aNow);
  }
}

void
StreamCopy::EndRun()
{
  if (mOrder != nullptr) {
    mOrder->Cancel();
    mOrder.reset();
    mKeeper.OnOrderFailed(EventLoop::Now());
  }
  mKeeper.OnRunEnded();
}

std::string
StreamCopy::Holder(Time aNow) const
{
  const auto copy = mKeeper.Find(aNow);
  return copy ? copy->mHolder : std::string();
}

std::optional<platform::CopyName>
StreamCopy::Use(const std::string& aTarget, Time aNow)
{
  const auto copy = mKeeper.Find(aNow);
  const TargetLocation* location = mParts.mFleet.Locate(aTarget);
  if (!copy || copy->mHolder != aTarget || location == nullptr) {
    return std::nullopt;
  }
  mKeeper.OnUsed(aTarget);
  if (copy->mHandle.empty()) {
    return platform::CopyName{ location->mAddress, mRequestId };
  }
  return platform::CopyName{ copy->mSource, copy->mHandle };
}

void
StreamCopy::Clear()
{
  EndRun();
  const Time now = EventLoop::Now();
  for (const RunCopy& it : mKeeper.Clear()) {
    // A target that was lost drops its copies itself.
    if (it.mSource == mRunnerAddress) {
      const auto call = MakeRef<TargetCall>(mParts.mLoop, nullptr);
      call->Send(mParts.mPool.Take(mRunner),
                 platform::EncodeCopyRelease(it.mSource, it.mHandle),
                 now + kReleaseTime);
    }
  }
}

void
StreamCopy::Order(const std::string& aHolder, Time aNow)
{
  const TargetLocation* holder = mParts.mFleet.Locate(aHolder);
  if (holder == nullptr) {
    mKeeper.OnOrderFailed(aNow);
    return;
  }
  mOrder = MakeRef<TargetCall>(
    mParts.mLoop, [this, aHolder](const TargetCall::Outcome& aOutcome) {
      OnOrderEnded(aHolder, aOutcome);
    });
  mParts.mMetrics.Add(GatewayCount::CopiesOrdered);
  mOrder->Send(
    mParts.mPool.Take(mRunner),
    platform::EncodeCopyOrder(mRunnerAddress, mRequestId, holder->mAddress),
    aNow + kOrderTime);
}

void
StreamCopy::OnOrderEnded(const std::string& aHolder,
                         const TargetCall::Outcome& aOutcome)
{
  mOrder.reset();
  const Time now = EventLoop::Now();
  std::string reason;
  std::optional<std::string> handle;
  if (aOutcome.mStatus == 200) {
    handle = platform::DecodeCopyMade(aOutcome.mBody, reason);
  } else {
    reason = aOutcome.mStatus ? "status " + std::to_string(*aOutcome.mStatus)
                              : "no answer";
  }
  if (handle) {
    mKeeper.OnOrdered(aHolder, mRunnerAddress, *handle, now);
  } else {
    mKeeper.OnOrderFailed(now);
  }
  Log(LogLevel::Info,
      "request",
      handle ? "copy ordered" : "copy not made",
      { { "request", mRequestId },
        { "target", mRunner },
        { "holder", aHolder },
        { "reason", reason } });
}

} // namespace quetzalquay
