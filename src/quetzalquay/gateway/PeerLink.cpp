#include "gateway/PeerLink.h"

#include "core/Hash.h"
#include "http/JsonText.h"
#include "http/ListReader.h"
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

// Time without a response from the store after which other hosts are queried.
constexpr Duration kStoreOutageDelay = milliseconds(300);

// Interval between two rounds, and time limit for the response of a peer.
constexpr Duration kRoundInterval = milliseconds(500);
constexpr Duration kPeerTimeout = milliseconds(700);

// Readers that a host asks in one round before it reads the store itself.
constexpr int kMaxReadersAsked = 3;

// Time limit for the response of a host that reads the store.
constexpr Duration kReaderTimeout = milliseconds(600);

constexpr std::array<std::pair<const char*, StoreTable>, 4> kTables = {
  { { "configuration", StoreTable::Configuration },
    { "targets", StoreTable::Targets },
    { "hosts", StoreTable::Hosts },
    { "suspects", StoreTable::Suspects } }
};

// Response field with the age of the peer's view of the store in milliseconds.
// Omitted while the store is unreachable, or if it has been reachable again
// only for a short time.
constexpr char kAgeField[] = "age_ms";

// Largest age that is believed; more than that could overflow.
constexpr std::int64_t kMaxAgeMs = 100000000000;

// Member of a table that has all rows, whatever was asked for, as the host does
// not know all that was removed since the version in the query.
constexpr char kWholeField[] = "whole";

// Response field with the software versions by service, for a host that asks
// for them with the query parameter of the same name. Omitted by a host whose
// own history of versions is incomplete.
constexpr char kVersionsField[] = "versions";

void
WriteVersions(Writer& aWriter, const VersionHistory& aHistory, Time aNow)
{
  const auto write = [&aWriter](const std::string& aText) {
    aWriter.String(aText.data(),
                   static_cast<rapidjson::SizeType>(aText.size()));
  };
  aWriter.Key(kVersionsField);
  aWriter.StartArray();
  for (const auto& service : aHistory.AllRecentVersions(aNow)) {
    for (const std::string& it : service.second) {
      aWriter.StartArray();
      write(service.first);
      write(it);
      aWriter.EndArray();
    }
  }
  aWriter.EndArray();
}

// Value of a numeric query parameter in a path, 0 if there is none.
std::int64_t
ParseQueryNumber(const std::string& aPath, const std::string& aName)
{
  auto at = aPath.find(aName + "=");
  // Not the end of another name.
  while (at != std::string::npos && at > 0 && aPath[at - 1] != '?' &&
         aPath[at - 1] != '&') {
    at = aPath.find(aName + "=", at + 1);
  }
  std::int64_t number = 0;
  if (at != std::string::npos) {
    const char* first = aPath.data() + at + aName.size() + 1;
    // An invalid number requests all rows.
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

} // namespace

PeerEra
ParseQueryEra(const std::string& aPath)
{
  PeerEra told;
  const std::string name = std::string(kEraField) + "=";
  auto at = aPath.find(name);
  // Not the end of another name.
  while (at != std::string::npos && at > 0 && aPath[at - 1] != '?' &&
         aPath[at - 1] != '&') {
    at = aPath.find(name, at + 1);
  }
  if (at != std::string::npos) {
    const auto from = at + name.size();
    told.mEra = ParseEra(aPath.substr(from, aPath.find('&', from) - from));
    told.mReadable = told.mEra.has_value();
  }
  return told;
}

PeerEra
ParseReplyEra(const rapidjson::Value& aMessage)
{
  PeerEra told;
  const auto field = aMessage.FindMember(kEraField);
  if (field != aMessage.MemberEnd()) {
    if (field->value.IsString()) {
      told.mEra =
        ParseEra({ field->value.GetString(), field->value.GetStringLength() });
    }
    told.mReadable = told.mEra.has_value();
  }
  return told;
}

bool
ApplyPeerEra(Fleet& aFleet, const PeerEra& aTold)
{
  return aTold.mReadable && aFleet.OnEraTold(aTold.mEra);
}

std::optional<VersionsByService>
ParsePeerVersions(const rapidjson::Value& aMessage)
{
  // A history with a gap could be taken for a complete one, so an entry that
  // cannot be read spoils the list.
  const auto list = aMessage.FindMember(kVersionsField);
  if (list == aMessage.MemberEnd() || !list->value.IsArray()) {
    return std::nullopt;
  }
  VersionsByService versions;
  for (const auto& it : list->value.GetArray()) {
    ListReader reader(it);
    const std::string service = reader.Text();
    const std::string version = reader.Text();
    if (!reader.IsValid()) {
      return std::nullopt;
    }
    versions[service].insert(version);
  }
  return versions;
}

std::optional<StoreRow>
ParsePeerRow(const rapidjson::Value& aValue)
{
  if (!aValue.IsObject()) {
    return std::nullopt;
  }
  const auto end = aValue.MemberEnd();
  const auto key = aValue.FindMember("key");
  const auto value = aValue.FindMember("value");
  const auto version = aValue.FindMember("version");
  const auto removed = aValue.FindMember("removed");
  const bool isRemoved =
    removed != end && removed->value.IsBool() && removed->value.GetBool();
  if (key == end || !key->value.IsString() || version == end ||
      !version->value.IsInt64() || version->value.GetInt64() < 0 ||
      (removed != end && !removed->value.IsBool()) ||
      (!isRemoved && value == end) ||
      (value != end && !value->value.IsString())) {
    return std::nullopt;
  }
  StoreRow row;
  row.mKey.assign(key->value.GetString(), key->value.GetStringLength());
  if (value != end) {
    row.mValue.assign(value->value.GetString(), value->value.GetStringLength());
  }
  row.mVersion = version->value.GetInt64();
  row.mRemoved = isRemoved;
  return row;
}

PeerLink::PeerLink(EventLoop& aLoop,
                   const GatewaySettings& aSettings,
                   Fleet& aFleet,
                   StoreWatch& aStore,
                   ReplyBuffers& aReplies)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mFleet(aFleet)
  , mStore(aStore)
  , mReplies(aReplies)
  , mServer(aLoop,
            [this](const HttpHead& aHead, const std::string&) {
              return HandleRequest(aHead);
            })
  , mRoundTimer(aLoop, [this] { RunRound(); })
  , mNextReaderTimer(aLoop, [this] { QueryReader(EventLoop::Now()); })
  , mRandom(StableHash(aSettings.mHost))
{
  mFleet.SetRetainedCallback([this] { QueryPeers(EventLoop::Now()); });
}

std::optional<ListenFailure>
PeerLink::Listen()
{
  return mServer.Open(mSettings.mPeerEndpoint);
}

void
PeerLink::Start()
{
  mRoundTimer.ScheduleAt(EventLoop::Now() + kRoundInterval);
}

void
PeerLink::Configure(const GatewaySettings& aSettings)
{
  mSettings = aSettings;
}

SimpleHttpReply
PeerLink::HandleRequest(const HttpHead& aHead)
{
  SimpleHttpReply reply;
  if (aHead.mTarget.rfind(kPath, 0) != 0) {
    reply.mStatus = 404;
    return reply;
  }
  const bool isComparable = ApplyPeerEra(mFleet, ParseQueryEra(aHead.mTarget));
  rapidjson::StringBuffer buf;
  Writer writer(buf);
  writer.StartObject();
  if (mFleet.Era() != StoreEra()) {
    const std::string era = FormatEra(mFleet.Era());
    writer.Key(kEraField);
    writer.String(era.c_str(), static_cast<rapidjson::SizeType>(era.size()));
  }
  if (mStore.UnreachableSince() == Time::max() && mFleet.IsStoreSynced()) {
    writer.Key(kAgeField);
    writer.Int64(static_cast<std::int64_t>(
      ToMilliseconds(EventLoop::Now() - mFleet.Readers().KnownAsOf())));
  }
  const Time now = EventLoop::Now();
  if (ParseQueryNumber(aHead.mTarget, kVersionsField) != 0 &&
      mFleet.Versions().IsComplete(now)) {
    WriteVersions(writer, mFleet.Versions(), now);
  }
  for (const auto& it : kTables) {
    // A host of another era, or of a build that knows none, gets all rows.
    std::int64_t after =
      isComparable ? ParseQueryNumber(aHead.mTarget, it.first) : 0;
    const bool isWhole = it.second == StoreTable::Targets &&
                         after < mFleet.TargetRemovalsKnownSince();
    after = isWhole ? 0 : after;
    writer.Key(it.first);
    writer.StartObject();
    if (isWhole) {
      writer.Key(kWholeField);
      writer.Bool(true);
    }
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
  reply.mContentType = "application/json";
  reply.mBody.assign(buf.GetString(), buf.GetSize());
  return reply;
}

void
PeerLink::RunRound()
{
  const Time now = EventLoop::Now();
  mRoundTimer.ScheduleAt(now + kRoundInterval);
  if (mStore.UnreachableSince() == Time::max()) {
    mReadersAsked = 0;
    QueryReader(now);
    mStore.PollIfNeeded();
  }
  LogStaleness(now);
  LogConfirmation(now);
  if (NeedsPeers(now)) {
    QueryPeers(now);
  }
}

void
PeerLink::LogStaleness(Time aNow)
{
  const bool stale = mFleet.Readers().IsStale(aNow);
  if (stale != mWasStale) {
    Log(LogLevel::Info,
        "peers",
        stale ? "view of the store is too old; asking other hosts"
              : "view of the store is recent again",
        { { "age_ms",
            std::to_string(static_cast<std::int64_t>(
              ToMilliseconds(aNow - mFleet.Readers().KnownAsOf()))) } });
  }
  mWasStale = stale;
}

void
PeerLink::LogConfirmation(Time aNow)
{
  const bool confirmed = mFleet.IsConfigurationConfirmed(aNow);
  const auto& routing = mFleet.Routing();
  if (confirmed != mWasConfirmed && routing != nullptr) {
    Log(confirmed ? LogLevel::Info : LogLevel::Warn,
        "peers",
        confirmed ? "configuration confirmed"
                  : "the configuration may be out of date",
        { { "version", std::to_string(routing->mVersion) },
          { "age_ms",
            std::to_string(static_cast<std::int64_t>(
              ToMilliseconds(aNow - mFleet.ConfigurationConfirmedAt()))) } });
  }
  mWasConfirmed = confirmed;
}

bool
PeerLink::NeedsPeers(Time aNow) const
{
  const Time unreachableSince = mStore.UnreachableSince();
  const bool unreachable = unreachableSince != Time::max() &&
                           aNow - unreachableSince >= kStoreOutageDelay;
  // A store that does not answer is noticed late, so the age counts as well.
  return unreachable || mFleet.Readers().IsStale(aNow) ||
         mFleet.HasRetainedTargets();
}

std::string
PeerLink::BuildQueryPath(bool aAllTargets) const
{
  std::string path = kPath;
  for (const auto& it : kTables) {
    const bool all = aAllTargets && it.second == StoreTable::Targets;
    path += path == kPath ? "?" : "&";
    path += it.first;
    path += "=" + std::to_string(all ? 0 : mFleet.Version(it.second));
  }
  if (mFleet.Era() != StoreEra()) {
    path += std::string("&") + kEraField + "=" + FormatEra(mFleet.Era());
  }
  if (!mFleet.Versions().IsComplete(EventLoop::Now())) {
    path += std::string("&") + kVersionsField + "=1";
  }
  return path;
}

void
PeerLink::QueryPeers(Time aNow)
{
  std::vector<Endpoint> peers = PeerEndpoints();
  std::shuffle(peers.begin(), peers.end(), mRandom);
  const bool all =
    !mFleet.IsReady() || mFleet.Version(StoreTable::Targets) == 0;
  if (peers.empty()) {
    // No other host can know more.
    mFleet.OnTargetsKnownAsOf(aNow);
  }
  std::size_t slot = 0;
  for (const Endpoint& it : peers) {
    while (slot < kFanOut && mPeerClients[slot] != nullptr &&
           mPeerClients[slot]->IsBusy()) {
      ++slot;
    }
    if (slot == kFanOut) {
      break;
    }
    if (mPeerClients[slot] == nullptr || mPeerEndpoints[slot] != it) {
      mPeerClients[slot] = std::make_unique<AsyncHttpClient>(
        mLoop, it, mReplies, ReplyKind::HostTables);
      mPeerEndpoints[slot] = it;
    }
    const std::string peer = FormatEndpoint(it);
    mPeerClients[slot]->Call(
      "GET " + BuildQueryPath(all) + " HTTP/1.1\r\nHost: " + peer + "\r\n\r\n",
      aNow + kPeerTimeout,
      [this, all, peer, aNow](auto aReply, const auto& aReason) {
        const AppliedReply applied = ApplyReply(aReply, all, peer, aReason);
        if (applied.mIsApplied) {
          mFleet.OnTargetsKnownAsOf(aNow);
        }
        if (applied.mAge) {
          mFleet.OnConfigurationKnownAsOf(aNow - *applied.mAge);
        }
      });
    ++slot;
  }
}

void
PeerLink::QueryReader(Time aNow)
{
  const auto host = mFleet.Readers().ReaderToAsk(aNow);
  if (!host || !mFleet.IsReady()) {
    mReaderClient.reset();
    return;
  }
  const auto address = mFleet.HostAddresses().find(*host);
  const auto endpoint = address == mFleet.HostAddresses().end()
                          ? std::nullopt
                          : ParseEndpoint(address->second);
  if (!endpoint) {
    mFleet.Readers().OnReaderFailed(*host, aNow);
    return;
  }
  if (mReaderClient == nullptr || mReaderEndpoint != *endpoint) {
    mReaderClient = std::make_unique<AsyncHttpClient>(
      mLoop, *endpoint, mReplies, ReplyKind::HostTables);
    mReaderEndpoint = *endpoint;
  }
  if (mReaderClient->IsBusy()) {
    return;
  }
  ++mReadersAsked;
  mReaderClient->Call(
    "GET " + BuildQueryPath(false) + " HTTP/1.1\r\nHost: " + address->second +
      "\r\n\r\n",
    aNow + kReaderTimeout,
    [this, name = *host, aNow](const auto& aReply, const auto& aReason) {
      OnReaderReply(name, aNow, aReply, aReason);
    });
}

void
PeerLink::OnReaderReply(const std::string& aHost,
                        Time aSentAt,
                        const std::optional<HttpReply>& aReply,
                        const std::string& aReason)
{
  const auto age =
    ApplyReply(aReply, false, FormatEndpoint(mReaderEndpoint), aReason).mAge;
  if (age) {
    mFleet.Readers().OnReaderAnswered(aHost, aSentAt - *age);
    mFleet.OnConfigurationKnownAsOf(aSentAt - *age);
    mFleet.OnTargetsKnownAsOf(aSentAt - *age);
  }
  const Time now = EventLoop::Now();
  if (!age || mFleet.Readers().MustReadStore(RowUrgency::Vital, now)) {
    mFleet.Readers().OnReaderFailed(aHost, now);
    Log(
      LogLevel::Info,
      "peers",
      "reader did not provide current rows",
      { { "host", aHost },
        { "age_ms",
          age ? std::to_string(static_cast<int>(ToMilliseconds(*age)))
              : "unknown" },
        { "reason", aReply && !age ? "no contact with the store" : aReason } });
    if (aReply && mReadersAsked < kMaxReadersAsked) {
      // Not within the callback of the client, which is replaced.
      mNextReaderTimer.ScheduleAt(now);
    } else {
      mStore.PollIfNeeded();
    }
  }
}

std::vector<Endpoint>
PeerLink::PeerEndpoints() const
{
  std::vector<Endpoint> peers = mSettings.mSeeds;
  for (const auto& it : mFleet.HostAddresses()) {
    if (const auto endpoint = ParseEndpoint(it.second)) {
      peers.push_back(*endpoint);
    }
  }
  std::sort(peers.begin(), peers.end());
  peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
  peers.erase(std::remove(peers.begin(), peers.end(), mSettings.mPeerEndpoint),
              peers.end());
  return peers;
}

std::optional<Duration>
PeerLink::ReadAge(const rapidjson::Value& aMessage,
                  const std::string& aPeer) const
{
  const auto field = aMessage.FindMember(kAgeField);
  if (field == aMessage.MemberEnd()) {
    return std::nullopt;
  }
  if (!field->value.IsInt64() || field->value.GetInt64() < 0 ||
      field->value.GetInt64() > kMaxAgeMs) {
    mFleet.ReportUnreadable(aPeer, kAgeField);
    return std::nullopt;
  }
  return milliseconds(field->value.GetInt64());
}

std::optional<PeerLink::PeerTable>
PeerLink::ReadTable(const rapidjson::Value& aTable,
                    const char* aName,
                    const std::string& aPeer) const
{
  if (!aTable.IsObject()) {
    return std::nullopt;
  }
  const auto version = aTable.FindMember("version");
  const auto list = aTable.FindMember("rows");
  if (version == aTable.MemberEnd() || !version->value.IsInt64() ||
      list == aTable.MemberEnd() || !list->value.IsArray()) {
    return std::nullopt;
  }
  PeerTable table;
  table.mVersion = version->value.GetInt64();
  for (const auto& row : list->value.GetArray()) {
    if (auto decoded = ParsePeerRow(row)) {
      table.mRows.push_back(std::move(*decoded));
    } else {
      mFleet.ReportUnreadable(aPeer, aName);
    }
  }
  const auto whole = aTable.FindMember(kWholeField);
  table.mIsWhole = whole != aTable.MemberEnd() && whole->value.IsBool() &&
                   whole->value.GetBool();
  return table;
}

PeerLink::AppliedReply
PeerLink::ApplyReply(const std::optional<HttpReply>& aReply,
                     bool aAllTargets,
                     const std::string& aPeer,
                     const std::string& aReason)
{
  rapidjson::Document json;
  if (aReply && aReply->mHead.mStatus == 200) {
    ParseJson(json, aReply->mBody);
  }
  if (!aReply || json.HasParseError() || !json.IsObject()) {
    Log(
      LogLevel::Debug,
      "peers",
      "no usable reply from a peer",
      { { "peer", aPeer }, { "reason", aReply ? "invalid reply" : aReason } });
    return {};
  }
  if (const auto versions = ParsePeerVersions(json)) {
    mFleet.OnVersionsRecorded(*versions, EventLoop::Now());
  } else if (json.HasMember(kVersionsField)) {
    mFleet.ReportUnreadable(aPeer, kVersionsField);
  }
  const auto age = ReadAge(json, aPeer);
  const PeerEra told = ParseReplyEra(json);
  if (!told.mReadable) {
    mFleet.ReportUnreadable(aPeer, kEraField);
  }
  if (!ApplyPeerEra(mFleet, told)) {
    Log(LogLevel::Info,
        "peers",
        "rows of another era of the store ignored",
        { { "peer", aPeer },
          { "era",
            told.mEra ? FormatEra(*told.mEra)
                      : std::string(told.mReadable ? "none" : "unreadable") },
          { "own_era", FormatEra(mFleet.Era()) } });
    return {};
  }
  // A host with an old view may not have noticed an outage of the store.
  const bool synced = age && *age < ReaderChoice::kMaxStaleness;
  for (const auto& it : kTables) {
    const auto table = json.FindMember(it.first);
    if (table == json.MemberEnd()) {
      continue;
    }
    const auto read = ReadTable(table->value, it.first, aPeer);
    if (!read) {
      mFleet.ReportUnreadable(aPeer, it.first);
      continue;
    }
    // Asked with no version of this era, a host tells all rows.
    const bool isWhole =
      it.second == StoreTable::Targets && !read->mRows.empty() &&
      (read->mIsWhole || aAllTargets || mFleet.Version(it.second) == 0);
    mFleet.ApplyRows(it.second,
                     read->mRows,
                     isWhole,
                     read->mVersion,
                     synced ? RowSource::SyncedPeer : RowSource::Peer);
  }
  return { true, age };
}

} // namespace quetzalquay
