#ifndef QUETZALQUAY_GATEWAY_REPLYBODY_H_INCLUDED
#define QUETZALQUAY_GATEWAY_REPLYBODY_H_INCLUDED

#include "http/AnswerBuffers.h"

#include <string>

namespace quetzalquay {

// Body of a target's reply to a question of the gateway itself: a report, or
// the reply to an order. Counts as memory like the answers to callers.
class ReplyBody
{
public:
  // Largest reply, in bytes. A report has some 50 bytes for each run.
  static constexpr std::size_t kMaxBytes = 262144;

  explicit ReplyBody(AnswerBuffers& aBuffers)
    : mBuffer(aBuffers)
  {
  }

  // Returns whether the reply may hold the bytes; if not, it is emptied.
  bool Append(const std::string& aBytes);

  // Removes and returns the bytes.
  std::string Take();

private:
  AnswerBuffer mBuffer;
  std::string mBytes;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_REPLYBODY_H_INCLUDED
