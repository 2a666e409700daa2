#ifndef QUETZALQUAY_STANDIN_ENGINEBATCH_H_INCLUDED
#define QUETZALQUAY_STANDIN_ENGINEBATCH_H_INCLUDED

#include "core/RefCounted.h"
#include "core/Time.h"
#include "generated/messages.pb.h"
#include "generated/settings.pb.h"
#include "standin/FaultGate.h"
#include "standin/PrefixCache.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace quetzalquay {

// A generation in a stand-in engine.
struct EngineGeneration : public RefCounted<EngineGeneration>
{
  schema::EngineRequest mRequest;
  std::string mId;
  // Latest attempt that reads or resumes this generation.
  int mAttempt = 0;
  int mPromptTokens = 0;
  int mCachedTokens = 0;
  // Number of tokens generated so far, including the resumed ones.
  int mLength = 0;
  bool mRunning = false;
  bool mFinished = false;
  bool mCancelled = false;
  int mReaderCount = 0;
  // When the last reader left or, in a generation that had nothing left to
  // generate, when it finished.
  Time mNoReaderSince;
  // Index of its entry in the target's records.
  std::size_t mRecordIndex = 0;
};

// Continuous batching of a stand-in engine: each step generates one token for
// every running generation and takes longer the more of them there are. The
// prefill of newly admitted requests (prompt and resumed tokens, without the
// cached part) adds to the step.
class EngineBatch
{
public:
  enum class Admission
  {
    Accepted,
    Full,
    VersionNotLoaded,
  };

  // Both arguments must outlive this object.
  EngineBatch(const schema::StandinEngineSettings& aSettings,
              FaultGate& aFaults);
  ~EngineBatch();

  // Queues a request. Sets aGeneration if the request is accepted.
  Admission Add(const schema::EngineRequest& aRequest,
                const std::string& aCallerKey,
                RefPtr<EngineGeneration>& aGeneration);

  // Adds a reader for the given attempt to a generation and returns the
  // generation, or null if it is unknown or cancelled.
  RefPtr<EngineGeneration> Reattach(const std::string& aId, int aAttempt);

  // Cancels a generation unless a newer attempt reads it. Returns its length in
  // tokens, or -1 if it is unknown.
  int Cancel(const std::string& aId, int aAttempt);

  // Waits until the token at aIndex is generated or the generation finishes,
  // and returns the generation's length in tokens. Returns nothing if the
  // generation is cancelled or the engine stops.
  std::optional<int> WaitForToken(EngineGeneration& aGeneration, int aIndex);

  // Removes one reader of a generation.
  void DetachReader(EngineGeneration& aGeneration);

  // Load as of the configured lag ago, with the current incarnation.
  schema::EngineLoad Load();

  // Cache events after aSequence that are older than the configured lag.
  schema::CacheEvents CacheEventsAfter(int aSequence);

  void SetVersions(const std::set<std::string>& aVersions);
  std::set<std::string> Versions() const;

  // Discards all generations and the cache, and starts a new incarnation. The
  // records stay.
  void Restart();

  // Requests executed since the process started, for the history checker.
  schema::TargetRecords Records() const;

private:
  struct LoadSample
  {
    Time mAt;
    schema::EngineLoad mLoad;
  };

  void RunLoop();
  void RunStep(std::unique_lock<std::mutex>& aLock);
  int AdmitWaiting();
  void EmitTokens();
  void RemoveAbandoned(Time aNow);
  void SampleLoad(Time aNow);
  std::string MakeIncarnation();
  bool TokensMatch(const schema::EngineRequest& aRequest) const;

  const schema::StandinEngineSettings& mSettings;
  FaultGate& mFaults;
  mutable std::mutex mMutex;
  std::condition_variable mWorkAvailable;
  std::condition_variable mProgress;
  std::map<std::string, RefPtr<EngineGeneration>> mGenerations;
  std::deque<RefPtr<EngineGeneration>> mWaiting;
  std::vector<RefPtr<EngineGeneration>> mRunning;
  std::set<std::string> mVersions;
  PrefixCache mCache;
  std::deque<LoadSample> mSamples;
  schema::TargetRecords mRecords;
  std::string mIncarnation;
  int mIncarnationCount = 0;
  int mNextGeneration = 0;
  bool mStopping = false;
  std::thread mThread;
};

// Token of a generation at an index; the same in every engine.
int
StandinToken(const std::string& aGeneration, int aIndex);

// Text of a generation's token. It contains the generation and the index for
// the history checker.
std::string
StandinText(const std::string& aGeneration, int aIndex);

} // namespace quetzalquay

#endif // QUETZALQUAY_STANDIN_ENGINEBATCH_H_INCLUDED
