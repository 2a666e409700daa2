#include "core/StreamPace.h"

#include <algorithm>
#include <vector>

namespace quetzalquay {

namespace {

// Newest samples that are kept, and how many an estimate needs.
constexpr std::size_t kMaxSamples = 64;
constexpr std::size_t kMinSamples = 8;

// Quantile of the samples that a lower bound is computed from: this share of
// the streams was faster, or shorter.
constexpr double kQuantile = 0.1;

template<typename Value>
void
AddSample(std::deque<Value>& aSamples, Value aSample)
{
  aSamples.push_back(aSample);
  if (aSamples.size() > kMaxSamples) {
    aSamples.pop_front();
  }
}

template<typename Value>
Value
Quantile(const std::deque<Value>& aSamples)
{
  std::vector<Value> sorted(aSamples.begin(), aSamples.end());
  const auto at =
    static_cast<std::ptrdiff_t>(kQuantile * static_cast<double>(sorted.size()));
  std::nth_element(sorted.begin(), sorted.begin() + at, sorted.end());
  return sorted[static_cast<std::size_t>(at)];
}

} // namespace

void
StreamPace::OnFirstEvent(int aPromptTokens, Duration aTime)
{
  if (aPromptTokens > 0) {
    AddSample(mPrefillPerToken,
              static_cast<double>(aTime.count()) / aPromptTokens);
  }
}

void
StreamPace::OnFinished(int aEvents, Duration aGap)
{
  AddSample(mEventCounts, aEvents);
  AddSample(mEventGaps, static_cast<double>(aGap.count()));
}

std::optional<Duration>
StreamPace::MinRemainingTime(int aPromptTokens, int aEvents) const
{
  if (mPrefillPerToken.size() < kMinSamples ||
      mEventCounts.size() < kMinSamples) {
    return std::nullopt;
  }
  const int left = std::max(1, Quantile(mEventCounts) - aEvents);
  const double time =
    Quantile(mPrefillPerToken) * aPromptTokens + Quantile(mEventGaps) * left;
  return Duration(static_cast<Duration::rep>(time));
}

} // namespace quetzalquay
