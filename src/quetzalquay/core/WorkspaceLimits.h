#ifndef QUETZALQUAY_CORE_WORKSPACELIMITS_H_INCLUDED
#define QUETZALQUAY_CORE_WORKSPACELIMITS_H_INCLUDED

#include "core/Time.h"

#include <map>
#include <string>

namespace quetzalquay {

// What one workspace may use of this router.
struct WorkspaceLimit
{
  int mMaxConcurrent = 1;
  double mRequestsPerSecond = 1;
};

// Result of asking for admission.
enum class Admission
{
  Admitted,
  // Too many requests a second.
  RateExceeded,
  // Too many open requests.
  ConcurrencyExceeded,
};

// Request rate and concurrency limits of workspaces. Pure logic; not safe for
// concurrent use.
class WorkspaceLimits
{
public:
  // Admits a request and counts it as open, or refuses it. aRetryAfter is set
  // on refusal.
  Admission Admit(const std::string& aWorkspace,
                  const WorkspaceLimit& aLimit,
                  Time aNow,
                  Duration& aRetryAfter);

  // An admitted request has ended.
  void Release(const std::string& aWorkspace);

  // Open requests of a workspace.
  int Open(const std::string& aWorkspace) const;

private:
  struct State
  {
    int mOpen = 0;
    // Requests that may come at once.
    double mCredit = 0;
    Time mRefilledAt;
    bool mKnown = false;
  };

  void Refill(State& aState, const WorkspaceLimit& aLimit, Time aNow);

  std::map<std::string, State> mStates;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_WORKSPACELIMITS_H_INCLUDED
