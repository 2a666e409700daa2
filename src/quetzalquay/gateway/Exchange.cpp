#include "gateway/Exchange.h"

#include "observe/Log.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace quetzalquay {

namespace {

// Part of the caller's remaining time that a pause before its repeat may take.
// Longer pauses are not waited for.
constexpr int kRetryAfterPart = 4;

} // namespace

Exchange::Exchange(GatewayParts& aParts, CallerCall aCall, AnswerSink& aSink)
  : mParts(aParts)
  , mCall(std::move(aCall))
  , mSink(&aSink)
{
}

void
Exchange::SendFailure(const Failure& aFailure)
{
  const int status = StatusOf(aFailure);
  LogEnd(std::string(NameOf(aFailure.mCode)).c_str(), status);
  mParts.mMetrics.OnFailure(aFailure.mCode, aFailure.mVerdict);
  mSink->SendWhole(
    status,
    "",
    FailureFields(
      aFailure, mCall.mRequest.mRequestId, mCall.mDeadline, EventLoop::Now()),
    FailureBody(aFailure));
}

std::string
Exchange::ForwardedFields(const HttpHead& aHead)
{
  std::string fields;
  for (const HttpField& it : aHead.mFields) {
    if (!IsHopByHop(aHead, it.mName) &&
        !SameFieldName(it.mName, "Content-Length") &&
        !platform::IsGatewayField(it.mName)) {
      AppendField(fields, it.mName, it.mValue);
    }
  }
  return fields;
}

void
Exchange::LogEnd(const char* aOutcome, int aStatus)
{
  const auto elapsed = EventLoop::Now() - mCall.mArrived;
  mParts.mMetrics.OnRequestEnd(mCall.mRoute->mKind, aStatus, elapsed);
  Log(LogLevel::Info,
      "request",
      aOutcome,
      { { "request", mCall.mRequest.mRequestId },
        { "kind", std::string(NameOf(mCall.mRoute->mKind)) },
        { "route", mCall.mRoute->mName },
        { "workspace", mCall.mWorkspace },
        { "configuration", std::to_string(mCall.mRouting->mVersion) },
        { "status", std::to_string(aStatus) },
        { "target", mLastTarget },
        { "tries", std::to_string(mTries) },
        { "ms", std::to_string(static_cast<int>(ToMilliseconds(elapsed))) },
        { "first_ms",
          mFirstEvent
            ? std::to_string(static_cast<int>(ToMilliseconds(*mFirstEvent)))
            : std::string() },
        { "pause_ms",
          std::to_string(static_cast<int>(ToMilliseconds(mLongestPause))) },
        { "note", mNote } });
}

platform::AttemptFields
Exchange::CommonFields(const std::string& aTarget, Time aNow) const
{
  platform::AttemptFields fields;
  fields.mTarget = aTarget;
  fields.mWorkspace = mCall.mWorkspace;
  fields.mTimeLeft = std::chrono::duration_cast<Duration>(
    std::max(mCall.mDeadline - aNow, Time::duration::zero()));
  return fields;
}

int
StatusOf(const Failure& aFailure)
{
  if (aFailure.mVerdict == RunVerdict::NotRun) {
    return 503;
  }
  return aFailure.mCode == FailureCode::DeadlineExceeded ? 504 : 502;
}

std::string
FailureFields(const Failure& aFailure,
              const std::string& aRequestId,
              Time aDeadline,
              Time aNow)
{
  std::string fields;
  AppendField(fields, "Content-Type", "application/json");
  platform::AppendRequestId(fields, aRequestId);
  AppendField(fields, "X-Request-Run", NameOf(aFailure.mVerdict));
  if (aFailure.mVerdict == RunVerdict::NotRun &&
      aFailure.mRetryAfter > Duration::zero()) {
    const double left = ToMilliseconds(aDeadline - aNow) / 1000;
    const double after = std::min(ToMilliseconds(aFailure.mRetryAfter) / 1000,
                                  std::max(0.0, left / kRetryAfterPart));
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.2f", after);
    AppendField(fields, "Retry-After", buf);
  }
  return fields;
}

std::string
FailureBody(const Failure& aFailure)
{
  // Codes, verdicts and messages are our own and need no escaping.
  return R"({"error":{"code":")" + std::string(NameOf(aFailure.mCode)) +
         R"(","message":")" + aFailure.mMessage + R"(","run":")" +
         std::string(NameOf(aFailure.mVerdict)) + "\"}}\n";
}

void
ReportTryEnd(TargetTable& aTable,
             const std::string& aTarget,
             TryEnd aEnd,
             Time aNow)
{
  switch (aEnd) {
    case TryEnd::Refused:
      aTable.OnRefused(aTarget, aNow);
      break;
    case TryEnd::Unreachable:
      aTable.OnUnresponsive(aTarget, aNow);
      break;
    case TryEnd::Broken:
      aTable.OnBroken(aTarget, aNow);
      break;
  }
}

void
ReportTurnedAway(GatewayParts& aParts,
                 const std::string& aTarget,
                 const platform::TargetAnswer& aAnswer,
                 Time aNow)
{
  if (aAnswer.mWrongTarget) {
    aParts.mFleet.Targets().MarkLeaving(aTarget);
    aParts.mProber.Identify(aTarget, aAnswer.mTarget);
  } else {
    aParts.mFleet.Targets().OnTurnedAway(aTarget, aNow);
  }
}

} // namespace quetzalquay
