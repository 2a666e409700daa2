#ifndef QUETZALQUAY_CORE_FAIRQUEUE_H_INCLUDED
#define QUETZALQUAY_CORE_FAIRQUEUE_H_INCLUDED

#include "core/Time.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace quetzalquay {

// A request that waits for capacity.
struct WaitingRequest
{
  std::string mRequestId;
  std::string mWorkspace;
  int mWeight = 1;
  Time mDeadline;
  // 0 is the most urgent; see RankOf().
  int mRank = 0;
};

// Queue of the requests that wait for one service. Uses weighted fair queueing
// between workspaces and earliest deadline first within a workspace, so that
// short lookups with tight deadlines overtake long requests with later ones.
// The deadline of a less urgent request counts as later by kRankDelay for each
// rank, also between workspaces: what is delayed is what costs callers least,
// but nothing waits for ever. Performs no I/O; not thread-safe.
class FairQueue
{
public:
  // Adds a request; does nothing if it is queued already.
  void Add(const WaitingRequest& aRequest);

  // Removes a request; does nothing if it is not queued.
  void Remove(const std::string& aRequestId);

  // Whether a request is queued.
  bool Contains(const std::string& aRequestId) const;

  // ID of the request to serve next; empty if the queue is empty.
  std::string Next() const;

  // Charges a workspace for one request that was given a target, whether or not
  // the request was queued.
  void OnServed(const std::string& aWorkspace, int aWeight);

  // Place of a queued request by deadlines and ranks, from 1 on; one after the
  // last if it is not queued.
  std::size_t PlaceOf(const std::string& aRequestId) const;

  // Number of queued requests.
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
    // Requests served, each divided by the workspace's weight at that time.
    double mVirtualTime = 0;
    std::set<Key> mWaiting;
  };

  static Key KeyOf(const WaitingRequest& aRequest);
  double LowestVirtualTime() const;

  std::map<std::string, Workspace> mWorkspaces;
  std::map<std::string, WaitingRequest> mRequests;
  // Lower bound of the virtual time of a workspace that becomes active, so that
  // idle workspaces accumulate no credit.
  double mFloor = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_FAIRQUEUE_H_INCLUDED
