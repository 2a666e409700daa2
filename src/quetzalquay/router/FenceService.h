#ifndef QUETZALQUAY_ROUTER_FENCESERVICE_H_INCLUDED
#define QUETZALQUAY_ROUTER_FENCESERVICE_H_INCLUDED

#include "core/ContinuationFence.h"

#include <string>

namespace quetzalquay {

class TableStorePort;

// Asks the table service for the right to continue a non-idempotent request.
class FenceService
{
public:
  // aStore must outlive this object.
  explicit FenceService(TableStorePort& aStore);

  // Blocks until the wish is granted or refused, or until aGiveUpAt; then there
  // is no answer.
  std::optional<FenceAnswer> Acquire(const std::string& aRequestId,
                                     ContinuationFence& aFence,
                                     int aNewAttempt,
                                     Time aGiveUpAt);

private:
  std::optional<FenceAnswer> Try(const std::string& aRequestId,
                                 ContinuationFence& aFence,
                                 int aNewAttempt);

  TableStorePort& mStore;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_FENCESERVICE_H_INCLUDED
