#include "wire/HttpServer.h"

#include "wire/ThreadPool.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <cstdint>
#include <httplib.h>
#include <limits>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace quetzalquay {

namespace {

// Requests served on one connection before it is closed.
constexpr std::size_t kMaxKeepAliveRequests = 100000;

// Connections that may wait to be accepted. With the library's backlog of 5,
// the peers of a larger burst wait a second before they retry the connect.
constexpr int kListenBacklog = 1024;

// While connections wait for a thread, a body is given up that has taken so
// long and has arrived at a lower rate. Callers that send at the rate of a slow
// link are not affected.
constexpr Duration kBodyGrace = std::chrono::seconds(2);
constexpr double kMinBodyBytesPerSecond = 16384;

// Bytes and time for which the body of an unknown sender is read, so that the
// sender gets its response before the connection is closed.
constexpr std::size_t kMaxDiscardedBytes = 1U << 20U;
constexpr Duration kMaxDiscardTime = std::chrono::seconds(1);

// Part of the connections on which bodies of unknown senders are read.
constexpr std::size_t kUnknownSenderDivisor = 8;

// How far the body of a request was received.
enum class BodyEnd
{
  Complete,
  // The connection has ended or fallen silent, or the body is malformed.
  Failed,
  TooLarge,
  // It takes memory or a thread that other requests need.
  NoMemory,
  TooSlow,
  // The server is stopping.
  Stopping,
};

int
StatusOf(BodyEnd aEnd)
{
  switch (aEnd) {
    case BodyEnd::TooLarge:
      return 413;
    case BodyEnd::NoMemory:
    case BodyEnd::Stopping:
      return 503;
    case BodyEnd::TooSlow:
      return 408;
    case BodyEnd::Complete:
    case BodyEnd::Failed:
      break;
  }
  return 400;
}

// Connections that wait for a thread, shared by a server and its task queue.
class ConnectionQueue
{
public:
  // aMaxWaiting is the number of connections that may wait.
  explicit ConnectionQueue(std::size_t aMaxWaiting)
    : mMaxWaiting(aMaxWaiting)
  {
  }

  // Adds a connection, as soon as fewer are waiting.
  void Add()
  {
    std::unique_lock<std::mutex> lock(mMutex);
    mChanged.wait(lock, [this] { return mStopping || mWaiting < mMaxWaiting; });
    ++mWaiting;
  }

  void Remove()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      --mWaiting;
    }
    mChanged.notify_one();
  }

  // From now on all connections are added at once.
  void Stop()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mStopping = true;
    }
    mChanged.notify_all();
  }

  bool IsEmpty() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mWaiting == 0;
  }

  bool IsStopping() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mStopping;
  }

private:
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::size_t mMaxWaiting;
  std::size_t mWaiting = 0;
  bool mStopping = false;
};

// Runs the library's connections on a bounded thread pool. Accepts no more
// connections than may wait; further ones wait in the system's backlog, where
// they take no descriptors.
class ThreadPoolTaskQueue : public httplib::TaskQueue
{
public:
  ThreadPoolTaskQueue(std::size_t aThreads, ConnectionQueue& aQueue)
    : mQueue(aQueue)
    , mPool(aThreads)
  {
  }

  void enqueue(std::function<void()> aTask) override
  {
    mQueue.Add();
    mPool.Submit([this, task = std::move(aTask)] {
      mQueue.Remove();
      task();
    });
  }

  void shutdown() override { mPool.Stop(); }

private:
  ConnectionQueue& mQueue;
  ThreadPool mPool;
};

// Longest line of a request, which the library limits only when it has read
// all of it, and longest head. The library takes lines of 8,192 bytes.
constexpr std::size_t kMaxLineBytes = 16384;
constexpr std::size_t kMaxHeadBytes = 262144;

// Interval at which an idle connection checks whether the server is stopping.
constexpr std::chrono::milliseconds kIdleCheckInterval{ 100 };

// Waits for an event of a socket. Returns whether it has happened.
bool
AwaitSocket(socket_t aSocket, short aEvent, std::chrono::milliseconds aTimeout)
{
  pollfd polled{ aSocket, aEvent, 0 };
  int ready = 0;
  do {
    ready = ::poll(&polled, 1, static_cast<int>(aTimeout.count()));
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

// Reads one request from a socket and writes its response. Reading fails when a
// line or the head of the request is too long.
class RequestStream : public httplib::Stream
{
public:
  RequestStream(socket_t aSocket,
                std::chrono::milliseconds aReadTimeout,
                std::chrono::milliseconds aWriteTimeout)
    : mSocket(aSocket)
    , mReadTimeout(aReadTimeout)
    , mWriteTimeout(aWriteTimeout)
  {
  }

  void EndHead() { mInHead = false; }
  bool IsInHead() const { return mInHead; }

  bool is_readable() const override
  {
    return mUsed < mFilled || AwaitSocket(mSocket, POLLIN, mReadTimeout);
  }

  bool is_writable() const override
  {
    return AwaitSocket(mSocket, POLLOUT, mWriteTimeout) && IsAlive();
  }

  ssize_t read(char* aTo, std::size_t aSize) override
  {
    if (mUsed == mFilled) {
      if (!is_readable()) {
        return -1;
      }
      ssize_t n = 0;
      do {
        n = ::recv(mSocket, mBuffer.data(), mBuffer.size(), 0);
      } while (n < 0 && errno == EINTR);
      if (n <= 0) {
        return n;
      }
      mUsed = 0;
      mFilled = static_cast<std::size_t>(n);
    }
    const std::size_t size = std::min(aSize, mFilled - mUsed);
    std::copy_n(mBuffer.data() + mUsed, size, aTo);
    mUsed += size;
    // The library reads lines byte by byte.
    mLineBytes = aSize == 1 && *aTo != '\n' ? mLineBytes + 1 : 0;
    mHeadBytes += mInHead ? size : 0;
    return mLineBytes > kMaxLineBytes || mHeadBytes > kMaxHeadBytes
             ? -1
             : static_cast<ssize_t>(size);
  }

  ssize_t write(const char* aFrom, std::size_t aSize) override
  {
    if (!AwaitSocket(mSocket, POLLOUT, mWriteTimeout)) {
      return -1;
    }
    ssize_t n = 0;
    do {
      n = ::send(mSocket, aFrom, aSize, MSG_NOSIGNAL);
    } while (n < 0 && errno == EINTR);
    return n;
  }

  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override
  {
    Describe(&::getpeername, aIp, aPort);
  }

  void get_local_ip_and_port(std::string& aIp, int& aPort) const override
  {
    Describe(&::getsockname, aIp, aPort);
  }

  socket_t socket() const override { return mSocket; }

private:
  bool IsAlive() const
  {
    char byte = 0;
    return !AwaitSocket(mSocket, POLLIN, std::chrono::milliseconds(0)) ||
           ::recv(mSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }

  template<typename GetName>
  void Describe(GetName aGetName, std::string& aIp, int& aPort) const
  {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    std::array<char, INET_ADDRSTRLEN> text{};
    if (aGetName(mSocket, reinterpret_cast<sockaddr*>(&address), &size) == 0 &&
        address.sin_family == AF_INET &&
        ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()) !=
          nullptr) {
      aIp = text.data();
      aPort = ntohs(address.sin_port);
    }
  }

  socket_t mSocket;
  std::chrono::milliseconds mReadTimeout;
  std::chrono::milliseconds mWriteTimeout;
  std::array<char, 4096> mBuffer{};
  std::size_t mUsed = 0;
  std::size_t mFilled = 0;
  std::size_t mLineBytes = 0;
  std::size_t mHeadBytes = 0;
  bool mInHead = true;
};

// The library's server, on connections that limit what it reads.
class LimitedServer : public httplib::Server
{
private:
  bool process_and_close_socket(socket_t aSocket) override
  {
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    const milliseconds read =
      seconds(read_timeout_sec_) + milliseconds(read_timeout_usec_ / 1000);
    const milliseconds write =
      seconds(write_timeout_sec_) + milliseconds(write_timeout_usec_ / 1000);
    bool served = false;
    for (std::size_t left = keep_alive_max_count_;
         left > 0 && AwaitRequest(aSocket);
         --left) {
      RequestStream stream(aSocket, read, write);
      bool isClosed = false;
      served =
        process_request(stream, left == 1, isClosed, [&](httplib::Request&) {
          stream.EndHead();
        });
      // What follows a head that could not be read is no request.
      if (!served || isClosed || stream.IsInHead()) {
        break;
      }
    }
    ::shutdown(aSocket, SHUT_RDWR);
    ::close(aSocket);
    return served;
  }

  // Waits for the first byte of a request.
  bool AwaitRequest(socket_t aSocket) const
  {
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::seconds(keep_alive_timeout_sec_);
    while (svr_sock_ != INVALID_SOCKET &&
           std::chrono::steady_clock::now() < until) {
      if (AwaitSocket(aSocket, POLLIN, kIdleCheckInterval)) {
        return true;
      }
    }
    return false;
  }
};

// Number of bytes or of bodies that is shared by all connections of a server.
class SharedBudget
{
public:
  explicit SharedBudget(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  bool Take(std::size_t aCount)
  {
    std::size_t taken = mTaken.load();
    while (taken + aCount <= mLimit) {
      if (mTaken.compare_exchange_weak(taken, taken + aCount)) {
        return true;
      }
    }
    return false;
  }

  void Return(std::size_t aCount) { mTaken -= aCount; }

private:
  std::size_t mLimit;
  std::atomic<std::size_t> mTaken{ 0 };
};

// The part of a SharedBudget that one request holds.
class BudgetPart
{
public:
  explicit BudgetPart(SharedBudget& aBudget)
    : mBudget(aBudget)
  {
  }
  ~BudgetPart() { mBudget.Return(mCount); }
  BudgetPart(const BudgetPart&) = delete;
  BudgetPart& operator=(const BudgetPart&) = delete;

  // Raises the part to aCount. Returns whether there is as much.
  bool Raise(std::size_t aCount)
  {
    if (aCount > mCount) {
      if (!mBudget.Take(aCount - mCount)) {
        return false;
      }
      mCount = aCount;
    }
    return true;
  }

private:
  SharedBudget& mBudget;
  std::size_t mCount = 0;
};

class DataSinkWriter : public BodyWriter
{
public:
  explicit DataSinkWriter(httplib::DataSink& aSink)
    : mSink(aSink)
  {
  }

  bool Write(const std::string& aBytes) override
  {
    return mSink.write(aBytes.data(), aBytes.size());
  }

  bool IsOpen() override { return mSink.is_writable(); }

private:
  httplib::DataSink& mSink;
};

HttpRequest
Convert(const httplib::Request& aRequest)
{
  HttpRequest request;
  request.mMethod = aRequest.method;
  request.mPath = aRequest.path;
  request.mBody = aRequest.body;
  for (std::size_t n = 1; n < aRequest.matches.size(); ++n) {
    request.mCaptures.push_back(aRequest.matches[n].str());
  }
  request.mFindHeader =
    [&aRequest](const std::string& aName) -> std::optional<std::string> {
    if (!aRequest.has_header(aName)) {
      return std::nullopt;
    }
    return aRequest.get_header_value(aName);
  };
  request.mFindParameter =
    [&aRequest](const std::string& aName) -> std::optional<std::string> {
    if (!aRequest.has_param(aName)) {
      return std::nullopt;
    }
    return aRequest.get_param_value(aName);
  };
  return request;
}

// Lets the library close the connection once a response is sent whose request
// has not been read to its end; the rest would be taken for another request.
// The library keeps a connection unless sending the response has failed.
void
CloseAfter(httplib::Response& aResponse)
{
  const std::string body = aResponse.body.empty() ? "\n" : aResponse.body;
  std::string type = aResponse.get_header_value("Content-Type");
  aResponse.body.clear();
  aResponse.headers.erase("Content-Type");
  aResponse.set_header("Connection", "close");
  aResponse.set_content_provider(
    body.size(),
    type.empty() ? "text/plain" : type,
    [body](std::size_t aAt, std::size_t, httplib::DataSink& aSink) {
      aSink.write(body.data() + aAt, body.size() - aAt);
      return false;
    });
}

void
Convert(HttpResponse aFrom, httplib::Response& aTo)
{
  aTo.status = aFrom.mStatus;
  for (const auto& it : aFrom.mHeaders) {
    aTo.set_header(it.first, it.second);
  }
  if (!aFrom.mStream) {
    aTo.set_content(aFrom.mBody, aFrom.mContentType);
    return;
  }
  auto stream = std::move(aFrom.mStream);
  aTo.set_chunked_content_provider(
    aFrom.mContentType, [stream](std::size_t, httplib::DataSink& aSink) {
      DataSinkWriter writer(aSink);
      if (!stream(writer)) {
        return false;
      }
      aSink.done();
      return true;
    });
}

} // namespace

class HttpServer::Impl
{
public:
  explicit Impl(Options aOptions)
    : mOptions(aOptions)
    , mQueue(aOptions.mMaxConnections)
    , mBodyMemory(
        std::max(aOptions.mBodyMemory, 2 * aOptions.mMaxBodyBytes + 64))
    , mUnknownBodies(
        std::max<std::size_t>(1,
                              aOptions.mMaxConnections / kUnknownSenderDivisor))
  {
    mServer.new_task_queue = [this] {
      return new ThreadPoolTaskQueue(mOptions.mMaxConnections, mQueue);
    };
    // Bodies are limited where they are received: the library does not limit
    // chunked ones, and reads the others to their end.
    mServer.set_payload_max_length(std::numeric_limits<std::size_t>::max());
    mServer.set_write_timeout(aOptions.mWriteTimeout);
    mServer.set_keep_alive_max_count(kMaxKeepAliveRequests);
    mServer.set_keep_alive_timeout(
      std::chrono::duration_cast<std::chrono::seconds>(aOptions.mKeepAlive)
        .count());
    mServer.set_tcp_nodelay(true);
    mServer.set_socket_options([this](socket_t aSocket) {
      const int on = 1;
      ::setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
      ::setsockopt(aSocket, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
      mSocket = aSocket;
    });
    mServer.set_pre_routing_handler(
      [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
        return RejectMethod(aRequest, aResponse);
      });
  }

  void Route(const std::string& aMethod,
             const std::string& aPattern,
             const Handler& aHandler)
  {
    const httplib::Server::HandlerWithContentReader handler =
      [this, aHandler](const httplib::Request& aRequest,
                       httplib::Response& aResponse,
                       const httplib::ContentReader& aReader) {
        HandleWithBody(aHandler, aRequest, aResponse, aReader);
      };
    if (aMethod == "GET") {
      mServer.Get(aPattern,
                  [aHandler](const httplib::Request& aRequest,
                             httplib::Response& aResponse) {
                    HttpResponse response;
                    aHandler(Convert(aRequest), response);
                    Convert(std::move(response), aResponse);
                  });
    } else if (aMethod == "PUT") {
      mServer.Put(aPattern, handler);
    } else if (aMethod == "DELETE") {
      mServer.Delete(aPattern, handler);
    } else {
      mServer.Post(aPattern, handler);
    }
  }

  // Handles the paths that have no route, as the library would receive their
  // bodies without a limit.
  void RouteOthers()
  {
    const httplib::Server::HandlerWithContentReader handler =
      [this](const httplib::Request& aRequest,
             httplib::Response& aResponse,
             const httplib::ContentReader& aReader) {
        HttpResponse response;
        FillError(404, response);
        RespondUnheld(std::move(response), aRequest, aResponse, aReader);
      };
    mServer.Post(".*", handler);
    mServer.Put(".*", handler);
    mServer.Delete(".*", handler);
  }

  void FillError(int aStatus, HttpResponse& aResponse) const
  {
    aResponse.mStatus = aStatus;
    if (mErrorHandler) {
      mErrorHandler(aStatus, aResponse);
    }
  }

  Options mOptions;
  ConnectionQueue mQueue;
  SharedBudget mBodyMemory;
  SharedBudget mUnknownBodies;
  SenderCheck mSenderCheck;
  std::function<void(int, HttpResponse&)> mErrorHandler;
  LimitedServer mServer;
  socket_t mSocket = INVALID_SOCKET;
  std::thread mThread;

private:
  // Rejects methods that have no handlers but for which the library receives a
  // body.
  httplib::Server::HandlerResponse RejectMethod(
    const httplib::Request& aRequest,
    httplib::Response& aResponse)
  {
    if (aRequest.method != "PATCH" && aRequest.method != "PRI") {
      return httplib::Server::HandlerResponse::Unhandled;
    }
    Reject(404, aResponse);
    return httplib::Server::HandlerResponse::Handled;
  }

  void Reject(int aStatus, httplib::Response& aResponse) const
  {
    HttpResponse response;
    FillError(aStatus, response);
    Convert(std::move(response), aResponse);
    CloseAfter(aResponse);
  }

  void HandleWithBody(const Handler& aHandler,
                      const httplib::Request& aRequest,
                      httplib::Response& aResponse,
                      const httplib::ContentReader& aReader)
  {
    HttpRequest request = Convert(aRequest);
    HttpResponse response;
    if (mSenderCheck && !mSenderCheck(request, response)) {
      RespondUnheld(std::move(response), aRequest, aResponse, aReader);
      return;
    }
    BudgetPart memory(mBodyMemory);
    const BodyEnd end = ReceiveBody(aRequest, aReader, memory, request.mBody);
    if (end != BodyEnd::Complete) {
      Reject(StatusOf(end), aResponse);
      return;
    }
    response = HttpResponse();
    aHandler(request, response);
    Convert(std::move(response), aResponse);
  }

  // Sends a response to a request whose body nothing needs.
  void RespondUnheld(HttpResponse aFrom,
                     const httplib::Request& aRequest,
                     httplib::Response& aResponse,
                     const httplib::ContentReader& aReader)
  {
    BudgetPart unknown(mUnknownBodies);
    const bool complete =
      !HasBody(aRequest) ||
      (unknown.Raise(1) && DiscardBody(aRequest, aReader) == BodyEnd::Complete);
    Convert(std::move(aFrom), aResponse);
    if (!complete) {
      CloseAfter(aResponse);
    }
  }

  static bool HasBody(const httplib::Request& aRequest)
  {
    return aRequest.has_header("Content-Length") ||
           aRequest.has_header("Transfer-Encoding");
  }

  // Reads the body with aTake, which gets each part of it and returns
  // BodyEnd::Complete as long as more may come.
  template<typename Take>
  static BodyEnd Read(const httplib::Request& aRequest,
                      const httplib::ContentReader& aReader,
                      const Take& aTake)
  {
    if (!HasBody(aRequest)) {
      return BodyEnd::Complete;
    }
    if (aRequest.is_multipart_form_data()) {
      // The library would parse its parts.
      return BodyEnd::Failed;
    }
    BodyEnd end = BodyEnd::Complete;
    const bool read = aReader([&](const char* aData, std::size_t aSize) {
      end = aTake(aData, aSize);
      return end == BodyEnd::Complete;
    });
    return read || end != BodyEnd::Complete ? end : BodyEnd::Failed;
  }

  BodyEnd ReceiveBody(const httplib::Request& aRequest,
                      const httplib::ContentReader& aReader,
                      BudgetPart& aMemory,
                      std::string& aBody)
  {
    const std::size_t max = mOptions.mMaxBodyBytes;
    const auto length =
      aRequest.get_header_value<std::uint64_t>("Content-Length", 0);
    if (length > max + kMaxDiscardedBytes) {
      return BodyEnd::TooLarge;
    }
    const auto start = std::chrono::steady_clock::now();
    std::size_t received = 0;
    const BodyEnd end =
      Read(aRequest, aReader, [&](const char* aData, std::size_t aSize) {
        received += aSize;
        if (received > max) {
          // What is announced is read, so that the caller gets the response.
          std::string().swap(aBody);
          return received > length ? BodyEnd::TooLarge
                                   : CheckRate(start, received);
        }
        // The text grows to twice its size.
        if (received > aBody.capacity() && !aMemory.Raise(2 * received)) {
          return BodyEnd::NoMemory;
        }
        aBody.append(aData, aSize);
        return CheckRate(start, received);
      });
    return end == BodyEnd::Complete && received > max ? BodyEnd::TooLarge : end;
  }

  BodyEnd CheckRate(Time aStart, std::size_t aReceived) const
  {
    if (mQueue.IsStopping()) {
      return BodyEnd::Stopping;
    }
    const auto elapsed = std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - aStart);
    const bool isSlow =
      elapsed > kBodyGrace &&
      static_cast<double>(aReceived) <
        kMinBodyBytesPerSecond * ToMilliseconds(elapsed) / 1000;
    return isSlow && !mQueue.IsEmpty() ? BodyEnd::TooSlow : BodyEnd::Complete;
  }

  BodyEnd DiscardBody(const httplib::Request& aRequest,
                      const httplib::ContentReader& aReader) const
  {
    const auto until = std::chrono::steady_clock::now() + kMaxDiscardTime;
    std::size_t received = 0;
    return Read(aRequest, aReader, [&](const char*, std::size_t aSize) {
      received += aSize;
      return received > kMaxDiscardedBytes || mQueue.IsStopping() ||
                 std::chrono::steady_clock::now() > until
               ? BodyEnd::TooLarge
               : BodyEnd::Complete;
    });
  }
};

HttpServer::HttpServer(Options aOptions)
  : mImpl(std::make_unique<Impl>(aOptions))
{
}

HttpServer::~HttpServer()
{
  Stop();
}

void
HttpServer::Route(const std::string& aMethod,
                  const std::string& aPattern,
                  const Handler& aHandler)
{
  mImpl->Route(aMethod, aPattern, aHandler);
}

void
HttpServer::SetSenderCheck(const SenderCheck& aCheck)
{
  mImpl->mSenderCheck = aCheck;
}

void
HttpServer::SetErrorHandler(
  const std::function<void(int, HttpResponse&)>& aHandler)
{
  mImpl->mErrorHandler = aHandler;
  mImpl->mServer.set_error_handler(
    [aHandler](const httplib::Request&, httplib::Response& aResponse) {
      if (!aResponse.body.empty() || aResponse.has_header("Connection")) {
        return;
      }
      HttpResponse response;
      response.mStatus = aResponse.status;
      aHandler(aResponse.status, response);
      Convert(std::move(response), aResponse);
    });
}

bool
HttpServer::Start(const std::string& aAddress, int aPort)
{
  if (!mImpl->mServer.bind_to_port(aAddress, aPort)) {
    return false;
  }
  ::listen(mImpl->mSocket, kListenBacklog);
  mImpl->RouteOthers();
  mImpl->mThread = std::thread([this] { mImpl->mServer.listen_after_bind(); });
  while (!mImpl->mServer.is_running()) {
    std::this_thread::yield();
  }
  return true;
}

void
HttpServer::Stop()
{
  mImpl->mQueue.Stop();
  mImpl->mServer.stop();
  if (mImpl->mThread.joinable()) {
    mImpl->mThread.join();
  }
}

} // namespace quetzalquay
