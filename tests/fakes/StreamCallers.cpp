#include "StreamCallers.h"

#include <algorithm>
#include <cstdlib>
#include <numeric>
#include <set>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// Time before a caller tries again that was told no other, and after a refused
// connection.
constexpr auto kRetryDelay = milliseconds(50);

// Attempts for which no host accepts the connection, until a caller gives up.
constexpr int kMaxRefusedConnections = 100;

// Callers wait at most this part of the time they have left.
constexpr int kRetryAfterDivisor = 3;

// Time that a caller waits before it tries again.
Duration
DelayAfter(const StreamAttempt& aAttempt)
{
  const std::string* after = aAttempt.mAnswer.mHead.Find("Retry-After");
  if (after == nullptr) {
    return kRetryDelay;
  }
  const auto asked =
    std::chrono::duration<double>(std::strtod(after->c_str(), nullptr));
  return std::min(std::chrono::duration_cast<Duration>(asked),
                  std::chrono::duration_cast<Duration>(aAttempt.mDeadline -
                                                       EventLoop::Now()) /
                    kRetryAfterDivisor);
}

// Whether callers try again after a complete answer with this status.
bool
IsRetried(int aStatus)
{
  constexpr int kFinal[] = { 200, 400, 401, 404, 413, 431 };
  return std::find(std::begin(kFinal), std::end(kFinal), aStatus) ==
         std::end(kFinal);
}

} // namespace

StreamCallers::StreamCallers(GatewayTestCluster& aCluster,
                             const Options& aOptions)
  : mCluster(aCluster)
  , mOptions(aOptions)
  , mStart(EventLoop::Now())
  , mHostSound(aCluster.MaxGatewayCount())
  , mStreams(static_cast<std::size_t>(aOptions.mStreams))
{
  std::vector<std::size_t> hosts(aCluster.GatewayCount());
  std::iota(hosts.begin(), hosts.end(), std::size_t{ 0 });
  SetHosts(std::move(hosts));
  for (auto& it : mHostSound) {
    it = true;
  }
  for (std::size_t n = 0; n < mStreams.size(); ++n) {
    mThreads.emplace_back([this, n] { Run(n); });
  }
}

void
StreamCallers::SetHosts(std::vector<std::size_t> aHosts)
{
  for (const std::size_t it : aHosts) {
    mCluster.Gateway(it).SetCallTimeout(mOptions.mGap);
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  mHosts = std::move(aHosts);
}

void
StreamCallers::Await()
{
  for (std::thread& it : mThreads) {
    if (it.joinable()) {
      it.join();
    }
  }
}

// Chooses a host at random, one that is not avoided if there is any.
std::size_t
StreamCallers::ChooseHost(std::mt19937& aRandom,
                          const std::set<std::size_t>& aAvoided)
{
  std::vector<std::size_t> hosts;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    hosts = mHosts;
  }
  std::vector<std::size_t> others;
  std::copy_if(hosts.begin(),
               hosts.end(),
               std::back_inserter(others),
               [&](std::size_t aHost) { return aAvoided.count(aHost) == 0; });
  const auto& from = others.empty() ? hosts : others;
  return from[aRandom() % from.size()];
}

StreamCallers::Conditions
StreamCallers::CheckConditions(const CallerStream& aStream, std::size_t aHost)
{
  const std::string version = aStream.Version();
  return { mHostSound[aHost], mCluster.ServingCount(version) >= 2 };
}

void
StreamCallers::Run(std::size_t aNumber)
{
  std::mt19937 random(mOptions.mSeed * 1000 + static_cast<unsigned>(aNumber));
  CallerStream& stream = mStreams[aNumber];
  stream.mName = "s" + std::to_string(aNumber);
  std::this_thread::sleep_until(
    mStart + mOptions.mSpread * static_cast<int>(aNumber) / mOptions.mStreams);
  const Time deadline = EventLoop::Now() + mOptions.mTimeout;
  stream.mDeadline = deadline;
  // Hosts that have had the stream or have just refused a connection.
  std::set<std::size_t> avoided;
  int refusedConnections = 0;
  while (static_cast<int>(stream.mAttempts.size()) < mOptions.mMaxAttempts &&
         refusedConnections < kMaxRefusedConnections &&
         EventLoop::Now() < deadline) {
    const std::size_t host = ChooseHost(random, avoided);
    avoided.insert(host);
    StreamAttempt attempt = Attempt(stream, host, deadline);
    if (attempt.mAnswer.mHead.mStatus == 0 &&
        attempt.mEndedAt - attempt.mSentAt < kRetryDelay) {
      // No host accepts the connection.
      ++refusedConnections;
      avoided = { host };
      std::this_thread::sleep_for(kRetryDelay);
      continue;
    }
    stream.mAttempts.push_back(std::move(attempt));
    const StreamAttempt& last = stream.mAttempts.back();
    if (last.mAnswer.mComplete && !IsRetried(last.mAnswer.mHead.mStatus)) {
      break;
    }
    std::this_thread::sleep_for(std::max(
      DelayAfter(last), std::chrono::duration_cast<Duration>(kRetryDelay)));
  }
}

StreamAttempt
StreamCallers::Attempt(CallerStream& aStream, std::size_t aHost, Time aDeadline)
{
  StreamAttempt attempt;
  attempt.mRequestId =
    aStream.mName + "." + std::to_string(aStream.mAttempts.size());
  attempt.mHost = aHost;
  attempt.mAfterEvent = aStream.LastEvent();
  attempt.mDeadline = aDeadline;
  std::string fields;
  if (attempt.mAfterEvent > 0) {
    fields = "Last-Event-Id: " + std::to_string(attempt.mAfterEvent) +
             "\r\nResumes: " + aStream.FirstRequestId() + "\r\n";
  }
  const Conditions before = CheckConditions(aStream, aHost);
  attempt.mSentAt = EventLoop::Now();
  const auto left =
    std::chrono::duration_cast<milliseconds>(aDeadline - attempt.mSentAt);
  attempt.mAnswer = mCluster.Gateway(aHost).Call(
    GatewayTestCluster::Request("/paced/",
                                attempt.mRequestId,
                                fields,
                                aStream.mName,
                                static_cast<int>(left.count())));
  attempt.mEndedAt = EventLoop::Now();
  const Conditions after = CheckConditions(aStream, aHost);
  attempt.mHostSound = before.mHostSound && after.mHostSound;
  attempt.mRunnersServed = before.mRunnersServed && after.mRunnersServed;
  if (attempt.mAnswer.mHead.mStatus == 200) {
    attempt.mPieces = ParsePieces(attempt.mAnswer.mBody);
  }
  return attempt;
}
