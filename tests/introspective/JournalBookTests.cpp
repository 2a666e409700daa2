#include "Property.h"

#include "core/JournalPlanner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace quetzalquay;

namespace {

Time
At(int aSeconds)
{
  return Time(std::chrono::seconds(aSeconds));
}

std::vector<int>
Tokens(int aCount)
{
  std::vector<int> tokens;
  for (int n = 0; n < aCount; ++n) {
    tokens.push_back(n * 31 + 7);
  }
  return tokens;
}

} // namespace

class JournalBookTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JournalBookTests);
  CPPUNIT_TEST(DurableTokensCanBeReadBack);
  CPPUNIT_TEST(ShortStreamIsNotWritten);
  CPPUNIT_TEST(ObjectOfEndedStreamExpiresAfterRetention);
  CPPUNIT_TEST(ForeignOrIncompletePartsAreNotReadBack);
  CPPUNIT_TEST_SUITE_END();

public:
  void DurableTokensCanBeReadBack()
  {
    CheckProperty(
      "the objects of a position hold all of its durable tokens", [] {
        JournalPlanner planner;
        std::map<std::uint32_t, std::vector<JournalPart>> store;
        std::vector<int> lengths(3, 0);
        std::vector<std::string> generations(3, "g");
        const int steps = *rc::gen::inRange(1, 80);
        for (int n = 0; n < steps; ++n) {
          const auto stream = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
          lengths[stream] += *rc::gen::inRange(1, 60);
          if (*rc::gen::inRange(0, 12) == 0) {
            // The request is restarted as a new generation.
            lengths[stream] = 1;
            generations[stream] += "'";
          }
          const std::string id = "r" + std::to_string(stream);
          const auto tokens = Tokens(lengths[stream]);
          const JournalPosition position =
            planner.Update(id, generations[stream], tokens, At(n));
          RequireReadable(store, position, id, generations[stream], tokens);
          if (*rc::gen::arbitrary<bool>()) {
            const auto sequence = static_cast<std::uint32_t>(n + 1);
            const auto parts = planner.CollectParts(sequence);
            // If the store's response is lost, the object exists but no
            // position refers to it.
            const bool stored = *rc::gen::arbitrary<bool>();
            const bool acknowledged = stored && *rc::gen::arbitrary<bool>();
            if (stored) {
              store[sequence] = parts;
            }
            planner.OnWritten(acknowledged, At(n));
          }
          for (const std::uint32_t it : planner.TakeExpired(At(n))) {
            store.erase(it);
          }
        }
      });
  }

  void ShortStreamIsNotWritten()
  {
    JournalPlanner planner;
    planner.Update("r", "g", Tokens(JournalPlanner::kMinTokens - 1), At(0));
    CPPUNIT_ASSERT(planner.CollectParts(1).empty());
    planner.Update("r", "g", Tokens(JournalPlanner::kMinTokens), At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), planner.CollectParts(2).size());
  }

  void ObjectOfEndedStreamExpiresAfterRetention()
  {
    JournalPlanner planner;
    planner.Update("r", "g", Tokens(100), At(0));
    planner.CollectParts(1);
    planner.OnWritten(true, At(1));
    planner.RemoveStream("r", At(2));
    CPPUNIT_ASSERT(planner.TakeExpired(At(30)).empty());
    const auto expired = planner.TakeExpired(At(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), expired.size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), expired[0]);
  }

  void ForeignOrIncompletePartsAreNotReadBack()
  {
    JournalPart part;
    part.mRequestId = "r";
    part.mGeneration = "g1";
    part.mTokens = Tokens(5);
    CPPUNIT_ASSERT(AssembleTokens({ part }, "r", "g2").empty());
    CPPUNIT_ASSERT(AssembleTokens({ part }, "s", "g1").empty());
    part.mFrom = 2;
    CPPUNIT_ASSERT(AssembleTokens({ part }, "r", "g1").empty());
  }

private:
  static void RequireReadable(
    const std::map<std::uint32_t, std::vector<JournalPart>>& aStore,
    const JournalPosition& aPosition,
    const std::string& aId,
    const std::string& aGeneration,
    const std::vector<int>& aTokens)
  {
    RC_ASSERT(aPosition.mObjects.size() <= JournalPlanner::kMaxObjects);
    RC_ASSERT(aPosition.mDurableTokens <= static_cast<int>(aTokens.size()));
    std::vector<JournalPart> parts;
    for (const std::uint32_t it : aPosition.mObjects) {
      RC_ASSERT(aStore.count(it) == 1u);
      const auto& objectParts = aStore.at(it);
      parts.insert(parts.end(), objectParts.begin(), objectParts.end());
    }
    const auto read = AssembleTokens(parts, aId, aGeneration);
    RC_ASSERT(static_cast<int>(read.size()) >= aPosition.mDurableTokens);
    for (std::size_t n = 0; n < read.size(); ++n) {
      RC_ASSERT(read[n] == aTokens[n]);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalBookTests);
