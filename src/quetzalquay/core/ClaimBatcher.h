#ifndef QUETZALQUAY_CORE_CLAIMBATCHER_H_INCLUDED
#define QUETZALQUAY_CORE_CLAIMBATCHER_H_INCLUDED

#include "core/Failure.h"
#include "core/Time.h"
#include "ports/PlatformPorts.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Content of a row that claims a non-idempotent request.
struct ClaimRecord
{
  // Router incarnation that holds the claim and may start the request.
  std::string mClaimer;
  // Distinguishes this claim from others of the same key.
  std::string mNonce;
  std::string mRequestId;
  // Set once the outcome is known.
  std::optional<RunVerdict> mOutcome;
};

// Encodes claim records as row values and decodes them.
struct ClaimCodec
{
  std::function<std::string(const ClaimRecord&)> mEncode;
  std::function<std::optional<ClaimRecord>(const std::string&)> mDecode;
};

// Outcome of an attempt to claim a request.
enum class ClaimStatus
{
  Claimed,
  // Another request with the same key holds the claim.
  Taken,
  // The table service was unavailable; the request must not be started.
  Unavailable,
};

// Result of one claim.
struct ClaimResult
{
  std::string mNonce;
  ClaimStatus mStatus = ClaimStatus::Unavailable;
  // Version of the claim's row, needed to settle or release it.
  unsigned mVersion = 0;
  // When the claim is taken: record of the request that holds it.
  ClaimRecord mOther;
};

// Batches the claims of one router into transactions on the table service and
// resolves commits whose response was lost. One transaction is in flight at a
// time. Performs no I/O; not thread-safe.
//
// A claim is an insert-if-absent that carries a nonce. If its response is lost,
// the same insert is sent again: if the row then exists with the same nonce,
// the first insert had taken effect.
class ClaimBatcher
{
public:
  // aTable is the name of the table that holds the claims.
  ClaimBatcher(std::string aTable, ClaimCodec aCodec);

  // Queues a claim. If it is undecided at aGiveUpAt, its result is Unavailable.
  void Claim(const std::string& aKey, ClaimRecord aRecord, Time aGiveUpAt);

  // Queues a write of a claimed request's outcome. Best effort.
  void RecordOutcome(const std::string& aKey,
                     ClaimRecord aRecord,
                     unsigned aVersion,
                     Time aGiveUpAt);

  // Queues the release of a claim whose request was never started. Best effort.
  void Release(const std::string& aKey, unsigned aVersion, Time aGiveUpAt);

  // Returns the next transaction, or nothing if no operation is queued.
  std::optional<StoreTransaction> NextTransaction();

  // Handles the result of the transaction in flight. Returns the results of the
  // claims that it decided or that have reached their time limit.
  std::vector<ClaimResult> OnResult(const CommitResult& aResult, Time aNow);

  // Returns the number of operations that are queued or in flight.
  std::size_t Size() const { return mQueued.size() + mInFlight.size(); }

private:
  enum class Kind
  {
    Claim,
    RecordOutcome,
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
                   std::vector<ClaimResult>& aClaimResults);
  void OnRejected(const CommitResult& aResult,
                  std::vector<ClaimResult>& aClaimResults);
  void RequeueInFlight(Time aNow, std::vector<ClaimResult>& aClaimResults);
  std::optional<ClaimResult> ResolveRejected(const Entry& aEntry,
                                             const StoredRow& aRow) const;

  std::string mTable;
  ClaimCodec mCodec;
  std::deque<Entry> mQueued;
  std::vector<Entry> mInFlight;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_CLAIMBATCHER_H_INCLUDED
