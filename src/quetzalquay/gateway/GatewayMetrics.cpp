#include "gateway/GatewayMetrics.h"

#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace quetzalquay {

namespace {

struct Description
{
  const char* mName;
  const char* mHelp;
};

constexpr std::size_t kTimes = static_cast<std::size_t>(GatewayTime::Last);
constexpr std::size_t kCounts = static_cast<std::size_t>(GatewayCount::Last);
constexpr std::size_t kLevels = static_cast<std::size_t>(GatewayLevel::Last);

constexpr std::array<Description, kTimes> kTimeNames = { {
  { "quetzal_first_event_seconds", "Arrival to a stream's first event" },
  { "quetzal_resume_seconds", "Pause of a stream that lost its target" },
} };

constexpr std::array<Description, kCounts> kCountNames = { {
  { "quetzal_losses_total", "Streams that lost their target" },
  { "quetzal_resumed_from_copy_total", "Streams resumed at a copy" },
  { "quetzal_resumed_by_reading_total", "Streams resumed without a copy" },
  { "quetzal_copies_ordered_total", "Copies of runs ordered anew" },
  { "quetzal_callers_gone_total", "Callers that left before their answer" },
  { "quetzal_log_lines_dropped_total", "Log lines dropped when too many" },
} };

constexpr std::array<Description, kLevels> kLevelNames = { {
  { "quetzal_exchanges", "Requests under way" },
  { "quetzal_caller_connections", "Connections of callers" },
  { "quetzal_target_connections", "Connections to targets" },
  { "quetzal_configuration_version", "Configuration in force" },
  { "quetzal_targets", "Targets known" },
  { "quetzal_store_answers", "1 while the store answers this host" },
  { "quetzal_ready", "1 while new connections are wanted" },
} };

const prometheus::Histogram::BucketBoundaries kBuckets = {
  0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.7, 1, 1.5, 2, 3, 4.5, 7, 12, 25
};

double
Seconds(Time::duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

class GatewayMetrics::Impl
{
public:
  explicit Impl(const std::string& aHost)
    : mLabels({ { "host", aHost } })
    , mRequests(prometheus::BuildCounter()
                  .Name("quetzal_requests_total")
                  .Help("Requests answered, by kind and status")
                  .Labels(mLabels)
                  .Register(mRegistry))
    , mFailures(prometheus::BuildCounter()
                  .Name("quetzal_failures_total")
                  .Help("Requests answered with a failure, by code and run")
                  .Labels(mLabels)
                  .Register(mRegistry))
    , mElapsed(prometheus::BuildHistogram()
                 .Name("quetzal_request_seconds")
                 .Help("Arrival to the end of the answer, by kind")
                 .Labels(mLabels)
                 .Register(mRegistry))
  {
    for (std::size_t n = 0; n < kTimes; ++n) {
      mTimes[n] = &prometheus::BuildHistogram()
                     .Name(kTimeNames[n].mName)
                     .Help(kTimeNames[n].mHelp)
                     .Labels(mLabels)
                     .Register(mRegistry)
                     .Add({}, kBuckets);
    }
    for (std::size_t n = 0; n < kCounts; ++n) {
      mCounts[n] = &prometheus::BuildCounter()
                      .Name(kCountNames[n].mName)
                      .Help(kCountNames[n].mHelp)
                      .Labels(mLabels)
                      .Register(mRegistry)
                      .Add({});
    }
    for (std::size_t n = 0; n < kLevels; ++n) {
      mLevels[n] = &prometheus::BuildGauge()
                      .Name(kLevelNames[n].mName)
                      .Help(kLevelNames[n].mHelp)
                      .Labels(mLabels)
                      .Register(mRegistry)
                      .Add({});
    }
  }

  prometheus::Registry mRegistry;
  std::map<std::string, std::string> mLabels;
  prometheus::Family<prometheus::Counter>& mRequests;
  prometheus::Family<prometheus::Counter>& mFailures;
  prometheus::Family<prometheus::Histogram>& mElapsed;
  std::array<prometheus::Histogram*, kTimes> mTimes;
  std::array<prometheus::Counter*, kCounts> mCounts;
  std::array<prometheus::Gauge*, kLevels> mLevels;
};

GatewayMetrics::GatewayMetrics(const std::string& aHost)
  : mImpl(std::make_unique<Impl>(aHost))
{
}

GatewayMetrics::~GatewayMetrics() = default;

void
GatewayMetrics::Add(GatewayCount aCount, double aValue)
{
  mImpl->mCounts[static_cast<std::size_t>(aCount)]->Increment(aValue);
}

void
GatewayMetrics::Observe(GatewayTime aTime, Time::duration aValue)
{
  mImpl->mTimes[static_cast<std::size_t>(aTime)]->Observe(Seconds(aValue));
}

void
GatewayMetrics::Set(GatewayLevel aLevel, double aValue)
{
  mImpl->mLevels[static_cast<std::size_t>(aLevel)]->Set(aValue);
}

void
GatewayMetrics::OnRequestEnd(CallKind aKind,
                             int aStatus,
                             Time::duration aElapsed)
{
  const std::string kind(NameOf(aKind));
  mImpl->mRequests
    .Add({ { "kind", kind }, { "status", std::to_string(aStatus) } })
    .Increment();
  mImpl->mElapsed.Add({ { "kind", kind } }, kBuckets)
    .Observe(Seconds(aElapsed));
}

void
GatewayMetrics::OnFailure(FailureCode aCode, RunVerdict aVerdict)
{
  mImpl->mFailures
    .Add({ { "code", std::string(NameOf(aCode)) },
           { "run", std::string(NameOf(aVerdict)) } })
    .Increment();
}

std::string
GatewayMetrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mImpl->mRegistry.Collect());
}

} // namespace quetzalquay
