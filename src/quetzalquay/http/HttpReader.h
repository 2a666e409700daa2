#ifndef QUETZALQUAY_HTTP_HTTPREADER_H_INCLUDED
#define QUETZALQUAY_HTTP_HTTPREADER_H_INCLUDED

#include "http/HttpHead.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace quetzalquay {

// Which kind of messages a reader parses.
enum class HttpMessageType
{
  Requests,
  Responses,
};

// How far the current message has been parsed.
enum class HttpProgress
{
  // The head is incomplete.
  Head,
  // The head is complete, the body is not.
  Body,
  Complete,
  // The message is invalid; no more bytes are accepted.
  Broken,
};

// Why a message is invalid.
enum class HttpParseError
{
  None,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
};

// Incremental HTTP/1.1 parser for the messages of one connection, one at a
// time. Rejects framing that two parsers could interpret differently (request
// smuggling): folded header lines, bare line feeds, Content-Length together
// with Transfer-Encoding, repeated Content-Length, and transfer codings other
// than a single "chunked".
class HttpReader
{
public:
  // Maximum sizes of head and body, in bytes.
  struct Limits
  {
    std::size_t mHead = 16384;
    std::size_t mBody = 64U << 20U;
  };

  HttpReader(HttpMessageType aMessageType, Limits aLimits);
  ~HttpReader();

  // Parses bytes up to the end of the current message and returns the number
  // consumed. It is less than aData.size() only when the message has become
  // complete or invalid.
  std::size_t Feed(std::string_view aData);

  // Signals the end of the input. Completes a body that is delimited by the end
  // of the connection; any other partial message becomes invalid.
  void FeedEof();

  // Discards the current message and prepares for the next one. aNoBody is set
  // for the response to a HEAD request.
  void Next(bool aNoBody = false);

  // Sets the limits for the messages after the current one. A lower head limit
  // also applies to the current head while it is incomplete.
  void SetLimits(Limits aLimits);

  HttpProgress Progress() const;
  HttpParseError Error() const;

  // Whether any byte of the current message has been received.
  bool HasStarted() const;

  // Head of the current message; complete unless Progress() is Head.
  const HttpHead& Head() const;

  // Removes and returns the body bytes received since the last call.
  std::string TakeBody();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_HTTPREADER_H_INCLUDED
