#include "core/ContinuationFence.h"

#include <utility>

namespace quetzalquay {

ContinuationFence::ContinuationFence(std::string aOwner,
                                     std::string aNonce,
                                     int aKnownAttempt)
  : mOwner(std::move(aOwner))
  , mNonce(std::move(aNonce))
  , mKnownAttempt(aKnownAttempt)
{
}

ContinuationFence::Step
ContinuationFence::OnRead(const std::optional<FenceRecord>& aRecord,
                          unsigned aVersion,
                          int aNewAttempt)
{
  Step step;
  const bool own =
    aRecord && aRecord->mOwner == mOwner && aRecord->mNonce == mNonce;
  if (own && aRecord->mAttempt == aNewAttempt) {
    // An earlier write for this attempt took effect, but its response was lost.
    OnWritten(aNewAttempt);
    step.mDecision = FenceDecision::Granted;
    return step;
  }
  if (aRecord && !own && aRecord->mAttempt > mKnownAttempt) {
    step.mDecision = FenceDecision::Refused;
    return step;
  }
  step.mIfVersion = aRecord ? aVersion : 0;
  step.mWrite.mOwner = mOwner;
  step.mWrite.mNonce = mNonce;
  step.mWrite.mAttempt = aNewAttempt;
  return step;
}

void
ContinuationFence::OnWritten(int aNewAttempt)
{
  mKnownAttempt = aNewAttempt;
}

} // namespace quetzalquay
