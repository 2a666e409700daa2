#ifndef QUETZALQUAY_CORE_RETRYBUDGET_H_INCLUDED
#define QUETZALQUAY_CORE_RETRYBUDGET_H_INCLUDED

#include "core/NameTable.h"
#include "core/Time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzalquay {

// Whether a retry can still lead to a response in time.
enum class RetryTiming
{
  OnTime,
  Late,
};

// What a retry was taken from.
enum class RetrySource
{
  // This host's own part of the budget.
  Own,
  // What another host has granted.
  Granted,
  // Nothing: the retry was refused.
  None,
};

constexpr NameTable<RetrySource, 3> kRetrySourceNames({ "own",
                                                        "granted",
                                                        "none" });

// First attempts and retries for a service that a host has sent since it
// started.
struct SendTotals
{
  std::string mService;
  std::int64_t mFirstAttempts = 0;
  // Without those that were put back, so this may decrease.
  std::int64_t mRetries = 0;
};

// A decision on a retry, with what it was based on.
struct RetryDecision
{
  std::string mService;
  RetrySource mSource = RetrySource::None;
  RetryTiming mTiming = RetryTiming::OnTime;
  // Hosts that share the allowance, and this host's share of it.
  int mHosts = 0;
  double mShare = 0;
  // First attempts of this host, the retries that they and the share allow, and
  // the retries of this host within the window including those that it has
  // granted to others.
  int mFirstAttempts = 0;
  double mAllowed = 0;
  int mUsed = 0;
  // Retries of all hosts within the window and those that they may send, as far
  // as this host has heard of it.
  int mFleetUsed = 0;
  double mFleetAllowed = 0;
  // Retries that others have granted and that are not used yet.
  int mCredit = 0;
};

// A host's request to some other hosts for some of their unused retries.
struct RetryAsk
{
  std::string mService;
  // Unique among the asks of all starts of the host.
  std::uint64_t mId = 0;
  // Retries that each host is asked for, and how many hosts to ask.
  int mCount = 0;
  int mHosts = 1;
};

// Retries that one host leaves to another one.
struct RetryGrant
{
  std::string mService;
  std::uint64_t mAsk = 0;
  int mCount = 0;
};

// Limits the retries that this process sends to each service so that all hosts
// together stay within a shared budget: a fixed ratio of the first attempts
// plus a fixed allowance, in a sliding window. A host may use the ratio of its
// own first attempts, which needs no knowledge of the others, and an even share
// of the allowance once it is certain that nobody else uses that share. More
// than that it may use only if another host has granted it, which counts
// against the budget of that host. The hosts also tell each other what they
// have sent, and stop when all of them together come close to the limit.
// TargetLimits shares the limits of targets in the same way, with targets in
// place of services and all sends in place of retries. Not thread-safe.
class RetryBudget
{
public:
  struct Options
  {
    // Name of this host.
    std::string mHost;
    // Retries allowed for each first attempt.
    double mRatio = 0.8;
    // Retries that all hosts together may send in addition.
    double mAllowance = 0;
    // Sliding window that both limits apply to.
    Duration mWindow = std::chrono::seconds(10);
    // From when on this host has its whole share of the allowance; see
    // SettledAt().
    Time mSettledAt;
    // Parts of the budget that the hosts divide among themselves, up to which
    // all hosts together send, and of its share that a host may use before it
    // is settled. The defaults leave a margin, as the hosts' windows are not
    // aligned and requests may move from one host to another.
    double mUsableShare = 0.9;
    double mFleetShare = 0.95;
    double mStartingShare = 0.06;
    // Part of its unused retries that a host does not grant to others.
    double mKeptShare = 0.25;
    // Time for which granted retries can be used, from when they were asked
    // for. The host that granted them does not use them itself for so much
    // longer.
    Duration mCreditLifetime = std::chrono::milliseconds(2000);
    // Distinguishes the asks of this start of the host from earlier ones.
    std::uint64_t mFirstAsk = 0;
    // Maps monotonic time to a clock that also counts the time for which the
    // machine was suspended. The identity if empty.
    std::function<Time(Time)> mClock;
  };

  // When a host that has started at aStart may use its share of the allowance.
  // What it sent before a restart has left the window by then, and all other
  // hosts have learned of it and reduced their shares.
  static Time SettledAt(Time aStart, Duration aWindow);

  // Changes the limits. What has been sent already still counts.
  void Configure(const Options& aOptions);

  // Sets an allowance for one service in place of that of the options.
  void SetAllowance(const std::string& aService, double aAllowance);

  // Forgets a service and what has been sent to it.
  void Forget(const std::string& aService);

  // Replaces the known hosts. One that is no longer among them still counts
  // until it has stopped and its retries have left the window.
  void SetHosts(const std::set<std::string>& aHosts, Time aNow);

  // Another host was heard, which may not be among the known ones yet.
  void OnHostHeard(const std::string& aHost, Time aNow);

  // Hosts that share the allowance, this one included.
  int HostCount(Time aNow) { return CountHosts(ToBudgetClock(aNow)); }

  // Records the first attempt of a request to a service.
  void OnFirstAttempt(const std::string& aService, Time aNow);

  // What this host has sent, by service, to be told to the other hosts.
  std::vector<SendTotals> Totals() const;

  // Another host has told what it has sent; aStart identifies its start.
  void OnPeerTotals(const std::string& aHost,
                    std::uint64_t aStart,
                    const SendTotals& aTotals,
                    Time aNow);

  // Takes one retry from the budget; false if the budget is exhausted. Part of
  // the budget is reserved for retries that are on time.
  bool TakeRetry(const std::string& aService,
                 Time aNow,
                 RetryTiming aTiming = RetryTiming::OnTime);

  // Whether TakeRetry() would succeed; takes and records nothing.
  bool CanTakeRetry(const std::string& aService,
                    Time aNow,
                    RetryTiming aTiming = RetryTiming::OnTime);

  // The last decision of TakeRetry().
  const RetryDecision& LastDecision() const { return mLastDecision; }

  // Puts the most recently taken retry, which has not been sent, back into the
  // budget.
  void ReturnRetry(const std::string& aService);

  // What to ask other hosts for, as retries have just been refused here.
  std::vector<RetryAsk> TakeAsks(Time aNow);

  // Answers the ask of another host; nothing if this host has none to spare.
  std::optional<RetryGrant> Grant(const std::string& aHost,
                                  const RetryAsk& aAsk,
                                  Time aNow);

  // Another host has answered an ask. Grants that come late are not used.
  void OnGrant(const std::string& aHost, const RetryGrant& aGrant, Time aNow);

private:
  // Time until the next ask after one that was granted.
  static constexpr Duration kMinAskInterval = std::chrono::milliseconds(50);

  // Retries that other hosts have granted, until they expire.
  struct Credit
  {
    Time mExpiresAt;
    int mCount = 0;
  };

  // An ask that may still be answered.
  struct OpenAsk
  {
    std::uint64_t mId = 0;
    Time mAt;
    // Hosts that have answered.
    std::set<std::string> mHosts;
  };

  // What all hosts have sent at about the same time.
  struct FleetSends
  {
    Time mAt;
    std::int64_t mFirstAttempts = 0;
    std::int64_t mRetries = 0;
  };

  struct PeerTotals
  {
    std::uint64_t mStart = 0;
    SendTotals mTotals;
  };

  struct Service
  {
    std::deque<Time> mFirstAttempts;
    SendTotals mTotals;
    // Kept for two windows.
    std::deque<FleetSends> mFleetSends;
    std::map<std::string, PeerTotals> mPeerTotals;
    // Retries from this host's own part of the budget.
    std::deque<Time> mRetries;
    // Retries left to other hosts, one entry for each.
    std::deque<Time> mGranted;
    std::deque<Credit> mCredits;
    // Recent refusals of retries that would have been on time.
    std::deque<Time> mRefused;
    std::deque<OpenAsk> mAsks;
    Duration mAskInterval = kMinAskInterval;
    Time mNextAskAt;
    // Last ask that was answered, by host.
    std::map<std::string, std::uint64_t> mAnswered;
    // Allowance of this service alone, and what is added to it in place of
    // RetryBudget::mRounding.
    std::optional<double> mAllowance;
    double mRounding = 0;
  };

  struct Member
  {
    bool mListed = false;
    // When it was last listed or heard.
    Time mSeenAt;
    Time mHeardAt;
  };

  Time ToBudgetClock(Time aNow);
  Service& Refresh(const std::string& aService, Time aNow);
  int CountHosts(Time aNow);
  int CountHeard(Time aNow) const;
  double Share(const Service& aService, Time aNow);
  double AllowanceOf(const Service& aService) const;
  RetryDecision Decide(const std::string& aService,
                       Service& aState,
                       Time aNow,
                       RetryTiming aTiming);
  double FleetAllowed(const Service& aService, Time aNow) const;
  int FleetUsed(const Service& aService, Time aNow) const;
  static void AddFleetSends(Service& aService,
                            std::int64_t aFirstAttempts,
                            std::int64_t aRetries,
                            Time aNow);
  double Allowed(const Service& aService, Time aNow);
  int Used(const Service& aService) const;
  static void UseCredit(Service& aService);

  Options mOptions;
  std::map<std::string, Service> mServices;
  std::map<std::string, Member> mMembers;
  // Number of hosts as last counted, and until when it holds.
  int mHostCount = 1;
  Time mHostCountUntil;
  // Whether the known hosts were set.
  bool mHostsKnown = false;
  std::uint64_t mAskCount = 0;
  // Added to the retries that this host may send, which are a whole number only
  // on average. It is spread evenly over [0, 1) among the hosts.
  double mRounding = 0;
  Time mLatestNow;
  RetryDecision mLastDecision;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_RETRYBUDGET_H_INCLUDED
