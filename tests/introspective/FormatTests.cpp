#include "core/TargetTable.h"
#include "core/TrialRecord.h"
#include "gateway/GatewaySettings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <limits>
#include <sstream>

using namespace quetzalquay;

namespace {

const Time kNow = Time(std::chrono::hours(30 * 24));

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
  CPPUNIT_TEST(LoadsOfManyHostsDoNotOverflow);
  CPPUNIT_TEST(ConvictionsWithLaterElementsAreKept);
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

  // The sum of two reported loads overflowed, and a target full of the others'
  // requests looked idle.
  void LoadsOfManyHostsDoNotOverflow()
  {
    constexpr int kHuge = std::numeric_limits<int>::max();
    TargetTableOptions options;
    options.mRouterName = "own";
    TargetTable table(options);
    TargetDeclaration target;
    target.mName = "t1";
    target.mService = "pool";
    target.mIncarnation = "1";
    table.Declare({ { "pool", "" } }, { target }, "", kNow);
    for (const char* it : { "a", "b", "c" }) {
      table.SetPeerLoad(it, { { "t1", kHuge, kHuge, kHuge } }, kNow);
      const ChoiceInputs inputs = table.InputsOf("t1", kNow);
      CPPUNIT_ASSERT_MESSAGE(it, inputs.mPeerRunning >= 1000000);
      CPPUNIT_ASSERT_MESSAGE(it, inputs.mBacklogTokens >= 1000000);
    }
    // Small loads are right again when the huge ones have been replaced.
    for (const char* it : { "a", "b", "c" }) {
      table.SetPeerLoad(it, { { "t1", 0, 0, 0 } }, kNow);
    }
    table.SetPeerLoad("a", { { "t1", 2, 3, 4 } }, kNow);
    CPPUNIT_ASSERT_EQUAL(2, table.InputsOf("t1", kNow).mPeerRunning);
  }

  // A record with an element of a later build counted as a new one, so that a
  // convicted request was tried again.
  void ConvictionsWithLaterElementsAreKept()
  {
    const auto record =
      ParseTrialRecord("2 1 0 00000000000000a1 00000000000000a2 until=7 0001");
    CPPUNIT_ASSERT(record);
    CPPUNIT_ASSERT(record->mConvicted);
    CPPUNIT_ASSERT_EQUAL(2, record->mLost);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), record->mMembers.size());
    CPPUNIT_ASSERT(!ParseTrialRecord("2 1"));
    CPPUNIT_ASSERT(!ParseTrialRecord("later 2 1 0"));
    CPPUNIT_ASSERT(!ParseTrialRecord(""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FormatTests);
