#ifndef QUETZALQUAY_ROUTER_FENCESERVICE_H_INCLUDED
#define QUETZALQUAY_ROUTER_FENCESERVICE_H_INCLUDED

#include "core/ContinuationFence.h"

#include <string>

namespace quetzalquay {

class TableStorePort;

// Acquires from the table service the right to continue a non-idempotent
// request.
class FenceService
{
public:
  // aStore must outlive this object.
  explicit FenceService(TableStorePort& aStore);

  // Requests the right to start attempt aNewAttempt. Blocks until the right is
  // granted or refused; returns nothing if that is undecided at aDeadline.
  std::optional<FenceDecision> Acquire(const std::string& aRequestId,
                                       ContinuationFence& aFence,
                                       int aNewAttempt,
                                       Time aDeadline);

private:
  // Makes one read and write. Returns nothing if the outcome is undecided.
  std::optional<FenceDecision> TryAcquire(const std::string& aRequestId,
                                          ContinuationFence& aFence,
                                          int aNewAttempt);

  TableStorePort& mStore;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_FENCESERVICE_H_INCLUDED
