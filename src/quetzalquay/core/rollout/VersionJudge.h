#ifndef QUETZALQUAY_CORE_ROLLOUT_VERSIONJUDGE_H_INCLUDED
#define QUETZALQUAY_CORE_ROLLOUT_VERSIONJUDGE_H_INCLUDED

#include "core/rollout/RunOutcomes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace quetzalquay {

// Why a version is held for bad.
struct VersionFault
{
  std::string mReason;
  // Route on which it shows; empty if only all routes together show it.
  std::string mRoute;
  // Requests that were judged, and those among them that failed, were slow or
  // were lost; without those of the targets that look worst.
  std::int64_t mJudged = 0;
  std::int64_t mBad = 0;
  // Share of bad ones that the version before makes likely.
  double mExpectedShare = 0;
};

// Outcomes by route and target of the new version; an empty target stands for
// all targets of the version before.
using OutcomesByTarget =
  std::map<std::pair<std::string, std::string>, RunOutcomes>;

// Compares a version with the one before, route by route and on all routes
// together. Answers that are failures and those that come over four times later
// than usual count against it; lost connections do not, as targets of any
// version crash, unless only the new version loses them, at several targets. A
// share of failures that may have come about by chance, or at a few targets
// only, is no fault. Returns nothing for a version without a fault.
std::optional<VersionFault>
FindVersionFault(const OutcomesByTarget& aOutcomes);

// Number of requests that the new version has answered in time with success.
std::int64_t
CountGoodRuns(const OutcomesByTarget& aOutcomes);

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_ROLLOUT_VERSIONJUDGE_H_INCLUDED
