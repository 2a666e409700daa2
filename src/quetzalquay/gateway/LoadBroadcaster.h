#ifndef QUETZALQUAY_GATEWAY_LOADBROADCASTER_H_INCLUDED
#define QUETZALQUAY_GATEWAY_LOADBROADCASTER_H_INCLUDED

#include "gateway/Fleet.h"
#include "gateway/FormatLog.h"
#include "gateway/HeardHosts.h"
#include "gateway/LimitWatch.h"
#include "gateway/LoadMessages.h"
#include "gateway/RolloutMessages.h"
#include "http/SimpleHttpServer.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <string>
#include <vector>

namespace quetzalquay {

// Exchanges with other hosts, over UDP, the load that each has put on targets,
// the targets it has lost or found to be gone, the requests suspected of
// crashing targets and the origins of streams, so that every host chooses
// targets by their total load and can take up streams. Each datagram has the
// full state but for suspects and origins, so a lost one is compensated by the
// next; changes of suspects are repeated, and passed on by the hosts that
// receive them; origins are repeated once. Hosts also ask each other for
// retries; a lost grant leaves its retries unused.
class LoadBroadcaster
{
public:
  LoadBroadcaster(EventLoop& aLoop,
                  const GatewaySettings& aSettings,
                  Fleet& aFleet,
                  LimitWatch& aLimits,
                  FormatLog& aFormats);

  // Maximum number of hosts that receive one message. With more hosts, each
  // message goes to a random selection.
  static constexpr std::size_t kMaxReceivers = 16;

  // Binds the port for messages, unless it is 0. Returns the reason on failure,
  // and may be called again.
  std::optional<ListenFailure> Listen();

  // Applies new settings. If they have another port, Listen() and Start() have
  // to be called again.
  void Configure(const GatewaySettings& aSettings);

  // Starts to receive and to send.
  void Start();

  // Sends an ask to its hosts. Returns the number of those that are known.
  int SendReachAsk(const ReachAsk& aAsk);

  // Tells other hosts soon from which services' targets this one is cut off.
  void AnnounceReach();

  // Sets a function that receives the answers to SendReachAsk().
  void SetReachCallback(std::function<void(const ReachAnswer&)> aCallback);

  // Sets functions that receive what other hosts tell of rollouts, with the
  // host's name.
  void SetRolloutCallbacks(
    std::function<void(const std::string&, const RolloutReport&)> aOnReport,
    std::function<void(const std::string&, const RolloutDirective&)>
      aOnDirective);

  // Tells a host what this one has seen of a rollout, or what the keeper of a
  // rollout has decided. Does nothing if the host's address is not known.
  void SendRolloutReport(const std::string& aHost,
                         const RolloutReport& aReport);
  void SendRolloutDirective(const std::string& aHost,
                            const RolloutDirective& aDirective);

private:
  void Receive();
  void HandleMessage(std::string_view aText);
  void ApplyEra(const std::string& aHost, const rapidjson::Value& aMessage);
  void ApplySuspects(const std::string& aHost,
                     const rapidjson::Value& aMessage,
                     bool aPassOn,
                     Time aNow);
  template<typename Parse, typename Apply>
  void ForEachEntry(const std::string& aHost,
                    const rapidjson::Value& aMessage,
                    const char* aName,
                    const Parse& aParse,
                    const Apply& aApply);
  void ApplyLoad(const std::string& aHost,
                 const rapidjson::Value& aMessage,
                 Time aNow);
  // A budget that the hosts share, and the members of messages about it.
  struct SharedBudget
  {
    RetryBudget* mBudget;
    const char* mTotalsName;
    const char* mAsksName;
    const char* mGrantsName;
  };
  std::array<SharedBudget, 2> SharedBudgets();
  // Takes note of what another host has sent, answers its asks for parts of a
  // budget, and takes what it grants.
  void ExchangeBudget(const SharedBudget& aBudget,
                      const std::string& aHost,
                      std::uint64_t aStart,
                      const rapidjson::Value& aMessage,
                      Time aNow);
  void SendAsk(const SharedBudget& aBudget, const RetryAsk& aAsk);
  // Where a host receives messages; nothing if that is not known.
  std::optional<boost::asio::ip::udp::endpoint> Find(
    const std::string& aHost) const;
  void ExchangeReach(const std::string& aHost,
                     const rapidjson::Value& aMessage,
                     Time aNow);
  void ApplyLimits(const std::string& aHost,
                   const rapidjson::Value& aMessage,
                   Time aNow);
  void WriteLimits(rapidjson::Writer<rapidjson::StringBuffer>& aWriter,
                   Time aNow);
  // Tells the keepers of brittle targets what this host has under way there,
  // and asks them for room.
  void SendRoomMessages();
  // Sends answers to asks for room, and grants of asks that were queued.
  void SendRoomAnswers(const std::vector<RoomAnswerEntry>& aAnswers,
                       const boost::asio::ip::udp::endpoint& aReceiver);
  void SendRoomGrants(Time aNow);
  // Answers the asks of another host for room, and takes what it grants.
  void ExchangeRoom(const std::string& aHost,
                    const rapidjson::Value& aMessage,
                    Time aNow);
  void SendMessage();
  // Schedules a message at aAt unless an earlier one is scheduled.
  void SendBy(Time aAt);
  // Records that a host was heard from, and tells it all suspects if it is new
  // or was silent for a while.
  void OnHeardFrom(const std::string& aHost, std::uint64_t aStart, Time aNow);
  // Writes the members of a message that tell who sends it.
  void WriteSender(rapidjson::Writer<rapidjson::StringBuffer>& aWriter) const;
  // Sends a list with one entry, which aWrite writes.
  void SendEntry(const std::string& aHost,
                 const char* aName,
                 const std::function<void(MessageWriter&)>& aWrite);
  void SendTo(const boost::asio::ip::udp::endpoint& aReceiver,
              const rapidjson::StringBuffer& aMessage);
  // Announces origins of streams, in datagrams of their own.
  void SendOrigins(Time aNow);
  // Tells of targets that have left, in datagrams of their own.
  void SendDepartures(Time aNow);
  void OnDeparture(const TargetDeparture& aDeparture,
                   const std::string& aHost,
                   bool aPassOn,
                   Time aNow);
  void SendSuspects(const boost::asio::ip::udp::endpoint& aReceiver, Time aNow);
  void LogSuspect(const SuspectReport& aReport,
                  const std::string& aHost,
                  Time aNow) const;
  std::vector<boost::asio::ip::udp::endpoint> ChooseReceivers();

  GatewaySettings mSettings;
  // Number of sockets so far, by which messages of an earlier one are told.
  int mSocketCount = 0;
  // Whether messages are sent and received.
  bool mReceiving = false;
  Fleet& mFleet;
  LimitWatch& mLimits;
  FormatLog& mFormats;
  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mSender;
  std::array<char, 65536> mBuffer{};
  Timer mSendTimer;
  Timer mRoomTimer;
  std::mt19937_64 mRandom;
  // Whether the last message had any load or lost targets.
  bool mSentContent = false;
  HeardHosts mHeardHosts;
  // Until when messages without content are sent, so that the other hosts learn
  // of this one.
  Time mAnnounceUntil;
  // When a message with changes of suspects may be sent again.
  Time mNextNewsAt;
  Time mNextDeparturesAt;
  std::function<void(const ReachAnswer&)> mOnReachAnswer;
  std::function<void(const std::string&, const RolloutReport&)>
    mOnRolloutReport;
  std::function<void(const std::string&, const RolloutDirective&)>
    mOnRolloutDirective;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_LOADBROADCASTER_H_INCLUDED
