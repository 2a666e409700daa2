#include "core/ServiceRate.h"

namespace quetzalquay {

namespace {

// Newest requests that the rate is computed from, and how many of them an
// estimate needs.
constexpr std::size_t kMaxSamples = 64;
constexpr std::size_t kMinSamples = 8;

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

} // namespace quetzalquay
