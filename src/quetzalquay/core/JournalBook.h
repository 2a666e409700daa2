#ifndef QUETZALQUAY_CORE_JOURNALBOOK_H_INCLUDED
#define QUETZALQUAY_CORE_JOURNALBOOK_H_INCLUDED

#include "core/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace quetzalquay {

// Part of one stream's tokens in one journal object.
struct JournalPart
{
  std::string mRequestId;
  std::string mGeneration;
  int mFrom = 0;
  std::vector<int> mTokens;
};

// Tokens of a stream that the journal holds, and the objects to read them from,
// oldest first.
struct JournalPosition
{
  int mDurable = 0;
  std::vector<std::uint32_t> mObjects;
};

// Decides what a router writes to the journal: at each interval one object with
// the new tokens of all long streams. A stream's tokens are written whole again
// from time to time, so that few objects need to be read to get them back.
// Pure logic; not safe for concurrent use.
class JournalBook
{
public:
  // Tokens from which on a stream is journaled; a shorter one fits into its
  // event id.
  static constexpr int kMinTokens = 64;

  // Objects that hold one stream's tokens at most.
  static constexpr std::size_t kMaxObjects = 8;

  // Takes what is new of a stream's accepted tokens, which are given from index
  // 0, and returns the stream's position.
  JournalPosition Update(const std::string& aRequestId,
                         const std::string& aGeneration,
                         const std::vector<int>& aTokens,
                         Time aNow);

  // The stream has ended.
  void Forget(const std::string& aRequestId, Time aNow);

  // Parts to write as the object with this sequence number; empty when there is
  // nothing new. One collection is open at a time.
  std::vector<JournalPart> Collect(std::uint32_t aSequence);

  // The object of the last collection is written, or is not known to be.
  void OnWritten(bool aDone, Time aNow);

  // Objects that no stream needs any more.
  std::vector<std::uint32_t> TakeExpired(Time aNow);

  // Tokens of long streams that the journal does not hold.
  int UnjournaledTokens() const;

private:
  struct Stream
  {
    std::string mGeneration;
    std::vector<int> mTokens;
    JournalPosition mPosition;
  };

  struct Pending
  {
    std::string mRequestId;
    std::string mGeneration;
    int mEnd = 0;
    bool mWhole = false;
  };

  struct Expired
  {
    std::uint32_t mSequence = 0;
    Time mAt;
  };

  void Release(const std::vector<std::uint32_t>& aObjects, Time aNow);

  std::map<std::string, Stream> mStreams;
  std::vector<Pending> mPending;
  std::uint32_t mPendingSequence = 0;
  // Streams that need each object.
  std::map<std::uint32_t, int> mUses;
  std::deque<Expired> mExpired;
};

// Tokens from index 0 put together from parts, as far as they go without a gap.
std::vector<int>
AssembleTokens(const std::vector<JournalPart>& aParts,
               const std::string& aRequestId,
               const std::string& aGeneration);

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_JOURNALBOOK_H_INCLUDED
