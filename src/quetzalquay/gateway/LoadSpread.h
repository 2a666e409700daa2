#ifndef QUETZALQUAY_GATEWAY_LOADSPREAD_H_INCLUDED
#define QUETZALQUAY_GATEWAY_LOADSPREAD_H_INCLUDED

#include "gateway/Fleet.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace quetzalquay {

// Tells other hosts what this one has given to targets, so that all choose by
// the whole load. Datagrams: a lost one is made up for by the next.
class LoadSpread
{
public:
  LoadSpread(EventLoop& aLoop, const GatewaySettings& aSettings, Fleet& aFleet);

  // Starts to listen; returns the reason on failure.
  std::optional<std::string> Start();

private:
  void Receive();
  void Take(std::string_view aText);
  void Send();
  std::vector<boost::asio::ip::udp::endpoint> Receivers();

  GatewaySettings mSettings;
  Fleet& mFleet;
  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mSender;
  std::array<char, 65536> mBuffer{};
  Alarm mSendAt;
  std::mt19937_64 mRandom;
  // Whether the last message told of any load.
  bool mToldLoad = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_LOADSPREAD_H_INCLUDED
