#include "gateway/ReplyBody.h"

#include <utility>

namespace quetzalquay {

bool
ReplyBody::Append(const std::string& aBytes)
{
  const std::size_t size = mBytes.size() + aBytes.size();
  if (size > kMaxBytes || !mBuffer.Resize(size)) {
    Take();
    return false;
  }
  mBytes += aBytes;
  return true;
}

std::string
ReplyBody::Take()
{
  mBuffer.Resize(0);
  return std::exchange(mBytes, std::string());
}

} // namespace quetzalquay
