#include "wire/Crypto.h"

#include <algorithm>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <vector>

namespace quetzalquay {

namespace {

constexpr std::size_t kShortMacBytes = 16;

std::string
HexOf(const unsigned char* aBytes, std::size_t aSize)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(aSize * 2);
  for (std::size_t n = 0; n < aSize; ++n) {
    text.push_back(kDigits[aBytes[n] >> 4]);
    text.push_back(kDigits[aBytes[n] & 0xf]);
  }
  return text;
}

const unsigned char*
BytesOf(const std::string& aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

} // namespace

std::string
Sha256Hex(const std::string& aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(BytesOf(aText), aText.size(), digest.data());
  return HexOf(digest.data(), digest.size());
}

std::string
ShortHmac(const std::string& aSecret, const std::string& aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned size = 0;
  HMAC(EVP_sha256(),
       aSecret.data(),
       static_cast<int>(aSecret.size()),
       BytesOf(aText),
       aText.size(),
       mac.data(),
       &size);
  const std::size_t kept = std::min<std::size_t>(size, kShortMacBytes);
  return std::string(reinterpret_cast<const char*>(mac.data()), kept);
}

bool
EqualInConstantTime(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string
EncodeBase64Url(const std::string& aBytes)
{
  std::vector<unsigned char> buf(4 * ((aBytes.size() + 2) / 3) + 1);
  const int n = EVP_EncodeBlock(
    buf.data(), BytesOf(aBytes), static_cast<int>(aBytes.size()));
  std::string text(reinterpret_cast<const char*>(buf.data()),
                   static_cast<std::size_t>(n));
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  text.erase(std::find(text.begin(), text.end(), '='), text.end());
  return text;
}

std::optional<std::string>
DecodeBase64Url(const std::string& aText)
{
  std::string text = aText;
  std::replace(text.begin(), text.end(), '-', '+');
  std::replace(text.begin(), text.end(), '_', '/');
  const std::size_t padding = (4 - text.size() % 4) % 4;
  if (padding == 3 || aText.find('=') != std::string::npos) {
    return std::nullopt;
  }
  text.append(padding, '=');
  std::vector<unsigned char> buf(text.size() / 4 * 3 + 1);
  const int n =
    EVP_DecodeBlock(buf.data(), BytesOf(text), static_cast<int>(text.size()));
  if (n < static_cast<int>(padding)) {
    return std::nullopt;
  }
  return std::string(reinterpret_cast<const char*>(buf.data()),
                     static_cast<std::size_t>(n) - padding);
}

std::string
RandomHex(int aBytes)
{
  std::vector<unsigned char> buf(static_cast<std::size_t>(aBytes));
  if (RAND_bytes(buf.data(), aBytes) != 1) {
    return std::string();
  }
  return HexOf(buf.data(), buf.size());
}

} // namespace quetzalquay
