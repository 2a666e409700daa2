#include "gateway/StreamExchange.h"

#include "core/Hash.h"
#include "core/overload/Urgency.h"
#include "gateway/LimitWatch.h"
#include "gateway/StreamOriginStore.h"
#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// A target is probed after a silence of this many usual event gaps, but not
// before kMinSilenceTimeout. Together with the probe and the resumed run's
// first event, the interruption stays within the gap that callers accept.
constexpr double kSilenceGapFactor = 5.0;
constexpr Duration kMinSilenceTimeout = milliseconds(200);
constexpr Duration kProbeTimeout = milliseconds(150);

// Silence after which a probe requests the target's report, even if bytes were
// received from the target recently.
constexpr Duration kReportAfterSilence = milliseconds(900);

// Longest time between two probes of a silent target.
constexpr Duration kMaxProbeInterval = milliseconds(1200);

// Silence after which a stream whose connection is open is handed over to
// another host while this one is cut off. A sound target may pause for a second
// or so, and other hosts may have no room for the stream.
constexpr Duration kHandOverSilence = milliseconds(2000);

// A report may be this old: a run that it lacks counts as lost only after a
// longer silence.
constexpr Duration kMaxReportLag = milliseconds(500);

// Events that may be in transit. A target that reports more events than that
// beyond the received ones shows that the stream was lost on the way.
constexpr int kMaxEventsInTransit = 6;

// Longest event of a stream. Each part of it that arrives is searched for its
// end from the start.
constexpr std::size_t kMaxEventBytes = 1U << 20U;

// Longest time for which a stream's first event waits until the store knows
// where the stream began. Much less than callers accept between two events.
constexpr Duration kMaxOriginWait = milliseconds(80);

// Share of the route's objective within which a request must have been assigned
// to a target.
constexpr double kStartByShare = 0.7;

// Placeholders for the generation ID and the finish reason, which the
// platform's event stream does not carry.
constexpr char kGenerationId[] = "stream";
constexpr char kFinishReason[] = "end";

RecoveryPolicy
MakeRecoveryPolicy()
{
  RecoveryPolicy policy = RecoveryPolicy::Of(RecoveryPreset::LowLatency);
  policy.mSilenceGapFactor = kSilenceGapFactor;
  policy.mMinSilenceTimeout = kMinSilenceTimeout;
  policy.mProbeTimeout = kProbeTimeout;
  policy.mCanReattach = false;
  policy.mMaxProbeInterval = kMaxProbeInterval;
  return policy;
}

GenerationSpec
MakeGenerationSpec(const RoutedCall& aCall, bool aBegun)
{
  GenerationSpec spec;
  spec.mBegun = aBegun;
  spec.mRequestId = aCall.mRequest.mRequestId;
  spec.mIdempotent = aCall.mRoute->mResumable;
  spec.mResumable = aCall.mRoute->mResumable;
  spec.mMaxRuns = aCall.mRoute->mMaxAttempts;
  spec.mDeadline = aCall.mDeadline;
  spec.mStartBy =
    aCall.mArrivedAt + std::chrono::duration_cast<Duration>(
                         aCall.mRoute->mLatencyObjective * kStartByShare);
  spec.mPolicy = MakeRecoveryPolicy();
  spec.mPrior = aCall.mPassedOn.mPrior;
  spec.mSoftwareVersion = aCall.mSoftwareVersion;
  spec.mQuery.mService = aCall.mService;
  spec.mQuery.mResumable = aCall.mRoute->mResumable;
  spec.mQuery.mRequestId = aCall.mRequest.mRequestId;
  spec.mQuery.mWorkspace = aCall.mWorkspace;
  spec.mQuery.mContent = aCall.mContent;
  spec.mQuery.mDeadline = aCall.mDeadline;
  spec.mQuery.mPriority = aCall.mPriority;
  spec.mQuery.mPromptTokens = aCall.mRequest.mPromptTokens;
  spec.mQuery.mOutputTokens = aCall.mRequest.mOutputTokens;
  return spec;
}

} // namespace

StreamExchange::StreamExchange(GatewayContext& aContext,
                               RoutedCall aCall,
                               ResponseSink& aSink,
                               const HandOver* aTakenBack)
  : Exchange(aContext, std::move(aCall), aSink)
  , mStateMachine(MakeGenerationSpec(mCall, aTakenBack != nullptr),
                  aContext.mFleet.Chooser())
  , mTimer(aContext.mLoop,
           [this] {
             const RefPtr<Exchange> self(this);
             const Time now = EventLoop::Now();
             if (!PassOnIfStuck(now)) {
               UpdateChoiceInputs(now);
               PerformActions(mStateMachine.OnTimer(now));
             }
           })
  , mBuffer(aContext.mAnswerBuffers)
  , mCopy(aContext, mCall)
  , mEvents(mCall.mRequest.mLastEventId)
{
  if (const auto start = aContext.mNumberings[mCall.mService].Expected()) {
    mEvents.Expect(*start);
  }
  if (aTakenBack != nullptr) {
    mEvents = aTakenBack->mEvents;
    mHeadSent = aTakenBack->mHeadSent;
    mForwardedHead.mStatus = aTakenBack->mStatus;
    mAttempts = aTakenBack->mTries;
    mTimeToFirstEvent = aTakenBack->mTimeToFirstEvent;
    mLongestEventGap = aTakenBack->mLongestEventGap;
    mLastEventAt = aTakenBack->mLastEventAt;
    mLogNote = "taken_back";
  }
}

void
StreamExchange::Start()
{
  const Time now = EventLoop::Now();
  // Targets number the events of a stream from 1.
  const int events = std::max(0, static_cast<int>(mEvents.LastNumber()));
  ChoiceQuery query;
  query.mService = mCall.mService;
  query.mSoftwareVersion = mCall.mSoftwareVersion;
  const int backlog = mContext.mFleet.Targets().MinBacklogTokens(query, now);
  const auto least = mContext.mPaces[mCall.mService].MinRemainingTime(
    mCall.mRequest.mPromptTokens + backlog, events);
  if (!mHeadSent && least && now + *least > mCall.mDeadline) {
    Finish();
    const auto ms = [](Time::duration aTime) {
      return std::to_string(static_cast<int>(ToMilliseconds(aTime)));
    };
    mLogNote =
      "needs_ms_" + ms(*least) + "_left_ms_" + ms(mCall.mDeadline - now);
    Failure failure;
    failure.mCode = FailureCode::DeadlineExceeded;
    failure.mMessage = "the stream cannot complete before the deadline";
    SendFailure(failure);
    return;
  }
  PerformActions(mStateMachine.Start(now));
}

void
StreamExchange::OnCallerDisconnected()
{
  if (mDone) {
    return;
  }
  PerformActions(mStateMachine.OnCallerDisconnected(EventLoop::Now()));
  Finish();
  mContext.mMetrics.Add(GatewayCounter::CallerDisconnects);
  LogCompletion("caller_gone", 0);
}

void
StreamExchange::OnExit()
{
  PerformActions(mStateMachine.OnExit());
}

// Executes actions in order, one at a time. An action may add further ones,
// which are queued.
void
StreamExchange::PerformActions(Actions aActions)
{
  const RefPtr<Exchange> self(this);
  for (Action& it : aActions) {
    mActions.push_back(std::move(it));
  }
  if (mPerforming) {
    return;
  }
  mPerforming = true;
  while (!mActions.empty()) {
    const Action action = std::move(mActions.front());
    mActions.pop_front();
    std::visit([this](const auto& aAction) { Execute(aAction); }, action);
  }
  mPerforming = false;
  if (!mAwaitingOrigin) {
    Flush();
  }
  ScheduleTimer();
}

void
StreamExchange::Execute(const DispatchAttempt& aAction)
{
  const Time now = EventLoop::Now();
  ++mAttempts;
  if (mHeadSent) {
    const std::string line = MakeRunLine(CountRuns());
    if (!line.empty()) {
      mSink->SendChunk(line);
    }
  } else {
    StateRuns(CountRuns());
  }
  if (aAction.mTentative) {
    AskBesideSilentTarget(aAction, now);
    return;
  }
  const RunStart run = ChooseRunStart(aAction, now);
  mNextEventIndex = static_cast<int>(aAction.mTokens.size());
  BeginRun(aAction.mAttempt, aAction.mTarget, run, now);
  RecordAttemptStart(mTarget, LoadOf(run));
  const platform::AttemptFields fields = FieldsOf(run, mTarget, now);
  mConnection = mContext.mPool.Acquire(mTarget);
  if (mConnection == nullptr) {
    ++mUnsentAttempts;
    mContext.mFleet.Targets().OnAttemptNotReceived(mTarget);
    EndAttempt(AttemptEnd::Unreachable);
    return;
  }
  if (ChecksStart()) {
    mConnection->CheckStart();
  }
  mConnection->Send(
    platform::EncodeAttempt(mCall.mHead, fields, mCall.mBody.size()),
    mCall.mBody,
    mCall.mRequest.mRequestId,
    std::min(now + kTargetConnectTimeout, mCall.mDeadline),
    *this);
}

bool
StreamExchange::ChecksStart() const
{
  return mNextEventIndex > 0 || !mCall.mSoftwareVersion.empty();
}

StreamExchange::RunStart
StreamExchange::ChooseRunStart(const DispatchAttempt& aAction, Time aNow)
{
  RunStart run;
  run.mSoftwareVersion = aAction.mSoftwareVersion;
  run.mCopyAt = mCopy.FindHolder(aNow);
  if (!aAction.mTokens.empty()) {
    run.mCopy = mCopy.FindCopyAt(aAction.mTarget, aNow);
  }
  run.mHolder = mCopy.ChooseHolder(aAction.mTarget, aNow);
  return run;
}

AttemptLoad
StreamExchange::LoadOf(const RunStart& aRun) const
{
  AttemptLoad load;
  load.mPromptTokens = aRun.mCopy ? 0 : mCall.mRequest.mPromptTokens;
  load.mOutputTokens = mCall.mRequest.mOutputTokens +
                       (aRun.mCopy ? mCall.mRequest.mPromptTokens : 0);
  return load;
}

platform::AttemptFields
StreamExchange::FieldsOf(const RunStart& aRun,
                         const std::string& aTarget,
                         Time aNow) const
{
  platform::AttemptFields fields = MakeAttemptFields(aTarget, aNow);
  fields.mLastEventId = mEvents.LastId();
  fields.mCopy = aRun.mCopy;
  fields.mCopyHolderAddress = aRun.mHolder.mAddress;
  fields.mUrgency =
    UrgencyAtTarget(*mCall.mRouting, mCall.mService, mCall.mPriority);
  return fields;
}

// Makes an attempt the current one.
void
StreamExchange::BeginRun(int aAttempt,
                         const std::string& aTarget,
                         const RunStart& aRun,
                         Time aSentAt)
{
  mAttempt = aAttempt;
  mTarget = aTarget;
  mLastTarget = mTarget;
  mRun = aRun;
  mResponseHead = HttpHead();
  std::string().swap(mResponseBody);
  mBuffer.Resize(0);
  mResponseIsStream = false;
  mAttemptOpen = true;
  mAttemptSentAt = aSentAt;
  mAttemptEvents = 0;
  mProgressReported = false;
  mComputesPrompt = !aRun.mCopy;
  mEventParser.Clear();
  mEvents.BeginRun();
  LogDispatch(aRun.mCopyAt, !mComputesPrompt, EventLoop::Now());
  if (aRun.mCopy) {
    mCopy.MarkUsed(mTarget);
  }
  mCopy.StartRun(mTarget, aRun.mHolder);
  if (mNextEventIndex > 0) {
    mContext.mMetrics.Add(mComputesPrompt ? GatewayCounter::ResumedWithoutCopy
                                          : GatewayCounter::ResumedFromCopy);
  }
}

// Sends the stream to another target. The connection to the silent one stays
// open and may go on until an AdoptAttempt action.
void
StreamExchange::AskBesideSilentTarget(const DispatchAttempt& aAction, Time aNow)
{
  mTentativeRun = ChooseRunStart(aAction, aNow);
  LogTentativeAttempt(aAction.mTarget);
  TentativeAttempt::Callbacks callbacks;
  callbacks.mOnAccepted = [this, attempt = aAction.mAttempt] {
    const RefPtr<Exchange> self(this);
    PerformActions(mStateMachine.OnAttemptAccepted(attempt, EventLoop::Now()));
  };
  callbacks.mOnEnded = [this](const TentativeAttempt::Result& aResult) {
    EndTentative(aResult);
  };
  mTentative = MakeRef<TentativeAttempt>(
    mContext, mCall, aAction.mAttempt, aAction.mTarget, std::move(callbacks));
  RecordRunStart(aAction.mTarget);
  mTentative->Send(FieldsOf(mTentativeRun, aAction.mTarget, aNow),
                   ChecksStart(),
                   LoadOf(mTentativeRun));
}

void
StreamExchange::EndTentative(const TentativeAttempt::Result& aResult)
{
  const RefPtr<Exchange> self(this);
  LogTentativeEnd(aResult.mNote);
  const RefPtr<TentativeAttempt> tentative = std::exchange(mTentative, {});
  RecordAttemptEnd(tentative->Target(), aResult.mOutcome);
  const bool received = aResult.mEnd != AttemptEnd::Refused &&
                        aResult.mEnd != AttemptEnd::Unreachable;
  if (received && mTentativeRun.mCopy) {
    mCopy.MarkUsed(tentative->Target());
  }
  const Time now = EventLoop::Now();
  UpdateChoiceInputs(now);
  PerformActions(
    mStateMachine.OnAttemptEnded(tentative->Number(), aResult.mEnd, now));
}

// Gives up the tentative attempt; the silent target keeps the stream.
void
StreamExchange::CancelTentative()
{
  LogTentativeEnd("cancelled");
  const std::string target = mTentative->Target();
  if (!AbandonTentative()) {
    mStateMachine.OnAttemptNotSent();
  } else if (mTentativeRun.mCopy) {
    mCopy.MarkUsed(target);
  }
}

void
StreamExchange::Execute(const AdoptAttempt& aAction)
{
  const RefPtr<TentativeAttempt> tentative = std::exchange(mTentative, {});
  mContext.mMetrics.Add(GatewayCounter::TentativeAttemptsAdopted);
  BeginRun(
    aAction.mAttempt, tentative->Target(), mTentativeRun, tentative->SentAt());
  mConnection = tentative->TakeOver(*this);
  tentative->Replay(*this);
}

void
StreamExchange::Execute(const FenceAttempt& aAction)
{
  // No other process can hold this request, so there is nothing to fence; but a
  // stream that is not resumable must never start twice.
  PerformActions(mStateMachine.OnFenceResult(
    aAction.mAttempt, FenceResult::Refused, EventLoop::Now()));
}

void
StreamExchange::Execute(const ReattachStream& aAction)
{
  // These targets cannot reattach a caller to a running stream. The silent
  // connection is closed, and the stream resumes after its last event.
  mLogNote = "silent_connection";
  if (mConnection != nullptr) {
    mConnection->Abort();
  }
  ReleaseAttempt(AttemptOutcome::Lost);
  const Time now = EventLoop::Now();
  UpdateChoiceInputs(now);
  PerformActions(mStateMachine.OnAttemptEnded(
    aAction.mAttempt, AttemptEnd::UnknownStream, now));
}

void
StreamExchange::Execute(const ProbeTarget& aAction)
{
  const Time now = EventLoop::Now();
  const bool tentative =
    mTentative != nullptr && aAction.mAttempt == mTentative->Number();
  // Only an answer to this probe shows that the target of a tentative attempt
  // is not silent, too.
  const bool report =
    tentative ||
    now - std::max(mAttemptSentAt, mLastEventAt) >= kReportAfterSilence;
  mContext.mProber.Probe(
    aAction.mTarget,
    report,
    aAction.mProbeDeadline,
    [self = RefPtr<StreamExchange>(this),
     aAction](ProbeResult aResult, const platform::TargetReport* aReport) {
      self->OnProbed(aAction, aResult, aReport);
    });
}

void
StreamExchange::OnProbed(const ProbeTarget& aAction,
                         ProbeResult aResult,
                         const platform::TargetReport* aReport)
{
  const Time now = EventLoop::Now();
  const int attempt = aAction.mAttempt;
  ProbeResult result = aResult;
  if (mTentative != nullptr && attempt == mTentative->Number()) {
    // What a target answers comes before what its report says. A live target
    // that is full refuses the probe's connection.
    if (!mTentative->IsTurnedAway()) {
      const bool refused = result == ProbeResult::Dead && aReport == nullptr;
      if (!mTentative->IsSent()) {
        result = ProbeResult::NoAnswer;
      } else if (refused) {
        result = ProbeResult::Alive;
      }
      PerformActions(mStateMachine.OnProbeResult(attempt, result, now));
    }
    return;
  }
  if (mDone || attempt != mAttempt || !mAttemptOpen) {
    return;
  }
  if (result != ProbeResult::Alive) {
    mLogNote = "target_silent";
    if (IsSilentForLong(now) && IsCutOff(now) && PassOn(AttemptEnd::Broken)) {
      return;
    }
  } else if (aReport != nullptr && IsRunLost(*aReport, now)) {
    mLogNote = "run_lost";
    result = ProbeResult::RunLost;
  }
  if (result == ProbeResult::Dead && mCall.mRoute->mResumable) {
    if (aReport == nullptr) {
      // A live target that is full refuses connections, too.
      result = ProbeResult::NoAnswer;
    } else {
      // The target has restarted. Closing the connection makes sure that no
      // more events of this attempt arrive.
      mConnection->Abort();
      ReleaseAttempt(AttemptOutcome::Lost);
    }
  }
  UpdateChoiceInputs(now);
  const bool known = mStateMachine.IsTargetSilent();
  const Actions actions = mStateMachine.OnProbeResult(attempt, result, now);
  if (mStateMachine.IsTargetSilent() && !known) {
    LogSilentTargetKept();
  }
  PerformActions(actions);
}

// Whether a target's report shows that the current attempt's events will not
// arrive.
bool
StreamExchange::IsRunLost(const platform::TargetReport& aReport,
                          Time aNow) const
{
  const auto run =
    std::find_if(aReport.mRuns.begin(),
                 aReport.mRuns.end(),
                 [&](const platform::ReportedRun& aRun) {
                   return aRun.mRequestId == mCall.mRequest.mRequestId;
                 });
  if (run != aReport.mRuns.end()) {
    // A resumed run may count its events from the start of the stream.
    const long long known =
      std::max<long long>(mAttemptEvents, mEvents.LastNumber());
    return run->mEventCount > known + kMaxEventsInTransit;
  }
  const Time since = mAttemptEvents > 0 ? mLastEventAt : mAttemptSentAt;
  const bool old = aNow - since >= kMaxReportLag;
  const bool idle = aReport.mRunning == 0 && aReport.mWaiting == 0;
  return old && (mAttemptEvents > 0 || idle);
}

void
StreamExchange::Execute(const CancelAttempt& aAction)
{
  if (mTentative != nullptr && aAction.mAttempt == mTentative->Number()) {
    CancelTentative();
    return;
  }
  GiveUpAttempt();
}

void
StreamExchange::Execute(const DeliverText& aAction)
{
  mOutput += aAction.mText;
}

void
StreamExchange::Execute(const DiscardText&)
{
  mOutput.clear();
}

void
StreamExchange::Execute(const CompleteResponse&)
{
  Flush();
  if (mDone) {
    return;
  }
  SendHead();
  RecordPace(EventLoop::Now());
  if (const auto start = mEvents.ObservedStart()) {
    mContext.mNumberings[mCall.mService].OnWhole(*start);
  }
  ReleaseAttempt(OutcomeOf(mResponseHead));
  Finish(true);
  LogCompletion("answered", mForwardedHead.mStatus);
  mSink->EndChunkedResponse();
}

void
StreamExchange::Execute(const FailResponse& aAction)
{
  Flush();
  if (mDone) {
    return;
  }
  const auto choice =
    ChoiceIfUnplaced(aAction.mFailure.mCode, EventLoop::Now());
  if (choice && PassOn(std::nullopt, *choice)) {
    return;
  }
  BreakOff(aAction.mFailure);
}

// Ends the stream without its end: with an error, or by closing the connection
// if events have been sent.
void
StreamExchange::BreakOff(const Failure& aFailure)
{
  GiveUpAttempt();
  Finish();
  if (!mHeadSent) {
    SendFailure(aFailure);
    return;
  }
  mLogNote = std::string(NameOf(aFailure.mCode));
  LogCompletion("broken_off", mForwardedHead.mStatus);
  mSink->AbortResponse();
}

void
StreamExchange::OnResponseHead(const HttpHead& aHead,
                               const platform::TargetResponse& aResponse)
{
  mContext.mLimits.OnAnswer(mTarget, aResponse);
  mResponseHead = aHead;
  mResponseInfo = aResponse;
  mResponseIsStream = aHead.mStatus / 100 == 2 && aResponse.mSigned;
  TargetTable& targets = mContext.mFleet.Targets();
  if (aResponse.mRunning && aResponse.mWaiting) {
    targets.OnLoadReport(mTarget,
                         targets.IncarnationOf(mTarget),
                         "ready",
                         *aResponse.mRunning,
                         *aResponse.mWaiting,
                         EventLoop::Now());
  }
  if (mResponseIsStream && !mHeadSent && mNextEventIndex == 0) {
    mForwardedHead = aHead;
  }
}

void
StreamExchange::OnResponseBody(std::string aBody)
{
  const RefPtr<Exchange> self(this);
  const int attempt = mAttempt;
  if (mResponseIsStream) {
    mEventParser.Feed(aBody);
    ProcessEvents();
  } else {
    mResponseBody += aBody;
  }
  if (mAttemptOpen && attempt == mAttempt && !CanBuffer()) {
    std::string().swap(mResponseBody);
    mEventParser.Clear();
    mBuffer.Resize(0);
    mConnection->Abort();
    OnAttemptFailed(AttemptFailure::Broken);
  }
}

// Whether the bytes that are held of the current attempt's answer may be held.
bool
StreamExchange::CanBuffer()
{
  const std::size_t size = mResponseBody.size() + mEventParser.BufferedBytes();
  const bool allowed =
    mBuffer.Resize(size) && mEventParser.BufferedBytes() <= kMaxEventBytes;
  if (!allowed) {
    LogOversizedAnswer(size);
  }
  return allowed;
}

void
StreamExchange::ProcessEvents()
{
  const int attempt = mAttempt;
  while (mAttemptOpen && attempt == mAttempt) {
    const auto event = mEventParser.Next();
    if (!event) {
      break;
    }
    ProcessEvent(*event);
  }
}

void
StreamExchange::ProcessEvent(const EventCutter::Event& aEvent)
{
  const Time now = EventLoop::Now();
  const EventOrder order = mEvents.OrderOf(aEvent.mId);
  if (order != EventOrder::Next) {
    OnUnusualEvent(aEvent, order);
    return;
  }
  StreamEvent event;
  event.mRequestId = mCall.mRequest.mRequestId;
  event.mAttempt = mAttempt;
  event.mGeneration = kGenerationId;
  event.mIndex = mNextEventIndex;
  event.mToken = static_cast<int>(mEvents.NumberOf(aEvent.mId));
  event.mText = aEvent.mBytes;
  const std::size_t known = mStateMachine.Tokens().size();
  Actions actions = mStateMachine.OnEvent(event, now);
  if (mStateMachine.Tokens().size() > known) {
    mEvents.Accept(aEvent.mId);
    RecordEvent(now);
  }
  PerformActions(std::move(actions));
}

// Handles an event that does not follow the last one: passes over a repeated
// one, and ends an attempt whose events are not those of a whole stream.
void
StreamExchange::OnUnusualEvent(const EventCutter::Event& aEvent,
                               EventOrder aOrder)
{
  if (aOrder == EventOrder::Repeated) {
    mEvents.Skip(aEvent.mId);
    return;
  }
  if (mEvents.IsAtStart()) {
    mContext.mNumberings[mCall.mService].OnOther();
  }
  if (aOrder == EventOrder::Unclear) {
    LogAttemptFailure(aEvent.mId);
    mActions.clear();
    mStateMachine.OnCallerDisconnected(EventLoop::Now());
    Failure failure;
    failure.mCode = FailureCode::GenerationLost;
    failure.mMessage = "the events of the stream are out of order";
    Flush();
    if (!mDone) {
      BreakOff(failure);
    }
    return;
  }
  mLogNote = "event_missing";
  mConnection->Abort();
  EndAttempt(AttemptEnd::Broken);
}

// Updates metrics, target statistics and the attempt's state after an event has
// been accepted.
void
StreamExchange::RecordEvent(Time aNow)
{
  TargetTable& targets = mContext.mFleet.Targets();
  const bool first = mNextEventIndex == 0 || mAwaitingResume;
  if (mNextEventIndex == 0) {
    RecordOrigin(aNow);
  }
  if (!mTimeToFirstEvent) {
    mTimeToFirstEvent = aNow - mCall.mArrivedAt;
    mContext.mMetrics.Observe(GatewayHistogram::FirstEvent, *mTimeToFirstEvent);
  } else {
    mLongestEventGap = std::max(mLongestEventGap, aNow - mLastEventAt);
  }
  if (first) {
    targets.OnFirstToken(
      mTarget,
      std::chrono::duration_cast<Duration>(aNow - mCall.mArrivedAt),
      mCall.mContent.mHash);
  } else {
    targets.OnTokenGap(
      mTarget, std::chrono::duration_cast<Duration>(aNow - mLastEventAt));
  }
  if (mAwaitingResume) {
    mAwaitingResume = false;
    mContext.mMetrics.Observe(GatewayHistogram::Resume, aNow - mLastEventAt);
  }
  mLastEventAt = aNow;
  if (mAttemptEvents++ == 0) {
    RecordFirstOutput(mTarget);
    mAttemptFirstEventAt = aNow;
    if (mComputesPrompt) {
      mContext.mPaces[mCall.mService].OnFirstEvent(
        mCall.mRequest.mPromptTokens,
        std::chrono::duration_cast<Duration>(aNow - mAttemptSentAt));
    }
  }
  if (!mProgressReported &&
      aNow - mAttemptFirstEventAt >= SuspectRegistry::kProgressTime) {
    mProgressReported = true;
    targets.OnProgress(mTarget, mCall.mContent, aNow);
  }
  mCopy.OnEvent(aNow);
  ++mNextEventIndex;
}

void
StreamExchange::OnResponseComplete()
{
  const RefPtr<Exchange> self(this);
  const Time now = EventLoop::Now();
  if (mResponseInfo.mNotRun) {
    mLogNote = mResponseInfo.mLeaving ? "target_leaving" : "turned_away";
    ReportRejection(mContext, mTarget, mResponseInfo, now);
    EndAttempt(mResponseInfo.mMisdirected ? AttemptEnd::Refused
                                          : AttemptEnd::NotStarted);
    return;
  }
  if (!mResponseIsStream) {
    const int kind = mResponseHead.mStatus / 100;
    mLogNote = "status_" + std::to_string(mResponseHead.mStatus);
    if (mResponseHead.mStatus >= kFirstServerErrorStatus) {
      RecordRunEnd(mTarget, RunEnd::Failed);
    }
    if (kind == 4 && !mHeadSent) {
      ForwardErrorResponse();
    } else {
      EndAttempt(AttemptEnd::Broken);
    }
    return;
  }
  if (mEventParser.HasPartialEvent()) {
    mLogNote = "torn_event";
    EndAttempt(AttemptEnd::Broken);
    return;
  }
  StreamEvent event;
  event.mRequestId = mCall.mRequest.mRequestId;
  event.mAttempt = mAttempt;
  event.mGeneration = kGenerationId;
  event.mIndex = mNextEventIndex;
  event.mFinishReason = kFinishReason;
  mConnection.reset();
  PerformActions(mStateMachine.OnEvent(event, now));
}

void
StreamExchange::OnAttemptFailed(AttemptFailure aFailure)
{
  const RefPtr<Exchange> self(this);
  const Time now = EventLoop::Now();
  ReportAttemptFailure(mContext.mFleet.Targets(), mTarget, aFailure, now);
  const bool sent = aFailure == AttemptFailure::Broken;
  mUnsentAttempts += sent ? 0 : 1;
  if (!sent && IsRetry()) {
    mContext.mFleet.Targets().ReturnRetry(mCall.mService);
  }
  switch (aFailure) {
    case AttemptFailure::Refused:
      mLogNote = "target_refused";
      EndAttempt(AttemptEnd::Refused);
      break;
    case AttemptFailure::Unreachable:
      mLogNote = "target_unreachable";
      EndAttempt(AttemptEnd::Unreachable);
      break;
    case AttemptFailure::Restarted:
      mLogNote = "target_restarted";
      EndAttempt(AttemptEnd::Refused);
      break;
    case AttemptFailure::NoDescriptor:
      mLogNote = "no_descriptor";
      EndAttempt(AttemptEnd::Unreachable);
      break;
    case AttemptFailure::Broken:
      mLogNote = "target_lost";
      EndAttempt(AttemptEnd::Broken);
      break;
  }
}

void
StreamExchange::EndAttempt(AttemptEnd aEnd)
{
  const bool lost = aEnd == AttemptEnd::Broken;
  if (lost) {
    LogAttemptFailure(mEvents.LastId());
  }
  ReleaseAttempt(lost ? AttemptOutcome::Lost : AttemptOutcome::Released);
  const Time now = EventLoop::Now();
  const bool unreached =
    aEnd == AttemptEnd::Unreachable || aEnd == AttemptEnd::Refused;
  const bool leaves = lost ? IsCutOff(now) : unreached && MayBeCutOff(now);
  if (leaves && PassOn(aEnd)) {
    return;
  }
  UpdateChoiceInputs(now);
  PerformActions(mStateMachine.OnAttemptEnded(mAttempt, aEnd, now));
}

// Has another host serve the stream from here on if it may be sent again after
// the current attempt, if there is one, has ended in the given way. Returns
// whether there is a host.
bool
StreamExchange::PassOn(std::optional<AttemptEnd> aEnd, HostChoice aChoice)
{
  // Another target that has been asked decides first.
  if (mTentative != nullptr) {
    return false;
  }
  const Time now = EventLoop::Now();
  const auto runs = mStateMachine.RunsIfPassedOn(aEnd, IsCutOff(now));
  // A stream whose events have no IDs cannot be resumed after one.
  const bool resumable = mNextEventIndex == 0 || !mEvents.LastId().empty();
  auto host = runs && resumable ? FindServingHost(mContext, mCall, now, aChoice)
                                : std::nullopt;
  if (!host) {
    return false;
  }
  const RefPtr<Exchange> self(this);
  Flush();
  if (mDone) {
    return true;
  }
  HandOver handOver = MakeHandOver(std::move(*host), *runs);
  handOver.mMayHaveRun =
    mStateMachine.MayHaveStarted() || aEnd == AttemptEnd::Broken;
  handOver.mEvents = mEvents;
  handOver.mHeadSent = mHeadSent;
  handOver.mStatus = mForwardedHead.mStatus;
  handOver.mLastEventAt = mLastEventAt;
  if (IsRegisteredVersion(mStateMachine.SoftwareVersion())) {
    handOver.mSoftwareVersion = mStateMachine.SoftwareVersion();
  }
  mStateMachine.OnCallerDisconnected(now);
  mActions.clear();
  GiveUpAttempt();
  EndHere(false);
  mSink->PassOn(std::move(mCall), std::move(handOver));
  return true;
}

// Passes the stream on if this host is cut off and no target is running it, as
// far as that can be known.
bool
StreamExchange::PassOnIfStuck(Time aNow)
{
  if (mDone || !IsCutOff(aNow)) {
    return false;
  }
  if (!mAttemptOpen) {
    return PassOn(std::nullopt);
  }
  return mStateMachine.IsTargetSilent() && IsSilentForLong(aNow) &&
         PassOn(AttemptEnd::Broken);
}

// Whether the current attempt has brought nothing for longer than a sound
// target pauses.
bool
StreamExchange::IsSilentForLong(Time aNow) const
{
  return aNow - std::max(mAttemptSentAt, mLastEventAt) >= kHandOverSilence;
}

// Ends the current attempt, if any, before its end.
void
StreamExchange::GiveUpAttempt()
{
  const bool sent = mConnection != nullptr && mConnection->HasSent();
  if (mConnection != nullptr) {
    mConnection->Abort();
  }
  ReleaseAttempt(sent ? AttemptOutcome::GivenUp : AttemptOutcome::Released);
}

// Ends the current attempt in the target table and ends the run of its KV
// cache copy.
void
StreamExchange::ReleaseAttempt(AttemptOutcome aOutcome)
{
  mConnection.reset();
  mCopy.EndRun();
  if (!mAttemptOpen) {
    return;
  }
  mAttemptOpen = false;
  const bool finished = aOutcome == AttemptOutcome::Finished ||
                        aOutcome == AttemptOutcome::FinishedByClose;
  if (!finished && mNextEventIndex > 0 && !mDone) {
    mAwaitingResume = true;
    mContext.mMetrics.Add(GatewayCounter::TargetLosses);
  }
  RecordAttemptEnd(mTarget, aOutcome);
}

// Logs the target that the stream is sent to, and the inputs of the choice.
void
StreamExchange::LogDispatch(const std::string& aCopyHolder,
                            bool aFromCopy,
                            Time aNow)
{
  const bool resumed = mNextEventIndex > 0;
  const char* message = resumed         ? "stream resumed"
                        : mAttempts > 1 ? "request retried"
                                        : "request sent";
  const ChoiceInputs inputs = mContext.mFleet.Targets().InputsOf(mTarget, aNow);
  const auto since = aNow - (resumed ? mLastEventAt : mCall.mArrivedAt);
  Log(
    LogLevel::Info,
    "request",
    message,
    { { "request", mCall.mRequest.mRequestId },
      { "target", mTarget },
      { "origin", mCall.mOriginKey ? ToHex(*mCall.mOriginKey) : "" },
      { "software",
        mContext.mFleet.Targets().SoftwareVersionOf(mTarget).value_or("") },
      { "from_copy", aFromCopy ? "true" : "false" },
      { "copy", aCopyHolder },
      { "after_event", mEvents.LastId() },
      { "cause", mLogNote },
      { "silent_ms", std::to_string(static_cast<int>(ToMilliseconds(since))) },
      { "own", std::to_string(inputs.mOwnRunning) },
      { "others", std::to_string(inputs.mPeerRunning) },
      { "reported", std::to_string(inputs.mReported) },
      { "report_age_ms",
        inputs.mReportAge == Duration::max()
          ? "none"
          : std::to_string(
              static_cast<int>(ToMilliseconds(inputs.mReportAge))) },
      { "backlog_tokens", std::to_string(inputs.mBacklogTokens) },
      { "doubtful", inputs.mDoubtful ? "true" : "false" } });
}

// Updates what the choice of another target depends on: which target holds a
// copy of the run's KV cache, and until when an event would meet the
// objectives.
void
StreamExchange::UpdateChoiceInputs(Time aNow)
{
  mStateMachine.SetCopyHolder(mCopy.FindHolder(aNow));
  const Route& route = *mCall.mRoute;
  Time until = mCall.mArrivedAt + route.mLatencyObjective;
  if (mTimeToFirstEvent) {
    const bool late = *mTimeToFirstEvent > route.mLatencyObjective ||
                      mLongestEventGap > route.mEventGapObjective;
    until = late ? Time::min() : mLastEventAt + route.mEventGapObjective;
  }
  mStateMachine.SetDueAt(until);
}

void
StreamExchange::Flush()
{
  if (mOutput.empty()) {
    return;
  }
  SendHead();
  mSink->SendChunk(mOutput);
  mOutput.clear();
}

void
StreamExchange::SendHead()
{
  if (!mHeadSent) {
    mHeadSent = true;
    mSink->StartChunkedResponse(mForwardedHead.mStatus,
                                mForwardedHead.mReason,
                                FormatForwardedFields(mForwardedHead) +
                                  FormatStart());
  }
}

// Formats what another host that passed the stream on has to know to have it
// resumed.
std::string
StreamExchange::FormatStart() const
{
  const std::string& version = mStateMachine.SoftwareVersion();
  return mCall.mPassedOn.IsPassedOn() && IsRegisteredVersion(version)
           ? FormatStreamStart(mCall.mService, version)
           : std::string();
}

void
StreamExchange::RecordPace(Time aNow)
{
  if (mAttemptEvents > 1) {
    const auto gap = (aNow - mAttemptFirstEventAt) / (mAttemptEvents - 1);
    mContext.mPaces[mCall.mService].OnFinished(
      static_cast<int>(mEvents.LastNumber()),
      std::chrono::duration_cast<Duration>(gap));
  }
}

// Forwards a 4xx response, which concerns the request itself, to the caller.
void
StreamExchange::ForwardErrorResponse()
{
  ReleaseAttempt(AttemptOutcome::Failed);
  // The stream may be waiting for another target.
  mStateMachine.OnCallerDisconnected(EventLoop::Now());
  mActions.clear();
  Finish();
  if (ImpliesNotRun(mResponseHead.mStatus) && !mCall.mRoute->mResumable) {
    SendFailure(MayHaveRunFailure());
    return;
  }
  LogCompletion("answered", mResponseHead.mStatus);
  mSink->SendResponse(mResponseHead.mStatus,
                      mResponseHead.mReason,
                      FormatForwardedFields(mResponseHead),
                      mResponseBody);
}

// Makes known where the stream begins, so that its caller can take it up at any
// host. If the store has to know it, the caller gets nothing before that: all
// hosts may end at any moment.
void
StreamExchange::RecordOrigin(Time aNow)
{
  if (!mCall.mOriginKey) {
    return;
  }
  mContext.mFleet.Origins().OnBegun(
    { *mCall.mOriginKey, mCall.mService, mRun.mSoftwareVersion }, aNow);
  // Where a stream began that is taken up is known already.
  mAwaitingOrigin =
    mCall.mSoftwareVersion.empty() &&
    mContext.mOriginStore.AwaitStored(
      *mCall.mOriginKey,
      aNow + kMaxOriginWait,
      [self = RefPtr<StreamExchange>(this)] { self->OnOriginStored(); });
}

void
StreamExchange::OnOriginStored()
{
  mAwaitingOrigin = false;
  if (!mDone) {
    Flush();
  }
}

void
StreamExchange::Finish(bool aComplete)
{
  // A caller that has got no event begins anew.
  const bool begun =
    mTimeToFirstEvent.has_value() || !mCall.mSoftwareVersion.empty();
  EndHere(aComplete || !begun);
}

// Ends the work of this host on the stream. aComplete tells whether nobody has
// a reason to take it up.
void
StreamExchange::EndHere(bool aComplete)
{
  mDone = true;
  if (mCall.mOriginKey && mAttempts > 0) {
    mContext.mFleet.Origins().OnEnded(
      *mCall.mOriginKey, aComplete, EventLoop::Now());
  }
  mTimer.Clear();
  AbandonTentative();
  mCopy.ReleaseCopies();
}

void
StreamExchange::ScheduleTimer()
{
  if (!mDone) {
    mTimer.ScheduleAt(mStateMachine.NextTimer());
  }
}

} // namespace quetzalquay
