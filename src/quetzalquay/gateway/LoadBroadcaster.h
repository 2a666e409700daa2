#ifndef QUETZALQUAY_GATEWAY_LOADBROADCASTER_H_INCLUDED
#define QUETZALQUAY_GATEWAY_LOADBROADCASTER_H_INCLUDED

#include "gateway/Fleet.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace quetzalquay {

// Exchanges with other hosts, over UDP, the load that each has put on targets,
// the first attempts and retries it has sent and the targets it has lost, so
// that every host chooses targets by their total load. Each datagram has the
// full state, so a lost one is compensated by the next.
class LoadBroadcaster
{
public:
  LoadBroadcaster(EventLoop& aLoop,
                  const GatewaySettings& aSettings,
                  Fleet& aFleet);

  // Starts to receive; returns the reason on failure.
  std::optional<std::string> Start();

private:
  void Receive();
  void HandleMessage(std::string_view aText);
  void SendMessage();
  std::vector<boost::asio::ip::udp::endpoint> ChooseReceivers();

  GatewaySettings mSettings;
  Fleet& mFleet;
  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mSender;
  std::array<char, 65536> mBuffer{};
  Timer mSendTimer;
  std::mt19937_64 mRandom;
  // Whether the last message had any load or lost targets.
  bool mSentContent = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_LOADBROADCASTER_H_INCLUDED
