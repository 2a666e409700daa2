#ifndef QUETZALQUAY_TESTS_FAKES_CALLERCHANNEL_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_CALLERCHANNEL_H_INCLUDED

#include "GatewayProcess.h"

#include <chrono>
#include <string>
#include <vector>

// How a caller's connection has ended.
enum class ChannelEnd
{
  // It is still open.
  None,
  Closed,
  // By a TCP reset.
  Reset,
};

// A caller's connection to a gateway for several requests, in whatever pieces
// the caller sends them.
class CallerChannel
{
public:
  // Connects. A receive buffer of aReceiveBytes, if not 0, limits what the
  // gateway can send before the caller reads.
  explicit CallerChannel(const GatewayProcess& aGateway, int aReceiveBytes = 0);

  // Connects to a port of the gateway's own address, such as that for other
  // hosts.
  static CallerChannel AtPort(const GatewayProcess& aGateway, int aPort);
  ~CallerChannel();
  CallerChannel(const CallerChannel&) = delete;
  CallerChannel& operator=(const CallerChannel&) = delete;

  // Sends bytes; returns false when the connection does not take them all.
  bool Send(const std::string& aBytes) const;

  // Reads one answer. It is incomplete when the connection ends or aTimeout
  // passes before its end.
  CallerAnswer Read(std::chrono::milliseconds aTimeout = kTimeout);

  // Limits the rate of reading from now on.
  void ReadSlowly(std::size_t aBytesPerSecond)
  {
    mBytesPerSecond = aBytesPerSecond;
  }

  // Reads and discards until the connection ends or aTimeout passes.
  ChannelEnd AwaitEnd(std::chrono::milliseconds aTimeout = kTimeout);

  // How the connection has ended so far.
  ChannelEnd End() const { return mEnd; }

  static constexpr std::chrono::milliseconds kTimeout{ 10000 };

private:
  CallerChannel(const std::string& aIp, int aPort, int aReceiveBytes);

  bool Receive(std::chrono::steady_clock::time_point aUntil);

  int mSocket;
  // Received bytes that no answer has consumed.
  std::string mInput;
  // 0 without a limit.
  std::size_t mBytesPerSecond = 0;
  ChannelEnd mEnd = ChannelEnd::None;
};

// Requests of CallDuringFreeze(): more than the event loop of a gateway reads
// between two looks at its timers.
constexpr std::size_t kFrozenCalls = 300;

// Opens kFrozenCalls connections that send aBytesBefore bytes of a request, and
// the rest while the gateway, to which aSignal was sent first, is frozen for
// 2.7 s. Returns the statuses of the answers, 0 where there is none.
std::vector<int>
CallDuringFreeze(const GatewayProcess& aGateway,
                 const std::string& aRequest,
                 std::size_t aBytesBefore,
                 int aSignal = 0);

#endif // QUETZALQUAY_TESTS_FAKES_CALLERCHANNEL_H_INCLUDED
