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

// One generation in a stand-in engine.
struct EngineGeneration : public RefCounted<EngineGeneration>
{
  schema::EngineRequest mRequest;
  std::string mId;
  // Newest attempt that reads or continues this generation.
  int mAttempt = 0;
  int mPromptTokens = 0;
  int mCachedTokens = 0;
  // Tokens produced so far, resumed ones included.
  int mLength = 0;
  bool mRunning = false;
  bool mFinished = false;
  bool mCancelled = false;
  int mReaders = 0;
  Time mUnreadSince;
  std::size_t mRecord = 0;
};

// Continuous batching of a stand-in engine: every step gives one token to each
// running generation and takes longer the more there are; prompts are read
// before, except for their cached part.
class EngineBatch
{
public:
  enum class Admission
  {
    Accepted,
    Full,
    VersionNotLoaded,
  };

  // Both must outlive this object.
  EngineBatch(const schema::StandinEngineSettings& aSettings,
              FaultGate& aFaults);
  ~EngineBatch();

  // Takes a request. aGeneration is set when it is accepted.
  Admission Add(const schema::EngineRequest& aRequest,
                const std::string& aCallerKey,
                RefPtr<EngineGeneration>& aGeneration);

  // Generation with an id, now read as the given attempt; or null.
  RefPtr<EngineGeneration> Reattach(const std::string& aId, int aAttempt);

  // Stops a generation unless a newer attempt reads it. Returns its length, or
  // -1 when it is unknown.
  int Cancel(const std::string& aId, int aAttempt);

  // Waits until a generation is longer than aIndex, or over, and returns its
  // length. Nothing when it is cancelled or the engine plays dead.
  std::optional<int> WaitBeyond(EngineGeneration& aGeneration, int aIndex);

  // The reader of a generation is gone.
  void StopReading(EngineGeneration& aGeneration);

  // Load as published, some time ago.
  schema::EngineLoad Load();

  // Cache events as published, some time ago.
  schema::CacheEvents CacheEventsAfter(int aSequence);

  // Sets the loaded versions.
  void SetVersions(const std::set<std::string>& aVersions);
  std::set<std::string> Versions() const;

  // Forgets everything and starts as a new incarnation.
  void Restart();

  // What this engine has done since the process started.
  schema::TargetRecords Records() const;

private:
  struct LoadSample
  {
    Time mAt;
    schema::EngineLoad mLoad;
  };

  void Work();
  void Step(std::unique_lock<std::mutex>& aLock);
  int AdmitWaiting();
  void Emit();
  void StopUnread(Time aNow);
  void SampleLoad(Time aNow);
  std::string NewIncarnation();
  bool TokensMatch(const schema::EngineRequest& aRequest) const;

  const schema::StandinEngineSettings& mSettings;
  FaultGate& mFaults;
  mutable std::mutex mMutex;
  std::condition_variable mWork;
  std::condition_variable mProgress;
  std::map<std::string, RefPtr<EngineGeneration>> mGenerations;
  std::deque<RefPtr<EngineGeneration>> mWaiting;
  std::vector<RefPtr<EngineGeneration>> mRunning;
  std::set<std::string> mVersions;
  PrefixCache mCache;
  std::deque<LoadSample> mSamples;
  schema::TargetRecords mRecords;
  std::string mIncarnation;
  int mLives = 0;
  int mNextGeneration = 0;
  bool mStopping = false;
  std::thread mThread;
};

// Token of a generation at an index, the same in every engine.
int
StandinToken(const std::string& aGeneration, int aIndex);

// Text of a generation's token: names both, for the history checker.
std::string
StandinText(const std::string& aGeneration, int aIndex);

} // namespace quetzalquay

#endif // QUETZALQUAY_STANDIN_ENGINEBATCH_H_INCLUDED
