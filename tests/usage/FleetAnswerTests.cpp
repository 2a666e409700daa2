#include "FleetTroubles.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>

using std::chrono::milliseconds;

namespace {

// Configurations in quick succession: each kind of change twice.
constexpr int kChangeCount = 14;

// Pause between two silences.
constexpr auto kSoundTime = milliseconds(200);

// Interval between events of streams that last longer than several silences.
constexpr auto kSlowEventInterval = milliseconds(75);

// Repeats the trouble of a test, for longer runs by hand.
int
Rounds()
{
  return FromEnvironment("QUETZAL_TEST_ROUNDS", 1);
}

} // namespace

// Whole fleets of gateway processes and callers that keep their connections.
// Counts at the callers the requests that end without a complete answer. See
// ForEachPlay() for the environment variables; QUETZAL_TEST_ROUNDS repeats the
// trouble.
class FleetAnswerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetAnswerTests);
  CPPUNIT_TEST(RequestsAreAnsweredWhileTargetsAreSilent);
  CPPUNIT_TEST(RequestsAreAnsweredWhileTargetsAreSilentWithoutRetries);
  CPPUNIT_TEST(RequestsAreAnsweredWhileMoreTargetsAreSilentThanAttempts);
  CPPUNIT_TEST(RequestsAreAnsweredWhileTheConfigurationChanges);
  CPPUNIT_TEST(RequestsAreAnsweredWhileSettingsAreReloaded);
  CPPUNIT_TEST(RequestsAreAnsweredWhileHostsStop);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against the silence of sound targets ending requests, also beside
  // changes of the configuration and when no other target is left.
  void RequestsAreAnsweredWhileTargetsAreSilent()
  {
    ExpectAllAnswered(FleetCase("silent"), [](FleetSituation& aSituation) {
      if (Rounds() > 1) {
        SlowStreams(aSituation);
      }
      for (int n = 0; n < Rounds(); ++n) {
        Silence(aSituation, SilentRunners::One);
        Silence(aSituation, SilentRunners::FirstPlace);
        std::this_thread::sleep_for(kSoundTime);
        SilenceBesideChanges(
          aSituation, SilentRunners::Service, kChangeCount / 2);
        std::this_thread::sleep_for(kSoundTime);
      }
    });
  }

  // Guards against requests leaving a silent target that may not be sent to
  // another one.
  void RequestsAreAnsweredWhileTargetsAreSilentWithoutRetries()
  {
    FleetCase fleet("silent_budget");
    fleet.mFleet.mSettings.mRetryRatio = 0.01;
    fleet.mFleet.mSettings.mRetryAllowance = 2;
    ExpectAllAnswered(fleet, [](FleetSituation& aSituation) {
      for (int n = 0; n < Rounds(); ++n) {
        Silence(aSituation, SilentRunners::FirstPlace);
        std::this_thread::sleep_for(kSoundTime);
        Silence(aSituation, SilentRunners::One);
      }
    });
  }

  // Guards against requests ending when the last target that they may be sent
  // to is silent. With three rounds, five attempts are allowed and streams last
  // longer.
  void RequestsAreAnsweredWhileMoreTargetsAreSilentThanAttempts()
  {
    FleetCase fleet("silent_attempts");
    if (Rounds() == 1) {
      fleet.mConfiguration.RouteOf("plain").mMaxAttempts = 2;
      fleet.mConfiguration.RouteOf("stream").mMaxAttempts = 2;
    }
    ExpectAllAnswered(fleet, [](FleetSituation& aSituation) {
      if (Rounds() > 1) {
        SlowStreams(aSituation);
      }
      for (int n = 0; n < Rounds(); ++n) {
        Silence(aSituation, SilentRunners::FirstPlace);
        Silence(aSituation, SilentRunners::SecondPlace);
      }
    });
  }

  // Guards against requests ending beside changes of the configuration that do
  // not concern them. QUETZAL_TEST_CHANGE selects a ConfigurationChange by its
  // number.
  void RequestsAreAnsweredWhileTheConfigurationChanges()
  {
    const int change = FromEnvironment(
      "QUETZAL_TEST_CHANGE", static_cast<int>(ConfigurationChange::All));
    ExpectAllAnswered(FleetCase("change" + std::to_string(change)),
                      [change](FleetSituation& aSituation) {
                        ChangeConfiguration(
                          aSituation,
                          static_cast<ConfigurationChange>(change),
                          kChangeCount * Rounds());
                      });
  }

  // Guards against requests ending when hosts read their settings again, also
  // beside changes of the configuration.
  void RequestsAreAnsweredWhileSettingsAreReloaded()
  {
    ExpectAllAnswered(FleetCase("reload"), [](FleetSituation& aSituation) {
      FleetSituation other = aSituation;
      std::mt19937 random(1);
      FleetSituation reloading{
        other.mCluster, other.mCallers, random, other.mConfiguration
      };
      std::thread reload([&] { ReloadSettings(reloading, 8 * Rounds()); });
      ChangeConfiguration(
        aSituation, ConfigurationChange::All, kChangeCount * Rounds() / 2);
      reload.join();
    });
  }

  // Guards against requests ending while hosts stop and start, also beside
  // silent targets and changes of the configuration.
  void RequestsAreAnsweredWhileHostsStop()
  {
    ExpectAllAnswered(FleetCase("stop"), [](FleetSituation& aSituation) {
      for (int n = 0; n < Rounds(); ++n) {
        std::thread first(
          [&] { aSituation.mCluster.Gateway(0).Restart(SIGTERM); });
        Silence(aSituation, SilentRunners::Service);
        std::thread second(
          [&] { aSituation.mCluster.Gateway(1).Restart(SIGTERM); });
        SilenceBesideChanges(
          aSituation, SilentRunners::FirstPlace, kChangeCount / 2);
        first.join();
        second.join();
      }
    });
  }

private:
  static void SlowStreams(FleetSituation& aSituation)
  {
    aSituation.mCluster.SetPace(
      FleetCase::kFirstEvent, kSlowEventInterval, FleetCase::kPlainAnswer);
    std::this_thread::sleep_for(kSoundTime);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetAnswerTests);
