#include "router/FenceService.h"

#include "generated/messages.pb.h"
#include "wire/Json.h"

#include <thread>

namespace quetzalquay {

namespace {

constexpr char kContinuationsTable[] = "continuations";
constexpr Duration kCallTimeout = std::chrono::milliseconds(500);
constexpr Duration kRetryDelay = std::chrono::milliseconds(30);

std::string
Encode(const FenceRecord& aRecord)
{
  schema::FenceRow row;
  row.set_owner(aRecord.mOwner);
  row.set_nonce(aRecord.mNonce);
  row.set_attempt(aRecord.mAttempt);
  return ToCompactJson(row);
}

std::optional<FenceRecord>
Decode(const std::string& aValue)
{
  schema::FenceRow row;
  if (ParseJson(aValue, UnknownFields::Ignore, row)) {
    return std::nullopt;
  }
  return FenceRecord{ row.owner(), row.nonce(), row.attempt() };
}

} // namespace

FenceService::FenceService(TableStorePort& aStore)
  : mStore(aStore)
{
}

std::optional<FenceDecision>
FenceService::Acquire(const std::string& aRequestId,
                      ContinuationFence& aFence,
                      int aNewAttempt,
                      Time aDeadline)
{
  while (std::chrono::steady_clock::now() < aDeadline) {
    if (const auto decision = TryAcquire(aRequestId, aFence, aNewAttempt)) {
      return decision;
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  return std::nullopt;
}

std::optional<FenceDecision>
FenceService::TryAcquire(const std::string& aRequestId,
                         ContinuationFence& aFence,
                         int aNewAttempt)
{
  StoredRow row;
  const StoreOutcome readOutcome =
    mStore.Read(kContinuationsTable, aRequestId, kCallTimeout, row);
  if (readOutcome != StoreOutcome::Done &&
      readOutcome != StoreOutcome::Rejected) {
    return std::nullopt;
  }
  const auto record =
    readOutcome == StoreOutcome::Done ? Decode(row.mValue) : std::nullopt;
  const auto step = aFence.OnRead(record, row.mVersion, aNewAttempt);
  if (step.mDecision) {
    return step.mDecision;
  }
  StoreTransaction transaction;
  transaction.mConditions.push_back(
    { kContinuationsTable, aRequestId, step.mIfVersion });
  transaction.mWrites.push_back(
    { kContinuationsTable, aRequestId, Encode(step.mWrite), false });
  const CommitResult result = mStore.Commit(transaction, kCallTimeout);
  if (result.mOutcome != StoreOutcome::Done) {
    return std::nullopt;
  }
  aFence.OnWritten(aNewAttempt);
  return FenceDecision::Granted;
}

} // namespace quetzalquay
