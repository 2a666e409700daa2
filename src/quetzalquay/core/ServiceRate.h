#ifndef QUETZALQUAY_CORE_SERVICERATE_H_INCLUDED
#define QUETZALQUAY_CORE_SERVICERATE_H_INCLUDED

#include "core/Time.h"

#include <deque>
#include <optional>

namespace quetzalquay {

// How fast requests of one service have lately been given targets.
class ServiceRate
{
public:
  // A request has been given a target.
  void OnServed(Time aNow);

  // Time until this many requests will have been served, or nothing when too
  // little has been seen to tell.
  std::optional<Duration> TimeFor(std::size_t aRequests, Time aNow) const;

private:
  std::deque<Time> mServed;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_SERVICERATE_H_INCLUDED
