#ifndef QUETZALQUAY_TESTS_FAKES_FLEETPLAY_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_FLEETPLAY_H_INCLUDED

#include "GatewayTestCluster.h"
#include "KeptCallers.h"

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

// Value of an environment variable, or a default without it.
int
FromEnvironment(const char* aName, int aDefault);

// What the callers of one fleet saw.
struct AnswerCounts
{
  // Requests that were written whole.
  int mSent = 0;
  // Answered with status 200.
  int mServed = 0;
  // Complete answers with another status, by status.
  std::map<int, int> mFailures;
  // Requests that met the close of their connection and were not passed on.
  int mCrossed = 0;
  // Requests broken off at their deadline.
  int mOverdue = 0;
  // Sent to a host that was killed before the answer was complete.
  int mKilled = 0;
  // All others that ended without a complete answer.
  std::vector<CallerRequest> mLost;
  // See FindWrongRuns().
  std::vector<std::string> mWrongRuns;

  // Complete answers that reject a request as not allowed.
  int RejectedCount() const;
};

// The end of a host that the test killed.
struct HostKill
{
  std::size_t mHost = 0;
  quetzalquay::Time mAt;
};

// Descriptions of the requests to "/unsafe/" that ran more than once, or at all
// though they were answered as not run.
std::vector<std::string>
FindWrongRuns(GatewayTestCluster& aCluster,
              const std::vector<CallerRequest>& aRequests);

// A running fleet, its callers and the configuration that was written last.
struct FleetSituation
{
  GatewayTestCluster& mCluster;
  KeptCallers& mCallers;
  std::mt19937& mRandom;
  TestConfiguration mConfiguration;
  std::vector<HostKill> mKills{};

  // A random number from 0 to aBelow - 1.
  int Random(int aBelow);

  // Writes the configuration without waiting.
  void WriteConfiguration() { mCluster.Write(mConfiguration); }
};

// Runs beside the load; the callers stop when it returns.
using FleetTrouble = std::function<void(FleetSituation&)>;

// A fleet, its load and its first configuration.
struct FleetCase
{
  static constexpr int kGateways = 3;
  static constexpr int kRunners = 8;
  static constexpr int kSecondServiceRunners = 2;
  static constexpr int kFirstServiceRunners = kRunners - kSecondServiceRunners;

  // Time limits of streams and of plain requests, for callers and on routes.
  static constexpr std::chrono::milliseconds kStreamDeadline{ 13000 };
  static constexpr std::chrono::milliseconds kPlainDeadline{ 8000 };

  // Pace of the runners: streams last about a second.
  static constexpr std::chrono::milliseconds kFirstEvent{ 200 };
  static constexpr std::chrono::milliseconds kEventInterval{ 20 };
  static constexpr std::chrono::milliseconds kPlainAnswer{ 40 };

  explicit FleetCase(std::string aName);

  std::string mName;
  GatewayTestCluster::Options mFleet;
  std::vector<KeptCallers::Kind> mCallers;
  // Whether each request has a body of its own.
  bool mOwnBodies = false;
  // See KeptCallers::Options.
  bool mInPieces = false;
  TestConfiguration mConfiguration;
};

// Plays a case with trouble, for each seed, and checks the counts. The seeds
// are QUETZAL_TEST_SEEDS (1) ones from QUETZAL_TEST_SEED (1) on.
// QUETZAL_TEST_FIGURES prints the counts and the lost requests, with their last
// line of the log if QUETZAL_TEST_LOGS keeps the logs. QUETZAL_TEST_TWINS plays
// the same load without trouble, too, for comparison.
void
ForEachPlay(const FleetCase& aCase,
            const FleetTrouble& aTrouble,
            const std::function<void(const AnswerCounts&)>& aCheck);

// Plays a case and expects that each request gets a complete answer.
void
ExpectAllAnswered(const FleetCase& aCase, const FleetTrouble& aTrouble);

#endif // QUETZALQUAY_TESTS_FAKES_FLEETPLAY_H_INCLUDED
