#include "FleetTroubles.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>

using std::chrono::milliseconds;

namespace {

// Smallest limit of connections of a host: 40, those of callers and targets
// together.
constexpr int kFewHostConnections = 80;

// Connections of a target that is always full.
constexpr int kFewRunnerConnections = 5;

// Changes of the configuration beside one silence: one of each kind.
constexpr int kChangesPerSilence = 7;

// Callers that read a large answer in about three seconds.
const KeptCallers::Kind kSlowReaders = { "/plain/large",
                                         18,
                                         milliseconds(2000),
                                         milliseconds(90),
                                         FleetCase::kPlainDeadline };

} // namespace

// Whole fleets of gateway processes, whose callers and targets use the limits
// of connections. Counts as FleetAnswerTests.
class FleetConnectionTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetConnectionTests);
  CPPUNIT_TEST(RequestsAreAnsweredWhileConnectionsAreFull);
  CPPUNIT_TEST(RequestsAreAnsweredWhileFullTargetsAreSilent);
  CPPUNIT_TEST(RequestsAreAnsweredWhileFullTargetsAreSilentBesideChanges);
  CPPUNIT_TEST(LargeAnswersAreDeliveredWhileHostsStop);
  CPPUNIT_TEST(LargeAnswersAreNotCutByTheIdleTimeout);
  CPPUNIT_TEST(RequestsWithinRaisedLimitsAreNotRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests on open connections ending because new ones are
  // turned away, at hosts and at targets.
  void RequestsAreAnsweredWhileConnectionsAreFull()
  {
    FleetCase fleet("full");
    fleet.mFleet.mSettings.mMaxConnections = kFewHostConnections;
    for (KeptCallers::Kind& it : fleet.mCallers) {
      it.mCallers *= 3;
    }
    ExpectAllAnswered(fleet, [](FleetSituation& aSituation) {
      std::this_thread::sleep_for(milliseconds(800));
      aSituation.mCluster.SetRunnerMaxConnections(kFewRunnerConnections);
      std::this_thread::sleep_for(milliseconds(1000));
    });
  }

  // Guards against a probe that a full target turns away counting as a proof of
  // its death.
  void RequestsAreAnsweredWhileFullTargetsAreSilent()
  {
    FleetCase fleet("full_silent");
    for (KeptCallers::Kind& it : fleet.mCallers) {
      it.mCallers = it.mPath == "/stream-once/" ? 12 : 8;
    }
    ExpectAllAnswered(fleet, [](FleetSituation& aSituation) {
      aSituation.mCluster.SetRunnerMaxConnections(kFewRunnerConnections);
      std::this_thread::sleep_for(milliseconds(500));
      Silence(aSituation, SilentRunners::Service);
    });
  }

  // Guards against requests leaving a silent target for others that turn them
  // away, beside changes of the configuration.
  void RequestsAreAnsweredWhileFullTargetsAreSilentBesideChanges()
  {
    FleetCase fleet("full_silent_changes");
    for (KeptCallers::Kind& it : fleet.mCallers) {
      it.mCallers = it.mPath == "/stream-once/" ? 12 : 8;
    }
    ExpectAllAnswered(fleet, [](FleetSituation& aSituation) {
      aSituation.mCluster.SetRunnerMaxConnections(kFewRunnerConnections);
      std::this_thread::sleep_for(milliseconds(500));
      SilenceBesideChanges(
        aSituation, SilentRunners::FirstPlace, kChangesPerSilence);
      std::this_thread::sleep_for(milliseconds(200));
      SilenceBesideChanges(
        aSituation, SilentRunners::Service, kChangesPerSilence);
    });
  }

  // Guards against a host that exits before it has sent its last answers.
  void LargeAnswersAreDeliveredWhileHostsStop()
  {
    FleetCase fleet("stop_large");
    fleet.mCallers = { kSlowReaders };
    ExpectAllAnswered(fleet, [](FleetSituation& aSituation) {
      std::thread stop(
        [&] { aSituation.mCluster.Gateway(0).Restart(SIGTERM); });
      aSituation.mCluster.Gateway(1).Restart(SIGTERM);
      stop.join();
    });
  }

  // Guards against the idle timeout running while an answer is being sent.
  void LargeAnswersAreNotCutByTheIdleTimeout()
  {
    FleetCase fleet("idle_large");
    fleet.mConfiguration.mLimits.mIdleTimeoutMs = 1000;
    fleet.mCallers = { kSlowReaders };
    ExpectAllAnswered(fleet, [](FleetSituation&) {
      std::this_thread::sleep_for(milliseconds(500));
    });
  }

  // Guards against kept connections keeping the limits of an older
  // configuration.
  void RequestsWithinRaisedLimitsAreNotRejected()
  {
    FleetCase fleet("raised_limits");
    fleet.mConfiguration.mLimits.mBodyBytes = 2000;
    ForEachPlay(
      fleet,
      [](FleetSituation& aSituation) {
        aSituation.mCallers.SetResting(true);
        aSituation.mConfiguration.mLimits.mBodyBytes = 100000;
        aSituation.WriteConfiguration();
        std::this_thread::sleep_for(kApplyTime);
        aSituation.mCallers.SetBodyBytes(90000);
        aSituation.mCallers.SetResting(false);
        std::this_thread::sleep_for(milliseconds(300));
      },
      [](const AnswerCounts& aCounts) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, aCounts.mLost.size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          "requests rejected", 0, aCounts.RejectedCount());
      });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetConnectionTests);
