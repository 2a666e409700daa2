#ifndef QUETZALQUAY_GATEWAY_WAITWATCH_H_INCLUDED
#define QUETZALQUAY_GATEWAY_WAITWATCH_H_INCLUDED

#include "gateway/Fleet.h"
#include "gateway/GatewayMetrics.h"
#include "platform/PlatformRequests.h"

#include <map>
#include <string>

namespace quetzalquay {

// Takes from the answers of targets which of them want nothing from this host
// for a while. Logs it, and times that are not numbers.
class WaitWatch
{
public:
  WaitWatch(Fleet& aFleet, GatewayMetrics& aMetrics);

  // See LeavingWatch::OnAnswer(). A malformed time changes nothing.
  void OnAnswer(const std::string& aTarget,
                const std::string& aIncarnation,
                const platform::TargetResponse& aResponse);

private:
  void LogMalformed(const std::string& aTarget, const std::string& aText);

  Fleet& mFleet;
  GatewayMetrics& mMetrics;
  // When a malformed time of a target may be logged again.
  std::map<std::string, Time> mNextLogAt;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_WAITWATCH_H_INCLUDED
