#include "wire/Json.h"

#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

namespace quetzalquay {

namespace {

std::string
PrintJson(const google::protobuf::Message& aMessage, bool aPrintDefaults)
{
  google::protobuf::util::JsonPrintOptions options;
  options.always_print_primitive_fields = aPrintDefaults;
  options.preserve_proto_field_names = true;
  std::string text;
  const auto status =
    google::protobuf::util::MessageToJsonString(aMessage, &text, options);
  return status.ok() ? text : std::string("{}");
}

} // namespace

std::optional<std::string>
ParseJson(const std::string& aText,
          UnknownFields aUnknownFields,
          google::protobuf::Message& aMessage)
{
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = aUnknownFields == UnknownFields::Ignore;
  const auto status =
    google::protobuf::util::JsonStringToMessage(aText, &aMessage, options);
  if (status.ok()) {
    return std::nullopt;
  }
  return std::string(status.message());
}

std::string
ToJson(const google::protobuf::Message& aMessage)
{
  return PrintJson(aMessage, true);
}

std::string
ToCompactJson(const google::protobuf::Message& aMessage)
{
  return PrintJson(aMessage, false);
}

} // namespace quetzalquay
