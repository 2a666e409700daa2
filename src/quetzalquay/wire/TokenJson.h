#ifndef QUETZALQUAY_WIRE_TOKENJSON_H_INCLUDED
#define QUETZALQUAY_WIRE_TOKENJSON_H_INCLUDED

#include "core/GenerationActions.h"

#include <string>

namespace quetzalquay {

// JSON codec for the two messages that are handled once per token: the schema
// library's JSON mapping makes too many allocations for each of them. It reads
// and writes the same JSON as the mapping of EngineEvent and CallerResponse;
// TokenJsonTests compares the two.

// Parses an engine's event. Returns false when it is not valid JSON or a field
// has the wrong type; unknown fields are ignored.
bool
ParseStreamEvent(const std::string& aText, StreamEvent& aEvent);

// Fields that are the same in all events of one response.
struct TextEventFields
{
  std::string mId;
  std::string mObject;
  std::string mModel;
  // Whether the text is written into "delta", as in chat completions.
  bool mUsesDelta = false;
};

// Returns the data of a streamed event that carries a token's text.
std::string
SerializeTextEvent(const TextEventFields& aBase, const std::string& aText);

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_TOKENJSON_H_INCLUDED
