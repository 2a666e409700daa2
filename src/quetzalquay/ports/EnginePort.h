#ifndef QUETZALQUAY_PORTS_ENGINEPORT_H_INCLUDED
#define QUETZALQUAY_PORTS_ENGINEPORT_H_INCLUDED

#include "core/GenerationActions.h"
#include "core/RefCounted.h"
#include "core/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Name and network address of a target.
struct TargetAddress
{
  std::string mName;
  std::string mHost;
  int mPort = 0;
};

// Request to an engine to start a stream or to continue one.
struct EngineStartRequest
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
  // Empty when the stream is started for the first time.
  std::string mGeneration;
  // Tokens generated so far, when the stream is continued.
  std::vector<int> mTokens;
  // W3C trace context of the attempt's span.
  std::string mTraceParent;
  // Caller's idempotency key; empty when it sent none.
  std::string mCallerKey;
};

// Load that an engine reports about itself.
struct EngineLoadReport
{
  // Identifies one run of the engine's process.
  std::string mIncarnation;
  // "ready", "loading" or "leaving".
  std::string mState;
  // Requests that are running and that are queued.
  int mRunning = 0;
  int mWaiting = 0;
};

// Events of an engine's prefix cache, as the engine published them.
struct EngineCacheReport
{
  struct Entry
  {
    // Hexadecimal.
    std::string mPrefixHash;
    // Whether the prefix was stored; else it was removed.
    bool mStored = false;
  };

  std::vector<Entry> mEntries;
  // Oldest and newest sequence numbers that the engine retains.
  int mOldestSequence = 0;
  int mNewestSequence = 0;
};

// Receives the stream of one attempt, on a thread of the port.
class EngineSink : public RefCounted<EngineSink>
{
public:
  virtual ~EngineSink() = default;

  // Called for each event. Returning false ends the stream.
  virtual bool OnStreamEvent(StreamEvent aEvent) = 0;

  // Called when the stream ends without a finish event; at most once, and
  // after all events.
  virtual void OnStreamEnd(int aAttempt, AttemptEnd aEnd) = 0;
};

// One open stream.
class EngineStream : public RefCounted<EngineStream>
{
public:
  virtual ~EngineStream() = default;

  // Closes the connection. Events that are already being delivered may still
  // reach the sink.
  virtual void Close() = 0;
};

// Model engines, independent of the protocol that they use.
class EnginePort
{
public:
  virtual ~EnginePort() = default;

  // Starts or continues a stream. Does not block.
  virtual RefPtr<EngineStream> Start(const TargetAddress& aTarget,
                                     EngineStartRequest aStart,
                                     RefPtr<EngineSink> aSink) = 0;

  // Reattaches to a running stream and reads it from token index aFrom on. Does
  // not block.
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

  // Reads the engine's load. Returns nothing when the engine does not answer
  // within aTimeout, and sets aRefused to whether it refused the connection.
  virtual std::optional<EngineLoadReport> ReadLoad(const TargetAddress& aTarget,
                                                   Duration aTimeout,
                                                   bool& aRefused) = 0;

  // Reads the cache events after sequence number aAfter. Returns nothing when
  // the engine does not answer within aTimeout.
  virtual std::optional<EngineCacheReport>
  ReadCache(const TargetAddress& aTarget, int aAfter, Duration aTimeout) = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_PORTS_ENGINEPORT_H_INCLUDED
