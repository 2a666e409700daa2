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

// How often a waiting session looks whether its caller is still there.
constexpr Duration kCallerCheckPause = std::chrono::milliseconds(100);

// Tokens after which a suspected request has gone well past its last loss.
constexpr int kProgressTokens = 64;

// Tokens that an event id carries at most.
constexpr int kMaxTailTokens = 1024;

// Time for which the store is asked for the right to continue.
constexpr Duration kFencePatience = std::chrono::milliseconds(8000);

constexpr int kNonceBytes = 8;

constexpr Duration kCancelTimeout = std::chrono::milliseconds(300);

Time
Now()
{
  return std::chrono::steady_clock::now();
}

double
Seconds(std::chrono::steady_clock::duration aDuration)
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
  mParts.mMetrics->Add(Count::Requests);
}

StreamSession::~StreamSession()
{
  End();
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
    mParts.mMetrics->Add(Count::Takeovers);
    Execute(mGeneration.TakeOver(*aTakeover, Now()));
  } else {
    Execute(mGeneration.Start(Now()));
  }
  const bool keepsBack = RecoveryPolicy::Of(mContext.mPreset).mRestartInFull;
  const bool whole = !mContext.mStream || keepsBack;
  while (!IsOver() && (whole || mOutputs.empty())) {
    Advance(nullptr);
  }
  if (mFailure && mOutputs.empty()) {
    WriteFailure(*mFailure, aResponse);
    End();
    return;
  }
  if (!mContext.mStream) {
    WriteWhole(aResponse);
    End();
    return;
  }
  aResponse.mContentType = "text/event-stream";
  const RefPtr<StreamSession> self(this);
  aResponse.mStream = [self](BodyWriter& aWriter) {
    return self->Stream(aWriter);
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
  spec.mQuery.mContentHash = mContext.mContentHash;
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
    std::min(mGeneration.NextTimer(), Now() + kCallerCheckPause);
  auto event = mMailbox->Wait(wakeAt);
  // Checked before anything is decided, since this process may have been paused
  // for so long that another router has taken over the caller.
  const bool token = event && std::holds_alternative<StreamEvent>(*event);
  if (!token && aWriter != nullptr && !aWriter->IsOpen()) {
    return false;
  }
  if (event) {
    Take(std::move(*event));
  }
  if (Now() >= mGeneration.NextTimer()) {
    Execute(mGeneration.OnTimer(Now()));
  }
  SyncCounters();
  return true;
}

void
StreamSession::Take(SessionEvent aEvent)
{
  const Actions actions =
    std::visit([this](const auto& aOne) { return Feed(aOne); }, aEvent);
  Execute(actions);
}

Actions
StreamSession::Feed(const StreamEvent& aEvent)
{
  return mGeneration.OnEvent(aEvent, Now());
}

Actions
StreamSession::Feed(const AttemptEnded& aEvent)
{
  if (mHold && mHold->mAttempt == aEvent.mAttempt) {
    mHold->mLost = aEvent.mEnd == AttemptEnd::Broken;
    if (aEvent.mEnd == AttemptEnd::NotStarted) {
      mParts.mTargets->With([&](TargetTable& aTable) {
        aTable.OnTurnedAway(mHold->mTarget, Now());
      });
    } else {
      mParts.mPoller->PollSoon(mHold->mTarget);
    }
  }
  Explain("attempt_ended",
          aEvent.mEnd == AttemptEnd::Broken ? "connection broken"
                                            : "not carried out");
  return mGeneration.OnAttemptEnded(aEvent.mAttempt, aEvent.mEnd, Now());
}

Actions
StreamSession::Feed(const ProbeAnswered& aEvent)
{
  if (mHold && mHold->mAttempt == aEvent.mAttempt &&
      aEvent.mResult != ProbeResult::Alive) {
    mHold->mLost = true;
  }
  static constexpr const char* kReasons[] = { "alive", "dead", "no answer" };
  Explain("probed", kReasons[static_cast<std::size_t>(aEvent.mResult)]);
  return mGeneration.OnProbeResult(aEvent.mAttempt, aEvent.mResult, Now());
}

Actions
StreamSession::Feed(const CancelAnswered& aEvent)
{
  const bool stopped = aEvent.mResult == CancelResult::Stopped;
  Explain("cancelled", stopped ? "stopped" : "no answer");
  return mGeneration.OnCancelResult(aEvent.mAttempt, aEvent.mResult, Now());
}

Actions
StreamSession::Feed(const FenceAnswered& aEvent)
{
  Explain("fenced",
          aEvent.mResult == FenceResult::Granted ? "may continue"
                                                 : "may not continue");
  return mGeneration.OnFenceResult(aEvent.mAttempt, aEvent.mResult, Now());
}

Actions
StreamSession::Feed(const TargetStopping&)
{
  Explain("target_stopping", "moves at this token");
  return mGeneration.OnTargetStopping(Now());
}

void
StreamSession::Execute(const Actions& aActions)
{
  for (const Action& it : aActions) {
    std::visit([this](const auto& aOne) { Do(aOne); }, it);
  }
}

void
StreamSession::Do(const DispatchAttempt& aAction)
{
  BeginHold(aAction.mTarget, aAction.mAttempt, "attempt");
  const auto address = AddressOf(aAction.mTarget);
  // Nothing decided before a pause of this process is sent after it.
  if (!address || Now() >= mContext.mDeadline) {
    mMailbox->Post(AttemptEnded{ aAction.mAttempt, AttemptEnd::Unreachable });
    return;
  }
  if (mGeneration.MayHaveStarted()) {
    mParts.mMetrics->Add(Count::RecomputedTokens,
                         static_cast<double>(aAction.mTokens.size()));
  }
  mContext.mVersion = aAction.mVersion;
  mStream = mParts.mEngines->Start(*address, MakeStart(aAction), mMailbox);
  Explain("dispatched",
          aAction.mTokens.empty()
            ? "first start"
            : "continues after " + std::to_string(aAction.mTokens.size()));
}

void
StreamSession::Do(const FenceAttempt& aAction)
{
  FenceService* fences = mParts.mFences;
  const RefPtr<Mailbox> mailbox = mMailbox;
  if (fences == nullptr) {
    mailbox->Post(FenceAnswered{ aAction.mAttempt, FenceResult::Unavailable });
    return;
  }
  const Time giveUpAt = std::min(mContext.mDeadline, Now() + kFencePatience);
  mParts.mThreads->Run([fences,
                        mailbox,
                        giveUpAt,
                        aAction,
                        fence = mFence,
                        requestId = mContext.mRequestId] {
    const auto answer =
      fences->Acquire(requestId, *fence, aAction.mAttempt, giveUpAt);
    FenceResult result = FenceResult::Unavailable;
    if (answer) {
      result = *answer == FenceAnswer::Granted ? FenceResult::Granted
                                               : FenceResult::Refused;
    }
    mailbox->Post(FenceAnswered{ aAction.mAttempt, result });
  });
}

void
StreamSession::Do(const ReattachStream& aAction)
{
  BeginHold(aAction.mTarget, aAction.mAttempt, "reattach");
  const auto address = AddressOf(aAction.mTarget);
  if (!address) {
    mMailbox->Post(AttemptEnded{ aAction.mAttempt, AttemptEnd::UnknownStream });
    return;
  }
  mStream = mParts.mEngines->Reattach(
    *address, aAction.mGeneration, aAction.mAttempt, aAction.mFrom, mMailbox);
  Explain("reattached", "from " + std::to_string(aAction.mFrom));
}

void
StreamSession::Do(const ProbeTarget& aAction)
{
  Explain("probing", "silent or reset");
  const std::string incarnation = mHold ? mHold->mIncarnation : std::string();
  const RefPtr<Mailbox> mailbox = mMailbox;
  TargetPoller* poller = mParts.mPoller;
  mParts.mThreads->Run([aAction, incarnation, mailbox, poller] {
    const ProbeResult result =
      poller->Probe(aAction.mTarget, incarnation, aAction.mAnswerBy);
    mailbox->Post(ProbeAnswered{ aAction.mAttempt, result });
  });
}

void
StreamSession::Do(const CancelAttempt& aAction)
{
  CloseStreams();
  const auto address = AddressOf(aAction.mTarget);
  const bool known = address && !aAction.mGeneration.empty();
  if (!aAction.mWantsResult) {
    if (known) {
      mParts.mCancels->Add(*address, aAction.mGeneration, aAction.mAttempt);
    }
    return;
  }
  if (!known) {
    mMailbox->Post(CancelAnswered{ aAction.mAttempt, CancelResult::NoAnswer });
    return;
  }
  const RefPtr<Mailbox> mailbox = mMailbox;
  EnginePort* engines = mParts.mEngines;
  mParts.mThreads->Run([aAction, mailbox, engines, address] {
    const CancelResult result = engines->Cancel(
      *address, aAction.mGeneration, aAction.mAttempt, kCancelTimeout);
    mailbox->Post(CancelAnswered{ aAction.mAttempt, result });
  });
}

void
StreamSession::Do(const DeliverText& aAction)
{
  NoteToken(Now());
  if (!mContext.mStream) {
    mWholeText += aAction.mText;
    return;
  }
  Output output;
  output.mEventId = EventIdAt(aAction.mIndex + 1);
  output.mText = aAction.mText;
  mOutputs.push_back(std::move(output));
}

void
StreamSession::Do(const DiscardText&)
{
  mParts.mMetrics->Add(Count::RecomputedTokens,
                       static_cast<double>(mOutputs.size()));
  mWholeText.clear();
  mOutputs.clear();
}

void
StreamSession::Do(const FinishAnswer& aAction)
{
  mFinish = aAction;
  EndHold(AttemptOutcome::Finished);
  Explain("finished", aAction.mReason);
}

void
StreamSession::Do(const FailAnswer& aAction)
{
  mFailure = aAction.mFailure;
  mParts.mMetrics->AddFailure(mFailure->mCode, mFailure->mVerdict);
  Explain("failed",
          std::string(NameOf(mFailure->mCode)) + ": " + mFailure->mMessage);
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
StreamSession::BeginHold(const std::string& aTarget,
                         int aAttempt,
                         const char* aName)
{
  EndHold(mHold && mHold->mLost ? AttemptOutcome::Lost
                                : AttemptOutcome::Released);
  CloseStreams();
  Hold hold;
  hold.mTarget = aTarget;
  hold.mAttempt = aAttempt;
  hold.mStartedAt = Now();
  hold.mTokensBefore = static_cast<int>(mGeneration.Tokens().size());
  hold.mSpan = mParts.mTracer->Start(aName, "CLIENT", mSpan.mContext);
  hold.mSpan.mTags["target"] = aTarget;
  hold.mSpan.mTags["attempt"] = std::to_string(aAttempt);
  mParts.mTargets->With([&](TargetTable& aTable) {
    aTable.OnAttemptStart(aTarget, mContext.mContentHash, hold.mStartedAt);
    hold.mIncarnation = aTable.IncarnationOf(aTarget);
  });
  hold.mEntry = std::make_unique<SessionEntry>(aTarget, mMailbox);
  mParts.mSessions->Add(*hold.mEntry);
  mHold = std::move(hold);
}

void
StreamSession::EndHold(AttemptOutcome aOutcome)
{
  if (!mHold) {
    return;
  }
  Hold hold = std::move(*mHold);
  mHold.reset();
  mParts.mSessions->Remove(*hold.mEntry);
  mResuming = mResuming || aOutcome == AttemptOutcome::Lost;
  mParts.mTargets->With([&](TargetTable& aTable) {
    aTable.OnAttemptEnd(hold.mTarget, mContext.mContentHash, aOutcome, Now());
  });
  hold.mSpan.mTags["lost"] =
    aOutcome == AttemptOutcome::Lost ? "true" : "false";
  mParts.mTracer->End(std::move(hold.mSpan));
}

void
StreamSession::NoteToken(Time aNow)
{
  mParts.mMetrics->Add(Count::Tokens);
  const Duration gap =
    std::chrono::duration_cast<Duration>(aNow - mLastTokenAt);
  if (!mSawToken) {
    mParts.mMetrics->Observe(Timing::FirstToken, Seconds(aNow - mReceivedAt));
  } else if (mResuming) {
    mParts.mMetrics->Observe(Timing::ResumeLatency, Seconds(gap));
  } else {
    mParts.mMetrics->Observe(Timing::TokenGap, Seconds(gap));
  }
  if (mHold && !mHold->mSawToken) {
    const auto wait =
      std::chrono::duration_cast<Duration>(aNow - mHold->mStartedAt);
    mParts.mTargets->With(
      [&](TargetTable& aTable) { aTable.OnFirstToken(mHold->mTarget, wait); });
    mHold->mSawToken = true;
  } else if (mHold && mGeneration.Tokens().size() % 16 == 0) {
    mParts.mTargets->With(
      [&](TargetTable& aTable) { aTable.OnGap(mHold->mTarget, gap); });
  }
  mSawToken = true;
  mResuming = false;
  mLastTokenAt = aNow;
  NoteProgress();
}

void
StreamSession::NoteProgress()
{
  if (!mHold || mHold->mProgressTold) {
    return;
  }
  const int n = static_cast<int>(mGeneration.Tokens().size());
  if (n - mHold->mTokensBefore < kProgressTokens) {
    return;
  }
  mHold->mProgressTold = true;
  mParts.mTargets->With(
    [this](TargetTable& aTable) { aTable.OnProgress(mContext.mContentHash); });
}

void
StreamSession::SyncCounters()
{
  const GenerationCounters& now = mGeneration.Counters();
  const auto add = [this](Count aCount, int aNow, int aBefore) {
    if (aNow != aBefore) {
      mParts.mMetrics->Add(aCount, aNow - aBefore);
    }
  };
  add(Count::Losses, now.mLosses, mCounted.mLosses);
  add(Count::LateEvents, now.mLateEvents, mCounted.mLateEvents);
  add(Count::EchoMismatches, now.mEchoMismatches, mCounted.mEchoMismatches);
  add(Count::Probes, now.mProbes, mCounted.mProbes);
  add(Count::Reattaches, now.mReattaches, mCounted.mReattaches);
  add(Count::Continuations, now.mContinuations, mCounted.mContinuations);
  mCounted = now;
}

void
StreamSession::Explain(const char* aEvent, const std::string& aReason)
{
  schema::ExplainStep step;
  step.set_event(aEvent);
  step.set_target(mGeneration.CurrentTarget());
  step.set_attempt(mGeneration.CurrentAttempt());
  step.set_index(static_cast<int>(mGeneration.Tokens().size()));
  step.set_reason(aReason);
  mParts.mExplain->Add(
    mContext.mRequestId, mContext.mWorkspace, std::move(step));
}

std::string
StreamSession::EventIdAt(int aDelivered)
{
  const auto& tokens = mGeneration.Tokens();
  schema::StreamPosition position;
  JournalPosition journal;
  if (mParts.mJournal != nullptr) {
    journal = mParts.mJournal->Update(
      mContext.mRequestId, mGeneration.GenerationId(), tokens);
    if (!journal.mObjects.empty()) {
      position.set_journal_writer(mParts.mJournal->Writer());
      for (const std::uint32_t it : journal.mObjects) {
        position.add_journal_objects(it);
      }
    }
  }
  const int tailFrom =
    std::max({ 0, journal.mDurable, aDelivered - kMaxTailTokens });
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

EngineStart
StreamSession::MakeStart(const DispatchAttempt& aAction) const
{
  EngineStart start;
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
  start.mTraceParent = mHold->mSpan.mContext.ToHeader();
  start.mCallerKey = mContext.mCallerKey;
  return start;
}

bool
StreamSession::Stream(BodyWriter& aWriter)
{
  while (Flush(aWriter)) {
    if (IsOver()) {
      End();
      return true;
    }
    if (mParts.mLifecycle->mHandOver.load()) {
      Explain("handed_over", "this router stops");
      End();
      return false;
    }
    if (!Advance(&aWriter)) {
      break;
    }
  }
  CallerGone();
  return false;
}

bool
StreamSession::Flush(BodyWriter& aWriter)
{
  std::string bytes;
  while (!mOutputs.empty()) {
    const Output& output = mOutputs.front();
    bytes += TextEvent(mContext, output.mEventId, output.mText);
    mOutputs.pop_front();
  }
  if (mFinish) {
    bytes += FinishEvents(mContext, std::string(), mFinish->mReason);
  }
  if (mFailure) {
    bytes += FailureEvent(*mFailure);
  }
  return bytes.empty() || aWriter.Write(bytes);
}

void
StreamSession::CallerGone()
{
  mParts.mMetrics->Add(Count::CallersGone);
  Explain("caller_gone", "the caller closed its connection or does not read");
  Execute(mGeneration.OnCallerGone(Now()));
  End();
}

void
StreamSession::WriteWhole(HttpResponse& aResponse)
{
  aResponse.mBody = WholeAnswer(mContext,
                                mWholeText,
                                mFinish->mReason,
                                mFinish->mPromptTokens,
                                static_cast<int>(mGeneration.Tokens().size()));
}

void
StreamSession::CloseStreams()
{
  if (mStream) {
    mStream->Close();
    mStream.reset();
  }
}

void
StreamSession::End()
{
  if (mEnded) {
    return;
  }
  mEnded = true;
  SyncCounters();
  EndHold(mHold && mHold->mLost ? AttemptOutcome::Lost
                                : AttemptOutcome::Released);
  CloseStreams();
  mMailbox->Close();
  mParts.mTargets->With([this](TargetTable& aTable) {
    ChoiceQuery query;
    query.mService = mContext.mService;
    query.mRequestId = mContext.mRequestId;
    aTable.Forget(query);
  });
  if (mParts.mJournal != nullptr) {
    mParts.mJournal->Forget(mContext.mRequestId);
  }
  mSpan.mTags["request"] = mContext.mRequestId;
  mSpan.mTags["workspace"] = mContext.mWorkspace;
  mSpan.mTags["outcome"] =
    mFailure ? std::string(NameOf(mFailure->mCode)) : "ok";
  mParts.mTracer->End(mSpan);
}

} // namespace quetzalquay
