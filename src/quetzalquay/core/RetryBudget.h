#ifndef QUETZALQUAY_CORE_RETRYBUDGET_H_INCLUDED
#define QUETZALQUAY_CORE_RETRYBUDGET_H_INCLUDED

#include "core/Time.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace quetzalquay {

// What one host has sent to a service within the window.
struct RepeatCount
{
  std::string mService;
  int mFirst = 0;
  int mRepeats = 0;
};

// Whether a repeat can still lead to an answer in time.
enum class RepeatUse
{
  OnTime,
  Late,
};

// Bounds the repeats that this process sends to each service, so that all hosts
// together stay within a shared budget: a share of the own first sends, and an
// even share of a fixed allowance. What other hosts say that they leave unused
// may be borrowed, slowly enough for all to hear of it. Pure logic; not safe
// for concurrent use.
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

  // Takes one repeat from the budget; false when there is none left. Part of
  // the budget is kept for repeats that are on time.
  bool TakeRepeat(const std::string& aService,
                  Time aNow,
                  RepeatUse aUse = RepeatUse::OnTime);

  // The newest repeat taken has not been sent after all.
  void ReturnRepeat(const std::string& aService);

  // What this host has sent within the window, by service.
  std::vector<RepeatCount> OwnCounts(Time aNow);

  // What another host has sent, in place of what it said before.
  void TakeCounts(const std::string& aHost,
                  const std::vector<RepeatCount>& aCounts,
                  Time aNow);

private:
  struct Sends
  {
    std::deque<Time> mFirst;
    std::deque<Time> mRepeats;
    // Repeats that may be borrowed now, and when that was reckoned.
    double mCredit = 0;
    Time mCreditAt;
  };

  struct OtherHost
  {
    std::vector<RepeatCount> mCounts;
    Time mAt;
  };

  double Allowed(double aFirst) const;
  double Unused(const std::string& aService, Time aNow) const;
  bool Borrow(const std::string& aService, Sends& aSends, Time aNow) const;
  void Forget(std::deque<Time>& aTimes, Time aNow) const;

  Options mOptions;
  std::map<std::string, Sends> mServices;
  std::map<std::string, OtherHost> mOthers;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_RETRYBUDGET_H_INCLUDED
