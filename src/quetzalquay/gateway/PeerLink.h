#ifndef QUETZALQUAY_GATEWAY_PEERLINK_H_INCLUDED
#define QUETZALQUAY_GATEWAY_PEERLINK_H_INCLUDED

#include "gateway/Fleet.h"
#include "gateway/StoreWatch.h"
#include "http/HttpCaller.h"
#include "http/SmallServer.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace quetzalquay {

// Lets hosts learn from each other what they do not read in the store: any host
// answers with the rows that it knows beyond given versions. A host that is not
// a reader of the store asks one that is; a host that the store leaves without
// an answer asks a few others at a time.
class PeerLink
{
public:
  PeerLink(EventLoop& aLoop,
           const GatewaySettings& aSettings,
           Fleet& aFleet,
           StoreWatch& aStore);

  // Starts to answer; returns the reason on failure.
  std::optional<std::string> Start();

  // New settings: other seeds.
  void Configure(const GatewaySettings& aSettings);

private:
  SmallReply Answer(const HttpHead& aHead) const;
  void Ask();
  void AskOthers(Time aNow);
  void AskReader(Time aNow);
  std::string PathOfQuestion(bool aAll) const;
  void OnReaderReply(const std::string& aHost,
                     Time aAskedAt,
                     const std::optional<HttpReply>& aReply,
                     const std::string& aReason);
  // Takes the rows of an answer; returns how old the answerer's knowledge of
  // the store is, or nothing.
  std::optional<Duration> Take(const std::optional<HttpReply>& aReply,
                               bool aAskedForAll,
                               const std::string& aPeer,
                               const std::string& aReason);
  std::vector<Endpoint> Peers() const;

  // Calls to other hosts at the same time.
  static constexpr std::size_t kFanOut = 2;

  EventLoop& mLoop;
  GatewaySettings mSettings;
  Fleet& mFleet;
  StoreWatch& mStore;
  SmallServer mServer;
  std::unique_ptr<HttpCaller> mCallers[kFanOut];
  Endpoint mAsked[kFanOut];
  std::unique_ptr<HttpCaller> mReaderCaller;
  Endpoint mReader;
  Alarm mAskAgain;
  std::mt19937_64 mRandom;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_PEERLINK_H_INCLUDED
