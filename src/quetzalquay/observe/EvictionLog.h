#ifndef QUETZALQUAY_OBSERVE_EVICTIONLOG_H_INCLUDED
#define QUETZALQUAY_OBSERVE_EVICTIONLOG_H_INCLUDED

#include "core/Time.h"
#include "core/overload/EvictionOrder.h"

#include <cstddef>
#include <string>

namespace quetzalquay {

// Logs connections that are closed for others at one address, with one line a
// second at most. Not thread-safe.
class EvictionLog
{
public:
  // aAddress tells in the log who is served there.
  explicit EvictionLog(std::string aAddress);

  // A connection was closed while aOpen were open.
  void OnEviction(ConnectionUse aUse, std::size_t aOpen, Time aNow);

private:
  std::string mAddress;
  Time mLastLine;
  // Connections closed since the last line.
  int mCount = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_OBSERVE_EVICTIONLOG_H_INCLUDED
