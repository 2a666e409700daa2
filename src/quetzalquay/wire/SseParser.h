#ifndef QUETZALQUAY_WIRE_SSEPARSER_H_INCLUDED
#define QUETZALQUAY_WIRE_SSEPARSER_H_INCLUDED

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

// Incremental parser that splits a byte stream into server-sent events.
class SseParser
{
public:
  // Receives each complete event; returning false stops the parser.
  using Receiver = std::function<bool(const SseEvent&)>;

  explicit SseParser(Receiver aReceiver);

  // Parses the next bytes. Returns false once the receiver has, or when an
  // event is too large.
  bool Feed(const char* aData, std::size_t aSize);

private:
  bool ParseLine(const std::string& aLine);

  Receiver mReceiver;
  std::string mLine;
  SseEvent mEvent;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_SSEPARSER_H_INCLUDED
