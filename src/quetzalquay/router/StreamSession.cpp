#include "router/StreamSession.h"

#include "config/Snapshot.h"
#include "config/SnapshotStore.h"
#include "core/Hash.h"
#include "generated/messages.pb.h"
#include "observe/Log.h"
#include "observe/RouterMetrics.h"
#include "router/CallerMessages.h"
#include "router/CancelQueue.h"
#include "router/ExplainStore.h"
#include "router/FenceService.h"
#include "router/JournalWriter.h"
#include "router/TargetDirectory.h"
#include "router/TargetPoller.h"
#include "wire/Crypto.h"
#include "wire/EventId.h"
#include "wire/HttpServer.h"
#include "wire/ThreadPool.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

// How often a waiting session checks whether its caller is still connected.
constexpr Duration kCallerCheckInterval = std::chrono::milliseconds(100);

// Tokens that an attempt has to add before a request that is suspected of
// crashing targets counts as well past the point of its last loss.
constexpr int kProgressTokens = 64;

// Largest number of tokens in an event ID.
constexpr int kMaxTailTokens = 1024;

// Longest time to wait for the store to grant a continuation.
constexpr Duration kFenceTimeout = std::chrono::milliseconds(8000);

constexpr int kNonceBytes = 8;

constexpr Duration kCancelTimeout = std::chrono::milliseconds(300);

Time
Now()
{
  return std::chrono::steady_clock::now();
}

double
ToSeconds(std::chrono::steady_clock::duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

StreamSession::StreamSession(const RouterParts& aParts, RequestContext aContext)
  : mParts(aParts)
  , mContext(std::move(aContext))
  , mGeneration(MakeSpec(), *aParts.mTargets)
  , mMailbox(MakeRef<Mailbox>())
  , mSpan(aParts.mTracer->Start("request", "SERVER", mContext.mTraceParent))
  , mReceivedAt(Now())
  , mLastTokenAt(mReceivedAt)
{
  mParts.mMetrics->Add(RouterCounter::Requests);
}

StreamSession::~StreamSession()
{
  EndSession();
}

void
StreamSession::Serve(const std::optional<TakeoverPoint>& aTakeover,
                     HttpResponse& aResponse)
{
  aResponse.mHeaders["X-Request-Id"] = mContext.mRequestId;
  mFence =
    std::make_shared<ContinuationFence>(mParts.mIncarnation,
                                        RandomHex(kNonceBytes),
                                        aTakeover ? aTakeover->mAttempt : 0);
  if (aTakeover) {
    mParts.mMetrics->Add(RouterCounter::Takeovers);
    ExecuteActions(mGeneration.TakeOver(*aTakeover, Now()));
  } else {
    ExecuteActions(mGeneration.Start(Now()));
  }
  const bool buffersAnswer =
    RecoveryPolicy::Of(mContext.mPreset).mRestartInFull;
  const bool waitsForEnd = !mContext.mStream || buffersAnswer;
  while (!IsOver() && (waitsForEnd || mPendingOutputs.empty())) {
    Advance(nullptr);
  }
  if (mFailure && mPendingOutputs.empty()) {
    WriteFailure(*mFailure, aResponse);
    EndSession();
    return;
  }
  if (!mContext.mStream) {
    WriteCompleteResponse(aResponse);
    EndSession();
    return;
  }
  aResponse.mContentType = "text/event-stream";
  const RefPtr<StreamSession> self(this);
  aResponse.mStream = [self](BodyWriter& aWriter) {
    return self->StreamResponse(aWriter);
  };
}

RunVerdict
StreamSession::FinalVerdict() const
{
  return mFailure ? mFailure->mVerdict : RunVerdict::Ran;
}

GenerationSpec
StreamSession::MakeSpec() const
{
  GenerationSpec spec;
  spec.mRequestId = mContext.mRequestId;
  spec.mQuery.mService = mContext.mService;
  spec.mQuery.mPrefixHash = PrefixHash(mContext.mPrompt);
  spec.mQuery.mContent = mContext.mContentHash;
  spec.mQuery.mRequestId = mContext.mRequestId;
  spec.mQuery.mWorkspace = mContext.mWorkspace;
  spec.mQuery.mWeight = mContext.mWeight;
  spec.mQuery.mDeadline = mContext.mDeadline;
  spec.mIdempotent = mContext.mIdempotent;
  spec.mDeadline = mContext.mDeadline;
  spec.mModel = mContext.mModel;
  spec.mVersion = mContext.mVersion;
  spec.mAdapterVersion = mContext.mAdapterVersion;
  spec.mPolicy = RecoveryPolicy::Of(mContext.mPreset);
  spec.mQuery.mRandomTarget = spec.mPolicy.mRandomTarget;
  spec.mBuffered = !mContext.mStream || spec.mPolicy.mRestartInFull;
  return spec;
}

bool
StreamSession::Advance(BodyWriter* aWriter)
{
  const Time wakeAt =
    std::min(mGeneration.NextTimer(), Now() + kCallerCheckInterval);
  auto event = mMailbox->Wait(wakeAt);
  // The caller's connection is checked before any action is taken: the process
  // may have been suspended for so long that the caller has resumed the stream
  // on another router.
  const bool isStreamEvent =
    event && std::holds_alternative<StreamEvent>(*event);
  if (!isStreamEvent && aWriter != nullptr && !aWriter->IsOpen()) {
    return false;
  }
  if (event) {
    ProcessEvent(std::move(*event));
  }
  if (Now() >= mGeneration.NextTimer()) {
    ExecuteActions(mGeneration.OnTimer(Now()));
  }
  UpdateMetrics();
  return true;
}

void
StreamSession::ProcessEvent(SessionEvent aEvent)
{
  const Actions actions = std::visit(
    [this](const auto& aAlternative) { return HandleEvent(aAlternative); },
    aEvent);
  ExecuteActions(actions);
}

Actions
StreamSession::HandleEvent(const StreamEvent& aEvent)
{
  return mGeneration.OnEvent(aEvent, Now());
}

Actions
StreamSession::HandleEvent(const AttemptEnded& aEvent)
{
  if (mActiveAttempt && mActiveAttempt->mAttempt == aEvent.mAttempt) {
    mActiveAttempt->mLost = aEvent.mEnd == AttemptEnd::Broken;
    if (aEvent.mEnd == AttemptEnd::NotStarted) {
      mParts.mTargets->WithLock([&](TargetTable& aTable) {
        aTable.OnAttemptRejected(mActiveAttempt->mTarget, Now());
      });
    } else {
      mParts.mPoller->PollAsync(mActiveAttempt->mTarget);
    }
  }
  AddExplainStep("attempt_ended",
                 aEvent.mEnd == AttemptEnd::Broken ? "connection broken"
                                                   : "not executed");
  return mGeneration.OnAttemptEnded(aEvent.mAttempt, aEvent.mEnd, Now());
}

Actions
StreamSession::HandleEvent(const ProbeEnded& aEvent)
{
  if (mActiveAttempt && mActiveAttempt->mAttempt == aEvent.mAttempt &&
      aEvent.mResult != ProbeResult::Alive) {
    mActiveAttempt->mLost = true;
  }
  static constexpr const char* kReasons[] = { "alive", "dead", "no answer" };
  AddExplainStep("probed", kReasons[static_cast<std::size_t>(aEvent.mResult)]);
  return mGeneration.OnProbeResult(aEvent.mAttempt, aEvent.mResult, Now());
}

Actions
StreamSession::HandleEvent(const CancelEnded& aEvent)
{
  const bool stopped = aEvent.mResult == CancelResult::Stopped;
  AddExplainStep("cancelled", stopped ? "stopped" : "no answer");
  return mGeneration.OnCancelResult(aEvent.mAttempt, aEvent.mResult, Now());
}

Actions
StreamSession::HandleEvent(const FenceEnded& aEvent)
{
  AddExplainStep("fenced",
                 aEvent.mResult == FenceResult::Granted
                   ? "continuation granted"
                   : "continuation not granted");
  return mGeneration.OnFenceResult(aEvent.mAttempt, aEvent.mResult, Now());
}

Actions
StreamSession::HandleEvent(const TargetStopping&)
{
  AddExplainStep("target_stopping", "moving to another target at this token");
  return mGeneration.OnTargetStopping(Now());
}

void
StreamSession::ExecuteActions(const Actions& aActions)
{
  for (const Action& it : aActions) {
    std::visit([this](const auto& aAction) { ExecuteAction(aAction); }, it);
  }
}

void
StreamSession::ExecuteAction(const DispatchAttempt& aAction)
{
  BeginAttempt(aAction.mTarget, aAction.mAttempt, "attempt");
  const auto address = AddressOf(aAction.mTarget);
  // The deadline is checked right before sending, as the process may have been
  // suspended since the target was chosen.
  if (!address || Now() >= mContext.mDeadline) {
    mMailbox->Post(AttemptEnded{ aAction.mAttempt, AttemptEnd::Unreachable });
    return;
  }
  if (mGeneration.MayHaveStarted()) {
    mParts.mMetrics->Add(RouterCounter::RecomputedTokens,
                         static_cast<double>(aAction.mTokens.size()));
  }
  mContext.mVersion = aAction.mVersion;
  mStream = mParts.mEngines->Start(*address, MakeStart(aAction), mMailbox);
  AddExplainStep("dispatched",
                 aAction.mTokens.empty()
                   ? "initial attempt"
                   : "continuation, tokens so far: " +
                       std::to_string(aAction.mTokens.size()));
}

void
StreamSession::ExecuteAction(const FenceAttempt& aAction)
{
  FenceService* fences = mParts.mFenceService;
  const RefPtr<Mailbox> mailbox = mMailbox;
  if (fences == nullptr) {
    mailbox->Post(FenceEnded{ aAction.mAttempt, FenceResult::Unavailable });
    return;
  }
  const Time giveUpAt = std::min(mContext.mDeadline, Now() + kFenceTimeout);
  mParts.mThreads->Submit([fences,
                           mailbox,
                           giveUpAt,
                           aAction,
                           fence = mFence,
                           requestId = mContext.mRequestId] {
    const auto decision =
      fences->Acquire(requestId, *fence, aAction.mAttempt, giveUpAt);
    FenceResult result = FenceResult::Unavailable;
    if (decision) {
      result = *decision == FenceDecision::Granted ? FenceResult::Granted
                                                   : FenceResult::Refused;
    }
    mailbox->Post(FenceEnded{ aAction.mAttempt, result });
  });
}

void
StreamSession::ExecuteAction(const ReattachStream& aAction)
{
  BeginAttempt(aAction.mTarget, aAction.mAttempt, "reattach");
  const auto address = AddressOf(aAction.mTarget);
  if (!address) {
    mMailbox->Post(AttemptEnded{ aAction.mAttempt, AttemptEnd::UnknownStream });
    return;
  }
  mStream = mParts.mEngines->Reattach(
    *address, aAction.mGeneration, aAction.mAttempt, aAction.mFrom, mMailbox);
  AddExplainStep("reattached", "from token " + std::to_string(aAction.mFrom));
}

void
StreamSession::ExecuteAction(const ProbeTarget& aAction)
{
  AddExplainStep("probing", "target silent or connection reset");
  const std::string incarnation =
    mActiveAttempt ? mActiveAttempt->mIncarnation : std::string();
  const RefPtr<Mailbox> mailbox = mMailbox;
  TargetPoller* poller = mParts.mPoller;
  mParts.mThreads->Submit([aAction, incarnation, mailbox, poller] {
    const ProbeResult result =
      poller->Probe(aAction.mTarget, incarnation, aAction.mProbeDeadline);
    mailbox->Post(ProbeEnded{ aAction.mAttempt, result });
  });
}

void
StreamSession::ExecuteAction(const CancelAttempt& aAction)
{
  CloseStream();
  const auto address = AddressOf(aAction.mTarget);
  const bool known = address && !aAction.mGeneration.empty();
  if (!aAction.mWantsResult) {
    if (known) {
      mParts.mCancelQueue->Add(*address, aAction.mGeneration, aAction.mAttempt);
    }
    return;
  }
  if (!known) {
    mMailbox->Post(CancelEnded{ aAction.mAttempt, CancelResult::NoAnswer });
    return;
  }
  const RefPtr<Mailbox> mailbox = mMailbox;
  EnginePort* engines = mParts.mEngines;
  mParts.mThreads->Submit([aAction, mailbox, engines, address] {
    const CancelResult result = engines->Cancel(
      *address, aAction.mGeneration, aAction.mAttempt, kCancelTimeout);
    mailbox->Post(CancelEnded{ aAction.mAttempt, result });
  });
}

void
StreamSession::ExecuteAction(const DeliverText& aAction)
{
  RecordToken(Now());
  if (!mContext.mStream) {
    mResponseText += aAction.mText;
    return;
  }
  Output output;
  output.mEventId = MakeEventId(aAction.mIndex + 1);
  output.mText = aAction.mText;
  mPendingOutputs.push_back(std::move(output));
}

void
StreamSession::ExecuteAction(const DiscardText&)
{
  mParts.mMetrics->Add(RouterCounter::RecomputedTokens,
                       static_cast<double>(mPendingOutputs.size()));
  mResponseText.clear();
  mPendingOutputs.clear();
}

void
StreamSession::ExecuteAction(const CompleteResponse& aAction)
{
  mFinish = aAction;
  EndAttempt(AttemptOutcome::Finished);
  AddExplainStep("finished", aAction.mReason);
}

void
StreamSession::ExecuteAction(const FailResponse& aAction)
{
  mFailure = aAction.mFailure;
  mParts.mMetrics->AddFailure(mFailure->mCode, mFailure->mVerdict);
  AddExplainStep(
    "failed", std::string(NameOf(mFailure->mCode)) + ": " + mFailure->mMessage);
  Log(LogLevel::Warn,
      "session",
      "request failed",
      { { "request", mContext.mRequestId },
        { "workspace", mContext.mWorkspace },
        { "attempt", std::to_string(mGeneration.CurrentAttempt()) },
        { "code", std::string(NameOf(mFailure->mCode)) },
        { "run", std::string(NameOf(mFailure->mVerdict)) } });
}

void
StreamSession::BeginAttempt(const std::string& aTarget,
                            int aAttempt,
                            const char* aName)
{
  EndAttempt(mActiveAttempt && mActiveAttempt->mLost
               ? AttemptOutcome::Lost
               : AttemptOutcome::Released);
  CloseStream();
  ActiveAttempt attempt;
  attempt.mTarget = aTarget;
  attempt.mAttempt = aAttempt;
  attempt.mStartedAt = Now();
  attempt.mTokensAtStart = static_cast<int>(mGeneration.Tokens().size());
  attempt.mSpan = mParts.mTracer->Start(aName, "CLIENT", mSpan.mContext);
  attempt.mSpan.mTags["target"] = aTarget;
  attempt.mSpan.mTags["attempt"] = std::to_string(aAttempt);
  mParts.mTargets->WithLock([&](TargetTable& aTable) {
    aTable.OnAttemptStart(aTarget, mContext.mContentHash, attempt.mStartedAt);
    attempt.mIncarnation = aTable.IncarnationOf(aTarget);
  });
  attempt.mRegistryEntry = std::make_unique<SessionEntry>(aTarget, mMailbox);
  mParts.mSessions->Add(*attempt.mRegistryEntry);
  mActiveAttempt = std::move(attempt);
}

void
StreamSession::EndAttempt(AttemptOutcome aOutcome)
{
  if (!mActiveAttempt) {
    return;
  }
  ActiveAttempt attempt = std::move(*mActiveAttempt);
  mActiveAttempt.reset();
  mParts.mSessions->Remove(*attempt.mRegistryEntry);
  mResuming = mResuming || aOutcome == AttemptOutcome::Lost;
  mParts.mTargets->WithLock([&](TargetTable& aTable) {
    aTable.OnAttemptEnd(
      attempt.mTarget, mContext.mContentHash, aOutcome, Now());
  });
  attempt.mSpan.mTags["lost"] =
    aOutcome == AttemptOutcome::Lost ? "true" : "false";
  mParts.mTracer->End(std::move(attempt.mSpan));
}

void
StreamSession::RecordToken(Time aNow)
{
  mParts.mMetrics->Add(RouterCounter::Tokens);
  const Duration gap =
    std::chrono::duration_cast<Duration>(aNow - mLastTokenAt);
  if (!mFirstTokenSeen) {
    mParts.mMetrics->Observe(RouterHistogram::FirstToken,
                             ToSeconds(aNow - mReceivedAt));
  } else if (mResuming) {
    mParts.mMetrics->Observe(RouterHistogram::ResumeLatency, ToSeconds(gap));
  } else {
    mParts.mMetrics->Observe(RouterHistogram::TokenGap, ToSeconds(gap));
  }
  if (mActiveAttempt && !mActiveAttempt->mFirstTokenSeen) {
    const auto wait =
      std::chrono::duration_cast<Duration>(aNow - mActiveAttempt->mStartedAt);
    mParts.mTargets->WithLock([&](TargetTable& aTable) {
      aTable.OnFirstToken(mActiveAttempt->mTarget, wait);
    });
    mActiveAttempt->mFirstTokenSeen = true;
  } else if (mActiveAttempt && mGeneration.Tokens().size() % 16 == 0) {
    mParts.mTargets->WithLock([&](TargetTable& aTable) {
      aTable.OnTokenGap(mActiveAttempt->mTarget, gap);
    });
  }
  mFirstTokenSeen = true;
  mResuming = false;
  mLastTokenAt = aNow;
  ReportProgress();
}

void
StreamSession::ReportProgress()
{
  if (!mActiveAttempt || mActiveAttempt->mProgressReported) {
    return;
  }
  const int n = static_cast<int>(mGeneration.Tokens().size());
  if (n - mActiveAttempt->mTokensAtStart < kProgressTokens) {
    return;
  }
  mActiveAttempt->mProgressReported = true;
  mParts.mTargets->WithLock([this](TargetTable& aTable) {
    aTable.OnProgress(mActiveAttempt->mTarget, mContext.mContentHash, Now());
  });
}

void
StreamSession::UpdateMetrics()
{
  const GenerationCounters& now = mGeneration.Counters();
  const auto add = [this](RouterCounter aCount, int aNow, int aBefore) {
    if (aNow != aBefore) {
      mParts.mMetrics->Add(aCount, aNow - aBefore);
    }
  };
  add(RouterCounter::TargetLosses, now.mLosses, mReportedCounters.mLosses);
  add(
    RouterCounter::LateEvents, now.mLateEvents, mReportedCounters.mLateEvents);
  add(RouterCounter::MismatchedEvents,
      now.mMismatchedEvents,
      mReportedCounters.mMismatchedEvents);
  add(RouterCounter::Probes, now.mProbes, mReportedCounters.mProbes);
  add(
    RouterCounter::Reattaches, now.mReattaches, mReportedCounters.mReattaches);
  add(RouterCounter::Continuations,
      now.mContinuations,
      mReportedCounters.mContinuations);
  mReportedCounters = now;
}

void
StreamSession::AddExplainStep(const char* aEvent, const std::string& aReason)
{
  schema::ExplainStep step;
  step.set_event(aEvent);
  step.set_target(mGeneration.CurrentTarget());
  step.set_attempt(mGeneration.CurrentAttempt());
  step.set_index(static_cast<int>(mGeneration.Tokens().size()));
  step.set_reason(aReason);
  mParts.mExplainStore->Add(
    mContext.mRequestId, mContext.mWorkspace, std::move(step));
}

std::string
StreamSession::MakeEventId(int aDelivered)
{
  const auto& tokens = mGeneration.Tokens();
  schema::StreamPosition position;
  JournalPosition journal;
  if (mParts.mJournal != nullptr) {
    journal = mParts.mJournal->Update(
      mContext.mRequestId, mGeneration.GenerationId(), tokens);
    if (!journal.mObjects.empty()) {
      position.set_journal_writer(mParts.mJournal->WriterName());
      for (const std::uint32_t it : journal.mObjects) {
        position.add_journal_objects(it);
      }
    }
  }
  const int tailFrom =
    std::max({ 0, journal.mDurableTokens, aDelivered - kMaxTailTokens });
  position.set_workspace(mContext.mWorkspace);
  position.set_request_id(mContext.mRequestId);
  position.set_generation(mGeneration.GenerationId());
  position.set_delivered(aDelivered);
  position.set_target(mGeneration.CurrentTarget());
  position.set_attempt(mGeneration.CurrentAttempt());
  position.set_version(mContext.mVersion);
  position.set_adapter_version(mContext.mAdapterVersion);
  position.set_seed(mContext.mSeed);
  position.set_content_hash(ToHex(mContext.mContentHash));
  position.set_non_idempotent(!mContext.mIdempotent);
  position.set_tail_from(tailFrom);
  position.mutable_tail()->Add(tokens.begin() + tailFrom,
                               tokens.begin() + aDelivered);
  return mParts.mEventIds->Encode(position);
}

std::optional<TargetAddress>
StreamSession::AddressOf(const std::string& aTarget) const
{
  const SnapshotReader snapshot(*mParts.mSnapshots);
  if (snapshot.Get() == nullptr) {
    return std::nullopt;
  }
  return snapshot->AddressOf(aTarget);
}

EngineStartRequest
StreamSession::MakeStart(const DispatchAttempt& aAction) const
{
  EngineStartRequest start;
  start.mRequestId = mContext.mRequestId;
  start.mAttempt = aAction.mAttempt;
  start.mModel = mContext.mModel;
  start.mVersion = aAction.mVersion;
  start.mAdapter = mContext.mAdapter;
  start.mAdapterVersion = aAction.mAdapterVersion;
  start.mPrompt = mContext.mPrompt;
  start.mMaxTokens = mContext.mMaxTokens;
  start.mTemperature = mContext.mTemperature;
  start.mSeed = mContext.mSeed;
  start.mPriority = mContext.mPriority;
  start.mGeneration = aAction.mGeneration;
  start.mTokens = aAction.mTokens;
  start.mTraceParent = mActiveAttempt->mSpan.mContext.ToHeader();
  start.mCallerKey = mContext.mCallerKey;
  return start;
}

bool
StreamSession::StreamResponse(BodyWriter& aWriter)
{
  while (Flush(aWriter)) {
    if (IsOver()) {
      EndSession();
      return true;
    }
    if (mParts.mLifecycle->mHandingOver.load()) {
      AddExplainStep("handed_over", "this router is shutting down");
      EndSession();
      return false;
    }
    if (!Advance(&aWriter)) {
      break;
    }
  }
  HandleCallerDisconnect();
  return false;
}

bool
StreamSession::Flush(BodyWriter& aWriter)
{
  std::string bytes;
  while (!mPendingOutputs.empty()) {
    const Output& output = mPendingOutputs.front();
    bytes += FormatTextEvent(mContext, output.mEventId, output.mText);
    mPendingOutputs.pop_front();
  }
  if (mFinish) {
    bytes += FormatFinishEvents(mContext, std::string(), mFinish->mReason);
  }
  if (mFailure) {
    bytes += FormatFailureEvent(*mFailure);
  }
  return bytes.empty() || aWriter.Write(bytes);
}

void
StreamSession::HandleCallerDisconnect()
{
  mParts.mMetrics->Add(RouterCounter::CallerDisconnects);
  AddExplainStep("caller_gone",
                 "the caller closed its connection or stopped reading");
  ExecuteActions(mGeneration.OnCallerDisconnected(Now()));
  // The end of a run whose target has died may not have been read yet.
  EndAttempt(mActiveAttempt && mActiveAttempt->mLost ? AttemptOutcome::Lost
                                                     : AttemptOutcome::GivenUp);
  EndSession();
}

void
StreamSession::WriteCompleteResponse(HttpResponse& aResponse)
{
  aResponse.mBody =
    FormatCompleteResponse(mContext,
                           mResponseText,
                           mFinish->mReason,
                           mFinish->mPromptTokens,
                           static_cast<int>(mGeneration.Tokens().size()));
}

void
StreamSession::CloseStream()
{
  if (mStream) {
    mStream->Close();
    mStream.reset();
  }
}

void
StreamSession::EndSession()
{
  if (mEnded) {
    return;
  }
  mEnded = true;
  UpdateMetrics();
  EndAttempt(mActiveAttempt && mActiveAttempt->mLost
               ? AttemptOutcome::Lost
               : AttemptOutcome::Released);
  CloseStream();
  mMailbox->Close();
  mParts.mTargets->WithLock([this](TargetTable& aTable) {
    ChoiceQuery query;
    query.mService = mContext.mService;
    query.mRequestId = mContext.mRequestId;
    aTable.CancelWait(query);
  });
  if (mParts.mJournal != nullptr) {
    mParts.mJournal->RemoveStream(mContext.mRequestId);
  }
  mSpan.mTags["request"] = mContext.mRequestId;
  mSpan.mTags["workspace"] = mContext.mWorkspace;
  mSpan.mTags["outcome"] =
    mFailure ? std::string(NameOf(mFailure->mCode)) : "ok";
  mParts.mTracer->End(mSpan);
}

} // namespace quetzalquay
