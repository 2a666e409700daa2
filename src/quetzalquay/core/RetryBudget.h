#ifndef QUETZALQUAY_CORE_RETRYBUDGET_H_INCLUDED
#define QUETZALQUAY_CORE_RETRYBUDGET_H_INCLUDED

#include "core/Time.h"

#include <deque>
#include <map>
#include <string>

namespace quetzalquay {

// Bounds the repeats that this process sends to each service, so that all hosts
// together stay within a shared budget: a share of the own first sends, and an
// even share of a fixed allowance. Pure logic; not safe for concurrent use.
class RetryBudget
{
public:
  struct Options
  {
    // Repeats allowed for each first send.
    double mRatio = 0.8;
    // Repeats that all hosts together may send beyond that.
    double mAllowance = 0;
    // Window over which both hold.
    Duration mWindow = std::chrono::seconds(10);
    // Hosts that share the allowance.
    int mHosts = 1;
  };

  // New bounds; what has been sent still counts.
  void Configure(const Options& aOptions);

  // A request has been sent to a service for the first time.
  void OnFirst(const std::string& aService, Time aNow);

  // Takes one repeat from the budget; false when there is none left.
  bool TakeRepeat(const std::string& aService, Time aNow);

  // The newest repeat taken has not been sent after all.
  void ReturnRepeat(const std::string& aService);

private:
  struct Sends
  {
    std::deque<Time> mFirst;
    std::deque<Time> mRepeats;
  };

  void Forget(std::deque<Time>& aTimes, Time aNow) const;

  Options mOptions;
  std::map<std::string, Sends> mServices;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_RETRYBUDGET_H_INCLUDED
