#ifndef QUETZALQUAY_STANDIN_MORTALSERVER_H_INCLUDED
#define QUETZALQUAY_STANDIN_MORTALSERVER_H_INCLUDED

#include "generated/settings.pb.h"
#include "standin/FaultGate.h"
#include "wire/HttpServer.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace quetzalquay {

// HTTP server of a stand-in that can be told to fail: a second, reliable
// address takes faults and gives records.
class MortalServer
{
public:
  struct Hooks
  {
    // Adds the stand-in's own routes; called at the start of each life.
    std::function<void(HttpServer&)> mAddRoutes;
    // Forgets all state at a death.
    std::function<void()> mOnDeath;
    // Records as JSON.
    std::function<std::string()> mRecords;
    // Faults that only this stand-in knows; returns whether it knew this one.
    std::function<bool(const std::string& aKind, Time aUntil, double aFactor)>
      mOnFault;
  };

  MortalServer(schema::Endpoint aListen,
               schema::Endpoint aControl,
               Hooks aHooks);
  ~MortalServer();

  std::optional<std::string> Start();
  void Stop();

  FaultGate& Faults() { return mFaults; }

private:
  void OnFault(const HttpRequest& aRequest, HttpResponse& aResponse);
  void Die(Time aReviveAt);
  bool Listen();

  schema::Endpoint mListen;
  schema::Endpoint mControl;
  Hooks mHooks;
  FaultGate mFaults;
  std::mutex mMutex;
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<HttpServer> mControlServer;
  std::thread mDeath;
  bool mStopping = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_STANDIN_MORTALSERVER_H_INCLUDED
