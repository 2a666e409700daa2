#include "Property.h"

#include "core/StoreEra.h"
#include "core/TargetEntries.h"
#include "gateway/Fleet.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace quetzalquay;
using platform::StoreRow;
using platform::StoreTable;
using std::chrono::milliseconds;

namespace {

std::string
Configuration(const std::string& aRoute, int aVersion)
{
  return R"({"Version":)" + std::to_string(aVersion) +
         R"(,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/)" + aRoute +
         R"(/","Service":"s","Kind":"safe"}],"Services":[{"Name":"s"}]})";
}

std::string
TargetRow(const std::string& aState)
{
  return R"({"Service":"s","Address":"127.0.0.1:80","Zone":"a","Version":"v1",)"
         R"("Slots":4,"Sequence":1,"born":1,"State":")" +
         aState + "\"}";
}

// One host that reads tables of the store.
class Host
{
public:
  Host()
    : mFleet(mLoop, GatewaySettings())
  {
    mFleet.AddEraCallback([this] { ++mEras; });
  }

  void ReadConfiguration(const std::string& aRoute, int aNumber, int aVersion)
  {
    mFleet.ApplyRows(StoreTable::Configuration,
                     { { platform::kConfigurationKey,
                         Configuration(aRoute, aNumber),
                         aVersion } },
                     true,
                     aVersion,
                     RowSource::Store);
  }

  void ReadTarget(const std::string& aState, int aVersion, bool aIsSnapshot)
  {
    mFleet.ApplyRows(StoreTable::Targets,
                     { { "t", TargetRow(aState), aVersion } },
                     aIsSnapshot,
                     aVersion,
                     RowSource::Store);
  }

  bool Serves(const std::string& aRoute) const
  {
    return mFleet.Routing()->FindRoute("h", "/" + aRoute + "/x") != nullptr;
  }

  // Lets timers run for a while.
  void RunFor(Duration aTime)
  {
    Timer end(mLoop, [this] { mLoop.Stop(); });
    end.ScheduleAt(EventLoop::Now() + aTime);
    mLoop.Context().restart();
    mLoop.Run();
  }

  EventLoop mLoop;
  Fleet mFleet;
  int mEras = 0;
};

StoreEraTracker::Answer
Answer(std::int64_t aNumber, std::int64_t aVersion, std::int64_t aKnown)
{
  return { aNumber, aVersion, aKnown };
}

TargetEntry
Entry(bool aLeaving)
{
  TargetEntry entry;
  entry.mName = "t";
  entry.mService = "s";
  entry.mAddress = "a:1";
  entry.mPlace = "here";
  entry.mIncarnation = "1";
  entry.mLeaving = aLeaving;
  return entry;
}

constexpr StoreTable kTables[] = { StoreTable::Configuration,
                                   StoreTable::Targets };

// A store that keeps copies of itself and comes back from them.
class ModelStore
{
public:
  explicit ModelStore(bool aTellsCount)
  {
    if (aTellsCount) {
      mCount = 3;
    }
    KeepCopy();
  }

  void Put(StoreTable aTable, const std::string& aKey, std::string aValue)
  {
    mTables[aTable][aKey] = { aKey, std::move(aValue), ++mVersion };
  }

  void Remove(StoreTable aTable, const std::string& aKey)
  {
    const auto row = mTables[aTable].find(aKey);
    if (row != mTables[aTable].end() && !row->second.mRemoved) {
      row->second.mRemoved = true;
      row->second.mVersion = ++mVersion;
    }
  }

  void KeepCopy()
  {
    mCopiedTables = mTables;
    mCopiedVersion = mVersion;
    Skip();
  }

  void Return()
  {
    mTables = mCopiedTables;
    mVersion = mCopiedVersion;
    if (mCount) {
      ++*mCount;
    }
    Skip();
  }

  std::optional<std::int64_t> Count() const { return mCount; }
  std::int64_t Version() const { return mVersion; }

  // All rows, or the changes after a version if it is not 0.
  std::vector<StoreRow> Rows(StoreTable aTable, std::int64_t aAfter) const
  {
    std::vector<StoreRow> rows;
    const auto table = mTables.find(aTable);
    if (table != mTables.end()) {
      for (const auto& it : table->second) {
        if (it.second.mVersion > aAfter &&
            (aAfter != 0 || !it.second.mRemoved)) {
          rows.push_back(it.second);
        }
      }
    }
    return rows;
  }

private:
  using Tables = std::map<StoreTable, std::map<std::string, StoreRow>>;

  // Rows of others are written. A store that returns does not reach the
  // versions that it has lost.
  void Skip()
  {
    mVersion += mSkip;
    mSkip = std::max<std::int64_t>(mSkip / 4, 1);
  }

  Tables mTables;
  Tables mCopiedTables;
  std::int64_t mVersion = 10;
  std::int64_t mCopiedVersion = 10;
  std::int64_t mSkip = std::int64_t(1) << 60;
  std::optional<std::int64_t> mCount;
};

// One host that reads a store and asks other hosts, and whose answers may be
// late.
class ModelHost
{
public:
  ModelHost()
    : mFleet(mLoop, GatewaySettings())
  {
    mFleet.AddEraCallback([this] {
      // Calls in progress are given up.
      mWatches.clear();
      mCalls.clear();
    });
  }

  // The store performs a read, whose answer is on its way.
  void Call(const ModelStore& aStore, StoreTable aTable)
  {
    if (mCalls.count(aTable) != 0) {
      return;
    }
    std::int64_t& watch = mWatches[aTable];
    StoreCall call;
    call.mComplete = watch == 0;
    call.mKnown = std::max(watch, mFleet.Version(aTable));
    watch = call.mComplete ? 0 : call.mKnown;
    call.mCount = aStore.Count();
    call.mVersion = aStore.Version();
    call.mIsExpired = watch > aStore.Version();
    call.mRows = aStore.Rows(aTable, watch);
    mCalls.emplace(aTable, std::move(call));
  }

  void Deliver(StoreTable aTable)
  {
    const auto found = mCalls.find(aTable);
    if (found == mCalls.end()) {
      return;
    }
    const StoreCall call = std::move(found->second);
    mCalls.erase(found);
    if (mFleet.OnStoreAnswer(
          { call.mCount, call.mComplete ? call.mVersion : 0, call.mKnown })) {
      return;
    }
    if (call.mIsExpired) {
      mWatches[aTable] = 0;
      return;
    }
    mFleet.ApplyRows(
      aTable, call.mRows, call.mComplete, call.mVersion, RowSource::Store);
    mWatches[aTable] = call.mVersion;
  }

  // Another host answers a query, and learns of this host's era.
  void Ask(ModelHost& aOther)
  {
    const bool isComparable = aOther.mFleet.OnEraTold(Era());
    Told told;
    told.mEra = aOther.Era();
    told.mSource =
      aOther.mFleet.IsStoreSynced() ? RowSource::SyncedPeer : RowSource::Peer;
    for (const StoreTable table : kTables) {
      std::int64_t after = isComparable ? mFleet.Version(table) : 0;
      if (table == StoreTable::Targets &&
          after < aOther.mFleet.TargetRemovalsKnownSince()) {
        after = 0;
        told.mHasAllTargets = true;
      }
      told.mVersions[table] = aOther.mFleet.Version(table);
      for (const auto& it : aOther.mFleet.Rows(table)) {
        if (it.second.mVersion > after) {
          told.mRows[table].push_back(it.second);
        }
      }
    }
    mTold.push_back(std::move(told));
  }

  void Hear()
  {
    if (mTold.empty()) {
      return;
    }
    Told told = std::move(mTold.front());
    mTold.pop_front();
    if (!mFleet.OnEraTold(told.mEra)) {
      return;
    }
    for (const StoreTable table : kTables) {
      const auto& rows = told.mRows[table];
      const bool isWhole = table == StoreTable::Targets && !rows.empty() &&
                           (told.mHasAllTargets || mFleet.Version(table) == 0);
      mFleet.ApplyRows(
        table, rows, isWhole, told.mVersions[table], told.mSource);
    }
  }

  // Answers on their way arrive, and those to another read of each table.
  void Read(const ModelStore& aStore)
  {
    for (const StoreTable table : kTables) {
      Deliver(table);
      Call(aStore, table);
      Deliver(table);
    }
  }

  // All answers arrive, and no more is to be read.
  void CatchUp(const ModelStore& aStore)
  {
    constexpr int kReads = 6;
    while (!mTold.empty()) {
      Hear();
    }
    for (int n = 0; n < kReads; ++n) {
      Read(aStore);
    }
  }

  // Another host, where the targets' time to register again is over, has passed
  // on all changes.
  void ConfirmRemovals(const ModelStore& aStore)
  {
    mFleet.ApplyRows(
      StoreTable::Targets, {}, false, aStore.Version(), RowSource::SyncedPeer);
  }

  std::int64_t Number() const
  {
    return mFleet.Routing() == nullptr ? 0 : mFleet.Routing()->mVersion;
  }

  // What requests are routed by.
  std::string State(const std::vector<std::string>& aTargets)
  {
    std::string state = std::to_string(Number());
    for (const std::string& it : aTargets) {
      const TargetLocation* location = mFleet.Locate(it);
      if (location != nullptr) {
        state += " " + it + "/" + location->mIncarnation +
                 (mFleet.Targets().IsLeaving(it) ? "/leaving" : "");
      }
    }
    return state;
  }

private:
  struct StoreCall
  {
    bool mComplete = false;
    bool mIsExpired = false;
    std::int64_t mKnown = 0;
    std::optional<std::int64_t> mCount;
    std::int64_t mVersion = 0;
    std::vector<StoreRow> mRows;
  };

  struct Told
  {
    bool mHasAllTargets = false;
    std::optional<StoreEra> mEra;
    RowSource mSource = RowSource::Peer;
    std::map<StoreTable, std::int64_t> mVersions;
    std::map<StoreTable, std::vector<StoreRow>> mRows;
  };

  // The era as it is told: nothing before one is known.
  std::optional<StoreEra> Era() const
  {
    return mFleet.Era() == StoreEra() ? std::nullopt
                                      : std::make_optional(mFleet.Era());
  }

  EventLoop mLoop;
  Fleet mFleet;
  // Version of each table from which on changes are read; 0 for all rows.
  std::map<StoreTable, std::int64_t> mWatches;
  std::map<StoreTable, StoreCall> mCalls;
  std::deque<Told> mTold;
};

// A store, what operators and targets write there, and hosts that read it.
class ModelFleet
{
public:
  static constexpr std::size_t kHosts = 3;

  // Number of different steps: of some kind, with two hosts or a target.
  static constexpr int kKinds = 18;
  static constexpr int kSteps = kKinds * static_cast<int>(kHosts * kHosts);

  ModelFleet(bool aTellsCount, bool aAsksOthers)
    : mStore(aTellsCount)
    , mAsksOthers(aAsksOthers)
  {
    for (std::size_t n = 0; n < kHosts; ++n) {
      mHosts.push_back(std::make_unique<ModelHost>());
    }
    WriteConfiguration();
    CatchUp();
  }

  // Performs the step of a number below kSteps.
  void Step(int aNumber)
  {
    const auto number = static_cast<std::size_t>(aNumber);
    const auto kind = aNumber / static_cast<int>(kHosts * kHosts);
    const std::size_t first = number / kHosts % kHosts;
    const std::size_t second = number % kHosts;
    const std::string& name = mNames[first];
    Target& target = mTargets[name];
    ModelHost& host = *mHosts[first];
    const StoreTable table = kTables[second % 2];
    if (kind == 0) {
      ++mNumber;
      WriteConfiguration();
    } else if (kind == 1) {
      WriteConfiguration();
    } else if (kind == 2) {
      // A start, unless the target runs already.
      if (!target.mLives || target.mLeaving) {
        target = { true, false, target.mBorn + 1 };
      }
      Register(name);
    } else if (kind == 3) {
      target.mLeaving = true;
      Register(name);
    } else if (kind == 4) {
      target.mLives = false;
      mStore.Remove(StoreTable::Targets, name);
    } else if (kind == 5 && mDrills < kMaxDrills) {
      ++mDrills;
      mStore.KeepCopy();
    } else if (kind == 6 && mDrills < kMaxDrills) {
      ++mDrills;
      mStore.Return();
    } else if (kind == 7 && mAsksOthers) {
      host.Ask(*mHosts[second]);
    } else if (kind == 8) {
      host.Hear();
    } else if (kind <= 10) {
      host.Call(mStore, table);
    } else if (kind <= 12) {
      host.Deliver(table);
    } else {
      host.Read(mStore);
    }
  }

  // All that is true is written again, twice as each target does in time, and
  // read.
  void Settle()
  {
    for (int n = 0; n < 2; ++n) {
      WriteConfiguration();
      for (const std::string& it : mNames) {
        if (mTargets[it].mLives) {
          Register(it);
        } else {
          mStore.Remove(StoreTable::Targets, it);
        }
      }
      CatchUp();
    }
    for (const auto& asking : mHosts) {
      for (const auto& asked : mHosts) {
        if (mAsksOthers) {
          asking->Ask(*asked);
        }
      }
    }
    CatchUp();
    for (const auto& it : mHosts) {
      it->ConfirmRemovals(mStore);
    }
  }

  std::vector<std::int64_t> Numbers() const
  {
    std::vector<std::int64_t> numbers;
    for (const auto& it : mHosts) {
      numbers.push_back(it->Number());
    }
    return numbers;
  }

  std::vector<std::string> States() const
  {
    std::vector<std::string> states;
    for (const auto& it : mHosts) {
      states.push_back(it->State(mNames));
    }
    return states;
  }

  // State of a host that starts now.
  std::string NewState() const
  {
    ModelHost host;
    host.CatchUp(mStore);
    return host.State(mNames);
  }

private:
  // Copies and returns after which the store still skips versions.
  static constexpr int kMaxDrills = 20;

  struct Target
  {
    bool mLives = false;
    bool mLeaving = false;
    int mBorn = 0;
  };

  void WriteConfiguration()
  {
    mStore.Put(StoreTable::Configuration,
               platform::kConfigurationKey,
               Configuration("r" + std::to_string(mNumber), mNumber));
  }

  // A target that does not live writes nothing.
  void Register(const std::string& aName)
  {
    const Target& target = mTargets[aName];
    if (target.mLives) {
      mStore.Put(StoreTable::Targets,
                 aName,
                 R"({"Service":"s","Address":"127.0.0.1:8)" + aName.substr(1) +
                   R"(","Zone":"a","Version":"v1","Slots":4,"Sequence":)" +
                   std::to_string(++mSequence) + R"(,"born":)" +
                   std::to_string(target.mBorn) + R"(,"State":")" +
                   (target.mLeaving ? "draining" : "ready") + "\"}");
    }
  }

  void CatchUp()
  {
    for (const auto& it : mHosts) {
      it->CatchUp(mStore);
    }
  }

  ModelStore mStore;
  bool mAsksOthers;
  std::vector<std::unique_ptr<ModelHost>> mHosts;
  std::vector<std::string> mNames = { "t1", "t2", "t3" };
  std::map<std::string, Target> mTargets;
  int mNumber = 1;
  int mSequence = 0;
  int mDrills = 0;
};

} // namespace

// A store that comes back from an older copy and gives its versions out again.
class StoreEraTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreEraTests);
  CPPUNIT_TEST(ACountThatRisesBeginsAnEra);
  CPPUNIT_TEST(VersionsThatGoBackBeginAnEra);
  CPPUNIT_TEST(ACountThatFallsDoesNotHoldAHostForEver);
  CPPUNIT_TEST(HostsAgreeOnTheLatestEra);
  CPPUNIT_TEST(ErasAreReadAsTheyAreWritten);
  CPPUNIT_TEST(WhatIsWrittenAfterAReturnIsInForce);
  CPPUNIT_TEST(AConfigurationDoesNotGoBackWithTheStore);
  CPPUNIT_TEST(TheCopyAloneReplacesNothing);
  CPPUNIT_TEST(AWriteWithALowerNumberCountsSoon);
  CPPUNIT_TEST(OtherHostsAreToldWhatIsHeldBack);
  CPPUNIT_TEST(TheFirstCountAfterKnownVersionsBeginsAnEra);
  CPPUNIT_TEST(TheNewestTargetAtAnAddressStaysInUse);
  CPPUNIT_TEST(RowsOfAnotherEraAreNotTaken);
  CPPUNIT_TEST(TargetsThatAreGoneDoNotComeBackWithTheStore);
  CPPUNIT_TEST(TargetsThatTheStoreHasLostStayForAWhile);
  CPPUNIT_TEST(ATargetThatWasRemovedIsNotToldBack);
  CPPUNIT_TEST(HostsEndUpWithWhatTheStoreHas);
  CPPUNIT_TEST(AConfigurationDoesNotGoBackWithOtherHosts);
  CPPUNIT_TEST(HostsThatAskOthersEndUpWithWhatTheStoreHas);
  CPPUNIT_TEST_SUITE_END();

public:
  void ACountThatRisesBeginsAnEra()
  {
    StoreEraTracker era;
    CPPUNIT_ASSERT(!era.OnAnswer(Answer(3, 100, 0)));
    CPPUNIT_ASSERT(!era.OnAnswer(Answer(3, 101, 100)));
    CPPUNIT_ASSERT(era.OnAnswer(Answer(4, 200, 101)));
    CPPUNIT_ASSERT(!era.OnAnswer(Answer(4, 50, 0)));
    CPPUNIT_ASSERT(!era.OnAnswer({ std::nullopt, 51, 50 }));
    CPPUNIT_ASSERT_EQUAL(std::string("0.5"), FormatEra(era.Era()));
  }

  // The store doesn't say that it came back.
  void VersionsThatGoBackBeginAnEra()
  {
    StoreEraTracker era;
    CPPUNIT_ASSERT(!era.OnAnswer({ std::nullopt, 100, 90 }));
    CPPUNIT_ASSERT(!era.OnAnswer({ std::nullopt, 100, 100 }));
    // An answer that tells no version.
    CPPUNIT_ASSERT(!era.OnAnswer({ std::nullopt, 0, 100 }));
    CPPUNIT_ASSERT(era.OnAnswer({ std::nullopt, 99, 100 }));
    CPPUNIT_ASSERT_EQUAL(std::string("1.0"), FormatEra(era.Era()));
  }

  // Guards against a host that ignores the store for good after one answer with
  // a spoiled count.
  void ACountThatFallsDoesNotHoldAHostForEver()
  {
    StoreEraTracker era;
    era.OnAnswer(Answer(3, 100, 0));
    CPPUNIT_ASSERT(era.OnAnswer(Answer(900000, 101, 100)));
    CPPUNIT_ASSERT(era.OnAnswer(Answer(3, 102, 0)));
    CPPUNIT_ASSERT(!era.OnAnswer(Answer(3, 103, 102)));
    CPPUNIT_ASSERT_EQUAL(std::string("1.4"), FormatEra(era.Era()));
  }

  void HostsAgreeOnTheLatestEra()
  {
    StoreEraTracker first;
    StoreEraTracker second;
    first.OnAnswer(Answer(3, 100, 0));
    // Not a new era for a host that knows nothing.
    CPPUNIT_ASSERT(!second.OnTold(first.Era(), false));
    CPPUNIT_ASSERT(second.IsFirst());
    first.OnAnswer(Answer(4, 90, 100));
    CPPUNIT_ASSERT(second.OnTold(first.Era(), true));
    CPPUNIT_ASSERT(!second.OnTold(first.Era(), true));
    CPPUNIT_ASSERT(!second.OnTold({ 0, 3 }, true));
    CPPUNIT_ASSERT(first.Era() == second.Era());
    second.OnAnswer(Answer(4, 80, 90));
    CPPUNIT_ASSERT(first.OnTold(second.Era(), true));
  }

  void ErasAreReadAsTheyAreWritten()
  {
    const StoreEra era{ 2, 17 };
    CPPUNIT_ASSERT(ParseEra(FormatEra(era)) == era);
    for (const char* it : { "",
                            "1",
                            "1.",
                            ".1",
                            "1.x",
                            "-1.2",
                            "1.-2",
                            "1.2.3",
                            "1.99999999999999999999",
                            "1.9000000000000000000" }) {
      CPPUNIT_ASSERT_MESSAGE(it, !ParseEra(it));
    }
  }

  // Guards against a fleet that ignores what operators write after the store
  // has come back from an older copy, until its versions have caught up.
  void WhatIsWrittenAfterAReturnIsInForce()
  {
    Host host;
    host.ReadConfiguration("old", 14, 900);
    CPPUNIT_ASSERT(host.mFleet.OnStoreAnswer({ std::nullopt, 500, 900 }));
    CPPUNIT_ASSERT_EQUAL(1, host.mEras);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0),
                         host.mFleet.Version(StoreTable::Configuration));
    host.ReadConfiguration("new", 21, 510);
    CPPUNIT_ASSERT(host.Serves("new"));
  }

  // Guards against routes and keys that come back with an older copy of the
  // store, until the operators have written again what it has lost.
  void AConfigurationDoesNotGoBackWithTheStore()
  {
    Host host;
    host.ReadConfiguration("first", 14, 900);
    host.ReadConfiguration("second", 21, 950);
    host.mFleet.OnStoreAnswer({ std::nullopt, 900, 950 });
    host.ReadConfiguration("first", 14, 900);
    CPPUNIT_ASSERT(host.Serves("second"));
    host.ReadConfiguration("second", 21, 903);
    host.ReadConfiguration("third", 28, 905);
    CPPUNIT_ASSERT(host.Serves("third"));
    // What was held back is not applied later.
    host.RunFor(milliseconds(5200));
    CPPUNIT_ASSERT(host.Serves("third"));
  }

  // Guards against the same when operators are late.
  void TheCopyAloneReplacesNothing()
  {
    Host host;
    host.ReadConfiguration("first", 14, 900);
    host.ReadConfiguration("second", 21, 950);
    host.mFleet.OnStoreAnswer({ std::nullopt, 900, 950 });
    host.ReadConfiguration("first", 14, 900);
    host.RunFor(milliseconds(5200));
    CPPUNIT_ASSERT(host.Serves("second"));
    host.ReadConfiguration("third", 15, 990);
    CPPUNIT_ASSERT(host.Serves("third"));
  }

  // Guards against a host that ignores what operators write after a return as
  // they number it by what the store has.
  void AWriteWithALowerNumberCountsSoon()
  {
    Host host;
    host.ReadConfiguration("first", 14, 900);
    host.ReadConfiguration("second", 21, 950);
    host.mFleet.OnStoreAnswer({ std::nullopt, 900, 950 });
    host.ReadConfiguration("first", 14, 900);
    host.ReadConfiguration("third", 15, 905);
    // The store's operators may be writing all of theirs again.
    CPPUNIT_ASSERT(host.Serves("second"));
    CPPUNIT_ASSERT(!host.mFleet.IsConfigurationConfirmed(EventLoop::Now()));
    host.ReadConfiguration("third", 15, 905);
    CPPUNIT_ASSERT(host.Serves("second"));
    host.RunFor(milliseconds(1000));
    CPPUNIT_ASSERT(host.Serves("third"));
  }

  // Guards against hosts that never learn of a row, as the one that they ask
  // tells its version without it.
  void OtherHostsAreToldWhatIsHeldBack()
  {
    Host host;
    host.ReadConfiguration("second", 21, 950);
    host.mFleet.OnStoreAnswer({ std::nullopt, 900, 950 });
    host.ReadConfiguration("first", 14, 900);
    host.ReadConfiguration("third", 15, 905);
    const auto& rows = host.mFleet.Rows(StoreTable::Configuration);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(905),
                         rows.at(platform::kConfigurationKey).mVersion);
  }

  // A store that tells its count from its first return on.
  void TheFirstCountAfterKnownVersionsBeginsAnEra()
  {
    StoreEraTracker silent;
    silent.OnAnswer({ std::nullopt, 100, 0 });
    CPPUNIT_ASSERT(silent.OnAnswer(Answer(1, 120, 100)));
    StoreEraTracker counting;
    CPPUNIT_ASSERT(!counting.OnAnswer(Answer(0, 100, 0)));
    CPPUNIT_ASSERT(!counting.OnAnswer(Answer(0, 110, 100)));
    CPPUNIT_ASSERT(counting.OnAnswer(Answer(1, 120, 110)));
    CPPUNIT_ASSERT(silent.Era() == counting.Era());
  }

  // Guards against requests to the target that was at an address before.
  void TheNewestTargetAtAnAddressStaysInUse()
  {
    const Time now = EventLoop::Now();
    TargetEntries entries(milliseconds(2000));
    TargetEntry former = Entry(false);
    former.mName = "a";
    TargetEntry present = Entry(false);
    present.mName = "b";
    entries.OnRegistered(former, 10, now);
    entries.OnRegistered(present, 20, now);
    entries.BeginEra(now);
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         entries.UsableTargets().front().mName);
    entries.OnRegistered(present, 3, now);
    entries.OnSnapshot({ "b" }, 5, now);
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         entries.UsableTargets().front().mName);
  }

  void RowsOfAnotherEraAreNotTaken()
  {
    Host host;
    CPPUNIT_ASSERT(host.mFleet.OnEraTold(std::nullopt));
    CPPUNIT_ASSERT(host.mFleet.OnEraTold(StoreEra{ 0, 3 }));
    host.ReadConfiguration("r", 14, 5);
    CPPUNIT_ASSERT(!host.mFleet.OnEraTold(StoreEra{ 0, 4 }));
    CPPUNIT_ASSERT(host.mFleet.OnEraTold(StoreEra{ 0, 4 }));
    CPPUNIT_ASSERT(!host.mFleet.OnEraTold(StoreEra{ 0, 3 }));
    CPPUNIT_ASSERT(!host.mFleet.OnEraTold(std::nullopt));
    // Hosts that read different stores for a while tell each other of theirs.
    host.ReadConfiguration("r", 14, 6);
    CPPUNIT_ASSERT(!host.mFleet.OnEraTold(StoreEra{ 1, 4 }));
    CPPUNIT_ASSERT_EQUAL(1, host.mFleet.ErasBegun());
  }

  // Guards against requests to a target that had left, or was leaving, before
  // the store came back from a copy that has it as ready.
  void TargetsThatAreGoneDoNotComeBackWithTheStore()
  {
    const Time now = EventLoop::Now();
    TargetEntries leaving(milliseconds(2000));
    leaving.OnRegistered(Entry(false), 10, now);
    leaving.OnRegistered(Entry(true), 20, now);
    leaving.BeginEra(now);
    leaving.OnRegistered(Entry(false), 10, now);
    CPPUNIT_ASSERT(leaving.UsableTargets().front().mLeaving);

    TargetEntries gone(milliseconds(2000));
    gone.OnRegistered(Entry(false), 10, now);
    gone.OnRemoved("t", 20, now);
    gone.BeginEra(now);
    gone.OnRegistered(Entry(false), 10, now);
    CPPUNIT_ASSERT(gone.UsableTargets().empty());
    // A later write shows that it lives; so does another start.
    gone.OnRegistered(Entry(false), 12, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), gone.UsableTargets().size());
    leaving.BeginEra(now);
    TargetEntry born = Entry(false);
    born.mIncarnation = "2";
    leaving.OnRegistered(born, 3, now);
    CPPUNIT_ASSERT(!leaving.UsableTargets().front().mLeaving);
  }

  void TargetsThatTheStoreHasLostStayForAWhile()
  {
    Host host;
    host.ReadConfiguration("r", 14, 5);
    host.ReadTarget("ready", 950, true);
    host.mFleet.OnStoreAnswer({ std::nullopt, 900, 950 });
    host.mFleet.ApplyRows(StoreTable::Targets, {}, true, 900, RowSource::Store);
    CPPUNIT_ASSERT(host.mFleet.Locate("t") != nullptr);
    host.RunFor(milliseconds(2300));
    CPPUNIT_ASSERT(host.mFleet.Locate("t") == nullptr);
    // Written again, with a version below the one that was known.
    host.ReadTarget("ready", 910, false);
    CPPUNIT_ASSERT(host.mFleet.Locate("t") != nullptr);
  }

  // Guards against a target that is used for good, as another host has told of
  // it late: it was removed before the complete table was read here.
  void ATargetThatWasRemovedIsNotToldBack()
  {
    Host host;
    host.ReadConfiguration("r", 14, 5);
    host.mFleet.ApplyRows(StoreTable::Targets, {}, true, 12, RowSource::Store);
    const auto tell = [&host](int aVersion) {
      host.mFleet.ApplyRows(StoreTable::Targets,
                            { { "t", TargetRow("ready"), aVersion } },
                            false,
                            aVersion,
                            RowSource::Peer);
      return host.mFleet.Locate("t") != nullptr;
    };
    CPPUNIT_ASSERT(!tell(11));
    CPPUNIT_ASSERT(tell(13));
  }

  // Guards against hosts that keep something of before a return, or go back
  // with the store, in whatever order returns, writes and late answers come.
  void HostsEndUpWithWhatTheStoreHas()
  {
    CheckReturns("hosts that read the store follow it", false, true);
  }

  // The same for the numbers of configurations where hosts ask each other.
  void AConfigurationDoesNotGoBackWithOtherHosts()
  {
    CheckReturns("configurations do not go back", true, false);
  }

  // Guards against hosts that keep something of before a return because of what
  // other hosts tell, early or late.
  void HostsThatAskOthersEndUpWithWhatTheStoreHas()
  {
    CheckReturns("hosts that ask others follow the store", true, true);
  }

private:
  // Checks hosts in random histories of a store.
  static void CheckReturns(const std::string& aName,
                           bool aAsksOthers,
                           bool aComparesStates)
  {
    // Steps of the longest history.
    constexpr int kSteps = 150;
    CheckProperty(aName, [=] {
      const bool tellsCount = *rc::gen::arbitrary<bool>();
      ModelFleet fleet(tellsCount, aAsksOthers);
      const auto numbers =
        *rc::gen::resize(kSteps,
                         rc::gen::container<std::vector<int>>(
                           rc::gen::inRange(0, ModelFleet::kSteps)));
      auto before = fleet.Numbers();
      const auto check = [&] {
        const auto now = fleet.Numbers();
        for (std::size_t n = 0; n < now.size(); ++n) {
          // Without the count, a host that has read nothing of what was lost
          // can't tell a row of it from a later one until it reads again.
          RC_ASSERT((aAsksOthers && !tellsCount) || now[n] >= before[n]);
        }
        before = now;
      };
      for (const int it : numbers) {
        fleet.Step(it);
        check();
      }
      fleet.Settle();
      check();
      const std::string expected = fleet.NewState();
      for (const std::string& it : fleet.States()) {
        RC_ASSERT(!aComparesStates || it == expected);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreEraTests);
