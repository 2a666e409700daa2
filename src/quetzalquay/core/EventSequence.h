#ifndef QUETZALQUAY_CORE_EVENTSEQUENCE_H_INCLUDED
#define QUETZALQUAY_CORE_EVENTSEQUENCE_H_INCLUDED

#include "core/EventNumbering.h"

#include <optional>
#include <string>

namespace quetzalquay {

// How an event follows those that a stream has brought before.
enum class EventOrder
{
  // It is the next one, as far as that can be known.
  Next,
  // The caller already has it.
  Repeated,
  // Events before it are missing, or its ID is spoiled.
  AfterGap,
  // Its ID is not above that of the event before it in the same run, and it is
  // not known which of the two is spoiled: the events that the caller has
  // cannot be told by the last ID.
  Unclear,
};

// Checks by their IDs that the events of a stream, whichever target or host it
// comes from, are all there and in order. IDs are numbers at an equal distance;
// a stream whose events have other IDs, or none, cannot be checked.
class EventSequence
{
public:
  // Starts after the event of the given ID; empty for the start of the stream.
  explicit EventSequence(std::string aLastId = std::string());

  // Sets how the stream's service numbers events. To be called before the first
  // event.
  void Expect(const EventNumbering::Start& aStart);

  // A run, by a target or another host, begins. Only events at its beginning
  // may be repeated ones.
  void BeginRun();

  // How an event with this ID, which may be empty, follows the accepted ones.
  EventOrder OrderOf(const std::string& aId) const;

  // Accepts an event, whose order must be Next.
  void Accept(const std::string& aId);

  // Passes over an event, whose order must be Repeated.
  void Skip(const std::string& aId);

  // ID of the last accepted event, as text and as a number; -1 when it is not a
  // number.
  const std::string& LastId() const { return mLastId; }
  long long LastNumber() const { return mLastNumber; }

  // Number that an ID stands for; the last one if it is not a number.
  long long NumberOf(const std::string& aId) const;

  // How the stream began; nothing if it was not seen from its start, or its IDs
  // are not numbers.
  std::optional<EventNumbering::Start> ObservedStart() const;

  // Whether an event is the first one of the stream that is seen.
  bool IsAtStart() const { return mAccepted == 0 && mLastId.empty(); }

private:
  EventOrder CheckNext(long long aNumber) const;

  std::string mLastId;
  long long mLastNumber;
  // Whether the stream is seen from its first event on.
  bool mFromStart;
  // ID that the first event must have.
  std::optional<long long> mExpectedFirst;
  long long mFirstNumber = -1;
  // Difference between the IDs of consecutive events, 0 while not known.
  long long mStep = 0;
  // Whether the difference is known from more than two events.
  bool mStepConfirmed = false;
  int mAccepted = 0;
  // ID of the last event of the current run.
  std::optional<long long> mRunNumber;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_EVENTSEQUENCE_H_INCLUDED
