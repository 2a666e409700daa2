#include "gateway/SuspectTrials.h"

#include "core/Hash.h"
#include "gateway/SuspectRows.h"
#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

using platform::StoreTable;
using std::chrono::milliseconds;

// Interval at which running trials are checked.
constexpr Duration kCheckInterval = milliseconds(20);

// Time limit for a response of the store.
constexpr Duration kReplyTimeout = milliseconds(300);

// Delay of the next claim while another host runs a trial of the request, or
// while the store does not answer.
constexpr Duration kClaimInterval = milliseconds(100);
constexpr Duration kFailureInterval = milliseconds(500);

// Time for which a target with a trial of another host is not offered.
constexpr Duration kAvoidTime = milliseconds(150);

// Time in which an allowed trial must start, as its caller may have left.
constexpr Duration kStartTime = milliseconds(300);

// Time in which a lost connection is recognized as the death of its target.
constexpr Duration kDeathTime = milliseconds(600);

// Time after which the host of an unchanged trial counts as vanished. Trials
// end sooner by themselves.
constexpr Duration kTrialLease = std::chrono::seconds(12);
constexpr Duration kMaxTrialTime = std::chrono::seconds(10);

// Time for which a trial that is not running is remembered.
constexpr Duration kIdleLifetime = std::chrono::minutes(1);

// Sends of one claim or outcome.
constexpr int kMaxSends = 4;

bool
HasStatus(const std::optional<HttpReply>& aReply, int aStatus)
{
  return aReply && aReply->mHead.mStatus == aStatus;
}

} // namespace

SuspectTrials::SuspectTrials(EventLoop& aLoop,
                             const GatewaySettings& aSettings,
                             Fleet& aFleet,
                             GatewayMetrics& aMetrics)
  : mHostHeader(FormatEndpoint(aSettings.mStoreEndpoint))
  , mFleet(aFleet)
  , mMetrics(aMetrics)
  , mHttpClient(aLoop, aSettings.mStoreEndpoint)
  , mTimer(aLoop, [this] { Tick(); })
{
  mFleet.Targets().SetTrialCallback(
    [this](const ChoiceQuery& aQuery, const std::string& aTarget) {
      OnNeeded(aQuery, aTarget);
    });
}

void
SuspectTrials::OnNeeded(const ChoiceQuery& aQuery, const std::string& aTarget)
{
  const Time now = EventLoop::Now();
  Trial& trial = mTrials[aQuery.mContentHash];
  trial.mExpiresAt = now + kIdleLifetime;
  if (trial.mPhase != Phase::Idle || now < trial.mNextClaimAt) {
    return;
  }
  trial.mPhase = Phase::Claiming;
  trial.mQuery = aQuery;
  trial.mTarget = aTarget;
  trial.mSends = 0;
  Queue(aQuery.mContentHash);
}

void
SuspectTrials::Queue(std::uint64_t aRequest)
{
  mQueue.push_back(aRequest);
  SendNext();
}

void
SuspectTrials::SendNext()
{
  if (mHttpClient.IsBusy() || mQueue.empty()) {
    return;
  }
  const std::uint64_t request = mQueue.front();
  mQueue.pop_front();
  Trial& trial = mTrials[request];
  if (trial.mPhase == Phase::Claiming) {
    SendClaim(request, trial);
  } else {
    SendOutcome(request, trial);
  }
}

void
SuspectTrials::Call(const std::string& aRequest,
                    AsyncHttpClient::ResponseCallback aDone)
{
  mHttpClient.Call(
    aRequest,
    EventLoop::Now() + kReplyTimeout,
    [this, done = std::move(aDone)](auto aReply, const auto& aReason) {
      done(std::move(aReply), aReason);
      SendNext();
    });
}

// Asks the store to record the trial, or reads the record again while another
// host's trial seems to be in progress.
void
SuspectTrials::SendClaim(std::uint64_t aRequest, Trial& aTrial)
{
  ++aTrial.mSends;
  const std::string requestKey = TrialKeyOf(aRequest);
  const std::string targetKey = TrialKeyOf(aTrial.mTarget);
  const SeenRow& ofRequest = Seen(requestKey);
  const SeenRow& ofTarget = Seen(targetKey);
  const auto onReply = [this, aRequest](const auto& aReply,
                                        const auto& aReason) {
    OnClaimReply(aRequest, aReply, aReason);
  };
  aTrial.mReadKey.clear();
  if (IsTaken(ofRequest) || IsTaken(ofTarget)) {
    aTrial.mReadKey = IsTaken(ofRequest) ? requestKey : targetKey;
    Call(platform::EncodeReadRow(
           mHostHeader, StoreTable::Suspects, aTrial.mReadKey),
         onReply);
    return;
  }
  const TrialRecord record =
    BeginTrial(ofRequest.mRecord, ofRequest.mRecord.mHeld);
  TrialRecord target;
  target.mHeld = record.mHeld;
  Call(platform::EncodeChanges(mHostHeader,
                               StoreTable::Suspects,
                               { { requestKey, FormatTrialRecord(record) },
                                 { targetKey, FormatTrialRecord(target) } },
                               { { requestKey, ofRequest.mVersion },
                                 { targetKey, ofTarget.mVersion } }),
       onReply);
}

void
SuspectTrials::OnClaimReply(std::uint64_t aRequest,
                            const std::optional<HttpReply>& aReply,
                            const std::string& aReason)
{
  const Time now = EventLoop::Now();
  Trial& trial = mTrials[aRequest];
  trial.mPhase = Phase::Idle;
  const std::string requestKey = TrialKeyOf(aRequest);
  const std::string targetKey = TrialKeyOf(trial.mTarget);
  const bool failed = HasStatus(aReply, platform::kConditionFailedStatus);
  std::string reason = aReason;
  const auto rows = HasStatus(aReply, 200) || failed
                      ? platform::DecodeRows(aReply->mBody, reason)
                      : std::nullopt;
  if (!rows) {
    trial.mNextClaimAt = now + kFailureInterval;
    Log(LogLevel::Warn,
        "fleet",
        "claiming a trial failed",
        { { "content", ToHex(aRequest) },
          { "reason",
            aReply ? "status " + std::to_string(aReply->mHead.mStatus)
                   : reason } });
    if (!std::exchange(trial.mRanUnrecorded, true)) {
      Allow(aRequest, trial, false);
    }
    return;
  }
  if (trial.mReadKey.empty() && !failed) {
    SeenRow& ofRequest = Seen(requestKey);
    ofRequest.mRecord = BeginTrial(ofRequest.mRecord, ofRequest.mRecord.mHeld);
    ofRequest.mVersion = rows->mVersion;
    ofRequest.mSince = now;
    SeenRow& ofTarget = Seen(targetKey);
    ofTarget.mRecord.mHeld = ofRequest.mRecord.mHeld;
    ofTarget.mVersion = rows->mVersion;
    ofTarget.mSince = now;
    if (ofRequest.mRecord.mConvicted) {
      Convict(aRequest, ofRequest.mRecord);
    } else {
      Allow(aRequest, trial, true);
    }
    return;
  }
  // Rows that the response lacks do not exist.
  const auto has = [&](const std::string& aKey) {
    return std::any_of(rows->mRows.begin(),
                       rows->mRows.end(),
                       [&](const auto& aRow) { return aRow.mKey == aKey; });
  };
  for (const std::string& it : { requestKey, targetKey }) {
    if (!has(it) && (failed || it == trial.mReadKey)) {
      mSeen.erase(it);
    }
  }
  for (const platform::StoreRow& it : rows->mRows) {
    if (it.mKey == requestKey || it.mKey == targetKey) {
      See(it);
    }
  }
  const SeenRow& ofRequest = Seen(requestKey);
  if (ofRequest.mRecord.mConvicted) {
    Convict(aRequest, ofRequest.mRecord);
  } else if (IsTaken(ofRequest)) {
    trial.mNextClaimAt = now + kClaimInterval;
  } else if (IsTaken(Seen(targetKey))) {
    mFleet.Targets().AvoidForTrials(trial.mTarget, now + kAvoidTime);
  } else if (trial.mSends < kMaxSends) {
    trial.mPhase = Phase::Claiming;
    mQueue.push_back(aRequest);
  }
}

void
SuspectTrials::Allow(std::uint64_t aRequest, Trial& aTrial, bool aRecorded)
{
  aTrial.mPhase = Phase::Running;
  aTrial.mRecorded = aRecorded;
  mFleet.Targets().AllowTrial(aTrial.mQuery, aTrial.mTarget, EventLoop::Now());
  mMetrics.Add(GatewayCounter::SuspectTrials);
  const SuspectEvidence evidence =
    mFleet.Targets().Suspects().EvidenceOf(aRequest, EventLoop::Now());
  Log(LogLevel::Info,
      "fleet",
      "trial of a suspected request",
      { { "content", ToHex(aRequest) },
        { "request", aTrial.mQuery.mRequestId },
        { "target", aTrial.mTarget },
        { "recorded", aRecorded ? "true" : "false" },
        { "lost_runs", std::to_string(evidence.mLostRuns) },
        { "lost_trials",
          std::to_string(Seen(TrialKeyOf(aRequest)).mRecord.mLost) } });
  if (!mTimer.IsSet()) {
    mTimer.ScheduleAt(EventLoop::Now() + kCheckInterval);
  }
}

void
SuspectTrials::Convict(std::uint64_t aRequest, const TrialRecord& aRecord)
{
  mFleet.Targets().Suspects().Convict(aRequest, EventLoop::Now());
  Log(LogLevel::Info,
      "fleet",
      "request convicted of crashing targets",
      { { "content", ToHex(aRequest) },
        { "lost_trials", std::to_string(aRecord.mLost) } });
}

void
SuspectTrials::Tick()
{
  const Time now = EventLoop::Now();
  bool running = false;
  for (auto it = mTrials.begin(); it != mTrials.end();) {
    Trial& trial = it->second;
    if (trial.mPhase == Phase::Running) {
      CheckRunning(it->first, trial, now);
    }
    running |= trial.mPhase == Phase::Running;
    const bool expired = trial.mPhase == Phase::Idle && now >= trial.mExpiresAt;
    it = expired ? mTrials.erase(it) : std::next(it);
  }
  for (auto it = mSeen.begin(); it != mSeen.end();) {
    const bool expired =
      now - it->second.mSince >= SuspectRegistry::kRecordLifetime;
    it = expired ? mSeen.erase(it) : std::next(it);
  }
  if (running) {
    mTimer.ScheduleAt(now + kCheckInterval);
  }
}

void
SuspectTrials::CheckRunning(std::uint64_t aRequest, Trial& aTrial, Time aNow)
{
  TargetTable& targets = mFleet.Targets();
  const SuspectTrial* run = targets.FindTrial(aRequest);
  const auto outcome =
    run == nullptr ? TrialOutcome::Inconclusive : OutcomeOf(*run, aNow);
  if (!outcome) {
    return;
  }
  targets.EndTrial(aRequest);
  aTrial.mOutcome = *outcome;
  aTrial.mExpiresAt = aNow + kIdleLifetime;
  SeenRow& row = Seen(TrialKeyOf(aRequest));
  row.mRecord = FinishTrial(row.mRecord, *outcome);
  Log(LogLevel::Info,
      "fleet",
      "trial ended",
      { { "content", ToHex(aRequest) },
        { "target", aTrial.mTarget },
        { "outcome", std::string(kTrialOutcomeNames.NameOf(*outcome)) },
        { "lost_trials", std::to_string(row.mRecord.mLost) } });
  if (row.mRecord.mConvicted) {
    mMetrics.Add(GatewayCounter::SuspectsConvicted);
    Convict(aRequest, row.mRecord);
  }
  aTrial.mPhase = aTrial.mRecorded ? Phase::Finishing : Phase::Idle;
  aTrial.mSends = 0;
  if (aTrial.mRecorded) {
    Queue(aRequest);
  }
}

// How a trial has ended; nothing while it may still decide.
std::optional<TrialOutcome>
SuspectTrials::OutcomeOf(const SuspectTrial& aRun, Time aNow)
{
  const SuspectRegistry& suspects = mFleet.Targets().Suspects();
  if (!aRun.mStartedAt) {
    return aNow - aRun.mAllowedAt < kStartTime
             ? std::nullopt
             : std::make_optional(TrialOutcome::Inconclusive);
  }
  if (const auto convicts =
        suspects.JudgeLostTrial(aRun.mContentHash, *aRun.mStartedAt, aNow)) {
    return *convicts ? TrialOutcome::Convicted : TrialOutcome::Lost;
  }
  if (suspects.EvidenceOf(aRun.mContentHash, aNow).mLostRuns == 0) {
    return TrialOutcome::Cleared;
  }
  const bool lost = aRun.mOutcome == AttemptOutcome::Lost;
  if ((aRun.mOutcome && !lost) ||
      (lost && aNow - aRun.mEndedAt >= kDeathTime) ||
      aNow - *aRun.mStartedAt >= kMaxTrialTime) {
    return TrialOutcome::Inconclusive;
  }
  return std::nullopt;
}

void
SuspectTrials::SendOutcome(std::uint64_t aRequest, Trial& aTrial)
{
  ++aTrial.mSends;
  const std::string requestKey = TrialKeyOf(aRequest);
  const std::string targetKey = TrialKeyOf(aTrial.mTarget);
  const SeenRow& row = Seen(requestKey);
  const bool cleared = aTrial.mOutcome == TrialOutcome::Cleared;
  const std::optional<std::string> value =
    cleared ? std::nullopt : std::make_optional(FormatTrialRecord(row.mRecord));
  Call(platform::EncodeChanges(
         mHostHeader,
         StoreTable::Suspects,
         { { requestKey, value }, { targetKey, std::nullopt } },
         { { requestKey, row.mVersion },
           { targetKey, Seen(targetKey).mVersion } }),
       [this, aRequest](const auto& aReply, const auto& aReason) {
         OnOutcomeReply(aRequest, aReply, aReason);
       });
}

void
SuspectTrials::OnOutcomeReply(std::uint64_t aRequest,
                              const std::optional<HttpReply>& aReply,
                              const std::string& aReason)
{
  Trial& trial = mTrials[aRequest];
  const std::string requestKey = TrialKeyOf(aRequest);
  const bool written = HasStatus(aReply, 200);
  const bool overtaken = HasStatus(aReply, platform::kConditionFailedStatus);
  if (!written && !overtaken && trial.mSends < kMaxSends) {
    mQueue.push_back(aRequest);
    return;
  }
  if (!written) {
    Log(LogLevel::Warn,
        "fleet",
        "the outcome of a trial was not stored",
        { { "content", ToHex(aRequest) },
          { "outcome", std::string(kTrialOutcomeNames.NameOf(trial.mOutcome)) },
          { "reason",
            aReply ? "status " + std::to_string(aReply->mHead.mStatus)
                   : aReason } });
  }
  std::string reason;
  const auto rows =
    written ? platform::DecodeRows(aReply->mBody, reason) : std::nullopt;
  if (rows && trial.mOutcome != TrialOutcome::Cleared) {
    Seen(requestKey).mVersion = rows->mVersion;
  } else {
    mSeen.erase(requestKey);
  }
  mSeen.erase(TrialKeyOf(trial.mTarget));
  trial.mPhase = Phase::Idle;
}

void
SuspectTrials::See(const platform::StoreRow& aRow)
{
  SeenRow& seen = mSeen[aRow.mKey];
  if (aRow.mVersion != seen.mVersion) {
    // A malformed record counts as a new one.
    seen.mRecord = ParseTrialRecord(aRow.mValue).value_or(TrialRecord());
    seen.mVersion = aRow.mVersion;
    seen.mSince = EventLoop::Now();
  }
}

// The row as last seen, by this object or by the readers of the table.
SuspectTrials::SeenRow&
SuspectTrials::Seen(const std::string& aKey)
{
  const auto& rows = mFleet.Rows(StoreTable::Suspects);
  const auto row = rows.find(aKey);
  if (row != rows.end() && !row->second.mRemoved &&
      row->second.mVersion > mSeen[aKey].mVersion) {
    See(row->second);
  }
  return mSeen[aKey];
}

// Whether another host's trial is in progress.
bool
SuspectTrials::IsTaken(const SeenRow& aRow) const
{
  return aRow.mRecord.mHeld && EventLoop::Now() - aRow.mSince < kTrialLease;
}

} // namespace quetzalquay
