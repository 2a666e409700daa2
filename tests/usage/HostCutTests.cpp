#include "FleetPlay.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <set>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr int kGateways = 6;
const std::vector<std::size_t> kFirstHosts = { 0, 1, 2 };

// Time after the beginning of a cut from which on the callers of a cut host are
// served as well as others, and the time in which that is counted.
constexpr auto kAdaptTime = milliseconds(3000);
constexpr auto kCountedTime = milliseconds(10000);

// Load before a cut, which brings connections to all runners, and after it.
constexpr auto kCalmTime = milliseconds(1500);
constexpr auto kReturnTime = milliseconds(3000);

// Time within which a request is refused that nobody can serve.
constexpr auto kRefusalTime = milliseconds(1000);

constexpr char kOtherPath[] = "/other/";
constexpr char kSuspectTable[] = "gateway-suspects";
constexpr char kCutOffMetric[] = "quetzal_services_cut_off";

// First tries of one kind at some hosts.
struct Tries
{
  int mSent = 0;
  int mServed = 0;
};

struct TryCounts
{
  Tries mCut;
  Tries mOthers;
};

// Links that are cut at some hosts.
struct HostCut
{
  std::vector<std::size_t> mHosts;
  LinkState mState = LinkState::Silent;
  // Names of the runners.
  std::vector<std::string> mRunners;
};

bool
IsServed(const CallerRequest& aRequest)
{
  return aRequest.mOutcome == CallerOutcome::Answered &&
         aRequest.mStatus == 200;
}

FleetCase
MakeCase(const std::string& aName, int aGateways = kGateways)
{
  FleetCase fleet(aName);
  fleet.mFleet.mGateways = aGateways;
  fleet.mFleet.mHasRunnerLinks = true;
  fleet.mOwnBodies = true;
  TestRoute other = fleet.mConfiguration.RouteOf("plain");
  other.mName = "other";
  other.mServices = { { TestConfiguration::kSecondService, 1 } };
  fleet.mConfiguration.mRoutes.push_back(other);
  const milliseconds none(0);
  const milliseconds pause(150);
  fleet.mCallers = {
    { "/stream/", 16, milliseconds(100), none, FleetCase::kStreamDeadline },
    { "/plain/", 10, pause, none, FleetCase::kPlainDeadline },
    { "/unsafe/", 10, pause, none, FleetCase::kPlainDeadline },
    { kOtherPath, 8, pause, none, FleetCase::kPlainDeadline },
  };
  return fleet;
}

std::map<std::string, TryCounts>
CountTries(const std::vector<CallerRequest>& aRequests,
           const std::vector<std::size_t>& aHosts,
           Time aFrom,
           Time aUntil)
{
  const std::set<std::size_t> cut(aHosts.begin(), aHosts.end());
  std::map<std::string, TryCounts> counts;
  for (const CallerRequest& it : aRequests) {
    if (it.mSentAt < aFrom || it.mSentAt >= aUntil) {
      continue;
    }
    TryCounts& kind = counts[it.mPath];
    Tries& tries = cut.count(it.mHost) != 0 ? kind.mCut : kind.mOthers;
    ++tries.mSent;
    tries.mServed += IsServed(it) ? 1 : 0;
  }
  return counts;
}

// Expects that each kind of request is served at the cut hosts two thirds as
// often as at the others at least.
void
ExpectServedAtCutHosts(const std::vector<CallerRequest>& aRequests,
                       const std::vector<std::size_t>& aHosts,
                       Time aFrom,
                       Time aUntil)
{
  const auto counts = CountTries(aRequests, aHosts, aFrom, aUntil);
  std::string problems;
  for (const auto& it : counts) {
    const Tries& cut = it.second.mCut;
    const Tries& others = it.second.mOthers;
    const std::string text = it.first + ": served " +
                             std::to_string(cut.mServed) + " of " +
                             std::to_string(cut.mSent) + " at the cut hosts, " +
                             std::to_string(others.mServed) + " of " +
                             std::to_string(others.mSent) + " at the others; ";
    if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::cout << "\n" << text;
    }
    const double share = static_cast<double>(cut.mServed) * others.mSent;
    const double fair = static_cast<double>(others.mServed) * cut.mSent;
    if (cut.mSent == 0 || others.mServed * 10 < others.mSent * 9 ||
        share * 3 < fair * 2) {
      problems += text;
    }
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), problems);
  CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, counts.size());
}

// Expects that requests that may run once at most did, and that none ran that
// was answered as not run.
void
ExpectRunOnce(GatewayTestCluster& aCluster,
              const std::vector<CallerRequest>& aRequests)
{
  for (const std::string& it : FindWrongRuns(aCluster, aRequests)) {
    CPPUNIT_FAIL(it);
  }
}

// Expects that streams end whole that were running at a time.
void
ExpectStreamsWhole(const std::vector<CallerRequest>& aRequests, Time aAt)
{
  int running = 0;
  for (const CallerRequest& it : aRequests) {
    if (it.mPath == "/stream/" && it.mSentAt < aAt && it.mEndedAt > aAt) {
      ++running;
      CPPUNIT_ASSERT_EQUAL_MESSAGE("status of " + it.mId, 200, it.mStatus);
      CPPUNIT_ASSERT_MESSAGE(it.mId + " did not end whole", IsServed(it));
    }
  }
  CPPUNIT_ASSERT(running > 0);
}

// Expects that no request was held for one that crashes targets.
void
ExpectNoSuspects(GatewayTestCluster& aCluster)
{
  CPPUNIT_ASSERT_EQUAL_MESSAGE(
    "rows of suspects", 0, aCluster.CountRows(kSuspectTable));
  for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
    CPPUNIT_ASSERT_MESSAGE("sound requests refused as suspects",
                           aCluster.Gateway(n).Metrics().find(
                             "suspected_poison") == std::string::npos);
  }
}

void
SetLinks(GatewayTestCluster& aCluster, const HostCut& aCut, LinkState aState)
{
  for (const std::size_t it : aCut.mHosts) {
    aCluster.SetLinks(it, aCut.mRunners, aState);
  }
}

// Cuts links, counts, restores them and checks all that holds for any cut.
void
PlayCut(FleetSituation& aSituation, const HostCut& aCut)
{
  GatewayTestCluster& cluster = aSituation.mCluster;
  std::this_thread::sleep_for(kCalmTime);
  const Time cutAt = EventLoop::Now();
  SetLinks(cluster, aCut, aCut.mState);
  std::this_thread::sleep_for(kAdaptTime + kCountedTime);
  const Time endedAt = EventLoop::Now();
  SetLinks(cluster, aCut, LinkState::Up);
  aSituation.mCallers.Stop();
  const auto requests = aSituation.mCallers.Requests();
  ExpectServedAtCutHosts(requests, aCut.mHosts, cutAt + kAdaptTime, endedAt);
  ExpectRunOnce(cluster, requests);
  ExpectStreamsWhole(requests, cutAt);
  ExpectNoSuspects(cluster);
}

void
ExpectNothingLost(const AnswerCounts& aCounts)
{
  CPPUNIT_ASSERT_EQUAL_MESSAGE("requests that ended without an answer",
                               std::size_t{ 0 },
                               aCounts.mLost.size());
}

} // namespace

// Hosts that are cut off from targets while callers, the store and the other
// hosts reach them. Counts at the callers.
class HostCutTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HostCutTests);
  CPPUNIT_TEST(CallersAreServedWhileConnectionsToTargetsHang);
  CPPUNIT_TEST(CallersAreServedWhileConnectionsToTargetsAreReset);
  CPPUNIT_TEST(CallersAreServedWhileNewConnectionsToTargetsAreRefused);
  CPPUNIT_TEST(CallersAreServedWhileHostsReachOneTargetOnly);
  CPPUNIT_TEST(CallersAreServedWhileAPlaceIsCutOff);
  CPPUNIT_TEST(CallersAreServedWhileHostsAreCutOffFromOneService);
  CPPUNIT_TEST(HostsReturnToTheirTargetsWhenACutEnds);
  CPPUNIT_TEST(RequestsAreRefusedAtOnceWhileAllHostsAreCutOff);
  CPPUNIT_TEST(AHostWithoutOthersDoesNotBelieveInACut);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against hosts refusing their callers while they are cut off from
  // all targets by connections that hang.
  void CallersAreServedWhileConnectionsToTargetsHang()
  {
    PlayAll("cut_hang", LinkState::Silent, kFirstHosts);
  }

  // Guards against the same by connections that are reset and refused, which
  // look like dead targets.
  void CallersAreServedWhileConnectionsToTargetsAreReset()
  {
    PlayAll("cut_reset", LinkState::Reset, kFirstHosts);
  }

  // Guards against the same while open connections live on.
  void CallersAreServedWhileNewConnectionsToTargetsAreRefused()
  {
    PlayAll("cut_half", LinkState::OldOnly, kFirstHosts);
  }

  // Guards against hosts refusing their callers while they reach one target of
  // each service only.
  void CallersAreServedWhileHostsReachOneTargetOnly()
  {
    Play("cut_some", LinkState::Silent, kFirstHosts, [](const auto& aCluster) {
      std::vector<std::string> cut;
      for (const char* service :
           { TestConfiguration::kService, TestConfiguration::kSecondService }) {
        const auto names = aCluster.RunnersOf(service);
        cut.insert(cut.end(), names.begin() + 1, names.end());
      }
      return cut;
    });
  }

  // Guards against the callers of a place being refused while all of its hosts
  // are cut off.
  void CallersAreServedWhileAPlaceIsCutOff()
  {
    PlayAll("cut_place", LinkState::Reset, { 0, 2, 4 });
  }

  // Guards against hosts refusing the requests of a service while they reach
  // the targets of another one.
  void CallersAreServedWhileHostsAreCutOffFromOneService()
  {
    Play(
      "cut_service", LinkState::Silent, kFirstHosts, [](const auto& aCluster) {
        return aCluster.RunnersOf(TestConfiguration::kSecondService);
      });
  }

  // Guards against hosts leaving their own targets unused after a cut.
  void HostsReturnToTheirTargetsWhenACutEnds()
  {
    const auto trouble = [](FleetSituation& aSituation) {
      GatewayTestCluster& cluster = aSituation.mCluster;
      const HostCut cut{ kFirstHosts, LinkState::Reset, cluster.RunnersOf() };
      std::this_thread::sleep_for(kCalmTime);
      SetLinks(cluster, cut, cut.mState);
      std::this_thread::sleep_for(kAdaptTime);
      SetLinks(cluster, cut, LinkState::Up);
      std::map<std::size_t, int> before;
      for (const std::size_t it : cut.mHosts) {
        before[it] = cluster.CountLinkConnections(it);
      }
      std::this_thread::sleep_for(kReturnTime);
      const Time from = EventLoop::Now();
      for (const std::size_t it : cut.mHosts) {
        CPPUNIT_ASSERT_EQUAL(std::string("0"),
                             cluster.Gateway(it).Metric(kCutOffMetric));
        CPPUNIT_ASSERT(cluster.CountLinkConnections(it) > before[it]);
      }
      std::this_thread::sleep_for(kReturnTime);
      const Time until = EventLoop::Now();
      aSituation.mCallers.Stop();
      const auto requests = aSituation.mCallers.Requests();
      ExpectServedAtCutHosts(requests, cut.mHosts, from, until);
      ExpectNoSuspects(cluster);
    };
    ForEachPlay(MakeCase("cut_ends"), trouble, ExpectNothingLost);
  }

  // Guards against hosts passing requests on to each other, or holding them,
  // while none reaches a target.
  void RequestsAreRefusedAtOnceWhileAllHostsAreCutOff()
  {
    const auto trouble = [](FleetSituation& aSituation) {
      GatewayTestCluster& cluster = aSituation.mCluster;
      const HostCut cut{ { 0, 1, 2, 3, 4, 5 },
                         LinkState::Reset,
                         cluster.RunnersOf() };
      std::this_thread::sleep_for(kCalmTime);
      const Time cutAt = EventLoop::Now();
      SetLinks(cluster, cut, cut.mState);
      std::this_thread::sleep_for(kAdaptTime + kReturnTime);
      const Time endedAt = EventLoop::Now();
      aSituation.mCallers.Stop();
      SetLinks(cluster, cut, LinkState::Up);
      const auto requests = aSituation.mCallers.Requests();
      ExpectRunOnce(cluster, requests);
      int counted = 0;
      for (const CallerRequest& it : requests) {
        if (it.mSentAt < cutAt + kAdaptTime || it.mSentAt >= endedAt) {
          continue;
        }
        ++counted;
        CPPUNIT_ASSERT_EQUAL_MESSAGE("status of " + it.mId, 503, it.mStatus);
        CPPUNIT_ASSERT_MESSAGE(it.mId + " was held",
                               it.mEndedAt - it.mSentAt < kRefusalTime);
      }
      CPPUNIT_ASSERT(counted > 0);
    };
    ForEachPlay(MakeCase("cut_all"), trouble, [](const AnswerCounts& aCounts) {
      // Streams that had begun can neither go on nor be refused.
      for (const CallerRequest& it : aCounts.mLost) {
        CPPUNIT_ASSERT_MESSAGE(it.mId + " ended without an answer",
                               it.mPath == "/stream/" && it.mReceivedBytes > 0);
      }
    });
  }

  // Guards against a host without others believing in a cut, which nobody can
  // tell from dead targets.
  void AHostWithoutOthersDoesNotBelieveInACut()
  {
    const auto trouble = [](FleetSituation& aSituation) {
      GatewayTestCluster& cluster = aSituation.mCluster;
      const HostCut cut{ { 0 }, LinkState::Reset, cluster.RunnersOf() };
      std::this_thread::sleep_for(kCalmTime);
      SetLinks(cluster, cut, cut.mState);
      const Time until = EventLoop::Now() + kAdaptTime;
      while (EventLoop::Now() < until) {
        const std::string services = cluster.Gateway().Metric(kCutOffMetric);
        CPPUNIT_ASSERT_EQUAL(std::string("0"), services);
        std::this_thread::sleep_for(milliseconds(100));
      }
      SetLinks(cluster, cut, LinkState::Up);
      std::this_thread::sleep_for(kReturnTime);
      const Time from = EventLoop::Now();
      std::this_thread::sleep_for(kReturnTime);
      const Time endedAt = EventLoop::Now();
      aSituation.mCallers.Stop();
      for (const CallerRequest& it : aSituation.mCallers.Requests()) {
        if (it.mSentAt >= from && it.mSentAt < endedAt) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE("status of " + it.mId, 200, it.mStatus);
        }
      }
    };
    ForEachPlay(MakeCase("cut_alone", 1), trouble, ExpectNothingLost);
  }

private:
  template<typename ChooseRunners>
  static void Play(const std::string& aName,
                   LinkState aState,
                   const std::vector<std::size_t>& aHosts,
                   const ChooseRunners& aChooseRunners)
  {
    ForEachPlay(
      MakeCase(aName),
      [&](FleetSituation& aSituation) {
        PlayCut(aSituation,
                { aHosts, aState, aChooseRunners(aSituation.mCluster) });
      },
      ExpectNothingLost);
  }

  static void PlayAll(const std::string& aName,
                      LinkState aState,
                      const std::vector<std::size_t>& aHosts)
  {
    Play(aName, aState, aHosts, [](const auto& aCluster) {
      return aCluster.RunnersOf();
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostCutTests);
