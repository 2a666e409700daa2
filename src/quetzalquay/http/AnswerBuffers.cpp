#include "http/AnswerBuffers.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Share of the memory that holds answers. A buffer that grows takes up to three
// times its size for a moment.
constexpr std::size_t kMemoryShare = 4;

// The limit is within these bounds whatever the memory is.
constexpr std::size_t kMinLimit = 4U << 20U;
constexpr std::size_t kMaxLimit = 256U << 20U;

// The same for replies of the store and of other hosts. The limit leaves room
// for the complete tables of a large fleet.
constexpr std::size_t kReplyShare = 8;
constexpr std::size_t kMinReplyLimit = 4U << 20U;
constexpr std::size_t kMaxReplyLimit = 64U << 20U;

// The same for parsed JSON, of which there is one text at a time.
constexpr std::size_t kJsonShare = 4;
constexpr std::size_t kMinJsonLimit = 8U << 20U;
constexpr std::size_t kMaxJsonLimit = 512U << 20U;

} // namespace

std::size_t
AnswerBufferLimit(std::size_t aMemory)
{
  return std::clamp(aMemory / kMemoryShare, kMinLimit, kMaxLimit);
}

std::size_t
ReplyBufferLimit(std::size_t aMemory)
{
  return std::clamp(aMemory / kReplyShare, kMinReplyLimit, kMaxReplyLimit);
}

std::size_t
JsonMemoryLimit(std::size_t aMemory)
{
  return std::clamp(aMemory / kJsonShare, kMinJsonLimit, kMaxJsonLimit);
}

bool
AnswerBuffer::Resize(std::size_t aSize, std::size_t aAlwaysAllowed)
{
  mBuffers.mTotal += aSize - mSize;
  mSize = aSize;
  return aSize <= aAlwaysAllowed || aSize + mBuffers.mTotal <= mBuffers.mLimit;
}

} // namespace quetzalquay
