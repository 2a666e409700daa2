#include "gateway/GatewayMetrics.h"

#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace quetzalquay {

namespace {

struct MetricDescription
{
  const char* mName;
  const char* mHelp;
};

constexpr std::size_t kHistogramCount =
  static_cast<std::size_t>(GatewayHistogram::Last);
constexpr std::size_t kCounterCount =
  static_cast<std::size_t>(GatewayCounter::Last);
constexpr std::size_t kGaugeCount =
  static_cast<std::size_t>(GatewayGauge::Last);

constexpr std::array<MetricDescription, kHistogramCount> kHistograms = { {
  { "quetzal_first_event_seconds",
    "Time from a request's arrival to its stream's first event" },
  { "quetzal_resume_seconds",
    "Time without events in a stream that lost its target" },
} };

constexpr std::array<MetricDescription, kCounterCount> kCounters = { {
  { "quetzal_losses_total", "Losses of a target by a stream that had begun" },
  { "quetzal_resumed_from_copy_total", "Streams resumed from a copy" },
  { "quetzal_resumed_by_reading_total", "Streams resumed without a copy" },
  { "quetzal_copies_ordered_total", "Copies of runs requested from targets" },
  { "quetzal_callers_gone_total",
    "Callers that disconnected before the end of their answer" },
  { "quetzal_log_lines_dropped_total",
    "Log lines dropped by a full queue or the rate limit" },
  { "quetzal_target_deaths_total", "Deaths of targets that were recognized" },
  { "quetzal_retries_own_total",
    "Retries taken from this host's part of the retry budget" },
  { "quetzal_retries_granted_total",
    "Retries taken from what other hosts have granted" },
  { "quetzal_retries_refused_total",
    "Retries that the retry budget did not allow" },
  { "quetzal_silent_targets_kept_total",
    "Silent targets that were waited for while no other had the request" },
  { "quetzal_tentative_attempts_total",
    "Attempts at another target beside a silent one" },
  { "quetzal_tentative_attempts_adopted_total",
    "Attempts beside a silent target for which the silent one was left" },
  { "quetzal_connections_cut_total",
    "Callers' connections that the host ended with bytes of a request or "
    "unsent bytes of an answer" },
  { "quetzal_connections_left_total",
    "Callers' connections that their callers ended with received bytes of "
    "requests that were not handled" },
  { "quetzal_connections_turned_away_total",
    "Callers' connections turned away because too many were open" },
  { "quetzal_connections_given_up_total",
    "Connections and unfinished bodies given up because others needed their "
    "descriptor or memory" },
  { "quetzal_accepts_failed_total",
    "Failed tries to accept a connection of a caller or host" },
  { "quetzal_streams_taken_up_total",
    "Streams of an earlier request that callers took up" },
  { "quetzal_take_ups_refused_total",
    "Streams not taken up because their software version is not known" },
  { "quetzal_origin_lookups_total", "Reads of the stored origins of streams" },
  { "quetzal_origins_stored_total",
    "Changes of stored origins of streams that the store has confirmed" },
  { "quetzal_suspect_trials_total",
    "Requests run as a trial because it is unclear whether they crash "
    "targets" },
  { "quetzal_suspects_convicted_total",
    "Requests that a trial of this host convicted of crashing targets" },
  { "quetzal_limits_malformed_total",
    "Answers of targets with a limit that is not a number" },
  { "quetzal_brittle_malformed_total",
    "Answers of brittle targets whose number of rejections is not positive" },
  { "quetzal_targets_leaving_total",
    "Starts of targets that have said in an answer that they leave" },
  { "quetzal_target_waits_total",
    "Times for which a target wanted nothing from this host" },
  { "quetzal_waits_malformed_total",
    "Answers 503 of targets with a Retry-After that is not a number" },
  { "quetzal_cuts_suspected_total",
    "Times that the host suspected to be cut off from a service's targets" },
  { "quetzal_cuts_believed_total",
    "Times that the host was cut off from a service's targets" },
  { "quetzal_reach_asks_total",
    "Asks of the host for when others heard targets" },
  { "quetzal_reach_answers_total",
    "Answers of other hosts for when they heard targets" },
  { "quetzal_reach_tries_total",
    "Connections to targets that were only tried" },
  { "quetzal_passed_on_total", "Requests passed on to other hosts" },
  { "quetzal_served_for_hosts_total",
    "Requests that were received from other hosts and accepted" },
  { "quetzal_refused_to_hosts_total",
    "Requests that were received from other hosts and refused at once" },
  { "quetzal_passing_on_unreachable_total",
    "Hosts that a request was passed on to and that could not be reached" },
  { "quetzal_passing_on_refused_total",
    "Hosts that refused a request that was passed on to them" },
  { "quetzal_passing_on_failed_total",
    "Hosts that failed a request that was passed on to them and may have run" },
  { "quetzal_passing_on_lost_total",
    "Hosts that were lost with a request that was passed on to them" },
  { "quetzal_replies_too_large_total",
    "Replies to the host's own questions that were given up for their size" },
  { "quetzal_platform_replies_too_large_total",
    "Replies of the store and of other hosts, and texts in them, that were "
    "given up as they need too much memory" },
  { "quetzal_records_unreadable_total",
    "Records that other hosts have sent or stored and that cannot be read" },
} };

constexpr std::array<MetricDescription, kGaugeCount> kGauges = { {
  { "quetzal_exchanges", "Requests in progress" },
  { "quetzal_caller_connections", "Open connections from callers" },
  { "quetzal_target_connections", "Open connections to targets" },
  { "quetzal_configuration_version", "Version of the configuration in force" },
  { "quetzal_configuration_confirmed",
    "1 while the configuration in force is known to be the newest one" },
  { "quetzal_targets", "Known targets" },
  { "quetzal_store_answers", "1 while the store is reachable from this host" },
  { "quetzal_store_eras",
    "Times that the store's versions began anew while this process runs" },
  { "quetzal_ready", "1 while the host is ready for new connections" },
  { "quetzal_suspects", "Requests suspected of crashing targets" },
  { "quetzal_retry_hosts", "Hosts that share the retry budget" },
  { "quetzal_limited_targets", "Targets that name a limit" },
  { "quetzal_brittle_targets",
    "Targets that fall over when they turn too many requests away" },
  { "quetzal_waiting_targets", "Targets that want nothing from this host now" },
  { "quetzal_services_cut_off",
    "Services from whose targets the host is cut off" },
  { "quetzal_rollout_stage",
    "Stage of the latest rollout: 0 trial, 1 shift, 2 completed, 3 rolled "
    "back" },
  { "quetzal_rollout_share",
    "Share of the requests that the version of the latest rollout gets" },
} };

// In seconds.
const prometheus::Histogram::BucketBoundaries kBucketBoundaries = {
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
    , mFailures(
        prometheus::BuildCounter()
          .Name("quetzal_failures_total")
          .Help(
            "Requests answered with an error of the gateway, by code and run")
          .Labels(mLabels)
          .Register(mRegistry))
    , mDurations(
        prometheus::BuildHistogram()
          .Name("quetzal_request_seconds")
          .Help(
            "Time from a request's arrival to the end of its answer, by kind")
          .Labels(mLabels)
          .Register(mRegistry))
  {
    for (std::size_t n = 0; n < kHistogramCount; ++n) {
      mHistograms[n] = &prometheus::BuildHistogram()
                          .Name(kHistograms[n].mName)
                          .Help(kHistograms[n].mHelp)
                          .Labels(mLabels)
                          .Register(mRegistry)
                          .Add({}, kBucketBoundaries);
    }
    for (std::size_t n = 0; n < kCounterCount; ++n) {
      mCounters[n] = &prometheus::BuildCounter()
                        .Name(kCounters[n].mName)
                        .Help(kCounters[n].mHelp)
                        .Labels(mLabels)
                        .Register(mRegistry)
                        .Add({});
    }
    for (std::size_t n = 0; n < kGaugeCount; ++n) {
      mGauges[n] = &prometheus::BuildGauge()
                      .Name(kGauges[n].mName)
                      .Help(kGauges[n].mHelp)
                      .Labels(mLabels)
                      .Register(mRegistry)
                      .Add({});
    }
  }

  prometheus::Registry mRegistry;
  std::map<std::string, std::string> mLabels;
  prometheus::Family<prometheus::Counter>& mRequests;
  prometheus::Family<prometheus::Counter>& mFailures;
  prometheus::Family<prometheus::Histogram>& mDurations;
  std::array<prometheus::Histogram*, kHistogramCount> mHistograms;
  std::array<prometheus::Counter*, kCounterCount> mCounters;
  std::array<prometheus::Gauge*, kGaugeCount> mGauges;
};

GatewayMetrics::GatewayMetrics(const std::string& aHost)
  : mImpl(std::make_unique<Impl>(aHost))
{
}

GatewayMetrics::~GatewayMetrics() = default;

void
GatewayMetrics::Add(GatewayCounter aCounter, double aValue)
{
  mImpl->mCounters[static_cast<std::size_t>(aCounter)]->Increment(aValue);
}

void
GatewayMetrics::Observe(GatewayHistogram aHistogram, Time::duration aValue)
{
  mImpl->mHistograms[static_cast<std::size_t>(aHistogram)]->Observe(
    Seconds(aValue));
}

void
GatewayMetrics::Set(GatewayGauge aGauge, double aValue)
{
  mImpl->mGauges[static_cast<std::size_t>(aGauge)]->Set(aValue);
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
  mImpl->mDurations.Add({ { "kind", kind } }, kBucketBoundaries)
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
GatewayMetrics::Serialize() const
{
  return prometheus::TextSerializer().Serialize(mImpl->mRegistry.Collect());
}

} // namespace quetzalquay
