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

  // Target to which a run sends its own copy; both empty for none.
  struct Holder
  {
    std::string mName;
    std::string mAddress;
  };

  // Chooses where a run at a target would send its own copy.
  Holder ChooseHolder(const std::string& aTarget, Time aNow);

  // Registers the start of a run at a target that sends its own copy to
  // aHolder.
  void StartRun(const std::string& aTarget, const Holder& aHolder);

  // The run has delivered an event. Orders a copy when one is needed.
  void OnEvent(Time aNow);

  // The run has ended or was lost. Cancels a copy order in progress.
  void EndRun();

  // Returns the target that holds a copy, empty when none does.
  std::string FindHolder(Time aNow) const;

  // Returns the name of the copy at a target, or nothing when it holds none.
  std::optional<platform::KvCopyReference> FindCopyAt(
    const std::string& aTarget,
    Time aNow) const;

  // Marks the copy at a target as used, since a copy serves only one request.
  void MarkUsed(const std::string& aTarget) { mCopyKeeper.OnCopyUsed(aTarget); }

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
