#ifndef QUETZALQUAY_CORE_TARGETCHOOSER_H_INCLUDED
#define QUETZALQUAY_CORE_TARGETCHOOSER_H_INCLUDED

#include "core/RequestContent.h"
#include "core/Time.h"
#include "core/rollout/VersionChoice.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace quetzalquay {

// Outcome of choosing a target for an attempt.
enum class ChoiceStatus
{
  Chosen,
  // No target that this request may use is up.
  NoneReady,
  // Targets are up, but they are full or other requests are queued ahead.
  Busy,
  // The request is refused because targets keep dying while running it.
  Poison,
  // The service's retry budget is exhausted.
  NoBudget,
  // The request may have ended so many targets that it must not run until that
  // is decided, within a second.
  Undecided,
  // All targets that the request may use want nothing from this host now.
  AskedToWait,
  // No target of the required software version is registered.
  VersionGone,
  // The targets are brittle, and room at one of them has been asked for or is
  // waited for. The request has to ask again soon.
  AwaitingRoom,
};

// What another host has done with a request before it passed the request on.
struct PriorAttempts
{
  // Attempts that may have run.
  int mRuns = 0;
  // Whether the first attempt has been counted for the retry budget, and
  // whether any attempt has been sent to a target.
  bool mCounted = false;
  bool mSent = false;
};

// Properties of a request that the choice of a target depends on.
struct ChoiceQuery
{
  std::string mService;
  // Software version that the target must have; empty for any.
  std::string mSoftwareVersion;
  // Software version to prefer if any is allowed; empty for none.
  std::string mPreferredSoftwareVersion;
  // Versions that a rollout of the service allows.
  VersionChoice mVersionChoice;
  // Whether the request may go on at another target of the software version
  // that began it.
  bool mResumable = false;
  // Names of targets that must not be chosen.
  std::vector<std::string> mExcluded;
  // Hash of the prompt's leading block, the key of the prefix cache.
  std::uint64_t mPrefixHash = 0;
  // What the request may have in common with others that crashed targets.
  RequestContent mContent;
  // Whether the attempt continues a stream whose target was lost.
  bool mContinuation = false;
  // Whether the attempt is a retry, that is, the request has been sent to a
  // target before.
  bool mIsRetry = false;
  // Whether another attempt of the request may still run, at a silent target.
  bool mIsBeside = false;
  // Whether another host has counted the request's first attempt, which it
  // could not send.
  bool mIsCounted = false;
  // Time by which the response, or the stream's next event, is due. A retry
  // after that takes from the smaller, late part of the retry budget.
  Time mDueAt = Time::max();
  // Target that holds a copy of the lost stream's KV cache; empty when none
  // does.
  std::string mCopyHolder;
  // Prompt tokens to process, and the most output tokens to generate.
  int mPromptTokens = 0;
  int mOutputTokens = 0;
  // Picks at random among the usable targets; a baseline for measurements.
  bool mRandomTarget = false;
  std::string mRequestId;
  std::string mWorkspace;
  // Weight of the workspace in the fair queue.
  int mWeight = 1;
  // Ranks of the workspace and of the route where not all requests can be
  // served; 0 is the most urgent. The workspace's goes first.
  std::pair<int, int> mPriority;
  Time mDeadline;
};

// The target chosen for one attempt, or the reason why there is none.
struct Choice
{
  ChoiceStatus mStatus = ChoiceStatus::NoneReady;
  std::string mTarget;
  // Moving average of the time between two tokens of a stream on that target.
  Duration mTypicalTokenGap = Duration::zero();
  // Software version of the target.
  std::string mSoftwareVersion;
  // Model version for a stream's first attempt; a continuation keeps the
  // version it started with.
  std::string mServingVersion;
  // If Busy or AwaitingRoom: estimated wait in the queue; zero if there is no
  // estimate. If AskedToWait: when the caller should come back.
  Duration mExpectedWait = Duration::zero();
  // If Busy: whether limits that targets have named are the reason.
  bool mLimited = false;
  // If Busy: whether the estimate tells when a target has room, so that a call
  // may wait for it.
  bool mRoomExpected = false;
};

// Chooses the target of each attempt.
class TargetChooser
{
public:
  virtual ~TargetChooser() = default;

  // Chooses a target, or queues the request if none has capacity. The caller
  // reports the start and end of the attempt separately.
  virtual Choice Choose(const ChoiceQuery& aQuery, Time aNow) = 0;

  // Removes a request from the queue; does nothing if it is not queued.
  virtual void CancelWait(const ChoiceQuery& aQuery) = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_TARGETCHOOSER_H_INCLUDED
