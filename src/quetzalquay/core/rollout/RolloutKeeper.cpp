#include "core/rollout/RolloutKeeper.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Part of the bound on what a bad version gets that a trial may use, so that
// enough is left for a version that turns bad in the shift.
constexpr double kTrialPart = 0.5;

// Largest share of the requests in a trial, and the time for which the hosts
// use a share before they hear of what they have used.
constexpr double kMaxTrialShare = 0.3;
constexpr Duration kShareHorizon = milliseconds(1500);

// Requests from which on their rate is known.
constexpr std::int64_t kMinRateRequests = 10;

// Shares of a shift. Each lasts until failures are known: as long as an answer
// takes to begin, and as messages take, between these bounds.
constexpr double kShiftShares[] = { 0.25, 0.5, 1.0 };
constexpr std::size_t kLastShare = 2;
constexpr Duration kMessageTime = milliseconds(700);
constexpr Duration kMinStepTime = milliseconds(1200);
constexpr Duration kMaxStepTime = milliseconds(3000);

// Time before the deadline at which the record has to be on its way, and how
// much sooner it is if nothing runs at the old targets any more.
constexpr Duration kRecordTime = milliseconds(700);
constexpr Duration kEarlyRecordTime = milliseconds(1500);

// Part of an order's time that a trial gets at least, however long requests at
// the old version last.
constexpr double kMinTrialTime = 0.3;

// Share of the requests at the old version that should end before it stops.
constexpr double kEndedShare = 0.95;

// Time for which the report of a host counts for what runs at the old version.
// The counts of a host that is gone still tell about the versions.
constexpr Duration kReportLifetime = milliseconds(2500);

Duration
StepTime(const OutcomesByTarget& aOutcomes)
{
  DurationBuckets first;
  for (const auto& it : aOutcomes) {
    if (it.first.second.empty()) {
      first.Add(it.second.mFirstOutput);
    }
  }
  const Duration median = DurationBuckets::LowerBound(first.Quantile(0.5) + 1);
  return std::clamp(median + kMessageTime, kMinStepTime, kMaxStepTime);
}

// The next larger share of a shift.
double
NextShare(double aShare)
{
  for (const double it : kShiftShares) {
    if (it > aShare) {
      return it;
    }
  }
  return kShiftShares[kLastShare];
}

} // namespace

RolloutKeeper::RolloutKeeper(const RolloutBounds& aBounds)
  : mBounds(aBounds)
{
}

void
RolloutKeeper::OnReport(const std::string& aHost,
                        const RolloutReport& aReport,
                        bool aIsOwn,
                        Time aNow)
{
  State& state = mStates[aReport.mService];
  const Time startedAt = aNow - aReport.mAge;
  // An operator may give the same order again once it is over. Another host
  // that tells so may only have started since.
  const bool again =
    aIsOwn && state.mOrder == aReport.mOrder && startedAt > state.mDeadline;
  // A host that has not read yet that the same order was given again.
  if (state.mOrder == aReport.mOrder &&
      aNow + aReport.mLeft < state.mStartedAt) {
    return;
  }
  if (state.mOrder != aReport.mOrder || again) {
    // A host that has not read the new order yet still reports the one before.
    if (state.mOrder != 0 && startedAt < state.mStartedAt) {
      return;
    }
    state = State();
    state.mOrder = aReport.mOrder;
    state.mVersion = aReport.mVersion;
    state.mStartedAt = startedAt;
    state.mDeadline = aNow + aReport.mLeft;
    state.mSince = aNow;
  }
  if (startedAt < state.mStartedAt) {
    state.mStartedAt = startedAt;
    state.mDeadline = std::min(state.mDeadline, aNow + aReport.mLeft);
  }
  if (!IsFinal(state.mStage) && aReport.mStage > state.mStage) {
    // Another keeper has decided that.
    state.mStage = aReport.mStage;
    state.mShare = aReport.mShare;
    state.mShareSince = aNow;
    state.mRecordKnown = true;
  }
  HostReport& known = state.mHosts[aHost];
  if (known.mReport.mStart != 0 && known.mReport.mStart != aReport.mStart) {
    // What the host had seen before it started again has happened all the same.
    HostReport& former =
      state.mHosts[aHost + "/" + std::to_string(known.mReport.mStart)];
    former.mReport = std::move(known.mReport);
    former.mAt = Time();
  }
  known.mReport = aReport;
  known.mAt = aNow;
}

void
RolloutKeeper::OnDirective(const RolloutDirective& aDirective, Time aNow)
{
  const auto it = mStates.find(aDirective.mService);
  if (it == mStates.end() || it->second.mOrder != aDirective.mOrder) {
    return;
  }
  State& state = it->second;
  state.mRecordKnown = true;
  state.mToldRequests = std::max(state.mToldRequests, aDirective.mRequests);
  state.mToldExposed = std::max(state.mToldExposed, aDirective.mExposed);
  if (!IsFinal(state.mStage) && aDirective.mStage > state.mStage) {
    state.mStage = aDirective.mStage;
    state.mShare = aDirective.mShare;
    state.mShareSince = aNow;
  }
}

void
RolloutKeeper::OnRecord(const std::string& aService,
                        std::uint64_t aOrder,
                        std::optional<RolloutStage> aFinal,
                        Time aNow)
{
  const auto it = mStates.find(aService);
  if (it == mStates.end() || it->second.mOrder != aOrder) {
    return;
  }
  State& state = it->second;
  state.mRecordKnown = true;
  if (aFinal && IsFinal(*aFinal)) {
    state.mStage = *aFinal;
    state.mShare = *aFinal == RolloutStage::Completed ? 1 : 0;
    state.mShareSince = aNow;
  }
}

void
RolloutKeeper::OnCompletionRecorded(const std::string& aService,
                                    std::uint64_t aOrder,
                                    Time aNow)
{
  OnRecord(aService, aOrder, RolloutStage::Completed, aNow);
}

RolloutKeeper::Totals
RolloutKeeper::Sum(const State& aState)
{
  Totals totals;
  for (const auto& it : aState.mHosts) {
    const RolloutReport& report = it.second.mReport;
    for (const auto& outcome : report.mOutcomes) {
      totals.mOutcomes[outcome.first].Add(outcome.second);
      totals.mRequests += outcome.second.mSent;
      totals.mExposed +=
        outcome.first.second.empty() ? 0 : outcome.second.mSent;
    }
    totals.mOldDurations.Add(report.mOldDurations);
    totals.mNewTargets = std::max(totals.mNewTargets, report.mNewTargets);
    totals.mOldTargets = std::max(totals.mOldTargets, report.mOldTargets);
  }
  totals.mRequests = std::max(totals.mRequests, aState.mToldRequests);
  totals.mExposed = std::max(totals.mExposed, aState.mToldExposed);
  return totals;
}

// Share of the requests with which a trial stays within its part of the bound.
double
RolloutKeeper::TrialShare(const State& aState,
                          const Totals& aTotals,
                          Time aNow) const
{
  const double allowed =
    kTrialPart *
    (mBounds.mExposureShare * static_cast<double>(aTotals.mRequests) +
     mBounds.mExposureSlack);
  const double left = allowed - static_cast<double>(aTotals.mExposed);
  if (left <= 0 || aTotals.mNewTargets == 0) {
    return 0;
  }
  if (aTotals.mRequests < kMinRateRequests) {
    return kMaxTrialShare;
  }
  const std::chrono::duration<double> elapsed =
    std::max<Time::duration>(aNow - aState.mStartedAt, milliseconds(500));
  const std::chrono::duration<double> horizon = kShareHorizon;
  const double expected =
    static_cast<double>(aTotals.mRequests) / elapsed.count() * horizon.count();
  return std::min(kMaxTrialShare, left / std::max(expected, 1.0));
}

// When a shift has to begin so that requests at the old version end before the
// deadline.
Time
RolloutKeeper::ShiftStart(const State& aState, const Totals& aTotals)
{
  const Duration lasting = DurationBuckets::LowerBound(
    aTotals.mOldDurations.Quantile(kEndedShare) + 1);
  const Duration steps = StepTime(aTotals.mOutcomes) * int(kLastShare);
  const Time latest = aState.mDeadline - kEarlyRecordTime - lasting - steps;
  const auto length = aState.mDeadline - aState.mStartedAt;
  const Time soonest = aState.mStartedAt + std::chrono::duration_cast<Duration>(
                                             length * kMinTrialTime);
  return std::max(latest, soonest);
}

std::string
RolloutKeeper::Advance(State& aState,
                       const Totals& aTotals,
                       std::optional<VersionFault>& aFault,
                       Time aNow) const
{
  if (IsFinal(aState.mStage)) {
    return {};
  }
  // An order that names the only version moves nothing. A rollback would leave
  // the service without targets.
  if (aTotals.mNewTargets > 0 && aTotals.mOldTargets == 0 &&
      aTotals.mRequests == aTotals.mExposed) {
    if (aState.mStage == RolloutStage::Shift && aState.mShare >= 1) {
      return {};
    }
    aState.mStage = RolloutStage::Shift;
    aState.mShare = 1;
    aState.mShareSince = aNow;
    return "version_is_running";
  }
  aFault = FindVersionFault(aTotals.mOutcomes);
  const bool served = CountGoodRuns(aTotals.mOutcomes) > 0;
  const bool late = aNow >= aState.mDeadline - kRecordTime;
  if (aFault || (late && !served)) {
    aState.mStage = RolloutStage::RolledBack;
    aState.mShare = 0;
    return aFault ? aFault->mReason : "no_request_served_in_time";
  }
  if (aState.mStage == RolloutStage::Trial) {
    if (served && aNow >= ShiftStart(aState, aTotals)) {
      aState.mStage = RolloutStage::Shift;
      aState.mShare = kShiftShares[0];
      aState.mShareSince = aNow;
      return "trial_passed";
    }
    const double share = TrialShare(aState, aTotals, aNow);
    return std::exchange(aState.mShare, share) == share ? "" : kExposureReason;
  }
  const bool due = aNow - aState.mShareSince >= StepTime(aTotals.mOutcomes);
  // The hosts have to use the last share for a while before the record.
  const bool last = aNow >= aState.mDeadline - kRecordTime - kMessageTime;
  if (aState.mShare < 1 && (due || last)) {
    aState.mShare = last ? 1 : NextShare(aState.mShare);
    aState.mShareSince = aNow;
    return "step_passed";
  }
  return {};
}

std::optional<RolloutDecision>
RolloutKeeper::Decide(const std::string& aService, Time aNow)
{
  const auto it = mStates.find(aService);
  if (it == mStates.end() || !it->second.mRecordKnown) {
    return std::nullopt;
  }
  State& state = it->second;
  RolloutDecision decision;
  const RolloutStage before = state.mStage;
  decision.mReason = Advance(state, Sum(state), decision.mFault, aNow);
  if (decision.mReason.empty()) {
    return std::nullopt;
  }
  decision.mNewStage = state.mStage != before;
  decision.mDirective = MakeDirective(aService, state, aNow);
  return decision;
}

RolloutDirective
RolloutKeeper::MakeDirective(const std::string& aService,
                             const State& aState,
                             Time aNow) const
{
  const Totals totals = Sum(aState);
  RolloutDirective directive;
  directive.mService = aService;
  directive.mOrder = aState.mOrder;
  directive.mVersion = aState.mVersion;
  directive.mLeft =
    std::chrono::duration_cast<Duration>(aState.mDeadline - aNow);
  directive.mStage = aState.mStage;
  directive.mShare = aState.mShare;
  directive.mAge =
    std::chrono::duration_cast<Duration>(aNow - aState.mStartedAt);
  directive.mRequests = totals.mRequests;
  directive.mExposed = totals.mExposed;
  return directive;
}

std::optional<RolloutDirective>
RolloutKeeper::DirectiveOf(const std::string& aService, Time aNow) const
{
  const auto it = mStates.find(aService);
  if (it == mStates.end() || !it->second.mRecordKnown) {
    return std::nullopt;
  }
  return MakeDirective(aService, it->second, aNow);
}

bool
RolloutKeeper::IsToBeCompleted(const std::string& aService, Time aNow) const
{
  const auto it = mStates.find(aService);
  if (it == mStates.end()) {
    return false;
  }
  const State& state = it->second;
  if (state.mStage != RolloutStage::Shift || state.mShare < 1 ||
      aNow - state.mShareSince < kMessageTime ||
      aNow < state.mDeadline - kEarlyRecordTime) {
    return false;
  }
  std::int64_t open = 0;
  for (const auto& host : state.mHosts) {
    const bool recent = aNow - host.second.mAt < kReportLifetime;
    open += recent ? host.second.mReport.mOldOpen : 0;
  }
  return open == 0 || aNow >= state.mDeadline - kRecordTime;
}

std::vector<std::string>
RolloutKeeper::HostsOf(const std::string& aService) const
{
  std::vector<std::string> hosts;
  const auto it = mStates.find(aService);
  if (it != mStates.end()) {
    for (const auto& host : it->second.mHosts) {
      if (host.second.mAt != Time()) {
        hosts.push_back(host.first);
      }
    }
  }
  return hosts;
}

bool
RolloutKeeper::NeedsRecord(const std::string& aService) const
{
  const auto it = mStates.find(aService);
  return it != mStates.end() && !it->second.mRecordKnown;
}

} // namespace quetzalquay
