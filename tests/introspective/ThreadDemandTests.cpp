#include "core/overload/ThreadDemand.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace quetzalquay;
using std::chrono::milliseconds;

class ThreadDemandTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ThreadDemandTests);
  CPPUNIT_TEST(RequestsForIdleThreadsAreNoShortage);
  CPPUNIT_TEST_SUITE_END();

public:
  // A slow body beside other requests, each of which an idle thread takes: the
  // body may keep its thread.
  void RequestsForIdleThreadsAreNoShortage()
  {
    const Time start = Time() + std::chrono::seconds(1000);
    ThreadDemand demand;
    CPPUNIT_ASSERT(!demand.IsShort(start));
    demand.SetWaitingSince(start);
    CPPUNIT_ASSERT(!demand.IsShort(start + ThreadDemand::kDispatchTime));
    CPPUNIT_ASSERT(
      demand.IsShort(start + ThreadDemand::kDispatchTime + milliseconds(1)));
    demand.SetWaitingSince(Time::max());
    CPPUNIT_ASSERT(!demand.IsShort(start + std::chrono::seconds(10)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ThreadDemandTests);
