#ifndef QUETZALQUAY_CORE_SUSPECTREGISTRY_H_INCLUDED
#define QUETZALQUAY_CORE_SUSPECTREGISTRY_H_INCLUDED

#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace quetzalquay {

// The end of one start of a target.
struct TargetDeath
{
  // Identifies the target and its incarnation, on every host alike.
  std::uint64_t mId = 0;
  // Hash of the target's place.
  std::uint64_t mPlace = 0;
  Time mAt;
};

// A run of a request that was lost with its target.
struct LostRun
{
  TargetDeath mDeath;
  Time mStartedAt;
};

// Identifies requests that crash the targets they run on. A request is
// identified by the hash of its workspace and content, so that a caller's retry
// counts as the same request.
//
// The evidence is a set: which targets died while running the request. It is
// kept complete and judged when a request is to be sent:
// - A death is not counted if it belongs to a common failure, such as that of
//   a place, unless the request followed the failure from target to target.
// - A death is not counted if another request that was lost with the same
//   target has lost more targets: that request explains it.
// - A request that finishes on any target does not crash targets, which clears
//   it of all earlier deaths.
class SuspectRegistry
{
public:
  // Number of counted deaths from which on a request is refused.
  static constexpr int kMinDeathsToRefuse = 3;

  // The same if another request was lost in exactly the same deaths. The next
  // run of either one usually tells them apart.
  static constexpr int kMinDeathsToRefuseTied = 5;

  // aCommonDeathThreshold is the number of targets that have to die at about
  // the same time for the deaths to count as a common failure; 0 means never.
  explicit SuspectRegistry(int aCommonDeathThreshold = 0);

  // Records that a target died, whether it ran requests or not.
  void OnTargetDeath(const TargetDeath& aDeath);

  // Records that a request was lost with a target. Repeated calls for the same
  // request and death have no effect.
  void OnRunLost(std::uint64_t aRequest, const LostRun& aRun, Time aNow);

  // Clears a request that has finished or run well past the point where its
  // target died.
  void ClearSuspect(std::uint64_t aRequest);

  // Number of deaths that count against a request; zero if it is not a suspect.
  int Deaths(std::uint64_t aRequest, Time aNow) const;

  // Whether a request is to be refused.
  bool IsRefused(std::uint64_t aRequest, Time aNow) const;

  // Merges the deaths counted by another router; the higher count wins.
  void Merge(std::uint64_t aRequest, int aDeaths, Time aNow);

  // A suspected request.
  struct Suspect
  {
    std::uint64_t mRequest = 0;
    int mDeaths = 0;
  };

  // Suspects to share with peers, those with the most deaths first. Requests
  // with a single death are left out and the length is bounded.
  std::vector<Suspect> List(Time aNow) const;

  // Removes expired records.
  void Expire(Time aNow);

  std::size_t Size() const { return mRecords.size(); }

private:
  struct Record
  {
    std::vector<LostRun> mRuns;
    // Deaths counted by another router.
    int mPeerDeaths = 0;
    Time mExpiresAt;
  };

  const Record* Find(std::uint64_t aRequest, Time aNow) const;
  void Erase(std::uint64_t aRequest);
  int CountDeaths(std::uint64_t aRequest, const Record& aRecord) const;
  bool IsCommonFailure(const Record& aRecord, const LostRun& aRun) const;
  bool IsExplained(std::uint64_t aRequest,
                   const Record& aRecord,
                   const LostRun& aRun) const;
  bool IsTied(std::uint64_t aRequest, const Record& aRecord) const;

  int mCommonDeathThreshold;
  std::unordered_map<std::uint64_t, Record> mRecords;
  // Requests that were lost in a death, by the death's ID.
  std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> mRequests;
  // Recent deaths, the oldest first.
  std::deque<TargetDeath> mDeaths;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_SUSPECTREGISTRY_H_INCLUDED
