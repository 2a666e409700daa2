#include "standin/FaultGate.h"

namespace quetzalquay {

namespace {

constexpr Duration kLookPause = std::chrono::milliseconds(5);

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
FaultGate::Cut(const std::string& aPeer, Time aUntil)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mCutUntil[aPeer] = aUntil;
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
  mDead = true;
  mChanged.notify_all();
}

void
FaultGate::Revive()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mDead = false;
}

bool
FaultGate::IsDead() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mDead;
}

double
FaultGate::Factor() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return Now() < mSlowUntil ? mFactor : 1.0;
}

bool
FaultGate::Pass(const std::string& aPeer)
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mDead && IsHeld(aPeer, Now())) {
    mChanged.wait_for(lock, kLookPause);
  }
  return !mDead;
}

bool
FaultGate::IsHeld(const std::string& aPeer, Time aNow) const
{
  if (aNow < mPausedUntil) {
    return true;
  }
  const auto it = mCutUntil.find(aPeer);
  return it != mCutUntil.end() && aNow < it->second;
}

} // namespace quetzalquay
