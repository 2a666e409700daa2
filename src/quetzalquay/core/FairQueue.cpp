#include "core/FairQueue.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace quetzalquay {

bool
FairQueue::Key::operator<(const Key& aOther) const
{
  return std::tie(mDeadline, mRequestId) <
         std::tie(aOther.mDeadline, aOther.mRequestId);
}

void
FairQueue::Add(const WaitingRequest& aRequest)
{
  if (!mRequests.emplace(aRequest.mRequestId, aRequest).second) {
    return;
  }
  Workspace& workspace = mWorkspaces[aRequest.mWorkspace];
  if (workspace.mWaiting.empty()) {
    // An idle workspace accumulates no credit.
    workspace.mVirtualTime = std::max(workspace.mVirtualTime, mFloor);
  }
  workspace.mWaiting.insert({ aRequest.mDeadline, aRequest.mRequestId });
}

void
FairQueue::Remove(const std::string& aRequestId)
{
  const auto it = mRequests.find(aRequestId);
  if (it == mRequests.end()) {
    return;
  }
  const WaitingRequest& request = it->second;
  mWorkspaces[request.mWorkspace].mWaiting.erase(
    { request.mDeadline, aRequestId });
  mRequests.erase(it);
}

bool
FairQueue::Contains(const std::string& aRequestId) const
{
  return mRequests.count(aRequestId) != 0;
}

std::string
FairQueue::Next() const
{
  const Workspace* next = nullptr;
  for (const auto& it : mWorkspaces) {
    const Workspace& workspace = it.second;
    if (workspace.mWaiting.empty()) {
      continue;
    }
    if (next == nullptr || workspace.mVirtualTime < next->mVirtualTime) {
      next = &workspace;
    }
  }
  return next == nullptr ? std::string() : next->mWaiting.begin()->mRequestId;
}

void
FairQueue::OnServed(const std::string& aWorkspace, int aWeight)
{
  Workspace& workspace = mWorkspaces[aWorkspace];
  workspace.mVirtualTime =
    std::max(workspace.mVirtualTime, mFloor) + 1.0 / std::max(1, aWeight);
  mFloor = std::max(mFloor, LowestVirtualTime());
}

double
FairQueue::LowestVirtualTime() const
{
  double lowest = std::numeric_limits<double>::max();
  for (const auto& it : mWorkspaces) {
    if (!it.second.mWaiting.empty()) {
      lowest = std::min(lowest, it.second.mVirtualTime);
    }
  }
  return lowest == std::numeric_limits<double>::max() ? 0 : lowest;
}

} // namespace quetzalquay
