#include "gateway/Gateway.h"

#include "core/Hash.h"
#include "gateway/CallerServer.h"
#include "gateway/Fleet.h"
#include "gateway/FormatLog.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/HostChecks.h"
#include "gateway/LeavingWatch.h"
#include "gateway/LimitWatch.h"
#include "gateway/LoadBroadcaster.h"
#include "gateway/PeerLink.h"
#include "gateway/Prober.h"
#include "gateway/ReachWatch.h"
#include "gateway/RetryLog.h"
#include "gateway/RolloutWatch.h"
#include "gateway/ServerDirectory.h"
#include "gateway/StoreWatch.h"
#include "gateway/StreamOriginStore.h"
#include "gateway/SuspectTrials.h"
#include "gateway/SuspectWriter.h"
#include "gateway/TargetConnection.h"
#include "gateway/WaitWatch.h"
#include "http/JsonText.h"
#include "http/ProcessLimits.h"
#include "observe/EvictionLog.h"
#include "observe/Log.h"
#include "platform/PlatformRequests.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <pthread.h>
#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Time after the stop signal during which new requests are still accepted. The
// readiness check that takes a host out of rotation runs once a second and has
// to fail twice. Requests accepted later might not finish within the grace
// period.
constexpr Duration kAcceptPeriod = milliseconds(2600);

// Time before the end of the grace period at which open requests are ended with
// a failure.
constexpr Duration kFailMargin = milliseconds(400);

// Time before the end of the grace period at which the process exits even if
// answers are still being sent.
constexpr Duration kForcedExitMargin = milliseconds(200);

// Interval at which a stopping process checks whether its requests have
// finished.
constexpr Duration kStopCheckInterval = milliseconds(100);

// Intervals at which a process tries again to listen on an address that is in
// use, tells of it, and tries again to serve metrics.
constexpr Duration kListenRetryInterval = milliseconds(100);
constexpr Duration kListenLogInterval = milliseconds(5000);
constexpr Duration kMetricsRetryInterval = milliseconds(2000);

// Connections for readiness checks, and for metrics.
constexpr std::size_t kMaxCheckConnections = 16;

// Connections of other hosts that ask for rows: at most, and as a part of the
// descriptors.
constexpr std::size_t kMaxPeerConnections = 200;
constexpr int kPeerConnectionsDivisor = 4;

// Interval at which the settings file is read. It may change without a signal,
// and changes of the configuration that depend on it have to be in force in
// time.
constexpr Duration kSettingsInterval = milliseconds(500);

// Suspects that are logged for one death of a target, and the lost runs from
// which on they are. Each request has parts, most of which are lost once.
constexpr std::size_t kMaxLoggedSuspects = 8;
constexpr int kMinLoggedLosses = 1;
constexpr int kMinLoggedPartLosses = 2;

} // namespace

class Gateway::Impl
{
public:
  Impl(GatewaySettings aSettings, std::string aSettingsFile)
    : mSettings(std::move(aSettings))
    , mSettingsFile(std::move(aSettingsFile))
    , mCheckedText(mSettings.mText)
    , mMetrics(mSettings.mHost)
    , mRetryLog(mMetrics)
    , mFormats(mMetrics)
    , mMemory(UsableMemory(mSettings.mMemoryMb))
    , mDescriptors(ObtainDescriptors(mSettings.mDescriptors))
    , mReplies(ReplyBufferLimit(mMemory))
    , mFleet(mLoop, mSettings)
    , mTargets(mFleet)
    , mAnswerBuffers(AnswerBufferLimit(mMemory))
    , mPool(mLoop, mTargets, mAnswerBuffers, mMetrics)
    , mProber(mLoop, mFleet, mPool)
    , mOriginStore(mLoop, mSettings, mFleet, mMetrics, mReplies)
    , mLimits(mFleet, mMetrics)
    , mLeaving(mFleet, mMetrics)
    , mWaits(mFleet, mMetrics)
    , mHosts(mFleet, mSettings.mRelayPort)
    , mHostPool(mLoop, mHosts, mAnswerBuffers, mMetrics)
    , mHostChecks(mLoop, mHosts, mReplies)
    , mContext{ mLoop,           mFleet,    mOriginStore,   mPool,  mProber,
                mMetrics,        mLimits,   mAnswerBuffers, mPaces, mNumberings,
                mSettings.mHost, mHostPool, mHostChecks }
    , mCallers(mContext, MaxConnections(mDescriptors))
    , mStore(mLoop, mSettings, mFleet, mReplies)
    , mSuspectWriter(mLoop, mSettings, mFleet, mReplies)
    , mSuspectTrials(mLoop, mSettings, mFleet, mMetrics, mReplies)
    , mPeers(mLoop, mSettings, mFleet, mStore, mReplies)
    , mLoadSender(mLoop, mSettings, mFleet, mLimits, mFormats)
    , mReach(mLoop, mFleet, mProber, mLoadSender, mMetrics)
    , mRollouts(mLoop, mSettings, mFleet, mLoadSender, mMetrics, mReplies)
    , mReadinessServer(
        mLoop,
        [this](const HttpHead& aHead, const std::string&) {
          return HandleReadiness(aHead);
        },
        kMaxCheckConnections)
    , mMetricsServer(
        mLoop,
        [this](const HttpHead&, const std::string&) { return HandleMetrics(); },
        kMaxCheckConnections)
    , mSignals(mLoop.Context(), SIGTERM, SIGINT, SIGHUP)
    , mStopTimer(mLoop, [this] { CheckStop(); })
    , mListenTimer(mLoop, [this] { Listen(); })
    , mMetricsTimer(mLoop, [this] { ListenForMetrics(); })
    , mSettingsTimer(mLoop, [this] { CheckSettings(); })
  {
    LimitMemory();
    LimitConnections();
    const auto logTo = [this](EvictionLog& aLog) {
      return [this, &aLog](ConnectionUse aUse, std::size_t aOpen) {
        mMetrics.Add(GatewayCounter::ConnectionsGivenUp);
        aLog.OnEviction(aUse, aOpen, EventLoop::Now());
      };
    };
    mReadinessServer.SetEvictionCallback(logTo(mReadinessEvictions));
    mMetricsServer.SetEvictionCallback(logTo(mMetricsEvictions));
    mPeers.SetEvictionCallback(logTo(mPeerEvictions));
    mReplies.SetGivenUpCallback(
      [this](ReplyKind aKind, const std::string& aServer, std::size_t aBytes) {
        mMetrics.Add(GatewayCounter::PlatformRepliesTooLarge);
        Log(LogLevel::Warn,
            "store",
            "gave up a reply that needs too much memory",
            { { "kind", NameOf(aKind) },
              { "server", aServer },
              { "bytes", std::to_string(aBytes) },
              { "all_replies", std::to_string(mReplies.Total()) },
              { "limit", std::to_string(mReplies.Limit()) } });
      });
    mFleet.SetUnreadableCallback(
      [this](const std::string& aHost, const std::string& aKind) {
        mFormats.OnUnreadable(aHost, aKind);
      });
    mFleet.Targets().SetDeathCallback(
      [this](const DeathReport& aDeath) { OnTargetDeath(aDeath); });
    mFleet.Targets().SetRetryCallback([this](const RetryDecision& aDecision) {
      mRetryLog.OnDecision(aDecision, EventLoop::Now());
    });
    mPool.SetAnswerCallback([this](const std::string& aTarget,
                                   const std::string& aIncarnation,
                                   const platform::TargetResponse& aResponse) {
      mLeaving.OnAnswer(aTarget, aIncarnation, aResponse);
      mWaits.OnAnswer(aTarget, aIncarnation, aResponse);
    });
  }

  std::optional<std::string> Run()
  {
    std::signal(SIGPIPE, SIG_IGN);
    // A limit on the size of the log's file makes writing fail.
    std::signal(SIGXFSZ, SIG_IGN);
    UnblockSignals();
    LogReplacedFields();
    WaitForSignal();
    mSettingsTimer.ScheduleAt(EventLoop::Now() + kSettingsInterval);
    Listen();
    if (!mStartProblem) {
      mLoop.Run();
    }
    if (!mStartProblem) {
      Log(LogLevel::Info,
          "gateway",
          "stopped",
          { { "open_requests", std::to_string(mCallers.ExchangeCount()) } });
    }
    return mStartProblem;
  }

private:
  // Listens on all addresses and starts to serve. An address may still belong
  // to the process that this one replaces, or to an outgoing connection of
  // another one, so it is tried again until it is free.
  void Listen()
  {
    const Endpoint relay(mSettings.mPeerEndpoint.address(),
                         mSettings.mRelayPort);
    auto failure = mReadinessServer.Open(mSettings.mReadinessEndpoint);
    if (!failure) {
      failure = mPeers.Listen();
    }
    if (!failure) {
      failure = mLoadSender.Listen();
    }
    if (!failure) {
      failure = mCallers.Open(mSettings.mCallerEndpoint, relay);
    }
    if (!failure && !mServing) {
      Serve();
    } else if (!failure) {
      mLoadSender.Start();
      Log(LogLevel::Info,
          "gateway",
          "listening",
          { { "callers", FormatEndpoint(mSettings.mCallerEndpoint) },
            { "readiness", FormatEndpoint(mSettings.mReadinessEndpoint) },
            { "peers", FormatEndpoint(mSettings.mPeerEndpoint) } });
    } else if (failure->mAddressInUse || mServing) {
      OnNotListening(*failure);
      mListenTimer.ScheduleAt(EventLoop::Now() + kListenRetryInterval);
    } else {
      mStartProblem = failure->mMessage;
      mLoop.Stop();
    }
  }

  void OnNotListening(const ListenFailure& aFailure)
  {
    const Time now = EventLoop::Now();
    if (now >= mNextListenLogAt) {
      mNextListenLogAt = now + kListenLogInterval;
      Log(LogLevel::Warn,
          "gateway",
          "waiting for an address",
          { { "reason", aFailure.mMessage } });
    }
  }

  void Serve()
  {
    mServing = true;
    ListenForMetrics();
    mPeers.Start();
    mLoadSender.Start();
    mStore.Start();
    mStore.RegisterHost(FormatHostRow(mSettings));
    Log(LogLevel::Info,
        "gateway",
        "started",
        { { "host", mSettings.mHost },
          { "place", mSettings.mPlace },
          { "memory", std::to_string(mMemory) },
          { "answer_bytes", std::to_string(mAnswerBuffers.Limit()) },
          { "descriptors", std::to_string(mDescriptors) },
          { "link_mbps", std::to_string(mSettings.mLinkMbps) },
          { "stop_grace_ms",
            std::to_string(
              static_cast<int>(ToMilliseconds(mSettings.mStopGrace))) },
          { "callers", FormatEndpoint(mSettings.mCallerEndpoint) },
          { "store", FormatEndpoint(mSettings.mStoreEndpoint) } });
  }

  // Serves no metrics while the address cannot be listened on: callers don't
  // depend on them.
  void ListenForMetrics()
  {
    if (!mSettings.mMetricsEndpoint) {
      return;
    }
    const auto failure = mMetricsServer.Open(*mSettings.mMetricsEndpoint);
    if (!failure) {
      if (mMetricsFailureLogged) {
        Log(LogLevel::Info, "gateway", "metrics are served");
      }
      return;
    }
    if (!std::exchange(mMetricsFailureLogged, true)) {
      Log(LogLevel::Warn,
          "gateway",
          "metrics are not served",
          { { "reason", failure->mMessage } });
    }
    mMetricsTimer.ScheduleAt(EventLoop::Now() + kMetricsRetryInterval);
  }

  void LogReplacedFields() const
  {
    for (const std::string& it : mSettings.mReplacedFields) {
      Log(LogLevel::Warn, "gateway", "field replaced", { { "field", it } });
    }
  }

  bool IsReady() const { return mFleet.IsReady() && !mCallers.IsDraining(); }

  SimpleHttpReply HandleReadiness(const HttpHead& aHead) const
  {
    SimpleHttpReply reply;
    const bool known = aHead.mTarget == platform::kReadinessPath;
    reply.mStatus = known ? (IsReady() ? 200 : 503) : 404;
    return reply;
  }

  SimpleHttpReply HandleMetrics()
  {
    const auto& routing = mFleet.Routing();
    const std::uint64_t dropped = DroppedLogLines();
    mMetrics.Add(GatewayCounter::DroppedLogLines,
                 static_cast<double>(dropped - mCountedDroppedLines));
    mCountedDroppedLines = dropped;
    mMetrics.Set(GatewayGauge::Exchanges, mCallers.ExchangeCount());
    mMetrics.Set(GatewayGauge::CallerConnections,
                 static_cast<double>(mCallers.ConnectionCount()));
    mMetrics.Set(GatewayGauge::TargetConnections,
                 static_cast<double>(mPool.OpenConnectionCount()));
    mMetrics.Set(GatewayGauge::ConfigurationVersion,
                 routing == nullptr ? 0
                                    : static_cast<double>(routing->mVersion));
    mMetrics.Set(GatewayGauge::ConfigurationConfirmed,
                 mFleet.IsConfigurationConfirmed(EventLoop::Now()) ? 1 : 0);
    mMetrics.Set(GatewayGauge::Targets,
                 static_cast<double>(mFleet.Targets().Subset().size()));
    mMetrics.Set(GatewayGauge::StoreReachable,
                 mStore.UnreachableSince() == Time::max() ? 1 : 0);
    mMetrics.Set(GatewayGauge::StoreEras,
                 static_cast<double>(mFleet.ErasBegun()));
    mMetrics.Set(GatewayGauge::Ready, IsReady() ? 1 : 0);
    mMetrics.Set(
      GatewayGauge::WaitingTargets,
      static_cast<double>(mFleet.Targets().Waits().Count(EventLoop::Now())));
    mMetrics.Set(GatewayGauge::LimitedTargets,
                 static_cast<double>(mFleet.Targets().Limits().Count()));
    mMetrics.Set(GatewayGauge::BrittleTargets,
                 static_cast<double>(mFleet.Targets().Room().Count()));
    SuspectRegistry& suspects = mFleet.Targets().Suspects();
    suspects.Expire(EventLoop::Now());
    mMetrics.Set(GatewayGauge::Suspects, static_cast<double>(suspects.Size()));
    SimpleHttpReply reply;
    reply.mContentType = "text/plain; version=0.0.4";
    reply.mBody = mMetrics.Serialize();
    return reply;
  }

  void OnTargetDeath(const DeathReport& aDeath)
  {
    mMetrics.Add(GatewayCounter::TargetDeaths);
    Log(LogLevel::Info,
        "fleet",
        "target died",
        { { "target", aDeath.mTarget },
          { "incarnation", aDeath.mIncarnation },
          { "evidence",
            std::string(kDeathEvidenceNames.NameOf(aDeath.mEvidence)) },
          { "lost_requests", std::to_string(aDeath.mRequests.size()) } });
    std::size_t logged = 0;
    for (const RequestContent& it : aDeath.mRequests) {
      if (logged >= kMaxLoggedSuspects) {
        break;
      }
      logged += LogSuspect("request suspected of crashing targets",
                           it.mHash,
                           kMinLoggedLosses,
                           it,
                           aDeath);
      for (const std::uint64_t part : it.mParts) {
        logged += LogSuspect("prompt part suspected of crashing targets",
                             part,
                             kMinLoggedPartLosses,
                             it,
                             aDeath);
      }
    }
  }

  // Logs what is known against a suspect that was lost with a request, if it
  // has lost enough runs. Returns whether it has.
  bool LogSuspect(const char* aMessage,
                  std::uint64_t aSuspect,
                  int aMinLosses,
                  const RequestContent& aRequest,
                  const DeathReport& aDeath)
  {
    const SuspectEvidence evidence =
      mFleet.Targets().Suspects().EvidenceOf(aSuspect, EventLoop::Now());
    if (evidence.mLostRuns < aMinLosses) {
      return false;
    }
    Log(LogLevel::Info,
        "fleet",
        aMessage,
        { { "suspect", ToHex(aSuspect) },
          { "content", ToHex(aRequest.mHash) },
          { "lost_runs", std::to_string(evidence.mLostRuns) },
          { "deaths", std::to_string(evidence.mCounted) },
          { "common_failures", std::to_string(evidence.mCommonFailures) },
          { "explained", std::to_string(evidence.mExplained) },
          { "tied", evidence.mContested ? "true" : "false" },
          { "target", aDeath.mTarget } });
    return true;
  }

  // The process that started this one may have blocked signals, which is
  // inherited, and those that are handled here are held back until now.
  static void UnblockSignals()
  {
    sigset_t all;
    ::sigfillset(&all);
    ::pthread_sigmask(SIG_UNBLOCK, &all, nullptr);
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
        } else if (!mServing) {
          mLoop.Stop();
        } else if (!mCallers.IsDraining()) {
          BeginStop();
        }
        WaitForSignal();
      });
  }

  // Applies the settings file if it has changed without a signal.
  void CheckSettings()
  {
    mSettingsTimer.ScheduleAt(EventLoop::Now() + kSettingsInterval);
    std::string reason;
    const auto text = ReadSettingsFile(mSettingsFile, reason);
    if (text.value_or(reason) != mCheckedText) {
      Reload();
    }
  }

  void Reload()
  {
    std::string reason;
    auto text = ReadSettingsFile(mSettingsFile, reason);
    mCheckedText = text.value_or(reason);
    auto settings = text ? ParseGatewaySettings(*text, reason) : std::nullopt;
    if (!settings) {
      Log(LogLevel::Error,
          "gateway",
          "reloading the settings failed",
          { { "file", mSettingsFile }, { "reason", reason } });
      return;
    }
    KeepIdentity(*settings);
    const GatewaySettings former =
      std::exchange(mSettings, std::move(*settings));
    LogReplacedFields();
    Log(LogLevel::Info,
        "gateway",
        "settings reloaded",
        { { "changed", former.mText == mSettings.mText ? "false" : "true" },
          { "store", FormatEndpoint(mSettings.mStoreEndpoint) },
          { "callers", FormatEndpoint(mSettings.mCallerEndpoint) },
          { "memory_mb", std::to_string(mSettings.mMemoryMb) } });
    ApplySettings(former);
  }

  // The name and the place of a process are known to all hosts and stay what
  // they were at its start.
  void KeepIdentity(GatewaySettings& aSettings) const
  {
    const auto keep =
      [](const char* aField, const std::string& aKept, std::string& aValue) {
        if (aValue != aKept) {
          Log(LogLevel::Warn,
              "gateway",
              "a changed field needs a restart",
              { { "field", aField }, { "kept", aKept }, { "read", aValue } });
          aValue = aKept;
        }
      };
    keep("host", mSettings.mHost, aSettings.mHost);
    keep("place", mSettings.mPlace, aSettings.mPlace);
    keep("region", mSettings.mRegion, aSettings.mRegion);
  }

  void LimitConnections()
  {
    mPeers.SetMaxConnections(std::min(
      kMaxPeerConnections,
      static_cast<std::size_t>(mDescriptors / kPeerConnectionsDivisor)));
  }

  void ApplySettings(const GatewaySettings& aFormer)
  {
    SetLogLevel(mSettings.mLogLevel);
    mFleet.Configure(mSettings);
    mPeers.Configure(mSettings);
    mLoadSender.Configure(mSettings);
    mRollouts.Configure(mSettings);
    mHosts.SetRelayPort(mSettings.mRelayPort);
    if (mSettings.mMemoryMb != aFormer.mMemoryMb) {
      mMemory = UsableMemory(mSettings.mMemoryMb);
      LimitMemory();
    }
    if (mSettings.mDescriptors != aFormer.mDescriptors) {
      mDescriptors = ObtainDescriptors(mSettings.mDescriptors);
      mCallers.SetMaxConnections(MaxConnections(mDescriptors));
      LimitConnections();
    }
    if (mSettings.mStoreEndpoint != aFormer.mStoreEndpoint) {
      mStore.SetStore(mSettings.mStoreEndpoint);
      mSuspectWriter.SetStore(mSettings.mStoreEndpoint);
      mSuspectTrials.SetStore(mSettings.mStoreEndpoint);
      mOriginStore.SetStore(mSettings.mStoreEndpoint);
    }
    if (!mServing) {
      // Listen() tries the new addresses.
      return;
    }
    mStore.RegisterHost(FormatHostRow(mSettings));
    if (!mCallers.IsDraining() && ListensElsewhere(aFormer)) {
      Listen();
      ListenForMetrics();
    }
  }

  // Whether the addresses to listen on differ from earlier ones.
  bool ListensElsewhere(const GatewaySettings& aFormer) const
  {
    return mSettings.mCallerEndpoint != aFormer.mCallerEndpoint ||
           mSettings.mReadinessEndpoint != aFormer.mReadinessEndpoint ||
           mSettings.mPeerEndpoint != aFormer.mPeerEndpoint ||
           mSettings.mRelayPort != aFormer.mRelayPort ||
           mSettings.mLoadPort != aFormer.mLoadPort ||
           mSettings.mMetricsEndpoint != aFormer.mMetricsEndpoint;
  }

  // Goes by the memory that the process may use.
  void LimitMemory()
  {
    mReplies.SetLimit(ReplyBufferLimit(mMemory));
    mAnswerBuffers.SetLimit(AnswerBufferLimit(mMemory));
    LimitJsonMemory(JsonMemoryLimit(mMemory), [this](std::size_t aBytes) {
      mMetrics.Add(GatewayCounter::PlatformRepliesTooLarge);
      Log(LogLevel::Warn,
          "store",
          "gave up a text that needs too much memory once parsed",
          { { "bytes", std::to_string(aBytes) } });
    });
  }

  void BeginStop()
  {
    const Time now = EventLoop::Now();
    mAcceptUntil = now + kAcceptPeriod;
    mFailAt = now + mSettings.mStopGrace - kFailMargin;
    mExitAt = now + mSettings.mStopGrace - kForcedExitMargin;
    // A new address is not listened on any more.
    mListenTimer.Clear();
    mCallers.Drain();
    mStore.DeregisterHost();
    Log(LogLevel::Info,
        "gateway",
        "stopping",
        { { "open_requests", std::to_string(mCallers.ExchangeCount()) } });
    mStopTimer.ScheduleAt(std::min(mAcceptUntil, mFailAt));
  }

  void CheckStop()
  {
    const Time now = EventLoop::Now();
    if (mCallers.IsAcceptingRequests()) {
      mCallers.StopAcceptingRequests();
      Log(LogLevel::Info,
          "gateway",
          "no longer accepting requests",
          { { "open_requests", std::to_string(mCallers.ExchangeCount()) } });
    }
    if (now >= mFailAt) {
      if (mCallers.ExchangeCount() > 0) {
        Log(LogLevel::Warn,
            "gateway",
            "ending open requests",
            { { "open_requests", std::to_string(mCallers.ExchangeCount()) } });
      }
      mCallers.FailRequests();
    }
    if (!mCallers.IsBusy()) {
      mCallers.StopListening();
    }
    if (mCallers.ConnectionCount() == 0 || now >= mExitAt) {
      mCallers.Close();
      mLoop.Stop();
      return;
    }
    mStopTimer.ScheduleAt(
      std::min(now + kStopCheckInterval, now < mFailAt ? mFailAt : mExitAt));
  }

  GatewaySettings mSettings;
  std::string mSettingsFile;
  // Text of the settings file when it was last read, or why it could not be.
  std::string mCheckedText;
  EventLoop mLoop;
  GatewayMetrics mMetrics;
  RetryLog mRetryLog;
  FormatLog mFormats;
  // Bytes of memory and descriptors that the process may use.
  std::size_t mMemory;
  int mDescriptors;
  ReplyBuffers mReplies;
  Fleet mFleet;
  TargetDirectory mTargets;
  AnswerBuffers mAnswerBuffers;
  TargetConnectionPool mPool;
  Prober mProber;
  std::map<std::string, StreamPace> mPaces;
  std::map<std::string, EventNumbering> mNumberings;
  StreamOriginStore mOriginStore;
  LimitWatch mLimits;
  LeavingWatch mLeaving;
  WaitWatch mWaits;
  HostDirectory mHosts;
  TargetConnectionPool mHostPool;
  HostChecks mHostChecks;
  GatewayContext mContext;
  CallerServer mCallers;
  StoreWatch mStore;
  SuspectWriter mSuspectWriter;
  SuspectTrials mSuspectTrials;
  PeerLink mPeers;
  LoadBroadcaster mLoadSender;
  ReachWatch mReach;
  RolloutWatch mRollouts;
  EvictionLog mReadinessEvictions{ "readiness" };
  EvictionLog mMetricsEvictions{ "metrics" };
  EvictionLog mPeerEvictions{ "peers" };
  SimpleHttpServer mReadinessServer;
  SimpleHttpServer mMetricsServer;
  boost::asio::signal_set mSignals;
  // Dropped lines of the log that the metrics have.
  std::uint64_t mCountedDroppedLines = 0;
  // Whether all addresses that callers depend on are listened on.
  bool mServing = false;
  // Why the process cannot serve.
  std::optional<std::string> mStartProblem;
  Time mNextListenLogAt;
  bool mMetricsFailureLogged = false;
  Timer mStopTimer;
  Timer mListenTimer;
  Timer mMetricsTimer;
  Timer mSettingsTimer;
  Time mAcceptUntil;
  Time mFailAt;
  Time mExitAt;
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
