#include "gateway/CallerServer.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

using boost::asio::ip::tcp;

// Memory that a request takes while it is handled, besides its own bytes.
constexpr std::size_t kExchangeBytes = 8192;

// Parts of the memory for requests and answers that requests may take so: in
// any case, and while it is not used up.
constexpr std::size_t kReservedExchangeDivisor = 8;
constexpr std::size_t kExchangeDivisor = 2;

// Share of all connections that callers may open; the others are left for
// targets.
constexpr std::size_t kCallerShare = 3;
constexpr std::size_t kCallerShareDivisor = 4;

// Connections over the limit that are refused with an answer at the same time,
// and how long each of those that are turned away waits for its request.
// Further ones are closed at once.
constexpr std::size_t kMaxRefused = 64;
constexpr Duration kTurnAwayTime = std::chrono::seconds(1);

// Connections that are looked at to make room for a new one. Requests may have
// arrived on some of them.
constexpr int kMaxEvictionTries = 16;

} // namespace

CallerServer::CallerServer(GatewayContext& aContext, int aMaxConnections)
  : mContext(aContext)
  , mMaxConnections(aMaxConnections)
  , mRandom(std::random_device{}())
  , mLog(aContext.mMetrics)
  , mListener(
      aContext.mLoop,
      [this](tcp::socket aSocket) {
        Accept(std::move(aSocket), CallerKind::Caller);
      },
      [this](const std::string& aReason) {
        mLog.OnNotAccepted(aReason, EventLoop::Now());
      },
      [this] { return MayAccept(); })
  , mHostListener(
      aContext.mLoop,
      [this](tcp::socket aSocket) {
        Accept(std::move(aSocket), CallerKind::Host);
      },
      [this](const std::string& aReason) {
        mLog.OnNotAccepted(aReason, EventLoop::Now());
      },
      [this] { return MayAccept(); })
{
}

void
CallerServer::Accept(tcp::socket aSocket, CallerKind aKind)
{
  const auto connection = MakeRef<CallerConnection>(*this, aKind);
  const Time now = EventLoop::Now();
  if (!IsFull() || MakeRoom(now)) {
    mConnections.insert(connection);
    connection->Start(std::move(aSocket));
    return;
  }
  mLog.OnTurnedAway(mConnections.size(), now);
  if (mRefusedCount < kMaxRefused) {
    mConnections.insert(connection);
    connection->TurnAway(std::move(aSocket), now + kTurnAwayTime);
  }
}

// Whether a new connection could be served or refused with an answer.
bool
CallerServer::MayAccept()
{
  const Time now = EventLoop::Now();
  if (!IsFull() || mRefusedCount < kMaxRefused ||
      mEvictions.ForConnection(CallerLimit(), now) != nullptr) {
    return true;
  }
  mLog.OnNotAccepted("too many connections are open", now);
  return false;
}

bool
CallerServer::MakeRoom(Time aNow)
{
  for (int n = 0; n < kMaxEvictionTries && IsFull(); ++n) {
    Evictable* first = mEvictions.ForConnection(CallerLimit(), aNow);
    if (first == nullptr) {
      return false;
    }
    const RefPtr<CallerConnection> connection(
      static_cast<CallerConnection*>(first));
    const ConnectionUse use = first->Use();
    if (connection->GiveUp(mRefusedCount < kMaxRefused)) {
      mLog.OnGivenUp(use, mConnections.size(), aNow);
    }
  }
  return !IsFull();
}

std::size_t
CallerServer::CallerLimit() const
{
  return (static_cast<std::size_t>(mMaxConnections) - kMaxRefused) /
         kCallerShareDivisor * kCallerShare;
}

// Whether no more connections from callers may be opened.
bool
CallerServer::IsFull() const
{
  const std::size_t limit =
    static_cast<std::size_t>(mMaxConnections) - kMaxRefused;
  const std::size_t callers = mConnections.size() - mRefusedCount;
  return callers >= CallerLimit() ||
         callers + mContext.mPool.OpenConnectionCount() +
             mContext.mHostPool.OpenConnectionCount() >=
           limit;
}

std::size_t
CallerServer::BytesOfExchanges() const
{
  return static_cast<std::size_t>(mExchangeCount) * kExchangeBytes;
}

bool
CallerServer::HasMemoryForExchange() const
{
  const AnswerBuffers& buffers = mContext.mAnswerBuffers;
  const std::size_t limit = buffers.Limit();
  const std::size_t bytes = BytesOfExchanges() + kExchangeBytes;
  return bytes <= limit / kReservedExchangeDivisor ||
         (bytes <= limit / kExchangeDivisor &&
          bytes + buffers.Total() <= limit);
}

bool
CallerServer::GiveUpBody(ConnectionUse aUse)
{
  const Time now = EventLoop::Now();
  Evictable* first = mEvictions.ForBody(aUse, now);
  if (first == nullptr) {
    return false;
  }
  const RefPtr<CallerConnection> connection(
    static_cast<CallerConnection*>(first));
  mLog.OnGivenUp(first->Use(), mConnections.size(), now);
  connection->RejectUnread(
    "the memory for an unfinished body is needed by others");
  return true;
}

std::optional<ListenFailure>
CallerServer::Open(const Endpoint& aCallers, const Endpoint& aHosts)
{
  auto failure = mListener.Open(aCallers);
  if (!failure && aHosts.port() != 0) {
    failure = mHostListener.Open(aHosts);
  }
  return failure;
}

void
CallerServer::AcceptPending()
{
  mListener.AcceptPending();
  mHostListener.AcceptPending();
}

void
CallerServer::CloseListeners()
{
  mListener.Close();
  mHostListener.Close();
}

void
CallerServer::StopAcceptingRequests()
{
  AcceptPending();
  CloseIdle(ConnectionEnd::Stopping);
  mAcceptsRequests = false;
}

void
CallerServer::CloseIdle(ConnectionEnd aEnd)
{
  const auto connections = mConnections;
  for (const RefPtr<CallerConnection>& it : connections) {
    it->CloseIfIdle(aEnd);
  }
}

void
CallerServer::StopListening()
{
  AcceptPending();
  CloseListeners();
  CloseIdle(ConnectionEnd::Exiting);
}

bool
CallerServer::IsBusy() const
{
  return std::any_of(
    mConnections.begin(), mConnections.end(), [](const auto& aConnection) {
      return aConnection->IsBusy();
    });
}

void
CallerServer::FailRequests()
{
  const auto connections = mConnections;
  for (const RefPtr<CallerConnection>& it : connections) {
    it->FailRequest();
  }
}

void
CallerServer::Close()
{
  CloseListeners();
  while (!mConnections.empty()) {
    const RefPtr<CallerConnection> first = *mConnections.begin();
    first->Close(ConnectionEnd::Exiting);
  }
}

} // namespace quetzalquay
