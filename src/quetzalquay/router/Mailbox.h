#ifndef QUETZALQUAY_ROUTER_MAILBOX_H_INCLUDED
#define QUETZALQUAY_ROUTER_MAILBOX_H_INCLUDED

#include "core/GenerationActions.h"
#include "core/Time.h"
#include "ports/EnginePort.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <variant>

namespace quetzalquay {

// An attempt's stream ended without a finish event.
struct AttemptEnded
{
  int mAttempt = 0;
  AttemptEnd mEnd = AttemptEnd::Broken;
};

// Result of a ProbeTarget action.
struct ProbeEnded
{
  int mAttempt = 0;
  ProbeResult mResult = ProbeResult::NoAnswer;
};

// Result of a CancelAttempt action that requested one.
struct CancelEnded
{
  int mAttempt = 0;
  CancelResult mResult = CancelResult::NoAnswer;
};

// Result of a FenceAttempt action.
struct FenceEnded
{
  int mAttempt = 0;
  FenceResult mResult = FenceResult::Unavailable;
};

// The target that serves the stream is about to stop, so that the stream has to
// move to another target.
struct TargetStopping
{};

using SessionEvent = std::variant<StreamEvent,
                                  AttemptEnded,
                                  ProbeEnded,
                                  CancelEnded,
                                  FenceEnded,
                                  TargetStopping>;

// Event queue of one session, from the threads that read its streams to the
// thread that serves its caller. Bounded for stream events: OnStreamEvent
// blocks while the queue is full. Thread-safe.
class Mailbox : public EngineSink
{
public:
  // Adds a stream event; blocks while the queue is full. Returns false once the
  // mailbox is closed.
  bool OnStreamEvent(StreamEvent aEvent) override;

  // Adds an AttemptEnded event; never blocks.
  void OnStreamEnd(int aAttempt, AttemptEnd aEnd) override;

  // Adds an event, even when the queue is full; never blocks.
  void Post(SessionEvent aEvent);

  // Removes and returns the next event. Blocks until there is one or aUntil is
  // reached, and returns nothing in the latter case.
  std::optional<SessionEvent> Wait(Time aUntil);

  // Discards all queued and future events and unblocks waiting readers.
  void Close();

private:
  std::mutex mMutex;
  std::condition_variable mNotEmpty;
  std::condition_variable mNotFull;
  std::deque<SessionEvent> mEvents;
  bool mClosed = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_MAILBOX_H_INCLUDED
