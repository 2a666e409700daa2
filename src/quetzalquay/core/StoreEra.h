#ifndef QUETZALQUAY_CORE_STOREERA_H_INCLUDED
#define QUETZALQUAY_CORE_STOREERA_H_INCLUDED

#include "core/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace quetzalquay {

// A time in which the versions of the store only rise. Versions of two eras
// cannot be compared: a store that returns from an older copy gives them out
// again for other rows.
struct StoreEra
{
  // Counts the beginnings that hosts have noticed by themselves: versions, or
  // the store's count, that went back.
  std::int64_t mGeneration = 0;
  // One more than the store's own count of its returns, 0 if it does not tell.
  std::int64_t mNumber = 0;
};

bool
operator==(const StoreEra& aLeft, const StoreEra& aRight);

bool
operator!=(const StoreEra& aLeft, const StoreEra& aRight);

// Whether aLeft is the earlier one.
bool
operator<(const StoreEra& aLeft, const StoreEra& aRight);

// An era as "generation.number", in logs and messages between hosts.
std::string
FormatEra(const StoreEra& aEra);

// Parses what FormatEra() wrote. Nothing if it is not an era, or one whose
// numbers are negative or too large to be counted on.
std::optional<StoreEra>
ParseEra(const std::string& aText);

// Decides from the answers of the store, and from what other hosts tell, in
// which era the store is. Performs no I/O; not thread-safe.
class StoreEraTracker
{
public:
  // What an answer of the store says.
  struct Answer
  {
    // The store's count of its returns, if the answer has one.
    std::optional<std::int64_t> mNumber;
    // Newest version of the store; 0 if not known.
    std::int64_t mVersion = 0;
    // Newest version that was known, of the present era, when the call was
    // sent. The store's answers are linearizable, so a lower one in the answer
    // is of another era.
    std::int64_t mKnownVersion = 0;
  };

  // Applies an answer. Returns whether a new era has begun.
  bool OnAnswer(const Answer& aAnswer);

  // Applies an era that another host tells. Returns whether a new era has
  // begun: it is a later one, and some version is known already.
  bool OnTold(const StoreEra& aEra, bool aKnowsVersions);

  const StoreEra& Era() const { return mEra; }

  // Whether rows of a host that tells no era can be compared with those known
  // here: no other era has been seen.
  bool IsFirst() const { return mBegun == 0; }

  // Number of eras that have begun since this process knows of one.
  int Begun() const { return mBegun; }

private:
  void Begin(const StoreEra& aEra);

  StoreEra mEra;
  int mBegun = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_STOREERA_H_INCLUDED
