#include "gateway/SuspendedTime.h"

#include <ctime>

namespace quetzalquay {

namespace {

// Returns zero if the clock cannot be read.
Time::duration
ReadClock(clockid_t aClock)
{
  timespec reading{};
  if (::clock_gettime(aClock, &reading) != 0) {
    return Time::duration::zero();
  }
  return std::chrono::seconds(reading.tv_sec) +
         std::chrono::nanoseconds(reading.tv_nsec);
}

} // namespace

Time
AddSuspendedTime(Time aNow)
{
  const auto booted = ReadClock(CLOCK_BOOTTIME);
  return booted == Time::duration::zero()
           ? aNow
           : aNow + (booted - ReadClock(CLOCK_MONOTONIC));
}

} // namespace quetzalquay
