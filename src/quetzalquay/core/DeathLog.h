#ifndef QUETZALQUAY_CORE_DEATHLOG_H_INCLUDED
#define QUETZALQUAY_CORE_DEATHLOG_H_INCLUDED

#include "core/Time.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>

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

// Remembers recent deaths of targets in the order of their times, so that
// failures of several targets at once are recognized. Takes bounded memory.
class DeathLog
{
public:
  // Time within which deaths of several targets count as one failure.
  static constexpr Duration kFailureTime = std::chrono::milliseconds(400);

  // Known deaths around the time of one.
  struct Failure
  {
    int mDeaths = 0;
    int mInPlace = 0;
    Time mFirstInPlace;
  };

  // Records a death. The earliest time reported for a death applies.
  void Add(const TargetDeath& aDeath);

  // What else died when a target did, this death included if it is known.
  Failure FailureOf(const TargetDeath& aDeath) const;

private:
  // Time and place by ID, and the same in the order of time.
  std::unordered_map<std::uint64_t, TargetDeath> mDeaths;
  std::map<std::pair<Time, std::uint64_t>, std::uint64_t> mPlaces;
};

// Whether two deaths may belong to one failure of several targets.
bool
AreTogether(const TargetDeath& aLeft, const TargetDeath& aRight);

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_DEATHLOG_H_INCLUDED
