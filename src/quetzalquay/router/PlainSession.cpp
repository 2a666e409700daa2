#include "router/PlainSession.h"

#include "config/Snapshot.h"
#include "config/SnapshotStore.h"
#include "generated/messages.pb.h"
#include "observe/RouterMetrics.h"
#include "router/CallerMessages.h"
#include "router/ExplainStore.h"
#include "router/TargetDirectory.h"
#include "router/TargetPoller.h"
#include "wire/HttpServer.h"
#include "wire/Json.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace quetzalquay {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(1000);

Time
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

PlainSession::PlainSession(const RouterParts& aParts, RequestContext aContext)
  : mParts(aParts)
  , mContext(std::move(aContext))
  , mSpan(aParts.mTracer->Start("call", "SERVER", mContext.mTraceParent))
{
  mParts.mMetrics->Add(RouterCounter::Requests);
}

void
PlainSession::Serve(const HttpRequest& aRequest,
                    const std::string& aPath,
                    HttpResponse& aResponse)
{
  ChoiceQuery query;
  query.mService = mContext.mService;
  query.mContent = mContext.mContentHash;
  query.mRequestId = mContext.mRequestId;
  query.mWorkspace = mContext.mWorkspace;
  query.mWeight = mContext.mWeight;
  query.mDeadline = mContext.mDeadline;
  PlainCall call(
    query, mContext.mIdempotent, mContext.mDeadline, *mParts.mTargets);
  const HttpCallSpec spec = MakeCall(aRequest, aPath);
  PlainStep step = call.Start(Now());
  while (true) {
    if (const auto* attempt = std::get_if<TryTarget>(&step)) {
      const PlainResult result = SendToTarget(*attempt, spec);
      step = call.OnResult(result, Now());
    } else if (const auto* wait = std::get_if<AwaitVerdict>(&step)) {
      std::this_thread::sleep_until(wait->mCheckAt);
      step = call.OnVerdictDue(Now());
    } else {
      break;
    }
  }
  aResponse.mHeaders["X-Request-Id"] = mContext.mRequestId;
  if (const FailCall* failed = std::get_if<FailCall>(&step)) {
    FailRequest(failed->mFailure, aResponse);
  } else {
    mVerdict = RunVerdict::Ran;
    aResponse.mStatus = mHttpResult.mStatus;
    aResponse.mBody = mHttpResult.mBody;
    aResponse.mHeaders["X-Request-Run"] = std::string(NameOf(mVerdict));
    const auto contentType = mHttpResult.mHeaders.find("content-type");
    if (contentType != mHttpResult.mHeaders.end()) {
      aResponse.mContentType = contentType->second;
    }
  }
  mSpan.mTags["request"] = mContext.mRequestId;
  mSpan.mTags["run"] = std::string(NameOf(mVerdict));
  mParts.mTracer->End(mSpan);
}

HttpCallSpec
PlainSession::MakeCall(const HttpRequest& aRequest,
                       const std::string& aPath) const
{
  HttpCallSpec spec;
  spec.mMethod = aRequest.mMethod;
  spec.mPath = aPath;
  spec.mBody = aRequest.mBody;
  spec.mContentType =
    aRequest.mFindHeader("Content-Type").value_or("application/json");
  spec.mHeaders["X-Request-Id"] = mContext.mRequestId;
  spec.mHeaders["X-Quetzal-Router"] = mParts.mRouterName;
  if (!mContext.mCallerKey.empty()) {
    spec.mHeaders["Idempotency-Key"] = mContext.mCallerKey;
  }
  spec.mConnectTimeout = kConnectTimeout;
  return spec;
}

PlainResult
PlainSession::SendToTarget(const TryTarget& aStep, const HttpCallSpec& aSpec)
{
  HttpAddress address;
  {
    const SnapshotReader snapshot(*mParts.mSnapshots);
    const auto known = snapshot->AddressOf(aStep.mTarget);
    if (!known) {
      return PlainResult::NotStarted;
    }
    address = { known->mHost, known->mPort };
  }
  // The deadline is checked right before sending, as the process may have been
  // suspended since the target was chosen.
  const Time startedAt = Now();
  const auto remaining =
    std::chrono::duration_cast<Duration>(mContext.mDeadline - startedAt);
  if (remaining <= Duration::zero()) {
    return PlainResult::NotStarted;
  }
  HttpCallSpec spec = aSpec;
  spec.mReadTimeout = remaining;
  spec.mConnectTimeout = std::min(remaining, kConnectTimeout);
  OpenSpan span = mParts.mTracer->Start("attempt", "CLIENT", mSpan.mContext);
  span.mTags["target"] = aStep.mTarget;
  spec.mHeaders["traceparent"] = span.mContext.ToHeader();
  spec.mHeaders["X-Attempt"] = std::to_string(aStep.mAttempt);
  mParts.mTargets->WithLock([&](TargetTable& aTable) {
    aTable.OnAttemptStart(aStep.mTarget, mContext.mContentHash, startedAt);
  });
  HttpCall call(address);
  mHttpResult = call.Run(spec);
  const PlainResult result = ClassifyResult(mHttpResult);
  const bool broken = result == PlainResult::Broken;
  const auto outcome =
    result == PlainResult::Answered
      ? AttemptOutcome::Finished
      : (broken ? AttemptOutcome::Lost : AttemptOutcome::Released);
  mParts.mTargets->WithLock([&](TargetTable& aTable) {
    aTable.OnAttemptEnd(aStep.mTarget, mContext.mContentHash, outcome, Now());
  });
  if (result != PlainResult::Answered) {
    mParts.mPoller->PollAsync(aStep.mTarget);
  }
  mParts.mTracer->End(std::move(span));
  AddExplainStep("called",
                 aStep.mTarget,
                 broken ? "connection broken"
                        : std::to_string(mHttpResult.mStatus));
  return result;
}

PlainResult
PlainSession::ClassifyResult(const HttpResult& aResult) const
{
  switch (aResult.mOutcome) {
    case HttpOutcome::Refused:
    case HttpOutcome::ConnectTimeout:
      return PlainResult::NotStarted;
    case HttpOutcome::Broken:
      return PlainResult::Broken;
    case HttpOutcome::Answered:
      break;
  }
  if (aResult.mStatus != 503 && aResult.mStatus != 429) {
    return PlainResult::Answered;
  }
  schema::ErrorResponse error;
  ParseJson(aResult.mBody, UnknownFields::Ignore, error);
  return error.error().code() == "not_started" ? PlainResult::NotStarted
                                               : PlainResult::Answered;
}

void
PlainSession::FailRequest(const Failure& aFailure, HttpResponse& aResponse)
{
  mVerdict = aFailure.mVerdict;
  mParts.mMetrics->AddFailure(aFailure.mCode, aFailure.mVerdict);
  AddExplainStep("failed", std::string(), std::string(NameOf(aFailure.mCode)));
  WriteFailure(aFailure, aResponse);
}

void
PlainSession::AddExplainStep(const char* aEvent,
                             const std::string& aTarget,
                             const std::string& aReason)
{
  schema::ExplainStep step;
  step.set_event(aEvent);
  step.set_target(aTarget);
  step.set_reason(aReason);
  mParts.mExplainStore->Add(
    mContext.mRequestId, mContext.mWorkspace, std::move(step));
}

} // namespace quetzalquay
