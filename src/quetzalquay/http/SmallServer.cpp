#include "http/SmallServer.h"

#include "http/HttpReader.h"

#include <set>
#include <utility>

namespace quetzalquay {

namespace {

using boost::asio::ip::tcp;

// Connections that wait to be accepted.
constexpr int kBacklog = 1024;

// Pause after a failed accept, as when no descriptor is free.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

constexpr std::size_t kMaxHeadBytes = 8192;
constexpr std::size_t kMaxBodyBytes = 1U << 20U;
constexpr std::size_t kMaxConnections = 200;

// Time after which an idle connection is closed.
constexpr Duration kIdleTime = std::chrono::seconds(30);

} // namespace

Listener::Listener(EventLoop& aLoop, Receiver aReceiver)
  : mReceiver(std::move(aReceiver))
  , mAcceptor(aLoop.Context())
  , mRetry(aLoop, [this] { Accept(); })
{
}

std::optional<std::string>
Listener::Open(const Endpoint& aAt)
{
  boost::system::error_code ec;
  mAcceptor.open(tcp::v4(), ec);
  if (!ec) {
    mAcceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
    mAcceptor.bind(aAt, ec);
  }
  if (!ec) {
    mAcceptor.listen(kBacklog, ec);
  }
  if (ec) {
    return "cannot listen on " + ToText(aAt) + ": " + ec.message();
  }
  Accept();
  return std::nullopt;
}

void
Listener::Close()
{
  boost::system::error_code ec;
  mAcceptor.close(ec);
  mRetry.Clear();
}

void
Listener::Accept()
{
  mAcceptor.async_accept(
    [this](const boost::system::error_code& aError, tcp::socket aSocket) {
      if (!mAcceptor.is_open()) {
        return;
      }
      if (aError) {
        mRetry.SetAt(EventLoop::Now() + kAcceptPause);
        return;
      }
      mReceiver(std::move(aSocket));
      Accept();
    });
}

struct SmallServer::Connections
{
  std::set<RefPtr<Connection>> mOpen;
};

class SmallServer::Connection
  : public RefCounted<SmallServer::Connection>
  , public SocketSink
{
public:
  explicit Connection(SmallServer& aServer)
    : mServer(aServer)
    , mSocket(MakeRef<Socket>(aServer.mLoop))
    , mReader(HttpSide::Requests, { kMaxHeadBytes, kMaxBodyBytes })
    , mIdle(aServer.mLoop, [this] { Drop(); })
  {
  }

  void Start(tcp::socket aSocket)
  {
    mIdle.SetAt(EventLoop::Now() + kIdleTime);
    mSocket->Adopt(std::move(aSocket), *this);
  }

  void Drop()
  {
    mSocket->Close();
    mIdle.Clear();
    mServer.mConnections->mOpen.erase(RefPtr<Connection>(this));
  }

private:
  void OnData(std::string_view aData) override
  {
    const RefPtr<Connection> self(this);
    mIdle.SetAt(EventLoop::Now() + kIdleTime);
    while (!aData.empty() && mSocket->IsOpen()) {
      aData.remove_prefix(mReader.Take(aData));
      if (mReader.Progress() == HttpProgress::Broken) {
        Drop();
        return;
      }
      if (mReader.Progress() != HttpProgress::Complete) {
        return;
      }
      Answer();
      mReader.Next();
    }
  }

  void OnEnd(SocketEnd) override { Drop(); }

  void Answer()
  {
    const bool keep = mReader.Head().mKeepAlive;
    const SmallReply reply =
      mServer.mHandler(mReader.Head(), mReader.TakeBody());
    std::string text = "HTTP/1.1 " + std::to_string(reply.mStatus) +
                       (reply.mStatus == 200 ? " OK\r\n" : " Refused\r\n");
    AppendField(text, "Content-Type", reply.mType);
    AppendField(text, "Content-Length", std::to_string(reply.mBody.size()));
    if (!keep) {
      AppendField(text, "Connection", "close");
    }
    mSocket->Write(text.append("\r\n").append(reply.mBody));
    if (!keep) {
      mSocket->CloseAfterWrites();
      mServer.mConnections->mOpen.erase(RefPtr<Connection>(this));
    }
  }

  SmallServer& mServer;
  RefPtr<Socket> mSocket;
  HttpReader mReader;
  Alarm mIdle;
};

SmallServer::SmallServer(EventLoop& aLoop, Handler aHandler)
  : mLoop(aLoop)
  , mHandler(std::move(aHandler))
  , mConnections(std::make_unique<Connections>())
  , mListener(aLoop, [this](tcp::socket aSocket) {
    if (mConnections->mOpen.size() >= kMaxConnections) {
      return;
    }
    auto connection = MakeRef<Connection>(*this);
    mConnections->mOpen.insert(connection);
    connection->Start(std::move(aSocket));
  })
{
}

SmallServer::~SmallServer() = default;

std::optional<std::string>
SmallServer::Open(const Endpoint& aAt)
{
  return mListener.Open(aAt);
}

} // namespace quetzalquay
