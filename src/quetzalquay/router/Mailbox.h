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

// An attempt's stream is over without a finish event.
struct AttemptEnded
{
  int mAttempt = 0;
  AttemptEnd mEnd = AttemptEnd::Broken;
};

// Answer to a probe.
struct ProbeAnswered
{
  int mAttempt = 0;
  ProbeResult mResult = ProbeResult::NoAnswer;
};

// Answer to a cancel.
struct CancelAnswered
{
  int mAttempt = 0;
  CancelResult mResult = CancelResult::NoAnswer;
};

// Answer to a wish to continue.
struct FenceAnswered
{
  int mAttempt = 0;
  FenceResult mResult = FenceResult::Unavailable;
};

// The target that carries the stream will stop before the stream ends.
struct TargetStopping
{};

using SessionEvent = std::variant<StreamEvent,
                                  AttemptEnded,
                                  ProbeAnswered,
                                  CancelAnswered,
                                  FenceAnswered,
                                  TargetStopping>;

// Queue of one session's events, from the threads that read its streams to the
// thread that serves its caller. Bounded: a reader waits while it is full.
class Mailbox : public EngineSink
{
public:
  bool OnStreamEvent(StreamEvent aEvent) override;
  void OnStreamEnd(int aAttempt, AttemptEnd aEnd) override;

  // Adds an event; never waits.
  void Post(SessionEvent aEvent);

  // Next event, or nothing when none has come by aUntil.
  std::optional<SessionEvent> Wait(Time aUntil);

  // Drops all events from now on and frees waiting readers.
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
