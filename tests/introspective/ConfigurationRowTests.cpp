#include "gateway/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <string>
#include <vector>

using namespace quetzalquay;
using platform::StoreRow;
using platform::StoreTable;

namespace {

// Text of a configuration with one route, "/NAME/", and a version as it is
// written in JSON.
std::string
Configuration(const std::string& aRoute, const std::string& aVersion)
{
  return R"({"Version":)" + aVersion +
         R"(,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/)" + aRoute +
         R"(/","Service":"s","Kind":"safe"}],"Services":[{"Name":"s"}]})";
}

// One host that is given rows of the configuration's table.
class ConfiguredHost
{
public:
  ConfiguredHost()
    : mFleet(mLoop, GatewaySettings())
  {
    mFleet.SetUnreadableCallback(
      [this](const std::string&, const std::string& aKind) {
        mUnreadable.push_back(aKind);
      });
  }

  void Read(const std::string& aValue, std::int64_t aRowVersion)
  {
    mFleet.ApplyRows(StoreTable::Configuration,
                     { { platform::kConfigurationKey, aValue, aRowVersion } },
                     false,
                     aRowVersion,
                     RowSource::Store);
  }

  bool Serves(const std::string& aRoute) const
  {
    return mFleet.Routing() != nullptr &&
           mFleet.Routing()->FindRoute("h", "/" + aRoute + "/x") != nullptr;
  }

  std::vector<std::string> mUnreadable;

private:
  EventLoop mLoop;
  Fleet mFleet;
};

} // namespace

// Which of the configurations that a host reads is in force.
class ConfigurationRowTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationRowTests);
  CPPUNIT_TEST(TheRowThatWasWrittenLastIsInForce);
  CPPUNIT_TEST(VersionsInAnyFormOfANumberAreTaken);
  CPPUNIT_TEST(RowsWithoutAReadableVersionAreReported);
  CPPUNIT_TEST(ListsOfAnotherTypeAreDamage);
  CPPUNIT_TEST(WorkspacesThatAreNullAreNone);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against hosts that keep an old configuration because the operators'
  // number of a newer one is not higher.
  void TheRowThatWasWrittenLastIsInForce()
  {
    ConfiguredHost host;
    host.Read(Configuration("first", "21"), 5);
    host.Read(Configuration("second", "20"), 6);
    CPPUNIT_ASSERT(host.Serves("second"));
    // An answer that arrives late.
    host.Read(Configuration("first", "21"), 5);
    CPPUNIT_ASSERT(host.Serves("second") && !host.Serves("first"));
  }

  // Guards against hosts that keep an old configuration because the number of
  // a newer one is written with a fraction, as a text or beyond 64 bits.
  void VersionsInAnyFormOfANumberAreTaken()
  {
    std::int64_t row = 5;
    ConfiguredHost host;
    host.Read(Configuration("first", "14"), row);
    for (const char* it : { "21.0",
                            "\"28\"",
                            "9223372036854775813",
                            "9223372036854775820",
                            "1e30",
                            "\"v35\"",
                            "null" }) {
      const std::string route = "r" + std::to_string(++row);
      host.Read(Configuration(route, it), row);
      CPPUNIT_ASSERT_MESSAGE(it, host.Serves(route));
    }
  }

  // Guards against a configuration without routes in force at a whole fleet.
  void ListsOfAnotherTypeAreDamage()
  {
    ConfiguredHost host;
    host.Read(Configuration("first", "14"), 5);
    host.Read(R"({"Version":15,"Routes":{"r":{}}})", 6);
    host.Read(R"({"Version":16,"Routes":[],"Tenants":"none"})", 7);
    CPPUNIT_ASSERT(host.Serves("first"));
  }

  // Guards against 401 for all callers as an encoder writes what is not there.
  void WorkspacesThatAreNullAreNone()
  {
    std::string reason;
    const auto table = platform::DecodeConfiguration(
      R"({"Version":15,"Routes":[],"Tenants":null})", reason);
    CPPUNIT_ASSERT(table != nullptr && !table->mKeysRequired);
  }

  // Guards against rows that are passed over without a trace.
  void RowsWithoutAReadableVersionAreReported()
  {
    ConfiguredHost host;
    host.Read(Configuration("first", "14"), 0);
    CPPUNIT_ASSERT(!host.Serves("first"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), host.mUnreadable.size());
    CPPUNIT_ASSERT_EQUAL(std::string("row_version"), host.mUnreadable.front());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationRowTests);
