#include "LocalDeployment.h"

#include "GatewayProcess.h"
#include "wire/Crypto.h"
#include "wire/Json.h"
#include "wire/SseParser.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>
#include <utility>

using namespace quetzalquay;

namespace {

// Ports of all deployments of this process. They are reserved: the servers
// share a port with another process that listens on it, without an error.
int
Port()
{
  static const int kNumber = FindFreePort();
  return kNumber;
}

int
ControlPort()
{
  static const int kNumber = FindFreePort();
  return kNumber;
}

int
PeerPort()
{
  static const int kNumber = FindFreePort();
  return kNumber;
}

enum AddressKind
{
  RouterKind = 1,
  EngineKind = 2,
  ServiceKind = 3,
  PlatformKind = 4,
  ApiKind = 5,
};

// Each deployment has a network of its own, 127.N.0.0/16; this is the next N.
std::atomic<int> sNextNetwork{ 100 };

void
RequireSuccess(const std::optional<std::string>& aError)
{
  CPPUNIT_ASSERT_MESSAGE(aError.value_or(""), !aError);
}

schema::Endpoint
MakeEndpoint(const std::string& aAddress, int aPort)
{
  schema::Endpoint endpoint;
  endpoint.set_address(aAddress);
  endpoint.set_port(aPort);
  return endpoint;
}

void
AddWorkspace(schema::Configuration& aConfiguration,
             const std::string& aName,
             const std::string& aKey)
{
  auto* workspace = aConfiguration.add_workspaces();
  workspace->set_name(aName);
  workspace->add_key_sha256(Sha256Hex(aKey));
  workspace->set_weight(1);
  workspace->set_max_concurrent(200);
  workspace->set_requests_per_second(1000);
  workspace->add_models("story");
  workspace->add_services("desk");
}

} // namespace

LocalDeployment::LocalDeployment(const DeploymentOptions& aOptions)
  : mOptions(aOptions)
  , mNetwork(sNextNetwork.fetch_add(1))
{
  schema::StandinPlatformSettings platform;
  platform.set_name("platform");
  *platform.mutable_listen() =
    MakeEndpoint(LoopbackAddress(PlatformKind, 1), Port());
  *platform.mutable_control() =
    MakeEndpoint(LoopbackAddress(PlatformKind, 1), ControlPort());
  platform.set_weights_per_second(100);
  mPlatform = std::make_unique<StandinPlatform>(platform);
  RequireSuccess(mPlatform->Start());
  schema::StandinServiceSettings service;
  service.set_name("desk-1");
  service.set_delay_ms(mOptions.mServiceDelayMs);
  *service.mutable_listen() =
    MakeEndpoint(LoopbackAddress(ServiceKind, 1), Port());
  *service.mutable_control() =
    MakeEndpoint(LoopbackAddress(ServiceKind, 1), ControlPort());
  mService = std::make_unique<StandinService>(service);
  RequireSuccess(mService->Start());
  for (int n = 0; n < mOptions.mEngines; ++n) {
    mEngines.push_back(std::make_unique<StandinEngine>(EngineSettings(n)));
    RequireSuccess(mEngines.back()->Start());
  }
  if (mOptions.mFollowStore) {
    StartApi();
  }
  mRouters.resize(static_cast<std::size_t>(mOptions.mRouters));
  for (int n = 0; n < mOptions.mRouters; ++n) {
    StartRouter(n);
  }
  WaitUntilReady();
}

LocalDeployment::~LocalDeployment()
{
  for (const auto& it : mRouters) {
    if (it != nullptr) {
      it->Stop();
    }
  }
  if (mApi != nullptr) {
    mApi->Stop();
  }
  for (const auto& it : mEngines) {
    it->Stop();
  }
  mService->Stop();
  mPlatform->Stop();
}

HttpAddress
LocalDeployment::RouterAddress(int aRouter) const
{
  return { LoopbackAddress(RouterKind, aRouter + 1), Port() };
}

void
LocalDeployment::StopRouter(int aRouter)
{
  mRouters[static_cast<std::size_t>(aRouter)]->Stop();
  mRouters[static_cast<std::size_t>(aRouter)].reset();
}

void
LocalDeployment::StartRouter(int aRouter)
{
  auto& router = mRouters[static_cast<std::size_t>(aRouter)];
  router = std::make_unique<Router>(
    RouterSettings(aRouter),
    mOptions.mFollowStore ? schema::Configuration() : Configuration());
  RequireSuccess(router->Start());
}

schema::RouterStatus
LocalDeployment::Status(int aRouter) const
{
  HttpCallSpec spec;
  spec.mPath = "/debug/status";
  HttpCall call(RouterAddress(aRouter));
  schema::RouterStatus status;
  ParseJson(call.Run(spec).mBody, UnknownFields::Ignore, status);
  return status;
}

HttpResult
LocalDeployment::CallApi(const std::string& aMethod,
                         const std::string& aPath,
                         const std::string& aBody)
{
  HttpCallSpec spec;
  spec.mMethod = aMethod;
  spec.mPath = "/api/v1/" + aPath;
  spec.mBody = aBody;
  spec.mHeaders["Authorization"] = "Bearer operator";
  spec.mReadTimeout = std::chrono::seconds(10);
  HttpCall call(HttpAddress{ LoopbackAddress(ApiKind, 1), Port() });
  return call.Run(spec);
}

bool
LocalDeployment::WaitFor(const std::function<bool()>& aCondition)
{
  for (int tries = 0; tries < 600; ++tries) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(25));
  }
  return false;
}

void
LocalDeployment::ListAsLeaving(int aEngine, int aStopInMs)
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  schema::HostList list;
  auto* host = list.add_hosts();
  host->set_name("host-of-engine-" + std::to_string(aEngine));
  host->set_address(LoopbackAddress(EngineKind, aEngine + 1));
  host->set_state("leaving");
  host->set_stop_at(std::chrono::duration<double, std::milli>(now).count() +
                    aStopInMs);
  HttpCallSpec spec;
  spec.mMethod = "PUT";
  spec.mPath = "/v1/hosts";
  spec.mBody = ToCompactJson(list);
  HttpCall call(HttpAddress{ LoopbackAddress(PlatformKind, 1), Port() });
  CPPUNIT_ASSERT_EQUAL(200, call.Run(spec).mStatus);
}

void
LocalDeployment::StartApi()
{
  schema::ApiSettings settings;
  settings.set_name("api");
  *settings.mutable_listen() =
    MakeEndpoint(LoopbackAddress(ApiKind, 1), Port());
  *settings.mutable_platform() =
    MakeEndpoint(LoopbackAddress(PlatformKind, 1), Port());
  settings.add_operator_key_sha256(Sha256Hex("operator"));
  for (int n = 0; n < mOptions.mRouters; ++n) {
    *settings.add_routers() = MakeEndpoint(RouterAddress(n).mHost, Port());
  }
  mApi = std::make_unique<ResourceApi>(settings);
  RequireSuccess(mApi->Start());
  const auto answer = CallApi("POST", "import", ToJson(Configuration()));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.mBody, 200, answer.mStatus);
}

void
LocalDeployment::InjectEngineFault(int aEngine,
                                   const std::string& aKind,
                                   int aForMs)
{
  schema::FaultOrder order;
  order.set_kind(aKind);
  order.set_for_ms(aForMs);
  order.set_factor(8);
  InjectFault(LoopbackAddress(EngineKind, aEngine + 1), order);
}

void
LocalDeployment::InjectServiceFault(const std::string& aKind, int aForMs)
{
  schema::FaultOrder order;
  order.set_kind(aKind);
  order.set_for_ms(aForMs);
  InjectFault(LoopbackAddress(ServiceKind, 1), order);
}

void
LocalDeployment::InjectPlatformFault(const std::string& aKind, int aForMs)
{
  schema::FaultOrder order;
  order.set_kind(aKind);
  order.set_for_ms(aForMs);
  InjectFault(LoopbackAddress(PlatformKind, 1), order);
}

void
LocalDeployment::PartitionEngine(int aEngine, int aRouter, int aForMs)
{
  schema::FaultOrder order;
  order.set_kind("cut");
  order.set_for_ms(aForMs);
  order.set_peer("router-" + std::to_string(aRouter + 1));
  InjectFault(LoopbackAddress(EngineKind, aEngine + 1), order);
}

schema::TargetRecords
LocalDeployment::EngineRecords(int aEngine) const
{
  return Records(LoopbackAddress(EngineKind, aEngine + 1));
}

schema::TargetRecords
LocalDeployment::ServiceRecords() const
{
  return Records(LoopbackAddress(ServiceKind, 1));
}

std::vector<schema::TargetRecord>
LocalDeployment::AllStarts() const
{
  std::vector<schema::TargetRecord> starts;
  for (int n = 0; n < mOptions.mEngines; ++n) {
    const auto records = EngineRecords(n);
    starts.insert(
      starts.end(), records.records().begin(), records.records().end());
  }
  return starts;
}

int
LocalDeployment::EngineOf(const std::string& aGeneration) const
{
  int engine = -1;
  int attempt = -1;
  for (int n = 0; n < mOptions.mEngines; ++n) {
    const auto records = EngineRecords(n);
    for (const auto& it : records.records()) {
      if (it.generation() == aGeneration && it.attempt() > attempt) {
        attempt = it.attempt();
        engine = n;
      }
    }
  }
  return engine;
}

std::string
LocalDeployment::LoopbackAddress(int aKind, int aNumber) const
{
  return "127." + std::to_string(mNetwork) + "." + std::to_string(aKind) + "." +
         std::to_string(aNumber);
}

void
LocalDeployment::InjectFault(const std::string& aAddress,
                             const schema::FaultOrder& aOrder)
{
  HttpCallSpec spec;
  spec.mMethod = "POST";
  spec.mPath = "/faults";
  spec.mBody = ToCompactJson(aOrder);
  HttpCall call(HttpAddress{ aAddress, ControlPort() });
  CPPUNIT_ASSERT_EQUAL(200, call.Run(spec).mStatus);
}

schema::TargetRecords
LocalDeployment::Records(const std::string& aAddress) const
{
  HttpCallSpec spec;
  spec.mPath = "/records";
  HttpCall call(HttpAddress{ aAddress, ControlPort() });
  schema::TargetRecords records;
  ParseJson(call.Run(spec).mBody, UnknownFields::Ignore, records);
  return records;
}

schema::Configuration
LocalDeployment::Configuration() const
{
  schema::Configuration configuration;
  configuration.set_revision(1);
  auto* place = configuration.add_places();
  place->set_name("hall");
  place->set_region("region");
  auto* model = configuration.add_models();
  model->set_name("story");
  model->set_serving_version("1");
  auto* version = configuration.add_versions();
  version->set_model("story");
  version->set_name("1");
  auto* adapter = configuration.add_adapters();
  adapter->set_name("wards");
  adapter->set_model("story");
  adapter->set_version("5");
  AddWorkspace(configuration, "test", kKey);
  AddWorkspace(configuration, "other", kOtherKey);
  auto* pool = configuration.add_services();
  pool->set_name("pool");
  pool->set_model("story");
  pool->set_recovery(mOptions.mPreset);
  auto* desk = configuration.add_services();
  desk->set_name("desk");
  desk->set_kind(schema::PLAIN);
  for (int n = 0; n < mOptions.mEngines; ++n) {
    auto* target = configuration.add_targets();
    target->set_name("engine-" + std::to_string(n));
    target->set_service("pool");
    target->set_place("hall");
    target->set_address(LoopbackAddress(EngineKind, n + 1));
    target->set_port(Port());
  }
  auto* target = configuration.add_targets();
  target->set_name("desk-1");
  target->set_service("desk");
  target->set_place("hall");
  target->set_address(LoopbackAddress(ServiceKind, 1));
  target->set_port(Port());
  return configuration;
}

schema::RouterSettings
LocalDeployment::RouterSettings(int aRouter) const
{
  schema::RouterSettings settings;
  settings.set_name("router-" + std::to_string(aRouter + 1));
  settings.set_place("hall");
  const HttpAddress address = RouterAddress(aRouter);
  *settings.mutable_listen() = MakeEndpoint(address.mHost, address.mPort);
  settings.set_max_connections(64);
  auto* key = settings.add_event_id_keys();
  key->set_id("k1");
  key->set_secret("a-secret-of-the-tests-with-32-characters");
  *settings.mutable_platform() =
    MakeEndpoint(LoopbackAddress(PlatformKind, 1), Port());
  settings.set_default_deadline_ms(30000);
  settings.set_max_deadline_ms(60000);
  settings.set_stop_grace_ms(mOptions.mStopGraceMs);
  settings.set_max_body_bytes(65536);
  settings.set_journal_interval_ms(mOptions.mJournalMs);
  settings.set_poll_interval_ms(500);
  settings.set_peer_interval_ms(500);
  settings.set_peer_fanout(3);
  settings.set_follow_store(mOptions.mFollowStore);
  *settings.mutable_peer_listen() = MakeEndpoint(address.mHost, PeerPort());
  for (int n = 0; n < mOptions.mRouters; ++n) {
    if (n == aRouter) {
      continue;
    }
    auto* peer = settings.add_peers();
    peer->set_name("router-" + std::to_string(n + 1));
    *peer->mutable_endpoint() =
      MakeEndpoint(RouterAddress(n).mHost, PeerPort());
  }
  return settings;
}

schema::StandinEngineSettings
LocalDeployment::EngineSettings(int aEngine) const
{
  schema::StandinEngineSettings settings;
  settings.set_name("engine-" + std::to_string(aEngine));
  *settings.mutable_listen() =
    MakeEndpoint(LoopbackAddress(EngineKind, aEngine + 1), Port());
  *settings.mutable_control() =
    MakeEndpoint(LoopbackAddress(EngineKind, aEngine + 1), ControlPort());
  settings.set_model("story");
  settings.add_versions("1");
  settings.set_max_batch(16);
  settings.set_max_waiting(16);
  settings.set_step_base_us(mOptions.mStepUs);
  settings.set_step_per_stream_us(100);
  settings.set_prefill_us_per_token(10);
  settings.set_cache_blocks(8);
  return settings;
}

void
LocalDeployment::WaitUntilReady()
{
  for (int n = 0; n < mOptions.mRouters; ++n) {
    for (int tries = 0; tries < 200; ++tries) {
      HttpCallSpec spec;
      spec.mPath = "/debug/status";
      HttpCall call(RouterAddress(n));
      schema::RouterStatus status;
      ParseJson(call.Run(spec).mBody, UnknownFields::Ignore, status);
      int known = 0;
      for (const auto& it : status.targets()) {
        known += it.incarnation().empty() ? 0 : 1;
      }
      if (known == mOptions.mEngines + 1) {
        break;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }
}

TestCaller::TestCaller(const LocalDeployment& aDeployment)
  : mDeployment(aDeployment)
{
  mHeaders["Authorization"] = std::string("Bearer ") + LocalDeployment::kKey;
}

void
TestCaller::Stream(int aRouter, const OnToken& aOnToken)
{
  schema::CallerRequest body;
  body.set_model("story");
  body.set_prompt(mPrompt);
  body.set_max_tokens(mMaxTokens);
  body.set_stream(true);
  HttpCallSpec spec;
  spec.mMethod = "POST";
  spec.mPath = "/v1/completions";
  spec.mBody = ToCompactJson(body);
  spec.mHeaders = mHeaders;
  if (!mLastEventId.empty()) {
    spec.mHeaders["Last-Event-ID"] = mLastEventId;
  }
  spec.mReadTimeout = std::chrono::seconds(20);
  auto last = std::chrono::steady_clock::now();
  SseParser reader([&](const SseEvent& aEvent) {
    if (aEvent.mName == "error") {
      schema::ErrorResponse error;
      ParseJson(aEvent.mData, UnknownFields::Ignore, error);
      mError = error.error();
      return true;
    }
    if (aEvent.mData == "[DONE]") {
      mDone = true;
      return true;
    }
    schema::CallerResponse message;
    ParseJson(aEvent.mData, UnknownFields::Ignore, message);
    mRequestId = message.id();
    if (!aEvent.mId.empty()) {
      mLastEventId = aEvent.mId;
    }
    if (message.choices(0).text().empty()) {
      return true;
    }
    const auto now = std::chrono::steady_clock::now();
    if (!mTokens.empty()) {
      mLongestGapMs = std::max(mLongestGapMs, ToMilliseconds(now - last));
    }
    last = now;
    mTokens.push_back(message.choices(0).text());
    return !aOnToken || aOnToken(static_cast<int>(mTokens.size()));
  });
  HttpCall call(mDeployment.RouterAddress(aRouter));
  const HttpResult result =
    call.RunStreamed(spec, [&reader](const char* aData, std::size_t aSize) {
      return reader.Feed(aData, aSize);
    });
  mStatus = result.mStatus;
  if (mStatus != 200) {
    schema::ErrorResponse error;
    ParseJson(result.mBody, UnknownFields::Ignore, error);
    mError = error.error();
  }
}

HttpResult
TestCaller::Send(int aRouter,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aBody)
{
  HttpCallSpec spec;
  spec.mMethod = aMethod;
  spec.mPath = aPath;
  spec.mBody = aBody;
  spec.mHeaders = mHeaders;
  spec.mReadTimeout = std::chrono::seconds(20);
  HttpCall call(mDeployment.RouterAddress(aRouter));
  HttpResult result = call.Run(spec);
  schema::ErrorResponse error;
  ParseJson(result.mBody, UnknownFields::Ignore, error);
  mError = error.error();
  mStatus = result.mStatus;
  return result;
}

void
TestCaller::RequireComplete() const
{
  CPPUNIT_ASSERT_MESSAGE(mError.code() + " " + mError.message(), mDone);
  CPPUNIT_ASSERT_EQUAL(mMaxTokens, static_cast<int>(mTokens.size()));
  RequirePrefix();
}

void
TestCaller::RequirePrefix() const
{
  for (std::size_t n = 0; n < mTokens.size(); ++n) {
    CPPUNIT_ASSERT_EQUAL(Generation() + ":" + std::to_string(n) + " ",
                         mTokens[n]);
  }
}

std::string
TestCaller::Generation() const
{
  return mTokens.empty() ? std::string()
                         : mTokens[0].substr(0, mTokens[0].rfind(':'));
}
