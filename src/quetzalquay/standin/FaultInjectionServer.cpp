#include "standin/FaultInjectionServer.h"

#include "generated/messages.pb.h"
#include "wire/Json.h"

#include <utility>

namespace quetzalquay {

namespace {

constexpr std::size_t kMaxConnections = 1024;
constexpr Duration kKeepAliveTimeout = std::chrono::seconds(1);

HttpServer::Options
ServerOptions()
{
  HttpServer::Options options;
  options.mMaxConnections = kMaxConnections;
  options.mKeepAlive = kKeepAliveTimeout;
  return options;
}

} // namespace

FaultInjectionServer::FaultInjectionServer(schema::Endpoint aListen,
                                           schema::Endpoint aControl,
                                           Hooks aHooks)
  : mListen(std::move(aListen))
  , mControl(std::move(aControl))
  , mHooks(std::move(aHooks))
{
}

FaultInjectionServer::~FaultInjectionServer()
{
  Stop();
}

std::optional<std::string>
FaultInjectionServer::Start()
{
  if (!Listen()) {
    return "listen: cannot bind port " + std::to_string(mListen.port());
  }
  mControlServer = std::make_unique<HttpServer>(ServerOptions());
  mControlServer->Route(
    "POST",
    "/faults",
    [this](const HttpRequest& aRequest, HttpResponse& aResponse) {
      OnFault(aRequest, aResponse);
    });
  mControlServer->Route(
    "GET", "/records", [this](const HttpRequest&, HttpResponse& aResponse) {
      aResponse.mBody = mHooks.mRecords();
    });
  if (!mControlServer->Start(mControl.address(), mControl.port())) {
    return "control: cannot bind port " + std::to_string(mControl.port());
  }
  return std::nullopt;
}

void
FaultInjectionServer::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mStopping) {
      return;
    }
    mStopping = true;
  }
  if (mControlServer != nullptr) {
    mControlServer->Stop();
  }
  mFaults.Kill();
  if (mRestartThread.joinable()) {
    mRestartThread.join();
  }
  if (mServer != nullptr) {
    mServer->Stop();
  }
}

void
FaultInjectionServer::OnFault(const HttpRequest& aRequest,
                              HttpResponse& aResponse)
{
  schema::FaultOrder order;
  if (const auto reason =
        ParseJson(aRequest.mBody, UnknownFields::Refuse, order)) {
    aResponse.mStatus = 400;
    aResponse.mBody = *reason;
    return;
  }
  const Time until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(order.for_ms());
  aResponse.mBody = "{}";
  if (order.kind() == "die") {
    KillUntil(until);
  } else if (order.kind() == "pause") {
    mFaults.Pause(until);
  } else if (order.kind() == "slow") {
    mFaults.Slow(order.factor(), until);
  } else if (order.kind() == "cut") {
    mFaults.Partition(order.peer(), until);
  } else if (!mHooks.mOnFault ||
             !mHooks.mOnFault(order.kind(), until, order.factor())) {
    aResponse.mStatus = 400;
    aResponse.mBody = "unknown fault";
  }
}

void
FaultInjectionServer::KillUntil(Time aRestartAt)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mFaults.IsKilled() || mStopping) {
    return;
  }
  if (mRestartThread.joinable()) {
    mRestartThread.join();
  }
  mFaults.Kill();
  mHooks.mResetState();
  mRestartThread = std::thread([this, aRestartAt] {
    mServer->Stop();
    std::this_thread::sleep_until(aRestartAt);
    const std::lock_guard<std::mutex> restartLock(mMutex);
    if (!mStopping) {
      mHooks.mResetState();
      mFaults.Restart();
      Listen();
    }
  });
}

bool
FaultInjectionServer::Listen()
{
  mServer = std::make_unique<HttpServer>(ServerOptions());
  mHooks.mAddRoutes(*mServer);
  return mServer->Start(mListen.address(), mListen.port());
}

} // namespace quetzalquay
