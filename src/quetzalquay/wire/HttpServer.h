#ifndef QUETZALQUAY_WIRE_HTTPSERVER_H_INCLUDED
#define QUETZALQUAY_WIRE_HTTPSERVER_H_INCLUDED

#include "core/Time.h"
#include "core/overload/EvictionOrder.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Request passed to a handler.
struct HttpRequest
{
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  // Capture groups of the route's pattern, without the whole match.
  std::vector<std::string> mCaptures;

  // Look up a header or a query parameter; nothing when it is absent.
  std::function<std::optional<std::string>(const std::string&)> mFindHeader;
  std::function<std::optional<std::string>(const std::string&)> mFindParameter;
};

// Writes the body of a streamed response.
class BodyWriter
{
public:
  virtual ~BodyWriter() = default;

  // Sends bytes. Returns false when the peer has disconnected or does not read.
  virtual bool Write(const std::string& aBytes) = 0;

  // Whether the peer is still connected.
  virtual bool IsOpen() = 0;
};

// Response to one request: a complete body, or a function that streams it.
struct HttpResponse
{
  int mStatus = 200;
  std::string mContentType = "application/json";
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
  // Called on the connection's thread when set. Returning false closes the
  // connection without ending the body.
  std::function<bool(BodyWriter&)> mStream;
};

// HTTP/1.1 server on one address with a bounded number of threads.
class HttpServer
{
public:
  using Handler = std::function<void(const HttpRequest&, HttpResponse&)>;

  struct Options
  {
    // Requests that are handled at a time. Twice as many connections may be
    // open, and 64 in any case; beyond that some are closed for new ones.
    std::size_t mMaxConnections = 256;
    std::size_t mMaxBodyBytes = 8U << 20;
    // Memory for the bodies of all requests that are being received or handled.
    // A single body of mMaxBodyBytes may be received in any case.
    std::size_t mBodyMemory = 32U << 20;
    Duration mWriteTimeout = std::chrono::seconds(5);
    Duration mKeepAlive = std::chrono::seconds(5);
    // Time for which a request waits for a thread before it is rejected.
    Duration mMaxThreadWait = std::chrono::seconds(1);
  };

  explicit HttpServer(Options aOptions);
  ~HttpServer();

  // Adds a handler for a method and a path pattern (regular expression).
  void Route(const std::string& aMethod,
             const std::string& aPattern,
             const Handler& aHandler);

  // Checks the sender of a request by its head; the body is empty. Returns
  // false and fills the response for an unknown sender.
  using SenderCheck = std::function<bool(const HttpRequest&, HttpResponse&)>;

  // Sets the check of requests that can have a body. The body of an unknown
  // sender is not held, few of them are read at a time, and the request gets to
  // no handler. Without a check all senders are known.
  void SetSenderCheck(const SenderCheck& aCheck);

  // Sets the handler that fills the response to an error found by the server
  // itself, such as a body that is too large. It gets the HTTP status; with 408
  // and 503 the request has not been handled.
  void SetErrorHandler(const std::function<void(int, HttpResponse&)>& aHandler);

  // Called for each connection that is closed for others, and for each body
  // that is given up, with its use and the number of open connections. Calls do
  // not overlap; the handler must not block.
  using EvictionHandler = std::function<void(ConnectionUse, std::size_t)>;
  void SetEvictionHandler(const EvictionHandler& aHandler);

  // Binds the address and serves it on a thread of its own. Returns false when
  // the address cannot be bound.
  bool Start(const std::string& aAddress, int aPort);

  // Stops accepting, closes idle connections and waits for running handlers.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_HTTPSERVER_H_INCLUDED
