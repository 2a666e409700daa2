#ifndef QUETZALQUAY_GATEWAY_LIMITWATCH_H_INCLUDED
#define QUETZALQUAY_GATEWAY_LIMITWATCH_H_INCLUDED

#include "core/TargetLimits.h"
#include "gateway/Fleet.h"
#include "gateway/GatewayMetrics.h"
#include "platform/PlatformRequests.h"

#include <map>
#include <string>

namespace quetzalquay {

// Takes the limits that targets name from their answers and from what other
// hosts report. Logs changes and malformed limits.
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

private:
  void Apply(const LimitReport& aReport, const std::string& aSource);

  Fleet& mFleet;
  GatewayMetrics& mMetrics;
  // When a malformed limit of a target may be logged again.
  std::map<std::string, Time> mNextLogAt;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_LIMITWATCH_H_INCLUDED
