#include "gateway/LoadBroadcaster.h"

#include "core/Hash.h"
#include "gateway/ReachMessages.h"
#include "http/JsonText.h"
#include "observe/Log.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace quetzalquay {

namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;

// Delay after a load change, so that several changes share one message.
constexpr Duration kBatchDelay = milliseconds(40);

// Interval at which an unchanged load is sent again.
constexpr Duration kResendInterval = milliseconds(1000);

// Time after the start in which a host announces itself, long enough for all
// hosts to have read the hosts table.
constexpr Duration kAnnounceTime = milliseconds(6000);

// Delay of the first announcement, by which this host has usually read the
// hosts table.
constexpr Duration kFirstAnnounceDelay = milliseconds(300);

// Silence after which a host is told all suspects when it is heard again, and
// after which it is forgotten. It may have been cut off or have restarted.
constexpr Duration kSilenceBeforeReports = milliseconds(2500);
constexpr Duration kHeardLifetime = milliseconds(30000);

// Lost runs from which on a request is stored, and the silence of all other
// hosts after which a single one is enough, as the others may not know of it.
constexpr std::size_t kStoreThreshold = 2;
constexpr Duration kAloneAfter = milliseconds(3000);

// Deaths from which on a suspect reported by another host is logged.
constexpr int kMinLoggedDeaths = 2;

// Elements of a "load" entry: target name, running requests, backlog tokens and
// held tokens.
constexpr rapidjson::SizeType kLoadEntrySize = 4;

// Elements of a "totals" entry: service, first attempts and retries since the
// start.
constexpr rapidjson::SizeType kTotalsEntrySize = 3;

// Elements of a "limits" entry: target, requests a second or kNoLimit, and
// milliseconds since the target said so.
constexpr rapidjson::SizeType kLimitEntrySize = 3;
constexpr double kNoLimit = -1;

// Elements of a "brittle" entry: target, requests that it can turn away in a
// second or 0, and milliseconds since it said so.
constexpr rapidjson::SizeType kBrittleEntrySize = 3;

// Elements of a "room" entry: target, number of the message, ask, resolved ask,
// requests under way and rejections.
constexpr rapidjson::SizeType kRoomEntrySize = 6;

// Elements of a "room_answers" entry: target, ask and the answer's name.
constexpr rapidjson::SizeType kRoomAnswerSize = 3;

// Elements of an entry of "asks" and "grants": service, ask and retries.
constexpr rapidjson::SizeType kRetryEntrySize = 3;

// Elements of a "suspects" entry: request, milliseconds since it was cleared or
// -1, and its lost runs. Elements of a lost run: death, place, milliseconds
// since the run started and since the target died.
constexpr rapidjson::SizeType kSuspectEntrySize = 3;
constexpr rapidjson::SizeType kLostRunSize = 4;

// Elements of a "gone" entry, all texts: target, incarnation, the target that
// replaced it and that one's incarnation.
constexpr rapidjson::SizeType kGoneEntrySize = 4;

// Elements of a "streams" entry: key, service and software version.
constexpr rapidjson::SizeType kOriginEntrySize = 3;

// Origins in one datagram, which stays below the usual packet size, and
// datagrams with origins in one round.
constexpr std::size_t kOriginsPerDatagram = 24;
constexpr int kOriginDatagrams = 8;

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// Calls a function with each element of a list; nothing if there is none.
template<typename Function>
void
ForEachIn(const rapidjson::Value& aObject,
          const char* aName,
          const Function& aFunction)
{
  const auto list = aObject.FindMember(aName);
  if (list != aObject.MemberEnd() && list->value.IsArray()) {
    for (const auto& it : list->value.GetArray()) {
      aFunction(it);
    }
  }
}

void
WriteRetryEntry(Writer& aWriter,
                const std::string& aService,
                std::uint64_t aAsk,
                int aCount)
{
  aWriter.StartArray();
  aWriter.String(aService.c_str());
  aWriter.Uint64(aAsk);
  aWriter.Int(aCount);
  aWriter.EndArray();
}

// Calls a function with service, ask and retries of each valid entry of a list.
template<typename Function>
void
ForEachRetryEntry(const rapidjson::Value& aObject,
                  const char* aName,
                  const Function& aFunction)
{
  ForEachIn(aObject, aName, [&](const rapidjson::Value& aValue) {
    if (aValue.IsArray() && aValue.Size() == kRetryEntrySize &&
        aValue[0].IsString() && aValue[1].IsUint64() && aValue[2].IsInt()) {
      aFunction(
        aValue[0].GetString(), aValue[1].GetUint64(), aValue[2].GetInt());
    }
  });
}

void
WriteOrigin(Writer& aWriter, const StreamOrigin& aOrigin)
{
  const auto write = [&aWriter](const std::string& aText) {
    aWriter.String(aText.data(),
                   static_cast<rapidjson::SizeType>(aText.size()));
  };
  aWriter.StartArray();
  aWriter.Uint64(aOrigin.mKey);
  write(aOrigin.mService);
  write(aOrigin.mSoftwareVersion);
  aWriter.EndArray();
}

std::optional<StreamOrigin>
ParseOrigin(const rapidjson::Value& aValue)
{
  if (!aValue.IsArray() || aValue.Size() < kOriginEntrySize ||
      !aValue[0].IsUint64() || !aValue[1].IsString() || !aValue[2].IsString()) {
    return std::nullopt;
  }
  StreamOrigin origin;
  origin.mKey = aValue[0].GetUint64();
  origin.mService.assign(aValue[1].GetString(), aValue[1].GetStringLength());
  origin.mSoftwareVersion.assign(aValue[2].GetString(),
                                 aValue[2].GetStringLength());
  return origin;
}

void
WriteDeparture(Writer& aWriter, const TargetDeparture& aDeparture)
{
  aWriter.StartArray();
  for (const std::string* it : { &aDeparture.mTarget,
                                 &aDeparture.mIncarnation,
                                 &aDeparture.mSuccessor,
                                 &aDeparture.mSuccessorIncarnation }) {
    aWriter.String(it->data(), static_cast<rapidjson::SizeType>(it->size()));
  }
  aWriter.EndArray();
}

std::optional<TargetDeparture>
ParseDeparture(const rapidjson::Value& aValue)
{
  if (!aValue.IsArray() || aValue.Size() != kGoneEntrySize) {
    return std::nullopt;
  }
  std::array<std::string, kGoneEntrySize> texts;
  for (rapidjson::SizeType n = 0; n < kGoneEntrySize; ++n) {
    if (!aValue[n].IsString()) {
      return std::nullopt;
    }
    texts[n].assign(aValue[n].GetString(), aValue[n].GetStringLength());
  }
  return TargetDeparture{ texts[0], texts[1], texts[2], texts[3] };
}

int
AgeInMilliseconds(Time aAt, Time aNow)
{
  return static_cast<int>(ToMilliseconds(aNow - aAt));
}

void
WriteLost(Writer& aWriter,
          const std::vector<TargetTable::LostTarget>& aLost,
          Time aNow)
{
  aWriter.Key("lost");
  aWriter.StartArray();
  for (const TargetTable::LostTarget& it : aLost) {
    aWriter.StartArray();
    aWriter.String(it.mTarget.c_str());
    aWriter.Int(AgeInMilliseconds(it.mAt, aNow));
    aWriter.EndArray();
  }
  aWriter.EndArray();
}

void
WriteSuspect(Writer& aWriter, const SuspectReport& aReport, Time aNow)
{
  aWriter.StartArray();
  aWriter.Uint64(aReport.mSuspect);
  aWriter.Int(aReport.mClearedAt ? AgeInMilliseconds(*aReport.mClearedAt, aNow)
                                 : -1);
  aWriter.StartArray();
  for (const LostRun& it : aReport.mRuns) {
    aWriter.StartArray();
    aWriter.Uint64(it.mDeath.mId);
    aWriter.Uint64(it.mDeath.mPlace);
    aWriter.Int(AgeInMilliseconds(it.mStartedAt, aNow));
    aWriter.Int(AgeInMilliseconds(it.mDeath.mAt, aNow));
    aWriter.EndArray();
  }
  aWriter.EndArray();
  aWriter.EndArray();
}

void
WriteSuspects(Writer& aWriter,
              const std::vector<SuspectReport>& aReports,
              Time aNow)
{
  aWriter.Key("suspects");
  aWriter.StartArray();
  for (const SuspectReport& it : aReports) {
    WriteSuspect(aWriter, it, aNow);
  }
  aWriter.EndArray();
}

std::optional<SuspectReport>
ParseSuspect(const rapidjson::Value& aValue, Time aNow)
{
  if (!aValue.IsArray() || aValue.Size() != kSuspectEntrySize ||
      !aValue[0].IsUint64() || !aValue[1].IsInt() || !aValue[2].IsArray()) {
    return std::nullopt;
  }
  SuspectReport report;
  report.mSuspect = aValue[0].GetUint64();
  if (aValue[1].GetInt() >= 0) {
    report.mClearedAt = aNow - milliseconds(aValue[1].GetInt());
  }
  for (const auto& it : aValue[2].GetArray()) {
    if (!it.IsArray() || it.Size() != kLostRunSize || !it[0].IsUint64() ||
        !it[1].IsUint64() || !it[2].IsInt() || !it[3].IsInt()) {
      return std::nullopt;
    }
    LostRun run;
    run.mDeath.mId = it[0].GetUint64();
    run.mDeath.mPlace = it[1].GetUint64();
    run.mStartedAt = aNow - milliseconds(it[2].GetInt());
    run.mDeath.mAt = aNow - milliseconds(it[3].GetInt());
    report.mRuns.push_back(run);
  }
  return report;
}

} // namespace

LoadBroadcaster::LoadBroadcaster(EventLoop& aLoop,
                                 const GatewaySettings& aSettings,
                                 Fleet& aFleet,
                                 LimitWatch& aLimits)
  : mSettings(aSettings)
  , mFleet(aFleet)
  , mLimits(aLimits)
  , mSocket(aLoop.Context())
  , mSendTimer(aLoop, [this] { SendMessage(); })
  , mRoomTimer(aLoop, [this] { SendRoomMessages(); })
  , mRandom(StableHash(aSettings.mHost))
{
}

std::optional<std::string>
LoadBroadcaster::Start()
{
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
    return "cannot receive on " + at.address().to_string() + ":" +
           std::to_string(at.port()) + ": " + ec.message();
  }
  mFleet.Targets().SetLoadCallback(
    [this] { SendBy(EventLoop::Now() + kBatchDelay); });
  mFleet.Origins().SetNewsCallback(
    [this] { SendBy(EventLoop::Now() + kBatchDelay); });
  // Requests wait for the answers.
  mFleet.Targets().Room().SetNewsCallback(
    [this] { mRoomTimer.ScheduleAt(EventLoop::Now()); });
  Receive();
  mLastHeardAt = EventLoop::Now();
  mAnnounceUntil = EventLoop::Now() + kAnnounceTime;
  mSendTimer.ScheduleAt(EventLoop::Now() + kFirstAnnounceDelay);
  return std::nullopt;
}

void
LoadBroadcaster::Receive()
{
  mSocket.async_receive_from(
    boost::asio::buffer(mBuffer),
    mSender,
    [this](const boost::system::error_code& aError, std::size_t aSize) {
      if (aError == boost::asio::error::operation_aborted) {
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
  if (json.HasParseError() || !json.IsObject()) {
    return;
  }
  const auto name = json.FindMember("host");
  if (name == json.MemberEnd() || !name->value.IsString()) {
    return;
  }
  const std::string host = name->value.GetString();
  const Time now = EventLoop::Now();
  const auto start = json.FindMember("start");
  const bool hasStart = start != json.MemberEnd() && start->value.IsUint64();
  OnHeardFrom(host, hasStart ? start->value.GetUint64() : 0, now);
  const auto place = json.FindMember("place");
  const bool hasPlace = place != json.MemberEnd() && place->value.IsString();
  mFleet.OnHostHeard(host, mSender.address());
  mFleet.Reach().OnHostHeard(
    host, hasPlace ? place->value.GetString() : "", now);
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
  ForEachIn(json, "streams", [&](const rapidjson::Value& aValue) {
    if (const auto origin = ParseOrigin(aValue)) {
      mFleet.Origins().OnReported(*origin, OriginSource::Peer, now);
    }
  });
  // With few hosts, each message reaches all of them.
  const bool passOn = mFleet.HostAddresses().size() > kMaxReceivers + 1;
  ForEachIn(json, "gone", [&](const rapidjson::Value& aValue) {
    if (const auto departure = ParseDeparture(aValue)) {
      OnDeparture(*departure, host, passOn, now);
    }
  });
  ForEachIn(json, "suspects", [&](const rapidjson::Value& aValue) {
    const auto report = ParseSuspect(aValue, now);
    if (report && mFleet.Targets().Suspects().Merge(*report, passOn, now)) {
      LogSuspect(*report, host, now);
      SendBy(now + kBatchDelay);
    }
  });
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
  ForEachIn(aMessage, "load", [&](const rapidjson::Value& aValue) {
    if (!aValue.IsArray() || aValue.Size() != kLoadEntrySize ||
        !aValue[0].IsString() || !aValue[1].IsInt() || !aValue[2].IsInt() ||
        !aValue[3].IsInt()) {
      return;
    }
    TargetLoad entry;
    entry.mTarget = aValue[0].GetString();
    entry.mRunning = aValue[1].GetInt();
    entry.mBacklogTokens = aValue[2].GetInt();
    entry.mHeldTokens = aValue[3].GetInt();
    loads.push_back(std::move(entry));
  });
  targets.SetPeerLoad(aHost, loads, aNow);
  ForEachIn(aMessage, "lost", [&](const rapidjson::Value& aValue) {
    if (aValue.IsArray() && aValue.Size() == 2 && aValue[0].IsString() &&
        aValue[1].IsInt()) {
      targets.OnLostByPeer(
        aValue[0].GetString(), aNow - milliseconds(aValue[1].GetInt()), aNow);
    }
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
  ForEachIn(aMessage, "limits", [&](const rapidjson::Value& aValue) {
    if (!aValue.IsArray() || aValue.Size() != kLimitEntrySize ||
        !aValue[0].IsString() || !aValue[1].IsNumber() || !aValue[2].IsInt()) {
      return;
    }
    LimitReport report;
    report.mTarget = aValue[0].GetString();
    if (aValue[1].GetDouble() >= 0) {
      report.mRequestsPerSecond = aValue[1].GetDouble();
    }
    report.mSaidAt = aNow - milliseconds(aValue[2].GetInt());
    mLimits.OnPeerReport(aHost, report);
  });
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
    const auto receiver = LoadEndpointOf(it.first);
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
      writer.StartArray();
      writer.String(message.mTarget.c_str());
      writer.Uint64(message.mNumber);
      writer.Uint64(message.mAsk);
      writer.Uint64(message.mResolved);
      writer.Int(message.mUnderWay);
      writer.Int64(message.mRejected);
      writer.EndArray();
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
  ForEachIn(aMessage, "brittle", [&](const rapidjson::Value& aValue) {
    if (!aValue.IsArray() || aValue.Size() != kBrittleEntrySize ||
        !aValue[0].IsString() || !aValue[1].IsInt() || !aValue[2].IsInt()) {
      return;
    }
    BrittleReport report;
    report.mTarget = aValue[0].GetString();
    if (aValue[1].GetInt() > 0) {
      report.mRejections = aValue[1].GetInt();
    }
    report.mSaidAt = aNow - milliseconds(aValue[2].GetInt());
    mLimits.OnPeerReport(aHost, report);
  });
  std::vector<std::pair<RoomMessage, RoomAnswer>> answers;
  ForEachIn(aMessage, "room", [&](const rapidjson::Value& aValue) {
    if (!aValue.IsArray() || aValue.Size() != kRoomEntrySize ||
        !aValue[0].IsString() || !aValue[1].IsUint64() ||
        !aValue[2].IsUint64() || !aValue[3].IsUint64() || !aValue[4].IsInt() ||
        !aValue[5].IsInt64()) {
      return;
    }
    RoomMessage message;
    message.mTarget = aValue[0].GetString();
    message.mNumber = aValue[1].GetUint64();
    message.mAsk = aValue[2].GetUint64();
    message.mResolved = aValue[3].GetUint64();
    message.mUnderWay = aValue[4].GetInt();
    message.mRejected = aValue[5].GetInt64();
    if (const auto answer = targets.OnRoomMessage(aHost, message, aNow)) {
      answers.emplace_back(std::move(message), *answer);
    }
  });
  ForEachIn(aMessage, "room_answers", [&](const rapidjson::Value& aValue) {
    if (!aValue.IsArray() || aValue.Size() != kRoomAnswerSize ||
        !aValue[0].IsString() || !aValue[1].IsUint64() ||
        !aValue[2].IsString()) {
      return;
    }
    if (const auto answer = kRoomAnswerNames.ValueOf(aValue[2].GetString())) {
      targets.Room().OnAnswer(
        aValue[0].GetString(), aValue[1].GetUint64(), *answer, aNow);
    }
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
    if (const auto receiver = LoadEndpointOf(it.mHost)) {
      RoomMessage message;
      message.mTarget = it.mTarget;
      message.mAsk = it.mAsk;
      SendRoomAnswers({ { message, RoomAnswer::Granted } }, *receiver);
    }
  }
}

void
LoadBroadcaster::SendRoomAnswers(
  const std::vector<std::pair<RoomMessage, RoomAnswer>>& aAnswers,
  const udp::endpoint& aReceiver)
{
  rapidjson::StringBuffer buf;
  Writer writer(buf);
  writer.StartObject();
  WriteSender(writer);
  writer.Key("room_answers");
  writer.StartArray();
  for (const auto& it : aAnswers) {
    const std::string_view name = kRoomAnswerNames.NameOf(it.second);
    writer.StartArray();
    writer.String(it.first.mTarget.c_str());
    writer.Uint64(it.first.mAsk);
    writer.String(name.data(), static_cast<rapidjson::SizeType>(name.size()));
    writer.EndArray();
  }
  writer.EndArray();
  writer.EndObject();
  SendTo(aReceiver, buf);
}

// Where a host receives load messages; nothing if its address is not known.
std::optional<udp::endpoint>
LoadBroadcaster::LoadEndpointOf(const std::string& aHost) const
{
  const auto address = mFleet.HostAddresses().find(aHost);
  const auto endpoint = address == mFleet.HostAddresses().end()
                          ? std::nullopt
                          : ParseEndpoint(address->second);
  return endpoint ? std::make_optional(
                      udp::endpoint(endpoint->address(), mSettings.mLoadPort))
                  : std::nullopt;
}

void
LoadBroadcaster::WriteLimits(Writer& aWriter, Time aNow)
{
  const auto brittle = mFleet.Targets().Room().Reports(aNow);
  if (!brittle.empty()) {
    aWriter.Key("brittle");
    aWriter.StartArray();
    for (const BrittleReport& it : brittle) {
      aWriter.StartArray();
      aWriter.String(it.mTarget.c_str());
      aWriter.Int(it.mRejections.value_or(0));
      aWriter.Int(AgeInMilliseconds(it.mSaidAt, aNow));
      aWriter.EndArray();
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
    aWriter.StartArray();
    aWriter.String(it.mTarget.c_str());
    aWriter.Double(it.mRequestsPerSecond.value_or(kNoLimit));
    aWriter.Int(AgeInMilliseconds(it.mSaidAt, aNow));
    aWriter.EndArray();
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
  ForEachIn(aMessage, aBudget.mTotalsName, [&](const rapidjson::Value& aValue) {
    if (aValue.IsArray() && aValue.Size() == kTotalsEntrySize &&
        aValue[0].IsString() && aValue[1].IsInt64() && aValue[2].IsInt64()) {
      retries.OnPeerTotals(
        aHost,
        aStart,
        { aValue[0].GetString(), aValue[1].GetInt64(), aValue[2].GetInt64() },
        aNow);
    }
  });
  ForEachRetryEntry(aMessage,
                    aBudget.mGrantsName,
                    [&](const char* aService, auto aAsk, int aCount) {
                      retries.OnGrant(aHost, { aService, aAsk, aCount }, aNow);
                    });
  std::vector<RetryGrant> grants;
  ForEachRetryEntry(aMessage,
                    aBudget.mAsksName,
                    [&](const char* aService, auto aAsk, int aCount) {
                      if (const auto grant = retries.Grant(
                            aHost, { aService, aAsk, aCount, 1 }, aNow)) {
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
  const auto heard = mHeardHosts.find(aHost);
  if (heard != mHeardHosts.end()) {
    return heard->second.mEndpoint;
  }
  const auto address = mFleet.AddressOf(aHost);
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
  if (now - mLastHeardAt >= kAloneAfter) {
    suspects.SetStoreThreshold(1);
  }
  std::vector<SuspectReport> news;
  if (now >= mNextNewsAt) {
    news = suspects.TakeNews(now);
  }
  if (!news.empty()) {
    mNextNewsAt = now + SuspectRegistry::kNewsInterval;
  }
  if (suspects.HasNews()) {
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
  const auto unreached = mFleet.Reach().UnreachedServices();
  const bool hasContent = !loads.empty() || !lost.empty() || !news.empty() ||
                          !unreached.empty() ||
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
    writer.StartArray();
    writer.String(it.mTarget.c_str());
    writer.Int(it.mRunning);
    writer.Int(it.mBacklogTokens);
    writer.Int(it.mHeldTokens);
    writer.EndArray();
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
      writer.StartArray();
      writer.String(it.mService.c_str());
      writer.Int64(it.mFirstAttempts);
      writer.Int64(it.mRetries);
      writer.EndArray();
    }
    writer.EndArray();
  }
  WriteLimits(writer, now);
  WriteUnreached(writer, unreached);
  WriteLost(writer, lost, now);
  WriteSuspects(writer, news, now);
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
      WriteOrigin(writer, it);
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
  const auto news = departures.TakeNews();
  if (!news.empty()) {
    mNextDeparturesAt = aNow + DepartureNews::kInterval;
    rapidjson::StringBuffer buf;
    Writer writer(buf);
    writer.StartObject();
    WriteSender(writer);
    writer.Key("gone");
    writer.StartArray();
    for (const TargetDeparture& it : news) {
      WriteDeparture(writer, it);
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
  const auto known = mHeardHosts.find(aHost);
  const bool isNew = known == mHeardHosts.end() ||
                     known->second.mStart != aStart ||
                     aNow - known->second.mAt >= kSilenceBeforeReports;
  mLastHeardAt = aNow;
  mFleet.Targets().Suspects().SetStoreThreshold(kStoreThreshold);
  mHeardHosts[aHost] = { mSender, aStart, aNow };
  if (!isNew) {
    return;
  }
  SendSuspects(mSender, aNow);
  for (auto it = mHeardHosts.begin(); it != mHeardHosts.end();) {
    it = aNow - it->second.mAt >= kHeardLifetime ? mHeardHosts.erase(it)
                                                 : std::next(it);
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
}

void
LoadBroadcaster::SendSuspects(const udp::endpoint& aReceiver, Time aNow)
{
  const auto reports = mFleet.Targets().Suspects().Reports(aNow);
  if (reports.empty()) {
    return;
  }
  rapidjson::StringBuffer buf;
  Writer writer(buf);
  writer.StartObject();
  WriteSender(writer);
  WriteSuspects(writer, reports, aNow);
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
  const Time now = EventLoop::Now();
  for (const auto& it : mHeardHosts) {
    if (known.count(it.first) == 0 &&
        now - it.second.mAt < kSilenceBeforeReports) {
      receivers.push_back(it.second.mEndpoint);
    }
  }
  if (receivers.size() > kMaxReceivers) {
    std::shuffle(receivers.begin(), receivers.end(), mRandom);
    receivers.resize(kMaxReceivers);
  }
  return receivers;
}

} // namespace quetzalquay
