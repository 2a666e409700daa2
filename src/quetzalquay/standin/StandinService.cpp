#include "standin/StandinService.h"

#include "generated/messages.pb.h"
#include "standin/FaultInjectionServer.h"
#include "wire/Crypto.h"
#include "wire/HttpServer.h"
#include "wire/Json.h"

#include <chrono>
#include <mutex>
#include <thread>
#include <utility>

namespace quetzalquay {

namespace {

constexpr int kIncarnationBytes = 4;

double
UnixMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

} // namespace

class StandinService::Impl
{
public:
  explicit Impl(schema::StandinServiceSettings aSettings)
    : mSettings(std::move(aSettings))
    , mIncarnation("s-" + RandomHex(kIncarnationBytes))
    , mServer(mSettings.listen(), mSettings.control(), MakeHooks())
  {
  }

  FaultInjectionServer& Server() { return mServer; }

private:
  FaultInjectionServer::Hooks MakeHooks()
  {
    FaultInjectionServer::Hooks hooks;
    hooks.mAddRoutes = [this](HttpServer& aServer) { AddRoutes(aServer); };
    hooks.mResetState = [this] { ResetState(); };
    hooks.mRecords = [this] { return Records(); };
    return hooks;
  }

  void AddRoutes(HttpServer& aServer)
  {
    aServer.Route("GET",
                  "/v1/load",
                  [this](const HttpRequest& aRequest, HttpResponse& aResponse) {
                    OnLoad(aRequest, aResponse);
                  });
    for (const char* method : { "GET", "POST", "PUT" }) {
      aServer.Route(
        method,
        "/(lookup|dispatch)(/.*)?",
        [this](const HttpRequest& aRequest, HttpResponse& aResponse) {
          OnCall(aRequest, aResponse);
        });
    }
  }

  void OnLoad(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    const auto peer = aRequest.mFindHeader("X-Quetzal-Router").value_or("");
    if (!mServer.Faults().WaitWhileBlocked(peer)) {
      aResponse.mStream = [](BodyWriter&) { return false; };
      return;
    }
    schema::EngineLoad load;
    const std::lock_guard<std::mutex> lock(mMutex);
    load.set_incarnation(mIncarnation);
    load.set_state("ready");
    load.set_running(mRunning);
    load.set_as_of(UnixMs());
    aResponse.mBody = ToJson(load);
  }

  void OnCall(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    const auto peer = aRequest.mFindHeader("X-Quetzal-Router").value_or("");
    const std::string id = aRequest.mFindHeader("X-Request-Id").value_or("");
    if (!mServer.Faults().WaitWhileBlocked(peer)) {
      aResponse.mStream = [](BodyWriter&) { return false; };
      return;
    }
    AddRecord(aRequest, id);
    std::this_thread::sleep_for(
      std::chrono::milliseconds(mSettings.delay_ms()));
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      --mRunning;
    }
    if (!mServer.Faults().WaitWhileBlocked(peer)) {
      aResponse.mStream = [](BodyWriter&) { return false; };
      return;
    }
    aResponse.mContentType = "text/plain";
    aResponse.mBody = "done " + id + " " + aRequest.mBody;
  }

  void AddRecord(const HttpRequest& aRequest, const std::string& aId)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mRunning;
    auto* record = mRecords.add_records();
    record->set_target(mSettings.name());
    record->set_request_id(aId);
    record->set_at(UnixMs());
    record->set_caller_key(
      aRequest.mFindHeader("Idempotency-Key").value_or(""));
    record->set_plain(true);
  }

  void ResetState()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIncarnation = "s-" + RandomHex(kIncarnationBytes);
    mRunning = 0;
    mRecords.set_deaths(mRecords.deaths() + 1);
  }

  std::string Records() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return ToCompactJson(mRecords);
  }

  schema::StandinServiceSettings mSettings;
  mutable std::mutex mMutex;
  std::string mIncarnation;
  int mRunning = 0;
  schema::TargetRecords mRecords;
  FaultInjectionServer mServer;
};

StandinService::StandinService(schema::StandinServiceSettings aSettings)
  : mImpl(std::make_unique<Impl>(std::move(aSettings)))
{
}

StandinService::~StandinService() = default;

std::optional<std::string>
StandinService::Start()
{
  return mImpl->Server().Start();
}

void
StandinService::Stop()
{
  mImpl->Server().Stop();
}

} // namespace quetzalquay
