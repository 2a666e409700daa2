#include "wire/HttpServer.h"

#include "core/overload/ThreadDemand.h"
#include "wire/HeadReceiver.h"
#include "wire/ThreadPool.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <deque>
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

// Connections that may be open at a server with few threads.
constexpr std::size_t kMinOpenConnections = 64;

// Connections that may wait to be accepted. With the library's backlog of 5,
// the peers of a larger burst wait a second before they retry the connect.
constexpr int kListenBacklog = 1024;

// While requests wait for a thread, a body is given up that has taken so long
// and has arrived at a lower rate. Callers that send at the rate of a slow link
// are not affected.
constexpr Duration kBodyGrace = std::chrono::seconds(2);
constexpr double kMinBodyBytesPerSecond = 16384;

// While requests wait for a thread, a response is given up of which the peer
// has taken nothing for so long.
constexpr Duration kUnreadGrace = std::chrono::seconds(2);
constexpr Duration kUnknownUnreadGrace = std::chrono::milliseconds(500);

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

// Lets the library pass each connection on in the thread that accepts it.
class AcceptQueue : public httplib::TaskQueue
{
public:
  explicit AcceptQueue(std::function<void()> aOnShutdown)
    : mOnShutdown(std::move(aOnShutdown))
  {
  }

  void enqueue(std::function<void()> aTask) override { aTask(); }
  void shutdown() override { mOnShutdown(); }

private:
  std::function<void()> mOnShutdown;
};

// Bytes that are read at a time.
constexpr std::size_t kReadBytes = 4096;

// Longest line of a request, which the library limits only when it has read
// all of it, and longest head. The library takes lines of 8,192 bytes.
constexpr std::size_t kMaxLineBytes = 16384;
constexpr std::size_t kMaxHeadBytes = 262144;

// Interval at which a thread that waits for a peer checks whether others need
// it.
constexpr std::chrono::milliseconds kDemandCheckInterval{ 100 };

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

// How a body arrives.
class BodyPace
{
public:
  explicit BodyPace(const ThreadDemand& aDemand)
    : mDemand(aDemand)
  {
  }

  void Start() { mStart = std::chrono::steady_clock::now(); }
  void Add(std::size_t aBytes) { mBytes += aBytes; }

  // Whether the body is to be given up, and why.
  BodyEnd Check() const
  {
    if (mDemand.IsStopping()) {
      return BodyEnd::Stopping;
    }
    const Time now = std::chrono::steady_clock::now();
    const auto elapsed = std::chrono::duration_cast<Duration>(now - mStart);
    const bool isSlow =
      elapsed > kBodyGrace &&
      static_cast<double>(mBytes) <
        kMinBodyBytesPerSecond * ToMilliseconds(elapsed) / 1000;
    return isSlow && mDemand.IsShort(now) ? BodyEnd::TooSlow
                                          : BodyEnd::Complete;
  }

private:
  const ThreadDemand& mDemand;
  Time mStart;
  std::size_t mBytes = 0;
};

// Reads one request from a connection and writes its response. Reading fails
// when a line or the head of the request is too long, and when its body is to
// be given up.
class RequestStream : public httplib::Stream
{
public:
  RequestStream(HttpConnection& aConnection,
                const ThreadDemand& aDemand,
                std::chrono::milliseconds aReadTimeout,
                std::chrono::milliseconds aWriteTimeout)
    : mConnection(aConnection)
    , mSocket(aConnection.Socket())
    , mDemand(aDemand)
    , mPace(aDemand)
    , mReadTimeout(aReadTimeout)
    , mWriteTimeout(aWriteTimeout)
  {
    sCurrent = this;
  }

  // Leaves what follows the request to the next one.
  ~RequestStream() override
  {
    sCurrent = nullptr;
    mConnection.mInput.erase(0, mUsed);
  }
  RequestStream(const RequestStream&) = delete;
  RequestStream& operator=(const RequestStream&) = delete;

  // The request that this thread handles.
  static RequestStream& Current() { return *sCurrent; }

  void EndHead()
  {
    mInHead = false;
    mPace.Start();
  }
  bool IsInHead() const { return mInHead; }
  const BodyPace& Pace() const { return mPace; }
  HttpConnection& Connection() { return mConnection; }

  bool is_readable() const override
  {
    return mUsed < mConnection.mInput.size() || AwaitInput();
  }

  bool is_writable() const override { return AwaitOutput() && IsAlive(); }

  ssize_t read(char* aTo, std::size_t aSize) override
  {
    std::string& input = mConnection.mInput;
    if (mUsed == input.size()) {
      if (!AwaitInput()) {
        return -1;
      }
      input.resize(kReadBytes);
      mUsed = 0;
      ssize_t n = 0;
      do {
        n = ::recv(mSocket, input.data(), input.size(), 0);
      } while (n < 0 && errno == EINTR);
      input.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
      if (n <= 0) {
        return n;
      }
    }
    const std::size_t size = std::min(aSize, input.size() - mUsed);
    std::copy_n(input.data() + mUsed, size, aTo);
    mUsed += size;
    // The library reads lines byte by byte.
    mLineBytes = aSize == 1 && *aTo != '\n' ? mLineBytes + 1 : 0;
    mHeadBytes += mInHead ? size : 0;
    if (!mInHead) {
      mPace.Add(size);
    }
    return mLineBytes > kMaxLineBytes || mHeadBytes > kMaxHeadBytes
             ? -1
             : static_cast<ssize_t>(size);
  }

  ssize_t write(const char* aFrom, std::size_t aSize) override
  {
    if (!AwaitOutput()) {
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
  // Waits for input; not for that of a body which is to be given up.
  bool AwaitInput() const
  {
    const auto until = std::chrono::steady_clock::now() + mReadTimeout;
    while (mInHead || mPace.Check() == BodyEnd::Complete) {
      if (AwaitSocket(mSocket, POLLIN, kDemandCheckInterval)) {
        return true;
      }
      if (std::chrono::steady_clock::now() >= until) {
        return false;
      }
    }
    return false;
  }

  // Waits until the peer takes more of the response; not for long if others
  // need the thread.
  bool AwaitOutput() const
  {
    const auto start = std::chrono::steady_clock::now();
    const Duration grace =
      mConnection.mIsKnown ? kUnreadGrace : kUnknownUnreadGrace;
    while (!AwaitSocket(mSocket, POLLOUT, kDemandCheckInterval)) {
      const Time now = std::chrono::steady_clock::now();
      const auto elapsed = now - start;
      if (elapsed >= grace && mDemand.IsShort(now)) {
        mConnection.mIsUnread = true;
        return false;
      }
      if (elapsed >= mWriteTimeout) {
        return false;
      }
    }
    return true;
  }

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

  static thread_local RequestStream* sCurrent;

  HttpConnection& mConnection;
  socket_t mSocket;
  const ThreadDemand& mDemand;
  BodyPace mPace;
  std::chrono::milliseconds mReadTimeout;
  std::chrono::milliseconds mWriteTimeout;
  // Part of the connection's input that has been read.
  std::size_t mUsed = 0;
  std::size_t mLineBytes = 0;
  std::size_t mHeadBytes = 0;
  bool mInHead = true;
};

thread_local RequestStream* RequestStream::sCurrent = nullptr;

// The library's server, on connections whose heads a HeadReceiver receives.
class LimitedServer : public httplib::Server
{
public:
  std::function<void(int)> mOnAccepted;

  // Handles one request. Returns whether the connection can be used for another
  // one.
  bool Serve(HttpConnection& aConnection, const ThreadDemand& aDemand)
  {
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    const milliseconds read =
      seconds(read_timeout_sec_) + milliseconds(read_timeout_usec_ / 1000);
    const milliseconds write =
      seconds(write_timeout_sec_) + milliseconds(write_timeout_usec_ / 1000);
    const bool isLast = ++aConnection.mServed >= kMaxKeepAliveRequests;
    RequestStream stream(aConnection, aDemand, read, write);
    bool isClosed = false;
    const bool served = process_request(
      stream, isLast, isClosed, [&](httplib::Request&) { stream.EndHead(); });
    // What follows a head that could not be read is no request.
    return served && !isClosed && !isLast && !stream.IsInHead();
  }

private:
  bool process_and_close_socket(socket_t aSocket) override
  {
    mOnAccepted(aSocket);
    return true;
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
    , mBodyMemory(
        std::max(aOptions.mBodyMemory, 2 * aOptions.mMaxBodyBytes + 64))
    , mUnknownBodies(
        std::max<std::size_t>(1,
                              aOptions.mMaxConnections / kUnknownSenderDivisor))
  {
    mServer.new_task_queue = [this] {
      return new AcceptQueue([this] { StopConnections(); });
    };
    mServer.mOnAccepted = [this](int aSocket) { mHeads->Add(aSocket); };
    // Bodies are limited where they are received: the library does not limit
    // chunked ones, and reads the others to their end.
    mServer.set_payload_max_length(std::numeric_limits<std::size_t>::max());
    mServer.set_write_timeout(aOptions.mWriteTimeout);
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

  // Starts the threads that receive and handle requests.
  void StartConnections()
  {
    mThreads = std::make_unique<ThreadPool>(mOptions.mMaxConnections);
    HeadReceiver::Options options;
    options.mMaxConnections =
      std::max(2 * mOptions.mMaxConnections, kMinOpenConnections);
    options.mIdleTimeout = mOptions.mKeepAlive;
    options.mMaxHeadBytes = kMaxHeadBytes;
    options.mMaxLineBytes = kMaxLineBytes;
    mHeads = std::make_unique<HeadReceiver>(
      options,
      HeadReceiver::Callbacks{
        [this](const RefPtr<HttpConnection>& aConnection) {
          Submit(aConnection);
        },
        [this](ConnectionUse aUse, std::size_t aOpen) {
          ReportEviction(aUse, aOpen);
          return FormatEviction();
        },
        [this] { RejectWaiting(); } });
  }

  // From now on no more requests are received, and bodies end.
  void BeginStop()
  {
    mDemand.Stop();
    if (mHeads != nullptr) {
      mHeads->BeginStop();
    }
  }

  Options mOptions;
  ThreadDemand mDemand;
  EvictionHandler mEvictionHandler;
  std::mutex mEvictionMutex;
  SharedBudget mBodyMemory;
  SharedBudget mUnknownBodies;
  SenderCheck mSenderCheck;
  std::function<void(int, HttpResponse&)> mErrorHandler;
  LimitedServer mServer;
  socket_t mSocket = INVALID_SOCKET;
  std::thread mThread;
  std::unique_ptr<ThreadPool> mThreads;
  std::unique_ptr<HeadReceiver> mHeads;

private:
  // A connection whose request waits for a thread.
  struct WaitingConnection
  {
    RefPtr<HttpConnection> mConnection;
    Time mSince;
  };

  void Submit(const RefPtr<HttpConnection>& aConnection)
  {
    {
      const std::lock_guard<std::mutex> lock(mWaitingMutex);
      mWaiting.push_back({ aConnection, std::chrono::steady_clock::now() });
      mDemand.SetWaitingSince(mWaiting.front().mSince);
    }
    mThreads->Submit([this] { ServeNext(); });
  }

  // Takes the connection that has waited for longest, if for aWait or more.
  // There is none for some threads, as waiting requests may be rejected.
  RefPtr<HttpConnection> TakeWaiting(Duration aWait)
  {
    const std::lock_guard<std::mutex> lock(mWaitingMutex);
    if (mWaiting.empty() ||
        mWaiting.front().mSince + aWait > std::chrono::steady_clock::now()) {
      return nullptr;
    }
    RefPtr<HttpConnection> first = mWaiting.front().mConnection;
    mWaiting.pop_front();
    mDemand.SetWaitingSince(mWaiting.empty() ? Time::max()
                                             : mWaiting.front().mSince);
    return first;
  }

  void ServeNext()
  {
    const RefPtr<HttpConnection> connection = TakeWaiting(Duration::zero());
    if (connection == nullptr) {
      return;
    }
    if (mServer.Serve(*connection, mDemand)) {
      mHeads->Return(connection);
      return;
    }
    if (connection->mIsUnread) {
      ReportEviction(ConnectionUse::UnreadResponse, mHeads->OpenCount());
    }
    mHeads->Release(connection);
  }

  // Rejects the requests that have waited for a thread for too long.
  void RejectWaiting()
  {
    while (const auto connection = TakeWaiting(mOptions.mMaxThreadWait)) {
      ReportEviction(ConnectionUse::WaitingRequest, mHeads->OpenCount());
      connection->SendLast(FormatEviction());
      mHeads->Release(connection);
    }
  }

  // Handles the requests whose heads have been received, and closes the other
  // connections.
  void StopConnections()
  {
    mHeads->Stop();
    mThreads->Stop();
  }

  void ReportEviction(ConnectionUse aUse, std::size_t aOpen)
  {
    const std::lock_guard<std::mutex> lock(mEvictionMutex);
    if (mEvictionHandler) {
      mEvictionHandler(aUse, aOpen);
    }
  }

  // The response to a part of a head whose connection is needed by others.
  std::string FormatEviction() const
  {
    HttpResponse response;
    FillError(503, response);
    std::string text = "HTTP/1.1 503 Service Unavailable\r\n";
    for (const auto& it : response.mHeaders) {
      text += it.first + ": " + it.second + "\r\n";
    }
    return text + "Content-Type: " + response.mContentType +
           "\r\nContent-Length: " + std::to_string(response.mBody.size()) +
           "\r\nConnection: close\r\n\r\n" + response.mBody;
  }

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
      RequestStream::Current().Connection().mIsKnown = false;
      RespondUnheld(std::move(response), aRequest, aResponse, aReader);
      return;
    }
    BudgetPart memory(mBodyMemory);
    RequestStream::Current().Connection().mIsKnown = true;
    const BodyEnd end = ReceiveBody(aRequest, aReader, memory, request.mBody);
    if (end != BodyEnd::Complete) {
      if (end == BodyEnd::TooSlow || end == BodyEnd::NoMemory) {
        ReportEviction(ConnectionUse::KeyedBody, mHeads->OpenCount());
      }
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
    const BodyPace& pace = RequestStream::Current().Pace();
    std::size_t received = 0;
    const BodyEnd end =
      Read(aRequest, aReader, [&](const char* aData, std::size_t aSize) {
        received += aSize;
        if (received > max) {
          // What is announced is read, so that the caller gets the response.
          std::string().swap(aBody);
          return received > length ? BodyEnd::TooLarge : pace.Check();
        }
        // The text grows to twice its size.
        if (received > aBody.capacity() && !aMemory.Raise(2 * received)) {
          return BodyEnd::NoMemory;
        }
        aBody.append(aData, aSize);
        return pace.Check();
      });
    if (end == BodyEnd::Failed && pace.Check() != BodyEnd::Complete) {
      // Reading has stopped for that reason.
      return pace.Check();
    }
    return end == BodyEnd::Complete && received > max ? BodyEnd::TooLarge : end;
  }

  BodyEnd DiscardBody(const httplib::Request& aRequest,
                      const httplib::ContentReader& aReader) const
  {
    const auto until = std::chrono::steady_clock::now() + kMaxDiscardTime;
    std::size_t received = 0;
    return Read(aRequest, aReader, [&](const char*, std::size_t aSize) {
      received += aSize;
      return received > kMaxDiscardedBytes || mDemand.IsStopping() ||
                 std::chrono::steady_clock::now() > until
               ? BodyEnd::TooLarge
               : BodyEnd::Complete;
    });
  }

  std::mutex mWaitingMutex;
  // Connections whose requests wait for a thread, the oldest first.
  std::deque<WaitingConnection> mWaiting;
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

void
HttpServer::SetEvictionHandler(const EvictionHandler& aHandler)
{
  mImpl->mEvictionHandler = aHandler;
}

bool
HttpServer::Start(const std::string& aAddress, int aPort)
{
  if (!mImpl->mServer.bind_to_port(aAddress, aPort)) {
    return false;
  }
  ::listen(mImpl->mSocket, kListenBacklog);
  mImpl->RouteOthers();
  mImpl->StartConnections();
  mImpl->mThread = std::thread([this] { mImpl->mServer.listen_after_bind(); });
  while (!mImpl->mServer.is_running()) {
    std::this_thread::yield();
  }
  return true;
}

void
HttpServer::Stop()
{
  mImpl->BeginStop();
  mImpl->mServer.stop();
  if (mImpl->mThread.joinable()) {
    mImpl->mThread.join();
  }
}

} // namespace quetzalquay
