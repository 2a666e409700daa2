#ifndef QUETZALQUAY_TESTS_FAKES_FLEETTROUBLES_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_FLEETTROUBLES_H_INCLUDED

#include "FleetPlay.h"

// Time in which a configuration is in force on all hosts.
constexpr std::chrono::milliseconds kApplyTime{ 2000 };

// Sound runners that are silent together.
enum class SilentRunners
{
  One,
  FirstPlace,
  SecondPlace,
  Service,
};

// Lets runners of the first service be silent for about a second, and waits for
// their return.
void
Silence(FleetSituation& aSituation, SilentRunners aRunners);

// Changes that do not concern the routes and keys of the callers, or keep them
// valid.
enum class ConfigurationChange
{
  Routes,
  MovedRoutes,
  Weights,
  Timeouts,
  Limits,
  Workspaces,
  Keys,
  // All of them in turn.
  All,
};

// Writes aCount configurations in quick succession, each with a change.
void
ChangeConfiguration(FleetSituation& aSituation,
                    ConfigurationChange aChange,
                    int aCount);

// Does both at the same time, with changes of all kinds.
void
SilenceBesideChanges(FleetSituation& aSituation,
                     SilentRunners aRunners,
                     int aChanges);

// Lets all hosts read their settings again, aCount times in quick succession;
// every other time after a change of the settings.
void
ReloadSettings(FleetSituation& aSituation, int aCount);

#endif // QUETZALQUAY_TESTS_FAKES_FLEETTROUBLES_H_INCLUDED
