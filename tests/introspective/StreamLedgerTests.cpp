#include "StreamLedger.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr auto kTimeout = milliseconds(9000);

Time
At(int aMs)
{
  return Time(milliseconds(aMs));
}

// What is reported of a stream that was asked for at 0 ms, and of its run.
StreamReport
ReportOf(Time aArrivedFrom, Time aReadAt, const std::string& aLeft)
{
  StreamAttempt attempt;
  attempt.mRequestId = "r";
  attempt.mDeadline = At(0) + kTimeout;
  CallerStream stream;
  stream.mName = "body";
  stream.mAttempts.push_back(attempt);
  RunnerRequest run;
  run.mBody = stream.mName;
  run.mAt = aReadAt;
  run.mArrivedFrom = aArrivedFrom;
  run.mHead.mFields = { { "X-Request-Id", "r" },
                        { "X-Tenant", "w" },
                        { "X-Deadline-Ms", aLeft } };
  return MakeReport({ stream }, {}, { run });
}

} // namespace

class StreamLedgerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StreamLedgerTests);
  CPPUNIT_TEST(RunsThatAreReadLateAreNotOverlong);
  CPPUNIT_TEST(OverlongRunsAreCounted);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against blaming a host for the time that the fakes stood still.
  void RunsThatAreReadLateAreNotOverlong()
  {
    const StreamReport report = ReportOf(At(10), At(1110), "8998");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(report.mFaults, 0, report.mOverlong);
    CPPUNIT_ASSERT_EQUAL(
      std::string("r: run with 8998 ms left, read up to 1100 ms after it "
                  "arrived\n"),
      report.mReadLate);
  }

  // Guards against passing over runs with too much time, also of fakes that
  // stood still.
  void OverlongRunsAreCounted()
  {
    CPPUNIT_ASSERT_EQUAL(0, ReportOf(At(500), At(500), "9000").mOverlong);
    CPPUNIT_ASSERT_EQUAL(1, ReportOf(At(501), At(501), "9000").mOverlong);
    CPPUNIT_ASSERT_EQUAL(1, ReportOf(At(501), At(1600), "9000").mOverlong);
    CPPUNIT_ASSERT_EQUAL(1, ReportOf(At(0), At(0), "").mOverlong);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamLedgerTests);
