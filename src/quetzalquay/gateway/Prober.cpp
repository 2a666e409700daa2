#include "gateway/Prober.h"

#include "observe/Log.h"

#include <utility>

namespace quetzalquay {

namespace {

// Time in which a newly found target has to say what it is.
constexpr Duration kIdentifyTime = std::chrono::milliseconds(400);

// Incarnation of targets that do not tell theirs.
constexpr char kNoIncarnation[] = "0";

// Age up to which bytes from a target prove that it works.
constexpr Duration kProofAge = std::chrono::milliseconds(150);

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

Prober::Prober(EventLoop& aLoop, Fleet& aFleet, TargetPool& aPool)
  : mLoop(aLoop)
  , mFleet(aFleet)
  , mPool(aPool)
{
}

Prober::~Prober() = default;

void
Prober::Probe(const std::string& aTarget,
              bool aReport,
              Time aBy,
              Receiver aReceiver)
{
  const auto under = mQuestions.find(aTarget);
  if (under != mQuestions.end()) {
    under->second.mReceivers.push_back(std::move(aReceiver));
    return;
  }
  if (!aReport && EventLoop::Now() - mPool.LastHeard(aTarget) < kProofAge) {
    mLoop.Defer([receiver = std::move(aReceiver)] {
      receiver(ProbeResult::Alive, nullptr);
    });
    return;
  }
  Question question;
  question.mReceivers.push_back(std::move(aReceiver));
  const TargetLocation* location = mFleet.Locate(aTarget);
  std::string request;
  if (location != nullptr) {
    question.mIncarnation = location->mIncarnation;
    request = platform::EncodeReportRequest(location->mAddress);
    ++mAsked;
  }
  mQuestions.emplace(aTarget, std::move(question));
  const auto call =
    MakeRef<TargetCall>(mLoop, [this, aTarget](const auto& aOutcome) {
      OnAnswer(aTarget, aOutcome);
    });
  call->Send(mPool.Take(aTarget), request, aBy);
}

// Reads the answer of a target that was asked for its report.
void
Prober::OnAnswer(const std::string& aTarget,
                 const TargetCall::Outcome& aOutcome)
{
  if (!aOutcome.mStatus) {
    const bool refused = aOutcome.mEnd == TryEnd::Refused;
    Settle(
      aTarget, refused ? ProbeResult::Dead : ProbeResult::NoAnswer, nullptr);
    return;
  }
  std::string reason;
  const auto report = platform::DecodeReport(aOutcome.mBody, reason);
  if (!report) {
    // It lives, whatever it says.
    Settle(aTarget, ProbeResult::Alive, nullptr);
    return;
  }
  const std::string& known = mQuestions[aTarget].mIncarnation;
  const bool reborn = !report->mIncarnation.empty() &&
                      known != kNoIncarnation && report->mIncarnation != known;
  if (!reborn) {
    TargetTable& targets = mFleet.Targets();
    targets.OnLoad(aTarget,
                   targets.IncarnationOf(aTarget),
                   "ready",
                   report->mRunning,
                   report->mWaiting,
                   EventLoop::Now());
  }
  Settle(aTarget, reborn ? ProbeResult::Dead : ProbeResult::Alive, &*report);
}

void
Prober::Identify(const std::string& aOld, const std::string& aNew)
{
  const TargetLocation* location = mFleet.Locate(aOld);
  if (aNew.empty() || location == nullptr || !mFleet.MayReplace(aOld) ||
      mIdentifications.count(aNew) != 0) {
    return;
  }
  mIdentifications.insert(aNew);
  ++mAsked;
  const auto call =
    MakeRef<TargetCall>(mLoop, [this, aOld, aNew](const auto& aOutcome) {
      OnIdentified(aOld, aNew, aOutcome);
    });
  // The pool's connections are to the former target.
  call->Send(MakeRef<TargetConnection>(mPool, aNew, *location),
             platform::EncodeReportRequest(location->mAddress),
             EventLoop::Now() + kIdentifyTime);
}

// Reads the answer of a newly found target.
void
Prober::OnIdentified(const std::string& aOld,
                     const std::string& aNew,
                     const TargetCall::Outcome& aOutcome)
{
  mIdentifications.erase(aNew);
  std::string reason;
  const auto report = aOutcome.mStatus
                        ? platform::DecodeReport(aOutcome.mBody, reason)
                        : std::nullopt;
  if (report && report->mEngine && mFleet.MayReplace(aOld)) {
    const bool told = !report->mIncarnation.empty();
    mFleet.OnReplaced(aOld, aNew, told ? report->mIncarnation : kNoIncarnation);
  }
}

void
Prober::Settle(const std::string& aTarget,
               ProbeResult aResult,
               const platform::TargetReport* aReport)
{
  const auto it = mQuestions.find(aTarget);
  if (it == mQuestions.end()) {
    return;
  }
  const Question question = std::move(it->second);
  mQuestions.erase(it);
  const Time now = EventLoop::Now();
  if (aResult == ProbeResult::Dead) {
    mFleet.Targets().OnRefused(aTarget, now);
  } else if (aResult == ProbeResult::NoAnswer) {
    mFleet.Targets().OnUnresponsive(aTarget, now);
  }
  Log(LogLevel::Info,
      "probe",
      "target probed",
      { { "target", aTarget }, { "result", NameOf(aResult) } });
  for (const Receiver& receiver : question.mReceivers) {
    receiver(aResult, aReport);
  }
}

} // namespace quetzalquay
