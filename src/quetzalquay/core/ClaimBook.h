#ifndef QUETZALQUAY_CORE_CLAIMBOOK_H_INCLUDED
#define QUETZALQUAY_CORE_CLAIMBOOK_H_INCLUDED

#include "core/Failure.h"
#include "core/Time.h"
#include "ports/PlatformPorts.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Content of the row that claims a non-idempotent request.
struct ClaimRecord
{
  // Router incarnation that may start the request.
  std::string mClaimer;
  // Tells this claim from any other of the same key.
  std::string mNonce;
  std::string mRequestId;
  // Set once the outcome is known.
  std::optional<RunVerdict> mOutcome;
};

// Turns claim records into row values and back.
struct ClaimCodec
{
  std::function<std::string(const ClaimRecord&)> mEncode;
  std::function<std::optional<ClaimRecord>(const std::string&)> mDecode;
};

// How an attempt to claim a request ended.
enum class ClaimStatus
{
  Claimed,
  // Another request with the same key has the claim.
  Taken,
  // The table service could not be used; the request must not be started.
  Unavailable,
};

// Answer to one claim.
struct ClaimAnswer
{
  std::string mNonce;
  ClaimStatus mStatus = ClaimStatus::Unavailable;
  // Version of the own row, to settle or release it later.
  unsigned mVersion = 0;
  // Record of the request that has the claim, when it is taken.
  ClaimRecord mOther;
};

// Groups the claims of one router into transactions on the table service and
// settles answers that were lost. One transaction is open at a time. Pure
// logic; not safe for concurrent use.
//
// A claim is one insert-if-absent that carries a nonce. When its answer is
// lost, the same insert is sent again: if the row then exists with the own
// nonce, the first insert had taken effect.
class ClaimBook
{
public:
  // aTable is the name of the claims' table.
  ClaimBook(std::string aTable, ClaimCodec aCodec);

  // Asks for a claim. After aGiveUpAt it is answered as Unavailable.
  void Claim(const std::string& aKey, ClaimRecord aRecord, Time aGiveUpAt);

  // Records the outcome of a claimed request. Best effort.
  void Settle(const std::string& aKey,
              ClaimRecord aRecord,
              unsigned aVersion,
              Time aGiveUpAt);

  // Gives a claim back whose request was never started. Best effort.
  void Release(const std::string& aKey, unsigned aVersion, Time aGiveUpAt);

  // Next transaction, or nothing when there is no work.
  std::optional<StoreTransaction> NextTransaction();

  // Answers of the claims that this result of the open transaction, and the
  // time, have decided.
  std::vector<ClaimAnswer> OnResult(const CommitResult& aResult, Time aNow);

  // Work that waits or is under way.
  std::size_t Size() const { return mWaiting.size() + mOpen.size(); }

private:
  enum class Kind
  {
    Claim,
    Settle,
    Release,
  };

  struct Entry
  {
    Kind mKind = Kind::Claim;
    std::string mKey;
    ClaimRecord mRecord;
    unsigned mVersion = 0;
    Time mGiveUpAt;
  };

  void AddTo(StoreTransaction& aTransaction, const Entry& aEntry) const;
  void OnCommitted(const CommitResult& aResult,
                   std::vector<ClaimAnswer>& aAnswers);
  void OnRejected(const CommitResult& aResult,
                  std::vector<ClaimAnswer>& aAnswers);
  void RetryOpen(Time aNow, std::vector<ClaimAnswer>& aAnswers);
  std::optional<ClaimAnswer> AnswerRejected(const Entry& aEntry,
                                            const StoredRow& aRow) const;

  std::string mTable;
  ClaimCodec mCodec;
  std::deque<Entry> mWaiting;
  std::vector<Entry> mOpen;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_CLAIMBOOK_H_INCLUDED
