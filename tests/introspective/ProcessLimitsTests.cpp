#include "http/ProcessLimits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace quetzalquay;

namespace {

constexpr int kGrantedMb = 88;
constexpr std::size_t kMegabyte = 1U << 20U;

// Whether a check holds in a process of its own that has the given limit.
bool
HoldsWithLimit(decltype(RLIMIT_DATA) aResource,
               const rlimit& aLimit,
               const std::function<bool()>& aCheck)
{
  const pid_t child = ::fork();
  if (child == 0) {
    const bool isSet = ::setrlimit(aResource, &aLimit) == 0;
    std::_Exit(isSet && aCheck() ? 0 : 1);
  }
  int status = 0;
  ::waitpid(child, &status, 0);
  return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

} // namespace

class ProcessLimitsTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ProcessLimitsTests);
  CPPUNIT_TEST(TheMemoryIsThatOfTheSettings);
  CPPUNIT_TEST(ALowerLimitOfTheSystemCounts);
  CPPUNIT_TEST(DescriptorsAreRaisedToThoseOfTheSettings);
  CPPUNIT_TEST(ALowerHardLimitOfDescriptorsCounts);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against taking the machine's memory for that of a process whose
  // limit only its settings tell.
  void TheMemoryIsThatOfTheSettings()
  {
    CPPUNIT_ASSERT_EQUAL(kGrantedMb * kMegabyte, UsableMemory(kGrantedMb));
    CPPUNIT_ASSERT(UsableMemory(0) > UsableMemory(kGrantedMb));
  }

  void ALowerLimitOfTheSystemCounts()
  {
    constexpr rlim_t kLimit = 64 * kMegabyte;
    for (const auto resource : { RLIMIT_DATA, RLIMIT_AS }) {
      CPPUNIT_ASSERT(HoldsWithLimit(resource, { kLimit, kLimit }, [] {
        return UsableMemory(kGrantedMb) == kLimit && UsableMemory(0) == kLimit;
      }));
    }
  }

  // Guards against refused connections on a machine whose soft limit is lower
  // than what the settings grant.
  void DescriptorsAreRaisedToThoseOfTheSettings()
  {
    CPPUNIT_ASSERT(HoldsWithLimit(RLIMIT_NOFILE, { 100, 400 }, [] {
      rlimit limit{};
      return ObtainDescriptors(300) == 300 &&
             ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur == 300;
    }));
  }

  // Guards against counting on more descriptors than the process can open.
  void ALowerHardLimitOfDescriptorsCounts()
  {
    CPPUNIT_ASSERT(HoldsWithLimit(RLIMIT_NOFILE, { 100, 400 }, [] {
      return ObtainDescriptors(4100) == 400 && ObtainDescriptors(0) == 400;
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessLimitsTests);
