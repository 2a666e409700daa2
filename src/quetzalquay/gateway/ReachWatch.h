#ifndef QUETZALQUAY_GATEWAY_REACHWATCH_H_INCLUDED
#define QUETZALQUAY_GATEWAY_REACHWATCH_H_INCLUDED

#include "gateway/Fleet.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/LoadBroadcaster.h"
#include "gateway/Prober.h"

#include <map>
#include <string>

namespace quetzalquay {

// Carries out what TargetReach decides: asks other hosts, tries targets, and
// tells the target table and the other hosts whether this host is cut off.
// Logs and counts each change.
class ReachWatch
{
public:
  ReachWatch(EventLoop& aLoop,
             Fleet& aFleet,
             Prober& aProber,
             LoadBroadcaster& aSender,
             GatewayMetrics& aMetrics);

private:
  void Run();
  void OnChange(const ReachChange& aChange, Time aNow);
  void OnAnswer(const ReachAnswer& aAnswer, Time aNow);

  Fleet& mFleet;
  Prober& mProber;
  LoadBroadcaster& mSender;
  GatewayMetrics& mMetrics;
  // When an ask, and an answer, of a service may be logged again.
  std::map<std::string, Time> mNextAskLogAt;
  std::map<std::string, Time> mNextAnswerLogAt;
  Timer mTimer;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_REACHWATCH_H_INCLUDED
