#include "FleetTroubles.h"

#include <algorithm>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <iterator>

using std::chrono::milliseconds;

namespace {

// Configurations in quick succession for each kind of change.
constexpr int kChangesOfKind = 3;

// Time for which targets are in one state of a trouble.
constexpr auto kTroubleTime = milliseconds(350);

// Longest pause of callers that send their next request at once.
constexpr auto kShortPause = milliseconds(3);

// Connections of targets that are full.
constexpr int kFullConnections = 2;
constexpr int kUnlimitedConnections = 1000000;

// Time in which a stopped trouble comes to its end.
constexpr auto kEndTime = milliseconds(300);

// Idle timeouts before and after a change that shortens it.
constexpr int kLongIdleMs = 15000;
constexpr int kShortIdleMs = 1000;

// Memory of the smallest hosts in MB.
constexpr int kSmallHostMb = 88;

// Address space that the stacks of its threads reserve and do not use, in MB.

// One step of a trouble, repeated while the configuration changes.
using TroubleStep = std::function<void(FleetSituation&, int)>;

constexpr ConfigurationChange kKindsOfChange[] = {
  ConfigurationChange::Routes,  ConfigurationChange::MovedRoutes,
  ConfigurationChange::Weights, ConfigurationChange::Timeouts,
  ConfigurationChange::Limits,  ConfigurationChange::Workspaces,
  ConfigurationChange::Keys,    ConfigurationChange::All
};

// A target of the first service and, every other time, one of the second.
std::vector<std::string>
ChooseRunners(FleetSituation& aSituation, int aStep)
{
  std::vector<std::string> runners = {
    "i-" + std::to_string(aSituation.Random(FleetCase::kFirstServiceRunners))
  };
  if (aStep % 2 == 1) {
    runners.push_back(
      "i-" +
      std::to_string(FleetCase::kFirstServiceRunners +
                     aSituation.Random(FleetCase::kSecondServiceRunners)));
  }
  return runners;
}

// Lets some targets answer in a mode for a while.
TroubleStep
Misbehave(RunnerMode aMode)
{
  return [aMode](FleetSituation& aSituation, int aStep) {
    const auto runners = ChooseRunners(aSituation, aStep);
    for (const std::string& it : runners) {
      aSituation.mCluster.SetMode(it, aMode);
    }
    std::this_thread::sleep_for(kTroubleTime);
    for (const std::string& it : runners) {
      aSituation.mCluster.SetMode(it, RunnerMode::Serve);
    }
  };
}

void
ChangeKind(FleetSituation& aSituation, ConfigurationChange aKind)
{
  const TestConfiguration before = aSituation.mConfiguration;
  const int kinds = static_cast<int>(std::size(kKindsOfChange)) - 1;
  ChangeConfiguration(aSituation,
                      aKind,
                      aKind == ConfigurationChange::All ? kinds
                                                        : kChangesOfKind);
  aSituation.mConfiguration = before;
  aSituation.WriteConfiguration();
}

// Plays all kinds of changes, or the one that QUETZAL_TEST_CHANGE selects by
// its number, beside a trouble.
void
ChangeBeside(FleetSituation& aSituation, const TroubleStep& aStep)
{
  std::mt19937 random(aSituation.mRandom());
  FleetSituation troubled{
    aSituation.mCluster, aSituation.mCallers, random, aSituation.mConfiguration
  };
  std::atomic<bool> stopped{ false };
  std::thread trouble([&] {
    for (int n = 0; !stopped; ++n) {
      aStep(troubled, n);
    }
  });
  const int only = FromEnvironment("QUETZAL_TEST_CHANGE", -1);
  const int rounds = FromEnvironment("QUETZAL_TEST_ROUNDS", 1);
  for (int n = 0; n < rounds; ++n) {
    for (const ConfigurationChange it : kKindsOfChange) {
      if (only < 0 || only == static_cast<int>(it)) {
        ChangeKind(aSituation, it);
      }
    }
  }
  stopped = true;
  trouble.join();
  std::this_thread::sleep_for(kEndTime);
}

FleetCase
MakeCase(const std::string& aTrouble)
{
  const int only = FromEnvironment("QUETZAL_TEST_CHANGE", -1);
  FleetCase fleet(aTrouble +
                  (only < 0 ? std::string() : "-c" + std::to_string(only)));
  fleet.mOwnBodies = true;
  return fleet;
}

// A case without streams that may not go on at another target: the fault of
// their target ends them.
FleetCase
MakeResumableCase(const std::string& aTrouble)
{
  FleetCase fleet = MakeCase(aTrouble);
  fleet.mCallers.erase(std::remove_if(fleet.mCallers.begin(),
                                      fleet.mCallers.end(),
                                      [](const KeptCallers::Kind& aKind) {
                                        return aKind.mPath == "/stream-once/";
                                      }),
                       fleet.mCallers.end());
  return fleet;
}

// A case whose callers send each request in pieces, the first one almost as the
// answer before it ends.
FleetCase
MakePiecesCase(FleetCase aCase)
{
  aCase.mName += "_pieces";
  aCase.mInPieces = true;
  for (KeptCallers::Kind& it : aCase.mCallers) {
    it.mMaxPause = kShortPause;
  }
  return aCase;
}

void
PlayBesideChanges(const FleetCase& aCase, const TroubleStep& aStep)
{
  ExpectAllAnswered(aCase, [&](FleetSituation& aSituation) {
    ChangeBeside(aSituation, aStep);
  });
}

} // namespace

// Whole fleets of gateway processes: each kind of change of the configuration,
// alone and all in turn, beside each trouble of targets that is no fault of the
// request. Counts as FleetAnswerTests, with the same environment variables;
// QUETZAL_TEST_CHANGE selects one kind of change.
class FleetChangeTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetChangeTests);
  CPPUNIT_TEST(ChangesBesideSilentTargets);
  CPPUNIT_TEST(ChangesBesideLeavingTargets);
  CPPUNIT_TEST(ChangesBesideCrashingTargets);
  CPPUNIT_TEST(ChangesBesideUnframedAnswers);
  CPPUNIT_TEST(ChangesBesideTornUnframedAnswers);
  CPPUNIT_TEST(ChangesBesideResetUnframedAnswers);
  CPPUNIT_TEST(ChangesBesideEndlessHeads);
  CPPUNIT_TEST(ChangesBesideEndlessBodies);
  CPPUNIT_TEST(ChangesBesideEndlessTails);
  CPPUNIT_TEST(ChangesBesideDroppedIdleConnections);
  CPPUNIT_TEST(IdleConnectionsBesideShorterIdleTimeouts);
  CPPUNIT_TEST(PiecesBesideSilentTargets);
  CPPUNIT_TEST(PiecesBesideHangingTargets);
  CPPUNIT_TEST(PiecesBesideResettingTargets);
  CPPUNIT_TEST(PiecesBesideFullTargets);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests ending because their target stood still for about a
  // second while the configuration changed.
  void ChangesBesideSilentTargets()
  {
    PlayBesideChanges(
      MakeCase("silent"), [](FleetSituation& aSituation, int aStep) {
        constexpr SilentRunners kRunners[] = { SilentRunners::One,
                                               SilentRunners::FirstPlace,
                                               SilentRunners::SecondPlace,
                                               SilentRunners::Service };
        for (const std::string& it : ChooseRunners(aSituation, aStep)) {
          aSituation.mCluster.Stall(it, milliseconds(1000));
        }
        Silence(
          aSituation,
          kRunners[static_cast<std::size_t>(aStep) % std::size(kRunners)]);
        std::this_thread::sleep_for(kTroubleTime);
      });
  }

  // Guards against requests ending because their target is draining or its
  // entry is gone, although it goes on serving.
  void ChangesBesideLeavingTargets()
  {
    PlayBesideChanges(MakeCase("leaving"),
                      [](FleetSituation& aSituation, int aStep) {
                        const auto runners = ChooseRunners(aSituation, aStep);
                        for (const std::string& it : runners) {
                          aSituation.mCluster.SetLeaving(it);
                        }
                        std::this_thread::sleep_for(kTroubleTime);
                        for (const std::string& it : runners) {
                          aSituation.mCluster.RemoveEntry(it);
                        }
                        std::this_thread::sleep_for(kTroubleTime);
                        for (const std::string& it : runners) {
                          aSituation.mCluster.Register(it);
                        }
                      });
  }

  // Guards against requests that may run again ending with their target.
  void ChangesBesideCrashingTargets()
  {
    PlayBesideChanges(
      MakeResumableCase("dying"), [](FleetSituation& aSituation, int) {
        aSituation.mCluster.CrashRunner(
          "i-" +
            std::to_string(aSituation.Random(FleetCase::kFirstServiceRunners)),
          "v1");
        std::this_thread::sleep_for(2 * kTroubleTime);
      });
  }

  // Guards against an answer that ends with its connection, as is allowed,
  // being taken for a lost one.
  void ChangesBesideUnframedAnswers()
  {
    PlayBesideChanges(MakeCase("unframed"),
                      [](FleetSituation& aSituation, int aStep) {
                        aSituation.mCluster.SetAllModes(RunnerMode::Unframed);
                        std::this_thread::sleep_for(kTroubleTime);
                        if (aStep % 2 == 1) {
                          aSituation.mCluster.SetAllModes(RunnerMode::Serve);
                          std::this_thread::sleep_for(kTroubleTime);
                        }
                      });
  }

  // Guards against a stream that ends inside an event being taken for a whole
  // one or being given up.
  void ChangesBesideTornUnframedAnswers()
  {
    PlayBesideChanges(MakeResumableCase("torn"),
                      Misbehave(RunnerMode::UnframedTorn));
  }

  // Guards against a reset being taken for the end of an answer without a
  // length.
  void ChangesBesideResetUnframedAnswers()
  {
    PlayBesideChanges(MakeResumableCase("reset"),
                      Misbehave(RunnerMode::UnframedStreamReset));
  }

  // Guards against a head that never ends holding its request or its host.
  void ChangesBesideEndlessHeads()
  {
    FleetCase fleet = MakeResumableCase("endless_head");
    fleet.mFleet.mSettings.mMemoryMb = kSmallHostMb;
    PlayBesideChanges(fleet, Misbehave(RunnerMode::EndlessHead));
  }

  // Guards against a body that never ends holding its request, or ending its
  // host by the memory that it takes.
  void ChangesBesideEndlessBodies()
  {
    FleetCase fleet = MakeResumableCase("endless_body");
    fleet.mFleet.mSettings.mMemoryMb = kSmallHostMb;
    PlayBesideChanges(fleet, Misbehave(RunnerMode::EndlessBody));
  }

  // Guards against bytes after a whole answer being taken for a part of it or
  // of the next one.
  void ChangesBesideEndlessTails()
  {
    FleetCase fleet = MakeResumableCase("endless_tail");
    fleet.mFleet.mSettings.mMemoryMb = kSmallHostMb;
    PlayBesideChanges(fleet, Misbehave(RunnerMode::EndlessTail));
  }

  // Guards against requests ending without an answer because the idle
  // connection that they were sent on had been dropped, with or without notice.
  void ChangesBesideDroppedIdleConnections()
  {
    PlayBesideChanges(
      MakeCase("dropped_idle"), [](FleetSituation& aSituation, int aStep) {
        for (const std::string& it : ChooseRunners(aSituation, aStep)) {
          aSituation.mCluster.DropIdle(it);
        }
        aSituation.mCluster.SetForgottenAfter(
          milliseconds(aStep % 8 == 7 ? 50 : 0));
        std::this_thread::sleep_for(kTroubleTime / 8);
      });
  }

  // Guards against a shorter idle timeout closing connections under requests of
  // callers that know the longer one. Also beside dropped connections of
  // targets.
  void IdleConnectionsBesideShorterIdleTimeouts()
  {
    FleetCase fleet("short_idle");
    const milliseconds around(kShortIdleMs);
    fleet.mCallers = { { "/plain/",
                         40,
                         around + milliseconds(5),
                         milliseconds(0),
                         FleetCase::kPlainDeadline,
                         around - milliseconds(5) },
                       { "/unsafe/",
                         20,
                         around + milliseconds(5),
                         milliseconds(0),
                         FleetCase::kPlainDeadline,
                         around - milliseconds(5) } };
    fleet.mOwnBodies = true;
    const auto shorten = [](FleetSituation& aSituation) {
      const int rounds = FromEnvironment("QUETZAL_TEST_ROUNDS", 1);
      for (int n = 0; n < 2 * rounds; ++n) {
        aSituation.mConfiguration.mLimits.mIdleTimeoutMs =
          n % 2 == 0 ? kShortIdleMs : kLongIdleMs;
        aSituation.WriteConfiguration();
        std::this_thread::sleep_for(kApplyTime);
        for (int k = 0; k < FleetCase::kRunners; ++k) {
          aSituation.mCluster.DropIdle("i-" + std::to_string(k));
        }
      }
    };
    ForEachPlay(fleet, shorten, [](const AnswerCounts& aCounts) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, aCounts.mLost.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "requests that met the close of their connection", 0, aCounts.mCrossed);
    });
  }

  // Guards against a request that arrives in pieces, right after the answer
  // before it, being forgotten while all targets of a service are silent for
  // about a second.
  void PiecesBesideSilentTargets()
  {
    PlayBesideChanges(MakePiecesCase(MakeCase("silent")),
                      [](FleetSituation& aSituation, int) {
                        Silence(aSituation, SilentRunners::Service);
                        std::this_thread::sleep_for(kTroubleTime);
                      });
  }

  // The same beside targets that take requests and never answer them.
  void PiecesBesideHangingTargets()
  {
    PlayBesideChanges(MakePiecesCase(MakeCase("hanging")),
                      Misbehave(RunnerMode::NeverAnswer));
  }

  // The same beside targets that reset the connections of requests.
  void PiecesBesideResettingTargets()
  {
    PlayBesideChanges(MakePiecesCase(MakeResumableCase("resetting")),
                      Misbehave(RunnerMode::ResetImmediately));
  }

  // The same beside targets that reset all further connections when they have a
  // few, and take as many as usual a little later.
  void PiecesBesideFullTargets()
  {
    PlayBesideChanges(
      MakePiecesCase(MakeCase("full")), [](FleetSituation& aSituation, int) {
        aSituation.mCluster.SetRunnerMaxConnections(kFullConnections);
        std::this_thread::sleep_for(kTroubleTime);
        aSituation.mCluster.SetRunnerMaxConnections(kUnlimitedConnections);
        std::this_thread::sleep_for(kTroubleTime);
      });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetChangeTests);
