#include "StoreServer.h"

#include "http/HttpReader.h"

#include <utility>

using namespace quetzalquay;

class StoreServer::Connection
  : public RefCounted<StoreServer::Connection>
  , public SocketHandler
{
public:
  explicit Connection(StoreServer& aServer)
    : mServer(aServer)
    , mSocket(MakeRef<Socket>(aServer.mLoop))
    , mReader(HttpMessageType::Requests, { 8192, 1U << 20U })
  {
  }

  void Start(boost::asio::ip::tcp::socket aSocket)
  {
    mSocket->Adopt(std::move(aSocket), *this);
  }

  void Drop()
  {
    mSocket->Close(true);
    mServer.mConnections.erase(RefPtr<Connection>(this));
  }

private:
  void OnData(std::string_view aData) override
  {
    const RefPtr<Connection> self(this);
    while (!aData.empty() && !mIsLost && mSocket->IsOpen()) {
      aData.remove_prefix(mReader.Feed(aData));
      if (mReader.Progress() == HttpProgress::Broken) {
        Drop();
        return;
      }
      if (mReader.Progress() != HttpProgress::Complete) {
        return;
      }
      HandleCall();
      mReader.Next();
    }
  }

  void OnEnd(SocketEnd) override { Drop(); }

  void HandleCall()
  {
    const StoreAccess access = mServer.mAccess;
    if (access == StoreAccess::Silent) {
      mIsLost = true;
    } else if (access == StoreAccess::Reset) {
      Drop();
    } else if (access == StoreAccess::Serve) {
      Respond(mServer.mHandler(mReader.Head(), mReader.TakeBody()));
    } else {
      SimpleHttpReply reply;
      reply.mStatus = access == StoreAccess::Unavailable ? 503 : 429;
      Respond(reply);
    }
  }

  void Respond(const SimpleHttpReply& aReply)
  {
    mSocket->Write(
      "HTTP/1.1 " + std::to_string(aReply.mStatus) +
      " Status\r\nContent-Type: " + aReply.mContentType +
      "\r\nContent-Length: " + std::to_string(aReply.mBody.size()) +
      "\r\n\r\n" + aReply.mBody);
  }

  StoreServer& mServer;
  RefPtr<Socket> mSocket;
  HttpReader mReader;
  // Whether a call has been left without an answer.
  bool mIsLost = false;
};

StoreServer::StoreServer(EventLoop& aLoop, SimpleHttpServer::Handler aHandler)
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

std::optional<std::string>
StoreServer::Open(const Endpoint& aAddress)
{
  return mListener.Open(aAddress);
}
