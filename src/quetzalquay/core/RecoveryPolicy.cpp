#include "core/RecoveryPolicy.h"

#include "core/NameTable.h"

#include <algorithm>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

constexpr NameTable<RecoveryPreset, 2> kPresetNames({ "LOW_LATENCY",
                                                      "LOW_COST" });

constexpr RecoveryPolicy kLowLatency = {
  milliseconds(250),
  8.0,
  milliseconds(600),
  milliseconds(250),
  false,
  milliseconds(1500),
  milliseconds(20),
  milliseconds(10000),
};

constexpr RecoveryPolicy kLowCost = {
  milliseconds(1000),
  20.0,
  milliseconds(1500),
  milliseconds(1000),
  true,
  milliseconds(3000),
  milliseconds(50),
  milliseconds(10000),
};

} // namespace

std::string_view
NameOf(RecoveryPreset aPreset)
{
  return kPresetNames.NameOf(aPreset);
}

const RecoveryPolicy&
RecoveryPolicy::Of(RecoveryPreset aPreset)
{
  return aPreset == RecoveryPreset::LowLatency ? kLowLatency : kLowCost;
}

Duration
RecoveryPolicy::SilenceLimit(Duration aUsualGap) const
{
  const auto scaled =
    std::chrono::duration_cast<Duration>(aUsualGap * mSilenceGaps);
  return std::max(mSilenceFloor, scaled);
}

} // namespace quetzalquay
