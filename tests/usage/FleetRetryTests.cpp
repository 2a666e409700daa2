#include "GatewayTestCluster.h"
#include "RetryLedger.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <random>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr int kRunners = 12;

// Requests of callers per second, over all hosts.
constexpr int kRequestRate = 40;

// Time after the start of the fleet until the callers start. Each host knows
// all others by then, and a window has passed.
constexpr auto kFleetSettled = milliseconds(13000);

// Time without trouble at the hosts in which the budget is used up.
constexpr auto kCalmTime = milliseconds(3000);

// Time for which the callers go on after the last trouble.
constexpr auto kAfterTrouble = milliseconds(3000);

// Interval at which the runners change how they behave.
constexpr auto kModeInterval = milliseconds(1000);

// Time for which callers wait for an answer.
constexpr auto kCallerTimeout = milliseconds(3000);

// Share of the runners that are in trouble at a time, in percent.
constexpr unsigned kTroubledRunners = 75;

// A route of the callers and the runs that it allows for one request.
struct CallerRoute
{
  const char* mPath;
  std::size_t mMaxRuns;
};

constexpr CallerRoute kCallerRoutes[] = { { "/quick/", 4 },
                                          { "/stream/", 5 },
                                          { "/unsafe/", 1 } };

// Route of a request: six of ten are quick ones, three are streams.
const CallerRoute&
RouteOf(const std::string& aRequest)
{
  const int kind = std::atoi(aRequest.c_str() + 1) % 10;
  return kCallerRoutes[kind < 6 ? 0 : kind < 9 ? 1 : 2];
}

constexpr RunnerMode kModes[] = {
  RunnerMode::Fail,        RunnerMode::Reject,     RunnerMode::ResetImmediately,
  RunnerMode::NeverAnswer, RunnerMode::SlowAnswer, RunnerMode::TruncatedStream
};

int
FromEnvironment(const char* aName, int aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::atoi(text);
}

// Callers of all routes, at a constant rate, each request at a random host.
class Callers
{
public:
  Callers(const GatewayTestCluster& aCluster, unsigned aSeed)
    : mCluster(aCluster)
    , mSeed(aSeed)
    , mHosts(aCluster.GatewayCount())
    , mStart(EventLoop::Now())
  {
    constexpr int kThreads = 80;
    for (int n = 0; n < kThreads; ++n) {
      mThreads.emplace_back([this] { Run(); });
    }
  }
  ~Callers() { Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void SetHosts(std::size_t aHosts) { mHosts = aHosts; }

  void Stop()
  {
    mStopped = true;
    for (std::thread& it : mThreads) {
      if (it.joinable()) {
        it.join();
      }
    }
  }

  // When each request was sent.
  const std::map<std::string, Time>& Sends() const { return mSends; }
  int SentCount() const { return static_cast<int>(mSends.size()); }
  int ServedCount() const { return mServed; }

  // Requests that no target has received as the retry budget was exhausted.
  const std::set<std::string>& RefusedForBudget() const { return mRefused; }

private:
  void Run()
  {
    while (!mStopped) {
      const int n = mNext++;
      std::this_thread::sleep_until(mStart +
                                    milliseconds(1000 / kRequestRate) * n);
      if (!mStopped) {
        Send(n);
      }
    }
  }

  void Send(int aNumber)
  {
    std::mt19937 random(mSeed + static_cast<unsigned>(aNumber));
    const std::string id = "r" + std::to_string(aNumber);
    const std::size_t host = random() % mHosts;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mSends[id] = EventLoop::Now();
    }
    const auto answer = mCluster.Gateway(host).Call(GatewayTestCluster::Request(
      RouteOf(id).mPath, id, "", id, static_cast<int>(kCallerTimeout.count())));
    mServed += answer.mComplete && answer.mHead.mStatus == 200 ? 1 : 0;
    if (answer.mBody.find("retry budget") != std::string::npos) {
      const std::lock_guard<std::mutex> lock(mMutex);
      mRefused.insert(id);
    }
  }

  const GatewayTestCluster& mCluster;
  const unsigned mSeed;
  std::atomic<std::size_t> mHosts;
  const Time mStart;
  std::atomic<int> mNext{ 0 };
  std::atomic<bool> mStopped{ false };
  std::atomic<int> mServed{ 0 };
  std::mutex mMutex;
  std::map<std::string, Time> mSends;
  std::set<std::string> mRefused;
  std::vector<std::thread> mThreads;
};

// Lets the runners behave badly in changing ways.
class RunnerTrouble
{
public:
  RunnerTrouble(GatewayTestCluster& aCluster, unsigned aSeed)
    : mThread([this, &aCluster, aSeed] { Run(aCluster, aSeed); })
  {
  }
  ~RunnerTrouble()
  {
    mStopped = true;
    mThread.join();
  }
  RunnerTrouble(const RunnerTrouble&) = delete;
  RunnerTrouble& operator=(const RunnerTrouble&) = delete;

private:
  void Run(GatewayTestCluster& aCluster, unsigned aSeed) const
  {
    std::mt19937 random(aSeed);
    // One kind of trouble for all runners, or a random one for each.
    const int fixed = FromEnvironment("QUETZAL_TEST_MODE", -1);
    while (!mStopped) {
      for (int n = 0; n < kRunners; ++n) {
        // Half of those in trouble answer with a failure.
        const std::size_t mode = fixed >= 0 ? static_cast<std::size_t>(fixed)
                                 : random() % 2 == 0
                                   ? 0
                                   : random() % std::size(kModes);
        aCluster.SetMode("i-" + std::to_string(n),
                         random() % 100 < kTroubledRunners ? kModes[mode]
                                                           : RunnerMode::Serve);
      }
      std::this_thread::sleep_for(kModeInterval);
    }
  }

  std::atomic<bool> mStopped{ false };
  std::thread mThread;
};

// Whether the counters of the hosts cover the whole test, or are lost with
// processes that end.
enum class HostCounts
{
  Complete,
  Lost,
};

// Retries that the budgets of all hosts have allowed.
std::size_t
CountTakenRetries(const GatewayTestCluster& aCluster)
{
  double count = 0;
  for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
    for (const char* it :
         { "quetzal_retries_own_total", "quetzal_retries_granted_total" }) {
      count += std::atof(aCluster.Gateway(n).Metric(it).c_str());
    }
  }
  return static_cast<std::size_t>(count);
}

using Trouble = std::function<void(GatewayTestCluster&, Callers&)>;

} // namespace

// Whole fleets of gateway processes in front of failing targets. The retries
// are counted at the targets, over all hosts. QUETZAL_TEST_SEED sets the seed.
class FleetRetryTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetRetryTests);
  CPPUNIT_TEST(RetriesStayWithinTheBudgetOfTheFleet);
  CPPUNIT_TEST(RetriesStayWithinTheBudgetOfAFleetThatStarts);
  CPPUNIT_TEST(RetriesStayWithinTheBudgetWhileHostsAreKilled);
  CPPUNIT_TEST(RetriesStayWithinTheBudgetWhenAllHostsAreKilled);
  CPPUNIT_TEST(RetriesStayWithinTheBudgetWhileHostsAreReplaced);
  CPPUNIT_TEST(RetriesStayWithinTheBudgetWhileHostsFreeze);
  CPPUNIT_TEST(RetriesStayWithinTheBudgetWhileDatagramsAreLost);
  CPPUNIT_TEST(RetriesStayWithinTheBudgetWhileHostsShareUnusedRetries);
  CPPUNIT_TEST(RetriesStayWithinTheBudgetWhileHostsJoin);
  CPPUNIT_TEST(RetriesStayWithinTheBudgetWithoutTheStore);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against retries that no trouble of the hosts explains.
  void RetriesStayWithinTheBudgetOfTheFleet()
  {
    ExpectWithinBudget(
      "none",
      { kRunners, 6, -1, 0, false },
      [](auto&, auto&) { std::this_thread::sleep_for(milliseconds(8000)); },
      kFleetSettled,
      HostCounts::Complete);
  }

  // Guards against hosts that have just started and take themselves for the
  // only one.
  void RetriesStayWithinTheBudgetOfAFleetThatStarts()
  {
    ExpectWithinBudget(
      "start",
      { kRunners, 9, -1, 0, false },
      [](auto&, auto&) { std::this_thread::sleep_for(milliseconds(3000)); },
      milliseconds(0));
  }

  // Guards against each start of a host bringing a new share of the budget.
  void RetriesStayWithinTheBudgetWhileHostsAreKilled()
  {
    ExpectWithinBudget(
      "kill", { kRunners, 6, -1, 0, false }, RestartInTurn<12>);
  }

  void RetriesStayWithinTheBudgetWhenAllHostsAreKilled()
  {
    ExpectWithinBudget(
      "kill_all", { kRunners, 9, -1, 0, false }, [](auto& aCluster, auto&) {
        for (int round = 0; round < 2; ++round) {
          for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
            aCluster.Gateway(n).Restart();
          }
          std::this_thread::sleep_for(milliseconds(4000));
        }
      });
  }

  // Guards against the shares of the other hosts growing as soon as a host
  // stops, while its own retries still count.
  void RetriesStayWithinTheBudgetWhileHostsAreReplaced()
  {
    ExpectWithinBudget(
      "term", { kRunners, 6, -1, 0, false }, [](auto& aCluster, auto&) {
        for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
          aCluster.Gateway(n).Restart(SIGTERM);
        }
      });
  }

  void RetriesStayWithinTheBudgetWhileHostsFreeze()
  {
    ExpectWithinBudget(
      "freeze", { kRunners, 6, -1, 0, false }, [](auto& aCluster, auto&) {
        for (std::size_t n = 0; n < 4; ++n) {
          aCluster.Gateway(n).Signal(SIGSTOP);
          std::this_thread::sleep_for(milliseconds(2000));
          aCluster.Gateway(n).Signal(SIGCONT);
        }
      });
  }

  // Guards against several hosts borrowing the same unused retries.
  void RetriesStayWithinTheBudgetWhileDatagramsAreLost()
  {
    ExpectWithinBudget(
      "datagrams", { kRunners, 9, -1, 0, true }, [](auto& aCluster, auto&) {
        for (const int percent : { 80, 0, 100, 0, 95 }) {
          aCluster.SetDatagramLoss(percent);
          std::this_thread::sleep_for(milliseconds(2000));
        }
      });
  }

  // Guards against several busy hosts using what the same idle host leaves
  // while they do not hear of each other's retries.
  void RetriesStayWithinTheBudgetWhileHostsShareUnusedRetries()
  {
    ExpectWithinBudget("share",
                       { kRunners, 9, -1, 0, true },
                       [](auto& aCluster, auto& aCallers) {
                         aCallers.SetHosts(4);
                         for (int round = 0; round < 6; ++round) {
                           aCluster.SetDatagramLoss(100);
                           std::this_thread::sleep_for(milliseconds(1400));
                           aCluster.SetDatagramLoss(0);
                           std::this_thread::sleep_for(milliseconds(200));
                         }
                       });
  }

  // Guards against hosts that join taking their shares before the others have
  // reduced theirs.
  void RetriesStayWithinTheBudgetWhileHostsJoin()
  {
    ExpectWithinBudget("join",
                       { kRunners, 9, -1, 3, false },
                       [](auto& aCluster, auto& aCallers) {
                         for (int n = 0; n < 3; ++n) {
                           aCluster.Join();
                           aCallers.SetHosts(aCluster.GatewayCount());
                           std::this_thread::sleep_for(milliseconds(2000));
                         }
                       });
  }

  // Guards against a host that starts while the store is away taking itself
  // for the only one.
  void RetriesStayWithinTheBudgetWithoutTheStore()
  {
    ExpectWithinBudget(
      "store",
      { kRunners, 6, -1, 0, false },
      [](auto& aCluster, auto& aCallers) {
        for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
          aCluster.SetStoreDown(true, n);
        }
        RestartInTurn<8>(aCluster, aCallers);
        for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
          aCluster.SetStoreDown(false, n);
        }
      });
  }

private:
  // Kills one host after the other.
  template<int Count>
  static void RestartInTurn(GatewayTestCluster& aCluster, Callers&)
  {
    for (std::size_t n = 0; n < Count; ++n) {
      aCluster.Gateway(n % aCluster.GatewayCount()).Restart();
      std::this_thread::sleep_for(milliseconds(900));
    }
  }

  static void ExpectWithinBudget(
    const char* aName,
    const GatewayTestCluster::Options& aOptions,
    const Trouble& aTrouble,
    milliseconds aCallersStartAfter = kFleetSettled,
    HostCounts aCounts = HostCounts::Lost)
  {
    const auto seed =
      static_cast<unsigned>(FromEnvironment("QUETZAL_TEST_SEED", 1));
    GatewayTestCluster cluster(aOptions);
    for (std::size_t n = 0; n < cluster.GatewayCount(); ++n) {
      cluster.Gateway(n).SetCallTimeout(milliseconds(3500));
    }
    std::this_thread::sleep_for(aCallersStartAfter);
    RetryLedger ledger;
    int served = 0;
    int sent = 0;
    std::set<std::string> refused;
    {
      const RunnerTrouble runners(cluster, seed);
      Callers callers(cluster, seed);
      std::this_thread::sleep_for(kCalmTime);
      aTrouble(cluster, callers);
      std::this_thread::sleep_for(kAfterTrouble);
      callers.Stop();
      for (const auto& it : callers.Sends()) {
        ledger.OnSent(it.first, it.second, it.second + kCallerTimeout);
      }
      served = callers.ServedCount();
      sent = callers.SentCount();
      refused = callers.RefusedForBudget();
    }
    for (const RunnerRequest& it : cluster.Requests()) {
      if (const std::string* id = it.mHead.Find("X-Request-Id")) {
        const std::string* left = it.mHead.Find("X-Deadline-Ms");
        CPPUNIT_ASSERT(left != nullptr);
        ledger.OnArrival(
          *id, it.mAt, it.mAt + milliseconds(std::atoi(left->c_str())));
        refused.erase(*id);
      }
    }
    for (const RunnerRequest& it : cluster.Runs()) {
      ledger.OnRun(*it.mHead.Find("X-Request-Id"), it.mRunner);
    }
    if (aCounts == HostCounts::Complete) {
      // Guards against retries that do not go through the budget.
      CPPUNIT_ASSERT(ledger.RetryCount() <= CountTakenRetries(cluster));
    }
    const double excess = ledger.MaxExcess(RetryRule());
    if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::cout << "trouble " << aName << ", seed " << seed << ", hosts "
                << cluster.GatewayCount() << ": sent " << sent << ", served "
                << served << ", retries " << ledger.RetryCount()
                << ", most beyond the budget " << excess << '\n';
    }
    CPPUNIT_ASSERT(served > 0);
    CPPUNIT_ASSERT_MESSAGE("first attempts refused", refused.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         ledger.OverrunCount([](const std::string& aRequest) {
                           return RouteOf(aRequest).mMaxRuns;
                         }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, ledger.OverlongCount());
    CPPUNIT_ASSERT_MESSAGE(
      "retries beyond the budget: " + std::to_string(excess), excess <= 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRetryTests);
