#include "http/ProcessLimits.h"

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace quetzalquay {

namespace {

// Files with the memory limit of the process's control group, of both versions.
constexpr const char* kControlGroupFiles[] = {
  "/sys/fs/cgroup/memory.max",
  "/sys/fs/cgroup/memory/memory.limit_in_bytes"
};

// Descriptors of a process that neither its settings nor the system limit.
constexpr rlim_t kMaxDescriptors = 65536;

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
UsableMemory(int aGrantedMb)
{
  const auto pages = static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES));
  const auto pageBytes = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  const std::size_t granted =
    aGrantedMb > 0 ? static_cast<std::size_t>(aGrantedMb) << 20U : SIZE_MAX;
  std::size_t memory = std::min({ pages * pageBytes,
                                  granted,
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

int
ObtainDescriptors(int aGranted)
{
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return aGranted > 0 ? aGranted : static_cast<int>(kMaxDescriptors);
  }
  const rlim_t wanted =
    aGranted > 0 ? static_cast<rlim_t>(aGranted) : kMaxDescriptors;
  if (limit.rlim_cur < wanted) {
    const rlimit raised{ std::min(wanted, limit.rlim_max), limit.rlim_max };
    if (::setrlimit(RLIMIT_NOFILE, &raised) == 0) {
      limit = raised;
    }
  }
  return static_cast<int>(std::min(wanted, limit.rlim_cur));
}

} // namespace quetzalquay
