#ifndef QUETZALQUAY_TESTS_FAKES_STREAMTRIALS_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_STREAMTRIALS_H_INCLUDED

#include "StreamCallers.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

// Callers of a fleet and what happens meanwhile.
struct StreamTrial
{
  using Trouble = std::function<void(GatewayTestCluster&, StreamCallers&)>;
  using Preparation = std::function<void(GatewayTestCluster&)>;

  std::string mName;
  GatewayTestCluster::Options mOptions;
  Trouble mTrouble;
  std::chrono::milliseconds mSpread{ 250 };
  // Time without an event after which a caller abandons its attempt.
  std::chrono::milliseconds mGap{ 2000 };
  // Done before the callers start.
  Preparation mPreparation = [](auto&) {};
};

struct StreamTrialResult
{
  StreamReport mReport;
  std::vector<CallerStream> mStreams;
  quetzalquay::Time mTroubleAt;
};

// Seed of the trials, from QUETZAL_TEST_SEED.
unsigned
TrialSeed();

// Runs trials at the same time and checks what must hold in all of them. With
// QUETZAL_TEST_FIGURES, prints their figures.
std::vector<StreamTrialResult>
PlayTrials(const std::vector<StreamTrial>& aTrials);

// Kills a host.
void
KillHost(GatewayTestCluster& aCluster,
         StreamCallers& aCallers,
         std::size_t aHost);

// Name of a runner by its number.
std::string
RunnerName(int aNumber);

void
Sleep(std::chrono::milliseconds aTime);

#endif // QUETZALQUAY_TESTS_FAKES_STREAMTRIALS_H_INCLUDED
