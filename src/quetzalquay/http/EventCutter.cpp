#include "http/EventCutter.h"

namespace quetzalquay {

namespace {

// End of the line that starts at aFrom, behind its line feed; npos when it is
// not complete. aText is set to the line without its end.
std::size_t
LineEnd(std::string_view aBytes, std::size_t aFrom, std::string_view& aText)
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
  std::size_t at = mAt;
  while (true) {
    at = LineEnd(mBuffer, at, line);
    if (at == std::string_view::npos) {
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
  event.mBytes.assign(mBuffer, mAt, at - mAt);
  mAt = at;
  if (mAt == mBuffer.size()) {
    Clear();
  }
  return event;
}

void
EventCutter::Clear()
{
  mBuffer.clear();
  mAt = 0;
}

} // namespace quetzalquay
