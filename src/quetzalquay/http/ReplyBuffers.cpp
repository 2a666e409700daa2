#include "http/ReplyBuffers.h"

#include <array>

namespace quetzalquay {

namespace {

struct KindDescription
{
  const char* mName;
  std::size_t mMaxBodyBytes;
};

constexpr std::array<KindDescription, static_cast<std::size_t>(ReplyKind::Last)>
  kKinds = { {
    { "rows", 16U << 20U },
    { "host_tables", 16U << 20U },
    { "written", 1U << 20U },
    { "host_check", 1U << 16U },
  } };

} // namespace

const char*
NameOf(ReplyKind aKind)
{
  return kKinds[static_cast<std::size_t>(aKind)].mName;
}

std::size_t
MaxBodyBytes(ReplyKind aKind)
{
  return kKinds[static_cast<std::size_t>(aKind)].mMaxBodyBytes;
}

} // namespace quetzalquay
