#include "core/ClaimBook.h"

#include <algorithm>
#include <set>
#include <utility>

namespace quetzalquay {

namespace {

constexpr std::size_t kMaxBatch = 64;

} // namespace

ClaimBook::ClaimBook(std::string aTable, ClaimCodec aCodec)
  : mTable(std::move(aTable))
  , mCodec(std::move(aCodec))
{
}

void
ClaimBook::Claim(const std::string& aKey, ClaimRecord aRecord, Time aGiveUpAt)
{
  mWaiting.push_back({ Kind::Claim, aKey, std::move(aRecord), 0, aGiveUpAt });
}

void
ClaimBook::Settle(const std::string& aKey,
                  ClaimRecord aRecord,
                  unsigned aVersion,
                  Time aGiveUpAt)
{
  mWaiting.push_back(
    { Kind::Settle, aKey, std::move(aRecord), aVersion, aGiveUpAt });
}

void
ClaimBook::Release(const std::string& aKey, unsigned aVersion, Time aGiveUpAt)
{
  mWaiting.push_back(
    { Kind::Release, aKey, ClaimRecord(), aVersion, aGiveUpAt });
}

std::optional<StoreTransaction>
ClaimBook::NextTransaction()
{
  // Two entries of one key in one transaction would contradict each other.
  std::set<std::string> keys;
  std::deque<Entry> later;
  while (!mWaiting.empty() && mOpen.size() < kMaxBatch) {
    Entry entry = std::move(mWaiting.front());
    mWaiting.pop_front();
    if (keys.insert(entry.mKey).second) {
      mOpen.push_back(std::move(entry));
    } else {
      later.push_back(std::move(entry));
    }
  }
  mWaiting.insert(mWaiting.begin(), later.begin(), later.end());
  if (mOpen.empty()) {
    return std::nullopt;
  }
  StoreTransaction transaction;
  for (const Entry& it : mOpen) {
    AddTo(transaction, it);
  }
  return transaction;
}

std::vector<ClaimAnswer>
ClaimBook::OnResult(const CommitResult& aResult, Time aNow)
{
  std::vector<ClaimAnswer> answers;
  switch (aResult.mOutcome) {
    case StoreOutcome::Done:
      OnCommitted(aResult, answers);
      break;
    case StoreOutcome::Rejected:
      OnRejected(aResult, answers);
      break;
    case StoreOutcome::NotDone:
    case StoreOutcome::Unknown:
      break;
  }
  RetryOpen(aNow, answers);
  return answers;
}

void
ClaimBook::AddTo(StoreTransaction& aTransaction, const Entry& aEntry) const
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
ClaimBook::OnCommitted(const CommitResult& aResult,
                       std::vector<ClaimAnswer>& aAnswers)
{
  for (const Entry& it : mOpen) {
    if (it.mKind != Kind::Claim) {
      continue;
    }
    ClaimAnswer answer;
    answer.mNonce = it.mRecord.mNonce;
    answer.mStatus = ClaimStatus::Claimed;
    answer.mVersion = aResult.mRevision;
    aAnswers.push_back(std::move(answer));
  }
  mOpen.clear();
}

void
ClaimBook::OnRejected(const CommitResult& aResult,
                      std::vector<ClaimAnswer>& aAnswers)
{
  for (const StoredRow& row : aResult.mFailed) {
    const auto it =
      std::find_if(mOpen.begin(), mOpen.end(), [&row](const Entry& aEntry) {
        return aEntry.mKey == row.mKey;
      });
    if (it == mOpen.end()) {
      continue;
    }
    if (auto answer = AnswerRejected(*it, row)) {
      aAnswers.push_back(std::move(*answer));
    }
    mOpen.erase(it);
  }
}

void
ClaimBook::RetryOpen(Time aNow, std::vector<ClaimAnswer>& aAnswers)
{
  for (Entry& it : mOpen) {
    if (aNow < it.mGiveUpAt) {
      mWaiting.push_front(std::move(it));
      continue;
    }
    if (it.mKind == Kind::Claim) {
      ClaimAnswer answer;
      answer.mNonce = it.mRecord.mNonce;
      aAnswers.push_back(std::move(answer));
    }
  }
  mOpen.clear();
}

std::optional<ClaimAnswer>
ClaimBook::AnswerRejected(const Entry& aEntry, const StoredRow& aRow) const
{
  if (aEntry.mKind != Kind::Claim) {
    return std::nullopt;
  }
  ClaimAnswer answer;
  answer.mNonce = aEntry.mRecord.mNonce;
  const auto record = mCodec.mDecode(aRow.mValue);
  if (record && record->mNonce == aEntry.mRecord.mNonce) {
    answer.mStatus = ClaimStatus::Claimed;
    answer.mVersion = aRow.mVersion;
    return answer;
  }
  answer.mStatus = ClaimStatus::Taken;
  if (record) {
    answer.mOther = *record;
  }
  return answer;
}

} // namespace quetzalquay
