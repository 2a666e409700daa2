#include "gateway/TargetConnection.h"

#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Limits for a target's response.
constexpr std::size_t kMaxHeadBytes = 65536;
constexpr std::size_t kMaxBodyBytes = 64U << 20U;

// Connections are not reused within this time before the announced idle
// timeout, so that a request never races with the target closing the
// connection.
constexpr Duration kIdleTimeoutMargin = milliseconds(700);

// Time between two sweeps for expired idle connections.
constexpr Duration kSweepInterval = milliseconds(1000);

// Time after which a connection attempt without an answer says that the target
// is not reached. Callers that leave and deadlines end attempts sooner.
constexpr Duration kMinConnectTime = milliseconds(100);

// Idle connections kept per target.
constexpr std::size_t kMaxIdlePerTarget = 8;

} // namespace

TargetConnection::TargetConnection(TargetConnectionPool& aPool,
                                   const std::string& aTarget,
                                   const TargetLocation& aLocation)
  : mPool(aPool)
  , mTarget(aTarget)
  , mIncarnation(aLocation.mIncarnation)
  , mEndpoint(aLocation.mEndpoint)
  , mSocket(MakeRef<Socket>(aPool.mLoop))
  , mReader(HttpMessageType::Responses, { kMaxHeadBytes, kMaxBodyBytes })
  , mStartReport(aPool.mBuffers)
  , mIdleTimeout(aPool.mServers.IdleTimeout())
{
  ++mPool.mOpenConnectionCount;
}

TargetConnection::~TargetConnection()
{
  mSocket->Close();
  --mPool.mOpenConnectionCount;
}

void
TargetConnection::Send(const std::string& aHead,
                       const std::string& aBody,
                       const std::string& aRequestId,
                       Time aConnectDeadline,
                       AttemptSink& aSink)
{
  mSink = &aSink;
  mRequestId = aRequestId;
  mRequestSent = false;
  mHeadForwarded = false;
  mDiscardingResponse = false;
  mReader.Next();
  mRequestBytes = aHead + aBody;
  if (mConnected) {
    SendRequest();
    return;
  }
  mConnectingSince = EventLoop::Now();
  mSocket->Connect(mEndpoint, aConnectDeadline, *this);
}

void
TargetConnection::CheckStart()
{
  mChecksStart = !mStartChecked && mIncarnation != kNoStartTime;
}

// Sends the pending request, or asks the target for its start before.
void
TargetConnection::SendRequest()
{
  if (mChecksStart) {
    mChecksStart = false;
    mCheckingStart = true;
    mSocket->Write(platform::EncodeReportRequest(FormatEndpoint(mEndpoint)));
    return;
  }
  mRequestSent = true;
  mPool.mServers.OnSent(mTarget, EventLoop::Now());
  mSocket->Write(mRequestBytes);
  std::string().swap(mRequestBytes);
}

void
TargetConnection::Abort()
{
  const bool running = std::exchange(mSink, nullptr) != nullptr && mRequestSent;
  mConnected = false;
  if (running) {
    mSocket->Cancel(mReader.HasStarted());
  } else {
    mSocket->Close(true);
  }
}

void
TargetConnection::OnReplyTooLarge() const
{
  mPool.mMetrics.Add(GatewayCounter::RepliesTooLarge);
  Log(LogLevel::Warn,
      "target",
      "gave up a reply that is too large",
      { { "target", mTarget },
        { "max_bytes", std::to_string(ReplyBody::kMaxBytes) },
        { "all_answers", std::to_string(mPool.mBuffers.Total()) },
        { "limit", std::to_string(mPool.mBuffers.Limit()) } });
}

void
TargetConnection::OnConnected()
{
  mConnected = true;
  const Time now = EventLoop::Now();
  mPool.mLastActivityAt[mTarget] = now;
  mPool.mServers.OnConnected(mTarget, now);
  SendRequest();
}

void
TargetConnection::OnData(std::string_view aData)
{
  const RefPtr<TargetConnection> self(this);
  mPool.OnActivity(mTarget);
  if (mSink == nullptr) {
    // A response that no request is waiting for.
    Log(LogLevel::Warn,
        "target",
        "closed an idle connection with unexpected bytes",
        { { "target", mTarget }, { "bytes", std::to_string(aData.size()) } });
    mPool.CloseConnection(*this);
    return;
  }
  while (!aData.empty() && mSink != nullptr) {
    aData.remove_prefix(mReader.Feed(aData));
    if (mReader.Progress() == HttpProgress::Broken) {
      FailAttempt(mCheckingStart ? AttemptFailure::Unreachable
                                 : AttemptFailure::Broken);
      return;
    }
    if (mCheckingStart) {
      if (!mStartReport.Append(mReader.TakeBody())) {
        OnReplyTooLarge();
        FailAttempt(AttemptFailure::Unreachable);
        return;
      }
      if (mReader.Progress() == HttpProgress::Complete) {
        FinishStartCheck();
      }
      continue;
    }
    if (mReader.Progress() == HttpProgress::Head || !ForwardHead()) {
      continue;
    }
    std::string body = mReader.TakeBody();
    if (!body.empty() && !mDiscardingResponse) {
      mSink->OnResponseBody(std::move(body));
    }
    if (mSink == nullptr || mReader.Progress() != HttpProgress::Complete) {
      continue;
    }
    if (mDiscardingResponse) {
      mDiscardingResponse = false;
      mHeadForwarded = false;
      mReader.Next();
      continue;
    }
    if (!aData.empty()) {
      Log(LogLevel::Warn,
          "target",
          "unexpected bytes after a complete response",
          { { "target", mTarget }, { "request", mRequestId } });
      mConnected = false;
    }
    CompleteResponse();
    return;
  }
}

// Handles the target's report. Only a target that is known to be the start that
// its entry describes gets the request. A report without a start time says
// nothing, as for Prober.
void
TargetConnection::FinishStartCheck()
{
  mCheckingStart = false;
  std::string reason;
  const auto report = platform::DecodeReport(mStartReport.Take(), reason);
  const bool stays = mReader.Head().mKeepAlive && !mReader.Head().mUntilClose;
  mReader.Next();
  if (report && !report->mIncarnation.empty() &&
      report->mIncarnation != mIncarnation) {
    mPool.mServers.OnOtherStart(mTarget, *report, EventLoop::Now());
    FailAttempt(AttemptFailure::Restarted);
    return;
  }
  if (!report || !stays) {
    FailAttempt(AttemptFailure::Unreachable);
    return;
  }
  mStartChecked = true;
  SendRequest();
}

// Forwards the response head once. Returns false when the message was an
// informational (1xx) response, which ends there, or when the sink has aborted
// the attempt.
bool
TargetConnection::ForwardHead()
{
  if (mHeadForwarded) {
    return true;
  }
  const HttpHead& head = mReader.Head();
  if (head.mStatus < 200) {
    mSink->OnInterimResponse(head);
    mReader.Next();
    return false;
  }
  mHeadForwarded = true;
  const platform::TargetResponse response =
    platform::DecodeTargetResponse(head);
  mPool.OnAnswer(*this, response);
  if (!response.mRequestId.empty() && response.mRequestId != mRequestId) {
    mDiscardingResponse = true;
    Log(LogLevel::Warn,
        "target",
        "discarded a response to another request",
        { { "target", mTarget },
          { "request", mRequestId },
          { "answers", response.mRequestId } });
    return true;
  }
  if (response.mKeepAliveTimeout) {
    mIdleTimeout = *response.mKeepAliveTimeout;
  }
  mSink->OnResponseHead(head, response);
  return mSink != nullptr;
}

void
TargetConnection::CompleteResponse()
{
  AttemptSink* sink = std::exchange(mSink, nullptr);
  const bool keep = mConnected && mReader.Head().mKeepAlive &&
                    !mReader.Head().mUntilClose &&
                    mSocket->UnwrittenBytes() == 0;
  if (keep) {
    const Duration margin = std::min(kIdleTimeoutMargin, mIdleTimeout / 2);
    mReusableUntil = EventLoop::Now() + mIdleTimeout - margin;
    mPool.KeepIdle(*this);
  } else {
    mConnected = false;
    mSocket->Close(true);
  }
  sink->OnResponseComplete();
}

void
TargetConnection::OnEnd(SocketEnd aEnd)
{
  const RefPtr<TargetConnection> self(this);
  if (mSink == nullptr) {
    if (aEnd == SocketEnd::Failed) {
      const Time now = EventLoop::Now();
      mPool.mServers.OnConnectionLost(mTarget, now);
      mPool.mServers.OnIdleConnectionBroken(mTarget, now);
    }
    mPool.CloseConnection(*this);
    return;
  }
  if (!mConnected) {
    const bool unanswered =
      !mSocket->LackedDescriptor() &&
      EventLoop::Now() - mConnectingSince >= kMinConnectTime;
    if (mSocket->Refused() || unanswered) {
      mPool.mServers.OnNotConnected(mTarget, EventLoop::Now());
    }
    // A refusal is reported at once, an unreachable target only at the connect
    // deadline.
    FailAttempt(mSocket->Refused()            ? AttemptFailure::Refused
                : mSocket->LackedDescriptor() ? AttemptFailure::NoDescriptor
                                              : AttemptFailure::Unreachable);
    return;
  }
  mConnected = false;
  if (aEnd == SocketEnd::Closed && mHeadForwarded && !mDiscardingResponse &&
      mReader.Head().mUntilClose) {
    if (!IsCutOffSuccess()) {
      mReader.FeedEof();
      CompleteResponse();
      return;
    }
    Log(LogLevel::Warn,
        "target",
        "response without length ended before the request was received",
        { { "target", mTarget },
          { "request", mRequestId },
          { "status", std::to_string(mReader.Head().mStatus) } });
  }
  mPool.mServers.OnConnectionLost(mTarget, EventLoop::Now());
  FailAttempt(mCheckingStart ? AttemptFailure::Unreachable
                             : AttemptFailure::Broken);
}

// Whether the end of the connection, which delimits the response, came while
// the request was still on its way. A process that ends has its connections
// closed in order if it has read all input, so a success is not known to be
// complete. Errors may be sent instead of reading the request.
bool
TargetConnection::IsCutOffSuccess() const
{
  return mReader.Head().mStatus / 100 == 2 && mSocket->HasUndeliveredOutput();
}

void
TargetConnection::FailAttempt(AttemptFailure aFailure)
{
  mConnected = false;
  mCheckingStart = false;
  mStartReport.Take();
  mSocket->Close(true);
  std::exchange(mSink, nullptr)->OnAttemptFailed(aFailure);
}

TargetConnectionPool::TargetConnectionPool(EventLoop& aLoop,
                                           ServerDirectory& aServers,
                                           AnswerBuffers& aBuffers,
                                           GatewayMetrics& aMetrics)
  : mLoop(aLoop)
  , mServers(aServers)
  , mBuffers(aBuffers)
  , mMetrics(aMetrics)
  , mIdleSweepTimer(aLoop, [this] { CloseIdle(); })
{
}

TargetConnectionPool::~TargetConnectionPool()
{
  for (auto& it : mIdle) {
    while (!it.second.empty()) {
      CloseConnection(it.second.front());
    }
  }
}

RefPtr<TargetConnection>
TargetConnectionPool::Acquire(const std::string& aTarget)
{
  const TargetLocation* location = mServers.Locate(aTarget);
  if (location == nullptr) {
    return nullptr;
  }
  const auto idle = mIdle.find(aTarget);
  if (idle != mIdle.end()) {
    const Time now = EventLoop::Now();
    while (!idle->second.empty()) {
      // The most recently used connection stays reusable longest.
      TargetConnection& last = idle->second.back();
      if (last.ReusableUntil() <= now ||
          last.Incarnation() != location->mIncarnation) {
        CloseConnection(last);
        continue;
      }
      last.unlink();
      // Transfers the list's reference to the returned pointer.
      return RefPtr<TargetConnection>(&last, false);
    }
  }
  return Connect(aTarget);
}

RefPtr<TargetConnection>
TargetConnectionPool::Connect(const std::string& aTarget)
{
  const TargetLocation* location = mServers.Locate(aTarget);
  if (location == nullptr) {
    return nullptr;
  }
  ++mOpenedCount;
  return MakeRef<TargetConnection>(*this, aTarget, *location);
}

Time
TargetConnectionPool::LastActivity(const std::string& aTarget) const
{
  const auto it = mLastActivityAt.find(aTarget);
  return it == mLastActivityAt.end() ? Time() : it->second;
}

void
TargetConnectionPool::KeepIdle(TargetConnection& aConnection)
{
  ConnectionList& idle = mIdle[aConnection.Target()];
  intrusive_ptr_add_ref(&aConnection);
  idle.push_back(aConnection);
  if (idle.size() > kMaxIdlePerTarget) {
    CloseConnection(idle.front());
  }
  if (!mIdleSweepTimer.IsSet()) {
    mIdleSweepTimer.ScheduleAt(EventLoop::Now() + kSweepInterval);
  }
}

void
TargetConnectionPool::CloseConnection(TargetConnection& aConnection)
{
  aConnection.Abort();
  if (aConnection.is_linked()) {
    aConnection.unlink();
    intrusive_ptr_release(&aConnection);
  }
}

void
TargetConnectionPool::OnActivity(const std::string& aTarget)
{
  const Time now = EventLoop::Now();
  mLastActivityAt[aTarget] = now;
  mServers.OnAlive(aTarget, now);
}

void
TargetConnectionPool::SetAnswerCallback(AnswerCallback aCallback)
{
  mOnAnswer = std::move(aCallback);
}

void
TargetConnectionPool::OnAnswer(const TargetConnection& aConnection,
                               const platform::TargetResponse& aResponse) const
{
  if (mOnAnswer) {
    mOnAnswer(aConnection.Target(), aConnection.Incarnation(), aResponse);
  }
}

void
TargetConnectionPool::CloseIdle()
{
  const Time now = EventLoop::Now();
  bool left = false;
  for (auto& it : mIdle) {
    while (!it.second.empty() && it.second.front().ReusableUntil() <= now) {
      CloseConnection(it.second.front());
    }
    left = left || !it.second.empty();
  }
  if (left) {
    mIdleSweepTimer.ScheduleAt(now + kSweepInterval);
  }
}

} // namespace quetzalquay
