#ifndef QUETZALQUAY_TESTS_FAKES_FAKEWORLD_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_FAKEWORLD_H_INCLUDED

#include "core/Generation.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

// What happens to one fake engine, and when.
struct WorldFault
{
  enum Kind
  {
    Die,
    Pause,
    // The router's connection breaks; the engine goes on.
    Reset,
    // Events of an earlier attempt or another request arrive.
    Crossed,
    Full,
    Last,
  };

  Kind mKind = Die;
  int mEngine = 0;
  int mAtMs = 0;
  int mForMs = 0;
};

// A few engines in virtual time, with one request of one router. Single
// threaded; the seed decides all delays.
class FakeWorld : public quetzalquay::TargetChooser
{
public:
  static constexpr int kEngines = 4;

  FakeWorld(bool aIdempotent,
            quetzalquay::RecoveryPreset aPreset,
            int aTokens,
            unsigned aSeed,
            std::vector<WorldFault> aFaults);

  // Runs the request until its end. aTakeover starts it as another router's
  // stream, whose engine then holds that generation.
  void Run(
    const std::optional<quetzalquay::TakeoverPoint>& aTakeover = std::nullopt);

  // Starts a generation on an engine, as a router that is gone would have.
  void Preload(int aEngine, const std::string& aGeneration, int aLength);

  void Forget(const quetzalquay::ChoiceQuery&) override {}
  quetzalquay::Choice Choose(const quetzalquay::ChoiceQuery& aQuery,
                             quetzalquay::Time aNow) override;

  static int TokenOf(const std::string& aGeneration, int aIndex);

  // What the caller has got.
  std::vector<std::pair<std::string, int>> mText;
  std::optional<quetzalquay::Failure> mFailure;
  bool mFinished = false;
  int mEndedAtMs = 0;

  // What engines did.
  int mFirstStarts = 0;
  // Continuations that began while an earlier attempt was still running.
  int mOverlaps = 0;
  bool mWrongTokens = false;
  // Continuations of a non-idempotent request that were not asked for.
  int mUnfenced = 0;
  // From when on another router has the request, 0 for never.
  int mTakenOverAtMs = 0;
  quetzalquay::GenerationCounters mCounters;

private:
  struct Stream
  {
    int mAttempt = 0;
    int mLength = 0;
    // Attempt whose connection the router still reads, 0 when none.
    int mReader = 0;
    int mSent = 0;
    bool mRunning = true;
  };

  struct Engine
  {
    int mIncarnation = 1;
    int mDeadUntil = 0;
    int mPausedUntil = 0;
    int mFullUntil = 0;
    std::map<std::string, Stream> mStreams;
  };

  struct Timed
  {
    int mAtMs = 0;
    int mOrder = 0;
    std::function<void()> mRun;
    bool operator<(const Timed& aOther) const
    {
      return std::make_pair(mAtMs, mOrder) <
             std::make_pair(aOther.mAtMs, aOther.mOrder);
    }
  };

  quetzalquay::Time Now() const;
  void After(int aMs, std::function<void()> aRun);
  void Apply(const quetzalquay::Actions& aActions);
  void Do(const quetzalquay::DispatchAttempt& aAction);
  void Do(const quetzalquay::FenceAttempt& aAction);
  void Do(const quetzalquay::ReattachStream& aAction);
  void Do(const quetzalquay::ProbeTarget& aAction);
  void Do(const quetzalquay::CancelAttempt& aAction);
  void Do(const quetzalquay::DeliverText& aAction);
  void Do(const quetzalquay::DiscardText& aAction);
  void Do(const quetzalquay::FinishAnswer& aAction);
  void Do(const quetzalquay::FailAnswer& aAction);
  void Inject(const WorldFault& aFault);
  void EndAttempt(int aAttempt, quetzalquay::AttemptEnd aEnd);
  void Deliver(quetzalquay::StreamEvent aEvent);
  quetzalquay::StreamEvent EventOf(const std::string& aGeneration,
                                   int aAttempt,
                                   int aIndex) const;
  void Tick(int aEngine);
  void TickStream(const std::string& aGeneration, Stream& aStream);
  bool RunsSomewhere() const;
  int Delay();
  static int IndexOf(const std::string& aTarget);

  int mTokens;
  std::mt19937 mRandom;
  std::vector<WorldFault> mFaults;
  std::vector<Engine> mEngines;
  std::multiset<Timed> mQueue;
  int mNowMs = 0;
  int mOrder = 0;
  int mNextGeneration = 0;
  int mFencedAttempt = 0;
  bool mIdempotent;
  quetzalquay::Generation mGeneration;
};

#endif // QUETZALQUAY_TESTS_FAKES_FAKEWORLD_H_INCLUDED
