#include "GatewayTestCluster.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// The platform's bound: time after a host has passed on an answer that says
// that its target leaves, after which no request may reach this target.
constexpr auto kDrainTime = milliseconds(2000);

// Time for which callers go on after the first request could be late.
constexpr auto kObservationTime = milliseconds(1000);

// Pause of a caller after each answer.
constexpr auto kCallerPause = milliseconds(15);

// Callers of each gateway that send requests to a route until they are stopped.
class Callers
{
public:
  Callers(const GatewayTestCluster& aCluster,
          std::string aRoute,
          std::string aFields = std::string(),
          int aCount = 2)
    : mCluster(aCluster)
    , mRoute(std::move(aRoute))
    , mFields(std::move(aFields))
  {
    for (std::size_t host = 0; host < aCluster.GatewayCount(); ++host) {
      for (int n = 0; n < aCount; ++n) {
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

  // When the request was sent, and by a caller of which gateway.
  struct Send
  {
    std::size_t mHost = 0;
    Time mAt;
  };
  std::map<std::string, Send> Sends()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mSends;
  }

  int Served() const { return mServed; }

private:
  void Run(std::size_t aHost, int aCaller)
  {
    for (int n = 0; !mStopped; ++n) {
      const std::string id = mRoute.substr(1, mRoute.size() - 2) +
                             std::to_string(aHost) + "-" +
                             std::to_string(aCaller) + "-" + std::to_string(n);
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mSends[id] = { aHost, EventLoop::Now() };
      }
      const auto answer = mCluster.Gateway(aHost).Call(
        GatewayTestCluster::Request(mRoute, id, mFields, id));
      mServed += answer.mComplete && answer.mHead.mStatus == 200 ? 1 : 0;
      std::this_thread::sleep_for(kCallerPause);
    }
  }

  const GatewayTestCluster& mCluster;
  std::string mRoute;
  std::string mFields;
  std::atomic<bool> mStopped{ false };
  std::atomic<int> mServed{ 0 };
  std::mutex mMutex;
  std::map<std::string, Send> mSends;
  std::vector<std::thread> mThreads;
};

std::string
IdOf(const RunnerRequest& aRequest)
{
  const std::string* id = aRequest.mHead.Find("X-Request-Id");
  return id == nullptr ? std::string() : *id;
}

// Requests that reached a target too late after it said that it leaves.
struct LateRequests
{
  int mCount = 0;
  // Hosts that the target has told.
  std::size_t mHosts = 0;
  // All requests that were sent after the first answer had been passed on.
  int mAfterFirst = 0;
  Duration mLast = Duration::zero();
};

// Counts for each host from the first request of it that the target answered
// after aSaidAt. Targets answer at once here.
LateRequests
CountLate(GatewayTestCluster& aCluster,
          const std::string& aTarget,
          Callers& aCallers,
          Time aSaidAt)
{
  // Time for an answer to pass through the host to its caller.
  constexpr auto kPassing = milliseconds(50);
  const auto sends = aCallers.Sends();
  std::map<std::size_t, Time> firstAt;
  LateRequests late;
  for (const RunnerRequest& it : aCluster.Requests()) {
    const auto send = sends.find(IdOf(it));
    if (it.mRunner != aTarget || it.mAt < aSaidAt || send == sends.end()) {
      continue;
    }
    const auto known = firstAt.emplace(send->second.mHost, it.mAt);
    const auto after = send->second.mAt - known.first->second;
    late.mAfterFirst += after > kPassing ? 1 : 0;
    late.mCount += after > kDrainTime ? 1 : 0;
    late.mLast =
      std::max(late.mLast, std::chrono::duration_cast<Duration>(after));
  }
  late.mHosts = firstAt.size();
  return late;
}

void
PrintFigures(const std::string& aText)
{
  if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
    std::cout << aText << '\n';
  }
}

// Sum of a counter over the hosts.
int
SumOf(const GatewayTestCluster& aCluster, const std::string& aMetric)
{
  int sum = 0;
  for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
    sum += std::atoi(aCluster.Gateway(n).Metric(aMetric).c_str());
  }
  return sum;
}

constexpr char kLeavingMetric[] = "quetzal_targets_leaving_total";

// Waits until the bound has passed, ends the callers and checks that none of
// their requests reached the target late, and that each host that the target
// told has counted it once.
void
ExpectNoneLate(const std::string& aName,
               GatewayTestCluster& aCluster,
               const std::string& aTarget,
               Callers& aCallers,
               Time aSaidAt)
{
  std::this_thread::sleep_for(kDrainTime + kObservationTime);
  aCallers.Stop();
  const LateRequests late = CountLate(aCluster, aTarget, aCallers, aSaidAt);
  const std::string figures =
    aName + ": " + std::to_string(late.mHosts) + " hosts told, " +
    std::to_string(late.mCount) + " requests later than 2 s, " +
    std::to_string(late.mAfterFirst) + " later than 0.05 s, the last after " +
    std::to_string(ToMilliseconds(late.mLast)) + " ms; served " +
    std::to_string(aCallers.Served());
  PrintFigures(figures);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, 0, late.mCount);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, 0, late.mAfterFirst);
  CPPUNIT_ASSERT_MESSAGE(figures, aCallers.Served() > 20);
  CPPUNIT_ASSERT_MESSAGE(figures, late.mHosts > 0);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(
    figures, static_cast<int>(late.mHosts), SumOf(aCluster, kLeavingMetric));
}

int
CountAt(GatewayTestCluster& aCluster, const std::string& aTarget, Time aFrom)
{
  int count = 0;
  for (const RunnerRequest& it : aCluster.Requests()) {
    count += it.mRunner == aTarget && it.mAt >= aFrom &&
                 it.mHead.mTarget.rfind("/kv-", 0) != 0
               ? 1
               : 0;
  }
  return count;
}

// Requests that make another target copy memory to one, or name it as the
// holder of a copy.
int
CopiesTo(GatewayTestCluster& aCluster, const std::string& aTarget, Time aFrom)
{
  const std::string address = aCluster.AddressOf(aTarget);
  int count = 0;
  for (const RunnerRequest& it : aCluster.Requests()) {
    const std::string* holder = it.mHead.Find("X-Kv-Backup");
    const bool move = it.mHead.mTarget.rfind("/kv-move", 0) == 0;
    const bool names = (holder != nullptr && *holder == address) ||
                       (move && it.mBody.find(address) != std::string::npos);
    count += it.mAt >= aFrom && names ? 1 : 0;
  }
  return count;
}

// Runs at a target that a request moved to it.
int
MovesOf(GatewayTestCluster& aCluster, const std::string& aTarget, Time aFrom)
{
  int count = 0;
  for (const RunnerRequest& it : aCluster.Requests()) {
    const bool move = it.mHead.mTarget.rfind("/kv-move", 0) == 0;
    count += it.mRunner == aTarget && it.mAt >= aFrom && move ? 1 : 0;
  }
  return count;
}

// A kind of answer that says that the target leaves.
struct AnswerKind
{
  const char* mName;
  const char* mRoute;
  RunnerMode mMode;
};

constexpr AnswerKind kAnswerKinds[] = {
  { "plain answer", "/plain/", RunnerMode::Serve },
  { "answer of a call that is not repeated", "/unsafe/", RunnerMode::Serve },
  { "head of a stream", "/stream/", RunnerMode::Serve },
  { "failure", "/plain/", RunnerMode::Fail },
  { "failure of a stream", "/stream/", RunnerMode::Fail },
  { "failure 503", "/unsafe/", RunnerMode::Fail503 },
  { "rejection", "/plain/", RunnerMode::Reject },
  { "rejection of a stream", "/stream/", RunnerMode::Reject },
  { "unsigned answer", "/plain/", RunnerMode::UnsignedAnswer },
};

} // namespace

// Targets that say in their answers that they leave, while the store says that
// they are ready. Counted at the targets.
class LeavingAnswerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeavingAnswerTests);
  CPPUNIT_TEST(EachKindOfAnswerEndsRequests);
  CPPUNIT_TEST(ReportsEndRequests);
  CPPUNIT_TEST(EntriesThatSayReadyBringNoRequests);
  CPPUNIT_TEST(HostsWithoutTheStoreSendNoRequests);
  CPPUNIT_TEST(QueuedRequestsGoElsewhere);
  CPPUNIT_TEST(StreamsAndCopiesGoElsewhere);
  CPPUNIT_TEST(TheTargetsWorkGoesOn);
  CPPUNIT_TEST(TargetThatStartsAgainIsUsed);
  CPPUNIT_TEST(FieldsOfCallersChangeNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against hosts that read the field in some answers only.
  void EachKindOfAnswerEndsRequests()
  {
    for (const AnswerKind& it : kAnswerKinds) {
      GatewayTestCluster cluster(3, 2);
      Callers callers(cluster, it.mRoute);
      std::this_thread::sleep_for(milliseconds(300));
      cluster.SetMode("i-0", it.mMode);
      const Time saidAt = EventLoop::Now();
      cluster.SayLeaving("i-0");
      ExpectNoneLate(it.mName, cluster, "i-0", callers, saidAt);
    }
  }

  // Guards against hosts that read the field in answers to callers' requests,
  // but not in those to their own.
  void ReportsEndRequests()
  {
    GatewayTestCluster cluster(2, 1);
    cluster.SetPace(milliseconds(20), milliseconds(2500), milliseconds::zero());
    BackgroundCall stream(cluster.Gateway(),
                          GatewayTestCluster::Request("/stream/", "s"));
    std::this_thread::sleep_for(milliseconds(400));
    const std::string target = cluster.Runs().at(0).mRunner;
    cluster.SayLeaving(target);
    // The host asks for a report once the stream has been silent for a while.
    std::this_thread::sleep_for(milliseconds(2000));
    const Time from = EventLoop::Now();
    for (int n = 0; n < 30; ++n) {
      cluster.Call(
        GatewayTestCluster::Request("/plain/", "p" + std::to_string(n)));
    }
    const int late = CountAt(cluster, target, from);
    PrintFigures("report: " + std::to_string(late) + " of 30 requests");
    CPPUNIT_ASSERT_EQUAL(0, late);
  }

  // Guards against entries in the store that bring a target back: newer ones
  // of the same start, also after one was missing for a while.
  void EntriesThatSayReadyBringNoRequests()
  {
    GatewayTestCluster::Options options;
    options.mGateways = 2;
    options.mFirstStartTime = true;
    GatewayTestCluster cluster(options);
    Callers callers(cluster, "/plain/");
    const Time saidAt = EventLoop::Now();
    cluster.SayLeaving("i-0");
    std::this_thread::sleep_for(milliseconds(500));
    cluster.Register("i-0");
    std::this_thread::sleep_for(milliseconds(500));
    cluster.RemoveEntry("i-0");
    std::this_thread::sleep_for(milliseconds(700));
    cluster.Register("i-0");
    ExpectNoneLate("newer entries", cluster, "i-0", callers, saidAt);
  }

  // Guards against hosts that stop only once the store confirms it.
  void HostsWithoutTheStoreSendNoRequests()
  {
    GatewayTestCluster cluster(3, 2);
    cluster.SetStoreDown(true, 0);
    cluster.SetStoreDown(true, 1);
    Callers callers(cluster, "/plain/");
    std::this_thread::sleep_for(milliseconds(500));
    const Time saidAt = EventLoop::Now();
    cluster.SayLeaving("i-0");
    ExpectNoneLate("store out of touch", cluster, "i-0", callers, saidAt);
  }

  // Guards against requests that wait for capacity and are sent to the target
  // when it answers others: the targets are full all the time.
  void QueuedRequestsGoElsewhere()
  {
    GatewayTestCluster cluster(3, 1);
    cluster.SetPace(milliseconds(20), milliseconds(5), milliseconds(200));
    Callers callers(cluster, "/plain/", "", 60);
    std::this_thread::sleep_for(milliseconds(500));
    const Time saidAt = EventLoop::Now();
    cluster.SayLeaving("i-0");
    // The answers to what the target had at work arrive meanwhile.
    std::this_thread::sleep_for(milliseconds(600));
    const Time from = EventLoop::Now();
    std::this_thread::sleep_for(kDrainTime);
    callers.Stop();
    const int late = CountAt(cluster, "i-0", from);
    PrintFigures("queue: " + std::to_string(late) + " requests, served " +
                 std::to_string(callers.Served()) + ", said " +
                 std::to_string(ToMilliseconds(from - saidAt)) + " ms before");
    CPPUNIT_ASSERT_EQUAL(0, late);
    CPPUNIT_ASSERT(callers.Served() > 100);
  }

  // Guards against resumed streams, copies of memory and moves of memory that
  // still use the target.
  void StreamsAndCopiesGoElsewhere()
  {
    GatewayTestCluster cluster(4, 1);
    cluster.SetPace(milliseconds(20), milliseconds(20), milliseconds::zero());
    Callers callers(cluster, "/stream/", "", 4);
    std::this_thread::sleep_for(milliseconds(500));
    cluster.SayLeaving("i-0");
    std::this_thread::sleep_for(milliseconds(1500));
    const Time from = EventLoop::Now();
    for (int n = 0; n < 3; ++n) {
      // The streams of this target go on at others.
      cluster.ResetRunner(n % 2 == 0 ? "i-1" : "i-2");
      std::this_thread::sleep_for(milliseconds(700));
    }
    const int late = CountAt(cluster, "i-0", from);
    const int copies = CopiesTo(cluster, "i-0", from);
    const int moves = MovesOf(cluster, "i-0", from);
    callers.Stop();
    PrintFigures("streams: " + std::to_string(late) + " requests, " +
                 std::to_string(copies) + " copies to it, " +
                 std::to_string(moves) + " moves ordered at it; served " +
                 std::to_string(callers.Served()));
    CPPUNIT_ASSERT_EQUAL(0, late);
    CPPUNIT_ASSERT_EQUAL(0, copies);
    CPPUNIT_ASSERT_EQUAL(0, moves);
    CPPUNIT_ASSERT(callers.Served() > 10);
  }

  // Guards against ending what the target has at work.
  void TheTargetsWorkGoesOn()
  {
    GatewayTestCluster cluster(3, 1);
    std::vector<std::unique_ptr<BackgroundCall>> streams;
    for (int n = 0; n < 6; ++n) {
      streams.push_back(std::make_unique<BackgroundCall>(
        cluster.Gateway(),
        GatewayTestCluster::Request("/paced/", "s" + std::to_string(n))));
    }
    std::this_thread::sleep_for(milliseconds(300));
    cluster.SayLeaving("i-0");
    for (int n = 0; n < 30; ++n) {
      cluster.Call(
        GatewayTestCluster::Request("/plain/", "p" + std::to_string(n)));
    }
    for (const auto& it : streams) {
      CPPUNIT_ASSERT(it->AwaitAnswer().mComplete);
    }
    int streamRuns = 0;
    int atLeaving = 0;
    for (const RunnerRequest& it : cluster.Runs()) {
      const bool stream = it.mHead.mTarget.rfind("/paced/", 0) == 0;
      streamRuns += stream ? 1 : 0;
      atLeaving += stream && it.mRunner == "i-0" ? 1 : 0;
    }
    PrintFigures("at work: " + std::to_string(atLeaving) + " of " +
                 std::to_string(streamRuns) + " streams at the target");
    CPPUNIT_ASSERT_EQUAL(6, streamRuns);
    CPPUNIT_ASSERT(atLeaving > 0);
    CPPUNIT_ASSERT_EQUAL(1, SumOf(cluster, kLeavingMetric));
  }

  // Guards against a target that stays out of use when it has started again
  // under its name.
  void TargetThatStartsAgainIsUsed()
  {
    GatewayTestCluster::Options options;
    options.mGateways = 2;
    options.mFirstStartTime = true;
    GatewayTestCluster cluster(options);
    cluster.SetRunnerReturn(RunnerReturn::SameName);
    Callers callers(cluster, "/plain/");
    const Time saidAt = EventLoop::Now();
    cluster.SayLeaving("i-0");
    std::this_thread::sleep_for(milliseconds(1000));
    const Time before = EventLoop::Now();
    cluster.CrashRunner("i-0", "v1");
    const int left = CountAt(cluster, "i-0", saidAt + milliseconds(500));
    // The target is down for 1.2 s.
    std::this_thread::sleep_for(milliseconds(3500));
    callers.Stop();
    const int used = CountAt(cluster, "i-0", before);
    PrintFigures("started again: " + std::to_string(left) +
                 " requests before, " + std::to_string(used) + " after");
    CPPUNIT_ASSERT_EQUAL(0, left);
    CPPUNIT_ASSERT(used > 20);
  }

  // Guards against a caller that takes targets out of use by sending the field
  // itself.
  void FieldsOfCallersChangeNothing()
  {
    GatewayTestCluster cluster(3, 1);
    Callers callers(cluster, "/plain/", "Server-Leaving: 1\r\n");
    std::this_thread::sleep_for(milliseconds(500));
    const Time from = EventLoop::Now();
    std::this_thread::sleep_for(milliseconds(1000));
    callers.Stop();
    // The targets in the place of the host.
    for (const char* it : { "i-0", "i-2" }) {
      CPPUNIT_ASSERT_MESSAGE(it, CountAt(cluster, it, from) > 0);
    }
    CPPUNIT_ASSERT_EQUAL(0, SumOf(cluster, kLeavingMetric));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingAnswerTests);
