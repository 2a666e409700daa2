#include "GatewayTestCluster.h"
#include "OtherTraffic.h"

#include <algorithm>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// Time that the platform grants until a third crash must be known on all hosts,
// and the number of runs that may start after that.
constexpr auto kKnownWithin = milliseconds(3000);
constexpr int kMaxLateRuns = 3;

// Time that a crashing request runs before its target ends, time between two
// returns of it to all hosts at once, and number of returns.
constexpr auto kCrashDelay = milliseconds(80);
constexpr auto kReturnInterval = milliseconds(4000);
constexpr int kReturns = 4;

// Duration of a plain call, so that each crash loses some.
constexpr auto kPlainAnswer = milliseconds(300);

// Requests in progress at each host beside the crashing ones.
constexpr int kOthersPerHost = 2;

struct Play
{
  std::string mRoute;
  int mTargets = 3;
  int mHosts = 6;
  bool mBesideOthers = true;
  int mBodies = 2;
  // Share of datagrams that are lost, in percent.
  int mDatagramLoss = 0;
};

std::string
BodyOf(int aNumber)
{
  return GatewayTestCluster::kCrashingBody + std::string("-") +
         static_cast<char>('a' + aNumber);
}

// Runs of a crashing request that started later than kKnownWithin after it had
// ended a third target. A target ends once, whatever it runs.
int
CountLateRuns(GatewayTestCluster& aCluster, const std::string& aBody)
{
  std::vector<Time> ends;
  for (const auto& it : aCluster.Crashes()) {
    if (it.mBody == aBody) {
      ends.push_back(it.mAt);
    }
  }
  if (ends.size() < 3) {
    return 0;
  }
  const Time from = ends[2] + kKnownWithin;
  int late = 0;
  for (const RunnerRequest& it : aCluster.Runs()) {
    late += it.mBody == aBody && it.mAt > from ? 1 : 0;
  }
  return late;
}

} // namespace

// Several requests that crash their targets and return at the same moments,
// each at several hosts at once, so that all targets of a service end together.
class TwoCrashingRequestsTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TwoCrashingRequestsTests);
  CPPUNIT_TEST(UnsafeRequestsAreStoppedBesideOthers);
  CPPUNIT_TEST(SafeRequestsAreStoppedBesideOthers);
  CPPUNIT_TEST(StreamsAreStoppedBesideOthers);
  CPPUNIT_TEST(UnsafeRequestsAreStoppedAlone);
  CPPUNIT_TEST(SafeRequestsAreStoppedAlone);
  CPPUNIT_TEST(StreamsAreStoppedAlone);
  CPPUNIT_TEST(UnsafeRequestsAreStoppedOnTwiceAsManyTargets);
  CPPUNIT_TEST(SafeRequestsAreStoppedOnTwiceAsManyTargets);
  CPPUNIT_TEST(StreamsAreStoppedOnTwiceAsManyTargets);
  CPPUNIT_TEST(RequestsAreStoppedWithoutDatagrams);
  CPPUNIT_TEST(RequestsAreStoppedByASingleHost);
  CPPUNIT_TEST(ThreeRequestsAreStopped);
  CPPUNIT_TEST_SUITE_END();

public:
  // These guard against two requests that excuse each other: each one's deaths
  // were taken for a common failure or for the other one's, and innocent calls
  // lost beside them were refused instead.
  void UnsafeRequestsAreStoppedBesideOthers() { ExpectStopped({ "/unsafe/" }); }
  void SafeRequestsAreStoppedBesideOthers() { ExpectStopped({ "/plain/" }); }
  void StreamsAreStoppedBesideOthers() { ExpectStopped({ "/stream/" }); }

  void UnsafeRequestsAreStoppedAlone()
  {
    ExpectStopped({ "/unsafe/", 3, 6, false });
  }
  void SafeRequestsAreStoppedAlone()
  {
    ExpectStopped({ "/plain/", 3, 6, false });
  }
  void StreamsAreStoppedAlone() { ExpectStopped({ "/stream/", 3, 6, false }); }

  void UnsafeRequestsAreStoppedOnTwiceAsManyTargets()
  {
    ExpectStopped({ "/unsafe/", 6 });
  }
  void SafeRequestsAreStoppedOnTwiceAsManyTargets()
  {
    ExpectStopped({ "/plain/", 6 });
  }
  void StreamsAreStoppedOnTwiceAsManyTargets()
  {
    ExpectStopped({ "/stream/", 6 });
  }

  // Guards against hosts that learn of each other's losses by datagrams only.
  void RequestsAreStoppedWithoutDatagrams()
  {
    ExpectStopped({ "/plain/", 3, 6, true, 2, 100 });
  }

  void RequestsAreStoppedByASingleHost() { ExpectStopped({ "/plain/", 3, 1 }); }

  void ThreeRequestsAreStopped()
  {
    ExpectStopped({ "/unsafe/", 6, 6, true, 3 });
  }

private:
  static void ExpectStopped(const Play& aPlay)
  {
    GatewayTestCluster::Options options;
    options.mRunners = aPlay.mTargets;
    options.mGateways = aPlay.mHosts;
    options.mRelaysDatagrams = aPlay.mDatagramLoss > 0;
    GatewayTestCluster cluster(options);
    cluster.SetDatagramLoss(aPlay.mDatagramLoss);
    cluster.SetCrashDelay(kCrashDelay);
    cluster.SetPace(milliseconds(50), milliseconds(10), kPlainAnswer);
    std::optional<OtherTraffic> others;
    if (aPlay.mBesideOthers) {
      others.emplace(cluster,
                     std::vector<std::string>{ "/plain/", "/unsafe/" },
                     kOthersPerHost);
    }
    std::vector<std::thread> calls;
    for (int turn = 0; turn < kReturns; ++turn) {
      std::this_thread::sleep_for(kReturnInterval);
      for (int body = 0; body < aPlay.mBodies; ++body) {
        for (std::size_t host = 0; host < cluster.GatewayCount(); ++host) {
          const std::string id = "crash-" + std::to_string(calls.size());
          calls.emplace_back([&cluster, &aPlay, host, body, id] {
            cluster.Gateway(host).Call(
              GatewayTestCluster::Request(aPlay.mRoute, id, "", BodyOf(body)));
          });
        }
      }
    }
    for (std::thread& it : calls) {
      it.join();
    }
    if (others) {
      others->Stop();
    }
    Check(cluster, aPlay, others ? &*others : nullptr);
  }

  static void Check(GatewayTestCluster& aCluster,
                    const Play& aPlay,
                    const OtherTraffic* aOthers)
  {
    std::string figures = "route " + aPlay.mRoute + ", targets " +
                          std::to_string(aPlay.mTargets) + ", hosts " +
                          std::to_string(aPlay.mHosts) + ": late runs";
    int most = 0;
    for (int body = 0; body < aPlay.mBodies; ++body) {
      const int late = CountLateRuns(aCluster, BodyOf(body));
      most = std::max(most, late);
      figures += " " + std::to_string(late);
    }
    figures += ", crashes " + std::to_string(aCluster.CrashCount());
    if (aOthers != nullptr) {
      figures += ", others served " + std::to_string(aOthers->ServedCount()) +
                 ", refused as suspects " +
                 std::to_string(aOthers->BlamedCount());
    }
    if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::cout << figures << '\n';
    }
    CPPUNIT_ASSERT_MESSAGE(figures, most <= kMaxLateRuns);
    if (aOthers != nullptr) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, 0, aOthers->BlamedCount());
      CPPUNIT_ASSERT_MESSAGE(figures, aOthers->ServedCount() > 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TwoCrashingRequestsTests);
