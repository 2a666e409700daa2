#ifndef QUETZALQUAY_CORE_HASH_H_INCLUDED
#define QUETZALQUAY_CORE_HASH_H_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzalquay {

// Length in bytes of the prompt prefix that the first block of a prefix cache
// covers.
constexpr std::size_t kPrefixBytes = 256;

// Returns a 64-bit hash that is stable across processes.
std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed = 0);

// Returns the hash of a prompt's leading block, as published by engines.
std::uint64_t
PrefixHash(std::string_view aPrompt);

// Formats a hash as 16 lower-case hexadecimal digits.
std::string
ToHex(std::uint64_t aHash);

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_HASH_H_INCLUDED
