#ifndef QUETZALQUAY_CORE_FAIRQUEUE_H_INCLUDED
#define QUETZALQUAY_CORE_FAIRQUEUE_H_INCLUDED

#include "core/Time.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace quetzalquay {

// One request that waits for capacity.
struct WaitingRequest
{
  std::string mRequestId;
  std::string mWorkspace;
  int mWeight = 1;
  Time mDeadline;
};

// Requests that wait for one service. Workspaces get turns in proportion to
// their weights; within a workspace the earliest deadline goes first, so short
// lookups pass long summaries. Pure logic; not safe for concurrent use.
class FairQueue
{
public:
  // Adds a request; does nothing when it already waits.
  void Add(const WaitingRequest& aRequest);

  // Removes a request, which may not be waiting.
  void Remove(const std::string& aRequestId);

  // Whether a request waits.
  bool Holds(const std::string& aRequestId) const;

  // Request whose turn it is, empty when none waits.
  std::string Next() const;

  // A request of a workspace has been given a target, waiting or not.
  void OnServed(const std::string& aWorkspace, int aWeight);

  // Waiting requests.
  std::size_t Size() const { return mRequests.size(); }

private:
  struct Key
  {
    Time mDeadline;
    std::string mRequestId;
    bool operator<(const Key& aOther) const;
  };

  struct Workspace
  {
    // Turns taken, each divided by the weight at its time.
    double mTurns = 0;
    std::set<Key> mWaiting;
  };

  double LowestTurns() const;

  std::map<std::string, Workspace> mWorkspaces;
  std::map<std::string, WaitingRequest> mRequests;
  // Turns below which an idle workspace does not fall behind.
  double mFloor = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_FAIRQUEUE_H_INCLUDED
