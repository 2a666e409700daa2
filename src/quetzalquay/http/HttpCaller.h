#ifndef QUETZALQUAY_HTTP_HTTPCALLER_H_INCLUDED
#define QUETZALQUAY_HTTP_HTTPCALLER_H_INCLUDED

#include "http/HttpReader.h"
#include "http/Socket.h"

#include <functional>
#include <optional>
#include <string>

namespace quetzalquay {

// Whole answer to a call.
struct HttpReply
{
  HttpHead mHead;
  std::string mBody;
};

// Makes small calls to one server, one at a time, on a connection that it
// keeps.
class HttpCaller : private SocketSink
{
public:
  // Gets the answer, or nothing with the reason.
  using Receiver =
    std::function<void(std::optional<HttpReply>, const std::string&)>;

  HttpCaller(EventLoop& aLoop, const Endpoint& aServer);
  ~HttpCaller() override;

  // Sends a whole request. Must not be called while a call is under way. The
  // receiver is called once, at aBy at the latest, and never from within.
  void Call(const std::string& aRequest, Time aBy, Receiver aReceiver);

  // Whether a call is under way.
  bool IsBusy() const { return mReceiver != nullptr; }

  // Gives the call up; its receiver is not called.
  void Cancel();

private:
  void OnConnected() override;
  void OnData(std::string_view aData) override;
  void OnEnd(SocketEnd aEnd) override;
  void Open();
  void Finish();
  void Fail(const char* aReason);

  EventLoop& mLoop;
  Endpoint mServer;
  RefPtr<Socket> mSocket;
  HttpReader mReader;
  std::string mRequest;
  Time mBy;
  Receiver mReceiver;
  Alarm mDeadline;
  bool mConnected = false;
  // Whether the call went out on a connection that was kept from an earlier
  // one.
  bool mOnKept = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_HTTPCALLER_H_INCLUDED
