#include "EngineSimulation.h"
#include "Property.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace quetzalquay;

namespace rc {

template<>
struct Arbitrary<SimulatedFault>
{
  static Gen<SimulatedFault> arbitrary()
  {
    return gen::build<SimulatedFault>(
      gen::set(&SimulatedFault::mKind,
               gen::cast<SimulatedFault::Kind>(
                 gen::inRange(0, static_cast<int>(SimulatedFault::Last)))),
      gen::set(&SimulatedFault::mEngine,
               gen::inRange(0, EngineSimulation::kEngines)),
      gen::set(&SimulatedFault::mAtMs, gen::inRange(0, 3000)),
      gen::set(&SimulatedFault::mForMs, gen::inRange(1, 6000)));
  }
};

void
showValue(const SimulatedFault& aFault, std::ostream& aOut)
{
  aOut << "{kind " << aFault.mKind << " engine " << aFault.mEngine << " at "
       << aFault.mAtMs << " ms for " << aFault.mForMs << " ms}";
}

} // namespace rc

namespace {

constexpr int kDeadlineMs = 20000;

// Time after which a stream has begun.
constexpr int kBegunMs = 100;

// Longest time for which a request may be open at two targets.
constexpr int kMaxOverlapMs = 300;

RecoveryPreset
RandomPreset()
{
  return *rc::gen::element(RecoveryPreset::LowLatency, RecoveryPreset::LowCost);
}

// Requires the delivered text to be consecutive tokens of one generation,
// starting at index aFrom.
void
RequireConsecutiveTokens(const EngineSimulation& aSimulation, int aFrom)
{
  for (std::size_t n = 0; n < aSimulation.mText.size(); ++n) {
    RC_ASSERT(aSimulation.mText[n].first == aSimulation.mText[0].first);
    RC_ASSERT(aSimulation.mText[n].second == aFrom + static_cast<int>(n));
  }
}

void
RequireValidResponse(const EngineSimulation& aSimulation,
                     int aTokens,
                     int aFrom)
{
  RequireConsecutiveTokens(aSimulation, aFrom);
  RC_ASSERT(aSimulation.mFinished != aSimulation.mFailure.has_value());
  RC_ASSERT(aSimulation.mEndedAtMs <= kDeadlineMs);
  RC_ASSERT(!aSimulation.mWrongTokens);
  if (aSimulation.mFinished) {
    RC_ASSERT(static_cast<int>(aSimulation.mText.size()) == aTokens - aFrom);
  }
}

SimulatedFault
MakeFault(SimulatedFault::Kind aKind, int aEngine, int aAtMs, int aForMs)
{
  SimulatedFault fault;
  fault.mKind = aKind;
  fault.mEngine = aEngine;
  fault.mAtMs = aAtMs;
  fault.mForMs = aForMs;
  return fault;
}

std::vector<SimulatedFault>
FaultOnAllEngines(SimulatedFault::Kind aKind, int aAtMs, int aForMs)
{
  std::vector<SimulatedFault> faults;
  for (int n = 0; n < EngineSimulation::kEngines; ++n) {
    faults.push_back(MakeFault(aKind, n, aAtMs, aForMs));
  }
  return faults;
}

} // namespace

class GenerationTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GenerationTests);
  CPPUNIT_TEST(IdempotentResponseIsCompleteUnderFaults);
  CPPUNIT_TEST(SilentAndFullTargetsDoNotEndAStream);
  CPPUNIT_TEST(NonIdempotentRequestStartsAtMostOnce);
  CPPUNIT_TEST(ExitEndsRequestsWithATrueVerdict);
  CPPUNIT_TEST(TakeoverContinuesWithoutGaps);
  CPPUNIT_TEST(RequestRejectedByFullTargetsIsNotRun);
  CPPUNIT_TEST(SingleFaultDoesNotFailIdempotentRequest);
  CPPUNIT_TEST(NonIdempotentStreamWaitsForItsPausedTarget);
  CPPUNIT_TEST(TakeoverWithoutTokensFailsWhenTargetDies);
  CPPUNIT_TEST(FailsImmediatelyWhenNoTargetIsReady);
  CPPUNIT_TEST_SUITE_END();

public:
  void IdempotentResponseIsCompleteUnderFaults()
  {
    CheckProperty(
      "idempotent responses are complete under any faults",
      [](unsigned aSeed, const std::vector<SimulatedFault>& aFaults) {
        const int tokens = *rc::gen::inRange(1, 250);
        EngineSimulation simulation(
          true, RandomPreset(), tokens, aSeed, aFaults);
        simulation.Run();
        RequireValidResponse(simulation, tokens, 0);
        if (simulation.mFailure &&
            simulation.mFailure->mVerdict == RunVerdict::NotRun) {
          RC_ASSERT(simulation.mFirstStarts == 0);
        }
      });
  }

  // Streams were broken off because they left silent, sound targets for others
  // that turned them away.
  void SilentAndFullTargetsDoNotEndAStream()
  {
    CheckProperty(
      "a stream that has begun ends neither by silent nor by full targets",
      [](unsigned aSeed, std::vector<SimulatedFault> aFaults) {
        const int tokens = *rc::gen::inRange(100, 250);
        SimulatedLimits limits;
        limits.mCanReattach = false;
        limits.mMaxRuns = *rc::gen::inRange(1, 6);
        limits.mFullEnginesReset = *rc::gen::arbitrary<bool>();
        for (SimulatedFault& it : aFaults) {
          it.mKind =
            it.mForMs % 2 == 0 ? SimulatedFault::Pause : SimulatedFault::Full;
          it.mAtMs += kBegunMs;
        }
        EngineSimulation simulation(
          true, RecoveryPreset::LowLatency, tokens, aSeed, aFaults, limits);
        simulation.Run();
        RequireValidResponse(simulation, tokens, 0);
        RC_ASSERT(simulation.mFinished);
        RC_ASSERT(simulation.mRuns <= limits.mMaxRuns);
        RC_ASSERT(simulation.mLongestOverlapMs <= kMaxOverlapMs);
      });
  }

  void NonIdempotentRequestStartsAtMostOnce()
  {
    CheckProperty(
      "a non-idempotent request starts at most once and never runs "
      "concurrently",
      [](unsigned aSeed, const std::vector<SimulatedFault>& aFaults) {
        const int tokens = *rc::gen::inRange(1, 250);
        EngineSimulation simulation(
          false, RandomPreset(), tokens, aSeed, aFaults);
        simulation.mTakenOverAtMs = *rc::gen::inRange(0, 4000);
        simulation.Run();
        RequireValidResponse(simulation, tokens, 0);
        RC_ASSERT(simulation.mFirstStarts <= 1);
        RC_ASSERT(simulation.mOverlappingRuns == 0);
        RC_ASSERT(simulation.mUnfencedContinuations == 0);
        if (simulation.mFailure &&
            simulation.mFailure->mVerdict == RunVerdict::NotRun) {
          RC_ASSERT(simulation.mFirstStarts == 0);
        }
      });
  }

  // Guards against requests that are open when the process exits and get no
  // answer, or one that says not_run after a target has started them.
  void ExitEndsRequestsWithATrueVerdict()
  {
    CheckProperty(
      "an exit ends a request at once, with a true verdict",
      [](unsigned aSeed, const std::vector<SimulatedFault>& aFaults) {
        const int tokens = *rc::gen::inRange(1, 250);
        const bool idempotent = *rc::gen::arbitrary<bool>();
        EngineSimulation simulation(
          idempotent, RandomPreset(), tokens, aSeed, aFaults);
        simulation.mExitAtMs = *rc::gen::inRange(1, 4000);
        simulation.Run();
        RequireValidResponse(simulation, tokens, 0);
        RC_ASSERT(simulation.mEndedAtMs <= simulation.mExitAtMs);
        if (simulation.mFailure &&
            simulation.mFailure->mVerdict == RunVerdict::NotRun) {
          RC_ASSERT(simulation.mFirstStarts == 0);
        }
      });
  }

  void TakeoverContinuesWithoutGaps()
  {
    CheckProperty(
      "a stream that is taken over continues after the tokens its caller holds",
      [](unsigned aSeed, const std::vector<SimulatedFault>& aFaults) {
        const int tokens = *rc::gen::inRange(2, 200);
        const int delivered = *rc::gen::inRange(1, tokens);
        const int known = *rc::gen::inRange(0, delivered + 1);
        const bool idempotent = *rc::gen::arbitrary<bool>();
        EngineSimulation simulation(
          idempotent, RandomPreset(), tokens, aSeed, aFaults);
        simulation.Preload(2, "g-old", delivered);
        TakeoverPoint point;
        point.mGeneration = "g-old";
        point.mDelivered = delivered;
        point.mTarget = "e2";
        point.mAttempt = 1;
        for (int n = 0; n < known; ++n) {
          point.mTokens.push_back(EngineSimulation::TokenOf("g-old", n));
        }
        simulation.Run(point);
        RequireValidResponse(simulation, tokens, delivered);
        RC_ASSERT(simulation.mFirstStarts == 0);
        RC_ASSERT(idempotent || simulation.mOverlappingRuns == 0);
        if (simulation.mFailure) {
          RC_ASSERT(simulation.mFailure->mVerdict != RunVerdict::NotRun);
        }
      });
  }

  void RequestRejectedByFullTargetsIsNotRun()
  {
    EngineSimulation simulation(
      true,
      RecoveryPreset::LowLatency,
      10,
      1,
      FaultOnAllEngines(SimulatedFault::Full, 0, 5000));
    simulation.Run();
    CPPUNIT_ASSERT(simulation.mFailure.has_value());
    CPPUNIT_ASSERT(simulation.mFailure->mVerdict == RunVerdict::NotRun);
    CPPUNIT_ASSERT(simulation.mFailure->mRetryAfter > Duration::zero());
    CPPUNIT_ASSERT_EQUAL(0, simulation.mFirstStarts);
  }

  void SingleFaultDoesNotFailIdempotentRequest()
  {
    CheckProperty(
      "a single fault of any kind never fails an idempotent request", [] {
        const auto kind = *rc::gen::element(
          SimulatedFault::Die, SimulatedFault::Pause, SimulatedFault::Reset);
        const int engine = *rc::gen::inRange(0, EngineSimulation::kEngines);
        const int at = *rc::gen::inRange(0, 2000);
        const auto seed = *rc::gen::arbitrary<unsigned>();
        EngineSimulation simulation(true,
                                    RandomPreset(),
                                    150,
                                    seed,
                                    { MakeFault(kind, engine, at, 5000) });
        simulation.Run();
        RequireValidResponse(simulation, 150, 0);
        RC_ASSERT(simulation.mFinished);
      });
  }

  void NonIdempotentStreamWaitsForItsPausedTarget()
  {
    EngineSimulation simulation(
      false,
      RecoveryPreset::LowLatency,
      100,
      1,
      FaultOnAllEngines(SimulatedFault::Pause, 300, 3000));
    simulation.Run();
    CPPUNIT_ASSERT(simulation.mFinished);
    CPPUNIT_ASSERT_EQUAL(1, simulation.mFirstStarts);
    CPPUNIT_ASSERT_EQUAL(0, simulation.mCounters.mContinuations);
  }

  void TakeoverWithoutTokensFailsWhenTargetDies()
  {
    EngineSimulation simulation(true,
                                RecoveryPreset::LowLatency,
                                100,
                                1,
                                { MakeFault(SimulatedFault::Die, 2, 0, 9000) });
    simulation.Preload(2, "g-old", 50);
    TakeoverPoint point;
    point.mGeneration = "g-old";
    point.mDelivered = 50;
    point.mTarget = "e2";
    point.mAttempt = 1;
    simulation.Run(point);
    CPPUNIT_ASSERT(simulation.mFailure.has_value());
    CPPUNIT_ASSERT(simulation.mFailure->mCode == FailureCode::GenerationLost);
    CPPUNIT_ASSERT(simulation.mFailure->mVerdict == RunVerdict::Ran);
    CPPUNIT_ASSERT(simulation.mText.empty());
  }

  void FailsImmediatelyWhenNoTargetIsReady()
  {
    EngineSimulation simulation(
      true,
      RecoveryPreset::LowCost,
      10,
      1,
      FaultOnAllEngines(SimulatedFault::Die, 0, 15000));
    simulation.Run();
    CPPUNIT_ASSERT(simulation.mFailure.has_value());
    CPPUNIT_ASSERT(simulation.mEndedAtMs < 100);
    CPPUNIT_ASSERT(simulation.mFailure->mVerdict == RunVerdict::NotRun);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GenerationTests);
