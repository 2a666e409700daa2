#ifndef QUETZALQUAY_WIRE_HTTPCLIENT_H_INCLUDED
#define QUETZALQUAY_WIRE_HTTPCLIENT_H_INCLUDED

#include "core/RefCounted.h"
#include "core/Time.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace quetzalquay {

// IP address and port of a server.
struct HttpAddress
{
  std::string mHost;
  int mPort = 0;
};

// Outcome of an HTTP exchange at the connection level.
enum class HttpOutcome
{
  // A status and a complete body arrived.
  Answered,
  // The connection was refused, so the server has not seen the request.
  Refused,
  // The connection could not be established in time.
  ConnectTimeout,
  // The connection failed or timed out after the request may have been sent.
  Broken,
};

// Request and timeouts of one HTTP exchange.
struct HttpCallSpec
{
  std::string mMethod = "GET";
  std::string mPath;
  std::string mBody;
  std::string mContentType = "application/json";
  std::map<std::string, std::string> mHeaders;
  Duration mConnectTimeout = std::chrono::seconds(1);
  // Timeout of each read and write.
  Duration mReadTimeout = std::chrono::seconds(5);
};

// Result of an exchange. Header names are in lower case.
struct HttpResult
{
  HttpOutcome mOutcome = HttpOutcome::Refused;
  int mStatus = 0;
  std::string mBody;
  std::map<std::string, std::string> mHeaders;
};

// One exchange on its own connection, so that a late response to an earlier
// exchange can never be taken for the response to this one.
class HttpCall : public RefCounted<HttpCall>
{
public:
  // Receives the body's bytes as they arrive; returning false aborts the
  // exchange.
  using BodyReceiver = std::function<bool(const char*, std::size_t)>;

  explicit HttpCall(HttpAddress aAddress);
  ~HttpCall();

  // Performs the exchange on the calling thread and returns when it ends.
  HttpResult Run(const HttpCallSpec& aSpec);

  // Like Run, but passes the body of a 200 response to aReceiver.
  HttpResult RunStreamed(const HttpCallSpec& aSpec,
                         const BodyReceiver& aReceiver);

  // Aborts the exchange; may be called from another thread.
  void Close();

  // Whether Close has been called.
  bool IsClosed() const { return mClosed.load(); }

private:
  class Impl;
  HttpAddress mAddress;
  std::atomic<bool> mClosed{ false };
  std::unique_ptr<Impl> mImpl;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_HTTPCLIENT_H_INCLUDED
