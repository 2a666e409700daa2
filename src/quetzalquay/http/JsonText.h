#ifndef QUETZALQUAY_HTTP_JSONTEXT_H_INCLUDED
#define QUETZALQUAY_HTTP_JSONTEXT_H_INCLUDED

#include <rapidjson/document.h>
#include <string_view>

namespace quetzalquay {

// Parses JSON text from any source into aJson, whose HasParseError() tells
// whether it was invalid. The parser does not recurse, so that deeply nested
// text cannot overflow the stack.
inline void
ParseJson(rapidjson::Document& aJson, std::string_view aText)
{
  aJson.Parse<rapidjson::kParseIterativeFlag>(aText.data(), aText.size());
}

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_JSONTEXT_H_INCLUDED
