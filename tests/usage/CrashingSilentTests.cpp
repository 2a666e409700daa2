#include "GatewayTestCluster.h"
#include "OtherTraffic.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr int kHosts = 6;
constexpr int kTargets = 18;

// Time that the platform grants until a third crash must be known on all hosts,
// and the number of runs that may start after that.
constexpr auto kKnownWithin = milliseconds(3000);
constexpr std::size_t kMaxLateRuns = 3;

// How long a crashing request runs before its target falls silent, the time
// budget of each, and the time between two of them.
constexpr auto kCrashDelay = milliseconds(20);
constexpr int kDeadlineMs = 1500;
constexpr auto kReturnInterval = milliseconds(2000);
constexpr auto kPlayTime = std::chrono::seconds(22);

// A request that crashes targets comes again at one host after the other.
void
SendCrashing(const GatewayTestCluster& aCluster, const std::string& aRoute)
{
  std::vector<std::thread> callers;
  const Time start = EventLoop::Now();
  for (std::size_t n = 0; n * kReturnInterval < kPlayTime; ++n) {
    std::this_thread::sleep_until(start + n * kReturnInterval);
    callers.emplace_back([&aCluster, aRoute, n] {
      aCluster.Gateway(n % kHosts)
        .Call(GatewayTestCluster::Request(aRoute,
                                          "crash-" + std::to_string(n),
                                          "",
                                          GatewayTestCluster::kCrashingBody,
                                          kDeadlineMs));
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
}

} // namespace

// Gateway processes and a request that takes each target that runs it into the
// dark: its connections fall silent without a reset, and it comes back after
// its entry has expired.
class CrashingSilentTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashingSilentTests);
  CPPUNIT_TEST(ASafeRequestIsStopped);
  CPPUNIT_TEST(AnUnsafeRequestIsStopped);
  CPPUNIT_TEST(AStreamIsStopped);
  CPPUNIT_TEST(ASafeRequestIsStoppedIfTargetsKeepTheirNames);
  CPPUNIT_TEST(NobodyIsRefusedIfAPlaceFallsSilent);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against runs that are given up at a silent target never being held
  // against their request, which crashes targets for ever.
  void ASafeRequestIsStopped() { ExpectStopped("/quick/"); }
  void AnUnsafeRequestIsStopped() { ExpectStopped("/unsafe/"); }
  void AStreamIsStopped() { ExpectStopped("/stream/"); }

  // Guards against the death being known only by the end of the entry.
  void ASafeRequestIsStoppedIfTargetsKeepTheirNames()
  {
    ExpectStopped("/quick/", RunnerReturn::SameName);
  }

  // Guards against blaming sound requests that were given up at the targets of
  // a place that has fallen silent.
  void NobodyIsRefusedIfAPlaceFallsSilent()
  {
    GatewayTestCluster cluster(kTargets, kHosts);
    cluster.SetRunnerEnd(RunnerEnd::Silent);
    OtherTraffic others(cluster, { "/quick/", "/unsafe/", "/stream/" }, 4);
    for (const char* it : { "p0", "p1" }) {
      std::this_thread::sleep_for(milliseconds(1000));
      cluster.FailPlace(it);
      std::this_thread::sleep_for(milliseconds(6000));
    }
    others.Stop();
    CPPUNIT_ASSERT_EQUAL(0, others.BlamedCount());
    CPPUNIT_ASSERT(others.ServedCount() > 0);
  }

private:
  static void ExpectStopped(const std::string& aRoute,
                            RunnerReturn aReturn = RunnerReturn::NewName)
  {
    GatewayTestCluster cluster(kTargets, kHosts);
    cluster.SetRunnerEnd(RunnerEnd::Silent);
    cluster.SetRunnerReturn(aReturn);
    cluster.SetCrashDelay(kCrashDelay);
    OtherTraffic others(cluster, { "/quick/", "/unsafe/", "/stream/" }, 2);
    SendCrashing(cluster, aRoute);
    others.Stop();
    const auto crashes = cluster.Crashes();
    CPPUNIT_ASSERT(crashes.size() >= 3);
    const Time lateFrom = crashes[2].mAt + kKnownWithin;
    const auto runs = cluster.Runs();
    const auto late = static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(), [&](const RunnerRequest& aRun) {
        return aRun.mBody == GatewayTestCluster::kCrashingBody &&
               aRun.mAt > lateFrom;
      }));
    if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::cout << "route " << aRoute << ": crashes " << crashes.size()
                << ", late runs " << late << ", others served "
                << others.ServedCount() << ", refused " << others.BlamedCount()
                << '\n';
    }
    CPPUNIT_ASSERT_EQUAL(0, others.BlamedCount());
    CPPUNIT_ASSERT(others.ServedCount() > 0);
    CPPUNIT_ASSERT_MESSAGE("late runs: " + std::to_string(late) +
                             ", crashes: " + std::to_string(crashes.size()),
                           late <= kMaxLateRuns);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingSilentTests);
