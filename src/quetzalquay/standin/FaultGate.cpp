#include "standin/FaultGate.h"

namespace quetzalquay {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(5);

Time
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

void
FaultGate::Pause(Time aUntil)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mPausedUntil = aUntil;
}

void
FaultGate::Partition(const std::string& aPeer, Time aUntil)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mPartitionedUntil[aPeer] = aUntil;
}

void
FaultGate::Slow(double aFactor, Time aUntil)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mFactor = aFactor;
  mSlowUntil = aUntil;
}

void
FaultGate::Kill()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mKilled = true;
  mChanged.notify_all();
}

void
FaultGate::Restart()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mKilled = false;
}

bool
FaultGate::IsKilled() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mKilled;
}

double
FaultGate::SlowdownFactor() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return Now() < mSlowUntil ? mFactor : 1.0;
}

bool
FaultGate::WaitWhileBlocked(const std::string& aPeer)
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mKilled && IsBlocked(aPeer, Now())) {
    mChanged.wait_for(lock, kCheckInterval);
  }
  return !mKilled;
}

bool
FaultGate::IsBlocked(const std::string& aPeer, Time aNow) const
{
  if (aNow < mPausedUntil) {
    return true;
  }
  const auto it = mPartitionedUntil.find(aPeer);
  return it != mPartitionedUntil.end() && aNow < it->second;
}

} // namespace quetzalquay
