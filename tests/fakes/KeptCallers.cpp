#include "KeptCallers.h"

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// Time after its deadline for which a caller waits for an answer.
constexpr auto kDeadlineSlack = milliseconds(500);

// Receive buffer of a caller that pauses between two reads, and the bytes that
// it reads at a time.
constexpr int kSlowReceiveBytes = 262144;

// Interval at which a resting caller checks whether it may go on.
constexpr auto kRestStep = milliseconds(20);

constexpr auto kReadinessInterval = milliseconds(1000);
constexpr int kFailedChecksUntilOut = 2;

// Time until a caller without a connection tries the next one.
constexpr auto kReconnectPause = milliseconds(50);

// Share of the idle timeout for which a connection is reused.
constexpr double kReuseShare = 0.8;

// Whether a connection on which no answer is due was ended by its host.
bool
HasEnded(int aSocket)
{
  char byte = 0;
  const auto n = ::recv(aSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool
WriteAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto n =
      ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Waits until a socket is readable or has ended; false at the deadline.
bool
AwaitReadable(int aSocket, Time aDeadline)
{
  const auto left =
    std::chrono::duration_cast<milliseconds>(aDeadline - EventLoop::Now());
  pollfd poll{ aSocket, POLLIN, 0 };
  return left.count() > 0 &&
         ::poll(&poll, 1, static_cast<int>(left.count()) + 1) > 0;
}

// Pieces of a request, and the longest pause between two of them.
constexpr int kPieces = 3;
constexpr unsigned kMaxPiecePauseMs = 12;

// Time for which a response allows its connection to be reused.
milliseconds
ReuseTime(const HttpHead& aHead, milliseconds aIdleTimeout)
{
  constexpr char kTimeout[] = "timeout=";
  const std::string* field = aHead.Find("Keep-Alive");
  const auto at = field == nullptr ? std::string::npos : field->find(kTimeout);
  if (at == std::string::npos) {
    return std::chrono::duration_cast<milliseconds>(aIdleTimeout * kReuseShare);
  }
  return std::chrono::seconds(
    std::atoi(field->c_str() + at + sizeof kTimeout - 1));
}

} // namespace

// One caller with at most one connection.
class KeptCallers::Caller
{
public:
  Caller(KeptCallers& aCallers, const Kind& aKind, unsigned aSeed)
    : mCallers(aCallers)
    , mKind(aKind)
    , mRandom(aSeed)
  {
  }
  ~Caller() { Disconnect(); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  void Run()
  {
    while (!mCallers.mStopped) {
      const auto range = mKind.mMaxPause - mKind.mMinPause;
      Pause(mKind.mMinPause +
            milliseconds(mRandom() % static_cast<unsigned>(range.count() + 1)));
      while (mCallers.mResting && !mCallers.mStopped) {
        Pause(kRestStep);
      }
      if (!mCallers.mStopped) {
        SendRequest();
      }
    }
  }

private:
  // Sleeps in steps, so that callers stop soon.
  void Pause(milliseconds aTime) const
  {
    const Time until = EventLoop::Now() + aTime;
    while (!mCallers.mStopped && EventLoop::Now() < until) {
      std::this_thread::sleep_for(
        std::min<Time::duration>(until - EventLoop::Now(), milliseconds(100)));
    }
  }

  void Disconnect()
  {
    if (mSocket >= 0) {
      ::close(std::exchange(mSocket, -1));
    }
  }

  bool Connect()
  {
    if (mSocket >= 0 &&
        (EventLoop::Now() > mReusableUntil || HasEnded(mSocket))) {
      Disconnect();
    }
    if (mSocket >= 0) {
      return true;
    }
    mRequestCount = 0;
    mHost = mCallers.ChooseHost(mRandom);
    mSocket = mCallers.mCluster.Gateway(mHost).ConnectCaller(
      mKind.mReadPause.count() > 0 ? kSlowReceiveBytes : 0);
    return mSocket >= 0;
  }

  void SendRequest()
  {
    CallerRequest request;
    request.mId =
      mCallers.mOptions.mName + "-" + std::to_string(mCallers.mNext++);
    request.mPath = mKind.mPath;
    const auto deadline = mKind.mDeadline;
    const std::string body =
      (mCallers.mOptions.mOwnBodies ? "b" + request.mId : std::string()) +
      std::string(mCallers.mBodyBytes, 'b');
    const bool sent =
      Connect() &&
      Write(GatewayTestCluster::Request(mKind.mPath,
                                        request.mId,
                                        "",
                                        body,
                                        static_cast<int>(deadline.count())));
    request.mHost = mHost;
    request.mEarlierRequests = mRequestCount++;
    request.mSentAt = EventLoop::Now();
    request.mDeadline = request.mSentAt + deadline;
    if (sent) {
      ReadAnswer(request, request.mDeadline + kDeadlineSlack);
    } else {
      Disconnect();
    }
    request.mEndedAt = EventLoop::Now();
    mCallers.Add(request);
    if (!sent) {
      std::this_thread::sleep_for(kReconnectPause);
    }
  }

  // Writes a request, if so chosen in pieces that end anywhere. Returns false
  // when the connection does not take it whole.
  bool Write(const std::string& aRequest)
  {
    std::size_t begin = 0;
    for (int left = mCallers.mOptions.mInPieces ? kPieces : 1; left > 0;
         --left) {
      const std::size_t size = aRequest.size() - begin;
      const std::size_t piece = left == 1 ? size : mRandom() % (size + 1);
      if (!WriteAll(mSocket, aRequest.substr(begin, piece))) {
        return false;
      }
      begin += piece;
      if (left > 1) {
        std::this_thread::sleep_for(milliseconds(mRandom() % kMaxPiecePauseMs));
      }
    }
    return true;
  }

  void ReadAnswer(CallerRequest& aRequest, Time aDeadline)
  {
    HttpReader reader(HttpMessageType::Responses, { 65536, 1U << 24U });
    std::array<char, kSlowReceiveBytes> buffer{};
    aRequest.mOutcome = CallerOutcome::Closed;
    while (reader.Progress() == HttpProgress::Head ||
           reader.Progress() == HttpProgress::Body) {
      if (!AwaitReadable(mSocket, aDeadline)) {
        aRequest.mOutcome = CallerOutcome::Unanswered;
        break;
      }
      const auto n = ::recv(mSocket, buffer.data(), buffer.size(), 0);
      if (n <= 0) {
        aRequest.mReset = n < 0;
        break;
      }
      aRequest.mReceivedBytes += static_cast<std::size_t>(n);
      reader.Feed(std::string_view(buffer.data(), static_cast<std::size_t>(n)));
      std::this_thread::sleep_for(mKind.mReadPause);
    }
    if (reader.Progress() != HttpProgress::Head) {
      aRequest.mStatus = reader.Head().mStatus;
    }
    const bool complete = reader.Progress() == HttpProgress::Complete;
    if (complete) {
      aRequest.mOutcome = CallerOutcome::Answered;
      mReusableUntil =
        EventLoop::Now() +
        ReuseTime(reader.Head(), milliseconds(mCallers.mIdleTimeoutMs));
    }
    if (!complete || !reader.Head().mKeepAlive) {
      Disconnect();
    }
  }

  KeptCallers& mCallers;
  const Kind& mKind;
  std::mt19937 mRandom;
  int mSocket = -1;
  std::size_t mHost = 0;
  int mRequestCount = 0;
  Time mReusableUntil;
};

KeptCallers::KeptCallers(const GatewayTestCluster& aCluster, Options aOptions)
  : mCluster(aCluster)
  , mOptions(std::move(aOptions))
  , mFailedChecks(aCluster.GatewayCount())
{
  unsigned seed = mOptions.mSeed;
  for (const Kind& it : mOptions.mKinds) {
    for (int n = 0; n < it.mCallers; ++n) {
      mThreads.emplace_back(
        [this, &it, own = ++seed * 7919] { Caller(*this, it, own).Run(); });
    }
  }
  mThreads.emplace_back([this] { CheckReadiness(); });
}

KeptCallers::~KeptCallers()
{
  Stop();
}

void
KeptCallers::Stop()
{
  mStopped = true;
  for (std::thread& it : mThreads) {
    if (it.joinable()) {
      it.join();
    }
  }
}

std::vector<CallerRequest>
KeptCallers::Requests()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRequests;
}

void
KeptCallers::Add(const CallerRequest& aRequest)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mRequests.push_back(aRequest);
}

void
KeptCallers::CheckReadiness()
{
  Time next = EventLoop::Now();
  while (!mStopped) {
    if (EventLoop::Now() < next) {
      std::this_thread::sleep_for(milliseconds(20));
      continue;
    }
    next += kReadinessInterval;
    for (std::size_t n = 0; n < mFailedChecks.size(); ++n) {
      const bool ready = mCluster.Gateway(n).Readiness() == 200;
      mFailedChecks[n] = ready ? 0 : mFailedChecks[n] + 1;
    }
  }
}

std::size_t
KeptCallers::ChooseHost(std::mt19937& aRandom) const
{
  std::vector<std::size_t> hosts;
  for (std::size_t n = 0; n < mFailedChecks.size(); ++n) {
    if (mFailedChecks[n] < kFailedChecksUntilOut) {
      hosts.push_back(n);
    }
  }
  return hosts.empty() ? aRandom() % mFailedChecks.size()
                       : hosts[aRandom() % hosts.size()];
}
