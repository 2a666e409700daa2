#include "GatewayProcess.h"
#include "StoreServer.h"
#include "gateway/StoreWatch.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <memory>
#include <optional>
#include <rapidjson/document.h>
#include <string>

using namespace quetzalquay;
using platform::StoreTable;
using std::chrono::milliseconds;

namespace {

constexpr char kHost[] = "host-a";
constexpr char kValue[] = "127.0.0.1:7000 1000";
constexpr char kOtherValue[] = "127.0.0.9:7000 1000";

// What the store does with a transaction that arrives.
enum class Performance
{
  AtOnce,
  // The answer is lost.
  WithoutAnswer,
  // Later, by PerformLate().
  Late,
};

// A store with the row of one host, and one process of that host at a time.
class RegisteredHost
{
public:
  RegisteredHost()
    : mAddress(boost::asio::ip::address_v4::loopback(),
               static_cast<unsigned short>(FindFreePort()))
    , mStore(mLoop,
             [this](const HttpHead& aHead,
                    const std::string& aBody,
                    Duration aAge) { return Answer(aHead, aBody, aAge); })
  {
    CPPUNIT_ASSERT(!mStore.Open(mAddress));
  }

  // Replaces the process by a new one, which registers a value.
  void Start(const std::string& aValue)
  {
    mProcess.reset();
    mProcess = std::make_unique<Process>(mLoop, mAddress);
    mProcess->mWatch.Start();
    mProcess->mWatch.RegisterHost(aValue);
  }

  void BeginStop() { mProcess->mWatch.DeregisterHost(); }

  // Lets another host tell the process of its row's removal.
  void TellOfRemoval()
  {
    mProcess->mFleet.ApplyRows(StoreTable::Hosts,
                               { { kHost, "", mVersion, true } },
                               false,
                               mVersion,
                               RowSource::Peer);
  }

  // Runs until a condition holds; returns whether it does within the time.
  bool RunUntil(const std::function<bool()>& aCondition,
                Duration aLimit = milliseconds(9000))
  {
    const Time end = EventLoop::Now() + aLimit;
    Timer check(mLoop, [&] {
      if (aCondition() || EventLoop::Now() >= end) {
        mLoop.Stop();
      } else {
        check.ScheduleAt(EventLoop::Now() + milliseconds(2));
      }
    });
    check.ScheduleAt(EventLoop::Now());
    mLoop.Context().restart();
    mLoop.Run();
    return aCondition();
  }

  void RunFor(Duration aTime)
  {
    RunUntil([] { return false; }, aTime);
  }

  void AwaitRow()
  {
    CPPUNIT_ASSERT(RunUntil([this] { return mRowVersion != 0; }));
    // Time for the answer to reach the process.
    RunFor(milliseconds(50));
  }

  // Whether the process takes what it knows of the store for old.
  bool IsStale() const
  {
    return mProcess->mFleet.Readers().IsStale(EventLoop::Now());
  }

  // Whether the process takes the store for one that answers.
  bool IsReachable() const
  {
    return mProcess->mWatch.UnreachableSince() == Time::max();
  }

  void PutRow() { mRowVersion = ++mVersion; }

  void RemoveRow()
  {
    mRowVersion = 0;
    mRemovedAt = ++mVersion;
  }

  void PerformLate()
  {
    CPPUNIT_ASSERT(mLate);
    Perform(*mLate);
  }

  Performance mPerformance = Performance::AtOnce;
  // Whether the store removes the row as soon as it is written.
  bool mLosesRow = false;
  // Part of the paths of reads that the store refuses, and how many it has.
  std::string mRefusedTable;
  int mRefusals = 0;
  // Whether it refuses every second of these reads only.
  bool mRefusesEverySecond = false;
  // Part of the paths of reads that the store never answers.
  std::string mSilentTable;
  // Transactions of others between a write and its answer.
  int mOtherWrites = 0;
  // Version of the row, 0 if there is none.
  std::int64_t mRowVersion = 0;
  // In base64.
  std::string mRowValue;
  int mWrites = 0;
  int mRemovals = 0;
  std::optional<std::string> mLate;

private:
  struct Process
  {
    Process(EventLoop& aLoop, const Endpoint& aStore)
      : mSettings(SettingsOf(aStore))
      , mFleet(aLoop, mSettings)
      , mWatch(aLoop, mSettings, mFleet, mReplies)
    {
    }

    static GatewaySettings SettingsOf(const Endpoint& aStore)
    {
      GatewaySettings settings;
      settings.mHost = kHost;
      settings.mStoreEndpoint = aStore;
      return settings;
    }

    GatewaySettings mSettings;
    Fleet mFleet;
    ReplyBuffers mReplies{ 1U << 20U };
    StoreWatch mWatch;
  };

  std::string Rows(const std::string& aRows) const
  {
    return R"({"Rows":[)" + aRows + R"(],"HasMore":false,"Ver":)" +
           std::to_string(mVersion) + R"(,"NowMs":1})";
  }

  std::string Row() const
  {
    return R"({"Key":")" + std::string(kHost) + R"(","Value":")" + mRowValue +
           R"(","Ver":)" + std::to_string(mRowVersion) + "}";
  }

  std::string Removal() const
  {
    return R"({"Key":")" + std::string(kHost) + R"(","Removed":true,"Ver":)" +
           std::to_string(mRemovedAt) + "}";
  }

  SimpleHttpReply Perform(const std::string& aBody)
  {
    SimpleHttpReply reply;
    reply.mContentType = "application/json";
    rapidjson::Document json;
    json.Parse(aBody.data(), aBody.size());
    for (const auto& it : json["Precondition"].GetArray()) {
      if (it["Ver"].GetInt64() != mRowVersion) {
        reply.mStatus = 412;
        reply.mBody = Rows(mRowVersion != 0 ? Row() : "");
        return reply;
      }
    }
    if (!json["Put"].Empty()) {
      mRowValue = json["Put"][0]["Value"].GetString();
      PutRow();
      ++mWrites;
      mVersion += mOtherWrites;
    } else {
      RemoveRow();
    }
    reply.mBody = Rows("");
    if (mLosesRow && mRowVersion != 0) {
      RemoveRow();
    }
    return reply;
  }

  std::optional<SimpleHttpReply> Answer(const HttpHead& aHead,
                                        const std::string& aBody,
                                        Duration aAge)
  {
    if (aHead.mTarget.rfind("/rows-tx", 0) == 0) {
      // Each call is asked for again until it is answered.
      const bool isNew = aAge < milliseconds(5);
      if (isNew && aBody.find(R"("Put":[])") != std::string::npos) {
        ++mRemovals;
      }
      if (mPerformance == Performance::AtOnce) {
        return Perform(aBody);
      }
      if (isNew) {
        mLate = aBody;
        if (mPerformance == Performance::WithoutAnswer) {
          Perform(aBody);
        }
      }
      return std::nullopt;
    }
    SimpleHttpReply reply;
    reply.mContentType = "application/json";
    if (!mRefusedTable.empty() &&
        aHead.mTarget.find(mRefusedTable) != std::string::npos &&
        (++mRefusals % 2 == 0 || !mRefusesEverySecond)) {
      reply.mStatus = 503;
      return reply;
    }
    if (!mSilentTable.empty() &&
        aHead.mTarget.find(mSilentTable) != std::string::npos) {
      return std::nullopt;
    }
    std::string rows;
    if (aHead.mTarget.find("Table=gateway-hosts") != std::string::npos) {
      const auto after = aHead.mTarget.find("AfterRevision=");
      const bool whole = after == std::string::npos;
      const std::int64_t from =
        whole ? 0 : std::atoll(aHead.mTarget.c_str() + after + 14);
      if (mRowVersion > from) {
        rows = Row();
      } else if (!whole && mRowVersion == 0 && mRemovedAt > from) {
        rows = Removal();
      }
    }
    if (rows.empty() && aHead.mTarget.find("WaitMs=") != std::string::npos &&
        aHead.mTarget.find("WaitMs=0") == std::string::npos &&
        aAge < milliseconds(1000)) {
      return std::nullopt;
    }
    reply.mBody = Rows(rows);
    return reply;
  }

  EventLoop mLoop;
  Endpoint mAddress;
  StoreServer mStore;
  std::int64_t mVersion = 10;
  std::int64_t mRemovedAt = 0;
  std::unique_ptr<Process> mProcess;
};

} // namespace

// This host's row in the hosts table.
class StoreWatchTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreWatchTests);
  CPPUNIT_TEST(ALateRemovalLeavesTheRowOfTheNextProcess);
  CPPUNIT_TEST(ARepeatedRemovalLeavesTheRowOfTheNextProcess);
  CPPUNIT_TEST(ARemovalOfUnknownVersionLeavesTheRowOfAnotherAddress);
  CPPUNIT_TEST(AStoppingHostRemovesItsRow);
  CPPUNIT_TEST(AHostToldALaterVersionOfTheStoreRemovesItsRow);
  CPPUNIT_TEST(ARemovalWhoseAnswerWasLostIsNotRepeatedForEver);
  CPPUNIT_TEST(AHostThatDoesNotKnowItsVersionRemovesItsRow);
  CPPUNIT_TEST(ARunningHostWritesItsRowAgainIfItIsRemoved);
  CPPUNIT_TEST(ARemovalToldByAnotherHostLetsAHostWriteItsRowAgain);
  CPPUNIT_TEST(ARowThatIsLostAtOnceIsNotWrittenWithoutAPause);
  CPPUNIT_TEST(ARowOfAnotherValueIsNotWrittenAgain);
  CPPUNIT_TEST(AStoppingHostDoesNotWriteItsRowAgain);
  CPPUNIT_TEST(AStoreThatRefusesOneTableIsNotCalledWithoutAPause);
  CPPUNIT_TEST(AHostThatReadsTheTargetsOnlyIsStale);
  CPPUNIT_TEST(AHostWhoseConfigurationCallsAreNeverAnsweredIsStale);
  CPPUNIT_TEST(AStoreThatRefusesATableOfTheGatewaysIsReachable);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against hosts that use up the store's rate of calls while it answers
  // for some tables only, as each answer counts as its return.
  void AStoreThatRefusesOneTableIsNotCalledWithoutAPause()
  {
    RegisteredHost host;
    host.Start(kValue);
    host.AwaitRow();
    host.mRefusedTable = "Table=op&";
    host.RunFor(milliseconds(6000));
    CPPUNIT_ASSERT(host.mRefusals >= 2);
    CPPUNIT_ASSERT(host.mRefusals <= 30);
  }

  // Guards against a fleet that stays at an old configuration because the hosts
  // that read the store for it can read the targets only.
  void AHostThatReadsTheTargetsOnlyIsStale()
  {
    RegisteredHost host;
    host.Start(kValue);
    host.AwaitRow();
    host.RunFor(milliseconds(1000));
    CPPUNIT_ASSERT(!host.IsStale());
    host.mRefusedTable = "Table=op&";
    CPPUNIT_ASSERT(host.RunUntil([&host] { return host.IsStale(); }));
    host.mRefusedTable.clear();
    CPPUNIT_ASSERT(host.RunUntil([&host] { return !host.IsStale(); }));
  }

  // Guards against a fleet that stays at an old configuration while the store
  // never answers for it and refuses some reads of the targets: each return of
  // the store renewed the call, so that it was never overdue.
  void AHostWhoseConfigurationCallsAreNeverAnsweredIsStale()
  {
    RegisteredHost host;
    host.Start(kValue);
    host.AwaitRow();
    host.RunFor(milliseconds(1000));
    CPPUNIT_ASSERT(!host.IsStale());
    host.mSilentTable = "Table=op&";
    host.mRefusedTable = "Table=servers&";
    host.mRefusesEverySecond = true;
    CPPUNIT_ASSERT(host.RunUntil([&host] { return host.IsStale(); }));
    // Not for a moment only.
    const auto isRecent = [&host] { return !host.IsStale(); };
    CPPUNIT_ASSERT(!host.RunUntil(isRecent, milliseconds(4000)));
    host.mSilentTable.clear();
    host.mRefusedTable.clear();
    CPPUNIT_ASSERT(host.RunUntil(isRecent));
  }

  // Guards against targets that are never dropped because the store refuses a
  // table that has no rows yet, which passed for a store that is away.
  void AStoreThatRefusesATableOfTheGatewaysIsReachable()
  {
    RegisteredHost host;
    host.Start(kValue);
    host.AwaitRow();
    const auto isAway = [&host] { return !host.IsReachable(); };
    for (const char* it :
         { "Table=gateway-suspects&", "Table=gateway-hosts&" }) {
      host.mRefusals = 0;
      host.mRefusedTable = it;
      CPPUNIT_ASSERT(!host.RunUntil(isAway, milliseconds(7000)));
      CPPUNIT_ASSERT(host.mRefusals >= 2);
    }
    host.mRefusedTable = "Table=servers&";
    CPPUNIT_ASSERT(host.RunUntil(isAway));
  }

  // Guards against a removal that the store performs after the next process of
  // the host has registered, so that no other host knows that process.
  void ALateRemovalLeavesTheRowOfTheNextProcess()
  {
    RegisteredHost host;
    host.Start(kValue);
    host.AwaitRow();
    host.mPerformance = Performance::Late;
    host.BeginStop();
    CPPUNIT_ASSERT(host.RunUntil([&] { return host.mLate.has_value(); }));
    host.mPerformance = Performance::AtOnce;
    const std::int64_t version = host.mRowVersion;
    host.Start(kValue);
    CPPUNIT_ASSERT(host.RunUntil([&] { return host.mRowVersion > version; }));
    host.PerformLate();
    CPPUNIT_ASSERT(host.mRowVersion != 0);
  }

  // Guards against a stopping process that repeats its removal when its
  // successor has written the row, and against one that goes on trying.
  void ARepeatedRemovalLeavesTheRowOfTheNextProcess()
  {
    RegisteredHost host;
    host.Start(kValue);
    host.AwaitRow();
    host.mPerformance = Performance::Late;
    host.BeginStop();
    CPPUNIT_ASSERT(host.RunUntil([&] { return host.mLate.has_value(); }));
    host.PutRow();
    host.mPerformance = Performance::AtOnce;
    host.RunFor(milliseconds(4000));
    CPPUNIT_ASSERT(host.mRowVersion != 0);
    CPPUNIT_ASSERT(host.mRemovals <= 2);
  }

  // Guards against the removal of another process's row by a host that has
  // never heard whether its own was written.
  void ARemovalOfUnknownVersionLeavesTheRowOfAnotherAddress()
  {
    RegisteredHost host;
    host.Start(kOtherValue);
    host.AwaitRow();
    host.mPerformance = Performance::Late;
    host.Start(kValue);
    CPPUNIT_ASSERT(host.RunUntil([&] { return host.mLate.has_value(); }));
    host.BeginStop();
    host.RunFor(milliseconds(1000));
    host.mPerformance = Performance::AtOnce;
    host.RunFor(milliseconds(3000));
    CPPUNIT_ASSERT(host.mRowVersion != 0);
    CPPUNIT_ASSERT(host.mRemovals > 0);
  }

  void AStoppingHostRemovesItsRow()
  {
    RegisteredHost host;
    host.Start(kValue);
    host.AwaitRow();
    host.BeginStop();
    CPPUNIT_ASSERT(host.RunUntil([&] { return host.mRowVersion == 0; }));
  }

  // Guards against a row that stays for good as the answer to its writing had
  // the version of the whole store.
  void AHostToldALaterVersionOfTheStoreRemovesItsRow()
  {
    RegisteredHost host;
    host.mOtherWrites = 3;
    host.Start(kValue);
    host.AwaitRow();
    host.BeginStop();
    CPPUNIT_ASSERT(host.RunUntil([&] { return host.mRowVersion == 0; }));
  }

  // Guards against a removal that is repeated although it was performed.
  void ARemovalWhoseAnswerWasLostIsNotRepeatedForEver()
  {
    RegisteredHost host;
    host.Start(kValue);
    host.AwaitRow();
    host.mPerformance = Performance::WithoutAnswer;
    host.BeginStop();
    CPPUNIT_ASSERT(host.RunUntil([&] { return host.mRowVersion == 0; }));
    host.RunFor(milliseconds(1000));
    host.mPerformance = Performance::AtOnce;
    host.RunFor(milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), host.mRowVersion);
    CPPUNIT_ASSERT(host.mRemovals <= 2);
  }

  // Guards against a row that stays for good as the answers to its writing were
  // lost.
  void AHostThatDoesNotKnowItsVersionRemovesItsRow()
  {
    RegisteredHost host;
    host.mPerformance = Performance::WithoutAnswer;
    host.Start(kValue);
    host.AwaitRow();
    host.BeginStop();
    host.RunFor(milliseconds(1000));
    host.mPerformance = Performance::AtOnce;
    CPPUNIT_ASSERT(host.RunUntil([&] { return host.mRowVersion == 0; }));
  }

  // Guards against a running host whose row is gone for good, removed by a call
  // of an earlier process.
  void ARunningHostWritesItsRowAgainIfItIsRemoved()
  {
    RegisteredHost host;
    host.Start(kValue);
    host.AwaitRow();
    host.RunFor(milliseconds(500));
    host.RemoveRow();
    CPPUNIT_ASSERT(host.RunUntil([&] { return host.mRowVersion != 0; }));
    CPPUNIT_ASSERT_EQUAL(2, host.mWrites);
  }

  // Guards against a host that does not read the store itself and doesn't
  // notice that its row is gone.
  void ARemovalToldByAnotherHostLetsAHostWriteItsRowAgain()
  {
    RegisteredHost host;
    host.Start(kValue);
    host.AwaitRow();
    host.RunFor(milliseconds(500));
    host.RemoveRow();
    host.TellOfRemoval();
    CPPUNIT_ASSERT(
      host.RunUntil([&] { return host.mRowVersion != 0; }, milliseconds(2000)));
  }

  // Guards against hosts that write without a pause to a store that loses their
  // rows.
  void ARowThatIsLostAtOnceIsNotWrittenWithoutAPause()
  {
    RegisteredHost host;
    host.mLosesRow = true;
    host.Start(kValue);
    host.RunFor(milliseconds(8000));
    CPPUNIT_ASSERT(host.mWrites >= 2);
    CPPUNIT_ASSERT(host.mWrites <= 4);
  }

  // Guards against two processes that overwrite each other's row in turn.
  void ARowOfAnotherValueIsNotWrittenAgain()
  {
    RegisteredHost host;
    host.Start(kOtherValue);
    host.AwaitRow();
    const std::string other = host.mRowValue;
    host.Start(kValue);
    CPPUNIT_ASSERT(host.RunUntil([&] { return host.mWrites == 2; }));
    host.RunFor(milliseconds(50));
    host.mRowValue = other;
    host.PutRow();
    host.RunFor(milliseconds(6000));
    CPPUNIT_ASSERT_EQUAL(2, host.mWrites);
  }

  // Guards against a stopping host that takes its own removal for a loss.
  void AStoppingHostDoesNotWriteItsRowAgain()
  {
    RegisteredHost host;
    host.Start(kValue);
    host.AwaitRow();
    host.BeginStop();
    CPPUNIT_ASSERT(host.RunUntil([&] { return host.mRowVersion == 0; }));
    host.TellOfRemoval();
    host.RunFor(milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(1, host.mWrites);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), host.mRowVersion);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreWatchTests);
