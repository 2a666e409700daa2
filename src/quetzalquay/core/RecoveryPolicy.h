#ifndef QUETZALQUAY_CORE_RECOVERYPOLICY_H_INCLUDED
#define QUETZALQUAY_CORE_RECOVERYPOLICY_H_INCLUDED

#include "core/Time.h"

#include <string_view>

namespace quetzalquay {

// Trade between resume latency and extra resource use.
enum class RecoveryPreset
{
  LowLatency,
  LowCost,
  // Baselines for measurements: silence is judged by a long timeout only; any
  // target will do; a lost answer is buffered and made again from nothing.
  TimeoutOnly,
  RandomTarget,
  RestartInFull,
};

// Name of a preset in settings and measurements.
std::string_view
NameOf(RecoveryPreset aPreset);

// When a stream counts as silent or lost, and what is tried then.
struct RecoveryPolicy
{
  // Silence is never suspected before this much time without a token.
  Duration mSilenceFloor;
  // Silence is suspected after this many times the target's usual gap.
  double mSilenceGaps;
  // Time without a first token after which the target is probed.
  Duration mFirstTokenSilence;
  // Time without a first token after which a live target is given up.
  Duration mFirstTokenLimit;
  // Longest time between two probes of a silent target.
  Duration mProbePause;
  // Time in which a probed target has to answer.
  Duration mProbeTimeout;
  // Whether a reset connection is probed before the stream moves elsewhere.
  bool mProbeOnReset;
  // Silence on a live target after which the connection is renewed.
  Duration mReattachAfter;
  // Whether a lost stream goes on with any target, however loaded.
  bool mRandomTarget;
  // Whether the answer is kept back until its end and made again after a loss.
  bool mRestartInFull;
  // Pause before another look for a target when none was ready.
  Duration mRetryPause;
  // Time after a loss in which the stream must go on, else it fails.
  Duration mRecoveryLimit;

  // Policy of a preset.
  static const RecoveryPolicy& Of(RecoveryPreset aPreset);

  // Silence after which a target with the given usual gap is probed.
  Duration SilenceLimit(Duration aUsualGap) const;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_RECOVERYPOLICY_H_INCLUDED
