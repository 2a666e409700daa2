#ifndef QUETZALQUAY_GATEWAY_STREAMCOPY_H_INCLUDED
#define QUETZALQUAY_GATEWAY_STREAMCOPY_H_INCLUDED

#include "core/CopyKeeper.h"
#include "gateway/Exchange.h"
#include "gateway/TargetCall.h"

#include <optional>
#include <string>

namespace quetzalquay {

// Keeps one stream's memory at a second target. CopyKeeper decides; this class
// sends its orders.
class StreamCopy
{
public:
  StreamCopy(GatewayParts& aParts, const CallerCall& aCall);
  ~StreamCopy();

  // A run starts at a target. Returns the address that it has to send its own
  // copy to, empty for none.
  std::string StartRun(const std::string& aTarget, Time aNow);

  // The run has delivered an event.
  void OnEvent(Time aNow);

  // The run is lost or over.
  void EndRun();

  // Target that holds a copy, empty when none does.
  std::string Holder(Time aNow) const;

  // Name of the copy at a target, for the one request that may use it; nothing
  // when the target holds none.
  std::optional<platform::CopyName> Use(const std::string& aTarget, Time aNow);

  // The stream is over.
  void Clear();

private:
  void Order(const std::string& aHolder, Time aNow);
  void OnOrderEnded(const std::string& aHolder,
                    const TargetCall::Outcome& aOutcome);

  GatewayParts& mParts;
  std::string mService;
  std::string mRequestId;
  bool mRunsCopy = false;
  CopyKeeper mKeeper;
  std::string mRunner;
  std::string mRunnerAddress;
  RefPtr<TargetCall> mOrder;
  Time mLookAt;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_STREAMCOPY_H_INCLUDED
