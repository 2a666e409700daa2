#ifndef QUETZALQUAY_OBSERVE_ROUTERMETRICS_H_INCLUDED
#define QUETZALQUAY_OBSERVE_ROUTERMETRICS_H_INCLUDED

#include "core/Failure.h"

#include <memory>
#include <string>

namespace quetzalquay {

// Counters that a router exports without further labels.
enum class RouterCounter
{
  Requests,
  Tokens,
  LateEvents,
  MismatchedEvents,
  TargetLosses,
  Continuations,
  Reattaches,
  Probes,
  Takeovers,
  // Tokens that had to be prefilled or decoded again after the loss of a
  // target.
  RecomputedTokens,
  CallerDisconnects,
  JournalObjects,
  JournalFailures,
  JournalBytes,
  PollCalls,
  PeerBytes,
  ConnectionsGivenUp,
  Last,
};

// Histograms that a router exports, in seconds.
enum class RouterHistogram
{
  FirstToken,
  TokenGap,
  ResumeLatency,
  ClaimWrite,
  Last,
};

// Gauges that a router exports.
enum class RouterGauge
{
  Streams,
  // Tokens of long streams that only this process holds, because they are not
  // in the journal yet.
  UnjournaledTokens,
  Revision,
  Ready,
  Last,
};

// Metrics of a router in the Prometheus text format. Thread-safe.
class RouterMetrics
{
public:
  explicit RouterMetrics(const std::string& aRouterName);
  ~RouterMetrics();

  // Serves the metrics over HTTP; throws std::runtime_error when the address
  // cannot be bound.
  void Expose(const std::string& aAddress, int aPort);

  void Add(RouterCounter aCount, double aValue = 1);
  void Observe(RouterHistogram aTiming, double aSeconds);
  void Set(RouterGauge aLevel, double aValue);

  // Counts a failed request, labelled by its code and verdict.
  void AddFailure(FailureCode aCode, RunVerdict aVerdict);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_OBSERVE_ROUTERMETRICS_H_INCLUDED
