#include "core/StreamPace.h"

#include <algorithm>
#include <vector>

namespace quetzalquay {

namespace {

constexpr std::size_t kSamples = 64;
constexpr std::size_t kNeeded = 8;

// Part of the streams that were faster, or shorter, than what is counted on.
constexpr double kQuantile = 0.1;

template<typename Value>
void
Keep(std::deque<Value>& aSamples, Value aSample)
{
  aSamples.push_back(aSample);
  if (aSamples.size() > kSamples) {
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
    Keep(mPerToken, static_cast<double>(aTime.count()) / aPromptTokens);
  }
}

void
StreamPace::OnFinished(int aEvents, Duration aGap)
{
  Keep(mLengths, aEvents);
  Keep(mGaps, static_cast<double>(aGap.count()));
}

std::optional<Duration>
StreamPace::LeastTime(int aPromptTokens, int aEvents) const
{
  if (mPerToken.size() < kNeeded || mLengths.size() < kNeeded) {
    return std::nullopt;
  }
  const int left = std::max(1, Quantile(mLengths) - aEvents);
  const double time =
    Quantile(mPerToken) * aPromptTokens + Quantile(mGaps) * left;
  return Duration(static_cast<Duration::rep>(time));
}

} // namespace quetzalquay
