#include "gateway/Prober.h"

#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

// Time limit for the report of a newly found target.
constexpr Duration kIdentifyTimeout = std::chrono::milliseconds(400);

// Maximum age of received bytes that count as proof that a target is alive.
constexpr Duration kMaxLivenessProofAge = std::chrono::milliseconds(150);

// Delay of a death check. A target that lives usually sends bytes on another
// connection meanwhile.
constexpr Duration kDeathCheckDelay = std::chrono::milliseconds(30);

// Time in which bytes that a target sent before its end are read.
constexpr Duration kReadDelay = std::chrono::milliseconds(10);

// Time limit for the connection of a death check.
constexpr Duration kDeathCheckTimeout = std::chrono::milliseconds(400);

// Time limit for a connection that is only tried.
constexpr Duration kTryTimeout = std::chrono::milliseconds(200);

const char*
NameOf(ProbeResult aResult)
{
  switch (aResult) {
    case ProbeResult::Alive:
      return "alive";
    case ProbeResult::Dead:
      return "dead";
    case ProbeResult::RunLost:
      return "run_lost";
    case ProbeResult::NoAnswer:
      break;
  }
  return "no_answer";
}

} // namespace

Prober::Prober(EventLoop& aLoop, Fleet& aFleet, TargetConnectionPool& aPool)
  : mLoop(aLoop)
  , mFleet(aFleet)
  , mPool(aPool)
  , mCheckTimer(aLoop, [this] { StartDeathChecks(); })
{
}

Prober::~Prober() = default;

void
Prober::Probe(const std::string& aTarget,
              bool aReport,
              Time aDeadline,
              Callback aCallback)
{
  const auto pending = mPending.find(aTarget);
  if (pending != mPending.end()) {
    pending->second.mCallbacks.push_back(std::move(aCallback));
    return;
  }
  if (!aReport &&
      EventLoop::Now() - mPool.LastActivity(aTarget) < kMaxLivenessProofAge) {
    mLoop.Defer([callback = std::move(aCallback)] {
      callback(ProbeResult::Alive, nullptr);
    });
    return;
  }
  PendingProbe probe;
  probe.mCallbacks.push_back(std::move(aCallback));
  const TargetLocation* location = mFleet.Locate(aTarget);
  std::string request;
  if (location != nullptr) {
    probe.mIncarnation = location->mIncarnation;
    request = platform::EncodeReportRequest(location->mAddress);
    ++mProbeCount;
  }
  mPending.emplace(aTarget, std::move(probe));
  if (location != nullptr &&
      mFleet.Targets().WantsNothing(aTarget, EventLoop::Now())) {
    // A connection without a request shows whether it lives.
    const auto check =
      MakeRef<DeathCheck>(mLoop, [this, aTarget](DeathCheck::Result aResult) {
        RecordReach(aTarget, aResult);
        FinishProbe(
          aTarget,
          aResult == DeathCheck::Result::Listening ? ProbeResult::Alive
          : aResult == DeathCheck::Result::Refused ? ProbeResult::Dead
                                                   : ProbeResult::NoAnswer,
          nullptr);
      });
    check->Start(location->mEndpoint, aDeadline);
    return;
  }
  const auto call = MakeRef<TargetCall>(
    mLoop, mPool.Buffers(), [this, aTarget](const auto& aOutcome) {
      OnReportReply(aTarget, aOutcome);
    });
  call->Send(mPool.Acquire(aTarget), request, aDeadline);
}

// Handles the response to a report request.
void
Prober::OnReportReply(const std::string& aTarget,
                      const TargetCall::Outcome& aOutcome)
{
  if (!aOutcome.mStatus) {
    const bool refused = aOutcome.mFailure == AttemptFailure::Refused;
    FinishProbe(
      aTarget, refused ? ProbeResult::Dead : ProbeResult::NoAnswer, nullptr);
    return;
  }
  std::string reason;
  const auto report = platform::DecodeReport(aOutcome.mBody, reason);
  if (!report) {
    // Any response proves that the target is alive.
    FinishProbe(aTarget, ProbeResult::Alive, nullptr);
    return;
  }
  const std::string& known = mPending[aTarget].mIncarnation;
  const bool restarted = !report->mIncarnation.empty() &&
                         known != kNoStartTime && report->mIncarnation != known;
  if (!restarted) {
    TargetTable& targets = mFleet.Targets();
    targets.OnLoadReport(aTarget,
                         targets.IncarnationOf(aTarget),
                         "ready",
                         report->mRunning,
                         report->mWaiting,
                         EventLoop::Now());
  }
  FinishProbe(
    aTarget, restarted ? ProbeResult::Dead : ProbeResult::Alive, &*report);
}

void
Prober::IdentifyReplacement(const std::string& aOld, const std::string& aNew)
{
  const TargetLocation* location = mFleet.Locate(aOld);
  if (aNew.empty() || location == nullptr ||
      !mFleet.CanAcceptReplacement(aOld) || mIdentifications.count(aNew) != 0) {
    return;
  }
  mIdentifications.insert(aNew);
  ++mProbeCount;
  const auto call = MakeRef<TargetCall>(
    mLoop, mPool.Buffers(), [this, aOld, aNew](const auto& aOutcome) {
      OnIdentifyReply(aOld, aNew, aOutcome);
    });
  TargetLocation at = *location;
  // The known one is that of the former target, as are pooled connections.
  at.mIncarnation.clear();
  call->Send(MakeRef<TargetConnection>(mPool, aNew, at),
             platform::EncodeReportRequest(location->mAddress),
             EventLoop::Now() + kIdentifyTimeout);
}

// Handles the response of a newly found target.
void
Prober::OnIdentifyReply(const std::string& aOld,
                        const std::string& aNew,
                        const TargetCall::Outcome& aOutcome)
{
  mIdentifications.erase(aNew);
  std::string reason;
  const auto report = aOutcome.mStatus
                        ? platform::DecodeReport(aOutcome.mBody, reason)
                        : std::nullopt;
  if (report && report->mEngine && mFleet.CanAcceptReplacement(aOld)) {
    const bool hasIncarnation = !report->mIncarnation.empty();
    mFleet.OnTargetReplaced(
      aOld, aNew, hasIncarnation ? report->mIncarnation : kNoStartTime);
  }
}

void
Prober::CheckDeath(const std::string& aTarget)
{
  const bool pending = std::any_of(
    mChecks.begin(), mChecks.end(), [&](const PendingCheck& aCheck) {
      return aCheck.mTarget == aTarget;
    });
  if (pending) {
    return;
  }
  const Time now = EventLoop::Now();
  mChecks.push_back({ aTarget, now, now + kDeathCheckDelay });
  mCheckTimer.ScheduleAt(mChecks.front().mDueAt);
}

void
Prober::StartDeathChecks()
{
  const Time now = EventLoop::Now();
  while (!mChecks.empty() && mChecks.front().mDueAt <= now) {
    const PendingCheck check = std::move(mChecks.front());
    mChecks.pop_front();
    const TargetLocation* location = mFleet.Locate(check.mTarget);
    if (location == nullptr) {
      continue;
    }
    const Time activeAt = mPool.LastActivity(check.mTarget);
    if (activeAt > check.mLostAt) {
      mFleet.Targets().OnSurvived(check.mTarget, activeAt - kReadDelay);
      continue;
    }
    const auto call = MakeRef<DeathCheck>(
      mLoop,
      [this, target = check.mTarget, incarnation = location->mIncarnation, now](
        DeathCheck::Result aResult) {
        const TargetLocation* at = mFleet.Locate(target);
        if (at == nullptr || at->mIncarnation != incarnation) {
          return;
        }
        RecordReach(target, aResult);
        if (aResult == DeathCheck::Result::Refused) {
          mFleet.Targets().OnRefused(target, EventLoop::Now());
        } else if (aResult == DeathCheck::Result::Listening) {
          mFleet.Targets().OnSurvived(target, now);
        }
      });
    call->Start(location->mEndpoint, now + kDeathCheckTimeout);
  }
  mCheckTimer.ScheduleAt(mChecks.empty() ? Time::max()
                                         : mChecks.front().mDueAt);
}

void
Prober::TryConnection(const std::string& aTarget)
{
  const TargetLocation* location = mFleet.Locate(aTarget);
  if (location == nullptr) {
    return;
  }
  const auto check =
    MakeRef<DeathCheck>(mLoop, [this, aTarget](DeathCheck::Result aResult) {
      RecordReach(aTarget, aResult);
    });
  check->Start(location->mEndpoint, EventLoop::Now() + kTryTimeout);
}

// Records whether a target has accepted a connection.
void
Prober::RecordReach(const std::string& aTarget, DeathCheck::Result aResult)
{
  const TargetLocation* location = mFleet.Locate(aTarget);
  if (location == nullptr) {
    return;
  }
  const Time now = EventLoop::Now();
  if (aResult == DeathCheck::Result::Listening) {
    mFleet.Reach().OnConnected(location->mService, aTarget, now);
  } else {
    mFleet.Reach().OnNotReached(location->mService, aTarget, now);
  }
}

void
Prober::FinishProbe(const std::string& aTarget,
                    ProbeResult aResult,
                    const platform::TargetReport* aReport)
{
  const auto it = mPending.find(aTarget);
  if (it == mPending.end()) {
    return;
  }
  const PendingProbe probe = std::move(it->second);
  mPending.erase(it);
  const Time now = EventLoop::Now();
  if (aResult == ProbeResult::Dead) {
    mFleet.Targets().OnRefused(aTarget, now);
  } else if (aResult == ProbeResult::NoAnswer) {
    mFleet.Targets().OnUnresponsive(aTarget, now);
    if (const TargetLocation* location = mFleet.Locate(aTarget)) {
      mFleet.Reach().OnConnectionLost(location->mService, aTarget, now);
    }
  }
  Log(LogLevel::Info,
      "probe",
      "target probed",
      { { "target", aTarget }, { "result", NameOf(aResult) } });
  for (const Callback& callback : probe.mCallbacks) {
    callback(aResult, aReport);
  }
}

} // namespace quetzalquay
