#include "Property.h"
#include "core/CallPacer.h"

#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

// Calls of one of many hosts to the store, which wants calls at uneven times.
class CallPacerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallPacerTests);
  CPPUNIT_TEST(CallsKeepToTheirAverageRate);
  CPPUNIT_TEST(ACallAfterAPauseIsMadeAtOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  // However unevenly calls are wanted, no span of n intervals has more than the
  // burst and n further ones.
  void CallsKeepToTheirAverageRate()
  {
    CheckProperty("calls in any span", [] {
      const int burst = *rc::gen::inRange(1, 5);
      const milliseconds interval(*rc::gen::inRange(1, 1000));
      const auto gaps =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 700));
      CallPacer pacer(burst);
      std::vector<Time> calls;
      Time now = Time() + std::chrono::hours(1);
      for (const int it : gaps) {
        now = std::max(now + milliseconds(it), pacer.EarliestCall(interval));
        pacer.OnCall(interval, now);
        calls.push_back(now);
      }
      for (std::size_t from = 0; from < calls.size(); ++from) {
        for (std::size_t to = from; to < calls.size(); ++to) {
          const auto allowed = burst + (calls[to] - calls[from]) / interval;
          RC_ASSERT(static_cast<long>(to - from + 1) <= allowed);
        }
      }
    });
  }

  void ACallAfterAPauseIsMadeAtOnce()
  {
    const milliseconds interval(1000);
    const Time start = Time() + std::chrono::hours(1);
    CallPacer pacer(3);
    for (int n = 0; n < 3; ++n) {
      CPPUNIT_ASSERT(pacer.EarliestCall(interval) <= start);
      pacer.OnCall(interval, start);
    }
    CPPUNIT_ASSERT(pacer.EarliestCall(interval) == start + interval);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallPacerTests);
