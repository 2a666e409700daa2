#include "wire/SseParser.h"

#include <string_view>
#include <utility>

namespace quetzalquay {

namespace {

constexpr std::size_t kMaxEventBytes = 256U << 10;

} // namespace

SseParser::SseParser(Receiver aReceiver)
  : mReceiver(std::move(aReceiver))
{
}

bool
SseParser::Feed(const char* aData, std::size_t aSize)
{
  for (std::size_t n = 0; n < aSize; ++n) {
    const char c = aData[n];
    if (c == '\r') {
      continue;
    }
    if (c != '\n') {
      mLine.push_back(c);
      continue;
    }
    if (!ParseLine(std::exchange(mLine, std::string()))) {
      return false;
    }
  }
  return mLine.size() + mEvent.mData.size() <= kMaxEventBytes;
}

bool
SseParser::ParseLine(const std::string& aLine)
{
  if (aLine.empty()) {
    const SseEvent event = std::exchange(mEvent, SseEvent());
    return event.mData.empty() || mReceiver(event);
  }
  const std::size_t colon = aLine.find(':');
  if (colon == 0 || colon == std::string::npos) {
    return true;
  }
  std::string_view value = std::string_view(aLine).substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  const std::string_view field = std::string_view(aLine).substr(0, colon);
  if (field == "data") {
    if (!mEvent.mData.empty()) {
      mEvent.mData.push_back('\n');
    }
    mEvent.mData.append(value);
  } else if (field == "id") {
    mEvent.mId = value;
  } else if (field == "event") {
    mEvent.mName = value;
  }
  return true;
}

} // namespace quetzalquay
