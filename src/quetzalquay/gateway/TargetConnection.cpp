#include "gateway/TargetConnection.h"

#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxHeadBytes = 65536;
constexpr std::size_t kMaxBodyBytes = 64U << 20U;

// Idle time of a connection whose target announces none.
constexpr Duration kUnannouncedIdle = milliseconds(2000);

// Margin before the announced time, so that a request never meets the close.
constexpr Duration kIdleMargin = milliseconds(700);

// Time between two looks for connections that have been idle for too long.
constexpr Duration kSweepPause = milliseconds(1000);

// Idle connections that are kept for one target.
constexpr std::size_t kMaxIdle = 8;

} // namespace

TargetConnection::TargetConnection(TargetPool& aPool,
                                   const std::string& aTarget,
                                   const TargetLocation& aLocation)
  : mPool(aPool)
  , mTarget(aTarget)
  , mIncarnation(aLocation.mIncarnation)
  , mEndpoint(aLocation.mEndpoint)
  , mSocket(MakeRef<Socket>(aPool.mLoop))
  , mReader(HttpSide::Answers, { kMaxHeadBytes, kMaxBodyBytes })
  , mKeptFor(kUnannouncedIdle)
{
  ++mPool.mOpen;
}

TargetConnection::~TargetConnection()
{
  mSocket->Close();
  --mPool.mOpen;
}

void
TargetConnection::Send(const std::string& aHead,
                       const std::string& aBody,
                       const std::string& aRequestId,
                       Time aConnectBy,
                       TrySink& aSink)
{
  mSink = &aSink;
  mRequestId = aRequestId;
  mSent = false;
  mHeadPassed = false;
  mForeign = false;
  mReader.Next();
  mOutput = aHead + aBody;
  if (mConnected) {
    mSent = true;
    mSocket->Write(mOutput);
    mOutput.clear();
    return;
  }
  mSocket->Connect(mEndpoint, aConnectBy, *this);
}

void
TargetConnection::Abandon()
{
  mSink = nullptr;
  mConnected = false;
  mSocket->Close(true);
}

void
TargetConnection::OnConnected()
{
  mConnected = true;
  mSent = true;
  mPool.OnHeard(mTarget);
  mSocket->Write(mOutput);
  mOutput.clear();
}

void
TargetConnection::OnData(std::string_view aData)
{
  const RefPtr<TargetConnection> self(this);
  mPool.OnHeard(mTarget);
  if (mSink == nullptr) {
    // An answer that nobody waits for.
    Log(LogLevel::Warn,
        "target",
        "bytes on an idle connection",
        { { "target", mTarget }, { "bytes", std::to_string(aData.size()) } });
    mPool.Drop(*this);
    return;
  }
  while (!aData.empty() && mSink != nullptr) {
    aData.remove_prefix(mReader.Take(aData));
    if (mReader.Progress() == HttpProgress::Broken) {
      End(TryEnd::Broken);
      return;
    }
    if (mReader.Progress() == HttpProgress::Head || !TakeHead()) {
      continue;
    }
    std::string body = mReader.TakeBody();
    if (!body.empty() && !mForeign) {
      mSink->OnAnswerBody(std::move(body));
    }
    if (mSink == nullptr || mReader.Progress() != HttpProgress::Complete) {
      continue;
    }
    if (mForeign) {
      mForeign = false;
      mHeadPassed = false;
      mReader.Next();
      continue;
    }
    if (!aData.empty()) {
      Log(LogLevel::Warn,
          "target",
          "bytes behind a complete answer",
          { { "target", mTarget }, { "request", mRequestId } });
      mConnected = false;
    }
    Complete();
    return;
  }
}

// Passes the head on once. Returns false when the message is not the awaited
// answer and has been read over.
bool
TargetConnection::TakeHead()
{
  if (mHeadPassed) {
    return true;
  }
  const HttpHead& head = mReader.Head();
  if (head.mStatus < 200) {
    mReader.Next();
    return false;
  }
  mHeadPassed = true;
  const platform::TargetAnswer answer = platform::DecodeAnswer(head);
  if (!answer.mRequestId.empty() && answer.mRequestId != mRequestId) {
    mForeign = true;
    Log(LogLevel::Warn,
        "target",
        "answer to another request read over",
        { { "target", mTarget },
          { "request", mRequestId },
          { "answers", answer.mRequestId } });
    return true;
  }
  if (answer.mKeptFor) {
    mKeptFor = *answer.mKeptFor;
  }
  mSink->OnAnswerHead(head, answer);
  return mSink != nullptr;
}

void
TargetConnection::Complete()
{
  TrySink* sink = std::exchange(mSink, nullptr);
  const bool keep = mConnected && mReader.Head().mKeepAlive &&
                    !mReader.Head().mUntilClose && mSocket->Unwritten() == 0;
  if (keep) {
    const Duration margin = std::min(kIdleMargin, mKeptFor / 2);
    mUsableUntil = EventLoop::Now() + mKeptFor - margin;
    mPool.Keep(*this);
  } else {
    mConnected = false;
    mSocket->Close(true);
  }
  sink->OnAnswerComplete();
}

void
TargetConnection::OnEnd(SocketEnd aEnd)
{
  const RefPtr<TargetConnection> self(this);
  if (mSink == nullptr) {
    if (aEnd == SocketEnd::Failed) {
      mPool.mFleet.Targets().OnBroken(mTarget, EventLoop::Now());
    }
    mPool.Drop(*this);
    return;
  }
  if (!mConnected) {
    // A refusal comes at once, silence only when the time is over.
    const bool refused = mSocket->Refused();
    End(refused ? TryEnd::Refused : TryEnd::Unreachable);
    return;
  }
  mConnected = false;
  if (aEnd == SocketEnd::Closed && mHeadPassed && !mForeign &&
      mReader.Head().mUntilClose) {
    mReader.TakeEnd();
    Complete();
    return;
  }
  End(TryEnd::Broken);
}

void
TargetConnection::End(TryEnd aEnd)
{
  mConnected = false;
  mSocket->Close(true);
  std::exchange(mSink, nullptr)->OnTryEnded(aEnd);
}

TargetPool::TargetPool(EventLoop& aLoop, Fleet& aFleet)
  : mLoop(aLoop)
  , mFleet(aFleet)
  , mSweep(aLoop, [this] { CloseIdle(); })
{
}

TargetPool::~TargetPool()
{
  for (auto& it : mIdle) {
    while (!it.second.empty()) {
      Drop(it.second.front());
    }
  }
}

RefPtr<TargetConnection>
TargetPool::Take(const std::string& aTarget)
{
  const TargetLocation* location = mFleet.Locate(aTarget);
  if (location == nullptr) {
    return nullptr;
  }
  const auto idle = mIdle.find(aTarget);
  if (idle != mIdle.end()) {
    const Time now = EventLoop::Now();
    while (!idle->second.empty()) {
      // The one used last stays usable longest.
      TargetConnection& last = idle->second.back();
      if (last.UsableUntil() <= now ||
          last.Incarnation() != location->mIncarnation) {
        Drop(last);
        continue;
      }
      last.unlink();
      // The list's reference goes over to the caller.
      return RefPtr<TargetConnection>(&last, false);
    }
  }
  ++mOpened;
  return MakeRef<TargetConnection>(*this, aTarget, *location);
}

Time
TargetPool::LastHeard(const std::string& aTarget) const
{
  const auto it = mHeard.find(aTarget);
  return it == mHeard.end() ? Time() : it->second;
}

void
TargetPool::Keep(TargetConnection& aConnection)
{
  List& idle = mIdle[aConnection.Target()];
  intrusive_ptr_add_ref(&aConnection);
  idle.push_back(aConnection);
  if (idle.size() > kMaxIdle) {
    Drop(idle.front());
  }
  if (!mSweep.IsSet()) {
    mSweep.SetAt(EventLoop::Now() + kSweepPause);
  }
}

void
TargetPool::Drop(TargetConnection& aConnection)
{
  aConnection.Abandon();
  if (aConnection.is_linked()) {
    aConnection.unlink();
    intrusive_ptr_release(&aConnection);
  }
}

void
TargetPool::OnHeard(const std::string& aTarget)
{
  const Time now = EventLoop::Now();
  mHeard[aTarget] = now;
  mFleet.Targets().OnAlive(aTarget, now);
}

void
TargetPool::CloseIdle()
{
  const Time now = EventLoop::Now();
  bool left = false;
  for (auto& it : mIdle) {
    while (!it.second.empty() && it.second.front().UsableUntil() <= now) {
      Drop(it.second.front());
    }
    left = left || !it.second.empty();
  }
  if (left) {
    mSweep.SetAt(now + kSweepPause);
  }
}

} // namespace quetzalquay
