#ifndef QUETZALQUAY_PORTS_ENGINEPORT_H_INCLUDED
#define QUETZALQUAY_PORTS_ENGINEPORT_H_INCLUDED

#include "core/GenerationActions.h"
#include "core/RefCounted.h"
#include "core/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Address of a target's server.
struct TargetAddress
{
  std::string mName;
  std::string mHost;
  int mPort = 0;
};

// All that an engine needs to start or continue a stream.
struct EngineStart
{
  std::string mRequestId;
  int mAttempt = 0;
  std::string mModel;
  std::string mVersion;
  std::string mAdapter;
  std::string mAdapterVersion;
  std::string mPrompt;
  int mMaxTokens = 0;
  double mTemperature = 1.0;
  unsigned mSeed = 0;
  int mPriority = 0;
  // Empty for a first start.
  std::string mGeneration;
  std::vector<int> mTokens;
  // W3C trace context of the attempt's span.
  std::string mTraceParent;
  // Caller's idempotency key, empty when it gave none.
  std::string mCallerKey;
};

// State that an engine reports about itself.
struct EngineLoadReport
{
  std::string mIncarnation;
  // "ready", "loading" or "leaving".
  std::string mState;
  int mRunning = 0;
  int mWaiting = 0;
};

// Entries of an engine's prefix cache, as it published them.
struct EngineCacheReport
{
  struct Entry
  {
    std::string mPrefixHash;
    bool mStored = false;
  };

  std::vector<Entry> mEntries;
  // Oldest and newest sequence numbers that the engine still holds.
  int mOldest = 0;
  int mNewest = 0;
};

// Receives one attempt's stream, on a thread of the port.
class EngineSink : public RefCounted<EngineSink>
{
public:
  virtual ~EngineSink() = default;

  // One event. Returning false ends the stream.
  virtual bool OnStreamEvent(StreamEvent aEvent) = 0;

  // The stream is over without a finish event. Called at most once, last.
  virtual void OnStreamEnd(int aAttempt, AttemptEnd aEnd) = 0;
};

// One open stream.
class EngineStream : public RefCounted<EngineStream>
{
public:
  virtual ~EngineStream() = default;

  // Closes the connection; the sink gets nothing more than what is under way.
  virtual void Close() = 0;
};

// Model engines, over whatever protocol they speak.
class EnginePort
{
public:
  virtual ~EnginePort() = default;

  // Starts or continues a stream; returns at once.
  virtual RefPtr<EngineStream> Start(const TargetAddress& aTarget,
                                     EngineStart aStart,
                                     RefPtr<EngineSink> aSink) = 0;

  // Reads a running stream again from an index; returns at once.
  virtual RefPtr<EngineStream> Reattach(const TargetAddress& aTarget,
                                        const std::string& aGeneration,
                                        int aAttempt,
                                        int aFrom,
                                        RefPtr<EngineSink> aSink) = 0;

  // Stops a generation. Blocks for aTimeout at most.
  virtual CancelResult Cancel(const TargetAddress& aTarget,
                              const std::string& aGeneration,
                              int aAttempt,
                              Duration aTimeout) = 0;

  // Reads the load. Nothing when the engine does not answer in time; then
  // aRefused tells whether it refused the connection.
  virtual std::optional<EngineLoadReport> ReadLoad(const TargetAddress& aTarget,
                                                   Duration aTimeout,
                                                   bool& aRefused) = 0;

  // Reads cache events after a sequence number, or nothing.
  virtual std::optional<EngineCacheReport>
  ReadCache(const TargetAddress& aTarget, int aAfter, Duration aTimeout) = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_PORTS_ENGINEPORT_H_INCLUDED
