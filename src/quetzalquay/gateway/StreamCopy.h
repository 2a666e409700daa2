#ifndef QUETZALQUAY_GATEWAY_STREAMCOPY_H_INCLUDED
#define QUETZALQUAY_GATEWAY_STREAMCOPY_H_INCLUDED

#include "core/CopyKeeper.h"
#include "gateway/Exchange.h"
#include "gateway/TargetCall.h"

#include <optional>
#include <string>

namespace quetzalquay {

// Keeps a copy of one stream's KV cache at a second target, from which the
// stream can resume without computing its prompt again. CopyKeeper decides when
// a copy is needed; this class sends the orders to the targets.
class StreamCopy
{
public:
  StreamCopy(GatewayContext& aContext, const RoutedCall& aCall);
  ~StreamCopy();

  // Registers the start of a run at a target. Returns the address to which the
  // run sends its own copy, empty for none.
  std::string StartRun(const std::string& aTarget, Time aNow);

  // The run has delivered an event. Orders a copy when one is needed.
  void OnEvent(Time aNow);

  // The run has ended or was lost. Cancels a copy order in progress.
  void EndRun();

  // Returns the target that holds a copy, empty when none does.
  std::string FindHolder(Time aNow) const;

  // Returns the name of the copy at a target and marks the copy as used, since
  // a copy serves only one request. Returns nothing when the target holds none.
  std::optional<platform::KvCopyReference> ConsumeCopy(
    const std::string& aTarget,
    Time aNow);

  // The stream has ended. Ends the run and releases the ordered copies.
  void ReleaseCopies();

private:
  // Orders a copy from the run's target to aHolder.
  void OrderCopy(const std::string& aHolder, Time aNow);
  void OnCopyOrderEnded(const std::string& aHolder,
                        const TargetCall::Outcome& aOutcome);

  GatewayContext& mContext;
  std::string mService;
  std::string mRequestId;
  // Whether runs of this service send a copy of their KV cache on their own.
  bool mRunsSendCopies = false;
  CopyKeeper mCopyKeeper;
  // Target of the current run.
  std::string mRunTarget;
  std::string mRunTargetAddress;
  // Copy order in progress, if any.
  RefPtr<TargetCall> mCopyOrder;
  Time mNextCheckAt;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_STREAMCOPY_H_INCLUDED
