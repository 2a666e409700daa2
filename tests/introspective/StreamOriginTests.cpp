#include "EngineTable.h"
#include "Property.h"

#include "core/TakeUp.h"
#include "gateway/StreamOriginRows.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr Duration kWindow = std::chrono::seconds(60);
constexpr int kWindowMs = 60000;
constexpr int kLifetimeMs = 120000;

StreamOrigin
Origin(std::uint64_t aKey, const std::string& aVersion)
{
  return { aKey, "pool", aVersion };
}

TakeUpRequest
Request(std::uint64_t aKey)
{
  TakeUpRequest request;
  request.mKey = aKey;
  request.mServices = { "pool" };
  request.mDefaultService = "pool";
  return request;
}

// Watches the registrations from aFromMs to aToMs without a gap.
void
Watch(VersionHistory& aHistory, int aFromMs, int aToMs)
{
  for (int ms = aFromMs; ms <= aToMs; ms += 500) {
    aHistory.OnKnownAsOf(At(ms));
  }
}

} // namespace

// What hosts know of where streams began, and what follows for a stream that is
// taken up.
class StreamOriginTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StreamOriginTests);
  CPPUNIT_TEST(KnownOriginsNeverChange);
  CPPUNIT_TEST(OnlyAnnouncedServicesAreMadeKnown);
  CPPUNIT_TEST(SmallFleetsTellAllStreamsAndStoreNone);
  CPPUNIT_TEST(AnnouncementsAreRepeatedOnce);
  CPPUNIT_TEST(RunningAndBrokenStreamsFollowWhenAServiceIsAnnounced);
  CPPUNIT_TEST(CompleteStreamsLeaveTheStore);
  CPPUNIT_TEST(StoredOriginsAreStoredAgainByTheHostOfTheirStream);
  CPPUNIT_TEST(OriginsExpireAndAreBounded);
  CPPUNIT_TEST(RunningStreamsStayKnown);
  CPPUNIT_TEST(VersionsOfUnknownTargetsAreReplaced);
  CPPUNIT_TEST(VersionIsUncertainUntilItWasWatchedLongEnough);
  CPPUNIT_TEST(VersionIsUncertainAfterAGap);
  CPPUNIT_TEST(FormerVersionCountsForTheLifeOfAStream);
  CPPUNIT_TEST(RecordedVersionsCompleteTheHistory);
  CPPUNIT_TEST(UnknownOriginGoesOnOnlyAtASingleVersion);
  CPPUNIT_TEST(OriginNeedsItsService);
  CPPUNIT_TEST(TakeUpsNeverChangeTheVersion);
  CPPUNIT_TEST(RowsAreReadBack);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a report that arrives late and moves a stream to another
  // version.
  void KnownOriginsNeverChange()
  {
    CheckProperty("the first report stands, whatever follows", [] {
      StreamOrigins origins;
      std::string first;
      for (int n = 0; n < 6; ++n) {
        const auto report =
          Origin(1, *rc::gen::element<std::string>("v1", "v2", "v3"));
        if (first.empty()) {
          first = report.mSoftwareVersion;
        }
        origins.OnReported(
          report,
          *rc::gen::element(OriginSource::Peer, OriginSource::Store),
          At(n));
        const auto known = origins.Find(1, At(n));
        RC_ASSERT(known.has_value());
        RC_ASSERT(known->mOrigin.mSoftwareVersion == first);
      }
    });
  }

  void OnlyAnnouncedServicesAreMadeKnown()
  {
    StreamOrigins origins;
    origins.OnBegun(Origin(1, "v1"), At(0));
    origins.OnEnded(1, true, At(10));
    CPPUNIT_ASSERT(origins.TakeNews(At(20), 10).empty());
    CPPUNIT_ASSERT(origins.TakeStoreChanges().empty());
    CPPUNIT_ASSERT(origins.NextNewsAt() == Time::max());
    origins.SetAnnouncedServices({ "other" }, At(30));
    origins.OnBegun(Origin(2, "v1"), At(40));
    CPPUNIT_ASSERT(origins.TakeNews(At(50), 10).empty());
    CPPUNIT_ASSERT(origins.TakeStoreChanges().empty());
    CPPUNIT_ASSERT(origins.Find(2, At(60))->mSource == OriginSource::Own);
  }

  // Guards against streams whose hosts die in the moment in which a second
  // software version appears, before they have told of them.
  void SmallFleetsTellAllStreamsAndStoreNone()
  {
    StreamOrigins origins;
    origins.SetTellsAll(true);
    origins.OnBegun(Origin(1, "v1"), At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), origins.TakeNews(At(20), 9).size());
    CPPUNIT_ASSERT(origins.TakeStoreChanges().empty());
    origins.SetAnnouncedServices({ "pool" }, At(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), origins.TakeNews(At(40), 9).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), origins.TakeStoreChanges().size());
  }

  void AnnouncementsAreRepeatedOnce()
  {
    StreamOrigins origins;
    int calls = 0;
    origins.SetNewsCallback([&] { ++calls; });
    origins.SetAnnouncedServices({ "pool" }, At(0));
    for (std::uint64_t n = 1; n <= 5; ++n) {
      origins.OnBegun(Origin(n, "v1"), At(0));
    }
    CPPUNIT_ASSERT_EQUAL(5, calls);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), origins.TakeNews(At(40), 3).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), origins.TakeNews(At(50), 3).size());
    CPPUNIT_ASSERT(origins.TakeNews(At(500), 9).empty());
    CPPUNIT_ASSERT(origins.NextNewsAt() == At(540));
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), origins.TakeNews(At(600), 9).size());
    CPPUNIT_ASSERT(origins.NextNewsAt() == Time::max());
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), origins.TakeStoreChanges().size());
    // A stream that is taken up again at its host is no news.
    origins.OnBegun(Origin(1, "v1"), At(700));
    CPPUNIT_ASSERT(origins.TakeNews(At(700), 9).empty());
    CPPUNIT_ASSERT(origins.TakeStoreChanges().empty());
  }

  // Guards against streams that began before a second version appeared and
  // whose host is lost afterwards.
  void RunningAndBrokenStreamsFollowWhenAServiceIsAnnounced()
  {
    StreamOrigins origins;
    origins.OnBegun(Origin(1, "v1"), At(0));
    origins.OnBegun(Origin(2, "v1"), At(0));
    origins.OnEnded(2, false, At(10));
    origins.OnBegun(Origin(3, "v1"), At(0));
    origins.OnEnded(3, true, At(10));
    origins.OnReported(Origin(4, "v1"), OriginSource::Peer, At(10));
    origins.SetAnnouncedServices({ "pool" }, At(20));
    std::set<std::uint64_t> keys;
    for (const StreamOrigin& it : origins.TakeNews(At(20), 9)) {
      keys.insert(it.mKey);
    }
    CPPUNIT_ASSERT(keys == (std::set<std::uint64_t>{ 1, 2 }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), origins.TakeStoreChanges().size());
    // A stream that is taken up here is announced again.
    origins.OnBegun(Origin(4, "v1"), At(30));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4),
                         origins.TakeNews(At(30), 9).at(0).mKey);
  }

  void CompleteStreamsLeaveTheStore()
  {
    StreamOrigins origins;
    origins.SetAnnouncedServices({ "pool" }, At(0));
    origins.OnBegun(Origin(1, "v1"), At(0));
    CPPUNIT_ASSERT(!origins.TakeStoreChanges().at(0).mRemoved);
    origins.OnEnded(1, false, At(100));
    CPPUNIT_ASSERT(origins.TakeStoreChanges().empty());
    origins.OnBegun(Origin(1, "v1"), At(200));
    origins.OnEnded(1, true, At(300));
    CPPUNIT_ASSERT(origins.TakeStoreChanges().at(0).mRemoved);
    // A stream that is over before it was stored needs no call.
    origins.OnBegun(Origin(2, "v1"), At(400));
    origins.OnEnded(2, true, At(410));
    CPPUNIT_ASSERT(origins.TakeStoreChanges().empty());
    CPPUNIT_ASSERT(origins.TakeNews(At(420), 9).empty());
    CPPUNIT_ASSERT(origins.Find(2, At(420)).has_value());
  }

  void StoredOriginsAreStoredAgainByTheHostOfTheirStream()
  {
    const auto keys = [](StreamOrigins& aOrigins) {
      std::set<std::uint64_t> stored;
      for (const auto& it : aOrigins.TakeStoreChanges()) {
        CPPUNIT_ASSERT(!it.mRemoved);
        stored.insert(it.mOrigin.mKey);
      }
      return stored;
    };
    StreamOrigins origins;
    origins.SetAnnouncedServices({ "pool" }, At(0));
    // Running, broken off, complete, taken up by another host, of another host.
    for (const int n : { 1, 2, 3, 4 }) {
      origins.OnBegun(Origin(static_cast<std::uint64_t>(n), "v1"), At(0));
    }
    origins.OnEnded(2, false, At(10));
    origins.OnEnded(4, false, At(10));
    origins.OnReported(Origin(5, "v1"), OriginSource::Peer, At(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), keys(origins).size());
    origins.OnEnded(3, true, At(30));
    CPPUNIT_ASSERT(origins.TakeStoreChanges().front().mRemoved);
    for (const int ms : { 40, 600 }) {
      origins.TakeNews(At(ms), 9);
    }
    origins.OnReported(Origin(1, "v1"), OriginSource::Peer, At(700));
    origins.OnReported(Origin(2, "v1"), OriginSource::Store, At(700));
    origins.OnReported(Origin(4, "v1"), OriginSource::Peer, At(700));
    origins.StoreAgain(At(1000));
    CPPUNIT_ASSERT(keys(origins) == (std::set<std::uint64_t>{ 1, 2 }));
    // It is back at this host.
    origins.OnBegun(Origin(4, "v1"), At(1100));
    origins.StoreAgain(At(1200));
    CPPUNIT_ASSERT(keys(origins) == (std::set<std::uint64_t>{ 1, 2, 4 }));
    origins.StoreAgain(At(10 + kLifetimeMs * 2));
    CPPUNIT_ASSERT(keys(origins) == (std::set<std::uint64_t>{ 1, 4 }));
    for (std::uint64_t n = 10; n < 10 + StreamOrigins::kMaxStoredAgain; ++n) {
      origins.OnBegun(Origin(n, "v1"), At(300000));
    }
    keys(origins);
    origins.StoreAgain(At(300100));
    const auto newest = keys(origins);
    CPPUNIT_ASSERT_EQUAL(StreamOrigins::kMaxStoredAgain, newest.size());
    CPPUNIT_ASSERT(newest.count(1) == 0);
  }

  void OriginsExpireAndAreBounded()
  {
    StreamOrigins origins(100);
    for (std::uint64_t n = 0; n < 300; ++n) {
      origins.OnReported(
        Origin(n, "v1"), OriginSource::Peer, At(static_cast<int>(n)));
      CPPUNIT_ASSERT(origins.Size() <= 100);
    }
    CPPUNIT_ASSERT(!origins.Find(199, At(300)));
    CPPUNIT_ASSERT(origins.Find(200, At(300)));
    origins.OnReported(Origin(250, "v1"), OriginSource::Peer, At(60000));
    CPPUNIT_ASSERT(!origins.Find(299, At(kLifetimeMs + 300)));
    CPPUNIT_ASSERT(origins.Find(250, At(kLifetimeMs + 300)));
    CPPUNIT_ASSERT(!origins.Find(250, At(2 * kLifetimeMs + 300)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), origins.Size());
  }

  void RunningStreamsStayKnown()
  {
    StreamOrigins origins;
    origins.OnBegun(Origin(1, "v1"), At(0));
    CPPUNIT_ASSERT(origins.Find(1, At(3 * kLifetimeMs)));
    origins.OnReported(Origin(1, "v2"), OriginSource::Peer, At(1));
    CPPUNIT_ASSERT_EQUAL(std::string("v1"),
                         origins.Find(1, At(2))->mOrigin.mSoftwareVersion);
    origins.OnEnded(1, false, At(4 * kLifetimeMs));
    CPPUNIT_ASSERT(origins.Find(1, At(4 * kLifetimeMs + 1)));
    CPPUNIT_ASSERT(!origins.Find(1, At(6 * kLifetimeMs)));
  }

  void VersionsOfUnknownTargetsAreReplaced()
  {
    StreamOrigins origins;
    origins.OnReported(Origin(1, "?"), OriginSource::Peer, At(0));
    origins.RenameVersion("pool", "?", "v1");
    CPPUNIT_ASSERT_EQUAL(std::string("v1"),
                         origins.Find(1, At(1))->mOrigin.mSoftwareVersion);
    VersionHistory history(kWindow);
    history.OnRegistered({ { "pool", { "v1", "?" } } }, At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), history.MixedServices(At(1)).size());
    history.Rename("pool", "?", "v1");
    CPPUNIT_ASSERT(history.MixedServices(At(1)).empty());
  }

  // Guards against a host that has just started and takes the only version that
  // it sees for the only one that there was.
  void VersionIsUncertainUntilItWasWatchedLongEnough()
  {
    VersionHistory history(kWindow);
    history.OnRegistered({ { "pool", { "v2" } } }, At(0));
    CPPUNIT_ASSERT(!history.IsComplete(At(0)));
    Watch(history, 0, kWindowMs);
    CPPUNIT_ASSERT(!history.IsComplete(At(kWindowMs - 1)));
    CPPUNIT_ASSERT(history.IsComplete(At(kWindowMs)));
    CPPUNIT_ASSERT(history.RecentVersions("pool", At(kWindowMs)) ==
                   std::set<std::string>{ "v2" });
  }

  // Guards against a host that was frozen or cut off while another version
  // appeared.
  void VersionIsUncertainAfterAGap()
  {
    VersionHistory history(kWindow);
    history.OnRegistered({ { "pool", { "v1" } } }, At(0));
    Watch(history, 0, kWindowMs);
    CPPUNIT_ASSERT(history.IsComplete(At(kWindowMs + 1000)));
    CPPUNIT_ASSERT(!history.IsComplete(At(kWindowMs + 3000)));
    history.OnKnownAsOf(At(kWindowMs + 9000));
    CPPUNIT_ASSERT(!history.IsComplete(At(kWindowMs + 9000)));
    history.OnRecorded({ { "pool", { "v1" } } }, At(kWindowMs + 9000));
    CPPUNIT_ASSERT(history.IsComplete(At(kWindowMs + 9000)));
    CPPUNIT_ASSERT(!history.IsObserved(At(kWindowMs + 9000)));
    // Another host provides the record together with its rows.
    history.OnRecorded({ { "pool", { "v1" } } }, At(kWindowMs + 20000));
    CPPUNIT_ASSERT(!history.IsComplete(At(kWindowMs + 20000)));
    history.OnKnownAsOf(At(kWindowMs + 19500));
    CPPUNIT_ASSERT(history.IsComplete(At(kWindowMs + 20000)));
    history.OnKnownAsOf(At(kWindowMs + 25000));
    CPPUNIT_ASSERT(!history.IsComplete(At(kWindowMs + 25000)));
  }

  void FormerVersionCountsForTheLifeOfAStream()
  {
    VersionHistory history(kWindow);
    history.OnRegistered({ { "pool", { "v1" } } }, At(0));
    Watch(history, 0, 100000);
    history.OnRegistered({ { "pool", { "v1", "v2" } } }, At(100000));
    history.OnRegistered({ { "pool", { "v2" } } }, At(110000));
    Watch(history, 100000, 200000);
    CPPUNIT_ASSERT_EQUAL(
      std::size_t(1), history.MixedServices(At(110000 + kWindowMs - 1)).size());
    CPPUNIT_ASSERT(history.MixedServices(At(110000 + kWindowMs)).empty());
    CPPUNIT_ASSERT(!history.WasObserved("pool", "v1", At(180000)));
    CPPUNIT_ASSERT(history.WasObserved("pool", "v2", At(180000)));
  }

  void RecordedVersionsCompleteTheHistory()
  {
    VersionHistory history(kWindow);
    history.OnRegistered({ { "pool", { "v2" } } }, At(0));
    Watch(history, 0, 1000);
    history.OnRecorded({ { "pool", { "v1", "v2" } } }, At(1000));
    CPPUNIT_ASSERT(history.IsComplete(At(1000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         history.MixedServices(At(1000)).size());
    CPPUNIT_ASSERT(!history.WasObserved("pool", "v1", At(1000)));
    Watch(history, 1000, 1000 + kWindowMs);
    CPPUNIT_ASSERT(history.MixedServices(At(1000 + kWindowMs)).empty());
    // This host knows better by now.
    history.OnRecorded({ { "pool", { "v1", "v2" } } }, At(1000 + kWindowMs));
    CPPUNIT_ASSERT(history.MixedServices(At(1000 + kWindowMs)).empty());
  }

  void UnknownOriginGoesOnOnlyAtASingleVersion()
  {
    StreamOrigins origins;
    VersionHistory history(kWindow);
    history.OnRegistered({ { "pool", { "v1" } }, { "b", { "w1" } } }, At(0));
    const auto decide = [&](const TakeUpRequest& aRequest, int aMs) {
      return DecideTakeUp(aRequest, origins, history, At(aMs));
    };
    Watch(history, 0, kWindowMs);
    CPPUNIT_ASSERT(decide(Request(1), 1000).mStatus == TakeUpStatus::Unknown);
    const TakeUp only = decide(Request(1), kWindowMs);
    CPPUNIT_ASSERT(only.mStatus == TakeUpStatus::Known);
    CPPUNIT_ASSERT(only.mSource == OriginSource::OnlyVersion);
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), only.mSoftwareVersion);
    TakeUpRequest split = Request(1);
    split.mServices = { "pool", "empty", "b" };
    split.mDefaultService = "b";
    CPPUNIT_ASSERT_EQUAL(std::string("w1"),
                         decide(split, kWindowMs).mSoftwareVersion);
    split.mDefaultService = "empty";
    CPPUNIT_ASSERT_EQUAL(std::string("v1"),
                         decide(split, kWindowMs).mSoftwareVersion);
    history.OnRegistered({ { "pool", { "v1", "v2" } }, { "b", { "w1" } } },
                         At(kWindowMs));
    for (const auto& it : { Request(1), split, TakeUpRequest() }) {
      CPPUNIT_ASSERT(decide(it, kWindowMs).mStatus == TakeUpStatus::Unknown);
    }
    origins.OnReported(Origin(1, "v2"), OriginSource::Peer, At(kWindowMs));
    CPPUNIT_ASSERT_EQUAL(std::string("v2"),
                         decide(Request(1), kWindowMs).mSoftwareVersion);
    TakeUpRequest unnamed = Request(1);
    unnamed.mKey.reset();
    CPPUNIT_ASSERT(decide(unnamed, kWindowMs).mStatus == TakeUpStatus::Unknown);
  }

  void OriginNeedsItsService()
  {
    StreamOrigins origins;
    const VersionHistory history(kWindow);
    origins.OnReported(Origin(1, "v1"), OriginSource::Store, At(0));
    TakeUpRequest request = Request(1);
    request.mServices = { "other", "pool" };
    request.mDefaultService = "other";
    const TakeUp known = DecideTakeUp(request, origins, history, At(1));
    CPPUNIT_ASSERT(known.mStatus == TakeUpStatus::Known);
    CPPUNIT_ASSERT_EQUAL(std::string("pool"), known.mService);
    request.mServices = { "other" };
    CPPUNIT_ASSERT(DecideTakeUp(request, origins, history, At(1)).mStatus ==
                   TakeUpStatus::ServiceGone);
  }

  // Guards against streams that go on at another version at a host to which the
  // news of their origin came late or not at all.
  void TakeUpsNeverChangeTheVersion()
  {
    CheckProperty("a take-up is refused or goes on at its version", [] {
      StreamOrigins origins;
      VersionHistory history(kWindow);
      std::set<std::string> registered = { "v1" };
      int changedAt = 0;
      int lookAt = 0;
      int pause = *rc::gen::inRange(500, 4000);
      struct Begun
      {
        int mAt;
        std::string mVersion;
      };
      std::vector<Begun> begun;
      bool taken = false;
      for (int now = 0; now < 200000; now += 500) {
        if (now - changedAt >= 4000 && *rc::gen::inRange(0, 60) == 0) {
          registered = *rc::gen::element(std::set<std::string>{ "v1" },
                                         std::set<std::string>{ "v2" },
                                         std::set<std::string>{ "v1", "v2" });
          changedAt = now;
        }
        const auto key = begun.size();
        begun.push_back({ now, *registered.begin() });
        if (*rc::gen::inRange(0, 2) == 0) {
          origins.OnReported(
            Origin(key, begun[key].mVersion), OriginSource::Peer, At(now));
        }
        if (now >= lookAt) {
          history.OnRegistered({ { "pool", registered } }, At(now));
          history.OnKnownAsOf(At(now));
          // Mostly regular, with gaps in which this host learns nothing.
          lookAt = now + (*rc::gen::inRange(0, 50) == 0 ? pause : 500);
        }
        const std::size_t back = *rc::gen::inRange<std::size_t>(4, 120);
        if (back >= begun.size()) {
          continue;
        }
        const std::size_t chosen = begun.size() - 1 - back;
        const TakeUp takeUp =
          DecideTakeUp(Request(chosen), origins, history, At(now));
        if (takeUp.mStatus == TakeUpStatus::Known) {
          RC_ASSERT(takeUp.mSoftwareVersion == begun[chosen].mVersion);
          taken = true;
        }
      }
      RC_ASSERT(taken);
    });
  }

  void RowsAreReadBack()
  {
    CheckProperty("rows of origins and versions are read back", [] {
      StreamOrigins::StoreChange change;
      change.mOrigin.mKey = *rc::gen::arbitrary<std::uint64_t>();
      change.mOrigin.mService = *rc::gen::string<std::string>();
      change.mOrigin.mSoftwareVersion = *rc::gen::string<std::string>();
      const auto row = FormatOriginRow(change, 1234);
      const auto read = ParseOriginRow({ row.mKey, *row.mValue, 1, false });
      RC_ASSERT(read && read->mOrigin && read->mWrittenAtMs == 1234);
      RC_ASSERT(read->mOrigin->mKey == change.mOrigin.mKey);
      RC_ASSERT(read->mOrigin->mService == change.mOrigin.mService);
      RC_ASSERT(read->mOrigin->mSoftwareVersion ==
                change.mOrigin.mSoftwareVersion);
      const auto version = FormatVersionRow(
        change.mOrigin.mService, change.mOrigin.mSoftwareVersion, 77);
      const auto parsed =
        ParseOriginRow({ version.mKey, *version.mValue, 1, false });
      RC_ASSERT(parsed && !parsed->mOrigin);
      RC_ASSERT(parsed->mSoftwareVersion == change.mOrigin.mSoftwareVersion);
      change.mRemoved = true;
      RC_ASSERT(!FormatOriginRow(change, 1).mValue);
      const auto bytes = *rc::gen::string<std::string>();
      RC_ASSERT(!ParseOriginRow({ "0123", *row.mValue, 1, false }));
      ParseOriginRow({ row.mKey, bytes, 1, false });
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginTests);
