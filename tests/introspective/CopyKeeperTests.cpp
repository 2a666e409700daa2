#include "EngineTable.h"
#include "Property.h"

#include "core/CopyKeeper.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace quetzalquay;

namespace {

constexpr int kCopyLifetimeMs = 4000;

CopyKeeper::Options
KeeperOptions()
{
  CopyKeeper::Options options;
  options.mService = "pool";
  options.mPromptTokens = 8000;
  options.mOutputTokens = 1000;
  options.mLifetime = std::chrono::milliseconds(kCopyLifetimeMs);
  options.mOrdersSupported = true;
  return options;
}

int
HeldTokens(const TargetTable& aTable)
{
  int tokens = 0;
  for (const TargetLoad& it : aTable.OwnLoad()) {
    tokens += it.mHeldTokens;
  }
  return tokens;
}

} // namespace

class CopyKeeperTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CopyKeeperTests);
  CPPUNIT_TEST(NoOrderWhileAHealthyCopyExists);
  CPPUNIT_TEST(ACopySurvivesTwoSuccessivePlaceFailures);
  CPPUNIT_TEST(ACopyIsLostWhenItsHolderRestarts);
  CPPUNIT_TEST(OrderedCopiesAreRenewedBeforeTheyExpire);
  CPPUNIT_TEST(AFailedOrderIsRetriedAfterADelay);
  CPPUNIT_TEST(CopiesOfALostRunLastUntilTheNextRunDelivers);
  CPPUNIT_TEST(CopiesThatAreFoundExist);
  CPPUNIT_TEST_SUITE_END();

public:
  void NoOrderWhileAHealthyCopyExists()
  {
    TargetTable table = MakeEngineTable();
    CopyKeeper keeper(KeeperOptions(), table);
    keeper.OnRunStarted("t0", "t1");
    CPPUNIT_ASSERT(!keeper.FindCopy(At(0)));
    CPPUNIT_ASSERT(!keeper.TakeNextOrder(At(10)));
    keeper.OnEventDelivered();
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), keeper.FindCopy(At(20))->mHolder);
    CPPUNIT_ASSERT(!keeper.TakeNextOrder(At(30000)));
  }

  // Guards against losing a stream's KV cache when two places fail one after
  // the other while the stream runs: the copy at the place that fails first is
  // lost, so another one has to be ordered before the second place fails.
  void ACopySurvivesTwoSuccessivePlaceFailures()
  {
    TargetTable table = MakeEngineTable();
    CopyKeeper keeper(KeeperOptions(), table);
    keeper.OnRunStarted("t0", "t1");
    keeper.OnEventDelivered();
    table.OnRefused("t4", At(100));
    table.OnRefused("t7", At(100));
    const auto holder = keeper.TakeNextOrder(At(110));
    CPPUNIT_ASSERT(holder);
    CPPUNIT_ASSERT_EQUAL(std::string("p2"), PlaceOf(*holder));
    // Only one order may be pending.
    CPPUNIT_ASSERT(!keeper.TakeNextOrder(At(120)));
    keeper.OnOrderCompleted(*holder, "address", "handle", At(130));
    keeper.OnRunEnded();
    table.OnRefused("t0", At(200));
    const auto copy = keeper.FindCopy(At(210));
    CPPUNIT_ASSERT(copy);
    CPPUNIT_ASSERT_EQUAL(*holder, copy->mHolder);
    CPPUNIT_ASSERT_EQUAL(std::string("handle"), copy->mHandle);
    CPPUNIT_ASSERT_EQUAL(std::string("address"), copy->mSourceAddress);
    keeper.OnCopyUsed(*holder);
    CPPUNIT_ASSERT(keeper.FindCopy(At(220))->mHolder != *holder);
  }

  void ACopyIsLostWhenItsHolderRestarts()
  {
    TargetTable table = MakeEngineTable();
    CopyKeeper keeper(KeeperOptions(), table);
    keeper.OnRunStarted("t0", "t1");
    keeper.OnEventDelivered();
    DeclareEngines(table, At(100), "2");
    CPPUNIT_ASSERT(!keeper.FindCopy(At(110)));
    CPPUNIT_ASSERT(keeper.TakeNextOrder(At(110)));
  }

  void OrderedCopiesAreRenewedBeforeTheyExpire()
  {
    TargetTable table = MakeEngineTable();
    CopyKeeper keeper(KeeperOptions(), table);
    keeper.OnRunStarted("t0", "");
    keeper.OnEventDelivered();
    const auto holder = keeper.TakeNextOrder(At(0));
    CPPUNIT_ASSERT(holder);
    keeper.OnOrderCompleted(*holder, "address", "one", At(0));
    CPPUNIT_ASSERT(!keeper.TakeNextOrder(At(1000)));
    CPPUNIT_ASSERT_EQUAL(*holder,
                         *keeper.TakeNextOrder(At(kCopyLifetimeMs - 100)));
    keeper.OnOrderCompleted(*holder, "address", "two", At(kCopyLifetimeMs));
    CPPUNIT_ASSERT_EQUAL(std::string("two"),
                         keeper.FindCopy(At(kCopyLifetimeMs + 10))->mHandle);
    CPPUNIT_ASSERT(!keeper.FindCopy(At(2 * kCopyLifetimeMs)));
    const auto released = keeper.Clear();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), released.size());
    CPPUNIT_ASSERT_EQUAL(0, HeldTokens(table));
  }

  void AFailedOrderIsRetriedAfterADelay()
  {
    TargetTable table = MakeEngineTable();
    CopyKeeper keeper(KeeperOptions(), table);
    keeper.OnRunStarted("t0", "");
    keeper.OnEventDelivered();
    CPPUNIT_ASSERT(keeper.TakeNextOrder(At(0)));
    keeper.OnOrderFailed(At(10));
    CPPUNIT_ASSERT(!keeper.TakeNextOrder(At(200)));
    CPPUNIT_ASSERT(keeper.TakeNextOrder(At(400)));
  }

  void CopiesOfALostRunLastUntilTheNextRunDelivers()
  {
    TargetTable table = MakeEngineTable();
    CopyKeeper keeper(KeeperOptions(), table);
    keeper.OnRunStarted("t0", "t1");
    keeper.OnEventDelivered();
    keeper.OnRunEnded();
    keeper.OnRunStarted("t2", "t3");
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), keeper.FindCopy(At(10))->mHolder);
    keeper.OnEventDelivered();
    CPPUNIT_ASSERT_EQUAL(std::string("t3"), keeper.FindCopy(At(20))->mHolder);
    CPPUNIT_ASSERT_EQUAL(9000, HeldTokens(table));
  }

  void CopiesThatAreFoundExist()
  {
    CheckProperty("a copy that is found exists at its holder", [] {
      TargetTable table = MakeEngineTable();
      CopyKeeper keeper(KeeperOptions(), table);
      int now = 0;
      int incarnation = 1;
      // By handle: when the holder discards the ordered copy, in milliseconds,
      // and the incarnation of the targets when it was made.
      std::map<std::string, std::pair<int, int>> made;
      bool delivered = false;
      std::optional<std::string> order;
      for (int n = 0; n < 60; ++n) {
        now += *rc::gen::inRange(1, 900);
        switch (*rc::gen::inRange(0, 7)) {
          case 0: {
            const std::string runner = "t" + std::to_string(n % 12);
            keeper.OnRunEnded();
            if (order) {
              keeper.OnOrderFailed(At(now));
              order.reset();
            }
            keeper.OnRunStarted(runner, keeper.ChooseHolder(runner, At(now)));
            delivered = false;
            break;
          }
          case 1:
            keeper.OnEventDelivered();
            delivered = true;
            break;
          case 2:
            table.OnRefused("t" + std::to_string(n % 12), At(now));
            break;
          case 3:
            DeclareEngines(table, At(now), std::to_string(++incarnation));
            break;
          case 4:
          case 5:
            if (!order) {
              order = keeper.TakeNextOrder(At(now));
              RC_ASSERT(!order || delivered);
              RC_ASSERT(!order || table.IsHealthy(*order, At(now)));
            } else {
              const std::string handle = "h" + std::to_string(n);
              keeper.OnOrderCompleted(*order, "address", handle, At(now));
              made[handle] = { now + kCopyLifetimeMs, incarnation };
              order.reset();
            }
            break;
          default:
            if (const auto copy = keeper.FindCopy(At(now))) {
              keeper.OnCopyUsed(copy->mHolder);
            }
            break;
        }
        const auto copy = keeper.FindCopy(At(now));
        if (copy && !copy->mHandle.empty()) {
          RC_ASSERT(now < made.at(copy->mHandle).first);
          RC_ASSERT(incarnation == made.at(copy->mHandle).second);
        }
        RC_ASSERT(!copy ||
                  copy->mIncarnation == table.IncarnationOf(copy->mHolder));
      }
      keeper.Clear();
      RC_ASSERT(HeldTokens(table) == 0);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CopyKeeperTests);
