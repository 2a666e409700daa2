#include "http/AsyncHttpClient.h"

#include "http/JsonText.h"

#include <utility>

namespace quetzalquay {

namespace {

constexpr std::size_t kMaxHeadBytes = 16384;

// Whether another response to the same request follows. After 101 the
// connection speaks another protocol.
bool
IsInterim(int aStatus)
{
  return aStatus >= 100 && aStatus < 200 && aStatus != 101;
}

} // namespace

AsyncHttpClient::AsyncHttpClient(EventLoop& aLoop,
                                 const Endpoint& aServer,
                                 ReplyBuffers& aBuffers,
                                 ReplyKind aKind)
  : mLoop(aLoop)
  , mServer(aServer)
  , mBuffers(aBuffers)
  , mKind(aKind)
  , mReader(HttpMessageType::Responses, { kMaxHeadBytes, MaxBodyBytes(aKind) })
  , mHeld(aBuffers)
  , mDeadlineTimer(aLoop, [this] {
    mTimedOut = true;
    Fail("no response before the deadline");
  })
{
}

AsyncHttpClient::~AsyncHttpClient()
{
  Cancel();
}

void
AsyncHttpClient::Call(const std::string& aRequest,
                      Time aDeadline,
                      ResponseCallback aCallback)
{
  mRequest = aRequest;
  mDeadline = aDeadline;
  mTimedOut = false;
  mCallback = std::move(aCallback);
  mDeadlineTimer.ScheduleAt(aDeadline);
  mOnReusedConnection = mConnected && mSocket != nullptr && mSocket->IsOpen();
  if (mOnReusedConnection) {
    mReader.Next();
    mReceivedBytes = 0;
    mSocket->Write(mRequest);
    return;
  }
  OpenConnection();
}

void
AsyncHttpClient::SetServer(const Endpoint& aServer)
{
  if (aServer == mServer) {
    return;
  }
  mServer = aServer;
  Fail("the server's address has changed");
}

void
AsyncHttpClient::Cancel()
{
  mCallback = nullptr;
  mDeadlineTimer.Clear();
  mConnected = false;
  mReader.Next();
  mHeld.Resize(0);
  if (mSocket != nullptr) {
    mSocket->Close(true);
    mSocket.reset();
  }
}

void
AsyncHttpClient::OpenConnection()
{
  mConnected = false;
  mReader.Next();
  mReceivedBytes = 0;
  mSocket = MakeRef<Socket>(mLoop);
  mSocket->Connect(mServer, mDeadline, *this);
}

void
AsyncHttpClient::OnConnected()
{
  mConnected = true;
  if (mCallback != nullptr) {
    mSocket->Write(mRequest);
  }
}

void
AsyncHttpClient::OnData(std::string_view aData)
{
  if (mCallback == nullptr) {
    // Unsolicited data could be taken for the response to the next request, so
    // the connection is not reused.
    mSocket->Close(true);
    mConnected = false;
    return;
  }
  std::size_t n = mReader.Feed(aData);
  while (mReader.Progress() == HttpProgress::Complete &&
         IsInterim(mReader.Head().mStatus)) {
    // The server has the request.
    mOnReusedConnection = false;
    mReader.Next();
    n += mReader.Feed(aData.substr(n));
  }
  mReceivedBytes += n;
  if (!mHeld.Resize(mReceivedBytes) ||
      mReader.Error() == HttpParseError::BodyTooLarge) {
    GiveUp();
  } else if (mReader.Progress() == HttpProgress::Broken) {
    Fail("the response is not valid HTTP");
  } else if (mReader.Progress() == HttpProgress::Complete) {
    if (n < aData.size() || !mReader.Head().mKeepAlive) {
      mSocket->Close(true);
      mConnected = false;
    }
    Finish();
  }
}

void
AsyncHttpClient::OnEnd(SocketEnd aEnd)
{
  mConnected = false;
  if (mCallback == nullptr) {
    return;
  }
  if (mOnReusedConnection && !mReader.HasStarted()) {
    // The server closed an idle connection. Its requests are safe to retry, so
    // this one is sent again on a new connection.
    mOnReusedConnection = false;
    OpenConnection();
    return;
  }
  mReader.FeedEof();
  if (aEnd == SocketEnd::Closed &&
      mReader.Progress() == HttpProgress::Complete) {
    Finish();
    return;
  }
  Fail("the connection was closed or failed before the response was complete");
}

void
AsyncHttpClient::Finish()
{
  HttpReply reply;
  reply.mHead = mReader.Head();
  reply.mBody = mReader.TakeBody();
  if (!FitsJsonMemory(reply.mBody)) {
    GiveUp();
    return;
  }
  mHeld.Resize(0);
  mDeadlineTimer.Clear();
  const ResponseCallback callback = std::exchange(mCallback, nullptr);
  callback(std::move(reply), std::string());
}

void
AsyncHttpClient::Fail(const char* aReason)
{
  const ResponseCallback callback = std::exchange(mCallback, nullptr);
  Cancel();
  if (callback != nullptr) {
    callback(std::nullopt, aReason);
  }
}

void
AsyncHttpClient::GiveUp()
{
  mBuffers.OnGivenUp(mKind, FormatEndpoint(mServer), mReceivedBytes);
  Fail("the response needs too much memory");
}

} // namespace quetzalquay
