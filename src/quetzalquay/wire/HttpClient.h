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

// Address of a peer: IP number and port.
struct HttpAddress
{
  std::string mHost;
  int mPort = 0;
};

// How far an HTTP exchange got.
enum class HttpOutcome
{
  // A status and a whole body arrived.
  Answered,
  // The connection was refused: the peer has not seen the request.
  Refused,
  // The connection could not be made in time.
  ConnectTimeout,
  // The connection broke or fell silent after the request may have left.
  Broken,
};

// One exchange to be made.
struct HttpCallSpec
{
  std::string mMethod = "GET";
  std::string mPath;
  std::string mBody;
  std::string mContentType = "application/json";
  std::map<std::string, std::string> mHeaders;
  Duration mConnectTimeout = std::chrono::seconds(1);
  // Longest silence of the peer.
  Duration mReadTimeout = std::chrono::seconds(5);
};

// Result of an exchange.
struct HttpResult
{
  HttpOutcome mOutcome = HttpOutcome::Refused;
  int mStatus = 0;
  std::string mBody;
  std::map<std::string, std::string> mHeaders;
};

// One exchange on a connection of its own, so that a late answer of an earlier
// exchange can never be taken for this one's.
class HttpCall : public RefCounted<HttpCall>
{
public:
  // Gets the body's bytes as they arrive; returning false ends the exchange.
  using BodyReceiver = std::function<bool(const char*, std::size_t)>;

  explicit HttpCall(HttpAddress aAddress);
  ~HttpCall();

  // Makes the exchange on the calling thread and returns at its end.
  HttpResult Run(const HttpCallSpec& aSpec);

  // Like Run, with the body of a 200 answer going to aReceiver.
  HttpResult RunStreamed(const HttpCallSpec& aSpec,
                         const BodyReceiver& aReceiver);

  // Ends the exchange from another thread.
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
