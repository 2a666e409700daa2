#ifndef QUETZALQUAY_WIRE_SSEREADER_H_INCLUDED
#define QUETZALQUAY_WIRE_SSEREADER_H_INCLUDED

#include <cstddef>
#include <functional>
#include <string>

namespace quetzalquay {

// One server-sent event.
struct SseEvent
{
  std::string mId;
  std::string mName;
  std::string mData;
};

// Cuts a byte stream into server-sent events.
class SseReader
{
public:
  // Gets each whole event; returning false stops the reader.
  using Receiver = std::function<bool(const SseEvent&)>;

  explicit SseReader(Receiver aReceiver);

  // Takes the next bytes. Returns false once the receiver has, or when an event
  // is too large.
  bool Take(const char* aData, std::size_t aSize);

private:
  bool TakeLine(const std::string& aLine);

  Receiver mReceiver;
  std::string mLine;
  SseEvent mEvent;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_SSEREADER_H_INCLUDED
