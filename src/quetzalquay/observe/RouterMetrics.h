#ifndef QUETZALQUAY_OBSERVE_ROUTERMETRICS_H_INCLUDED
#define QUETZALQUAY_OBSERVE_ROUTERMETRICS_H_INCLUDED

#include "core/Failure.h"

#include <memory>
#include <string>

namespace quetzalquay {

// Counts without labels that a router publishes.
enum class Count
{
  Requests,
  Tokens,
  LateEvents,
  EchoMismatches,
  Losses,
  Continuations,
  Reattaches,
  Probes,
  Takeovers,
  // Tokens that a target had to read or compute again after a loss.
  RecomputedTokens,
  CallersGone,
  JournalObjects,
  JournalFailures,
  JournalBytes,
  PollCalls,
  PeerBytes,
  Last,
};

// Times that a router publishes, in seconds.
enum class Timing
{
  FirstToken,
  TokenGap,
  ResumeLatency,
  ClaimWrite,
  Last,
};

// Levels that a router publishes.
enum class Level
{
  Streams,
  // Tokens of long streams that only this process holds.
  UnjournaledTokens,
  Revision,
  Ready,
  Last,
};

// Metrics of a router, served in the Prometheus text format. Safe for
// concurrent use.
class RouterMetrics
{
public:
  explicit RouterMetrics(const std::string& aRouterName);
  ~RouterMetrics();

  // Serves the metrics on an address; throws std::exception when it cannot.
  void Expose(const std::string& aAddress, int aPort);

  void Add(Count aCount, double aValue = 1);
  void Observe(Timing aTiming, double aSeconds);
  void Set(Level aLevel, double aValue);

  // Counts a request that was not carried out.
  void AddFailure(FailureCode aCode, RunVerdict aVerdict);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_OBSERVE_ROUTERMETRICS_H_INCLUDED
