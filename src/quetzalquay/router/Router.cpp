#include "router/Router.h"

#include "router/CallerApi.h"
#include "router/CancelQueue.h"
#include "router/ClaimService.h"
#include "router/ConfigurationFollower.h"
#include "router/ExplainStore.h"
#include "router/FenceService.h"
#include "router/HostWatcher.h"
#include "router/JournalWriter.h"
#include "router/PeerLink.h"
#include "router/SessionRegistry.h"
#include "router/TargetDirectory.h"
#include "router/TargetPoller.h"

#include "config/SnapshotStore.h"
#include "core/Hash.h"
#include "observe/EvictionLog.h"
#include "observe/Log.h"
#include "observe/RouterMetrics.h"
#include "observe/Tracer.h"
#include "wire/Crypto.h"
#include "wire/EngineHttp.h"
#include "wire/EventId.h"
#include "wire/HttpServer.h"
#include "wire/PlatformHttp.h"
#include "wire/ThreadPool.h"

#include <chrono>
#include <thread>
#include <utility>

namespace quetzalquay {

namespace {

constexpr std::size_t kMaxExplainedRequests = 2000;
constexpr int kIncarnationBytes = 6;

// Threads for probes, polls and cancels, besides one per connection.
constexpr std::size_t kBackgroundThreads = 64;

// Interval between checks for open requests while stopping.
constexpr Duration kStopPollInterval = std::chrono::milliseconds(20);

// Maximum wait for sessions to end after they are told to hand over.
constexpr Duration kHandOverTimeout = std::chrono::milliseconds(1000);

std::vector<EventIdKey>
EventIdKeysOf(const schema::RouterSettings& aSettings)
{
  std::vector<EventIdKey> keys;
  for (const auto& it : aSettings.event_id_keys()) {
    keys.push_back({ it.id(), it.secret() });
  }
  return keys;
}

TargetTableOptions
TableOptionsOf(const schema::RouterSettings& aSettings,
               const std::string& aIncarnation)
{
  TargetTableOptions options;
  options.mRouterName = aSettings.name();
  options.mPlace = aSettings.place();

  options.mSubsetSize = aSettings.subset_size();
  options.mSeed = StableHash(aIncarnation);
  return options;
}

HttpServer::Options
ServerOptionsOf(const schema::RouterSettings& aSettings)
{
  HttpServer::Options options;
  options.mMaxConnections =
    static_cast<std::size_t>(aSettings.max_connections());
  options.mMaxBodyBytes = static_cast<std::size_t>(aSettings.max_body_bytes());
  return options;
}

} // namespace

class Router::Impl
{
public:
  Impl(schema::RouterSettings aSettings,
       const schema::Configuration& aConfiguration)
    : mSettings(std::move(aSettings))
    , mIncarnation(mSettings.name() + "-" + RandomHex(kIncarnationBytes))
    , mMetrics(mSettings.name())
    , mTracer(mSettings.name(), mSettings.observe().trace_file())
    , mExplainStore(kMaxExplainedRequests)
    , mEventIds(EventIdKeysOf(mSettings))
    , mThreads(static_cast<std::size_t>(mSettings.max_connections()) +
               kBackgroundThreads)
    , mEngines(mSettings.name(), mThreads)
    , mTargets(TableOptionsOf(mSettings, mIncarnation))
    , mPoller(mEngines, mTargets, mSnapshots, mThreads, mMetrics)
    , mCancelQueue(mEngines, mThreads)
    , mServer(ServerOptionsOf(mSettings))
  {
    if (mSettings.has_platform()) {
      mPlatform = std::make_unique<PlatformHttp>(
        HttpAddress{ mSettings.platform().address(),
                     mSettings.platform().port() },
        mSettings.name());
      mFenceService = std::make_unique<FenceService>(*mPlatform);
      mClaims =
        std::make_unique<ClaimService>(mIncarnation, *mPlatform, mMetrics);
    }
    if (mPlatform != nullptr && mSettings.journal_interval_ms() > 0) {
      mJournal =
        std::make_unique<JournalWriter>(mIncarnation, *mPlatform, mMetrics);
    }
    mFollower = std::make_unique<ConfigurationFollower>(
      mSettings.follow_store() ? mPlatform.get() : nullptr,
      mSnapshots,
      mTargets,
      mMetrics,
      mSettings.place(),
      RouterCount());
    if (aConfiguration.revision() > 0) {
      mFollower->Apply(aConfiguration);
    }
    mPeerLink = std::make_unique<PeerLink>(
      mSettings, mIncarnation, *mFollower, mSnapshots, mTargets, mMetrics);
    if (mPlatform != nullptr) {
      mHostWatcher = std::make_unique<HostWatcher>(
        *mPlatform, mSnapshots, mTargets, mSessions);
    }
    FillRouterParts();
    mApi = std::make_unique<CallerApi>(
      mParts, mSettings, RouterCount(), mClaims.get());
    mPeerLink->SetCallerApi(*mApi);
  }

  std::optional<std::string> Start()
  {
    if (mSettings.observe().metrics_port() > 0) {
      mMetrics.Expose(mSettings.listen().address(),
                      mSettings.observe().metrics_port());
    }
    mApi->AddRoutes(mServer);
    mServer.SetEvictionHandler([this](ConnectionUse aUse, std::size_t aOpen) {
      mMetrics.Add(RouterCounter::ConnectionsGivenUp);
      mEvictionLog.OnEviction(aUse, aOpen, std::chrono::steady_clock::now());
    });
    mFollower->Start();
    if (auto problem = mPeerLink->Start()) {
      return problem;
    }
    if (mHostWatcher != nullptr) {
      mHostWatcher->Start();
    }
    mPoller.Start(std::chrono::milliseconds(mSettings.poll_interval_ms()));
    mCancelQueue.Start();
    if (mClaims != nullptr) {
      mClaims->Start();
    }
    if (mJournal != nullptr) {
      mJournal->Start(
        std::chrono::milliseconds(mSettings.journal_interval_ms()));
    }
    const auto& listen = mSettings.listen();
    if (!mServer.Start(listen.address(), listen.port())) {
      return "listen: cannot bind " + listen.address() + ":" +
             std::to_string(listen.port());
    }
    mMetrics.Set(RouterGauge::Ready, 1);
    Log(LogLevel::Info,
        "router",
        "serving",
        { { "router", mSettings.name() },
          { "incarnation", mIncarnation },
          { "port", std::to_string(listen.port()) } });
    return std::nullopt;
  }

  void Stop()
  {
    mLifecycle.mStopping.store(true);
    mMetrics.Set(RouterGauge::Ready, 0);
    const Time graceDeadline =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(mSettings.stop_grace_ms());
    WaitForOpenRequests(graceDeadline);
    mLifecycle.mHandingOver.store(true);
    WaitForOpenRequests(std::chrono::steady_clock::now() + kHandOverTimeout);
    mServer.Stop();
    mPeerLink->Stop();
    mFollower->Stop();
    if (mHostWatcher != nullptr) {
      mHostWatcher->Stop();
    }
    mPoller.Stop();
    mCancelQueue.Stop();
    if (mJournal != nullptr) {
      mJournal->Stop();
    }
    if (mClaims != nullptr) {
      mClaims->Stop();
    }
    mThreads.Stop();
    Log(
      LogLevel::Info, "router", "stopped", { { "router", mSettings.name() } });
  }

private:
  int RouterCount() const
  {
    const int declared = mSettings.router_count();
    return declared > 0 ? declared : mSettings.peers_size() + 1;
  }

  void FillRouterParts()
  {
    mParts.mRouterName = mSettings.name();
    mParts.mIncarnation = mIncarnation;
    mParts.mFenceService = mFenceService.get();
    mParts.mSnapshots = &mSnapshots;
    mParts.mFollower = mFollower.get();
    mParts.mTargets = &mTargets;
    mParts.mSessions = &mSessions;
    mParts.mPoller = &mPoller;
    mParts.mEngines = &mEngines;
    mParts.mThreads = &mThreads;
    mParts.mCancelQueue = &mCancelQueue;
    mParts.mEventIds = &mEventIds;
    mParts.mJournal = mJournal.get();
    mParts.mMetrics = &mMetrics;
    mParts.mTracer = &mTracer;
    mParts.mExplainStore = &mExplainStore;
    mParts.mLifecycle = &mLifecycle;
  }

  void WaitForOpenRequests(Time aDeadline)
  {
    while (mApi->OpenRequestCount() > 0 &&
           std::chrono::steady_clock::now() < aDeadline) {
      std::this_thread::sleep_for(kStopPollInterval);
    }
  }

  schema::RouterSettings mSettings;
  std::string mIncarnation;
  RouterMetrics mMetrics;
  Tracer mTracer;
  ExplainStore mExplainStore;
  EventIdCodec mEventIds;
  SnapshotStore mSnapshots;
  ThreadPool mThreads;
  EngineHttp mEngines;
  TargetDirectory mTargets;
  TargetPoller mPoller;
  CancelQueue mCancelQueue;
  SessionRegistry mSessions;
  std::unique_ptr<PlatformHttp> mPlatform;
  std::unique_ptr<ConfigurationFollower> mFollower;
  std::unique_ptr<PeerLink> mPeerLink;
  std::unique_ptr<HostWatcher> mHostWatcher;
  std::unique_ptr<FenceService> mFenceService;
  std::unique_ptr<ClaimService> mClaims;
  std::unique_ptr<JournalWriter> mJournal;
  RouterLifecycle mLifecycle;
  RouterParts mParts;
  std::unique_ptr<CallerApi> mApi;
  EvictionLog mEvictionLog{ "callers" };
  HttpServer mServer;
};

Router::Router(schema::RouterSettings aSettings,
               const schema::Configuration& aConfiguration)
  : mImpl(std::make_unique<Impl>(std::move(aSettings), aConfiguration))
{
}

Router::~Router() = default;

std::optional<std::string>
Router::Start()
{
  return mImpl->Start();
}

void
Router::Stop()
{
  mImpl->Stop();
}

} // namespace quetzalquay
