#include "http/SimpleHttpServer.h"

#include "http/HttpReader.h"

#include <set>
#include <utility>

namespace quetzalquay {

namespace {

using boost::asio::ip::tcp;

// Maximum number of connections waiting to be accepted.
constexpr int kListenBacklog = 1024;

// Delay after a failed accept, for example when no file descriptor is free, and
// while no connection may be accepted.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

constexpr std::size_t kMaxHeadBytes = 8192;
// No request that is served here needs a body.
constexpr std::size_t kMaxBodyBytes = 1024;

constexpr Duration kIdleTimeout = std::chrono::seconds(30);

// Connections that are looked at to make room for a new one. Requests may have
// arrived on some of them.
constexpr int kMaxEvictionTries = 16;

} // namespace

Listener::Listener(EventLoop& aLoop,
                   AcceptCallback aCallback,
                   ErrorCallback aOnError,
                   AdmitCallback aAdmits)
  : mCallback(std::move(aCallback))
  , mOnError(std::move(aOnError))
  , mAdmits(std::move(aAdmits))
  , mAcceptor(aLoop.Context())
  , mRetryTimer(aLoop, [this] { Accept(); })
{
}

ListenFailure
MakeListenFailure(const std::string& aAddress,
                  const boost::system::error_code& aError)
{
  return { "cannot listen on " + aAddress + ": " + aError.message(),
           aError == boost::asio::error::address_in_use };
}

std::optional<ListenFailure>
Listener::Open(const Endpoint& aAddress)
{
  if (mAcceptor.is_open() && mAddress == aAddress) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  tcp::acceptor acceptor(mAcceptor.get_executor());
  acceptor.open(tcp::v4(), ec);
  if (!ec) {
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
    acceptor.bind(aAddress, ec);
  }
  if (!ec) {
    acceptor.listen(kListenBacklog, ec);
  }
  if (ec) {
    return MakeListenFailure(FormatEndpoint(aAddress), ec);
  }
  if (mAcceptor.is_open()) {
    AcceptPending();
  }
  mAcceptor = std::move(acceptor);
  mAddress = aAddress;
  ++mAddressCount;
  Accept();
  return std::nullopt;
}

void
Listener::AcceptPending()
{
  boost::system::error_code ec;
  mAcceptor.non_blocking(true, ec);
  while (!ec && mAcceptor.is_open()) {
    tcp::socket socket = mAcceptor.accept(ec);
    if (!ec) {
      mCallback(std::move(socket));
    } else if (ec != boost::asio::error::would_block) {
      ReportError(ec);
    }
  }
}

void
Listener::ReportError(const boost::system::error_code& aError) const
{
  if (mOnError) {
    mOnError(aError.message());
  }
}

void
Listener::Close()
{
  boost::system::error_code ec;
  mAcceptor.close(ec);
  mRetryTimer.Clear();
}

void
Listener::Accept()
{
  mRetryTimer.Clear();
  if (mAdmits && !mAdmits()) {
    mRetryTimer.ScheduleAt(EventLoop::Now() + kAcceptRetryDelay);
    return;
  }
  mAcceptor.async_accept(
    [this, count = mAddressCount](const boost::system::error_code& aError,
                                  tcp::socket aSocket) {
      if (!mAcceptor.is_open()) {
        return;
      }
      if (count != mAddressCount) {
        if (!aError) {
          mCallback(std::move(aSocket));
        }
        return;
      }
      if (aError) {
        ReportError(aError);
        mRetryTimer.ScheduleAt(EventLoop::Now() + kAcceptRetryDelay);
        return;
      }
      mCallback(std::move(aSocket));
      Accept();
    });
}

struct SimpleHttpServer::Connections
{
  std::set<RefPtr<Connection>> mOpen;
  EvictionOrder mEvictions;
};

class SimpleHttpServer::Connection
  : public RefCounted<SimpleHttpServer::Connection>
  , public Evictable
  , public SocketHandler
{
public:
  explicit Connection(SimpleHttpServer& aServer)
    : mServer(aServer)
    , mSocket(MakeRef<Socket>(aServer.mLoop))
    , mReader(HttpMessageType::Requests, { kMaxHeadBytes, kMaxBodyBytes })
    , mIdleTimer(aServer.mLoop, [this] { Drop(); })
  {
  }

  void Start(tcp::socket aSocket)
  {
    mOpened = EventLoop::Now();
    mIdleTimer.ScheduleAt(mOpened + kIdleTimeout);
    mSocket->Adopt(std::move(aSocket), *this);
    WaitForRequest();
  }

  void Drop()
  {
    mSocket->Close();
    Forget();
  }

  // Reads what has been received. Returns whether a request has been answered,
  // or the connection has ended.
  bool AnswerReceived()
  {
    const std::size_t answered = mAnswered;
    mSocket->ReadReceived();
    return answered != mAnswered || !mSocket->IsOpen();
  }

private:
  void OnData(std::string_view aData) override
  {
    const RefPtr<Connection> self(this);
    mIdleTimer.ScheduleAt(EventLoop::Now() + kIdleTimeout);
    while (!aData.empty() && mSocket->IsOpen()) {
      aData.remove_prefix(mReader.Feed(aData));
      if (mReader.Progress() == HttpProgress::Broken) {
        Drop();
        return;
      }
      if (mReader.Progress() != HttpProgress::Complete) {
        return;
      }
      if (mSocket->UnwrittenBytes() > 0) {
        // Its last response has not been read.
        Drop();
        return;
      }
      Respond();
      mReader.Next();
    }
  }

  // From now on the connection is between requests. All senders are unknown
  // here.
  void WaitForRequest()
  {
    const Time now = EventLoop::Now();
    const auto use = ConnectionUse::Unidentified;
    mServer.mConnections->mEvictions.Place(
      *this,
      use,
      mSocket->RemoteEndpoint().address().to_v4().to_uint(),
      EvictableFrom(use, { mOpened, now, now, kIdleTimeout }));
  }

  void Forget()
  {
    mIdleTimer.Clear();
    mServer.mConnections->mEvictions.Remove(*this);
    mServer.mConnections->mOpen.erase(RefPtr<Connection>(this));
  }

  void OnEnd(SocketEnd) override { Drop(); }

  void Respond()
  {
    const bool keep = mReader.Head().mKeepAlive;
    const SimpleHttpReply reply =
      mServer.mHandler(mReader.Head(), mReader.TakeBody());
    std::string text = "HTTP/1.1 " + std::to_string(reply.mStatus) +
                       (reply.mStatus == 200 ? " OK\r\n" : " Refused\r\n");
    AppendField(text, "Content-Type", reply.mContentType);
    AppendField(text, "Content-Length", std::to_string(reply.mBody.size()));
    if (!keep) {
      AppendField(text, "Connection", "close");
    }
    mSocket->Write(text.append("\r\n").append(reply.mBody));
    ++mAnswered;
    if (keep) {
      WaitForRequest();
    } else {
      mSocket->CloseAfterWrites();
      Forget();
    }
  }

  SimpleHttpServer& mServer;
  RefPtr<Socket> mSocket;
  HttpReader mReader;
  Timer mIdleTimer;
  Time mOpened;
  // Requests that have been answered.
  std::size_t mAnswered = 0;
};

SimpleHttpServer::SimpleHttpServer(EventLoop& aLoop,
                                   Handler aHandler,
                                   std::size_t aMaxConnections)
  : mLoop(aLoop)
  , mHandler(std::move(aHandler))
  , mMaxConnections(aMaxConnections)
  , mConnections(std::make_unique<Connections>())
  , mListener(
      aLoop,
      [this](tcp::socket aSocket) { Accept(std::move(aSocket)); },
      nullptr,
      [this] { return MayAccept(); })
{
}

void
SimpleHttpServer::Accept(tcp::socket aSocket)
{
  if (!MakeRoom()) {
    return;
  }
  auto connection = MakeRef<Connection>(*this);
  mConnections->mOpen.insert(connection);
  connection->Start(std::move(aSocket));
}

bool
SimpleHttpServer::MayAccept() const
{
  return mConnections->mOpen.size() < mMaxConnections ||
         mConnections->mEvictions.ForConnection(mMaxConnections,
                                                EventLoop::Now()) != nullptr;
}

// Closes connections until there is room for a new one. Returns whether there
// is.
bool
SimpleHttpServer::MakeRoom()
{
  for (int n = 0;
       n < kMaxEvictionTries && mConnections->mOpen.size() >= mMaxConnections;
       ++n) {
    Evictable* first =
      mConnections->mEvictions.ForConnection(mMaxConnections, EventLoop::Now());
    if (first == nullptr) {
      return false;
    }
    const RefPtr<Connection> connection(static_cast<Connection*>(first));
    if (!connection->AnswerReceived()) {
      if (mOnEviction) {
        mOnEviction(first->Use(), mConnections->mOpen.size());
      }
      connection->Drop();
    }
  }
  return mConnections->mOpen.size() < mMaxConnections;
}

SimpleHttpServer::~SimpleHttpServer() = default;

std::optional<ListenFailure>
SimpleHttpServer::Open(const Endpoint& aAddress)
{
  return mListener.Open(aAddress);
}

} // namespace quetzalquay
