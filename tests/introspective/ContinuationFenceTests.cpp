#include "Property.h"

#include "core/ContinuationFence.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace quetzalquay;

namespace {

// One router's view of a request that several routers have carried.
struct Contender
{
  Contender(const std::string& aName, int aKnown)
    : mFence(aName, "n", aKnown)
    , mKnown(aKnown)
  {
  }

  ContinuationFence mFence;
  // Newest attempt that this contender may know of.
  int mKnown;
  int mNext = 0;
};

} // namespace

class ContinuationFenceTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ContinuationFenceTests);
  CPPUNIT_TEST(AWokenRouterIsRefused);
  CPPUNIT_TEST(ALostAnswerIsGranted);
  CPPUNIT_TEST(NobodyContinuesBehindANewerOwner);
  CPPUNIT_TEST_SUITE_END();

public:
  void AWokenRouterIsRefused()
  {
    ContinuationFence paused("a", "n1", 0);
    ContinuationFence successor("b", "n2", 1);
    const auto step = successor.OnRead(std::nullopt, 0, 3);
    CPPUNIT_ASSERT(!step.mAnswer);
    CPPUNIT_ASSERT_EQUAL(0u, step.mIfVersion);
    const auto late = paused.OnRead(step.mWrite, 1, 2);
    CPPUNIT_ASSERT(late.mAnswer == FenceAnswer::Refused);
  }

  void ALostAnswerIsGranted()
  {
    ContinuationFence fence("a", "n1", 0);
    const auto step = fence.OnRead(std::nullopt, 0, 2);
    const auto again = fence.OnRead(step.mWrite, 7, 2);
    CPPUNIT_ASSERT(again.mAnswer == FenceAnswer::Granted);
    const auto next = fence.OnRead(step.mWrite, 7, 3);
    CPPUNIT_ASSERT(!next.mAnswer);
    CPPUNIT_ASSERT_EQUAL(7u, next.mIfVersion);
  }

  void NobodyContinuesBehindANewerOwner()
  {
    CheckProperty("after a takeover only the newest router continues", [] {
      std::optional<FenceRecord> row;
      unsigned version = 0;
      std::vector<Contender> routers;
      routers.emplace_back("r0", 0);
      int newest = 1;
      std::size_t owner = 0;
      const int steps = *rc::gen::inRange(1, 40);
      for (int n = 0; n < steps; ++n) {
        if (*rc::gen::inRange(0, 4) == 0) {
          // A caller comes to a new router with what the owner's stream named.
          routers.emplace_back("r" + std::to_string(routers.size()), newest);
          routers.back().mNext = newest + 1;
          continue;
        }
        const auto at = *rc::gen::inRange<std::size_t>(0, routers.size());
        Contender& router = routers[at];
        const int attempt = std::max(router.mNext, row ? row->mAttempt : 1) + 1;
        const auto step = router.mFence.OnRead(row, version, attempt);
        if (step.mAnswer) {
          RC_ASSERT(at != owner || routers.size() > 1u);
          continue;
        }
        // Taking over from an owner needs to know its newest attempt.
        RC_ASSERT(!row || row->mOwner == step.mWrite.mOwner ||
                  row->mAttempt <= router.mKnown);
        row = step.mWrite;
        ++version;
        router.mNext = attempt;
        newest = attempt;
        owner = at;
        if (*rc::gen::inRange(0, 3) != 0) {
          router.mFence.OnWritten(attempt);
        }
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContinuationFenceTests);
