#include "gateway/StreamExchange.h"

#include "observe/Log.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Silence is suspected after this many usual pauses, and not before the floor;
// with the probe and the resumed run's first event it stays within the pause
// that callers accept.
constexpr double kSilenceGaps = 5.0;
constexpr Duration kSilenceFloor = milliseconds(200);
constexpr Duration kProbeTimeout = milliseconds(150);

// Silence from which on the target's own report is wanted, not only a sign of
// life.
constexpr Duration kReportAfterSilence = milliseconds(900);

// Longest time between two probes.
constexpr Duration kProbePause = milliseconds(1200);

// Age that a report may have.
constexpr Duration kReportAge = milliseconds(500);

// Events that may be on their way when a target reports more than have come.
constexpr int kEventsUnderWay = 6;

// Part of the objective in which a request must have found a target.
constexpr double kStartPart = 0.7;

// Generation id and finish reason that stand for what this protocol has not.
constexpr char kGeneration[] = "stream";
constexpr char kFinished[] = "end";

RecoveryPolicy
PolicyOf()
{
  RecoveryPolicy policy = RecoveryPolicy::Of(RecoveryPreset::LowLatency);
  policy.mSilenceGaps = kSilenceGaps;
  policy.mSilenceFloor = kSilenceFloor;
  policy.mProbeTimeout = kProbeTimeout;
  policy.mProbePause = kProbePause;
  return policy;
}

GenerationSpec
SpecOf(const CallerCall& aCall)
{
  GenerationSpec spec;
  spec.mRequestId = aCall.mRequest.mRequestId;
  spec.mIdempotent = aCall.mRoute->mResumable;
  spec.mResumable = aCall.mRoute->mResumable;
  spec.mMaxRuns = aCall.mRoute->mMaxAttempts;
  spec.mDeadline = aCall.mDeadline;
  spec.mStartBy = aCall.mArrived + std::chrono::duration_cast<Duration>(
                                     aCall.mRoute->mObjective * kStartPart);
  spec.mPolicy = PolicyOf();
  spec.mQuery.mService = aCall.mService;
  spec.mQuery.mRequestId = aCall.mRequest.mRequestId;
  spec.mQuery.mWorkspace = aCall.mWorkspace;
  spec.mQuery.mContentHash = aCall.mContentHash;
  spec.mQuery.mDeadline = aCall.mDeadline;
  spec.mQuery.mPromptTokens = aCall.mRequest.mPromptTokens;
  spec.mQuery.mOutputTokens = aCall.mRequest.mOutputTokens;
  return spec;
}

} // namespace

StreamExchange::StreamExchange(GatewayParts& aParts,
                               CallerCall aCall,
                               AnswerSink& aSink)
  : Exchange(aParts, std::move(aCall), aSink)
  , mDecision(SpecOf(mCall), aParts.mFleet.Targets())
  , mAlarm(aParts.mLoop,
           [this] {
             const Time now = EventLoop::Now();
             PrepareChoice(now);
             Perform(mDecision.OnTimer(now));
           })
  , mCopy(aParts, mCall)
  , mLastId(mCall.mRequest.mLastEventId)
{
  const char* end = mLastId.data() + mLastId.size();
  if (std::from_chars(mLastId.data(), end, mLastNumber).ec != std::errc()) {
    mLastNumber = -1;
  }
}

void
StreamExchange::Start()
{
  const Time now = EventLoop::Now();
  // Targets number the events of a stream from 1.
  const int events = std::max(0, static_cast<int>(mLastNumber));
  ChoiceQuery query;
  query.mService = mCall.mService;
  const int backlog = mParts.mFleet.Targets().LeastBacklog(query, now);
  const auto least = mParts.mPaces[mCall.mService].LeastTime(
    mCall.mRequest.mPromptTokens + backlog, events);
  if (least && now + *least > mCall.mDeadline) {
    Settle();
    mNote = "needs_ms_" + std::to_string(least->count() / 1000);
    Failure failure;
    failure.mCode = FailureCode::DeadlineExceeded;
    failure.mMessage = "the stream cannot end in the time that is left";
    SendFailure(failure);
    return;
  }
  Perform(mDecision.Start(now));
}

void
StreamExchange::OnCallerGone()
{
  if (mDone) {
    return;
  }
  Perform(mDecision.OnCallerGone(EventLoop::Now()));
  Settle();
  mParts.mMetrics.Add(GatewayCount::CallersGone);
  LogEnd("caller_gone", 0);
}

// Actions may lead to further ones at once; they are done in order, one at a
// time.
void
StreamExchange::Perform(Actions aActions)
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
    std::visit([this](const auto& aAction) { Do(aAction); }, action);
  }
  mPerforming = false;
  Flush();
  SetAlarm();
}

void
StreamExchange::Do(const DispatchAttempt& aAction)
{
  const Time now = EventLoop::Now();
  const bool resumed = !aAction.mTokens.empty();
  const std::string copyHolder = mCopy.Holder(now);
  std::optional<platform::CopyName> copy;
  if (resumed) {
    copy = mCopy.Use(aAction.mTarget, now);
  }
  const bool fromCopy = copy.has_value();
  mAttempt = aAction.mAttempt;
  mTarget = aAction.mTarget;
  mLastTarget = mTarget;
  ++mTries;
  mTryHead = HttpHead();
  mTryBody.clear();
  mTryStreams = false;
  mTryOpen = true;
  mSentAt = now;
  mTryEvents = 0;
  mReadsPrompt = !fromCopy;
  mCutter.Clear();
  mNextIndex = static_cast<int>(aAction.mTokens.size());
  LogDispatch(copyHolder, fromCopy, now);
  AttemptLoad load;
  load.mPromptTokens = fromCopy ? 0 : mCall.mRequest.mPromptTokens;
  load.mOutputTokens = mCall.mRequest.mOutputTokens +
                       (fromCopy ? mCall.mRequest.mPromptTokens : 0);
  mParts.mFleet.Targets().OnAttemptStart(
    mTarget, mCall.mContentHash, now, load);
  platform::AttemptFields fields = CommonFields(mTarget, now);
  fields.mLastEventId = mLastId;
  fields.mCopy = copy;
  fields.mCopyTo = mCopy.StartRun(mTarget, now);
  if (resumed) {
    mParts.mMetrics.Add(fromCopy ? GatewayCount::ResumedFromCopy
                                 : GatewayCount::ResumedByReading);
  }
  mConnection = mParts.mPool.Take(mTarget);
  if (mConnection == nullptr) {
    EndTry(AttemptEnd::Unreachable);
    return;
  }
  mConnection->Send(
    platform::EncodeAttempt(mCall.mHead, fields, mCall.mBody.size()),
    mCall.mBody,
    mCall.mRequest.mRequestId,
    std::min(now + kConnectTime, mCall.mDeadline),
    *this);
}

void
StreamExchange::Do(const FenceAttempt& aAction)
{
  // No other router can hold this request, but a stream that may not be
  // resumed is never started twice.
  Perform(mDecision.OnFenceResult(
    aAction.mAttempt, FenceResult::Refused, EventLoop::Now()));
}

void
StreamExchange::Do(const ReattachStream& aAction)
{
  // These targets cannot be asked for a running stream; the silent connection
  // is given up and the stream goes on from its last event.
  mNote = "silent_connection";
  if (mConnection != nullptr) {
    mConnection->Abandon();
  }
  Release(AttemptOutcome::Lost);
  const Time now = EventLoop::Now();
  PrepareChoice(now);
  Perform(
    mDecision.OnAttemptEnded(aAction.mAttempt, AttemptEnd::UnknownStream, now));
}

void
StreamExchange::Do(const ProbeTarget& aAction)
{
  const Time now = EventLoop::Now();
  const bool report =
    now - std::max(mSentAt, mLastEventAt) >= kReportAfterSilence;
  mParts.mProber.Probe(
    aAction.mTarget,
    report,
    aAction.mAnswerBy,
    [self = RefPtr<StreamExchange>(this), attempt = aAction.mAttempt](
      ProbeResult aResult, const platform::TargetReport* aReport) {
      if (self->mDone || attempt != self->mAttempt || !self->mTryOpen) {
        return;
      }
      const Time at = EventLoop::Now();
      ProbeResult result = aResult;
      if (result != ProbeResult::Alive) {
        self->mNote = "target_silent";
      } else if (aReport != nullptr && self->IsRunLost(*aReport, at)) {
        self->mNote = "run_lost";
        result = ProbeResult::RunLost;
      }
      if (result == ProbeResult::Dead) {
        // It may be wrong: nothing of this try may come any more.
        self->mConnection->Abandon();
        self->Release(AttemptOutcome::Lost);
      }
      self->PrepareChoice(at);
      self->Perform(self->mDecision.OnProbeResult(attempt, result, at));
    });
}

// Whether a target's report shows that the present try's events will not come.
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
    // A resumed run may count from the stream's beginning.
    const long long known = std::max<long long>(mTryEvents, mLastNumber);
    return run->mEvents > known + kEventsUnderWay;
  }
  const Time since = mTryEvents > 0 ? mLastEventAt : mSentAt;
  const bool old = aNow - since >= kReportAge;
  const bool idle = aReport.mRunning == 0 && aReport.mWaiting == 0;
  return old && (mTryEvents > 0 || idle);
}

void
StreamExchange::Do(const CancelAttempt&)
{
  if (mConnection != nullptr) {
    mConnection->Abandon();
  }
  Release(AttemptOutcome::Released);
}

void
StreamExchange::Do(const DeliverText& aAction)
{
  mOutput += aAction.mText;
}

void
StreamExchange::Do(const DiscardText&)
{
  mOutput.clear();
}

void
StreamExchange::Do(const FinishAnswer&)
{
  Flush();
  SendHead();
  LearnPace(EventLoop::Now());
  Release(AttemptOutcome::Finished);
  Settle();
  LogEnd("answered", mHead.mStatus);
  mSink->EndPieces();
}

void
StreamExchange::Do(const FailAnswer& aAction)
{
  Flush();
  if (mConnection != nullptr) {
    mConnection->Abandon();
  }
  Release(AttemptOutcome::Released);
  Settle();
  if (!mHeadSent) {
    SendFailure(aAction.mFailure);
    return;
  }
  mNote = std::string(NameOf(aAction.mFailure.mCode));
  LogEnd("broken_off", mHead.mStatus);
  mSink->BreakOff();
}

void
StreamExchange::OnAnswerHead(const HttpHead& aHead,
                             const platform::TargetAnswer& aAnswer)
{
  mTryHead = aHead;
  mTryAnswer = aAnswer;
  mTryStreams = aHead.mStatus / 100 == 2 && aAnswer.mSigned;
  TargetTable& targets = mParts.mFleet.Targets();
  if (aAnswer.mRunning && aAnswer.mWaiting) {
    targets.OnLoad(mTarget,
                   targets.IncarnationOf(mTarget),
                   "ready",
                   *aAnswer.mRunning,
                   *aAnswer.mWaiting,
                   EventLoop::Now());
  }
  if (mTryStreams && !mHeadSent && mNextIndex == 0) {
    mHead = aHead;
  }
}

void
StreamExchange::OnAnswerBody(std::string aBody)
{
  const RefPtr<Exchange> self(this);
  if (!mTryStreams) {
    mTryBody += aBody;
    return;
  }
  mCutter.Take(aBody);
  TakeEvents();
}

void
StreamExchange::TakeEvents()
{
  const int attempt = mAttempt;
  while (mTryOpen && attempt == mAttempt) {
    const auto event = mCutter.Next();
    if (!event) {
      break;
    }
    TakeEvent(*event);
  }
}

void
StreamExchange::TakeEvent(const EventCutter::Event& aEvent)
{
  const Time now = EventLoop::Now();
  long long number = mLastNumber;
  if (!aEvent.mId.empty()) {
    const char* end = aEvent.mId.data() + aEvent.mId.size();
    if (std::from_chars(aEvent.mId.data(), end, number).ec != std::errc()) {
      number = mLastNumber;
    }
    if (number <= mLastNumber) {
      // An event that the caller already has.
      return;
    }
  }
  if (mLastNumber >= 0 && mIdStep > 0 && number != mLastNumber + mIdStep) {
    mNote = "event_missing";
    mConnection->Abandon();
    EndTry(AttemptEnd::Broken);
    return;
  }
  StreamEvent event;
  event.mRequestId = mCall.mRequest.mRequestId;
  event.mAttempt = mAttempt;
  event.mGeneration = kGeneration;
  event.mIndex = mNextIndex;
  event.mToken = static_cast<int>(number);
  event.mText = aEvent.mBytes;
  const std::size_t known = mDecision.Tokens().size();
  Actions actions = mDecision.OnEvent(event, now);
  if (mDecision.Tokens().size() > known) {
    if (mNextIndex > 0 && mIdStep == 0) {
      mIdStep = number - mLastNumber;
    }
    mLastNumber = number;
    mLastId = aEvent.mId;
    OnEventTaken(now);
  }
  Perform(std::move(actions));
}

// Learns from an event that goes to the caller.
void
StreamExchange::OnEventTaken(Time aNow)
{
  TargetTable& targets = mParts.mFleet.Targets();
  const bool first = mNextIndex == 0 || mAwaitsResume;
  if (!mFirstEvent) {
    mFirstEvent = aNow - mCall.mArrived;
    mParts.mMetrics.Observe(GatewayTime::FirstEvent, *mFirstEvent);
  } else {
    mLongestPause = std::max(mLongestPause, aNow - mLastEventAt);
  }
  if (first) {
    targets.OnFirstToken(
      mTarget,
      std::chrono::duration_cast<Duration>(aNow - mCall.mArrived),
      mCall.mContentHash);
  } else {
    targets.OnGap(mTarget,
                  std::chrono::duration_cast<Duration>(aNow - mLastEventAt));
  }
  if (mAwaitsResume) {
    mAwaitsResume = false;
    mParts.mMetrics.Observe(GatewayTime::Resume, aNow - mLastEventAt);
  }
  mLastEventAt = aNow;
  if (mTryEvents++ == 0) {
    mTryFirstAt = aNow;
    if (mReadsPrompt) {
      mParts.mPaces[mCall.mService].OnFirstEvent(
        mCall.mRequest.mPromptTokens,
        std::chrono::duration_cast<Duration>(aNow - mSentAt));
    }
  }
  mCopy.OnEvent(aNow);
  ++mNextIndex;
}

void
StreamExchange::OnAnswerComplete()
{
  const RefPtr<Exchange> self(this);
  const Time now = EventLoop::Now();
  if (mTryAnswer.mNotRun) {
    mNote = "turned_away";
    ReportTurnedAway(mParts, mTarget, mTryAnswer, now);
    EndTry(mTryAnswer.mWrongTarget ? AttemptEnd::Refused
                                   : AttemptEnd::NotStarted);
    return;
  }
  if (!mTryStreams) {
    const int kind = mTryHead.mStatus / 100;
    mNote = "status_" + std::to_string(mTryHead.mStatus);
    if (kind == 4 && !mHeadSent) {
      PassFailureOn();
    } else {
      EndTry(AttemptEnd::Broken);
    }
    return;
  }
  if (mCutter.HasPart()) {
    mNote = "torn_event";
    EndTry(AttemptEnd::Broken);
    return;
  }
  StreamEvent event;
  event.mRequestId = mCall.mRequest.mRequestId;
  event.mAttempt = mAttempt;
  event.mGeneration = kGeneration;
  event.mIndex = mNextIndex;
  event.mFinishReason = kFinished;
  mConnection.reset();
  Perform(mDecision.OnEvent(event, now));
}

void
StreamExchange::OnTryEnded(TryEnd aEnd)
{
  const RefPtr<Exchange> self(this);
  ReportTryEnd(mParts.mFleet.Targets(), mTarget, aEnd, EventLoop::Now());
  if (aEnd != TryEnd::Broken && mTries > 1) {
    mParts.mFleet.Targets().ReturnRepeat(mCall.mService);
  }
  switch (aEnd) {
    case TryEnd::Refused:
      mNote = "target_refused";
      EndTry(AttemptEnd::Refused);
      break;
    case TryEnd::Unreachable:
      mNote = "target_unreachable";
      EndTry(AttemptEnd::Unreachable);
      break;
    case TryEnd::Broken:
      mNote = "target_lost";
      EndTry(AttemptEnd::Broken);
      break;
  }
}

void
StreamExchange::EndTry(AttemptEnd aEnd)
{
  const bool lost = aEnd == AttemptEnd::Broken;
  if (lost) {
    Log(LogLevel::Info,
        "request",
        "target lost",
        { { "request", mCall.mRequest.mRequestId },
          { "target", mTarget },
          { "after_event", mLastId },
          { "note", mNote } });
  }
  Release(lost ? AttemptOutcome::Lost : AttemptOutcome::Released);
  const Time now = EventLoop::Now();
  PrepareChoice(now);
  Perform(mDecision.OnAttemptEnded(mAttempt, aEnd, now));
}

// The present try is over for the table.
void
StreamExchange::Release(AttemptOutcome aOutcome)
{
  mConnection.reset();
  mCopy.EndRun();
  if (!mTryOpen) {
    return;
  }
  mTryOpen = false;
  if (aOutcome != AttemptOutcome::Finished && mNextIndex > 0 && !mDone) {
    mAwaitsResume = true;
    mParts.mMetrics.Add(GatewayCount::Losses);
  }
  mParts.mFleet.Targets().OnAttemptEnd(
    mTarget, mCall.mContentHash, aOutcome, EventLoop::Now());
}

// Tells where the stream goes, and what the choice went by.
void
StreamExchange::LogDispatch(const std::string& aCopyHolder,
                            bool aFromCopy,
                            Time aNow)
{
  const bool resumed = mNextIndex > 0;
  const char* message = resumed      ? "stream goes on"
                        : mTries > 1 ? "tried again"
                                     : "sent";
  const ChoiceInputs inputs = mParts.mFleet.Targets().InputsOf(mTarget, aNow);
  const auto since = aNow - (resumed ? mLastEventAt : mCall.mArrived);
  Log(
    LogLevel::Info,
    "request",
    message,
    { { "request", mCall.mRequest.mRequestId },
      { "target", mTarget },
      { "from_copy", aFromCopy ? "true" : "false" },
      { "copy", aCopyHolder },
      { "after_event", mLastId },
      { "cause", mNote },
      { "silent_ms", std::to_string(static_cast<int>(ToMilliseconds(since))) },
      { "own", std::to_string(inputs.mOwn) },
      { "others", std::to_string(inputs.mOthers) },
      { "reported", std::to_string(inputs.mReported) },
      { "report_age_ms",
        inputs.mReportAge == Duration::max()
          ? "none"
          : std::to_string(
              static_cast<int>(ToMilliseconds(inputs.mReportAge))) },
      { "backlog_tokens", std::to_string(inputs.mBacklogTokens) },
      { "doubtful", inputs.mDoubtful ? "true" : "false" } });
}

// Tells the decision what the choice of another target depends on: where a copy
// of the run is, and until when an event would be on time.
void
StreamExchange::PrepareChoice(Time aNow)
{
  mDecision.SetCopyHolder(mCopy.Holder(aNow));
  const Route& route = *mCall.mRoute;
  Time until = mCall.mArrived + route.mObjective;
  if (mFirstEvent) {
    const bool late =
      *mFirstEvent > route.mObjective || mLongestPause > route.mGapObjective;
    until = late ? Time::min() : mLastEventAt + route.mGapObjective;
  }
  mDecision.SetOnTimeUntil(until);
}

void
StreamExchange::Flush()
{
  if (mOutput.empty()) {
    return;
  }
  SendHead();
  mSink->SendPiece(mOutput);
  mOutput.clear();
}

void
StreamExchange::SendHead()
{
  if (!mHeadSent) {
    mHeadSent = true;
    mSink->StartPieces(mHead.mStatus, mHead.mReason, ForwardedFields(mHead));
  }
}

void
StreamExchange::LearnPace(Time aNow)
{
  if (mTryEvents > 1) {
    const auto gap = (aNow - mTryFirstAt) / (mTryEvents - 1);
    mParts.mPaces[mCall.mService].OnFinished(
      static_cast<int>(mLastNumber), std::chrono::duration_cast<Duration>(gap));
  }
}

// The target refused the request itself: its answer is the caller's.
void
StreamExchange::PassFailureOn()
{
  Release(AttemptOutcome::Finished);
  Settle();
  LogEnd("answered", mTryHead.mStatus);
  mSink->SendWhole(
    mTryHead.mStatus, mTryHead.mReason, ForwardedFields(mTryHead), mTryBody);
}

void
StreamExchange::Settle()
{
  mDone = true;
  mAlarm.Clear();
  mCopy.Clear();
}

void
StreamExchange::SetAlarm()
{
  if (!mDone) {
    mAlarm.SetAt(mDecision.NextTimer());
  }
}

} // namespace quetzalquay
