#include "wire/TokenJson.h"

#include <array>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace quetzalquay {

namespace {

using rapidjson::Value;

struct StringField
{
  const char* mName;
  std::string StreamEvent::*mMember;
};

struct IntField
{
  const char* mName;
  int StreamEvent::*mMember;
};

constexpr std::array<StringField, 7> kStringFields = { {
  { "request_id", &StreamEvent::mRequestId },
  { "generation", &StreamEvent::mGeneration },
  { "text", &StreamEvent::mText },
  { "model", &StreamEvent::mModel },
  { "version", &StreamEvent::mVersion },
  { "adapter_version", &StreamEvent::mAdapterVersion },
  { "finish_reason", &StreamEvent::mFinishReason },
} };

constexpr std::array<IntField, 3> kIntFields = { {
  { "attempt", &StreamEvent::mAttempt },
  { "index", &StreamEvent::mIndex },
  { "token", &StreamEvent::mToken },
} };

constexpr std::array<IntField, 2> kUsageFields = { {
  { "prompt_tokens", &StreamEvent::mPromptTokens },
  { "cached_tokens", &StreamEvent::mCachedTokens },
} };

template<typename Fields>
bool
ReadIntFields(const Value& aObject, const Fields& aFields, StreamEvent& aEvent)
{
  for (const IntField& it : aFields) {
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
ReadStringFields(const Value& aObject, StreamEvent& aEvent)
{
  for (const StringField& it : kStringFields) {
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
WriteStringField(rapidjson::Writer<rapidjson::StringBuffer>& aWriter,
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
  // The iterative parser cannot overflow the stack on deeply nested text.
  document.Parse<rapidjson::kParseValidateEncodingFlag |
                 rapidjson::kParseIterativeFlag>(aText.data(), aText.size());
  if (document.HasParseError() || !document.IsObject()) {
    return false;
  }
  if (!ReadStringFields(document, aEvent) ||
      !ReadIntFields(document, kIntFields, aEvent)) {
    return false;
  }
  const auto usage = document.FindMember("usage");
  if (usage == document.MemberEnd() || usage->value.IsNull()) {
    return true;
  }
  return usage->value.IsObject() &&
         ReadIntFields(usage->value, kUsageFields, aEvent);
}

std::string
SerializeTextEvent(const TextEventFields& aBase, const std::string& aText)
{
  rapidjson::StringBuffer buf;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buf);
  writer.StartObject();
  WriteStringField(writer, "id", aBase.mId);
  WriteStringField(writer, "object", aBase.mObject);
  WriteStringField(writer, "model", aBase.mModel);
  writer.Key("choices");
  writer.StartArray();
  writer.StartObject();
  writer.Key("index");
  writer.Int(0);
  if (aBase.mUsesDelta) {
    writer.Key("delta");
    writer.StartObject();
    WriteStringField(writer, "content", aText);
    writer.EndObject();
  } else {
    WriteStringField(writer, "text", aText);
  }
  writer.EndObject();
  writer.EndArray();
  writer.EndObject();
  return std::string(buf.GetString(), buf.GetSize());
}

} // namespace quetzalquay
