#include "core/speed/TargetSpeeds.h"

#include <algorithm>
#include <cmath>

namespace quetzalquay {

namespace {

// Time in which the weight of a figure falls to a third: neighbours of a target
// change about as often.
constexpr Duration kFigureTime = std::chrono::milliseconds(600);

// Weight of a new sample in the averages of a target and of a service. Prompts
// that are read beside a stream stretch its gaps for up to a second, some
// thirty events, which says nothing about the target's speed.
constexpr double kTargetWeight = 1.0 / 128;
constexpr double kServiceWeight = 1.0 / 256;

// Weight of what another host tells, which may have seen a single stream.
constexpr double kToldWeight = 0.25;

// Largest gap relative to the usual one that counts: longer ones are pauses,
// not a pace.
constexpr double kMaxSample = 4;

double
Bounded(double aFactor)
{
  return std::clamp(
    aFactor, TargetSpeeds::kMinFactor, TargetSpeeds::kMaxFactor);
}

} // namespace

void
TargetSpeeds::OnFigure(const std::string& aService,
                       const std::string& aTarget,
                       double aFactor,
                       Time aNow)
{
  mServices.insert(aService);
  Speed& speed = mSpeeds[aTarget];
  speed.mFigure = Bounded(aFactor);
  speed.mFigureAt = aNow;
}

void
TargetSpeeds::OnGap(const std::string& aService,
                    const std::string& aTarget,
                    Duration aGap)
{
  // Hosts of builds up to 024c004 cannot read entries with a pace.
  if (mServices.count(aService) == 0) {
    return;
  }
  const auto gap = static_cast<double>(aGap.count());
  double& usual = mGaps.emplace(aService, gap).first->second;
  if (usual <= 0) {
    usual = gap;
    return;
  }
  const double sample = std::min(gap / usual, kMaxSample);
  usual += (sample * usual - usual) * kServiceWeight;
  Speed& speed = mSpeeds[aTarget];
  speed.mPace = speed.mPace == 0
                  ? sample
                  : speed.mPace + (sample - speed.mPace) * kTargetWeight;
}

void
TargetSpeeds::OnTold(const std::string& aTarget, double aFactor)
{
  double& told = mSpeeds[aTarget].mTold;
  const double factor = Bounded(aFactor);
  told = told == 0 ? factor : told + (factor - told) * kToldWeight;
}

void
TargetSpeeds::Forget(const std::string& aTarget)
{
  mSpeeds.erase(aTarget);
}

double
TargetSpeeds::FactorAt(const std::string& aService,
                       const std::string& aTarget,
                       Time aNow) const
{
  const auto it = mSpeeds.find(aTarget);
  if (it == mSpeeds.end() || mServices.count(aService) == 0) {
    return 1;
  }
  const Speed& speed = it->second;
  const double pace = speed.mPace > 0   ? speed.mPace
                      : speed.mTold > 0 ? speed.mTold
                                        : 1;
  double figure = 1;
  if (speed.mFigureAt != Time()) {
    const double age =
      ToMilliseconds(aNow - speed.mFigureAt) / ToMilliseconds(kFigureTime);
    figure = 1 + (speed.mFigure - 1) * std::exp(-std::max(0.0, age));
  }
  return Bounded(pace * figure);
}

double
TargetSpeeds::MeasuredPace(const std::string& aTarget) const
{
  const auto it = mSpeeds.find(aTarget);
  return it == mSpeeds.end() || it->second.mPace == 0
           ? 0
           : Bounded(it->second.mPace);
}

} // namespace quetzalquay
