#include "gateway/LoadBroadcaster.h"

#include "core/Hash.h"
#include "gateway/LoadMessages.h"
#include "gateway/PeerLink.h"
#include "gateway/ReachMessages.h"
#include "http/JsonText.h"
#include "observe/Log.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <utility>

namespace quetzalquay {

namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;

// Delay after a load change, so that several changes share one message.
constexpr Duration kBatchDelay = milliseconds(40);

// Interval at which an unchanged load is sent again.
constexpr Duration kResendInterval = milliseconds(1000);

// Time after the start, or the beginning of an era of the store, in which a
// host announces itself, long enough for all hosts to have read the hosts
// table.
constexpr Duration kAnnounceTime = milliseconds(6000);

// Delay of the first announcement, by which this host has usually read the
// hosts table.
constexpr Duration kFirstAnnounceDelay = milliseconds(300);

// Deaths from which on a suspect reported by another host is logged.
constexpr int kMinLoggedDeaths = 2;

// Origins in one datagram, which stays below the usual packet size, and
// datagrams with origins in one round.
constexpr std::size_t kOriginsPerDatagram = 24;
constexpr int kOriginDatagrams = 8;

using Writer = MessageWriter;

constexpr char kSenderKind[] = "sender";

constexpr char kRolloutReports[] = "rollout_reports";
constexpr char kRollouts[] = "rollouts";

void
WriteSuspects(Writer& aWriter,
              const std::vector<SuspectReport>& aReports,
              Time aNow)
{
  aWriter.Key("suspects");
  aWriter.StartArray();
  for (const SuspectReport& it : aReports) {
    WriteSuspectEntry(aWriter, it, aNow);
  }
  aWriter.EndArray();
}

void
WriteConvictions(Writer& aWriter,
                 const std::vector<ConvictionReport>& aReports,
                 Time aNow)
{
  if (aReports.empty()) {
    return;
  }
  aWriter.Key("convicted");
  aWriter.StartArray();
  for (const ConvictionReport& it : aReports) {
    WriteConvictionEntry(aWriter, it, aNow);
  }
  aWriter.EndArray();
}

} // namespace

LoadBroadcaster::LoadBroadcaster(EventLoop& aLoop,
                                 const GatewaySettings& aSettings,
                                 Fleet& aFleet,
                                 LimitWatch& aLimits,
                                 FormatLog& aFormats)
  : mSettings(aSettings)
  , mFleet(aFleet)
  , mLimits(aLimits)
  , mFormats(aFormats)
  , mSocket(aLoop.Context())
  , mSendTimer(aLoop, [this] { SendMessage(); })
  , mRoomTimer(aLoop, [this] { SendRoomMessages(); })
  , mRandom(StableHash(aSettings.mHost))
{
  // Of hosts that read the store themselves, which ask no other one, some may
  // have read it too late to notice that it has returned.
  mFleet.AddEraCallback([this] {
    const Time now = EventLoop::Now();
    mAnnounceUntil = now + kAnnounceTime;
    SendBy(now);
  });
}

std::optional<ListenFailure>
LoadBroadcaster::Listen()
{
  if (mSettings.mLoadPort == 0 || mSocket.is_open()) {
    return std::nullopt;
  }
  const udp::endpoint at(mSettings.mPeerEndpoint.address(),
                         mSettings.mLoadPort);
  boost::system::error_code ec;
  mSocket.open(udp::v4(), ec);
  if (!ec) {
    mSocket.bind(at, ec);
  }
  if (!ec) {
    mSocket.non_blocking(true, ec);
  }
  if (ec) {
    boost::system::error_code ignored;
    mSocket.close(ignored);
    return MakeListenFailure(
      at.address().to_string() + ":" + std::to_string(at.port()), ec);
  }
  return std::nullopt;
}

void
LoadBroadcaster::Configure(const GatewaySettings& aSettings)
{
  const bool moves =
    aSettings.mLoadPort != mSettings.mLoadPort ||
    aSettings.mPeerEndpoint.address() != mSettings.mPeerEndpoint.address();
  mSettings = aSettings;
  if (moves) {
    boost::system::error_code ignored;
    mSocket.close(ignored);
    ++mSocketCount;
    mReceiving = false;
  }
}

void
LoadBroadcaster::Start()
{
  if (!mSocket.is_open() || std::exchange(mReceiving, true)) {
    return;
  }
  mFleet.Targets().SetLoadCallback(
    [this] { SendBy(EventLoop::Now() + kBatchDelay); });
  mFleet.Origins().SetNewsCallback(
    [this] { SendBy(EventLoop::Now() + kBatchDelay); });
  // Requests wait for the answers.
  mFleet.Targets().Room().SetNewsCallback(
    [this] { mRoomTimer.ScheduleAt(EventLoop::Now()); });
  Receive();
  mFleet.Targets().Suspects().OnHostHeard(EventLoop::Now());
  mAnnounceUntil = EventLoop::Now() + kAnnounceTime;
  mSendTimer.ScheduleAt(EventLoop::Now() + kFirstAnnounceDelay);
}

void
LoadBroadcaster::Receive()
{
  mSocket.async_receive_from(
    boost::asio::buffer(mBuffer),
    mSender,
    [this, count = mSocketCount](const boost::system::error_code& aError,
                                 std::size_t aSize) {
      if (aError == boost::asio::error::operation_aborted ||
          count != mSocketCount) {
        return;
      }
      if (!aError) {
        HandleMessage(std::string_view(mBuffer.data(), aSize));
      }
      Receive();
    });
}

void
LoadBroadcaster::HandleMessage(std::string_view aText)
{
  rapidjson::Document json;
  ParseJson(json, aText);
  const bool isObject = !json.HasParseError() && json.IsObject();
  const auto name =
    isObject ? json.FindMember("host") : rapidjson::Value::MemberIterator();
  if (!isObject || name == json.MemberEnd() || !name->value.IsString()) {
    mFormats.OnUnreadable(mSender.address().to_string(), kSenderKind);
    return;
  }
  const std::string host = name->value.GetString();
  const Time now = EventLoop::Now();
  const auto start = json.FindMember("start");
  const bool hasStart = start != json.MemberEnd() && start->value.IsUint64();
  OnHeardFrom(host, hasStart ? start->value.GetUint64() : 0, now);
  const auto place = json.FindMember("place");
  const bool hasPlace = place != json.MemberEnd() && place->value.IsString();
  mFleet.OnHostHeard(host, mSender.address(), now);
  mFleet.Reach().OnHostHeard(
    host, hasPlace ? place->value.GetString() : "", now);
  ApplyEra(host, json);
  // A message with nothing but suspects has no load.
  const auto load = json.FindMember("load");
  if (load != json.MemberEnd() && load->value.IsArray()) {
    ApplyLoad(host, json, now);
    mFleet.Reach().OnHostUnreached(host, ParseUnreached(json));
  }
  ExchangeReach(host, json, now);
  for (const SharedBudget& it : SharedBudgets()) {
    ExchangeBudget(
      it, host, hasStart ? start->value.GetUint64() : 0, json, now);
  }
  ApplyLimits(host, json, now);
  ExchangeRoom(host, json, now);
  ForEachEntry(
    host, json, "streams", ParseOriginEntry, [&](const StreamOrigin& aOrigin) {
      mFleet.Origins().OnReported(aOrigin, OriginSource::Peer, now);
    });
  // With few hosts, each message reaches all of them.
  const bool passOn = mFleet.HostAddresses().size() > kMaxReceivers + 1;
  ForEachEntry(host,
               json,
               "gone",
               ParseDepartureEntry,
               [&](const TargetDeparture& aDeparture) {
                 OnDeparture(aDeparture, host, passOn, now);
               });
  ApplySuspects(host, json, passOn, now);
  ForEachEntry(host,
               json,
               kRolloutReports,
               ParseRolloutReport,
               [&](RolloutReport aReport) {
                 aReport.mStart = hasStart ? start->value.GetUint64() : 0;
                 if (mOnRolloutReport) {
                   mOnRolloutReport(host, aReport);
                 }
               });
  ForEachEntry(host,
               json,
               kRollouts,
               ParseRolloutDirective,
               [&](const RolloutDirective& aDirective) {
                 if (mOnRolloutDirective) {
                   mOnRolloutDirective(host, aDirective);
                 }
               });
}

void
LoadBroadcaster::SetRolloutCallbacks(
  std::function<void(const std::string&, const RolloutReport&)> aOnReport,
  std::function<void(const std::string&, const RolloutDirective&)> aOnDirective)
{
  mOnRolloutReport = std::move(aOnReport);
  mOnRolloutDirective = std::move(aOnDirective);
}

void
LoadBroadcaster::SendRolloutReport(const std::string& aHost,
                                   const RolloutReport& aReport)
{
  SendEntry(aHost, kRolloutReports, [&](Writer& aWriter) {
    WriteRolloutReport(aWriter, aReport);
  });
}

void
LoadBroadcaster::SendRolloutDirective(const std::string& aHost,
                                      const RolloutDirective& aDirective)
{
  SendEntry(aHost, kRollouts, [&](Writer& aWriter) {
    WriteRolloutDirective(aWriter, aDirective);
  });
}

void
LoadBroadcaster::SendEntry(const std::string& aHost,
                           const char* aName,
                           const std::function<void(Writer&)>& aWrite)
{
  const auto receiver = Find(aHost);
  if (!receiver || !mReceiving) {
    return;
  }
  rapidjson::StringBuffer buf;
  Writer writer(buf);
  writer.StartObject();
  WriteSender(writer);
  writer.Key(aName);
  writer.StartArray();
  aWrite(writer);
  writer.EndArray();
  writer.EndObject();
  SendTo(*receiver, buf);
}

// Applies the era of the store that another host tells.
void
LoadBroadcaster::ApplyEra(const std::string& aHost,
                          const rapidjson::Value& aMessage)
{
  const PeerEra told = ParseReplyEra(aMessage);
  if (!told.mReadable) {
    mFormats.OnUnreadable(aHost, kEraField);
  } else if (told.mEra) {
    mFleet.OnEraTold(told.mEra);
  }
}

// Applies what another host tells of lost runs and convictions.
void
LoadBroadcaster::ApplySuspects(const std::string& aHost,
                               const rapidjson::Value& aMessage,
                               bool aPassOn,
                               Time aNow)
{
  ForEachEntry(
    aHost,
    aMessage,
    "suspects",
    [aNow](const rapidjson::Value& aValue) {
      return ParseSuspectEntry(aValue, aNow);
    },
    [&](const SuspectReport& aReport) {
      if (mFleet.Targets().Suspects().Merge(aReport, aPassOn, aNow)) {
        LogSuspect(aReport, aHost, aNow);
        SendBy(aNow + kBatchDelay);
      }
    });
  ForEachEntry(
    aHost,
    aMessage,
    "convicted",
    [aNow](const rapidjson::Value& aValue) {
      return ParseConvictionEntry(aValue, aNow);
    },
    [&](const ConvictionReport& aReport) {
      if (mFleet.Targets().Suspects().MergeConviction(aReport, aPassOn, aNow)) {
        Log(LogLevel::Info,
            "peers",
            "conviction reported",
            { { "suspects", ToHex(SuspectSet(aReport.mMembers).mId) },
              { "host", aHost } });
        SendBy(aNow + kBatchDelay);
      }
    });
}

// Calls aApply with each entry of a list of a message, if it has that list, and
// reports those that cannot be read.
template<typename Parse, typename Apply>
void
LoadBroadcaster::ForEachEntry(const std::string& aHost,
                              const rapidjson::Value& aMessage,
                              const char* aName,
                              const Parse& aParse,
                              const Apply& aApply)
{
  const auto list = aMessage.FindMember(aName);
  if (list == aMessage.MemberEnd()) {
    return;
  }
  if (!list->value.IsArray()) {
    mFormats.OnUnreadable(aHost, aName);
    return;
  }
  for (const rapidjson::Value& it : list->value.GetArray()) {
    if (const auto entry = aParse(it)) {
      aApply(*entry);
    } else {
      mFormats.OnUnreadable(aHost, aName);
    }
  }
}

void
LoadBroadcaster::OnDeparture(const TargetDeparture& aDeparture,
                             const std::string& aHost,
                             bool aPassOn,
                             Time aNow)
{
  if (!mFleet.OnDepartureTold(aDeparture, aPassOn, aNow)) {
    return;
  }
  Log(LogLevel::Info,
      "peers",
      "target reported as gone",
      { { "target", aDeparture.mTarget },
        { "incarnation", aDeparture.mIncarnation },
        { "successor", aDeparture.mSuccessor },
        { "host", aHost } });
  if (aPassOn) {
    SendBy(aNow + DepartureNews::kInterval);
  }
}

void
LoadBroadcaster::ApplyLoad(const std::string& aHost,
                           const rapidjson::Value& aMessage,
                           Time aNow)
{
  TargetTable& targets = mFleet.Targets();
  std::vector<TargetLoad> loads;
  ForEachEntry(
    aHost, aMessage, "load", ParseLoadEntry, [&loads](const TargetLoad& aLoad) {
      loads.push_back(aLoad);
    });
  targets.SetPeerLoad(aHost, loads, aNow);
  ForEachEntry(
    aHost,
    aMessage,
    "lost",
    [aNow](const rapidjson::Value& aValue) {
      return ParseLostEntry(aValue, aNow);
    },
    [&](const TargetTable::LostTarget& aLost) {
      targets.OnLostByPeer(aLost.mTarget, aLost.mAt, aNow);
    });
}

std::array<LoadBroadcaster::SharedBudget, 2>
LoadBroadcaster::SharedBudgets()
{
  TargetTable& targets = mFleet.Targets();
  return { { { targets.Retries(), "totals", "asks", "grants" },
             { &targets.Limits().Shares(),
               "limit_totals",
               "limit_asks",
               "limit_grants" } } };
}

void
LoadBroadcaster::ApplyLimits(const std::string& aHost,
                             const rapidjson::Value& aMessage,
                             Time aNow)
{
  ForEachEntry(
    aHost,
    aMessage,
    "limits",
    [aNow](const rapidjson::Value& aValue) {
      return ParseLimitEntry(aValue, aNow);
    },
    [&](const LimitReport& aReport) { mLimits.OnPeerReport(aHost, aReport); });
}

void
LoadBroadcaster::SendRoomMessages()
{
  const Time now = EventLoop::Now();
  std::map<std::string, std::vector<RoomMessage>> messages;
  for (auto& it : mFleet.Targets().TakeRoomMessages(now)) {
    messages[it.first].push_back(std::move(it.second));
  }
  for (const auto& it : messages) {
    const auto receiver = Find(it.first);
    if (!receiver) {
      continue;
    }
    rapidjson::StringBuffer buf;
    Writer writer(buf);
    writer.StartObject();
    WriteSender(writer);
    writer.Key("room");
    writer.StartArray();
    for (const RoomMessage& message : it.second) {
      WriteRoomEntry(writer, message);
    }
    writer.EndArray();
    writer.EndObject();
    SendTo(*receiver, buf);
  }
  SendRoomGrants(now);
  mRoomTimer.ScheduleAt(mFleet.Targets().Room().NextMessageAt());
}

void
LoadBroadcaster::ExchangeRoom(const std::string& aHost,
                              const rapidjson::Value& aMessage,
                              Time aNow)
{
  TargetTable& targets = mFleet.Targets();
  targets.Room().OnHostHeard(aHost, aNow);
  ForEachEntry(
    aHost,
    aMessage,
    "brittle",
    [aNow](const rapidjson::Value& aValue) {
      return ParseBrittleEntry(aValue, aNow);
    },
    [&](const BrittleReport& aReport) {
      mLimits.OnPeerReport(aHost, aReport);
    });
  std::vector<RoomAnswerEntry> answers;
  ForEachEntry(
    aHost, aMessage, "room", ParseRoomEntry, [&](const RoomMessage& aRoom) {
      if (const auto answer = targets.OnRoomMessage(aHost, aRoom, aNow)) {
        answers.push_back({ aRoom.mTarget, aRoom.mAsk, *answer });
      }
    });
  ForEachEntry(aHost,
               aMessage,
               "room_answers",
               ParseRoomAnswerEntry,
               [&](const RoomAnswerEntry& aAnswer) {
                 targets.Room().OnAnswer(
                   aAnswer.mTarget, aAnswer.mAsk, aAnswer.mAnswer, aNow);
               });
  SendRoomGrants(aNow);
  if (!answers.empty()) {
    SendRoomAnswers(answers, mSender);
  }
}

void
LoadBroadcaster::SendRoomGrants(Time aNow)
{
  for (const RoomGrant& it : mFleet.Targets().Room().TakeGrants(aNow)) {
    if (const auto receiver = Find(it.mHost)) {
      SendRoomAnswers({ { it.mTarget, it.mAsk, RoomAnswer::Granted } },
                      *receiver);
    }
  }
}

void
LoadBroadcaster::SendRoomAnswers(const std::vector<RoomAnswerEntry>& aAnswers,
                                 const udp::endpoint& aReceiver)
{
  rapidjson::StringBuffer buf;
  Writer writer(buf);
  writer.StartObject();
  WriteSender(writer);
  writer.Key("room_answers");
  writer.StartArray();
  for (const RoomAnswerEntry& it : aAnswers) {
    WriteRoomAnswerEntry(writer, it);
  }
  writer.EndArray();
  writer.EndObject();
  SendTo(aReceiver, buf);
}

void
LoadBroadcaster::WriteLimits(Writer& aWriter, Time aNow)
{
  const auto brittle = mFleet.Targets().Room().Reports(aNow);
  if (!brittle.empty()) {
    aWriter.Key("brittle");
    aWriter.StartArray();
    for (const BrittleReport& it : brittle) {
      WriteBrittleEntry(aWriter, it, aNow);
    }
    aWriter.EndArray();
  }
  const auto limits = mFleet.Targets().Limits().Reports(aNow);
  if (limits.empty()) {
    return;
  }
  aWriter.Key("limits");
  aWriter.StartArray();
  for (const LimitReport& it : limits) {
    WriteLimitEntry(aWriter, it, aNow);
  }
  aWriter.EndArray();
}

void
LoadBroadcaster::ExchangeBudget(const SharedBudget& aBudget,
                                const std::string& aHost,
                                std::uint64_t aStart,
                                const rapidjson::Value& aMessage,
                                Time aNow)
{
  RetryBudget& retries = *aBudget.mBudget;
  retries.OnHostHeard(aHost, aNow);
  ForEachEntry(aHost,
               aMessage,
               aBudget.mTotalsName,
               ParseTotalsEntry,
               [&](const SendTotals& aTotals) {
                 retries.OnPeerTotals(aHost, aStart, aTotals, aNow);
               });
  ForEachEntry(
    aHost,
    aMessage,
    aBudget.mGrantsName,
    ParseRetryEntry,
    [&](const RetryGrant& aGrant) { retries.OnGrant(aHost, aGrant, aNow); });
  std::vector<RetryGrant> grants;
  ForEachEntry(
    aHost,
    aMessage,
    aBudget.mAsksName,
    ParseRetryEntry,
    [&](const RetryGrant& aAsk) {
      if (const auto grant = retries.Grant(
            aHost, { aAsk.mService, aAsk.mAsk, aAsk.mCount, 1 }, aNow)) {
        grants.push_back(*grant);
      }
    });
  if (grants.empty()) {
    return;
  }
  rapidjson::StringBuffer buf;
  Writer writer(buf);
  writer.StartObject();
  WriteSender(writer);
  writer.Key(aBudget.mGrantsName);
  writer.StartArray();
  for (const RetryGrant& it : grants) {
    WriteRetryEntry(writer, it.mService, it.mAsk, it.mCount);
  }
  writer.EndArray();
  writer.EndObject();
  SendTo(mSender, buf);
}

// Sends an ask to as many random hosts as it is for.
void
LoadBroadcaster::SendAsk(const SharedBudget& aBudget, const RetryAsk& aAsk)
{
  rapidjson::StringBuffer buf;
  Writer writer(buf);
  writer.StartObject();
  WriteSender(writer);
  writer.Key(aBudget.mAsksName);
  writer.StartArray();
  WriteRetryEntry(writer, aAsk.mService, aAsk.mId, aAsk.mCount);
  writer.EndArray();
  writer.EndObject();
  auto receivers = ChooseReceivers();
  std::shuffle(receivers.begin(), receivers.end(), mRandom);
  receivers.resize(
    std::min(receivers.size(), static_cast<std::size_t>(aAsk.mHosts)));
  for (const udp::endpoint& it : receivers) {
    SendTo(it, buf);
  }
}

std::optional<udp::endpoint>
LoadBroadcaster::Find(const std::string& aHost) const
{
  const Time now = EventLoop::Now();
  if (auto heard = mHeardHosts.EndpointOf(aHost, now)) {
    return heard;
  }
  const auto address = mFleet.AddressOf(aHost, now);
  return address
           ? std::make_optional(udp::endpoint(*address, mSettings.mLoadPort))
           : std::nullopt;
}

int
LoadBroadcaster::SendReachAsk(const ReachAsk& aAsk)
{
  rapidjson::StringBuffer buf;
  Writer writer(buf);
  writer.StartObject();
  WriteSender(writer);
  WriteReachAsk(writer, aAsk);
  writer.EndObject();
  int sent = 0;
  for (const std::string& it : aAsk.mHosts) {
    if (const auto receiver = Find(it)) {
      SendTo(*receiver, buf);
      ++sent;
    }
  }
  return sent;
}

void
LoadBroadcaster::AnnounceReach()
{
  SendBy(EventLoop::Now() + kBatchDelay);
}

void
LoadBroadcaster::SetReachCallback(
  std::function<void(const ReachAnswer&)> aCallback)
{
  mOnReachAnswer = std::move(aCallback);
}

// Answers an ask of another host, and takes its answer.
void
LoadBroadcaster::ExchangeReach(const std::string& aHost,
                               const rapidjson::Value& aMessage,
                               Time aNow)
{
  if (const auto ask = ParseReachAsk(aMessage)) {
    rapidjson::StringBuffer buf;
    Writer writer(buf);
    writer.StartObject();
    WriteSender(writer);
    WriteReachAnswer(
      writer,
      mFleet.Reach().Answer(ask->mService, ask->mId, ask->mTargets, aNow));
    writer.EndObject();
    SendTo(mSender, buf);
  }
  for (const char* it : UnreadableReachMembers(aMessage)) {
    mFormats.OnUnreadable(aHost, it);
  }
  auto answer = ParseReachAnswer(aMessage);
  if (answer && mOnReachAnswer) {
    answer->mHost = aHost;
    mOnReachAnswer(*answer);
  }
}

void
LoadBroadcaster::SendMessage()
{
  const Time now = EventLoop::Now();
  const auto loads = mFleet.Targets().OwnLoad();
  const auto lost = mFleet.Targets().LostTargets(now);
  SuspectRegistry& suspects = mFleet.Targets().Suspects();
  std::vector<SuspectReport> news;
  if (now >= mNextNewsAt) {
    news = suspects.TakeNews(now);
  }
  if (!news.empty()) {
    mNextNewsAt = now + SuspectRegistry::kNewsInterval;
  }
  const auto convictions = suspects.TakeConvictionNews(now);
  if (suspects.HasNews() || suspects.HasConvictionNews()) {
    mSendTimer.ScheduleAt(
      std::max(now + SuspectRegistry::kNewsInterval, mNextNewsAt));
  }
  for (const SharedBudget& budget : SharedBudgets()) {
    for (const RetryAsk& it : budget.mBudget->TakeAsks(now)) {
      SendAsk(budget, it);
    }
  }
  SendOrigins(now);
  SendDepartures(now);
  const auto unreached = mFleet.Reach().UnreachedServices(now);
  const bool hasContent = !loads.empty() || !lost.empty() || !news.empty() ||
                          !convictions.empty() || !unreached.empty() ||
                          !mFleet.Targets().Limits().Reports(now).empty() ||
                          !mFleet.Targets().Room().Reports(now).empty();
  if (hasContent || now < mAnnounceUntil) {
    SendBy(now + kResendInterval);
  } else if (!mSentContent) {
    return;
  }
  mSentContent = hasContent;
  rapidjson::StringBuffer buf;
  Writer writer(buf);
  writer.StartObject();
  WriteSender(writer);
  writer.Key("load");
  writer.StartArray();
  for (const TargetLoad& it : loads) {
    WriteLoadEntry(writer, it);
  }
  writer.EndArray();
  for (const SharedBudget& budget : SharedBudgets()) {
    const auto totals = budget.mBudget->Totals();
    if (totals.empty()) {
      continue;
    }
    writer.Key(budget.mTotalsName);
    writer.StartArray();
    for (const SendTotals& it : totals) {
      WriteTotalsEntry(writer, it);
    }
    writer.EndArray();
  }
  WriteLimits(writer, now);
  WriteUnreached(writer, unreached);
  writer.Key("lost");
  writer.StartArray();
  for (const TargetTable::LostTarget& it : lost) {
    WriteLostEntry(writer, it, now);
  }
  writer.EndArray();
  WriteSuspects(writer, news, now);
  WriteConvictions(writer, convictions, now);
  writer.EndObject();
  for (const udp::endpoint& it : ChooseReceivers()) {
    SendTo(it, buf);
  }
}

void
LoadBroadcaster::SendOrigins(Time aNow)
{
  StreamOrigins& origins = mFleet.Origins();
  for (int n = 0; n < kOriginDatagrams; ++n) {
    const auto news = origins.TakeNews(aNow, kOriginsPerDatagram);
    if (news.empty()) {
      break;
    }
    rapidjson::StringBuffer buf;
    Writer writer(buf);
    writer.StartObject();
    WriteSender(writer);
    writer.Key("streams");
    writer.StartArray();
    for (const StreamOrigin& it : news) {
      WriteOriginEntry(writer, it);
    }
    writer.EndArray();
    writer.EndObject();
    Log(LogLevel::Info,
        "peers",
        "stream origins announced",
        { { "origins", std::to_string(news.size()) },
          { "first", ToHex(news.front().mKey) } });
    for (const udp::endpoint& it : ChooseReceivers()) {
      SendTo(it, buf);
    }
  }
  const Time next = origins.NextNewsAt();
  if (next != Time::max()) {
    SendBy(std::max(next, aNow + kBatchDelay));
  }
}

void
LoadBroadcaster::SendDepartures(Time aNow)
{
  DepartureNews& departures = mFleet.Departures();
  if (aNow < mNextDeparturesAt || !departures.HasNews()) {
    return;
  }
  const auto news = departures.TakeNews(aNow);
  if (!news.empty()) {
    mNextDeparturesAt = aNow + DepartureNews::kInterval;
    rapidjson::StringBuffer buf;
    Writer writer(buf);
    writer.StartObject();
    WriteSender(writer);
    writer.Key("gone");
    writer.StartArray();
    for (const TargetDeparture& it : news) {
      WriteDepartureEntry(writer, it);
    }
    writer.EndArray();
    writer.EndObject();
    for (const udp::endpoint& it : ChooseReceivers()) {
      SendTo(it, buf);
    }
  }
  if (departures.HasNews()) {
    SendBy(mNextDeparturesAt);
  }
}

void
LoadBroadcaster::SendTo(const udp::endpoint& aReceiver,
                        const rapidjson::StringBuffer& aMessage)
{
  boost::system::error_code ec;
  // Errors are ignored: datagrams can be lost without an error as well.
  mSocket.send_to(boost::asio::buffer(aMessage.GetString(), aMessage.GetSize()),
                  aReceiver,
                  0,
                  ec);
}

void
LoadBroadcaster::SendBy(Time aAt)
{
  if (!mSendTimer.IsSet() || mSendTimer.Expiry() > aAt) {
    mSendTimer.ScheduleAt(aAt);
  }
}

void
LoadBroadcaster::OnHeardFrom(const std::string& aHost,
                             std::uint64_t aStart,
                             Time aNow)
{
  mFleet.Targets().Suspects().OnHostHeard(aNow);
  if (mHeardHosts.OnHeard(aHost, mSender, aStart, aNow)) {
    SendSuspects(mSender, aNow);
  }
}

void
LoadBroadcaster::WriteSender(Writer& aWriter) const
{
  aWriter.Key("host");
  aWriter.String(mSettings.mHost.c_str());
  aWriter.Key("place");
  aWriter.String(mSettings.mPlace.c_str());
  aWriter.Key("start");
  aWriter.Uint64(mFleet.StartId());
  if (mFleet.Era() != StoreEra()) {
    aWriter.Key(kEraField);
    aWriter.String(FormatEra(mFleet.Era()).c_str());
  }
}

void
LoadBroadcaster::SendSuspects(const udp::endpoint& aReceiver, Time aNow)
{
  SuspectRegistry& suspects = mFleet.Targets().Suspects();
  const auto reports = suspects.Reports(aNow);
  const auto convictions = suspects.ConvictionReports(aNow);
  if (reports.empty() && convictions.empty()) {
    return;
  }
  rapidjson::StringBuffer buf;
  Writer writer(buf);
  writer.StartObject();
  WriteSender(writer);
  WriteSuspects(writer, reports, aNow);
  WriteConvictions(writer, convictions, aNow);
  writer.EndObject();
  SendTo(aReceiver, buf);
}

void
LoadBroadcaster::LogSuspect(const SuspectReport& aReport,
                            const std::string& aHost,
                            Time aNow) const
{
  const int deaths = mFleet.Targets().Suspects().Deaths(aReport.mSuspect, aNow);
  if (deaths >= kMinLoggedDeaths || aReport.mClearedAt) {
    Log(LogLevel::Info,
        "peers",
        "suspected request reported",
        { { "content", ToHex(aReport.mSuspect) },
          { "host", aHost },
          { "deaths", std::to_string(deaths) },
          { "cleared", aReport.mClearedAt ? "true" : "false" } });
  }
}

std::vector<udp::endpoint>
LoadBroadcaster::ChooseReceivers()
{
  std::vector<udp::endpoint> receivers;
  const auto& known = mFleet.HostAddresses();
  for (const auto& it : known) {
    const auto endpoint = ParseEndpoint(it.second);
    if (endpoint && it.first != mSettings.mHost) {
      receivers.emplace_back(endpoint->address(), mSettings.mLoadPort);
    }
  }
  for (const auto& it : mHeardHosts.Lately(EventLoop::Now())) {
    if (known.count(it.first) == 0) {
      receivers.push_back(it.second);
    }
  }
  if (receivers.size() > kMaxReceivers) {
    std::shuffle(receivers.begin(), receivers.end(), mRandom);
    receivers.resize(kMaxReceivers);
  }
  return receivers;
}

} // namespace quetzalquay
