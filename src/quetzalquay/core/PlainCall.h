#ifndef QUETZALQUAY_CORE_PLAINCALL_H_INCLUDED
#define QUETZALQUAY_CORE_PLAINCALL_H_INCLUDED

#include "core/Failure.h"
#include "core/TargetChooser.h"
#include "core/Time.h"

#include <string>
#include <variant>

namespace quetzalquay {

// How one try of a plain call ended.
enum class PlainResult
{
  // The target answered; the answer is the caller's, whatever its status.
  Answered,
  // The call has certainly not reached the target, or the target says that it
  // has not started it.
  NotStarted,
  // The target answered with a failure that another one may not have.
  Failed,
  // The connection broke after a byte of the call may have reached the target.
  Broken,
};

// Send the call to a target.
struct TryTarget
{
  int mAttempt = 0;
  std::string mTarget;
};

// Pass the target's answer to the caller.
struct PassAnswer
{};

// Answer the caller with a failure.
struct FailCall
{
  Failure mFailure;
};

using PlainStep = std::variant<TryTarget, PassAnswer, FailCall>;

// Decides where a call of a plain service goes. A call that may not be repeated
// is given up as soon as a target may have started it. Pure logic.
class PlainCall
{
public:
  // aChooser must outlive this object.
  PlainCall(ChoiceQuery aQuery,
            bool aIdempotent,
            Time aDeadline,
            TargetChooser& aChooser,
            int aMaxRuns = kMaxRuns);

  // Targets that a call may run on when its route does not tell.
  static constexpr int kMaxRuns = 3;

  // First step.
  PlainStep Start(Time aNow);

  // Next step after a try has ended.
  PlainStep OnResult(PlainResult aResult, Time aNow);

private:
  PlainStep Try(Time aNow);
  PlainStep Fail(FailureCode aCode, const char* aMessage);

  ChoiceQuery mQuery;
  bool mIdempotent;
  Time mDeadline;
  TargetChooser& mChooser;
  int mMaxRuns;
  int mAttempt = 0;
  // Tries that a target may have run.
  int mRuns = 0;
  bool mMayHaveStarted = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_PLAINCALL_H_INCLUDED
