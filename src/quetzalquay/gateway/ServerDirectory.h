#ifndef QUETZALQUAY_GATEWAY_SERVERDIRECTORY_H_INCLUDED
#define QUETZALQUAY_GATEWAY_SERVERDIRECTORY_H_INCLUDED

#include "gateway/Fleet.h"
#include "platform/PlatformRequests.h"

#include <map>
#include <string>

namespace quetzalquay {

// Where the servers are that a connection pool connects to. Learns from the
// pool what its connections show of them.
class ServerDirectory
{
public:
  virtual ~ServerDirectory() = default;

  // Location of a server, or nullptr if it is not known. Valid until the next
  // call.
  virtual const TargetLocation* Locate(const std::string& aServer) = 0;

  // Idle timeout of connections to a server that announces none.
  virtual Duration IdleTimeout() const = 0;

  // A server has sent bytes.
  virtual void OnAlive(const std::string&, Time) {}

  // A connection has been established, or has not been by a connection attempt
  // that was refused or long enough. The kernel of a server whose process
  // stands still goes on accepting connections.
  virtual void OnConnected(const std::string&, Time) {}
  virtual void OnNotConnected(const std::string&, Time) {}

  // An established connection was reset, or ended within an answer.
  virtual void OnConnectionLost(const std::string&, Time) {}

  // A request has been written to a server.
  virtual void OnSent(const std::string&, Time) {}

  // An idle connection to a server was reset.
  virtual void OnIdleConnectionBroken(const std::string&, Time) {}

  // The report of a server shows another start than its entry.
  virtual void OnOtherStart(const std::string&,
                            const platform::TargetReport&,
                            Time)
  {
  }
};

// The targets.
class TargetDirectory : public ServerDirectory
{
public:
  explicit TargetDirectory(Fleet& aFleet)
    : mFleet(aFleet)
  {
  }

  const TargetLocation* Locate(const std::string& aServer) override;
  Duration IdleTimeout() const override;
  void OnAlive(const std::string& aServer, Time aNow) override;
  void OnConnected(const std::string& aServer, Time aNow) override;
  void OnNotConnected(const std::string& aServer, Time aNow) override;
  void OnConnectionLost(const std::string& aServer, Time aNow) override;
  void OnSent(const std::string& aServer, Time aNow) override;
  void OnIdleConnectionBroken(const std::string& aServer, Time aNow) override;
  void OnOtherStart(const std::string& aServer,
                    const platform::TargetReport& aReport,
                    Time aNow) override;

private:
  Fleet& mFleet;
};

// The other hosts, at the port on which they receive requests that are passed
// on. Knows none if that port is 0.
class HostDirectory : public ServerDirectory
{
public:
  HostDirectory(Fleet& aFleet, unsigned short aRelayPort)
    : mFleet(aFleet)
    , mRelayPort(aRelayPort)
  {
  }

  // Port at which the hosts receive requests, 0 if they receive none.
  void SetRelayPort(unsigned short aRelayPort) { mRelayPort = aRelayPort; }

  const TargetLocation* Locate(const std::string& aServer) override;
  Duration IdleTimeout() const override;

private:
  Fleet& mFleet;
  unsigned short mRelayPort;
  TargetLocation mLocation;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_SERVERDIRECTORY_H_INCLUDED
