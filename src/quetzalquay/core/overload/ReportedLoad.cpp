#include "core/overload/ReportedLoad.h"

#include <algorithm>
#include <limits>

namespace quetzalquay {

namespace {

// A new sample has a weight of one in so many.
constexpr int kAverageDivisor = 8;

} // namespace

void
ReportedLoad::OnReport(int aRunning, int aWaiting, int aKnown, Time aNow)
{
  mRunning = aRunning;
  mWaiting = aWaiting;
  mKnown = aKnown;
  mAt = aNow;
}

void
ReportedLoad::OnServed(Duration aTime, int aWaiting, int aSlots)
{
  // A call that has queued has waited for about as many others as still wait.
  const Duration time =
    aSlots > 0 ? aTime * aSlots / (aSlots + aWaiting) : aTime;
  mServiceTime = mServiceTime == Duration::zero()
                   ? time
                   : mServiceTime + (time - mServiceTime) / kAverageDivisor;
}

void
ReportedLoad::Clear()
{
  mRunning = 0;
  mWaiting = 0;
  mKnown = 0;
  mAt = Time();
}

// Requests that the target has ended since the report, if all slots were busy.
int
ReportedLoad::ServedSince(int aSlots, Time aNow) const
{
  const auto elapsed = std::chrono::duration_cast<Duration>(aNow - mAt);
  if (mServiceTime <= Duration::zero() || aSlots <= 0) {
    return elapsed < kLifetime ? 0 : std::numeric_limits<int>::max();
  }
  return static_cast<int>(
    std::min<Duration::rep>(elapsed.count() * aSlots / mServiceTime.count(),
                            std::numeric_limits<int>::max()));
}

int
ReportedLoad::WaitingAt(int aSlots, Time aNow) const
{
  return mAt == Time() ? 0 : std::max(0, mWaiting - ServedSince(aSlots, aNow));
}

int
ReportedLoad::LoadAt(int aKnown, int aSlots, Time aNow) const
{
  if (mAt == Time()) {
    return aKnown;
  }
  if (mServiceTime == Duration::zero()) {
    return aNow - mAt < kLifetime
             ? std::max(aKnown, mRunning + mWaiting + aKnown - mKnown)
             : aKnown;
  }
  const int left = std::max(0, mRunning + mWaiting - ServedSince(aSlots, aNow));
  return std::max(aKnown, left + std::max(0, aKnown - mKnown));
}

Duration
ReportedLoad::TimeUntilWaiting(int aWaiting, int aSlots, Time aNow) const
{
  const int over = WaitingAt(aSlots, aNow) - aWaiting;
  if (over <= 0) {
    return Duration::zero();
  }
  return mServiceTime > Duration::zero() && aSlots > 0
           ? mServiceTime * over / aSlots
           : std::chrono::duration_cast<Duration>(mAt + kLifetime - aNow);
}

} // namespace quetzalquay
