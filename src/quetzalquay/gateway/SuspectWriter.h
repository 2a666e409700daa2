#ifndef QUETZALQUAY_GATEWAY_SUSPECTWRITER_H_INCLUDED
#define QUETZALQUAY_GATEWAY_SUSPECTWRITER_H_INCLUDED

#include "gateway/Fleet.h"
#include "http/AsyncHttpClient.h"

#include <map>
#include <string>

namespace quetzalquay {

// Writes what is known about suspected requests to the store, so that it
// outlasts the hosts and reaches those that are cut off from the others.
// Removes rows that have expired.
class SuspectWriter
{
public:
  SuspectWriter(EventLoop& aLoop,
                const GatewaySettings& aSettings,
                Fleet& aFleet);

private:
  void Write();
  void OnReply(const std::optional<HttpReply>& aReply,
               const std::string& aReason);
  void RemoveExpired();

  std::string mHostHeader;
  Fleet& mFleet;
  AsyncHttpClient mHttpClient;
  Timer mWriteTimer;
  Timer mExpiryTimer;
  // Changes that the store has not confirmed, by key; the newest one counts.
  std::map<std::string, platform::RowChange> mPending;
  // Changes of the call in progress.
  std::vector<platform::RowChange> mWriting;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_SUSPECTWRITER_H_INCLUDED
