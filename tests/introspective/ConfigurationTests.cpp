#include "FakeStore.h"
#include "Property.h"

#include "config/Snapshot.h"
#include "config/SnapshotStore.h"
#include "control/ResourceStore.h"
#include "core/ConfigurationFreshness.h"
#include "wire/Json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <thread>

using namespace quetzalquay;

namespace {

Time
At(int aMs)
{
  return Time(std::chrono::milliseconds(aMs));
}

ResourceChange
PlaceChange(const std::string& aName,
            const std::string& aRegion,
            std::optional<unsigned> aIfVersion = std::nullopt)
{
  schema::Place place;
  place.set_name(aName);
  place.set_region(aRegion);
  ResourceChange change;
  change.mKind = "places";
  change.mName = aName;
  change.mValue = ToCompactJson(place);
  change.mIfVersion = aIfVersion;
  return change;
}

// Resource store whose clock advances by 100 ms each time it is read, so that
// every write reaches its deadline.
class SteppedClockStore
{
public:
  explicit SteppedClockStore(FakeStore& aStore)
    : mResources(
        aStore,
        [this] { return At(mNowMs += 100); },
        [](Duration) {})
  {
  }

  ChangeResult Apply(const ResourceChange& aChange,
                     const std::string& aOperationId,
                     int aTimeoutMs = 600)
  {
    return mResources.Apply({ aChange }, aOperationId, At(mNowMs + aTimeoutMs));
  }

  ResourceTable Load()
  {
    ResourceTable table;
    CPPUNIT_ASSERT(mResources.Load(table) == StoreOutcome::Done);
    return table;
  }

private:
  int mNowMs = 0;
  ResourceStore mResources;
};

} // namespace

class ConfigurationTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationTests);
  CPPUNIT_TEST(ConcurrentWritesGetDistinctRevisions);
  CPPUNIT_TEST(RepeatedOperationReturnsFirstOutcome);
  CPPUNIT_TEST(WriteWithStaleVersionConflicts);
  CPPUNIT_TEST(InvalidResourcesAreRejected);
  CPPUNIT_TEST(SnapshotRevisionNeverDecreases);
  CPPUNIT_TEST(RouterBehindAKnownRevisionStopsServing);
  CPPUNIT_TEST(IsolatedRouterStopsServing);
  CPPUNIT_TEST(RouterInMajorityServesDuringStoreOutage);
  CPPUNIT_TEST(ResumedRouterServesOnlyAfterReconfirming);
  CPPUNIT_TEST_SUITE_END();

public:
  void ConcurrentWritesGetDistinctRevisions()
  {
    CheckProperty("each accepted write has a distinct revision", [] {
      FakeStore store;
      std::set<unsigned> revisions;
      unsigned highest = 0;
      const int writes = *rc::gen::inRange(1, 12);
      // Interleaves writes of a second operator with the store calls of each
      // write.
      SteppedClockStore other(store);
      int nested = 0;
      store.mFailureMode = [&] {
        if (nested == 0 && *rc::gen::inRange(0, 6) == 0) {
          ++nested;
          const auto result =
            other.Apply(PlaceChange("shared", "other"),
                        "other-" + std::to_string(*rc::gen::inRange(0, 1000)));
          --nested;
          if (result.mStatus == ChangeStatus::Accepted) {
            highest = std::max(highest, result.mRevision);
          }
        }
        return static_cast<FakeStore::FailureMode>(
          *rc::gen::weightedElement<int>({ { 8, FakeStore::Healthy },
                                           { 1, FakeStore::Down },
                                           { 1, FakeStore::ResponseLost },
                                           { 1, FakeStore::RequestLost } }));
      };
      SteppedClockStore one(store);
      std::set<std::string> accepted;
      for (int n = 0; n < writes; ++n) {
        const std::string name = "place-" + std::to_string(n);
        const auto result =
          one.Apply(PlaceChange(name, "one"), "one-" + std::to_string(n));
        RC_ASSERT(result.mStatus != ChangeStatus::Conflict);
        if (result.mStatus == ChangeStatus::Accepted) {
          RC_ASSERT(revisions.insert(result.mRevision).second);
          accepted.insert(name);
          highest = std::max(highest, result.mRevision);
        }
      }
      store.mFailureMode = nullptr;
      const ResourceTable table = one.Load();
      RC_ASSERT(table.Revision() >= highest);
      for (const std::string& it : accepted) {
        RC_ASSERT(table.Find("places", it) != nullptr);
      }
    });
  }

  void RepeatedOperationReturnsFirstOutcome()
  {
    FakeStore store;
    SteppedClockStore operators(store);
    const auto first = operators.Apply(PlaceChange("a", "r", 0u), "op-1");
    const auto other = operators.Apply(PlaceChange("b", "r"), "op-2");
    const auto again = operators.Apply(PlaceChange("a", "r", 0u), "op-1");
    CPPUNIT_ASSERT(first.mStatus == ChangeStatus::Accepted);
    CPPUNIT_ASSERT(again.mStatus == ChangeStatus::Accepted);
    CPPUNIT_ASSERT_EQUAL(first.mRevision, again.mRevision);
    CPPUNIT_ASSERT_EQUAL(other.mRevision, operators.Load().Revision());
  }

  void WriteWithStaleVersionConflicts()
  {
    FakeStore store;
    SteppedClockStore operators(store);
    const auto first = operators.Apply(PlaceChange("a", "r"), "op-1");
    const auto second =
      operators.Apply(PlaceChange("a", "s", first.mVersion), "op-2");
    const auto stale =
      operators.Apply(PlaceChange("a", "t", first.mVersion), "op-3");
    CPPUNIT_ASSERT(second.mStatus == ChangeStatus::Accepted);
    CPPUNIT_ASSERT(stale.mStatus == ChangeStatus::Conflict);
    CPPUNIT_ASSERT_EQUAL(second.mVersion, stale.mCurrent.mVersion);
    CPPUNIT_ASSERT(stale.mCurrent.mValue.find("\"s\"") != std::string::npos);
    const auto again = operators.Apply(PlaceChange("a", "u", 0u), "op-4");
    CPPUNIT_ASSERT(again.mStatus == ChangeStatus::Conflict);
  }

  void InvalidResourcesAreRejected()
  {
    FakeStore store;
    SteppedClockStore operators(store);
    ResourceChange change = PlaceChange("a", "r");
    change.mName = "b";
    RequireInvalid(operators, change);
    change.mValue = "{\"nane\":\"b\"}";
    RequireInvalid(operators, change);
    change.mKind = "models";
    change.mName = "m";
    change.mValue = R"({"name":"m","serving_version":"1"})";
    RequireInvalid(operators, change);
    change.mValue.clear();
    CPPUNIT_ASSERT(operators.Apply(change, "op-9").mStatus ==
                   ChangeStatus::NotFound);
    CPPUNIT_ASSERT_EQUAL(0u, operators.Load().Revision());
  }

  void SnapshotRevisionNeverDecreases()
  {
    CheckProperty("readers never see the revision decrease", [] {
      SnapshotStore store;
      unsigned highest = 0;
      const auto revisions =
        *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(1u, 50u));
      for (const unsigned it : revisions) {
        schema::Configuration configuration;
        configuration.set_revision(it);
        store.Replace(new Snapshot(configuration));
        highest = std::max(highest, it);
        const SnapshotReader reader(store);
        RC_ASSERT(reader->Revision() == highest);
        RC_ASSERT(store.Revision() == highest);
      }
    });
  }

  void RouterBehindAKnownRevisionStopsServing()
  {
    CheckProperty("a router stops serving an outdated revision in 1 s", [] {
      ConfigurationFreshness freshness(*rc::gen::inRange(1, 9));
      int now = 0;
      unsigned knownRevision = 0;
      int knownSince = 0;
      for (int n = 0; n < 40; ++n) {
        now += *rc::gen::inRange(0, 3000);
        const auto revision = *rc::gen::inRange(0u, 10u);
        switch (*rc::gen::inRange(0, 3)) {
          case 0:
            freshness.OnApplied(revision);
            break;
          case 1:
            freshness.OnStoreRead(revision, At(now));
            break;
          default:
            freshness.OnPeerReport("p" +
                                     std::to_string(*rc::gen::inRange(0, 8)),
                                   revision,
                                   *rc::gen::arbitrary<bool>(),
                                   At(now));
            break;
        }
        if (freshness.LatestKnownRevision() > knownRevision) {
          knownRevision = freshness.LatestKnownRevision();
          knownSince = now;
        }
        const bool serves = freshness.ServeUntil(At(now)) > At(now);
        RC_ASSERT(!serves || freshness.AppliedRevision() > 0u);
        RC_ASSERT(!serves || freshness.AppliedRevision() >= knownRevision ||
                  now < knownSince + 1000);
      }
    });
  }

  void IsolatedRouterStopsServing()
  {
    ConfigurationFreshness freshness(7);
    freshness.OnApplied(3);
    freshness.OnStoreRead(3, At(0));
    CPPUNIT_ASSERT(freshness.ServeUntil(At(1)) > At(3000));
    CPPUNIT_ASSERT(freshness.ServeUntil(At(1)) < At(5000));
    // Peers that cannot reach the store either: with two of them, this router
    // is in contact with three of the seven routers, which is no majority.
    freshness.OnPeerReport("p1", 3, false, At(4900));
    freshness.OnPeerReport("p2", 3, false, At(4900));
    CPPUNIT_ASSERT(freshness.ServeUntil(At(5000)) <= At(5000));
    freshness.OnPeerReport("p3", 3, true, At(5000));
    CPPUNIT_ASSERT(freshness.ServeUntil(At(5000)) > At(5000));
  }

  void RouterInMajorityServesDuringStoreOutage()
  {
    ConfigurationFreshness freshness(7);
    freshness.OnApplied(3);
    for (int now = 0; now < 600000; now += 1000) {
      for (const char* peer : { "p1", "p2", "p3" }) {
        freshness.OnPeerReport(peer, 3, false, At(now));
      }
      CPPUNIT_ASSERT(freshness.ServeUntil(At(now)) > At(now));
    }
  }

  void ResumedRouterServesOnlyAfterReconfirming()
  {
    ConfigurationFreshness freshness(3);
    freshness.OnApplied(3);
    freshness.OnStoreRead(3, At(0));
    freshness.OnPeerReport("p1", 3, true, At(0));
    const int resumedAt = 3600000;
    CPPUNIT_ASSERT(freshness.ServeUntil(At(resumedAt)) <= At(resumedAt));
    freshness.OnStoreRead(9, At(resumedAt + 10));
    CPPUNIT_ASSERT(freshness.ServeUntil(At(resumedAt + 10)) <=
                   At(resumedAt + 1010));
    freshness.OnApplied(9);
    CPPUNIT_ASSERT(freshness.ServeUntil(At(resumedAt + 20)) >
                   At(resumedAt + 2000));
  }

private:
  static void RequireInvalid(SteppedClockStore& aOperators,
                             const ResourceChange& aChange)
  {
    const auto result = aOperators.Apply(aChange, "op");
    CPPUNIT_ASSERT(result.mStatus == ChangeStatus::Invalid);
    CPPUNIT_ASSERT(!result.mReason.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTests);
