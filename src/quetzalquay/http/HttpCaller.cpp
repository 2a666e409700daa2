#include "http/HttpCaller.h"

#include <utility>

namespace quetzalquay {

namespace {

constexpr std::size_t kMaxHeadBytes = 16384;

// Largest answer: a page of rows, or the gathered knowledge of a peer.
constexpr std::size_t kMaxBodyBytes = 16U << 20U;

} // namespace

HttpCaller::HttpCaller(EventLoop& aLoop, const Endpoint& aServer)
  : mLoop(aLoop)
  , mServer(aServer)
  , mReader(HttpSide::Answers, { kMaxHeadBytes, kMaxBodyBytes })
  , mDeadline(aLoop, [this] { Fail("no answer in time"); })
{
}

HttpCaller::~HttpCaller()
{
  Cancel();
}

void
HttpCaller::Call(const std::string& aRequest, Time aBy, Receiver aReceiver)
{
  mRequest = aRequest;
  mBy = aBy;
  mReceiver = std::move(aReceiver);
  mDeadline.SetAt(aBy);
  mOnKept = mConnected && mSocket != nullptr && mSocket->IsOpen();
  if (mOnKept) {
    mReader.Next();
    mSocket->Write(mRequest);
    return;
  }
  Open();
}

void
HttpCaller::Cancel()
{
  mReceiver = nullptr;
  mDeadline.Clear();
  mConnected = false;
  if (mSocket != nullptr) {
    mSocket->Close(true);
    mSocket.reset();
  }
}

void
HttpCaller::Open()
{
  mConnected = false;
  mReader.Next();
  mSocket = MakeRef<Socket>(mLoop);
  mSocket->Connect(mServer, mBy, *this);
}

void
HttpCaller::OnConnected()
{
  mConnected = true;
  if (mReceiver != nullptr) {
    mSocket->Write(mRequest);
  }
}

void
HttpCaller::OnData(std::string_view aData)
{
  if (mReceiver == nullptr) {
    // Nothing is due: the connection cannot be trusted any more.
    mSocket->Close(true);
    mConnected = false;
    return;
  }
  const std::size_t n = mReader.Take(aData);
  if (mReader.Progress() == HttpProgress::Broken) {
    Fail("the answer is not valid HTTP");
  } else if (mReader.Progress() == HttpProgress::Complete) {
    if (n < aData.size() || !mReader.Head().mKeepAlive) {
      mSocket->Close(true);
      mConnected = false;
    }
    Finish();
  }
}

void
HttpCaller::OnEnd(SocketEnd aEnd)
{
  mConnected = false;
  if (mReceiver == nullptr) {
    return;
  }
  if (mOnKept && !mReader.Started()) {
    // The server closed the kept connection; its requests may be repeated.
    mOnKept = false;
    Open();
    return;
  }
  mReader.TakeEnd();
  if (aEnd == SocketEnd::Closed &&
      mReader.Progress() == HttpProgress::Complete) {
    Finish();
    return;
  }
  Fail("the connection failed");
}

void
HttpCaller::Finish()
{
  HttpReply reply;
  reply.mHead = mReader.Head();
  reply.mBody = mReader.TakeBody();
  mDeadline.Clear();
  const Receiver receiver = std::exchange(mReceiver, nullptr);
  receiver(std::move(reply), std::string());
}

void
HttpCaller::Fail(const char* aReason)
{
  const Receiver receiver = std::exchange(mReceiver, nullptr);
  Cancel();
  if (receiver != nullptr) {
    receiver(std::nullopt, aReason);
  }
}

} // namespace quetzalquay
