#ifndef QUETZALQUAY_HTTP_EVENTCUTTER_H_INCLUDED
#define QUETZALQUAY_HTTP_EVENTCUTTER_H_INCLUDED

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalquay {

// Cuts a byte stream into whole server-sent events and keeps their bytes as
// they came.
class EventCutter
{
public:
  // One event with the empty line that ends it.
  struct Event
  {
    std::string mBytes;
    // Value of its "id" line, empty when it has none.
    std::string mId;
  };

  // Takes the next bytes.
  void Take(std::string_view aData) { mBuffer.append(aData); }

  // Next whole event, or nothing.
  std::optional<Event> Next();

  // Whether bytes of an unfinished event are left.
  bool HasPart() const { return mAt < mBuffer.size(); }

  // Forgets an unfinished event.
  void Clear();

private:
  std::string mBuffer;
  std::size_t mAt = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_EVENTCUTTER_H_INCLUDED
