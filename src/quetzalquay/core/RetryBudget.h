#ifndef QUETZALQUAY_CORE_RETRYBUDGET_H_INCLUDED
#define QUETZALQUAY_CORE_RETRYBUDGET_H_INCLUDED

#include "core/NameTable.h"
#include "core/Time.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzalquay {

// First attempts and retries that one host sent to a service within the window.
struct RetryCount
{
  std::string mService;
  int mFirstAttempts = 0;
  int mRetries = 0;
};

// Whether a retry can still lead to a response in time.
enum class RetryTiming
{
  OnTime,
  Late,
};

// What decided on a retry.
enum class RetrySource
{
  // This host's own part of the budget.
  Own,
  // What other hosts leave unused.
  Borrowed,
  // The retry was refused.
  None,
};

constexpr NameTable<RetrySource, 3> kRetrySourceNames({ "own",
                                                        "borrowed",
                                                        "none" });

// A decision on a retry, with what it was based on.
struct RetryDecision
{
  std::string mService;
  RetrySource mSource = RetrySource::None;
  RetryTiming mTiming = RetryTiming::OnTime;
  // Hosts that share the allowance, and those with current counts.
  int mHosts = 0;
  int mHostsHeard = 0;
  // First attempts and retries of this host within the window, and the retries
  // that it may send.
  int mFirstAttempts = 0;
  int mRetries = 0;
  double mAllowed = 0;
};

// Limits the retries that this process sends to each service so that all hosts
// together stay within a shared budget. A host may send a fixed ratio of its
// own first attempts plus an even share of a fixed allowance, the latter once
// it is certain that nobody else uses that share. It may also borrow what the
// other hosts report as unused, slowly enough that all of them learn of it in
// time. Not thread-safe.
class RetryBudget
{
public:
  struct Options
  {
    // Retries allowed for each first attempt.
    double mRatio = 0.8;
    // Retries that all hosts together may send in addition.
    double mAllowance = 0;
    // Sliding window that both limits apply to.
    Duration mWindow = std::chrono::seconds(10);
    // Name of this host.
    std::string mHost;
    // From when on this host has a share of the allowance; see SettledAt().
    Time mSettledAt;
  };

  // When a host that has started at aStart may use a share of the allowance.
  // What it sent before a restart has left the window by then, and all other
  // hosts have learned of it and reduced their shares.
  static Time SettledAt(Time aStart, Duration aWindow);

  // Changes the limits. What has been sent already still counts.
  void Configure(const Options& aOptions);

  // Replaces the known hosts. One that is no longer among them still counts
  // until it has stopped and its retries have left the window.
  void SetHosts(const std::set<std::string>& aHosts, Time aNow);

  // Another host was heard, which may not be among the known ones yet.
  void OnHostHeard(const std::string& aHost, Time aNow);

  // Records the first attempt of a request to a service.
  void OnFirstAttempt(const std::string& aService, Time aNow);

  // Takes one retry from the budget; false if the budget is exhausted. Part of
  // the budget is reserved for retries that are on time.
  bool TakeRetry(const std::string& aService,
                 Time aNow,
                 RetryTiming aTiming = RetryTiming::OnTime);

  // The last decision of TakeRetry().
  const RetryDecision& LastDecision() const { return mLastDecision; }

  // Puts the most recently taken retry, which has not been sent, back into the
  // budget.
  void ReturnRetry(const std::string& aService);

  // First attempts and retries that this host sent within the window, by
  // service.
  std::vector<RetryCount> OwnCounts(Time aNow);

  // Replaces the counts of another host.
  void SetPeerCounts(const std::string& aHost,
                     const std::vector<RetryCount>& aCounts,
                     Time aNow);

private:
  struct Sends
  {
    std::deque<Time> mFirstAttempts;
    std::deque<Time> mRetries;
    // Retries that may be borrowed, and the time of the last update.
    double mCredit = 0;
    Time mCreditUpdatedAt;
  };

  struct PeerCounts
  {
    std::vector<RetryCount> mCounts;
    Time mAt;
  };

  struct Member
  {
    bool mListed = false;
    // When it was last listed or heard.
    Time mSeenAt;
  };

  int CountHosts(Time aNow);
  double AllowedRetries(double aFirstAttempts, Time aNow);
  int HostsHeard(Time aNow) const;
  double UnusedByPeers(const std::string& aService, Time aNow);
  bool Borrow(const std::string& aService, Sends& aSends, Time aNow);
  void DropExpired(std::deque<Time>& aTimes, Time aNow) const;

  Options mOptions;
  std::map<std::string, Sends> mServices;
  std::map<std::string, PeerCounts> mPeerCounts;
  std::map<std::string, Member> mMembers;
  // Whether the known hosts were set.
  bool mHostsKnown = false;
  RetryDecision mLastDecision;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_RETRYBUDGET_H_INCLUDED
