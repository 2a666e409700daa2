#include "wire/EventId.h"

#include "generated/messages.pb.h"
#include "wire/Crypto.h"

#include <utility>

namespace quetzalquay {

EventIdCodec::EventIdCodec(std::vector<EventIdKey> aKeys)
  : mKeys(std::move(aKeys))
{
}

std::string
EventIdCodec::Encode(const schema::StreamPosition& aPosition) const
{
  schema::SignedPosition outer;
  outer.set_key_id(mKeys.front().mId);
  aPosition.SerializeToString(outer.mutable_position());
  outer.set_mac(ShortHmac(mKeys.front().mSecret, outer.position()));
  return EncodeBase64Url(outer.SerializeAsString());
}

std::optional<schema::StreamPosition>
EventIdCodec::Decode(const std::string& aId) const
{
  const auto bytes = DecodeBase64Url(aId);
  schema::SignedPosition outer;
  if (!bytes || !outer.ParseFromString(*bytes)) {
    return std::nullopt;
  }
  for (const EventIdKey& it : mKeys) {
    if (it.mId != outer.key_id()) {
      continue;
    }
    const std::string mac = ShortHmac(it.mSecret, outer.position());
    schema::StreamPosition position;
    if (EqualInConstantTime(mac, outer.mac()) &&
        position.ParseFromString(outer.position())) {
      return position;
    }
  }
  return std::nullopt;
}

} // namespace quetzalquay
