#include "config/SettingsFile.h"

#include "generated/settings.pb.h"

#include <arpa/inet.h>
#include <set>
#include <utility>

namespace quetzalquay {

namespace {

using Problem = std::optional<std::string>;

constexpr int kMaxPort = 65535;
constexpr std::size_t kMinSecretChars = 32;
constexpr std::size_t kSha256HexDigits = 64;
constexpr int kMaxDeadlineMs = 24 * 60 * 60 * 1000;

// Validates single fields and keeps the first error.
class FieldChecker
{
public:
  void CheckRange(const std::string& aField,
                  double aValue,
                  double aLow,
                  double aHigh)
  {
    if (aValue < aLow || aValue > aHigh) {
      ReportProblem(aField + ": " + FormatNumber(aValue) +
                    " is out of range [" + FormatNumber(aLow) + ", " +
                    FormatNumber(aHigh) + "]");
    }
  }

  void CheckNotEmpty(const std::string& aField, const std::string& aValue)
  {
    if (aValue.empty()) {
      ReportProblem(aField + ": must not be empty");
    }
  }

  void CheckUnique(const std::string& aField,
                   const std::string& aName,
                   std::set<std::string>& aSeen)
  {
    CheckNotEmpty(aField, aName);
    if (!aSeen.insert(aName).second) {
      ReportProblem(aField + ": \"" + aName + "\" is declared twice");
    }
  }

  void CheckDeclared(const std::string& aField,
                     const std::string& aName,
                     const std::set<std::string>& aKnown)
  {
    if (aKnown.count(aName) == 0) {
      ReportProblem(aField + ": \"" + aName + "\" is not declared");
    }
  }

  void CheckAddress(const std::string& aField,
                    const std::string& aAddress,
                    int aPort)
  {
    in_addr v4{};
    in6_addr v6{};
    if (inet_pton(AF_INET, aAddress.c_str(), &v4) != 1 &&
        inet_pton(AF_INET6, aAddress.c_str(), &v6) != 1) {
      ReportProblem(aField + ".address: \"" + aAddress +
                    "\" is not an IP address");
    }
    CheckRange(aField + ".port", aPort, 1, kMaxPort);
  }

  void CheckEndpoint(const std::string& aField,
                     const schema::Endpoint& aEndpoint)
  {
    CheckAddress(aField, aEndpoint.address(), aEndpoint.port());
  }

  void ReportProblem(std::string aProblem)
  {
    if (!mFirstProblem) {
      mFirstProblem = std::move(aProblem);
    }
  }

  Problem FirstProblem() const { return mFirstProblem; }

private:
  static std::string FormatNumber(double aValue)
  {
    std::string text = std::to_string(aValue);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
      text.pop_back();
    }
    return text;
  }

  Problem mFirstProblem;
};

std::string
FieldPath(const std::string& aList, int aIndex, const std::string& aField)
{
  return aList + "[" + std::to_string(aIndex) + "]." + aField;
}

std::set<std::string>
CheckPlaces(const schema::Configuration& aSettings, FieldChecker& aChecker)
{
  std::set<std::string> names;
  for (int n = 0; n < aSettings.places_size(); ++n) {
    const auto& it = aSettings.places(n);
    aChecker.CheckUnique(FieldPath("places", n, "name"), it.name(), names);
    aChecker.CheckNotEmpty(FieldPath("places", n, "region"), it.region());
  }
  return names;
}

std::set<std::string>
CheckModels(const schema::Configuration& aSettings, FieldChecker& aChecker)
{
  std::set<std::string> models;
  for (int n = 0; n < aSettings.models_size(); ++n) {
    aChecker.CheckUnique(
      FieldPath("models", n, "name"), aSettings.models(n).name(), models);
  }
  std::set<std::string> versions;
  for (int n = 0; n < aSettings.versions_size(); ++n) {
    const auto& it = aSettings.versions(n);
    aChecker.CheckDeclared(
      FieldPath("versions", n, "model"), it.model(), models);
    aChecker.CheckUnique(
      FieldPath("versions", n, "name"), it.model() + "@" + it.name(), versions);
  }
  for (int n = 0; n < aSettings.models_size(); ++n) {
    const auto& it = aSettings.models(n);
    aChecker.CheckDeclared(FieldPath("models", n, "serving_version"),
                           it.name() + "@" + it.serving_version(),
                           versions);
  }
  std::set<std::string> adapters;
  for (int n = 0; n < aSettings.adapters_size(); ++n) {
    const auto& it = aSettings.adapters(n);
    aChecker.CheckDeclared(
      FieldPath("adapters", n, "model"), it.model(), models);
    aChecker.CheckNotEmpty(FieldPath("adapters", n, "version"), it.version());
    aChecker.CheckUnique(
      FieldPath("adapters", n, "name"), it.model() + "/" + it.name(), adapters);
  }
  return models;
}

std::set<std::string>
CheckServices(const schema::Configuration& aSettings,
              const std::set<std::string>& aModels,
              FieldChecker& aChecker)
{
  std::set<std::string> names;
  std::set<std::string> pooledModels;
  for (int n = 0; n < aSettings.services_size(); ++n) {
    const auto& it = aSettings.services(n);
    aChecker.CheckUnique(FieldPath("services", n, "name"), it.name(), names);
    if (it.kind() == schema::MODEL_POOL) {
      aChecker.CheckDeclared(
        FieldPath("services", n, "model"), it.model(), aModels);
      aChecker.CheckUnique(
        FieldPath("services", n, "model"), it.model(), pooledModels);
    } else if (!it.model().empty()) {
      aChecker.ReportProblem(
        FieldPath("services", n, "model") +
        ": must be empty unless the service is a model pool");
    }
  }
  return names;
}

void
CheckWorkspaces(const schema::Configuration& aSettings,
                const std::set<std::string>& aModels,
                const std::set<std::string>& aServices,
                FieldChecker& aChecker)
{
  std::set<std::string> names;
  std::set<std::string> keys;
  for (int n = 0; n < aSettings.workspaces_size(); ++n) {
    const auto& it = aSettings.workspaces(n);
    aChecker.CheckUnique(FieldPath("workspaces", n, "name"), it.name(), names);
    aChecker.CheckRange(
      FieldPath("workspaces", n, "priority"), it.priority(), 0, 100);
    aChecker.CheckRange(
      FieldPath("workspaces", n, "weight"), it.weight(), 1, 1000);
    aChecker.CheckRange(FieldPath("workspaces", n, "max_concurrent"),
                        it.max_concurrent(),
                        1,
                        100000);
    aChecker.CheckRange(FieldPath("workspaces", n, "requests_per_second"),
                        it.requests_per_second(),
                        1,
                        100000);
    for (const auto& key : it.key_sha256()) {
      aChecker.CheckUnique(FieldPath("workspaces", n, "key_sha256"), key, keys);
      if (key.size() != kSha256HexDigits) {
        aChecker.ReportProblem(FieldPath("workspaces", n, "key_sha256") +
                               ": must have 64 hexadecimal digits");
      }
    }
    for (const auto& model : it.models()) {
      aChecker.CheckDeclared(
        FieldPath("workspaces", n, "models"), model, aModels);
    }
    for (const auto& service : it.services()) {
      aChecker.CheckDeclared(
        FieldPath("workspaces", n, "services"), service, aServices);
    }
  }
}

void
CheckTargets(const schema::Configuration& aSettings,
             const std::set<std::string>& aPlaces,
             const std::set<std::string>& aServices,
             FieldChecker& aChecker)
{
  std::set<std::string> names;
  std::set<std::string> addresses;
  for (int n = 0; n < aSettings.targets_size(); ++n) {
    const auto& it = aSettings.targets(n);
    aChecker.CheckUnique(FieldPath("targets", n, "name"), it.name(), names);
    aChecker.CheckDeclared(
      FieldPath("targets", n, "place"), it.place(), aPlaces);
    aChecker.CheckDeclared(
      FieldPath("targets", n, "service"), it.service(), aServices);
    aChecker.CheckAddress(
      "targets[" + std::to_string(n) + "]", it.address(), it.port());
    aChecker.CheckUnique(FieldPath("targets", n, "port"),
                         it.address() + ":" + std::to_string(it.port()),
                         addresses);
  }
}

void
CheckLoadKind(const schema::LoadKind& aKind, int aIndex, FieldChecker& aChecker)
{
  aChecker.CheckNotEmpty(FieldPath("mix", aIndex, "name"), aKind.name());
  aChecker.CheckRange(
    FieldPath("mix", aIndex, "share"), aKind.share(), 1, 1000000);
  aChecker.CheckRange(FieldPath("mix", aIndex, "deadline_ms"),
                      aKind.deadline_ms(),
                      1,
                      kMaxDeadlineMs);
  if (aKind.model().empty() == aKind.service().empty()) {
    aChecker.ReportProblem(FieldPath("mix", aIndex, "model") +
                           ": exactly one of model and service must be set");
  }
  if (!aKind.model().empty()) {
    aChecker.CheckRange(
      FieldPath("mix", aIndex, "max_tokens"), aKind.max_tokens(), 1, 100000);
    aChecker.CheckRange(FieldPath("mix", aIndex, "prompt_tokens"),
                        aKind.prompt_tokens(),
                        1,
                        100000);
  }
}

void
CheckStoreAndPeers(const schema::RouterSettings& aSettings,
                   FieldChecker& aChecker)
{
  if (!aSettings.follow_store()) {
    aChecker.CheckNotEmpty("configuration_file",
                           aSettings.configuration_file());
  } else if (!aSettings.has_platform()) {
    aChecker.ReportProblem("platform: is required when follow_store is set");
  }
  if (aSettings.has_peer_listen()) {
    aChecker.CheckEndpoint("peer_listen", aSettings.peer_listen());
  }
  std::set<std::string> names;
  for (int n = 0; n < aSettings.peers_size(); ++n) {
    const auto& it = aSettings.peers(n);
    aChecker.CheckUnique(FieldPath("peers", n, "name"), it.name(), names);
    aChecker.CheckEndpoint(FieldPath("peers", n, "endpoint"), it.endpoint());
  }
  aChecker.CheckRange("router_count", aSettings.router_count(), 0, 100000);
}

} // namespace

std::optional<std::string>
CheckSettings(const schema::Configuration& aSettings)
{
  FieldChecker checker;
  checker.CheckRange("revision", aSettings.revision(), 1, 4e9);
  const auto places = CheckPlaces(aSettings, checker);
  const auto models = CheckModels(aSettings, checker);
  const auto services = CheckServices(aSettings, models, checker);
  CheckWorkspaces(aSettings, models, services, checker);
  CheckTargets(aSettings, places, services, checker);
  for (int n = 0; n < aSettings.rollouts_size(); ++n) {
    checker.CheckDeclared(
      FieldPath("rollouts", n, "model"), aSettings.rollouts(n).model(), models);
  }
  return checker.FirstProblem();
}

std::optional<std::string>
CheckSettings(const schema::RouterSettings& aSettings)
{
  FieldChecker checker;
  checker.CheckNotEmpty("name", aSettings.name());
  checker.CheckNotEmpty("place", aSettings.place());
  checker.CheckEndpoint("listen", aSettings.listen());
  checker.CheckRange("max_connections", aSettings.max_connections(), 1, 20000);
  CheckStoreAndPeers(aSettings, checker);
  std::set<std::string> keys;
  if (aSettings.event_id_keys_size() == 0) {
    checker.ReportProblem("event_id_keys: at least one key is required");
  }
  for (int n = 0; n < aSettings.event_id_keys_size(); ++n) {
    const auto& it = aSettings.event_id_keys(n);
    checker.CheckUnique(FieldPath("event_id_keys", n, "id"), it.id(), keys);
    if (it.secret().size() < kMinSecretChars) {
      checker.ReportProblem(FieldPath("event_id_keys", n, "secret") +
                            ": must have at least 32 characters");
    }
  }
  checker.CheckRange(
    "default_deadline_ms", aSettings.default_deadline_ms(), 1, kMaxDeadlineMs);
  checker.CheckRange("max_deadline_ms",
                     aSettings.max_deadline_ms(),
                     aSettings.default_deadline_ms(),
                     kMaxDeadlineMs);
  checker.CheckRange(
    "stop_grace_ms", aSettings.stop_grace_ms(), 0, kMaxDeadlineMs);
  checker.CheckRange(
    "max_body_bytes", aSettings.max_body_bytes(), 1024, 1 << 28);
  checker.CheckRange("subset_size", aSettings.subset_size(), 0, 10000);
  checker.CheckRange(
    "poll_interval_ms", aSettings.poll_interval_ms(), 100, 60000);
  checker.CheckRange(
    "peer_interval_ms", aSettings.peer_interval_ms(), 100, 60000);
  checker.CheckRange("peer_fanout", aSettings.peer_fanout(), 1, 100);
  checker.CheckRange(
    "journal_interval_ms", aSettings.journal_interval_ms(), 0, 60000);
  checker.CheckRange(
    "observe.metrics_port", aSettings.observe().metrics_port(), 0, kMaxPort);
  if (aSettings.has_platform()) {
    checker.CheckEndpoint("platform", aSettings.platform());
  }
  return checker.FirstProblem();
}

std::optional<std::string>
CheckSettings(const schema::ApiSettings& aSettings)
{
  FieldChecker checker;
  checker.CheckNotEmpty("name", aSettings.name());
  checker.CheckEndpoint("listen", aSettings.listen());
  checker.CheckEndpoint("platform", aSettings.platform());
  if (aSettings.operator_key_sha256_size() == 0) {
    checker.ReportProblem("operator_key_sha256: at least one key is required");
  }
  for (int n = 0; n < aSettings.routers_size(); ++n) {
    checker.CheckEndpoint("routers[" + std::to_string(n) + "]",
                          aSettings.routers(n));
  }
  return checker.FirstProblem();
}

std::optional<std::string>
CheckSettings(const schema::ControllerSettings& aSettings)
{
  FieldChecker checker;
  checker.CheckNotEmpty("name", aSettings.name());
  checker.CheckEndpoint("platform", aSettings.platform());
  checker.CheckRange("lease_ms", aSettings.lease_ms(), 500, 600000);
  checker.CheckRange("order_ms", aSettings.order_ms(), 1, 600000);
  checker.CheckRange(
    "max_loading_share", aSettings.max_loading_share(), 0.01, 1);
  checker.CheckRange("min_ready_share", aSettings.min_ready_share(), 0.01, 1);
  return checker.FirstProblem();
}

std::optional<std::string>
CheckSettings(const schema::StandinEngineSettings& aSettings)
{
  FieldChecker checker;
  checker.CheckNotEmpty("name", aSettings.name());
  checker.CheckEndpoint("listen", aSettings.listen());
  checker.CheckEndpoint("control", aSettings.control());
  checker.CheckNotEmpty("model", aSettings.model());
  checker.CheckRange("load_version_ms", aSettings.load_version_ms(), 0, 600000);
  checker.CheckRange("max_batch", aSettings.max_batch(), 1, 4096);
  checker.CheckRange("max_waiting", aSettings.max_waiting(), 0, 100000);
  checker.CheckRange("step_base_us", aSettings.step_base_us(), 1, 10000000);
  checker.CheckRange(
    "step_per_stream_us", aSettings.step_per_stream_us(), 0, 10000000);
  checker.CheckRange(
    "prefill_us_per_token", aSettings.prefill_us_per_token(), 0, 10000000);
  checker.CheckRange("cache_blocks", aSettings.cache_blocks(), 0, 1000000);
  checker.CheckRange("load_lag_ms", aSettings.load_lag_ms(), 0, 60000);
  checker.CheckRange("event_lag_ms", aSettings.event_lag_ms(), 0, 60000);
  return checker.FirstProblem();
}

std::optional<std::string>
CheckSettings(const schema::StandinPlatformSettings& aSettings)
{
  FieldChecker checker;
  checker.CheckNotEmpty("name", aSettings.name());
  checker.CheckEndpoint("listen", aSettings.listen());
  checker.CheckEndpoint("control", aSettings.control());
  checker.CheckRange(
    "weights_per_second", aSettings.weights_per_second(), 1, 1000000);
  return checker.FirstProblem();
}

std::optional<std::string>
CheckSettings(const schema::StandinServiceSettings& aSettings)
{
  FieldChecker checker;
  checker.CheckNotEmpty("name", aSettings.name());
  checker.CheckEndpoint("listen", aSettings.listen());
  checker.CheckEndpoint("control", aSettings.control());
  checker.CheckRange("delay_ms", aSettings.delay_ms(), 0, 600000);
  return checker.FirstProblem();
}

std::optional<std::string>
CheckSettings(const schema::LoadSettings& aSettings)
{
  FieldChecker checker;
  checker.CheckNotEmpty("name", aSettings.name());
  if (aSettings.routers_size() == 0 || aSettings.mix_size() == 0) {
    checker.ReportProblem("routers and mix: at least one of each is required");
  }
  for (int n = 0; n < aSettings.routers_size(); ++n) {
    checker.CheckEndpoint("routers[" + std::to_string(n) + "]",
                          aSettings.routers(n));
  }
  for (int n = 0; n < aSettings.targets_size(); ++n) {
    checker.CheckEndpoint("targets[" + std::to_string(n) + "]",
                          aSettings.targets(n));
  }
  for (int n = 0; n < aSettings.mix_size(); ++n) {
    CheckLoadKind(aSettings.mix(n), n, checker);
  }
  for (int n = 0; n < aSettings.faults_size(); ++n) {
    const auto& it = aSettings.faults(n);
    checker.CheckRange(
      FieldPath("faults", n, "at_ms"), it.at_ms(), 0, kMaxDeadlineMs);
    checker.CheckRange(
      FieldPath("faults", n, "for_ms"), it.for_ms(), 0, kMaxDeadlineMs);
    if (it.kind() <= schema::CUT && !it.random_target()) {
      checker.CheckRange(FieldPath("faults", n, "target"),
                         it.target(),
                         0,
                         aSettings.targets_size() - 1);
    }
  }
  checker.CheckRange("requests", aSettings.requests(), 1, 10000000);
  checker.CheckRange("concurrency", aSettings.concurrency(), 1, 2000);
  checker.CheckRange(
    "arrivals_per_second", aSettings.arrivals_per_second(), 0, 100000);
  return checker.FirstProblem();
}

} // namespace quetzalquay
