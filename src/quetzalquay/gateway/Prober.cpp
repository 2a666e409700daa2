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

// One question that is under way, and those that wait for its result.
class Prober::Question
  : public RefCounted<Prober::Question>
  , public TrySink
{
public:
  Question(Prober& aProber, std::string aTarget)
    : mProber(aProber)
    , mTarget(std::move(aTarget))
    , mDeadline(aProber.mLoop, [this] { Settle(ProbeResult::NoAnswer); })
  {
  }

  void Ask(Time aBy)
  {
    mDeadline.SetAt(aBy);
    const TargetLocation* location = mProber.mFleet.Locate(mTarget);
    mConnection = mProber.mPool.Take(mTarget);
    if (mConnection == nullptr || location == nullptr) {
      mProber.mLoop.Defer([self = RefPtr<Question>(this)] {
        self->Settle(ProbeResult::NoAnswer);
      });
      return;
    }
    mIncarnation = location->mIncarnation;
    ++mProber.mAsked;
    mConnection->Send(platform::EncodeReportRequest(location->mAddress),
                      std::string(),
                      std::string(),
                      aBy,
                      *this);
  }

  std::vector<Receiver> mReceivers;

private:
  void OnAnswerHead(const HttpHead&, const platform::TargetAnswer&) override {}
  void OnAnswerBody(std::string aBody) override { mBody += aBody; }

  void OnAnswerComplete() override
  {
    std::string reason;
    const auto report = platform::DecodeReport(mBody, reason);
    const bool reborn = report && !report->mIncarnation.empty() &&
                        mIncarnation != kNoIncarnation &&
                        report->mIncarnation != mIncarnation;
    if (report && !reborn) {
      mProber.mFleet.Targets().OnLoad(
        mTarget,
        mProber.mFleet.Targets().IncarnationOf(mTarget),
        "ready",
        report->mRunning,
        report->mWaiting,
        EventLoop::Now());
    }
    mReport = report;
    Settle(reborn ? ProbeResult::Dead : ProbeResult::Alive);
  }

  void OnTryEnded(TryEnd aEnd) override
  {
    Settle(aEnd == TryEnd::Refused ? ProbeResult::Dead : ProbeResult::NoAnswer);
  }

  void Settle(ProbeResult aResult)
  {
    const RefPtr<Question> self(this);
    mDeadline.Clear();
    if (mConnection != nullptr) {
      if (aResult == ProbeResult::NoAnswer) {
        mConnection->Abandon();
      }
      mConnection.reset();
    }
    mProber.Settle(mTarget, aResult, mReport ? &*mReport : nullptr);
  }

  Prober& mProber;
  std::string mTarget;
  std::string mIncarnation;
  RefPtr<TargetConnection> mConnection;
  std::string mBody;
  std::optional<platform::TargetReport> mReport;
  Alarm mDeadline;
};

// Asks a newly found target what it is.
class Prober::Identification
  : public RefCounted<Prober::Identification>
  , public TrySink
{
public:
  Identification(Prober& aProber, std::string aOld, std::string aNew)
    : mProber(aProber)
    , mOld(std::move(aOld))
    , mNew(std::move(aNew))
    , mDeadline(aProber.mLoop, [this] { Settle(); })
  {
  }

  void Ask(const TargetLocation& aLocation)
  {
    const Time by = EventLoop::Now() + kIdentifyTime;
    mDeadline.SetAt(by);
    mConnection = MakeRef<TargetConnection>(mProber.mPool, mNew, aLocation);
    mConnection->Send(platform::EncodeReportRequest(aLocation.mAddress),
                      std::string(),
                      std::string(),
                      by,
                      *this);
  }

private:
  void OnAnswerHead(const HttpHead&, const platform::TargetAnswer&) override {}
  void OnAnswerBody(std::string aBody) override { mBody += aBody; }

  void OnAnswerComplete() override
  {
    std::string reason;
    const auto report = platform::DecodeReport(mBody, reason);
    if (report && report->mEngine && mProber.mFleet.MayReplace(mOld)) {
      mProber.mFleet.OnReplaced(
        mOld,
        mNew,
        report->mIncarnation.empty() ? kNoIncarnation : report->mIncarnation);
    }
    Settle();
  }

  void OnTryEnded(TryEnd) override { Settle(); }

  void Settle()
  {
    const RefPtr<Identification> self(this);
    mDeadline.Clear();
    if (mConnection != nullptr) {
      mConnection->Abandon();
      mConnection.reset();
    }
    mProber.mIdentifications.erase(mNew);
  }

  Prober& mProber;
  std::string mOld;
  std::string mNew;
  RefPtr<TargetConnection> mConnection;
  std::string mBody;
  Alarm mDeadline;
};

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
    under->second->mReceivers.push_back(std::move(aReceiver));
    return;
  }
  if (!aReport && EventLoop::Now() - mPool.LastHeard(aTarget) < kProofAge) {
    mLoop.Defer([receiver = std::move(aReceiver)] {
      receiver(ProbeResult::Alive, nullptr);
    });
    return;
  }
  auto question = MakeRef<Question>(*this, aTarget);
  question->mReceivers.push_back(std::move(aReceiver));
  mQuestions.emplace(aTarget, question);
  question->Ask(aBy);
}

void
Prober::Identify(const std::string& aOld, const std::string& aNew)
{
  const TargetLocation* location = mFleet.Locate(aOld);
  if (aNew.empty() || location == nullptr || !mFleet.MayReplace(aOld) ||
      mIdentifications.count(aNew) != 0) {
    return;
  }
  const auto question = MakeRef<Identification>(*this, aOld, aNew);
  mIdentifications.emplace(aNew, question);
  ++mAsked;
  question->Ask(*location);
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
  const RefPtr<Question> question = it->second;
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
  for (const Receiver& receiver : question->mReceivers) {
    receiver(aResult, aReport);
  }
}

} // namespace quetzalquay
