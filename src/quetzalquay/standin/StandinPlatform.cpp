#include "standin/StandinPlatform.h"

#include "core/Time.h"
#include "generated/messages.pb.h"
#include "standin/FaultInjectionServer.h"
#include "standin/TableStore.h"
#include "wire/HttpServer.h"
#include "wire/Json.h"

#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

namespace quetzalquay {

namespace {

// Latency of every call, like that of a networked store.
constexpr Duration kStoreLatency = std::chrono::milliseconds(2);

// Fraction of writes whose response is lost while that fault is active.
constexpr double kLostResponseShare = 0.5;

Time
Now()
{
  return std::chrono::steady_clock::now();
}

double
UnixMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

} // namespace

class StandinPlatform::Impl
{
public:
  explicit Impl(schema::StandinPlatformSettings aSettings)
    : mSettings(std::move(aSettings))
    , mRandom(mSettings.seed())
    , mServer(mSettings.listen(), mSettings.control(), MakeHooks())
  {
    mHosts.set_as_of(UnixMs());
  }

  FaultInjectionServer& Server() { return mServer; }

private:
  using Handler = void (Impl::*)(const HttpRequest&, HttpResponse&);

  FaultInjectionServer::Hooks MakeHooks()
  {
    FaultInjectionServer::Hooks hooks;
    hooks.mAddRoutes = [this](HttpServer& aServer) { AddRoutes(aServer); };
    // Tables and objects are durable: they survive a crash.
    hooks.mResetState = [] {};
    hooks.mRecords = [this] { return Counters(); };
    hooks.mOnFault =
      [this](const std::string& aKind, Time aUntil, double aFactor) {
        return OnFault(aKind, aUntil, aFactor);
      };
    return hooks;
  }

  void AddRoutes(HttpServer& aServer)
  {
    struct RouteEntry
    {
      const char* mMethod;
      const char* mPattern;
      Handler mHandler;
    };
    static constexpr RouteEntry kRoutes[] = {
      { "POST", "/v1/transactions", &Impl::OnCommit },
      { "GET", "/v1/tables/([^/]+)/([^/]+)", &Impl::OnReadRow },
      { "GET", "/v1/tables/([^/]+)", &Impl::OnReadTable },
      { "PUT", "/v1/objects/(.+)", &Impl::OnPutObject },
      { "GET", "/v1/objects/(.+)", &Impl::OnGetObject },
      { "DELETE", "/v1/objects/(.+)", &Impl::OnDeleteObject },
      { "GET", "/v1/hosts", &Impl::OnReadHosts },
      { "PUT", "/v1/hosts", &Impl::OnWriteHosts },
      { "GET", "/v1/weights/([^/]+)/([^/]+)", &Impl::OnReadWeights },
    };
    for (const RouteEntry& it : kRoutes) {
      const Handler handler = it.mHandler;
      aServer.Route(
        it.mMethod,
        it.mPattern,
        [this, handler](const HttpRequest& aRequest, HttpResponse& aResponse) {
          Serve(handler, aRequest, aResponse);
        });
    }
  }

  void Serve(Handler aHandler,
             const HttpRequest& aRequest,
             HttpResponse& aResponse)
  {
    const auto peer = aRequest.mFindHeader("X-Quetzal-Process").value_or("");
    if (!mServer.Faults().WaitWhileBlocked(peer)) {
      aResponse.mStream = [](BodyWriter&) { return false; };
      return;
    }
    const auto latency = std::chrono::duration<double, std::micro>(
      static_cast<double>(kStoreLatency.count()) *
      mServer.Faults().SlowdownFactor());
    std::this_thread::sleep_for(latency);
    if (IsDown()) {
      aResponse.mStatus = 503;
      return;
    }
    (this->*aHandler)(aRequest, aResponse);
    if (aRequest.mMethod != "GET" && ShouldLoseResponse()) {
      aResponse.mStream = [](BodyWriter&) { return false; };
    }
  }

  void OnCommit(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    Increment(mWrites);
    schema::Transaction transaction;
    if (const auto reason =
          ParseJson(aRequest.mBody, UnknownFields::Ignore, transaction)) {
      aResponse.mStatus = 400;
      aResponse.mBody = *reason;
      return;
    }
    schema::TransactionResult result;
    aResponse.mStatus = mTables.Commit(transaction, result) ? 200 : 409;
    aResponse.mBody = ToJson(result);
  }

  void OnReadRow(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    Increment(mReads);
    const auto row = mTables.Read(aRequest.mCaptures[0], aRequest.mCaptures[1]);
    aResponse.mStatus = row ? 200 : 404;
    aResponse.mBody = row ? ToJson(*row) : "{}";
  }

  void OnReadTable(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    Increment(mReads);
    const auto after = aRequest.mFindParameter("after_revision").value_or("0");
    const auto revision = std::strtoul(after.c_str(), nullptr, 10);
    aResponse.mBody = ToJson(mTables.ReadAfter(
      aRequest.mCaptures[0], static_cast<unsigned>(revision)));
  }

  void OnPutObject(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    Increment(mWrites);
    const std::lock_guard<std::mutex> lock(mMutex);
    mObjects[aRequest.mCaptures[0]] = aRequest.mBody;
    aResponse.mBody = "{}";
  }

  void OnGetObject(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    Increment(mReads);
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto it = mObjects.find(aRequest.mCaptures[0]);
    if (it == mObjects.end()) {
      aResponse.mStatus = 404;
      aResponse.mBody = "{}";
      return;
    }
    aResponse.mContentType = "application/octet-stream";
    aResponse.mBody = it->second;
  }

  void OnDeleteObject(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    Increment(mWrites);
    const std::lock_guard<std::mutex> lock(mMutex);
    mObjects.erase(aRequest.mCaptures[0]);
    aResponse.mBody = "{}";
  }

  void OnReadHosts(const HttpRequest&, HttpResponse& aResponse)
  {
    Increment(mReads);
    const std::lock_guard<std::mutex> lock(mMutex);
    aResponse.mBody = ToJson(mHosts);
  }

  void OnWriteHosts(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    schema::HostList hosts;
    if (ParseJson(aRequest.mBody, UnknownFields::Ignore, hosts)) {
      aResponse.mStatus = 400;
      return;
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    mHosts = hosts;
    aResponse.mBody = "{}";
  }

  void OnReadWeights(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const Time now = Now();
    const Duration interval =
      std::chrono::microseconds(1000000 / mSettings.weights_per_second());
    if (now < mNextWeightsAt) {
      aResponse.mStatus = 429;
      aResponse.mBody = "{}";
      return;
    }
    mNextWeightsAt = now + interval;
    aResponse.mBody =
      "weights of " + aRequest.mCaptures[0] + " " + aRequest.mCaptures[1];
  }

  bool OnFault(const std::string& aKind, Time aUntil, double)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (aKind == "store_down") {
      mDownUntil = aUntil;
      return true;
    }
    if (aKind == "lose_answers") {
      mLoseResponsesUntil = aUntil;
      return true;
    }
    return false;
  }

  bool IsDown() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return Now() < mDownUntil;
  }

  bool ShouldLoseResponse()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::bernoulli_distribution lost(kLostResponseShare);
    return Now() < mLoseResponsesUntil && lost(mRandom);
  }

  void Increment(double& aCounter)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    aCounter += 1;
  }

  std::string Counters() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    schema::PlatformCounters counters;
    counters.set_reads(mReads);
    counters.set_writes(mWrites);
    double bytes = 0;
    for (const auto& it : mObjects) {
      bytes += static_cast<double>(it.second.size());
    }
    counters.set_objects(static_cast<int>(mObjects.size()));
    counters.set_object_bytes(bytes);
    return ToJson(counters);
  }

  schema::StandinPlatformSettings mSettings;
  mutable std::mutex mMutex;
  TableStore mTables;
  std::map<std::string, std::string> mObjects;
  schema::HostList mHosts;
  Time mNextWeightsAt;
  Time mDownUntil;
  Time mLoseResponsesUntil;
  double mReads = 0;
  double mWrites = 0;
  std::mt19937_64 mRandom;
  FaultInjectionServer mServer;
};

StandinPlatform::StandinPlatform(schema::StandinPlatformSettings aSettings)
  : mImpl(std::make_unique<Impl>(std::move(aSettings)))
{
}

StandinPlatform::~StandinPlatform() = default;

std::optional<std::string>
StandinPlatform::Start()
{
  return mImpl->Server().Start();
}

void
StandinPlatform::Stop()
{
  mImpl->Server().Stop();
}

} // namespace quetzalquay
