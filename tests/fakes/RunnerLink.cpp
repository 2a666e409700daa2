#include "RunnerLink.h"

#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

using namespace quetzalquay;

namespace {

// Time limit for the connection to the runner, which is on this machine.
constexpr auto kRunnerConnectTimeout = std::chrono::seconds(5);

int
CheckedSocket(int aResult)
{
  if (aResult < 0) {
    throw std::runtime_error("cannot open a silent listener");
  }
  return aResult;
}

} // namespace

// A gateway's connection and the one to the runner on which it is passed on.
class RunnerLink::Connection : public RefCounted<RunnerLink::Connection>
{
public:
  explicit Connection(RunnerLink& aLink)
    : mLink(aLink)
    , mGatewaySide(*this, aLink.mLoop)
    , mRunnerSide(*this, aLink.mLoop)
  {
    mGatewaySide.mOther = &mRunnerSide;
    mRunnerSide.mOther = &mGatewaySide;
  }

  void Start(boost::asio::ip::tcp::socket aSocket)
  {
    mGatewaySide.mSocket->Adopt(std::move(aSocket), mGatewaySide);
    mGatewaySide.mSocket->SetReading(false);
    mRunnerSide.mSocket->Connect(
      mLink.mRunner, EventLoop::Now() + kRunnerConnectTimeout, mRunnerSide);
  }

  // Holds back all bytes and the end of the connection, in both directions.
  void SetSilent(bool aSilent)
  {
    const RefPtr<Connection> self(this);
    const bool wasSilent = std::exchange(mSilent, aSilent);
    if (!mConnected) {
      return;
    }
    for (Side* it : { &mGatewaySide, &mRunnerSide }) {
      it->mSocket->SetReading(!aSilent);
      if (wasSilent && !aSilent) {
        // What has ended meanwhile is found by the first read.
        it->mMayHaveLostReset = true;
        it->mSocket->ReadReceived();
        it->mMayHaveLostReset = false;
      }
    }
  }

  void Reset()
  {
    mGatewaySide.mSocket->Close(true);
    mRunnerSide.mSocket->Close(true);
    Remove();
  }

private:
  class Side : public SocketHandler
  {
  public:
    Side(Connection& aConnection, EventLoop& aLoop)
      : mConnection(aConnection)
      , mSocket(MakeRef<Socket>(aLoop))
    {
    }

    void OnConnected() override { mConnection.OnConnected(); }

    void OnData(std::string_view aData) override
    {
      if (mOther->mLost) {
        // The system answers for a connection that is gone.
        const RefPtr<Connection> connection(&mConnection);
        mSocket->Close(true);
        connection->Remove();
        return;
      }
      mOther->mSocket->Write(aData);
    }

    void OnEnd(SocketEnd aEnd) override
    {
      const RefPtr<Connection> connection(&mConnection);
      if (mMayHaveLostReset && aEnd == SocketEnd::Failed) {
        mLost = true;
        return;
      }
      if (aEnd == SocketEnd::Closed) {
        mSocket->Close();
        mOther->mSocket->CloseAfterWrites();
      } else {
        mSocket->Close(true);
        mOther->mSocket->Close(true);
      }
      connection->Remove();
    }

    Connection& mConnection;
    RefPtr<Socket> mSocket;
    Side* mOther = nullptr;
    // Whether an end that is found now came while the link was silent, and
    // whether the other side has not heard of one that did.
    bool mMayHaveLostReset = false;
    bool mLost = false;
  };

  void OnConnected()
  {
    mConnected = true;
    SetSilent(mLink.mState == LinkState::Silent);
  }

  void Remove() { mLink.mConnections.erase(RefPtr<Connection>(this)); }

  RunnerLink& mLink;
  bool mConnected = false;
  bool mSilent = false;
  Side mGatewaySide;
  Side mRunnerSide;
};

RunnerLink::RunnerLink(EventLoop& aLoop, Endpoint aOwn, Endpoint aRunner)
  : mLoop(aLoop)
  , mOwn(std::move(aOwn))
  , mRunner(std::move(aRunner))
  , mListener(aLoop, [this](boost::asio::ip::tcp::socket aSocket) {
    Accept(std::move(aSocket));
  })
{
}

RunnerLink::~RunnerLink()
{
  CloseSilentListener();
}

void
RunnerLink::SetListening(bool aListening)
{
  mListening = aListening;
  UpdateListener();
}

void
RunnerLink::SetState(LinkState aState)
{
  mState = aState;
  const auto connections = mConnections;
  for (const auto& it : connections) {
    if (mState == LinkState::Reset) {
      it->Reset();
    } else {
      it->SetSilent(mState == LinkState::Silent);
    }
  }
  UpdateListener();
}

void
RunnerLink::Accept(boost::asio::ip::tcp::socket aSocket)
{
  const auto connection = MakeRef<Connection>(*this);
  mConnections.insert(connection);
  ++mConnectionCount;
  connection->Start(std::move(aSocket));
}

void
RunnerLink::UpdateListener()
{
  mListener.Close();
  CloseSilentListener();
  if (mState == LinkState::Silent) {
    OpenSilentListener();
  } else if (mState == LinkState::Up && mListening) {
    if (const auto failure = mListener.Open(mOwn)) {
      throw std::runtime_error(failure->mMessage);
    }
  }
}

void
RunnerLink::OpenSilentListener()
{
  const int on = 1;
  mSilentListener =
    CheckedSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  CheckedSocket(
    ::setsockopt(mSilentListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on));
  CheckedSocket(
    ::bind(mSilentListener, mOwn.data(), static_cast<socklen_t>(mOwn.size())));
  CheckedSocket(::listen(mSilentListener, 0));
  mQueueFiller =
    CheckedSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  CheckedSocket(
    ::connect(mQueueFiller, mOwn.data(), static_cast<socklen_t>(mOwn.size())));
}

void
RunnerLink::CloseSilentListener()
{
  for (int* it : { &mQueueFiller, &mSilentListener }) {
    if (*it >= 0) {
      ::close(std::exchange(*it, -1));
    }
  }
}
