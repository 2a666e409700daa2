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

// Store whose clock moves with each call, so that every try ends.
class SteppedStore
{
public:
  explicit SteppedStore(FakeStore& aStore)
    : mResources(
        aStore,
        [this] { return At(mNowMs += 100); },
        [](Duration) {})
  {
  }

  ChangeResult Apply(const ResourceChange& aChange,
                     const std::string& aOperation,
                     int aForMs = 600)
  {
    return mResources.Apply({ aChange }, aOperation, At(mNowMs + aForMs));
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
  CPPUNIT_TEST(RacingOperatorsMakeOneLine);
  CPPUNIT_TEST(RepeatingAnOperationIsHarmless);
  CPPUNIT_TEST(AnOldVersionConflicts);
  CPPUNIT_TEST(InvalidResourcesAreRefused);
  CPPUNIT_TEST(SnapshotsOnlyGoUp);
  CPPUNIT_TEST(AStaleRouterDoesNotServe);
  CPPUNIT_TEST(AnIsolatedRouterStopsServing);
  CPPUNIT_TEST(AMajorityServesOnWithoutTheStore);
  CPPUNIT_TEST(AWokenRouterAsksFirst);
  CPPUNIT_TEST_SUITE_END();

public:
  void RacingOperatorsMakeOneLine()
  {
    CheckProperty("each accepted write has a revision of its own", [] {
      FakeStore store;
      std::set<unsigned> revisions;
      unsigned highest = 0;
      const int writes = *rc::gen::inRange(1, 12);
      // Calls of the other operator come in between the calls of one write.
      SteppedStore other(store);
      int nested = 0;
      store.mMood = [&] {
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
        return static_cast<FakeStore::Mood>(
          *rc::gen::weightedElement<int>({ { 8, FakeStore::Healthy },
                                           { 1, FakeStore::Down },
                                           { 1, FakeStore::LosesAnswer },
                                           { 1, FakeStore::LosesCall } }));
      };
      SteppedStore one(store);
      std::set<std::string> surely;
      for (int n = 0; n < writes; ++n) {
        const std::string name = "place-" + std::to_string(n);
        const auto result =
          one.Apply(PlaceChange(name, "one"), "one-" + std::to_string(n));
        RC_ASSERT(result.mStatus != ChangeStatus::Conflict);
        if (result.mStatus == ChangeStatus::Accepted) {
          RC_ASSERT(revisions.insert(result.mRevision).second);
          surely.insert(name);
          highest = std::max(highest, result.mRevision);
        }
      }
      store.mMood = nullptr;
      const ResourceTable table = one.Load();
      RC_ASSERT(table.Revision() >= highest);
      for (const std::string& it : surely) {
        RC_ASSERT(table.Find("places", it) != nullptr);
      }
    });
  }

  void RepeatingAnOperationIsHarmless()
  {
    FakeStore store;
    SteppedStore operators(store);
    const auto first = operators.Apply(PlaceChange("a", "r", 0u), "op-1");
    const auto other = operators.Apply(PlaceChange("b", "r"), "op-2");
    const auto again = operators.Apply(PlaceChange("a", "r", 0u), "op-1");
    CPPUNIT_ASSERT(first.mStatus == ChangeStatus::Accepted);
    CPPUNIT_ASSERT(again.mStatus == ChangeStatus::Accepted);
    CPPUNIT_ASSERT_EQUAL(first.mRevision, again.mRevision);
    CPPUNIT_ASSERT_EQUAL(other.mRevision, operators.Load().Revision());
  }

  void AnOldVersionConflicts()
  {
    FakeStore store;
    SteppedStore operators(store);
    const auto first = operators.Apply(PlaceChange("a", "r"), "op-1");
    const auto second =
      operators.Apply(PlaceChange("a", "s", first.mVersion), "op-2");
    const auto late =
      operators.Apply(PlaceChange("a", "t", first.mVersion), "op-3");
    CPPUNIT_ASSERT(second.mStatus == ChangeStatus::Accepted);
    CPPUNIT_ASSERT(late.mStatus == ChangeStatus::Conflict);
    CPPUNIT_ASSERT_EQUAL(second.mVersion, late.mCurrent.mVersion);
    CPPUNIT_ASSERT(late.mCurrent.mValue.find("\"s\"") != std::string::npos);
    const auto again = operators.Apply(PlaceChange("a", "u", 0u), "op-4");
    CPPUNIT_ASSERT(again.mStatus == ChangeStatus::Conflict);
  }

  void InvalidResourcesAreRefused()
  {
    FakeStore store;
    SteppedStore operators(store);
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

  void SnapshotsOnlyGoUp()
  {
    CheckProperty("readers never see a revision go back", [] {
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

  void AStaleRouterDoesNotServe()
  {
    CheckProperty("no router serves below what it was told of for long", [] {
      ConfigurationFreshness freshness(*rc::gen::inRange(1, 9));
      int now = 0;
      unsigned told = 0;
      int toldAt = 0;
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
            freshness.OnPeer("p" + std::to_string(*rc::gen::inRange(0, 8)),
                             revision,
                             *rc::gen::arbitrary<bool>(),
                             At(now));
            break;
        }
        if (freshness.Heard() > told) {
          told = freshness.Heard();
          toldAt = now;
        }
        const bool serves = freshness.ServeUntil(At(now)) > At(now);
        RC_ASSERT(!serves || freshness.Applied() > 0u);
        RC_ASSERT(!serves || freshness.Applied() >= told ||
                  now < toldAt + 1000);
      }
    });
  }

  void AnIsolatedRouterStopsServing()
  {
    ConfigurationFreshness freshness(7);
    freshness.OnApplied(3);
    freshness.OnStoreRead(3, At(0));
    CPPUNIT_ASSERT(freshness.ServeUntil(At(1)) > At(3000));
    CPPUNIT_ASSERT(freshness.ServeUntil(At(1)) < At(5000));
    // Two others that are cut off as well do not help.
    freshness.OnPeer("p1", 3, false, At(4900));
    freshness.OnPeer("p2", 3, false, At(4900));
    CPPUNIT_ASSERT(freshness.ServeUntil(At(5000)) <= At(5000));
    freshness.OnPeer("p3", 3, true, At(5000));
    CPPUNIT_ASSERT(freshness.ServeUntil(At(5000)) > At(5000));
  }

  void AMajorityServesOnWithoutTheStore()
  {
    ConfigurationFreshness freshness(7);
    freshness.OnApplied(3);
    for (int now = 0; now < 600000; now += 1000) {
      for (const char* peer : { "p1", "p2", "p3" }) {
        freshness.OnPeer(peer, 3, false, At(now));
      }
      CPPUNIT_ASSERT(freshness.ServeUntil(At(now)) > At(now));
    }
  }

  void AWokenRouterAsksFirst()
  {
    ConfigurationFreshness freshness(3);
    freshness.OnApplied(3);
    freshness.OnStoreRead(3, At(0));
    freshness.OnPeer("p1", 3, true, At(0));
    const int wokenAt = 3600000;
    CPPUNIT_ASSERT(freshness.ServeUntil(At(wokenAt)) <= At(wokenAt));
    freshness.OnStoreRead(9, At(wokenAt + 10));
    CPPUNIT_ASSERT(freshness.ServeUntil(At(wokenAt + 10)) <=
                   At(wokenAt + 1010));
    freshness.OnApplied(9);
    CPPUNIT_ASSERT(freshness.ServeUntil(At(wokenAt + 20)) > At(wokenAt + 2000));
  }

private:
  static void RequireInvalid(SteppedStore& aOperators,
                             const ResourceChange& aChange)
  {
    const auto result = aOperators.Apply(aChange, "op");
    CPPUNIT_ASSERT(result.mStatus == ChangeStatus::Invalid);
    CPPUNIT_ASSERT(!result.mReason.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTests);
