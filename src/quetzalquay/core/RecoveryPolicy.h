#ifndef QUETZALQUAY_CORE_RECOVERYPOLICY_H_INCLUDED
#define QUETZALQUAY_CORE_RECOVERYPOLICY_H_INCLUDED

#include "core/Time.h"

#include <string_view>

namespace quetzalquay {

// Time after which a target that has been asked beside a silent one is probed
// if it has sent nothing, and the longest time for which a request may be at
// both.
constexpr Duration kAcceptanceProbeDelay = std::chrono::milliseconds(160);
constexpr Duration kMaxOverlap = std::chrono::milliseconds(280);

// Trade-off between resume latency and resource use.
enum class RecoveryPreset
{
  LowLatency,
  LowCost,
  // Baselines for benchmarks: silence is detected only by a long timeout; a
  // continuation goes to a random target; a response is buffered and, after a
  // loss, regenerated from the beginning.
  TimeoutOnly,
  RandomTarget,
  RestartInFull,
};

// Returns the name of a preset in settings and benchmark results.
std::string_view
NameOf(RecoveryPreset aPreset);

// When a stream is considered silent or lost, and how it is recovered.
struct RecoveryPolicy
{
  // Minimum time without a token before a target is probed.
  Duration mMinSilenceTimeout;
  // Multiple of the target's usual gap between tokens after which it is probed.
  double mSilenceGapFactor;
  // Minimum time without a first token before the target is probed.
  Duration mFirstTokenProbeAfter;
  // Time without a first token after which the router reattaches to a live
  // target if the stream is known. If it is not known, an idempotent request is
  // moved to another target.
  Duration mFirstTokenTimeout;
  // Maximum interval between probes of a silent target.
  Duration mMaxProbeInterval;
  // Time within which a probed target has to respond.
  Duration mProbeTimeout;
  // Whether a target that reset the connection is probed before failing over.
  bool mProbeOnReset;
  // Whether a new connection can read a stream that is already running.
  bool mCanReattach;
  // Time without a token after which the router reattaches to a live target,
  // or moves the stream if it cannot reattach.
  Duration mReattachAfter;
  // Whether a lost stream continues on any target, regardless of its load.
  bool mRandomTarget;
  // Whether the response is buffered until it is complete and regenerated from
  // the beginning after a loss.
  bool mRestartInFull;
  // Delay before choosing a target again after none was available.
  Duration mRetryDelay;
  // Time after a loss within which the stream must resume, or the request
  // fails.
  Duration mRecoveryTimeout;

  // Returns the policy of a preset.
  static const RecoveryPolicy& Of(RecoveryPreset aPreset);

  // Returns the time without a token after which a target with the given usual
  // gap between tokens is probed.
  Duration SilenceTimeout(Duration aUsualGap) const;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_RECOVERYPOLICY_H_INCLUDED
