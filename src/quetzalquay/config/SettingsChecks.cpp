#include "config/SettingsFile.h"

#include "generated/settings.pb.h"

#include <arpa/inet.h>
#include <set>
#include <utility>

namespace quetzalquay {

namespace {

using Problem = std::optional<std::string>;

constexpr int kMaxPort = 65535;
constexpr std::size_t kMinSecretLength = 32;
constexpr std::size_t kSha256HexLength = 64;
constexpr int kMaxDeadlineMs = 24 * 60 * 60 * 1000;

// Collects the first problem of a settings message.
class Checker
{
public:
  void Range(const std::string& aField,
             double aValue,
             double aLow,
             double aHigh)
  {
    if (aValue < aLow || aValue > aHigh) {
      Report(aField + ": " + Number(aValue) + " is out of range [" +
             Number(aLow) + ", " + Number(aHigh) + "]");
    }
  }

  void NotEmpty(const std::string& aField, const std::string& aValue)
  {
    if (aValue.empty()) {
      Report(aField + ": must not be empty");
    }
  }

  void Unique(const std::string& aField,
              const std::string& aName,
              std::set<std::string>& aSeen)
  {
    NotEmpty(aField, aName);
    if (!aSeen.insert(aName).second) {
      Report(aField + ": \"" + aName + "\" is declared twice");
    }
  }

  void Declared(const std::string& aField,
                const std::string& aName,
                const std::set<std::string>& aKnown)
  {
    if (aKnown.count(aName) == 0) {
      Report(aField + ": \"" + aName + "\" is not declared");
    }
  }

  void Address(const std::string& aField,
               const std::string& aAddress,
               int aPort)
  {
    in_addr v4{};
    in6_addr v6{};
    if (inet_pton(AF_INET, aAddress.c_str(), &v4) != 1 &&
        inet_pton(AF_INET6, aAddress.c_str(), &v6) != 1) {
      Report(aField + ".address: \"" + aAddress + "\" is not an IP number");
    }
    Range(aField + ".port", aPort, 1, kMaxPort);
  }

  void Endpoint(const std::string& aField, const schema::Endpoint& aEndpoint)
  {
    Address(aField, aEndpoint.address(), aEndpoint.port());
  }

  void Report(std::string aProblem)
  {
    if (!mProblem) {
      mProblem = std::move(aProblem);
    }
  }

  Problem Result() const { return mProblem; }

private:
  static std::string Number(double aValue)
  {
    std::string text = std::to_string(aValue);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
      text.pop_back();
    }
    return text;
  }

  Problem mProblem;
};

std::string
Field(const std::string& aList, int aIndex, const std::string& aField)
{
  return aList + "[" + std::to_string(aIndex) + "]." + aField;
}

std::set<std::string>
CheckPlaces(const schema::Configuration& aSettings, Checker& aChecker)
{
  std::set<std::string> names;
  for (int n = 0; n < aSettings.places_size(); ++n) {
    const auto& it = aSettings.places(n);
    aChecker.Unique(Field("places", n, "name"), it.name(), names);
    aChecker.NotEmpty(Field("places", n, "region"), it.region());
  }
  return names;
}

std::set<std::string>
CheckModels(const schema::Configuration& aSettings, Checker& aChecker)
{
  std::set<std::string> models;
  for (int n = 0; n < aSettings.models_size(); ++n) {
    aChecker.Unique(
      Field("models", n, "name"), aSettings.models(n).name(), models);
  }
  std::set<std::string> versions;
  for (int n = 0; n < aSettings.versions_size(); ++n) {
    const auto& it = aSettings.versions(n);
    aChecker.Declared(Field("versions", n, "model"), it.model(), models);
    aChecker.Unique(
      Field("versions", n, "name"), it.model() + "@" + it.name(), versions);
  }
  for (int n = 0; n < aSettings.models_size(); ++n) {
    const auto& it = aSettings.models(n);
    aChecker.Declared(Field("models", n, "serving_version"),
                      it.name() + "@" + it.serving_version(),
                      versions);
  }
  std::set<std::string> adapters;
  for (int n = 0; n < aSettings.adapters_size(); ++n) {
    const auto& it = aSettings.adapters(n);
    aChecker.Declared(Field("adapters", n, "model"), it.model(), models);
    aChecker.NotEmpty(Field("adapters", n, "version"), it.version());
    aChecker.Unique(
      Field("adapters", n, "name"), it.model() + "/" + it.name(), adapters);
  }
  return models;
}

std::set<std::string>
CheckServices(const schema::Configuration& aSettings,
              const std::set<std::string>& aModels,
              Checker& aChecker)
{
  std::set<std::string> names;
  std::set<std::string> carried;
  for (int n = 0; n < aSettings.services_size(); ++n) {
    const auto& it = aSettings.services(n);
    aChecker.Unique(Field("services", n, "name"), it.name(), names);
    if (it.kind() == schema::MODEL_POOL) {
      aChecker.Declared(Field("services", n, "model"), it.model(), aModels);
      aChecker.Unique(Field("services", n, "model"), it.model(), carried);
    } else if (!it.model().empty()) {
      aChecker.Report(Field("services", n, "model") +
                      ": a plain service carries no model");
    }
  }
  return names;
}

void
CheckWorkspaces(const schema::Configuration& aSettings,
                const std::set<std::string>& aModels,
                const std::set<std::string>& aServices,
                Checker& aChecker)
{
  std::set<std::string> names;
  std::set<std::string> keys;
  for (int n = 0; n < aSettings.workspaces_size(); ++n) {
    const auto& it = aSettings.workspaces(n);
    aChecker.Unique(Field("workspaces", n, "name"), it.name(), names);
    aChecker.Range(Field("workspaces", n, "priority"), it.priority(), 0, 100);
    aChecker.Range(Field("workspaces", n, "weight"), it.weight(), 1, 1000);
    aChecker.Range(
      Field("workspaces", n, "max_concurrent"), it.max_concurrent(), 1, 100000);
    aChecker.Range(Field("workspaces", n, "requests_per_second"),
                   it.requests_per_second(),
                   1,
                   100000);
    for (const auto& key : it.key_sha256()) {
      aChecker.Unique(Field("workspaces", n, "key_sha256"), key, keys);
      if (key.size() != kSha256HexLength) {
        aChecker.Report(Field("workspaces", n, "key_sha256") +
                        ": must have 64 hexadecimal digits");
      }
    }
    for (const auto& model : it.models()) {
      aChecker.Declared(Field("workspaces", n, "models"), model, aModels);
    }
    for (const auto& service : it.services()) {
      aChecker.Declared(Field("workspaces", n, "services"), service, aServices);
    }
  }
}

void
CheckTargets(const schema::Configuration& aSettings,
             const std::set<std::string>& aPlaces,
             const std::set<std::string>& aServices,
             Checker& aChecker)
{
  std::set<std::string> names;
  std::set<std::string> addresses;
  for (int n = 0; n < aSettings.targets_size(); ++n) {
    const auto& it = aSettings.targets(n);
    aChecker.Unique(Field("targets", n, "name"), it.name(), names);
    aChecker.Declared(Field("targets", n, "place"), it.place(), aPlaces);
    aChecker.Declared(Field("targets", n, "service"), it.service(), aServices);
    aChecker.Address(
      "targets[" + std::to_string(n) + "]", it.address(), it.port());
    aChecker.Unique(Field("targets", n, "port"),
                    it.address() + ":" + std::to_string(it.port()),
                    addresses);
  }
}

void
CheckLoadKind(const schema::LoadKind& aKind, int aIndex, Checker& aChecker)
{
  aChecker.NotEmpty(Field("mix", aIndex, "name"), aKind.name());
  aChecker.Range(Field("mix", aIndex, "share"), aKind.share(), 1, 1000000);
  aChecker.Range(Field("mix", aIndex, "deadline_ms"),
                 aKind.deadline_ms(),
                 1,
                 kMaxDeadlineMs);
  if (aKind.model().empty() == aKind.service().empty()) {
    aChecker.Report(Field("mix", aIndex, "model") +
                    ": give a model or a service, not both");
  }
  if (!aKind.model().empty()) {
    aChecker.Range(
      Field("mix", aIndex, "max_tokens"), aKind.max_tokens(), 1, 100000);
    aChecker.Range(
      Field("mix", aIndex, "prompt_tokens"), aKind.prompt_tokens(), 1, 100000);
  }
}

void
CheckFollowing(const schema::RouterSettings& aSettings, Checker& aChecker)
{
  if (!aSettings.follow_store()) {
    aChecker.NotEmpty("configuration_file", aSettings.configuration_file());
  } else if (!aSettings.has_platform()) {
    aChecker.Report("platform: is needed to follow the store");
  }
  if (aSettings.has_peer_listen()) {
    aChecker.Endpoint("peer_listen", aSettings.peer_listen());
  }
  std::set<std::string> names;
  for (int n = 0; n < aSettings.peers_size(); ++n) {
    const auto& it = aSettings.peers(n);
    aChecker.Unique(Field("peers", n, "name"), it.name(), names);
    aChecker.Endpoint(Field("peers", n, "endpoint"), it.endpoint());
  }
  aChecker.Range("router_count", aSettings.router_count(), 0, 100000);
}

} // namespace

std::optional<std::string>
CheckSettings(const schema::Configuration& aSettings)
{
  Checker checker;
  checker.Range("revision", aSettings.revision(), 1, 4e9);
  const auto places = CheckPlaces(aSettings, checker);
  const auto models = CheckModels(aSettings, checker);
  const auto services = CheckServices(aSettings, models, checker);
  CheckWorkspaces(aSettings, models, services, checker);
  CheckTargets(aSettings, places, services, checker);
  for (int n = 0; n < aSettings.rollouts_size(); ++n) {
    checker.Declared(
      Field("rollouts", n, "model"), aSettings.rollouts(n).model(), models);
  }
  return checker.Result();
}

std::optional<std::string>
CheckSettings(const schema::RouterSettings& aSettings)
{
  Checker checker;
  checker.NotEmpty("name", aSettings.name());
  checker.NotEmpty("place", aSettings.place());
  checker.Endpoint("listen", aSettings.listen());
  checker.Range("max_connections", aSettings.max_connections(), 1, 20000);
  CheckFollowing(aSettings, checker);
  std::set<std::string> keys;
  if (aSettings.event_id_keys_size() == 0) {
    checker.Report("event_id_keys: at least one key is needed");
  }
  for (int n = 0; n < aSettings.event_id_keys_size(); ++n) {
    const auto& it = aSettings.event_id_keys(n);
    checker.Unique(Field("event_id_keys", n, "id"), it.id(), keys);
    if (it.secret().size() < kMinSecretLength) {
      checker.Report(Field("event_id_keys", n, "secret") +
                     ": must have at least 32 characters");
    }
  }
  checker.Range(
    "default_deadline_ms", aSettings.default_deadline_ms(), 1, kMaxDeadlineMs);
  checker.Range("max_deadline_ms",
                aSettings.max_deadline_ms(),
                aSettings.default_deadline_ms(),
                kMaxDeadlineMs);
  checker.Range("stop_grace_ms", aSettings.stop_grace_ms(), 0, kMaxDeadlineMs);
  checker.Range("max_body_bytes", aSettings.max_body_bytes(), 1024, 1 << 28);
  checker.Range("subset_size", aSettings.subset_size(), 0, 10000);
  checker.Range("poll_interval_ms", aSettings.poll_interval_ms(), 100, 60000);
  checker.Range("peer_interval_ms", aSettings.peer_interval_ms(), 100, 60000);
  checker.Range("peer_fanout", aSettings.peer_fanout(), 1, 100);
  checker.Range(
    "journal_interval_ms", aSettings.journal_interval_ms(), 0, 60000);
  checker.Range(
    "observe.metrics_port", aSettings.observe().metrics_port(), 0, kMaxPort);
  if (aSettings.has_platform()) {
    checker.Endpoint("platform", aSettings.platform());
  }
  return checker.Result();
}

std::optional<std::string>
CheckSettings(const schema::ApiSettings& aSettings)
{
  Checker checker;
  checker.NotEmpty("name", aSettings.name());
  checker.Endpoint("listen", aSettings.listen());
  checker.Endpoint("platform", aSettings.platform());
  if (aSettings.operator_key_sha256_size() == 0) {
    checker.Report("operator_key_sha256: at least one key is needed");
  }
  for (int n = 0; n < aSettings.routers_size(); ++n) {
    checker.Endpoint("routers[" + std::to_string(n) + "]",
                     aSettings.routers(n));
  }
  return checker.Result();
}

std::optional<std::string>
CheckSettings(const schema::ControllerSettings& aSettings)
{
  Checker checker;
  checker.NotEmpty("name", aSettings.name());
  checker.Endpoint("platform", aSettings.platform());
  checker.Range("lease_ms", aSettings.lease_ms(), 500, 600000);
  checker.Range("order_ms", aSettings.order_ms(), 1, 600000);
  checker.Range("max_loading_share", aSettings.max_loading_share(), 0.01, 1);
  checker.Range("min_ready_share", aSettings.min_ready_share(), 0.01, 1);
  return checker.Result();
}

std::optional<std::string>
CheckSettings(const schema::StandinEngineSettings& aSettings)
{
  Checker checker;
  checker.NotEmpty("name", aSettings.name());
  checker.Endpoint("listen", aSettings.listen());
  checker.Endpoint("control", aSettings.control());
  checker.NotEmpty("model", aSettings.model());
  checker.Range("load_version_ms", aSettings.load_version_ms(), 0, 600000);
  checker.Range("max_batch", aSettings.max_batch(), 1, 4096);
  checker.Range("max_waiting", aSettings.max_waiting(), 0, 100000);
  checker.Range("step_base_us", aSettings.step_base_us(), 1, 10000000);
  checker.Range(
    "step_per_stream_us", aSettings.step_per_stream_us(), 0, 10000000);
  checker.Range(
    "prefill_us_per_token", aSettings.prefill_us_per_token(), 0, 10000000);
  checker.Range("cache_blocks", aSettings.cache_blocks(), 0, 1000000);
  checker.Range("load_lag_ms", aSettings.load_lag_ms(), 0, 60000);
  checker.Range("event_lag_ms", aSettings.event_lag_ms(), 0, 60000);
  return checker.Result();
}

std::optional<std::string>
CheckSettings(const schema::StandinPlatformSettings& aSettings)
{
  Checker checker;
  checker.NotEmpty("name", aSettings.name());
  checker.Endpoint("listen", aSettings.listen());
  checker.Endpoint("control", aSettings.control());
  checker.Range(
    "weights_per_second", aSettings.weights_per_second(), 1, 1000000);
  return checker.Result();
}

std::optional<std::string>
CheckSettings(const schema::StandinServiceSettings& aSettings)
{
  Checker checker;
  checker.NotEmpty("name", aSettings.name());
  checker.Endpoint("listen", aSettings.listen());
  checker.Endpoint("control", aSettings.control());
  checker.Range("delay_ms", aSettings.delay_ms(), 0, 600000);
  return checker.Result();
}

std::optional<std::string>
CheckSettings(const schema::LoadSettings& aSettings)
{
  Checker checker;
  checker.NotEmpty("name", aSettings.name());
  if (aSettings.routers_size() == 0 || aSettings.mix_size() == 0) {
    checker.Report("routers and mix: at least one of each is needed");
  }
  for (int n = 0; n < aSettings.routers_size(); ++n) {
    checker.Endpoint("routers[" + std::to_string(n) + "]",
                     aSettings.routers(n));
  }
  for (int n = 0; n < aSettings.targets_size(); ++n) {
    checker.Endpoint("targets[" + std::to_string(n) + "]",
                     aSettings.targets(n));
  }
  for (int n = 0; n < aSettings.mix_size(); ++n) {
    CheckLoadKind(aSettings.mix(n), n, checker);
  }
  for (int n = 0; n < aSettings.faults_size(); ++n) {
    const auto& it = aSettings.faults(n);
    checker.Range(Field("faults", n, "at_ms"), it.at_ms(), 0, kMaxDeadlineMs);
    checker.Range(Field("faults", n, "for_ms"), it.for_ms(), 0, kMaxDeadlineMs);
    if (it.kind() <= schema::CUT && !it.random_target()) {
      checker.Range(Field("faults", n, "target"),
                    it.target(),
                    0,
                    aSettings.targets_size() - 1);
    }
  }
  checker.Range("requests", aSettings.requests(), 1, 10000000);
  checker.Range("concurrency", aSettings.concurrency(), 1, 2000);
  checker.Range(
    "arrivals_per_second", aSettings.arrivals_per_second(), 0, 100000);
  return checker.Result();
}

} // namespace quetzalquay
