#include "wire/TokenJson.h"

#include <array>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace quetzalquay {

namespace {

using rapidjson::Value;

struct TextRow
{
  const char* mName;
  std::string StreamEvent::*mMember;
};

struct NumberRow
{
  const char* mName;
  int StreamEvent::*mMember;
};

constexpr std::array<TextRow, 7> kTexts = { {
  { "request_id", &StreamEvent::mRequestId },
  { "generation", &StreamEvent::mGeneration },
  { "text", &StreamEvent::mText },
  { "model", &StreamEvent::mModel },
  { "version", &StreamEvent::mVersion },
  { "adapter_version", &StreamEvent::mAdapterVersion },
  { "finish_reason", &StreamEvent::mFinishReason },
} };

constexpr std::array<NumberRow, 3> kNumbers = { {
  { "attempt", &StreamEvent::mAttempt },
  { "index", &StreamEvent::mIndex },
  { "token", &StreamEvent::mToken },
} };

constexpr std::array<NumberRow, 2> kUsage = { {
  { "prompt_tokens", &StreamEvent::mPromptTokens },
  { "cached_tokens", &StreamEvent::mCachedTokens },
} };

template<typename Rows>
bool
ReadNumbers(const Value& aObject, const Rows& aRows, StreamEvent& aEvent)
{
  for (const NumberRow& it : aRows) {
    const auto field = aObject.FindMember(it.mName);
    if (field == aObject.MemberEnd() || field->value.IsNull()) {
      continue;
    }
    if (!field->value.IsInt()) {
      return false;
    }
    aEvent.*it.mMember = field->value.GetInt();
  }
  return true;
}

bool
ReadTexts(const Value& aObject, StreamEvent& aEvent)
{
  for (const TextRow& it : kTexts) {
    const auto field = aObject.FindMember(it.mName);
    if (field == aObject.MemberEnd() || field->value.IsNull()) {
      continue;
    }
    if (!field->value.IsString()) {
      return false;
    }
    (aEvent.*it.mMember)
      .assign(field->value.GetString(), field->value.GetStringLength());
  }
  return true;
}

void
WriteText(rapidjson::Writer<rapidjson::StringBuffer>& aWriter,
          const char* aName,
          const std::string& aText)
{
  aWriter.Key(aName);
  aWriter.String(aText.data(), static_cast<rapidjson::SizeType>(aText.size()));
}

} // namespace

bool
ParseStreamEvent(const std::string& aText, StreamEvent& aEvent)
{
  rapidjson::Document document;
  document.Parse<rapidjson::kParseValidateEncodingFlag>(aText.data(),
                                                        aText.size());
  if (document.HasParseError() || !document.IsObject()) {
    return false;
  }
  if (!ReadTexts(document, aEvent) ||
      !ReadNumbers(document, kNumbers, aEvent)) {
    return false;
  }
  const auto usage = document.FindMember("usage");
  if (usage == document.MemberEnd() || usage->value.IsNull()) {
    return true;
  }
  return usage->value.IsObject() && ReadNumbers(usage->value, kUsage, aEvent);
}

std::string
PrintTextEvent(const TextEventBase& aBase, const std::string& aText)
{
  rapidjson::StringBuffer buf;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buf);
  writer.StartObject();
  WriteText(writer, "id", aBase.mId);
  WriteText(writer, "object", aBase.mObject);
  WriteText(writer, "model", aBase.mModel);
  writer.Key("choices");
  writer.StartArray();
  writer.StartObject();
  writer.Key("index");
  writer.Int(0);
  if (aBase.mDelta) {
    writer.Key("delta");
    writer.StartObject();
    WriteText(writer, "content", aText);
    writer.EndObject();
  } else {
    WriteText(writer, "text", aText);
  }
  writer.EndObject();
  writer.EndArray();
  writer.EndObject();
  return std::string(buf.GetString(), buf.GetSize());
}

} // namespace quetzalquay
