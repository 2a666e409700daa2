#ifndef QUETZALQUAY_HTTP_HTTPHEAD_H_INCLUDED
#define QUETZALQUAY_HTTP_HTTPHEAD_H_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalquay {

// One header field. The name keeps the case in which it was received.
struct HttpField
{
  std::string mName;
  std::string mValue;
};

// Start line and header fields of a request or response.
struct HttpHead
{
  // Method and path with query; set in requests only.
  std::string mMethod;
  std::string mTarget;
  // Status code and reason phrase; set in responses only.
  int mStatus = 0;
  std::string mReason;

  std::vector<HttpField> mFields;
  // Value of Content-Length, in bytes, when present.
  std::optional<std::uint64_t> mLength;
  bool mChunked = false;
  // Whether the body ends when the sender closes the connection.
  bool mUntilClose = false;
  // Whether the sender keeps the connection open after this message.
  bool mKeepAlive = false;

  // Returns the value of the first field with this name, or nullptr. Names are
  // compared ignoring case.
  const std::string* Find(std::string_view aName) const;

  // Number of fields with this name, ignoring case.
  int Count(std::string_view aName) const;

  // Whether a comma-separated field contains a token. Names and tokens are
  // compared ignoring case.
  bool HasToken(std::string_view aName, std::string_view aToken) const;
};

// Whether two strings, such as field names, are equal ignoring ASCII case.
bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

// Whether a field is hop-by-hop and must not be forwarded: by definition, or
// because the Connection field of aHead names it.
bool
IsHopByHop(const HttpHead& aHead, std::string_view aName);

// Turns a target that names scheme and host, as callers may send it, into one
// of path and query only. Its host takes the place of the Host field.
void
UseOriginForm(HttpHead& aHead);

// Appends "Name: value" and CRLF to aText.
void
AppendField(std::string& aText,
            std::string_view aName,
            std::string_view aValue);

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_HTTPHEAD_H_INCLUDED
