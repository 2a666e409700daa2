#include "gateway/GatewaySettings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <sstream>

using namespace quetzalquay;

namespace {

// Content of a file that an earlier build wrote, or would have.
std::string
ReadData(const std::string& aName)
{
  std::ifstream file("tests/data/formats/" + aName);
  CPPUNIT_ASSERT_MESSAGE(aName, file.good());
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace

// What one build writes and another one reads, while hosts are upgraded one by
// one.
class FormatTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FormatTests);
  CPPUNIT_TEST(SettingsOfFormerTemplatesAreAccepted);
  CPPUNIT_TEST_SUITE_END();

public:
  // A host whose settings came from a template without "relayPort" did not
  // start.
  void SettingsOfFormerTemplatesAreAccepted()
  {
    std::string reason;
    const auto former =
      ParseGatewaySettings(ReadData("settings-9916185.json"), reason);
    CPPUNIT_ASSERT_MESSAGE(reason, former);
    CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(former->mRelayPort));
    std::string text = ReadData("settings-024c004.json");
    const auto later = ParseGatewaySettings(text, reason);
    CPPUNIT_ASSERT_MESSAGE(reason, later);
    CPPUNIT_ASSERT_EQUAL(1005, static_cast<int>(later->mRelayPort));
    text.insert(text.find('{') + 1, R"("laterField":[1],)");
    CPPUNIT_ASSERT_MESSAGE(reason, ParseGatewaySettings(text, reason));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FormatTests);
