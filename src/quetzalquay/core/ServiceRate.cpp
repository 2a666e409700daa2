#include "core/ServiceRate.h"

namespace quetzalquay {

namespace {

constexpr std::size_t kKept = 64;
constexpr std::size_t kNeeded = 8;

} // namespace

void
ServiceRate::OnServed(Time aNow)
{
  mServed.push_back(aNow);
  if (mServed.size() > kKept) {
    mServed.pop_front();
  }
}

std::optional<Duration>
ServiceRate::TimeFor(std::size_t aRequests, Time aNow) const
{
  if (mServed.size() < kNeeded) {
    return std::nullopt;
  }
  const std::chrono::duration<double> span = aNow - mServed.front();
  const double each = span.count() / static_cast<double>(mServed.size());
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(each * static_cast<double>(aRequests)));
}

} // namespace quetzalquay
