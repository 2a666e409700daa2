#include "core/JournalPlanner.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// Retention of an object after its last stream has ended, so that a caller that
// reconnects late can still resume.
constexpr Duration kObjectRetention = std::chrono::seconds(60);

} // namespace

JournalPosition
JournalPlanner::Update(const std::string& aRequestId,
                       const std::string& aGeneration,
                       const std::vector<int>& aTokens,
                       Time aNow)
{
  Stream& stream = mStreams[aRequestId];
  if (stream.mGeneration != aGeneration) {
    // A restarted request shares no tokens with the previous generation.
    ReleaseObjects(stream.mPosition.mObjects, aNow);
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
JournalPlanner::RemoveStream(const std::string& aRequestId, Time aNow)
{
  const auto it = mStreams.find(aRequestId);
  if (it == mStreams.end()) {
    return;
  }
  ReleaseObjects(it->second.mPosition.mObjects, aNow);
  mStreams.erase(it);
}

std::vector<JournalPart>
JournalPlanner::CollectParts(std::uint32_t aSequence)
{
  std::vector<JournalPart> parts;
  mPendingWrites.clear();
  mPendingSequence = aSequence;
  for (const auto& it : mStreams) {
    const Stream& stream = it.second;
    const int size = static_cast<int>(stream.mTokens.size());
    if (size < kMinTokens || size == stream.mPosition.mDurableTokens) {
      continue;
    }
    const bool compact = stream.mPosition.mObjects.size() >= kMaxObjects;
    JournalPart part;
    part.mRequestId = it.first;
    part.mGeneration = stream.mGeneration;
    part.mFrom = compact ? 0 : stream.mPosition.mDurableTokens;
    part.mTokens.assign(stream.mTokens.begin() + part.mFrom,
                        stream.mTokens.end());
    parts.push_back(std::move(part));
    mPendingWrites.push_back({ it.first, stream.mGeneration, size, compact });
  }
  return parts;
}

void
JournalPlanner::OnWritten(bool aWritten, Time aNow)
{
  if (!aWritten) {
    mPendingWrites.clear();
    return;
  }
  for (const PendingWrite& it : mPendingWrites) {
    const auto found = mStreams.find(it.mRequestId);
    if (found == mStreams.end() ||
        found->second.mGeneration != it.mGeneration) {
      continue;
    }
    JournalPosition& position = found->second.mPosition;
    if (it.mCompacted) {
      ReleaseObjects(position.mObjects, aNow);
      position.mObjects.clear();
    }
    position.mDurableTokens = it.mEnd;
    position.mObjects.push_back(mPendingSequence);
    ++mReferenceCounts[mPendingSequence];
  }
  if (!mPendingWrites.empty() &&
      mReferenceCounts.count(mPendingSequence) == 0) {
    mExpired.push_back({ mPendingSequence, aNow + kObjectRetention });
  }
  mPendingWrites.clear();
}

std::vector<std::uint32_t>
JournalPlanner::TakeExpired(Time aNow)
{
  std::vector<std::uint32_t> sequences;
  while (!mExpired.empty() && mExpired.front().mDeleteAt <= aNow) {
    sequences.push_back(mExpired.front().mSequence);
    mExpired.pop_front();
  }
  return sequences;
}

int
JournalPlanner::UnjournaledTokens() const
{
  int n = 0;
  for (const auto& it : mStreams) {
    const int size = static_cast<int>(it.second.mTokens.size());
    if (size >= kMinTokens) {
      n += size - it.second.mPosition.mDurableTokens;
    }
  }
  return n;
}

void
JournalPlanner::ReleaseObjects(const std::vector<std::uint32_t>& aObjects,
                               Time aNow)
{
  for (const std::uint32_t it : aObjects) {
    const auto use = mReferenceCounts.find(it);
    if (use == mReferenceCounts.end() || --use->second > 0) {
      continue;
    }
    mReferenceCounts.erase(use);
    mExpired.push_back({ it, aNow + kObjectRetention });
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
