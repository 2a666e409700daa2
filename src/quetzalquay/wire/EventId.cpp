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
  schema::SignedPosition signedPosition;
  signedPosition.set_key_id(mKeys.front().mId);
  aPosition.SerializeToString(signedPosition.mutable_position());
  signedPosition.set_mac(
    TruncatedHmacSha256(mKeys.front().mSecret, signedPosition.position()));
  return EncodeBase64Url(signedPosition.SerializeAsString());
}

std::optional<schema::StreamPosition>
EventIdCodec::Decode(const std::string& aId) const
{
  const auto bytes = DecodeBase64Url(aId);
  schema::SignedPosition signedPosition;
  if (!bytes || !signedPosition.ParseFromString(*bytes)) {
    return std::nullopt;
  }
  for (const EventIdKey& it : mKeys) {
    if (it.mId != signedPosition.key_id()) {
      continue;
    }
    const std::string mac =
      TruncatedHmacSha256(it.mSecret, signedPosition.position());
    schema::StreamPosition position;
    if (ConstantTimeEquals(mac, signedPosition.mac()) &&
        position.ParseFromString(signedPosition.position())) {
      return position;
    }
  }
  return std::nullopt;
}

} // namespace quetzalquay
