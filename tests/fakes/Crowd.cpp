#include "Crowd.h"

#include "http/HttpReader.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <filesystem>
#include <netinet/in.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

using namespace quetzalquay;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

const std::string kKeyField = "Authorization: Bearer key\r\n";

namespace {

// Time that a connection of a crowd waits for room to send.
constexpr milliseconds kSendPatience{ 200 };

// Attempts of an ordinary caller, and the pause after one that was rejected.
constexpr int kAttempts = 12;
constexpr milliseconds kRetryPause{ 500 };

// Time after a crowd is sent until it has been read.
constexpr milliseconds kReadTime{ 1000 };

std::string
HeadOfChunked(const std::string& aTarget, const std::string& aFields)
{
  return "POST " + aTarget + " HTTP/1.1\r\nHost: host\r\n" + aFields +
         "Transfer-Encoding: chunked\r\n\r\n";
}

bool
IsClosed(int aSocket)
{
  char byte = 0;
  pollfd polled{ aSocket, POLLIN, 0 };
  return ::poll(&polled, 1, 0) == 1 &&
         ::recv(aSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

void
ResetSocket(int aSocket)
{
  const linger none{ 1, 0 };
  ::setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &none, sizeof none);
  ::close(aSocket);
}

} // namespace

int
ConnectTo(const std::string& aIp, int aPort, int aReceiveBytes)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBytes > 0) {
    ::setsockopt(
      fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof aReceiveBytes);
  }
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(aPort));
  ::inet_pton(AF_INET, aIp.c_str(), &to.sin_addr);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

bool
SendSome(int aSocket, const std::string& aBytes, milliseconds aPatience)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    pollfd writable{ aSocket, POLLOUT, 0 };
    if (::poll(&writable, 1, static_cast<int>(aPatience.count())) != 1) {
      return false;
    }
    const auto n = ::send(aSocket,
                          aBytes.data() + sent,
                          aBytes.size() - sent,
                          MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

std::string
Chunk(std::size_t aBytes)
{
  std::ostringstream size;
  size << std::hex << aBytes;
  return size.str() + "\r\n" + std::string(aBytes, 'x') + "\r\n";
}

std::string
UnfinishedRequest(const std::string& aTarget,
                  const std::string& aFields,
                  std::size_t aBytes,
                  std::size_t aChunkBytes)
{
  std::string text = HeadOfChunked(aTarget, aFields);
  for (std::size_t n = 0; n < aBytes; n += aChunkBytes) {
    text += Chunk(aChunkBytes);
  }
  return text;
}

std::string
ChunkedRequest(const std::string& aTarget,
               const std::string& aFields,
               std::size_t aBytes)
{
  return UnfinishedRequest(aTarget, aFields, aBytes, aBytes) + "0\r\n\r\n";
}

Crowd::Crowd(std::string aIp, int aPort, CrowdPlan aPlan)
  : mIp(std::move(aIp))
  , mPort(aPort)
  , mPlan(std::move(aPlan))
{
  for (int n = 0; n < mPlan.mCount; ++n) {
    mSockets.push_back(Open());
    CPPUNIT_ASSERT_MESSAGE("a connection was refused", mSockets.back() >= 0);
  }
  std::this_thread::sleep_for(kReadTime);
  if (!mPlan.mDrip.empty() || mPlan.mReopens || mPlan.mRenews || mPlan.mReads) {
    mThread = std::thread([this] { Play(); });
  }
  std::this_thread::sleep_for(mPlan.mLeadTime);
}

Crowd::~Crowd()
{
  Reset();
}

void
Crowd::Reset()
{
  mEnding = true;
  if (mThread.joinable()) {
    mThread.join();
  }
  for (const int it : mSockets) {
    ResetSocket(it);
  }
  mSockets.clear();
}

int
Crowd::Open()
{
  const int fd = ConnectTo(mIp, mPort, mPlan.mReceiveBytes);
  if (fd >= 0) {
    SendSome(fd, mPlan.mFirst, kSendPatience);
  }
  return fd;
}

void
Crowd::Play()
{
  while (!mEnding) {
    PlayOnce();
    std::this_thread::sleep_for(mPlan.mInterval);
  }
}

void
Crowd::PlayOnce()
{
  for (int& it : mSockets) {
    if (mEnding) {
      return;
    }
    if (it < 0 || mPlan.mRenews || (mPlan.mReopens && IsClosed(it))) {
      ::close(it);
      it = Open();
    } else if (!mPlan.mDrip.empty()) {
      SendSome(it, mPlan.mDrip, milliseconds(0));
    }
    if (char byte = 0; mPlan.mReads) {
      (void)!::recv(it, &byte, 1, MSG_DONTWAIT);
    }
  }
}

int
ReadStatus(int aSocket)
{
  HttpReader reader(HttpMessageType::Responses, { 65536, 1U << 20U });
  const auto until = steady_clock::now() + kAnswerTime;
  char buf[4096];
  while (reader.Progress() != HttpProgress::Complete &&
         reader.Progress() != HttpProgress::Broken) {
    const auto left =
      std::chrono::duration_cast<milliseconds>(until - steady_clock::now());
    pollfd readable{ aSocket, POLLIN, 0 };
    if (left.count() <= 0 ||
        ::poll(&readable, 1, static_cast<int>(left.count())) != 1) {
      break;
    }
    const auto n = ::recv(aSocket, buf, sizeof buf, 0);
    if (n <= 0) {
      break;
    }
    reader.Feed(std::string_view(buf, static_cast<std::size_t>(n)));
  }
  return reader.Progress() == HttpProgress::Complete ? reader.Head().mStatus
                                                     : 0;
}

int
StatusOf(const std::string& aIp, int aPort, const std::string& aRequest)
{
  const int fd = ConnectTo(aIp, aPort);
  if (fd < 0) {
    return 0;
  }
  SendSome(fd, aRequest, kAnswerTime);
  const int status = ReadStatus(fd);
  ::close(fd);
  return status;
}

std::string
Statuses(const std::string& aIp, int aPort, const std::string& aRequest)
{
  std::string statuses;
  for (int n = 0; n < kAttempts; ++n) {
    const int status = StatusOf(aIp, aPort, aRequest);
    statuses += (n == 0 ? "" : " ") + std::to_string(status);
    if (status == 200) {
      break;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  return statuses;
}

void
RequireServed(const std::string& aStatuses)
{
  CPPUNIT_ASSERT_MESSAGE("statuses: " + aStatuses,
                         aStatuses.size() >= 3 &&
                           aStatuses.substr(aStatuses.size() - 3) == "200");
}

std::size_t
DescriptorsOf(pid_t aProcess)
{
  std::size_t count = 0;
  std::error_code ec;
  for (const auto& it : std::filesystem::directory_iterator(
         "/proc/" + std::to_string(aProcess) + "/fd", ec)) {
    count += it.path().empty() ? 0 : 1;
  }
  return count;
}
