#ifndef QUETZALQUAY_GATEWAY_GATEWAYSETTINGS_H_INCLUDED
#define QUETZALQUAY_GATEWAY_GATEWAYSETTINGS_H_INCLUDED

#include "core/Time.h"
#include "http/Socket.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Settings of one gateway process.
struct GatewaySettings
{
  std::string mHost;
  std::string mPlace;
  std::string mRegion;
  // Addresses for callers, the readiness check, other hosts and metrics.
  Endpoint mCallers;
  Endpoint mReadiness;
  Endpoint mPeers;
  // Port of all hosts for short messages on their load.
  unsigned short mLoadPort = 0;
  Endpoint mMetrics;
  // Hosts that may know the configuration when the store does not answer.
  std::vector<Endpoint> mSeeds;
  Endpoint mStore;
  // Bandwidth of the host's link in Mbit/s, 0 when it is not known.
  int mLinkMbps = 0;
  // Connections that the process may have open at once.
  int mMaxConnections = 1024;
  // Time between a stop signal and the end of the process.
  Duration mStopGrace = std::chrono::seconds(8);
  // Time after the store's return in which targets register again.
  Duration mReturnTime = std::chrono::seconds(2);
  // Repeats for each first send, and those that all hosts share beyond that.
  double mRepeatRatio = 0.8;
  double mRepeatAllowance = 0;
  Duration mRepeatWindow = std::chrono::seconds(10);
  std::string mLogLevel = "info";
};

// Reads and checks a settings file. Nothing on failure, with aReason set to the
// file, the field and what is wrong with it.
std::optional<GatewaySettings>
LoadGatewaySettings(const std::string& aPath, std::string& aReason);

// Reads and checks settings given as text.
std::optional<GatewaySettings>
ParseGatewaySettings(const std::string& aText, std::string& aReason);

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_GATEWAYSETTINGS_H_INCLUDED
