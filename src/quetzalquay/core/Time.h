#ifndef QUETZALQUAY_CORE_TIME_H_INCLUDED
#define QUETZALQUAY_CORE_TIME_H_INCLUDED

#include <chrono>

namespace quetzalquay {

// Monotonic time, passed into the decision logic, which never reads a clock.
using Time = std::chrono::steady_clock::time_point;

// Duration in the resolution of the decision logic.
using Duration = std::chrono::microseconds;

// Converts a duration to fractional milliseconds.
inline double
ToMilliseconds(std::chrono::steady_clock::duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_TIME_H_INCLUDED
