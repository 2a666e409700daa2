#ifndef QUETZALQUAY_CORE_STREAMPACE_H_INCLUDED
#define QUETZALQUAY_CORE_STREAMPACE_H_INCLUDED

#include "core/Time.h"

#include <deque>
#include <optional>

namespace quetzalquay {

// Estimates the least time that a stream of one service needs from the speed
// and length of recent streams, so that a stream that cannot meet its deadline
// is rejected immediately. Not thread-safe.
class StreamPace
{
public:
  // Records the time from sending a stream, whose prompt had to be processed,
  // to its first event.
  void OnFirstEvent(int aPromptTokens, Duration aTime);

  // Records a stream that completed with aEvents events in all. aGap is the
  // mean time between those from its last target.
  void OnFinished(int aEvents, Duration aGap);

  // Least time that a stream needs to process its prompt and to deliver the
  // rest of its events after the first aEvents; nullopt while there are too few
  // samples.
  std::optional<Duration> MinRemainingTime(int aPromptTokens,
                                           int aEvents) const;

private:
  // Samples of the newest streams: prompt processing time in microseconds for
  // each token, time between events in microseconds, number of events.
  std::deque<double> mPrefillPerToken;
  std::deque<double> mEventGaps;
  std::deque<int> mEventCounts;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_STREAMPACE_H_INCLUDED
