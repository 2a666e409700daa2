#include "router/ClaimService.h"

#include "generated/messages.pb.h"
#include "observe/RouterMetrics.h"
#include "wire/Crypto.h"
#include "wire/Json.h"

#include <utility>

namespace quetzalquay {

namespace {

constexpr char kClaimsTable[] = "claims";
constexpr Duration kCommitTimeout = std::chrono::milliseconds(1000);
constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kRecordOutcomeTimeout = std::chrono::seconds(30);
constexpr int kNonceBytes = 12;

Time
Now()
{
  return std::chrono::steady_clock::now();
}

std::string
Encode(const ClaimRecord& aRecord)
{
  schema::ClaimRow row;
  row.set_claimer(aRecord.mClaimer);
  row.set_nonce(aRecord.mNonce);
  row.set_request_id(aRecord.mRequestId);
  if (aRecord.mOutcome) {
    row.set_outcome(std::string(NameOf(*aRecord.mOutcome)));
  }
  return ToCompactJson(row);
}

std::optional<ClaimRecord>
Decode(const std::string& aValue)
{
  schema::ClaimRow row;
  if (ParseJson(aValue, UnknownFields::Ignore, row)) {
    return std::nullopt;
  }
  ClaimRecord record;
  record.mClaimer = row.claimer();
  record.mNonce = row.nonce();
  record.mRequestId = row.request_id();
  record.mOutcome = ParseRunVerdict(row.outcome());
  return record;
}

} // namespace

ClaimService::ClaimService(std::string aClaimer,
                           TableStorePort& aStore,
                           RouterMetrics& aMetrics)
  : mClaimer(std::move(aClaimer))
  , mStore(aStore)
  , mMetrics(aMetrics)
  , mClaimBatcher(kClaimsTable, ClaimCodec{ Encode, Decode })
{
}

ClaimService::~ClaimService()
{
  Stop();
}

void
ClaimService::Start()
{
  mThread = std::thread([this] { RunCommitLoop(); });
}

void
ClaimService::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
    mWorkAvailable.notify_all();
    mClaimResultsReady.notify_all();
  }
  if (mThread.joinable()) {
    mThread.join();
  }
}

ClaimStatus
ClaimService::Acquire(const std::string& aWorkspace,
                      const std::string& aCallerKey,
                      const std::string& aRequestId,
                      Time aDeadline,
                      Claim& aClaim,
                      ClaimRecord& aOther)
{
  const Time startedAt = Now();
  aClaim.mKey = Sha256Hex(aWorkspace + "\n" + aCallerKey);
  aClaim.mRecord.mClaimer = mClaimer;
  aClaim.mRecord.mNonce = RandomHex(kNonceBytes);
  aClaim.mRecord.mRequestId = aRequestId;
  const std::string nonce = aClaim.mRecord.mNonce;
  std::unique_lock<std::mutex> lock(mMutex);
  mAwaitedNonces[nonce] = true;
  mClaimBatcher.Claim(aClaim.mKey, aClaim.mRecord, aDeadline);
  mWorkAvailable.notify_all();
  mClaimResultsReady.wait(
    lock, [&] { return mStopping || mClaimResults.count(nonce) != 0; });
  mAwaitedNonces.erase(nonce);
  const auto it = mClaimResults.find(nonce);
  if (it == mClaimResults.end()) {
    return ClaimStatus::Unavailable;
  }
  const ClaimResult claimResult = std::move(it->second);
  mClaimResults.erase(it);
  aClaim.mVersion = claimResult.mVersion;
  aOther = claimResult.mOther;
  mMetrics.Observe(RouterHistogram::ClaimWrite,
                   std::chrono::duration<double>(Now() - startedAt).count());
  return claimResult.mStatus;
}

void
ClaimService::RecordOutcome(const Claim& aClaim, RunVerdict aVerdict)
{
  const Time deadline = Now() + kRecordOutcomeTimeout;
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aVerdict == RunVerdict::NotRun) {
    mClaimBatcher.Release(aClaim.mKey, aClaim.mVersion, deadline);
  } else {
    ClaimRecord record = aClaim.mRecord;
    record.mOutcome = aVerdict;
    mClaimBatcher.RecordOutcome(
      aClaim.mKey, std::move(record), aClaim.mVersion, deadline);
  }
  mWorkAvailable.notify_all();
}

void
ClaimService::RunCommitLoop()
{
  std::unique_lock<std::mutex> lock(mMutex);
  for (;;) {
    mWorkAvailable.wait(
      lock, [this] { return mStopping || mClaimBatcher.Size() > 0; });
    if (mStopping) {
      return;
    }
    const auto transaction = mClaimBatcher.NextTransaction();
    lock.unlock();
    const CommitResult result = mStore.Commit(*transaction, kCommitTimeout);
    const bool failed = result.mOutcome == StoreOutcome::NotDone ||
                        result.mOutcome == StoreOutcome::Unknown;
    lock.lock();
    DeliverClaimResults(mClaimBatcher.OnResult(result, Now()));
    if (failed) {
      mWorkAvailable.wait_for(lock, kRetryDelay, [this] { return mStopping; });
    }
  }
}

void
ClaimService::DeliverClaimResults(const std::vector<ClaimResult>& aClaimResults)
{
  for (const ClaimResult& it : aClaimResults) {
    if (mAwaitedNonces.count(it.mNonce) != 0) {
      mClaimResults.emplace(it.mNonce, it);
    }
  }
  mClaimResultsReady.notify_all();
}

} // namespace quetzalquay
