#include "gateway/ServerDirectory.h"

#include <algorithm>

namespace quetzalquay {

namespace {

constexpr Duration kDefaultIdleTimeout = std::chrono::milliseconds(2000);

} // namespace

const TargetLocation*
TargetDirectory::Locate(const std::string& aServer)
{
  return mFleet.Locate(aServer);
}

Duration
TargetDirectory::IdleTimeout() const
{
  return kDefaultIdleTimeout;
}

void
TargetDirectory::OnAlive(const std::string& aServer, Time aNow)
{
  mFleet.Targets().OnAlive(aServer, aNow);
  if (const TargetLocation* location = Locate(aServer)) {
    mFleet.Reach().OnReached(location->mService, aServer, aNow);
  }
}

void
TargetDirectory::OnConnected(const std::string& aServer, Time aNow)
{
  mFleet.Targets().OnConnected(aServer, aNow);
  if (const TargetLocation* location = Locate(aServer)) {
    mFleet.Reach().OnConnected(location->mService, aServer, aNow);
  }
}

void
TargetDirectory::OnNotConnected(const std::string& aServer, Time aNow)
{
  if (const TargetLocation* location = Locate(aServer)) {
    mFleet.Reach().OnNotReached(location->mService, aServer, aNow);
  }
}

void
TargetDirectory::OnConnectionLost(const std::string& aServer, Time aNow)
{
  if (const TargetLocation* location = Locate(aServer)) {
    mFleet.Reach().OnConnectionLost(location->mService, aServer, aNow);
  }
}

void
TargetDirectory::OnSent(const std::string& aServer, Time aNow)
{
  if (const TargetLocation* location = Locate(aServer)) {
    mFleet.Reach().OnSent(location->mService, aServer, aNow);
  }
}

void
TargetDirectory::OnIdleConnectionBroken(const std::string& aServer, Time aNow)
{
  mFleet.Targets().OnConnectionBroken(aServer, aNow);
}

void
TargetDirectory::OnOtherStart(const std::string& aServer,
                              const platform::TargetReport& aReport,
                              Time aNow)
{
  mFleet.Targets().OnLoadReport(aServer,
                                aReport.mIncarnation,
                                "ready",
                                aReport.mRunning,
                                aReport.mWaiting,
                                aNow);
}

const TargetLocation*
HostDirectory::Locate(const std::string& aServer)
{
  const auto address = mFleet.AddressOf(aServer, EventLoop::Now());
  if (!address || mRelayPort == 0) {
    return nullptr;
  }
  mLocation.mEndpoint = Endpoint(*address, mRelayPort);
  mLocation.mAddress = FormatEndpoint(mLocation.mEndpoint);
  return &mLocation;
}

// Hosts close idle connections of other hosts like those of callers.
Duration
HostDirectory::IdleTimeout() const
{
  const auto& routing = mFleet.Routing();
  return routing == nullptr
           ? kDefaultIdleTimeout
           : std::min(kDefaultIdleTimeout, routing->mLimits.mIdleTimeout);
}

} // namespace quetzalquay
