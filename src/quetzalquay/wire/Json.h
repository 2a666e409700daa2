#ifndef QUETZALQUAY_WIRE_JSON_H_INCLUDED
#define QUETZALQUAY_WIRE_JSON_H_INCLUDED

#include <optional>
#include <string>

namespace google::protobuf {
class Message;
}

namespace quetzalquay {

// What to do with JSON fields that the schema does not have.
enum class UnknownFields
{
  Refuse,
  Ignore,
};

// Fills a message from its JSON mapping. Returns nothing on success, else the
// reason, which names the field.
std::optional<std::string>
ParseJson(const std::string& aText,
          UnknownFields aUnknownFields,
          google::protobuf::Message& aMessage);

// JSON mapping of a message on one line; fields keep their schema names and
// numbers at zero are written.
std::string
ToJson(const google::protobuf::Message& aMessage);

// Like ToJson, without fields that hold their default.
std::string
ToCompactJson(const google::protobuf::Message& aMessage);

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_JSON_H_INCLUDED
