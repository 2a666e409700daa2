#ifndef QUETZALQUAY_GATEWAY_LEAVINGWATCH_H_INCLUDED
#define QUETZALQUAY_GATEWAY_LEAVINGWATCH_H_INCLUDED

#include "gateway/Fleet.h"
#include "gateway/GatewayMetrics.h"
#include "platform/PlatformRequests.h"

#include <string>

namespace quetzalquay {

// Takes from the answers of targets which of them leave, and logs it once for
// each start of a target.
class LeavingWatch
{
public:
  LeavingWatch(Fleet& aFleet, GatewayMetrics& aMetrics);

  // An answer of any kind has arrived on a connection to the address of a
  // target, which had this incarnation when the connection was made; empty if
  // that is unknown.
  void OnAnswer(const std::string& aTarget,
                const std::string& aIncarnation,
                const platform::TargetResponse& aResponse);

private:
  Fleet& mFleet;
  GatewayMetrics& mMetrics;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_LEAVINGWATCH_H_INCLUDED
