#include "core/StoreEra.h"
#include "core/TargetEntries.h"
#include "gateway/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreEraTests);
