#include "CallerChannel.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <memory>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace quetzalquay;
using std::chrono::steady_clock;

CallerChannel::CallerChannel(const GatewayProcess& aGateway, int aReceiveBytes)
  : CallerChannel(aGateway.Ip(), aGateway.CallerPort(), aReceiveBytes)
{
}

CallerChannel
CallerChannel::AtPort(const GatewayProcess& aGateway, int aPort)
{
  return CallerChannel(aGateway.Ip(), aPort, 0);
}

CallerChannel::CallerChannel(const std::string& aIp,
                             int aPort,
                             int aReceiveBytes)
  : mSocket(::socket(AF_INET, SOCK_STREAM, 0))
{
  if (aReceiveBytes > 0) {
    ::setsockopt(
      mSocket, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof aReceiveBytes);
  }
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(aPort));
  ::inet_pton(AF_INET, aIp.c_str(), &to.sin_addr);
  if (::connect(mSocket, reinterpret_cast<const sockaddr*>(&to), sizeof to) !=
      0) {
    ::close(mSocket);
    throw std::runtime_error("cannot connect to the gateway");
  }
}

CallerChannel::~CallerChannel()
{
  ::close(mSocket);
}

bool
CallerChannel::Send(const std::string& aBytes) const
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto n =
      ::send(mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Waits for bytes. Returns false when the connection has ended or the time is
// reached.
bool
CallerChannel::Receive(steady_clock::time_point aUntil)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aUntil - steady_clock::now());
  pollfd readable{ mSocket, POLLIN, 0 };
  if (mEnd != ChannelEnd::None ||
      ::poll(&readable, 1, std::max(0, static_cast<int>(left.count()))) != 1) {
    return false;
  }
  char buf[65536];
  const auto n = ::recv(mSocket, buf, sizeof buf, 0);
  if (mBytesPerSecond > 0 && n > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(
      static_cast<double>(n) / static_cast<double>(mBytesPerSecond)));
  }
  if (n <= 0) {
    mEnd = n == 0 ? ChannelEnd::Closed : ChannelEnd::Reset;
    return false;
  }
  mInput.append(buf, static_cast<std::size_t>(n));
  return true;
}

CallerAnswer
CallerChannel::Read(std::chrono::milliseconds aTimeout)
{
  const auto until = steady_clock::now() + aTimeout;
  HttpReader reader(HttpMessageType::Responses, { 65536, 1U << 28U });
  do {
    mInput.erase(0, reader.Feed(mInput));
  } while (reader.Progress() != HttpProgress::Complete &&
           reader.Progress() != HttpProgress::Broken && Receive(until));
  CallerAnswer answer;
  answer.mComplete = reader.Progress() == HttpProgress::Complete;
  answer.mHead = reader.Head();
  answer.mBody = reader.TakeBody();
  answer.mConnectionKept = answer.mHead.mKeepAlive;
  return answer;
}

ChannelEnd
CallerChannel::AwaitEnd(std::chrono::milliseconds aTimeout)
{
  const auto until = steady_clock::now() + aTimeout;
  while (Receive(until)) {
    mInput.clear();
  }
  return mEnd;
}

std::vector<int>
CallDuringFreeze(const GatewayProcess& aGateway,
                 const std::string& aRequest,
                 std::size_t aBytesBefore,
                 int aSignal)
{
  std::vector<std::unique_ptr<CallerChannel>> channels;
  while (channels.size() < kFrozenCalls) {
    channels.push_back(std::make_unique<CallerChannel>(aGateway));
    channels.back()->Send(aRequest.substr(0, aBytesBefore));
  }
  const auto until = steady_clock::now() + CallerChannel::kTimeout;
  while (aGateway.Metric("quetzal_caller_connections") !=
         std::to_string(kFrozenCalls)) {
    if (steady_clock::now() >= until) {
      throw std::runtime_error("the gateway did not accept all connections");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  aGateway.Signal(aSignal);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  aGateway.Signal(SIGSTOP);
  for (const auto& it : channels) {
    it->Send(aRequest.substr(aBytesBefore));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(2700));
  aGateway.Signal(SIGCONT);
  std::vector<int> statuses;
  statuses.reserve(channels.size());
  for (const auto& it : channels) {
    statuses.push_back(it->Read().mHead.mStatus);
  }
  return statuses;
}
