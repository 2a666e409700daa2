#ifndef QUETZALQUAY_CORE_SUSPECTREGISTRY_H_INCLUDED
#define QUETZALQUAY_CORE_SUSPECTREGISTRY_H_INCLUDED

#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace quetzalquay {

// Finds requests that crash the targets that run them. A request is known by
// the hash of its workspace and content, so that a caller's repeat counts as
// the same request.
//
// When a target dies, every request on it becomes a suspect, unless one of
// them was a suspect before: then that one alone is blamed. Suspects are kept
// apart (see TargetTable), so a request that really crashes targets is soon
// the only suspect on the next dead target.
class SuspectRegistry
{
public:
  // Deaths at which a request is refused.
  static constexpr int kRefusalDeaths = 3;

  // A target has died while running these requests.
  void OnTargetDeath(const std::vector<std::uint64_t>& aRequests, Time aNow);

  // A request has finished or has gone well past where its target had died.
  void OnSurvived(std::uint64_t aRequest);

  // Deaths that a request is blamed for; zero for one that is no suspect.
  int Deaths(std::uint64_t aRequest, Time aNow) const;

  // Whether a request is refused.
  bool IsRefused(std::uint64_t aRequest, Time aNow) const;

  // Takes over what another router has found.
  void Merge(std::uint64_t aRequest, int aDeaths, Time aNow);

  // One suspected request.
  struct Suspect
  {
    std::uint64_t mRequest = 0;
    int mDeaths = 0;
  };

  // The requests with the most deaths, a bounded number of them.
  std::vector<Suspect> List(Time aNow) const;

  // Drops records that have not been renewed in time.
  void Expire(Time aNow);

  // Number of records.
  std::size_t Size() const { return mRecords.size(); }

private:
  struct Record
  {
    int mDeaths = 0;
    Time mExpiresAt;
  };

  void Blame(std::uint64_t aRequest, Time aNow);

  std::unordered_map<std::uint64_t, Record> mRecords;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_SUSPECTREGISTRY_H_INCLUDED
