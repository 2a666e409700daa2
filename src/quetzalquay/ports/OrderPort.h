#ifndef QUETZALQUAY_PORTS_ORDERPORT_H_INCLUDED
#define QUETZALQUAY_PORTS_ORDERPORT_H_INCLUDED

#include "core/RolloutPlan.h"
#include "core/Time.h"
#include "ports/EnginePort.h"

#include <set>
#include <string>

namespace quetzalquay {

// How an order to an engine ended.
enum class OrderOutcome
{
  Taken,
  // The engine has seen a newer fencing number.
  Fenced,
  NoAnswer,
};

// Orders to model engines.
class OrderPort
{
public:
  virtual ~OrderPort() = default;

  // Reads what a target holds.
  virtual TargetHolding ReadHolding(const TargetAddress& aTarget,
                                    const std::string& aModel,
                                    Duration aTimeout) = 0;

  // Orders a target to hold exactly these versions of a model.
  virtual OrderOutcome Order(const TargetAddress& aTarget,
                             const std::string& aModel,
                             const std::set<std::string>& aVersions,
                             unsigned aFence,
                             Duration aTimeout) = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_PORTS_ORDERPORT_H_INCLUDED
