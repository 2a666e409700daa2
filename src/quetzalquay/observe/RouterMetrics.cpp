#include "observe/RouterMetrics.h"

#include <array>
#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace quetzalquay {

namespace {

struct Row
{
  const char* mName;
  const char* mHelp;
};

template<typename Enum>
constexpr std::size_t kSizeOf = static_cast<std::size_t>(Enum::Last);

constexpr std::array<Row, kSizeOf<Count>> kCounts = { {
  { "quetzal_requests_total", "Requests received" },
  { "quetzal_tokens_total", "Tokens passed to callers" },
  { "quetzal_late_events_total", "Late or crossed events dropped" },
  { "quetzal_echo_mismatches_total", "Streams that named another request" },
  { "quetzal_losses_total", "Targets lost under a stream" },
  { "quetzal_continuations_total", "Streams continued on another target" },
  { "quetzal_reattaches_total", "Streams read again from their target" },
  { "quetzal_probes_total", "Probes of silent or reset targets" },
  { "quetzal_takeovers_total", "Streams taken over from other routers" },
  { "quetzal_recomputed_tokens_total", "Tokens computed or read again" },
  { "quetzal_callers_gone_total", "Callers that left before the end" },
  { "quetzal_journal_objects_total", "Journal objects written" },
  { "quetzal_journal_failures_total", "Journal objects that failed" },
  { "quetzal_journal_bytes_total", "Bytes written to the journal" },
  { "quetzal_poll_calls_total", "Load and cache reports read" },
  { "quetzal_peer_bytes_total", "Bytes exchanged with peers" },
} };

constexpr std::array<Row, kSizeOf<Timing>> kTimings = { {
  { "quetzal_first_token_seconds", "Time to the first token" },
  { "quetzal_token_gap_seconds", "Time between two tokens" },
  { "quetzal_resume_latency_seconds", "Pause of a stream over a loss" },
  { "quetzal_claim_write_seconds", "Time to claim a non-idempotent request" },
} };

constexpr std::array<Row, kSizeOf<Level>> kLevels = { {
  { "quetzal_streams", "Open requests" },
  { "quetzal_unjournaled_tokens", "Long streams' tokens held here only" },
  { "quetzal_configuration_revision", "Configuration in force" },
  { "quetzal_ready", "Whether new requests are taken" },
} };

const prometheus::Histogram::BucketBoundaries kSeconds = {
  0.001, 0.002, 0.005, 0.01, 0.02, 0.038, 0.05, 0.1, 0.2,
  0.35,  0.5,   0.75,  1.0,  1.5,  2.5,   4.0,  8.0, 30.0,
};

} // namespace

class RouterMetrics::Impl
{
public:
  explicit Impl(const std::string& aRouterName)
    : mRegistry(std::make_shared<prometheus::Registry>())
    , mLabels{ { "router", aRouterName } }
    , mFailures(prometheus::BuildCounter()
                  .Name("quetzal_failures_total")
                  .Help("Requests not carried out, by code and verdict")
                  .Register(*mRegistry))
  {
    for (std::size_t n = 0; n < kCounts.size(); ++n) {
      mCounts[n] = &prometheus::BuildCounter()
                      .Name(kCounts[n].mName)
                      .Help(kCounts[n].mHelp)
                      .Register(*mRegistry)
                      .Add(mLabels);
    }
    for (std::size_t n = 0; n < kTimings.size(); ++n) {
      mTimings[n] = &prometheus::BuildHistogram()
                       .Name(kTimings[n].mName)
                       .Help(kTimings[n].mHelp)
                       .Register(*mRegistry)
                       .Add(mLabels, kSeconds);
    }
    for (std::size_t n = 0; n < kLevels.size(); ++n) {
      mLevels[n] = &prometheus::BuildGauge()
                      .Name(kLevels[n].mName)
                      .Help(kLevels[n].mHelp)
                      .Register(*mRegistry)
                      .Add(mLabels);
    }
  }

  std::shared_ptr<prometheus::Registry> mRegistry;
  prometheus::Labels mLabels;
  prometheus::Family<prometheus::Counter>& mFailures;
  std::array<prometheus::Counter*, kSizeOf<Count>> mCounts{};
  std::array<prometheus::Histogram*, kSizeOf<Timing>> mTimings{};
  std::array<prometheus::Gauge*, kSizeOf<Level>> mLevels{};
  std::unique_ptr<prometheus::Exposer> mExposer;
};

RouterMetrics::RouterMetrics(const std::string& aRouterName)
  : mImpl(std::make_unique<Impl>(aRouterName))
{
}

RouterMetrics::~RouterMetrics() = default;

void
RouterMetrics::Expose(const std::string& aAddress, int aPort)
{
  mImpl->mExposer = std::make_unique<prometheus::Exposer>(
    aAddress + ":" + std::to_string(aPort), 1);
  mImpl->mExposer->RegisterCollectable(mImpl->mRegistry);
}

void
RouterMetrics::Add(Count aCount, double aValue)
{
  mImpl->mCounts[static_cast<std::size_t>(aCount)]->Increment(aValue);
}

void
RouterMetrics::Observe(Timing aTiming, double aSeconds)
{
  mImpl->mTimings[static_cast<std::size_t>(aTiming)]->Observe(aSeconds);
}

void
RouterMetrics::Set(Level aLevel, double aValue)
{
  mImpl->mLevels[static_cast<std::size_t>(aLevel)]->Set(aValue);
}

void
RouterMetrics::AddFailure(FailureCode aCode, RunVerdict aVerdict)
{
  prometheus::Labels labels = mImpl->mLabels;
  labels.emplace("code", std::string(NameOf(aCode)));
  labels.emplace("run", std::string(NameOf(aVerdict)));
  mImpl->mFailures.Add(labels).Increment();
}

} // namespace quetzalquay
