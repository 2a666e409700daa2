#ifndef QUETZALQUAY_CORE_STREAMPACE_H_INCLUDED
#define QUETZALQUAY_CORE_STREAMPACE_H_INCLUDED

#include "core/Time.h"

#include <deque>
#include <optional>

namespace quetzalquay {

// How fast a service's streams go at best, and how long they are: enough to
// tell at once that a stream cannot end in the time that is left. Pure logic;
// not safe for concurrent use.
class StreamPace
{
public:
  // A stream has delivered its first event this long after it was sent; its
  // prompt had to be read.
  void OnFirstEvent(int aPromptTokens, Duration aTime);

  // A stream has ended whole, after this many events since its beginning. aGap
  // is the mean pause between those of its last target.
  void OnFinished(int aEvents, Duration aGap);

  // Least time that a stream takes which has to read its prompt and has
  // delivered some events before; nothing while too little has been seen.
  std::optional<Duration> LeastTime(int aPromptTokens, int aEvents) const;

private:
  // Samples of the newest streams.
  std::deque<double> mPerToken;
  std::deque<double> mGaps;
  std::deque<int> mLengths;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_STREAMPACE_H_INCLUDED
