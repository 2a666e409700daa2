#include "gateway/LoadSpread.h"

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

// Time in which changes are gathered into one message.
constexpr Duration kGather = milliseconds(40);

// Time after which an unchanged load is told again.
constexpr Duration kRepeat = milliseconds(1000);

// Hosts that one message goes to. With more hosts, others each time.
constexpr std::size_t kMaxReceivers = 16;

// Numbers behind the target's name in one entry.
constexpr rapidjson::SizeType kEntrySize = 4;

// Service, first sends and repeats.
constexpr rapidjson::SizeType kCountSize = 3;

} // namespace

LoadSpread::LoadSpread(EventLoop& aLoop,
                       const GatewaySettings& aSettings,
                       Fleet& aFleet)
  : mSettings(aSettings)
  , mFleet(aFleet)
  , mSocket(aLoop.Context())
  , mSendAt(aLoop, [this] { Send(); })
  , mRandom(StableHash(aSettings.mHost))
{
}

std::optional<std::string>
LoadSpread::Start()
{
  const udp::endpoint at(mSettings.mPeers.address(), mSettings.mLoadPort);
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
  mFleet.Targets().NotifyLoad([this] {
    const Time at = EventLoop::Now() + kGather;
    if (!mSendAt.IsSet() || mSendAt.At() > at) {
      mSendAt.SetAt(at);
    }
  });
  Receive();
  return std::nullopt;
}

void
LoadSpread::Receive()
{
  mSocket.async_receive_from(
    boost::asio::buffer(mBuffer),
    mSender,
    [this](const boost::system::error_code& aError, std::size_t aSize) {
      if (aError == boost::asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        Take(std::string_view(mBuffer.data(), aSize));
      }
      Receive();
    });
}

void
LoadSpread::Take(std::string_view aText)
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
    if (!it.IsArray() || it.Size() != kEntrySize || !it[0].IsString() ||
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
  mFleet.Targets().TakeLoad(host->value.GetString(), loads, now);
  std::vector<RepeatCount> counts;
  const auto sent = json.FindMember("sent");
  if (sent != json.MemberEnd() && sent->value.IsArray()) {
    for (const auto& it : sent->value.GetArray()) {
      if (it.IsArray() && it.Size() == kCountSize && it[0].IsString() &&
          it[1].IsInt() && it[2].IsInt()) {
        counts.push_back({ it[0].GetString(), it[1].GetInt(), it[2].GetInt() });
      }
    }
  }
  mFleet.Targets().TakeRepeats(host->value.GetString(), counts, now);
  const auto lost = json.FindMember("lost");
  if (lost == json.MemberEnd() || !lost->value.IsArray()) {
    return;
  }
  for (const auto& it : lost->value.GetArray()) {
    if (it.IsArray() && it.Size() == 2 && it[0].IsString() && it[1].IsInt()) {
      mFleet.Targets().OnLostElsewhere(
        it[0].GetString(), now - milliseconds(it[1].GetInt()), now);
    }
  }
}

void
LoadSpread::Send()
{
  const Time now = EventLoop::Now();
  const auto loads = mFleet.Targets().OwnLoad();
  const auto lost = mFleet.Targets().LostTargets(now);
  const bool something = !loads.empty() || !lost.empty();
  if (something) {
    mSendAt.SetAt(now + kRepeat);
  } else if (!mToldLoad) {
    return;
  }
  mToldLoad = something;
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
  for (const RepeatCount& it : mFleet.Targets().OwnRepeats(now)) {
    writer.StartArray();
    writer.String(it.mService.c_str());
    writer.Int(it.mFirst);
    writer.Int(it.mRepeats);
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
  for (const udp::endpoint& it : Receivers()) {
    boost::system::error_code ec;
    // A message that cannot be sent is made up for by the next one.
    mSocket.send_to(
      boost::asio::buffer(buf.GetString(), buf.GetSize()), it, 0, ec);
  }
}

std::vector<udp::endpoint>
LoadSpread::Receivers()
{
  std::vector<udp::endpoint> receivers;
  for (const auto& it : mFleet.Hosts()) {
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
