#ifndef QUETZALQUAY_CORE_EVENTSEQUENCE_H_INCLUDED
#define QUETZALQUAY_CORE_EVENTSEQUENCE_H_INCLUDED

#include <string>

namespace quetzalquay {

// How an event follows those that a stream has brought before.
enum class EventOrder
{
  // It is the next one, as far as that can be known.
  Next,
  // The caller already has it.
  Repeated,
  // Events before it are missing.
  AfterGap,
};

// Checks by their IDs that the events of a stream, whichever target or host it
// comes from, are all there and in order. IDs are numbers at an equal distance;
// an event with another ID, or with none, cannot be checked.
class EventSequence
{
public:
  // Starts after the event of the given ID; empty for the start of the stream.
  explicit EventSequence(std::string aLastId = std::string());

  // How an event with this ID, which may be empty, follows the accepted ones.
  EventOrder OrderOf(const std::string& aId) const;

  // Accepts an event, whose order must be Next.
  void Accept(const std::string& aId);

  // ID of the last accepted event, as text and as a number; -1 when it is not a
  // number.
  const std::string& LastId() const { return mLastId; }
  long long LastNumber() const { return mLastNumber; }

  // Number that an ID stands for; the last one if it is not a number.
  long long NumberOf(const std::string& aId) const;

private:
  std::string mLastId;
  long long mLastNumber;
  // Difference between the IDs of consecutive events, 0 until two were
  // accepted here.
  long long mStep = 0;
  bool mHasAccepted = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_EVENTSEQUENCE_H_INCLUDED
