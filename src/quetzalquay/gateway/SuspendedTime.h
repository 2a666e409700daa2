#ifndef QUETZALQUAY_GATEWAY_SUSPENDEDTIME_H_INCLUDED
#define QUETZALQUAY_GATEWAY_SUSPENDEDTIME_H_INCLUDED

#include "core/Time.h"

namespace quetzalquay {

// Adds the time for which the machine has been suspended since it was booted to
// a monotonic time, which does not count it.
Time
AddSuspendedTime(Time aNow);

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_SUSPENDEDTIME_H_INCLUDED
