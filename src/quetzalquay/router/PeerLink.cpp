#include "router/PeerLink.h"

#include "config/Snapshot.h"
#include "config/SnapshotStore.h"
#include "core/Hash.h"
#include "generated/messages.pb.h"
#include "observe/RouterMetrics.h"
#include "router/CallerApi.h"
#include "router/ConfigurationFollower.h"
#include "router/TargetDirectory.h"
#include "wire/Json.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <utility>

namespace quetzalquay {

namespace {

constexpr Duration kCallTimeout = std::chrono::milliseconds(500);

constexpr std::size_t kMaxPeerConnections = 32;
constexpr std::size_t kMaxMessageBytes = 16U << 20;

HttpServer::Options
ServerOptions()
{
  HttpServer::Options options;
  options.mMaxConnections = kMaxPeerConnections;
  options.mMaxBodyBytes = kMaxMessageBytes;
  return options;
}

Time
Now()
{
  return std::chrono::steady_clock::now();
}

std::uint64_t
ParseHash(const std::string& aText)
{
  return std::strtoull(aText.c_str(), nullptr, 16);
}

Time
TimeBefore(Time aNow, double aMilliseconds)
{
  return aNow - std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double, std::milli>(aMilliseconds));
}

void
AddSuspect(const SuspectReport& aReport,
           int aDeaths,
           Time aNow,
           schema::PeerNews& aNews)
{
  auto* suspect = aNews.add_suspects();
  suspect->set_content_hash(ToHex(aReport.mSuspect));
  suspect->set_deaths(aDeaths);
  for (const LostRun& it : aReport.mRuns) {
    auto* run = suspect->add_lost_runs();
    run->set_death(ToHex(it.mDeath.mId));
    run->set_place(ToHex(it.mDeath.mPlace));
    run->set_started_ms_ago(ToMilliseconds(aNow - it.mStartedAt));
    run->set_died_ms_ago(ToMilliseconds(aNow - it.mDeath.mAt));
  }
  if (aReport.mClearedAt) {
    suspect->set_cleared_ms_ago(ToMilliseconds(aNow - *aReport.mClearedAt));
  }
}

SuspectReport
ReadSuspect(const schema::SuspectEntry& aEntry, Time aNow)
{
  SuspectReport report;
  report.mSuspect = ParseHash(aEntry.content_hash());
  for (const auto& it : aEntry.lost_runs()) {
    LostRun run;
    run.mDeath.mId = ParseHash(it.death());
    run.mDeath.mPlace = ParseHash(it.place());
    run.mDeath.mAt = TimeBefore(aNow, it.died_ms_ago());
    run.mStartedAt = TimeBefore(aNow, it.started_ms_ago());
    report.mRuns.push_back(run);
  }
  if (aEntry.has_cleared_ms_ago()) {
    report.mClearedAt = TimeBefore(aNow, aEntry.cleared_ms_ago());
  }
  return report;
}

} // namespace

PeerLink::PeerLink(const schema::RouterSettings& aSettings,
                   const std::string& aIncarnation,
                   ConfigurationFollower& aFollower,
                   const SnapshotStore& aSnapshots,
                   TargetDirectory& aTargets,
                   RouterMetrics& aMetrics)
  : mSettings(aSettings)
  , mIncarnation(aIncarnation)
  , mFollower(aFollower)
  , mSnapshots(aSnapshots)
  , mTargets(aTargets)
  , mMetrics(aMetrics)
  , mRpc([this](const std::string& aNews) { return OnExchange(aNews); })
  , mServer(ServerOptions())
  , mNextPeer(StableHash(aIncarnation))
{
}

std::optional<std::string>
PeerLink::Start()
{
  if (mSettings.has_peer_listen()) {
    mServer.Route("POST",
                  "/rpc",
                  [this](const HttpRequest& aRequest, HttpResponse& aResponse) {
                    aResponse.mBody = mRpc.HandleRequest(aRequest.mBody);
                  });
    mServer.SetEvictionHandler([this](ConnectionUse aUse, std::size_t aOpen) {
      mMetrics.Add(RouterCounter::ConnectionsGivenUp);
      mEvictionLog.OnEviction(aUse, aOpen, Now());
    });
    const auto& listen = mSettings.peer_listen();
    if (!mServer.Start(listen.address(), listen.port())) {
      return "peer_listen: cannot bind port " + std::to_string(listen.port());
    }
  }
  if (mSettings.peers_size() > 0) {
    mThread.Start(std::chrono::milliseconds(mSettings.peer_interval_ms()),
                  [this] { RunRound(); });
  }
  return std::nullopt;
}

void
PeerLink::Stop()
{
  mThread.Stop();
  mServer.Stop();
}

void
PeerLink::RunRound()
{
  const auto size = static_cast<std::size_t>(mSettings.peers_size());
  const auto fanout = static_cast<std::size_t>(mSettings.peer_fanout());
  for (std::size_t n = 0; n < std::min(fanout, size); ++n) {
    mNextPeer = (mNextPeer + 1) % size;
    ExchangeWith(mSettings.peers(static_cast<int>(mNextPeer)));
  }
}

void
PeerLink::ExchangeWith(const schema::Peer& aPeer)
{
  const PeerTransport transport = [this, &aPeer](const std::string& aRequest,
                                                 std::string& aResponse) {
    HttpCallSpec spec;
    spec.mMethod = "POST";
    spec.mPath = "/rpc";
    spec.mBody = aRequest;
    spec.mConnectTimeout = kCallTimeout;
    spec.mReadTimeout = kCallTimeout;
    HttpCall call(
      HttpAddress{ aPeer.endpoint().address(), aPeer.endpoint().port() });
    HttpResult result = call.Run(spec);
    aResponse = std::move(result.mBody);
    mMetrics.Add(RouterCounter::PeerBytes,
                 static_cast<double>(aRequest.size() + aResponse.size()));
    return result.mOutcome == HttpOutcome::Answered && result.mStatus == 200;
  };
  std::string response;
  std::string reason;
  if (!CallPeerExchange(
        transport, ToCompactJson(CollectNews()), response, reason)) {
    return;
  }
  schema::PeerNews news;
  if (!ParseJson(response, UnknownFields::Ignore, news)) {
    ApplyNews(news);
  }
}

std::string
PeerLink::OnExchange(const std::string& aNews)
{
  schema::PeerNews news;
  if (ParseJson(aNews, UnknownFields::Ignore, news)) {
    return "{}";
  }
  ApplyNews(news);
  schema::PeerNews own = CollectNews();
  if (news.revision() < own.revision()) {
    const SnapshotReader snapshot(mSnapshots);
    own.set_configuration(ToCompactJson(snapshot->DeclaredResources()));
  }
  return ToCompactJson(own);
}

schema::PeerNews
PeerLink::CollectNews()
{
  schema::PeerNews news;
  news.set_from(mSettings.name());
  news.set_incarnation(mIncarnation);
  news.set_revision(mSnapshots.Revision());
  news.set_store_reached(mFollower.HasReadStoreRecently());
  mTargets.WithLock([&news](TargetTable& aTable) {
    for (const auto& it : aTable.LeavingTargets()) {
      auto* leaving = news.add_leaving();
      leaving->set_target(it.mTarget);
      leaving->set_incarnation(it.mIncarnation);
    }
    const Time now = Now();
    for (const auto& it : aTable.Suspects().Reports(now)) {
      AddSuspect(it, aTable.Suspects().Deaths(it.mSuspect, now), now, news);
    }
  });
  if (mApi != nullptr) {
    for (const auto& it : mApi->OwnDemand()) {
      auto* demand = news.add_demand();
      demand->set_workspace(it.mWorkspace);
      demand->set_demand(it.mRate);
    }
  }
  return news;
}

void
PeerLink::ApplyNews(const schema::PeerNews& aNews)
{
  if (!aNews.configuration().empty()) {
    mFollower.ApplyFromPeer(aNews.configuration());
  }
  mFollower.OnPeerReport(aNews.from(), aNews.revision(), aNews.store_reached());
  if (aNews.revision() > mSnapshots.Revision()) {
    mFollower.TriggerRead();
  }
  if (mApi != nullptr) {
    std::map<std::string, double> demand;
    for (const auto& it : aNews.demand()) {
      demand[it.workspace()] = it.demand();
    }
    mApi->OnPeerDemand(aNews.from(), demand);
  }
  mTargets.WithLock([&aNews](TargetTable& aTable) {
    for (const auto& it : aNews.leaving()) {
      aTable.MarkLeaving(it.target(), it.incarnation());
    }
    const Time now = Now();
    for (const auto& it : aNews.suspects()) {
      aTable.Suspects().Merge(ReadSuspect(it, now), false, now);
    }
  });
}

} // namespace quetzalquay
