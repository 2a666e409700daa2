#include "gateway/PassedOnExchange.h"

#include "core/Hash.h"
#include "gateway/HostChecks.h"
#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Limit for establishing a connection to another host.
constexpr Duration kHostConnectTimeout = milliseconds(200);

// The serving host gets this much less time, so that its answer arrives before
// the deadline.
constexpr Duration kWayTime = milliseconds(20);
constexpr int kWayDivisor = 10;

// A host that has the request is asked whether it answers after a silence of
// this length, and again at this interval.
constexpr Duration kSilenceTime = milliseconds(400);
constexpr Duration kCheckInterval = milliseconds(1000);

// Interval at which a stream that no host can serve seeks one, and the longest
// time between two of its events.
constexpr Duration kSeekInterval = milliseconds(100);
constexpr Duration kMaxSeekTime = milliseconds(10000);

// Longest event of a stream.
constexpr std::size_t kMaxEventBytes = 1U << 20U;

constexpr GatewayCounter kEndCounters[] = {
  GatewayCounter::PassingOnUnreachable,
  GatewayCounter::PassingOnRefused,
  GatewayCounter::PassingOnFailed,
  GatewayCounter::PassingOnLost,
};

PassedOnCall::Options
MakeOptions(const RoutedCall& aCall, const HandOver& aHandOver)
{
  const Route& route = *aCall.mRoute;
  PassedOnCall::Options options;
  options.mRepeatable = route.mKind == CallKind::Stream
                          ? route.mResumable
                          : route.mKind == CallKind::Idempotent;
  options.mMaxRuns = route.mMaxAttempts;
  options.mRuns = aHandOver.mPrior.mRuns;
  options.mMayHaveRun = aHandOver.mMayHaveRun;
  options.mDeadline = aCall.mDeadline;
  return options;
}

} // namespace

PassedOnExchange::PassedOnExchange(GatewayContext& aContext,
                                   RoutedCall aCall,
                                   HandOver aHandOver,
                                   ResponseSink& aSink)
  : Exchange(aContext, std::move(aCall), aSink)
  , mHandOver(std::move(aHandOver))
  , mStateMachine(MakeOptions(mCall, mHandOver))
  , mBuffer(aContext.mAnswerBuffers)
  , mBegun(mHandOver.mTimeToFirstEvent.has_value())
  , mTimer(aContext.mLoop, [this] { OnTimer(); })
{
  if (mCall.mRoute->mKind == CallKind::Stream) {
    mRunMark =
      ToHex(StableHash(mCall.mRequest.mRequestId,
                       StableHash(aContext.mHost, aContext.mFleet.StartId())));
  }
  mAttempts = mHandOver.mTries;
  mLogNote = mHandOver.mCause;
  mForwardedHead.mStatus = mHandOver.mStatus;
  mTimeToFirstEvent = mHandOver.mTimeToFirstEvent;
  mLongestEventGap = mHandOver.mLongestEventGap;
}

PassedOnExchange::~PassedOnExchange()
{
  ReleaseHost();
}

void
PassedOnExchange::Start()
{
  mContext.mMetrics.Add(GatewayCounter::RequestsPassedOn);
  Send(mHandOver.mHost);
}

void
PassedOnExchange::Send(const std::string& aHost)
{
  const Time now = EventLoop::Now();
  mHost = aHost;
  mServingHost = aHost;
  ++mAttempt;
  mHasProgress = false;
  mResponseHead = HttpHead();
  mResponseInfo = platform::TargetResponse();
  mAnswer = PassedOnAnswer();
  mResponseIsStream = false;
  mEventParser.Clear();
  mHandOver.mEvents.BeginRun();
  mStateMachine.OnTry(aHost);
  mContext.mFleet.Reach().OnPassedOn(aHost);
  LogPassedOn(now);
  // A host may be closing an idle connection just now. A request that may run
  // at most once could not be sent again then.
  mConnection = IsRepeatable() ? mContext.mHostPool.Acquire(aHost)
                               : mContext.mHostPool.Connect(aHost);
  const Time::duration left = mCall.mDeadline - now;
  const Time::duration way =
    std::min<Time::duration>(kWayTime, left / kWayDivisor);
  if (mConnection == nullptr || left <= Time::duration::zero()) {
    mConnection.reset();
    mContext.mLoop.Defer(
      [self = RefPtr<PassedOnExchange>(this), attempt = mAttempt] {
        if (!self->mDone && attempt == self->mAttempt) {
          self->mContext.mFleet.Reach().OnHostFailed(self->mHost,
                                                     EventLoop::Now());
          self->EndAttempt(PassedOnEnd::Unreachable, "host_unknown");
        }
      });
    return;
  }
  PassedOnRequest request;
  request.mFrom = mContext.mHost;
  request.mConfiguration = mCall.mRouting->mVersion;
  request.mAge = std::chrono::duration_cast<Duration>(now - mCall.mArrivedAt);
  request.mService = mCall.mService;
  request.mSoftwareVersion = mHandOver.mSoftwareVersion;
  request.mResumed = mBegun;
  request.mTries = mHandOver.mTries;
  request.mPrior = mHandOver.mPrior;
  request.mPrior.mRuns = mStateMachine.Runs();
  request.mRunMark = mRunMark;
  platform::PassedOnHead head;
  head.mTimeLeft = std::chrono::duration_cast<Duration>(left - way);
  head.mLastEventId = mHandOver.mEvents.LastId();
  head.mOwnFields = FormatPassedOnRequest(request);
  mActiveAt = now;
  mCheckAt = now + kSilenceTime;
  ScheduleTimer();
  mConnection->Send(
    platform::EncodePassedOn(mCall.mHead, head, mCall.mBody.size()),
    mCall.mBody,
    mCall.mRequest.mRequestId,
    std::min(now + kHostConnectTimeout, mCall.mDeadline),
    *this);
}

void
PassedOnExchange::LogPassedOn(Time aNow) const
{
  const auto left = std::max(mCall.mDeadline - aNow, Time::duration::zero());
  Log(
    LogLevel::Info,
    "request",
    "passed on",
    { { "request", mCall.mRequest.mRequestId },
      { "host", mHost },
      { "service", mCall.mService },
      { "cause", mLogNote },
      { "hosts", std::to_string(mAttempt) },
      { "tries", std::to_string(mHandOver.mTries) },
      { "runs", std::to_string(mStateMachine.Runs()) },
      { "after_event", mHandOver.mEvents.LastId() },
      { "left_ms", std::to_string(static_cast<int>(ToMilliseconds(left))) } });
}

// Whether the request may be sent to a further host after this one has got it.
bool
PassedOnExchange::IsRepeatable() const
{
  // A stream whose events have no IDs cannot be resumed after one.
  const bool resumable = !mBegun || !mHandOver.mEvents.LastId().empty();
  return resumable && mStateMachine.CanLeaveHost();
}

bool
PassedOnExchange::IsStreamBegun() const
{
  return mHandOver.mHeadSent;
}

void
PassedOnExchange::OnCallerDisconnected()
{
  if (mDone) {
    return;
  }
  AbandonAttempt();
  Finish();
  mContext.mMetrics.Add(GatewayCounter::CallerDisconnects);
  LogCompletion("caller_gone", 0);
}

void
PassedOnExchange::OnExit()
{
  if (!mDone) {
    const RefPtr<Exchange> self(this);
    Fail(FailureCode::Stopping, AbandonAttempt());
  }
}

// Ends the attempt in progress, if any. Returns whether the request was written
// in it.
bool
PassedOnExchange::AbandonAttempt()
{
  bool sent = false;
  if (mConnection != nullptr) {
    sent = mConnection->HasSent();
    mConnection->Abort();
    mConnection.reset();
  }
  ReleaseHost();
  return sent;
}

void
PassedOnExchange::ReleaseHost()
{
  if (!mHost.empty()) {
    mContext.mFleet.Reach().OnPassedOnEnded(std::exchange(mHost, {}));
  }
}

void
PassedOnExchange::OnInterimResponse(const HttpHead& aHead)
{
  mActiveAt = EventLoop::Now();
  if (const int runs = ParsePassedOnAnswer(aHead).mRuns; runs > 0) {
    mStateMachine.OnRunsStated(runs);
  }
}

void
PassedOnExchange::OnResponseHead(const HttpHead& aHead,
                                 const platform::TargetResponse& aResponse)
{
  mActiveAt = EventLoop::Now();
  mResponseHead = aHead;
  mResponseInfo = aResponse;
  mAnswer = ParsePassedOnAnswer(aHead);
  mResponseIsStream = mCall.mRoute->mKind == CallKind::Stream &&
                      aHead.mStatus / 100 == 2 && aResponse.mSigned;
  if (mResponseIsStream && !IsStreamBegun()) {
    mForwardedHead = aHead;
  }
  if (mResponseIsStream && !mAnswer.mSoftwareVersion.empty()) {
    mHandOver.mSoftwareVersion = mAnswer.mSoftwareVersion;
    mCall.mService = mAnswer.mService;
  }
}

void
PassedOnExchange::OnResponseBody(std::string aBody)
{
  const RefPtr<Exchange> self(this);
  mActiveAt = EventLoop::Now();
  const int attempt = mAttempt;
  if (mResponseIsStream) {
    mEventParser.Feed(aBody);
    ProcessEvents();
  } else {
    mResponseBody += aBody;
  }
  if (mDone || attempt != mAttempt || mHost.empty()) {
    return;
  }
  const std::size_t size = mResponseBody.size() + mEventParser.BufferedBytes();
  if (!mBuffer.Resize(size) || mEventParser.BufferedBytes() > kMaxEventBytes) {
    LogOversizedAnswer(size);
    mConnection->Abort();
    EndAttempt(PassedOnEnd::Lost, "oversized_answer");
  }
}

void
PassedOnExchange::ProcessEvents()
{
  const Time now = EventLoop::Now();
  bool ordered = true;
  while (ordered) {
    const auto event = mEventParser.Next();
    if (!event) {
      break;
    }
    if (const auto runs = ParseRunLine(mRunMark, event->mBytes)) {
      mStateMachine.OnRunsStated(*runs);
      continue;
    }
    ordered = AddEvent(*event, now);
  }
  Flush();
  if (!ordered && !mDone) {
    mConnection->Abort();
    EndAttempt(PassedOnEnd::Lost, "event_missing");
  }
}

bool
PassedOnExchange::AddEvent(const EventCutter::Event& aEvent, Time aNow)
{
  EventSequence& events = mHandOver.mEvents;
  const EventOrder order = events.OrderOf(aEvent.mId);
  if (order == EventOrder::Repeated) {
    events.Skip(aEvent.mId);
    return true;
  }
  if (order != EventOrder::Next) {
    return false;
  }
  events.Accept(aEvent.mId);
  if (!mTimeToFirstEvent) {
    mTimeToFirstEvent = aNow - mCall.mArrivedAt;
    mContext.mMetrics.Observe(GatewayHistogram::FirstEvent, *mTimeToFirstEvent);
  } else {
    const auto gap = aNow - mHandOver.mLastEventAt;
    mLongestEventGap = std::max(mLongestEventGap, gap);
    if (!mHasProgress) {
      mContext.mMetrics.Observe(GatewayHistogram::Resume, gap);
    }
  }
  mHandOver.mLastEventAt = aNow;
  mBegun = true;
  if (!std::exchange(mHasProgress, true)) {
    mStateMachine.OnProgress();
  }
  mOutput += aEvent.mBytes;
  return true;
}

// Formats the header lines of another host's answer that are forwarded to the
// caller: all but hop-by-hop fields, Content-Length and fields of the hosts.
std::string
PassedOnExchange::FormatAnswerFields(const HttpHead& aHead)
{
  std::string fields;
  for (const HttpField& it : aHead.mFields) {
    if (!IsHopByHop(aHead, it.mName) && !IsHostField(it.mName) &&
        !EqualsIgnoreCase(it.mName, "Content-Length")) {
      AppendField(fields, it.mName, it.mValue);
    }
  }
  return fields;
}

void
PassedOnExchange::Flush()
{
  if (!mOutput.empty()) {
    SendHead();
    mSink->SendChunk(std::exchange(mOutput, {}));
  }
}

void
PassedOnExchange::SendHead()
{
  if (!std::exchange(mHandOver.mHeadSent, true)) {
    mHandOver.mStatus = mForwardedHead.mStatus;
    mSink->StartChunkedResponse(mForwardedHead.mStatus,
                                mForwardedHead.mReason,
                                FormatAnswerFields(mForwardedHead));
  }
}

void
PassedOnExchange::OnResponseComplete()
{
  const RefPtr<Exchange> self(this);
  // The pool has the connection.
  mConnection.reset();
  if (mResponseIsStream) {
    CompleteStream();
  } else if (mAnswer.mOwnFailure) {
    HandleOwnFailure();
  } else {
    CompletePlain();
  }
}

void
PassedOnExchange::CompleteStream()
{
  // Hosts send streams in chunks, so the end of the connection says nothing.
  if (mEventParser.HasPartialEvent() || mResponseHead.mUntilClose) {
    EndAttempt(PassedOnEnd::Lost, "torn_event");
    return;
  }
  ReleaseHost();
  SendHead();
  Finish();
  LogCompletion("answered", mResponseHead.mStatus);
  mSink->EndChunkedResponse();
}

void
PassedOnExchange::CompletePlain()
{
  const bool unsignedSuccess =
    mResponseHead.mStatus / 100 == 2 && !mResponseInfo.mSigned;
  if (IsStreamBegun() || unsignedSuccess || mResponseHead.mUntilClose) {
    EndAttempt(PassedOnEnd::Lost, "unexpected_answer");
    return;
  }
  ForwardResponse();
}

void
PassedOnExchange::HandleOwnFailure()
{
  const int status = mResponseHead.mStatus;
  if (mAnswer.mNotRun && (status == 503 || status == 408)) {
    if (mAnswer.mRefusedBy == RefusedBy::Host) {
      mContext.mFleet.Reach().OnHostRefused(mHost, EventLoop::Now());
    }
    mRetryAfter = mResponseInfo.mWait;
    EndAttempt(PassedOnEnd::Refused, "host_refused");
  } else if (status == 504) {
    mStateMachine.OnEnd(PassedOnEnd::Failed, EventLoop::Now());
    ReleaseHost();
    Fail(FailureCode::DeadlineExceeded, false);
  } else if (!mAnswer.mNotRun || IsStreamBegun()) {
    EndAttempt(PassedOnEnd::Failed, "host_failed");
  } else {
    // The request itself is at fault.
    ForwardResponse();
  }
}

// Forwards a complete answer to the caller.
void
PassedOnExchange::ForwardResponse()
{
  ReleaseHost();
  Finish();
  LogCompletion("answered", mResponseHead.mStatus);
  mSink->SendResponse(mResponseHead.mStatus,
                      mResponseHead.mReason,
                      FormatAnswerFields(mResponseHead),
                      mResponseBody);
}

void
PassedOnExchange::OnAttemptFailed(AttemptFailure aFailure)
{
  const RefPtr<Exchange> self(this);
  const bool sent = aFailure == AttemptFailure::Broken;
  if (aFailure != AttemptFailure::NoDescriptor) {
    mContext.mFleet.Reach().OnHostFailed(mHost, EventLoop::Now());
  }
  EndAttempt(sent ? PassedOnEnd::Lost : PassedOnEnd::Unreachable,
             sent                                  ? "host_lost"
             : aFailure == AttemptFailure::Refused ? "host_unreachable_refused"
                                                   : "host_unreachable");
}

// Ends the attempt at a host, and sends the request to a further one if it may
// be sent again.
void
PassedOnExchange::EndAttempt(PassedOnEnd aEnd, const char* aNote)
{
  const RefPtr<Exchange> self(this);
  const Time now = EventLoop::Now();
  const bool resumable = !mBegun || !mHandOver.mEvents.LastId().empty();
  mContext.mMetrics.Add(kEndCounters[static_cast<std::size_t>(aEnd)]);
  mLogNote = aNote;
  Log(LogLevel::Info,
      "request",
      "passing on failed",
      { { "request", mCall.mRequest.mRequestId },
        { "host", mHost },
        { "end", std::string(kPassedOnEndNames.NameOf(aEnd)) },
        { "cause", aNote },
        { "status", std::to_string(mResponseHead.mStatus) },
        { "after_event", mHandOver.mEvents.LastId() } });
  mConnection.reset();
  ReleaseHost();
  std::string().swap(mResponseBody);
  mBuffer.Resize(0);
  const bool movable = mStateMachine.OnEnd(aEnd, now, mAnswer.mRuns);
  if (movable && resumable && SendToNextHost(now)) {
    return;
  }
  if (CanWait(now)) {
    Wait(now);
    return;
  }
  const bool started = aEnd == PassedOnEnd::Failed || aEnd == PassedOnEnd::Lost;
  Fail(now >= mCall.mDeadline ? FailureCode::DeadlineExceeded
       : started              ? FailureCode::OutcomeUnknown
                              : FailureCode::NoTarget,
       false);
}

bool
PassedOnExchange::SendToNextHost(Time aNow)
{
  const auto next = mContext.mFleet.Reach().ChooseHost(
    mCall.mService, mStateMachine.Tried(), aNow, HostChoice::Any);
  if (next) {
    Send(*next);
  }
  return next.has_value();
}

// Whether a stream that no host can serve now may go on later. A request that
// has not begun is refused, so that its caller can go elsewhere.
bool
PassedOnExchange::CanWait(Time aNow) const
{
  return IsStreamBegun() && !mHandOver.mEvents.LastId().empty() &&
         mStateMachine.CanRun(aNow) &&
         aNow <
           std::max(mHandOver.mLastEventAt, mCall.mArrivedAt) + kMaxSeekTime;
}

void
PassedOnExchange::Wait(Time aNow)
{
  Log(LogLevel::Info,
      "request",
      "waiting for a host",
      { { "request", mCall.mRequest.mRequestId },
        { "service", mCall.mService },
        { "after_event", mHandOver.mEvents.LastId() } });
  mSeekAt = aNow + kSeekInterval;
  ScheduleTimer();
}

// Has the stream go on at an own target if the cut has ended, else at any host.
void
PassedOnExchange::EndWait(Time aNow)
{
  mSeekAt = Time::max();
  mStateMachine.OnWaited();
  if (TakeBack(aNow) || SendToNextHost(aNow)) {
    return;
  }
  if (CanWait(aNow)) {
    mSeekAt = aNow + kSeekInterval;
    return;
  }
  Fail(FailureCode::NoTarget, false);
}

// Serves the rest of the stream here if the cut has ended. Returns whether it
// does.
bool
PassedOnExchange::TakeBack(Time aNow)
{
  if (IsCutOff(aNow) || mHandOver.mSoftwareVersion.empty()) {
    return false;
  }
  Log(LogLevel::Info,
      "request",
      "taken back",
      { { "request", mCall.mRequest.mRequestId },
        { "service", mCall.mService },
        { "after_event", mHandOver.mEvents.LastId() } });
  Finish();
  mHandOver.mTimeToFirstEvent = mTimeToFirstEvent;
  mHandOver.mLongestEventGap = mLongestEventGap;
  mCall.mRequest.mLastEventId = mHandOver.mEvents.LastId();
  mCall.mSoftwareVersion = mHandOver.mSoftwareVersion;
  mCall.mPassedOn.mPrior = { mStateMachine.Runs(), true, true };
  mSink->TakeBack(std::move(mCall), mHandOver);
  return true;
}

void
PassedOnExchange::Fail(FailureCode aCode, bool aIsSent)
{
  Finish();
  if (IsStreamBegun()) {
    LogCompletion("broken_off", mForwardedHead.mStatus);
    mSink->AbortResponse();
    return;
  }
  Failure failure = mStateMachine.MakeFailure(aCode, aIsSent);
  if (failure.mVerdict == RunVerdict::NotRun && mRetryAfter) {
    failure.mRetryAfter = *mRetryAfter;
  }
  SendFailure(failure);
}

void
PassedOnExchange::OnTimer()
{
  const RefPtr<Exchange> self(this);
  const Time now = EventLoop::Now();
  if (now >= mCall.mDeadline) {
    Fail(FailureCode::DeadlineExceeded, AbandonAttempt());
    return;
  }
  if (now >= mSeekAt) {
    EndWait(now);
  } else if (now >= mCheckAt && !mHost.empty()) {
    CheckHost();
  }
  ScheduleTimer();
}

// Asks a host that has been silent for some time whether it still answers.
void
PassedOnExchange::CheckHost()
{
  const Time due = mActiveAt + kSilenceTime;
  const Time now = EventLoop::Now();
  mCheckAt = now < due ? due : now + kCheckInterval;
  if (now < due || std::exchange(mChecking, true)) {
    return;
  }
  mContext.mHostChecks.Check(
    mHost,
    [self = RefPtr<PassedOnExchange>(this), attempt = mAttempt](bool aAnswers) {
      self->mChecking = false;
      self->OnHostChecked(attempt, aAnswers);
    });
}

void
PassedOnExchange::OnHostChecked(int aAttempt, bool aAnswers)
{
  const Time now = EventLoop::Now();
  const bool silent = now - mActiveAt >= kSilenceTime;
  if (mDone || aAttempt != mAttempt || mHost.empty() || aAnswers || !silent) {
    return;
  }
  TargetReach& reach = mContext.mFleet.Reach();
  reach.OnHostFailed(mHost, now);
  Log(
    LogLevel::Warn,
    "request",
    "serving host is silent and did not answer a check",
    { { "request", mCall.mRequest.mRequestId },
      { "host", mHost },
      { "silent_ms",
        std::to_string(static_cast<int>(ToMilliseconds(now - mActiveAt))) } });
  // The host may still answer, so it keeps a request that must not be sent
  // again or that no other host can serve.
  const bool movable =
    IsRepeatable() && mStateMachine.CanTryAnother(now) &&
    reach.ChooseHost(mCall.mService, mStateMachine.Tried(), now);
  if (!movable) {
    return;
  }
  mConnection->Abort();
  EndAttempt(PassedOnEnd::Lost, "host_silent");
}

void
PassedOnExchange::ScheduleTimer()
{
  if (!mDone) {
    const Time next = mHost.empty() ? mSeekAt : mCheckAt;
    mTimer.ScheduleAt(std::min(next, mCall.mDeadline));
  }
}

void
PassedOnExchange::Finish()
{
  mDone = true;
  mTimer.Clear();
}

} // namespace quetzalquay
