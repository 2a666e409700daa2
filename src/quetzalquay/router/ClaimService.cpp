#include "router/ClaimService.h"

#include "generated/messages.pb.h"
#include "observe/RouterMetrics.h"
#include "wire/Crypto.h"
#include "wire/Json.h"

#include <utility>

namespace quetzalquay {

namespace {

constexpr char kTable[] = "claims";
constexpr Duration kCommitTimeout = std::chrono::milliseconds(1000);
constexpr Duration kFailurePause = std::chrono::milliseconds(50);
constexpr Duration kSettleTime = std::chrono::seconds(30);
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
  , mBook(kTable, ClaimCodec{ Encode, Decode })
{
}

ClaimService::~ClaimService()
{
  Stop();
}

void
ClaimService::Start()
{
  mThread = std::thread([this] { Work(); });
}

void
ClaimService::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
    mWork.notify_all();
    mAnswered.notify_all();
  }
  if (mThread.joinable()) {
    mThread.join();
  }
}

ClaimStatus
ClaimService::Acquire(const std::string& aWorkspace,
                      const std::string& aCallerKey,
                      const std::string& aRequestId,
                      Time aGiveUpAt,
                      Claim& aClaim,
                      ClaimRecord& aOther)
{
  const Time begun = Now();
  aClaim.mKey = Sha256Hex(aWorkspace + "\n" + aCallerKey);
  aClaim.mRecord.mClaimer = mClaimer;
  aClaim.mRecord.mNonce = RandomHex(kNonceBytes);
  aClaim.mRecord.mRequestId = aRequestId;
  const std::string nonce = aClaim.mRecord.mNonce;
  std::unique_lock<std::mutex> lock(mMutex);
  mAwaited[nonce] = true;
  mBook.Claim(aClaim.mKey, aClaim.mRecord, aGiveUpAt);
  mWork.notify_all();
  mAnswered.wait(lock, [&] { return mStopping || mAnswers.count(nonce) != 0; });
  mAwaited.erase(nonce);
  const auto it = mAnswers.find(nonce);
  if (it == mAnswers.end()) {
    return ClaimStatus::Unavailable;
  }
  const ClaimAnswer answer = std::move(it->second);
  mAnswers.erase(it);
  aClaim.mVersion = answer.mVersion;
  aOther = answer.mOther;
  mMetrics.Observe(Timing::ClaimWrite,
                   std::chrono::duration<double>(Now() - begun).count());
  return answer.mStatus;
}

void
ClaimService::Settle(const Claim& aClaim, RunVerdict aVerdict)
{
  const Time giveUpAt = Now() + kSettleTime;
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aVerdict == RunVerdict::NotRun) {
    mBook.Release(aClaim.mKey, aClaim.mVersion, giveUpAt);
  } else {
    ClaimRecord record = aClaim.mRecord;
    record.mOutcome = aVerdict;
    mBook.Settle(aClaim.mKey, std::move(record), aClaim.mVersion, giveUpAt);
  }
  mWork.notify_all();
}

void
ClaimService::Work()
{
  std::unique_lock<std::mutex> lock(mMutex);
  for (;;) {
    mWork.wait(lock, [this] { return mStopping || mBook.Size() > 0; });
    if (mStopping) {
      return;
    }
    const auto transaction = mBook.NextTransaction();
    lock.unlock();
    const CommitResult result = mStore.Commit(*transaction, kCommitTimeout);
    const bool failed = result.mOutcome == StoreOutcome::NotDone ||
                        result.mOutcome == StoreOutcome::Unknown;
    lock.lock();
    Answer(mBook.OnResult(result, Now()));
    if (failed) {
      mWork.wait_for(lock, kFailurePause, [this] { return mStopping; });
    }
  }
}

void
ClaimService::Answer(const std::vector<ClaimAnswer>& aAnswers)
{
  for (const ClaimAnswer& it : aAnswers) {
    if (mAwaited.count(it.mNonce) != 0) {
      mAnswers.emplace(it.mNonce, it);
    }
  }
  mAnswered.notify_all();
}

} // namespace quetzalquay
