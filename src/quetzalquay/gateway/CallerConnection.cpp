#include "gateway/CallerConnection.h"

#include "core/Hash.h"
#include "gateway/CallerServer.h"
#include "gateway/PassedOnExchange.h"
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

// Bytes a caller may pipeline while a request is in progress: at least, at
// most, and as a part of the memory that is left for input. Reading from the
// socket pauses beyond that.
constexpr std::size_t kMinPipelinedBytes = 65536;
constexpr std::size_t kMaxPipelinedBytes = 1U << 20U;
constexpr std::size_t kPipelineDivisor = 16;

// Bytes of an unfinished head, and of one read, that a connection may hold
// however little memory is left. Usual heads are smaller.
constexpr std::size_t kAlwaysHeldBytes = 4096;

// Part of the memory for requests and answers that unfinished bodies of unknown
// senders may take together. Their requests are rejected when they are whole,
// so that the memory is only lent.
constexpr std::size_t kUnknownBodyDivisor = 8;

// Time until a connection with an unsent answer is looked at again when others
// need it.
constexpr Duration kUnsentGrace = std::chrono::seconds(1);

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

// Retry-After of requests on connections over the limit.
constexpr Duration kFullRetryAfter = std::chrono::seconds(1);

// Requests of other hosts that are served at the same time.
constexpr int kMaxHostExchanges = 128;

// Longest head and body of a request that another host passes on.
constexpr std::size_t kMaxHostHeadBytes = 1U << 20U;
constexpr std::size_t kMaxHostBodyBytes = 64U << 20U;

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

// Use of a connection on which a body of a sender is received.
ConnectionUse
UseOfBody(BodySender aSender)
{
  switch (aSender) {
    case BodySender::Public:
      return ConnectionUse::PublicBody;
    case BodySender::Keyed:
      return ConnectionUse::KeyedBody;
    case BodySender::Unknown:
      break;
  }
  return ConnectionUse::RejectedBody;
}

// Use of an idle connection by the sender of its last request.
ConnectionUse
UseOfIdle(BodySender aSender)
{
  switch (aSender) {
    case BodySender::Public:
      return ConnectionUse::IdlePublic;
    case BodySender::Keyed:
      return ConnectionUse::IdleKeyed;
    case BodySender::Unknown:
      break;
  }
  return ConnectionUse::Unidentified;
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

CallerConnection::CallerConnection(CallerServer& aServer, CallerKind aKind)
  : mServer(aServer)
  , mKind(aKind)
  , mSocket(MakeRef<Socket>(aServer.mContext.mLoop))
  , mUnsent(aServer.mContext.mAnswerBuffers)
  , mHeldRequest(aServer.mContext.mAnswerBuffers)
  , mHeldInput(aServer.mContext.mAnswerBuffers)
  , mHeldUnknown(aServer.mUnknownBodies)
  , mReader(HttpMessageType::Requests, {})
  , mTimer(aServer.mContext.mLoop, [this] { OnTimer(); })
{
}

void
CallerConnection::Start(tcp::socket aSocket)
{
  mOpenedAt = EventLoop::Now();
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
  mRefused = true;
  ++mServer.mRefusedCount;
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
    const RefPtr<Exchange> exchange = mExchange;
    ReleaseExchange();
    exchange->OnCallerDisconnected();
  }
  mServer.mEvictions.Remove(*this);
  mServer.mConnections.erase(self);
  mServer.mRefusedCount -= mRefused ? 1 : 0;
}

void
CallerConnection::OnData(std::string_view aData)
{
  const RefPtr<CallerConnection> self(this);
  mLastInputAt = EventLoop::Now();
  mUnparsedInput.append(aData);
  if (mHandlingRequest) {
    HoldInput();
    return;
  }
  ParseRequests();
}

// Other connections may take the same memory, so that what has arrived is read
// in small pieces when little is left.
std::size_t
CallerConnection::ReadLimit() const
{
  return std::max(kAlwaysHeldBytes, UnusedForInput());
}

// Memory that is left for input which is not a request in progress. It gets
// half of the memory, so that it takes none from answers to what was accepted.
std::size_t
CallerConnection::UnusedForInput() const
{
  const AnswerBuffers& buffers = mServer.mContext.mAnswerBuffers;
  const std::size_t share = buffers.Limit() / 2;
  return share - std::min(buffers.Total() + mServer.BytesOfExchanges(), share);
}

void
CallerConnection::OnEnd(SocketEnd)
{
  if (!mEnding) {
    // What the caller does not read of its answer is its own choice.
    ReportUnfinishedBytes(ConnectionEnd::CallerGone, true);
  }
  Close(std::nullopt);
}

void
CallerConnection::ParseRequests()
{
  if (mParsing) {
    return;
  }
  mParsing = true;
  mServer.mEvictions.Suspend(*this);
  while (!mHandlingRequest && !mEnding && !mClosed && UnparsedBytes() > 0) {
    const bool first = !mReader.HasStarted();
    if (first) {
      mArrivedAt = EventLoop::Now();
      ApplyLimits();
    }
    const std::size_t fed =
      mReader.Feed(std::string_view(mUnparsedInput).substr(mParsedBytes));
    mParsedBytes += fed;
    mRequestBytes += fed;
    if (mReader.Progress() == HttpProgress::Broken) {
      RejectMalformed();
    } else if (mTurnAwayUntil != Time::max() &&
               mReader.Progress() != HttpProgress::Head) {
      RejectUnread("too many connections are open");
    } else if (!HoldRequest()) {
      RejectUnread("the memory for requests is used up");
    } else if (!HoldUnknownBody()) {
      RejectUnread("the memory for bodies of unknown senders is used up");
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
  HoldInput();
  UpdateEviction();
}

// Bytes behind a running request beyond which reading pauses. An end of the
// connection behind more than that is noticed late, as it cannot be received.
std::size_t
CallerConnection::PipelineLimit() const
{
  const std::size_t unused = UnusedForInput();
  return unused == 0 ? 0
                     : std::clamp(unused / kPipelineDivisor,
                                  kMinPipelinedBytes,
                                  kMaxPipelinedBytes);
}

// Takes the memory for input that no request has consumed. While a request is
// handled, stops reading if there is too little of it.
void
CallerConnection::HoldInput()
{
  const std::size_t size = UnparsedBytes();
  if (size == 0) {
    std::string().swap(mUnparsedInput);
    mParsedBytes = 0;
  } else if (mParsedBytes > mUnparsedInput.size() / 2) {
    mUnparsedInput.erase(0, mParsedBytes);
    mParsedBytes = 0;
  }
  mHeldInput.Resize(size == 0 ? 0 : mUnparsedInput.capacity());
  if (mHandlingRequest && !mClosed && size > kAlwaysHeldBytes &&
      size > PipelineLimit()) {
    mSocket->StopReadingUntilEnd();
  }
}

// Applies the limits of the configuration in force to the next request.
void
CallerConnection::ApplyLimits()
{
  CallerLimits limits = CurrentLimits();
  if (mKind == CallerKind::Host) {
    // The other host has applied the limits of its own configuration.
    limits.mHeadBytes = kMaxHostHeadBytes;
    limits.mBodyBytes = kMaxHostBodyBytes;
  }
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
  if (mKind == CallerKind::Host && mReader.Head().mTarget == kHostCheckPath) {
    SendResponse(200, "", "", "");
    return;
  }
  auto call = AdmitRequest(mReader.Head(), mReader.TakeBody());
  if (!call) {
    return;
  }
  if (!mServer.HasMemoryForExchange()) {
    Reject(503, FailureCode::Overloaded, "the memory for requests is used up");
    return;
  }
  ++mServer.mExchangeCount;
  mServer.mHostExchangeCount += mKind == CallerKind::Host ? 1 : 0;
  const Time now = EventLoop::Now();
  if (mServer.mContext.mFleet.Reach().IsCutOff(call->mService, now)) {
    if (auto host =
          FindServingHost(mServer.mContext, *call, now, HostChoice::Any)) {
      HandOver handOver;
      handOver.mHost = std::move(*host);
      handOver.mCause = "cut_off";
      handOver.mEvents = EventSequence(mRequest.mLastEventId);
      PassOn(std::move(*call), std::move(handOver));
      return;
    }
    Log(LogLevel::Info,
        "request",
        "no other host to pass on to",
        { { "request", mRequest.mRequestId },
          { "service", call->mService },
          { "hosts",
            mServer.mContext.mFleet.Reach().DescribeHosts(call->mService,
                                                          now) } });
  }
  StartExchange(MakeExchange(std::move(*call)));
}

RefPtr<Exchange>
CallerConnection::MakeExchange(RoutedCall aCall)
{
  GatewayContext& context = mServer.mContext;
  if (aCall.mRoute->mKind != CallKind::Stream) {
    return MakeRef<PlainExchange>(context, std::move(aCall), *this);
  }
  const bool takenUp =
    !mRequest.mLastEventId.empty() || !mRequest.mOriginRequestId.empty();
  // The passing host knows where the stream began.
  const bool known = !aCall.mSoftwareVersion.empty();
  if (takenUp && !known) {
    return MakeRef<TakenUpStream>(context, std::move(aCall), *this);
  }
  return MakeRef<StreamExchange>(context, std::move(aCall), *this);
}

void
CallerConnection::StartExchange(const RefPtr<Exchange>& aExchange)
{
  mExchange = aExchange;
  aExchange->Start();
}

void
CallerConnection::PassOn(RoutedCall aCall, HandOver aHandOver)
{
  StartExchange(MakeRef<PassedOnExchange>(
    mServer.mContext, std::move(aCall), std::move(aHandOver), *this));
}

void
CallerConnection::TakeBack(RoutedCall aCall, const HandOver& aHandOver)
{
  StartExchange(MakeRef<StreamExchange>(
    mServer.mContext, std::move(aCall), *this, &aHandOver));
}

void
CallerConnection::ReleaseExchange()
{
  if (mExchange != nullptr) {
    mExchange = nullptr;
    --mServer.mExchangeCount;
    mServer.mHostExchangeCount -= mKind == CallerKind::Host ? 1 : 0;
  }
}

// Resolves the route, workspace and deadline of a request. Sends an error
// response and returns nothing when the request is rejected.
std::optional<RoutedCall>
CallerConnection::AdmitRequest(HttpHead aHead, std::string aBody)
{
  mPassedOn = PassedOnRequest();
  if (mKind == CallerKind::Host && !AdmitPassedOn(aHead)) {
    return std::nullopt;
  }
  RemoveHostFields(aHead);
  UseOriginForm(aHead);
  mRequest = platform::DecodeCallerRequest(aHead);
  if (mPassedOn.mResumed && mRequest.mOriginRequestId.empty()) {
    mRequest.mOriginRequestId = mRequest.mRequestId;
  }
  if (!mServer.mContext.mFleet.IsReady()) {
    RejectUnconfigured();
    return std::nullopt;
  }
  if (!mServer.IsAcceptingRequests()) {
    Reject(503, FailureCode::Stopping, "the host is shutting down");
    return std::nullopt;
  }
  const RefPtr<RoutingTable> routing = ChooseRouting();
  if (mPassedOn.mConfiguration > routing->mVersion) {
    Reject(503,
           FailureCode::ConfigurationUnknown,
           "the configuration of this host is older than the passing host's");
    return std::nullopt;
  }
  RoutedCall call;
  call.mRoute = routing->FindRoute(mRequest.mHost, aHead.mTarget);
  if (call.mRoute == nullptr || call.mRoute->mServices.empty()) {
    RejectUnknown(
      404, FailureCode::UnknownService, "no route matches the host and path");
    return std::nullopt;
  }
  if (routing->mKeysRequired && !call.mRoute->mPublic) {
    const KeyOwner* owner = routing->FindKey(mRequest.mApiKey);
    if (owner == nullptr) {
      RejectUnknown(401, FailureCode::Unauthorized, "unknown API key");
      return std::nullopt;
    }
    call.mWorkspace = owner->mWorkspace;
    call.mPriority = { owner->mPriority, call.mRoute->mPriority };
    mLastSender = BodySender::Keyed;
    mWorkspace = StableHash(call.mWorkspace);
  } else {
    call.mPriority = { call.mRoute->mPriority, 0 };
    mLastSender = BodySender::Public;
  }
  call.mRouting = routing;
  call.mService = ChooseService(*call.mRoute, mServer.mRandom);
  call.mArrivedAt = mArrivedAt - mPassedOn.mAge;
  call.mDeadline = std::min(
    mArrivedAt + mRequest.mCallerTimeout.value_or(kDefaultCallerTimeout),
    call.mArrivedAt + (call.mRoute->mTimeout > Duration::zero()
                         ? call.mRoute->mTimeout
                         : kDefaultCallerTimeout));
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
  if (mPassedOn.IsPassedOn()) {
    call.mPassedOn = mPassedOn;
    call.mService = mPassedOn.mService;
    call.mSoftwareVersion = mPassedOn.mSoftwareVersion;
    if (!CanServe(call)) {
      return std::nullopt;
    }
  }
  return call;
}

// Chooses the configuration by which the request is handled: the one in force,
// or the one by which another host has admitted it before it was replaced here.
RefPtr<RoutingTable>
CallerConnection::ChooseRouting() const
{
  const Fleet& fleet = mServer.mContext.mFleet;
  if (!mPassedOn.IsPassedOn()) {
    return fleet.Routing();
  }
  // A stream goes by its first configuration to its end.
  const Time at =
    mPassedOn.mResumed ? Time::min() : mArrivedAt - mPassedOn.mAge;
  const auto replaced = fleet.Replaced().Find(mPassedOn.mConfiguration, at);
  return replaced == nullptr ? fleet.Routing() : replaced;
}

// Reads what another host says of the request that it passes on. Sends an error
// response and returns false if it is not such a request.
bool
CallerConnection::AdmitPassedOn(const HttpHead& aHead)
{
  const auto passedOn = ParsePassedOnRequest(aHead);
  if (!passedOn) {
    mRequest = platform::DecodeCallerRequest(aHead);
    const bool ofHost = std::any_of(
      aHead.mFields.begin(), aHead.mFields.end(), [](const HttpField& aField) {
        return IsHostField(aField.mName);
      });
    if (ofHost) {
      Reject(503,
             FailureCode::InvalidRequest,
             "the passing host's fields cannot be read");
    } else {
      Reject(400,
             FailureCode::InvalidRequest,
             "not a request that a host has passed on");
    }
    return false;
  }
  mPassedOn = *passedOn;
  return true;
}

// Whether a request of another host can be served here at all. Sends an error
// response if not, so that the other host can look for a third one.
bool
CallerConnection::CanServe(const RoutedCall& aCall)
{
  const auto& services = aCall.mRoute->mServices;
  const bool allowed = std::any_of(
    services.begin(), services.end(), [&](const WeightedService& aService) {
      return aService.mName == aCall.mService;
    });
  if (!allowed) {
    Reject(503,
           FailureCode::VersionGone,
           "the route no longer uses the service that the passing host chose");
    return false;
  }
  if (mServer.mHostExchangeCount >= kMaxHostExchanges) {
    Reject(503,
           FailureCode::Overloaded,
           "too many requests of other hosts are being served");
    return false;
  }
  if (mServer.mContext.mFleet.Reach().IsCutOff(aCall.mService,
                                               EventLoop::Now())) {
    Reject(503,
           FailureCode::NoTarget,
           "this host is cut off from the service's targets");
    return false;
  }
  const auto number = [](auto aValue) { return std::to_string(aValue); };
  mServer.mContext.mMetrics.Add(GatewayCounter::RequestsServedForHosts);
  Log(LogLevel::Info,
      "request",
      "received from another host",
      { { "request", mRequest.mRequestId },
        { "from", mPassedOn.mFrom },
        { "service", aCall.mService },
        { "software", mPassedOn.mSoftwareVersion },
        { "age_ms", number(static_cast<int>(ToMilliseconds(mPassedOn.mAge))) },
        { "tries", number(mPassedOn.mTries) },
        { "runs", number(mPassedOn.mPrior.mRuns) },
        { "after_event", mRequest.mLastEventId } });
  return true;
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
        { "status", std::to_string(aStatus) },
        { "from", mPassedOn.mFrom },
        { "reason", failure.mMessage } });
  const Time now = EventLoop::Now();
  const Time deadline =
    now + mRequest.mCallerTimeout.value_or(kDefaultCallerTimeout);
  std::string fields =
    FormatFailureFields(failure, mRequest.mRequestId, deadline, now);
  if (mKind == CallerKind::Host) {
    mServer.mContext.mMetrics.Add(GatewayCounter::RequestsRefusedToHosts);
    fields += FormatHostFailure(
      failure.mVerdict, RefusedBy::Host, mPassedOn.mPrior.mRuns);
  }
  SendResponse(aStatus, "", fields, FormatFailureBody(failure));
}

// Takes the memory for what has been received of a request, and for the rest of
// its body if its head is complete. Returns whether there is enough.
bool
CallerConnection::HoldRequest()
{
  if (mReader.Progress() == HttpProgress::Head) {
    return mHeldRequest.Resize(mRequestBytes, kAlwaysHeldBytes);
  }
  const auto length =
    static_cast<std::size_t>(mReader.Head().mLength.value_or(0));
  const std::size_t size = std::max(length, mRequestBytes);
  if (!mSender &&
      (mReader.Progress() == HttpProgress::Body || size > kAlwaysHeldBytes)) {
    mSender = IdentifySender();
  }
  while (!mHeldRequest.Resize(size, kAlwaysHeldBytes)) {
    // A request that is counted twice by Resize() and does not fit into all of
    // the memory does not take that of others.
    if (size > mServer.mContext.mAnswerBuffers.Limit() / 2 ||
        !mServer.GiveUpBody(UseOfBody(*mSender))) {
      return false;
    }
  }
  return true;
}

// Takes the memory that unknown senders share if the request is an unfinished
// one of such a sender. Returns whether there is enough.
bool
CallerConnection::HoldUnknownBody()
{
  if (mSender != BodySender::Unknown ||
      mReader.Progress() != HttpProgress::Body) {
    mHeldUnknown.Resize(0);
    return true;
  }
  mServer.mUnknownBodies.SetLimit(mServer.mContext.mAnswerBuffers.Limit() /
                                  kUnknownBodyDivisor);
  return mHeldUnknown.Resize(mRequestBytes, kAlwaysHeldBytes);
}

// Finds out by its head who sends the request, as AdmitRequest() does when its
// body is complete.
BodySender
CallerConnection::IdentifySender()
{
  HttpHead head = mReader.Head();
  const auto& fleet = mServer.mContext.mFleet;
  if (!fleet.IsReady() ||
      (mKind == CallerKind::Host && !ParsePassedOnRequest(head))) {
    return BodySender::Unknown;
  }
  RemoveHostFields(head);
  UseOriginForm(head);
  const auto request = platform::DecodeCallerRequest(head);
  const auto& routing = fleet.Routing();
  const auto route = routing->FindRoute(request.mHost, head.mTarget);
  if (route == nullptr || route->mServices.empty()) {
    return BodySender::Unknown;
  }
  if (!routing->mKeysRequired || route->mPublic) {
    return BodySender::Public;
  }
  const KeyOwner* owner = routing->FindKey(request.mApiKey);
  if (owner == nullptr) {
    return BodySender::Unknown;
  }
  mWorkspace = StableHash(owner->mWorkspace);
  return BodySender::Keyed;
}

// What the connection is used for; nothing while a request is handled, or if
// the connection takes no room from others.
std::optional<ConnectionUse>
CallerConnection::CurrentUse() const
{
  if (mClosed || mRefused) {
    return std::nullopt;
  }
  if (mEnding) {
    return ConnectionUse::Ending;
  }
  if (mHandlingRequest) {
    return std::nullopt;
  }
  if (mSender && mReader.Progress() == HttpProgress::Body) {
    return UseOfBody(*mSender);
  }
  return UseOfIdle(mLastSender);
}

// Tells the server whether, and when, this connection can be closed for others.
void
CallerConnection::UpdateEviction(Time aNotBefore)
{
  if (mParsing) {
    // Follows when all input has been parsed.
    return;
  }
  const auto use = CurrentUse();
  if (!use) {
    mServer.mEvictions.Suspend(*this);
    return;
  }
  ConnectionTimes times;
  times.mOpened = mOpenedAt;
  times.mSince = mEnding                ? mEndingSince
                 : mReader.HasStarted() ? mArrivedAt
                                        : mIdleSince;
  times.mLastInput = mLastInputAt;
  const auto& routing = mServer.mContext.mFleet.Routing();
  times.mIdleTimeout = routing == nullptr ? CallerLimits().mIdleTimeout
                                          : routing->IdleTimeout(mIdleSince);
  const bool ofWorkspace =
    use == ConnectionUse::KeyedBody || use == ConnectionUse::IdleKeyed;
  mServer.mEvictions.Place(
    *this,
    *use,
    ofWorkspace ? mWorkspace
                : mSocket->RemoteEndpoint().address().to_v4().to_uint(),
    std::max(EvictableFrom(*use, times), aNotBefore));
}

bool
CallerConnection::GiveUp(bool aAnswers)
{
  const RefPtr<CallerConnection> self(this);
  const auto use = CurrentUse();
  if (!mEnding) {
    mSocket->ReadReceived();
  }
  if (mClosed) {
    return true;
  }
  if (CurrentUse() != use || mSocket->UnwrittenBytes() > 0) {
    // A request has arrived, or an answer is not sent yet.
    UpdateEviction(EventLoop::Now() + kUnsentGrace);
    return false;
  }
  if (mEnding) {
    Close(std::nullopt);
  } else if (mReader.HasStarted() && aAnswers) {
    mRefused = true;
    ++mServer.mRefusedCount;
    RejectUnread("the connection is needed by others");
  } else {
    Close(ConnectionEnd::GivenUp);
  }
  return true;
}

void
CallerConnection::RejectUnread(const char* aMessage)
{
  mHandlingRequest = true;
  mKeepAlive = false;
  mRequest = platform::DecodeCallerRequest(mReader.Head());
  Reject(503, FailureCode::Overloaded, aMessage);
}

// Rejects a request for something that the configuration lacks. A caller gives
// up after such an answer, so it gets one that asks it to come back while this
// host may have missed a change.
void
CallerConnection::RejectUnknown(int aStatus,
                                FailureCode aCode,
                                const char* aMessage)
{
  const Fleet& fleet = mServer.mContext.mFleet;
  mLastSender = BodySender::Unknown;
  if (mPassedOn.IsPassedOn() &&
      mPassedOn.mConfiguration < fleet.Routing()->mVersion) {
    // The caller would get a denial that its own host does not keep to.
    Reject(503,
           FailureCode::VersionGone,
           "the configuration of the passing host has been replaced");
  } else if (fleet.IsConfigurationConfirmed(EventLoop::Now())) {
    Reject(aStatus, aCode, aMessage);
  } else {
    Reject(503,
           FailureCode::ConfigurationUnknown,
           "the configuration of this host may be out of date");
  }
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
      mKeepAlive && (UnparsedBytes() > 0 || mSocket->UnreadBytes() > 0);
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
CallerConnection::SendInterimResponse(const std::string& aFields)
{
  mSocket->Write("HTTP/1.1 102 Processing\r\n" + aFields + "\r\n");
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
  ReleaseExchange();
  mHandlingRequest = false;
  mHeldRequest.Resize(0);
  mHeldUnknown.Resize(0);
  mSender.reset();
  EndConnection(ConnectionEnd::BrokenOff);
}

// Prepares for the next request once the response has been written, or closes
// the connection when it is not kept alive.
void
CallerConnection::EndRequest()
{
  ReleaseExchange();
  mHandlingRequest = false;
  mHeldRequest.Resize(0);
  mHeldUnknown.Resize(0);
  mSender.reset();
  mRequestBytes = 0;
  mContinueSent = false;
  if (!mKeepAlive) {
    EndConnection(ConnectionEnd::Answered);
    return;
  }
  mReader.Next();
  mIdleSince = EventLoop::Now();
  SetInputTimer();
  // Nothing is run for a caller that has left behind what it had sent.
  const RefPtr<CallerConnection> self(this);
  if (mSocket->IsOpen() && (UnparsedBytes() == 0 || !mSocket->HasPeerEnded())) {
    mSocket->SetReading(true);
    ParseRequests();
  }
  UpdateEviction();
}

// Reads no more requests, and closes the connection once the caller has
// received its answer. OnEnd follows.
void
CallerConnection::EndConnection(ConnectionEnd aEnd)
{
  ReportUnfinishedBytes(aEnd, true);
  mEnding = true;
  mEndingSince = EventLoop::Now();
  UpdateEviction();
  mTimer.Clear();
  std::string().swap(mUnparsedInput);
  mParsedBytes = 0;
  mHeldInput.Resize(0);
  // What was received of the request is no longer counted in mHeldRequest.
  mReader.Next();
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
      UnparsedBytes() + mSocket->UnreadBytes() + (partial ? 1 : 0);
  }
  bytes.mUnsent = aSendsOutput ? 0 : mSocket->UnwrittenBytes();
  if (bytes.mReceived > 0 || bytes.mUnsent > 0) {
    mServer.mLog.OnCut(aEnd, bytes, mRequest.mRequestId, EventLoop::Now());
  }
}

} // namespace quetzalquay
