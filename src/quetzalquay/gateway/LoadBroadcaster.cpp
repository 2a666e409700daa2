#include "gateway/LoadBroadcaster.h"

#include "core/Hash.h"
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

// Maximum number of hosts that receive one message. With more hosts, each
// message goes to a random selection.
constexpr std::size_t kMaxReceivers = 16;

// Elements of a "load" entry: target name, running requests, backlog tokens and
// held tokens.
constexpr rapidjson::SizeType kLoadEntrySize = 4;

// Elements of a "sent" entry: service, first attempts and retries.
constexpr rapidjson::SizeType kSentEntrySize = 3;

} // namespace

LoadBroadcaster::LoadBroadcaster(EventLoop& aLoop,
                                 const GatewaySettings& aSettings,
                                 Fleet& aFleet)
  : mSettings(aSettings)
  , mFleet(aFleet)
  , mSocket(aLoop.Context())
  , mSendTimer(aLoop, [this] { SendMessage(); })
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
  mFleet.Targets().SetLoadCallback([this] {
    const Time at = EventLoop::Now() + kBatchDelay;
    if (!mSendTimer.IsSet() || mSendTimer.Expiry() > at) {
      mSendTimer.ScheduleAt(at);
    }
  });
  Receive();
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
  json.Parse(aText.data(), aText.size());
  if (json.HasParseError() || !json.IsObject()) {
    return;
  }
  const auto host = json.FindMember("host");
  const auto load = json.FindMember("load");
  if (host == json.MemberEnd() || !host->value.IsString() ||
      load == json.MemberEnd() || !load->value.IsArray()) {
    return;
  }
  std::vector<TargetLoad> loads;
  for (const auto& it : load->value.GetArray()) {
    if (!it.IsArray() || it.Size() != kLoadEntrySize || !it[0].IsString() ||
        !it[1].IsInt() || !it[2].IsInt() || !it[3].IsInt()) {
      continue;
    }
    TargetLoad entry;
    entry.mTarget = it[0].GetString();
    entry.mRunning = it[1].GetInt();
    entry.mBacklogTokens = it[2].GetInt();
    entry.mHeldTokens = it[3].GetInt();
    loads.push_back(std::move(entry));
  }
  const Time now = EventLoop::Now();
  mFleet.Targets().SetPeerLoad(host->value.GetString(), loads, now);
  std::vector<RetryCount> counts;
  const auto sent = json.FindMember("sent");
  if (sent != json.MemberEnd() && sent->value.IsArray()) {
    for (const auto& it : sent->value.GetArray()) {
      if (it.IsArray() && it.Size() == kSentEntrySize && it[0].IsString() &&
          it[1].IsInt() && it[2].IsInt()) {
        counts.push_back({ it[0].GetString(), it[1].GetInt(), it[2].GetInt() });
      }
    }
  }
  mFleet.Targets().SetPeerRetryCounts(host->value.GetString(), counts, now);
  const auto lost = json.FindMember("lost");
  if (lost == json.MemberEnd() || !lost->value.IsArray()) {
    return;
  }
  for (const auto& it : lost->value.GetArray()) {
    if (it.IsArray() && it.Size() == 2 && it[0].IsString() && it[1].IsInt()) {
      mFleet.Targets().OnLostByPeer(
        it[0].GetString(), now - milliseconds(it[1].GetInt()), now);
    }
  }
}

void
LoadBroadcaster::SendMessage()
{
  const Time now = EventLoop::Now();
  const auto loads = mFleet.Targets().OwnLoad();
  const auto lost = mFleet.Targets().LostTargets(now);
  const bool hasContent = !loads.empty() || !lost.empty();
  if (hasContent) {
    mSendTimer.ScheduleAt(now + kResendInterval);
  } else if (!mSentContent) {
    return;
  }
  mSentContent = hasContent;
  rapidjson::StringBuffer buf;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buf);
  writer.StartObject();
  writer.Key("host");
  writer.String(mSettings.mHost.c_str());
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
  writer.Key("sent");
  writer.StartArray();
  for (const RetryCount& it : mFleet.Targets().OwnRetryCounts(now)) {
    writer.StartArray();
    writer.String(it.mService.c_str());
    writer.Int(it.mFirstAttempts);
    writer.Int(it.mRetries);
    writer.EndArray();
  }
  writer.EndArray();
  writer.Key("lost");
  writer.StartArray();
  for (const auto& it : lost) {
    writer.StartArray();
    writer.String(it.mTarget.c_str());
    writer.Int(static_cast<int>(ToMilliseconds(now - it.mAt)));
    writer.EndArray();
  }
  writer.EndArray();
  writer.EndObject();
  for (const udp::endpoint& it : ChooseReceivers()) {
    boost::system::error_code ec;
    // Errors are ignored: the next message has the full state again.
    mSocket.send_to(
      boost::asio::buffer(buf.GetString(), buf.GetSize()), it, 0, ec);
  }
}

std::vector<udp::endpoint>
LoadBroadcaster::ChooseReceivers()
{
  std::vector<udp::endpoint> receivers;
  for (const auto& it : mFleet.HostAddresses()) {
    const auto endpoint = ParseEndpoint(it.second);
    if (endpoint && it.first != mSettings.mHost) {
      receivers.emplace_back(endpoint->address(), mSettings.mLoadPort);
    }
  }
  if (receivers.size() > kMaxReceivers) {
    std::shuffle(receivers.begin(), receivers.end(), mRandom);
    receivers.resize(kMaxReceivers);
  }
  return receivers;
}

} // namespace quetzalquay
