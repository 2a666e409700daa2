#include "http/EventCutter.h"

#include <utility>

namespace quetzalquay {

namespace {

// A buffer larger than this is not kept for the next events.
constexpr std::size_t kMaxKeptBytes = 65536;

// Returns the offset after the line feed of the line that starts at aFrom, or
// npos when the line is incomplete. Sets aText to the line without its ending.
std::size_t
FindLineEnd(std::string_view aBytes, std::size_t aFrom, std::string_view& aText)
{
  const auto feed = aBytes.find('\n', aFrom);
  if (feed == std::string_view::npos) {
    return feed;
  }
  aText = aBytes.substr(aFrom, feed - aFrom);
  if (!aText.empty() && aText.back() == '\r') {
    aText.remove_suffix(1);
  }
  return feed + 1;
}

} // namespace

std::optional<EventCutter::Event>
EventCutter::Next()
{
  Event event;
  std::string_view line;
  std::size_t offset = mOffset;
  while (true) {
    offset = FindLineEnd(mBuffer, offset, line);
    if (offset == std::string_view::npos) {
      // What has been returned must not add up behind an unfinished event.
      mBuffer.erase(0, std::exchange(mOffset, 0));
      return std::nullopt;
    }
    if (line.empty()) {
      break;
    }
    if (line.substr(0, 3) == "id:") {
      line.remove_prefix(line.size() > 3 && line[3] == ' ' ? 4 : 3);
      event.mId.assign(line);
    }
  }
  event.mBytes.assign(mBuffer, mOffset, offset - mOffset);
  mOffset = offset;
  if (mOffset == mBuffer.size()) {
    Clear();
  }
  return event;
}

void
EventCutter::Clear()
{
  if (mBuffer.capacity() > kMaxKeptBytes) {
    std::string().swap(mBuffer);
  } else {
    mBuffer.clear();
  }
  mOffset = 0;
}

} // namespace quetzalquay
