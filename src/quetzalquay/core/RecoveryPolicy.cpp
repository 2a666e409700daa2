#include "core/RecoveryPolicy.h"

#include "core/NameTable.h"

#include <algorithm>
#include <array>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

constexpr NameTable<RecoveryPreset, 5> kPresetNames({ "LOW_LATENCY",
                                                      "LOW_COST",
                                                      "TIMEOUT_ONLY",
                                                      "RANDOM_TARGET",
                                                      "RESTART_IN_FULL" });

// Time without a token after which the timeout-only baseline abandons a
// target.
constexpr Duration kBaselineTimeout = milliseconds(5000);

constexpr RecoveryPolicy
LowLatency()
{
  RecoveryPolicy policy{};
  policy.mMinSilenceTimeout = milliseconds(250);
  policy.mSilenceGapFactor = 8.0;
  policy.mFirstTokenProbeAfter = milliseconds(600);
  policy.mFirstTokenTimeout = milliseconds(10000);
  policy.mMaxProbeInterval = milliseconds(60000);
  policy.mProbeTimeout = milliseconds(250);
  policy.mProbeOnReset = false;
  policy.mCanReattach = true;
  policy.mReattachAfter = milliseconds(1500);
  policy.mRetryDelay = milliseconds(20);
  policy.mRecoveryTimeout = milliseconds(10000);
  return policy;
}

constexpr RecoveryPolicy
LowCost()
{
  RecoveryPolicy policy = LowLatency();
  policy.mMinSilenceTimeout = milliseconds(1000);
  policy.mSilenceGapFactor = 20.0;
  policy.mFirstTokenProbeAfter = milliseconds(1500);
  policy.mProbeTimeout = milliseconds(1000);
  policy.mProbeOnReset = true;
  policy.mReattachAfter = milliseconds(3000);
  policy.mRetryDelay = milliseconds(50);
  return policy;
}

constexpr RecoveryPolicy
TimeoutOnly()
{
  RecoveryPolicy policy = LowLatency();
  policy.mMinSilenceTimeout = kBaselineTimeout;
  policy.mFirstTokenProbeAfter = kBaselineTimeout;
  policy.mProbeTimeout = milliseconds(0);
  return policy;
}

constexpr RecoveryPolicy
RandomTarget()
{
  RecoveryPolicy policy = LowLatency();
  policy.mRandomTarget = true;
  return policy;
}

constexpr RecoveryPolicy
RestartInFull()
{
  RecoveryPolicy policy = LowLatency();
  policy.mRestartInFull = true;
  return policy;
}

constexpr std::array<RecoveryPolicy, 5> kPolicies = { LowLatency(),
                                                      LowCost(),
                                                      TimeoutOnly(),
                                                      RandomTarget(),
                                                      RestartInFull() };

} // namespace

std::string_view
NameOf(RecoveryPreset aPreset)
{
  return kPresetNames.NameOf(aPreset);
}

const RecoveryPolicy&
RecoveryPolicy::Of(RecoveryPreset aPreset)
{
  return kPolicies[static_cast<std::size_t>(aPreset)];
}

Duration
RecoveryPolicy::SilenceTimeout(Duration aUsualGap) const
{
  const auto scaled =
    std::chrono::duration_cast<Duration>(aUsualGap * mSilenceGapFactor);
  return std::max(mMinSilenceTimeout, scaled);
}

} // namespace quetzalquay
