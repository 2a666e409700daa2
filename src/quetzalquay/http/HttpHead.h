#ifndef QUETZALQUAY_HTTP_HTTPHEAD_H_INCLUDED
#define QUETZALQUAY_HTTP_HTTPHEAD_H_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalquay {

// One header field, with its name as it was received.
struct HttpField
{
  std::string mName;
  std::string mValue;
};

// Start line and header fields of a request or an answer.
struct HttpHead
{
  // Set in requests.
  std::string mMethod;
  std::string mTarget;
  // Set in answers.
  int mStatus = 0;
  std::string mReason;

  std::vector<HttpField> mFields;
  // Bytes of the body, when the head announces them.
  std::optional<std::uint64_t> mLength;
  bool mChunked = false;
  // Whether the body ends with the connection.
  bool mUntilClose = false;
  // Whether the sender keeps the connection open after this message.
  bool mKeepAlive = false;

  // First value of a field, or nothing. Names are compared without case.
  const std::string* Find(std::string_view aName) const;

  // Number of fields with this name.
  int Count(std::string_view aName) const;

  // Whether a field's comma-separated values hold a token, without case.
  bool HasToken(std::string_view aName, std::string_view aToken) const;
};

// Whether two field names are the same, without case.
bool
SameFieldName(std::string_view aLeft, std::string_view aRight);

// Whether a field concerns one connection only and must not be forwarded.
// aHead gives the fields that the sender named in Connection.
bool
IsHopByHop(const HttpHead& aHead, std::string_view aName);

// Appends "Name: value" and the line end.
void
AppendField(std::string& aText,
            std::string_view aName,
            std::string_view aValue);

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_HTTPHEAD_H_INCLUDED
