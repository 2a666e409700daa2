#ifndef QUETZALQUAY_WIRE_CRYPTO_H_INCLUDED
#define QUETZALQUAY_WIRE_CRYPTO_H_INCLUDED

#include <optional>
#include <string>

namespace quetzalquay {

// SHA-256 of a text in lower-case hexadecimal.
std::string
Sha256Hex(const std::string& aText);

// HMAC-SHA-256, truncated to its first 16 bytes.
std::string
TruncatedHmacSha256(const std::string& aSecret, const std::string& aText);

// Compares two texts in time that depends only on their lengths, not on where
// they differ.
bool
ConstantTimeEquals(const std::string& aLeft, const std::string& aRight);

// Encodes bytes as base64url without padding, which is safe in URLs and
// headers.
std::string
EncodeBase64Url(const std::string& aBytes);

// Decodes unpadded base64url. Returns nothing when the text is malformed.
std::optional<std::string>
DecodeBase64Url(const std::string& aText);

// aBytes bytes from the cryptographic random generator, in hexadecimal. Empty
// when the generator fails.
std::string
RandomHex(int aBytes);

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_CRYPTO_H_INCLUDED
