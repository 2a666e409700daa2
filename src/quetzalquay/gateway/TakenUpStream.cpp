#include "gateway/TakenUpStream.h"

#include "core/Hash.h"
#include "gateway/StreamExchange.h"
#include "gateway/StreamOriginStore.h"
#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

// Time limit for looking up where a stream began.
constexpr Duration kLookupTimeout = std::chrono::milliseconds(600);

} // namespace

void
TakenUpStream::Start()
{
  const TakeUp takeUp = Decide();
  // A lookup without a key still completes the history of the versions.
  if (takeUp.mStatus != TakeUpStatus::Unknown) {
    Forward(takeUp);
    return;
  }
  const Time until =
    std::min(EventLoop::Now() + kLookupTimeout, mCall.mDeadline);
  mLookup = mContext.mOriginStore.LookUp(
    mCall.mOriginKey.value_or(0), until, [self = RefPtr<TakenUpStream>(this)] {
      self->OnLookedUp();
    });
}

void
TakenUpStream::OnCallerDisconnected()
{
  if (mStream != nullptr) {
    mStream->OnCallerDisconnected();
    return;
  }
  CancelLookUp();
  mContext.mMetrics.Add(GatewayCounter::CallerDisconnects);
  LogCompletion("caller_gone", 0);
}

void
TakenUpStream::OnExit()
{
  if (mStream != nullptr) {
    mStream->OnExit();
    return;
  }
  CancelLookUp();
  Failure failure;
  failure.mCode = FailureCode::Stopping;
  failure.mMessage = "the host is shutting down";
  SendFailure(failure);
}

void
TakenUpStream::CancelLookUp()
{
  if (mLookup != 0) {
    mContext.mOriginStore.CancelLookUp(std::exchange(mLookup, 0));
  }
}

void
TakenUpStream::OnLookedUp()
{
  mLookup = 0;
  Forward(Decide());
}

TakeUp
TakenUpStream::Decide() const
{
  TakeUpRequest request;
  if (!mCall.mRequest.mOriginRequestId.empty()) {
    request.mKey = mCall.mOriginKey;
  }
  for (const WeightedService& it : mCall.mRoute->mServices) {
    request.mServices.push_back(it.mName);
  }
  request.mDefaultService = mCall.mService;
  return DecideTakeUp(request,
                      mContext.mFleet.Origins(),
                      mContext.mFleet.Versions(),
                      EventLoop::Now());
}

void
TakenUpStream::Forward(const TakeUp& aTakeUp)
{
  if (aTakeUp.mStatus != TakeUpStatus::Known) {
    Refuse(aTakeUp);
    return;
  }
  const Time now = EventLoop::Now();
  const auto age = aTakeUp.mLearnedAt == Time() ? Time::duration::zero()
                                                : now - aTakeUp.mLearnedAt;
  Log(LogLevel::Info,
      "request",
      "stream taken up",
      { { "request", mCall.mRequest.mRequestId },
        { "origin", ToHex(mCall.mOriginKey.value_or(0)) },
        { "service", aTakeUp.mService },
        { "software", aTakeUp.mSoftwareVersion },
        { "source", std::string(NameOf(aTakeUp.mSource)) },
        { "age_ms", std::to_string(static_cast<int>(ToMilliseconds(age))) },
        { "after_event", mCall.mRequest.mLastEventId } });
  mContext.mMetrics.Add(GatewayCounter::StreamsTakenUp);
  mCall.mService = aTakeUp.mService;
  mCall.mSoftwareVersion = aTakeUp.mSoftwareVersion;
  mStream = MakeRef<StreamExchange>(mContext, std::move(mCall), *mSink);
  const RefPtr<Exchange> stream = mStream;
  stream->Start();
}

void
TakenUpStream::Refuse(const TakeUp& aTakeUp)
{
  mContext.mMetrics.Add(GatewayCounter::TakeUpsRefused);
  const bool serviceGone = aTakeUp.mStatus == TakeUpStatus::ServiceGone;
  Failure failure;
  failure.mCode =
    serviceGone ? FailureCode::VersionGone : FailureCode::VersionUnknown;
  failure.mMessage =
    serviceGone ? "the route no longer uses the service that began this stream"
                : "the software version that began this stream is not known";
  mLogNote = "origin_" + ToHex(mCall.mOriginKey.value_or(0));
  SendFailure(failure);
}

} // namespace quetzalquay
