#ifndef QUETZALQUAY_WIRE_EVENTID_H_INCLUDED
#define QUETZALQUAY_WIRE_EVENTID_H_INCLUDED

#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

namespace schema {
class StreamPosition;
}

// Secret key that signs event IDs, and the ID by which event IDs refer to it.
struct EventIdKey
{
  std::string mId;
  std::string mSecret;
};

// Encodes stream positions as opaque signed event IDs and verifies the IDs that
// callers send back. Thread-safe.
class EventIdCodec
{
public:
  // The first key signs; all keys verify, which lets operators rotate keys.
  explicit EventIdCodec(std::vector<EventIdKey> aKeys);

  // Encodes a position and signs it with the first key.
  std::string Encode(const schema::StreamPosition& aPosition) const;

  // Decodes an event ID. Returns nothing when it is malformed or none of the
  // keys signed it.
  std::optional<schema::StreamPosition> Decode(const std::string& aId) const;

private:
  std::vector<EventIdKey> mKeys;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_EVENTID_H_INCLUDED
