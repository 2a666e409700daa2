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

RecoveryPreset
RandomPreset()
{
  return *rc::gen::element(RecoveryPreset::LowLatency, RecoveryPreset::LowCost);
}

// Requires the delivered text to be consecutive tokens of one generation,
// starting at index aFrom.
void
RequireConsecutiveTokens(const EngineSimulation& aWorld, int aFrom)
{
  for (std::size_t n = 0; n < aWorld.mText.size(); ++n) {
    RC_ASSERT(aWorld.mText[n].first == aWorld.mText[0].first);
    RC_ASSERT(aWorld.mText[n].second == aFrom + static_cast<int>(n));
  }
}

void
RequireValidResponse(const EngineSimulation& aWorld, int aTokens, int aFrom)
{
  RequireConsecutiveTokens(aWorld, aFrom);
  RC_ASSERT(aWorld.mFinished != aWorld.mFailure.has_value());
  RC_ASSERT(aWorld.mEndedAtMs <= kDeadlineMs);
  RC_ASSERT(!aWorld.mWrongTokens);
  if (aWorld.mFinished) {
    RC_ASSERT(static_cast<int>(aWorld.mText.size()) == aTokens - aFrom);
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
  CPPUNIT_TEST(NonIdempotentRequestStartsAtMostOnce);
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
        EngineSimulation world(true, RandomPreset(), tokens, aSeed, aFaults);
        world.Run();
        RequireValidResponse(world, tokens, 0);
        if (world.mFailure && world.mFailure->mVerdict == RunVerdict::NotRun) {
          RC_ASSERT(world.mFirstStarts == 0);
        }
      });
  }

  void NonIdempotentRequestStartsAtMostOnce()
  {
    CheckProperty(
      "a non-idempotent request starts at most once and never runs "
      "concurrently",
      [](unsigned aSeed, const std::vector<SimulatedFault>& aFaults) {
        const int tokens = *rc::gen::inRange(1, 250);
        EngineSimulation world(false, RandomPreset(), tokens, aSeed, aFaults);
        world.mTakenOverAtMs = *rc::gen::inRange(0, 4000);
        world.Run();
        RequireValidResponse(world, tokens, 0);
        RC_ASSERT(world.mFirstStarts <= 1);
        RC_ASSERT(world.mOverlappingRuns == 0);
        RC_ASSERT(world.mUnfencedContinuations == 0);
        if (world.mFailure && world.mFailure->mVerdict == RunVerdict::NotRun) {
          RC_ASSERT(world.mFirstStarts == 0);
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
        EngineSimulation world(
          idempotent, RandomPreset(), tokens, aSeed, aFaults);
        world.Preload(2, "g-old", delivered);
        TakeoverPoint point;
        point.mGeneration = "g-old";
        point.mDelivered = delivered;
        point.mTarget = "e2";
        point.mAttempt = 1;
        for (int n = 0; n < known; ++n) {
          point.mTokens.push_back(EngineSimulation::TokenOf("g-old", n));
        }
        world.Run(point);
        RequireValidResponse(world, tokens, delivered);
        RC_ASSERT(world.mFirstStarts == 0);
        RC_ASSERT(idempotent || world.mOverlappingRuns == 0);
        if (world.mFailure) {
          RC_ASSERT(world.mFailure->mVerdict != RunVerdict::NotRun);
        }
      });
  }

  void RequestRejectedByFullTargetsIsNotRun()
  {
    EngineSimulation world(true,
                           RecoveryPreset::LowLatency,
                           10,
                           1,
                           FaultOnAllEngines(SimulatedFault::Full, 0, 5000));
    world.Run();
    CPPUNIT_ASSERT(world.mFailure.has_value());
    CPPUNIT_ASSERT(world.mFailure->mVerdict == RunVerdict::NotRun);
    CPPUNIT_ASSERT(world.mFailure->mRetryAfter > Duration::zero());
    CPPUNIT_ASSERT_EQUAL(0, world.mFirstStarts);
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
        EngineSimulation world(true,
                               RandomPreset(),
                               150,
                               seed,
                               { MakeFault(kind, engine, at, 5000) });
        world.Run();
        RequireValidResponse(world, 150, 0);
        RC_ASSERT(world.mFinished);
      });
  }

  void NonIdempotentStreamWaitsForItsPausedTarget()
  {
    EngineSimulation world(false,
                           RecoveryPreset::LowLatency,
                           100,
                           1,
                           FaultOnAllEngines(SimulatedFault::Pause, 300, 3000));
    world.Run();
    CPPUNIT_ASSERT(world.mFinished);
    CPPUNIT_ASSERT_EQUAL(1, world.mFirstStarts);
    CPPUNIT_ASSERT_EQUAL(0, world.mCounters.mContinuations);
  }

  void TakeoverWithoutTokensFailsWhenTargetDies()
  {
    EngineSimulation world(true,
                           RecoveryPreset::LowLatency,
                           100,
                           1,
                           { MakeFault(SimulatedFault::Die, 2, 0, 9000) });
    world.Preload(2, "g-old", 50);
    TakeoverPoint point;
    point.mGeneration = "g-old";
    point.mDelivered = 50;
    point.mTarget = "e2";
    point.mAttempt = 1;
    world.Run(point);
    CPPUNIT_ASSERT(world.mFailure.has_value());
    CPPUNIT_ASSERT(world.mFailure->mCode == FailureCode::GenerationLost);
    CPPUNIT_ASSERT(world.mFailure->mVerdict == RunVerdict::Ran);
    CPPUNIT_ASSERT(world.mText.empty());
  }

  void FailsImmediatelyWhenNoTargetIsReady()
  {
    EngineSimulation world(true,
                           RecoveryPreset::LowCost,
                           10,
                           1,
                           FaultOnAllEngines(SimulatedFault::Die, 0, 15000));
    world.Run();
    CPPUNIT_ASSERT(world.mFailure.has_value());
    CPPUNIT_ASSERT(world.mEndedAtMs < 100);
    CPPUNIT_ASSERT(world.mFailure->mVerdict == RunVerdict::NotRun);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GenerationTests);
