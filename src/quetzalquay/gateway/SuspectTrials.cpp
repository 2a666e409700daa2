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

// Delay of the next claim while another host runs a trial of the set, and while
// the store does not answer or after a conviction.
constexpr Duration kClaimInterval = milliseconds(100);
constexpr Duration kFailureInterval = milliseconds(500);

// Time for which a target with a trial of another host is not offered.
constexpr Duration kAvoidTime = milliseconds(150);

// Time in which an allowed trial must start, as its caller may have left.
constexpr Duration kStartTime = milliseconds(300);

// Time in which a lost connection is recognized as the death of its target.
constexpr Duration kDeathTime = milliseconds(600);

// Longest trial; a shorter time than that after which its host counts as
// vanished.
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
                             GatewayMetrics& aMetrics,
                             ReplyBuffers& aReplies)
  : mHost(aSettings.mHost)
  , mFleet(aFleet)
  , mMetrics(aMetrics)
  , mHttpClient(aLoop, aSettings.mStoreEndpoint, aReplies, ReplyKind::Written)
  , mTimer(aLoop, [this] { Tick(); })
  , mRows(aFleet)
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
  const SuspectSet suspects =
    mFleet.Targets().Suspects().SuspectsOf(aQuery.mContent, now);
  Trial& trial = mTrials[suspects.mId];
  trial.mExpiresAt = now + kIdleLifetime;
  if (trial.mPhase != Phase::Idle || now < trial.mNextClaimAt) {
    return;
  }
  trial.mPhase = Phase::Claiming;
  trial.mSuspects = suspects;
  trial.mQuery = aQuery;
  trial.mTarget = aTarget;
  trial.mSends = 0;
  Queue(suspects.mId);
}

void
SuspectTrials::Queue(std::uint64_t aSet)
{
  mQueue.push_back(aSet);
  SendNext();
}

void
SuspectTrials::SendNext()
{
  if (mHttpClient.IsBusy() || mQueue.empty()) {
    return;
  }
  const std::uint64_t set = mQueue.front();
  mQueue.pop_front();
  Trial& trial = mTrials[set];
  if (trial.mPhase == Phase::Claiming) {
    SendClaim(set, trial);
  } else {
    SendOutcome(set, trial);
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

// The record of a set whose trial begins.
TrialRecord
SuspectTrials::RecordOfNext(const Trial& aTrial)
{
  const TrialRecord& known = mRows.Of(TrialKeyOf(aTrial.mSuspects.mId)).mRecord;
  TrialRecord record = BeginTrial(known, known.mHeld);
  record.mMembers = aTrial.mSuspects.mMembers;
  return record;
}

// Asks the store to record the trial, or reads the record again while another
// host's trial seems to be in progress.
void
SuspectTrials::SendClaim(std::uint64_t aSet, Trial& aTrial)
{
  ++aTrial.mSends;
  const std::string setKey = TrialKeyOf(aSet);
  const std::string targetKey = TrialKeyOf(aTrial.mTarget);
  const TrialRows::Row& ofSet = mRows.Of(setKey);
  const TrialRows::Row& ofTarget = mRows.Of(targetKey);
  const auto onReply = [this, aSet](const auto& aReply, const auto& aReason) {
    OnClaimReply(aSet, aReply, aReason);
  };
  aTrial.mReadKey.clear();
  if (ofSet.IsTaken() || ofTarget.IsTaken()) {
    aTrial.mReadKey = ofSet.IsTaken() ? setKey : targetKey;
    Call(platform::EncodeReadRow(
           mHttpClient.ServerName(), StoreTable::Suspects, aTrial.mReadKey),
         onReply);
    return;
  }
  const TrialRecord record = RecordOfNext(aTrial);
  TrialRecord target;
  target.mHeld = record.mHeld;
  Call(platform::EncodeChanges(
         mHttpClient.ServerName(),
         StoreTable::Suspects,
         { { setKey, FormatTrialRecord(record) },
           { targetKey, FormatTrialRecord(target) } },
         { { setKey, ofSet.mVersion }, { targetKey, ofTarget.mVersion } }),
       onReply);
}

Time
SuspectTrials::NextUnrecorded(const Trial& aTrial, Time aNow) const
{
  const std::uint64_t set = aTrial.mSuspects.mId;
  const auto& hosts = mFleet.HostAddresses();
  const auto earlier =
    std::count_if(hosts.begin(), hosts.end(), [&](const auto& aHost) {
      return StableHash(aHost.first, set) < StableHash(mHost, set);
    });
  return mFleet.Targets().Suspects().NextUnrecordedTrial(
    aTrial.mSuspects, static_cast<std::size_t>(earlier), aNow);
}

void
SuspectTrials::OnClaimReply(std::uint64_t aSet,
                            const std::optional<HttpReply>& aReply,
                            const std::string& aReason)
{
  const Time now = EventLoop::Now();
  Trial& trial = mTrials[aSet];
  trial.mPhase = Phase::Idle;
  const std::string setKey = TrialKeyOf(aSet);
  const std::string targetKey = TrialKeyOf(trial.mTarget);
  const bool failed = HasStatus(aReply, platform::kConditionFailedStatus);
  std::string reason = aReason;
  const auto rows = HasStatus(aReply, 200) || failed
                      ? platform::DecodeRows(aReply->mBody, reason)
                      : std::nullopt;
  if (!rows) {
    const Time unrecordedAt = NextUnrecorded(trial, now);
    const bool runs = unrecordedAt <= now;
    trial.mNextClaimAt = now + kFailureInterval;
    if (!runs) {
      trial.mNextClaimAt = std::min(trial.mNextClaimAt, unrecordedAt);
    }
    Log(
      LogLevel::Warn,
      "fleet",
      "claiming a trial failed",
      { { "suspects", ToHex(aSet) },
        { "reason",
          aReply ? "status " + std::to_string(aReply->mHead.mStatus) : reason },
        { "unrecorded_in_ms",
          std::to_string(ToMilliseconds(unrecordedAt - now)) } });
    if (runs) {
      Allow(trial, false);
    }
    return;
  }
  if (trial.mReadKey.empty() && !failed) {
    const TrialRecord record = RecordOfNext(trial);
    TrialRecord target;
    target.mHeld = record.mHeld;
    mRows.OnWritten(setKey, record, rows->mVersion);
    mRows.OnWritten(targetKey, target, rows->mVersion);
    if (record.mConvicted) {
      Convict(trial, record);
    } else {
      Allow(trial, true);
    }
    return;
  }
  // Rows that the response lacks do not exist.
  const auto has = [&](const std::string& aKey) {
    return std::any_of(rows->mRows.begin(),
                       rows->mRows.end(),
                       [&](const auto& aRow) { return aRow.mKey == aKey; });
  };
  for (const std::string& it : { setKey, targetKey }) {
    if (!has(it) && (failed || it == trial.mReadKey)) {
      mRows.Forget(it);
    }
  }
  for (const platform::StoreRow& it : rows->mRows) {
    if (it.mKey == setKey || it.mKey == targetKey) {
      mRows.OnRead(it);
    }
  }
  const TrialRows::Row& ofSet = mRows.Of(setKey);
  if (ofSet.mRecord.mConvicted) {
    Convict(trial, ofSet.mRecord);
  } else if (ofSet.IsTaken()) {
    trial.mNextClaimAt = now + kClaimInterval;
  } else if (mRows.Of(targetKey).IsTaken()) {
    mFleet.Targets().AvoidForTrials(trial.mTarget, now + kAvoidTime);
  } else if (trial.mSends < kMaxSends) {
    trial.mPhase = Phase::Claiming;
    mQueue.push_back(aSet);
  }
}

void
SuspectTrials::Allow(Trial& aTrial, bool aRecorded)
{
  aTrial.mPhase = Phase::Running;
  aTrial.mRecorded = aRecorded;
  mFleet.Targets().AllowTrial(aTrial.mQuery, aTrial.mTarget, EventLoop::Now());
  mMetrics.Add(GatewayCounter::SuspectTrials);
  const std::uint64_t set = aTrial.mSuspects.mId;
  const SuspectEvidence evidence = mFleet.Targets().Suspects().EvidenceOf(
    aTrial.mSuspects.mMembers.front(), EventLoop::Now());
  Log(LogLevel::Info,
      "fleet",
      "trial of a suspected request",
      { { "content", ToHex(aTrial.mQuery.mContent.mHash) },
        { "suspects", ToHex(set) },
        { "request", aTrial.mQuery.mRequestId },
        { "target", aTrial.mTarget },
        { "recorded", aRecorded ? "true" : "false" },
        { "lost_runs", std::to_string(evidence.mLostRuns) },
        { "lost_trials",
          std::to_string(mRows.Of(TrialKeyOf(set)).mRecord.mLost) } });
  if (!mTimer.IsSet()) {
    mTimer.ScheduleAt(EventLoop::Now() + kCheckInterval);
  }
}

void
SuspectTrials::Convict(Trial& aTrial, const TrialRecord& aRecord)
{
  const Time now = EventLoop::Now();
  mFleet.Targets().Suspects().Convict(aTrial.mSuspects, now);
  aTrial.mNextClaimAt = now + kFailureInterval;
  Log(LogLevel::Info,
      "fleet",
      "request convicted of crashing targets",
      { { "content", ToHex(aTrial.mQuery.mContent.mHash) },
        { "suspects", ToHex(aTrial.mSuspects.mId) },
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
  mRows.Expire(now);
  if (running) {
    mTimer.ScheduleAt(now + kCheckInterval);
  }
}

void
SuspectTrials::CheckRunning(std::uint64_t aSet, Trial& aTrial, Time aNow)
{
  TargetTable& targets = mFleet.Targets();
  const std::uint64_t content = aTrial.mQuery.mContent.mHash;
  const SuspectTrial* run = targets.FindTrial(content);
  const auto outcome = run == nullptr ? TrialOutcome::Inconclusive
                                      : OutcomeOf(*run, aTrial.mSuspects, aNow);
  if (!outcome) {
    return;
  }
  targets.EndTrial(content);
  aTrial.mOutcome = *outcome;
  aTrial.mExpiresAt = aNow + kIdleLifetime;
  TrialRows::Row& row = mRows.Of(TrialKeyOf(aSet));
  row.mRecord = FinishTrial(row.mRecord, *outcome);
  Log(LogLevel::Info,
      "fleet",
      "trial ended",
      { { "content", ToHex(content) },
        { "suspects", ToHex(aSet) },
        { "target", aTrial.mTarget },
        { "outcome", std::string(kTrialOutcomeNames.NameOf(*outcome)) },
        { "lost_trials", std::to_string(row.mRecord.mLost) } });
  if (row.mRecord.mConvicted) {
    mMetrics.Add(GatewayCounter::SuspectsConvicted);
    Convict(aTrial, row.mRecord);
    mFleet.Targets().Suspects().TellConviction(aTrial.mSuspects, aNow);
  }
  aTrial.mPhase = aTrial.mRecorded ? Phase::Finishing : Phase::Idle;
  aTrial.mSends = 0;
  if (aTrial.mRecorded) {
    Queue(aSet);
  }
}

// How a trial has ended; nothing while it may still decide.
std::optional<TrialOutcome>
SuspectTrials::OutcomeOf(const SuspectTrial& aRun,
                         const SuspectSet& aSuspects,
                         Time aNow)
{
  const SuspectRegistry& suspects = mFleet.Targets().Suspects();
  if (!aRun.mStartedAt) {
    return aNow - aRun.mAllowedAt < kStartTime
             ? std::nullopt
             : std::make_optional(TrialOutcome::Inconclusive);
  }
  if (const auto convicts = suspects.JudgeLostTrial(
        aRun.mContent, aSuspects, *aRun.mStartedAt, aNow)) {
    return *convicts ? TrialOutcome::Convicted : TrialOutcome::Lost;
  }
  const auto& members = aSuspects.mMembers;
  const auto isCleared = [&](std::uint64_t aMember) {
    return suspects.EvidenceOf(aMember, aNow).mLostRuns == 0;
  };
  if (std::all_of(members.begin(), members.end(), isCleared)) {
    return TrialOutcome::Cleared;
  }
  const bool checked = aRun.mOutcome == AttemptOutcome::Lost ||
                       aRun.mOutcome == AttemptOutcome::FinishedByClose;
  // The death of a silent target is known when its entry ends.
  const bool ended = aRun.mOutcome && aRun.mOutcome != AttemptOutcome::GivenUp;
  if ((ended && !checked) || (checked && aNow - aRun.mEndedAt >= kDeathTime) ||
      aNow - *aRun.mStartedAt >= kMaxTrialTime) {
    return TrialOutcome::Inconclusive;
  }
  return std::nullopt;
}

void
SuspectTrials::SendOutcome(std::uint64_t aSet, Trial& aTrial)
{
  ++aTrial.mSends;
  const std::string setKey = TrialKeyOf(aSet);
  const std::string targetKey = TrialKeyOf(aTrial.mTarget);
  const TrialRows::Row& row = mRows.Of(setKey);
  const bool cleared = aTrial.mOutcome == TrialOutcome::Cleared;
  const std::optional<std::string> value =
    cleared ? std::nullopt : std::make_optional(FormatTrialRecord(row.mRecord));
  Call(
    platform::EncodeChanges(mHttpClient.ServerName(),
                            StoreTable::Suspects,
                            { { setKey, value }, { targetKey, std::nullopt } },
                            { { setKey, row.mVersion },
                              { targetKey, mRows.Of(targetKey).mVersion } }),
    [this, aSet](const auto& aReply, const auto& aReason) {
      OnOutcomeReply(aSet, aReply, aReason);
    });
}

void
SuspectTrials::OnOutcomeReply(std::uint64_t aSet,
                              const std::optional<HttpReply>& aReply,
                              const std::string& aReason)
{
  Trial& trial = mTrials[aSet];
  const std::string setKey = TrialKeyOf(aSet);
  const bool written = HasStatus(aReply, 200);
  const bool overtaken = HasStatus(aReply, platform::kConditionFailedStatus);
  if (!written && !overtaken && trial.mSends < kMaxSends) {
    mQueue.push_back(aSet);
    return;
  }
  if (!written) {
    Log(LogLevel::Warn,
        "fleet",
        "the outcome of a trial was not stored",
        { { "suspects", ToHex(aSet) },
          { "outcome", std::string(kTrialOutcomeNames.NameOf(trial.mOutcome)) },
          { "reason",
            aReply ? "status " + std::to_string(aReply->mHead.mStatus)
                   : aReason } });
  }
  std::string reason;
  const auto rows =
    written ? platform::DecodeRows(aReply->mBody, reason) : std::nullopt;
  if (rows && trial.mOutcome != TrialOutcome::Cleared) {
    mRows.Of(setKey).mVersion = rows->mVersion;
  } else {
    mRows.Forget(setKey);
  }
  mRows.Forget(TrialKeyOf(trial.mTarget));
  trial.mPhase = Phase::Idle;
}

} // namespace quetzalquay
