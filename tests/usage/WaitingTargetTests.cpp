#include "GatewayTestCluster.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// The platform's bound: from kSettled after a target has answered a host 503
// with Retry-After until the time that this names has passed, it may get at
// most kMaxRequests from that host.
constexpr auto kSettled = milliseconds(500);
constexpr int kMaxRequests = 2;

// Pause of a caller after each answer.
constexpr auto kCallerPause = milliseconds(15);

// Callers of each gateway that send requests to a route until they are stopped.
class Callers
{
public:
  Callers(const GatewayTestCluster& aCluster, std::string aRoute)
    : mCluster(aCluster)
    , mRoute(std::move(aRoute))
  {
    for (std::size_t host = 0; host < aCluster.GatewayCount(); ++host) {
      for (int n = 0; n < 3; ++n) {
        mThreads.emplace_back([this, host, n] { Run(host, n); });
      }
    }
  }
  ~Callers() { Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Stop()
  {
    mStopped = true;
    for (std::thread& it : mThreads) {
      if (it.joinable()) {
        it.join();
      }
    }
  }

  int Served() const { return mServed; }

private:
  void Run(std::size_t aHost, int aCaller)
  {
    for (int n = 0; !mStopped; ++n) {
      const std::string id = std::to_string(aHost) + "-" +
                             std::to_string(aCaller) + "-" + std::to_string(n);
      const auto answer = mCluster.Gateway(aHost).Call(
        GatewayTestCluster::Request(mRoute, id, "", mRoute + id));
      mServed += answer.mComplete && answer.mHead.mStatus == 200 ? 1 : 0;
      std::this_thread::sleep_for(kCallerPause);
    }
  }

  const GatewayTestCluster& mCluster;
  std::string mRoute;
  std::atomic<bool> mStopped{ false };
  std::atomic<int> mServed{ 0 };
  std::vector<std::thread> mThreads;
};

// Most requests of one host at a target that count against one of its answers
// since aFrom, which all name aWait. Requests of a host have its number first
// in their IDs; those without ID count for each host.
int
MostInWait(GatewayTestCluster& aCluster,
           const std::string& aTarget,
           Time aFrom,
           Duration aWait)
{
  std::vector<RunnerRequest> requests = aCluster.Requests();
  for (const RunnerRequest& it : aCluster.Reports()) {
    requests.push_back(it);
  }
  std::map<std::size_t, std::vector<Time>> arrivals;
  for (const RunnerRequest& it : requests) {
    if (it.mRunner != aTarget || it.mAt < aFrom) {
      continue;
    }
    const std::string* id = it.mHead.Find("X-Request-Id");
    for (std::size_t host = 0; host < aCluster.GatewayCount(); ++host) {
      if (id == nullptr || std::atoi(id->c_str()) == static_cast<int>(host)) {
        arrivals[host].push_back(it.mAt);
      }
    }
  }
  int most = 0;
  for (const auto& host : arrivals) {
    for (const Time answered : host.second) {
      const auto late =
        std::count_if(host.second.begin(), host.second.end(), [&](Time aAt) {
          return aAt >= answered + kSettled && aAt < answered + aWait;
        });
      most = std::max(most, static_cast<int>(late));
    }
  }
  return most;
}

void
PrintFigures(const std::string& aText)
{
  if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
    std::cout << aText << '\n';
  }
}

// Lets a target answer each request 503 with Retry-After.
void
AskForTime(GatewayTestCluster& aCluster,
           const std::string& aTarget,
           RunnerMode aMode,
           const std::string& aRetryAfter)
{
  aCluster.SetRetryAfter(aTarget, aRetryAfter);
  aCluster.SetMode(aTarget, aMode);
}

int
CountAt(GatewayTestCluster& aCluster, const std::string& aTarget, Time aFrom)
{
  const auto requests = aCluster.Requests();
  return static_cast<int>(
    std::count_if(requests.begin(), requests.end(), [&](const auto& aRequest) {
      return aRequest.mRunner == aTarget && aRequest.mAt >= aFrom;
    }));
}

// A kind of route and the target's answer.
struct RouteKind
{
  const char* mName;
  const char* mRoute;
  RunnerMode mMode;
};

constexpr RouteKind kRouteKinds[] = {
  { "plain, not run", "/plain/", RunnerMode::Reject },
  { "plain", "/plain/", RunnerMode::Fail503 },
  { "four runs", "/quick/", RunnerMode::Fail503 },
  { "not repeated, not run", "/unsafe/", RunnerMode::Reject },
  { "not repeated", "/unsafe/", RunnerMode::Fail503 },
  { "stream, not run", "/stream/", RunnerMode::Reject },
  { "stream", "/stream/", RunnerMode::Fail503 },
};

} // namespace

// Targets that answer 503 with Retry-After. Counted at the targets.
class WaitingTargetTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WaitingTargetTests);
  CPPUNIT_TEST(RequestsOfEachKindLeaveTheTargetAlone);
  CPPUNIT_TEST(ProbesLeaveTheTargetAlone);
  CPPUNIT_TEST(CallersAreRefusedAtOnceWhenAllTargetsAskForTime);
  CPPUNIT_TEST(CallersAreNotToldTheTimeOfOneTarget);
  CPPUNIT_TEST(TargetThatStartsAnewIsUsed);
  CPPUNIT_TEST(TargetIsUsedAfterTheTime);
  CPPUNIT_TEST(OtherValuesAreIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against hosts that go on sending what the target wants to have
  // later.
  void RequestsOfEachKindLeaveTheTargetAlone()
  {
    for (const RouteKind& it : kRouteKinds) {
      GatewayTestCluster cluster(3, 2);
      Callers callers(cluster, it.mRoute);
      std::this_thread::sleep_for(milliseconds(300));
      AskForTime(cluster, "i-0", it.mMode, "3");
      const Time from = EventLoop::Now();
      std::this_thread::sleep_for(milliseconds(4000));
      callers.Stop();
      const int most =
        MostInWait(cluster, "i-0", from, std::chrono::seconds(3));
      const std::string figures = std::string(it.mName) + ": most in a wait " +
                                  std::to_string(most) + " of " +
                                  std::to_string(kMaxRequests) + ", served " +
                                  std::to_string(callers.Served());
      PrintFigures(figures);
      CPPUNIT_ASSERT_MESSAGE(figures, most <= kMaxRequests);
      CPPUNIT_ASSERT_MESSAGE(figures, callers.Served() > 50);
    }
  }

  // Guards against probes of a silent target that wants nothing, and against
  // moves of memory that it is asked to make.
  void ProbesLeaveTheTargetAlone()
  {
    GatewayTestCluster cluster(2, 1);
    cluster.SetPace(milliseconds(20), milliseconds(4000), milliseconds::zero());
    std::vector<std::unique_ptr<BackgroundCall>> streams;
    for (int n = 0; n < 4; ++n) {
      streams.push_back(std::make_unique<BackgroundCall>(
        cluster.Gateway(),
        GatewayTestCluster::Request(
          "/stream/", "0-s" + std::to_string(n), "", std::to_string(n), 6000)));
    }
    std::this_thread::sleep_for(milliseconds(200));
    const Time from = EventLoop::Now();
    for (const char* it : { "i-0", "i-1" }) {
      AskForTime(cluster, it, RunnerMode::Reject, "4");
    }
    for (int n = 0; n < 4; ++n) {
      cluster.Call(
        GatewayTestCluster::Request("/plain/", "0-p" + std::to_string(n)));
    }
    std::this_thread::sleep_for(milliseconds(4000));
    int most = 0;
    for (const char* it : { "i-0", "i-1" }) {
      most =
        std::max(most, MostInWait(cluster, it, from, std::chrono::seconds(4)));
    }
    PrintFigures("probes: most in a wait " + std::to_string(most));
    CPPUNIT_ASSERT(most <= kMaxRequests);
  }

  // Guards against callers who wait until their deadline, or come back too
  // early, when all targets ask for time.
  void CallersAreRefusedAtOnceWhenAllTargetsAskForTime()
  {
    GatewayTestCluster cluster(3, 1);
    const Time from = EventLoop::Now();
    for (const char* it : { "i-0", "i-1", "i-2" }) {
      AskForTime(cluster, it, RunnerMode::Reject, "1.5");
    }
    for (int n = 0; n < 6; ++n) {
      cluster.Call(
        GatewayTestCluster::Request("/plain/", "0-f" + std::to_string(n)));
    }
    const Time asked = EventLoop::Now();
    for (const char* route : { "/plain/", "/unsafe/", "/stream/" }) {
      double least = 1e9;
      double most = 0;
      double slowest = 0;
      for (int n = 0; n < 5; ++n) {
        const Time start = EventLoop::Now();
        const auto answer = cluster.Call(GatewayTestCluster::Request(
          route, "0-" + std::string(route) + std::to_string(n)));
        slowest = std::max(slowest, ToMilliseconds(EventLoop::Now() - start));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(route, 503, answer.mHead.mStatus);
        const std::string* after = answer.mHead.Find("Retry-After");
        CPPUNIT_ASSERT_MESSAGE(route, after != nullptr);
        least = std::min(least, std::atof(after->c_str()));
        most = std::max(most, std::atof(after->c_str()));
      }
      const std::string text = std::string(route) + ": told " +
                               std::to_string(least) + " to " +
                               std::to_string(most) + " s, answered in " +
                               std::to_string(slowest) + " ms";
      PrintFigures(text);
      const double passed = ToMilliseconds(EventLoop::Now() - from) / 1000;
      CPPUNIT_ASSERT_MESSAGE(text, slowest < 300);
      // Times are told in hundredths of a second.
      CPPUNIT_ASSERT_MESSAGE(text, least >= 1.49 - passed);
      CPPUNIT_ASSERT_MESSAGE(text, most > least && most <= 2.0);
    }
    CPPUNIT_ASSERT(EventLoop::Now() - asked < milliseconds(1000));
    for (const char* it : { "i-0", "i-1", "i-2" }) {
      CPPUNIT_ASSERT(MostInWait(cluster, it, from, milliseconds(1500)) <=
                     kMaxRequests);
    }
  }

  // Guards against passing on what one target asks of the host.
  void CallersAreNotToldTheTimeOfOneTarget()
  {
    GatewayTestCluster cluster(1, 1);
    AskForTime(cluster, "i-0", RunnerMode::Fail503, "77");
    const auto answer =
      cluster.Call(GatewayTestCluster::Request("/plain/", "0-p"));
    const std::string* after = answer.mHead.Find("Retry-After");
    PrintFigures("told: " +
                 (after == nullptr ? std::string("nothing") : *after));
    CPPUNIT_ASSERT_EQUAL(503, answer.mHead.mStatus);
    // A share of the caller's deadline of 9 s.
    CPPUNIT_ASSERT(after != nullptr && std::atof(after->c_str()) <= 2.25);
  }

  // Guards against a wait that outlives the start of the target that asked for
  // it.
  void TargetThatStartsAnewIsUsed()
  {
    GatewayTestCluster::Options options;
    options.mFirstStartTime = true;
    GatewayTestCluster cluster(options);
    cluster.SetRunnerReturn(RunnerReturn::SameName);
    Callers callers(cluster, "/plain/");
    const Time asked = EventLoop::Now();
    AskForTime(cluster, "i-0", RunnerMode::Reject, "60");
    std::this_thread::sleep_for(milliseconds(1000));
    cluster.SetMode("i-0", RunnerMode::Serve);
    std::this_thread::sleep_for(milliseconds(500));
    const int before = CountAt(cluster, "i-0", asked + kSettled);
    const Time crash = EventLoop::Now();
    cluster.CrashRunner("i-0", "v1");
    // The target is down for 1.2 s.
    std::this_thread::sleep_for(milliseconds(3500));
    callers.Stop();
    const int after = CountAt(cluster, "i-0", crash);
    PrintFigures("started anew: " + std::to_string(before) +
                 " requests before, " + std::to_string(after) + " after");
    CPPUNIT_ASSERT(before <= kMaxRequests);
    CPPUNIT_ASSERT(after > 20);
  }

  // Guards against a target that stays out of use, with a time that has a
  // fraction.
  void TargetIsUsedAfterTheTime()
  {
    GatewayTestCluster cluster(3, 1);
    Callers callers(cluster, "/plain/");
    const Time asked = EventLoop::Now();
    AskForTime(cluster, "i-0", RunnerMode::Reject, "1.5");
    std::this_thread::sleep_for(milliseconds(500));
    cluster.SetMode("i-0", RunnerMode::Serve);
    std::this_thread::sleep_for(milliseconds(2500));
    callers.Stop();
    const int within = CountAt(cluster, "i-0", asked + kSettled) -
                       CountAt(cluster, "i-0", asked + milliseconds(1500));
    const int after = CountAt(cluster, "i-0", asked + milliseconds(2000));
    PrintFigures("1.5 s: " + std::to_string(within) + " requests within, " +
                 std::to_string(after) + " after");
    CPPUNIT_ASSERT(within <= kMaxRequests);
    CPPUNIT_ASSERT(after > 20);
  }

  // Guards against values that are no number of seconds and keep a target out
  // of use.
  void OtherValuesAreIgnored()
  {
    GatewayTestCluster cluster(3, 1);
    Callers callers(cluster, "/plain/");
    for (const char* it :
         { "-5", "abc", "Wed, 21 Oct 2055 07:28:00 GMT", "1e9", "0" }) {
      AskForTime(cluster, "i-0", RunnerMode::Reject, it);
      std::this_thread::sleep_for(milliseconds(300));
      cluster.SetMode("i-0", RunnerMode::Serve);
      std::this_thread::sleep_for(milliseconds(400));
      const Time from = EventLoop::Now();
      std::this_thread::sleep_for(milliseconds(500));
      const int used = CountAt(cluster, "i-0", from);
      PrintFigures(std::string(it) + ": " + std::to_string(used) + " requests");
      CPPUNIT_ASSERT_MESSAGE(it, used > 5);
    }
    callers.Stop();
    CPPUNIT_ASSERT(
      std::atoi(
        cluster.Gateway().Metric("quetzal_waits_malformed_total").c_str()) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingTargetTests);
