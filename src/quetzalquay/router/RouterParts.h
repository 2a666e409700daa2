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

// Progress of a router's graceful shutdown. The flags are set and never
// cleared.
struct RouterLifecycle
{
  // New requests are rejected.
  std::atomic<bool> mStopping{ false };
  // Open streams are cut; their callers resume on another router with the last
  // event ID.
  std::atomic<bool> mHandingOver{ false };
};

// Components that the sessions of one router share. All outlive the sessions.
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
  CancelQueue* mCancelQueue = nullptr;
  SessionRegistry* mSessions = nullptr;
  EventIdCodec* mEventIds = nullptr;
  // Null without a platform; non-idempotent requests are then not continued on
  // another target.
  FenceService* mFenceService = nullptr;
  // Null when the journal is disabled.
  JournalWriter* mJournal = nullptr;
  RouterMetrics* mMetrics = nullptr;
  Tracer* mTracer = nullptr;
  ExplainStore* mExplainStore = nullptr;
  RouterLifecycle* mLifecycle = nullptr;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_ROUTERPARTS_H_INCLUDED
