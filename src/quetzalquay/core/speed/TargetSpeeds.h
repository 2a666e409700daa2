#ifndef QUETZALQUAY_CORE_SPEED_TARGETSPEEDS_H_INCLUDED
#define QUETZALQUAY_CORE_SPEED_TARGETSPEEDS_H_INCLUDED

#include "core/Time.h"

#include <map>
#include <set>
#include <string>

namespace quetzalquay {

// How much longer work takes at each target than usual: by what the target says
// of this moment, which changes many times a second, and by the pace of its
// streams, as this host has measured it and others have told. The figure of a
// moment loses weight within a second; the pace lasts until it is measured
// anew. Factors are bounded, as many hosts hear of the same fast target at the
// same time. Performs no I/O; not thread-safe.
class TargetSpeeds
{
public:
  // Bounds of a factor.
  static constexpr double kMinFactor = 0.6;
  static constexpr double kMaxFactor = 2.5;

  // A target has said that work takes aFactor times as long as usual there now.
  // Speeds count for services whose targets say so.
  void OnFigure(const std::string& aService,
                const std::string& aTarget,
                double aFactor,
                Time aNow);

  // A stream at a target has made an event aGap after the one before.
  void OnGap(const std::string& aService,
             const std::string& aTarget,
             Duration aGap);

  // Another host has measured that the pace at a target is aFactor times that
  // of its service.
  void OnTold(const std::string& aTarget, double aFactor);

  // A target has ended, or has started again.
  void Forget(const std::string& aTarget);

  // Factor by which work takes longer at a target now; 1 if nothing is known,
  // or if the service's targets don't tell figures.
  double FactorAt(const std::string& aService,
                  const std::string& aTarget,
                  Time aNow) const;

  // Factor of the pace that this host has measured at a target; nothing is
  // known if it is 0.
  double MeasuredPace(const std::string& aTarget) const;

private:
  struct Speed
  {
    // Moving average of the gaps of streams relative to those of the service; 0
    // if none has been seen.
    double mPace = 0;
    // The same as another host has told it.
    double mTold = 0;
    double mFigure = 1;
    Time mFigureAt;
  };

  std::set<std::string> mServices;
  std::map<std::string, Speed> mSpeeds;
  // Moving average of the gaps of all streams of a service, in microseconds.
  std::map<std::string, double> mGaps;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_SPEED_TARGETSPEEDS_H_INCLUDED
