#ifndef QUETZALQUAY_STANDIN_FAULTGATE_H_INCLUDED
#define QUETZALQUAY_STANDIN_FAULTGATE_H_INCLUDED

#include "core/Time.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace quetzalquay {

// Faults that are in force in a stand-in. Safe for concurrent use.
class FaultGate
{
public:
  // Everything stands still until aUntil.
  void Pause(Time aUntil);

  // Nothing passes between this process and a peer until aUntil.
  void Cut(const std::string& aPeer, Time aUntil);

  // Work takes aFactor times as long until aUntil.
  void Slow(double aFactor, Time aUntil);

  // The process plays dead until Revive.
  void Kill();
  void Revive();

  // Whether the process plays dead.
  bool IsDead() const;

  // Factor by which work is slower now.
  double Factor() const;

  // Waits while a pause, or a cut from this peer, is in force. Returns false
  // when the process plays dead.
  bool Pass(const std::string& aPeer);

private:
  bool IsHeld(const std::string& aPeer, Time aNow) const;

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  Time mPausedUntil;
  std::map<std::string, Time> mCutUntil;
  double mFactor = 1.0;
  Time mSlowUntil;
  bool mDead = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_STANDIN_FAULTGATE_H_INCLUDED
