#ifndef QUETZALQUAY_GATEWAY_SUSPECTWRITER_H_INCLUDED
#define QUETZALQUAY_GATEWAY_SUSPECTWRITER_H_INCLUDED

#include "gateway/Fleet.h"
#include "gateway/RowWriter.h"

#include <vector>

namespace quetzalquay {

// Writes what is known about suspected requests to the store, so that it
// outlasts the hosts and reaches those that are cut off from the others.
// Removes rows that have expired.
class SuspectWriter
{
public:
  SuspectWriter(EventLoop& aLoop,
                const GatewaySettings& aSettings,
                Fleet& aFleet,
                ReplyBuffers& aReplies);

  // Writes to another store from now on.
  void SetStore(const Endpoint& aStore) { mRows.SetStore(aStore); }

private:
  std::vector<platform::RowChange> TakeChanges();
  void RemoveExpired();

  Fleet& mFleet;
  RowWriter mRows;
  Timer mExpiryTimer;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_SUSPECTWRITER_H_INCLUDED
