#ifndef QUETZALQUAY_CORE_COPYKEEPER_H_INCLUDED
#define QUETZALQUAY_CORE_COPYKEEPER_H_INCLUDED

#include "core/TargetTable.h"
#include "core/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// A copy of a run's KV cache at another target, and how a request refers to it.
// A run is one execution of a request at one target.
struct KvCopy
{
  // Target that holds the copy, and the incarnation that received it.
  std::string mHolder;
  std::string mIncarnation;
  // Address of the target that made the copy, and the handle which that target
  // assigned. Both are empty for a copy that the run sends itself rather than
  // on order.
  std::string mSourceAddress;
  std::string mHandle;
  // When the holder discards an ordered copy; Time::max() for a run's own copy.
  Time mExpiresAt = Time::max();
};

// Tracks the copies of one stream's KV cache and decides when another one has
// to be ordered. A run sends its own copy to a single target, which may fail
// before the run ends. Reports the copies to the TargetTable, which counts the
// memory that they occupy. Performs no I/O; not thread-safe.
class CopyKeeper
{
public:
  // Properties of the stream and of its service. A copy occupies the memory of
  // the prompt and output tokens at its holder.
  struct Options
  {
    std::string mService;
    int mPromptTokens = 0;
    int mOutputTokens = 0;
    // Time for which a holder keeps an ordered copy.
    Duration mLifetime = Duration::zero();
    // Whether the service's targets support making copies on order.
    bool mOrdersSupported = false;
  };

  CopyKeeper(Options aOptions, TargetTable& aTargets);
  ~CopyKeeper();
  CopyKeeper(const CopyKeeper&) = delete;
  CopyKeeper& operator=(const CopyKeeper&) = delete;

  // Sets whether other targets may have come to the addresses of known ones. No
  // copy is sent to them then.
  void SetTargetsOutdated(bool aOutdated) { mTargetsOutdated = aOutdated; }

  // Chooses the target that receives the copy which a run at aServingTarget
  // sends itself. Empty when no target of its software version has enough free
  // memory.
  std::string ChooseHolder(const std::string& aServingTarget, Time aNow) const;

  // A run has started at aServingTarget and sends its own copy to aHolder, or
  // to no target when aHolder is empty. Copies of the previous run stay usable
  // until this run delivers an event.
  void OnRunStarted(const std::string& aServingTarget,
                    const std::string& aHolder);

  // The run has delivered an event. From then on its own copy exists, and
  // copies of previous runs are dropped.
  void OnEventDelivered();

  // The run has ended or was lost.
  void OnRunEnded();

  // Target to which a copy has to be ordered now. Empty when there is a healthy
  // copy that does not expire soon, or when no order can be made at present.
  // The caller has to report the result of the order with OnOrderCompleted() or
  // OnOrderFailed().
  std::optional<std::string> TakeNextOrder(Time aNow);

  // An order has succeeded. aSource is the address of the target that made the
  // copy, aHandle the handle it assigned. A previously ordered copy at the same
  // holder is renewed.
  void OnOrderCompleted(const std::string& aHolder,
                        const std::string& aSource,
                        const std::string& aHandle,
                        Time aNow);

  // An order has failed. The next one is held back for a short delay.
  void OnOrderFailed(Time aNow);

  // Copy for a resumed run to use, preferably at a healthy target. Empty when
  // there is none.
  std::optional<KvCopy> FindCopy(Time aNow) const;

  // The copy at a target has been used. A copy can be used only once.
  void OnCopyUsed(const std::string& aHolder);

  // The stream has ended. Stops tracking all copies and returns the ordered
  // ones, so that the targets that made them can be told to release them.
  std::vector<KvCopy> Clear();

private:
  struct TrackedCopy
  {
    KvCopy mCopy;
    // Whether the copy belongs to the current run.
    bool mOfCurrentRun = false;
    // Whether the copy exists. A run's own copy does once the run has delivered
    // an event.
    bool mReady = false;
  };

  bool IsUnchanged(const TrackedCopy& aTracked) const;
  bool IsHealthy(const TrackedCopy& aTracked, Time aNow) const;
  void AddCopy(TrackedCopy aTracked);
  void DropCopy(std::size_t aIndex);

  Options mOptions;
  TargetTable& mTargets;
  std::vector<TrackedCopy> mCopies;
  // Target of the current run, empty when there is none.
  std::string mServingTarget;
  // Software version of the last run's target. Copies of another version do not
  // fit the stream.
  std::string mSoftwareVersion;
  // Whether the current run has delivered an event.
  bool mDelivered = false;
  bool mTargetsOutdated = false;
  bool mOrderPending = false;
  Time mNextOrderAt;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_COPYKEEPER_H_INCLUDED
