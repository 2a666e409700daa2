#ifndef QUETZALQUAY_CORE_COPYKEEPER_H_INCLUDED
#define QUETZALQUAY_CORE_COPYKEEPER_H_INCLUDED

#include "core/TargetTable.h"
#include "core/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Where a copy of a run's memory is, and how a request names it there.
struct RunCopy
{
  // Target that holds it, and the start of that target.
  std::string mHolder;
  std::string mIncarnation;
  // Address of the target that made an ordered copy, and its handle there.
  // Empty for a copy that the run itself sends.
  std::string mSource;
  std::string mHandle;
  // When the holder drops an ordered copy.
  Time mUntil = Time::max();
};

// Knows the copies of one stream's memory, and when another has to be ordered:
// the run sends its own copy to one target for as long as it lasts, and that
// target may die first. Pure logic; counts the copies in the table of targets.
class CopyKeeper
{
public:
  // What an ordered copy takes of its holder, and how long it is kept there.
  struct Options
  {
    std::string mService;
    int mPromptTokens = 0;
    int mOutputTokens = 0;
    Duration mLifetime = Duration::zero();
    // Whether targets make copies on order.
    bool mOrders = false;
  };

  CopyKeeper(Options aOptions, TargetTable& aTargets);
  ~CopyKeeper();
  CopyKeeper(const CopyKeeper&) = delete;
  CopyKeeper& operator=(const CopyKeeper&) = delete;

  // Target for the own copy of a run at a target; empty when none has room.
  std::string ChooseHolder(const std::string& aRunner, Time aNow) const;

  // A run starts at a target, with another one to send its own copy to, which
  // is empty when none has room. Copies of the run before stay usable until
  // this one delivers an event.
  void OnRunStarted(const std::string& aRunner, const std::string& aHolder);

  // The run has delivered an event: its own copy exists.
  void OnDelivered();

  // The run is over or lost.
  void OnRunEnded();

  // Target at which a copy has to be ordered now; nothing when there is a sound
  // one, or no order can help. The answer must be told.
  std::optional<std::string> NextOrder(Time aNow);

  // Answer to an order: the copy's handle at the target that made it.
  void OnOrdered(const std::string& aHolder,
                 const std::string& aSource,
                 const std::string& aHandle,
                 Time aNow);
  void OnOrderFailed(Time aNow);

  // The copy that a resumed run would use, preferably at a target that is not
  // in doubt; nothing when there is none.
  std::optional<RunCopy> Find(Time aNow) const;

  // The copy at a target has been used. A copy serves once.
  void OnUsed(const std::string& aHolder);

  // The stream is over: forgets all copies. Returns the ordered ones, which
  // their makers can drop.
  std::vector<RunCopy> Clear();

private:
  struct Kept
  {
    RunCopy mCopy;
    // The copy is of the present run, and the run has delivered an event.
    bool mPresent = false;
    bool mReady = false;
  };

  bool IsSound(const Kept& aKept, Time aNow) const;
  void Add(Kept aKept);
  void Drop(std::size_t aAt);

  Options mOptions;
  TargetTable& mTargets;
  std::vector<Kept> mKept;
  std::string mRunner;
  bool mDelivered = false;
  bool mOrdering = false;
  Time mOrderAfter;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_COPYKEEPER_H_INCLUDED
