#include "core/rollout/RunOutcomes.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace quetzalquay {

namespace {

constexpr Duration kFirstBucketEnd = std::chrono::milliseconds(2);
constexpr double kBucketRatio = 1.5;

} // namespace

std::size_t
DurationBuckets::BucketOf(Duration aDuration)
{
  std::size_t bucket = 0;
  while (bucket + 1 < kCount && aDuration >= LowerBound(bucket + 1)) {
    ++bucket;
  }
  return bucket;
}

Duration
DurationBuckets::LowerBound(std::size_t aBucket)
{
  if (aBucket == 0) {
    return Duration::zero();
  }
  const double ratio = std::pow(kBucketRatio, static_cast<double>(aBucket - 1));
  return Duration(static_cast<Duration::rep>(
    ratio * static_cast<double>(kFirstBucketEnd.count())));
}

void
DurationBuckets::Add(std::size_t aBucket, std::int64_t aCount)
{
  if (aBucket < kCount) {
    mCounts[aBucket] += aCount;
  }
}

void
DurationBuckets::Add(const DurationBuckets& aOther)
{
  for (std::size_t n = 0; n < kCount; ++n) {
    mCounts[n] += aOther.mCounts[n];
  }
}

std::int64_t
DurationBuckets::Total() const
{
  return std::accumulate(mCounts.begin(), mCounts.end(), std::int64_t(0));
}

std::int64_t
DurationBuckets::CountFrom(std::size_t aBucket) const
{
  const auto first =
    mCounts.begin() + static_cast<long>(std::min(aBucket, kCount));
  return std::accumulate(first, mCounts.end(), std::int64_t(0));
}

std::size_t
DurationBuckets::Quantile(double aShare) const
{
  const double wanted = aShare * static_cast<double>(Total());
  std::int64_t count = 0;
  for (std::size_t n = 0; n < kCount; ++n) {
    count += mCounts[n];
    if (count > 0 && static_cast<double>(count) >= wanted) {
      return n;
    }
  }
  return 0;
}

void
RunOutcomes::Add(const RunOutcomes& aOther)
{
  mSent += aOther.mSent;
  mFailed += aOther.mFailed;
  mLost += aOther.mLost;
  mFirstOutput.Add(aOther.mFirstOutput);
  mWaiting.Add(aOther.mWaiting);
}

} // namespace quetzalquay
