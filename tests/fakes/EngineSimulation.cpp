#include "EngineSimulation.h"

#include <algorithm>
#include <utility>

using namespace quetzalquay;

namespace {

constexpr int kTickMs = 10;
constexpr int kDeadlineMs = 20000;

GenerationSpec
MakeSpec(bool aIdempotent,
         RecoveryPreset aPreset,
         const SimulatedLimits& aLimits)
{
  GenerationSpec spec;
  spec.mRequestId = "r-1";
  spec.mIdempotent = aIdempotent;
  spec.mDeadline = Time(std::chrono::milliseconds(kDeadlineMs));
  spec.mModel = "m";
  spec.mVersion = "1";
  spec.mMaxRuns = aLimits.mMaxRuns;
  spec.mPolicy = RecoveryPolicy::Of(aPreset);
  spec.mPolicy.mCanReattach = aLimits.mCanReattach;
  return spec;
}

} // namespace

EngineSimulation::EngineSimulation(bool aIdempotent,
                                   RecoveryPreset aPreset,
                                   int aTokens,
                                   unsigned aSeed,
                                   std::vector<SimulatedFault> aFaults,
                                   SimulatedLimits aLimits)
  : mTokens(aTokens)
  , mRandom(aSeed)
  , mFaults(std::move(aFaults))
  , mEngines(kEngines)
  , mIdempotent(aIdempotent)
  , mLimits(aLimits)
  , mGeneration(MakeSpec(aIdempotent, aPreset, aLimits), *this)
{
}

void
EngineSimulation::Run(const std::optional<TakeoverPoint>& aTakeover)
{
  for (const SimulatedFault& it : mFaults) {
    ScheduleAfter(it.mAtMs, [this, it] { InjectFault(it); });
  }
  for (int n = 0; n < kEngines; ++n) {
    ScheduleAfter(kTickMs, [this, n] { Tick(n); });
  }
  if (mExitAtMs > 0) {
    ScheduleAfter(mExitAtMs, [this] { Apply(mGeneration.OnExit()); });
  }
  Apply(aTakeover ? mGeneration.TakeOver(*aTakeover, Now())
                  : mGeneration.Start(Now()));
  while (!mGeneration.IsDone()) {
    const Time timer = mGeneration.NextTimer();
    const Time next(std::chrono::milliseconds(mQueue.begin()->mAtMs));
    if (timer < next) {
      const auto passed = timer.time_since_epoch();
      mNowMs = std::max(
        mNowMs,
        static_cast<int>(
          std::chrono::ceil<std::chrono::milliseconds>(passed).count()));
      Apply(mGeneration.OnTimer(Now()));
      continue;
    }
    const ScheduledEvent event = *mQueue.begin();
    mQueue.erase(mQueue.begin());
    mNowMs = std::max(mNowMs, event.mAtMs);
    event.mAction();
  }
  mEndedAtMs = mNowMs;
  mCounters = mGeneration.Counters();
}

void
EngineSimulation::Preload(int aEngine,
                          const std::string& aGeneration,
                          int aLength)
{
  Stream stream;
  stream.mAttempt = 1;
  stream.mLength = aLength;
  mEngines[static_cast<std::size_t>(aEngine)].mStreams[aGeneration] = stream;
}

Choice
EngineSimulation::Choose(const ChoiceQuery& aQuery, Time)
{
  std::vector<std::string> names;
  const std::string& version = aQuery.mSoftwareVersion;
  bool registered = version.empty();
  for (int n = 0; n < kEngines; ++n) {
    const std::string name = "e" + std::to_string(n);
    const bool dead =
      mNowMs < mEngines[static_cast<std::size_t>(n)].mDeadUntilMs;
    if ((!version.empty() && version != SoftwareVersionOf(name)) ||
        (mUnregisterDead && dead)) {
      continue;
    }
    registered = true;
    const auto& excluded = aQuery.mExcluded;
    if (std::find(excluded.begin(), excluded.end(), name) == excluded.end()) {
      names.push_back(name);
    }
  }
  Choice choice;
  if (names.empty()) {
    choice.mStatus =
      registered ? ChoiceStatus::NoneReady : ChoiceStatus::VersionGone;
    return choice;
  }
  choice.mStatus = ChoiceStatus::Chosen;
  choice.mTarget = names[mRandom() % names.size()];
  choice.mTypicalTokenGap = std::chrono::milliseconds(kTickMs);
  choice.mServingVersion = "1";
  choice.mSoftwareVersion = SoftwareVersionOf(choice.mTarget);
  return choice;
}

std::string
EngineSimulation::SoftwareVersionOf(const std::string& aTarget) const
{
  return mSoftwareVersions == 0
           ? std::string()
           : "v" + std::to_string(EngineIndex(aTarget) % mSoftwareVersions);
}

int
EngineSimulation::TokenOf(const std::string& aGeneration, int aIndex)
{
  const auto hash = std::hash<std::string>()(aGeneration);
  return static_cast<int>((hash + static_cast<unsigned>(aIndex) * 7919U) %
                          100000U);
}

Time
EngineSimulation::Now() const
{
  return Time(std::chrono::milliseconds(mNowMs));
}

void
EngineSimulation::ScheduleAfter(int aMs, std::function<void()> aAction)
{
  mQueue.insert({ mNowMs + aMs, ++mSequence, std::move(aAction) });
}

void
EngineSimulation::Apply(const Actions& aActions)
{
  for (const Action& it : aActions) {
    std::visit([this](const auto& aOne) { Execute(aOne); }, it);
  }
}

void
EngineSimulation::Execute(const DispatchAttempt& aAction)
{
  OnConnectionOpened(aAction.mAttempt);
  ScheduleAfter(RandomDelayMs(), [this, aAction] {
    Engine& engine =
      mEngines[static_cast<std::size_t>(EngineIndex(aAction.mTarget))];
    if (mNowMs < engine.mDeadUntilMs) {
      EndAttempt(aAction.mAttempt, AttemptEnd::Refused);
      return;
    }
    if (mNowMs < engine.mFullUntilMs) {
      mRuns += mLimits.mFullEnginesReset ? 1 : 0;
      EndAttempt(aAction.mAttempt,
                 mLimits.mFullEnginesReset ? AttemptEnd::Broken
                                           : AttemptEnd::NotStarted);
      return;
    }
    ++mRuns;
    std::string generation = aAction.mGeneration;
    if (generation.empty()) {
      generation = "g" + std::to_string(++mNextGeneration);
      ++mFirstStarts;
    }
    mOverlappingRuns += IsAnyStreamRunning() ? 1 : 0;
    const bool continues = !mIdempotent && !aAction.mTokens.empty();
    mUnfencedContinuations +=
      continues && mFencedAttempt != aAction.mAttempt ? 1 : 0;
    for (std::size_t n = 0; n < aAction.mTokens.size(); ++n) {
      const int index = static_cast<int>(n);
      mWrongTokens =
        mWrongTokens || aAction.mTokens[n] != TokenOf(generation, index);
    }
    Stream stream;
    stream.mAttempt = aAction.mAttempt;
    stream.mReaderAttempt = aAction.mAttempt;
    stream.mLength = static_cast<int>(aAction.mTokens.size());
    stream.mSentTokens = stream.mLength;
    engine.mStreams[generation] = stream;
  });
}

void
EngineSimulation::Execute(const FenceAttempt& aAction)
{
  ScheduleAfter(RandomDelayMs(), [this, aAction] {
    const bool takenOver = mTakenOverAtMs > 0 && mNowMs >= mTakenOverAtMs;
    mFencedAttempt = takenOver ? 0 : aAction.mAttempt;
    Apply(mGeneration.OnFenceResult(aAction.mAttempt,
                                    takenOver ? FenceResult::Refused
                                              : FenceResult::Granted,
                                    Now()));
  });
}

void
EngineSimulation::Execute(const ReattachStream& aAction)
{
  ScheduleAfter(RandomDelayMs(), [this, aAction] {
    Engine& engine =
      mEngines[static_cast<std::size_t>(EngineIndex(aAction.mTarget))];
    if (mNowMs < engine.mDeadUntilMs) {
      EndAttempt(aAction.mAttempt, AttemptEnd::Refused);
      return;
    }
    const auto it = engine.mStreams.find(aAction.mGeneration);
    if (it == engine.mStreams.end()) {
      EndAttempt(aAction.mAttempt, AttemptEnd::UnknownStream);
      return;
    }
    it->second.mAttempt = aAction.mAttempt;
    it->second.mReaderAttempt = aAction.mAttempt;
    it->second.mSentTokens = aAction.mFrom;
  });
}

void
EngineSimulation::Execute(const ProbeTarget& aAction)
{
  const int index = EngineIndex(aAction.mTarget);
  const int incarnation =
    mEngines[static_cast<std::size_t>(index)].mIncarnation;
  const auto answerTimeout =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aAction.mProbeDeadline - Now());
  // The router compares with the incarnation at the attempt's start, so a
  // death between that start and this probe must also give Dead.
  const bool diedBefore =
    mEngines[static_cast<std::size_t>(index)].mStreams.empty();
  ScheduleAfter(
    RandomDelayMs(),
    [this, aAction, index, incarnation, answerTimeout, diedBefore] {
      const Engine& engine = mEngines[static_cast<std::size_t>(index)];
      if (mNowMs < engine.mDeadUntilMs || engine.mIncarnation != incarnation ||
          diedBefore) {
        Apply(mGeneration.OnProbeResult(
          aAction.mAttempt, ProbeResult::Dead, Now()));
      } else if (mNowMs < engine.mPausedUntilMs) {
        ScheduleAfter(static_cast<int>(answerTimeout.count()), [this, aAction] {
          Apply(mGeneration.OnProbeResult(
            aAction.mAttempt, ProbeResult::NoAnswer, Now()));
        });
      } else {
        Apply(mGeneration.OnProbeResult(
          aAction.mAttempt, ProbeResult::Alive, Now()));
      }
    });
}

void
EngineSimulation::Execute(const CancelAttempt& aAction)
{
  OnConnectionClosed(aAction.mAttempt);
  Engine& engine =
    mEngines[static_cast<std::size_t>(EngineIndex(aAction.mTarget))];
  if (!mLimits.mCanReattach) {
    const auto read = std::find_if(
      engine.mStreams.begin(), engine.mStreams.end(), [&](const auto& aEntry) {
        return aEntry.second.mReaderAttempt == aAction.mAttempt;
      });
    if (read != engine.mStreams.end()) {
      engine.mStreams.erase(read);
    }
  }
  const auto it = engine.mStreams.find(aAction.mGeneration);
  if (it != engine.mStreams.end()) {
    it->second.mReaderAttempt = 0;
  }
  ScheduleAfter(RandomDelayMs(), [this, aAction] {
    Engine& target =
      mEngines[static_cast<std::size_t>(EngineIndex(aAction.mTarget))];
    const bool silent =
      mNowMs < target.mDeadUntilMs || mNowMs < target.mPausedUntilMs;
    const auto found = target.mStreams.find(aAction.mGeneration);
    if (!silent && found != target.mStreams.end() &&
        found->second.mAttempt <= aAction.mAttempt) {
      target.mStreams.erase(found);
    }
    if (aAction.mWantsResult) {
      Apply(mGeneration.OnCancelResult(aAction.mAttempt,
                                       silent ? CancelResult::NoAnswer
                                              : CancelResult::Stopped,
                                       Now()));
    }
  });
}

void
EngineSimulation::Execute(const DeliverText& aAction)
{
  const std::size_t colon = aAction.mText.find(':');
  mText.emplace_back(aAction.mText.substr(0, colon),
                     std::stoi(aAction.mText.substr(colon + 1)));
  mTextVersions.insert(SoftwareVersionOf(mGeneration.CurrentTarget()));
}

void
EngineSimulation::Execute(const DiscardText&)
{
  mText.clear();
  mTextVersions.clear();
}

void
EngineSimulation::Execute(const CompleteResponse&)
{
  mFinished = true;
}

void
EngineSimulation::Execute(const FailResponse& aAction)
{
  mFailure = aAction.mFailure;
}

void
EngineSimulation::InjectFault(const SimulatedFault& aFault)
{
  Engine& engine = mEngines[static_cast<std::size_t>(aFault.mEngine)];
  const int untilMs = mNowMs + aFault.mForMs;
  switch (aFault.mKind) {
    case SimulatedFault::Die: {
      const auto streams = std::exchange(engine.mStreams, {});
      engine.mDeadUntilMs = std::max(engine.mDeadUntilMs, untilMs);
      engine.mPausedUntilMs = 0;
      ++engine.mIncarnation;
      for (const auto& it : streams) {
        if (it.second.mReaderAttempt != 0) {
          EndAttempt(it.second.mReaderAttempt, AttemptEnd::Broken);
        }
      }
      break;
    }
    case SimulatedFault::Pause:
      engine.mPausedUntilMs = std::max(engine.mPausedUntilMs, untilMs);
      break;
    case SimulatedFault::Reset:
      for (auto& it : engine.mStreams) {
        const int reader = std::exchange(it.second.mReaderAttempt, 0);
        if (reader != 0) {
          EndAttempt(reader, AttemptEnd::Broken);
        }
      }
      break;
    case SimulatedFault::Misrouted: {
      StreamEvent foreign = MakeEvent("g-other", aFault.mForMs % 4, 0);
      foreign.mRequestId = "r-other";
      Deliver(foreign);
      Deliver(MakeEvent("g1", 1, aFault.mForMs % 50));
      break;
    }
    case SimulatedFault::Full:
    case SimulatedFault::Last:
      engine.mFullUntilMs = std::max(engine.mFullUntilMs, untilMs);
      break;
  }
}

void
EngineSimulation::EndAttempt(int aAttempt, AttemptEnd aEnd)
{
  ScheduleAfter(RandomDelayMs(), [this, aAttempt, aEnd] {
    OnConnectionClosed(aAttempt);
    Apply(mGeneration.OnAttemptEnded(aAttempt, aEnd, Now()));
  });
}

void
EngineSimulation::OnConnectionOpened(int aAttempt)
{
  mOpenAttempts.insert(aAttempt);
  if (mOpenAttempts.size() == 2) {
    mOverlapSinceMs = mNowMs;
  }
}

void
EngineSimulation::OnConnectionClosed(int aAttempt)
{
  if (mOpenAttempts.size() > 1) {
    mLongestOverlapMs = std::max(mLongestOverlapMs, mNowMs - mOverlapSinceMs);
  }
  mOpenAttempts.erase(aAttempt);
}

void
EngineSimulation::Deliver(StreamEvent aEvent)
{
  ScheduleAfter(1,
                [this, aEvent] { Apply(mGeneration.OnEvent(aEvent, Now())); });
}

StreamEvent
EngineSimulation::MakeEvent(const std::string& aGeneration,
                            int aAttempt,
                            int aIndex) const
{
  StreamEvent event;
  event.mRequestId = "r-1";
  event.mAttempt = aAttempt;
  event.mGeneration = aGeneration;
  event.mIndex = aIndex;
  event.mToken = TokenOf(aGeneration, aIndex);
  event.mText = aGeneration + ":" + std::to_string(aIndex);
  event.mModel = "m";
  event.mVersion = "1";
  return event;
}

void
EngineSimulation::Tick(int aEngine)
{
  Engine& engine = mEngines[static_cast<std::size_t>(aEngine)];
  if (mNowMs >= engine.mPausedUntilMs && mNowMs >= engine.mDeadUntilMs) {
    for (auto& it : engine.mStreams) {
      TickStream(it.first, it.second);
    }
  }
  ScheduleAfter(kTickMs, [this, aEngine] { Tick(aEngine); });
}

void
EngineSimulation::TickStream(const std::string& aGeneration, Stream& aStream)
{
  if (aStream.mLength < mTokens) {
    ++aStream.mLength;
  } else {
    aStream.mRunning = false;
  }
  if (aStream.mReaderAttempt == 0) {
    return;
  }
  for (; aStream.mSentTokens < aStream.mLength; ++aStream.mSentTokens) {
    Deliver(
      MakeEvent(aGeneration, aStream.mReaderAttempt, aStream.mSentTokens));
  }
  if (!aStream.mRunning) {
    StreamEvent finish =
      MakeEvent(aGeneration, aStream.mReaderAttempt, mTokens);
    finish.mText.clear();
    finish.mFinishReason = "length";
    Deliver(finish);
    aStream.mReaderAttempt = 0;
  }
}

bool
EngineSimulation::IsAnyStreamRunning() const
{
  for (const Engine& engine : mEngines) {
    for (const auto& it : engine.mStreams) {
      if (it.second.mRunning) {
        return true;
      }
    }
  }
  return false;
}

int
EngineSimulation::RandomDelayMs()
{
  return 1 + static_cast<int>(mRandom() % 4);
}

int
EngineSimulation::EngineIndex(const std::string& aTarget)
{
  return std::stoi(aTarget.substr(1));
}
