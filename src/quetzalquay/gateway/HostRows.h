#ifndef QUETZALQUAY_GATEWAY_HOSTROWS_H_INCLUDED
#define QUETZALQUAY_GATEWAY_HOSTROWS_H_INCLUDED

#include "gateway/GatewaySettings.h"

#include <string>

namespace quetzalquay {

// Value of this host's row in the hosts table: its peer endpoint and its link
// bandwidth in Mbit/s, separated by a space.
std::string
FormatHostRow(const GatewaySettings& aSettings);

// Parsed value of a host's row: its peer address and the bandwidth of its link
// in Mbit/s, 0 if the row does not have it.
struct HostRow
{
  std::string mAddress;
  int mLinkMbps = 0;
};

// What follows these two was added by a later build and is ignored.
HostRow
ParseHostRow(const std::string& aText);

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_HOSTROWS_H_INCLUDED
