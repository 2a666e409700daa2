#ifndef QUETZALQUAY_TESTS_FAKES_RETRYLEDGER_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_RETRYLEDGER_H_INCLUDED

#include "core/Time.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

// Limit of the platform for the retries of all hosts together.
struct RetryRule
{
  double mRatio = 0.8;
  double mAllowance = 150;
  quetzalquay::Duration mWindow = std::chrono::seconds(10);
};

// Counts what callers have sent and what has arrived at the targets of one
// service, as the platform does, whichever host it went through.
class RetryLedger
{
public:
  // A caller has sent a request that it waits for until aDeadline.
  void OnSent(const std::string& aRequest,
              quetzalquay::Time aAt,
              quetzalquay::Time aDeadline);

  // A request has arrived at a target, which may have rejected it. aDeadline is
  // when the target has to stop working on it.
  void OnArrival(const std::string& aRequest,
                 quetzalquay::Time aAt,
                 quetzalquay::Time aDeadline);

  // A target has started to run a request.
  void OnRun(const std::string& aRequest, const std::string& aTarget);

  // Largest number by which the arrivals beyond the first of each request
  // exceed the limit in any window; negative if they stay below it. Retries may
  // be compared with the requests of the same window, of the one before it or
  // of the one half a window before it.
  double MaxExcess(const RetryRule& aRule);

  // Arrivals beyond the first of each request.
  std::size_t RetryCount() const { return mRetries.size(); }

  // Arrivals that were given too much time: more than 0.5 s longer than the
  // caller's timeout, or, more than 0.5 s after the first arrival, a deadline
  // more than 0.5 s after that of the first one and the caller's own.
  std::size_t OverlongCount() const;

  // Requests that have run on more targets than aLimit allows the request.
  std::size_t OverrunCount(
    const std::function<std::size_t(const std::string&)>& aLimit) const;

private:
  // When a request was sent or has arrived, and its deadline.
  struct Send
  {
    quetzalquay::Time mAt;
    quetzalquay::Time mDeadline;
  };

  std::vector<quetzalquay::Time> mSends;
  std::map<std::string, Send> mSendsById;
  // Arrivals of each request, in order.
  std::map<std::string, std::vector<Send>> mArrivals;
  std::vector<quetzalquay::Time> mRetries;
  std::map<std::string, std::set<std::string>> mTargets;
};

#endif // QUETZALQUAY_TESTS_FAKES_RETRYLEDGER_H_INCLUDED
