#include "core/PassedOnCall.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Retry-After of a request that no other host could serve.
constexpr Duration kRetryAfter = std::chrono::milliseconds(1000);

const char*
MessageOf(FailureCode aCode)
{
  switch (aCode) {
    case FailureCode::DeadlineExceeded:
      return "the host that serves the request did not answer before the "
             "deadline";
    case FailureCode::Stopping:
      return "the host is shutting down";
    case FailureCode::NoTarget:
      return "this host is cut off from the service's targets, and no other "
             "host could serve the request";
    default:
      return "the host that served the request was lost";
  }
}

} // namespace

void
PassedOnCall::OnTry(const std::string& aHost)
{
  ++mHosts;
  mStatedRuns = 0;
  mTried.push_back(aHost);
}

void
PassedOnCall::OnProgress()
{
  if (mTried.size() > 1) {
    mTried.erase(mTried.begin(), mTried.end() - 1);
  }
}

// Attempts that may have run if the host that has the request has run it.
int
PassedOnCall::RunsWithHost() const
{
  return std::max(mOptions.mRuns + 1, mStatedRuns);
}

bool
PassedOnCall::CanLeaveHost() const
{
  const bool left =
    mOptions.mMaxRuns == 0 || RunsWithHost() < mOptions.mMaxRuns;
  return mOptions.mRepeatable && left;
}

bool
PassedOnCall::CanTryAnother(Time aNow) const
{
  return CanLeaveHost() && HasHostsLeft(aNow);
}

bool
PassedOnCall::CanRun(Time aNow) const
{
  const bool left =
    mOptions.mMaxRuns == 0 || mOptions.mRuns < mOptions.mMaxRuns;
  const bool allowed = !mOptions.mMayHaveRun || mOptions.mRepeatable;
  return allowed && left && aNow < mOptions.mDeadline;
}

bool
PassedOnCall::HasHostsLeft(Time aNow) const
{
  return static_cast<int>(mTried.size()) < kMaxHosts &&
         aNow < mOptions.mDeadline;
}

bool
PassedOnCall::OnEnd(PassedOnEnd aEnd, Time aNow, int aRuns)
{
  const bool started = aEnd == PassedOnEnd::Failed || aEnd == PassedOnEnd::Lost;
  if (started) {
    mOptions.mRuns = std::max(RunsWithHost(), aRuns);
    mOptions.mMayHaveRun = true;
  }
  return CanRun(aNow) && HasHostsLeft(aNow);
}

RunVerdict
PassedOnCall::Verdict(bool aIsSent) const
{
  return aIsSent || mOptions.mMayHaveRun ? RunVerdict::OutcomeUnknown
                                         : RunVerdict::NotRun;
}

Failure
PassedOnCall::MakeFailure(FailureCode aCode, bool aIsSent) const
{
  Failure failure;
  failure.mCode = aCode;
  failure.mVerdict = Verdict(aIsSent);
  failure.mMessage = MessageOf(aCode);
  if (failure.mVerdict == RunVerdict::NotRun) {
    failure.mRetryAfter = kRetryAfter;
  }
  return failure;
}

} // namespace quetzalquay
