#include "http/EventLoop.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace quetzalquay;
using std::chrono::milliseconds;

class EventLoopTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EventLoopTests);
  CPPUNIT_TEST(EarlyTimersDoNotSpin);
  CPPUNIT_TEST_SUITE_END();

public:
  // Timers that expired together with an earlier one, and were set again
  // because it was too early, were called thousands of times until they were
  // due.
  void EarlyTimersDoNotSpin()
  {
    EventLoop loop;
    const Time start = EventLoop::Now();
    const Time due = start + milliseconds(13);
    int calls = 0;
    Timer* again = nullptr;
    Timer earlier(loop, [] {});
    Timer early(loop, [&] {
      ++calls;
      if (EventLoop::Now() < due) {
        again->ScheduleAt(due);
      } else {
        loop.Stop();
      }
    });
    again = &early;
    earlier.ScheduleAt(start + milliseconds(10));
    early.ScheduleAt(due);
    loop.Run();
    CPPUNIT_ASSERT(EventLoop::Now() >= due);
    CPPUNIT_ASSERT(calls <= 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopTests);
