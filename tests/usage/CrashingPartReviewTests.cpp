#include "GatewayTestCluster.h"
#include "OtherTraffic.h"

#include <algorithm>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr auto kKnownWithin = milliseconds(3000);
constexpr int kMaxLateRuns = 3;
constexpr std::size_t kCrashesToKnow = 5;

constexpr auto kCrashDelay = milliseconds(80);
constexpr auto kCalmTime = milliseconds(1500);
constexpr auto kDuration = milliseconds(14000);
constexpr int kHosts = 12;

// Parts after the crashing one that no other request has, one more than hosts
// record of a lost request.
constexpr int kUnknownParts = 65;

std::string
PromptOf(const std::string& aId, bool aCrashing, int aUnknown)
{
  std::string parts = "f1:8,c0:8";
  if (aCrashing) {
    parts += std::string(",") + GatewayTestCluster::kCrashingPart + "1:8";
  }
  for (int n = 0; n < aUnknown; ++n) {
    parts += ",u" + aId + "-" + std::to_string(n) + ":8";
  }
  return "X-Prompt-Prefix: " + parts + "," + aId + ":16\r\n";
}

} // namespace

// Crashing parts in circumstances that CrashingPartTests does not have. With
// QUETZAL_TEST_FIGURES set, the tests print their figures.
class CrashingPartReviewTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashingPartReviewTests);
  CPPUNIT_TEST(PartIsStoppedWhileTheStoreIsDown);
  CPPUNIT_TEST(PartBeforeManyUnknownPartsIsStopped);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a trial on each host of the fleet, and against sound
  // requests that wait for trials, while the store does not answer.
  void PartIsStoppedWhileTheStoreIsDown()
  {
    for (const char* it : { "/stream/", "/unsafe/" }) {
      ExpectStopped(
        it, milliseconds(1000), 0, [](GatewayTestCluster& aCluster) {
          for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
            aCluster.SetStoreDown(true, n);
          }
        });
    }
  }

  // Guards against recording only the last 64 parts of a lost request.
  void PartBeforeManyUnknownPartsIsStopped()
  {
    for (const char* it : { "/stream/", "/unsafe/" }) {
      ExpectStopped(
        it, milliseconds(300), kUnknownParts, [](GatewayTestCluster&) {});
    }
  }

private:
  static void ExpectStopped(
    const std::string& aRoute,
    milliseconds aInterval,
    int aUnknownParts,
    const std::function<void(GatewayTestCluster&)>& aDisturb)
  {
    GatewayTestCluster::Options options;
    options.mRunners = 12;
    options.mGateways = kHosts;
    GatewayTestCluster cluster(options);
    cluster.SetCrashDelay(kCrashDelay);
    cluster.SetPace(milliseconds(50), milliseconds(10), milliseconds(100));
    OtherTraffic others(cluster,
                        std::vector<std::string>{ aRoute, "/plain/" },
                        1,
                        [&](const std::string& aId) {
                          return PromptOf(aId, false, aUnknownParts);
                        });
    std::this_thread::sleep_for(kCalmTime);
    aDisturb(cluster);
    std::vector<std::thread> calls;
    for (int send = 0; send < kDuration / aInterval; ++send) {
      calls.emplace_back([&cluster, &aRoute, aUnknownParts, send] {
        const std::string id = "d" + std::to_string(send);
        cluster.Gateway(static_cast<std::size_t>(send) % cluster.GatewayCount())
          .Call(GatewayTestCluster::Request(
            aRoute, id, PromptOf(id, true, aUnknownParts), id));
      });
      std::this_thread::sleep_for(aInterval);
    }
    for (std::thread& it : calls) {
      it.join();
    }
    others.Stop();
    Check(cluster, aRoute, others);
  }

  static void Check(GatewayTestCluster& aCluster,
                    const std::string& aRoute,
                    const OtherTraffic& aOthers)
  {
    const auto crashes = aCluster.Crashes();
    int late = 0;
    for (const RunnerRequest& it : aCluster.Runs()) {
      const std::string* prompt = it.mHead.Find("X-Prompt-Prefix");
      late += prompt != nullptr &&
              !GatewayTestCluster::CrashingPartOf(*prompt).empty() &&
              crashes.size() >= kCrashesToKnow &&
              it.mAt > crashes[kCrashesToKnow - 1].mAt + kKnownWithin;
    }
    const std::string figures =
      "route " + aRoute + ": late runs " + std::to_string(late) + ", crashes " +
      std::to_string(crashes.size()) + ", others sent " +
      std::to_string(aOthers.SentCount()) + ", at once " +
      std::to_string(aOthers.ServedAtOnceCount()) + ", refused as suspects " +
      std::to_string(aOthers.BlamedCount());
    if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::cout << figures << '\n';
    }
    CPPUNIT_ASSERT_MESSAGE(figures, late <= kMaxLateRuns);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, 0, aOthers.BlamedCount());
    CPPUNIT_ASSERT_MESSAGE(
      figures, 2 * aOthers.ServedAtOnceCount() >= aOthers.SentCount());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPartReviewTests);
