#include "core/LeaseHolder.h"

#include <utility>

namespace quetzalquay {

namespace {

// The holder leaves 1/kLeaseMarginDivisor of the lease unused, to allow for
// slow clocks and orders in transit.
constexpr int kLeaseMarginDivisor = 4;

} // namespace

LeaseHolder::LeaseHolder(std::string aCandidate,
                         Duration aLeaseTime,
                         Duration aOrderTime)
  : mCandidate(std::move(aCandidate))
  , mLeaseTime(aLeaseTime)
  , mOrderTime(aOrderTime)
{
}

std::optional<LeaseWrite>
LeaseHolder::OnRead(unsigned aVersion,
                    const std::optional<LeaseRecord>& aRecord,
                    Time aNow)
{
  if (!mObserved || aVersion != mObservedVersion) {
    mObserved = true;
    mObservedVersion = aVersion;
    mUnchangedSince = aNow;
  }
  LeaseWrite write;
  write.mIfVersion = aVersion;
  write.mRecord.mHolder = mCandidate;
  if (!aRecord) {
    write.mRecord.mEpoch = 1;
    return write;
  }
  const bool own = aRecord->mHolder == mCandidate;
  if (own && mHeld && aRecord->mEpoch == mEpoch) {
    write.mRecord.mEpoch = mEpoch;
    return write;
  }
  mHeld = false;
  const bool expired = aNow - mUnchangedSince >= mLeaseTime + mOrderTime;
  if (!expired) {
    return std::nullopt;
  }
  write.mRecord.mEpoch = aRecord->mEpoch + 1;
  return write;
}

void
LeaseHolder::OnWritten(const LeaseWrite& aWrite, unsigned aVersion, Time aBegun)
{
  const bool newEpoch = !mHeld || aWrite.mRecord.mEpoch != mEpoch;
  mHeld = true;
  mEpoch = aWrite.mRecord.mEpoch;
  mObservedVersion = aVersion;
  mUnchangedSince = aBegun;
  mHeldUntil = aBegun + mLeaseTime - mLeaseTime / kLeaseMarginDivisor;
  if (newEpoch) {
    mSettledAt = aBegun + mOrderTime;
  }
}

void
LeaseHolder::OnNotWritten()
{
  // No state changes here. A write of unknown outcome may have made this
  // candidate the holder under an epoch that it has not recorded. The next read
  // then shows a changed row, and the candidate waits for that lease to lapse
  // as it does for any other.
}

bool
LeaseHolder::IsHeld(Time aNow) const
{
  return mHeld && aNow < mHeldUntil;
}

bool
LeaseHolder::IsSettled(Time aNow) const
{
  return IsHeld(aNow) && aNow >= mSettledAt;
}

} // namespace quetzalquay
