#ifndef QUETZALQUAY_CORE_HASH_H_INCLUDED
#define QUETZALQUAY_CORE_HASH_H_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzalquay {

// Characters of a prompt that the first block of a prefix cache covers.
constexpr std::size_t kPrefixCharacters = 256;

// 64-bit hash that is the same in every process.
std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed = 0);

// Hash of the leading block of a prompt, as engines publish it.
std::uint64_t
PrefixHash(std::string_view aPrompt);

// Hash as 16 lower-case hexadecimal digits.
std::string
ToHex(std::uint64_t aHash);

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_HASH_H_INCLUDED
