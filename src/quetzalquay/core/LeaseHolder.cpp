#include "core/LeaseHolder.h"

#include <utility>

namespace quetzalquay {

namespace {

// The holder leaves 1/kSafetyDivisor of the lease unused, to allow for slow
// clocks and orders in transit.
constexpr int kSafetyDivisor = 4;

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
  if (own && mHolding && aRecord->mEpoch == mEpoch) {
    write.mRecord.mEpoch = mEpoch;
    return write;
  }
  mHolding = false;
  const bool lapsed = aNow - mUnchangedSince >= mLeaseTime + mOrderTime;
  if (!lapsed) {
    return std::nullopt;
  }
  write.mRecord.mEpoch = aRecord->mEpoch + 1;
  return write;
}

void
LeaseHolder::OnWritten(const LeaseWrite& aWrite, unsigned aVersion, Time aBegun)
{
  const bool newEpoch = !mHolding || aWrite.mRecord.mEpoch != mEpoch;
  mHolding = true;
  mEpoch = aWrite.mRecord.mEpoch;
  mObservedVersion = aVersion;
  mUnchangedSince = aBegun;
  mHoldsUntil = aBegun + mLeaseTime - mLeaseTime / kSafetyDivisor;
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
LeaseHolder::Holds(Time aNow) const
{
  return mHolding && aNow < mHoldsUntil;
}

bool
LeaseHolder::IsSettled(Time aNow) const
{
  return Holds(aNow) && aNow >= mSettledAt;
}

} // namespace quetzalquay
