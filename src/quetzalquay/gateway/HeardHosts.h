#ifndef QUETZALQUAY_GATEWAY_HEARDHOSTS_H_INCLUDED
#define QUETZALQUAY_GATEWAY_HEARDHOSTS_H_INCLUDED

#include "core/Time.h"

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace quetzalquay {

// Other hosts from which messages have arrived. The hosts table may not have
// them yet. Not thread-safe.
class HeardHosts
{
public:
  // Time after which a silent host is forgotten.
  static constexpr Duration kLifetime = std::chrono::milliseconds(30000);

  // Silence after which a host is told everything when it is heard again. It
  // may have been cut off or have restarted.
  static constexpr Duration kSilence = std::chrono::milliseconds(2500);

  // A message of a host has arrived; aStart identifies the start of its
  // process. Returns whether the host is new, or was silent for a while.
  bool OnHeard(const std::string& aHost,
               const boost::asio::ip::udp::endpoint& aEndpoint,
               std::uint64_t aStart,
               Time aNow);

  // Where the messages of a host came from; nothing if it is forgotten.
  std::optional<boost::asio::ip::udp::endpoint> EndpointOf(
    const std::string& aHost,
    Time aNow) const;

  // The hosts that were heard less than kSilence ago.
  std::map<std::string, boost::asio::ip::udp::endpoint> Lately(Time aNow) const;

private:
  struct Host
  {
    boost::asio::ip::udp::endpoint mEndpoint;
    std::uint64_t mStart = 0;
    Time mAt;
  };

  std::map<std::string, Host> mHosts;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_HEARDHOSTS_H_INCLUDED
