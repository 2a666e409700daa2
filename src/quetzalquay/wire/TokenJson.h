#ifndef QUETZALQUAY_WIRE_TOKENJSON_H_INCLUDED
#define QUETZALQUAY_WIRE_TOKENJSON_H_INCLUDED

#include "core/GenerationActions.h"

#include <string>

namespace quetzalquay {

// Second JSON codec for the two messages that are handled once a token, since
// the schema library's JSON mapping allocates much for each of them. It reads
// and writes the same JSON as the mapping of EngineEvent and CallerResponse;
// TokenJsonTests compare them.

// Reads an engine's event. Returns false when it is not JSON or a field has the
// wrong type; unknown fields are ignored.
bool
ParseStreamEvent(const std::string& aText, StreamEvent& aEvent);

// What stays the same in all events of one answer.
struct TextEventBase
{
  std::string mId;
  std::string mObject;
  std::string mModel;
  // Whether the text goes into "delta", as chat answers have it.
  bool mDelta = false;
};

// One streamed event's data with a token's text.
std::string
PrintTextEvent(const TextEventBase& aBase, const std::string& aText);

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_TOKENJSON_H_INCLUDED
