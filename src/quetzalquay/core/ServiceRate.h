#ifndef QUETZALQUAY_CORE_SERVICERATE_H_INCLUDED
#define QUETZALQUAY_CORE_SERVICERATE_H_INCLUDED

#include "core/Time.h"

#include <deque>
#include <optional>

namespace quetzalquay {

// Estimates queueing delay from the rate at which recent requests of one
// service were given targets.
class ServiceRate
{
public:
  // Records that a request was given a target.
  void OnServed(Time aNow);

  // Estimated time until aRequests further requests are served; nullopt while
  // there are too few samples.
  std::optional<Duration> EstimateWait(std::size_t aRequests, Time aNow) const;

  // The same from the requests of the last half second only, so that an idle
  // time before them does not count.
  std::optional<Duration> EstimateRecentWait(std::size_t aRequests,
                                             Time aNow) const;

private:
  std::deque<Time> mServedAt;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_SERVICERATE_H_INCLUDED
