#include "FleetTroubles.h"

#include <algorithm>
#include <csignal>
#include <iterator>

using std::chrono::milliseconds;

namespace {

// Interval between two changes in quick succession.
constexpr auto kChangeInterval = milliseconds(150);

// Routes that are added at a time.
constexpr int kAddedRoutes = 5;

constexpr const char* kCallerRoutes[] = { "plain",
                                          "unsafe",
                                          "stream",
                                          "stream-once" };

void
AddOrRemoveRoutes(FleetSituation& aSituation, int aRound)
{
  auto& routes = aSituation.mConfiguration.mRoutes;
  if (aRound % 3 == 2) {
    routes.erase(std::remove_if(routes.begin(),
                                routes.end(),
                                [](const TestRoute& aRoute) {
                                  return aRoute.mName.rfind("extra", 0) == 0;
                                }),
                 routes.end());
    return;
  }
  TestRoute extra = aSituation.mConfiguration.RouteOf("plain");
  for (int n = 0; n < kAddedRoutes; ++n) {
    extra.mName = "extra" + std::to_string(aRound * kAddedRoutes + n);
    routes.insert(routes.begin(), extra);
  }
}

void
MoveRoutes(FleetSituation& aSituation, int aRound)
{
  for (const char* it : kCallerRoutes) {
    aSituation.mConfiguration.RouteOf(it).mServices = {
      { aRound % 2 == 0 ? TestConfiguration::kSecondService
                        : TestConfiguration::kService,
        1 }
    };
  }
}

void
ChangeWeights(FleetSituation& aSituation, int)
{
  for (const char* it : kCallerRoutes) {
    aSituation.mConfiguration.RouteOf(it).mServices = {
      { TestConfiguration::kService, 1.0 + aSituation.Random(5) },
      { TestConfiguration::kSecondService, 1.0 * aSituation.Random(3) }
    };
  }
}

void
ChangeTimeouts(FleetSituation& aSituation, int)
{
  for (const char* it : kCallerRoutes) {
    TestRoute& route = aSituation.mConfiguration.RouteOf(it);
    route.mTimeoutMs = static_cast<int>(FleetCase::kStreamDeadline.count()) +
                       aSituation.Random(4000);
    route.mLatencyMs = 2000 + aSituation.Random(2000);
    if (route.mMaxAttempts > 1) {
      route.mMaxAttempts = 3 + aSituation.Random(3);
    }
  }
}

void
ChangeLimits(FleetSituation& aSituation, int aRound)
{
  const bool low = aRound % 2 == 0;
  TestLimits& limits = aSituation.mConfiguration.mLimits;
  limits.mHeadBytes = low ? 2048 : 16384;
  limits.mBodyBytes = low ? 2000 : 100000;
  limits.mHeadTimeoutMs = low ? 1000 : 3000;
  limits.mIdleTimeoutMs = low ? 1200 : 15000;
  // Callers keep to the lowest limit that may be in force.
  aSituation.mCallers.SetIdleTimeout(milliseconds(1200));
}

void
ChangeWorkspaces(FleetSituation& aSituation, int aRound)
{
  auto& workspaces = aSituation.mConfiguration.mWorkspaces;
  workspaces.resize(1);
  workspaces.front().mPriority = aSituation.Random(4);
  for (int n = 0; n < aRound % 4; ++n) {
    workspaces.push_back(
      { "w" + std::to_string(n), { "key-" + std::to_string(n) }, n });
  }
}

void
ChangeKeys(FleetSituation& aSituation, int aRound)
{
  auto& keys = aSituation.mConfiguration.mWorkspaces.front().mKeys;
  keys = { "key" };
  for (int n = 0; n < 3; ++n) {
    keys.insert(aRound % 2 == 0 ? keys.begin() : keys.end(),
                "k" + std::to_string(aSituation.Random(1000)));
  }
}

// In the order of ConfigurationChange.
constexpr void (*kChanges[])(FleetSituation&, int) = {
  AddOrRemoveRoutes, MoveRoutes,       ChangeWeights, ChangeTimeouts,
  ChangeLimits,      ChangeWorkspaces, ChangeKeys
};

bool
IsSilent(SilentRunners aRunners, int aRunner, int aOne)
{
  switch (aRunners) {
    case SilentRunners::One:
      return aRunner == aOne;
    case SilentRunners::FirstPlace:
      return aRunner % 2 == 0;
    case SilentRunners::SecondPlace:
      return aRunner % 2 == 1;
    case SilentRunners::Service:
      break;
  }
  return true;
}

} // namespace

void
Silence(FleetSituation& aSituation, SilentRunners aRunners)
{
  const auto time = milliseconds(900 + aSituation.Random(400));
  const int one = aSituation.Random(FleetCase::kFirstServiceRunners);
  for (int n = 0; n < FleetCase::kFirstServiceRunners; ++n) {
    if (IsSilent(aRunners, n, one)) {
      aSituation.mCluster.Stall("i-" + std::to_string(n), time);
    }
  }
  std::this_thread::sleep_for(time);
}

void
ChangeConfiguration(FleetSituation& aSituation,
                    ConfigurationChange aChange,
                    int aCount)
{
  for (int n = 0; n < aCount; ++n) {
    const std::size_t change = aChange == ConfigurationChange::All
                                 ? static_cast<std::size_t>(n)
                                 : static_cast<std::size_t>(aChange);
    kChanges[change % std::size(kChanges)](aSituation, n);
    aSituation.WriteConfiguration();
    std::this_thread::sleep_for(kChangeInterval);
  }
}

void
SilenceBesideChanges(FleetSituation& aSituation,
                     SilentRunners aRunners,
                     int aChanges)
{
  std::mt19937 random(aSituation.mRandom());
  FleetSituation changing{
    aSituation.mCluster, aSituation.mCallers, random, aSituation.mConfiguration
  };
  std::thread changes(
    [&] { ChangeConfiguration(changing, ConfigurationChange::All, aChanges); });
  Silence(aSituation, aRunners);
  changes.join();
  aSituation.mConfiguration = changing.mConfiguration;
}

void
ReloadSettings(FleetSituation& aSituation, int aCount)
{
  for (int n = 0; n < aCount; ++n) {
    for (std::size_t k = 0; k < aSituation.mCluster.GatewayCount(); ++k) {
      GatewayProcess& gateway = aSituation.mCluster.Gateway(k);
      if (n % 2 == 1) {
        GatewayTestSettings settings;
        settings.mMaxConnections = 3000 + 50 * aSituation.Random(5);
        settings.mRetryAllowance = 100 + 10 * aSituation.Random(5);
        gateway.ChangeSettings(settings);
      }
      gateway.Signal(SIGHUP);
    }
    std::this_thread::sleep_for(kChangeInterval);
  }
}
