#include "core/ReplacedConfigurations.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>

using namespace quetzalquay;
using std::chrono::seconds;

namespace {

RefPtr<RoutingTable>
MakeRouting(std::int64_t aVersion)
{
  auto routing = MakeRef<RoutingTable>();
  routing->mVersion = aVersion;
  return routing;
}

} // namespace

class ReplacedConfigurationsTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReplacedConfigurationsTests);
  CPPUNIT_TEST(OnlyConfigurationsThatWereInForceAreFound);
  CPPUNIT_TEST(OnlyTheLastConfigurationsAreKept);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a request that is served by a configuration that had been
  // replaced when it arrived.
  void OnlyConfigurationsThatWereInForceAreFound()
  {
    const Time replacedAt{ seconds(10) };
    ReplacedConfigurations replaced;
    replaced.OnReplaced(MakeRouting(3), replacedAt);
    CPPUNIT_ASSERT(replaced.Find(3, replacedAt) != nullptr);
    CPPUNIT_ASSERT(replaced.Find(3, Time::min()) != nullptr);
    CPPUNIT_ASSERT(replaced.Find(3, replacedAt + seconds(1)) == nullptr);
    CPPUNIT_ASSERT(replaced.Find(4, replacedAt) == nullptr);
  }

  // Guards against memory that grows with the number of changes.
  void OnlyTheLastConfigurationsAreKept()
  {
    const int last = 2 * static_cast<int>(ReplacedConfigurations::kMaxKept);
    ReplacedConfigurations replaced;
    for (int n = 1; n <= last; ++n) {
      replaced.OnReplaced(MakeRouting(n), Time(seconds(n)));
    }
    int kept = 0;
    for (int n = 1; n <= last; ++n) {
      kept += replaced.Find(n, Time::min()) != nullptr ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ReplacedConfigurations::kMaxKept),
                         kept);
    CPPUNIT_ASSERT(replaced.Find(last, Time::min()) != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplacedConfigurationsTests);
