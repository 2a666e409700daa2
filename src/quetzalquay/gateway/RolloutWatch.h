#ifndef QUETZALQUAY_GATEWAY_ROLLOUTWATCH_H_INCLUDED
#define QUETZALQUAY_GATEWAY_ROLLOUTWATCH_H_INCLUDED

#include "core/rollout/RolloutKeeper.h"
#include "gateway/Fleet.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/GatewaySettings.h"
#include "gateway/LoadBroadcaster.h"
#include "http/AsyncHttpClient.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Carries out rollouts: tells the keeper of each order what this host has seen,
// tells all hosts what the keeper decides if this host is one, and records the
// state of rollouts in the store. Each order has the same ranking of hosts
// everywhere; the first one that answers is its keeper.
class RolloutWatch
{
public:
  RolloutWatch(EventLoop& aLoop,
               const GatewaySettings& aSettings,
               Fleet& aFleet,
               LoadBroadcaster& aSender,
               GatewayMetrics& aMetrics,
               ReplyBuffers& aReplies);

  void Configure(const GatewaySettings& aSettings);

private:
  // What the store has on record of a service's rollout.
  struct Record
  {
    // Order for which the record was read.
    std::uint64_t mOrder = 0;
    // Empty if the store has no record of that order.
    std::string mState;
    std::int64_t mVersion = 0;
    bool mKnown = false;
  };

  // Where this host looks for the keeper of a service's order.
  struct KeeperChoice
  {
    std::size_t mRank = 0;
    // When the host at that rank was last heard, or was first asked.
    Time mHeardAt;
  };

  void OnTimer();
  void Report(Time aNow);
  void Decide(const std::string& aService, Time aNow);
  void SendRepeatedly(const RolloutDirective& aDirective, Time aNow);
  void SendDirective(const RolloutDirective& aDirective);
  void OnReport(const std::string& aHost, const RolloutReport& aReport);
  void OnDirective(const std::string& aHost,
                   const RolloutDirective& aDirective);
  std::vector<std::string> RankedHosts(const std::string& aService) const;
  std::string KeeperOf(const std::string& aService, Time aNow);
  bool IsKeeper(const std::string& aService, Time aNow);
  Duration Interval() const;
  // Whether the record of this service's order, which this host keeps, does not
  // have yet how the rollout has ended.
  bool HasUnrecordedEnd(Time aNow);
  bool IsRecordKnown(const std::string& aService) const;
  void CallStore(const std::string& aService, Time aNow);
  void ReadRecord(const std::string& aService, std::uint64_t aOrder);
  void WriteRecord(const RolloutDirective& aDirective, const char* aState);
  void ApplyRecord(const std::string& aService,
                   std::uint64_t aOrder,
                   const platform::StoreRows& aRows);
  void OnStoreFailed(const char* aMessage,
                     const std::string& aService,
                     const std::string& aReason);

  GatewaySettings mSettings;
  Fleet& mFleet;
  LoadBroadcaster& mSender;
  GatewayMetrics& mMetrics;
  RolloutKeeper mKeeper;
  AsyncHttpClient mStore;
  Timer mTimer;
  std::map<std::string, KeeperChoice> mChoices;
  std::map<std::string, Record> mRecords;
  // When the next report and the next repeated directives are due, and when a
  // share was last told.
  Time mReportAt;
  Time mDirectivesAt;
  Time mSharesAt;
  // Changed stages that are told once more, for lost messages.
  std::deque<std::pair<Time, RolloutDirective>> mRepeats;
  Time mNextCallAt;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_ROLLOUTWATCH_H_INCLUDED
