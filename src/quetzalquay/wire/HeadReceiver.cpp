#include "wire/HeadReceiver.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace quetzalquay {

namespace {

// Bytes that are read at a time, and of one connection before others have
// their turn.
constexpr std::size_t kReadBytes = 4096;
constexpr std::size_t kMaxReadBytes = 65536;

constexpr int kMaxEvents = 64;

// Interval at which connections are checked for their time-outs, and at which
// one that waits for room looks for it.
constexpr std::chrono::milliseconds kCheckInterval{ 250 };
constexpr std::chrono::milliseconds kRoomInterval{ 20 };

// Connections that are looked at to make room for a new one. Requests may have
// arrived on some of them.
constexpr int kMaxEvictionTries = 16;

constexpr char kEndOfHead[] = "\r\n\r\n";
constexpr std::size_t kEndOfHeadBytes = 4;

Time
Now()
{
  return std::chrono::steady_clock::now();
}

std::uint32_t
AddressOf(int aSocket)
{
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  const bool isKnown =
    ::getpeername(aSocket, reinterpret_cast<sockaddr*>(&peer), &size) == 0 &&
    peer.sin_family == AF_INET;
  return isKnown ? ntohl(peer.sin_addr.s_addr) : 0;
}

} // namespace

HttpConnection::HttpConnection(int aSocket)
  : mSocket(aSocket)
  , mAddress(AddressOf(aSocket))
  , mOpened(Now())
{
}

HttpConnection::~HttpConnection()
{
  ::shutdown(mSocket, SHUT_RDWR);
  ::close(mSocket);
}

void
HttpConnection::SendLast(const std::string& aText)
{
  (void)!::send(
    mSocket, aText.data(), aText.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  ::shutdown(mSocket, SHUT_WR);
  std::array<char, kReadBytes> buf{};
  for (std::size_t n = 0; n < kMaxReadBytes; n += kReadBytes) {
    if (::recv(mSocket, buf.data(), buf.size(), MSG_DONTWAIT) <= 0) {
      break;
    }
  }
}

HeadReceiver::HeadReceiver(Options aOptions, Callbacks aCallbacks)
  : mOptions(aOptions)
  , mCallbacks(std::move(aCallbacks))
  , mEpoll(::epoll_create1(EPOLL_CLOEXEC))
  , mWakeEvent(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = mWakeEvent;
  ::epoll_ctl(mEpoll, EPOLL_CTL_ADD, mWakeEvent, &event);
  mThread = std::thread([this] { Run(); });
}

HeadReceiver::~HeadReceiver()
{
  Stop();
  ::close(mWakeEvent);
  ::close(mEpoll);
}

void
HeadReceiver::Add(int aSocket)
{
  const auto connection = MakeRef<HttpConnection>(aSocket);
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopping && mOpen >= mOptions.mMaxConnections && !MakeRoom(Now())) {
    mIsAwaited = true;
    mChanged.wait_for(lock, kRoomInterval);
  }
  mIsAwaited = false;
  if (mOpen++ == 0) {
    Wake();
  }
  Watch(connection);
  Receive(connection);
}

void
HeadReceiver::Return(const RefPtr<HttpConnection>& aConnection)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!mStopping) {
      aConnection->mSearched = 0;
      Watch(aConnection);
      if (mIsAwaited &&
          aConnection.get() ==
            mEvictions.ForConnection(mOptions.mMaxConnections, Now())) {
        ReadHead(*aConnection);
        Evict(aConnection);
      } else {
        Receive(aConnection);
      }
      return;
    }
  }
  Release(aConnection);
}

void
HeadReceiver::Release(const RefPtr<HttpConnection>& aConnection)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mEvictions.Remove(*aConnection);
    --mOpen;
  }
  mChanged.notify_one();
}

std::size_t
HeadReceiver::OpenCount()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mOpen;
}

void
HeadReceiver::BeginStop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
}

void
HeadReceiver::Stop()
{
  BeginStop();
  if (!mThread.joinable()) {
    return;
  }
  Wake();
  mThread.join();
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto connections = mReceiving;
  for (const auto& it : connections) {
    if (!Receive(it.second)) {
      Forget(*it.second);
    }
  }
}

void
HeadReceiver::Wake() const
{
  const std::uint64_t one = 1;
  (void)!::write(mWakeEvent, &one, sizeof one);
}

void
HeadReceiver::Run()
{
  std::array<epoll_event, kMaxEvents> events{};
  bool isIdle = true;
  for (;;) {
    const int n =
      ::epoll_wait(mEpoll,
                   events.data(),
                   kMaxEvents,
                   isIdle ? -1 : static_cast<int>(kCheckInterval.count()));
    mCallbacks.mOnCheck();
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mStopping) {
      return;
    }
    std::uint64_t wakes = 0;
    (void)!::read(mWakeEvent, &wakes, sizeof wakes);
    for (int at = 0; at < n; ++at) {
      const auto found = mReceiving.find(events[at].data.fd);
      if (found != mReceiving.end()) {
        Receive(RefPtr<HttpConnection>(found->second));
      }
    }
    CloseExpired(Now());
    isIdle = mOpen == 0;
  }
}

void
HeadReceiver::Watch(const RefPtr<HttpConnection>& aConnection)
{
  aConnection->mSince = aConnection->mLastInput = Now();
  mReceiving.emplace(aConnection->mSocket, aConnection);
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = aConnection->mSocket;
  ::epoll_ctl(mEpoll, EPOLL_CTL_ADD, aConnection->mSocket, &event);
  PlaceEviction(*aConnection);
}

void
HeadReceiver::Unwatch(const HttpConnection& aConnection)
{
  ::epoll_ctl(mEpoll, EPOLL_CTL_DEL, aConnection.mSocket, nullptr);
  mReceiving.erase(aConnection.mSocket);
}

void
HeadReceiver::Forget(HttpConnection& aConnection)
{
  Unwatch(aConnection);
  mEvictions.Remove(aConnection);
  --mOpen;
}

void
HeadReceiver::PlaceEviction(HttpConnection& aConnection)
{
  const ConnectionUse use = aConnection.mIsKnown ? ConnectionUse::IdleKeyed
                                                 : ConnectionUse::Unidentified;
  mEvictions.Place(aConnection,
                   use,
                   aConnection.mAddress,
                   EvictableFrom(use,
                                 { aConnection.mOpened,
                                   aConnection.mSince,
                                   aConnection.mLastInput,
                                   mOptions.mIdleTimeout }));
}

// Reads what has been received, and passes the connection on if its head is
// complete. Returns whether it has been passed on or has ended.
bool
HeadReceiver::Receive(const RefPtr<HttpConnection>& aConnection)
{
  switch (ReadHead(*aConnection)) {
    case Receipt::Unfinished:
      return false;
    case Receipt::Complete:
      Unwatch(*aConnection);
      mEvictions.Suspend(*aConnection);
      mCallbacks.mOnHead(aConnection);
      return true;
    case Receipt::Ended:
      break;
  }
  Forget(*aConnection);
  mChanged.notify_one();
  return true;
}

void
HeadReceiver::Evict(const RefPtr<HttpConnection>& aConnection)
{
  const std::string text = mCallbacks.mOnEviction(aConnection->Use(), mOpen);
  if (!aConnection->mInput.empty()) {
    aConnection->SendLast(text);
  }
  Forget(*aConnection);
  mChanged.notify_one();
}

HeadReceiver::Receipt
HeadReceiver::ReadHead(HttpConnection& aConnection) const
{
  std::string& input = aConnection.mInput;
  std::array<char, kReadBytes> buf{};
  for (std::size_t read = 0; read < kMaxReadBytes;) {
    const Receipt receipt = FindEndOfHead(aConnection);
    if (receipt != Receipt::Unfinished) {
      return receipt;
    }
    const auto n =
      ::recv(aConnection.mSocket, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return Receipt::Unfinished;
    }
    if (n <= 0) {
      return Receipt::Ended;
    }
    read += static_cast<std::size_t>(n);
    input.append(buf.data(), static_cast<std::size_t>(n));
    aConnection.mLastInput = Now();
  }
  return FindEndOfHead(aConnection);
}

HeadReceiver::Receipt
HeadReceiver::FindEndOfHead(HttpConnection& aConnection) const
{
  const std::string& input = aConnection.mInput;
  const std::size_t from = aConnection.mSearched -
                           std::min(aConnection.mSearched, kEndOfHeadBytes - 1);
  if (input.find(kEndOfHead, from) != std::string::npos) {
    return Receipt::Complete;
  }
  aConnection.mSearched = input.size();
  const std::size_t end = input.rfind('\n');
  const std::size_t line = end == std::string::npos ? 0 : end + 1;
  const bool isTooLong = input.size() > mOptions.mMaxHeadBytes ||
                         input.size() - line > mOptions.mMaxLineBytes;
  return isTooLong ? Receipt::Ended : Receipt::Unfinished;
}

// Closes a connection for a new one. Returns false if none can be closed.
bool
HeadReceiver::MakeRoom(Time aNow)
{
  for (int n = 0; n < kMaxEvictionTries; ++n) {
    Evictable* first = mEvictions.ForConnection(mOptions.mMaxConnections, aNow);
    if (first == nullptr) {
      return false;
    }
    const RefPtr<HttpConnection> connection(
      static_cast<HttpConnection*>(first));
    if (!Receive(connection)) {
      Evict(connection);
    }
    if (mOpen < mOptions.mMaxConnections) {
      return true;
    }
  }
  return false;
}

void
HeadReceiver::CloseExpired(Time aNow)
{
  bool closed = false;
  for (auto it = mReceiving.begin(); it != mReceiving.end();) {
    const RefPtr<HttpConnection> connection = (it++)->second;
    const Time expiry = connection->mInput.empty()
                          ? connection->mSince + mOptions.mIdleTimeout
                          : connection->mLastInput + mOptions.mReadTimeout;
    if (aNow >= expiry && !Receive(connection)) {
      Forget(*connection);
      closed = true;
    }
  }
  if (closed) {
    mChanged.notify_one();
  }
}

} // namespace quetzalquay
