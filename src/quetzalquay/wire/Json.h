#ifndef QUETZALQUAY_WIRE_JSON_H_INCLUDED
#define QUETZALQUAY_WIRE_JSON_H_INCLUDED

#include <optional>
#include <string>

namespace google::protobuf {
class Message;
}

namespace quetzalquay {

// Handling of JSON fields that are not in the schema.
enum class UnknownFields
{
  Refuse,
  Ignore,
};

// Parses a message from its JSON mapping. Returns nothing on success, else an
// error message that names the field.
std::optional<std::string>
ParseJson(const std::string& aText,
          UnknownFields aUnknownFields,
          google::protobuf::Message& aMessage);

// JSON mapping of a message on one line. Fields keep their schema names, and
// primitive fields are written even when they hold their default.
std::string
ToJson(const google::protobuf::Message& aMessage);

// Like ToJson, but omits fields that hold their default.
std::string
ToCompactJson(const google::protobuf::Message& aMessage);

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_JSON_H_INCLUDED
