#ifndef QUETZALQUAY_HTTP_ANSWERBUFFERS_H_INCLUDED
#define QUETZALQUAY_HTTP_ANSWERBUFFERS_H_INCLUDED

#include <cstddef>

namespace quetzalquay {

// Bytes that may be held of requests and answers together, until the caller has
// read its answer, given the memory that the process may use; SIZE_MAX stands
// for an unknown one.
std::size_t
AnswerBufferLimit(std::size_t aMemory);

// Bytes of replies of the store and of other hosts that may be held together
// while they are received.
std::size_t
ReplyBufferLimit(std::size_t aMemory);

// Memory that one parsed JSON text may need, as MaxJsonMemory() estimates it.
std::size_t
JsonMemoryLimit(std::size_t aMemory);

// Shares the memory for requests and answers among all requests: those that are
// being received or handled, and answers that wait for their callers to read
// them. Each may hold as much as is left unused, so that one without end is
// given up before it takes the memory of the others.
class AnswerBuffers
{
public:
  explicit AnswerBuffers(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  // Bytes that an answer may hold in any case.
  static constexpr std::size_t kAlwaysAllowed = 65536;

  std::size_t Limit() const { return mLimit; }
  // What is held already stays, also above a lower limit.
  void SetLimit(std::size_t aLimit) { mLimit = aLimit; }
  std::size_t Total() const { return mTotal; }

private:
  friend class AnswerBuffer;

  std::size_t mLimit;
  std::size_t mTotal = 0;
};

// The part of AnswerBuffers that one answer holds.
class AnswerBuffer
{
public:
  explicit AnswerBuffer(AnswerBuffers& aBuffers)
    : mBuffers(aBuffers)
  {
  }
  ~AnswerBuffer() { Resize(0); }
  AnswerBuffer(const AnswerBuffer&) = delete;
  AnswerBuffer& operator=(const AnswerBuffer&) = delete;

  // Sets how many bytes the answer holds. Returns whether it may hold them; up
  // to aAlwaysAllowed it may in any case.
  bool Resize(std::size_t aSize,
              std::size_t aAlwaysAllowed = AnswerBuffers::kAlwaysAllowed);

private:
  AnswerBuffers& mBuffers;
  std::size_t mSize = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_ANSWERBUFFERS_H_INCLUDED
