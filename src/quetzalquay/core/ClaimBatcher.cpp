#include "core/ClaimBatcher.h"

#include <algorithm>
#include <set>
#include <utility>

namespace quetzalquay {

namespace {

// Maximum number of operations in one transaction.
constexpr std::size_t kMaxBatchSize = 64;

} // namespace

ClaimBatcher::ClaimBatcher(std::string aTable, ClaimCodec aCodec)
  : mTable(std::move(aTable))
  , mCodec(std::move(aCodec))
{
}

void
ClaimBatcher::Claim(const std::string& aKey,
                    ClaimRecord aRecord,
                    Time aGiveUpAt)
{
  mQueued.push_back({ Kind::Claim, aKey, std::move(aRecord), 0, aGiveUpAt });
}

void
ClaimBatcher::RecordOutcome(const std::string& aKey,
                            ClaimRecord aRecord,
                            unsigned aVersion,
                            Time aGiveUpAt)
{
  mQueued.push_back(
    { Kind::RecordOutcome, aKey, std::move(aRecord), aVersion, aGiveUpAt });
}

void
ClaimBatcher::Release(const std::string& aKey,
                      unsigned aVersion,
                      Time aGiveUpAt)
{
  mQueued.push_back(
    { Kind::Release, aKey, ClaimRecord(), aVersion, aGiveUpAt });
}

std::optional<StoreTransaction>
ClaimBatcher::NextTransaction()
{
  // Two operations on one key in one transaction would conflict.
  std::set<std::string> keys;
  std::deque<Entry> deferred;
  while (!mQueued.empty() && mInFlight.size() < kMaxBatchSize) {
    Entry entry = std::move(mQueued.front());
    mQueued.pop_front();
    if (keys.insert(entry.mKey).second) {
      mInFlight.push_back(std::move(entry));
    } else {
      deferred.push_back(std::move(entry));
    }
  }
  mQueued.insert(mQueued.begin(), deferred.begin(), deferred.end());
  if (mInFlight.empty()) {
    return std::nullopt;
  }
  StoreTransaction transaction;
  for (const Entry& it : mInFlight) {
    AddTo(transaction, it);
  }
  return transaction;
}

std::vector<ClaimResult>
ClaimBatcher::OnResult(const CommitResult& aResult, Time aNow)
{
  std::vector<ClaimResult> claimResults;
  switch (aResult.mOutcome) {
    case StoreOutcome::Done:
      OnCommitted(aResult, claimResults);
      break;
    case StoreOutcome::Rejected:
      OnRejected(aResult, claimResults);
      break;
    case StoreOutcome::NotDone:
    case StoreOutcome::Unknown:
      break;
  }
  RequeueInFlight(aNow, claimResults);
  return claimResults;
}

void
ClaimBatcher::AddTo(StoreTransaction& aTransaction, const Entry& aEntry) const
{
  aTransaction.mConditions.push_back({ mTable, aEntry.mKey, aEntry.mVersion });
  RowWrite write;
  write.mTable = mTable;
  write.mKey = aEntry.mKey;
  write.mDelete = aEntry.mKind == Kind::Release;
  if (!write.mDelete) {
    write.mValue = mCodec.mEncode(aEntry.mRecord);
  }
  aTransaction.mWrites.push_back(std::move(write));
}

void
ClaimBatcher::OnCommitted(const CommitResult& aResult,
                          std::vector<ClaimResult>& aClaimResults)
{
  for (const Entry& it : mInFlight) {
    if (it.mKind != Kind::Claim) {
      continue;
    }
    ClaimResult claimResult;
    claimResult.mNonce = it.mRecord.mNonce;
    claimResult.mStatus = ClaimStatus::Claimed;
    claimResult.mVersion = aResult.mRevision;
    aClaimResults.push_back(std::move(claimResult));
  }
  mInFlight.clear();
}

void
ClaimBatcher::OnRejected(const CommitResult& aResult,
                         std::vector<ClaimResult>& aClaimResults)
{
  for (const StoredRow& row : aResult.mFailedRows) {
    const auto it = std::find_if(
      mInFlight.begin(), mInFlight.end(), [&row](const Entry& aEntry) {
        return aEntry.mKey == row.mKey;
      });
    if (it == mInFlight.end()) {
      continue;
    }
    if (auto claimResult = ResolveRejected(*it, row)) {
      aClaimResults.push_back(std::move(*claimResult));
    }
    mInFlight.erase(it);
  }
}

void
ClaimBatcher::RequeueInFlight(Time aNow,
                              std::vector<ClaimResult>& aClaimResults)
{
  for (Entry& it : mInFlight) {
    if (aNow < it.mGiveUpAt) {
      mQueued.push_front(std::move(it));
      continue;
    }
    if (it.mKind == Kind::Claim) {
      ClaimResult claimResult;
      claimResult.mNonce = it.mRecord.mNonce;
      aClaimResults.push_back(std::move(claimResult));
    }
  }
  mInFlight.clear();
}

std::optional<ClaimResult>
ClaimBatcher::ResolveRejected(const Entry& aEntry, const StoredRow& aRow) const
{
  if (aEntry.mKind != Kind::Claim) {
    return std::nullopt;
  }
  ClaimResult claimResult;
  claimResult.mNonce = aEntry.mRecord.mNonce;
  const auto record = mCodec.mDecode(aRow.mValue);
  if (record && record->mNonce == aEntry.mRecord.mNonce) {
    claimResult.mStatus = ClaimStatus::Claimed;
    claimResult.mVersion = aRow.mVersion;
    return claimResult;
  }
  claimResult.mStatus = ClaimStatus::Taken;
  if (record) {
    claimResult.mOther = *record;
  }
  return claimResult;
}

} // namespace quetzalquay
