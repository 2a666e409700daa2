#ifndef QUETZALQUAY_GATEWAY_HOSTCHECKS_H_INCLUDED
#define QUETZALQUAY_GATEWAY_HOSTCHECKS_H_INCLUDED

#include "gateway/ServerDirectory.h"
#include "http/AsyncHttpClient.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quetzalquay {

// Finds out whether another host that is silent still answers. A frozen host
// keeps its connections and accepts new ones, so only an answer tells.
class HostChecks
{
public:
  HostChecks(EventLoop& aLoop, HostDirectory& aHosts, ReplyBuffers& aReplies);

  // Receives whether the host has answered.
  using Callback = std::function<void(bool)>;

  // Asks a host, together with other requests that are being served there. The
  // callback is called once, and never before Check() returns.
  void Check(const std::string& aHost, Callback aCallback);

private:
  struct PendingCheck
  {
    Endpoint mEndpoint;
    std::unique_ptr<AsyncHttpClient> mClient;
    std::vector<Callback> mCallbacks;
  };

  void Finish(const std::string& aHost, bool aAnswers);

  EventLoop& mLoop;
  HostDirectory& mHosts;
  ReplyBuffers& mReplies;
  std::map<std::string, PendingCheck> mChecks;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_HOSTCHECKS_H_INCLUDED
