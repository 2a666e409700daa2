#include "gateway/RolloutWatch.h"

#include "core/Hash.h"
#include "gateway/RolloutMessages.h"
#include "observe/Log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace quetzalquay {

namespace {

using platform::StoreTable;
using std::chrono::milliseconds;

// Interval at which orders are looked for, and that between two steps while
// there are some.
constexpr Duration kIdleInterval = milliseconds(200);
constexpr Duration kStepInterval = milliseconds(50);

// Interval of a host's reports, and for each host beyond the number at which
// the keeper would get more than 250 reports a second.
constexpr Duration kReportInterval = milliseconds(200);
constexpr Duration kReportIntervalPerHost = milliseconds(4);

// Interval at which the keeper repeats unchanged directives, and the delays
// with which it repeats a changed stage.
constexpr Duration kDirectiveInterval = milliseconds(500);
constexpr Duration kRepeatDelays[] = { milliseconds(40), milliseconds(100) };

// Interval at which the keeper tells a changed share of a trial.
constexpr Duration kShareInterval = milliseconds(250);

// Time without a directive after which the next host is taken for the keeper:
// two of the keeper's messages and the longest pause of a small host.
constexpr Duration kKeeperSilence = milliseconds(1200);

// Hosts that may keep an order.
constexpr std::size_t kMaxKeepers = 4;

// Time limit for an answer of the store, and the pause after a failure.
constexpr Duration kReplyTimeout = milliseconds(500);
constexpr Duration kFailureInterval = milliseconds(300);

constexpr char kRunning[] = "running";
constexpr char kCompleted[] = "completed";
constexpr char kRolledBack[] = "rolled_back";

std::optional<RolloutStage>
FinalStageOf(const std::string& aState)
{
  if (aState == kCompleted) {
    return RolloutStage::Completed;
  }
  return aState == kRolledBack ? std::make_optional(RolloutStage::RolledBack)
                               : std::nullopt;
}

RolloutBounds
BoundsOf(const GatewaySettings& aSettings)
{
  return { aSettings.mExposureShare, aSettings.mExposureSlack };
}

} // namespace

RolloutWatch::RolloutWatch(EventLoop& aLoop,
                           const GatewaySettings& aSettings,
                           Fleet& aFleet,
                           LoadBroadcaster& aSender,
                           GatewayMetrics& aMetrics,
                           ReplyBuffers& aReplies)
  : mSettings(aSettings)
  , mFleet(aFleet)
  , mSender(aSender)
  , mMetrics(aMetrics)
  , mKeeper(BoundsOf(aSettings))
  , mStore(aLoop, aSettings.mStoreEndpoint, aReplies, ReplyKind::Written)
  , mTimer(aLoop, [this] { OnTimer(); })
{
  mSender.SetRolloutCallbacks(
    [this](const std::string& aHost, const RolloutReport& aReport) {
      OnReport(aHost, aReport);
    },
    [this](const std::string& aHost, const RolloutDirective& aDirective) {
      OnDirective(aHost, aDirective);
    });
  // The records of the earlier era may be lost.
  mFleet.AddEraCallback([this] { mRecords.clear(); });
  mTimer.ScheduleAt(EventLoop::Now() + kIdleInterval);
}

void
RolloutWatch::Configure(const GatewaySettings& aSettings)
{
  mSettings = aSettings;
  mKeeper.SetBounds(BoundsOf(aSettings));
  mStore.SetServer(aSettings.mStoreEndpoint);
}

void
RolloutWatch::OnTimer()
{
  const Time now = EventLoop::Now();
  if (!mFleet.Rollouts().HasOpenOrder(now) && !HasUnrecordedEnd(now)) {
    mChoices.clear();
    mTimer.ScheduleAt(now + kIdleInterval);
    return;
  }
  mTimer.ScheduleAt(now + kStepInterval);
  if (now >= mReportAt) {
    mReportAt = now + Interval();
    Report(now);
  }
  while (!mRepeats.empty() && mRepeats.front().first <= now) {
    const RolloutDirective repeated = std::move(mRepeats.front().second);
    mRepeats.pop_front();
    SendDirective(repeated);
  }
  const bool repeats = now >= mDirectivesAt;
  if (repeats) {
    mDirectivesAt = now + kDirectiveInterval;
  }
  for (const std::string& it : mFleet.Rollouts().Services()) {
    if (!IsKeeper(it, now)) {
      continue;
    }
    Decide(it, now);
    const auto directive = mKeeper.DirectiveOf(it, now);
    if (repeats && directive) {
      SendDirective(*directive);
    }
    CallStore(it, now);
  }
}

Duration
RolloutWatch::Interval() const
{
  return std::max(kReportInterval,
                  kReportIntervalPerHost *
                    static_cast<int>(mFleet.HostAddresses().size()));
}

// All hosts in the order in which they keep a service's orders.
std::vector<std::string>
RolloutWatch::RankedHosts(const std::string& aService) const
{
  std::vector<std::string> hosts;
  for (const auto& it : mFleet.HostAddresses()) {
    hosts.push_back(it.first);
  }
  if (mFleet.HostAddresses().count(mSettings.mHost) == 0) {
    hosts.push_back(mSettings.mHost);
  }
  const std::uint64_t service = StableHash(aService);
  const std::size_t count = std::min(kMaxKeepers, hosts.size());
  std::partial_sort(
    hosts.begin(),
    hosts.begin() + static_cast<long>(count),
    hosts.end(),
    [service](const std::string& aLeft, const std::string& aRight) {
      return StableHash(aLeft, service) < StableHash(aRight, service);
    });
  hosts.resize(count);
  return hosts;
}

// The host that this one reports to. Goes on to the next one if it is silent.
std::string
RolloutWatch::KeeperOf(const std::string& aService, Time aNow)
{
  const auto hosts = RankedHosts(aService);
  KeeperChoice& choice = mChoices[aService];
  choice.mRank %= hosts.size();
  if (choice.mHeardAt == Time()) {
    choice.mHeardAt = aNow;
  }
  if (aNow - choice.mHeardAt >= kKeeperSilence) {
    const std::size_t silent = choice.mRank;
    choice.mRank = (choice.mRank + 1) % hosts.size();
    choice.mHeardAt = aNow;
    Log(LogLevel::Info,
        "rollout",
        "keeper is silent",
        { { "service", aService },
          { "keeper", hosts[silent] },
          { "next", hosts[choice.mRank] } });
  }
  return hosts[choice.mRank];
}

bool
RolloutWatch::IsKeeper(const std::string& aService, Time aNow)
{
  return KeeperOf(aService, aNow) == mSettings.mHost;
}

void
RolloutWatch::Report(Time aNow)
{
  for (const RolloutReport& it : mFleet.Rollouts().Reports(aNow)) {
    const std::string keeper = KeeperOf(it.mService, aNow);
    if (keeper == mSettings.mHost) {
      mKeeper.OnReport(mSettings.mHost, it, true, aNow);
      const RolloutOrder* order = mFleet.Rollouts().OrderOf(it.mService);
      if (order->mSeenGiven && mKeeper.NeedsRecord(it.mService)) {
        mKeeper.OnRecord(it.mService, order->mId, std::nullopt, aNow);
      }
    } else {
      mSender.SendRolloutReport(keeper, it);
    }
  }
}

void
RolloutWatch::OnReport(const std::string& aHost, const RolloutReport& aReport)
{
  const Time now = EventLoop::Now();
  mKeeper.OnReport(aHost, aReport, false, now);
  // A host that does not hear the keeper which this one hears.
  const auto directive = mFleet.Rollouts().DirectiveOf(aReport.mService);
  if (directive && !IsKeeper(aReport.mService, now)) {
    mSender.SendRolloutDirective(aHost, *directive);
  }
}

void
RolloutWatch::OnDirective(const std::string& aHost,
                          const RolloutDirective& aDirective)
{
  const Time now = EventLoop::Now();
  const auto hosts = RankedHosts(aDirective.mService);
  const auto rank = static_cast<std::size_t>(
    std::find(hosts.begin(), hosts.end(), aHost) - hosts.begin());
  KeeperChoice& choice = mChoices[aDirective.mService];
  if (rank <= choice.mRank) {
    choice.mRank = rank;
    choice.mHeardAt = now;
  }
  mKeeper.OnDirective(aDirective, now);
  const bool changed = mFleet.Rollouts().OnDirective(aDirective, now);
  mMetrics.Set(GatewayGauge::RolloutStage,
               static_cast<double>(aDirective.mStage));
  mMetrics.Set(GatewayGauge::RolloutShare, aDirective.mShare);
  if (changed) {
    Log(LogLevel::Info,
        "rollout",
        "stage applied",
        { { "service", aDirective.mService },
          { "version", aDirective.mVersion },
          { "stage", std::string(NameOf(aDirective.mStage)) },
          { "share", std::to_string(aDirective.mShare) },
          { "from", aHost },
          { "age_ms", std::to_string(ToMilliseconds(aDirective.mAge)) } });
  }
}

// Decides, if this host is the keeper of an order.
void
RolloutWatch::Decide(const std::string& aService, Time aNow)
{
  const auto decision = mKeeper.Decide(aService, aNow);
  if (!decision) {
    return;
  }
  const RolloutDirective& directive = decision->mDirective;
  if (decision->mReason != RolloutKeeper::kExposureReason) {
    const VersionFault fault = decision->mFault.value_or(VersionFault());
    Log(LogLevel::Info,
        "rollout",
        "stage decided",
        { { "service", aService },
          { "version", directive.mVersion },
          { "stage", std::string(NameOf(directive.mStage)) },
          { "share", std::to_string(directive.mShare) },
          { "reason", decision->mReason },
          { "requests", std::to_string(directive.mRequests) },
          { "exposed", std::to_string(directive.mExposed) },
          { "age_ms", std::to_string(ToMilliseconds(directive.mAge)) },
          { "judged", std::to_string(fault.mJudged) },
          { "bad", std::to_string(fault.mBad) },
          { "expected_share", std::to_string(fault.mExpectedShare) },
          { "route", fault.mRoute } });
    SendRepeatedly(directive, aNow);
  } else if (aNow - mSharesAt >= kShareInterval) {
    SendDirective(directive);
    mSharesAt = aNow;
  }
}

void
RolloutWatch::SendRepeatedly(const RolloutDirective& aDirective, Time aNow)
{
  SendDirective(aDirective);
  for (const Duration delay : kRepeatDelays) {
    mRepeats.emplace_back(aNow + delay, aDirective);
  }
}

void
RolloutWatch::SendDirective(const RolloutDirective& aDirective)
{
  OnDirective(mSettings.mHost, aDirective);
  std::set<std::string> hosts;
  for (const auto& it : mFleet.HostAddresses()) {
    hosts.insert(it.first);
  }
  // A host that has just started is not listed yet.
  for (const std::string& it : mKeeper.HostsOf(aDirective.mService)) {
    hosts.insert(it);
  }
  hosts.erase(mSettings.mHost);
  for (const std::string& it : hosts) {
    mSender.SendRolloutDirective(it, aDirective);
  }
}

// Whether the record is that of the service's order as it was given last.
bool
RolloutWatch::IsRecordKnown(const std::string& aService) const
{
  const RolloutOrder* order = mFleet.Rollouts().OrderOf(aService);
  const auto record = mRecords.find(aService);
  return order != nullptr && record != mRecords.end() &&
         record->second.mKnown && record->second.mOrder == order->mId &&
         (record->second.mState.empty() ||
          mFleet.IsRolloutRecordCurrent(aService, record->second.mVersion));
}

bool
RolloutWatch::HasUnrecordedEnd(Time aNow)
{
  for (const std::string& it : mFleet.Rollouts().Services()) {
    const auto directive = mKeeper.DirectiveOf(it, aNow);
    if (directive && IsFinal(directive->mStage) &&
        !(IsRecordKnown(it) && FinalStageOf(mRecords[it].mState)) &&
        IsKeeper(it, aNow)) {
      return true;
    }
  }
  return false;
}

// Reads or writes the record of an order that this host keeps, if that is due.
void
RolloutWatch::CallStore(const std::string& aService, Time aNow)
{
  if (mStore.IsBusy() || aNow < mNextCallAt) {
    return;
  }
  const RolloutOrder* order = mFleet.Rollouts().OrderOf(aService);
  Record& record = mRecords[aService];
  if (order != nullptr && !IsRecordKnown(aService)) {
    ReadRecord(aService, order->mId);
    return;
  }
  const auto directive = mKeeper.DirectiveOf(aService, aNow);
  if (!directive || FinalStageOf(record.mState)) {
    return;
  }
  // The keeper learns with the next report that the order was given again.
  if (order != nullptr && aNow + directive->mLeft < order->mStartedAt) {
    return;
  }
  if (directive->mStage == RolloutStage::RolledBack) {
    WriteRecord(*directive, kRolledBack);
  } else if (directive->mStage == RolloutStage::Completed ||
             mKeeper.IsToBeCompleted(aService, aNow)) {
    WriteRecord(*directive, kCompleted);
  } else if (record.mState.empty()) {
    WriteRecord(*directive, kRunning);
  }
}

void
RolloutWatch::ReadRecord(const std::string& aService, std::uint64_t aOrder)
{
  mStore.Call(
    platform::EncodeReadRow(mStore.ServerName(),
                            StoreTable::Status,
                            platform::RolloutKeyOf(aService)),
    EventLoop::Now() + kReplyTimeout,
    [this, aService, aOrder](const auto& aReply, const auto& aReason) {
      std::string reason = aReason;
      const auto rows = aReply && aReply->mHead.mStatus == 200
                          ? platform::DecodeRows(aReply->mBody, reason)
                          : std::nullopt;
      if (rows) {
        ApplyRecord(aService, aOrder, *rows);
      } else {
        OnStoreFailed("record not read",
                      aService,
                      aReply ? "status " + std::to_string(aReply->mHead.mStatus)
                             : reason);
      }
    });
}

// Takes over what the store has on record; rows without the service's mean that
// there is no record.
void
RolloutWatch::ApplyRecord(const std::string& aService,
                          std::uint64_t aOrder,
                          const platform::StoreRows& aRows)
{
  const Time now = EventLoop::Now();
  Record& record = mRecords[aService];
  record = Record();
  record.mKnown = true;
  record.mOrder = aOrder;
  const std::string key = platform::RolloutKeyOf(aService);
  for (const platform::StoreRow& it : aRows.mRows) {
    if (it.mKey != key || it.mRemoved) {
      continue;
    }
    record.mVersion = it.mVersion;
    std::string reason;
    const auto state = platform::DecodeRolloutStatus(it.mValue, reason);
    const RolloutOrder* order = mFleet.Rollouts().OrderOf(aService);
    if (!state) {
      Log(LogLevel::Warn,
          "rollout",
          "unreadable record is replaced",
          { { "service", aService }, { "reason", reason } });
    } else if (order != nullptr && state->mVersion == order->mVersion &&
               mFleet.IsRolloutRecordCurrent(aService, it.mVersion)) {
      record.mState = state->mState;
    }
  }
  mKeeper.OnRecord(aService, aOrder, FinalStageOf(record.mState), now);
}

void
RolloutWatch::WriteRecord(const RolloutDirective& aDirective,
                          const char* aState)
{
  const std::string service = aDirective.mService;
  const std::string key = platform::RolloutKeyOf(service);
  Record& record = mRecords[service];
  mStore.Call(
    platform::EncodeChanges(
      mStore.ServerName(),
      StoreTable::Status,
      { { key,
          platform::FormatRolloutStatus({ aState, aDirective.mVersion }) } },
      { { key, record.mVersion } }),
    EventLoop::Now() + kReplyTimeout,
    [this, service, order = aDirective.mOrder, state = std::string(aState)](
      const auto& aReply, const auto& aReason) {
      std::string reason = aReason;
      const int status = aReply ? aReply->mHead.mStatus : 0;
      const auto rows =
        status == 200 || status == platform::kConditionFailedStatus
          ? platform::DecodeRows(aReply->mBody, reason)
          : std::nullopt;
      if (!rows) {
        // The change may have been made, or may still be.
        mRecords[service].mKnown = false;
        OnStoreFailed("record not written",
                      service,
                      status == 0 ? reason
                                  : "status " + std::to_string(status));
        return;
      }
      if (status != 200) {
        // Another keeper was faster, or an earlier write was done after all.
        ApplyRecord(service, order, *rows);
        return;
      }
      Record& written = mRecords[service];
      written.mState = state;
      written.mVersion = rows->mVersion;
      const Time now = EventLoop::Now();
      Log(LogLevel::Info,
          "rollout",
          "record written",
          { { "service", service },
            { "state", state },
            { "row_version", std::to_string(rows->mVersion) } });
      if (state == kCompleted) {
        mKeeper.OnCompletionRecorded(service, order, now);
        if (const auto directive = mKeeper.DirectiveOf(service, now)) {
          SendRepeatedly(*directive, now);
        }
      }
    });
}

void
RolloutWatch::OnStoreFailed(const char* aMessage,
                            const std::string& aService,
                            const std::string& aReason)
{
  mNextCallAt = EventLoop::Now() + kFailureInterval;
  Log(LogLevel::Warn,
      "rollout",
      aMessage,
      { { "service", aService }, { "reason", aReason } });
}

} // namespace quetzalquay
