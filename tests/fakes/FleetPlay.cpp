#include "FleetPlay.h"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// Time of load before and after the trouble.
constexpr auto kLoadBefore = milliseconds(300);
constexpr auto kLoadAfter = milliseconds(200);

// Time after which a shorter idle timeout than that of the cluster's first
// configuration is in force.
constexpr auto kShorterIdleTime = milliseconds(2100);

// Time after its last byte in which a request may meet the close of its
// connection. Later, only a reset shows that the host had not read it.
constexpr auto kCrossingTime = milliseconds(200);

// Time before its deadline from which on a request may be broken off.
constexpr auto kDeadlineMargin = milliseconds(20);

// Whether a host closed the connection before it had read the request.
bool
IsCrossed(const CallerRequest& aRequest, const std::set<std::string>& aPassedOn)
{
  const bool soon = aRequest.mEndedAt - aRequest.mSentAt <= kCrossingTime;
  return aRequest.mOutcome == CallerOutcome::Closed &&
         aRequest.mReceivedBytes == 0 && aPassedOn.count(aRequest.mId) == 0 &&
         (soon || aRequest.mReset);
}

bool
IsOverdue(const CallerRequest& aRequest)
{
  return aRequest.mOutcome == CallerOutcome::Closed &&
         aRequest.mEndedAt >= aRequest.mDeadline - kDeadlineMargin;
}

// Whether the host was killed while it had the request.
bool
IsKilled(const CallerRequest& aRequest, const std::vector<HostKill>& aKills)
{
  return std::any_of(aKills.begin(), aKills.end(), [&](const HostKill& aKill) {
    return aKill.mHost == aRequest.mHost && aRequest.mSentAt <= aKill.mAt &&
           aKill.mAt <= aRequest.mEndedAt;
  });
}

AnswerCounts
CountAnswers(GatewayTestCluster& aCluster,
             const std::vector<CallerRequest>& aRequests,
             const std::vector<HostKill>& aKills)
{
  std::set<std::string> passedOn;
  for (const RunnerRequest& it : aCluster.Requests()) {
    if (const std::string* id = it.mHead.Find("X-Request-Id")) {
      passedOn.insert(*id);
    }
  }
  AnswerCounts counts;
  for (const CallerRequest& it : aRequests) {
    if (it.mOutcome == CallerOutcome::NotSent) {
      continue;
    }
    ++counts.mSent;
    if (it.mOutcome == CallerOutcome::Answered) {
      ++(it.mStatus == 200 ? counts.mServed : counts.mFailures[it.mStatus]);
    } else if (IsKilled(it, aKills)) {
      ++counts.mKilled;
    } else if (IsCrossed(it, passedOn)) {
      ++counts.mCrossed;
    } else if (IsOverdue(it)) {
      ++counts.mOverdue;
    } else {
      counts.mLost.push_back(it);
    }
  }
  counts.mWrongRuns = FindWrongRuns(aCluster, aRequests);
  return counts;
}

// Last line of a gateway's log about a request. Empty if the logs are not kept.
std::string
LastLogLine(const std::string& aHost, const std::string& aRequest)
{
  const char* directory = std::getenv("QUETZAL_TEST_LOGS");
  if (directory == nullptr) {
    return std::string();
  }
  std::ifstream file(std::string(directory) + "/" + aHost + ".log");
  const std::string field = "request=" + aRequest + " ";
  std::string last;
  for (std::string line; std::getline(file, line);) {
    if (line.find(field) != std::string::npos) {
      last = line;
    }
  }
  return last;
}

std::string
Describe(const GatewayTestCluster& aCluster, const CallerRequest& aRequest)
{
  const std::string& host = aCluster.Gateway(aRequest.mHost).Name();
  const bool closed = aRequest.mOutcome == CallerOutcome::Closed;
  const auto lasted = aRequest.mEndedAt - aRequest.mSentAt;
  std::ostringstream text;
  text << aRequest.mId << ' ' << aRequest.mPath << " at " << host << ": "
       << (!closed           ? "unanswered"
           : aRequest.mReset ? "reset"
                             : "closed")
       << " after " << static_cast<int>(ToMilliseconds(lasted)) << " ms, "
       << aRequest.mReceivedBytes << " bytes, request "
       << aRequest.mEarlierRequests + 1 << " of its connection; "
       << LastLogLine(host, aRequest.mId);
  return text.str();
}

void
PrintCounts(const GatewayTestCluster& aCluster,
            const std::string& aName,
            const AnswerCounts& aCounts)
{
  if (std::getenv("QUETZAL_TEST_FIGURES") == nullptr) {
    return;
  }
  std::map<std::string, int> paths;
  for (const CallerRequest& it : aCounts.mLost) {
    ++paths[it.mPath];
  }
  std::cout << "\nanswers " << aName << ": sent " << aCounts.mSent
            << ", served " << aCounts.mServed;
  for (const auto& it : aCounts.mFailures) {
    std::cout << ", status " << it.first << ' ' << it.second;
  }
  std::cout << ", crossed " << aCounts.mCrossed << ", overdue "
            << aCounts.mOverdue << ", killed " << aCounts.mKilled << ", lost "
            << aCounts.mLost.size() << ", wrong runs "
            << aCounts.mWrongRuns.size();
  for (const auto& it : paths) {
    std::cout << ", " << it.first << ' ' << it.second;
  }
  std::cout << "; memory in MB";
  for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
    std::cout << ' ' << aCluster.Gateway(n).PeakMemoryMb();
  }
  for (const CallerRequest& it : aCounts.mLost) {
    std::cout << "\n  " << Describe(aCluster, it);
  }
  std::cout << std::endl;
}

AnswerCounts
Play(const FleetCase& aCase,
     const std::string& aName,
     unsigned aSeed,
     const FleetTrouble& aTrouble)
{
  GatewayTestCluster cluster(aCase.mFleet);
  cluster.SetPace(
    FleetCase::kFirstEvent, FleetCase::kEventInterval, FleetCase::kPlainAnswer);
  cluster.AwaitConfiguration(cluster.Write(aCase.mConfiguration));
  if (aCase.mConfiguration.mLimits.mIdleTimeoutMs <
      TestLimits().mIdleTimeoutMs) {
    std::this_thread::sleep_for(kShorterIdleTime);
  }
  std::mt19937 random(aSeed);
  KeptCallers callers(
    cluster,
    { aCase.mCallers, aName, aSeed, aCase.mOwnBodies, aCase.mInPieces });
  callers.SetIdleTimeout(
    milliseconds(aCase.mConfiguration.mLimits.mIdleTimeoutMs));
  FleetSituation situation{ cluster, callers, random, aCase.mConfiguration };
  std::this_thread::sleep_for(kLoadBefore);
  aTrouble(situation);
  std::this_thread::sleep_for(kLoadAfter);
  callers.Stop();
  AnswerCounts counts =
    CountAnswers(cluster, callers.Requests(), situation.mKills);
  PrintCounts(cluster, aName, counts);
  return counts;
}

} // namespace

int
FromEnvironment(const char* aName, int aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::atoi(text);
}

std::vector<std::string>
FindWrongRuns(GatewayTestCluster& aCluster,
              const std::vector<CallerRequest>& aRequests)
{
  std::map<std::string, int> runs;
  for (const RunnerRequest& it : aCluster.Runs()) {
    if (const std::string* id = it.mHead.Find("X-Request-Id")) {
      ++runs[*id];
    }
  }
  std::vector<std::string> wrong;
  for (const CallerRequest& it : aRequests) {
    const int count = it.mPath == "/unsafe/" ? runs[it.mId] : 0;
    const bool refused = it.mStatus == 503 || it.mStatus == 429;
    if (count > (refused ? 0 : 1)) {
      wrong.push_back(it.mId + " ran " + std::to_string(count) +
                      " times, status " + std::to_string(it.mStatus));
    }
  }
  return wrong;
}

int
AnswerCounts::RejectedCount() const
{
  int count = 0;
  for (const auto& it : mFailures) {
    count += it.first / 100 == 4 && it.first != 429 ? it.second : 0;
  }
  return count;
}

int
FleetSituation::Random(int aBelow)
{
  return static_cast<int>(mRandom() % static_cast<unsigned>(aBelow));
}

FleetCase::FleetCase(std::string aName)
  : mName(std::move(aName))
  , mFleet{ kRunners, kGateways, -1, 0, false, kSecondServiceRunners, {} }
  , mCallers{
    { "/stream/", 15, milliseconds(100), milliseconds(0), kStreamDeadline },
    { "/stream-once/", 4, milliseconds(100), milliseconds(0), kStreamDeadline },
    { "/plain/", 8, milliseconds(150), milliseconds(0), kPlainDeadline },
    { "/unsafe/", 8, milliseconds(150), milliseconds(0), kPlainDeadline }
  }
{
  mConfiguration.mServices.emplace_back(TestConfiguration::kSecondService);
  TestRoute& stream = mConfiguration.RouteOf("stream");
  stream.mTimeoutMs = static_cast<int>(kStreamDeadline.count());
  TestRoute once = stream;
  once.mName = "stream-once";
  once.mResumable = false;
  mConfiguration.mRoutes.push_back(once);
}

void
ForEachPlay(const FleetCase& aCase,
            const FleetTrouble& aTrouble,
            const std::function<void(const AnswerCounts&)>& aCheck)
{
  const int first = FromEnvironment("QUETZAL_TEST_SEED", 1);
  const int count = FromEnvironment("QUETZAL_TEST_SEEDS", 1);
  std::vector<AnswerCounts> plays;
  for (int n = first; n < first + count; ++n) {
    const auto seed = static_cast<unsigned>(n);
    const std::string name = aCase.mName + "-" + std::to_string(seed);
    Time::duration lasted{};
    plays.push_back(Play(aCase, name, seed, [&](FleetSituation& aSituation) {
      const Time from = EventLoop::Now();
      aTrouble(aSituation);
      lasted = EventLoop::Now() - from;
    }));
    if (std::getenv("QUETZAL_TEST_TWINS") != nullptr) {
      Play(aCase, name + "-calm", seed, [&](FleetSituation&) {
        std::this_thread::sleep_for(lasted);
      });
    }
  }
  for (const AnswerCounts& it : plays) {
    CPPUNIT_ASSERT(it.mServed > 0);
    aCheck(it);
  }
}

void
ExpectAllAnswered(const FleetCase& aCase, const FleetTrouble& aTrouble)
{
  ForEachPlay(aCase, aTrouble, [](const AnswerCounts& aCounts) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE("requests that ended without an answer",
                                 std::size_t{ 0 },
                                 aCounts.mLost.size());
    // The time limits are several times as long as any silence.
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "requests broken off at their deadline", 0, aCounts.mOverdue);
  });
}
