#ifndef QUETZALQUAY_CORE_TARGETCHOOSER_H_INCLUDED
#define QUETZALQUAY_CORE_TARGETCHOOSER_H_INCLUDED

#include "core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzalquay {

// Outcome of a search for a target.
enum class ChoiceStatus
{
  Chosen,
  // No target is up that this request may use.
  NoneReady,
  // Targets are up but full, or others wait for them first.
  Busy,
  // The request is suspected of crashing the targets that run it.
  Poison,
  // The service's budget for repeats is spent.
  NoBudget,
};

// What the chooser has to know about the request.
struct ChoiceQuery
{
  std::string mService;
  // Targets that this request may not use again.
  std::vector<std::string> mExcluded;
  // Hash of the prompt's leading block, for the prefix cache.
  std::uint64_t mPrefixHash = 0;
  // Identifies the request's workspace and content across repeats.
  std::uint64_t mContentHash = 0;
  // Whether the work continues a stream that lost its target.
  bool mContinuation = false;
  // Whether the request has been sent to a target before.
  bool mRepeat = false;
  // Until when an answer, or a stream's next event, is on time.
  Time mOnTimeUntil = Time::max();
  // Target that holds a copy of the lost stream's memory, empty when none does.
  std::string mCopyHolder;
  // Tokens that the target has to read, and may make.
  int mPromptTokens = 0;
  int mOutputTokens = 0;
  // Whether any target will do, for comparison in measurements.
  bool mRandomTarget = false;
  std::string mRequestId;
  std::string mWorkspace;
  // Weight of the workspace among those that wait.
  int mWeight = 1;
  Time mDeadline;
};

// Target for one attempt, or the reason for which there is none.
struct Choice
{
  ChoiceStatus mStatus = ChoiceStatus::NoneReady;
  std::string mTarget;
  // Usual time between two tokens of one stream on that target.
  Duration mUsualGap = Duration::zero();
  // Version that a first start runs on; a continuation keeps its own.
  std::string mServingVersion;
  // When Busy: how long the request will wait, zero when that is not known.
  Duration mExpectedWait = Duration::zero();
};

// Picks the target of an attempt.
class TargetChooser
{
public:
  virtual ~TargetChooser() = default;

  // Picks a target; the caller reports the attempt's end separately.
  virtual Choice Choose(const ChoiceQuery& aQuery, Time aNow) = 0;

  // The request does not wait for a target any more.
  virtual void Forget(const ChoiceQuery& aQuery) = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_TARGETCHOOSER_H_INCLUDED
