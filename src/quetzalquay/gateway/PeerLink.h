#ifndef QUETZALQUAY_GATEWAY_PEERLINK_H_INCLUDED
#define QUETZALQUAY_GATEWAY_PEERLINK_H_INCLUDED

#include "core/StoreEra.h"
#include "gateway/Fleet.h"
#include "gateway/StoreWatch.h"
#include "http/AsyncHttpClient.h"
#include "http/SimpleHttpServer.h"

#include <memory>
#include <optional>
#include <random>
#include <rapidjson/document.h>
#include <string>
#include <vector>

namespace quetzalquay {

// Software versions by service in a host's reply; nothing if it has none, or
// not all can be read.
std::optional<VersionsByService>
ParsePeerVersions(const rapidjson::Value& aMessage);

// A row in a host's reply; nothing if it cannot be read. "removed" may be
// missing, which means that the row is there.
std::optional<platform::StoreRow>
ParsePeerRow(const rapidjson::Value& aValue);

// Member of queries, replies and datagrams with the era of the store. Omitted
// while the store has had one only.
constexpr char kEraField[] = "era";

// What a host tells, in a query, a reply or a datagram, of the era of its
// versions.
struct PeerEra
{
  // Nothing if it tells none, or one that cannot be read.
  std::optional<StoreEra> mEra;
  // False if it tells one that cannot be read: its versions compare with no
  // others.
  bool mReadable = true;
};

// The era in the path of a query.
PeerEra
ParseQueryEra(const std::string& aPath);

// The era in a host's reply or datagram.
PeerEra
ParseReplyEra(const rapidjson::Value& aMessage);

// Applies the era that another host tells. Returns whether the versions that it
// tells are of the present era; those of an era that cannot be read may not be.
bool
ApplyPeerEra(Fleet& aFleet, const PeerEra& aTold);

// Synchronizes store rows between hosts. Every host answers requests for the
// rows that it knows beyond given versions. A host that does not read the store
// itself queries one that does. A host queries a few other hosts at a time
// while it cannot reach the store, while its view of the store is too old, and
// while it uses removed targets that another host may know to be gone.
class PeerLink
{
public:
  PeerLink(EventLoop& aLoop,
           const GatewaySettings& aSettings,
           Fleet& aFleet,
           StoreWatch& aStore,
           ReplyBuffers& aReplies);

  // Listens for queries of peers. Returns the reason on failure, and may be
  // called again.
  std::optional<ListenFailure> Listen();

  // Limits the connections of other hosts that query this one, and tells of
  // those that are closed for others.
  void SetMaxConnections(std::size_t aMaxConnections)
  {
    mServer.SetMaxConnections(aMaxConnections);
  }
  void SetEvictionCallback(SimpleHttpServer::EvictionCallback aCallback)
  {
    mServer.SetEvictionCallback(std::move(aCallback));
  }

  // Starts to query peers.
  void Start();

  // Applies new settings, such as other seeds.
  void Configure(const GatewaySettings& aSettings);

private:
  SimpleHttpReply HandleRequest(const HttpHead& aHead);
  void RunRound();
  void LogStaleness(Time aNow);
  void LogConfirmation(Time aNow);
  bool NeedsPeers(Time aNow) const;
  void QueryPeers(Time aNow);
  void QueryReader(Time aNow);
  std::string BuildQueryPath(bool aAllTargets) const;
  void OnReaderReply(const std::string& aHost,
                     Time aSentAt,
                     const std::optional<HttpReply>& aReply,
                     const std::string& aReason);
  // What a response was good for.
  struct AppliedReply
  {
    // Whether its rows were applied.
    bool mIsApplied = false;
    // Age of the peer's view of the store; nothing if the response is invalid
    // or the peer is not in sync.
    std::optional<Duration> mAge;
  };

  // A table of a response.
  struct PeerTable
  {
    std::int64_t mVersion = 0;
    std::vector<platform::StoreRow> mRows;
    // Whether the rows are all rows of the table.
    bool mIsWhole = false;
  };

  // Age of the peer's view of the store, and a table by its name in messages;
  // nothing if they are missing or unreadable. What is unreadable is reported,
  // but for the table itself.
  std::optional<Duration> ReadAge(const rapidjson::Value& aMessage,
                                  const std::string& aPeer) const;
  std::optional<PeerTable> ReadTable(const rapidjson::Value& aTable,
                                     const char* aName,
                                     const std::string& aPeer) const;

  // Applies the rows of a response.
  AppliedReply ApplyReply(const std::optional<HttpReply>& aReply,
                          bool aAllTargets,
                          const std::string& aPeer,
                          const std::string& aReason);
  std::vector<Endpoint> PeerEndpoints() const;

  // Maximum number of hosts queried at the same time.
  static constexpr std::size_t kFanOut = 2;

  EventLoop& mLoop;
  GatewaySettings mSettings;
  Fleet& mFleet;
  StoreWatch& mStore;
  ReplyBuffers& mReplies;
  SimpleHttpServer mServer;
  std::unique_ptr<AsyncHttpClient> mPeerClients[kFanOut];
  Endpoint mPeerEndpoints[kFanOut];
  std::unique_ptr<AsyncHttpClient> mReaderClient;
  Endpoint mReaderEndpoint;
  Timer mRoundTimer;
  // Asks the next reader after one that could not help.
  Timer mNextReaderTimer;
  // Readers asked in this round.
  int mReadersAsked = 0;
  // Whether the view of the store was too old in the last round.
  bool mWasStale = false;
  // Whether the configuration was known to be the newest one in the last round.
  bool mWasConfirmed = false;
  std::mt19937_64 mRandom;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_PEERLINK_H_INCLUDED
