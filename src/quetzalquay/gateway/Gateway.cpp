#include "gateway/Gateway.h"

#include "gateway/CallerConnection.h"
#include "gateway/Fleet.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/LoadSpread.h"
#include "gateway/PeerLink.h"
#include "gateway/Prober.h"
#include "gateway/StoreWatch.h"
#include "gateway/TargetConnection.h"
#include "observe/Log.h"
#include "platform/PlatformRequests.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Time after the stop signal during which new requests are still accepted. The
// readiness check that takes a host out of rotation runs once a second and has
// to fail twice. Requests accepted later might not finish within the grace
// period.
constexpr Duration kAcceptPeriod = milliseconds(2600);

// Time before the end of the grace period at which the process exits even if
// requests are still open.
constexpr Duration kForcedExitMargin = milliseconds(400);

// Interval at which a stopping process checks whether its requests have
// finished.
constexpr Duration kStopCheckInterval = milliseconds(100);

} // namespace

class Gateway::Impl
{
public:
  Impl(GatewaySettings aSettings, std::string aSettingsFile)
    : mSettings(std::move(aSettings))
    , mSettingsFile(std::move(aSettingsFile))
    , mMetrics(mSettings.mHost)
    , mFleet(mLoop, mSettings)
    , mPool(mLoop, mFleet)
    , mProber(mLoop, mFleet, mPool)
    , mParts{ mLoop, mFleet, mPool, mProber, mMetrics, mPaces }
    , mCallers(mParts, mSettings.mMaxConnections)
    , mStore(mLoop, mSettings, mFleet)
    , mPeers(mLoop, mSettings, mFleet, mStore)
    , mLoadSender(mLoop, mSettings, mFleet)
    , mReadinessServer(mLoop,
                       [this](const HttpHead& aHead, const std::string&) {
                         return HandleReadiness(aHead);
                       })
    , mMetricsServer(
        mLoop,
        [this](const HttpHead&, const std::string&) { return HandleMetrics(); })
    , mSignals(mLoop.Context(), SIGTERM, SIGINT, SIGHUP)
    , mStopTimer(mLoop, [this] { CheckStop(); })
  {
  }

  std::optional<std::string> Run()
  {
    std::signal(SIGPIPE, SIG_IGN);
    for (const auto& problem :
         { mCallers.Open(mSettings.mCallerEndpoint),
           mReadinessServer.Open(mSettings.mReadinessEndpoint),
           mMetricsServer.Open(mSettings.mMetricsEndpoint),
           mPeers.Start(),
           mLoadSender.Start() }) {
      if (problem) {
        return problem;
      }
    }
    WaitForSignal();
    mStore.Start();
    mStore.RegisterHost(FormatHostRow(mSettings));
    Log(LogLevel::Info,
        "gateway",
        "started",
        { { "host", mSettings.mHost },
          { "place", mSettings.mPlace },
          { "callers", ToText(mSettings.mCallerEndpoint) },
          { "store", ToText(mSettings.mStoreEndpoint) } });
    mLoop.Run();
    Log(LogLevel::Info,
        "gateway",
        "stopped",
        { { "open_requests", std::to_string(mCallers.Exchanges()) } });
    return std::nullopt;
  }

private:
  bool IsReady() const { return mFleet.IsReady() && !mCallers.IsDraining(); }

  SmallReply HandleReadiness(const HttpHead& aHead) const
  {
    SmallReply reply;
    const bool known = aHead.mTarget == platform::kReadinessPath;
    reply.mStatus = known ? (IsReady() ? 200 : 503) : 404;
    return reply;
  }

  SmallReply HandleMetrics()
  {
    const auto& routing = mFleet.Routing();
    mMetrics.Set(GatewayGauge::Exchanges, mCallers.Exchanges());
    mMetrics.Set(GatewayGauge::CallerConnections,
                 static_cast<double>(mCallers.Connections()));
    mMetrics.Set(GatewayGauge::TargetConnections,
                 static_cast<double>(mPool.Open()));
    mMetrics.Set(GatewayGauge::ConfigurationVersion,
                 routing == nullptr ? 0
                                    : static_cast<double>(routing->mVersion));
    mMetrics.Set(GatewayGauge::Targets,
                 static_cast<double>(mFleet.Targets().Subset().size()));
    mMetrics.Set(GatewayGauge::StoreAnswers,
                 mStore.UnreachableSince() == Time::max() ? 1 : 0);
    mMetrics.Set(GatewayGauge::Ready, IsReady() ? 1 : 0);
    SmallReply reply;
    reply.mType = "text/plain; version=0.0.4";
    reply.mBody = mMetrics.Serialize();
    return reply;
  }

  void WaitForSignal()
  {
    mSignals.async_wait(
      [this](const boost::system::error_code& aError, int aSignal) {
        if (aError) {
          return;
        }
        if (aSignal == SIGHUP) {
          Reload();
        } else if (!mCallers.IsDraining()) {
          BeginStop();
        }
        WaitForSignal();
      });
  }

  void Reload()
  {
    std::string reason;
    auto settings = LoadGatewaySettings(mSettingsFile, reason);
    if (!settings) {
      Log(LogLevel::Error,
          "gateway",
          "reloading the settings failed",
          { { "reason", reason } });
      return;
    }
    mSettings = std::move(*settings);
    mFleet.Configure(mSettings);
    mPeers.Configure(mSettings);
    Log(LogLevel::Info, "gateway", "settings reloaded");
  }

  void BeginStop()
  {
    const Time now = EventLoop::Now();
    mAcceptUntil = now + kAcceptPeriod;
    mStopDeadline = now + mSettings.mStopGrace - kForcedExitMargin;
    mCallers.Drain();
    mStore.DeregisterHost();
    Log(LogLevel::Info,
        "gateway",
        "stopping",
        { { "open_requests", std::to_string(mCallers.Exchanges()) } });
    mStopTimer.SetAt(std::min(mAcceptUntil, mStopDeadline));
  }

  void CheckStop()
  {
    const Time now = EventLoop::Now();
    if (mCallers.IsTaking()) {
      mCallers.StopTaking();
      Log(LogLevel::Info,
          "gateway",
          "no longer accepting requests",
          { { "open_requests", std::to_string(mCallers.Exchanges()) } });
    }
    if (mCallers.Exchanges() == 0 || now >= mStopDeadline) {
      mCallers.Close();
      mLoop.Stop();
      return;
    }
    mStopTimer.SetAt(std::min(now + kStopCheckInterval, mStopDeadline));
  }

  GatewaySettings mSettings;
  std::string mSettingsFile;
  EventLoop mLoop;
  GatewayMetrics mMetrics;
  Fleet mFleet;
  TargetPool mPool;
  Prober mProber;
  std::map<std::string, StreamPace> mPaces;
  GatewayParts mParts;
  CallerServer mCallers;
  StoreWatch mStore;
  PeerLink mPeers;
  LoadSpread mLoadSender;
  SmallServer mReadinessServer;
  SmallServer mMetricsServer;
  boost::asio::signal_set mSignals;
  Alarm mStopTimer;
  Time mAcceptUntil;
  Time mStopDeadline;
};

Gateway::Gateway(GatewaySettings aSettings, std::string aSettingsFile)
  : mImpl(
      std::make_unique<Impl>(std::move(aSettings), std::move(aSettingsFile)))
{
}

Gateway::~Gateway() = default;

std::optional<std::string>
Gateway::Run()
{
  return mImpl->Run();
}

} // namespace quetzalquay
