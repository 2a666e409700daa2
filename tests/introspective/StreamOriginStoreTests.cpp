#include "GatewayProcess.h"
#include "StoreServer.h"
#include "TestConfiguration.h"
#include "core/Hash.h"
#include "gateway/StreamOriginRows.h"
#include "gateway/StreamOriginStore.h"
#include "gateway/SuspectRows.h"
#include "gateway/SuspectWriter.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <rapidjson/document.h>
#include <set>
#include <string>
#include <vector>

using namespace quetzalquay;
using platform::StoreTable;
using std::chrono::milliseconds;

namespace {

constexpr const char* kService = TestConfiguration::kService;

std::string
KeyOf(const std::string& aVersion)
{
  return FormatVersionRow(kService, aVersion, 0).mKey;
}

// Time within which all that has to be stored was written.
constexpr milliseconds kWriteTime(2500);

// Time after its first event by which a stream of a fleet of any size is stored
// while its host begins two streams a second.
constexpr milliseconds kOriginWriteTime(500);

std::string
LossKey(std::uint64_t aSuspect, std::uint64_t aDeath)
{
  StoredLossChange change;
  change.mSuspect = aSuspect;
  change.mRun.mDeath.mId = aDeath;
  return FormatSuspectRow(change, ReadClocks()).mKey;
}

// A host that keeps its rows in a store.
class StoringHost
{
public:
  StoringHost()
    : mAddress(boost::asio::ip::address_v4::loopback(),
               static_cast<unsigned short>(FindFreePort()))
    , mServer(mLoop,
              [this](const HttpHead& aHead,
                     const std::string& aBody,
                     Duration) { return Answer(aHead, aBody); })
    , mSettings(SettingsOf(mAddress))
    , mMetrics(mSettings.mHost)
    , mFleet(mLoop, mSettings)
    , mStore(mLoop, mSettings, mFleet, mMetrics, mReplies)
    , mSuspects(mLoop, mSettings, mFleet, mReplies)
  {
    CPPUNIT_ASSERT(!mServer.Open(mAddress));
    mFleet.ApplyRows(
      StoreTable::Configuration,
      { { platform::kConfigurationKey, TestConfiguration().ToJson(1), 1 } },
      true,
      1,
      RowSource::Store);
    mFleet.ApplyRows(StoreTable::Hosts, {}, true, 1, RowSource::Store);
    mFleet.ApplyRows(StoreTable::Targets, {}, true, 1, RowSource::Store);
  }

  // A target of a version registers.
  void Register(const std::string& aVersion)
  {
    const std::string number = std::to_string(++mTargets);
    mFleet.ApplyRows(StoreTable::Targets,
                     { { "t" + number,
                         std::string(R"({"Service":")") + kService +
                           R"(","Address":"127.0.0.1:)" + number +
                           R"(","Zone":"z","Version":")" + aVersion +
                           R"(","Slots":4,"State":"ready","Sequence":1})",
                         mTargets + 1 } },
                     false,
                     mTargets + 1,
                     RowSource::Store);
  }

  // Whether the host waits with a stream's first event until its origin is
  // stored, by the given deadline at the latest.
  bool Await(std::uint64_t aKey, Duration aLimit, std::function<void()> aDone)
  {
    return mStore.AwaitStored(
      aKey, EventLoop::Now() + aLimit, std::move(aDone));
  }

  // The store answers no writes from now on.
  void SetSilent() { mServer.SetAccess(StoreAccess::Silent); }

  // Other hosts of the fleet register.
  void RegisterHosts(int aCount)
  {
    std::vector<platform::StoreRow> rows;
    for (int n = 0; n < aCount; ++n) {
      rows.push_back({ "other-" + std::to_string(n),
                       "127.0.1.1:" + std::to_string(n + 1) + " 100",
                       ++mHostRows });
    }
    mFleet.ApplyRows(
      StoreTable::Hosts, rows, true, mHostRows, RowSource::Store);
  }

  // A stream has its first event.
  void Begin(std::uint64_t aKey, const std::string& aVersion)
  {
    mFleet.Origins().OnBegun({ aKey, kService, aVersion }, EventLoop::Now());
  }

  // A stream is complete.
  void End(std::uint64_t aKey)
  {
    mFleet.Origins().OnEnded(aKey, true, EventLoop::Now());
  }

  // A request is lost with its target, which is stored from the second time on.
  void Lose(std::uint64_t aSuspect, std::uint64_t aDeath)
  {
    const Time now = EventLoop::Now();
    mFleet.Targets().Suspects().OnRunLost(
      aSuspect, { { aDeath, 1, now }, now - milliseconds(50) }, now);
  }

  // A request is served.
  void Serve(std::uint64_t aSuspect)
  {
    mFleet.Targets().Suspects().ClearSuspect(aSuspect, EventLoop::Now());
  }

  // The store has come back from an older copy.
  void BeginEra()
  {
    CPPUNIT_ASSERT(mFleet.OnStoreAnswer({ std::nullopt, 1, 1000 }));
  }

  void RunFor(Duration aTime)
  {
    Timer end(mLoop, [this] { mLoop.Stop(); });
    end.ScheduleAt(EventLoop::Now() + aTime);
    mLoop.Context().restart();
    mLoop.Run();
  }

  // Keys of the rows that all transactions so far have written.
  std::set<std::string> Written() const
  {
    std::set<std::string> keys;
    for (const auto& it : mWrites) {
      keys.insert(it.begin(), it.end());
    }
    return keys;
  }

  void AwaitWrites(std::size_t aCount)
  {
    const Time end = EventLoop::Now() + milliseconds(9000);
    Timer check(mLoop, [&] {
      if (mWrites.size() >= aCount || EventLoop::Now() >= end) {
        mLoop.Stop();
      } else {
        check.ScheduleAt(EventLoop::Now() + milliseconds(1));
      }
    });
    check.ScheduleAt(EventLoop::Now());
    mLoop.Context().restart();
    mLoop.Run();
    CPPUNIT_ASSERT(mWrites.size() >= aCount);
  }

  // Keys of the rows that each transaction has written.
  std::vector<std::set<std::string>> mWrites;
  // Whether the store refuses transactions, and how many it has refused.
  bool mRefusesWrites = false;
  int mRefusedWrites = 0;
  // Number of rows that transactions have removed.
  std::size_t mRemovals = 0;

private:
  static GatewaySettings SettingsOf(const Endpoint& aStore)
  {
    GatewaySettings settings;
    settings.mHost = "host-a";
    settings.mStoreEndpoint = aStore;
    return settings;
  }

  SimpleHttpReply Answer(const HttpHead& aHead, const std::string& aBody)
  {
    const bool writes = aHead.mTarget.rfind("/rows-tx", 0) == 0;
    if (writes && mRefusesWrites) {
      ++mRefusedWrites;
      SimpleHttpReply refusal;
      refusal.mStatus = 503;
      return refusal;
    }
    if (writes) {
      rapidjson::Document json;
      json.Parse(aBody.data(), aBody.size());
      std::set<std::string> keys;
      for (const auto& it : json["Put"].GetArray()) {
        keys.insert(it["Key"].GetString());
      }
      mWrites.push_back(std::move(keys));
      mRemovals += json["Remove"].Size();
    }
    SimpleHttpReply reply;
    reply.mContentType = "application/json";
    reply.mBody = R"({"Rows":[],"HasMore":false,"Ver":1,"NowMs":1})";
    return reply;
  }

  EventLoop mLoop;
  Endpoint mAddress;
  StoreServer mServer;
  GatewaySettings mSettings;
  GatewayMetrics mMetrics;
  Fleet mFleet;
  ReplyBuffers mReplies{ 1U << 20U };
  StreamOriginStore mStore;
  SuspectWriter mSuspects;
  std::int64_t mTargets = 0;
  std::int64_t mHostRows = 0;
};

} // namespace

// What a host keeps of streams and software versions in the store.
class StreamOriginStoreTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StreamOriginStoreTests);
  CPPUNIT_TEST(ANewVersionIsStoredBeforeItsStreams);
  CPPUNIT_TEST(OriginsOfALargeFleetAreStoredSoonAfterTheFirstEvent);
  CPPUNIT_TEST(CallersGetNothingBeforeTheirStreamsAreStored);
  CPPUNIT_TEST(CallersDoNotWaitForAStoreThatDoesNotAnswer);
  CPPUNIT_TEST(StreamsOfServicesWithOneVersionAreNotAwaited);
  CPPUNIT_TEST(EndsOfStreamsCauseFewCalls);
  CPPUNIT_TEST(RequestsWithOneIdDoNotWaitForEachOther);
  CPPUNIT_TEST(AStoreThatRefusesWritesIsNotCalledForEachChange);
  CPPUNIT_TEST(OriginsThatTheStoreMayHaveLostAreStoredAgain);
  CPPUNIT_TEST(SuspectsThatTheStoreMayHaveLostAreStoredAgain);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against hosts that end after the first streams of a version began,
  // and leave no record of it.
  void ANewVersionIsStoredBeforeItsStreams()
  {
    StoringHost host;
    host.Register("v1");
    host.AwaitWrites(1);
    CPPUNIT_ASSERT(host.mWrites.back().count(KeyOf("v1")) == 1);
    const std::size_t before = host.mWrites.size();
    host.Register("v2");
    host.Begin(1, "v2");
    host.AwaitWrites(before + 1);
    CPPUNIT_ASSERT(host.mWrites[before].count(KeyOf("v2")) == 1);
  }

  // Guards against streams that no host takes up any more, as all hosts of a
  // large fleet ended while their origins waited for their turn at the store.
  void OriginsOfALargeFleetAreStoredSoonAfterTheFirstEvent()
  {
    StoringHost host;
    host.RegisterHosts(71);
    host.Register("v1");
    host.Register("v2");
    for (std::uint64_t n = 1; n <= 4; ++n) {
      host.Begin(n, "v2");
      host.RunFor(kOriginWriteTime);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), host.Written().count(ToHex(n)));
    }
  }

  // Guards against callers that have got events of a stream of which nobody
  // knows anything once all hosts have ended.
  void CallersGetNothingBeforeTheirStreamsAreStored()
  {
    StoringHost host;
    host.Register("v1");
    host.Register("v2");
    host.RunFor(kWriteTime);
    host.Begin(1, "v2");
    bool wasStored = false;
    CPPUNIT_ASSERT(host.Await(
      1, kWriteTime, [&] { wasStored = host.Written().count(ToHex(1)) == 1; }));
    CPPUNIT_ASSERT(!wasStored);
    host.RunFor(kOriginWriteTime);
    CPPUNIT_ASSERT(wasStored);
    CPPUNIT_ASSERT(!host.Await(1, kWriteTime, [] {}));
  }

  // Guards against streams that stand still while the store is away.
  void CallersDoNotWaitForAStoreThatDoesNotAnswer()
  {
    StoringHost host;
    host.Register("v1");
    host.Register("v2");
    host.RunFor(kWriteTime);
    host.SetSilent();
    host.Begin(1, "v2");
    int ended = 0;
    CPPUNIT_ASSERT(host.Await(1, milliseconds(100), [&] { ++ended; }));
    host.RunFor(kWriteTime);
    CPPUNIT_ASSERT_EQUAL(1, ended);
    host.Begin(2, "v2");
    CPPUNIT_ASSERT(!host.Await(2, milliseconds(100), [] {}));
  }

  // Guards against delays for rows that are never written.
  void StreamsOfServicesWithOneVersionAreNotAwaited()
  {
    StoringHost host;
    host.Register("v1");
    host.Begin(1, "v1");
    CPPUNIT_ASSERT(!host.Await(1, kWriteTime, [] {}));
  }

  // Guards against a stream that is never delivered, as another one has its ID.
  void RequestsWithOneIdDoNotWaitForEachOther()
  {
    StoringHost host;
    host.Register("v1");
    host.Register("v2");
    host.RunFor(kWriteTime);
    host.Begin(1, "v2");
    int ended = 0;
    CPPUNIT_ASSERT(host.Await(1, kWriteTime, [&] { ++ended; }));
    CPPUNIT_ASSERT(!host.Await(1, kWriteTime, [] {}));
    host.RunFor(kOriginWriteTime);
    CPPUNIT_ASSERT_EQUAL(1, ended);
  }

  // Guards against a call for each change while the store refuses them.
  void AStoreThatRefusesWritesIsNotCalledForEachChange()
  {
    constexpr int kChanges = 20;
    StoringHost host;
    host.mRefusesWrites = true;
    for (std::uint64_t n = 1; n <= kChanges; ++n) {
      host.Lose(n, n * 10);
      host.Lose(n, n * 10 + 1);
      host.RunFor(milliseconds(50));
    }
    CPPUNIT_ASSERT(host.mRefusedWrites > 0);
    CPPUNIT_ASSERT(host.mRefusedWrites < kChanges / 2);
  }

  // Guards against calls to the store that only remove the origins of streams
  // which are complete: nobody waits for them.
  void EndsOfStreamsCauseFewCalls()
  {
    StoringHost host;
    host.RegisterHosts(71);
    host.Register("v1");
    host.Register("v2");
    for (std::uint64_t n = 1; n <= 6; ++n) {
      host.Begin(n, "v2");
    }
    host.RunFor(kWriteTime);
    host.mWrites.clear();
    for (std::uint64_t n = 1; n <= 5; ++n) {
      host.End(n);
      host.RunFor(milliseconds(200));
    }
    CPPUNIT_ASSERT(host.mWrites.empty());
    host.Begin(7, "v2");
    host.RunFor(kOriginWriteTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), host.mWrites.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), host.mRemovals);
  }

  // Guards against streams that no host takes up any more, as the store has
  // lost where they began and all hosts have restarted since.
  void OriginsThatTheStoreMayHaveLostAreStoredAgain()
  {
    StoringHost host;
    host.Register("v1");
    host.Register("v2");
    host.Begin(1, "v2");
    host.Begin(2, "v1");
    host.RunFor(kWriteTime);
    CPPUNIT_ASSERT(host.Written().count(ToHex(1)) == 1);
    CPPUNIT_ASSERT(host.Written().count(ToHex(2)) == 1);
    host.End(2);
    host.RunFor(kWriteTime);
    host.mWrites.clear();
    host.BeginEra();
    host.RunFor(kWriteTime);
    CPPUNIT_ASSERT(host.Written() == (std::set<std::string>{
                                       ToHex(1), KeyOf("v1"), KeyOf("v2") }));
    CPPUNIT_ASSERT(host.mWrites.size() <= 4);
  }

  // Guards against requests that crash targets again, as the store has lost
  // which ones did and all hosts have restarted since.
  void SuspectsThatTheStoreMayHaveLostAreStoredAgain()
  {
    StoringHost host;
    for (const std::uint64_t suspect : { 5, 6 }) {
      host.Lose(suspect, suspect * 10);
      host.Lose(suspect, suspect * 10 + 1);
    }
    host.RunFor(kWriteTime);
    const std::set<std::string> lost = { LossKey(5, 50), LossKey(5, 51) };
    CPPUNIT_ASSERT(host.Written().count(*lost.begin()) == 1);
    host.Serve(6);
    host.RunFor(kWriteTime);
    host.mWrites.clear();
    host.BeginEra();
    host.RunFor(kWriteTime);
    CPPUNIT_ASSERT(host.Written() == lost);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), host.mWrites.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginStoreTests);
