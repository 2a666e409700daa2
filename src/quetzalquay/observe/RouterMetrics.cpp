#include "observe/RouterMetrics.h"

#include "observe/EvictionLog.h"
#include "wire/HttpServer.h"

#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <stdexcept>

namespace quetzalquay {

namespace {

struct MetricInfo
{
  const char* mName;
  const char* mHelp;
};

template<typename Enum>
constexpr std::size_t kEnumSize = static_cast<std::size_t>(Enum::Last);

constexpr std::array<MetricInfo, kEnumSize<RouterCounter>> kCounters = { {
  { "quetzal_requests_total", "Requests received" },
  { "quetzal_tokens_total", "Tokens forwarded to callers" },
  { "quetzal_late_events_total", "Late or mismatched events dropped" },
  { "quetzal_echo_mismatches_total",
    "Streams that carried the ID of another request" },
  { "quetzal_losses_total", "Targets lost while they ran a stream" },
  { "quetzal_continuations_total", "Streams continued on another target" },
  { "quetzal_reattaches_total", "Streams reattached to their target" },
  { "quetzal_probes_total",
    "Probes of targets that went silent or reset a connection" },
  { "quetzal_takeovers_total", "Streams taken over from other routers" },
  { "quetzal_recomputed_tokens_total",
    "Tokens prefilled or decoded again after a loss" },
  { "quetzal_callers_gone_total", "Callers that disconnected before the end" },
  { "quetzal_journal_objects_total", "Journal objects written" },
  { "quetzal_journal_failures_total",
    "Journal objects that could not be written" },
  { "quetzal_journal_bytes_total", "Bytes written to the journal" },
  { "quetzal_poll_calls_total", "Load and cache reports read" },
  { "quetzal_peer_bytes_total", "Bytes exchanged with peers" },
  { "quetzal_connections_given_up_total",
    "Connections and unfinished bodies given up because others needed them" },
} };

constexpr std::array<MetricInfo, kEnumSize<RouterHistogram>> kHistograms = { {
  { "quetzal_first_token_seconds", "Time to the first token" },
  { "quetzal_token_gap_seconds", "Time between two tokens" },
  { "quetzal_resume_latency_seconds",
    "Gap in a stream caused by the loss of its target" },
  { "quetzal_claim_write_seconds", "Time to claim a non-idempotent request" },
} };

constexpr std::array<MetricInfo, kEnumSize<RouterGauge>> kGauges = { {
  { "quetzal_streams", "Open requests" },
  { "quetzal_unjournaled_tokens",
    "Tokens of long streams that are not in the journal" },
  { "quetzal_configuration_revision", "Current revision of the configuration" },
  { "quetzal_ready", "Whether new requests are accepted" },
} };

// Requests for metrics that are handled at a time.
constexpr std::size_t kMaxScrapes = 4;

const prometheus::Histogram::BucketBoundaries kBucketsSeconds = {
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
                  .Help("Failed requests, by code and verdict")
                  .Register(*mRegistry))
  {
    for (std::size_t n = 0; n < kCounters.size(); ++n) {
      mCounters[n] = &prometheus::BuildCounter()
                        .Name(kCounters[n].mName)
                        .Help(kCounters[n].mHelp)
                        .Register(*mRegistry)
                        .Add(mLabels);
    }
    for (std::size_t n = 0; n < kHistograms.size(); ++n) {
      mHistograms[n] = &prometheus::BuildHistogram()
                          .Name(kHistograms[n].mName)
                          .Help(kHistograms[n].mHelp)
                          .Register(*mRegistry)
                          .Add(mLabels, kBucketsSeconds);
    }
    for (std::size_t n = 0; n < kGauges.size(); ++n) {
      mGauges[n] = &prometheus::BuildGauge()
                      .Name(kGauges[n].mName)
                      .Help(kGauges[n].mHelp)
                      .Register(*mRegistry)
                      .Add(mLabels);
    }
  }

  std::shared_ptr<prometheus::Registry> mRegistry;
  prometheus::Labels mLabels;
  prometheus::Family<prometheus::Counter>& mFailures;
  std::array<prometheus::Counter*, kEnumSize<RouterCounter>> mCounters{};
  std::array<prometheus::Histogram*, kEnumSize<RouterHistogram>> mHistograms{};
  std::array<prometheus::Gauge*, kEnumSize<RouterGauge>> mGauges{};
  EvictionLog mEvictionLog{ "metrics" };
  std::unique_ptr<HttpServer> mServer;
};

RouterMetrics::RouterMetrics(const std::string& aRouterName)
  : mImpl(std::make_unique<Impl>(aRouterName))
{
}

RouterMetrics::~RouterMetrics() = default;

void
RouterMetrics::Expose(const std::string& aAddress, int aPort)
{
  HttpServer::Options options;
  options.mMaxConnections = kMaxScrapes;
  mImpl->mServer = std::make_unique<HttpServer>(options);
  mImpl->mServer->Route(
    "GET", "/metrics", [this](const HttpRequest&, HttpResponse& aResponse) {
      aResponse.mContentType = "text/plain; version=0.0.4; charset=utf-8";
      aResponse.mBody =
        prometheus::TextSerializer().Serialize(mImpl->mRegistry->Collect());
    });
  mImpl->mServer->SetEvictionHandler(
    [this](ConnectionUse aUse, std::size_t aOpen) {
      Add(RouterCounter::ConnectionsGivenUp);
      mImpl->mEvictionLog.OnEviction(
        aUse, aOpen, std::chrono::steady_clock::now());
    });
  if (!mImpl->mServer->Start(aAddress, aPort)) {
    throw std::runtime_error("cannot bind " + aAddress + ":" +
                             std::to_string(aPort));
  }
}

void
RouterMetrics::Add(RouterCounter aCount, double aValue)
{
  mImpl->mCounters[static_cast<std::size_t>(aCount)]->Increment(aValue);
}

void
RouterMetrics::Observe(RouterHistogram aTiming, double aSeconds)
{
  mImpl->mHistograms[static_cast<std::size_t>(aTiming)]->Observe(aSeconds);
}

void
RouterMetrics::Set(RouterGauge aLevel, double aValue)
{
  mImpl->mGauges[static_cast<std::size_t>(aLevel)]->Set(aValue);
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
