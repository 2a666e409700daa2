#ifndef QUETZALQUAY_CORE_JOURNALPLANNER_H_INCLUDED
#define QUETZALQUAY_CORE_JOURNALPLANNER_H_INCLUDED

#include "core/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace quetzalquay {

// Tokens of one stream in one journal object, starting at index mFrom.
struct JournalPart
{
  std::string mRequestId;
  std::string mGeneration;
  int mFrom = 0;
  std::vector<int> mTokens;
};

// Number of a stream's tokens that the journal holds, and the sequence numbers
// of the objects that contain them, oldest first.
struct JournalPosition
{
  int mDurableTokens = 0;
  std::vector<std::uint32_t> mObjects;
};

// Decides what a router writes to the journal: one object per interval with the
// new tokens of all long streams. A stream spread over too many objects is
// compacted by writing all of its tokens again, which bounds the number of
// objects to read when it is recovered. Performs no I/O; not thread-safe.
class JournalPlanner
{
public:
  // Minimum number of tokens for a stream to be journaled; the tokens of a
  // shorter one fit into its event ID.
  static constexpr int kMinTokens = 64;

  // Maximum number of objects that hold one stream's tokens.
  static constexpr std::size_t kMaxObjects = 8;

  // Adds a stream's new tokens and returns its journal position. aTokens holds
  // all accepted tokens from index 0.
  JournalPosition Update(const std::string& aRequestId,
                         const std::string& aGeneration,
                         const std::vector<int>& aTokens,
                         Time aNow);

  // Removes a stream that has ended.
  void RemoveStream(const std::string& aRequestId, Time aNow);

  // Returns the parts to write as the object with this sequence number; empty
  // if there are no new tokens. Only one write may be pending at a time.
  std::vector<JournalPart> CollectParts(std::uint32_t aSequence);

  // Handles the result of the pending write. aWritten is false if the object is
  // not known to be written.
  void OnWritten(bool aWritten, Time aNow);

  // Removes and returns the objects that no stream needs any more.
  std::vector<std::uint32_t> TakeExpired(Time aNow);

  // Returns the number of tokens of long streams that are not in the journal.
  int UnjournaledTokens() const;

private:
  struct Stream
  {
    std::string mGeneration;
    std::vector<int> mTokens;
    JournalPosition mPosition;
  };

  struct PendingWrite
  {
    std::string mRequestId;
    std::string mGeneration;
    int mEnd = 0;
    bool mCompacted = false;
  };

  struct Expired
  {
    std::uint32_t mSequence = 0;
    Time mDeleteAt;
  };

  void ReleaseObjects(const std::vector<std::uint32_t>& aObjects, Time aNow);

  std::map<std::string, Stream> mStreams;
  std::vector<PendingWrite> mPendingWrites;
  std::uint32_t mPendingSequence = 0;
  // Number of streams that need each object.
  std::map<std::uint32_t, int> mReferenceCounts;
  std::deque<Expired> mExpired;
};

// Reassembles a stream's tokens from parts, from index 0 up to the first gap.
std::vector<int>
AssembleTokens(const std::vector<JournalPart>& aParts,
               const std::string& aRequestId,
               const std::string& aGeneration);

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_JOURNALPLANNER_H_INCLUDED
