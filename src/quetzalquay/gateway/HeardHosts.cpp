#include "gateway/HeardHosts.h"

#include <iterator>

namespace quetzalquay {

bool
HeardHosts::OnHeard(const std::string& aHost,
                    const boost::asio::ip::udp::endpoint& aEndpoint,
                    std::uint64_t aStart,
                    Time aNow)
{
  const auto known = mHosts.find(aHost);
  const bool isNew = known == mHosts.end() || known->second.mStart != aStart ||
                     aNow - known->second.mAt >= kSilence;
  mHosts[aHost] = { aEndpoint, aStart, aNow };
  for (auto it = mHosts.begin(); isNew && it != mHosts.end();) {
    it = aNow - it->second.mAt >= kLifetime ? mHosts.erase(it) : std::next(it);
  }
  return isNew;
}

std::optional<boost::asio::ip::udp::endpoint>
HeardHosts::EndpointOf(const std::string& aHost, Time aNow) const
{
  const auto host = mHosts.find(aHost);
  return host != mHosts.end() && aNow - host->second.mAt < kLifetime
           ? std::make_optional(host->second.mEndpoint)
           : std::nullopt;
}

std::map<std::string, boost::asio::ip::udp::endpoint>
HeardHosts::Lately(Time aNow) const
{
  std::map<std::string, boost::asio::ip::udp::endpoint> hosts;
  for (const auto& it : mHosts) {
    if (aNow - it.second.mAt < kSilence) {
      hosts.emplace(it.first, it.second.mEndpoint);
    }
  }
  return hosts;
}

} // namespace quetzalquay
