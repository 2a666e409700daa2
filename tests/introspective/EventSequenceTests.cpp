#include "core/EventSequence.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

using namespace quetzalquay;

namespace {

constexpr EventNumbering::Start kFromOne{ 1, 1 };

// The order of the last of some events of one run; those before it are next
// ones or repeated.
EventOrder
LastOrder(EventSequence& aEvents, const std::vector<std::string>& aIds)
{
  aEvents.BeginRun();
  EventOrder order = EventOrder::Next;
  for (const std::string& it : aIds) {
    order = aEvents.OrderOf(it);
    if (&it == &aIds.back()) {
      break;
    }
    CPPUNIT_ASSERT(order == EventOrder::Next || order == EventOrder::Repeated);
    if (order == EventOrder::Next) {
      aEvents.Accept(it);
    } else {
      aEvents.Skip(it);
    }
  }
  return order;
}

EventOrder
OrderOf(const std::vector<std::string>& aIds)
{
  EventSequence events;
  return LastOrder(events, aIds);
}

EventOrder
OrderOfNumbered(const std::vector<std::string>& aIds)
{
  EventSequence events;
  events.Expect(kFromOne);
  return LastOrder(events, aIds);
}

} // namespace

class EventSequenceTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EventSequenceTests);
  CPPUNIT_TEST(EventsOfOneRunAreNeverRepeated);
  CPPUNIT_TEST(SpoiledIdsOfANumberedStreamAreFound);
  CPPUNIT_TEST(ARunThatGoesOnMayRepeatEventsAtItsBeginning);
  CPPUNIT_TEST(StreamsWithoutNumbersAreNotChecked);
  CPPUNIT_TEST(TheNumberingIsLearnedFromWholeStreams);
  CPPUNIT_TEST_SUITE_END();

public:
  // Events that the target had sent were dropped as repeated after an event
  // whose ID was spoiled, and the stream looked complete.
  void EventsOfOneRunAreNeverRepeated()
  {
    CPPUNIT_ASSERT(OrderOf({ "11", "2" }) == EventOrder::Unclear);
    CPPUNIT_ASSERT(OrderOf({ "1", "1" }) == EventOrder::Unclear);
    CPPUNIT_ASSERT(OrderOf({ "1", "12", "3" }) == EventOrder::Unclear);
    CPPUNIT_ASSERT(OrderOf({ "1", "2", "3", "3" }) == EventOrder::AfterGap);
    CPPUNIT_ASSERT(OrderOf({ "1", "2", "3", "2" }) == EventOrder::AfterGap);
  }

  // The ID of a first event that was spoiled was passed on, and the stream
  // could only go on after it.
  void SpoiledIdsOfANumberedStreamAreFound()
  {
    CPPUNIT_ASSERT(OrderOfNumbered({ "11" }) == EventOrder::AfterGap);
    CPPUNIT_ASSERT(OrderOfNumbered({ "0" }) == EventOrder::AfterGap);
    CPPUNIT_ASSERT(OrderOfNumbered({ "" }) == EventOrder::AfterGap);
    CPPUNIT_ASSERT(OrderOfNumbered({ "1x" }) == EventOrder::AfterGap);
    CPPUNIT_ASSERT(OrderOfNumbered({ "1" }) == EventOrder::Next);
    CPPUNIT_ASSERT(OrderOfNumbered({ "1", "22" }) == EventOrder::AfterGap);
    CPPUNIT_ASSERT(OrderOfNumbered({ "1", "1" }) == EventOrder::AfterGap);
    CPPUNIT_ASSERT(OrderOfNumbered({ "1", "-2" }) == EventOrder::AfterGap);
    CPPUNIT_ASSERT(OrderOfNumbered({ "1", "2" }) == EventOrder::Next);
    CPPUNIT_ASSERT(OrderOf({ "1", "2", "3x" }) == EventOrder::AfterGap);
  }

  void ARunThatGoesOnMayRepeatEventsAtItsBeginning()
  {
    EventSequence events;
    events.Expect(kFromOne);
    CPPUNIT_ASSERT(LastOrder(events, { "1", "2", "3", "4" }) ==
                   EventOrder::Next);
    EventSequence again = events;
    CPPUNIT_ASSERT(LastOrder(again, { "2", "3", "4" }) == EventOrder::Next);
    again = events;
    CPPUNIT_ASSERT(LastOrder(again, { "3", "2" }) == EventOrder::AfterGap);
    again = events;
    CPPUNIT_ASSERT(LastOrder(again, { "3", "5" }) == EventOrder::AfterGap);
    EventSequence takenUp("7");
    takenUp.Expect(kFromOne);
    CPPUNIT_ASSERT(LastOrder(takenUp, { "8" }) == EventOrder::Next);
    CPPUNIT_ASSERT(LastOrder(takenUp, { "9" }) == EventOrder::AfterGap);
    CPPUNIT_ASSERT(!takenUp.ObservedStart());
  }

  void StreamsWithoutNumbersAreNotChecked()
  {
    CPPUNIT_ASSERT(OrderOf({ "", "", "a", "" }) == EventOrder::Next);
    EventSequence events;
    LastOrder(events, { "a", "b", "c" });
    CPPUNIT_ASSERT(!events.ObservedStart());
  }

  void TheNumberingIsLearnedFromWholeStreams()
  {
    EventNumbering numbering;
    EventSequence events;
    LastOrder(events, { "1", "2", "3", "4" });
    const auto start = events.ObservedStart();
    CPPUNIT_ASSERT(start && start->mFirst == 1 && start->mStep == 1);
    for (int n = 0; n < 3; ++n) {
      CPPUNIT_ASSERT(!numbering.Expected());
      numbering.OnWhole(*start);
    }
    CPPUNIT_ASSERT(numbering.Expected());
    // Spoiled streams between whole ones change nothing; streams of targets
    // that number otherwise do.
    for (int n = 0; n < 9; ++n) {
      numbering.OnOther();
      numbering.OnWhole(*start);
    }
    CPPUNIT_ASSERT(numbering.Expected());
    for (int n = 0; n < 4; ++n) {
      numbering.OnOther();
    }
    CPPUNIT_ASSERT(!numbering.Expected());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSequenceTests);
