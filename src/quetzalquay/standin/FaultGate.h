#ifndef QUETZALQUAY_STANDIN_FAULTGATE_H_INCLUDED
#define QUETZALQUAY_STANDIN_FAULTGATE_H_INCLUDED

#include "core/Time.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace quetzalquay {

// Faults active in a stand-in. Thread-safe.
class FaultGate
{
public:
  // Blocks all work until aUntil.
  void Pause(Time aUntil);

  // Blocks the requests of a peer, and their responses, until aUntil.
  void Partition(const std::string& aPeer, Time aUntil);

  // Makes work take aFactor times as long until aUntil.
  void Slow(double aFactor, Time aUntil);

  // Simulates the death of the process until Restart is called.
  void Kill();
  void Restart();

  bool IsKilled() const;

  // Factor by which work is slowed down at present; 1 if it is not.
  double SlowdownFactor() const;

  // Waits during a pause or a partition from this peer. Returns false if the
  // process is killed.
  bool WaitWhileBlocked(const std::string& aPeer);

private:
  bool IsBlocked(const std::string& aPeer, Time aNow) const;

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  Time mPausedUntil;
  std::map<std::string, Time> mPartitionedUntil;
  double mFactor = 1.0;
  Time mSlowUntil;
  bool mKilled = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_STANDIN_FAULTGATE_H_INCLUDED
