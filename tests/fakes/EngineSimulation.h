#ifndef QUETZALQUAY_TESTS_FAKES_ENGINESIMULATION_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_ENGINESIMULATION_H_INCLUDED

#include "core/Generation.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

// Fault of a simulated engine.
struct SimulatedFault
{
  enum Kind
  {
    Die,
    Pause,
    // The router's connections break; the engine keeps running.
    Reset,
    // Events of an earlier attempt and of another request arrive.
    Misrouted,
    Full,
    Last,
  };

  Kind mKind = Die;
  int mEngine = 0;
  int mAtMs = 0;
  int mForMs = 0;
};

// What the engines and the request allow.
struct SimulatedLimits
{
  // Whether a new connection can read a running stream; otherwise a stream ends
  // with its connection.
  bool mCanReattach = true;
  // Engines that the request may run on; 0 means unlimited.
  int mMaxRuns = 0;
  // Whether full engines reset connections instead of rejecting the request.
  bool mFullEnginesReset = false;
};

// Discrete-event simulation of a few engines that serve one request of a
// router. Single-threaded; the seed determines all delays and choices of
// engines.
class EngineSimulation : public quetzalquay::TargetChooser
{
public:
  static constexpr int kEngines = 4;

  EngineSimulation(bool aIdempotent,
                   quetzalquay::RecoveryPreset aPreset,
                   int aTokens,
                   unsigned aSeed,
                   std::vector<SimulatedFault> aFaults,
                   SimulatedLimits aLimits = {});

  // Runs the request to its end. With aTakeover, the request resumes the stream
  // of another router at that point; Preload() has to start that stream before,
  // unless its engine is to have lost it.
  void Run(
    const std::optional<quetzalquay::TakeoverPoint>& aTakeover = std::nullopt);

  // Starts a generation on an engine, as if by a router that has stopped.
  void Preload(int aEngine, const std::string& aGeneration, int aLength);

  void CancelWait(const quetzalquay::ChoiceQuery&) override {}
  quetzalquay::Choice Choose(const quetzalquay::ChoiceQuery& aQuery,
                             quetzalquay::Time aNow) override;

  // Spreads the engines over this many software versions; engines that are dead
  // are not registered while aUnregistered.
  void SetSoftwareVersions(int aCount, bool aUnregistered)
  {
    mSoftwareVersions = aCount;
    mUnregisterDead = aUnregistered;
  }

  // Software version of an engine; empty without versions.
  std::string SoftwareVersionOf(const std::string& aTarget) const;

  static int TokenOf(const std::string& aGeneration, int aIndex);

  // What the caller has received: generation and index of each token.
  std::vector<std::pair<std::string, int>> mText;
  // Software versions of the engines that produced it.
  std::set<std::string> mTextVersions;
  std::optional<quetzalquay::Failure> mFailure;
  bool mFinished = false;
  int mEndedAtMs = 0;

  // Generations started from the prompt.
  int mFirstStarts = 0;
  // Dispatches that began while a generation was still running on any engine.
  int mOverlappingRuns = 0;
  // Whether a dispatch carried resumed tokens that are not the generation's.
  bool mWrongTokens = false;
  // Continuations of a non-idempotent request without a granted fence.
  int mUnfencedContinuations = 0;
  // Time from which another router owns the request; 0 for never.
  int mTakenOverAtMs = 0;
  // Time at which the process is about to exit; 0 for never.
  int mExitAtMs = 0;
  quetzalquay::GenerationCounters mCounters;
  // Dispatches that may have run on an engine.
  int mRuns = 0;
  // Longest time for which the request was open at two engines.
  int mLongestOverlapMs = 0;

private:
  struct Stream
  {
    int mAttempt = 0;
    int mLength = 0;
    // Attempt on whose connection the router reads the stream; 0 for none.
    int mReaderAttempt = 0;
    int mSentTokens = 0;
    bool mRunning = true;
  };

  struct Engine
  {
    int mIncarnation = 1;
    int mDeadUntilMs = 0;
    int mPausedUntilMs = 0;
    int mFullUntilMs = 0;
    std::map<std::string, Stream> mStreams;
  };

  struct ScheduledEvent
  {
    int mAtMs = 0;
    int mSequence = 0;
    std::function<void()> mAction;
    bool operator<(const ScheduledEvent& aOther) const
    {
      return std::make_pair(mAtMs, mSequence) <
             std::make_pair(aOther.mAtMs, aOther.mSequence);
    }
  };

  quetzalquay::Time Now() const;
  void ScheduleAfter(int aMs, std::function<void()> aAction);
  void Apply(const quetzalquay::Actions& aActions);
  void Execute(const quetzalquay::DispatchAttempt& aAction);
  void Execute(const quetzalquay::AdoptAttempt&) {}
  void Execute(const quetzalquay::FenceAttempt& aAction);
  void Execute(const quetzalquay::ReattachStream& aAction);
  void Execute(const quetzalquay::ProbeTarget& aAction);
  void Execute(const quetzalquay::CancelAttempt& aAction);
  void Execute(const quetzalquay::DeliverText& aAction);
  void Execute(const quetzalquay::DiscardText& aAction);
  void Execute(const quetzalquay::CompleteResponse& aAction);
  void Execute(const quetzalquay::FailResponse& aAction);
  void InjectFault(const SimulatedFault& aFault);
  void EndAttempt(int aAttempt, quetzalquay::AttemptEnd aEnd);
  void OnConnectionOpened(int aAttempt);
  void OnConnectionClosed(int aAttempt);
  void Deliver(quetzalquay::StreamEvent aEvent);
  quetzalquay::StreamEvent MakeEvent(const std::string& aGeneration,
                                     int aAttempt,
                                     int aIndex) const;
  void Tick(int aEngine);
  void TickStream(const std::string& aGeneration, Stream& aStream);
  bool IsAnyStreamRunning() const;
  int RandomDelayMs();
  static int EngineIndex(const std::string& aTarget);

  int mTokens;
  int mSoftwareVersions = 0;
  bool mUnregisterDead = false;
  std::mt19937 mRandom;
  std::vector<SimulatedFault> mFaults;
  std::vector<Engine> mEngines;
  std::multiset<ScheduledEvent> mQueue;
  int mNowMs = 0;
  int mSequence = 0;
  int mNextGeneration = 0;
  int mFencedAttempt = 0;
  // Attempts with an open connection, and since when there are two.
  std::set<int> mOpenAttempts;
  int mOverlapSinceMs = 0;
  bool mIdempotent;
  SimulatedLimits mLimits;
  quetzalquay::Generation mGeneration;
};

#endif // QUETZALQUAY_TESTS_FAKES_ENGINESIMULATION_H_INCLUDED
