#ifndef QUETZALQUAY_GATEWAY_GATEWAYMETRICS_H_INCLUDED
#define QUETZALQUAY_GATEWAY_GATEWAYMETRICS_H_INCLUDED

#include "core/Failure.h"
#include "core/RoutingTable.h"
#include "core/Time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace quetzalquay {

// Duration histograms of a gateway, in seconds.
enum class GatewayHistogram
{
  // From the arrival of a stream's request to its first event.
  FirstEvent,
  // From the last event before a stream loses its target to the next event.
  Resume,
  Last,
};

enum class GatewayCounter
{
  TargetLosses,
  ResumedFromCopy,
  ResumedWithoutCopy,
  CopiesRequested,
  CallerDisconnects,
  DroppedLogLines,
  TargetDeaths,
  OwnRetries,
  GrantedRetries,
  RetriesRefused,
  SilentTargetsKept,
  TentativeAttempts,
  TentativeAttemptsAdopted,
  ConnectionsCut,
  ConnectionsLeft,
  ConnectionsTurnedAway,
  ConnectionsGivenUp,
  AcceptsFailed,
  StreamsTakenUp,
  TakeUpsRefused,
  OriginLookups,
  OriginsStored,
  SuspectTrials,
  SuspectsConvicted,
  LimitsMalformed,
  BrittleMalformed,
  TargetsLeaving,
  TargetWaits,
  WaitsMalformed,
  CutsSuspected,
  CutsBelieved,
  ReachAsks,
  ReachAnswers,
  ReachTries,
  RequestsPassedOn,
  RequestsServedForHosts,
  RequestsRefusedToHosts,
  PassingOnUnreachable,
  PassingOnRefused,
  PassingOnFailed,
  PassingOnLost,
  RepliesTooLarge,
  PlatformRepliesTooLarge,
  UnreadableRecords,
  Last,
};

enum class GatewayGauge
{
  Exchanges,
  CallerConnections,
  TargetConnections,
  ConfigurationVersion,
  ConfigurationConfirmed,
  Targets,
  StoreReachable,
  StoreEras,
  Ready,
  Suspects,
  RetryHosts,
  LimitedTargets,
  BrittleTargets,
  WaitingTargets,
  ServicesCutOff,
  RolloutStage,
  RolloutShare,
  Last,
};

// Metrics of a gateway in the Prometheus text format.
class GatewayMetrics
{
public:
  explicit GatewayMetrics(const std::string& aHost);
  ~GatewayMetrics();

  void Add(GatewayCounter aCounter, double aValue = 1);
  void Observe(GatewayHistogram aHistogram, Time::duration aValue);
  void Set(GatewayGauge aGauge, double aValue);

  // Records an answered request by its kind and HTTP status.
  void OnRequestEnd(CallKind aKind, int aStatus, Time::duration aElapsed);

  // Records a request that was answered with an error of the gateway itself.
  void OnFailure(FailureCode aCode, RunVerdict aVerdict);

  // All metrics in the Prometheus text format.
  std::string Serialize() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_GATEWAYMETRICS_H_INCLUDED
