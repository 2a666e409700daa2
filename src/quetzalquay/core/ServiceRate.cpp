#include "core/ServiceRate.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Newest requests that the rate is computed from, and how many of them an
// estimate needs.
constexpr std::size_t kMaxSamples = 64;
constexpr std::size_t kMinSamples = 8;

constexpr Duration kRecent = std::chrono::milliseconds(500);

} // namespace

void
ServiceRate::OnServed(Time aNow)
{
  mServedAt.push_back(aNow);
  if (mServedAt.size() > kMaxSamples) {
    mServedAt.pop_front();
  }
}

std::optional<Duration>
ServiceRate::EstimateWait(std::size_t aRequests, Time aNow) const
{
  if (mServedAt.size() < kMinSamples) {
    return std::nullopt;
  }
  const std::chrono::duration<double> span = aNow - mServedAt.front();
  const double each = span.count() / static_cast<double>(mServedAt.size());
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(each * static_cast<double>(aRequests)));
}

std::optional<Duration>
ServiceRate::EstimateRecentWait(std::size_t aRequests, Time aNow) const
{
  const auto first =
    std::find_if(mServedAt.begin(), mServedAt.end(), [&](Time aAt) {
      return aNow - aAt < kRecent;
    });
  const auto count = static_cast<std::size_t>(mServedAt.end() - first);
  if (count < kMinSamples) {
    return std::nullopt;
  }
  const std::chrono::duration<double> span = aNow - *first;
  const double each = span.count() / static_cast<double>(count);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(each * static_cast<double>(aRequests)));
}

} // namespace quetzalquay
