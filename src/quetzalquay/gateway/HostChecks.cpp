#include "gateway/HostChecks.h"

#include "gateway/PassedOnRequest.h"

#include <utility>

namespace quetzalquay {

namespace {

// A busy host answers later than an idle one.
constexpr Duration kCheckTimeout = std::chrono::milliseconds(700);

} // namespace

HostChecks::HostChecks(EventLoop& aLoop,
                       HostDirectory& aHosts,
                       ReplyBuffers& aReplies)
  : mLoop(aLoop)
  , mHosts(aHosts)
  , mReplies(aReplies)
{
}

void
HostChecks::Check(const std::string& aHost, Callback aCallback)
{
  PendingCheck& check = mChecks[aHost];
  check.mCallbacks.push_back(std::move(aCallback));
  if (check.mCallbacks.size() > 1) {
    return;
  }
  const TargetLocation* location = mHosts.Locate(aHost);
  if (location == nullptr) {
    mLoop.Defer([this, aHost] { Finish(aHost, false); });
    return;
  }
  if (check.mClient == nullptr || check.mEndpoint != location->mEndpoint) {
    check.mEndpoint = location->mEndpoint;
    check.mClient = std::make_unique<AsyncHttpClient>(
      mLoop, check.mEndpoint, mReplies, ReplyKind::HostCheck);
  }
  check.mClient->Call(
    std::string("GET ") + kHostCheckPath +
      " HTTP/1.1\r\nHost: " + location->mAddress + "\r\n\r\n",
    EventLoop::Now() + kCheckTimeout,
    [this, aHost](const std::optional<HttpReply>& aReply, const std::string&) {
      Finish(aHost, aReply.has_value());
    });
}

void
HostChecks::Finish(const std::string& aHost, bool aAnswers)
{
  const auto callbacks = std::exchange(mChecks[aHost].mCallbacks, {});
  for (const Callback& it : callbacks) {
    it(aAnswers);
  }
}

} // namespace quetzalquay
