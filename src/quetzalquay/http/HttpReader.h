#ifndef QUETZALQUAY_HTTP_HTTPREADER_H_INCLUDED
#define QUETZALQUAY_HTTP_HTTPREADER_H_INCLUDED

#include "http/HttpHead.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace quetzalquay {

// Which side's messages a reader takes.
enum class HttpSide
{
  Requests,
  Answers,
};

// Where a reader stands in its present message.
enum class HttpProgress
{
  // Waits for the rest of the head.
  Head,
  // The head is known, the body is not complete.
  Body,
  // The message is complete.
  Complete,
  // The bytes are no valid message; nothing more can be read.
  Broken,
};

// Why a message is not valid.
enum class HttpFault
{
  None,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
};

// Cuts the bytes of one connection into HTTP/1.1 messages, one at a time.
// Framing that two readers could understand differently is refused: folded
// lines, bare line feeds, a length beside chunks, two lengths, and transfer
// codings other than a single "chunked".
class HttpReader
{
public:
  // Limits in bytes.
  struct Limits
  {
    std::size_t mHead = 16384;
    std::size_t mBody = 64U << 20U;
  };

  HttpReader(HttpSide aSide, Limits aLimits);
  ~HttpReader();

  // Takes bytes up to the end of the present message and returns how many;
  // fewer than aData holds when the message is complete or broken.
  std::size_t Take(std::string_view aData);

  // The sender has closed its side. Completes a body that ends with the
  // connection; anything else that is under way becomes broken.
  void TakeEnd();

  // Forgets the present message; the next one is expected. aNoBody tells of an
  // answer to a HEAD request.
  void Next(bool aNoBody = false);

  // New limits, from the next message on.
  void SetLimits(Limits aLimits);

  HttpProgress Progress() const;
  HttpFault Fault() const;

  // Whether any byte of the present message has been taken.
  bool Started() const;

  // The present message's head; complete unless Progress() is Head.
  const HttpHead& Head() const;

  // Body bytes that have arrived since the last call, moved out.
  std::string TakeBody();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_HTTPREADER_H_INCLUDED
