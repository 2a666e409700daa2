#include "StoreServer.h"

#include "http/HttpReader.h"

#include <utility>

using namespace quetzalquay;

namespace {

// Interval at which a call that waits for a change is tried again.
constexpr auto kRetryInterval = std::chrono::milliseconds(10);

// Time until the answer of a slow store.
constexpr auto kSlowAnswerTime = std::chrono::milliseconds(400);

} // namespace

class StoreServer::Connection
  : public RefCounted<StoreServer::Connection>
  , public SocketHandler
{
public:
  explicit Connection(StoreServer& aServer)
    : mServer(aServer)
    , mSocket(MakeRef<Socket>(aServer.mLoop))
    , mReader(HttpMessageType::Requests, { 8192, 1U << 20U })
    , mRetryTimer(aServer.mLoop, [this] { HandleCall(); })
  {
  }

  void Start(boost::asio::ip::tcp::socket aSocket)
  {
    mSocket->Adopt(std::move(aSocket), *this);
  }

  void Drop()
  {
    mRetryTimer.Clear();
    mSocket->Close(true);
    mServer.mConnections.erase(RefPtr<Connection>(this));
  }

private:
  void OnData(std::string_view aData) override
  {
    const RefPtr<Connection> self(this);
    mReader.Feed(aData);
    if (mReader.Progress() == HttpProgress::Broken) {
      Drop();
    } else if (mReader.Progress() == HttpProgress::Complete && !mIsLost) {
      mReceivedAt = EventLoop::Now();
      mBody = mReader.TakeBody();
      HandleCall();
    }
  }

  void OnEnd(SocketEnd) override { Drop(); }

  void HandleCall()
  {
    const RefPtr<Connection> self(this);
    const StoreAccess access = mServer.mAccess;
    if (access == StoreAccess::Silent) {
      mIsLost = true;
    } else if (access == StoreAccess::Reset) {
      Drop();
    } else if (const Time now = EventLoop::Now();
               access == StoreAccess::Slow &&
               now < mReceivedAt + kSlowAnswerTime) {
      mRetryTimer.ScheduleAt(mReceivedAt + kSlowAnswerTime);
    } else if (access == StoreAccess::Serve || access == StoreAccess::Slow) {
      const auto reply = mServer.mHandler(
        mReader.Head(),
        mBody,
        std::chrono::duration_cast<Duration>(now - mReceivedAt));
      if (reply) {
        Respond(*reply);
      } else {
        mRetryTimer.ScheduleAt(now + kRetryInterval);
      }
    } else {
      SimpleHttpReply reply;
      reply.mStatus = access == StoreAccess::Unavailable ? 503 : 429;
      Respond(reply);
    }
  }

  void Respond(const SimpleHttpReply& aReply)
  {
    mReader.Next();
    mSocket->Write(
      "HTTP/1.1 " + std::to_string(aReply.mStatus) +
      " Status\r\nContent-Type: " + aReply.mContentType +
      "\r\nContent-Length: " + std::to_string(aReply.mBody.size()) +
      "\r\n\r\n" + aReply.mBody);
  }

  StoreServer& mServer;
  RefPtr<Socket> mSocket;
  HttpReader mReader;
  Timer mRetryTimer;
  // When the open call was received, and its body.
  Time mReceivedAt;
  std::string mBody;
  // Whether a call has been left without an answer.
  bool mIsLost = false;
};

StoreServer::StoreServer(EventLoop& aLoop, Handler aHandler)
  : mLoop(aLoop)
  , mHandler(std::move(aHandler))
  , mListener(aLoop, [this](boost::asio::ip::tcp::socket aSocket) {
    auto connection = MakeRef<Connection>(*this);
    mConnections.insert(connection);
    connection->Start(std::move(aSocket));
  })
{
}

StoreServer::~StoreServer() = default;

std::optional<ListenFailure>
StoreServer::Open(const Endpoint& aAddress)
{
  return mListener.Open(aAddress);
}
