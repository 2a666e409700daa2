#ifndef QUETZALQUAY_STANDIN_FAULTINJECTIONSERVER_H_INCLUDED
#define QUETZALQUAY_STANDIN_FAULTINJECTIONSERVER_H_INCLUDED

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

// HTTP server of a stand-in with fault injection. A second endpoint, which the
// faults do not affect, accepts faults and returns the stand-in's records.
class FaultInjectionServer
{
public:
  struct Hooks
  {
    // Adds the stand-in's own routes; called at every start and restart.
    std::function<void(HttpServer&)> mAddRoutes;
    // Discards the state that a real process would lose; called when the
    // server is killed and again before it restarts.
    std::function<void()> mResetState;
    // Returns the records as JSON.
    std::function<std::string()> mRecords;
    // Injects a fault specific to this stand-in. Returns false if the kind is
    // unknown. Optional.
    std::function<bool(const std::string& aKind, Time aUntil, double aFactor)>
      mOnFault;
  };

  FaultInjectionServer(schema::Endpoint aListen,
                       schema::Endpoint aControl,
                       Hooks aHooks);
  ~FaultInjectionServer();

  // Binds both endpoints. Returns nothing on success, else the error.
  std::optional<std::string> Start();
  void Stop();

  FaultGate& Faults() { return mFaults; }

private:
  void OnFault(const HttpRequest& aRequest, HttpResponse& aResponse);
  void KillUntil(Time aRestartAt);
  bool Listen();

  schema::Endpoint mListen;
  schema::Endpoint mControl;
  Hooks mHooks;
  FaultGate mFaults;
  std::mutex mMutex;
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<HttpServer> mControlServer;
  std::thread mRestartThread;
  bool mStopping = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_STANDIN_FAULTINJECTIONSERVER_H_INCLUDED
