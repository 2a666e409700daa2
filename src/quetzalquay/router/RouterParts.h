#ifndef QUETZALQUAY_ROUTER_ROUTERPARTS_H_INCLUDED
#define QUETZALQUAY_ROUTER_ROUTERPARTS_H_INCLUDED

#include <atomic>
#include <string>

namespace quetzalquay {

class CancelQueue;
class ConfigurationFollower;
class EnginePort;
class EventIdCodec;
class ExplainStore;
class FenceService;
class JournalWriter;
class RouterMetrics;
class SessionRegistry;
class SnapshotStore;
class TargetDirectory;
class TargetPoller;
class ThreadPool;
class Tracer;

// How far the planned stop of a router has come. Only ever goes forward.
struct RouterLifecycle
{
  // No new requests are taken.
  std::atomic<bool> mStopping{ false };
  // Open streams end now; their callers go on elsewhere with their event ids.
  std::atomic<bool> mHandOver{ false };
};

// What the sessions of one router share. All parts outlive the sessions.
struct RouterParts
{
  std::string mRouterName;
  std::string mIncarnation;
  SnapshotStore* mSnapshots = nullptr;
  ConfigurationFollower* mFollower = nullptr;
  TargetDirectory* mTargets = nullptr;
  TargetPoller* mPoller = nullptr;
  EnginePort* mEngines = nullptr;
  ThreadPool* mThreads = nullptr;
  CancelQueue* mCancels = nullptr;
  SessionRegistry* mSessions = nullptr;
  EventIdCodec* mEventIds = nullptr;
  // Null without a platform; then non-idempotent requests do not continue.
  FenceService* mFences = nullptr;
  // Null when the journal is off.
  JournalWriter* mJournal = nullptr;
  RouterMetrics* mMetrics = nullptr;
  Tracer* mTracer = nullptr;
  ExplainStore* mExplain = nullptr;
  RouterLifecycle* mLifecycle = nullptr;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_ROUTERPARTS_H_INCLUDED
