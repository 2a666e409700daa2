#include "wire/Crypto.h"

#include <algorithm>
#include <array>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <vector>

namespace quetzalquay {

namespace {

constexpr std::size_t kTruncatedMacBytes = 16;

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

// HMAC-SHA-256 that caches its key schedule between calls: fetching the
// algorithm and setting the key cost many times as much as signing a short
// text.
class HmacContext
{
public:
  HmacContext()
    : mMac(EVP_MAC_fetch(nullptr, "HMAC", nullptr))
    , mContext(EVP_MAC_CTX_new(mMac))
  {
  }

  HmacContext(const HmacContext&) = delete;
  HmacContext& operator=(const HmacContext&) = delete;

  ~HmacContext()
  {
    EVP_MAC_CTX_free(mContext);
    EVP_MAC_free(mMac);
  }

  // Returns the truncated HMAC of a text.
  std::string Sign(const std::string& aSecret, const std::string& aText)
  {
    if (!mHasKey || aSecret != mSecret) {
      SetKey(aSecret);
    } else {
      EVP_MAC_init(mContext, nullptr, 0, nullptr);
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    std::size_t size = 0;
    EVP_MAC_update(mContext, BytesOf(aText), aText.size());
    EVP_MAC_final(mContext, mac.data(), &size, mac.size());
    const std::size_t kept = std::min(size, kTruncatedMacBytes);
    return std::string(reinterpret_cast<const char*>(mac.data()), kept);
  }

private:
  void SetKey(const std::string& aSecret)
  {
    std::string digest = "SHA256";
    const OSSL_PARAM parameters[] = {
      OSSL_PARAM_construct_utf8_string(
        OSSL_MAC_PARAM_DIGEST, digest.data(), digest.size()),
      OSSL_PARAM_construct_end(),
    };
    EVP_MAC_init(mContext, BytesOf(aSecret), aSecret.size(), parameters);
    mSecret = aSecret;
    mHasKey = true;
  }

  EVP_MAC* mMac;
  EVP_MAC_CTX* mContext;
  std::string mSecret;
  bool mHasKey = false;
};

} // namespace

std::string
Sha256Hex(const std::string& aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(BytesOf(aText), aText.size(), digest.data());
  return HexOf(digest.data(), digest.size());
}

std::string
TruncatedHmacSha256(const std::string& aSecret, const std::string& aText)
{
  thread_local HmacContext context;
  return context.Sign(aSecret, aText);
}

bool
ConstantTimeEquals(const std::string& aLeft, const std::string& aRight)
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
