#include "standin/EngineBatch.h"

#include "core/Hash.h"
#include "wire/Crypto.h"

#include <algorithm>

namespace quetzalquay {

namespace {

// How long a generation runs on without a reader.
constexpr Duration kAbandonedTimeout = std::chrono::milliseconds(3000);

// How long a finished generation can be read again.
constexpr Duration kFinishedRetention = std::chrono::seconds(20);

constexpr int kTokenRange = 50000;
constexpr int kGenerationIdBytes = 4;

Time
Now()
{
  return std::chrono::steady_clock::now();
}

double
UnixMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

// Number of prompt tokens; each word counts as one token.
int
CountTokens(const std::string& aPrompt)
{
  const auto spaces = std::count(aPrompt.begin(), aPrompt.end(), ' ');
  return static_cast<int>(spaces) + 1;
}

} // namespace

int
StandinToken(const std::string& aGeneration, int aIndex)
{
  const auto seed = static_cast<std::uint64_t>(aIndex);
  return static_cast<int>(StableHash(aGeneration, seed) % kTokenRange);
}

std::string
StandinText(const std::string& aGeneration, int aIndex)
{
  return aGeneration + ":" + std::to_string(aIndex) + " ";
}

EngineBatch::EngineBatch(const schema::StandinEngineSettings& aSettings,
                         FaultGate& aFaults)
  : mSettings(aSettings)
  , mFaults(aFaults)
  , mVersions(aSettings.versions().begin(), aSettings.versions().end())
  , mCache(static_cast<std::size_t>(aSettings.cache_blocks()),
           std::chrono::milliseconds(aSettings.event_lag_ms()))
  , mIncarnation(MakeIncarnation())
  , mThread([this] { RunLoop(); })
{
}

EngineBatch::~EngineBatch()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
    mWorkAvailable.notify_all();
    mProgress.notify_all();
  }
  mThread.join();
}

EngineBatch::Admission
EngineBatch::Add(const schema::EngineRequest& aRequest,
                 const std::string& aCallerKey,
                 RefPtr<EngineGeneration>& aGeneration)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aRequest.model() != mSettings.model() ||
      mVersions.count(aRequest.version()) == 0) {
    return Admission::VersionNotLoaded;
  }
  if (mWaiting.size() >= static_cast<std::size_t>(mSettings.max_waiting()) &&
      mRunning.size() >= static_cast<std::size_t>(mSettings.max_batch())) {
    return Admission::Full;
  }
  auto generation = MakeRef<EngineGeneration>();
  generation->mRequest = aRequest;
  generation->mAttempt = aRequest.attempt();
  generation->mLength = aRequest.resume().tokens_size();
  generation->mPromptTokens = CountTokens(aRequest.prompt());
  generation->mReaderCount = 1;
  generation->mId = aRequest.resume().generation();
  if (generation->mId.empty()) {
    generation->mId = mSettings.name() + "-" + RandomHex(kGenerationIdBytes) +
                      std::to_string(++mNextGeneration);
  }
  auto* record = mRecords.add_records();
  record->set_target(mSettings.name());
  record->set_request_id(aRequest.request_id());
  record->set_attempt(aRequest.attempt());
  record->set_generation(generation->mId);
  record->set_resumed_at(generation->mLength);
  record->set_at(UnixMs());
  record->set_caller_key(aCallerKey);
  record->set_wrong_tokens(!TokensMatch(aRequest));
  generation->mRecordIndex =
    static_cast<std::size_t>(mRecords.records_size() - 1);
  mGenerations[generation->mId] = generation;
  mWaiting.push_back(generation);
  std::stable_sort(mWaiting.begin(),
                   mWaiting.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft->mRequest.priority() >
                            aRight->mRequest.priority();
                   });
  mWorkAvailable.notify_all();
  aGeneration = generation;
  return Admission::Accepted;
}

RefPtr<EngineGeneration>
EngineBatch::Reattach(const std::string& aId, int aAttempt)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto it = mGenerations.find(aId);
  if (it == mGenerations.end() || it->second->mCancelled) {
    return nullptr;
  }
  EngineGeneration& generation = *it->second;
  generation.mAttempt = std::max(generation.mAttempt, aAttempt);
  ++generation.mReaderCount;
  return it->second;
}

int
EngineBatch::Cancel(const std::string& aId, int aAttempt)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto it = mGenerations.find(aId);
  if (it == mGenerations.end()) {
    return -1;
  }
  EngineGeneration& generation = *it->second;
  if (generation.mAttempt <= aAttempt) {
    generation.mCancelled = true;
    mProgress.notify_all();
  }
  return generation.mLength;
}

std::optional<int>
EngineBatch::WaitForToken(EngineGeneration& aGeneration, int aIndex)
{
  std::unique_lock<std::mutex> lock(mMutex);
  mProgress.wait(lock, [&] {
    return mStopping || aGeneration.mCancelled || aGeneration.mFinished ||
           aGeneration.mLength > aIndex;
  });
  if (mStopping || aGeneration.mCancelled) {
    return std::nullopt;
  }
  return aGeneration.mLength;
}

void
EngineBatch::DetachReader(EngineGeneration& aGeneration)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (--aGeneration.mReaderCount == 0) {
    aGeneration.mNoReaderSince = Now();
  }
}

schema::EngineLoad
EngineBatch::Load()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Time now = Now();
  SampleLoad(now);
  const Duration lag = std::chrono::milliseconds(mSettings.load_lag_ms());
  while (mSamples.size() > 1 && now - mSamples[1].mAt >= lag) {
    mSamples.pop_front();
  }
  schema::EngineLoad load = mSamples.front().mLoad;
  // Only the load lags; the incarnation is always the current one.
  load.set_incarnation(mIncarnation);
  return load;
}

schema::CacheEvents
EngineBatch::CacheEventsAfter(int aSequence)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mCache.EventsAfter(aSequence, Now());
}

void
EngineBatch::SetVersions(const std::set<std::string>& aVersions)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mVersions = aVersions;
}

std::set<std::string>
EngineBatch::Versions() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mVersions;
}

void
EngineBatch::Restart()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& it : mGenerations) {
    it.second->mCancelled = true;
  }
  mGenerations.clear();
  mWaiting.clear();
  mRunning.clear();
  mCache.Clear();
  mSamples.clear();
  mIncarnation = MakeIncarnation();
  mRecords.set_deaths(mRecords.deaths() + 1);
  mProgress.notify_all();
}

schema::TargetRecords
EngineBatch::Records() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRecords;
}

void
EngineBatch::RunLoop()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopping) {
    if (mWaiting.empty() && mRunning.empty()) {
      mWorkAvailable.wait_for(lock, std::chrono::milliseconds(100));
      RemoveAbandoned(Now());
      continue;
    }
    RunStep(lock);
  }
}

void
EngineBatch::RunStep(std::unique_lock<std::mutex>& aLock)
{
  const int prefill = AdmitWaiting();
  const auto running = static_cast<long>(mRunning.size());
  const double stepUs =
    static_cast<double>(mSettings.step_base_us()) +
    static_cast<double>(mSettings.step_per_stream_us() * running) +
    static_cast<double>(mSettings.prefill_us_per_token()) * prefill;
  const double factor = mFaults.SlowdownFactor();
  aLock.unlock();
  std::this_thread::sleep_for(
    std::chrono::microseconds(static_cast<long>(stepUs * factor)));
  mFaults.WaitWhileBlocked(std::string());
  aLock.lock();
  EmitTokens();
  RemoveAbandoned(Now());
}

int
EngineBatch::AdmitWaiting()
{
  int prefill = 0;
  while (!mWaiting.empty() &&
         mRunning.size() < static_cast<std::size_t>(mSettings.max_batch())) {
    const auto generation = mWaiting.front();
    mWaiting.pop_front();
    if (generation->mCancelled) {
      continue;
    }
    generation->mRunning = true;
    generation->mCachedTokens = mCache.LookUpOrInsert(
      generation->mRequest.prompt(), generation->mPromptTokens, Now());
    const int computed = generation->mPromptTokens + generation->mLength -
                         generation->mCachedTokens;
    prefill += computed;
    auto* record =
      mRecords.mutable_records(static_cast<int>(generation->mRecordIndex));
    record->set_computed_prefill(computed);
    mRecords.set_prefill_tokens(mRecords.prefill_tokens() + computed);
    mRunning.push_back(generation);
  }
  return prefill;
}

void
EngineBatch::EmitTokens()
{
  for (const auto& it : mRunning) {
    if (it->mCancelled) {
      continue;
    }
    if (it->mLength >= it->mRequest.max_tokens()) {
      it->mFinished = true;
      it->mNoReaderSince = Now();
      continue;
    }
    ++it->mLength;
    mRecords.set_decode_tokens(mRecords.decode_tokens() + 1);
    auto* record = mRecords.mutable_records(static_cast<int>(it->mRecordIndex));
    record->set_computed_decode(record->computed_decode() + 1);
    it->mFinished = it->mLength >= it->mRequest.max_tokens();
  }
  const auto isDone = [](const RefPtr<EngineGeneration>& aGeneration) {
    return aGeneration->mFinished || aGeneration->mCancelled;
  };
  mRunning.erase(std::remove_if(mRunning.begin(), mRunning.end(), isDone),
                 mRunning.end());
  mProgress.notify_all();
}

void
EngineBatch::RemoveAbandoned(Time aNow)
{
  for (auto it = mGenerations.begin(); it != mGenerations.end();) {
    EngineGeneration& generation = *it->second;
    const bool unread = generation.mReaderCount == 0;
    const Duration retention =
      generation.mFinished ? kFinishedRetention : kAbandonedTimeout;
    if (generation.mCancelled ||
        (unread && aNow - generation.mNoReaderSince >= retention)) {
      generation.mCancelled = true;
      it = mGenerations.erase(it);
    } else {
      ++it;
    }
  }
}

void
EngineBatch::SampleLoad(Time aNow)
{
  LoadSample sample;
  sample.mAt = aNow;
  sample.mLoad.set_state("ready");
  sample.mLoad.set_running(static_cast<int>(mRunning.size()));
  sample.mLoad.set_waiting(static_cast<int>(mWaiting.size()));
  sample.mLoad.set_kv_total(mSettings.max_batch());
  sample.mLoad.set_kv_used(static_cast<int>(mRunning.size()));
  sample.mLoad.set_as_of(UnixMs());
  mSamples.push_back(sample);
}

std::string
EngineBatch::MakeIncarnation()
{
  return "i-" + RandomHex(kGenerationIdBytes) + "-" +
         std::to_string(++mIncarnationCount);
}

bool
EngineBatch::TokensMatch(const schema::EngineRequest& aRequest) const
{
  const auto& resume = aRequest.resume();
  for (int n = 0; n < resume.tokens_size(); ++n) {
    if (resume.tokens(n) != StandinToken(resume.generation(), n)) {
      return false;
    }
  }
  return true;
}

} // namespace quetzalquay
