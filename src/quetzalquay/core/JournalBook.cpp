#include "core/JournalBook.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Time for which an object outlives its last stream, so that a caller that
// comes back late still finds its tokens.
constexpr Duration kObjectGrace = std::chrono::seconds(60);

} // namespace

JournalPosition
JournalBook::Update(const std::string& aRequestId,
                    const std::string& aGeneration,
                    const std::vector<int>& aTokens,
                    Time aNow)
{
  Stream& stream = mStreams[aRequestId];
  if (stream.mGeneration != aGeneration) {
    // A request that was run anew has nothing in common with what is written.
    Release(stream.mPosition.mObjects, aNow);
    stream = Stream();
    stream.mGeneration = aGeneration;
  }
  const std::size_t known = stream.mTokens.size();
  if (known < aTokens.size()) {
    stream.mTokens.insert(stream.mTokens.end(),
                          aTokens.begin() + static_cast<std::ptrdiff_t>(known),
                          aTokens.end());
  }
  return stream.mPosition;
}

void
JournalBook::Forget(const std::string& aRequestId, Time aNow)
{
  const auto it = mStreams.find(aRequestId);
  if (it == mStreams.end()) {
    return;
  }
  Release(it->second.mPosition.mObjects, aNow);
  mStreams.erase(it);
}

std::vector<JournalPart>
JournalBook::Collect(std::uint32_t aSequence)
{
  std::vector<JournalPart> parts;
  mPending.clear();
  mPendingSequence = aSequence;
  for (const auto& it : mStreams) {
    const Stream& stream = it.second;
    const int size = static_cast<int>(stream.mTokens.size());
    if (size < kMinTokens || size == stream.mPosition.mDurable) {
      continue;
    }
    const bool whole = stream.mPosition.mObjects.size() >= kMaxObjects;
    JournalPart part;
    part.mRequestId = it.first;
    part.mGeneration = stream.mGeneration;
    part.mFrom = whole ? 0 : stream.mPosition.mDurable;
    part.mTokens.assign(stream.mTokens.begin() + part.mFrom,
                        stream.mTokens.end());
    parts.push_back(std::move(part));
    mPending.push_back({ it.first, stream.mGeneration, size, whole });
  }
  return parts;
}

void
JournalBook::OnWritten(bool aDone, Time aNow)
{
  if (!aDone) {
    mPending.clear();
    return;
  }
  for (const Pending& it : mPending) {
    const auto found = mStreams.find(it.mRequestId);
    if (found == mStreams.end() ||
        found->second.mGeneration != it.mGeneration) {
      continue;
    }
    JournalPosition& position = found->second.mPosition;
    if (it.mWhole) {
      Release(position.mObjects, aNow);
      position.mObjects.clear();
    }
    position.mDurable = it.mEnd;
    position.mObjects.push_back(mPendingSequence);
    ++mUses[mPendingSequence];
  }
  if (!mPending.empty() && mUses.count(mPendingSequence) == 0) {
    mExpired.push_back({ mPendingSequence, aNow + kObjectGrace });
  }
  mPending.clear();
}

std::vector<std::uint32_t>
JournalBook::TakeExpired(Time aNow)
{
  std::vector<std::uint32_t> sequences;
  while (!mExpired.empty() && mExpired.front().mAt <= aNow) {
    sequences.push_back(mExpired.front().mSequence);
    mExpired.pop_front();
  }
  return sequences;
}

int
JournalBook::UnjournaledTokens() const
{
  int n = 0;
  for (const auto& it : mStreams) {
    const int size = static_cast<int>(it.second.mTokens.size());
    if (size >= kMinTokens) {
      n += size - it.second.mPosition.mDurable;
    }
  }
  return n;
}

void
JournalBook::Release(const std::vector<std::uint32_t>& aObjects, Time aNow)
{
  for (const std::uint32_t it : aObjects) {
    const auto use = mUses.find(it);
    if (use == mUses.end() || --use->second > 0) {
      continue;
    }
    mUses.erase(use);
    mExpired.push_back({ it, aNow + kObjectGrace });
  }
}

std::vector<int>
AssembleTokens(const std::vector<JournalPart>& aParts,
               const std::string& aRequestId,
               const std::string& aGeneration)
{
  std::vector<JournalPart> parts;
  for (const JournalPart& it : aParts) {
    if (it.mRequestId == aRequestId && it.mGeneration == aGeneration) {
      parts.push_back(it);
    }
  }
  std::sort(parts.begin(),
            parts.end(),
            [](const JournalPart& aLeft, const JournalPart& aRight) {
              return aLeft.mFrom < aRight.mFrom;
            });
  std::vector<int> tokens;
  for (const JournalPart& it : parts) {
    const int known = static_cast<int>(tokens.size());
    const int end = it.mFrom + static_cast<int>(it.mTokens.size());
    if (it.mFrom > known || end <= known) {
      continue;
    }
    tokens.insert(
      tokens.end(), it.mTokens.begin() + (known - it.mFrom), it.mTokens.end());
  }
  return tokens;
}

} // namespace quetzalquay
