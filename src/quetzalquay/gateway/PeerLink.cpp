#include "gateway/PeerLink.h"

#include "core/Hash.h"
#include "observe/Log.h"

#include <algorithm>
#include <charconv>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace quetzalquay {

namespace {

using platform::StoreRow;
using platform::StoreTable;
using std::chrono::milliseconds;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr char kPath[] = "/knowledge";

// Time without an answer of the store after which other hosts are asked.
constexpr Duration kStoreSilence = milliseconds(300);

// Time between two rounds, and for one answer.
constexpr Duration kRoundPause = milliseconds(500);
constexpr Duration kAnswerTime = milliseconds(700);

// Time that a reader of the store has for an answer.
constexpr Duration kReaderTime = milliseconds(600);

constexpr std::array<std::pair<const char*, StoreTable>, 3> kTables = {
  { { "configuration", StoreTable::Configuration },
    { "targets", StoreTable::Targets },
    { "hosts", StoreTable::Hosts } }
};

// Milliseconds since the answerer's knowledge was that of the store; left out
// when the store does not answer it, or has not for long.
constexpr char kAge[] = "age_ms";

// Number behind "name=" in a path, 0 when there is none.
std::int64_t
QueryNumber(const std::string& aPath, const std::string& aName)
{
  const auto at = aPath.find(aName + "=");
  std::int64_t number = 0;
  if (at != std::string::npos) {
    const char* first = aPath.data() + at + aName.size() + 1;
    // An unreadable number asks for everything.
    if (std::from_chars(first, aPath.data() + aPath.size(), number).ec !=
        std::errc()) {
      return 0;
    }
  }
  return number;
}

void
WriteRow(Writer& aWriter, const StoreRow& aRow)
{
  aWriter.StartObject();
  aWriter.Key("key");
  aWriter.String(aRow.mKey.data(),
                 static_cast<rapidjson::SizeType>(aRow.mKey.size()));
  aWriter.Key("value");
  aWriter.String(aRow.mValue.data(),
                 static_cast<rapidjson::SizeType>(aRow.mValue.size()));
  aWriter.Key("version");
  aWriter.Int64(aRow.mVersion);
  aWriter.Key("removed");
  aWriter.Bool(aRow.mRemoved);
  aWriter.EndObject();
}

std::optional<StoreRow>
ReadRow(const rapidjson::Value& aValue)
{
  if (!aValue.IsObject()) {
    return std::nullopt;
  }
  const auto key = aValue.FindMember("key");
  const auto value = aValue.FindMember("value");
  const auto version = aValue.FindMember("version");
  const auto removed = aValue.FindMember("removed");
  const auto end = aValue.MemberEnd();
  if (key == end || value == end || version == end || removed == end ||
      !key->value.IsString() || !value->value.IsString() ||
      !version->value.IsInt64() || !removed->value.IsBool()) {
    return std::nullopt;
  }
  StoreRow row;
  row.mKey.assign(key->value.GetString(), key->value.GetStringLength());
  row.mValue.assign(value->value.GetString(), value->value.GetStringLength());
  row.mVersion = version->value.GetInt64();
  row.mRemoved = removed->value.GetBool();
  return row;
}

} // namespace

PeerLink::PeerLink(EventLoop& aLoop,
                   const GatewaySettings& aSettings,
                   Fleet& aFleet,
                   StoreWatch& aStore)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mFleet(aFleet)
  , mStore(aStore)
  , mServer(aLoop,
            [this](const HttpHead& aHead, const std::string&) {
              return Answer(aHead);
            })
  , mAskAgain(aLoop, [this] { Ask(); })
  , mRandom(StableHash(aSettings.mHost))
{
}

std::optional<std::string>
PeerLink::Start()
{
  mAskAgain.SetAt(EventLoop::Now() + kRoundPause);
  return mServer.Open(mSettings.mPeers);
}

void
PeerLink::Configure(const GatewaySettings& aSettings)
{
  mSettings = aSettings;
}

SmallReply
PeerLink::Answer(const HttpHead& aHead) const
{
  SmallReply reply;
  if (aHead.mTarget.rfind(kPath, 0) != 0) {
    reply.mStatus = 404;
    return reply;
  }
  rapidjson::StringBuffer buf;
  Writer writer(buf);
  writer.StartObject();
  if (mStore.LostSince() == Time::max() && mFleet.IsSettled()) {
    writer.Key(kAge);
    writer.Int64(static_cast<std::int64_t>(
      ToMilliseconds(EventLoop::Now() - mFleet.Readers().KnownAsOf())));
  }
  for (const auto& it : kTables) {
    const std::int64_t after = QueryNumber(aHead.mTarget, it.first);
    writer.Key(it.first);
    writer.StartObject();
    writer.Key("version");
    writer.Int64(mFleet.Version(it.second));
    writer.Key("rows");
    writer.StartArray();
    for (const auto& row : mFleet.Rows(it.second)) {
      if (row.second.mVersion > after) {
        WriteRow(writer, row.second);
      }
    }
    writer.EndArray();
    writer.EndObject();
  }
  writer.EndObject();
  reply.mType = "application/json";
  reply.mBody.assign(buf.GetString(), buf.GetSize());
  return reply;
}

void
PeerLink::Ask()
{
  const Time now = EventLoop::Now();
  mAskAgain.SetAt(now + kRoundPause);
  const Time lostSince = mStore.LostSince();
  if (lostSince == Time::max()) {
    AskReader(now);
    mStore.Look();
  } else if (now - lostSince >= kStoreSilence) {
    AskOthers(now);
  }
}

std::string
PeerLink::PathOfQuestion(bool aAll) const
{
  std::string path = kPath;
  for (const auto& it : kTables) {
    const bool all = aAll && it.second == StoreTable::Targets;
    path += path == kPath ? "?" : "&";
    path += it.first;
    path += "=" + std::to_string(all ? 0 : mFleet.Version(it.second));
  }
  return path;
}

void
PeerLink::AskOthers(Time aNow)
{
  std::vector<Endpoint> peers = Peers();
  std::shuffle(peers.begin(), peers.end(), mRandom);
  const bool all = !mFleet.IsReady();
  std::size_t slot = 0;
  for (const Endpoint& it : peers) {
    while (slot < kFanOut && mCallers[slot] != nullptr &&
           mCallers[slot]->IsBusy()) {
      ++slot;
    }
    if (slot == kFanOut) {
      break;
    }
    if (mCallers[slot] == nullptr || mAsked[slot] != it) {
      mCallers[slot] = std::make_unique<HttpCaller>(mLoop, it);
      mAsked[slot] = it;
    }
    const std::string peer = ToText(it);
    mCallers[slot]->Call("GET " + PathOfQuestion(all) +
                           " HTTP/1.1\r\nHost: " + peer + "\r\n\r\n",
                         aNow + kAnswerTime,
                         [this, all, peer](auto aReply, const auto& aReason) {
                           Take(aReply, all, peer, aReason);
                         });
    ++slot;
  }
}

void
PeerLink::AskReader(Time aNow)
{
  const auto host = mFleet.Readers().HostToAsk(aNow);
  if (!host || !mFleet.IsReady()) {
    mReaderCaller.reset();
    return;
  }
  const auto address = mFleet.Hosts().find(*host);
  const auto endpoint = address == mFleet.Hosts().end()
                          ? std::nullopt
                          : ParseEndpoint(address->second);
  if (!endpoint) {
    mFleet.Readers().OnFailed(*host, aNow);
    return;
  }
  if (mReaderCaller == nullptr || mReader != *endpoint) {
    mReaderCaller = std::make_unique<HttpCaller>(mLoop, *endpoint);
    mReader = *endpoint;
  }
  if (mReaderCaller->IsBusy()) {
    return;
  }
  mReaderCaller->Call(
    "GET " + PathOfQuestion(false) + " HTTP/1.1\r\nHost: " + address->second +
      "\r\n\r\n",
    aNow + kReaderTime,
    [this, name = *host, aNow](const auto& aReply, const auto& aReason) {
      OnReaderReply(name, aNow, aReply, aReason);
    });
}

void
PeerLink::OnReaderReply(const std::string& aHost,
                        Time aAskedAt,
                        const std::optional<HttpReply>& aReply,
                        const std::string& aReason)
{
  const auto age = Take(aReply, false, ToText(mReader), aReason);
  if (age) {
    mFleet.Readers().OnTold(aHost, aAskedAt - *age);
  }
  const Time now = EventLoop::Now();
  if (!age || mFleet.Readers().MustRead(now)) {
    mFleet.Readers().OnFailed(aHost, now);
    Log(LogLevel::Info,
        "peers",
        "reader passed over",
        { { "host", aHost },
          { "age_ms",
            age ? std::to_string(static_cast<int>(ToMilliseconds(*age)))
                : "unknown" },
          { "reason", aReason } });
    mStore.Look();
  }
}

std::vector<Endpoint>
PeerLink::Peers() const
{
  std::vector<Endpoint> peers = mSettings.mSeeds;
  for (const auto& it : mFleet.Hosts()) {
    if (const auto endpoint = ParseEndpoint(it.second)) {
      peers.push_back(*endpoint);
    }
  }
  std::sort(peers.begin(), peers.end());
  peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
  peers.erase(std::remove(peers.begin(), peers.end(), mSettings.mPeers),
              peers.end());
  return peers;
}

std::optional<Duration>
PeerLink::Take(const std::optional<HttpReply>& aReply,
               bool aAskedForAll,
               const std::string& aPeer,
               const std::string& aReason)
{
  rapidjson::Document json;
  if (aReply && aReply->mHead.mStatus == 200) {
    json.Parse(aReply->mBody.data(), aReply->mBody.size());
  }
  if (!aReply || json.HasParseError() || !json.IsObject()) {
    Log(LogLevel::Debug,
        "peers",
        "no knowledge from a peer",
        { { "peer", aPeer },
          { "reason", aReply ? "its answer is not usable" : aReason } });
    return std::nullopt;
  }
  std::optional<Duration> age;
  const auto told = json.FindMember(kAge);
  if (told != json.MemberEnd() && told->value.IsInt64()) {
    age = milliseconds(told->value.GetInt64());
  }
  for (const auto& it : kTables) {
    const auto table = json.FindMember(it.first);
    if (table == json.MemberEnd() || !table->value.IsObject()) {
      continue;
    }
    const auto version = table->value.FindMember("version");
    const auto list = table->value.FindMember("rows");
    if (version == table->value.MemberEnd() || !version->value.IsInt64() ||
        list == table->value.MemberEnd() || !list->value.IsArray()) {
      continue;
    }
    std::vector<StoreRow> rows;
    for (const auto& row : list->value.GetArray()) {
      if (auto decoded = ReadRow(row)) {
        rows.push_back(std::move(*decoded));
      }
    }
    const bool whole =
      aAskedForAll && it.second == StoreTable::Targets && !rows.empty();
    mFleet.Take(it.second,
                rows,
                whole,
                version->value.GetInt64(),
                age ? Source::Informed : Source::Peer);
  }
  return age;
}

} // namespace quetzalquay
