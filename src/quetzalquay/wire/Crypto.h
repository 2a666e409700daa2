#ifndef QUETZALQUAY_WIRE_CRYPTO_H_INCLUDED
#define QUETZALQUAY_WIRE_CRYPTO_H_INCLUDED

#include <optional>
#include <string>

namespace quetzalquay {

// SHA-256 of a text in lower-case hexadecimal.
std::string
Sha256Hex(const std::string& aText);

// HMAC-SHA-256, cut to its first 16 bytes.
std::string
ShortHmac(const std::string& aSecret, const std::string& aText);

// Compares without telling by its time where two texts differ.
bool
EqualInConstantTime(const std::string& aLeft, const std::string& aRight);

// Base64 in the alphabet that is safe in URLs and headers, without padding.
std::string
EncodeBase64Url(const std::string& aBytes);

// Bytes of such a text, or nothing when it is malformed.
std::optional<std::string>
DecodeBase64Url(const std::string& aText);

// Bytes from the system's cryptographic random source, in hexadecimal.
std::string
RandomHex(int aBytes);

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_CRYPTO_H_INCLUDED
