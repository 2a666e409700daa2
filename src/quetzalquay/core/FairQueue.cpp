#include "core/FairQueue.h"

#include "core/overload/Urgency.h"

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
  workspace.mWaiting.insert(KeyOf(aRequest));
}

void
FairQueue::Remove(const std::string& aRequestId)
{
  const auto it = mRequests.find(aRequestId);
  if (it == mRequests.end()) {
    return;
  }
  const WaitingRequest& request = it->second;
  mWorkspaces[request.mWorkspace].mWaiting.erase(KeyOf(request));
  mRequests.erase(it);
}

bool
FairQueue::Contains(const std::string& aRequestId) const
{
  return mRequests.count(aRequestId) != 0;
}

FairQueue::Key
FairQueue::KeyOf(const WaitingRequest& aRequest)
{
  const Time deadline = aRequest.mDeadline == Time::max()
                          ? aRequest.mDeadline
                          : aRequest.mDeadline + kRankDelay * aRequest.mRank;
  return { deadline, aRequest.mRequestId };
}

std::string
FairQueue::Next() const
{
  // The workspace that is next by its weight, for each rank of the requests at
  // the heads.
  std::map<int, const Workspace*> byRank;
  for (const auto& it : mWorkspaces) {
    const Workspace& workspace = it.second;
    if (workspace.mWaiting.empty()) {
      continue;
    }
    const std::string& head = workspace.mWaiting.begin()->mRequestId;
    const Workspace*& next = byRank[mRequests.at(head).mRank];
    if (next == nullptr || workspace.mVirtualTime < next->mVirtualTime) {
      next = &workspace;
    }
  }
  const auto next = std::min_element(
    byRank.begin(), byRank.end(), [](const auto& aLeft, const auto& aRight) {
      return *aLeft.second->mWaiting.begin() < *aRight.second->mWaiting.begin();
    });
  return next == byRank.end() ? std::string()
                              : next->second->mWaiting.begin()->mRequestId;
}

std::size_t
FairQueue::PlaceOf(const std::string& aRequestId) const
{
  const auto request = mRequests.find(aRequestId);
  if (request == mRequests.end()) {
    return mRequests.size() + 1;
  }
  const Key key = KeyOf(request->second);
  return 1 + static_cast<std::size_t>(std::count_if(
               mRequests.begin(), mRequests.end(), [&](const auto& aEntry) {
                 return KeyOf(aEntry.second) < key;
               }));
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
