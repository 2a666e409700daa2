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
  // Listening addresses for callers, readiness checks and other hosts.
  Endpoint mCallerEndpoint;
  Endpoint mReadinessEndpoint;
  Endpoint mPeerEndpoint;
  // UDP port on which all hosts receive load messages; 0 if this host neither
  // receives nor sends any.
  unsigned short mLoadPort = 0;
  // TCP port on which all hosts receive requests that other hosts pass on, at
  // the address of mPeerEndpoint; 0 if this host neither receives nor passes on
  // any. Settings files of builds that did not pass requests on lack it.
  unsigned short mRelayPort = 0;
  // Listening address for metrics requests; nothing if none are served.
  std::optional<Endpoint> mMetricsEndpoint;
  // Peer addresses of hosts that may have the configuration while the store is
  // unreachable.
  std::vector<Endpoint> mSeeds;
  Endpoint mStoreEndpoint;
  // Bandwidth of the host's link in Mbit/s, 0 if unknown.
  int mLinkMbps = 0;
  // Descriptors that the process may open; 0 if only the system limits them.
  int mDescriptors = 0;
  // Memory that the process may use, in MB; 0 if only the system limits it.
  int mMemoryMb = 0;
  // Time from a stop signal to the exit of the process.
  Duration mStopGrace = std::chrono::seconds(8);
  // Time that targets have to register again after a store outage.
  Duration mReregistrationTime = std::chrono::seconds(2);
  // Retry budget: retries per first attempt, and additional retries shared by
  // all hosts, both within the window.
  double mRetryRatio = 0.8;
  double mRetryAllowance = 0;
  Duration mRetryWindow = std::chrono::seconds(10);
  // What a bad version of a rollout may get: this share of its service's
  // requests, and additional ones, in the whole fleet.
  double mExposureShare = 0.1;
  int mExposureSlack = 50;
  std::string mLogLevel = "info";
  // Fields that the file does not give, or gives no usable value for, each with
  // what is used instead. A host that can serve without a field starts without
  // it.
  std::vector<std::string> mReplacedFields;
  // The text that the settings were read from.
  std::string mText;
};

// Text of a settings file. Returns nothing and sets aReason if it cannot be
// read.
std::optional<std::string>
ReadSettingsFile(const std::string& aPath, std::string& aReason);

// Limit on open connections, from callers and to targets together, of a process
// that may open so many descriptors.
int
MaxConnections(int aDescriptors);

// Reads and validates a settings file. Returns nothing on failure and sets
// aReason to the file, the field and the problem.
std::optional<GatewaySettings>
LoadGatewaySettings(const std::string& aPath, std::string& aReason);

// Parses and validates settings given as JSON text. Returns nothing on failure
// and sets aReason to the field and the problem.
std::optional<GatewaySettings>
ParseGatewaySettings(const std::string& aText, std::string& aReason);

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_GATEWAYSETTINGS_H_INCLUDED
