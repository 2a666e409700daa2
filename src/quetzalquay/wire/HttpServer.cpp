#include "wire/HttpServer.h"

#include "wire/ThreadPool.h"

#include <httplib.h>
#include <thread>

namespace quetzalquay {

namespace {

// Requests served on one connection before it is closed.
constexpr std::size_t kMaxKeepAliveRequests = 100000;

// Connections that may wait to be accepted. With the library's backlog of 5,
// the peers of a larger burst wait a second before they retry the connect.
constexpr int kListenBacklog = 1024;

// Runs the library's connections on a bounded thread pool.
class ThreadPoolTaskQueue : public httplib::TaskQueue
{
public:
  explicit ThreadPoolTaskQueue(std::size_t aThreads)
    : mPool(aThreads)
  {
  }

  void enqueue(std::function<void()> aTask) override
  {
    mPool.Submit(std::move(aTask));
  }

  void shutdown() override { mPool.Stop(); }

private:
  ThreadPool mPool;
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
  {
    mServer.new_task_queue = [aOptions] {
      return new ThreadPoolTaskQueue(aOptions.mMaxConnections);
    };
    mServer.set_payload_max_length(aOptions.mMaxBodyBytes);
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
  }

  void Route(const std::string& aMethod,
             const std::string& aPattern,
             const Handler& aHandler)
  {
    const httplib::Server::Handler handler =
      [aHandler](const httplib::Request& aRequest,
                 httplib::Response& aResponse) {
        HttpResponse response;
        aHandler(Convert(aRequest), response);
        Convert(std::move(response), aResponse);
      };
    if (aMethod == "GET") {
      mServer.Get(aPattern, handler);
    } else if (aMethod == "PUT") {
      mServer.Put(aPattern, handler);
    } else if (aMethod == "DELETE") {
      mServer.Delete(aPattern, handler);
    } else {
      mServer.Post(aPattern, handler);
    }
  }

  httplib::Server mServer;
  socket_t mSocket = INVALID_SOCKET;
  std::thread mThread;
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
HttpServer::SetErrorHandler(
  const std::function<void(int, HttpResponse&)>& aHandler)
{
  mImpl->mServer.set_error_handler(
    [aHandler](const httplib::Request&, httplib::Response& aResponse) {
      if (!aResponse.body.empty()) {
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
  mImpl->mThread = std::thread([this] { mImpl->mServer.listen_after_bind(); });
  while (!mImpl->mServer.is_running()) {
    std::this_thread::yield();
  }
  return true;
}

void
HttpServer::Stop()
{
  mImpl->mServer.stop();
  if (mImpl->mThread.joinable()) {
    mImpl->mThread.join();
  }
}

} // namespace quetzalquay
