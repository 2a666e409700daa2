#include "core/LeaseHolder.h"

#include <utility>

namespace quetzalquay {

namespace {

// Share of the lease that a holder does not use, against slow clocks and the
// time that an order takes on its way.
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
  if (!mSeen || aVersion != mSeenVersion) {
    mSeen = true;
    mSeenVersion = aVersion;
    mSeenSince = aNow;
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
  const bool lapsed = aNow - mSeenSince >= mLeaseTime + mOrderTime;
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
  mSeenVersion = aVersion;
  mSeenSince = aBegun;
  mHoldsUntil = aBegun + mLeaseTime - mLeaseTime / kSafetyDivisor;
  if (newEpoch) {
    mSettledAt = aBegun + mOrderTime;
  }
}

void
LeaseHolder::OnNotWritten()
{
  // A write of unknown outcome may have made this candidate the holder under
  // an epoch that it does not know it has: the next read shows the row changed,
  // and the candidate waits it out like any other.
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
