#ifndef QUETZALQUAY_HTTP_ASYNCHTTPCLIENT_H_INCLUDED
#define QUETZALQUAY_HTTP_ASYNCHTTPCLIENT_H_INCLUDED

#include "http/HttpReader.h"
#include "http/ReplyBuffers.h"
#include "http/Socket.h"

#include <functional>
#include <optional>
#include <string>

namespace quetzalquay {

// Complete HTTP response.
struct HttpReply
{
  HttpHead mHead;
  std::string mBody;
};

// Asynchronous HTTP client for small requests to one server. Sends one request
// at a time and reuses its connection.
class AsyncHttpClient : private SocketHandler
{
public:
  // Receives the response, or nothing and the reason of the failure.
  using ResponseCallback =
    std::function<void(std::optional<HttpReply>, const std::string&)>;

  // A response that needs too much memory while it is received, or once it is
  // parsed as JSON, fails its request.
  AsyncHttpClient(EventLoop& aLoop,
                  const Endpoint& aServer,
                  ReplyBuffers& aBuffers,
                  ReplyKind aKind);
  ~AsyncHttpClient() override;

  // Sends a complete request, given as the bytes to write. Must not be called
  // while another request is pending. aCallback is called once, no later than
  // aDeadline, and never before Call() returns.
  void Call(const std::string& aRequest,
            Time aDeadline,
            ResponseCallback aCallback);

  // Goes over to another server, unless aServer is the present one. A pending
  // request fails.
  void SetServer(const Endpoint& aServer);

  // The server's address, as the Host field of requests has it.
  std::string ServerName() const { return FormatEndpoint(mServer); }

  // Whether a request is pending.
  bool IsBusy() const { return mCallback != nullptr; }

  // Whether the last request failed as there was no response by its deadline.
  bool HasTimedOut() const { return mTimedOut; }

  // Abandons the pending request without calling its callback and closes the
  // connection.
  void Cancel();

private:
  void OnConnected() override;
  void OnData(std::string_view aData) override;
  void OnEnd(SocketEnd aEnd) override;
  void OpenConnection();
  void Finish();
  void Fail(const char* aReason);
  void GiveUp();

  EventLoop& mLoop;
  Endpoint mServer;
  RefPtr<Socket> mSocket;
  ReplyBuffers& mBuffers;
  ReplyKind mKind;
  HttpReader mReader;
  // Bytes received of the response.
  AnswerBuffer mHeld;
  std::size_t mReceivedBytes = 0;
  std::string mRequest;
  Time mDeadline;
  ResponseCallback mCallback;
  Timer mDeadlineTimer;
  bool mTimedOut = false;
  bool mConnected = false;
  // Whether the pending request was sent on a connection that had served an
  // earlier one.
  bool mOnReusedConnection = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_ASYNCHTTPCLIENT_H_INCLUDED
