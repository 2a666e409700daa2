#ifndef QUETZALQUAY_WIRE_ORDERHTTP_H_INCLUDED
#define QUETZALQUAY_WIRE_ORDERHTTP_H_INCLUDED

#include "ports/OrderPort.h"

namespace quetzalquay {

// Implements OrderPort over HTTP.
class OrderHttp : public OrderPort
{
public:
  TargetVersions ReadVersions(const TargetAddress& aTarget,
                              const std::string& aModel,
                              Duration aTimeout) override;
  OrderOutcome SendOrder(const TargetAddress& aTarget,
                         const std::string& aModel,
                         const std::set<std::string>& aVersions,
                         unsigned aFence,
                         Duration aTimeout) override;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_ORDERHTTP_H_INCLUDED
