#ifndef QUETZALQUAY_CORE_TARGETLIMITS_H_INCLUDED
#define QUETZALQUAY_CORE_TARGETLIMITS_H_INCLUDED

#include "core/RetryBudget.h"
#include "core/Time.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// What a target has said about the requests that it takes.
struct LimitReport
{
  std::string mTarget;
  // Requests a second from all hosts together; nothing if it takes any number.
  std::optional<double> mRequestsPerSecond;
  Time mSaidAt;
};

// Keeps the requests that all hosts together send to a target within the limit
// that it names, in a sliding window. The limit is shared like the retry
// budget: an even share for each host, which needs no knowledge of the others,
// and what other hosts grant of theirs. Every send counts, repeats included. A
// limit is in force from the first answer that names it until one that does
// not. Not thread-safe.
class TargetLimits
{
public:
  struct Options
  {
    // Name of this host.
    std::string mHost;
    Time mStartedAt;
    // See RetryBudget::Options.
    std::uint64_t mFirstAsk = 0;
    std::function<Time(Time)> mClock;
  };

  // Window in which the requests of a limit are counted.
  static constexpr Duration kWindow = std::chrono::milliseconds(4000);

  // Changes the options, for limits that are named from now on.
  void Configure(const Options& aOptions);

  // Records what a target has said to this host or to another one. Returns
  // whether that changes its limit; what is older than the last report does
  // not.
  bool OnReport(const LimitReport& aReport);

  // Number of targets that name a limit.
  std::size_t Count() const;

  // Limit of a target in requests a second; nothing if it has none.
  std::optional<double> LimitOf(const std::string& aTarget) const;

  // Whether a request may be sent to a target now.
  bool CanSend(const std::string& aTarget, Time aNow);

  // Records that a request is sent, that it did not reach the target after all,
  // or that it would have been sent but for the limit.
  void OnSent(const std::string& aTarget, Time aNow);
  void OnNotReceived(const std::string& aTarget);
  void OnRefused(const std::string& aTarget, Time aNow);

  // Forgets a target that is gone or has restarted.
  void Forget(const std::string& aTarget);

  // What other hosts have to be told: the limits in force and those that were
  // lifted lately.
  std::vector<LimitReport> Reports(Time aNow) const;

  // How the hosts share the limits, by target.
  RetryBudget& Shares() { return mShares; }

  // Hosts that share the limits, as of the last request.
  int HostCount() const { return mHosts; }

private:
  struct Limit
  {
    std::optional<double> mRequestsPerSecond;
    Time mSaidAt;
    // When this host may send a request whatever its share is, so that a limit
    // is noticed to be lifted even by hosts whose share is less than one.
    Time mNextProbeAt;
  };

  Duration ProbeInterval(const std::string& aTarget) const;

  Options mOptions;
  RetryBudget mShares;
  std::map<std::string, Limit> mLimits;
  int mHosts = 1;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_TARGETLIMITS_H_INCLUDED
