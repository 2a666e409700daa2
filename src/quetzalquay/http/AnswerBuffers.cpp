#include "http/AnswerBuffers.h"

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

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

// Files with the memory limit of the process's control group, of both versions.
constexpr const char* kControlGroupFiles[] = {
  "/sys/fs/cgroup/memory.max",
  "/sys/fs/cgroup/memory/memory.limit_in_bytes"
};

std::size_t
ResourceLimit(decltype(RLIMIT_DATA) aResource)
{
  rlimit limit{};
  return ::getrlimit(aResource, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY
           ? static_cast<std::size_t>(limit.rlim_cur)
           : SIZE_MAX;
}

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

std::size_t
UsableMemory()
{
  const auto pages = static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES));
  const auto pageBytes = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  std::size_t memory = std::min({ pages * pageBytes,
                                  ResourceLimit(RLIMIT_DATA),
                                  ResourceLimit(RLIMIT_AS) });
  for (const char* it : kControlGroupFiles) {
    std::size_t limit = 0;
    // The file of a group without a limit has a word instead of a number.
    if (std::ifstream(it) >> limit) {
      memory = std::min(memory, limit);
    }
  }
  return memory;
}

bool
AnswerBuffer::Resize(std::size_t aSize, std::size_t aAlwaysAllowed)
{
  mBuffers.mTotal += aSize - mSize;
  mSize = aSize;
  return aSize <= aAlwaysAllowed || aSize + mBuffers.mTotal <= mBuffers.mLimit;
}

} // namespace quetzalquay
