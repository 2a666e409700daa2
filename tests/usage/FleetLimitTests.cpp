#include "GatewayTestCluster.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// The platform's bound: from kSettled after a target has named its limit it may
// get at most one and a half times what the limit allows in any kWindow, and
// kMargin requests more.
constexpr auto kSettled = milliseconds(3000);
constexpr auto kWindow = milliseconds(4000);
constexpr double kFactor = 1.5;
constexpr int kMargin = 5;

// Requests of a host count from this time on after it has got an answer that
// names the limit.
constexpr auto kTold = milliseconds(500);

// Least part of a limit that has to be used while callers want more.
constexpr double kMinUsed = 0.5;

// Duration of a play after kSettled.
constexpr auto kPlayTime = milliseconds(9000);

constexpr auto kPlainAnswer = milliseconds(20);

// Pause of a caller after each answer.
constexpr auto kCallerPause = milliseconds(30);

// Callers that send one request after the other, each with a body of its own,
// and count the answers.
class Callers
{
public:
  // aCount callers for each gateway, with the workspace of aKey. aHosts is the
  // number of gateways that have callers.
  Callers(const GatewayTestCluster& aCluster,
          std::string aRoute,
          int aCount,
          std::size_t aHosts,
          std::string aKey = "key")
    : mCluster(aCluster)
    , mRoute(std::move(aRoute))
    , mKey(std::move(aKey))
  {
    for (std::size_t host = 0; host < aHosts; ++host) {
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

  // Answers with success, refusals that say when to come back, and refusals
  // that do not.
  int Served() const { return mServed; }
  int Refused() const { return mRefused; }
  int RefusedWithoutTime() const { return mRefusedWithoutTime; }

private:
  void Run(std::size_t aHost, int aCaller)
  {
    for (int n = 0; !mStopped; ++n) {
      const std::string id = mKey + std::to_string(aHost) + "-" +
                             std::to_string(aCaller) + "-" + std::to_string(n);
      std::string request = GatewayTestCluster::Request(mRoute, id, "", id);
      request.replace(request.find("Bearer key") + 7, 3, mKey);
      const auto answer = mCluster.Gateway(aHost).Call(request);
      if (answer.mComplete && answer.mHead.mStatus == 200) {
        ++mServed;
      } else if (answer.mComplete && answer.mHead.mStatus == 503) {
        const bool hasTime = answer.mHead.Find("Retry-After") != nullptr;
        ++(hasTime ? mRefused : mRefusedWithoutTime);
      }
      std::this_thread::sleep_for(kCallerPause);
    }
  }

  const GatewayTestCluster& mCluster;
  std::string mRoute;
  std::string mKey;
  std::atomic<bool> mStopped{ false };
  std::atomic<int> mServed{ 0 };
  std::atomic<int> mRefused{ 0 };
  std::atomic<int> mRefusedWithoutTime{ 0 };
  std::vector<std::thread> mThreads;
};

// Times at which requests arrived at a runner from aFrom on, whatever became of
// them.
std::vector<Time>
ArrivalsAt(GatewayTestCluster& aCluster, const std::string& aRunner, Time aFrom)
{
  std::vector<Time> arrivals;
  for (const RunnerRequest& it : aCluster.Requests()) {
    if (it.mRunner == aRunner && it.mAt >= aFrom &&
        it.mHead.mTarget.rfind("/kv-", 0) != 0) {
      arrivals.push_back(it.mAt);
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  return arrivals;
}

int
MostInWindow(const std::vector<Time>& aArrivals)
{
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t n = 0; n < aArrivals.size(); ++n) {
    while (aArrivals[n] - aArrivals[first] >= kWindow) {
      ++first;
    }
    most = std::max(most, n - first + 1);
  }
  return static_cast<int>(most);
}

int
AllowedInWindow(double aLimit)
{
  return static_cast<int>(kFactor * aLimit *
                            std::chrono::duration<double>(kWindow).count() +
                          kMargin);
}

// A cluster of targets of which some name limits.
struct LimitedFleet
{
  LimitedFleet(const std::string& aName,
               GatewayTestCluster::Options aOptions,
               std::map<std::string, double> aLimits,
               int aDatagramLoss = 0)
    : mName(aName)
    , mLimits(std::move(aLimits))
  {
    aOptions.mRelaysDatagrams = aDatagramLoss > 0;
    mCluster = std::make_unique<GatewayTestCluster>(aOptions);
    mCluster->SetDatagramLoss(aDatagramLoss);
    mCluster->SetPace(milliseconds(20), milliseconds(5), kPlainAnswer);
  }

  // The targets begin to name their limits. Returns when they count.
  void NameLimits()
  {
    for (const auto& it : mLimits) {
      char buf[32];
      std::snprintf(buf, sizeof buf, "%.3f", it.second);
      mCluster->SetLimit(it.first, buf);
    }
    std::this_thread::sleep_for(kSettled);
    mFrom = std::chrono::steady_clock::now();
  }

  // Checks the bound of each limit, and that aMinUsed of it was used.
  void Check(double aMinUsed)
  {
    const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - mFrom)
        .count();
    std::string figures = mName;
    bool kept = true;
    bool used = true;
    for (const auto& it : mLimits) {
      auto arrivals = ArrivalsAt(*mCluster, it.first, mFrom);
      arrivals.erase(std::remove_if(arrivals.begin(),
                                    arrivals.end(),
                                    [&](Time aAt) {
                                      return aAt >= mExcusedFrom &&
                                             aAt < mExcusedUntil;
                                    }),
                     arrivals.end());
      const int most = MostInWindow(arrivals);
      const double share =
        static_cast<double>(arrivals.size()) / (it.second * seconds);
      char buf[120];
      std::snprintf(buf,
                    sizeof buf,
                    "; limit %.1f/s: most in 4 s %d of %d, used %.2f",
                    it.second,
                    most,
                    AllowedInWindow(it.second),
                    share);
      figures += buf;
      kept &= most <= AllowedInWindow(it.second);
      used &= share >= aMinUsed;
    }
    if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::cout << figures << '\n';
    }
    CPPUNIT_ASSERT_MESSAGE(figures, kept);
    CPPUNIT_ASSERT_MESSAGE(figures, used);
  }

  std::string mName;
  std::map<std::string, double> mLimits;
  std::unique_ptr<GatewayTestCluster> mCluster;
  Time mFrom;
  // Span in which arrivals do not count.
  Time mExcusedFrom;
  Time mExcusedUntil;
};

GatewayTestCluster::Options
FleetOf(int aHosts)
{
  GatewayTestCluster::Options options;
  options.mRunners = 3;
  options.mGateways = aHosts;
  return options;
}

} // namespace

// Gateway processes and targets that name the number of requests they take from
// all hosts together. Counted at the targets.
class FleetLimitTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetLimitTests);
  CPPUNIT_TEST(OneHostKeepsLimits);
  CPPUNIT_TEST(FourHostsShareLimits);
  CPPUNIT_TEST(NineHostsShareLimits);
  CPPUNIT_TEST(FourHostsShareLimitsWithoutDatagrams);
  CPPUNIT_TEST(NineHostsShareLimitsWithoutDatagrams);
  CPPUNIT_TEST(TheRestGoesToOtherTargets);
  CPPUNIT_TEST(HostsWithoutCallersLeaveTheirShare);
  CPPUNIT_TEST(LimitsAreKeptOverRestarts);
  CPPUNIT_TEST(LimitsAreKeptWhenAHostJoins);
  CPPUNIT_TEST(RepeatsCountAgainstLimits);
  CPPUNIT_TEST(CallsThatAreTurnedAwayCountAgainstLimits);
  CPPUNIT_TEST(StreamsTakenUpCountAgainstLimits);
  CPPUNIT_TEST(CallsAreRefusedAtOnceWhenAllTargetsAreLimited);
  CPPUNIT_TEST(UrgentCallsAreServedFirst);
  CPPUNIT_TEST(LiftedLimitsAreUsedAgain);
  CPPUNIT_TEST(MalformedLimitsAreIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  // These guard against hosts that do not read the limits of targets, or that
  // each apply them for themselves.
  void OneHostKeepsLimits() { ExpectKept("1 host", 1, 0); }
  void FourHostsShareLimits() { ExpectKept("4 hosts", 4, 0); }
  void NineHostsShareLimits() { ExpectKept("9 hosts", 9, 0); }
  void FourHostsShareLimitsWithoutDatagrams()
  {
    ExpectKept("4 hosts, no datagrams", 4, 100);
  }
  void NineHostsShareLimitsWithoutDatagrams()
  {
    ExpectKept("9 hosts, no datagrams", 9, 100);
  }

  // Guards against refusing what a target without a limit can take.
  void TheRestGoesToOtherTargets()
  {
    LimitedFleet fleet("one of three without a limit, 4 hosts",
                       FleetOf(4),
                       { { "i-0", 2.4 }, { "i-1", 6 } });
    Callers callers(*fleet.mCluster, "/plain/", 3, 4);
    fleet.NameLimits();
    std::this_thread::sleep_for(kPlayTime);
    callers.Stop();
    fleet.Check(0);
    CPPUNIT_ASSERT(callers.Served() > 0);
    CPPUNIT_ASSERT_EQUAL(0, callers.Refused() + callers.RefusedWithoutTime());
  }

  // Guards against limits that are used only as far as the hosts have equally
  // many callers.
  void HostsWithoutCallersLeaveTheirShare()
  {
    LimitedFleet fleet("callers at 1 of 4 hosts",
                       FleetOf(4),
                       { { "i-0", 2.4 }, { "i-1", 6 }, { "i-2", 12 } });
    Callers callers(*fleet.mCluster, "/plain/", 6, 1);
    fleet.NameLimits();
    std::this_thread::sleep_for(kPlayTime);
    callers.Stop();
    fleet.Check(kMinUsed);
  }

  // Guards against a host that has more than its share after each start.
  void LimitsAreKeptOverRestarts()
  {
    LimitedFleet fleet("4 hosts that restart",
                       FleetOf(4),
                       { { "i-0", 2.4 }, { "i-1", 6 }, { "i-2", 12 } });
    Callers callers(*fleet.mCluster, "/plain/", 3, 4);
    fleet.NameLimits();
    std::this_thread::sleep_for(kPlayTime / 3);
    fleet.mCluster->Gateway(1).Signal(SIGKILL);
    fleet.mCluster->Gateway(1).AwaitExit();
    std::this_thread::sleep_for(kPlayTime / 3);
    fleet.mCluster->Gateway(1).Start();
    std::this_thread::sleep_for(kPlayTime / 3);
    fleet.mExcusedFrom = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < 4; ++n) {
      fleet.mCluster->Gateway(n).Restart();
    }
    fleet.mCluster->AwaitReady();
    std::this_thread::sleep_for(kTold);
    fleet.mExcusedUntil = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(kPlayTime);
    callers.Stop();
    fleet.Check(kMinUsed);
  }

  void LimitsAreKeptWhenAHostJoins()
  {
    auto options = FleetOf(4);
    options.mLateGateways = 1;
    LimitedFleet fleet("4 hosts, one of them late",
                       options,
                       { { "i-0", 2.4 }, { "i-1", 6 }, { "i-2", 12 } });
    Callers callers(*fleet.mCluster, "/plain/", 4, 3);
    fleet.NameLimits();
    std::this_thread::sleep_for(kPlayTime / 3);
    fleet.mCluster->Join();
    Callers more(*fleet.mCluster, "/plain/", 4, 4);
    std::this_thread::sleep_for(kPlayTime);
    callers.Stop();
    more.Stop();
    fleet.Check(kMinUsed);
  }

  // Guards against repeats that do not count: the target answers each call with
  // a failure, after which it is repeated at another one.
  void RepeatsCountAgainstLimits()
  {
    LimitedFleet fleet("repeats, 4 hosts",
                       FleetOf(4),
                       { { "i-0", 4 }, { "i-1", 4 }, { "i-2", 4 } });
    fleet.mCluster->SetAllModes(RunnerMode::Fail);
    Callers callers(*fleet.mCluster, "/plain/", 4, 4);
    fleet.NameLimits();
    std::this_thread::sleep_for(kPlayTime);
    callers.Stop();
    fleet.Check(kMinUsed);
  }

  // Guards against calls that do not count because the target has not run them.
  void CallsThatAreTurnedAwayCountAgainstLimits()
  {
    LimitedFleet fleet("calls turned away, 4 hosts",
                       FleetOf(4),
                       { { "i-0", 4 }, { "i-1", 4 }, { "i-2", 4 } });
    fleet.mCluster->SetAllModes(RunnerMode::Reject);
    Callers callers(*fleet.mCluster, "/plain/", 4, 4);
    fleet.NameLimits();
    std::this_thread::sleep_for(kPlayTime);
    callers.Stop();
    fleet.Check(kMinUsed);
  }

  // Guards against streams that go on at a limited target without counting.
  void StreamsTakenUpCountAgainstLimits()
  {
    LimitedFleet fleet("streams that are lost, 4 hosts",
                       FleetOf(4),
                       { { "i-0", 4 }, { "i-1", 4 }, { "i-2", 4 } });
    fleet.mCluster->SetAllModes(RunnerMode::TruncatedStream);
    Callers callers(*fleet.mCluster, "/stream/", 3, 4);
    fleet.NameLimits();
    std::this_thread::sleep_for(kPlayTime);
    callers.Stop();
    // Targets that break streams off are avoided for a while.
    fleet.Check(0);
    const auto requests = fleet.mCluster->Requests();
    const auto resumed = std::count_if(
      requests.begin(), requests.end(), [&](const RunnerRequest& aRequest) {
        return aRequest.mAt >= fleet.mFrom &&
               aRequest.mHead.Find("Last-Event-Id") != nullptr;
      });
    CPPUNIT_ASSERT(resumed > 0);
  }

  // Guards against calls that wait although no target may take them.
  void CallsAreRefusedAtOnceWhenAllTargetsAreLimited()
  {
    LimitedFleet fleet("all targets limited, 4 hosts",
                       FleetOf(4),
                       { { "i-0", 2.4 }, { "i-1", 3 }, { "i-2", 6 } });
    Callers callers(*fleet.mCluster, "/unsafe/", 3, 4);
    fleet.NameLimits();
    std::this_thread::sleep_for(kPlayTime);
    callers.Stop();
    fleet.Check(kMinUsed);
    CPPUNIT_ASSERT(callers.Refused() > callers.Served());
    CPPUNIT_ASSERT_EQUAL(0, callers.RefusedWithoutTime());
  }

  // Guards against less urgent calls using up what targets allow.
  void UrgentCallsAreServedFirst()
  {
    LimitedFleet fleet("two priorities, 2 hosts",
                       FleetOf(2),
                       { { "i-0", 3 }, { "i-1", 3 }, { "i-2", 3 } });
    TestConfiguration configuration;
    configuration.mWorkspaces = { { "w", { "key" }, 5 },
                                  { "u", { "urgent" }, 0 } };
    fleet.mCluster->AwaitConfiguration(fleet.mCluster->Write(configuration));
    fleet.NameLimits();
    Callers urgent(*fleet.mCluster, "/plain/", 2, 2, "urgent");
    Callers others(*fleet.mCluster, "/plain/", 4, 2);
    std::this_thread::sleep_for(kPlayTime);
    urgent.Stop();
    others.Stop();
    fleet.Check(kMinUsed);
    const std::string figures = "urgent served " +
                                std::to_string(urgent.Served()) + ", others " +
                                std::to_string(others.Served());
    if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::cout << figures << '\n';
    }
    CPPUNIT_ASSERT_MESSAGE(figures, urgent.Served() > 3 * others.Served());
  }

  // Guards against a limit that goes on to apply after answers stop naming it.
  void LiftedLimitsAreUsedAgain()
  {
    for (const int loss : { 0, 100 }) {
      LimitedFleet fleet("limits lifted, 4 hosts, loss " + std::to_string(loss),
                         FleetOf(4),
                         { { "i-0", 2.4 }, { "i-1", 2.4 }, { "i-2", 2.4 } },
                         loss);
      Callers callers(*fleet.mCluster, "/plain/", 3, 4);
      fleet.NameLimits();
      std::this_thread::sleep_for(kPlayTime / 2);
      fleet.Check(kMinUsed);
      for (const auto& it : fleet.mLimits) {
        fleet.mCluster->SetLimit(it.first, "");
      }
      const Time lifted = std::chrono::steady_clock::now();
      std::this_thread::sleep_for(kPlayTime);
      callers.Stop();
      ExpectUsed(fleet, lifted);
    }
  }

  // Guards against values that are taken for a limit, end the process or lift
  // the limit that is known.
  void MalformedLimitsAreIgnored()
  {
    GatewayTestCluster cluster(FleetOf(1));
    for (const char* it :
         { "abc", "-1", "nan", "inf", "1e999", "2.4x", "2,4", "0x10", " " }) {
      cluster.SetAllModes(RunnerMode::Serve);
      for (const char* runner : { "i-0", "i-1", "i-2" }) {
        cluster.SetLimit(runner, it);
      }
      for (int n = 0; n < 12; ++n) {
        const auto answer = cluster.Call(GatewayTestCluster::Request(
          "/plain/", std::string("bad") + it + std::to_string(n)));
        CPPUNIT_ASSERT_MESSAGE(it, answer.mComplete);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it, 200, answer.mHead.mStatus);
      }
    }
    const std::string malformed =
      cluster.Gateway().Metric("quetzal_limits_malformed_total");
    CPPUNIT_ASSERT_MESSAGE(malformed, std::atoi(malformed.c_str()) > 0);
  }

private:
  static void ExpectKept(const std::string& aName, int aHosts, int aLoss)
  {
    LimitedFleet fleet(aName,
                       FleetOf(aHosts),
                       { { "i-0", 2.4 }, { "i-1", 6 }, { "i-2", 12 } },
                       aLoss);
    Callers callers(
      *fleet.mCluster, "/plain/", 3, static_cast<std::size_t>(aHosts));
    fleet.NameLimits();
    std::this_thread::sleep_for(kPlayTime);
    callers.Stop();
    fleet.Check(kMinUsed);
  }

  // Expects the arrivals after a lift to exceed what the limits allowed.
  static void ExpectUsed(LimitedFleet& aFleet, Time aLifted)
  {
    std::string figures = aFleet.mName;
    bool used = true;
    for (const auto& it : aFleet.mLimits) {
      const auto arrivals = ArrivalsAt(*aFleet.mCluster, it.first, aLifted);
      const auto before = static_cast<std::size_t>(AllowedInWindow(it.second));
      used &= arrivals.size() > before;
      const int ms =
        arrivals.size() <= before
          ? -1
          : static_cast<int>(ToMilliseconds(arrivals[before] - aLifted));
      figures += "; beyond the former bound after ms " + std::to_string(ms);
    }
    if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::cout << figures << '\n';
    }
    CPPUNIT_ASSERT_MESSAGE(figures, used);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetLimitTests);
