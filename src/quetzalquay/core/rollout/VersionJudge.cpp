#include "core/rollout/VersionJudge.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

namespace quetzalquay {

namespace {

// Factor by which an answer is later than the median of the version before for
// it to count as slow: bad versions are several times slower, and sound targets
// vary by less. The buckets of durations grow by 1.5, and 1.5^4 is about five.
constexpr std::size_t kSlowBuckets = 4;

// Fewest answers of the version before from which a median is taken, and fewest
// bad answers that condemn a version.
constexpr std::int64_t kMinMedianRuns = 5;
constexpr std::int64_t kMinBad = 3;

// Smallest share of bad answers that counts as usual: single failures happen
// with any version.
constexpr double kMinUsualShare = 0.05;

// Probability below which as many bad answers are no accident. Three of six are
// less likely than this at the smallest usual share, three of twelve are not.
constexpr double kMaxAccident = 0.004;

// Part of the targets of a version that may be left out because they have at
// least so many bad answers: a few targets of any version fail a share of what
// they get, a bad version does so everywhere. A single bad answer says nothing
// about a target.
constexpr std::size_t kLeftOutDivisor = 6;
constexpr std::int64_t kMinBadOfLeftOut = 2;
constexpr std::size_t kMinTargetsForLeavingOut = 3;

// Targets that have to lose connections, and only those of the new version, for
// the losses to count.
constexpr std::size_t kMinLosingTargets = 3;

// What counts for and against a version, or one of its targets.
struct Score
{
  std::int64_t mJudged = 0;
  std::int64_t mBad = 0;
};

// Probability of at least aBad bad ones among aCount, each with probability
// aShare.
double
UpperTail(std::int64_t aCount, std::int64_t aBad, double aShare)
{
  double below = 0;
  double logTerm = static_cast<double>(aCount) * std::log1p(-aShare);
  const double logOdds = std::log(aShare) - std::log1p(-aShare);
  for (std::int64_t n = 0; n < aBad; ++n) {
    below += std::exp(logTerm);
    logTerm += logOdds + std::log(static_cast<double>(aCount - n)) -
               std::log(static_cast<double>(n + 1));
  }
  return std::max(0.0, 1.0 - below);
}

// Bucket from which on an answer on a route is slow.
std::size_t
SlowBucket(const RunOutcomes& aBefore)
{
  return aBefore.mFirstOutput.Total() < kMinMedianRuns
           ? DurationBuckets::kCount
           : aBefore.mFirstOutput.Quantile(0.5) + kSlowBuckets;
}

// Adds outcomes of one route.
void
AddTo(Score& aScore, const RunOutcomes& aOutcomes, std::size_t aSlowBucket)
{
  const std::int64_t late = aOutcomes.mFirstOutput.CountFrom(aSlowBucket) +
                            aOutcomes.mWaiting.CountFrom(aSlowBucket);
  const std::int64_t judged = aOutcomes.mFailed +
                              aOutcomes.mFirstOutput.Total() +
                              aOutcomes.mWaiting.CountFrom(aSlowBucket);
  aScore.mJudged += judged;
  aScore.mBad += aOutcomes.mFailed + late;
}

// Sum of the targets' scores without those that look worst.
Score
SumWithoutWorst(std::vector<Score> aTargets)
{
  std::sort(aTargets.begin(),
            aTargets.end(),
            [](const Score& aLeft, const Score& aRight) {
              return aLeft.mBad > aRight.mBad;
            });
  const std::size_t count = aTargets.size();
  const std::size_t leftOut =
    count < kMinTargetsForLeavingOut
      ? 0
      : (count + kLeftOutDivisor - 1) / kLeftOutDivisor;
  Score sum;
  for (std::size_t n = 0; n < count; ++n) {
    if (n >= leftOut || aTargets[n].mBad < kMinBadOfLeftOut) {
      sum.mJudged += aTargets[n].mJudged;
      sum.mBad += aTargets[n].mBad;
    }
  }
  return sum;
}

std::optional<VersionFault>
Compare(const Score& aBefore,
        const std::vector<Score>& aTargets,
        const std::string& aRoute)
{
  const double usual =
    std::max(kMinUsualShare,
             static_cast<double>(aBefore.mBad) /
               static_cast<double>(std::max<std::int64_t>(aBefore.mJudged, 1)));
  const Score sum = SumWithoutWorst(aTargets);
  if (sum.mBad < kMinBad || usual >= 1 ||
      UpperTail(sum.mJudged, sum.mBad, usual) > kMaxAccident) {
    return std::nullopt;
  }
  return VersionFault{
    "failures_or_delays", aRoute, sum.mJudged, sum.mBad, usual
  };
}

// Whether connections are lost at the new version and at no other one.
std::optional<VersionFault>
FindLosses(const OutcomesByTarget& aOutcomes)
{
  VersionFault fault;
  std::set<std::string> losing;
  for (const auto& it : aOutcomes) {
    const RunOutcomes& outcomes = it.second;
    if (it.first.second.empty()) {
      if (outcomes.mLost > 0) {
        return std::nullopt;
      }
      continue;
    }
    fault.mJudged += outcomes.mSent;
    fault.mBad += outcomes.mLost;
    if (outcomes.mLost > 0) {
      losing.insert(it.first.second);
    }
  }
  if (losing.size() < kMinLosingTargets ||
      UpperTail(fault.mJudged, fault.mBad, kMinUsualShare) > kMaxAccident) {
    return std::nullopt;
  }
  fault.mReason = "lost_connections";
  fault.mExpectedShare = kMinUsualShare;
  return fault;
}

} // namespace

std::optional<VersionFault>
FindVersionFault(const OutcomesByTarget& aOutcomes)
{
  // By route, and for all routes together under the empty name; by target
  // within.
  std::map<std::string, Score> before;
  std::map<std::string, std::map<std::string, Score>> after;
  for (const auto& it : aOutcomes) {
    const std::string& route = it.first.first;
    const std::string& target = it.first.second;
    const auto old = aOutcomes.find({ route, std::string() });
    const std::size_t slow = old == aOutcomes.end() ? DurationBuckets::kCount
                                                    : SlowBucket(old->second);
    for (const std::string& key : { route, std::string() }) {
      AddTo(target.empty() ? before[key] : after[key][target], it.second, slow);
    }
  }
  for (const auto& it : after) {
    std::vector<Score> targets;
    for (const auto& target : it.second) {
      if (target.second.mJudged > 0) {
        targets.push_back(target.second);
      }
    }
    if (auto fault = Compare(before[it.first], targets, it.first)) {
      return fault;
    }
  }
  return FindLosses(aOutcomes);
}

std::int64_t
CountGoodRuns(const OutcomesByTarget& aOutcomes)
{
  std::int64_t count = 0;
  for (const auto& it : aOutcomes) {
    count += it.first.second.empty() ? 0 : it.second.mFirstOutput.Total();
  }
  return count;
}

} // namespace quetzalquay
