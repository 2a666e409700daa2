#ifndef QUETZALQUAY_CORE_WORKSPACELIMITER_H_INCLUDED
#define QUETZALQUAY_CORE_WORKSPACELIMITER_H_INCLUDED

#include "core/Time.h"

#include <map>
#include <string>

namespace quetzalquay {

// Limits of one workspace at this router.
struct WorkspaceLimit
{
  // Maximum number of open requests.
  int mMaxConcurrent = 1;
  double mRequestsPerSecond = 1;
};

// Result of an admission check.
enum class Admission
{
  Admitted,
  // The workspace exceeds its request rate.
  RateExceeded,
  // The workspace has too many open requests.
  ConcurrencyExceeded,
};

// Enforces the limits of workspaces: a token bucket for the request rate and a
// bound on the number of open requests. Performs no I/O; not thread-safe.
class WorkspaceLimiter
{
public:
  // Admits a request and counts it as open, or rejects it. On rejection
  // aRetryAfter is set to the time after which the caller may retry.
  Admission Admit(const std::string& aWorkspace,
                  const WorkspaceLimit& aLimit,
                  Time aNow,
                  Duration& aRetryAfter);

  // An admitted request has ended.
  void Release(const std::string& aWorkspace);

  int OpenRequests(const std::string& aWorkspace) const;

private:
  struct State
  {
    int mOpenRequests = 0;
    // Level of the token bucket: requests that may be admitted at once.
    double mCredit = 0;
    Time mRefilledAt;
    // Whether the bucket has been filled for the first time.
    bool mInitialized = false;
  };

  void Refill(State& aState, const WorkspaceLimit& aLimit, Time aNow);

  std::map<std::string, State> mStatesByWorkspace;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_WORKSPACELIMITER_H_INCLUDED
