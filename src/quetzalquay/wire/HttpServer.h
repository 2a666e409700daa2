#ifndef QUETZALQUAY_WIRE_HTTPSERVER_H_INCLUDED
#define QUETZALQUAY_WIRE_HTTPSERVER_H_INCLUDED

#include "core/Time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// One request as the server's handlers see it.
struct HttpRequest
{
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  // Captures of the route's pattern, from its first group on.
  std::vector<std::string> mCaptures;

  // Value of a header or a query parameter, or nothing.
  std::function<std::optional<std::string>(const std::string&)> mHeader;
  std::function<std::optional<std::string>(const std::string&)> mParameter;
};

// Where a streamed answer is written.
class BodyWriter
{
public:
  virtual ~BodyWriter() = default;

  // Sends bytes; false when the peer is gone or does not read.
  virtual bool Write(const std::string& aBytes) = 0;

  // Whether the peer's connection still stands.
  virtual bool IsOpen() = 0;
};

// Answer to one request: a whole body, or a function that streams it.
struct HttpResponse
{
  int mStatus = 200;
  std::string mContentType = "application/json";
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
  // Called on the connection's thread when set. Returning false cuts the
  // connection without an orderly end.
  std::function<bool(BodyWriter&)> mStream;
};

// HTTP/1.1 server on one address with a bounded number of threads.
class HttpServer
{
public:
  using Handler = std::function<void(const HttpRequest&, HttpResponse&)>;

  struct Options
  {
    std::size_t mMaxConnections = 256;
    std::size_t mMaxBodyBytes = 8U << 20;
    Duration mWriteTimeout = std::chrono::seconds(5);
    Duration mKeepAlive = std::chrono::seconds(5);
  };

  explicit HttpServer(Options aOptions);
  ~HttpServer();

  // Adds a handler for a method and a path pattern (regular expression).
  void Route(const std::string& aMethod,
             const std::string& aPattern,
             const Handler& aHandler);

  // Answers an error that the server itself found, such as a body that is too
  // large; gets the HTTP status.
  void OnError(const std::function<void(int, HttpResponse&)>& aHandler);

  // Binds and serves on a thread of its own. Returns false when the address
  // cannot be bound.
  bool Start(const std::string& aAddress, int aPort);

  // Stops accepting, closes idle connections and waits for running handlers.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_HTTPSERVER_H_INCLUDED
