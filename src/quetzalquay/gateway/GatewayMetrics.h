#ifndef QUETZALQUAY_GATEWAY_GATEWAYMETRICS_H_INCLUDED
#define QUETZALQUAY_GATEWAY_GATEWAYMETRICS_H_INCLUDED

#include "core/Failure.h"
#include "core/RoutingTable.h"
#include "core/Time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace quetzalquay {

// Times that a gateway publishes, in seconds.
enum class GatewayTime
{
  // Arrival of a stream's request to its first event.
  FirstEvent,
  // Pause of a stream between the last event before a loss and the next one.
  Resume,
  Last,
};

// Counts that a gateway publishes.
enum class GatewayCount
{
  Losses,
  ResumedFromCopy,
  ResumedByReading,
  CopiesOrdered,
  CallersGone,
  DroppedLogLines,
  Last,
};

// Levels that a gateway publishes.
enum class GatewayLevel
{
  Exchanges,
  CallerConnections,
  TargetConnections,
  ConfigurationVersion,
  Targets,
  StoreAnswers,
  Ready,
  Last,
};

// Metrics of a gateway in the Prometheus text format.
class GatewayMetrics
{
public:
  explicit GatewayMetrics(const std::string& aHost);
  ~GatewayMetrics();

  void Add(GatewayCount aCount, double aValue = 1);
  void Observe(GatewayTime aTime, Time::duration aValue);
  void Set(GatewayLevel aLevel, double aValue);

  // A request has been answered.
  void OnRequestEnd(CallKind aKind, int aStatus, Time::duration aElapsed);

  // A request was answered with a failure of the gateway's own.
  void OnFailure(FailureCode aCode, RunVerdict aVerdict);

  // All metrics as text.
  std::string Text() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_GATEWAYMETRICS_H_INCLUDED
