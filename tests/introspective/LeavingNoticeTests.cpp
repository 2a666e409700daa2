#include "core/CopyKeeper.h"
#include "core/LeavingNotices.h"
#include "core/TargetTable.h"
#include "platform/PlatformRequests.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

using namespace quetzalquay;

namespace {

Time
At(int aMs)
{
  return Time(std::chrono::milliseconds(aMs));
}

TargetDeclaration
Declaration(const std::string& aName, const std::string& aIncarnation)
{
  TargetDeclaration target;
  target.mName = aName;
  target.mService = "pool";
  target.mPlace = "here";
  target.mRegion = "region";
  target.mIncarnation = aIncarnation;
  return target;
}

void
Declare(TargetTable& aTable, const std::vector<TargetDeclaration>& aTargets)
{
  ServiceDeclaration service;
  service.mName = "pool";
  aTable.Declare({ service }, aTargets, "region", At(0));
}

TargetTable
MakeTable(const std::vector<TargetDeclaration>& aTargets)
{
  TargetTableOptions options;
  options.mPlace = "here";
  options.mSeed = 3;
  TargetTable table(options);
  Declare(table, aTargets);
  return table;
}

ChoiceQuery
Query(std::uint64_t aContent)
{
  ChoiceQuery query;
  query.mService = "pool";
  query.mContent = aContent;
  query.mRequestId = "r" + std::to_string(aContent);
  return query;
}

// Whether any of many choices falls on the target.
bool
IsUsed(TargetTable& aTable, const std::string& aTarget)
{
  for (int n = 0; n < 50; ++n) {
    if (aTable.Choose(Query(static_cast<std::uint64_t>(n) + 1), At(n))
          .mTarget == aTarget) {
      return true;
    }
  }
  return false;
}

platform::TargetResponse
AnswerWith(const std::string& aName, const std::string& aValue, int aStatus)
{
  HttpHead head;
  head.mStatus = aStatus;
  head.mFields.push_back({ aName, aValue });
  return platform::DecodeTargetResponse(head);
}

} // namespace

// Targets that say in an answer that they leave, without network.
class LeavingNoticeTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeavingNoticeTests);
  CPPUNIT_TEST(AnswersOfAnyStatusAreDecoded);
  CPPUNIT_TEST(NoRequestIsSentFromTheAnswerOn);
  CPPUNIT_TEST(NewerEntriesOfTheSameStartChangeNothing);
  CPPUNIT_TEST(LoadReportsChangeNothing);
  CPPUNIT_TEST(AnotherStartIsUsed);
  CPPUNIT_TEST(LateAnswersOfAFormerStartAreIgnored);
  CPPUNIT_TEST(TargetsThatAreDeclaredLaterAreNotUsed);
  CPPUNIT_TEST(CopiesAreNeitherSentNorOrderedThere);
  CPPUNIT_TEST(NoticesAreBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against reading the field with some statuses only, and against
  // taking other values or fields for it.
  void AnswersOfAnyStatusAreDecoded()
  {
    for (const int it : { 200, 400, 421, 429, 500, 503 }) {
      CPPUNIT_ASSERT(AnswerWith("server-leaving", "1", it).mLeaving);
    }
    for (const char* it : { "", "0", "11", "yes", "-1" }) {
      CPPUNIT_ASSERT_MESSAGE(it,
                             !AnswerWith("Server-Leaving", it, 200).mLeaving);
    }
    CPPUNIT_ASSERT(!AnswerWith("X-Server-Leaving", "1", 200).mLeaving);
  }

  // Guards against choices that only take the store's word.
  void NoRequestIsSentFromTheAnswerOn()
  {
    TargetTable table =
      MakeTable({ Declaration("t0", "1"), Declaration("t1", "1") });
    CPPUNIT_ASSERT(IsUsed(table, "t0"));
    CPPUNIT_ASSERT(table.OnLeavingNotice("t0", "1"));
    CPPUNIT_ASSERT(!table.OnLeavingNotice("t0", "1"));
    CPPUNIT_ASSERT(!IsUsed(table, "t0"));
    CPPUNIT_ASSERT(IsUsed(table, "t1"));
    CPPUNIT_ASSERT(table.IsLeaving("t0"));
    CPPUNIT_ASSERT(!table.IsHealthy("t0", At(100)));
    // A request that excludes the other target, such as a retry.
    ChoiceQuery retry = Query(77);
    retry.mExcluded = { "t1" };
    CPPUNIT_ASSERT(table.Choose(retry, At(200)).mTarget.empty());
  }

  // Guards against entries that bring the target back: newer ones, and one
  // that was missing for a while.
  void NewerEntriesOfTheSameStartChangeNothing()
  {
    TargetTable table =
      MakeTable({ Declaration("t0", "1"), Declaration("t1", "1") });
    table.OnLeavingNotice("t0", "1");
    Declare(table, { Declaration("t0", "1"), Declaration("t1", "1") });
    CPPUNIT_ASSERT(!IsUsed(table, "t0"));
    Declare(table, { Declaration("t1", "1") });
    Declare(table, { Declaration("t0", "1"), Declaration("t1", "1") });
    CPPUNIT_ASSERT(!IsUsed(table, "t0"));
  }

  // Guards against load fields of the same answers that say "ready".
  void LoadReportsChangeNothing()
  {
    TargetTable table =
      MakeTable({ Declaration("t0", "1"), Declaration("t1", "1") });
    table.OnLeavingNotice("t0", "1");
    table.OnLoadReport("t0", "1", "ready", 0, 0, At(10));
    table.OnAlive("t0", At(11));
    CPPUNIT_ASSERT(!IsUsed(table, "t0"));
  }

  // Guards against a target that stays out of use after a restart, by its entry
  // or by a load report.
  void AnotherStartIsUsed()
  {
    TargetTable table =
      MakeTable({ Declaration("t0", "1"), Declaration("t1", "1") });
    table.OnLeavingNotice("t0", "1");
    table.OnLeavingNotice("t1", "1");
    Declare(table, { Declaration("t0", "2"), Declaration("t1", "1") });
    CPPUNIT_ASSERT(IsUsed(table, "t0"));
    CPPUNIT_ASSERT(!IsUsed(table, "t1"));
    table.OnLoadReport("t1", "2", "ready", 0, 0, At(10));
    CPPUNIT_ASSERT(IsUsed(table, "t1"));
    // The new start may leave, too.
    CPPUNIT_ASSERT(table.OnLeavingNotice("t0", "2"));
    CPPUNIT_ASSERT(!IsUsed(table, "t0"));
  }

  // Guards against an answer that was on its way when the target started again.
  void LateAnswersOfAFormerStartAreIgnored()
  {
    TargetTable table = MakeTable({ Declaration("t0", "2") });
    CPPUNIT_ASSERT(!table.OnLeavingNotice("t0", "1"));
    CPPUNIT_ASSERT(IsUsed(table, "t0"));
    table.OnLeavingNotice("t0", "2");
    table.OnLeavingNotice("t0", "1");
    CPPUNIT_ASSERT(!IsUsed(table, "t0"));
  }

  // Guards against losing what a target says before its entry is known; its
  // next start is used.
  void TargetsThatAreDeclaredLaterAreNotUsed()
  {
    TargetTable table = MakeTable({ Declaration("t1", "1") });
    CPPUNIT_ASSERT(table.OnLeavingNotice("t0", ""));
    Declare(table, { Declaration("t0", "5"), Declaration("t1", "1") });
    CPPUNIT_ASSERT(!IsUsed(table, "t0"));
    Declare(table, { Declaration("t0", "6"), Declaration("t1", "1") });
    CPPUNIT_ASSERT(IsUsed(table, "t0"));
  }

  // Guards against copies that are sent to the target, and against copies that
  // it is asked to make.
  void CopiesAreNeitherSentNorOrderedThere()
  {
    TargetTable table = MakeTable({ Declaration("t0", "1"),
                                    Declaration("t1", "1"),
                                    Declaration("t2", "1") });
    CopyKeeper::Options options;
    options.mService = "pool";
    options.mLifetime = std::chrono::seconds(4);
    options.mOrdersSupported = true;
    table.OnLeavingNotice("t0", "1");
    for (int n = 0; n < 50; ++n) {
      CPPUNIT_ASSERT_EQUAL(std::string("t2"),
                           table.ChooseCopyHolder(Query(1), "t1", At(n)));
    }
    CopyKeeper keeper(options, table);
    keeper.OnRunStarted("t1", "");
    keeper.OnEventDelivered();
    CPPUNIT_ASSERT_EQUAL(std::string("t2"),
                         keeper.TakeNextOrder(At(100)).value());
    keeper.OnOrderFailed(At(100));
    table.OnLeavingNotice("t1", "1");
    CPPUNIT_ASSERT(!keeper.TakeNextOrder(At(1000)));
  }

  // Guards against a host that runs out of memory over months of starts, and
  // against dropping the latest notices.
  void NoticesAreBounded()
  {
    LeavingNotices notices;
    const int max = static_cast<int>(LeavingNotices::kMaxCount);
    for (int n = 0; n < max + 10; ++n) {
      notices.Add("t" + std::to_string(n), "1");
    }
    CPPUNIT_ASSERT_EQUAL(LeavingNotices::kMaxCount, notices.Count());
    CPPUNIT_ASSERT(!notices.Has("t0", "1"));
    CPPUNIT_ASSERT(notices.Has("t" + std::to_string(max + 9), "1"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingNoticeTests);
