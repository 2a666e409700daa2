#include "GatewayTestCluster.h"

#include "core/ReaderChoice.h"

#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// Time after the store has accepted that a target leaves within which requests
// to it have to cease.
constexpr auto kDrainTime = milliseconds(2000);

// Time after the store has accepted a configuration within which all hosts have
// to apply it.
constexpr auto kConfigurationTime = milliseconds(2000);

// Time for which callers go on after the last request could be late.
constexpr auto kObservationTime = milliseconds(600);

// Interval between two requests of one caller.
constexpr auto kRequestInterval = milliseconds(15);

// Callers that send plain requests to every gateway until they are stopped.
class Callers
{
public:
  explicit Callers(const GatewayTestCluster& aCluster)
    : mCluster(aCluster)
  {
    for (std::size_t n = 0; n < 2 * aCluster.GatewayCount(); ++n) {
      mThreads.emplace_back([this, n] { Run(n); });
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

  // When each request was sent.
  const std::map<std::string, Time>& Sends() const { return mSends; }

private:
  void Run(std::size_t aCaller)
  {
    for (int n = 0; !mStopped; ++n) {
      const std::string id =
        "c" + std::to_string(aCaller) + "-" + std::to_string(n);
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mSends[id] = EventLoop::Now();
      }
      mCluster.Gateway(aCaller % mCluster.GatewayCount())
        .Call(GatewayTestCluster::Request("/plain/", id));
      std::this_thread::sleep_for(kRequestInterval);
    }
  }

  const GatewayTestCluster& mCluster;
  std::atomic<bool> mStopped{ false };
  std::mutex mMutex;
  std::map<std::string, Time> mSends;
  std::vector<std::thread> mThreads;
};

// Targets that leave, and the requests that reach them too late.
class Departures
{
public:
  explicit Departures(GatewayTestCluster& aCluster)
    : mCluster(aCluster)
    , mCallers(aCluster)
  {
  }

  // Removes the entries of the next two targets, one at each place.
  void RemoveTwo()
  {
    for (const std::string& it : NextTwo()) {
      mCluster.RemoveEntry(it);
      mLeftAt[it] = EventLoop::Now();
    }
  }

  // Marks the entries of the next two targets as draining.
  void DrainTwo()
  {
    for (const std::string& it : NextTwo()) {
      mCluster.SetLeaving(it);
      mLeftAt[it] = EventLoop::Now();
    }
  }

  // Waits until all late requests have been sent, and returns a line for each
  // target that received some.
  std::vector<std::string> AwaitLateRequests()
  {
    std::this_thread::sleep_for(kDrainTime + kObservationTime);
    mCallers.Stop();
    std::map<std::string, int> counts;
    std::map<std::string, Duration> last;
    for (const RunnerRequest& it : mCluster.Requests()) {
      const auto left = mLeftAt.find(it.mRunner);
      const std::string* id = it.mHead.Find("X-Request-Id");
      const auto sent =
        mCallers.Sends().find(id == nullptr ? std::string() : *id);
      if (left != mLeftAt.end() && sent != mCallers.Sends().end() &&
          sent->second > left->second + kDrainTime) {
        ++counts[it.mRunner];
        last[it.mRunner] =
          std::chrono::duration_cast<Duration>(sent->second - left->second);
      }
    }
    std::vector<std::string> lines;
    lines.reserve(counts.size());
    for (const auto& it : counts) {
      lines.push_back(it.first + ": " + std::to_string(it.second) +
                      " requests, the last " +
                      std::to_string(ToMilliseconds(last[it.first])) +
                      " ms after the store accepted that it leaves");
    }
    return lines;
  }

private:
  std::vector<std::string> NextTwo()
  {
    mNext += 2;
    return { "i-" + std::to_string(mNext - 2),
             "i-" + std::to_string(mNext - 1) };
  }

  GatewayTestCluster& mCluster;
  Callers mCallers;
  std::map<std::string, Time> mLeftAt;
  int mNext = 0;
};

std::string
Join(const std::vector<std::string>& aLines)
{
  std::string text;
  for (const std::string& it : aLines) {
    text += it.empty() ? it : it + "\n";
  }
  return text;
}

// Number of a gateway of the cluster that reads the store for others.
std::size_t
ReaderOf(const GatewayTestCluster& aCluster)
{
  std::vector<ReaderCandidate> hosts;
  for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
    hosts.push_back({ aCluster.Gateway(n).Name(), 0 });
  }
  for (std::size_t n = 0; n < hosts.size(); ++n) {
    ReaderChoice choice(hosts[n]);
    choice.SetHosts(hosts);
    if (choice.IsReader(EventLoop::Now())) {
      return n;
    }
  }
  throw std::runtime_error("no gateway reads the store");
}

// How and when the store turns a host away.
struct Outage
{
  const char* mName;
  StoreAccess mAccess;
  // Reads of the host before that. Each one moves the outage by 0.1 s in
  // relation to the rounds in which the host asks others.
  int mReadsBefore;
};

// Ways in which the store turns a host away.
constexpr Outage kOutages[] = {
  { "503", StoreAccess::Unavailable, 1 },
  { "429", StoreAccess::Overloaded, 1 },
  { "reset", StoreAccess::Reset, 1 },
  { "silent", StoreAccess::Silent, 1 },
  { "silent, 2 reads", StoreAccess::Silent, 2 },
  { "silent, 3 reads", StoreAccess::Silent, 3 },
  { "silent, 4 reads", StoreAccess::Silent, 4 },
  { "silent, 5 reads", StoreAccess::Silent, 5 },
};

// Outages that a short silence of the store causes for a host.
constexpr Outage kShortOutages[] = {
  { "1 read", StoreAccess::Silent, 1 },  { "2 reads", StoreAccess::Silent, 2 },
  { "3 reads", StoreAccess::Silent, 3 }, { "4 reads", StoreAccess::Silent, 4 },
  { "5 reads", StoreAccess::Silent, 5 },
};

void
AwaitReads(const GatewayTestCluster& aCluster,
           std::size_t aHost,
           const Outage& aOutage)
{
  for (int n = 0; n < aOutage.mReadsBefore; ++n) {
    aCluster.AwaitRunnersRead(aHost);
  }
}

// Turns a host away from the store for a while. Targets leave right after the
// host's last read, right before the store serves it again, and after that.
std::vector<std::string>
LateRequestsWhileTurnedAway(GatewayTestCluster& aCluster, const Outage& aOutage)
{
  const std::size_t host = ReaderOf(aCluster);
  Departures departures(aCluster);
  AwaitReads(aCluster, host, aOutage);
  aCluster.SetStoreAccess(aOutage.mAccess, host);
  departures.DrainTwo();
  departures.RemoveTwo();
  std::this_thread::sleep_for(milliseconds(1650));
  departures.RemoveTwo();
  std::this_thread::sleep_for(milliseconds(150));
  aCluster.SetStoreAccess(StoreAccess::Serve, host);
  departures.RemoveTwo();
  std::this_thread::sleep_for(milliseconds(100));
  departures.RemoveTwo();
  return departures.AwaitLateRequests();
}

// Writes a configuration, and returns a line if a gateway applies it too late.
std::vector<std::string>
LateConfiguration(GatewayTestCluster& aCluster)
{
  const Time start = EventLoop::Now();
  aCluster.Configure("other");
  const auto duration = EventLoop::Now() - start;
  if (duration <= kConfigurationTime) {
    return {};
  }
  return { "applied after " + std::to_string(ToMilliseconds(duration)) +
           " ms" };
}

std::vector<std::string>
LateConfigurationWhileTurnedAway(GatewayTestCluster& aCluster,
                                 const Outage& aOutage)
{
  const std::size_t host = ReaderOf(aCluster);
  AwaitReads(aCluster, host, aOutage);
  aCluster.SetStoreAccess(aOutage.mAccess, host);
  return LateConfiguration(aCluster);
}

std::vector<std::string>
LateConfigurationAfterLostCalls(GatewayTestCluster& aCluster,
                                const Outage& aOutage)
{
  const std::size_t host = ReaderOf(aCluster);
  AwaitReads(aCluster, host, aOutage);
  // The next call for changes of the configuration is sent after this one.
  aCluster.Configure("key");
  aCluster.SetStoreAccess(aOutage.mAccess, host);
  std::this_thread::sleep_for(milliseconds(700));
  aCluster.SetStoreAccess(StoreAccess::Serve, host);
  return LateConfiguration(aCluster);
}

// Lets fleets of two hosts meet one outage each, at the same time. Returns the
// lines that aCheck returns for them.
template<std::size_t Count>
std::string
FailuresOf(const Outage (&aOutages)[Count],
           std::vector<std::string> (*aCheck)(GatewayTestCluster&,
                                              const Outage&))
{
  std::vector<std::unique_ptr<GatewayTestCluster>> clusters;
  for (std::size_t n = 0; n < Count; ++n) {
    clusters.push_back(std::make_unique<GatewayTestCluster>(12, 2));
  }
  std::vector<std::string> failures(Count);
  std::vector<std::thread> threads;
  for (std::size_t n = 0; n < Count; ++n) {
    threads.emplace_back([&, n] {
      for (const std::string& it : aCheck(*clusters[n], aOutages[n])) {
        failures[n].append(aOutages[n].mName).append(", " + it + "\n");
      }
    });
  }
  for (std::thread& it : threads) {
    it.join();
  }
  return Join(failures);
}

} // namespace

// Targets that leave while hosts of the fleet have trouble with the store. The
// requests are counted at the targets.
class LeavingTargetTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeavingTargetTests);
  CPPUNIT_TEST(HostTurnedAwayByTheStoreStopsUsingLeavingTargets);
  CPPUNIT_TEST(LostCallDoesNotKeepLeavingTargetsInUse);
  CPPUNIT_TEST(HostTurnedAwayByTheStoreAppliesConfigurations);
  CPPUNIT_TEST(HostThatLostItsCallsAppliesConfigurations);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests to targets that left while the store turned away
  // one host and served the others.
  void HostTurnedAwayByTheStoreStopsUsingLeavingTargets()
  {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         FailuresOf(kOutages, LateRequestsWhileTurnedAway));
  }

  // Guards against requests to targets that left when a call was given up that
  // the store had lost before it answered later ones.
  void LostCallDoesNotKeepLeavingTargetsInUse()
  {
    GatewayTestCluster cluster(14, 1);
    Departures departures(cluster);
    // The next call for changes of the configuration is sent after this one.
    cluster.Configure("key");
    cluster.SetStoreAccess(StoreAccess::Silent);
    std::this_thread::sleep_for(milliseconds(700));
    cluster.SetStoreAccess(StoreAccess::Serve);
    // The call for changes of the configuration is given up 2.9 s after it was
    // sent.
    std::this_thread::sleep_for(milliseconds(1800));
    for (int n = 0; n < 6; ++n) {
      departures.RemoveTwo();
      std::this_thread::sleep_for(milliseconds(90));
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), Join(departures.AwaitLateRequests()));
  }

  // Guards against a revoked key being accepted, or a new one refused, on a
  // host that the store turns away while it serves the others.
  void HostTurnedAwayByTheStoreAppliesConfigurations()
  {
    CPPUNIT_ASSERT_EQUAL(
      std::string(), FailuresOf(kOutages, LateConfigurationWhileTurnedAway));
  }

  // Guards against the same on a host that waits for the response to a call
  // that was lost, though the store serves it again.
  void HostThatLostItsCallsAppliesConfigurations()
  {
    CPPUNIT_ASSERT_EQUAL(
      std::string(),
      FailuresOf(kShortOutages, LateConfigurationAfterLostCalls));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTargetTests);
