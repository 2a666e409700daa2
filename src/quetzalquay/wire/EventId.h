#ifndef QUETZALQUAY_WIRE_EVENTID_H_INCLUDED
#define QUETZALQUAY_WIRE_EVENTID_H_INCLUDED

#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

namespace schema {
class StreamPosition;
}

// Key that signs event ids.
struct EventIdKey
{
  std::string mId;
  std::string mSecret;
};

// Turns a stream's position into the opaque event id that callers send back,
// and verifies those that come back. Safe for concurrent use.
class EventIdCodec
{
public:
  // The first key signs; all of them verify, which lets operators rotate keys.
  explicit EventIdCodec(std::vector<EventIdKey> aKeys);

  // Event id for a position.
  std::string Encode(const schema::StreamPosition& aPosition) const;

  // Position of an event id, or nothing when it was not signed by one of the
  // keys.
  std::optional<schema::StreamPosition> Decode(const std::string& aId) const;

private:
  std::vector<EventIdKey> mKeys;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_EVENTID_H_INCLUDED
