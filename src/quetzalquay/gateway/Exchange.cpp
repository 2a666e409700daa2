#include "gateway/Exchange.h"

#include "core/Hash.h"
#include "observe/Log.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace quetzalquay {

namespace {

// Retry-After is at most the caller's remaining time divided by this; callers
// do not wait longer.
constexpr int kRetryAfterDivisor = 4;

// Whether another host might not fail a request so.
RefusedBy
RefusedByOf(FailureCode aCode)
{
  const bool ofHost =
    aCode == FailureCode::NoTarget || aCode == FailureCode::Stopping ||
    aCode == FailureCode::VersionUnknown || aCode == FailureCode::VersionGone;
  return ofHost ? RefusedBy::Host : RefusedBy::Request;
}

RunEnd
RunEndOf(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::Finished:
    case AttemptOutcome::FinishedByClose:
      return RunEnd::Succeeded;
    case AttemptOutcome::Failed:
      return RunEnd::Failed;
    case AttemptOutcome::Lost:
      return RunEnd::Lost;
    case AttemptOutcome::Released:
    case AttemptOutcome::GivenUp:
      break;
  }
  return RunEnd::Withdrawn;
}

} // namespace

Exchange::Exchange(GatewayContext& aContext,
                   RoutedCall aCall,
                   ResponseSink& aSink)
  : mContext(aContext)
  , mCall(std::move(aCall))
  , mSink(&aSink)
{
}

void
Exchange::RecordAttemptStart(const std::string& aTarget,
                             const AttemptLoad& aLoad)
{
  const Time now = EventLoop::Now();
  mContext.mFleet.Targets().OnAttemptStart(aTarget, mCall.mContent, now, aLoad);
  RecordRunStart(aTarget);
}

void
Exchange::RecordRunStart(const std::string& aTarget)
{
  const auto version = mContext.mFleet.Targets().SoftwareVersionOf(aTarget);
  const std::uint64_t run =
    mContext.mFleet.Rollouts().OnSent(mCall.mService,
                                      mCall.mRoute->mName,
                                      aTarget,
                                      version.value_or(std::string()),
                                      EventLoop::Now());
  if (run != 0) {
    mRolloutRuns[aTarget] = run;
  }
}

void
Exchange::RecordFirstOutput(const std::string& aTarget)
{
  const auto run = mRolloutRuns.find(aTarget);
  if (run != mRolloutRuns.end()) {
    mContext.mFleet.Rollouts().OnFirstOutput(run->second, EventLoop::Now());
  }
}

void
Exchange::RecordRunEnd(const std::string& aTarget, RunEnd aEnd)
{
  const auto run = mRolloutRuns.find(aTarget);
  if (run != mRolloutRuns.end()) {
    mContext.mFleet.Rollouts().OnEnd(run->second, aEnd, EventLoop::Now());
    mRolloutRuns.erase(run);
  }
}

void
Exchange::RecordAttemptEnd(const std::string& aTarget, AttemptOutcome aOutcome)
{
  const Time now = EventLoop::Now();
  TargetTable& targets = mContext.mFleet.Targets();
  targets.OnAttemptEnd(aTarget, mCall.mContent, aOutcome, now);
  RecordRunEnd(aTarget, RunEndOf(aOutcome));
  // Without evidence against the request, there is nothing that its answer
  // could clear.
  const bool check = aOutcome == AttemptOutcome::Lost ||
                     (aOutcome == AttemptOutcome::FinishedByClose &&
                      targets.Suspects().IsSuspected(mCall.mContent, now));
  if (check) {
    mContext.mProber.CheckDeath(aTarget);
  }
}

void
Exchange::SendFailure(const Failure& aFailure)
{
  const int status = ToHttpStatus(aFailure);
  LogCompletion(
    std::string(NameOf(aFailure.mCode)).c_str(), status, aFailure.mMessage);
  mContext.mMetrics.OnFailure(aFailure.mCode, aFailure.mVerdict);
  std::string fields = FormatFailureFields(
    aFailure, mCall.mRequest.mRequestId, mCall.mDeadline, EventLoop::Now());
  if (mCall.mPassedOn.IsPassedOn()) {
    fields += FormatHostFailure(
      aFailure.mVerdict, RefusedByOf(aFailure.mCode), CountRuns());
  }
  mSink->SendResponse(status, "", fields, FormatFailureBody(aFailure));
}

bool
Exchange::IsCutOff(Time aNow) const
{
  return mContext.mFleet.Reach().IsCutOff(mCall.mService, aNow);
}

bool
Exchange::MayBeCutOff(Time aNow) const
{
  return IsCutOff(aNow) ||
         mContext.mFleet.Reach().IsSuspected(mCall.mService, aNow);
}

std::optional<HostChoice>
Exchange::ChoiceIfUnplaced(FailureCode aCode, Time aNow) const
{
  const bool noTarget = aCode == FailureCode::NoTarget;
  const bool unplaced = noTarget || aCode == FailureCode::Overloaded ||
                        aCode == FailureCode::GenerationLost;
  if (unplaced && IsCutOff(aNow)) {
    return HostChoice::Any;
  }
  // A suspected cut explains targets that are not ready, but not full ones.
  return noTarget && MayBeCutOff(aNow) ? std::make_optional(HostChoice::Willing)
                                       : std::nullopt;
}

void
Exchange::StateRuns(int aRuns)
{
  if (mCall.mPassedOn.IsPassedOn() &&
      aRuns > mCall.mPassedOn.mPrior.mRuns + 1) {
    mSink->SendInterimResponse(FormatRunCount(aRuns));
  }
}

std::string
Exchange::MakeRunLine(int aRuns) const
{
  const PassedOnRequest& passedOn = mCall.mPassedOn;
  return passedOn.IsPassedOn() && aRuns > passedOn.mPrior.mRuns + 1
           ? FormatRunLine(passedOn.mRunMark, aRuns)
           : std::string();
}

HandOver
Exchange::MakeHandOver(std::string aHost, int aRuns) const
{
  const PassedOnRequest& before = mCall.mPassedOn;
  HandOver handOver;
  handOver.mHost = std::move(aHost);
  handOver.mCause = mLogNote.empty() ? "cut_off" : mLogNote;
  handOver.mTries = mAttempts;
  handOver.mPrior.mRuns = aRuns;
  handOver.mPrior.mCounted = before.mPrior.mCounted || mAttempts > 0;
  handOver.mPrior.mSent = before.mPrior.mSent || mAttempts > mUnsentAttempts;
  handOver.mTimeToFirstEvent = mTimeToFirstEvent;
  handOver.mLongestEventGap = mLongestEventGap;
  return handOver;
}

std::optional<std::string>
FindServingHost(GatewayContext& aContext,
                const RoutedCall& aCall,
                Time aNow,
                HostChoice aChoice)
{
  if (aCall.mPassedOn.IsPassedOn()) {
    return std::nullopt;
  }
  return aContext.mFleet.Reach().ChooseHost(aCall.mService, {}, aNow, aChoice);
}

std::string
Exchange::FormatForwardedFields(const HttpHead& aHead)
{
  std::string fields;
  for (const HttpField& it : aHead.mFields) {
    if (!IsHopByHop(aHead, it.mName) &&
        !EqualsIgnoreCase(it.mName, "Content-Length") &&
        !platform::IsGatewayOnlyField(it.mName) &&
        !platform::IsAskOfTarget(aHead, it.mName) && !IsHostField(it.mName)) {
      AppendField(fields, it.mName, it.mValue);
    }
  }
  return fields;
}

void
Exchange::LogCompletion(const char* aOutcome,
                        int aStatus,
                        const std::string& aReason)
{
  const auto elapsed = EventLoop::Now() - mCall.mArrivedAt;
  mContext.mMetrics.OnRequestEnd(mCall.mRoute->mKind, aStatus, elapsed);
  Log(LogLevel::Info,
      "request",
      aOutcome,
      { { "request", mCall.mRequest.mRequestId },
        { "kind", std::string(NameOf(mCall.mRoute->mKind)) },
        { "route", mCall.mRoute->mName },
        { "workspace", mCall.mWorkspace },
        { "content", ToHex(mCall.mContent.mHash) },
        { "configuration", std::to_string(mCall.mRouting->mVersion) },
        { "status", std::to_string(aStatus) },
        { "target", mLastTarget },
        { "host", mServingHost },
        { "from", mCall.mPassedOn.mFrom },
        { "tries", std::to_string(mAttempts) },
        { "ms", std::to_string(static_cast<int>(ToMilliseconds(elapsed))) },
        { "first_ms",
          mTimeToFirstEvent ? std::to_string(static_cast<int>(
                                ToMilliseconds(*mTimeToFirstEvent)))
                            : std::string() },
        { "pause_ms",
          std::to_string(static_cast<int>(ToMilliseconds(mLongestEventGap))) },
        { "note", mLogNote },
        { "reason", aReason } });
}

platform::AttemptFields
Exchange::MakeAttemptFields(const std::string& aTarget, Time aNow) const
{
  platform::AttemptFields fields;
  fields.mTarget = aTarget;
  fields.mWorkspace = mCall.mWorkspace;
  fields.mTimeLeft = std::chrono::duration_cast<Duration>(
    std::max(mCall.mDeadline - aNow, Time::duration::zero()));
  return fields;
}

void
Exchange::LogAttemptFailure(const std::string& aAfterEvent) const
{
  Log(LogLevel::Info,
      "request",
      "attempt failed",
      { { "request", mCall.mRequest.mRequestId },
        { "content", ToHex(mCall.mContent.mHash) },
        { "target", mLastTarget },
        { "after_event", aAfterEvent },
        { "note", mLogNote } });
}

void
Exchange::LogSilentTargetKept() const
{
  mContext.mMetrics.Add(GatewayCounter::SilentTargetsKept);
  Log(LogLevel::Info,
      "request",
      "waiting for a silent target",
      { { "request", mCall.mRequest.mRequestId },
        { "target", mLastTarget },
        { "tries", std::to_string(mAttempts) },
        { "max_tries", std::to_string(mCall.mRoute->mMaxAttempts) } });
}

void
Exchange::LogTentativeAttempt(const std::string& aTarget) const
{
  mContext.mMetrics.Add(GatewayCounter::TentativeAttempts);
  Log(LogLevel::Info,
      "request",
      "asking another target beside the silent one",
      { { "request", mCall.mRequest.mRequestId },
        { "target", mLastTarget },
        { "other", aTarget },
        { "try", std::to_string(mAttempts) } });
}

void
Exchange::LogTentativeEnd(const std::string& aNote) const
{
  Log(LogLevel::Info,
      "request",
      "staying at the silent target",
      { { "request", mCall.mRequest.mRequestId },
        { "target", mLastTarget },
        { "other", mTentative->Target() },
        { "cause", aNote } });
}

bool
Exchange::AbandonTentative()
{
  const RefPtr<TentativeAttempt> tentative = std::exchange(mTentative, {});
  if (tentative == nullptr) {
    return false;
  }
  const bool sent = tentative->Abandon();
  RecordAttemptEnd(tentative->Target(),
                   sent ? AttemptOutcome::GivenUp : AttemptOutcome::Released);
  return sent;
}

void
Exchange::LogOversizedAnswer(std::size_t aBytes) const
{
  Log(LogLevel::Warn,
      "request",
      "gave up an answer that holds too much memory",
      { { "request", mCall.mRequest.mRequestId },
        { "target", mLastTarget },
        { "bytes", std::to_string(aBytes) },
        { "all_answers", std::to_string(mContext.mAnswerBuffers.Total()) },
        { "limit", std::to_string(mContext.mAnswerBuffers.Limit()) } });
}

bool
ImpliesNotRun(int aStatus)
{
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

Failure
MayHaveRunFailure()
{
  Failure failure;
  failure.mCode = FailureCode::OutcomeUnknown;
  failure.mVerdict = RunVerdict::OutcomeUnknown;
  failure.mMessage = "the target reported a failure; the request may have run";
  return failure;
}

int
ToHttpStatus(const Failure& aFailure)
{
  if (aFailure.mVerdict == RunVerdict::NotRun) {
    return 503;
  }
  return aFailure.mCode == FailureCode::DeadlineExceeded ? 504 : 502;
}

std::string
FormatFailureFields(const Failure& aFailure,
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
    const Duration after =
      LimitRetryAfter(aFailure.mRetryAfter, aDeadline, aNow);
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.2f", ToMilliseconds(after) / 1000);
    AppendField(fields, "Retry-After", buf);
  }
  return fields;
}

Duration
LimitRetryAfter(Duration aAfter, Time aDeadline, Time aNow)
{
  const auto left = std::chrono::duration_cast<Duration>(aDeadline - aNow);
  return std::min(aAfter,
                  std::max(Duration::zero(), left / kRetryAfterDivisor));
}

std::string
FormatFailureBody(const Failure& aFailure)
{
  // Codes, verdicts and messages are constants of the gateway and need no
  // escaping.
  return R"({"error":{"code":")" + std::string(NameOf(aFailure.mCode)) +
         R"(","message":")" + aFailure.mMessage + R"(","run":")" +
         std::string(NameOf(aFailure.mVerdict)) + "\"}}\n";
}

void
ReportAttemptFailure(TargetTable& aTable,
                     const std::string& aTarget,
                     AttemptFailure aFailure,
                     Time aNow)
{
  if (aFailure != AttemptFailure::Broken) {
    aTable.OnAttemptNotReceived(aTarget);
  }
  switch (aFailure) {
    case AttemptFailure::Refused:
      aTable.OnRefused(aTarget, aNow);
      break;
    case AttemptFailure::Unreachable:
      aTable.OnUnresponsive(aTarget, aNow);
      break;
    case AttemptFailure::NoDescriptor:
      // Says nothing about the target.
    case AttemptFailure::Restarted:
      // Known from its report.
      break;
    case AttemptFailure::Broken:
      aTable.OnConnectionBroken(aTarget, aNow);
      break;
  }
}

void
ReportRejection(GatewayContext& aContext,
                const std::string& aTarget,
                const platform::TargetResponse& aResponse,
                Time aNow)
{
  if (aResponse.mMisdirected) {
    aContext.mFleet.OnTargetGone(aTarget, aNow);
    aContext.mProber.IdentifyReplacement(aTarget, aResponse.mTarget);
  } else {
    aContext.mFleet.Targets().OnAttemptRejected(aTarget, aNow);
  }
}

} // namespace quetzalquay
