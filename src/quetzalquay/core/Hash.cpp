#include "core/Hash.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <xxhash.h>

namespace quetzalquay {

std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed)
{
  return XXH64(aText.data(), aText.size(), aSeed);
}

std::uint64_t
PrefixHash(std::string_view aPrompt)
{
  return StableHash(aPrompt.substr(0, kPrefixBytes));
}

std::string
ToHex(std::uint64_t aHash)
{
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016" PRIx64, aHash);
  return std::string(buf.data(), buf.size() - 1);
}

} // namespace quetzalquay
