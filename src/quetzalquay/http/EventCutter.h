#ifndef QUETZALQUAY_HTTP_EVENTCUTTER_H_INCLUDED
#define QUETZALQUAY_HTTP_EVENTCUTTER_H_INCLUDED

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalquay {

// Splits a byte stream into complete server-sent events (SSE) without changing
// their bytes.
class EventCutter
{
public:
  // One event, including the empty line that ends it.
  struct Event
  {
    std::string mBytes;
    // Value of the "id" field; empty when there is none.
    std::string mId;
  };

  // Appends received bytes.
  void Feed(std::string_view aData) { mBuffer.append(aData); }

  // Removes and returns the next complete event; nothing when there is none.
  std::optional<Event> Next();

  // Whether bytes of an incomplete event are buffered.
  bool HasPartialEvent() const { return mOffset < mBuffer.size(); }

  // Bytes of events that have not been returned.
  std::size_t BufferedBytes() const { return mBuffer.size() - mOffset; }

  // Memory that the buffer takes.
  std::size_t HeldBytes() const { return mBuffer.capacity(); }

  // Discards all buffered bytes.
  void Clear();

private:
  std::string mBuffer;
  std::size_t mOffset = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_EVENTCUTTER_H_INCLUDED
