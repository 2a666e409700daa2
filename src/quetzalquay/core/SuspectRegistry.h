#ifndef QUETZALQUAY_CORE_SUSPECTREGISTRY_H_INCLUDED
#define QUETZALQUAY_CORE_SUSPECTREGISTRY_H_INCLUDED

#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace quetzalquay {

// Identifies requests that crash the targets they run on. A request is
// identified by the hash of its workspace and content, so that a caller's retry
// counts as the same request.
//
// When a target dies, each request on it becomes a suspect. If some of them
// were suspects before, only those with the most deaths are blamed. TargetTable
// can run suspects on different targets, so that a request that does crash
// targets is soon the only suspect on the next target to die.
class SuspectRegistry
{
public:
  // Number of deaths from which on a request is refused.
  static constexpr int kMinDeathsToRefuse = 3;

  // Records that a target died while running these requests.
  void OnTargetDeath(const std::vector<std::uint64_t>& aRequests, Time aNow);

  // Clears a request that has finished or run well past the point where its
  // target died.
  void ClearSuspect(std::uint64_t aRequest);

  // Number of deaths that a request is blamed for; zero if it is not a suspect.
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
    int mDeaths = 0;
    Time mExpiresAt;
  };

  void AddDeath(std::uint64_t aRequest, Time aNow);

  std::unordered_map<std::uint64_t, Record> mRecords;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_SUSPECTREGISTRY_H_INCLUDED
