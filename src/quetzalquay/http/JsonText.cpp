#include "http/JsonText.h"

#include <cstdint>
#include <utility>

namespace quetzalquay {

namespace {

// Memory for each byte of text, which is copied as a string and decoded once,
// for each value, and for each object or array, whose elements may become
// structures of their own.
constexpr std::size_t kBytesPerTextByte = 2;
constexpr std::size_t kBytesPerValue = 48;
constexpr std::size_t kBytesPerContainer = 256;

std::size_t sJsonMemoryLimit = SIZE_MAX;
std::function<void(std::size_t)> sOnRefused;

} // namespace

std::size_t
MaxJsonMemory(std::string_view aText)
{
  std::size_t values = 0;
  std::size_t containers = 0;
  bool inString = false;
  for (std::size_t n = 0; n < aText.size(); ++n) {
    const char c = aText[n];
    if (inString) {
      n += c == '\\' ? 1 : 0;
      inString = c != '"';
    } else {
      inString = c == '"';
      values += c == ',' ? 1 : 0;
      containers += c == '[' || c == '{' ? 1 : 0;
    }
  }
  return aText.size() * kBytesPerTextByte + values * kBytesPerValue +
         containers * kBytesPerContainer;
}

void
LimitJsonMemory(std::size_t aBytes, std::function<void(std::size_t)> aOnRefused)
{
  sJsonMemoryLimit = aBytes;
  sOnRefused = std::move(aOnRefused);
}

bool
FitsJsonMemory(std::string_view aText)
{
  return MaxJsonMemory(aText) <= sJsonMemoryLimit;
}

void
ParseJson(rapidjson::Document& aJson, std::string_view aText)
{
  if (!FitsJsonMemory(aText)) {
    if (sOnRefused) {
      sOnRefused(aText.size());
    }
    // An empty text is a parse error.
    aText = std::string_view("");
  }
  aJson.Parse<rapidjson::kParseIterativeFlag>(aText.data(), aText.size());
}

} // namespace quetzalquay
