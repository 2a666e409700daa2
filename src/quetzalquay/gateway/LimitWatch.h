#ifndef QUETZALQUAY_GATEWAY_LIMITWATCH_H_INCLUDED
#define QUETZALQUAY_GATEWAY_LIMITWATCH_H_INCLUDED

#include "core/TargetLimits.h"
#include "gateway/Fleet.h"
#include "gateway/GatewayMetrics.h"
#include "platform/PlatformRequests.h"

#include <map>
#include <string>

namespace quetzalquay {

// Takes the limits that targets name, and what they say of the requests that
// they can turn away, from their answers and from what other hosts report. Logs
// changes and malformed values.
class LimitWatch
{
public:
  LimitWatch(Fleet& aFleet, GatewayMetrics& aMetrics);

  // A target has answered a request. A malformed limit leaves the known one as
  // it is.
  void OnAnswer(const std::string& aTarget,
                const platform::TargetResponse& aResponse);

  // Another host has reported what a target said.
  void OnPeerReport(const std::string& aHost, const LimitReport& aReport);
  void OnPeerReport(const std::string& aHost, BrittleReport aReport);

private:
  void Apply(const LimitReport& aReport, const std::string& aSource);
  void Apply(const BrittleReport& aReport, const std::string& aSource);
  void LogMalformed(const char* aMessage,
                    const std::string& aTarget,
                    const std::string& aText);

  Fleet& mFleet;
  GatewayMetrics& mMetrics;
  // When a malformed value of a target may be logged again.
  std::map<std::string, Time> mNextLogAt;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_LIMITWATCH_H_INCLUDED
