#ifndef QUETZALQUAY_CORE_ROLLOUT_RUNOUTCOMES_H_INCLUDED
#define QUETZALQUAY_CORE_ROLLOUT_RUNOUTCOMES_H_INCLUDED

#include "core/Time.h"
#include "core/rollout/RolloutOrder.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace quetzalquay {

// Counts durations in buckets, each half as long again as the one before. The
// first one ends at 2 ms.
class DurationBuckets
{
public:
  // The last bucket begins at 28 s.
  static constexpr std::size_t kCount = 25;

  static std::size_t BucketOf(Duration aDuration);

  // Shortest duration that belongs to a bucket.
  static Duration LowerBound(std::size_t aBucket);

  void Add(Duration aDuration) { ++mCounts[BucketOf(aDuration)]; }

  // Adds to a bucket; does nothing if there is no such bucket.
  void Add(std::size_t aBucket, std::int64_t aCount);

  void Add(const DurationBuckets& aOther);

  std::int64_t Total() const;

  // Number of durations that are at least as long as the bucket's bound.
  std::int64_t CountFrom(std::size_t aBucket) const;

  // Bucket of the duration that this share of all does not exceed; 0 if there
  // are none.
  std::size_t Quantile(double aShare) const;

  const std::array<std::int64_t, kCount>& Counts() const { return mCounts; }

private:
  std::array<std::int64_t, kCount> mCounts{};
};

// What became of the requests of one route at one target, or at all targets of
// the version that served before.
struct RunOutcomes
{
  // Requests sent.
  std::int64_t mSent = 0;
  // Answered with a failure.
  std::int64_t mFailed = 0;
  // Lost with their connection, which says nothing about the version.
  std::int64_t mLost = 0;
  // Times from the sending to the first output of those that were answered with
  // success, and those that the others have been waiting for it.
  DurationBuckets mFirstOutput;
  DurationBuckets mWaiting;

  void Add(const RunOutcomes& aOther);
};

// What one host has seen of an order's service since the order was given, or
// since the host has started.
struct RolloutReport
{
  std::string mService;
  std::uint64_t mOrder = 0;
  // Identifies the start of the host.
  std::uint64_t mStart = 0;
  // Time since the order was given, as far as the host knows.
  Duration mAge = Duration::zero();
  // Time that is left until the order's deadline.
  Duration mLeft = Duration::zero();
  // Version that the order names.
  std::string mVersion;
  // Stage and share that the host has been told last.
  RolloutStage mStage = RolloutStage::Trial;
  double mShare = 0;
  // Targets of that version that the host knows as ready, and others.
  int mNewTargets = 0;
  int mOldTargets = 0;
  // Requests under way at targets of other versions.
  std::int64_t mOldOpen = 0;
  // How long requests at other versions have lasted.
  DurationBuckets mOldDurations;
  // By route, and target of the new version; an empty target stands for all
  // targets of other versions.
  std::map<std::pair<std::string, std::string>, RunOutcomes> mOutcomes;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_ROLLOUT_RUNOUTCOMES_H_INCLUDED
