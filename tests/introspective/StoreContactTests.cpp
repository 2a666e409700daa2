#include "EngineTable.h"

#include "core/StoreContact.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace quetzalquay;

class StoreContactTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreContactTests);
  CPPUNIT_TEST(StoreIsUnreachableUntilItAnswers);
  CPPUNIT_TEST(StoreThatRejectsACallIsUnreachable);
  CPPUNIT_TEST(StoreThatDoesNotAnswerIsUnreachable);
  CPPUNIT_TEST(LostCallSaysNothingAfterLaterAnswers);
  CPPUNIT_TEST_SUITE_END();

public:
  void StoreIsUnreachableUntilItAnswers()
  {
    StoreContact contact(At(1));
    CPPUNIT_ASSERT(contact.UnreachableSince() == At(1));
    CPPUNIT_ASSERT(!contact.OnCallEnded(StoreCallEnd::TimedOut, At(1), At(9)));
    CPPUNIT_ASSERT(contact.UnreachableSince() == At(1));
    CPPUNIT_ASSERT(contact.OnCallEnded(StoreCallEnd::Answered, At(9), At(10)));
    CPPUNIT_ASSERT(contact.IsReachable());
    CPPUNIT_ASSERT(
      !contact.OnCallEnded(StoreCallEnd::Answered, At(10), At(11)));
  }

  void StoreThatRejectsACallIsUnreachable()
  {
    StoreContact contact(At(0));
    contact.OnCallEnded(StoreCallEnd::Answered, At(0), At(1));
    contact.OnCallEnded(StoreCallEnd::Answered, At(100), At(101));
    // The store's own response is current, whenever the call was sent.
    CPPUNIT_ASSERT(
      contact.OnCallEnded(StoreCallEnd::Rejected, At(50), At(102)));
    CPPUNIT_ASSERT(contact.UnreachableSince() == At(102));
  }

  void StoreThatDoesNotAnswerIsUnreachable()
  {
    StoreContact contact(At(0));
    contact.OnCallEnded(StoreCallEnd::Answered, At(0), At(1));
    CPPUNIT_ASSERT(
      contact.OnCallEnded(StoreCallEnd::TimedOut, At(600), At(1500)));
    CPPUNIT_ASSERT(contact.UnreachableSince() == At(1500));
  }

  // Guards against a host taking the store for unreachable when it gives up a
  // call that was lost long before, as it then keeps removed targets in use.
  void LostCallSaysNothingAfterLaterAnswers()
  {
    StoreContact contact(At(0));
    contact.OnCallEnded(StoreCallEnd::Answered, At(13200), At(13290));
    CPPUNIT_ASSERT(
      !contact.OnCallEnded(StoreCallEnd::TimedOut, At(10600), At(16500)));
    CPPUNIT_ASSERT(contact.IsReachable());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreContactTests);
