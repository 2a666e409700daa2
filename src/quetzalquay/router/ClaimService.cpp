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
constexpr Duration kSettleTimeout = std::chrono::seconds(30);
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
  , mClaimBook(kClaimsTable, ClaimCodec{ Encode, Decode })
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
    mAnswersReady.notify_all();
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
  mClaimBook.Claim(aClaim.mKey, aClaim.mRecord, aDeadline);
  mWorkAvailable.notify_all();
  mAnswersReady.wait(lock,
                     [&] { return mStopping || mAnswers.count(nonce) != 0; });
  mAwaitedNonces.erase(nonce);
  const auto it = mAnswers.find(nonce);
  if (it == mAnswers.end()) {
    return ClaimStatus::Unavailable;
  }
  const ClaimResult answer = std::move(it->second);
  mAnswers.erase(it);
  aClaim.mVersion = answer.mVersion;
  aOther = answer.mOther;
  mMetrics.Observe(RouterHistogram::ClaimWrite,
                   std::chrono::duration<double>(Now() - startedAt).count());
  return answer.mStatus;
}

void
ClaimService::Settle(const Claim& aClaim, RunVerdict aVerdict)
{
  const Time deadline = Now() + kSettleTimeout;
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aVerdict == RunVerdict::NotRun) {
    mClaimBook.Release(aClaim.mKey, aClaim.mVersion, deadline);
  } else {
    ClaimRecord record = aClaim.mRecord;
    record.mOutcome = aVerdict;
    mClaimBook.Settle(
      aClaim.mKey, std::move(record), aClaim.mVersion, deadline);
  }
  mWorkAvailable.notify_all();
}

void
ClaimService::RunCommitLoop()
{
  std::unique_lock<std::mutex> lock(mMutex);
  for (;;) {
    mWorkAvailable.wait(lock,
                        [this] { return mStopping || mClaimBook.Size() > 0; });
    if (mStopping) {
      return;
    }
    const auto transaction = mClaimBook.NextTransaction();
    lock.unlock();
    const CommitResult result = mStore.Commit(*transaction, kCommitTimeout);
    const bool failed = result.mOutcome == StoreOutcome::NotDone ||
                        result.mOutcome == StoreOutcome::Unknown;
    lock.lock();
    DeliverAnswers(mClaimBook.OnResult(result, Now()));
    if (failed) {
      mWorkAvailable.wait_for(lock, kRetryDelay, [this] { return mStopping; });
    }
  }
}

void
ClaimService::DeliverAnswers(const std::vector<ClaimResult>& aAnswers)
{
  for (const ClaimResult& it : aAnswers) {
    if (mAwaitedNonces.count(it.mNonce) != 0) {
      mAnswers.emplace(it.mNonce, it);
    }
  }
  mAnswersReady.notify_all();
}

} // namespace quetzalquay
