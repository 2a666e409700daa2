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

// Time from the stop signal in which new requests are taken. The check that
// takes a host out of rotation runs once a second and has to fail twice; what
// is taken later might not end within the grace.
constexpr Duration kTakeTime = milliseconds(2600);

// Time before the end of the grace at which the process ends in any case.
constexpr Duration kStopMargin = milliseconds(400);

// Time between two looks at whether a stopping process has finished.
constexpr Duration kStopPause = milliseconds(100);

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
    , mSpread(mLoop, mSettings, mFleet)
    , mReadiness(mLoop,
                 [this](const HttpHead& aHead, const std::string&) {
                   return AnswerReadiness(aHead);
                 })
    , mMetricsServer(
        mLoop,
        [this](const HttpHead&, const std::string&) { return AnswerMetrics(); })
    , mSignals(mLoop.Context(), SIGTERM, SIGINT, SIGHUP)
    , mStopCheck(mLoop, [this] { CheckStop(); })
  {
  }

  std::optional<std::string> Run()
  {
    std::signal(SIGPIPE, SIG_IGN);
    for (const auto& problem : { mCallers.Open(mSettings.mCallers),
                                 mReadiness.Open(mSettings.mReadiness),
                                 mMetricsServer.Open(mSettings.mMetrics),
                                 mPeers.Start(),
                                 mSpread.Start() }) {
      if (problem) {
        return problem;
      }
    }
    AwaitSignal();
    mStore.Start();
    mStore.Announce(FormatHostRow(mSettings));
    Log(LogLevel::Info,
        "gateway",
        "started",
        { { "host", mSettings.mHost },
          { "place", mSettings.mPlace },
          { "callers", ToText(mSettings.mCallers) },
          { "store", ToText(mSettings.mStore) } });
    mLoop.Run();
    Log(LogLevel::Info,
        "gateway",
        "stopped",
        { { "open_requests", std::to_string(mCallers.Exchanges()) } });
    return std::nullopt;
  }

private:
  bool IsReady() const { return mFleet.IsReady() && !mCallers.IsDraining(); }

  SmallReply AnswerReadiness(const HttpHead& aHead) const
  {
    SmallReply reply;
    const bool known = aHead.mTarget == platform::kReadinessPath;
    reply.mStatus = known ? (IsReady() ? 200 : 503) : 404;
    return reply;
  }

  SmallReply AnswerMetrics()
  {
    const auto& routing = mFleet.Routing();
    mMetrics.Set(GatewayLevel::Exchanges, mCallers.Exchanges());
    mMetrics.Set(GatewayLevel::CallerConnections,
                 static_cast<double>(mCallers.Connections()));
    mMetrics.Set(GatewayLevel::TargetConnections,
                 static_cast<double>(mPool.Open()));
    mMetrics.Set(GatewayLevel::ConfigurationVersion,
                 routing == nullptr ? 0
                                    : static_cast<double>(routing->mVersion));
    mMetrics.Set(GatewayLevel::Targets,
                 static_cast<double>(mFleet.Targets().Subset().size()));
    mMetrics.Set(GatewayLevel::StoreAnswers,
                 mStore.LostSince() == Time::max() ? 1 : 0);
    mMetrics.Set(GatewayLevel::Ready, IsReady() ? 1 : 0);
    SmallReply reply;
    reply.mType = "text/plain; version=0.0.4";
    reply.mBody = mMetrics.Text();
    return reply;
  }

  void AwaitSignal()
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
        AwaitSignal();
      });
  }

  void Reload()
  {
    std::string reason;
    auto settings = LoadGatewaySettings(mSettingsFile, reason);
    if (!settings) {
      Log(LogLevel::Error,
          "gateway",
          "settings not reloaded",
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
    mTakeUntil = now + kTakeTime;
    mStopBy = now + mSettings.mStopGrace - kStopMargin;
    mCallers.Drain();
    mStore.Withdraw();
    Log(LogLevel::Info,
        "gateway",
        "stopping",
        { { "open_requests", std::to_string(mCallers.Exchanges()) } });
    mStopCheck.SetAt(std::min(mTakeUntil, mStopBy));
  }

  void CheckStop()
  {
    const Time now = EventLoop::Now();
    if (mCallers.IsTaking()) {
      mCallers.StopTaking();
      Log(LogLevel::Info,
          "gateway",
          "taking no more requests",
          { { "open_requests", std::to_string(mCallers.Exchanges()) } });
    }
    if (mCallers.Exchanges() == 0 || now >= mStopBy) {
      mCallers.Close();
      mLoop.Stop();
      return;
    }
    mStopCheck.SetAt(std::min(now + kStopPause, mStopBy));
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
  LoadSpread mSpread;
  SmallServer mReadiness;
  SmallServer mMetricsServer;
  boost::asio::signal_set mSignals;
  Alarm mStopCheck;
  Time mTakeUntil;
  Time mStopBy;
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
