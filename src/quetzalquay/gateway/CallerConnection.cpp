#include "gateway/CallerConnection.h"

#include "core/Hash.h"
#include "gateway/PlainExchange.h"
#include "gateway/StreamExchange.h"
#include "gateway/TakenUpStream.h"
#include "observe/Log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace quetzalquay {

namespace {

using boost::asio::ip::tcp;

// Bytes a caller may pipeline while a request is in progress. Reading from the
// socket pauses beyond that.
constexpr std::size_t kMaxPipelinedBytes = 65536;

// Retry-After of the 503 sent while the configuration or the targets are
// unknown, or the host is stopping.
constexpr Duration kNotReadyRetryAfter = std::chrono::milliseconds(500);

// Request timeout for callers that send none, and for routes without one.
constexpr Duration kDefaultCallerTimeout = std::chrono::seconds(60);

// Unsent bytes of a stream that are buffered for a slow caller, if the memory
// for answers has room for them, before its connection is closed.
constexpr std::size_t kMaxUnsentBytes = 4U << 20U;

// Time after which a caller that acknowledges nothing, or reads nothing of its
// answer, is given up. A caller that only pauses keeps its window closed and
// acknowledges the probes of it.
constexpr Duration kCallerTimeout = std::chrono::seconds(15);

// Share of all connections that callers may open; the others are left for
// targets.
constexpr std::size_t kCallerShare = 3;
constexpr std::size_t kCallerShareDivisor = 4;

// Connections over the limit that wait for their request at the same time, to
// reject it, and how long each waits. Further ones are closed at once.
constexpr std::size_t kMaxTurnedAway = 64;
constexpr Duration kTurnAwayTime = std::chrono::seconds(1);

// Retry-After of requests on connections over the limit.
constexpr Duration kFullRetryAfter = std::chrono::seconds(1);

const char*
ReasonPhrase(int aStatus)
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

// Picks one of the route's services at random, by weight.
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
  , mSocket(MakeRef<Socket>(aServer.mContext.mLoop))
  , mUnsent(aServer.mContext.mAnswerBuffers)
  , mHeldRequest(aServer.mContext.mAnswerBuffers)
  , mReader(HttpMessageType::Requests, {})
  , mTimer(aServer.mContext.mLoop, [this] { OnTimer(); })
{
}

void
CallerConnection::Start(tcp::socket aSocket)
{
  EndRequest();
  mSocket->Adopt(std::move(aSocket), *this, kCallerTimeout);
}

void
CallerConnection::FailRequest()
{
  if (mEnding || IsIdle()) {
    return;
  }
  const RefPtr<CallerConnection> self(this);
  if (const RefPtr<Exchange> exchange = mExchange) {
    exchange->OnExit();
    return;
  }
  mHandlingRequest = true;
  mKeepAlive = false;
  mRequest = platform::DecodeCallerRequest(mReader.Head());
  Reject(503, FailureCode::Stopping, "the host is shutting down");
}

bool
CallerConnection::IsBusy() const
{
  return !IsIdle() || mSocket->UnwrittenBytes() > 0;
}

void
CallerConnection::TurnAway(tcp::socket aSocket, Time aUntil)
{
  mTurnAwayUntil = aUntil;
  Start(std::move(aSocket));
}

// Whether no request is being received or handled.
bool
CallerConnection::IsIdle() const
{
  return !mEnding && !mHandlingRequest && !mReader.HasStarted();
}

void
CallerConnection::CloseIfIdle(ConnectionEnd aEnd)
{
  if (IsIdle()) {
    mSocket->ReadReceived();
  }
  if (IsIdle()) {
    CloseIdle(aEnd);
  }
}

void
CallerConnection::CloseIdle(ConnectionEnd aEnd)
{
  if (mSocket->UnwrittenBytes() > 0) {
    // The caller has not read the last answer yet.
    EndConnection(aEnd);
  } else {
    Close(aEnd);
  }
}

void
CallerConnection::Close(std::optional<ConnectionEnd> aEnd)
{
  if (mClosed) {
    return;
  }
  const RefPtr<CallerConnection> self(this);
  if (aEnd) {
    ReportUnfinishedBytes(*aEnd, false);
  }
  mClosed = true;
  mTimer.Clear();
  mSocket->Close();
  if (mHandlingRequest && mExchange != nullptr) {
    --mServer.mExchangeCount;
    const RefPtr<Exchange> exchange = std::exchange(mExchange, nullptr);
    exchange->OnCallerDisconnected();
  }
  mServer.mConnections.erase(self);
  mServer.mTurnedAwayCount -= mTurnAwayUntil != Time::max() ? 1 : 0;
}

void
CallerConnection::OnData(std::string_view aData)
{
  const RefPtr<CallerConnection> self(this);
  mUnparsedInput.append(aData);
  if (mHandlingRequest) {
    if (mUnparsedInput.size() > kMaxPipelinedBytes) {
      mSocket->SetReading(false);
    }
    return;
  }
  ParseRequests();
}

void
CallerConnection::OnEnd(SocketEnd)
{
  Close(std::nullopt);
}

void
CallerConnection::ParseRequests()
{
  if (mParsing) {
    return;
  }
  mParsing = true;
  while (!mHandlingRequest && !mEnding && !mClosed && !mUnparsedInput.empty()) {
    const bool first = !mReader.HasStarted();
    if (first) {
      mArrivedAt = EventLoop::Now();
      ApplyLimits();
    }
    const std::size_t fed = mReader.Feed(mUnparsedInput);
    mUnparsedInput.erase(0, fed);
    mRequestBytes += fed;
    if (mReader.Progress() == HttpProgress::Broken) {
      RejectMalformed();
    } else if (mTurnAwayUntil != Time::max() &&
               mReader.Progress() != HttpProgress::Head) {
      RejectUnread("too many connections are open");
    } else if (mReader.Progress() != HttpProgress::Head && !HoldRequest()) {
      RejectUnread("the memory for requests is used up");
    } else if (mReader.Progress() == HttpProgress::Complete) {
      mTimer.Clear();
      BeginRequest();
    } else if (mReader.Progress() == HttpProgress::Head) {
      if (first) {
        SetInputTimer();
      }
    } else {
      mTimer.Clear();
      if (!mContinueSent && mReader.Head().HasToken("Expect", "100-continue")) {
        mContinueSent = true;
        mSocket->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
    }
  }
  mParsing = false;
}

// Applies the limits of the configuration in force to the next request.
void
CallerConnection::ApplyLimits()
{
  const CallerLimits limits = CurrentLimits();
  if (limits.mHeadBytes != mReaderLimits.mHead ||
      limits.mBodyBytes != mReaderLimits.mBody) {
    mReaderLimits = { limits.mHeadBytes, limits.mBodyBytes };
    mReader.SetLimits(mReaderLimits);
    mReader.Next();
  }
}

void
CallerConnection::BeginRequest()
{
  mHandlingRequest = true;
  mKeepAlive = mReader.Head().mKeepAlive;
  auto call = AdmitRequest(mReader.Head(), mReader.TakeBody());
  if (!call) {
    return;
  }
  ++mServer.mExchangeCount;
  const bool takenUp =
    !mRequest.mLastEventId.empty() || !mRequest.mOriginRequestId.empty();
  if (call->mRoute->mKind == CallKind::Stream && takenUp) {
    mExchange =
      MakeRef<TakenUpStream>(mServer.mContext, std::move(*call), *this);
  } else if (call->mRoute->mKind == CallKind::Stream) {
    mExchange =
      MakeRef<StreamExchange>(mServer.mContext, std::move(*call), *this);
  } else {
    mExchange =
      MakeRef<PlainExchange>(mServer.mContext, std::move(*call), *this);
  }
  const RefPtr<Exchange> exchange = mExchange;
  exchange->Start();
}

// Resolves the route, workspace and deadline of a request. Sends an error
// response and returns nothing when the request is rejected.
std::optional<RoutedCall>
CallerConnection::AdmitRequest(HttpHead aHead, std::string aBody)
{
  mRequest = platform::DecodeCallerRequest(aHead);
  const RefPtr<RoutingTable>& routing = mServer.mContext.mFleet.Routing();
  if (!mServer.mContext.mFleet.IsReady()) {
    RejectUnconfigured();
    return std::nullopt;
  }
  if (!mServer.IsAcceptingRequests()) {
    Reject(503, FailureCode::Stopping, "the host is shutting down");
    return std::nullopt;
  }
  RoutedCall call;
  call.mRoute = routing->FindRoute(mRequest.mHost, aHead.mTarget);
  if (call.mRoute == nullptr || call.mRoute->mServices.empty()) {
    Reject(
      404, FailureCode::UnknownService, "no route matches the host and path");
    return std::nullopt;
  }
  if (routing->mKeysRequired && !call.mRoute->mPublic) {
    const KeyOwner* owner = routing->FindKey(mRequest.mApiKey);
    if (owner == nullptr) {
      Reject(401, FailureCode::Unauthorized, "unknown API key");
      return std::nullopt;
    }
    call.mWorkspace = owner->mWorkspace;
    call.mPriority = { owner->mPriority, call.mRoute->mPriority };
  } else {
    call.mPriority = { call.mRoute->mPriority, 0 };
  }
  call.mRouting = routing;
  call.mService = ChooseService(*call.mRoute, mServer.mRandom);
  call.mArrivedAt = mArrivedAt;
  call.mDeadline =
    mArrivedAt +
    std::min(mRequest.mCallerTimeout.value_or(kDefaultCallerTimeout),
             call.mRoute->mTimeout > Duration::zero() ? call.mRoute->mTimeout
                                                      : kDefaultCallerTimeout);
  call.mContent = {
    StableHash(aBody, StableHash(aHead.mTarget, StableHash(call.mWorkspace))),
    mRequest.mPromptParts
  };
  const std::string& origin = mRequest.mOriginRequestId.empty()
                                ? mRequest.mRequestId
                                : mRequest.mOriginRequestId;
  if (call.mRoute->mResumable && !origin.empty()) {
    call.mOriginKey = StableHash(origin);
  }
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
  if (aStatus == 503) {
    failure.mRetryAfter =
      aCode == FailureCode::Overloaded ? kFullRetryAfter : kNotReadyRetryAfter;
  }
  mServer.mContext.mMetrics.OnFailure(aCode, failure.mVerdict);
  const auto& routing = mServer.mContext.mFleet.Routing();
  Log(LogLevel::Info,
      "request",
      std::string(NameOf(aCode)),
      { { "request", mRequest.mRequestId },
        { "configuration",
          routing == nullptr ? "none" : std::to_string(routing->mVersion) },
        { "status", std::to_string(aStatus) } });
  const Time now = EventLoop::Now();
  const Time deadline =
    now + mRequest.mCallerTimeout.value_or(kDefaultCallerTimeout);
  SendResponse(aStatus,
               "",
               FormatFailureFields(failure, mRequest.mRequestId, deadline, now),
               FormatFailureBody(failure));
}

// Takes the memory for a request whose head is complete. Returns whether there
// is enough.
bool
CallerConnection::HoldRequest()
{
  const auto length =
    static_cast<std::size_t>(mReader.Head().mLength.value_or(0));
  return mHeldRequest.Resize(std::max(length, mRequestBytes));
}

// Rejects a request without waiting for its body, which would take memory.
void
CallerConnection::RejectUnread(const char* aMessage)
{
  mHandlingRequest = true;
  mKeepAlive = false;
  mRequest = platform::DecodeCallerRequest(mReader.Head());
  Reject(503, FailureCode::Overloaded, aMessage);
}

void
CallerConnection::RejectUnconfigured()
{
  Reject(503,
         FailureCode::ConfigurationUnknown,
         "the configuration has not been loaded yet");
}

void
CallerConnection::RejectMalformed()
{
  mHandlingRequest = true;
  mKeepAlive = false;
  mRequest = platform::DecodeCallerRequest(mReader.Head());
  if (mReader.Error() != HttpParseError::Malformed &&
      mServer.mContext.mFleet.Routing() == nullptr) {
    RejectUnconfigured();
    return;
  }
  switch (mReader.Error()) {
    case HttpParseError::HeadTooLarge:
      Reject(431, FailureCode::InvalidRequest, "the request head is too large");
      break;
    case HttpParseError::BodyTooLarge:
      Reject(
        413, FailureCode::PayloadTooLarge, "the request body is too large");
      break;
    case HttpParseError::Malformed:
    case HttpParseError::None:
      Reject(400, FailureCode::InvalidRequest, "malformed HTTP/1.1 request");
      break;
  }
}

// Decides whether the connection is kept after this response, and formats the
// status line and the Connection field.
std::string
CallerConnection::BeginResponse(int aStatus, const std::string& aReason)
{
  // A stopping host closes connections, but the caller that has already sent
  // its next request gets an answer to that first.
  if (mServer.mDraining) {
    mKeepAlive =
      mKeepAlive && (!mUnparsedInput.empty() || mSocket->UnreadBytes() > 0);
  }
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " " +
                     (aReason.empty() ? ReasonPhrase(aStatus) : aReason) +
                     "\r\n";
  if (!mKeepAlive) {
    AppendField(text, "Connection", "close");
  }
  return text;
}

void
CallerConnection::SendResponse(int aStatus,
                               const std::string& aReason,
                               const std::string& aFields,
                               std::string_view aBody)
{
  std::string text = BeginResponse(aStatus, aReason) + aFields;
  if (aStatus != 204 && aStatus != 304) {
    AppendField(text, "Content-Length", std::to_string(aBody.size()));
  }
  mSocket->Write(text.append("\r\n").append(aBody));
  // The answer had to be held before it was sent; what further answers may hold
  // is less meanwhile.
  mUnsent.Resize(mSocket->UnwrittenBytes());
  EndRequest();
}

void
CallerConnection::StartChunkedResponse(int aStatus,
                                       const std::string& aReason,
                                       const std::string& aFields)
{
  std::string text = BeginResponse(aStatus, aReason) + aFields;
  AppendField(text, "Transfer-Encoding", "chunked");
  // Sent together with the first chunk.
  mSocket->BufferForNextWrite(text.append("\r\n"));
}

void
CallerConnection::SendChunk(std::string_view aBytes)
{
  if (const std::size_t unsent = mSocket->UnwrittenBytes();
      unsent > kMaxUnsentBytes || !mUnsent.Resize(unsent)) {
    Close(ConnectionEnd::SlowReader);
    return;
  }
  std::array<char, 20> size{};
  const int n =
    std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  std::string text(size.data(), static_cast<std::size_t>(n));
  mSocket->Write(text.append(aBytes).append("\r\n"));
}

void
CallerConnection::EndChunkedResponse()
{
  mSocket->Write("0\r\n\r\n");
  EndRequest();
}

void
CallerConnection::AbortResponse()
{
  if (mExchange != nullptr) {
    mExchange = nullptr;
    --mServer.mExchangeCount;
  }
  mHandlingRequest = false;
  EndConnection(ConnectionEnd::BrokenOff);
}

// Prepares for the next request once the response has been written, or closes
// the connection when it is not kept alive.
void
CallerConnection::EndRequest()
{
  if (mExchange != nullptr) {
    mExchange = nullptr;
    --mServer.mExchangeCount;
  }
  mHandlingRequest = false;
  mHeldRequest.Resize(0);
  mRequestBytes = 0;
  mContinueSent = false;
  if (!mKeepAlive) {
    EndConnection(ConnectionEnd::Answered);
    return;
  }
  mReader.Next();
  mIdleSince = EventLoop::Now();
  SetInputTimer();
  if (mSocket->IsOpen()) {
    mSocket->SetReading(true);
    ParseRequests();
  }
}

// Reads no more requests, and closes the connection once the caller has
// received its answer. OnEnd follows.
void
CallerConnection::EndConnection(ConnectionEnd aEnd)
{
  ReportUnfinishedBytes(aEnd, true);
  mEnding = true;
  mTimer.Clear();
  mUnparsedInput.clear();
  mSocket->CloseGracefully();
}

CallerLimits
CallerConnection::CurrentLimits() const
{
  const auto& routing = mServer.mContext.mFleet.Routing();
  return routing == nullptr ? CallerLimits() : routing->mLimits;
}

// Until when the caller has to go on with its request or to begin one, by the
// configuration in force.
Time
CallerConnection::InputDeadline() const
{
  const CallerLimits limits = CurrentLimits();
  const auto& routing = mServer.mContext.mFleet.Routing();
  const Duration idle =
    routing == nullptr ? limits.mIdleTimeout : routing->IdleTimeout(mIdleSince);
  const Time deadline =
    mReader.HasStarted() ? mArrivedAt + limits.mHeadTimeout : mIdleSince + idle;
  return std::min(deadline, mTurnAwayUntil);
}

void
CallerConnection::SetInputTimer()
{
  mTimerExpiry = InputDeadline();
  mTimer.ScheduleAt(mTimerExpiry);
}

void
CallerConnection::OnTimer()
{
  if (mHandlingRequest) {
    return;
  }
  // The process may not have run for a while, with input that was received in
  // time.
  const RefPtr<CallerConnection> self(this);
  const Time expiry = mTimerExpiry;
  mSocket->ReadReceived();
  if (mClosed || mEnding || mHandlingRequest ||
      mReader.Progress() != HttpProgress::Head) {
    return;
  }
  if (InputDeadline() > expiry) {
    // A request has begun or ended, or the configuration allows more time than
    // when the timer was set.
    SetInputTimer();
    return;
  }
  if (mReader.HasStarted()) {
    mHandlingRequest = true;
    mKeepAlive = false;
    mRequest = platform::CallerRequest();
    Reject(408,
           FailureCode::InvalidRequest,
           "the request head was not received in time");
    return;
  }
  CloseIdle(ConnectionEnd::Idle);
}

// Logs the bytes that are lost if the connection ends now. aSendsOutput tells
// that buffered output is still sent.
void
CallerConnection::ReportUnfinishedBytes(ConnectionEnd aEnd, bool aSendsOutput)
{
  UnfinishedBytes bytes;
  // What follows a request that was answered before its end is no request.
  if (aEnd != ConnectionEnd::Answered ||
      mReader.Progress() == HttpProgress::Complete) {
    const bool partial =
      mReader.HasStarted() && mReader.Progress() != HttpProgress::Complete;
    bytes.mReceived =
      mUnparsedInput.size() + mSocket->UnreadBytes() + (partial ? 1 : 0);
  }
  bytes.mUnsent = aSendsOutput ? 0 : mSocket->UnwrittenBytes();
  if (bytes.mReceived > 0 || bytes.mUnsent > 0) {
    mServer.mLog.OnCut(aEnd, bytes, mRequest.mRequestId, EventLoop::Now());
  }
}

CallerServer::CallerServer(GatewayContext& aContext, int aMaxConnections)
  : mContext(aContext)
  , mMaxConnections(aMaxConnections)
  , mRandom(std::random_device{}())
  , mLog(aContext.mMetrics)
  , mListener(aContext.mLoop,
              [this](tcp::socket aSocket) { Accept(std::move(aSocket)); })
{
}

void
CallerServer::Accept(tcp::socket aSocket)
{
  const auto connection = MakeRef<CallerConnection>(*this);
  if (!IsFull()) {
    mConnections.insert(connection);
    connection->Start(std::move(aSocket));
    return;
  }
  const Time now = EventLoop::Now();
  mLog.OnTurnedAway(mConnections.size(), now);
  if (mTurnedAwayCount < kMaxTurnedAway) {
    ++mTurnedAwayCount;
    mConnections.insert(connection);
    connection->TurnAway(std::move(aSocket), now + kTurnAwayTime);
  }
}

// Whether no more connections from callers may be opened.
bool
CallerServer::IsFull() const
{
  const std::size_t limit =
    static_cast<std::size_t>(mMaxConnections) - kMaxTurnedAway;
  const std::size_t callers = mConnections.size() - mTurnedAwayCount;
  return callers >= limit / kCallerShareDivisor * kCallerShare ||
         callers + mContext.mPool.OpenConnectionCount() >= limit;
}

std::optional<std::string>
CallerServer::Open(const Endpoint& aEndpoint)
{
  return mListener.Open(aEndpoint);
}

void
CallerServer::StopAcceptingRequests()
{
  mListener.AcceptPending();
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
  mListener.AcceptPending();
  mListener.Close();
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
  mListener.Close();
  while (!mConnections.empty()) {
    const RefPtr<CallerConnection> first = *mConnections.begin();
    first->Close(ConnectionEnd::Exiting);
  }
}

} // namespace quetzalquay
