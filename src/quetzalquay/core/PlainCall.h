#ifndef QUETZALQUAY_CORE_PLAINCALL_H_INCLUDED
#define QUETZALQUAY_CORE_PLAINCALL_H_INCLUDED

#include "core/Failure.h"
#include "core/TargetChooser.h"
#include "core/Time.h"

#include <optional>
#include <string>
#include <variant>

namespace quetzalquay {

// Outcome of one attempt of a plain call.
enum class PlainResult
{
  // The target responded; its response goes to the caller, whatever its status.
  Answered,
  // The call did not reach the target, or the target reported that it has not
  // started it.
  NotStarted,
  // The target responded with an error that another target might not return.
  Failed,
  // The connection broke after the target may have received part of the call.
  Broken,
};

// Sends the call to a target.
struct TryTarget
{
  int mAttempt = 0;
  std::string mTarget;
};

// Waits until it is decided whether the call crashes targets, or until a
// brittle target has room for it; see PlainCall::OnVerdictDue().
struct AwaitVerdict
{
  Time mCheckAt;
};

// Forwards the target's response to the caller.
struct ForwardResponse
{};

// Responds to the caller with an error.
struct FailCall
{
  Failure mFailure;
};

using PlainStep =
  std::variant<TryTarget, AwaitVerdict, ForwardResponse, FailCall>;

// Chooses the targets for a call to a plain service and decides on retries. A
// non-idempotent call is not retried once a target may have started it.
// Performs no I/O; not thread-safe.
class PlainCall
{
public:
  // aChooser must outlive this object.
  PlainCall(ChoiceQuery aQuery,
            bool aIdempotent,
            Time aDeadline,
            TargetChooser& aChooser,
            int aMaxRuns = kDefaultMaxRuns,
            const PriorAttempts& aPrior = PriorAttempts());

  // Maximum number of runs of a call when its route does not specify one.
  static constexpr int kDefaultMaxRuns = 3;

  // Returns the first step.
  PlainStep Start(Time aNow);

  // Returns the next step after an attempt has ended.
  PlainStep OnResult(PlainResult aResult, Time aNow);

  // Returns the next step at the time that AwaitVerdict has named.
  PlainStep OnVerdictDue(Time aNow);

  // Returns an attempt beside one whose target is silent, or nothing while no
  // other target can take the call. The silent target may still respond, so its
  // attempt is abandoned only once the other target has accepted the call.
  std::optional<TryTarget> OnSilence(Time aNow);

  // One of two attempts has ended, or has been abandoned, while the other goes
  // on. An abandoned one counts as broken if the call was sent.
  void OnOtherAttemptEnded(PlainResult aResult);

  // Returns the attempts that may have run, if another host may send the call
  // to a target although the current attempt ends with the given result;
  // nothing if it must not. There is no current attempt after a FailCall, which
  // counts as NotStarted.
  std::optional<int> RunsIfPassedOn(PlainResult aResult) const;

  // Attempts that may have run.
  int Runs() const { return mRuns; }

  // Whether a target may have started the call.
  bool MayHaveStarted() const { return mMayHaveStarted; }

  // Stops to wait for a target, as the call ends or another host takes it over.
  void CancelWait() { mChooser.CancelWait(mQuery); }

private:
  PlainStep TryNextTarget(Time aNow);
  PlainStep AwaitRoom(const Choice& aChoice, Duration aInterval, Time aNow);
  bool HasAttemptsLeft(int aRuns) const;
  TryTarget StartAttempt(const Choice& aChoice);
  PlainStep Fail(FailureCode aCode, const char* aMessage);

  ChoiceQuery mQuery;
  bool mIdempotent;
  Time mDeadline;
  TargetChooser& mChooser;
  int mMaxRuns;
  PriorAttempts mPrior;
  int mAttempt = 0;
  // Attempts that a target may have run, those of other hosts included.
  int mRuns;
  bool mMayHaveStarted = false;
  // Until when the call waits for a verdict; nothing while it needs none.
  std::optional<Time> mVerdictDeadline;
  // Until when the silent targets of the attempts in progress are left alone if
  // the call has ended others.
  std::optional<Time> mHoldUntil;
  // Until when the call waits for room at brittle targets.
  std::optional<Time> mRoomDeadline;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_PLAINCALL_H_INCLUDED
