#ifndef QUETZALQUAY_HTTP_JSONTEXT_H_INCLUDED
#define QUETZALQUAY_HTTP_JSONTEXT_H_INCLUDED

#include <cstddef>
#include <functional>
#include <rapidjson/document.h>
#include <string_view>

namespace quetzalquay {

// Estimates the memory that a JSON text needs once parsed, with the rows,
// routes and other objects that are made of its elements. Invalid text has an
// estimate, too.
std::size_t
MaxJsonMemory(std::string_view aText);

// Sets the most memory that the process may use for one parsed text, and what
// is called with the size of each text that ParseJson() refuses for it. Texts
// of any size are parsed before the first call.
void
LimitJsonMemory(std::size_t aBytes,
                std::function<void(std::size_t)> aOnRefused);

// Whether a text may be parsed within the limit.
bool
FitsJsonMemory(std::string_view aText);

// Parses JSON text from any source into aJson, whose HasParseError() tells
// whether it was invalid or would need too much memory. The parser does not
// recurse, so that deeply nested text cannot overflow the stack.
void
ParseJson(rapidjson::Document& aJson, std::string_view aText);

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_JSONTEXT_H_INCLUDED
