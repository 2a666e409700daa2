#include "gateway/HostRows.h"

#include <algorithm>
#include <charconv>

namespace quetzalquay {

std::string
FormatHostRow(const GatewaySettings& aSettings)
{
  return FormatEndpoint(aSettings.mPeerEndpoint) + " " +
         std::to_string(aSettings.mLinkMbps);
}

HostRow
ParseHostRow(const std::string& aText)
{
  HostRow row;
  const auto end = aText.find(' ');
  row.mAddress = aText.substr(0, end);
  if (end != std::string::npos) {
    // If the number cannot be parsed, the bandwidth stays unknown.
    std::from_chars(
      aText.data() + end + 1, aText.data() + aText.size(), row.mLinkMbps);
    row.mLinkMbps = std::max(0, row.mLinkMbps);
  }
  return row;
}

} // namespace quetzalquay
