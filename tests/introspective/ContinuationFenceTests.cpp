#include "Property.h"

#include "core/ContinuationFence.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace quetzalquay;

namespace {

// A router that may continue a request which other routers have handled.
struct FencedRouter
{
  FencedRouter(const std::string& aName, int aKnownAttempt)
    : mFence(aName, "n", aKnownAttempt)
    , mKnownAttempt(aKnownAttempt)
  {
  }

  ContinuationFence mFence;
  // Newest attempt that this router knows of at its start.
  int mKnownAttempt;
  int mLastAttempt = 0;
};

} // namespace

class ContinuationFenceTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ContinuationFenceTests);
  CPPUNIT_TEST(ResumedRouterIsRefusedAfterTakeover);
  CPPUNIT_TEST(WriteWithLostResponseIsGranted);
  CPPUNIT_TEST(OnlyNewestOwnerContinues);
  CPPUNIT_TEST_SUITE_END();

public:
  void ResumedRouterIsRefusedAfterTakeover()
  {
    ContinuationFence paused("a", "n1", 0);
    ContinuationFence successor("b", "n2", 1);
    const auto step = successor.OnRead(std::nullopt, 0, 3);
    CPPUNIT_ASSERT(!step.mDecision);
    CPPUNIT_ASSERT_EQUAL(0u, step.mIfVersion);
    const auto late = paused.OnRead(step.mWrite, 1, 2);
    CPPUNIT_ASSERT(late.mDecision == FenceDecision::Refused);
  }

  void WriteWithLostResponseIsGranted()
  {
    ContinuationFence fence("a", "n1", 0);
    const auto step = fence.OnRead(std::nullopt, 0, 2);
    const auto again = fence.OnRead(step.mWrite, 7, 2);
    CPPUNIT_ASSERT(again.mDecision == FenceDecision::Granted);
    const auto next = fence.OnRead(step.mWrite, 7, 3);
    CPPUNIT_ASSERT(!next.mDecision);
    CPPUNIT_ASSERT_EQUAL(7u, next.mIfVersion);
  }

  void OnlyNewestOwnerContinues()
  {
    CheckProperty("after a takeover only the newest owner continues", [] {
      std::optional<FenceRecord> row;
      unsigned version = 0;
      std::vector<FencedRouter> routers;
      routers.emplace_back("r0", 0);
      int newest = 1;
      std::size_t owner = 0;
      const int steps = *rc::gen::inRange(1, 40);
      for (int n = 0; n < steps; ++n) {
        if (*rc::gen::inRange(0, 4) == 0) {
          // The caller reconnects to a new router with the newest attempt from
          // its event ID.
          routers.emplace_back("r" + std::to_string(routers.size()), newest);
          routers.back().mLastAttempt = newest + 1;
          continue;
        }
        const auto at = *rc::gen::inRange<std::size_t>(0, routers.size());
        FencedRouter& router = routers[at];
        const int attempt =
          std::max(router.mLastAttempt, row ? row->mAttempt : 1) + 1;
        const auto step = router.mFence.OnRead(row, version, attempt);
        if (step.mDecision) {
          RC_ASSERT(at != owner || routers.size() > 1u);
          continue;
        }
        // Taking over requires knowledge of the owner's newest attempt.
        RC_ASSERT(!row || row->mOwner == step.mWrite.mOwner ||
                  row->mAttempt <= router.mKnownAttempt);
        row = step.mWrite;
        ++version;
        router.mLastAttempt = attempt;
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
