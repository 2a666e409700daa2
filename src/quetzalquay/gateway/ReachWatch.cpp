#include "gateway/ReachWatch.h"

#include "observe/Log.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Interval at which asks of a service, and answers to them, are logged.
constexpr Duration kLogInterval = std::chrono::milliseconds(1000);

// Shortest interval between two rounds of decisions.
constexpr Duration kMinInterval = std::chrono::milliseconds(5);

// Whether something of a service is to be logged now.
bool
TakeLogTurn(std::map<std::string, Time>& aNextAt,
            const std::string& aService,
            Time aNow)
{
  Time& next = aNextAt[aService];
  if (aNow < next) {
    return false;
  }
  next = aNow + kLogInterval;
  return true;
}

std::string
Milliseconds(Duration aTime)
{
  return std::to_string(static_cast<int>(ToMilliseconds(aTime)));
}

} // namespace

ReachWatch::ReachWatch(EventLoop& aLoop,
                       Fleet& aFleet,
                       Prober& aProber,
                       LoadBroadcaster& aSender,
                       GatewayMetrics& aMetrics)
  : mFleet(aFleet)
  , mProber(aProber)
  , mSender(aSender)
  , mMetrics(aMetrics)
  , mTimer(aLoop, [this] { Run(); })
{
  mFleet.Reach().SetCallback(
    [this] { mTimer.ScheduleAt(mFleet.Reach().NextDue(EventLoop::Now())); });
  mSender.SetReachCallback([this](const ReachAnswer& aAnswer) {
    OnAnswer(aAnswer, EventLoop::Now());
  });
}

void
ReachWatch::Run()
{
  const Time now = EventLoop::Now();
  TargetReach& reach = mFleet.Reach();
  reach.AdvanceTo(now);
  for (const ReachChange& it : reach.TakeChanges()) {
    OnChange(it, now);
  }
  for (const ReachAsk& it : reach.TakeAsks(now)) {
    mMetrics.Add(GatewayCounter::ReachAsks);
    const int asked = mSender.SendReachAsk(it);
    if (TakeLogTurn(mNextAskLogAt, it.mService, now)) {
      Log(LogLevel::Info,
          "reach",
          "asked other hosts when they heard targets",
          { { "service", it.mService },
            { "ask", std::to_string(it.mId) },
            { "targets", std::to_string(it.mTargets.size()) },
            { "first", it.mTargets.front() },
            { "hosts", std::to_string(asked) } });
    }
  }
  for (const TargetReach::Try& it : reach.TakeTries(now)) {
    mMetrics.Add(GatewayCounter::ReachTries);
    mProber.TryConnection(it.mTarget);
  }
  mMetrics.Set(GatewayGauge::ServicesCutOff, reach.CountCutOff());
  const Time due = reach.NextDue(now);
  mTimer.ScheduleAt(due == Time::max() ? due
                                       : std::max(due, now + kMinInterval));
}

void
ReachWatch::OnChange(const ReachChange& aChange, Time aNow)
{
  TargetTable& targets = mFleet.Targets();
  const std::string& service = aChange.mService;
  const char* message = "not cut off from targets";
  if (aChange.mTo == ReachState::Suspected) {
    message = "cut from targets suspected";
    mMetrics.Add(GatewayCounter::CutsSuspected);
  } else if (aChange.mTo == ReachState::CutOff) {
    message = "cut off from targets";
    mMetrics.Add(GatewayCounter::CutsBelieved);
    targets.OnCutBelieved(service);
  } else if (aChange.mFrom == ReachState::CutOff) {
    message = "targets reached again";
    targets.OnCutEnded(service);
  } else {
    targets.OnCutDenied(service, aNow);
  }
  const ReachEvidence& evidence = aChange.mEvidence;
  Log(LogLevel::Warn,
      "reach",
      message,
      { { "service", service },
        { "targets", std::to_string(evidence.mTargets) },
        { "failing", std::to_string(evidence.mFailing) },
        { "heard", std::to_string(evidence.mHeard) },
        { "contradicted", std::to_string(evidence.mContradicted) },
        { "heard_since", std::to_string(evidence.mHeardSince) },
        { "answered_hosts", std::to_string(aChange.mHosts) },
        { "failing_ms", Milliseconds(aChange.mFailingFor) } });
  mSender.AnnounceReach();
}

void
ReachWatch::OnAnswer(const ReachAnswer& aAnswer, Time aNow)
{
  mMetrics.Add(GatewayCounter::ReachAnswers);
  const int contradictions = mFleet.Reach().OnAnswer(aAnswer, aNow);
  if (!TakeLogTurn(mNextAnswerLogAt, aAnswer.mService, aNow)) {
    return;
  }
  Duration youngest = Duration::zero();
  for (const auto& it : aAnswer.mHeard) {
    youngest = &it == &aAnswer.mHeard.front() ? it.second
                                              : std::min(youngest, it.second);
  }
  Log(LogLevel::Info,
      "reach",
      "another host told when it heard targets",
      { { "service", aAnswer.mService },
        { "ask", std::to_string(aAnswer.mAsk) },
        { "host", aAnswer.mHost },
        { "state", std::string(kReachStateNames.NameOf(aAnswer.mState)) },
        { "heard", std::to_string(aAnswer.mHeard.size()) },
        { "failing", std::to_string(aAnswer.mFailing.size()) },
        { "since_failure", std::to_string(contradictions) },
        { "youngest_ms",
          aAnswer.mHeard.empty() ? "none" : Milliseconds(youngest) } });
}

} // namespace quetzalquay
