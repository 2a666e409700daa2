#include "gateway/CallerConnection.h"

#include "core/Hash.h"
#include "gateway/PlainExchange.h"
#include "gateway/StreamExchange.h"
#include "observe/Log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace quetzalquay {

namespace {

using boost::asio::ip::tcp;

// Bytes that a caller may send ahead while its request is being answered.
constexpr std::size_t kMaxAhead = 65536;

// Pause that a caller is told while the configuration is not known.
constexpr Duration kUnreadyRetryAfter = std::chrono::milliseconds(500);

// Time for which a caller waits that does not say so.
constexpr Duration kUsualPatience = std::chrono::seconds(60);

// Bytes of a slow caller's answer that are kept before it is given up.
constexpr std::size_t kMaxUnwritten = 4U << 20U;

const char*
ReasonOf(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Answer";
  }
}

// Service of a route, chosen by weight.
const std::string&
ChooseService(const Route& aRoute, std::mt19937_64& aRandom)
{
  double total = 0;
  for (const WeightedService& it : aRoute.mServices) {
    total += it.mWeight;
  }
  double at = std::uniform_real_distribution<double>(0, total)(aRandom);
  for (const WeightedService& it : aRoute.mServices) {
    at -= it.mWeight;
    if (at < 0) {
      return it.mName;
    }
  }
  return aRoute.mServices.back().mName;
}

} // namespace

CallerConnection::CallerConnection(CallerServer& aServer)
  : mServer(aServer)
  , mSocket(MakeRef<Socket>(aServer.mParts.mLoop))
  , mReader(HttpSide::Requests, {})
  , mAlarm(aServer.mParts.mLoop, [this] { OnTimer(); })
{
}

void
CallerConnection::Start(tcp::socket aSocket)
{
  EndRequest();
  mSocket->Adopt(std::move(aSocket), *this);
}

bool
CallerConnection::IsIdle() const
{
  return !mBusy && !mReader.Started();
}

void
CallerConnection::Drop()
{
  if (mDropped) {
    return;
  }
  const RefPtr<CallerConnection> self(this);
  mDropped = true;
  mAlarm.Clear();
  mSocket->Close();
  if (mBusy && mExchange != nullptr) {
    --mServer.mExchanges;
    const RefPtr<Exchange> exchange = std::exchange(mExchange, nullptr);
    exchange->OnCallerGone();
  }
  mServer.mConnections.erase(self);
}

void
CallerConnection::OnData(std::string_view aData)
{
  const RefPtr<CallerConnection> self(this);
  mPending.append(aData);
  if (mBusy) {
    if (mPending.size() > kMaxAhead) {
      mSocket->SetReading(false);
    }
    return;
  }
  Read();
}

void
CallerConnection::OnEnd(SocketEnd)
{
  Drop();
}

void
CallerConnection::Read()
{
  if (mReading) {
    return;
  }
  mReading = true;
  while (!mBusy && !mDropped && !mPending.empty()) {
    if (!mReader.Started()) {
      mArrived = EventLoop::Now();
      if (const auto& routing = mServer.mParts.mFleet.Routing()) {
        mAlarm.SetAt(mArrived + routing->mLimits.mHeadTimeout);
      }
    }
    mPending.erase(0, mReader.Take(mPending));
    if (mReader.Progress() == HttpProgress::Broken) {
      RejectBroken();
    } else if (mReader.Progress() == HttpProgress::Complete) {
      mAlarm.Clear();
      BeginRequest();
    } else if (mReader.Progress() == HttpProgress::Body) {
      mAlarm.Clear();
      if (!mContinueSent && mReader.Head().HasToken("Expect", "100-continue")) {
        mContinueSent = true;
        mSocket->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
    }
  }
  mReading = false;
}

void
CallerConnection::BeginRequest()
{
  mBusy = true;
  mKeepAlive = mReader.Head().mKeepAlive;
  auto call = Admit(mReader.Head(), mReader.TakeBody());
  if (!call) {
    return;
  }
  ++mServer.mExchanges;
  if (call->mRoute->mKind == CallKind::Stream) {
    mExchange =
      MakeRef<StreamExchange>(mServer.mParts, std::move(*call), *this);
  } else {
    mExchange = MakeRef<PlainExchange>(mServer.mParts, std::move(*call), *this);
  }
  const RefPtr<Exchange> exchange = mExchange;
  exchange->Start();
}

// Finds route and workspace of a request. Answers it and returns nothing when
// it cannot be carried out.
std::optional<CallerCall>
CallerConnection::Admit(HttpHead aHead, std::string aBody)
{
  mRequest = platform::DecodeCaller(aHead);
  const RefPtr<RoutingTable>& routing = mServer.mParts.mFleet.Routing();
  if (!mServer.mParts.mFleet.IsReady()) {
    Reject(503,
           FailureCode::ConfigurationUnknown,
           "this host does not know the configuration yet");
    return std::nullopt;
  }
  if (!mServer.IsTaking()) {
    Reject(503, FailureCode::Stopping, "this host is about to stop");
    return std::nullopt;
  }
  CallerCall call;
  call.mRoute = routing->Find(mRequest.mHost, aHead.mTarget);
  if (call.mRoute == nullptr || call.mRoute->mServices.empty()) {
    Reject(404, FailureCode::UnknownService, "no route for this host and path");
    return std::nullopt;
  }
  if (routing->mKeysRequired && !call.mRoute->mPublic) {
    const KeyOwner* owner = routing->FindKey(mRequest.mKey);
    if (owner == nullptr) {
      Reject(401, FailureCode::Unauthorized, "the API key is not known");
      return std::nullopt;
    }
    call.mWorkspace = owner->mWorkspace;
    call.mPriority = owner->mPriority;
  }
  call.mRouting = routing;
  call.mService = ChooseService(*call.mRoute, mServer.mRandom);
  call.mArrived = mArrived;
  call.mDeadline =
    mArrived + std::min(mRequest.mPatience.value_or(kUsualPatience),
                        call.mRoute->mTimeout > Duration::zero()
                          ? call.mRoute->mTimeout
                          : kUsualPatience);
  call.mContentHash =
    StableHash(aBody, StableHash(aHead.mTarget, StableHash(call.mWorkspace)));
  call.mRequest = mRequest;
  call.mHead = std::move(aHead);
  call.mBody = std::move(aBody);
  return call;
}

void
CallerConnection::Reject(int aStatus, FailureCode aCode, const char* aMessage)
{
  Failure failure;
  failure.mCode = aCode;
  failure.mVerdict = RunVerdict::NotRun;
  failure.mMessage = aMessage;
  failure.mRetryAfter = aStatus == 503 ? kUnreadyRetryAfter : Duration::zero();
  mServer.mParts.mMetrics.OnFailure(aCode, failure.mVerdict);
  const auto& routing = mServer.mParts.mFleet.Routing();
  Log(LogLevel::Info,
      "request",
      std::string(NameOf(aCode)),
      { { "request", mRequest.mRequestId },
        { "configuration",
          routing == nullptr ? "none" : std::to_string(routing->mVersion) },
        { "status", std::to_string(aStatus) } });
  const Time now = EventLoop::Now();
  const Time deadline = now + mRequest.mPatience.value_or(kUsualPatience);
  SendWhole(aStatus,
            "",
            FailureFields(failure, mRequest.mRequestId, deadline, now),
            FailureBody(failure));
}

void
CallerConnection::RejectBroken()
{
  mBusy = true;
  mKeepAlive = false;
  mRequest = platform::DecodeCaller(mReader.Head());
  switch (mReader.Fault()) {
    case HttpFault::HeadTooLarge:
      Reject(431, FailureCode::InvalidRequest, "the head is too large");
      break;
    case HttpFault::BodyTooLarge:
      Reject(413, FailureCode::PayloadTooLarge, "the body is too large");
      break;
    case HttpFault::Malformed:
    case HttpFault::None:
      Reject(400, FailureCode::InvalidRequest, "not a valid HTTP/1.1 request");
      break;
  }
}

std::string
CallerConnection::StatusLine(int aStatus, const std::string& aReason) const
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " " +
                     (aReason.empty() ? ReasonOf(aStatus) : aReason) + "\r\n";
  if (!mKeepAlive || mServer.mDraining) {
    AppendField(text, "Connection", "close");
  }
  return text;
}

void
CallerConnection::SendWhole(int aStatus,
                            const std::string& aReason,
                            const std::string& aFields,
                            std::string_view aBody)
{
  std::string text = StatusLine(aStatus, aReason) + aFields;
  if (aStatus != 204 && aStatus != 304) {
    AppendField(text, "Content-Length", std::to_string(aBody.size()));
  }
  mKeepAlive = mKeepAlive && !mServer.mDraining;
  mSocket->Write(text.append("\r\n").append(aBody));
  EndRequest();
}

void
CallerConnection::StartPieces(int aStatus,
                              const std::string& aReason,
                              const std::string& aFields)
{
  std::string text = StatusLine(aStatus, aReason) + aFields;
  AppendField(text, "Transfer-Encoding", "chunked");
  mKeepAlive = mKeepAlive && !mServer.mDraining;
  // Goes out together with the first piece.
  mSocket->Hold(text.append("\r\n"));
}

void
CallerConnection::SendPiece(std::string_view aBytes)
{
  if (mSocket->Unwritten() > kMaxUnwritten) {
    Drop();
    return;
  }
  std::array<char, 20> size{};
  const int n =
    std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  std::string text(size.data(), static_cast<std::size_t>(n));
  mSocket->Write(text.append(aBytes).append("\r\n"));
}

void
CallerConnection::EndPieces()
{
  mSocket->Write("0\r\n\r\n");
  EndRequest();
}

void
CallerConnection::BreakOff()
{
  if (mExchange != nullptr) {
    mExchange = nullptr;
    --mServer.mExchanges;
  }
  mSocket->CloseAfterWrites();
  Drop();
}

// The request has its answer; the next one may come.
void
CallerConnection::EndRequest()
{
  if (mExchange != nullptr) {
    mExchange = nullptr;
    --mServer.mExchanges;
  }
  mBusy = false;
  mContinueSent = false;
  if (!mKeepAlive) {
    mSocket->CloseAfterWrites();
    mDropped = true;
    mAlarm.Clear();
    mServer.mConnections.erase(RefPtr<CallerConnection>(this));
    return;
  }
  const auto& routing = mServer.mParts.mFleet.Routing();
  const CallerLimits limits =
    routing == nullptr ? CallerLimits() : routing->mLimits;
  mReader.SetLimits({ limits.mHeadBytes, limits.mBodyBytes });
  mReader.Next();
  mAlarm.SetAt(EventLoop::Now() + limits.mIdleTimeout);
  if (mSocket->IsOpen()) {
    mSocket->SetReading(true);
    Read();
  }
}

void
CallerConnection::OnTimer()
{
  if (mBusy) {
    return;
  }
  if (mReader.Started()) {
    mBusy = true;
    mKeepAlive = false;
    mRequest = platform::CallerRequest();
    Reject(408, FailureCode::InvalidRequest, "the head did not come in time");
    return;
  }
  Drop();
}

CallerServer::CallerServer(GatewayParts& aParts, int aMaxConnections)
  : mParts(aParts)
  , mMaxConnections(aMaxConnections)
  , mRandom(std::random_device{}())
  , mListener(aParts.mLoop, [this](tcp::socket aSocket) {
    const auto limit = static_cast<std::size_t>(mMaxConnections);
    if (mConnections.size() + mParts.mPool.Open() >= limit) {
      return;
    }
    auto connection = MakeRef<CallerConnection>(*this);
    mConnections.insert(connection);
    connection->Start(std::move(aSocket));
  })
{
}

std::optional<std::string>
CallerServer::Open(const Endpoint& aAt)
{
  return mListener.Open(aAt);
}

void
CallerServer::StopTaking()
{
  mTaking = false;
  const auto connections = mConnections;
  for (const RefPtr<CallerConnection>& it : connections) {
    if (it->IsIdle()) {
      it->Drop();
    }
  }
}

void
CallerServer::Close()
{
  mListener.Close();
  while (!mConnections.empty()) {
    const RefPtr<CallerConnection> first = *mConnections.begin();
    first->Drop();
  }
}

} // namespace quetzalquay
