#ifndef QUETZALQUAY_PORTS_ORDERPORT_H_INCLUDED
#define QUETZALQUAY_PORTS_ORDERPORT_H_INCLUDED

#include "core/RolloutPlan.h"
#include "core/Time.h"
#include "ports/EnginePort.h"

#include <set>
#include <string>

namespace quetzalquay {

// Outcome of an order to an engine.
enum class OrderOutcome
{
  Accepted,
  // The engine rejected the order; it has seen a higher fencing token.
  Fenced,
  NoAnswer,
};

// Reads and sets the model versions that engines have loaded.
class OrderPort
{
public:
  virtual ~OrderPort() = default;

  // Reads which versions of a model a target has loaded, and whether it is
  // reachable and loading.
  virtual TargetVersions ReadVersions(const TargetAddress& aTarget,
                                      const std::string& aModel,
                                      Duration aTimeout) = 0;

  // Orders a target to load exactly these versions of a model. aFence is the
  // fencing token of the caller's lease.
  virtual OrderOutcome SendOrder(const TargetAddress& aTarget,
                                 const std::string& aModel,
                                 const std::set<std::string>& aVersions,
                                 unsigned aFence,
                                 Duration aTimeout) = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_PORTS_ORDERPORT_H_INCLUDED
